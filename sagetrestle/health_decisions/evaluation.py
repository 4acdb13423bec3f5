"""Finds unhealthy subjects from reports. The result depends on the reports only, so members with the same agree."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable

from sagetrestle.health_decisions.values import Subject, HealthReport

MIN_REPORTERS = 2  # minimum number of independent reporters against a subject


def unhealthy_subjects(
    reports: Iterable[HealthReport], now: int, age_us: int, by_zone: bool = False
) -> frozenset[Subject]:
    """Return the subjects that independent reporters find unhealthy.

    With ``by_zone`` reporters are independent if they are in different zones, so a zone whose own network link fails
    counts once, even if all reports known here are from that zone; otherwise each member is independent. A subject is
    unhealthy if at least ``MIN_REPORTERS`` reporters are against it, and more than are for it. The reports of
    a reporter are ignored if it reports on at least two subjects and against at least half of them, and if more of the
    others are for than against most of these: then its own link fails.
    """
    fresh = [report for report in reports if now - report.at_us <= age_us and report.good + report.bad]
    unreliable = _unreliable_reporters(fresh)
    counted = [report for report in fresh if report.reporter not in unreliable]
    groups: dict[Subject, Counter[str]] = defaultdict(Counter)
    for report in counted:
        groups[report.subject][report.zone if by_zone and report.zone else report.reporter] += (
            1 if report.is_negative else -1
        )
    found = set()
    for subject, counts in groups.items():
        against = sum(count > 0 for count in counts.values())
        if against >= MIN_REPORTERS and against > sum(count <= 0 for count in counts.values()):
            found.add(subject)
    return frozenset(found)


def _unreliable_reporters(fresh: list[HealthReport]) -> set[str]:
    """Return the reporters that are mostly against subjects that others are for, as their own link fails."""
    by_subject: dict[Subject, list[HealthReport]] = defaultdict(list)
    by_reporter: dict[str, list[HealthReport]] = defaultdict(list)
    for report in fresh:
        by_subject[report.subject].append(report)
        by_reporter[report.reporter].append(report)
    found = set()
    for reporter, own_reports in by_reporter.items():
        negative_subjects = [report.subject for report in own_reports if report.is_negative]
        if len(own_reports) < 2 or 2 * len(negative_subjects) < len(own_reports):
            continue
        contradicted = 0
        for subject in negative_subjects:
            others = [report for report in by_subject[subject] if report.reporter != reporter]
            contradicted += sum(not report.is_negative for report in others) > sum(
                report.is_negative for report in others
            )
        if 2 * contradicted > len(negative_subjects):
            found.add(reporter)
    return found
