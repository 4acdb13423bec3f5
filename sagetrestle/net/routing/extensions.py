"""The interfaces of the core's optional extensions: handover between processes, fleet, overload control, run checks.

The state holds the extensions, so this module must not import the state: turns and entries are ``Any`` here. That
way the state does not import the extensions, not even for their types.
"""

from __future__ import annotations

from enum import Enum
from typing import Any, Protocol

from sagetrestle.net.routing.values import Answer, Request


class RunDecision(Enum):
    """The decision on a keyed run."""

    START = "start"
    WAIT = "wait for an answer"
    HANDLED = "joined to another attempt, or answered: nothing is left to start"


class AdmissionCheck(Protocol):
    """A check that a keyed run has to pass besides the window of its key."""

    def check(self, turn: Any, entry: Any) -> RunDecision:
        """Decide whether a keyed attempt may run that the window allows."""

    def join_remote_run(self, turn: Any, entry: Any) -> bool:
        """Make an attempt that the window forbids wait for the run of its key elsewhere; False if there is none."""

    def wait_for_remote_run(self, by: str, id: str) -> bool:
        """Make attempt ``id`` wait for attempt ``by`` if that runs elsewhere; return whether it does."""

    def early_answer(self, turn: Any, request: Request) -> Answer | None:
        """Return the immediate answer to a keyed request that is unknown here, if there is one."""

    def attempt_ended(self, turn: Any, entry: Any) -> None:
        """Handle the end of an attempt."""


class HandoverExtension(AdmissionCheck, Protocol):
    """The handover to or from another process of this server in an upgrade (``handover.py``)."""

    def start(self, turn: Any, old_process_sockets: int) -> None:
        """Start, beside so many sockets that may belong to an old process."""

    def handle_stop(self, turn: Any) -> bool:
        """Handle the stop signal; return False if this process must not drain."""

    def has_pending_results(self, state: Any) -> bool:
        """Return whether the other process still waits for results of this one."""

    def next_due(self) -> int | None:
        """Return when ``tick`` is due next."""

    def tick(self, turn: Any) -> None:
        """Do the work that is due."""

    def report_load(self, turn: Any) -> None:
        """Report the resources that this process holds to the other process."""

    def connection_limit(self, maximum: int) -> int:
        """Return this process's share of ``maximum``, the connections that both processes together may hold."""

    def handed_over(self) -> bool:
        """Return whether a new process serves in place of this one."""

    def kernel_up(self, turn: Any) -> None:
        """Handle that the kernel is up."""


class OverloadExtension(Protocol):
    """Fleet-wide overload control (``overload_control.py``)."""

    regions: Any

    def prioritize(self, turn: Any, request: Request) -> tuple[float, int, int]:
        """Return a request's place in the admission order, its retry time if refused, and its region's index."""

    def answer_sent(self, turn: Any, request: Request, answer: Answer) -> None:
        """Count an answer towards the service level objectives."""

    def request_withdrawn(self, turn: Any, request: Request) -> None:
        """Count a request whose caller left."""


class FleetExtension(AdmissionCheck, Protocol):
    """The fleet that this server is a member of (``fleet.py``)."""

    overload: OverloadExtension | None

    def start(self, turn: Any) -> None:
        """Start as a member."""

    def next_due(self) -> int:
        """Return when ``tick`` is due next."""

    def tick(self, turn: Any) -> None:
        """Do the work that is due."""

    def handle_stop(self, turn: Any) -> None:
        """Handle the stop signal: hand the owned partitions over."""

    def class_pause_us(self, turn: Any, class_index: int) -> int:
        """Return for how long an operator paused a class, 0 if it is not paused."""

    def handle_event(self, turn: Any, event: Any) -> None:
        """Handle a fleet event."""
