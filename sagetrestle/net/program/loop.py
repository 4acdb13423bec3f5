"""The turn loop: collects inputs, reduces them at one reading of the clock, and carries out the effects."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from sagetrestle.net.program.clock import Clock
from sagetrestle.net.routing.effects import Effect
from sagetrestle.net.routing.inputs import Input
from sagetrestle.net.routing.reducer import HANDLERS, Handlers, next_due, reduce
from sagetrestle.net.routing.state import State

MIN_TURN_GAP_S = 0.002  # batches the inputs of a burst; much more would leave cores idle (see TurnLoop)


class TurnLoop:
    """Runs a turn when an input arrives or a timer is due, with at least ``MIN_TURN_GAP_S`` between two turns.

    Each turn makes the decision module examine all requests that it holds. A burst brings hundreds of inputs a
    second, and one turn for each would use over half a core, while scorers share cores. A gap as long as the
    module's tick of 5 ms would leave cores idle after every pause and every end of a run.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        state: State,
        perform: Callable[[Effect], None],
        log_failure: Callable[[str], None],
        handlers: Handlers = HANDLERS,
    ) -> None:
        self._handlers = handlers
        self._reactor, self._clock, self.state = reactor, clock, state
        self._next_turn_s = 0.0
        self._perform, self._log_failure = perform, log_failure
        self._queue: list[Input] = []
        self._turn_call: Any = None
        self._timer: Any = None
        self._timer_due = -1
        self.now = clock.read()

    def post(self, item: Input) -> None:
        """Queue an input for the next turn, which runs at once or when the gap after the last turn is over."""
        self._queue.append(item)
        if self._turn_call is None:
            delay = max(0.0, self._next_turn_s - self._reactor.seconds())
            self._turn_call = self._reactor.callLater(delay, self._turn)

    def _on_timer(self) -> None:
        self._timer = None
        if self._turn_call is None:
            self._turn()

    def _turn(self) -> None:
        self._turn_call = None
        items, self._queue = self._queue, []
        self.now = self._clock.read()
        self._next_turn_s = self._reactor.seconds() + MIN_TURN_GAP_S
        try:
            effects = reduce(self.state, self.now, items, self._clock.unix_offset_us, self._handlers)
        except Exception as error:  # one failed turn must not end the process with all its requests
            self._log_failure(f"turn failed: {error!r}")
            effects = []
        for effect in effects:
            try:
                self._perform(effect)
            except Exception as error:
                self._log_failure(f"effect {type(effect).__name__} failed: {error!r}")
        self._schedule_timer()

    def _schedule_timer(self) -> None:
        """Set the timer to the next due time of the state; there is only one timer."""
        due = next_due(self.state)
        if self._timer is not None and self._timer_due != due:
            self._timer.cancel()
            self._timer = None
        if self._timer is None and due is not None:
            self._timer_due = due
            self._timer = self._reactor.callLater(max(0, due - self.now) / 1e6, self._on_timer)
