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
MIN_REPORT_INTERVAL_US = 2_000  # the least between two reports of one server
REPORT_INTERVAL_PER_MEMBER_US = (
    1_250  # added to the time between reports for each member, so that a granter's work stays bounded
)
MIN_HOLD_US = 100_000  # how long a slot is held at the least where more want one than there are
USAGE_WINDOW_US = 2_000_000  # over which what was held counts, for whose turn it is
FLOOR_DIVISOR = 10
INITIAL_FLOOR = 0.1  # of a slot, before any granter was heard
MEAN_WINDOW_US = 1_000_000
SPARE_SIGNAL_TTL_US = 500_000  # how long a report counts of how many servers are removed


class PermitReport(NamedTuple):
    """A holder's report on a server: what it wants and has, and what became of what it sent since the last.

    ``heard`` is the last word that it follows, of the granter of that ``epoch``; ``limit`` and ``base_us`` are what it
    was told last, for a granter that is new.
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
    servers_removed: int = 0  # servers that the holder sees removed, of ``of``; this one not counted
    servers_known: int = 1


class PermitGrant(NamedTuple):
    """The granter's word: a share, counted from the report ``number``; the last one holds, by epoch and serial.

    ``could`` is how many slots it would get for the asking: an even part among those that want some, and what is free.
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
    """What is known of removals over the whole fleet, beyond what holders report."""

    def last_known(self, now: int, server: str) -> tuple[int, DampingState] | None:
        """Return the start of a server that was spoken of last, and how it stood, as it would stand by now."""

    def budget_exhausted(self, now: int) -> bool:
        """Tell whether the budget of removals is used up."""

    def record_removal(self, now: int, server: str, boot: int, episode: int) -> None:
        """Count a removal."""

    def failure_domain(self, holder: str) -> str:
        """Return whom a holder's evidence counts for: its zone, where the fleet has several."""


class LimitEstimator(Protocol):
    """What finds a server's limit."""

    value: float
    base_us: float

    def record(self, done: int, took_us: int, failed: int) -> None:
        """Take what became of requests."""

    def step(self, now: int, full: bool) -> None:
        """Move with time; ``full``: all slots are wanted."""


@dataclass(slots=True)
class _Server:
    """One server at a holder."""

    boot: int
    share: int = 0
    until_us: int = 0
    in_use: int = 0
    wanted: int = 0
    told_wanted: int = 0
    told_has: int = 0
    number: int = 0
    heard: tuple[int, int] = (0, 0)  # epoch and serial
    report_us: int = 0
    reported_us: int = 0
    floor: float = INITIAL_FLOOR
    rest_us: int = 0  # until when the floor has to wait
    done: int = 0
    took_us: int = 0
    failed: int = 0
    limit: float = 0.0
    base_us: float = 0.0
    damped: DampingState = DampingState()
    could: float = 0.0
    mean: float = 0.0  # of that
    mean_us: int = 0
    asked_at: dict[int, int] = field(default_factory=dict)

    def usable(self, now: int) -> int:
        """Return how many may be on the way now."""
        if now < self.until_us:
            return self.share
        return int(self.in_use > 0 or now >= self.rest_us)

    def settle(self, now: int) -> None:
        """Let time bring the mean of what it could use."""
        could = max(self.could, float(self.share)) if now < self.until_us else self.floor
        part = min(1.0, (now - self.mean_us) / MEAN_WINDOW_US)
        self.mean += part * (could - self.mean)
        self.mean_us = now


class PermitHolder:
    """A member's side of all servers' slots."""

    def __init__(self) -> None:
        self.servers: dict[str, _Server] = {}
        self.members = 1
        self._left: list[tuple[int, str, int]] = []  # requests given up that servers go on with: until, server, start

    def update_servers(self, now: int, servers: Iterable[tuple[str, int]]) -> None:
        """Go by a list of servers and their starts; one that started anew has no slots out."""
        found = dict(servers)
        for name in [name for name, one in self.servers.items() if found.get(name) != one.boot]:
            del self.servers[name]
        for name, boot in found.items():
            if name not in self.servers:
                self.servers[name] = _Server(boot, mean_us=now)

    def free(self, now: int, name: str) -> bool:
        """Tell whether one more request may be sent to a server; to one that is in no list it may."""
        one = self.servers.get(name)
        return one is None or one.in_use < one.usable(now)

    def fill(self, name: str) -> float:
        """Return how full a server's share is here, from 0."""
        one = self.servers.get(name)
        return (one.in_use + 1) / max(one.share, one.floor) if one is not None else 0.0

    def acquire(self, name: str) -> None:
        """Count a request that is being sent."""
        if (one := self.servers.get(name)) is not None:
            one.in_use += 1

    def release(self, now: int, name: str, took_us: int, good: bool | None) -> None:
        """Count a request that is over; ``good`` is None where its end says nothing of the server."""
        one = self.servers.get(name)
        if one is None or not one.in_use:
            return
        one.in_use -= 1
        self._count(now, one, took_us, good)

    def abandon(self, now: int, name: str, took_us: int, good: bool | None) -> None:
        """Count a request that was given up here while its server goes on with it: its slot is in use as long again."""
        one = self.servers.get(name)
        if one is None or not one.in_use:
            return
        self._left.append((now + min(took_us, LEASE_US), name, one.boot))
        self._count(now, one, took_us, good)

    @staticmethod
    def _count(now: int, one: _Server, took_us: int, good: bool | None) -> None:
        if good is False or one.damped.stage is not Stage.WELL and good is not None:  # its granter is to hear at once
            one.report_us = min(one.report_us, one.reported_us + MIN_REPORT_INTERVAL_US)
        one.done += good is True
        one.took_us += took_us if good is True else 0
        one.failed += good is False
        if now >= one.until_us:
            one.rest_us = now + int(took_us * (1.0 / max(0.01, min(1.0, one.floor)) - 1.0))
        if one.share < one.told_has:  # what is given back is free once it is said
            one.report_us = min(one.report_us, one.reported_us + MIN_REPORT_INTERVAL_US)

    def set_demand(self, name: str, wanted: int) -> None:
        """Say how many requests could be on the way to a server, had it the slots."""
        one = self.servers.get(name)
        if one is None:
            return
        one.wanted = max(wanted, one.in_use)
        if one.wanted > one.share and one.wanted > one.told_wanted:
            one.report_us = min(one.report_us, one.reported_us + MIN_REPORT_INTERVAL_US)

    def tick(self, now: int) -> list[PermitReport]:
        """Report what is due."""
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
        """Return the servers that are removed for the whole fleet, as far as is known here."""
        return tuple(
            name
            for name, one in self.servers.items()
            if name != but and one.damped.stage in (Stage.REMOVED, Stage.TRIED)
        )

    def _every(self) -> int:
        return max(REPORT_INTERVAL_US, self.members * REPORT_INTERVAL_PER_MEMBER_US)

    def apply_grant(self, now: int, what: PermitGrant) -> bool:
        """Take the granter's word, and return whether the share here is another; a lease counts from the asking."""
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
        """Return how many requests may be on the way now in all, and how many could be, on the mean of a second."""
        return sum(one.usable(now) for one in self.servers.values()), sum(one.mean for one in self.servers.values())


