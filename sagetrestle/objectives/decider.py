"""Decides for objectives: counts over all members, burn rates, breaches, and each tenant's plan.

The owner of the partition of the key ``promise TENANT`` decides, under its lease. Members report counts since their
start, so a repeated report counts once. A new decider takes each member's first report as the baseline, and continues
with the window's counts and the plan that its predecessor gossiped. It misses the counts of the last report or two
before its predecessor failed.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from sagetrestle.gossip import GossipStore
from sagetrestle.objectives.counts import merge_histograms
from sagetrestle.objectives.plan import RecentCounts, Plan, RegionStatus
from sagetrestle.objectives.values import (
    BudgetReport,
    ObjectiveConfig,
    RegionPlan,
    Objective,
    ReservationReport,
    ServedCounts,
)

EVALUATION_INTERVAL_US = 1_000_000  # minimum time between evaluations of an account
RECENT_HALF_LIFE_US = 4_000_000  # half-life of a tenant's recent counts by region, the short window of its burn rate
REGION_REPORT_TTL_US = 20_000_000  # maximum age of a report on a region
LEVEL_TTL_US = 2_000_000  # maximum age of an admission level
RESERVATION_TTL_US = 3_000_000  # how long moved load counts as reserved
USABLE_CAPACITY_SHARE = 0.9  # part of a region's capacity that plans may fill
# Part of the capacity that counts as free while a region does not shed, as concurrency limits grow only with use.
MIN_FREE_CAPACITY_SHARE = 0.05
MIN_SERVER_DELAY_US = 1_000.0  # minimum delay without a queue from which a server's capacity is computed
RATE_SMOOTHING = 0.5  # weight of the last evaluation in an account's smoothed rate
IDLE_TIMEOUT_US = 600_000_000  # a tenant without requests is forgotten after this time
MAX_ACCOUNTS = 20_000
MAX_HISTOGRAMS = 64  # maximum number of members whose histograms are merged, the latest first


@dataclass
class Account:
    """The state of one tenant and class at its decider."""

    objective: Objective
    began_us: int
    window: int
    plan: Plan
    good: int = 0
    late: int = 0
    breached: bool = False
    recent: dict[str, list[float]] = field(default_factory=dict)  # by region: good and late answers, with decay
    seen: dict[tuple[str, str], tuple[int, int]] = field(default_factory=dict)  # last counts, by member and region
    heard_us: int = 0  # time of the last report
    evaluated_us: int = 0
    per_s: float = 0.0  # smoothed answers per second
    new: int = 0  # number of answers since the last evaluation
    attainable: bool = True

    @property
    def burn(self) -> float:
        """Return the burn rate of the window's error budget; 1.0 uses up exactly the budget."""
        total = self.good + self.late
        return self.late / total / max(1e-9, 1.0 - self.objective.share) if total else 0.0


