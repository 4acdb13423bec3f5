"""Concurrency limits per server for the whole fleet: whole permits, granted under leases and shared out by demand.

The granter (the owner of the partition of ``server NAME``) estimates the limit (``overload/concurrency_limit.py``) from
the holders' reports and gives each holder a share. A permit counts as granted as long as its holder may still believe
that it has it: per holder, the maximum of the share that it reported and of every grant that it has not confirmed. The
shares of the holders with a lease therefore never sum to more than the limit, whatever message is lost, late or
repeated. A holder without a lease falls back to a floor: one request at a time, with pauses. Times are microseconds,
``now`` is monotonic.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

from sagetrestle.damping.health import DampingState, ServerHealth, Stage

LEASE_US = 2_000_000
REPORT_INTERVAL_US = 250_000
MIN_REPORT_INTERVAL_US = 2_000  # minimum time between two reports on one server
REPORT_INTERVAL_PER_MEMBER_US = 1_250  # grows with the fleet, so that a granter's work stays bounded
MIN_HOLD_US = 100_000  # minimum time that a holder keeps a permit when not all can have one
USAGE_WINDOW_US = 2_000_000  # window of recent permit use, by which holders take turns
FLOOR_DIVISOR = 10
INITIAL_FLOOR = 0.1  # of a permit, before the first grant
MEAN_WINDOW_US = 1_000_000
SPARE_SIGNAL_TTL_US = 500_000  # how long a report that too many servers are removed counts


class PermitReport(NamedTuple):
    """A holder's report on a server: the permits that it wants and has, and the results since the last report.

    ``heard`` is the serial of the last grant that it applied, from the granter of that ``epoch``. ``limit``,
    ``base_us`` and ``damped`` are from that grant and tell a new granter the state of the previous one.
    ``servers_removed`` of the ``servers_known`` are removed as the holder sees it, this server not counted.
    """

    server: str
    boot: int
    number: int
    epoch: int
    heard: int
    wanted: int
    has: int
    done: int = 0
    took_us: int = 0
    failed: int = 0
    limit: float = 0.0
    base_us: float = 0.0
    damped: DampingState = DampingState()
    servers_removed: int = 0
    servers_known: int = 1


class PermitGrant(NamedTuple):
    """A granter's answer: a share whose lease counts from report ``number``; the last by epoch and serial applies.

    ``could`` is the number of permits that the holder would get if it asked: an even share among those that want some,
    and what is free.
    """

    server: str
    boot: int
    number: int
    epoch: int
    serial: int
    share: int
    could: float
    limit: float
    base_us: float
    members: int
    damped: DampingState = DampingState()


class RemovalHistory(Protocol):
    """The fleet's record of removals, beyond what holders report."""

    def last_known(self, now: int, server: str) -> tuple[int, DampingState] | None:
        """Return the boot of a server's last known start and its damping state, decayed until now; None if unknown."""

    def budget_exhausted(self, now: int) -> bool:
        """Tell whether the budget of removals is used up."""

    def record_removal(self, now: int, server: str, boot: int, episode: int) -> None:
        """Record a removal."""

    def failure_domain(self, holder: str) -> str:
        """Return the unit that a holder's evidence counts for: its zone if the fleet has several, else the holder."""


class LimitEstimator(Protocol):
    """An estimator of a server's concurrency limit."""

    value: float
    base_us: float

    def record(self, done: int, took_us: int, failed: int) -> None:
        """Add the results of requests."""

    def step(self, now: int, full: bool) -> None:
        """Update the limit; ``full``: holders want all permits."""