def lease_duration_us(members: int) -> int:
    """Return how long a share may be used after the report that it answers."""
    return max(LEASE_US, 4 * members * REPORT_INTERVAL_PER_MEMBER_US)


@dataclass(slots=True)
class _Claim:
    """One holder at the granter."""

    wanted: int = 0
    has: int = 0
    given: int = 0
    number: int = 0
    until_us: int = 0
    used: float = 0.0  # slots held lately, for whose turn it is
    used_us: int = 0
    since_us: int = 0  # when it got the slots that it has
    unheard: list[tuple[int, int]] = field(default_factory=list)  # words not confirmed: serial and share

    @property
    def high(self) -> int:
        """Return the most that it may have in use."""
        return max([self.has, *(share for _, share in self.unheard)])

    def settle(self, now: int) -> None:
        """Let time count what it holds."""
        part = min(1.0, (now - self.used_us) / USAGE_WINDOW_US)
        self.used += part * (self.given - self.used)
        self.used_us = now


@dataclass(slots=True)
class _Account:
    """One start of a server at its granter."""

    boot: int
    since_us: int  # from when on all that was given is known here
    estimator: LimitEstimator
    began_us: int
    first: int  # epoch in which it began
    epoch: int
    serial: int = 0  # goes on over its epochs
    claims: dict[str, _Claim] = field(default_factory=dict)
    parts: dict[str, int] = field(default_factory=dict)
    parts_us: int = 0
    of: int = 0  # the limit that they are of
    apply_grant: tuple[int, bool] = (Stage.WELL, False)  # the stage that all holders were told, and whether it rests
    health: ServerHealth | None = None  # where removals are damped
    spared_us: int = -SPARE_SIGNAL_TTL_US  # when holders last saw as many servers removed as may be


class PermitGranter:
    """A granter's side; nothing of it is recorded: a new one learns from reports for a lease."""

    def __init__(
        self, drift: float, finder: Callable[[float, float], LimitEstimator], past: RemovalHistory | None = None
    ) -> None:
        self._drift, self._finder, self._history = drift, finder, past  # without a past removals are not damped
        self.accounts: dict[str, _Account] = {}

    def handle_report(
        self, now: int, began_us: int, epoch: int, holder: str, what: PermitReport, everyone: Iterable[str] = ()
    ) -> list[tuple[str, PermitGrant]]:
        """Take a report and return what holders are told for it.

        ``began_us`` is when this member became the granter in ``epoch``: what the one before gave may last a lease from
        then, unless all of ``everyone`` who may hold any have reported in this epoch: they take no earlier word.
        """
        account = self.accounts.get(what.server)
        if account is not None and what.boot < account.boot:
            return []
        if account is None or account.boot != what.boot or account.began_us != began_us:
            # What a start before had on its way is gone with it.
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
        # Where removals are damped failures are theirs to judge: a limit that shrank by them would outlast them.
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
        """Let turns pass, and forget holders whose lease is over and servers that nobody has."""
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
        """Go on where a granter before was, as far as the fleet remembers."""
        health, known = ServerHealth(), past.last_known(now, what.server)
        if known is not None and known[0] == what.boot:
            health.adopt(now, known[1])
        elif known is not None and known[0] < what.boot:
            health.inherit(known[1].penalty)
        return health

    def limit_of(self, server: str) -> float:
        """Return the limit found for a server, 0 where none is."""
        return self.accounts[server].estimator.value if server in self.accounts else 0.0

    def _span(self, members: int) -> int:
        return int(lease_duration_us(members) * (1 + self._drift)) + 1

    def _share_out(self, now: int, name: str, account: _Account, asker: str | None) -> list[tuple[str, PermitGrant]]:
        """Tell holders whose share is another, and always the one that asked."""
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
                share = min(parts.get(holder, 0), one.high + free)  # what others may still have is not free
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
        """Return each holder's part; made anew at most once in a while, as it costs a look at all."""
        claims = account.claims
        if now - account.parts_us < len(claims) * 20 and len(account.parts) == len(claims) and limit == account.of:
            return account.parts
        for one in claims.values():
            one.settle(now)
        # Who got a slot keeps it for a turn, then whoever had least lately is first.
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
    """Share whole slots out: max-min fair by what is wanted, odd ones in this order, what is left over evenly."""
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
