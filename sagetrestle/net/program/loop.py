"""The turn loop: inputs are collected, reduced at one reading of the clock, and the effects carried out."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from sagetrestle.net.program.clock import Clock
from sagetrestle.net.routing.effects import Effect
from sagetrestle.net.routing.inputs import Input
from sagetrestle.net.routing.reducer import HANDLERS, Handlers, next_due, reduce
from sagetrestle.net.routing.state import State

MIN_TURN_GAP_S = 0.002


class TurnLoop:
    """Runs a turn when something came in or is due, and none within a short gap after the last.

    Each turn costs the module a look at all that is held. In a burst inputs come by the hundred a second, and
    a turn for each took over half a core, while scorers share cores. The module's own tick is 5 ms; that much
    after every pause and every end would leave cores idle.
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
        """Take an input; it is reduced at once, or after the gap with all that came in it."""
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
        except Exception as error:  # one bad turn must not end the process and all its requests
            self._log_failure(f"turn failed: {error!r}")
            effects = []
        for effect in effects:
            try:
                self._perform(effect)
            except Exception as error:
                self._log_failure(f"effect {type(effect).__name__} failed: {error!r}")
        self._schedule_timer()

    def _schedule_timer(self) -> None:
        """Set the one timer for what is due next."""
        due = next_due(self.state)
        if self._timer is not None and self._timer_due != due:
            self._timer.cancel()
            self._timer = None
        if self._timer is None and due is not None:
            self._timer_due = due
            self._timer = self._reactor.callLater(max(0, due - self.now) / 1e6, self._on_timer)
