"""Hard limits by themselves: holders, a granter's rows, and words between them that are lost, late and repeated."""

import unittest

from hypothesis import settings
from hypothesis import strategies as some
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from sagetrestle.quota import CapRequest, CapHolder, Limit, WaitersReady, CapGrant, CapResult, decide_cap_grant
from sagetrestle.quota.cap_holder import (
    REQUEST_INTERVAL_US,
    EXHAUSTED_HOLD_US,
    IDLE_RETURN_US,
    RECALL_WAIT_US,
    GRANTER_TIMEOUT_US,
)

CAP = 10
LIMIT = Limit("t", 1_000_000, 7)


class DecideTest(unittest.TestCase):
    """The granter."""

    def test_large_parts_while_there_is_much_and_single_units_near_the_end(self):
        self.assertEqual((CapGrant(1, 8), 92), decide_cap_grant({}, "a", 0, 0, 1, 100, 3))
        self.assertEqual((CapGrant(1, 1), 2), decide_cap_grant({"b": CapGrant(3, 97)}, "a", 0, 0, 1, 100, 3))
        self.assertEqual((CapGrant(0, 0), 0), decide_cap_grant({"b": CapGrant(3, 100)}, "a", 0, 0, 1, 100, 3))

    def test_a_word_of_another_version_changes_nothing(self):
        rows = {"a": CapGrant(4, 5)}
        for version in (3, 5):
            self.assertEqual((rows["a"], 95), decide_cap_grant(rows, "a", version, 0, 7, 100, 3))

    def test_what_is_given_back_and_what_is_wanted_are_one_step(self):
        self.assertEqual((CapGrant(5, 3), 97), decide_cap_grant({"a": CapGrant(4, 9)}, "a", 4, 3, 0, 100, 3))
        self.assertEqual(
            (CapGrant(5, 4), 0), decide_cap_grant({"a": CapGrant(4, 5), "b": CapGrant(1, 96)}, "a", 4, 3, 5, 100, 3)
        )

    def test_a_cap_lowered_below_what_is_out_grants_nothing_more(self):
        self.assertEqual((CapGrant(4, 5), -3), decide_cap_grant({"a": CapGrant(4, 5)}, "a", 4, 5, 2, 2, 3))


class HolderTest(unittest.TestCase):
    """A holder."""

    def setUp(self):
        self.holder = CapHolder()

    def take(self, now=0, id="i", cap=CAP):
        return self.holder.take(now, LIMIT, cap, id)

    def test_it_spends_what_it_was_told_and_no_more_and_lowers_its_total_before_it_says_so(self):
        self.assertIs(CapResult.WAITING, self.take())
        self.assertEqual([CapRequest(LIMIT, CAP, 0, 0, 1)], self.holder.request_units(0, LIMIT))
        self.assertEqual([], self.holder.request_units(REQUEST_INTERVAL_US - 1, LIMIT))
        self.assertEqual(1, len(self.holder.apply_grant(1, LIMIT.name, 1, 3, 5)))
        self.assertEqual([CapResult.TAKEN] * 2, [self.take(2, "i"), self.take(2, "j")])
        self.assertEqual([CapRequest(LIMIT, CAP, 1, 2, 0)], self.holder.tick(2 + IDLE_RETURN_US, 0))
        self.assertIs(CapResult.WAITING, self.take(2 + IDLE_RETURN_US, "k"))
        self.holder.apply_grant(3 + IDLE_RETURN_US, LIMIT.name, 1, 3, 5)  # late: the version it gave back under
        self.assertIs(CapResult.WAITING, self.take(3 + IDLE_RETURN_US, "k"))

    def test_a_charge_that_never_ran_gives_its_unit_back(self):
        self.take()
        self.holder.apply_grant(0, LIMIT.name, 1, 1, 0)
        self.assertEqual([CapResult.TAKEN, CapResult.WAITING], [self.take(0, "i"), self.take(0, "j")])
        self.holder.refund(LIMIT)
        self.assertIs(CapResult.TAKEN, self.take(0, "j"))

    def test_nothing_left_is_believed_only_after_others_could_have_given_back_and_for_a_while(self):
        self.take()
        self.assertEqual([], self.holder.apply_grant(0, LIMIT.name, 0, 0, 0))
        self.assertIs(CapResult.WAITING, self.take(RECALL_WAIT_US - 1))
        self.assertEqual(1, len(self.holder.apply_grant(RECALL_WAIT_US, LIMIT.name, 0, 0, 0)))
        self.assertIs(CapResult.EXHAUSTED, self.take(RECALL_WAIT_US))
        self.assertIs(CapResult.WAITING, self.take(RECALL_WAIT_US + EXHAUSTED_HOLD_US))

    def test_what_waits_for_a_granter_that_is_not_heard_is_let_go_after_a_second(self):
        self.assertIs(CapResult.WAITING, self.take(0))
        self.assertIn(WaitersReady(LIMIT), self.holder.tick(GRANTER_TIMEOUT_US, 0))
        self.assertIs(CapResult.GRANTER_SILENT, self.take(GRANTER_TIMEOUT_US))
        self.assertIs(CapResult.WAITING, self.take(GRANTER_TIMEOUT_US + 1, "j"))
        self.holder.apply_grant(2 * GRANTER_TIMEOUT_US, LIMIT.name, 0, 0, 5)
        self.assertIs(CapResult.WAITING, self.take(2 * GRANTER_TIMEOUT_US + 2, "k"))

    def test_a_cap_lowered_here_binds_at_once(self):
        self.take()
        self.holder.apply_grant(0, LIMIT.name, 1, 5, 5)
        self.assertEqual(
            [CapResult.TAKEN, CapResult.TAKEN, CapResult.EXHAUSTED], [self.take(cap=2, id=id) for id in "ijk"]
        )

    def test_it_gives_back_on_a_word_what_it_does_not_need_itself(self):
        self.take()
        self.holder.apply_grant(0, LIMIT.name, 1, 5, 0)
        self.take()
        self.assertEqual([CapRequest(LIMIT, CAP, 1, 1, 0)], self.holder.recall(0, LIMIT.name))
        self.assertEqual([], self.holder.recall(0, LIMIT.name))

    def test_windows_that_are_long_over_leave_nothing(self):
        self.take()
        self.holder.cancel_wait(LIMIT, "i")
        self.holder.tick(0, LIMIT.until_us + 61_000_000)
        self.assertEqual({}, self.holder.accounts)


