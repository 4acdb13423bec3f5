"""Tests of dispatch and admission: attempts wait for permits, and pointless ones are not sent."""

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


class PermitsTest(unittest.TestCase):
    """An attempt controller with permits for two servers."""

    def setUp(self):
        self.members = [
            Member(Instance(name, Endpoint("127.0.0.1", 9), boot=1), MemberState.ANNOUNCED, 0) for name in "ab"
        ]
        router = Router(seed=1)
        router.set_view(View().with_changes(self.members))
        self.attempt_controller, self.dispatcher = AttemptController(router), Dispatcher(RetryBudget(0.5))
        self.attempt_controller.capacity = self.dispatcher
        self.dispatcher.permits.update_servers(0, [("a", 1), ("b", 1)])
        self.abandoned = set()
        self.attempt_controller.is_awaited = lambda id: id not in self.abandoned
        self.serial = 0
        self.grant_permits(0, a=1, b=1)

    def grant_permits(self, now, base_us=60 * MS, **shares):
        self.report_time_us = getattr(self, "report_time_us", 9 * S) + S
        for report in self.dispatcher.permits.tick(self.report_time_us):
            if report.server in shares:
                self.serial += 1
                self.dispatcher.apply_grant(
                    now,
                    PermitGrant(
                        report.server, 1, report.number, 1, self.serial, shares[report.server], 1.0, 4.0, base_us, 1
                    ),
                )

    def submit_job(self, id, now=0, due=S, **more):
        self.dispatcher.retry_budget.add_first_attempt(now)
        return self.attempt_controller.submit(now, Job(id, "r", "t", due, **more))

    def sends(self, decisions):
        return [
            (decision.job.id, decision.member.instance.name) for decision in decisions if isinstance(decision, Send)
        ]

    def test_each_server_gets_requests_up_to_its_permits_and_the_others_wait(self):
        sent = sum((self.sends(self.submit_job(f"j{index}")) for index in range(3)), [])
        self.assertEqual({"a", "b"}, {name for _, name in sent})
        self.assertEqual((2, 1), (len(sent), self.attempt_controller.queued_count()))
        self.assertEqual([], self.sends(self.attempt_controller.send_queued(1)))
        id, name = sent[0]
        self.attempt_controller.attempt_ended(50 * MS, id, 1, AttemptOutcome.ANSWERED, "x")
        self.assertEqual([("j2", name)], self.sends(self.attempt_controller.send_queued(50 * MS)))

    def test_a_job_that_waits_past_its_deadline_never_ran(self):
        for index in range(3):
            self.submit_job(f"j{index}", key=f"K{index}", member=self.members[0])
        decisions = self.attempt_controller.tick(S)
        finished = {decision.job.id: decision.result for decision in decisions if isinstance(decision, JobFinished)}
        self.assertTrue(finished["j0"].ran)  # it was sent
        self.assertFalse(finished["j1"].ran or finished["j2"].ran)
        self.assertIs(AttemptOutcome.NO_CAPACITY, finished["j1"].end)

    def test_a_charge_waits_for_its_server_while_safe_work_is_sent(self):
        self.submit_job("c0", key="K0", member=self.members[0])
        self.submit_job("c1", key="K1", member=self.members[0])
        self.assertEqual([("s", "b")], self.sends(self.submit_job("s")))
        self.attempt_controller.attempt_ended(50 * MS, "c0", 1, AttemptOutcome.ANSWERED, "x")
        self.assertEqual([("c1", "a")], self.sends(self.attempt_controller.send_queued(50 * MS)))

    def test_a_job_without_a_waiting_caller_is_not_sent(self):
        self.submit_job("j0")
        self.submit_job("j1")
        self.submit_job("j2")
        self.abandoned.add("j2")
        self.attempt_controller.attempt_ended(50 * MS, "j0", 1, AttemptOutcome.ANSWERED, "x")
        decisions = self.attempt_controller.send_queued(50 * MS)
        self.assertEqual([], self.sends(decisions))
        self.assertEqual(["j2"], [decision.job.id for decision in decisions if isinstance(decision, JobFinished)])

    def test_a_job_that_can_not_be_answered_in_time_is_not_sent(self):
        self.grant_permits(0, base_us=800 * MS, a=1, b=1)
        [finished] = self.submit_job("late", due=300 * MS)
        self.assertFalse(finished.result.ran)

    def test_a_permit_stays_in_use_while_a_server_works_on_an_abandoned_request(self):
        [sent] = self.submit_job("j", due=200 * MS)
        name = sent.member.instance.name
        self.grant_permits(0, a=1, b=1)
        decisions = self.attempt_controller.tick(100 * MS)
        self.assertTrue(any(isinstance(decision, CancelSend) for decision in decisions))
        self.assertEqual(1, self.dispatcher.permits.servers[name].in_use)
        self.dispatcher.tick(S, 0)
        self.assertEqual(0, self.dispatcher.permits.servers[name].in_use)

    def test_an_attempt_that_reached_no_server_is_not_counted(self):
        [sent] = self.submit_job("j")
        self.assertEqual(1, self.dispatcher.retry_budget.sent)
        self.attempt_controller.attempt_ended(1, "j", sent.number, AttemptOutcome.NOT_CONNECTED)
        self.assertEqual(0, self.dispatcher.retry_budget.sent)


class AdmissionControllerTest(unittest.TestCase):
    """Priorities and levels at one member."""

    def setUp(self):
        self.admission = AdmissionController(("",), RetryBudget(0.0), 5 * S)

    def prioritize_request(self, now=0, retry=False, ran=False, client="c"):
        return self.admission.prioritize(now, 10**15 + now, PriorityInputs(1.0, client, "r", retry), ran)

    def test_a_request_that_ran_before_is_exempt(self):
        self.assertEqual((PRIORITY_EXEMPT, 0), self.prioritize_request(ran=True, retry=True))

    def test_a_retry_without_budget_is_refused_except_in_its_rotation(self):
        for _ in range(10):
            self.admission.retry_budget.add_sent(0)
        priorities = [self.prioritize_request(now=at * S, retry=True)[0] for at in range(4)]
        self.assertEqual(3, priorities.count(PRIORITY_REFUSED), priorities)
        self.assertLess(min(priorities), 1.0)

    def test_a_level_applies_until_it_is_old_and_then_the_member_decides_alone(self):
        self.admission.set_capacity(4, 4.0)
        self.admission.apply_level(0, AdmissionLevel(0.3))
        self.assertEqual(AdmissionLimits(4, 4.0, (0.3,)), self.admission.limits())
        for evaluation in range(20):
            self.admission.tick(evaluation * 250 * MS, 0, {})
        self.assertEqual(ADMIT_ALL, self.admission.limits().levels[0])

    def test_a_heavy_client_comes_after_all_clients_within_their_share(self):
        self.admission.apply_level(0, AdmissionLevel(0.5, (("big", 0.0),)))
        self.assertGreater(
            self.prioritize_request(client="big")[0],
            max(self.prioritize_request(client=f"c{at}")[0] for at in range(50)),
        )
