"""A server's stages: removed once, tried once, held at a small share, spared where too many are bad."""

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
    """One server."""

    def setUp(self):
        self.health, self.now = ServerHealth(), 0

    def record(self, holder, done=0, failed=0, spared=False):
        self.now += 1 * MS
        self.health.record(self.now, holder, done, failed, spared)

    def wait(self, us, spared=False):
        self.now += us
        self.health.tick(self.now, spared)

    def episode(self):
        """Have it fail until it is removed, and return how many failures that took."""
        count = 0
        while self.health.stage is not Stage.REMOVED and count < 50:
            count += 1
            self.record(f"m{count % 3}", failed=1)
        return count

    def recover(self):
        """Have it be well until it is back, and return how many good ones that took."""
        count = 0
        while self.health.stage not in (Stage.WELL, Stage.HELD) and count < 50:
            self.wait(INITIAL_PAUSE_US)
            if self.health.stage is Stage.TRIED:
                count += 1
                self.record("m0", done=1)
        return count

    def test_failures_in_a_row_by_two_remove_it_once_however_many_see_it(self):
        self.assertEqual(MIN_FAILURES_IN_ROW, self.episode())
        for at in range(20):
            self.record(f"m{at}", failed=1)
        self.assertEqual((1, 0), (self.health.episodes, self.health.cap(8)))

    def test_one_holders_bad_way_removes_nothing(self):
        for _ in range(60):
            self.record("m0", failed=1)
            self.record("m1", done=1)
        for _ in range(DEAD_FAILURES_IN_ROW - 1):  # the other asked lately, if not in between
            self.record("m0", failed=1)
        self.assertIs(Stage.WELL, self.health.stage)
        self.assertEqual(8, self.health.cap(8))

    def test_more_bad_than_good_of_many_removes_it(self):
        for at in range(40):
            self.record(f"m{at % 3}", failed=3)
            self.record(f"m{at % 3}", done=1)
        self.assertEqual(1, self.health.episodes)

    def test_one_request_at_a_time_tries_it_and_a_failure_makes_the_pause_longer(self):
        self.episode()
        self.wait(INITIAL_PAUSE_US - 2 * MS)
        self.assertIs(Stage.REMOVED, self.health.stage)
        self.wait(2 * MS)
        self.assertEqual(1, self.health.cap(8))
        pauses = []
        for _ in range(12):
            self.record("m0", failed=1)
            pauses.append(self.health.pause_us)
            self.wait(self.health.pause_us)
        self.assertEqual(sorted(pauses), pauses)
        self.assertEqual(MAX_PAUSE_US, pauses[-1])
        self.assertEqual(1, self.health.episodes)

    def test_each_episode_takes_more_evidence_and_a_longer_return(self):
        took, returns = [], []
        for _ in range(3):
            took.append(self.episode())
            returns.append(self.recover())
        self.assertEqual(sorted(set(took)), took)
        self.assertEqual(sorted(set(returns)), returns)

    def test_many_episodes_hold_it_at_a_half_until_the_penalty_is_gone(self):
        while self.health.penalty < SUPPRESS_THRESHOLD:
            self.episode()
            self.recover()
        self.assertIs(Stage.HELD, self.health.stage)
        self.assertEqual(4, self.health.cap(8))
        self.record("m0", failed=1)
        self.assertEqual(0, self.health.cap(8))  # failures free their slots at once: they would be many
        self.wait(INITIAL_PAUSE_US)
        self.assertEqual(4, self.health.cap(8))
        self.record("m0", done=1)
        episodes = self.health.episodes
        for _ in range(4):
            for at in range(DEAD_FAILURES_IN_ROW - 1):
                self.record(f"m{at % 3}", failed=1)
            self.record("m0", done=1)
        self.assertEqual(episodes, self.health.episodes)
        self.wait(60 * S)
        self.assertIs(Stage.WELL, self.health.stage)

    def test_a_hold_ends_whatever_the_penalty(self):
        self.health.adopt(0, DampingState(1e9, Stage.HELD))
        self.wait(MAX_HOLD_US)
        self.assertIs(Stage.WELL, self.health.stage)

    def test_one_that_is_dead_is_removed_at_once_while_held(self):
        self.health.adopt(0, DampingState(SUPPRESS_THRESHOLD * 2, Stage.HELD))
        for at in range(DEAD_FAILURES_IN_ROW):
            self.record(f"m{at % 3}", failed=1)
        self.assertIs(Stage.REMOVED, self.health.stage)

    def test_where_too_many_are_removed_it_is_spared_and_taken_back(self):
        for at in range(60):
            self.record(f"m{at % 3}", failed=1, spared=True)
        self.assertIs(Stage.WELL, self.health.stage)
        self.episode()
        self.wait(1 * MS, spared=True)
        self.assertIs(Stage.WELL, self.health.stage)

    def test_a_new_granter_goes_on_with_the_worst_that_holders_tell(self):
        self.health.adopt(0, DampingState(3_000.0, Stage.WELL))
        self.health.adopt(0, DampingState(500.0, Stage.REMOVED))
        self.assertEqual((3_000.0, Stage.REMOVED), tuple(self.health.damping_state()))
        self.wait(INITIAL_PAUSE_US)
        self.assertIs(Stage.TRIED, self.health.stage)

    def test_a_clock_that_steps_back_changes_nothing(self):
        self.episode()
        penalty = self.health.penalty
        self.now -= 10 * S
        self.health.tick(self.now, False)
        self.assertEqual((penalty, Stage.REMOVED), (self.health.penalty, self.health.stage))
