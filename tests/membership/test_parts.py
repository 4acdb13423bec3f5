"""The parts of membership alone: the choice by weight, the publisher, the browser, the files."""

import random
import unittest
from collections import Counter

from hypothesis import given
from hypothesis import strategies as some

from sagetrestle.membership import browser as browse
from sagetrestle.membership.browser import Ask, Browser, BrowserTerms, Changed, Found, Kind, Lost, Pushed, Record, Reply
from sagetrestle.membership.detector import Detector
from sagetrestle.membership.files import FileError, read_discovery, read_saved, read_static, write_saved
from sagetrestle.membership.publisher import (
    Answered,
    Passed,
    Publisher,
    PublisherTerms,
    Say,
    Send,
    State,
    Want,
)
from sagetrestle.membership.sources import serial_older
from sagetrestle.membership.srv import by_priority, in_order
from sagetrestle.membership.values import Life, Member
from tests.membership.helpers import S, instance

SERVICE = "_scorer._tcp.example.org"


class SrvTest(unittest.TestCase):
    """RFC 2782."""

    def test_priorities_go_before_weights_and_weights_are_kept_to(self):
        members = [
            Member(instance(at, priority=at // 3, weight=weight), Life.LIVE, 0)
            for at, weight in enumerate((1, 3, 0, 5, 5))
        ]
        rng, first = random.Random(1), Counter()
        for _ in range(4_000):
            order = in_order(members, rng)
            self.assertEqual({0, 1, 2}, {int(one.instance.name[1:]) for one in order[:3]})
            first[order[0].instance.name] += 1
        self.assertAlmostEqual(3.0, first["n1"] / first["n0"], delta=1.2)
        self.assertGreater(first["n2"], 0)  # a weight of 0 has a small chance
        self.assertEqual([3, 2], [len(group) for group in by_priority(members)])

    @given(some.integers(0, (1 << 32) - 1), some.integers(1, (1 << 31) - 1))
    def test_serials_go_round(self, serial, step):
        later = (serial + step) % (1 << 32)
        self.assertTrue(serial_older(serial, later))
        self.assertFalse(serial_older(later, serial))


class DetectorTest(unittest.TestCase):
    """Suspicion grows with silence, and never falls but by an answer."""

    @given(some.lists(some.integers(1_000, 900_000), min_size=1, max_size=40))
    def test_it_only_grows_in_silence_and_an_answer_ends_it(self, gaps):
        one, now = Detector(0, 250_000), 0
        for gap in gaps:
            now += gap
            one.heard(now)
        phis = [one.phi(now + at * 100_000) for at in range(60)]
        self.assertEqual(phis, sorted(phis))
        self.assertGreater(phis[-1], 8)
        one.missed()
        one.heard(now + S)
        self.assertLess(one.phi(now + S), 1)


class PublisherTest(unittest.TestCase):
    """Registered, renewed, lapsed, withdrawn."""

    def setUp(self):
        self.one, self.now = Publisher(PublisherTerms(lease_us=10 * S), 1), 0

    def step(self, event, passed=0):
        self.now += passed
        return self.one.step(self.now, event)

    def registered(self):
        (send,) = self.step(Want(True))
        self.step(Answered(send.number, True, 10 * S))

    def test_it_renews_at_four_fifths_and_stays_registered_meanwhile(self):
        self.registered()
        self.assertEqual([], self.step(Passed(), 7 * S))
        (send,) = self.step(Passed(), S)
        self.assertEqual((True, State.REGISTERED), (send.register, self.one.state))

    def test_a_shorter_lease_from_the_server_counts(self):
        (send,) = self.step(Want(True))
        self.step(Answered(send.number, True, 2 * S))
        self.assertEqual(int(1.6 * S), self.one.due)

    def test_refusals_and_silence_are_tried_again_with_pauses_that_grow(self):
        (send,) = self.step(Want(True))
        pauses = []
        for at in range(8):
            event = Answered(send.number, False, why="REFUSED") if at % 2 else Passed()
            said = self.step(event, self.one.due - self.now if not at % 2 else 0)
            self.assertIn("tried again", said[-1].text)
            pauses.append(self.one.due - self.now)
            (send,) = self.step(Passed(), pauses[-1])
        self.assertTrue(all(0.5 * 0.2 * S <= one <= 10 * S for one in pauses))
        self.assertGreater(pauses[-1], 5 * pauses[0])

    def test_a_lapsed_registration_is_told_and_taken_up_again(self):
        self.registered()
        texts = []
        for _ in range(60):
            for said in self.step(Passed(), max(0, self.one.due - self.now)):
                texts += [said.text] if isinstance(said, Say) else []
        self.assertIn("registration lapsed", texts)
        (send,) = [one for one in self.step(Passed(), self.one.due - self.now) if isinstance(one, Send)] or [
            one for one in self.step(Passed(), self.one.due - self.now) if isinstance(one, Send)
        ]
        self.assertEqual("registered for 10 s", self.step(Answered(send.number, True))[0].text)

    def test_a_withdrawal_goes_at_once_and_again_until_it_is_confirmed(self):
        self.registered()
        (send,) = self.step(Want(False))
        self.assertFalse(send.register)
        for _ in range(3):
            (again,) = self.step(Passed(), 60_000)
            self.assertGreater(again.number, send.number)
        self.assertEqual([], self.step(Answered(send.number, True)))  # an answer to an earlier one
        self.assertEqual("registration withdrawn", self.step(Answered(again.number, True))[0].text)
        self.assertIsNone(self.one.due)

    def test_a_withdrawal_that_nobody_confirms_ends_and_says_so(self):
        self.registered()
        self.step(Want(False))
        said = []
        while self.one.due is not None:
            said += self.step(Passed(), self.one.due - self.now)
        self.assertIn("not confirmed", said[-1].text)
        self.assertLessEqual(self.now, 3 * S)

    def test_one_that_is_wanted_again_while_it_withdraws_registers(self):
        self.registered()
        self.step(Want(False))
        (send,) = self.step(Want(True))
        self.assertTrue(send.register)
        self.assertEqual([], self.step(Want(True)))


class BrowserTest(unittest.TestCase):
    """What is asked, and what is taken."""

    def setUp(self):
        self.one, self.now = Browser(SERVICE, BrowserTerms(), 1), 0

    def zone(self, *numbers, port=5):
        found = []
        for at in numbers:
            name = f"n{at}.{SERVICE}"
            found += [
                Record(SERVICE, Kind.PTR, name),
                Record(name, Kind.SRV, (0, 1, port, f"h{at}.example.org")),
                Record(name, Kind.TXT, (("boot", "7"), ("zone", "a"))),
                Record(f"h{at}.example.org", Kind.ADDRESS, f"10.0.0.{at}"),
            ]
        return found

    def browse(self, *records, along=True):
        """Answer every question from these records, with what comes along or without."""
        asks = self.one.step(self.now, browse.Passed())
        asked = []
        while asks and isinstance(asks[0], Ask):
            ask = asks.pop(0)
            asked.append((ask.name, ask.kind))
            own = [one for one in records if (one.name, one.kind) == (ask.name, ask.kind)]
            got = list(records) if along and ask.kind is Kind.PTR else own
            asks += self.one.step(self.now, Reply(ask.number, bool(own), tuple(got), missing=not own, serial=3))
        return asked, asks

    def test_one_question_where_the_rest_comes_along(self):
        asked, (found,) = self.browse(*self.zone(1, 2))
        self.assertEqual([(SERVICE, Kind.PTR)], asked)
        self.assertEqual(
            ("n1", ("10.0.0.1", 5), 7, (("zone", "a"),)),
            (found.instances[0].name, found.instances[0].endpoint, found.instances[0].boot, found.instances[0].text),
        )
        self.assertEqual(3, found.serial)

    def test_what_did_not_come_along_is_asked_for(self):
        asked, (found,) = self.browse(*self.zone(1), along=False)
        self.assertEqual([Kind.PTR, Kind.SRV, Kind.TXT, Kind.ADDRESS], [kind for _, kind in asked])
        self.assertEqual("n1", found.instances[0].name)

    def test_a_host_with_an_ipv6_address_alone_and_one_with_none(self):
        records = self.zone(1, 2)[:-1]
        records = [one for one in records if one.kind is not Kind.ADDRESS]
        records.append(Record("h1.example.org", Kind.ADDRESS6, "::1"))
        _, (found,) = self.browse(*records, along=False)
        self.assertEqual(["::1"], [one.endpoint.host for one in found.instances])

    def test_an_empty_service_is_a_reading_and_a_fault_is_none(self):
        _, (found,) = self.browse()
        self.assertEqual((), found.instances)
        self.now = self.one.due
        (ask,) = self.one.step(self.now, browse.Passed())
        (lost,) = self.one.step(self.now, Reply(ask.number, False, why="SERVFAIL"))
        self.assertEqual(Lost("SERVFAIL"), lost)

    def test_polls_keep_the_bound_whatever_the_ttl_says_and_go_slower_while_push_stands(self):
        self.browse(*self.zone(1))
        self.assertLessEqual(self.one.due - self.now, 800_000)
        self.one.step(self.now, browse.PushState(True))
        self.browse(*self.zone(1))
        self.assertGreater(self.one.due - self.now, 8 * S)
        self.one.step(self.now, browse.PushState(False))
        self.assertEqual(self.now, self.one.due)

    def test_an_answer_to_a_browse_that_was_given_up_means_nothing(self):
        (ask,) = self.one.step(0, browse.Passed())
        self.now = 2 * S
        self.assertEqual([Lost("no answer in time")], self.one.step(self.now, browse.Passed()))
        self.assertEqual([], self.one.step(self.now, Reply(ask.number, True, tuple(self.zone(1)))))

    def test_pushed_records_change_what_they_touch_and_a_removed_pointer_is_a_withdrawal(self):
        self.browse(*self.zone(1))
        (changed,) = self.one.step(self.now, Pushed(tuple(self.zone(2))))
        self.assertEqual((["n2"], ()), ([one.name for one in changed.now], changed.gone))
        moved = Record(f"n1.{SERVICE}", Kind.SRV, (0, 1, 9, "h1.example.org"))
        (changed,) = self.one.step(self.now, Pushed((moved,)))
        self.assertEqual(9, changed.now[0].endpoint.port)
        (changed,) = self.one.step(self.now, Pushed(removed=(Record(SERVICE, Kind.PTR, f"n1.{SERVICE}"),)))
        self.assertEqual(Changed((), ("n1",)), changed)

    def test_records_of_other_names_and_without_sense_are_passed_over(self):
        records = [
            *self.zone(1),
            Record(SERVICE, Kind.PTR, "evil.example.com"),
            Record("evil.example.com", Kind.SRV, (0, 1, 1, "h1.example.org")),
        ]
        _, (found,) = self.browse(*records)
        self.assertEqual(["n1"], [one.name for one in found.instances])
        self.assertIsInstance(found, Found)


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
            with self.assertRaisesRegex(FileError, why):
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
            with self.assertRaisesRegex(FileError, why):
                read_static(bad)
        saved = write_saved([Member(one, Life.LIVE, 0), Member(instance(2), Life.SUSPECTED, 0)])
        self.assertEqual((one,), read_saved(saved))
        for bad in (saved[:-9], saved.replace(b'"port":5', b'"port":6')):
            with self.assertRaises(FileError):
                read_saved(bad)
