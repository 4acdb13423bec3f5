"""Attempts within slots: they wait for room, and what nobody waits for or can not be in time is not sent."""

import unittest

from sagetrestle.attempts.controller import CancelSend, AttemptController, JobFinished, Send
from sagetrestle.attempts.values import AttemptOutcome, Job
from sagetrestle.interface import AdmissionLimits
from sagetrestle.membership.values import Endpoint, Instance, Member, MemberState
from sagetrestle.membership.view import View
from sagetrestle.overload.priority import PriorityInputs
from sagetrestle.overload.retry_budget import RetryBudget
from sagetrestle.overload.values import ADMIT_ALL, PRIORITY_EXEMPT, PRIORITY_REFUSED, AdmissionLevel
from sagetrestle.quota.permits import PermitGrant
from sagetrestle.router import Router
from sagetrestle.traffic.admission import AdmissionController
from sagetrestle.traffic.dispatch import Dispatcher

MS, S = 1_000, 1_000_000


class SendsTest(unittest.TestCase):
    """An attempt controller over servers with slots."""

    def setUp(self):
        self.members = [
            Member(Instance(name, Endpoint("127.0.0.1", 9), boot=1), MemberState.ANNOUNCED, 0) for name in "ab"
        ]
        router = Router(seed=1)
        router.set_view(View().with_changes(self.members))
        self.attempt_controller, self.dispatcher = AttemptController(router), Dispatcher(RetryBudget(0.5))
        self.attempt_controller.capacity = self.dispatcher
        self.dispatcher.permits.update_servers(0, [("a", 1), ("b", 1)])
        self.gone = set()
        self.attempt_controller.is_awaited = lambda id: id not in self.gone
        self.serial = 0
        self.slots(0, a=1, b=1)

    def slots(self, now, base_us=60 * MS, **shares):
        self.told = getattr(self, "told", 9 * S) + S
        for report in self.dispatcher.permits.tick(self.told):
            if report.server in shares:
                self.serial += 1
                self.dispatcher.apply_grant(
                    now,
                    PermitGrant(
                        report.server, 1, report.number, 1, self.serial, shares[report.server], 1.0, 4.0, base_us, 1
                    ),
                )

    def begin(self, id, now=0, due=S, **more):
        self.dispatcher.retry_budget.add_first_attempt(now)
        return self.attempt_controller.submit(now, Job(id, "r", "t", due, **more))

    def sent(self, decided):
        return [(one.job.id, one.member.instance.name) for one in decided if isinstance(one, Send)]

    def test_each_server_gets_what_its_slots_allow_and_the_rest_waits(self):
        found = sum((self.sent(self.begin(f"j{at}")) for at in range(3)), [])
        self.assertEqual({"a", "b"}, {name for _, name in found})
        self.assertEqual((2, 1), (len(found), self.attempt_controller.queued_count()))
        self.assertEqual([], self.sent(self.attempt_controller.send_queued(1)))
        id, name = found[0]
        self.attempt_controller.attempt_ended(50 * MS, id, 1, AttemptOutcome.ANSWERED, "x")
        self.assertEqual([("j2", name)], self.sent(self.attempt_controller.send_queued(50 * MS)))

    def test_what_waits_past_its_time_never_ran(self):
        for at in range(3):
            self.begin(f"j{at}", key=f"K{at}", member=self.members[0])
        decided = self.attempt_controller.tick(S)
        over = {one.job.id: one.result for one in decided if isinstance(one, JobFinished)}
        self.assertTrue(over["j0"].ran)  # it was sent
        self.assertFalse(over["j1"].ran or over["j2"].ran)
        self.assertIs(AttemptOutcome.NO_CAPACITY, over["j1"].end)

    def test_a_charge_waits_for_its_one_server_and_safe_work_goes_by(self):
        self.begin("c0", key="K0", member=self.members[0])
        self.begin("c1", key="K1", member=self.members[0])
        self.assertEqual([("s", "b")], self.sent(self.begin("s")))
        self.attempt_controller.attempt_ended(50 * MS, "c0", 1, AttemptOutcome.ANSWERED, "x")
        self.assertEqual([("c1", "a")], self.sent(self.attempt_controller.send_queued(50 * MS)))

    def test_what_nobody_waits_for_is_not_sent(self):
        self.begin("j0")
        self.begin("j1")
        self.begin("j2")
        self.gone.add("j2")
        self.attempt_controller.attempt_ended(50 * MS, "j0", 1, AttemptOutcome.ANSWERED, "x")
        decided = self.attempt_controller.send_queued(50 * MS)
        self.assertEqual([], self.sent(decided))
        self.assertEqual(["j2"], [one.job.id for one in decided if isinstance(one, JobFinished)])

    def test_what_can_not_be_in_time_is_not_sent(self):
        self.slots(0, base_us=800 * MS, a=1, b=1)
        [over] = self.begin("late", due=300 * MS)
        self.assertFalse(over.result.ran)

    def test_a_slot_stays_in_use_while_a_server_goes_on_with_what_was_given_up(self):
        [sent] = self.begin("j", due=200 * MS)
        name = sent.member.instance.name
        self.slots(0, a=1, b=1)
        decided = self.attempt_controller.tick(100 * MS)
        self.assertTrue(any(isinstance(one, CancelSend) for one in decided))
        self.assertEqual(1, self.dispatcher.permits.servers[name].in_use)
        self.dispatcher.tick(S, 0)
        self.assertEqual(0, self.dispatcher.permits.servers[name].in_use)

    def test_a_try_that_reached_nobody_is_not_counted(self):
        [sent] = self.begin("j")
        self.assertEqual(1, self.dispatcher.retry_budget.sent)
        self.attempt_controller.attempt_ended(1, "j", sent.number, AttemptOutcome.NOT_CONNECTED)
        self.assertEqual(0, self.dispatcher.retry_budget.sent)


class DoorTest(unittest.TestCase):
    """What stands at the door."""

    def setUp(self):
        self.admission = AdmissionController(("",), RetryBudget(0.0), 5 * S)

    def placed(self, now=0, retry=False, ran=False, client="c"):
        return self.admission.prioritize(now, 10**15 + now, PriorityInputs(1.0, client, "r", retry), ran)

    def test_what_ran_is_outside_of_the_order(self):
        self.assertEqual((PRIORITY_EXEMPT, 0), self.placed(ran=True, retry=True))

    def test_a_retry_that_nobody_pays_for_is_past_all_levels_but_in_its_turn(self):
        for _ in range(10):
            self.admission.retry_budget.add_sent(0)
        places = [self.placed(now=at * S, retry=True)[0] for at in range(4)]
        self.assertEqual(3, places.count(PRIORITY_REFUSED), places)
        self.assertLess(min(places), 1.0)

    def test_a_level_counts_until_it_is_old_and_then_the_member_decides_alone(self):
        self.admission.set_capacity(4, 4.0)
        self.admission.apply_level(0, AdmissionLevel(0.3))
        self.assertEqual(AdmissionLimits(4, 4.0, (0.3,)), self.admission.limits())
        for look in range(20):
            self.admission.tick(look * 250 * MS, 0, {})
        self.assertEqual(ADMIT_ALL, self.admission.limits().levels[0])

    def test_a_client_that_is_far_past_its_share_stands_behind_all_that_are_inside(self):
        self.admission.apply_level(0, AdmissionLevel(0.5, (("big", 0.0),)))
        self.assertGreater(self.placed(client="big")[0], max(self.placed(client=f"c{at}")[0] for at in range(50)))
