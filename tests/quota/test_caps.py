"""Tests of spending caps: holders, the granter's grants, and messages that are lost, late or repeated."""

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


class DecideCapGrantTest(unittest.TestCase):
    """Grants for requests of one holder."""

    def test_grants_are_large_while_many_units_remain_and_single_units_near_the_end(self):
        self.assertEqual((CapGrant(1, 8), 92), decide_cap_grant({}, "a", 0, 0, 1, 100, 3))
        self.assertEqual((CapGrant(1, 1), 2), decide_cap_grant({"b": CapGrant(3, 97)}, "a", 0, 0, 1, 100, 3))
        self.assertEqual((CapGrant(0, 0), 0), decide_cap_grant({"b": CapGrant(3, 100)}, "a", 0, 0, 1, 100, 3))

    def test_a_request_for_another_version_changes_nothing(self):
        rows = {"a": CapGrant(4, 5)}
        for version in (3, 5):
            self.assertEqual((rows["a"], 95), decide_cap_grant(rows, "a", version, 0, 7, 100, 3))

    def test_units_are_returned_and_granted_in_one_version(self):
        self.assertEqual((CapGrant(5, 3), 97), decide_cap_grant({"a": CapGrant(4, 9)}, "a", 4, 3, 0, 100, 3))
        self.assertEqual(
            (CapGrant(5, 4), 0), decide_cap_grant({"a": CapGrant(4, 5), "b": CapGrant(1, 96)}, "a", 4, 3, 5, 100, 3)
        )

    def test_nothing_is_granted_after_the_cap_is_lowered_below_the_granted_units(self):
        self.assertEqual((CapGrant(4, 5), -3), decide_cap_grant({"a": CapGrant(4, 5)}, "a", 4, 5, 2, 2, 3))


class CapHolderTest(unittest.TestCase):
    """The holder's account of one limit."""

    def setUp(self):
        self.holder = CapHolder()

    def take(self, now=0, id="i", cap=CAP):
        return self.holder.take(now, LIMIT, cap, id)

    def test_only_granted_units_are_spent_and_the_total_is_lowered_before_it_is_reported(self):
        self.assertIs(CapResult.WAITING, self.take())
        self.assertEqual([CapRequest(LIMIT, CAP, 0, 0, 1)], self.holder.request_units(0, LIMIT))
        self.assertEqual([], self.holder.request_units(REQUEST_INTERVAL_US - 1, LIMIT))
        self.assertEqual(1, len(self.holder.apply_grant(1, LIMIT.name, 1, 3, 5)))
        self.assertEqual([CapResult.TAKEN] * 2, [self.take(2, "i"), self.take(2, "j")])
        self.assertEqual([CapRequest(LIMIT, CAP, 1, 2, 0)], self.holder.tick(2 + IDLE_RETURN_US, 0))
        self.assertIs(CapResult.WAITING, self.take(2 + IDLE_RETURN_US, "k"))
        self.holder.apply_grant(
            3 + IDLE_RETURN_US, LIMIT.name, 1, 3, 5
        )  # a late message of the version whose units were returned
        self.assertIs(CapResult.WAITING, self.take(3 + IDLE_RETURN_US, "k"))

    def test_the_unit_of_a_charge_that_never_ran_is_refunded(self):
        self.take()
        self.holder.apply_grant(0, LIMIT.name, 1, 1, 0)
        self.assertEqual([CapResult.TAKEN, CapResult.WAITING], [self.take(0, "i"), self.take(0, "j")])
        self.holder.refund(LIMIT)
        self.assertIs(CapResult.TAKEN, self.take(0, "j"))

    def test_the_cap_counts_as_exhausted_only_after_the_recall_wait_and_for_the_hold_time(self):
        self.take()
        self.assertEqual([], self.holder.apply_grant(0, LIMIT.name, 0, 0, 0))
        self.assertIs(CapResult.WAITING, self.take(RECALL_WAIT_US - 1))
        self.assertEqual(1, len(self.holder.apply_grant(RECALL_WAIT_US, LIMIT.name, 0, 0, 0)))
        self.assertIs(CapResult.EXHAUSTED, self.take(RECALL_WAIT_US))
        self.assertIs(CapResult.WAITING, self.take(RECALL_WAIT_US + EXHAUSTED_HOLD_US))

    def test_waiting_charges_are_refused_after_the_granter_timeout(self):
        self.assertIs(CapResult.WAITING, self.take(0))
        self.assertIn(WaitersReady(LIMIT), self.holder.tick(GRANTER_TIMEOUT_US, 0))
        self.assertIs(CapResult.GRANTER_SILENT, self.take(GRANTER_TIMEOUT_US))
        self.assertIs(CapResult.WAITING, self.take(GRANTER_TIMEOUT_US + 1, "j"))
        self.holder.apply_grant(2 * GRANTER_TIMEOUT_US, LIMIT.name, 0, 0, 5)
        self.assertIs(CapResult.WAITING, self.take(2 * GRANTER_TIMEOUT_US + 2, "k"))

    def test_a_lowered_cap_applies_at_once(self):
        self.take()
        self.holder.apply_grant(0, LIMIT.name, 1, 5, 5)
        self.assertEqual(
            [CapResult.TAKEN, CapResult.TAKEN, CapResult.EXHAUSTED], [self.take(cap=2, id=id) for id in "ijk"]
        )

    def test_unspent_units_are_returned_on_a_recall(self):
        self.take()
        self.holder.apply_grant(0, LIMIT.name, 1, 5, 0)
        self.take()
        self.assertEqual([CapRequest(LIMIT, CAP, 1, 1, 0)], self.holder.recall(0, LIMIT.name))
        self.assertEqual([], self.holder.recall(0, LIMIT.name))

    def test_accounts_of_windows_that_ended_long_ago_are_deleted(self):
        self.take()
        self.holder.cancel_wait(LIMIT, "i")
        self.holder.tick(0, LIMIT.until_us + 61_000_000)
        self.assertEqual({}, self.holder.accounts)


