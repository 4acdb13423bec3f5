"""Concurrency limits per server for the whole fleet: whole permits, granted under leases and shared out by demand.

The granter, the owner of the partition of the key ``server NAME``, estimates the limit from the holders' reports
(``overload/concurrency_limit.py``) and gives each holder a share. A permit counts as granted as long as its holder may
still believe that it has it: per holder, the maximum of the share that it reported and of every grant that it has not
confirmed. The shares of the holders with a lease therefore never sum to more than the limit, whatever message is lost,
late or repeated. A holder without a lease falls back to a floor: one request at a time, with pauses. Times are
microseconds, ``now`` is monotonic.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

from sagetrestle.damping.health import DampingState, ServerHealth, Stage

LEASE_US = 2_000_000  # minimum time that a share may be used after the report that it answers
REPORT_INTERVAL_US = 250_000  # minimum time between two regular reports on one server
MIN_REPORT_INTERVAL_US = 2_000  # minimum time between two reports on one server
REPORT_INTERVAL_PER_MEMBER_US = 1_250  # grows with the fleet, so that a granter's work stays bounded
MIN_HOLD_US = 100_000  # minimum time that a holder keeps a permit when not all can have one
USAGE_WINDOW_US = 2_000_000  # window of recent permit use, by which holders take turns
FLOOR_DIVISOR = 10  # the floor is an even share of the limit, divided by this
INITIAL_FLOOR = 0.1  # of a permit, before the first grant
MEAN_WINDOW_US = 1_000_000  # window of the moving average of the permits that a holder could use
REPORT_TIMES_KEPT = 32  # number of recent reports whose grants can be applied
SPARE_SIGNAL_TTL_US = 500_000  # how long a report that too many servers are removed counts
PARTS_INTERVAL_PER_HOLDER_US = 20  # minimum time per holder between divisions, as each visits all holders


class PermitReport(NamedTuple):
    """A holder's report on a server: the permits that it wants and has, and the results since the last report.

    ``heard`` is the serial of the last grant that it applied, from the granter of that ``epoch``. ``limit``,
    ``base_us`` and ``damping`` are from that grant and tell a new granter the state of the previous one. The holder
    takes ``servers_removed`` of the ``servers_known`` for removed, without counting this server.
    """

    server: str
    boot: int
    number: int
    epoch: int
    heard: int
    wanted: int
    held: int
    done: int = 0
    took_us: int = 0
    failed: int = 0
    limit: float = 0.0
    base_us: float = 0.0
    damping: DampingState = DampingState()
    servers_removed: int = 0
    servers_known: int = 1


class PermitGrant(NamedTuple):
    """A granter's answer: a share whose lease counts from report ``number``; the last by epoch and serial applies.

    ``attainable_share`` is the number of permits that the holder would get if it asked: an even share among the holders
    that want permits, or all free permits if those are more.
    """

    server: str
    boot: int
    number: int
    epoch: int
    serial: int
    share: int
    attainable_share: float
    limit: float
    base_us: float
    members: int
    damping: DampingState = DampingState()


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
    reported_wanted: int = 0
    reported_held: int = 0
    number: int = 0
    heard: tuple[int, int] = (0, 0)  # epoch and serial of the last grant
    report_us: int = 0
    reported_us: int = 0
    floor: float = INITIAL_FLOOR
    floor_pause_until_us: int = 0  # end of the pause between requests while only the floor applies
    done: int = 0
    took_us: int = 0
    failed: int = 0
    limit: float = 0.0
    base_us: float = 0.0
    damping: DampingState = DampingState()
    attainable_share: float = 0.0
    mean: float = 0.0  # moving average of ``attainable_share``
    mean_us: int = 0
    report_times_us: dict[int, int] = field(default_factory=dict)  # by number of the report

    def usable(self, now: int) -> int:
        """Return how many requests may be in flight now."""
        if now < self.until_us:
            return self.share
        return int(self.in_use > 0 or now >= self.floor_pause_until_us)

    def settle(self, now: int) -> None:
        """Update the moving average of the permits that this holder could use."""
        available = max(self.attainable_share, float(self.share)) if now < self.until_us else self.floor
        part = min(1.0, (now - self.mean_us) / MEAN_WINDOW_US)
        self.mean += part * (available - self.mean)
        self.mean_us = now


class PermitHolder:
    """A member's permits for all servers."""

    def __init__(self) -> None:
        self.servers: dict[str, _Server] = {}
        self.members = 1
        # Requests abandoned here that servers still work on: time of the permit's release, server, boot.
        self._abandoned: list[tuple[int, str, int]] = []

    def update_servers(self, now: int, servers: Iterable[tuple[str, int]]) -> None:
        """Set the servers and their boots; a restarted server has no requests in flight."""
        found = dict(servers)
        for name in [name for name, server in self.servers.items() if found.get(name) != server.boot]:
            del self.servers[name]
        for name, boot in found.items():
            if name not in self.servers:
                self.servers[name] = _Server(boot, mean_us=now)

    def has_free_permit(self, now: int, name: str) -> bool:
        """Tell whether one more request may be sent to a server; a server not in the list has no limit."""
        server = self.servers.get(name)
        return server is None or server.in_use < server.usable(now)

    def fill(self, name: str) -> float:
        """Return how much of this member's share of a server would be in use with one more request, from 0."""
        server = self.servers.get(name)
        return (server.in_use + 1) / max(server.share, server.floor) if server is not None else 0.0

    def acquire(self, name: str) -> None:
        """Take a permit for a request that is sent."""
        if (server := self.servers.get(name)) is not None:
            server.in_use += 1

    def release(self, now: int, name: str, took_us: int, good: bool | None) -> None:
        """Release the permit of a finished request; ``good`` is None if its result says nothing about the server."""
        server = self.servers.get(name)
        if server is None or not server.in_use:
            return
        server.in_use -= 1
        self._count(now, server, took_us, good)

    def abandon(self, now: int, name: str, took_us: int, good: bool | None) -> None:
        """Count a request abandoned here that its server still works on.

        Its permit stays in use for as long as the request has taken so far, at most for a lease.
        """
        server = self.servers.get(name)
        if server is None or not server.in_use:
            return
        self._abandoned.append((now + min(took_us, LEASE_US), name, server.boot))
        self._count(now, server, took_us, good)

    @staticmethod
    def _count(now: int, server: _Server, took_us: int, good: bool | None) -> None:
        if good is False or server.damping.stage is not Stage.WELL and good is not None:  # report early
            server.report_us = min(server.report_us, server.reported_us + MIN_REPORT_INTERVAL_US)
        server.done += good is True
        server.took_us += took_us if good is True else 0
        server.failed += good is False
        if now >= server.until_us:
            server.floor_pause_until_us = now + int(took_us * (1.0 / max(0.01, min(1.0, server.floor)) - 1.0))
        if server.share < server.reported_held:  # the granter reassigns returned permits once it has the report
            server.report_us = min(server.report_us, server.reported_us + MIN_REPORT_INTERVAL_US)

    def set_demand(self, name: str, wanted: int) -> None:
        """Set how many requests would be in flight to a server if it had the permits."""
        server = self.servers.get(name)
        if server is None:
            return
        server.wanted = max(wanted, server.in_use)
        if server.wanted > server.share and server.wanted > server.reported_wanted:
            server.report_us = min(server.report_us, server.reported_us + MIN_REPORT_INTERVAL_US)

    def tick(self, now: int) -> list[PermitReport]:
        """Return the reports that are due."""
        found = []
        for _, name, boot in [abandoned for abandoned in self._abandoned if abandoned[0] <= now]:
            if (server := self.servers.get(name)) is not None and server.boot == boot:
                server.in_use = max(0, server.in_use - 1)
        self._abandoned = [abandoned for abandoned in self._abandoned if abandoned[0] > now]
        for name, server in self.servers.items():
            server.settle(now)
            if now >= server.report_us:
                found.append(self._report(now, name, server))
        return found

    def _report(self, now: int, name: str, server: _Server) -> PermitReport:
        server.number += 1
        server.report_times_us[server.number] = now
        server.report_times_us.pop(server.number - REPORT_TIMES_KEPT, None)
        server.reported_us, server.report_us = now, now + self._report_interval_us()
        held = max(server.share if now < server.until_us else 0, server.in_use)
        server.reported_wanted, server.reported_held = server.wanted, held
        report = PermitReport(
            name,
            server.boot,
            server.number,
            *server.heard,
            server.wanted,
            held,
            server.done,
            server.took_us,
            server.failed,
            server.limit,
            server.base_us,
            server.damping,
            len(self.removed(name)),
            len(self.servers),
        )
        server.done = server.took_us = server.failed = 0
        return report

    def removed(self, excluded: str = "") -> tuple[str, ...]:
        """Return the servers that are removed for the whole fleet as far as known here, without ``excluded``."""
        return tuple(
            name
            for name, server in self.servers.items()
            if name != excluded and server.damping.stage in (Stage.REMOVED, Stage.TRIED)
        )

    def _report_interval_us(self) -> int:
        return max(REPORT_INTERVAL_US, self.members * REPORT_INTERVAL_PER_MEMBER_US)

    def apply_grant(self, now: int, grant: PermitGrant) -> bool:
        """Apply a grant and return whether the share changed; the lease counts from the report that it answers."""
        server = self.servers.get(grant.server)
        if server is None or server.boot != grant.boot or (grant.epoch, grant.serial) <= server.heard:
            return False
        reported_at_us = server.report_times_us.get(grant.number)
        if reported_at_us is None:
            return False
        server.settle(now)
        before, self.members = server.share, grant.members
        server.heard, server.share = (grant.epoch, grant.serial), grant.share
        server.attainable_share, server.limit, server.base_us = grant.attainable_share, grant.limit, grant.base_us
        server.damping = DampingState(grant.damping[0], Stage(grant.damping[1]))
        server.floor = min(1.0, grant.limit / (FLOOR_DIVISOR * max(1, grant.members)))
        server.until_us = max(server.until_us, reported_at_us + lease_duration_us(grant.members))
        if grant.share < server.reported_held:
            server.report_us = min(server.report_us, server.reported_us + MIN_REPORT_INTERVAL_US)
        return before != server.share

    def capacity(self, now: int) -> tuple[int, float]:
        """Return the permits for all servers now, and the average over the last second of the attainable ones."""
        return sum(server.usable(now) for server in self.servers.values()), sum(
            server.mean for server in self.servers.values()
        )