@dataclass(slots=True)
class _Server:
    """The permits of one server at a holder."""

    boot: int
    share: int = 0
    until_us: int = 0
    in_use: int = 0
    wanted: int = 0
    told_wanted: int = 0
    told_has: int = 0
    number: int = 0
    heard: tuple[int, int] = (0, 0)  # epoch and serial of the last grant
    report_us: int = 0
    reported_us: int = 0
    floor: float = INITIAL_FLOOR
    rest_us: int = 0  # end of the pause between requests under the floor
    done: int = 0
    took_us: int = 0
    failed: int = 0
    limit: float = 0.0
    base_us: float = 0.0
    damped: DampingState = DampingState()
    could: float = 0.0
    mean: float = 0.0  # moving average of ``could``
    mean_us: int = 0
    asked_at: dict[int, int] = field(default_factory=dict)

    def usable(self, now: int) -> int:
        """Return how many requests may be in flight now."""
        if now < self.until_us:
            return self.share
        return int(self.in_use > 0 or now >= self.rest_us)

    def settle(self, now: int) -> None:
        """Update the moving average of the permits that this holder could use."""
        could = max(self.could, float(self.share)) if now < self.until_us else self.floor
        part = min(1.0, (now - self.mean_us) / MEAN_WINDOW_US)
        self.mean += part * (could - self.mean)
        self.mean_us = now


class PermitHolder:
    """A member's permits for all servers."""

    def __init__(self) -> None:
        self.servers: dict[str, _Server] = {}
        self.members = 1
        self._left: list[
            tuple[int, str, int]
        ] = []  # requests abandoned here that servers still work on: end time, server, boot

    def update_servers(self, now: int, servers: Iterable[tuple[str, int]]) -> None:
        """Set the servers and their boots; a restarted server has no requests in flight."""
        found = dict(servers)
        for name in [name for name, one in self.servers.items() if found.get(name) != one.boot]:
            del self.servers[name]
        for name, boot in found.items():
            if name not in self.servers:
                self.servers[name] = _Server(boot, mean_us=now)

    def free(self, now: int, name: str) -> bool:
        """Tell whether one more request may be sent to a server; an unknown server has no limit."""
        one = self.servers.get(name)
        return one is None or one.in_use < one.usable(now)

    def fill(self, name: str) -> float:
        """Return how much of this member's share of a server would be in use with one more request, from 0."""
        one = self.servers.get(name)
        return (one.in_use + 1) / max(one.share, one.floor) if one is not None else 0.0

    def acquire(self, name: str) -> None:
        """Take a permit for a request that is sent."""
        if (one := self.servers.get(name)) is not None:
            one.in_use += 1

    def release(self, now: int, name: str, took_us: int, good: bool | None) -> None:
        """Release the permit of a finished request; ``good`` is None if its result says nothing about the server."""
        one = self.servers.get(name)
        if one is None or not one.in_use:
            return
        one.in_use -= 1
        self._count(now, one, took_us, good)

    def abandon(self, now: int, name: str, took_us: int, good: bool | None) -> None:
        """Count a request abandoned here that its server still works on; its permit stays in use as long again."""
        one = self.servers.get(name)
        if one is None or not one.in_use:
            return
        self._left.append((now + min(took_us, LEASE_US), name, one.boot))
        self._count(now, one, took_us, good)

    @staticmethod
    def _count(now: int, one: _Server, took_us: int, good: bool | None) -> None:
        if good is False or one.damped.stage is not Stage.WELL and good is not None:  # report early
            one.report_us = min(one.report_us, one.reported_us + MIN_REPORT_INTERVAL_US)
        one.done += good is True
        one.took_us += took_us if good is True else 0
        one.failed += good is False
        if now >= one.until_us:
            one.rest_us = now + int(took_us * (1.0 / max(0.01, min(1.0, one.floor)) - 1.0))
        if one.share < one.told_has:  # the granter can reassign the returned permits once it has the report
            one.report_us = min(one.report_us, one.reported_us + MIN_REPORT_INTERVAL_US)

    def set_demand(self, name: str, wanted: int) -> None:
        """Set how many requests would be in flight to a server if it had the permits."""
        one = self.servers.get(name)
        if one is None:
            return
        one.wanted = max(wanted, one.in_use)
        if one.wanted > one.share and one.wanted > one.told_wanted:
            one.report_us = min(one.report_us, one.reported_us + MIN_REPORT_INTERVAL_US)

    def tick(self, now: int) -> list[PermitReport]:
        """Return the reports that are due."""
        found = []
        for _, name, boot in [left for left in self._left if left[0] <= now]:
            if (one := self.servers.get(name)) is not None and one.boot == boot:
                one.in_use = max(0, one.in_use - 1)
        self._left = [left for left in self._left if left[0] > now]
        for name, one in self.servers.items():
            one.settle(now)
            if now >= one.report_us:
                found.append(self._report(now, name, one))
        return found

    def _report(self, now: int, name: str, one: _Server) -> PermitReport:
        one.number += 1
        one.asked_at[one.number] = now
        one.asked_at.pop(one.number - 32, None)
        one.reported_us, one.report_us = now, now + self._every()
        has = max(one.share if now < one.until_us else 0, one.in_use)
        one.told_wanted, one.told_has = one.wanted, has
        said = PermitReport(
            name,
            one.boot,
            one.number,
            *one.heard,
            one.wanted,
            has,
            one.done,
            one.took_us,
            one.failed,
            one.limit,
            one.base_us,
            one.damped,
            len(self.removed(name)),
            len(self.servers),
        )
        one.done = one.took_us = one.failed = 0
        return said

    def removed(self, but: str = "") -> tuple[str, ...]:
        """Return the servers that are removed for the whole fleet as far as known here, without ``but``."""
        return tuple(
            name
            for name, one in self.servers.items()
            if name != but and one.damped.stage in (Stage.REMOVED, Stage.TRIED)
        )

    def _every(self) -> int:
        return max(REPORT_INTERVAL_US, self.members * REPORT_INTERVAL_PER_MEMBER_US)

    def apply_grant(self, now: int, what: PermitGrant) -> bool:
        """Apply a grant and return whether the share changed; the lease counts from the report that it answers."""
        one = self.servers.get(what.server)
        if one is None or one.boot != what.boot or (what.epoch, what.serial) <= one.heard:
            return False
        asked = one.asked_at.get(what.number)
        if asked is None:
            return False
        one.settle(now)
        before, self.members = one.share, what.members
        one.heard, one.share = (what.epoch, what.serial), what.share
        one.could, one.limit, one.base_us = what.could, what.limit, what.base_us
        one.damped = DampingState(what.damped[0], Stage(what.damped[1]))
        one.floor = min(1.0, what.limit / (FLOOR_DIVISOR * max(1, what.members)))
        one.until_us = max(one.until_us, asked + lease_duration_us(what.members))
        if what.share < one.told_has:
            one.report_us = min(one.report_us, one.reported_us + MIN_REPORT_INTERVAL_US)
        return before != one.share

    def capacity(self, now: int) -> tuple[int, float]:
        """Return the permits for all servers now, and the average over the last second of those that could be had."""
        return sum(one.usable(now) for one in self.servers.values()), sum(one.mean for one in self.servers.values())


