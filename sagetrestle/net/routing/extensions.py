"""What the core knows of its parts that may be off: a pair of processes, the fleet, whoever has a say on keyed runs.

It stands below the state, which holds them: turns and entries, which are made of the state, are ``Any`` here. So the
state imports none of its parts, not even for their types.
"""

from __future__ import annotations

from enum import Enum
from typing import Any, Protocol

from sagetrestle.net.routing.values import Answer, Request


class RunDecision(Enum):
    """What a keyed run may do."""

    START = "start"
    WAIT = "wait for a word"
    HANDLED = "joined to another try, or answered: there is nothing left to start"


class AdmissionCheck(Protocol):
    """Somebody besides the window who has a say."""

    def check(self, turn: Any, entry: Any) -> RunDecision:
        """Say whether a keyed try may run that the window allows."""

    def join_remote_run(self, turn: Any, entry: Any) -> bool:
        """Have a try that the window forbids wait for the one of its key that ran elsewhere; False if none did."""

    def wait_for_remote_run(self, by: str, id: str) -> bool:
        """Have a try wait for the one that it repeats, if that runs elsewhere."""

    def early_answer(self, turn: Any, request: Request) -> Answer | None:
        """Return the answer of a keyed request that is not known here, where there is one at once."""

    def attempt_ended(self, turn: Any, entry: Any) -> None:
        """Note that a try is over."""


class HandoverExtension(AdmissionCheck, Protocol):
    """Another process of this server, in an upgrade (``handover.py``)."""

    def start(self, turn: Any, old_process_sockets: int) -> None:
        """Start beside so many older processes."""

    def handle_stop(self, turn: Any) -> bool:
        """Be told to leave; False: it is not for this process to drain."""

    def has_pending_results(self, state: Any) -> bool:
        """Tell whether something is still owed to the other process."""

    def next_due(self) -> int | None:
        """Return when time alone changes something here."""

    def tick(self, turn: Any) -> None:
        """Do what time brings."""

    def report_load(self, turn: Any) -> None:
        """Tell the other process what this one holds."""

    def connection_limit(self, maximum: int) -> int:
        """Return how many of the connections that both may hold this one may."""

    def handed_over(self) -> bool:
        """Tell whether a newer process serves."""

    def kernel_up(self, turn: Any) -> None:
        """Take that the kernel is up."""


class OverloadExtension(Protocol):
    """The door of a fleet that sheds overload as one (``strain.py``)."""

    regions: Any

    def prioritize(self, turn: Any, request: Request) -> tuple[float, int, int]:
        """Return a request's place in the order of all, when it is to come back, and its region's number."""

    def answer_sent(self, turn: Any, request: Request, answer: Answer) -> None:
        """Count an answer against what was promised."""

    def request_withdrawn(self, turn: Any, request: Request) -> None:
        """Count a request whose caller left."""


class FleetExtension(AdmissionCheck, Protocol):
    """Other servers that this one acts with (``fleet.py``)."""

    overload: OverloadExtension | None

    def start(self, turn: Any) -> None:
        """Start."""

    def next_due(self) -> int:
        """Return when time alone changes something here."""

    def tick(self, turn: Any) -> None:
        """Do what time brings."""

    def handle_stop(self, turn: Any) -> None:
        """Be on the way out."""

    def class_pause_us(self, turn: Any, class_index: int) -> int:
        """Return for how long a class is paused by an operator, 0 where it is not."""

    def handle_event(self, turn: Any, event: Any) -> None:
        """Take what came."""
