"""The one gate before a keyed run: the window of its key, and whoever else has a say, in order.

A judge is another process's side of the matter: the pair of an upgrade, or the fleet. Each answers for a try that the
module wants to run; what waits does so in one phase, and comes here again with each decision.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from sagetrestle.net.routing.extensions import AdmissionCheck, RunDecision
from sagetrestle.net.routing.values import Answer, Request

__all__ = ["RunAdmission", "AdmissionCheck", "RunDecision"]


@dataclass(slots=True)
class RunAdmission:
    """All judges, asked in their order."""

    checks: list[AdmissionCheck] = field(default_factory=list)

    def check(self, turn: Any, entry: Any) -> RunDecision:
        """Say whether a held try may run now; only a keyed one is anybody's concern."""
        keys = turn.state.keys
        if not keys.is_keyed(entry.request):
            return RunDecision.START
        if not keys.may_start(entry.request):
            if not any(check.join_remote_run(turn, entry) for check in self.checks):
                # Guards against a second effect whatever the module makes of the tries: the window binds the program.
                turn.log(f"request {entry.request.id} not run: a try of it ran within the window")
                turn.answer_repeat(entry, None)
            return RunDecision.HANDLED
        for check in self.checks:
            decision = check.check(turn, entry)
            if decision is not RunDecision.START:
                return decision
        return RunDecision.START

    def wait_for_remote_run(self, by: str, id: str) -> bool:
        """Have a try wait for the one that it repeats, if that runs at another process."""
        return any(check.wait_for_remote_run(by, id) for check in self.checks)

    def early_answer(self, turn: Any, request: Request) -> Answer | None:
        """Return the answer of a keyed request that the module need not hear of, if there is one."""
        keys = turn.state.keys
        if self.checks and keys.is_keyed(request) and not keys.ran_in_window(request):
            for check in self.checks:
                answer = check.early_answer(turn, request)
                if answer is not None:
                    return answer
        return None

    def attempt_ended(self, turn: Any, entry: Any) -> None:
        """Note that a try is over."""
        for check in self.checks:
            check.attempt_ended(turn, entry)
