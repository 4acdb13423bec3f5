"""The parts of membership alone: the choice by weight, the publisher, the browser, the files."""

import random
import unittest
from collections import Counter

from hypothesis import given
from hypothesis import strategies as some

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
    """RFC 2782."""

    def test_priorities_go_before_weights_and_weights_are_kept_to(self):
        members = [
            Member(instance(at, priority=at // 3, weight=weight), MemberState.LIVE, 0)
            for at, weight in enumerate((1, 3, 0, 5, 5))
        ]
        rng, first = random.Random(1), Counter()
        for _ in range(4_000):
            order = weighted_order(members, rng)
            self.assertEqual({0, 1, 2}, {int(one.instance.name[1:]) for one in order[:3]})
            first[order[0].instance.name] += 1
        self.assertAlmostEqual(3.0, first["n1"] / first["n0"], delta=1.2)
        self.assertGreater(first["n2"], 0)  # a weight of 0 has a small chance
        self.assertEqual([3, 2], [len(group) for group in group_by_priority(members)])

    @given(some.integers(0, (1 << 32) - 1), some.integers(1, (1 << 31) - 1))
    def test_serials_go_round(self, serial, step):
        later = (serial + step) % (1 << 32)
        self.assertTrue(is_older_serial(serial, later))
        self.assertFalse(is_older_serial(later, serial))


class DetectorTest(unittest.TestCase):
    """Suspicion grows with silence, and never falls but by an answer."""

    @given(some.lists(some.integers(1_000, 900_000), min_size=1, max_size=40))
    def test_it_only_grows_in_silence_and_an_answer_ends_it(self, gaps):
        one, now = PhiAccrualDetector(0, 250_000), 0
        for gap in gaps:
            now += gap
            one.record_answer(now)
        phis = [one.phi(now + at * 100_000) for at in range(60)]
        self.assertEqual(phis, sorted(phis))
        self.assertGreater(phis[-1], 8)
        one.record_timeout()
        one.record_answer(now + S)
        self.assertLess(one.phi(now + S), 1)


class PublisherTest(unittest.TestCase):
    """Registered, renewed, lapsed, withdrawn."""

    def setUp(self):
        self.machine, self.now = Publisher(PublisherConfig(lease_us=10 * S), 1), 0

    def step(self, event, passed=0):
        self.now += passed
        return self.machine.step(self.now, event)

    def registered(self):
        (send,) = self.step(SetRegistered(True))
        self.step(UpdateAnswered(send.number, True, 10 * S))

    def test_it_renews_at_four_fifths_and_stays_registered_meanwhile(self):
        self.registered()
        self.assertEqual([], self.step(Tick(), 7 * S))
        (send,) = self.step(Tick(), S)
        self.assertEqual((True, RegistrationState.REGISTERED), (send.register, self.machine.state))

    def test_a_shorter_lease_from_the_server_counts(self):
        (send,) = self.step(SetRegistered(True))
        self.step(UpdateAnswered(send.number, True, 2 * S))
        self.assertEqual(int(1.6 * S), self.machine.due)

    def test_refusals_and_silence_are_tried_again_with_pauses_that_grow(self):
        (send,) = self.step(SetRegistered(True))
        pauses = []
        for at in range(8):
            event = UpdateAnswered(send.number, False, reason="REFUSED") if at % 2 else Tick()
            said = self.step(event, self.machine.due - self.now if not at % 2 else 0)
            self.assertIn("tried again", said[-1].text)
            pauses.append(self.machine.due - self.now)
            (send,) = self.step(Tick(), pauses[-1])
        self.assertTrue(all(0.5 * 0.2 * S <= one <= 10 * S for one in pauses))
        self.assertGreater(pauses[-1], 5 * pauses[0])

    def test_a_lapsed_registration_is_told_and_taken_up_again(self):
        self.registered()
        texts = []
        for _ in range(60):
            for said in self.step(Tick(), max(0, self.machine.due - self.now)):
                texts += [said.text] if isinstance(said, LogLine) else []
        self.assertIn("registration lapsed", texts)
        (send,) = [one for one in self.step(Tick(), self.machine.due - self.now) if isinstance(one, SendUpdate)] or [
            one for one in self.step(Tick(), self.machine.due - self.now) if isinstance(one, SendUpdate)
        ]
        self.assertEqual("registered for 10 s", self.step(UpdateAnswered(send.number, True))[0].text)

    def test_a_withdrawal_goes_at_once_and_again_until_it_is_confirmed(self):
        self.registered()
        (send,) = self.step(SetRegistered(False))
        self.assertFalse(send.register)
        for _ in range(3):
            (again,) = self.step(Tick(), 60_000)
            self.assertGreater(again.number, send.number)
        self.assertEqual([], self.step(UpdateAnswered(send.number, True)))  # an answer to an earlier one
        self.assertEqual("registration withdrawn", self.step(UpdateAnswered(again.number, True))[0].text)
        self.assertIsNone(self.machine.due)

    def test_a_withdrawal_that_nobody_confirms_ends_and_says_so(self):
        self.registered()
        self.step(SetRegistered(False))
        said = []
        while self.machine.due is not None:
            said += self.step(Tick(), self.machine.due - self.now)
        self.assertIn("not confirmed", said[-1].text)
        self.assertLessEqual(self.now, 3 * S)

    def test_one_that_is_wanted_again_while_it_withdraws_registers(self):
        self.registered()
        self.step(SetRegistered(False))
        (send,) = self.step(SetRegistered(True))
        self.assertTrue(send.register)
        self.assertEqual([], self.step(SetRegistered(True)))


class BrowserTest(unittest.TestCase):
    """What is asked, and what is taken."""

    def setUp(self):
        self.machine, self.now = Browser(SERVICE, BrowserConfig(), 1), 0

    def zone(self, *numbers, port=5):
        found = []
        for at in numbers:
            name = f"n{at}.{SERVICE}"
            found += [
                Record(SERVICE, RecordType.PTR, name),
                Record(name, RecordType.SRV, (0, 1, port, f"h{at}.example.org")),
                Record(name, RecordType.TXT, (("boot", "7"), ("zone", "a"))),
                Record(f"h{at}.example.org", RecordType.ADDRESS, f"10.0.0.{at}"),
            ]
        return found

    def browse(self, *records, along=True):
        """Answer every question from these records, with what comes along or without."""
        asks = self.machine.step(self.now, browse.Tick())
        asked = []
        while asks and isinstance(asks[0], Query):
            ask = asks.pop(0)
            asked.append((ask.name, ask.record_type))
            own = [one for one in records if (one.name, one.record_type) == (ask.name, ask.record_type)]
            got = list(records) if along and ask.record_type is RecordType.PTR else own
            asks += self.machine.step(
                self.now, QueryAnswered(ask.number, bool(own), tuple(got), missing=not own, serial=3)
            )
        return asked, asks

    def test_one_question_where_the_rest_comes_along(self):
        asked, (found,) = self.browse(*self.zone(1, 2))
        self.assertEqual([(SERVICE, RecordType.PTR)], asked)
        self.assertEqual(
            ("n1", ("10.0.0.1", 5), 7, (("zone", "a"),)),
            (found.instances[0].name, found.instances[0].endpoint, found.instances[0].boot, found.instances[0].text),
        )
        self.assertEqual(3, found.serial)

    def test_what_did_not_come_along_is_asked_for(self):
        asked, (found,) = self.browse(*self.zone(1), along=False)
        self.assertEqual(
            [RecordType.PTR, RecordType.SRV, RecordType.TXT, RecordType.ADDRESS], [kind for _, kind in asked]
        )
        self.assertEqual("n1", found.instances[0].name)

    def test_a_host_with_an_ipv6_address_alone_and_one_with_none(self):
        records = self.zone(1, 2)[:-1]
        records = [one for one in records if one.record_type is not RecordType.ADDRESS]
        records.append(Record("h1.example.org", RecordType.ADDRESS6, "::1"))
        _, (found,) = self.browse(*records, along=False)
        self.assertEqual(["::1"], [one.endpoint.host for one in found.instances])

    def test_an_empty_service_is_a_reading_and_a_fault_is_none(self):
        _, (found,) = self.browse()
        self.assertEqual((), found.instances)
        self.now = self.machine.due
        (ask,) = self.machine.step(self.now, browse.Tick())
        (lost,) = self.machine.step(self.now, QueryAnswered(ask.number, False, reason="SERVFAIL"))
        self.assertEqual(BrowseFailed("SERVFAIL"), lost)

    def test_polls_keep_the_bound_whatever_the_ttl_says_and_go_slower_while_push_stands(self):
        self.browse(*self.zone(1))
        self.assertLessEqual(self.machine.due - self.now, 800_000)
        self.machine.step(self.now, browse.PushStateChanged(True))
        self.browse(*self.zone(1))
        self.assertGreater(self.machine.due - self.now, 8 * S)
        self.machine.step(self.now, browse.PushStateChanged(False))
        self.assertEqual(self.now, self.machine.due)

    def test_an_answer_to_a_browse_that_was_given_up_means_nothing(self):
        (ask,) = self.machine.step(0, browse.Tick())
        self.now = 2 * S
        self.assertEqual([BrowseFailed("no answer in time")], self.machine.step(self.now, browse.Tick()))
        self.assertEqual([], self.machine.step(self.now, QueryAnswered(ask.number, True, tuple(self.zone(1)))))

    def test_pushed_records_change_what_they_touch_and_a_removed_pointer_is_a_withdrawal(self):
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

    def test_records_of_other_names_and_without_sense_are_passed_over(self):
        records = [
            *self.zone(1),
            Record(SERVICE, RecordType.PTR, "evil.example.com"),
            Record("evil.example.com", RecordType.SRV, (0, 1, 1, "h1.example.org")),
        ]
        _, (found,) = self.browse(*records)
        self.assertEqual(["n1"], [one.name for one in found.instances])
        self.assertIsInstance(found, ServiceListed)


class FilesTest(unittest.TestCase):
    """The operators' files."""

    GOOD = b'server = "127.0.0.1:53"\ndomain = "example.org"\n'

    def test_the_field_is_named(self):
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

    def test_static_and_saved_lists(self):
        data = b'[[instances]]\nname = "a"\naddress = "10.0.0.1"\nport = 5\npinned = true\n'
        (one,), pinned = read_static(data)
        self.assertEqual(("a", ("a",)), (one.name, pinned))
        for bad, why in (
            (data + data, "comes twice"),
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
