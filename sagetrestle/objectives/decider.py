"""Decides for objectives: counts over all members, burn rates, breaches, and each tenant's plan.

The owner of the partition of ``promise TENANT`` decides, under its lease. Members report counts since their start, so a
repeated report counts once. A new decider takes each member's first report as the baseline, and continues with the
window's counts and the plan that its predecessor gossiped. It misses the counts of the last report or two before its
predecessor failed.
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

LOOK_US = 1_000_000
RECENT_HALF_LIFE_US = 4_000_000  # half-life of a tenant's recent counts by region, the short window of its burn rate
REGION_REPORT_TTL_US = 20_000_000  # maximum age of a report on a region
LEVEL_TTL_US = 2_000_000
RESERVATION_TTL_US = 3_000_000  # how long moved load counts as reserved
USABLE_CAPACITY_SHARE = 0.9  # part of a region's capacity that plans may fill
MIN_FREE_CAPACITY_SHARE = (
    0.05  # part taken as free while a region does not shed, as concurrency limits grow only with use
)
IDLE_TIMEOUT_US = 600_000_000  # a tenant without requests is forgotten after this time
MAX_ACCOUNTS = 20_000
MAX_HISTOGRAMS = 64  # maximum number of members whose histograms are merged, the latest first


@dataclass
class Account:
    """The state of one tenant and class at its decider."""

    promise: Objective
    began_us: int
    window: int
    plan: Plan
    good: int = 0
    late: int = 0
    breached: bool = False
    recent: dict[str, list[float]] = field(default_factory=dict)  # by region: good and late, decayed
    seen: dict[tuple[str, str], tuple[int, int]] = field(default_factory=dict)  # by member and region
    heard_us: int = 0
    looked_us: int = 0
    per_s: float = 0.0
    new: int = 0  # number of answers since the last look
    attainable: bool = True

    @property
    def burn(self) -> float:
        """Return the burn rate of the window's error budget; 1 uses it up exactly."""
        whole = self.good + self.late
        return self.late / whole / max(1e-9, 1.0 - self.promise.share) if whole else 0.0


