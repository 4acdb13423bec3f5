"""Hard limits by themselves: holders, a granter's rows, and words between them that are lost, late and repeated."""

import unittest

from hypothesis import settings
from hypothesis import strategies as some
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from sagetrestle.quota import Ask, Holder, Limit, Ready, Row, Word, decide
from sagetrestle.quota.cap_holder import AGAIN_US, DENIED_US, IDLE_US, SHORT_US, SILENT_US

CAP = 10
LIMIT = Limit("t", 1_000_000, 7)


class DecideTest(unittest.TestCase):
    """The granter."""

    def test_large_parts_while_there_is_much_and_single_units_near_the_end(self):
        self.assertEqual((Row(1, 8), 92), decide({}, "a", 0, 0, 1, 100, 3))
        self.assertEqual((Row(1, 1), 2), decide({"b": Row(3, 97)}, "a", 0, 0, 1, 100, 3))
        self.assertEqual((Row(0, 0), 0), decide({"b": Row(3, 100)}, "a", 0, 0, 1, 100, 3))

    def test_a_word_of_another_version_changes_nothing(self):
        rows = {"a": Row(4, 5)}
        for version in (3, 5):
            self.assertEqual((rows["a"], 95), decide(rows, "a", version, 0, 7, 100, 3))

    def test_what_is_given_back_and_what_is_wanted_are_one_step(self):
        self.assertEqual((Row(5, 3), 97), decide({"a": Row(4, 9)}, "a", 4, 3, 0, 100, 3))
        self.assertEqual((Row(5, 4), 0), decide({"a": Row(4, 5), "b": Row(1, 96)}, "a", 4, 3, 5, 100, 3))

    def test_a_cap_lowered_below_what_is_out_grants_nothing_more(self):
        self.assertEqual((Row(4, 5), -3), decide({"a": Row(4, 5)}, "a", 4, 5, 2, 2, 3))


class HolderTest(unittest.TestCase):
    """A holder."""

    def setUp(self):
        self.holder = Holder()

    def take(self, now=0, id="i", cap=CAP):
        return self.holder.take(now, LIMIT, cap, id)

    def test_it_spends_what_it_was_told_and_no_more_and_lowers_its_total_before_it_says_so(self):
        self.assertIs(Word.WAIT, self.take())
        self.assertEqual([Ask(LIMIT, CAP, 0, 0, 1)], self.holder.ask(0, LIMIT))
        self.assertEqual([], self.holder.ask(AGAIN_US - 1, LIMIT))
        self.assertEqual(1, len(self.holder.told(1, LIMIT.name, 1, 3, 5)))
        self.assertEqual([Word.TAKEN] * 2, [self.take(2, "i"), self.take(2, "j")])
        self.assertEqual([Ask(LIMIT, CAP, 1, 2, 0)], self.holder.passed(2 + IDLE_US, 0))
        self.assertIs(Word.WAIT, self.take(2 + IDLE_US, "k"))
        self.holder.told(3 + IDLE_US, LIMIT.name, 1, 3, 5)  # late: the version it gave back under
        self.assertIs(Word.WAIT, self.take(3 + IDLE_US, "k"))

    def test_a_charge_that_never_ran_gives_its_unit_back(self):
        self.take()
        self.holder.told(0, LIMIT.name, 1, 1, 0)
        self.assertEqual([Word.TAKEN, Word.WAIT], [self.take(0, "i"), self.take(0, "j")])
        self.holder.give_back(LIMIT)
        self.assertIs(Word.TAKEN, self.take(0, "j"))

    def test_nothing_left_is_believed_only_after_others_could_have_given_back_and_for_a_while(self):
        self.take()
        self.assertEqual([], self.holder.told(0, LIMIT.name, 0, 0, 0))
        self.assertIs(Word.WAIT, self.take(SHORT_US - 1))
        self.assertEqual(1, len(self.holder.told(SHORT_US, LIMIT.name, 0, 0, 0)))
        self.assertIs(Word.NONE, self.take(SHORT_US))
        self.assertIs(Word.WAIT, self.take(SHORT_US + DENIED_US))

    def test_what_waits_for_a_granter_that_is_not_heard_is_let_go_after_a_second(self):
        self.assertIs(Word.WAIT, self.take(0))
        self.assertIn(Ready(LIMIT), self.holder.passed(SILENT_US, 0))
        self.assertIs(Word.SILENT, self.take(SILENT_US))
        self.assertIs(Word.WAIT, self.take(SILENT_US + 1, "j"))
        self.holder.told(2 * SILENT_US, LIMIT.name, 0, 0, 5)
        self.assertIs(Word.WAIT, self.take(2 * SILENT_US + 2, "k"))

    def test_a_cap_lowered_here_binds_at_once(self):
        self.take()
        self.holder.told(0, LIMIT.name, 1, 5, 5)
        self.assertEqual([Word.TAKEN, Word.TAKEN, Word.NONE], [self.take(cap=2, id=id) for id in "ijk"])

    def test_it_gives_back_on_a_word_what_it_does_not_need_itself(self):
        self.take()
        self.holder.told(0, LIMIT.name, 1, 5, 0)
        self.take()
        self.assertEqual([Ask(LIMIT, CAP, 1, 1, 0)], self.holder.recalled(0, LIMIT.name))
        self.assertEqual([], self.holder.recalled(0, LIMIT.name))

    def test_windows_that_are_long_over_leave_nothing(self):
        self.take()
        self.holder.forget(LIMIT, "i")
        self.holder.passed(0, LIMIT.until_us + 61_000_000)
        self.assertEqual({}, self.holder.accounts)