class CapStateMachine(RuleBasedStateMachine):
    """Restarts of holders, and messages that are lost, repeated or reordered, must not exceed the cap."""

    @initialize(members=some.integers(1, 4))
    def begin(self, members):
        self.members, self.now, self.ids = members, 0, 0
        self.rows, self.messages, self.spent = {}, [], 0
        self.holders = {f"m{at}@0": CapHolder() for at in range(members)}

    def post(self, name, requests):
        self.messages += [("request", name, request) for request in requests]

    @rule(data=some.data(), ran=some.booleans())
    def take_unit(self, data, ran):
        name = data.draw(some.sampled_from(sorted(self.holders)))
        self.ids += 1
        result = self.holders[name].take(self.now, LIMIT, CAP, str(self.ids))
        if result is CapResult.TAKEN:
            self.spent += ran
            if not ran:
                self.holders[name].refund(LIMIT)
        elif result is CapResult.WAITING:
            self.post(name, self.holders[name].request_units(self.now, LIMIT))

    @precondition(lambda self: self.messages)
    @rule(data=some.data(), keep=some.booleans())
    def deliver(self, data, keep):
        index = data.draw(some.integers(0, len(self.messages) - 1))
        kind, name, content = self.messages[index]
        if not keep or len(self.messages) > 30:
            del self.messages[index]
        if kind == "request":
            self.handle_request(name, content)
        elif name in self.holders and kind == "grant":
            self.holders[name].apply_grant(self.now, LIMIT.name, *content)
        elif name in self.holders:
            self.post(name, self.holders[name].recall(self.now, LIMIT.name))

    def handle_request(self, name, request):
        row, left = decide_cap_grant(
            self.rows, name, request.version, request.total, request.wanted, request.cap, self.members
        )
        self.rows[name] = row
        self.messages.append(("grant", name, (row.version, row.total, left)))
        if left <= 0 and request.wanted:
            self.messages += [("recall", other, None) for other in self.rows if other != name]

    @precondition(lambda self: self.messages)
    @rule(data=some.data())
    def drop_message(self, data):
        del self.messages[data.draw(some.integers(0, len(self.messages) - 1))]

    @rule(duration_us=some.sampled_from((REQUEST_INTERVAL_US, RECALL_WAIT_US, IDLE_RETURN_US)))
    def advance(self, duration_us):
        self.now += duration_us
        for name, holder in self.holders.items():
            self.post(name, [action for action in holder.tick(self.now, 0) if isinstance(action, CapRequest)])

    @rule(data=some.data())
    def restart_holder(self, data):
        name = data.draw(some.sampled_from(sorted(self.holders)))
        del self.holders[name]
        start, _, life = name.partition("@")
        self.holders[f"{start}@{int(life) + 1}"] = CapHolder()

    @invariant()
    def total_stays_within_cap(self):
        if hasattr(self, "rows"):
            assert self.spent <= CAP, self.spent
            assert sum(row.total for row in self.rows.values()) <= CAP, self.rows
            for name, holder in self.holders.items():
                for account in holder.accounts.values():
                    assert account.used <= account.total <= self.rows.get(name, CapGrant()).total, (name, account)


CapStateMachineTest = CapStateMachine.TestCase
CapStateMachineTest.settings = settings(max_examples=60, stateful_step_count=50, deadline=None, derandomize=True)
