"""Tests of a server's stages: removal, trial, hold, and sparing while too many servers are removed."""

import unittest

from sagetrestle.damping.health import (
    DEAD_FAILURES_IN_ROW,
    MAX_HOLD_US,
    MIN_FAILURES_IN_ROW,
    MAX_PAUSE_US,
    INITIAL_PAUSE_US,
    SUPPRESS_THRESHOLD,
    DampingState,
    ServerHealth,
    Stage,
)

MS, S = 1_000, 1_000_000


class HealthTest(unittest.TestCase):
    """The health of one server at its granter."""

    def setUp(self):
        self.health, self.now = ServerHealth(), 0

    def record(self, holder, done=0, failed=0, spared=False):
        self.now += 1 * MS
        self.health.record(self.now, holder, done, failed, spared)

    def advance(self, us, spared=False):
        self.now += us
        self.health.tick(self.now, spared)

    def fail_until_removed(self):
        """Record failures until the server is removed, and return their number."""
        count = 0
        while self.health.stage is not Stage.REMOVED and count < 50:
            count += 1
            self.record(f"m{count % 3}", failed=1)
        return count

    def recover_until_returned(self):
        """Record successes in trials until the server returns, and return their number."""
        count = 0
        while self.health.stage not in (Stage.WELL, Stage.HELD) and count < 50:
            self.advance(INITIAL_PAUSE_US)
            if self.health.stage is Stage.TRIED:
                count += 1
                self.record("m0", done=1)
        return count

    def test_failures_in_a_row_at_two_holders_remove_a_server_once(self):
        self.assertEqual(MIN_FAILURES_IN_ROW, self.fail_until_removed())
        for index in range(20):
            self.record(f"m{index}", failed=1)
        self.assertEqual((1, 0), (self.health.episodes, self.health.cap(8)))

    def test_the_failing_link_of_one_holder_removes_nothing(self):
        for _ in range(60):
            self.record("m0", failed=1)
            self.record("m1", done=1)
        for _ in range(DEAD_FAILURES_IN_ROW - 1):  # the other holder reported recently
            self.record("m0", failed=1)
        self.assertIs(Stage.WELL, self.health.stage)
        self.assertEqual(8, self.health.cap(8))

    def test_more_failures_than_successes_at_several_holders_remove_a_server(self):
        for index in range(40):
            self.record(f"m{index % 3}", failed=3)
            self.record(f"m{index % 3}", done=1)
        self.assertEqual(1, self.health.episodes)

    def test_a_trial_is_one_request_at_a_time_and_its_failure_lengthens_the_pause(self):
        self.fail_until_removed()
        self.advance(INITIAL_PAUSE_US - 2 * MS)
        self.assertIs(Stage.REMOVED, self.health.stage)
        self.advance(2 * MS)
        self.assertEqual(1, self.health.cap(8))
        pauses = []
        for _ in range(12):
            self.record("m0", failed=1)
            pauses.append(self.health.pause_us)
            self.advance(self.health.pause_us)
        self.assertEqual(sorted(pauses), pauses)
        self.assertEqual(MAX_PAUSE_US, pauses[-1])
        self.assertEqual(1, self.health.episodes)

    def test_each_episode_takes_more_failures_and_its_return_more_successes(self):
        failures_taken, returns = [], []
        for _ in range(3):
            failures_taken.append(self.fail_until_removed())
            returns.append(self.recover_until_returned())
        self.assertEqual(sorted(set(failures_taken)), failures_taken)
        self.assertEqual(sorted(set(returns)), returns)

    def test_many_episodes_hold_a_server_at_half_its_limit_until_the_penalty_decays(self):
        while self.health.penalty < SUPPRESS_THRESHOLD:
            self.fail_until_removed()
            self.recover_until_returned()
        self.assertIs(Stage.HELD, self.health.stage)
        self.assertEqual(4, self.health.cap(8))
        self.record("m0", failed=1)
        self.assertEqual(0, self.health.cap(8))  # paused, as failures release permits at once
        self.advance(INITIAL_PAUSE_US)
        self.assertEqual(4, self.health.cap(8))
        self.record("m0", done=1)
        episodes = self.health.episodes
        for _ in range(4):
            for index in range(DEAD_FAILURES_IN_ROW - 1):
                self.record(f"m{index % 3}", failed=1)
            self.record("m0", done=1)
        self.assertEqual(episodes, self.health.episodes)
        self.advance(60 * S)
        self.assertIs(Stage.WELL, self.health.stage)

    def test_a_hold_is_bounded_in_time(self):
        self.health.adopt(0, DampingState(1e9, Stage.HELD))
        self.advance(MAX_HOLD_US)
        self.assertIs(Stage.WELL, self.health.stage)

    def test_a_dead_server_is_removed_while_held(self):
        self.health.adopt(0, DampingState(SUPPRESS_THRESHOLD * 2, Stage.HELD))
        for index in range(DEAD_FAILURES_IN_ROW):
            self.record(f"m{index % 3}", failed=1)
        self.assertIs(Stage.REMOVED, self.health.stage)

    def test_a_server_is_spared_and_its_removal_revoked_if_too_many_are_removed(self):
        for index in range(60):
            self.record(f"m{index % 3}", failed=1, spared=True)
        self.assertIs(Stage.WELL, self.health.stage)
        self.fail_until_removed()
        self.advance(1 * MS, spared=True)
        self.assertIs(Stage.WELL, self.health.stage)

    def test_a_new_granter_continues_with_the_worst_state_that_holders_report(self):
        self.health.adopt(0, DampingState(3_000.0, Stage.WELL))
        self.health.adopt(0, DampingState(500.0, Stage.REMOVED))
        self.assertEqual((3_000.0, Stage.REMOVED), tuple(self.health.damping_state()))
        self.advance(INITIAL_PAUSE_US)
        self.assertIs(Stage.TRIED, self.health.stage)

    def test_a_clock_that_steps_back_changes_nothing(self):
        self.fail_until_removed()
        penalty = self.health.penalty
        self.now -= 10 * S
        self.health.tick(self.now, False)
        self.assertEqual((penalty, Stage.REMOVED), (self.health.penalty, self.health.stage))
