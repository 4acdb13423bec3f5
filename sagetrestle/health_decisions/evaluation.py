"""Finds unhealthy subjects from reports. The result depends on the reports only, so members with the same agree."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable

from sagetrestle.health_decisions.values import Subject, HealthReport

MIN_REPORTERS = 2  # minimum number of independent reporters against a subject


def unhealthy_subjects(
    voices: Iterable[HealthReport], now: int, age_us: int, zoned: bool = False
) -> frozenset[Subject]:
    """Return the subjects that independent reporters find unhealthy.

    With ``zoned`` reporters are independent if they are in different zones, so a zone whose own network link fails
    counts once (the reports known here may all be of one zone); otherwise members are independent. A subject is
    unhealthy if at least ``MIN_REPORTERS`` reporters are against it, and more than are for it. Reports of one
    that is against at least half of two or more subjects, most of which more reporters are for, are ignored: they
    show that its own link fails.
    """
    fresh = [one for one in voices if now - one.at_us <= age_us and one.good + one.bad]
    liars = _liars(fresh)
    heard = [one for one in fresh if one.reporter not in liars]
    groups: dict[Subject, Counter[str]] = defaultdict(Counter)
    for one in heard:
        groups[one.subject][one.zone if zoned and one.zone else one.reporter] += 1 if one.is_negative else -1
    found = set()
    for subject, counts in groups.items():
        against = sum(count > 0 for count in counts.values())
        if against >= MIN_REPORTERS and against > sum(count <= 0 for count in counts.values()):
            found.add(subject)
    return frozenset(found)


def _liars(fresh: list[HealthReport]) -> set[str]:
    """Return reporters that are mostly against subjects that others are for: their own link fails."""
    views: dict[Subject, list[HealthReport]] = defaultdict(list)
    spoken: dict[str, list[HealthReport]] = defaultdict(list)
    for one in fresh:
        views[one.subject].append(one)
        spoken[one.reporter].append(one)
    found = set()
    for witness, said in spoken.items():
        accused = [one.subject for one in said if one.is_negative]
        if len(said) < 2 or 2 * len(accused) < len(said):
            continue
        contradicted = 0
        for subject in accused:
            others = [one for one in views[subject] if one.reporter != witness]
            contradicted += sum(not one.is_negative for one in others) > sum(one.is_negative for one in others)
        if 2 * contradicted > len(accused):
            found.add(witness)
    return found
