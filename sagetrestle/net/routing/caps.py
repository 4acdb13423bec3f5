"""Tenants' spending caps for the whole fleet, before a keyed run: a unit of the tenant's limit is taken for each.

What a member may spend alone is the holder's to say (``quota``); here that becomes starts, waits and denials. Loaded
only where ``deploy/fleet.toml`` asks for it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sagetrestle.identity.values import Cause
from sagetrestle.interface import Outcome, RunEnded
from sagetrestle.net.routing.actions import through_gate
from sagetrestle.net.routing.gate import Word as Pass
from sagetrestle.net.routing.state import Entry, Phase, State
from sagetrestle.net.routing.turn import Turn
from sagetrestle.net.routing.values import Answer, Denied, Refused, Request
from sagetrestle.quota import Limit, Word

if TYPE_CHECKING:
    from sagetrestle.identity.guard import Guard
    from sagetrestle.identity.tenants import Cap
    from sagetrestle.takeover.node import Node


SILENT_US = 1_000_000  # how long to stay away where nobody can tell what is left


class Caps:
    """A judge of the gate."""

    def __init__(self, member: Node, guard: Guard) -> None:
        self._node, self._guard = member, guard
        member.cap_of = lambda tenant: cap.charges if (cap := self._cap(tenant)) is not None else None
        self._waiting: dict[str, Limit] = {}  # tries that wait for a unit, in their order

    def _cap(self, tenant: str) -> Cap | None:
        found = self._guard.snapshot.directory.tenants.get(tenant)
        return found.cap if found is not None else None

    def judge(self, turn: Turn, entry: Entry) -> Pass:
        """Take a unit for a try that is to run; it waits for one, or is denied with the end of the window."""
        cap = self._cap(entry.request.tenant)
        if cap is None or entry.unit is not None:
            return Pass.START
        id, unix = entry.request.id, turn.unix()
        limit = Limit.at(entry.request.tenant, cap.window_us, unix)
        word, decisions = self._node.take_unit(turn.now, unix, limit, cap.charges, id)
        turn.state.fleet.perform(turn, decisions)
        if word is Word.TAKEN:
            entry.unit = limit
            return Pass.START
        if word is Word.WAIT:
            self._waiting[id] = limit
            return Pass.WAIT
        if word is Word.SILENT:
            turn.log(f"request {id} not run: who grants {limit.tenant}'s limit is not heard")
            return self._end(turn, entry, Refused(SILENT_US))
        turn.log(
            f"request {id} of tenant {limit.tenant} denied: {Cause.SPENT.value}, over the fleet",
            request=id,
            tenant=limit.tenant,
            cause=Cause.SPENT.name.lower(),
        )
        return self._end(turn, entry, Denied(Cause.SPENT, limit.until_us - unix))

    @staticmethod
    def _end(turn: Turn, entry: Entry, answer: Answer) -> Pass:
        turn.answer(entry, answer)
        turn.state.keys.never_ran(entry.request)
        turn.events.append(RunEnded(entry.request.id, Outcome.FULL))
        turn.over(entry)
        return Pass.OVER

    def wait_for_rate(self, turn: Turn, tenant: str) -> int:
        """Take a request of a tenant into its rate (0), or return in how many microseconds one may come."""
        found = self._guard.snapshot.directory.tenants.get(tenant)
        if found is None or not found.rate_per_s:
            return 0
        members = len(self._node.effect_log.map.members) or 1
        return self._node.rates.take(turn.now, tenant, found.rate_per_s, members)

    def ready(self, turn: Turn, limit: Limit) -> None:
        """Ask again for what waited."""
        for id in [id for id, one in self._waiting.items() if one == limit]:
            del self._waiting[id]
            entry = turn.state.entries.get(id)
            if entry is not None and entry.phase is Phase.WAITING and entry.owed:
                through_gate(turn, entry)

    def join(self, turn: Turn, entry: Entry) -> bool:
        """Have nothing wait for another's run."""
        return False

    def wait(self, by: str, id: str) -> bool:
        """Have nothing wait for another's run."""
        return False

    def door(self, turn: Turn, request: Request) -> Answer | None:
        """Know no answer."""
        return None

    def over(self, turn: Turn, entry: Entry) -> None:
        """Give the unit of a try back that is known never to have run."""
        id = entry.request.id
        limit = self._waiting.pop(id, None)
        if limit is not None:
            self._node.unit_holder.forget(limit, id)
        if entry.unit is None:
            return
        keys = turn.state.keys
        ran = entry.in_doubt or keys.ran_id(entry.request) == id or keys.result(id) is not None
        if not (entry.ran and ran):
            self._node.unit_holder.give_back(entry.unit)
        entry.unit = None


def join_caps(state: State, member: Node) -> None:
    """Have caps heard first before a keyed run: what is denied needs no record."""
    assert state.guard is not None
    state.gate.judges.append(Caps(member, state.guard))