def lease_duration_us(members: int) -> int:
    """Return how long a share may be used after the report that it answers, in microseconds."""
    return max(LEASE_US, 4 * members * REPORT_INTERVAL_PER_MEMBER_US)


@dataclass(slots=True)
class _Claim:
    """The claims of one holder at the granter."""

    wanted: int = 0
    held: int = 0  # permits in its last report
    granted_share: int = 0  # share in the last grant to it
    number: int = 0  # of its last report
    until_us: int = 0  # end of the lease by any clock
    recent_use: float = 0.0  # moving average of the permits held, by which holders take turns
    recent_use_updated_us: int = 0
    since_us: int = 0  # when its share last grew
    unconfirmed: list[tuple[int, int]] = field(default_factory=list)  # unconfirmed grants: serial and share

    @property
    def max_in_use(self) -> int:
        """Return the maximum number of requests that it may have in flight."""
        return max([self.held, *(share for _, share in self.unconfirmed)])

    def settle(self, now: int) -> None:
        """Update the moving average of the permits held."""
        part = min(1.0, (now - self.recent_use_updated_us) / USAGE_WINDOW_US)
        self.recent_use += part * (self.granted_share - self.recent_use)
        self.recent_use_updated_us = now


@dataclass(slots=True)
class _Account:
    """The permits of one start of a server at its granter."""

    boot: int
    since_us: int  # from this time on all grants in force are known here
    estimator: LimitEstimator
    began_us: int
    first_epoch: int  # epoch in which this account was created
    epoch: int
    serial: int = 0  # of the last grant; continues over epochs
    claims: dict[str, _Claim] = field(default_factory=dict)
    parts: dict[str, int] = field(default_factory=dict)
    parts_us: int = 0
    parts_limit: int = 0  # the limit that ``parts`` were computed for
    sent_state: tuple[int, bool] = (Stage.WELL, False)  # last sent to all holders: stage, and whether it is paused
    health: ServerHealth | None = None  # None if removals are not damped
    spared_us: int = -SPARE_SIGNAL_TTL_US  # when holders last reported that the maximum of servers is removed