class Escrow(RuleBasedStateMachine):
    """Holders that die and come back under new names, words that come in any order, often or never."""

    @initialize(members=some.integers(1, 4))
    def begin(self, members):
        self.members, self.now, self.ids = members, 0, 0
        self.rows, self.mail, self.spent = {}, [], 0
        self.holders = {f"m{at}@0": CapHolder() for at in range(members)}

    def post(self, name, asks):
        self.mail += [("ask", name, ask) for ask in asks]

    @rule(data=some.data(), ran=some.booleans())
    def spend(self, data, ran):
        name = data.draw(some.sampled_from(sorted(self.holders)))
        self.ids += 1
        word = self.holders[name].take(self.now, LIMIT, CAP, str(self.ids))
        if word is CapResult.TAKEN:
            self.spent += ran
            if not ran:
                self.holders[name].refund(LIMIT)
        elif word is CapResult.WAITING:
            self.post(name, self.holders[name].request_units(self.now, LIMIT))

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
            self.holders[name].apply_grant(self.now, LIMIT.name, *what)
        elif name in self.holders:
            self.post(name, self.holders[name].recall(self.now, LIMIT.name))

    def granter(self, name, ask):
        row, left = decide_cap_grant(self.rows, name, ask.version, ask.total, ask.wanted, ask.cap, self.members)
        self.rows[name] = row
        self.mail.append(("told", name, (row.version, row.total, left)))
        if left <= 0 and ask.wanted:
            self.mail += [("recall", other, None) for other in self.rows if other != name]

    @precondition(lambda self: self.mail)
    @rule(data=some.data())
    def lose(self, data):
        del self.mail[data.draw(some.integers(0, len(self.mail) - 1))]

    @rule(wait=some.sampled_from((REQUEST_INTERVAL_US, RECALL_WAIT_US, IDLE_RETURN_US)))
    def passes(self, wait):
        self.now += wait
        for name, one in self.holders.items():
            self.post(name, [one for one in one.tick(self.now, 0) if isinstance(one, CapRequest)])

    @rule(data=some.data())
    def die(self, data):
        name = data.draw(some.sampled_from(sorted(self.holders)))
        del self.holders[name]
        start, _, life = name.partition("@")
        self.holders[f"{start}@{int(life) + 1}"] = CapHolder()

    @invariant()
    def never_over(self):
        if hasattr(self, "rows"):
            assert self.spent <= CAP, self.spent
            assert sum(row.total for row in self.rows.values()) <= CAP, self.rows
            for name, one in self.holders.items():
                for account in one.accounts.values():
                    assert account.used <= account.total <= self.rows.get(name, CapGrant()).total, (name, account)


EscrowTest = Escrow.TestCase
EscrowTest.settings = settings(max_examples=60, stateful_step_count=50, deadline=None, derandomize=True)
