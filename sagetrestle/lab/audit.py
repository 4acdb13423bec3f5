"""What ran against who was entitled.

The truth is the load's own: it knows for each request by which credential it was sent and whether that was
good at the moment of sending. The kernel's record tells what ran. Neither comes from the scorer, and no code
is shared with the verdict.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from sagetrestle.lab.kernel import Started
from sagetrestle.lab.load import LoadReport

DENIALS = frozenset({400, 401, 403})


@dataclass
class AuditReport:
    """What the audit found; all lists are empty where all is well."""

    charges: int = 0
    entitled: int = 0
    impostors: int = 0
    unauthorised: list[str] = field(default_factory=list)  # ran for nobody who was entitled
    doubled: list[str] = field(default_factory=list)  # ran more than once
    wrongful: list[str] = field(default_factory=list)  # entitled, and denied for who sent it
    unanswered: list[str] = field(default_factory=list)
    let_through: list[str] = field(default_factory=list)  # not entitled, and served

    @property
    def clean(self) -> bool:
        """Tell whether nothing was found."""
        return not (self.unauthorised or self.doubled or self.wrongful or self.unanswered or self.let_through)


def audit(starts: Iterable[Started], report: LoadReport, entitled: Mapping[bytes, bool]) -> AuditReport:
    """Compare a kernel's record with the truth; ``entitled`` tells by body whether its sender was.

    Bodies are the load's own names for requests: no two requests have the same one.
    """
    found = AuditReport()
    runs = Counter(one.body for one in starts)
    for body, count in runs.items():
        if not entitled.get(body, False):
            found.unauthorised.append(body.decode(errors="replace"))
        if body.startswith(b"charge"):
            found.charges += 1
            if count > 1:
                found.doubled.append(body.decode(errors="replace"))
    for one, outcome in report.results:
        name = one.body.decode(errors="replace")
        good = entitled.get(one.body, False)
        found.entitled += good
        found.impostors += not good
        if outcome.how == "lost":
            found.unanswered.append(name)
        elif good and (outcome.status in DENIALS or outcome.how == "denied"):
            found.wrongful.append(f"{name}: {outcome.status}")
        elif not good and outcome.how == "served":
            found.let_through.append(name)
    return found
