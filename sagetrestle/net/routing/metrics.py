"""The figures of one process, counted from its start: what became of requests, and runs handed to the kernel."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from sagetrestle.net.routing.values import Answer, Failed, Served

PREFIX = "svc"
OUTCOMES = ("served", "refused", "failed")


@dataclass(slots=True)
class Metrics:
    """Plain counters; ``ends`` has one row for each class, in the order of ``OUTCOMES``."""

    ends: list[list[int]] = field(default_factory=list)
    attempts: int = 0

    def count(self, class_index: int, answer: Answer) -> None:
        """Count a final answer: a denial is a refusal, as that try never ran."""
        at = 0 if isinstance(answer, Served) else 2 if isinstance(answer, Failed) else 1
        self.ends[class_index][at] += 1

    def lines(self, names: Sequence[str], in_flight: int) -> str:
        """Return the figures as the operators read them, one a line: name, value, ``c`` or ``g``."""
        told = [
            f"{PREFIX}.{outcome}.{name}:{self.ends[at][place]}|c"
            for at, name in enumerate(names)
            for place, outcome in enumerate(OUTCOMES)
        ]
        told += [f"{PREFIX}.attempts:{self.attempts}|c", f"{PREFIX}.in_flight:{in_flight}|g"]
        return "\n".join(told) + "\n"
