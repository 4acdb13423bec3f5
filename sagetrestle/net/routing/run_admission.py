"""Admission control of keyed runs: the window of the key first, then each registered check in order.

A check represents other processes: the handover between processes of one server, the fleet, or its spending caps. A
request that has to wait is checked again each time a grant or another answer arrives.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from sagetrestle.net.routing.extensions import AdmissionCheck, RunDecision
from sagetrestle.net.routing.values import Answer, Request

__all__ = ["RunAdmission", "AdmissionCheck", "RunDecision"]


@dataclass(slots=True)
class RunAdmission:
    """The window of the key, and the registered checks in order."""

    checks: list[AdmissionCheck] = field(default_factory=list)

    def check(self, turn: Any, entry: Any) -> RunDecision:
        """Decide whether a queued attempt may run now; attempts without a key always may."""
        keys = turn.state.keys
        if not keys.is_keyed(entry.request):
            return RunDecision.START
        if not keys.may_start(entry.request):
            if not any(check.join_remote_run(turn, entry) for check in self.checks):
                # Prevents a second effect even if the policy starts both attempts.
                turn.log(f"request {entry.request.id} not run: a try of it ran within the window")
                turn.answer_repeat(entry, None)
            return RunDecision.HANDLED
        for check in self.checks:
            decision = check.check(turn, entry)
            if decision is not RunDecision.START:
                return decision
        return RunDecision.START

    def wait_for_remote_run(self, by: str, id: str) -> bool:
        """Make attempt ``id`` wait for attempt ``by`` if that runs in another process; return whether it does."""
        return any(check.wait_for_remote_run(by, id) for check in self.checks)

    def early_answer(self, turn: Any, request: Request) -> Answer | None:
        """Return the answer to a keyed request that can be given without the policy, if there is one."""
        keys = turn.state.keys
        if self.checks and keys.is_keyed(request) and not keys.ran_in_window(request):
            for check in self.checks:
                answer = check.early_answer(turn, request)
                if answer is not None:
                    return answer
        return None

    def attempt_ended(self, turn: Any, entry: Any) -> None:
        """Tell all checks that an attempt has ended."""
        for check in self.checks:
            check.attempt_ended(turn, entry)