class ObjectiveDecider:
    """Decides for the objectives that this member owns. Windows follow ``unix``, the time of day."""

    def __init__(self, contracts: ObjectiveConfig, picture: GossipStore) -> None:
        self.config, self._store = contracts, picture
        self.accounts: dict[tuple[str, str], Account] = {}
        self.members: dict[str, int] = {}  # members that reported, and when
        self.moves = 0
        self._facts: dict[tuple[str, float], tuple[int, dict[str, RegionStatus]]] = {}
        self._notes: list[str] = []

    def notes(self) -> list[str]:
        """Return new messages for the operators' log."""
        found, self._notes = self._notes, []
        return found

    def handle_counts(self, now: int, unix: int, since_us: int, member: str, rows: Iterable[ServedCounts]) -> None:
        """Apply a member's counts; ``member`` names one start of it."""
        self.members[member] = now
        for row in rows:
            promise = self.config.objectives.get((row.tenant, row.class_name))
            if promise is None or row.region not in promise.regions and row.region:
                continue
            account = self._account(now, unix, since_us, promise)
            if account is None:
                continue
            key = (member, row.region)
            before = account.seen.get(key)
            if before is not None and row.good + row.late < sum(before):
                continue  # a reordered earlier report
            account.seen[key] = (row.good, row.late)
            account.heard_us = now
            if before is None:
                if account.began_us == since_us and now - since_us > LOOK_US * 3:
                    before = (0, 0)  # the member's first counts since this decider began
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
        line = sorted(self.accounts.items(), key=lambda one: self._urgency(one[1]))
        for (tenant, cls), account in line:
            key = f"promise {tenant}"
            if not owns(key) or now - account.heard_us > IDLE_TIMEOUT_US:
                del self.accounts[(tenant, cls)]
                continue
            if now - account.looked_us < LOOK_US:
                continue
            self._look(now, unix, account, moved)
            planned = RegionPlan(tenant, cls, tuple(sorted(account.plan.shares.items())), account.attainable)
            changed.append(planned)
            self._store.publish(
                now,
                unix,
                "budget",
                f"{tenant}\0{cls}",
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
                "tenant": one.promise.tenant,
                "class": one.promise.class_name,
                "good": one.good,
                "late": one.late,
                "burn": round(one.burn, 2),
                "breached": one.breached,
                "kept": one.attainable,
                "shares": {region: round(share, 2) for region, share in one.plan.shares.items()},
                "moves": one.plan.moves,
            }
            for one in list(self.accounts.values())[:200]
        ]

    # Inside

    @staticmethod
    def _urgency(account: Account) -> tuple[bool, float, float]:
        """Return the sort key by which accounts get free capacity.

        Accounts with a used-up error budget come last; then higher worth, then a higher burn rate comes first.
        """
        return account.burn > 1.0, -account.promise.worth, -account.burn

    def _account(self, now: int, unix: int, since_us: int, promise: Objective) -> Account | None:
        key = (promise.tenant, promise.class_name)
        account = self.accounts.get(key)
        if account is not None and account.began_us == since_us:
            return account
        if account is None and len(self.accounts) >= MAX_ACCOUNTS:
            return None
        account = self.accounts[key] = Account(promise, since_us, unix // promise.window_us, Plan(promise))
        best = None
        for row, known in self._store.rows_of("budget", now, promise.window_us):
            if row.subject == f"{promise.tenant}\0{promise.class_name}":
                said = known.value
                rank = (said.epoch, -known.age_us(now))
                if best is None or rank > best[0]:
                    best = rank, said
        if best is not None:
            said = best[1]
            if said.window == account.window:
                account.good, account.late, account.breached = said.good, said.late, said.breached
            shares = {region: share for region, share in said.shares if region in promise.regions}
            if shares:
                account.plan.shares = shares
        return account

    def _turn_window(self, account: Account, unix: int) -> None:
        window = unix // account.promise.window_us
        if window > account.window:
            account.window, account.good, account.late, account.breached = window, 0, 0, False

    def _look(self, now: int, unix: int, account: Account, moved: dict[str, float]) -> None:
        passed = now - account.looked_us if account.looked_us else LOOK_US
        account.looked_us = now
        self._turn_window(account, unix)
        account.per_s += 0.5 * (account.new * 1e6 / passed - account.per_s)
        account.new = 0
        kept = 0.5 ** (passed / RECENT_HALF_LIFE_US)
        for recent in account.recent.values():
            recent[0], recent[1] = recent[0] * kept, recent[1] * kept
        facts = self._facts_for(now, account.promise)
        lately = {region: RecentCounts(*recent) for region, recent in account.recent.items()}
        free = {
            region: fact._replace(room_per_s=fact.room_per_s - moved.get(region, 0.0)) for region, fact in facts.items()
        }
        before = account.plan.moves
        for region, per_s in account.plan.update(free, lately, account.per_s, account.burn).items():
            moved[region] = moved.get(region, 0.0) + per_s
            account.recent.pop(region, None)  # measured with another share of its load
        self.moves += account.plan.moves - before
        account.attainable = account.plan.can_be_met(free, lately)
        if (
            account.burn > 1.0
            and not account.breached
            and account.good + account.late >= 1.0 / (1.0 - min(0.999, account.promise.share))
        ):
            account.breached = True
            self._notes.append(
                f"promise to {account.promise.tenant} for {account.promise.class_name} is broken in this "
                f"window: {account.late} of {account.good + account.late} late"
            )

    def _facts_for(self, now: int, promise: Objective) -> dict[str, RegionStatus]:
        known = self._facts.get((promise.class_name, promise.share))
        if known is not None and now - known[0] < LOOK_US:
            return known[1]
        picture, costs = self._store, self.config.costs()
        times: dict[str, list[tuple[int, bytes]]] = {}
        load: dict[str, float] = {}
        for key, one in picture.rows_of("region", now, REGION_REPORT_TTL_US):
            region, _, cls = key.subject.partition("\0")
            load[region] = load.get(region, 0.0) + one.value.per_s
            if promise.class_name in ("*", cls):
                times.setdefault(region, []).append((one.age_us(now), one.value.times))
        bears, servers_up, spoken = {}, set(), set()  # type: ignore[var-annotated]
        newest: dict[str, tuple[int, float, float, bool]] = {}
        for key, one in picture.rows_of("room", now, REGION_REPORT_TTL_US):
            age, said = one.age_us(now), one.value
            if key.subject not in newest or age < newest[key.subject][0]:
                newest[key.subject] = (age, said.limit, said.base_us, said.out)
        for server, (_, limit, base_us, out) in newest.items():
            region = self.config.region(server)
            spoken.add(region)
            if not out:
                servers_up.add(region)
                bears[region] = bears.get(region, 0.0) + limit * 1e6 / max(1_000.0, base_us)
        sheds = {key.subject for key, one in picture.rows_of("level", now, LEVEL_TTL_US) if one.value.level < 1.0}
        reserved: dict[str, float] = {}
        for key, one in picture.rows_of("reserve", now, RESERVATION_TTL_US):
            if key.origin != picture.name:
                reserved[key.subject] = reserved.get(key.subject, 0.0) + one.value.per_s
        found = {}
        for one in self.config.regions:
            name = one.name
            whole = merge_histograms(data for _, data in sorted(times.get(name, ()))[:MAX_HISTOGRAMS])
            count, most = whole.get_total_count(), bears.get(name)
            room = (
                1e9
                if most is None
                else max(
                    MIN_FREE_CAPACITY_SHARE * most if name not in sheds else 0.0,
                    USABLE_CAPACITY_SHARE * most - load.get(name, 0.0),
                )
                - reserved.get(name, 0.0)
            )
            found[name] = RegionStatus(
                name not in spoken or name in servers_up,
                name in sheds,
                1_000.0 * whole.get_value_at_percentile(100.0 * promise.share) if count else 0.0,
                count,
                max(0.0, room),
                costs.get(name, 1.0),
            )
        self._facts[(promise.class_name, promise.share)] = (now, found)
        return found