class Escrow(RuleBasedStateMachine):
    """Holders that die and come back under new names, words that come in any order, often or never."""

    @initialize(members=some.integers(1, 4))
    def begin(self, members):
        self.members, self.now, self.ids = members, 0, 0
        self.rows, self.mail, self.spent = {}, [], 0
        self.holders = {f"m{at}@0": Holder() for at in range(members)}

    def post(self, name, asks):
        self.mail += [("ask", name, ask) for ask in asks]

    @rule(data=some.data(), ran=some.booleans())
    def spend(self, data, ran):
        name = data.draw(some.sampled_from(sorted(self.holders)))
        self.ids += 1
        word = self.holders[name].take(self.now, LIMIT, CAP, str(self.ids))
        if word is Word.TAKEN:
            self.spent += ran
            if not ran:
                self.holders[name].give_back(LIMIT)
        elif word is Word.WAIT:
            self.post(name, self.holders[name].ask(self.now, LIMIT))

    @precondition(lambda self: self.mail)
    @rule(data=some.data(), keep=some.booleans())
    def deliver(self, data, keep):
        at = data.draw(some.integers(0, len(self.mail) - 1))
        kind, name, what = self.mail[at]
        if not keep or len(self.mail) > 30:
            del self.mail[at]
        if kind == "ask":
            self.granter(name, what)
        elif name in self.holders and kind == "told":
            self.holders[name].told(self.now, LIMIT.name, *what)
        elif name in self.holders:
            self.post(name, self.holders[name].recalled(self.now, LIMIT.name))

    def granter(self, name, ask):
        row, left = decide(self.rows, name, ask.version, ask.total, ask.wanted, ask.cap, self.members)
        self.rows[name] = row
        self.mail.append(("told", name, (row.version, row.total, left)))
        if left <= 0 and ask.wanted:
            self.mail += [("recall", other, None) for other in self.rows if other != name]

    @precondition(lambda self: self.mail)
    @rule(data=some.data())
    def lose(self, data):
        del self.mail[data.draw(some.integers(0, len(self.mail) - 1))]

    @rule(wait=some.sampled_from((AGAIN_US, SHORT_US, IDLE_US)))
    def passes(self, wait):
        self.now += wait
        for name, one in self.holders.items():
            self.post(name, [one for one in one.passed(self.now, 0) if isinstance(one, Ask)])

    @rule(data=some.data())
    def die(self, data):
        name = data.draw(some.sampled_from(sorted(self.holders)))
        del self.holders[name]
        start, _, life = name.partition("@")
        self.holders[f"{start}@{int(life) + 1}"] = Holder()

    @invariant()
    def never_over(self):
        if hasattr(self, "rows"):
            assert self.spent <= CAP, self.spent
            assert sum(row.total for row in self.rows.values()) <= CAP, self.rows
            for name, one in self.holders.items():
                for account in one.accounts.values():
                    assert account.used <= account.total <= self.rows.get(name, Row()).total, (name, account)


EscrowTest = Escrow.TestCase
EscrowTest.settings = settings(max_examples=60, stateful_step_count=50, deadline=None, derandomize=True)
