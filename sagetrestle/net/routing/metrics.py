"""Metrics of one process since its start: final answers by class, and runs started at the kernel."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from sagetrestle.net.routing.values import Answer, Failed, Served

PREFIX = "svc"
OUTCOMES = ("served", "refused", "failed")


@dataclass(slots=True)
class Metrics:
    """Counters; ``ends`` has one row for each class, with columns in the order of ``OUTCOMES``."""

    ends: list[list[int]] = field(default_factory=list)
    attempts: int = 0

    def count(self, class_index: int, answer: Answer) -> None:
        """Count a final answer; a denial counts as a refusal, as the attempt never ran."""
        outcome_index = 0 if isinstance(answer, Served) else 2 if isinstance(answer, Failed) else 1
        self.ends[class_index][outcome_index] += 1

    def lines(self, names: Sequence[str], in_flight: int) -> str:
        """Return the metrics in text form, one a line: name, value, and ``c`` for counter or ``g`` for gauge."""
        lines = [
            f"{PREFIX}.{outcome}.{name}:{self.ends[class_index][outcome_index]}|c"
            for class_index, name in enumerate(names)
            for outcome_index, outcome in enumerate(OUTCOMES)
        ]
        lines += [f"{PREFIX}.attempts:{self.attempts}|c", f"{PREFIX}.in_flight:{in_flight}|g"]
        return "\n".join(lines) + "\n"
