"""The guard: bounded work and memory, one ring a turn."""

import unittest

from sagetrestle.identity.authenticator import Authenticator, AuthenticatorLimits
from sagetrestle.identity.replay import ClaimResult, ReplayTable
from sagetrestle.identity.values import AccessRequest, Cause, PresentedCredentials, Verdict
from tests.identity.helpers import NOW, OTHER, S, key, snapshot, token

READ = AccessRequest("quick-check", False, b"x")
SMALL = AuthenticatorLimits(verifications=2, waiting=8, waiting_each=4, cached=16, replays=2)


class AuthenticatorTest(unittest.TestCase):
    """What waits, what is remembered, what is refused."""

    def setUp(self):
        self.authenticator = Authenticator(snapshot(), SMALL)

    def offer(self, ref, text, source="s"):
        return self.authenticator.submit(ref, PresentedCredentials(source, text), READ, NOW)

    def test_a_first_token_waits_for_its_signature_and_a_second_time_costs_none(self):
        text = token()
        self.assertEqual([], self.offer(1, text))
        ((ref, verdict),) = self.authenticator.verify_batch()
        self.assertEqual((1, Cause.ENTITLED), (ref, verdict.cause))
        ((_, verdict),) = self.offer(2, text)
        self.assertTrue(verdict.entitled)

    def test_a_flood_of_bad_signatures_is_bounded_a_turn_and_others_go_on(self):
        """Each is verified at its turn, two a turn; a caller in good standing waits for one of them at most."""
        self.offer("first", token(), "good")
        self.authenticator.verify_batch()
        busy = 0
        for number in range(40):
            busy += len(self.offer(number, token(private=OTHER, jti=f"{number}"), f"flood{number % 10}"))
        self.assertEqual(32, busy)
        self.assertEqual(8, len(self.authenticator))
        ((victim, verdict),) = self.offer("mine", token(jti="m"), "good")
        self.assertIs(Cause.BUSY, verdict.cause)
        self.assertNotEqual("mine", victim)
        got = self.authenticator.verify_batch()
        self.assertEqual(2, len(got))
        self.assertIn("mine", [ref for ref, one in got if one.entitled])

    def test_the_same_bad_token_again_costs_no_signature_until_the_ring_changes(self):
        bad = token(private=OTHER)
        self.offer(1, bad)
        self.authenticator.verify_batch()
        ((_, verdict),) = self.offer(2, bad)
        self.assertIs(Cause.BAD_SIGNATURE, verdict.cause)
        self.authenticator.stage_snapshot(snapshot(key("ed", private=OTHER)))
        self.assertIs(Cause.BAD_SIGNATURE, self.offer(3, bad)[0].verdict.cause)  # until the turn's end
        self.authenticator.apply_staged_snapshot()
        self.assertEqual([], self.offer(4, bad))
        self.assertTrue(self.authenticator.verify_batch()[0].verdict.entitled)

    def test_bad_tokens_do_not_push_good_ones_out_and_both_are_bounded(self):
        good = token()
        self.offer("good", good)
        self.authenticator.verify_batch()
        for number in range(40):
            self.offer(number, token(private=OTHER, jti=f"{number}"), f"{number}")
            self.authenticator.verify_batch()
        self.assertEqual(1, len(self.offer("again", good)))
        self.assertLessEqual(len(self.authenticator.cache), SMALL.cached + SMALL.cached // 8)

    def test_a_token_is_judged_for_the_moment_at_which_it_came(self):
        """It waits while its key is retired and it runs out; neither counts."""
        self.offer(1, token(lifetime_us=S))
        self.authenticator.stage_snapshot(snapshot(key("ed", signs_until_us=NOW + S, not_after_us=NOW + 2 * S)))
        self.authenticator.apply_staged_snapshot()
        self.assertTrue(self.authenticator.verify_batch()[0].verdict.entitled)

    def test_a_key_that_is_gone_or_revoked_while_a_token_waits(self):
        self.offer(1, token())
        self.offer(2, token("es", "ES256"))
        self.authenticator.stage_snapshot(snapshot(key("ed", revoked_us=NOW)))
        self.authenticator.apply_staged_snapshot()
        self.assertEqual(
            [Cause.KEY_REVOKED, Cause.UNKNOWN_KEY], [one.verdict.cause for one in self.authenticator.verify_batch()]
        )

    def test_one_whose_caller_left_is_forgotten(self):
        self.offer(1, token())
        self.authenticator.withdraw(1)
        self.assertEqual(([], 0), (self.authenticator.verify_batch(), len(self.authenticator)))

    def test_time_moves_keys_and_tells_when_none_signs(self):
        self.authenticator.stage_snapshot(snapshot(key("ed", signs_until_us=NOW + S)))
        self.authenticator.apply_staged_snapshot()
        self.assertEqual(1, self.authenticator.count_active_keys(NOW))
        self.assertEqual(["ed"], [one.kid for one in self.authenticator.tick(NOW + S)])
        self.assertEqual(0, self.authenticator.count_active_keys(NOW + S))

    def test_a_charges_token_holds_for_one_key(self):
        verdict = Verdict(Cause.ENTITLED, "lets", None, "j", NOW + S)
        for at, wanted in (("K", None), ("K", None), ("L", Cause.REPLAYED)):
            self.assertEqual((wanted, 0), self.authenticator.admit_charge(verdict, 2, at, NOW))
        self.assertEqual((None, 0), self.authenticator.admit_charge(verdict._replace(tenant="homes"), 2, "L", NOW))
        cause, retry = self.authenticator.admit_charge(verdict._replace(jti="k"), 2, "M", NOW)
        self.assertIs(Cause.BUSY, cause)
        self.assertGreater(retry, 0)

    def test_a_cap_refuses_until_its_window_is_over(self):
        verdict = Verdict(Cause.ENTITLED, "capped")
        self.assertEqual([None, None], [self.authenticator.admit_charge(verdict, 2, one, NOW)[0] for one in "ab"])
        cause, retry = self.authenticator.admit_charge(verdict, 2, "c", NOW)
        self.assertIs(Cause.SPENT, cause)
        self.assertEqual(60 * S - NOW % (60 * S), retry)


class ReplayTest(unittest.TestCase):
    """Ids are remembered as long as their tokens count, and no longer."""

    def test_a_full_table_forgets_nothing_that_counts(self):
        authenticator = ReplayTable(2)
        self.assertEqual(
            [
                ClaimResult.CLAIMED,
                ClaimResult.CLAIMED,
                ClaimResult.FULL,
                ClaimResult.SAME_REQUEST,
                ClaimResult.REPLAYED,
            ],
            [
                authenticator.claim("t", jti, of, NOW + S, NOW)
                for jti, of in (("a", "1"), ("b", "1"), ("c", "1"), ("a", "1"), ("a", "2"))
            ],
        )
        self.assertIs(ClaimResult.CLAIMED, authenticator.claim("t", "c", "1", NOW + 2 * S, NOW + S))
        self.assertEqual(1, len(authenticator))