def lease_duration_us(members: int) -> int:
    """Return how long a share may be used after the report that it answers, in microseconds."""
    return max(LEASE_US, 4 * members * REPORT_INTERVAL_PER_MEMBER_US)


@dataclass(slots=True)
class _Claim:
    """The claims of one holder at the granter."""

    wanted: int = 0
    has: int = 0
    given: int = 0
    number: int = 0
    until_us: int = 0
    used: float = 0.0  # moving average of the permits held, by which holders take turns
    used_us: int = 0
    since_us: int = 0  # when it got the permits that it has
    unheard: list[tuple[int, int]] = field(default_factory=list)  # unconfirmed grants: serial and share

    @property
    def high(self) -> int:
        """Return the maximum number of requests that it may have in flight."""
        return max([self.has, *(share for _, share in self.unheard)])

    def settle(self, now: int) -> None:
        """Update the moving average of the permits held."""
        part = min(1.0, (now - self.used_us) / USAGE_WINDOW_US)
        self.used += part * (self.given - self.used)
        self.used_us = now


@dataclass(slots=True)
class _Account:
    """The permits of one start of a server at its granter."""

    boot: int
    since_us: int  # from this time on all grants in force are known here
    estimator: LimitEstimator
    began_us: int
    first: int  # epoch in which this account began
    epoch: int
    serial: int = 0  # continues over epochs
    claims: dict[str, _Claim] = field(default_factory=dict)
    parts: dict[str, int] = field(default_factory=dict)
    parts_us: int = 0
    of: int = 0  # the limit that ``parts`` were computed for
    apply_grant: tuple[int, bool] = (
        Stage.WELL,
        False,
    )  # the stage last sent to all holders, and whether the server rests
    health: ServerHealth | None = None  # None if removals are not damped
    spared_us: int = -SPARE_SIGNAL_TTL_US  # when holders last reported that the maximum of servers is removed


