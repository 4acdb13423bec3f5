"""Who is convicted by voices: the one place where that is decided, and alike wherever the same voices are known."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable

from sagetrestle.health_decisions.values import Subject, Voice

WITNESSES = 2  # independent ones at the least


def convicted(voices: Iterable[Voice], now: int, age_us: int, zoned: bool = False) -> frozenset[Subject]:
    """Return the subjects that independent witnesses convict now.

    Witnesses are independent by zone where the fleet has several (``zoned``; those whose voices are here may all be of
    one), else by member: a zone whose own link is bad counts once. Two at the least have to speak against a subject,
    and more than speak for it. A witness that speaks against half and more of at least two subjects while as many speak
    for most of those is not heard: its own link is what it sees.
    """
    fresh = [one for one in voices if now - one.at_us <= age_us and one.good + one.bad]
    liars = _liars(fresh)
    heard = [one for one in fresh if one.witness not in liars]
    groups: dict[Subject, Counter[str]] = defaultdict(Counter)
    for one in heard:
        groups[one.subject][one.zone if zoned and one.zone else one.witness] += 1 if one.against else -1
    found = set()
    for subject, counts in groups.items():
        against = sum(count > 0 for count in counts.values())
        if against >= WITNESSES and against > sum(count <= 0 for count in counts.values()):
            found.add(subject)
    return frozenset(found)


def _liars(fresh: list[Voice]) -> set[str]:
    """Return witnesses that speak against what others speak for, wherever they look."""
    views: dict[Subject, list[Voice]] = defaultdict(list)
    spoken: dict[str, list[Voice]] = defaultdict(list)
    for one in fresh:
        views[one.subject].append(one)
        spoken[one.witness].append(one)
    found = set()
    for witness, said in spoken.items():
        accused = [one.subject for one in said if one.against]
        if len(said) < 2 or 2 * len(accused) < len(said):
            continue
        contradicted = 0
        for subject in accused:
            others = [one for one in views[subject] if one.witness != witness]
            contradicted += sum(not one.against for one in others) > sum(one.against for one in others)
        if 2 * contradicted > len(accused):
            found.add(witness)
    return found