class ObjectiveDecider:
    """Decides for the objectives that this member owns. Windows follow ``unix``, the time of day."""

    def __init__(self, config: ObjectiveConfig, store: GossipStore) -> None:
        self.config, self._store = config, store
        self.accounts: dict[tuple[str, str], Account] = {}
        self.members: dict[str, int] = {}  # by member: time of its last report
        self.moves = 0
        self._status_cache: dict[tuple[str, float], tuple[int, dict[str, RegionStatus]]] = {}
        self._notes: list[str] = []

    def notes(self) -> list[str]:
        """Return the messages for the operators' log since the last call."""
        found, self._notes = self._notes, []
        return found

    def handle_counts(self, now: int, unix: int, since_us: int, member: str, rows: Iterable[ServedCounts]) -> None:
        """Apply a member's counts; ``member`` names one start of it."""
        self.members[member] = now
        for row in rows:
            objective = self.config.objectives.get((row.tenant, row.class_name))
            if objective is None or row.region not in objective.regions and row.region:
                continue
            account = self._account(now, unix, since_us, objective)
            if account is None:
                continue
            key = (member, row.region)
            before = account.seen.get(key)
            if before is not None and row.good + row.late < sum(before):
                continue  # an earlier report that arrived late
            account.seen[key] = (row.good, row.late)
            account.heard_us = now
            if before is None:
                if account.began_us == since_us and now - since_us > EVALUATION_INTERVAL_US * 3:
                    before = (0, 0)  # first heard well after this decider began, so all its counts are new
                else:
                    continue
            good, late = row.good - before[0], row.late - before[1]
            self._turn_window(account, unix)
            account.good, account.late = account.good + good, account.late + late
            account.new += good + late
            recent = account.recent.setdefault(row.region, [0.0, 0.0])
            recent[0], recent[1] = recent[0] + good, recent[1] + late

    def tick(
        self,
        now: int,
        unix: int,
        epoch_of: Callable[[str], int],
        owns: Callable[[str], bool],
    ) -> list[tuple[str, tuple[RegionPlan, ...]]]:
        """Update each account that is due; return the plans to send, by member."""
        changed: list[RegionPlan] = []
        moved: dict[str, float] = {}
        by_urgency = sorted(self.accounts.items(), key=lambda item: self._urgency(item[1]))
        for (tenant, class_name), account in by_urgency:
            key = f"promise {tenant}"
            if not owns(key) or now - account.heard_us > IDLE_TIMEOUT_US:
                del self.accounts[(tenant, class_name)]
                continue
            if now - account.evaluated_us < EVALUATION_INTERVAL_US:
                continue
            self._evaluate(now, unix, account, moved)
            planned = RegionPlan(tenant, class_name, tuple(sorted(account.plan.shares.items())), account.attainable)
            changed.append(planned)
            self._store.publish(
                now,
                unix,
                "budget",
                f"{tenant}\0{class_name}",
                BudgetReport(
                    epoch_of(key), account.window, account.good, account.late, account.breached, planned.shares
                ),
            )
        for region, per_s in moved.items():
            self._store.publish(now, unix, "reserve", region, ReservationReport(per_s), at_once=True)
        self.members = {id: at for id, at in self.members.items() if now - at < IDLE_TIMEOUT_US}
        return [(id, tuple(changed)) for id in self.members] if changed else []

    def status(self) -> list[dict[str, object]]:
        """Return the state of the first 200 accounts for a status reply."""
        return [
            {
                "tenant": account.objective.tenant,
                "class": account.objective.class_name,
                "good": account.good,
                "late": account.late,
                "burn": round(account.burn, 2),
                "breached": account.breached,
                "kept": account.attainable,
                "shares": {region: round(share, 2) for region, share in account.plan.shares.items()},
                "moves": account.plan.moves,
            }
            for account in list(self.accounts.values())[:200]
        ]

    # Internal

    @staticmethod
    def _urgency(account: Account) -> tuple[bool, float, float]:
        """Return the sort key by which accounts get free capacity.

        Accounts whose error budget is used up come last. Among the others higher worth comes first, then a higher burn
        rate.
        """
        return account.burn > 1.0, -account.objective.worth, -account.burn

    def _account(self, now: int, unix: int, since_us: int, objective: Objective) -> Account | None:
        key = (objective.tenant, objective.class_name)
        account = self.accounts.get(key)
        if account is not None and account.began_us == since_us:
            return account
        if account is None and len(self.accounts) >= MAX_ACCOUNTS:
            return None
        account = self.accounts[key] = Account(objective, since_us, unix // objective.window_us, Plan(objective))
        best = None
        for row, stored in self._store.rows_of("budget", now, objective.window_us):
            if row.subject == f"{objective.tenant}\0{objective.class_name}":
                budget = stored.value
                rank = (budget.epoch, -stored.age_us(now))
                if best is None or rank > best[0]:
                    best = rank, budget
        if best is not None:
            budget = best[1]
            if budget.window == account.window:
                account.good, account.late, account.breached = budget.good, budget.late, budget.breached
            shares = {region: share for region, share in budget.shares if region in objective.regions}
            if shares:
                account.plan.shares = shares
        return account

    def _turn_window(self, account: Account, unix: int) -> None:
        window = unix // account.objective.window_us
        if window > account.window:
            account.window, account.good, account.late, account.breached = window, 0, 0, False

    def _evaluate(self, now: int, unix: int, account: Account, moved: dict[str, float]) -> None:
        elapsed_us = now - account.evaluated_us if account.evaluated_us else EVALUATION_INTERVAL_US
        account.evaluated_us = now
        self._turn_window(account, unix)
        account.per_s += RATE_SMOOTHING * (account.new * 1e6 / elapsed_us - account.per_s)
        account.new = 0
        decay = 0.5 ** (elapsed_us / RECENT_HALF_LIFE_US)
        for recent in account.recent.values():
            recent[0], recent[1] = recent[0] * decay, recent[1] * decay
        statuses = self._region_statuses(now, account.objective)
        recent_counts = {region: RecentCounts(*recent) for region, recent in account.recent.items()}
        unreserved = {
            region: status._replace(free_per_s=status.free_per_s - moved.get(region, 0.0))
            for region, status in statuses.items()
        }
        moves_before = account.plan.moves
        for region, per_s in account.plan.update(unreserved, recent_counts, account.per_s, account.burn).items():
            moved[region] = moved.get(region, 0.0) + per_s
            account.recent.pop(region, None)  # measured with another share of the load
        self.moves += account.plan.moves - moves_before
        account.attainable = account.plan.can_be_met(unreserved, recent_counts)
        if (
            account.burn > 1.0
            and not account.breached
            and account.good + account.late >= 1.0 / (1.0 - min(0.999, account.objective.share))
        ):
            account.breached = True
            self._notes.append(
                f"objective of {account.objective.tenant} for {account.objective.class_name} is breached in this "
                f"window: {account.late} of {account.good + account.late} late"
            )

    def _region_statuses(self, now: int, objective: Objective) -> dict[str, RegionStatus]:
        """Return the state of each region from the gossiped reports, cached between evaluations."""
        cached = self._status_cache.get((objective.class_name, objective.share))
        if cached is not None and now - cached[0] < EVALUATION_INTERVAL_US:
            return cached[1]
        store, costs = self._store, self.config.costs()
        times: dict[str, list[tuple[int, bytes]]] = {}
        load: dict[str, float] = {}
        for key, stored in store.rows_of("region", now, REGION_REPORT_TTL_US):
            region, _, class_name = key.subject.partition("\0")
            load[region] = load.get(region, 0.0) + stored.value.per_s
            if objective.class_name in ("*", class_name):
                times.setdefault(region, []).append((stored.age_us(now), stored.value.histogram))
        capacity_per_s, up_regions, reported_regions = {}, set(), set()  # type: ignore[var-annotated]
        newest: dict[str, tuple[int, float, float, bool]] = {}
        for key, stored in store.rows_of("room", now, REGION_REPORT_TTL_US):
            age, report = stored.age_us(now), stored.value
            if key.subject not in newest or age < newest[key.subject][0]:
                newest[key.subject] = (age, report.limit, report.base_us, report.unavailable)
        for server, (_, limit, base_us, unavailable) in newest.items():
            region = self.config.region(server)
            reported_regions.add(region)
            if not unavailable:
                up_regions.add(region)
                capacity_per_s[region] = capacity_per_s.get(region, 0.0) + limit * 1e6 / max(
                    MIN_SERVER_DELAY_US, base_us
                )
        shedding = {
            key.subject for key, stored in store.rows_of("level", now, LEVEL_TTL_US) if stored.value.level < 1.0
        }
        reserved: dict[str, float] = {}
        for key, stored in store.rows_of("reserve", now, RESERVATION_TTL_US):
            if key.origin != store.name:
                reserved[key.subject] = reserved.get(key.subject, 0.0) + stored.value.per_s
        statuses = {}
        for configured in self.config.regions:
            name = configured.name
            merged = merge_histograms(data for _, data in sorted(times.get(name, ()))[:MAX_HISTOGRAMS])
            count, capacity = merged.get_total_count(), capacity_per_s.get(name)
            free_per_s = (
                1e9
                if capacity is None
                else max(
                    MIN_FREE_CAPACITY_SHARE * capacity if name not in shedding else 0.0,
                    USABLE_CAPACITY_SHARE * capacity - load.get(name, 0.0),
                )
                - reserved.get(name, 0.0)
            )
            statuses[name] = RegionStatus(
                name not in reported_regions or name in up_regions,
                name in shedding,
                1_000.0 * merged.get_value_at_percentile(100.0 * objective.share) if count else 0.0,
                count,
                max(0.0, free_per_s),
                costs.get(name, 1.0),
            )
        self._status_cache[(objective.class_name, objective.share)] = (now, statuses)
        return statuses