class PermitGranter:
    """The granter of permits. Its state is not recorded: a new granter learns it from one lease's reports."""

    def __init__(
        self, drift: float, finder: Callable[[float, float], LimitEstimator], past: RemovalHistory | None = None
    ) -> None:
        self._drift, self._finder, self._history = drift, finder, past  # without a history removals are not damped
        self.accounts: dict[str, _Account] = {}

    def handle_report(
        self, now: int, began_us: int, epoch: int, holder: str, what: PermitReport, everyone: Iterable[str] = ()
    ) -> list[tuple[str, PermitGrant]]:
        """Apply a report and return the grants to send, by holder.

        ``began_us`` is when this member became the granter in ``epoch``. Grants of the previous granter may last a
        lease from then, unless all of ``everyone`` who may hold any have reported in this epoch: after that a holder
        applies no grant of an earlier epoch.
        """
        account = self.accounts.get(what.server)
        if account is not None and what.boot < account.boot:
            return []
        if account is None or account.boot != what.boot or account.began_us != began_us:
            # The requests in flight to an earlier start of the server ended with it.
            since = 0 if account is not None and account.began_us == began_us else began_us + self._span(1)
            account = self.accounts[what.server] = _Account(
                what.boot, since, self._finder(what.limit, what.base_us), began_us, epoch, epoch
            )
            if self._history is not None:
                account.health = self._begin(now, what, self._history)
        account.epoch = epoch
        claim = account.claims.setdefault(holder, _Claim(used_us=now, since_us=now))
        if what.number <= claim.number:
            return []
        claim.settle(now)
        # With damping, failures are handled by removals only: a limit lowered by them would outlast the removal.
        account.estimator.record(what.done, what.took_us, what.failed if account.health is None else 0)
        if account.health is not None:
            if now < account.since_us:
                account.health.adopt(now, what.damped)
            if 2 * (what.servers_removed + 1) > what.servers_known:
                account.spared_us = now
            assert self._history is not None
            before = account.health.episodes
            account.health.record(
                now,
                self._history.failure_domain(holder),
                what.done,
                what.failed,
                now - account.spared_us < SPARE_SIGNAL_TTL_US,
                self._history.budget_exhausted(now),
            )
            if account.health.episodes > before:
                self._history.record_removal(now, what.server, what.boot, account.health.episodes)
        claim.number, claim.wanted, claim.has = what.number, what.wanted, what.has
        heard = what.heard if what.epoch >= account.first else 0
        claim.unheard = [one for one in claim.unheard if one[0] > heard]
        claim.until_us = now + self._span(len(account.claims))
        if now < account.since_us and not claim.unheard and not claim.given:
            account.estimator.value = max(account.estimator.value, what.limit)
            claim.given = what.has
            if everyone and account.claims.keys() >= set(everyone):
                account.since_us = now
        return self._share_out(now, what.server, account, holder)

    def tick(self, now: int) -> list[tuple[str, PermitGrant]]:
        """Update limits and stages, and delete expired holders and servers that nobody holds permits of."""
        found = []
        for name, account in list(self.accounts.items()):
            for holder in [holder for holder, one in account.claims.items() if now >= one.until_us]:
                del account.claims[holder]
                account.parts_us = 0
            if not account.claims and now >= account.since_us:
                del self.accounts[name]
                continue
            full = sum(one.wanted for one in account.claims.values()) >= int(account.estimator.value)
            account.estimator.step(now, full)
            if account.health is not None:
                account.health.tick(now, now - account.spared_us < SPARE_SIGNAL_TTL_US)
            found += self._share_out(now, name, account, None)
        return found

    @staticmethod
    def _begin(now: int, what: PermitReport, past: RemovalHistory) -> ServerHealth:
        """Return the health of a server, continued from what the fleet's history has of it."""
        health, known = ServerHealth(), past.last_known(now, what.server)
        if known is not None and known[0] == what.boot:
            health.adopt(now, known[1])
        elif known is not None and known[0] < what.boot:
            health.inherit(known[1].penalty)
        return health

    def limit_of(self, server: str) -> float:
        """Return the limit estimated for a server, or 0 if there is none."""
        return self.accounts[server].estimator.value if server in self.accounts else 0.0

    def _span(self, members: int) -> int:
        return int(lease_duration_us(members) * (1 + self._drift)) + 1

    def _share_out(self, now: int, name: str, account: _Account, asker: str | None) -> list[tuple[str, PermitGrant]]:
        """Return grants for the holders whose share changed, and always one for ``asker``."""
        claims, limit = account.claims, max(1, int(account.estimator.value))
        damped = DampingState()
        if account.health is not None:
            limit, damped = account.health.cap(limit), account.health.damping_state()
        stands = (damped.stage, account.health is not None and account.health.rests)
        anew, account.apply_grant = stands != account.apply_grant, stands
        if now < account.since_us:
            told = [] if asker is None else [(asker, claims[asker].given)]
        else:
            parts = self._parts(now, account, limit)
            free = max(0, limit - sum(one.high for one in claims.values()))
            told = []
            for holder, one in claims.items():
                share = min(parts.get(holder, 0), one.high + free)  # permits that others may still have are not free
                free -= max(0, share - one.high)
                if share != one.given or holder == asker or anew:
                    told.append((holder, share))
        found = []
        wanted = sum(min(one.wanted, limit) for one in claims.values())
        wanting = sum(one.wanted > 0 for one in claims.values())
        for holder, share in told:
            one = claims[holder]
            could = max(
                limit / max(1, wanting + (not one.wanted)), limit - wanted + min(one.wanted, limit), float(share)
            )
            one.settle(now)
            if share > one.given:
                one.since_us = now
            one.given = share
            account.serial += 1
            one.unheard.append((account.serial, share))
            found.append(
                (
                    holder,
                    PermitGrant(
                        name,
                        account.boot,
                        one.number,
                        account.epoch,
                        account.serial,
                        share,
                        could,
                        account.estimator.value,
                        account.estimator.base_us,
                        len(claims),
                        damped,
                    ),
                )
            )
        return found

    def _parts(self, now: int, account: _Account, limit: int) -> dict[str, int]:
        """Return each holder's share, recomputed at most every 20 µs per holder, as that visits all holders."""
        claims = account.claims
        if now - account.parts_us < len(claims) * 20 and len(account.parts) == len(claims) and limit == account.of:
            return account.parts
        for one in claims.values():
            one.settle(now)
        # A holder keeps a permit for ``MIN_HOLD_US``; after that the holder with the lowest recent use is first.
        turn = sorted(
            claims,
            key=lambda name: (
                not (claims[name].given and now - claims[name].since_us < MIN_HOLD_US),
                claims[name].used,
                name,
            ),
        )
        account.parts = whole_shares({name: one.wanted for name, one in claims.items()}, limit, turn)
        account.parts_us, account.of = now, limit
        return account.parts


def whole_shares(wants: Mapping[str, int], limit: int, turn: Sequence[str]) -> dict[str, int]:
    """Divide whole permits max-min fairly by demand: odd ones in the order of ``turn``, the rest evenly."""
    parts, left = dict.fromkeys(wants, 0), limit
    open_ = [name for name in turn if wants[name] > 0]
    while left and open_:
        each = max(1, left // len(open_))
        for name in open_:
            got = min(each, wants[name] - parts[name], left)
            parts[name] += got
            left -= got
        open_ = [name for name in open_ if parts[name] < wants[name]]
    while left and turn:
        each = max(1, left // len(turn))
        for name in turn:
            got = min(each, left)
            parts[name] += got
            left -= got
    return parts
