"""Fleet-wide spending caps of tenants: a keyed run takes one unit of its tenant's limit before it starts.

The cap holder (``quota``) decides how much a member may spend without asking; here its decisions become starts,
waits and denials. Loaded only if enabled in ``deploy/fleet.toml``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sagetrestle.identity.values import Cause
from sagetrestle.interface import Outcome, RunEnded
from sagetrestle.net.routing.actions import start_if_admitted
from sagetrestle.net.routing.run_admission import RunDecision
from sagetrestle.net.routing.state import Phase, RequestEntry, State
from sagetrestle.net.routing.turn import Turn
from sagetrestle.net.routing.values import Answer, Denied, Refused, Request
from sagetrestle.quota import CapResult, Limit

if TYPE_CHECKING:
    from sagetrestle.identity.authenticator import Authenticator
    from sagetrestle.identity.tenants import SpendingCap
    from sagetrestle.takeover.node import Node


GRANTER_DOWN_RETRY_AFTER_US = 1_000_000  # sent when the granter of a limit does not answer


class SpendingCapCheck:
    """The admission check of spending caps."""

    def __init__(self, member: Node, authenticator: Authenticator) -> None:
        self._node, self._authenticator = member, authenticator
        member.cap_of = lambda tenant: cap.charges if (cap := self._cap(tenant)) is not None else None
        self._waiting: dict[str, Limit] = {}  # by id of the attempts that wait for a unit, in order

    def _cap(self, tenant: str) -> SpendingCap | None:
        settings = self._authenticator.snapshot.directory.tenants.get(tenant)
        return settings.cap if settings is not None else None

    def check(self, turn: Turn, entry: RequestEntry) -> RunDecision:
        """Take a unit for an attempt; it waits for one, or is denied until the end of the window."""
        cap = self._cap(entry.request.tenant)
        if cap is None or entry.cap_unit is not None:
            return RunDecision.START
        id, unix = entry.request.id, turn.unix()
        limit = Limit.at(entry.request.tenant, cap.window_us, unix)
        word, decisions = self._node.take_unit(turn.now, unix, limit, cap.charges, id)
        turn.state.fleet.perform(turn, decisions)
        if word is CapResult.TAKEN:
            entry.cap_unit = limit
            return RunDecision.START
        if word is CapResult.WAITING:
            self._waiting[id] = limit
            return RunDecision.WAIT
        if word is CapResult.GRANTER_SILENT:
            turn.log(f"request {id} not run: who grants {limit.tenant}'s limit is not heard")
            return self._end_unstarted(turn, entry, Refused(GRANTER_DOWN_RETRY_AFTER_US))
        turn.log(
            f"request {id} of tenant {limit.tenant} denied: {Cause.SPENT.value}, over the fleet",
            request=id,
            tenant=limit.tenant,
            cause=Cause.SPENT.name.lower(),
        )
        return self._end_unstarted(turn, entry, Denied(Cause.SPENT, limit.until_us - unix))

    @staticmethod
    def _end_unstarted(turn: Turn, entry: RequestEntry, answer: Answer) -> RunDecision:
        turn.answer(entry, answer)
        turn.state.keys.mark_not_run(entry.request)
        turn.events.append(RunEnded(entry.request.id, Outcome.FULL))
        turn.finish(entry)
        return RunDecision.HANDLED

    def wait_for_rate(self, turn: Turn, tenant: str) -> int:
        """Count a request towards its tenant's rate; return 0, or the microseconds until one is allowed."""
        settings = self._authenticator.snapshot.directory.tenants.get(tenant)
        if settings is None or not settings.rate_per_s:
            return 0
        members = len(self._node.effect_log.map.members) or 1
        return self._node.rates.take(turn.now, tenant, settings.rate_per_s, members)

    def units_granted(self, turn: Turn, limit: Limit) -> None:
        """Check the attempts again that waited for units of ``limit``."""
        for id in [id for id, awaited in self._waiting.items() if awaited == limit]:
            del self._waiting[id]
            entry = turn.state.entries.get(id)
            if entry is not None and entry.phase is Phase.AWAITING_GRANT and entry.unanswered:
                start_if_admitted(turn, entry)

    def join_remote_run(self, turn: Turn, entry: RequestEntry) -> bool:
        """Return False: caps know no runs elsewhere."""
        return False

    def wait_for_remote_run(self, by: str, id: str) -> bool:
        """Return False: caps know no runs elsewhere."""
        return False

    def early_answer(self, turn: Turn, request: Request) -> Answer | None:
        """Return None: caps give no early answers."""
        return None

    def attempt_ended(self, turn: Turn, entry: RequestEntry) -> None:
        """Return the unit of an attempt that is known not to have run."""
        id = entry.request.id
        limit = self._waiting.pop(id, None)
        if limit is not None:
            self._node.unit_holder.cancel_wait(limit, id)
        if entry.cap_unit is None:
            return
        keys = turn.state.keys
        ran = entry.in_doubt or keys.run_id_in_window(entry.request) == id or keys.result(id) is not None
        if not (entry.ran and ran):
            self._node.unit_holder.refund(entry.cap_unit)
        entry.cap_unit = None


def attach_cap_check(state: State, member: Node) -> None:
    """Add the cap check, before the fleet's own, so that a denied request writes no record."""
    assert state.authenticator is not None
    state.run_admission.checks.append(SpendingCapCheck(member, state.authenticator))