class PermitGranter:
    """The granter of permits. Its state is not recorded: a new granter learns it from the reports of one lease."""

    def __init__(
        self,
        drift: float,
        make_estimator: Callable[[float, float], LimitEstimator],
        history: RemovalHistory | None = None,
    ) -> None:
        # Without a history removals are not damped.
        self._drift, self._make_estimator, self._history = drift, make_estimator, history
        self.accounts: dict[str, _Account] = {}

    def handle_report(
        self,
        now: int,
        began_us: int,
        epoch: int,
        holder: str,
        report: PermitReport,
        possible_holders: Iterable[str] = (),
    ) -> list[tuple[str, PermitGrant]]:
        """Apply a report and return the grants to send, by holder.

        ``began_us`` is when this member became the granter in ``epoch``. Grants of the previous granter may last a
        lease from then, unless all ``possible_holders`` have reported in this epoch: a holder that has reported in an
        epoch applies no grant of an earlier one.
        """
        account = self.accounts.get(report.server)
        if account is not None and report.boot < account.boot:
            return []
        if account is None or account.boot != report.boot or account.began_us != began_us:
            # Requests in flight to an earlier start of the server ended with it, so only a new granter has to wait.
            known_since_us = (
                0 if account is not None and account.began_us == began_us else began_us + self._lease_span_us(1)
            )
            account = self.accounts[report.server] = _Account(
                report.boot, known_since_us, self._make_estimator(report.limit, report.base_us), began_us, epoch, epoch
            )
            if self._history is not None:
                account.health = self._initial_health(now, report, self._history)
        account.epoch = epoch
        claim = account.claims.setdefault(holder, _Claim(recent_use_updated_us=now, since_us=now))
        if report.number <= claim.number:
            return []
        claim.settle(now)
        # With damping, failures are handled by removals only: a limit lowered by them would outlast the removal.
        account.estimator.record(report.done, report.took_us, report.failed if account.health is None else 0)
        if account.health is not None:
            if now < account.since_us:
                account.health.adopt(now, report.damping)
            if 2 * (report.servers_removed + 1) > report.servers_known:
                account.spared_us = now
            assert self._history is not None
            episodes_before = account.health.episodes
            account.health.record(
                now,
                self._history.failure_domain(holder),
                report.done,
                report.failed,
                now - account.spared_us < SPARE_SIGNAL_TTL_US,
                self._history.budget_exhausted(now),
            )
            if account.health.episodes > episodes_before:
                self._history.record_removal(now, report.server, report.boot, account.health.episodes)
        claim.number, claim.wanted, claim.held = report.number, report.wanted, report.held
        heard = report.heard if report.epoch >= account.first_epoch else 0
        claim.unconfirmed = [grant for grant in claim.unconfirmed if grant[0] > heard]
        claim.until_us = now + self._lease_span_us(len(account.claims))
        if now < account.since_us and not claim.unconfirmed and not claim.granted_share:
            account.estimator.value = max(account.estimator.value, report.limit)
            claim.granted_share = report.held
            if possible_holders and account.claims.keys() >= set(possible_holders):
                account.since_us = now
        return self._grants_due(now, report.server, account, holder)

    def tick(self, now: int) -> list[tuple[str, PermitGrant]]:
        """Update limits and stages, and delete expired holders and servers that nobody holds permits of."""
        found = []
        for name, account in list(self.accounts.items()):
            for holder in [holder for holder, claim in account.claims.items() if now >= claim.until_us]:
                del account.claims[holder]
                account.parts_us = 0
            if not account.claims and now >= account.since_us:
                del self.accounts[name]
                continue
            full = sum(claim.wanted for claim in account.claims.values()) >= int(account.estimator.value)
            account.estimator.step(now, full)
            if account.health is not None:
                account.health.tick(now, now - account.spared_us < SPARE_SIGNAL_TTL_US)
            found += self._grants_due(now, name, account, None)
        return found

    @staticmethod
    def _initial_health(now: int, report: PermitReport, history: RemovalHistory) -> ServerHealth:
        """Return the health of a server, continued from the last state in the fleet's history."""
        health, known = ServerHealth(), history.last_known(now, report.server)
        if known is not None and known[0] == report.boot:
            health.adopt(now, known[1])
        elif known is not None and known[0] < report.boot:
            health.inherit(known[1].penalty)
        return health

    def limit_of(self, server: str) -> float:
        """Return the limit estimated for a server, or 0 if there is none."""
        return self.accounts[server].estimator.value if server in self.accounts else 0.0

    def _lease_span_us(self, members: int) -> int:
        return int(lease_duration_us(members) * (1 + self._drift)) + 1

    def _grants_due(
        self, now: int, name: str, account: _Account, reporter: str | None
    ) -> list[tuple[str, PermitGrant]]:
        """Return grants for the holders whose share changed, and always one for ``reporter``."""
        claims, limit = account.claims, max(1, int(account.estimator.value))
        damping = DampingState()
        if account.health is not None:
            limit, damping = account.health.cap(limit), account.health.damping_state()
        state = (damping.stage, account.health is not None and account.health.paused)
        state_changed, account.sent_state = state != account.sent_state, state
        if now < account.since_us:
            new_shares = [] if reporter is None else [(reporter, claims[reporter].granted_share)]
        else:
            parts = self._compute_parts(now, account, limit)
            free = max(0, limit - sum(claim.max_in_use for claim in claims.values()))
            new_shares = []
            for holder, claim in claims.items():
                # Permits that other holders may still have are not free.
                share = min(parts.get(holder, 0), claim.max_in_use + free)
                free -= max(0, share - claim.max_in_use)
                if share != claim.granted_share or holder == reporter or state_changed:
                    new_shares.append((holder, share))
        found = []
        wanted = sum(min(claim.wanted, limit) for claim in claims.values())
        wanting = sum(claim.wanted > 0 for claim in claims.values())
        for holder, share in new_shares:
            claim = claims[holder]
            attainable_share = max(
                limit / max(1, wanting + (not claim.wanted)), limit - wanted + min(claim.wanted, limit), float(share)
            )
            claim.settle(now)
            if share > claim.granted_share:
                claim.since_us = now
            claim.granted_share = share
            account.serial += 1
            claim.unconfirmed.append((account.serial, share))
            found.append(
                (
                    holder,
                    PermitGrant(
                        name,
                        account.boot,
                        claim.number,
                        account.epoch,
                        account.serial,
                        share,
                        attainable_share,
                        account.estimator.value,
                        account.estimator.base_us,
                        len(claims),
                        damping,
                    ),
                )
            )
        return found

    def _compute_parts(self, now: int, account: _Account, limit: int) -> dict[str, int]:
        """Return each holder's share, recomputed after a change of the limit or the holders, else at intervals."""
        claims = account.claims
        if (
            now - account.parts_us < len(claims) * PARTS_INTERVAL_PER_HOLDER_US
            and len(account.parts) == len(claims)
            and limit == account.parts_limit
        ):
            return account.parts
        for claim in claims.values():
            claim.settle(now)
        # A holder keeps a permit for ``MIN_HOLD_US``; after that the holder with the lowest recent use comes first.
        turn = sorted(
            claims,
            key=lambda name: (
                not (claims[name].granted_share and now - claims[name].since_us < MIN_HOLD_US),
                claims[name].recent_use,
                name,
            ),
        )
        account.parts = whole_shares({name: claim.wanted for name, claim in claims.items()}, limit, turn)
        account.parts_us, account.parts_limit = now, limit
        return account.parts


def whole_shares(wants: Mapping[str, int], limit: int, turn: Sequence[str]) -> dict[str, int]:
    """Divide whole permits max-min fairly by demand: odd ones in the order of ``turn``, the rest evenly."""
    parts, remaining = dict.fromkeys(wants, 0), limit
    unsatisfied = [name for name in turn if wants[name] > 0]
    while remaining and unsatisfied:
        each = max(1, remaining // len(unsatisfied))
        for name in unsatisfied:
            taken = min(each, wants[name] - parts[name], remaining)
            parts[name] += taken
            remaining -= taken
        unsatisfied = [name for name in unsatisfied if parts[name] < wants[name]]
    while remaining and turn:
        each = max(1, remaining // len(turn))
        for name in turn:
            taken = min(each, remaining)
            parts[name] += taken
            remaining -= taken
    return parts
