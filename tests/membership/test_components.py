"""The components of membership: SRV selection, the failure detector, the publisher, the browser, the files."""

import random
import unittest
from collections import Counter

from hypothesis import given
from hypothesis import strategies as strategies

from sagetrestle.membership import browser as browse
from sagetrestle.membership.browser import (
    BrowseFailed,
    Browser,
    BrowserConfig,
    InstancesChanged,
    Query,
    QueryAnswered,
    Record,
    RecordsPushed,
    RecordType,
    ServiceListed,
)
from sagetrestle.membership.detector import PhiAccrualDetector
from sagetrestle.membership.files import DiscoveryFileError, read_discovery, read_saved, read_static, write_saved
from sagetrestle.membership.publisher import (
    LogLine,
    Publisher,
    PublisherConfig,
    RegistrationState,
    SendUpdate,
    SetRegistered,
    Tick,
    UpdateAnswered,
)
from sagetrestle.membership.sources import is_older_serial
from sagetrestle.membership.srv import group_by_priority, weighted_order
from sagetrestle.membership.values import Member, MemberState
from tests.membership.helpers import S, instance

SERVICE = "_scorer._tcp.example.org"


class SrvTest(unittest.TestCase):
    """SRV selection (RFC 2782) and zone serials (RFC 1982)."""

    def test_priorities_precede_weights_and_draws_follow_weights(self):
        members = [
            Member(instance(index, priority=index // 3, weight=weight), MemberState.LIVE, 0)
            for index, weight in enumerate((1, 3, 0, 5, 5))
        ]
        rng, first = random.Random(1), Counter()
        for _ in range(4_000):
            order = weighted_order(members, rng)
            self.assertEqual({0, 1, 2}, {int(one.instance.name[1:]) for one in order[:3]})
            first[order[0].instance.name] += 1
        self.assertAlmostEqual(3.0, first["n1"] / first["n0"], delta=1.2)
        self.assertGreater(first["n2"], 0)  # weight 0 has a small chance
        self.assertEqual([3, 2], [len(group) for group in group_by_priority(members)])

    @given(strategies.integers(0, (1 << 32) - 1), strategies.integers(1, (1 << 31) - 1))
    def test_serials_wrap_around(self, serial, step):
        later = (serial + step) % (1 << 32)
        self.assertTrue(is_older_serial(serial, later))
        self.assertFalse(is_older_serial(later, serial))


class DetectorTest(unittest.TestCase):
    """The phi accrual failure detector."""

    @given(strategies.lists(strategies.integers(1_000, 900_000), min_size=1, max_size=40))
    def test_phi_grows_during_silence_and_an_answer_resets_it(self, gaps):
        detector, now = PhiAccrualDetector(0, 250_000), 0
        for gap in gaps:
            now += gap
            detector.record_answer(now)
        phis = [detector.phi(now + index * 100_000) for index in range(60)]
        self.assertEqual(phis, sorted(phis))
        self.assertGreater(phis[-1], 8)
        detector.record_timeout()
        detector.record_answer(now + S)
        self.assertLess(detector.phi(now + S), 1)


class PublisherTest(unittest.TestCase):
    """Registration, renewal, lapse and withdrawal."""

    def setUp(self):
        self.machine, self.now = Publisher(PublisherConfig(lease_us=10 * S), 1), 0

    def step(self, event, passed=0):
        self.now += passed
        return self.machine.step(self.now, event)

    def registered(self):
        (send,) = self.step(SetRegistered(True))
        self.step(UpdateAnswered(send.number, True, 10 * S))

    def test_a_lease_is_renewed_at_four_fifths_and_stays_registered_meanwhile(self):
        self.registered()
        self.assertEqual([], self.step(Tick(), 7 * S))
        (send,) = self.step(Tick(), S)
        self.assertEqual((True, RegistrationState.REGISTERED), (send.register, self.machine.state))

    def test_a_shorter_lease_granted_by_the_server_counts(self):
        (send,) = self.step(SetRegistered(True))
        self.step(UpdateAnswered(send.number, True, 2 * S))
        self.assertEqual(int(1.6 * S), self.machine.due)

    def test_refused_and_unanswered_updates_are_retried_with_growing_delays(self):
        (send,) = self.step(SetRegistered(True))
        pauses = []
        for index in range(8):
            event = UpdateAnswered(send.number, False, reason="REFUSED") if index % 2 else Tick()
            decisions = self.step(event, self.machine.due - self.now if not index % 2 else 0)
            self.assertIn("registration failed, retrying in ", decisions[-1].text)
            pauses.append(self.machine.due - self.now)
            (send,) = self.step(Tick(), pauses[-1])
        self.assertTrue(all(0.5 * 0.2 * S <= one <= 10 * S for one in pauses))
        self.assertGreater(pauses[-1], 5 * pauses[0])

    def test_a_lapsed_registration_is_logged_and_registered_again(self):
        self.registered()
        texts = []
        for _ in range(60):
            for decisions in self.step(Tick(), max(0, self.machine.due - self.now)):
                texts += [decisions.text] if isinstance(decisions, LogLine) else []
        self.assertIn("registration lapsed", texts)
        (send,) = [one for one in self.step(Tick(), self.machine.due - self.now) if isinstance(one, SendUpdate)] or [
            one for one in self.step(Tick(), self.machine.due - self.now) if isinstance(one, SendUpdate)
        ]
        self.assertEqual("registered for 10 s", self.step(UpdateAnswered(send.number, True))[0].text)

    def test_a_withdrawal_is_sent_at_once_and_repeated_until_it_is_confirmed(self):
        self.registered()
        (send,) = self.step(SetRegistered(False))
        self.assertFalse(send.register)
        for _ in range(3):
            (again,) = self.step(Tick(), 60_000)
            self.assertGreater(again.number, send.number)
        self.assertEqual([], self.step(UpdateAnswered(send.number, True)))  # an answer to an earlier update
        self.assertEqual("registration withdrawn", self.step(UpdateAnswered(again.number, True))[0].text)
        self.assertIsNone(self.machine.due)

    def test_an_unconfirmed_withdrawal_ends_and_is_logged(self):
        self.registered()
        self.step(SetRegistered(False))
        decisions = []
        while self.machine.due is not None:
            decisions += self.step(Tick(), self.machine.due - self.now)
        self.assertIn("not confirmed", decisions[-1].text)
        self.assertLessEqual(self.now, 3 * S)

    def test_an_instance_may_be_registered_again_while_it_withdraws(self):
        self.registered()
        self.step(SetRegistered(False))
        (send,) = self.step(SetRegistered(True))
        self.assertTrue(send.register)
        self.assertEqual([], self.step(SetRegistered(True)))


class BrowserTest(unittest.TestCase):
    """Queries, and the instances from their answers."""

    def setUp(self):
        self.machine, self.now = Browser(SERVICE, BrowserConfig(), 1), 0

    def zone(self, *numbers, port=5):
        records = []
        for index in numbers:
            name = f"n{index}.{SERVICE}"
            records += [
                Record(SERVICE, RecordType.PTR, name),
                Record(name, RecordType.SRV, (0, 1, port, f"h{index}.example.org")),
                Record(name, RecordType.TXT, (("boot", "7"), ("zone", "a"))),
                Record(f"h{index}.example.org", RecordType.ADDRESS, f"10.0.0.{index}"),
            ]
        return records

    def browse(self, *records, along=True):
        """Answer every query from these records; with ``along`` the PTR answer contains all of them."""
        asks = self.machine.step(self.now, browse.Tick())
        asked = []
        while asks and isinstance(asks[0], Query):
            ask = asks.pop(0)
            asked.append((ask.name, ask.record_type))
            own = [one for one in records if (one.name, one.record_type) == (ask.name, ask.record_type)]
            answered = list(records) if along and ask.record_type is RecordType.PTR else own
            asks += self.machine.step(
                self.now, QueryAnswered(ask.number, bool(own), tuple(answered), missing=not own, serial=3)
            )
        return asked, asks

    def test_one_query_is_enough_where_its_answer_contains_all_records(self):
        asked, (listing,) = self.browse(*self.zone(1, 2))
        self.assertEqual([(SERVICE, RecordType.PTR)], asked)
        self.assertEqual(
            ("n1", ("10.0.0.1", 5), 7, (("zone", "a"),)),
            (
                listing.instances[0].name,
                listing.instances[0].endpoint,
                listing.instances[0].boot,
                listing.instances[0].text,
            ),
        )
        self.assertEqual(3, listing.serial)

    def test_missing_records_are_queried(self):
        asked, (listing,) = self.browse(*self.zone(1), along=False)
        self.assertEqual(
            [RecordType.PTR, RecordType.SRV, RecordType.TXT, RecordType.ADDRESS], [kind for _, kind in asked]
        )
        self.assertEqual("n1", listing.instances[0].name)

    def test_a_host_with_an_ipv6_address_alone_and_one_with_none(self):
        records = self.zone(1, 2)[:-1]
        records = [one for one in records if one.record_type is not RecordType.ADDRESS]
        records.append(Record("h1.example.org", RecordType.ADDRESS6, "::1"))
        _, (listing,) = self.browse(*records, along=False)
        self.assertEqual(["::1"], [one.endpoint.host for one in listing.instances])

    def test_an_empty_service_is_a_listing_and_a_failure_is_not(self):
        _, (listing,) = self.browse()
        self.assertEqual((), listing.instances)
        self.now = self.machine.due
        (ask,) = self.machine.step(self.now, browse.Tick())
        (lost,) = self.machine.step(self.now, QueryAnswered(ask.number, False, reason="SERVFAIL"))
        self.assertEqual(BrowseFailed("SERVFAIL"), lost)

    def test_the_poll_interval_is_bounded_and_longer_while_push_is_up(self):
        self.browse(*self.zone(1))
        self.assertLessEqual(self.machine.due - self.now, 800_000)
        self.machine.step(self.now, browse.PushStateChanged(True))
        self.browse(*self.zone(1))
        self.assertGreater(self.machine.due - self.now, 8 * S)
        self.machine.step(self.now, browse.PushStateChanged(False))
        self.assertEqual(self.now, self.machine.due)

    def test_an_answer_to_an_aborted_browse_is_ignored(self):
        (ask,) = self.machine.step(0, browse.Tick())
        self.now = 2 * S
        self.assertEqual([BrowseFailed("no answer in time")], self.machine.step(self.now, browse.Tick()))
        self.assertEqual([], self.machine.step(self.now, QueryAnswered(ask.number, True, tuple(self.zone(1)))))

    def test_pushed_records_change_their_instances_and_a_removed_pointer_withdraws_one(self):
        self.browse(*self.zone(1))
        (changed,) = self.machine.step(self.now, RecordsPushed(tuple(self.zone(2))))
        self.assertEqual((["n2"], ()), ([one.name for one in changed.now], changed.gone))
        moved = Record(f"n1.{SERVICE}", RecordType.SRV, (0, 1, 9, "h1.example.org"))
        (changed,) = self.machine.step(self.now, RecordsPushed((moved,)))
        self.assertEqual(9, changed.now[0].endpoint.port)
        (changed,) = self.machine.step(
            self.now, RecordsPushed(removed=(Record(SERVICE, RecordType.PTR, f"n1.{SERVICE}"),))
        )
        self.assertEqual(InstancesChanged((), ("n1",)), changed)

    def test_records_of_other_services_are_ignored(self):
        records = [
            *self.zone(1),
            Record(SERVICE, RecordType.PTR, "evil.example.com"),
            Record("evil.example.com", RecordType.SRV, (0, 1, 1, "h1.example.org")),
        ]
        _, (listing,) = self.browse(*records)
        self.assertEqual(["n1"], [one.name for one in listing.instances])
        self.assertIsInstance(listing, ServiceListed)


class FilesTest(unittest.TestCase):
    """The files of discovery."""

    GOOD = b'server = "127.0.0.1:53"\ndomain = "example.org"\n'

    def test_errors_name_the_field(self):
        self.assertEqual("_scorer._tcp.example.org", read_discovery(self.GOOD).name)
        self.assertIsNone(read_discovery(self.GOOD + b"on = false"))
        for data, why in (
            (b'server = "x"\ndomain = "e"', "server: 'x'"),
            (b'domain = "e"', "`server`"),
            (self.GOOD + b'service = "x"', "service: "),
            (self.GOOD + b"[publish]\nlease_s = 1", "publish.lease_s"),
            (self.GOOD + b'[publish]\nkey_name = "k"', "publish.key_name"),
            (self.GOOD + b"[browse]\npoll_ms = 5", "browse.poll_ms"),
            (self.GOOD + b"x = 1", "`x`"),
        ):
            with self.assertRaisesRegex(DiscoveryFileError, why):
                read_discovery(data)

    def test_the_static_list_and_the_saved_view(self):
        data = b'[[instances]]\nname = "a"\naddress = "10.0.0.1"\nport = 5\npinned = true\n'
        (one,), pinned = read_static(data)
        self.assertEqual(("a", ("a",)), (one.name, pinned))
        for bad, why in (
            (data + data, r"instances\[1\].name: 'a': duplicate name"),
            (data.replace(b"10.0.0.1", b"x"), "address"),
            (data.replace(b"5", b"0"), "port"),
        ):
            with self.assertRaisesRegex(DiscoveryFileError, why):
                read_static(bad)
        saved = write_saved([Member(one, MemberState.LIVE, 0), Member(instance(2), MemberState.SUSPECTED, 0)])
        self.assertEqual((one,), read_saved(saved))
        for bad in (saved[:-9], saved.replace(b'"port":5', b'"port":6')):
            with self.assertRaises(DiscoveryFileError):
                read_saved(bad)
