"""Rates for the whole fleet: one number a tenant, shared out by demand, with a bound for when links fail.

The granter (the owner of the tenant's partition) gives each holder a share of the rate under a lease; holders report
what they are asked for four times a second. What a holder may still believe that it has is counted as given, so the sum
of shares never passes the rate, whatever is lost or late. A holder without a lease goes on at the floor, a tenth of an
even part: that is all that can come on top. Shares are requests a second, times microseconds, ``now`` monotonic.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

LEASE_US = 2_000_000
REPORT_INTERVAL_US = 250_000
EARLY_REPORT_INTERVAL_US = 50_000  # the least between two reports of one that is short, or that is asked for one
BURST_WINDOW_US = 250_000  # of a share, that may be saved up
FLOOR_DIVISOR = 10
IDLE_TIMEOUT_US = 5_000_000  # without a request, after which a tenant costs nothing here
MIN_REQUESTS_FOR_STEP = 8  # requests, seen or expected, by which a change of demand is known from chance
DEMAND_HALF_LIFE_US = 500_000  # over which what was demanded before counts half
SHARE_TOLERANCE = 0.05  # a share is kept where the new one differs by less


def floor_rate(rate: float, members: int) -> float:
    """Return the share of a holder without a lease."""
    return rate / (FLOOR_DIVISOR * max(1, members))


class RateReport(NamedTuple):
    """A holder reports: its demand, and the share that it has."""

    tenant: str
    number: int
    rate: float
    demand: float
    has: float


@dataclass(slots=True)
class TokenBucket:
    """One tenant at a holder."""

    rate: float
    floor: float
    share: float = 0.0
    until_us: int = 0
    tokens: float = 1.0
    at_us: int = 0
    asked: int = 0  # requests since the last report
    demand: float = 0.0
    report_us: int = 0
    counted_us: int = 0  # since when requests are counted
    used_us: int = 0
    number: int = 0
    heard: int = 0  # the number of the report whose answer holds
    asked_at: dict[int, int] = field(default_factory=dict)

    def pace(self, now: int) -> float:
        """Return the share that holds now."""
        return self.share if now < self.until_us and self.share > self.floor else self.floor

    def fill(self, now: int) -> None:
        """Let time bring tokens, by the share that held then."""
        leased = max(0, min(now, self.until_us) - self.at_us) if self.share > self.floor else 0
        rest = now - self.at_us - leased
        self.tokens += (leased * self.share + rest * self.floor) / 1e6
        self.tokens = min(self.tokens, max(1.0, self.pace(now) * BURST_WINDOW_US / 1e6))
        self.at_us = now


class RateHolder:
    """A member's side of all rates."""

    def __init__(self) -> None:
        self.buckets: dict[str, TokenBucket] = {}

    def take(self, now: int, tenant: str, rate: float, members: int) -> int:
        """Take a request in (0), or return in how many microseconds one may be."""
        one = self.buckets.get(tenant)
        if one is None:
            one = self.buckets[tenant] = TokenBucket(
                rate, floor_rate(rate, members), at_us=now, counted_us=now - EARLY_REPORT_INTERVAL_US
            )
        one.rate, one.floor, one.used_us = rate, floor_rate(rate, members), now
        one.asked += 1
        one.fill(now)
        if one.tokens >= 1.0:
            one.tokens -= 1.0
            return 0
        one.report_us = min(one.report_us, one.counted_us + EARLY_REPORT_INTERVAL_US)  # it is short: that is told soon
        return max(1_000, int((1.0 - one.tokens) / max(one.pace(now), 1e-6) * 1e6)) if rate > 0 else IDLE_TIMEOUT_US

    def tick(self, now: int) -> list[RateReport]:
        """Report what is due; forget tenants that nobody asks for."""
        found = []
        for tenant, one in list(self.buckets.items()):
            if now - one.used_us > IDLE_TIMEOUT_US and now >= one.until_us:
                del self.buckets[tenant]
            elif now >= one.report_us:
                found.append(self._report(now, tenant, one))
        return found

    def _report(self, now: int, tenant: str, one: TokenBucket) -> RateReport:
        one.fill(now)
        took = max(EARLY_REPORT_INTERVAL_US, now - one.counted_us)
        seen, expected = one.asked * 1e6 / took, one.demand * took / 1e6
        if max(one.asked, expected) >= MIN_REQUESTS_FOR_STEP and not expected / 2 <= one.asked <= expected * 2:
            one.demand = seen  # more than chance does
        else:
            one.demand += (1 - 0.5 ** (took / DEMAND_HALF_LIFE_US)) * (seen - one.demand)
        one.asked, one.counted_us, one.report_us = 0, now, now + REPORT_INTERVAL_US
        one.number += 1
        one.asked_at[one.number] = now
        one.asked_at.pop(one.number - 16, None)
        return RateReport(tenant, one.number, one.rate, one.demand, one.share if now < one.until_us else 0.0)

    def report_now(self, now: int, tenant: str) -> list[RateReport]:
        """Report at once, as somebody else is short."""
        one = self.buckets.get(tenant)
        return (
            [] if one is None or now - one.counted_us < EARLY_REPORT_INTERVAL_US else [self._report(now, tenant, one)]
        )

    def apply_share(self, now: int, tenant: str, number: int, share: float) -> None:
        """Take the granter's answer to a report: its lease counts from when that was sent."""
        one = self.buckets.get(tenant)
        asked = one.asked_at.get(number) if one is not None else None
        if one is None or asked is None or number <= one.heard:
            return
        one.fill(now)
        if share < one.share:
            one.report_us = now  # what it gives up is free once it says that it knows
        one.heard, one.share, one.until_us = number, share, asked + LEASE_US
        one.tokens = min(one.tokens, max(1.0, one.pace(now) * BURST_WINDOW_US / 1e6))


@dataclass(slots=True)
class RateClaim:
    """What a holder may believe to have: the larger of what it said and what it was given since."""

    demand: float
    given: float
    high: float
    until_us: int
    number: int


@dataclass(slots=True)
class RateAccount:
    """One tenant at its granter."""

    since_us: int  # from when on all that was given is known here
    claims: dict[str, RateClaim] = field(default_factory=dict)
    nudge: tuple[str, ...] = ()  # who has more than its part while another is short


class RateGranter:
    """A granter's side of all rates; nothing of it is recorded: a new one learns from reports for a lease."""

    def __init__(self, drift: float) -> None:
        self._span_us = int(LEASE_US * (1 + drift)) + 1
        self.accounts: dict[str, RateAccount] = {}

    def handle_report(self, now: int, began_us: int, holder: str, what: RateReport) -> float | None:
        """Return a holder's share; None for a report that a later one overtook.

        ``began_us`` is when this member became the granter: what the one before gave may last a lease from then.
        """
        account = self.accounts.get(what.tenant)
        if account is None or account.since_us < began_us + self._span_us:
            account = self.accounts[what.tenant] = RateAccount(began_us + self._span_us)
        claims = account.claims
        for name in [name for name, one in claims.items() if now >= one.until_us]:
            del claims[name]
        old = claims.get(holder)
        if old is not None and what.number <= old.number:
            return None
        others = sum(one.high for name, one in claims.items() if name != holder)
        free = max(0.0, what.rate - others)
        if now < account.since_us:
            share = min(what.has, free)
        else:
            demands = {name: one.demand for name, one in claims.items()} | {holder: what.demand}
            parts = max_min_shares(demands, what.rate)
            share = min(parts[holder], free)
            if share < (1 - SHARE_TOLERANCE) * parts[holder]:
                account.nudge = tuple(
                    name
                    for name, one in claims.items()
                    if name != holder and one.high > (1 + SHARE_TOLERANCE) * parts[name]
                )
            if what.has and abs(share - what.has) < SHARE_TOLERANCE * what.has and what.has <= free:
                share = what.has
        claims[holder] = RateClaim(
            what.demand, share, max(share, min(what.has, what.rate)), now + self._span_us, what.number
        )
        return share

    def take_report_requests(self, tenant: str) -> tuple[str, ...]:
        """Return the holders that are to report at once, once."""
        account = self.accounts.get(tenant)
        if account is None:
            return ()
        found, account.nudge = account.nudge, ()
        return found

    def tick(self, now: int) -> None:
        """Forget tenants of whom nobody holds anything."""
        for tenant in [
            tenant
            for tenant, one in self.accounts.items()
            if all(now >= claim.until_us for claim in one.claims.values())
        ]:
            del self.accounts[tenant]


def max_min_shares(demands: Mapping[str, float], rate: float) -> dict[str, float]:
    """Share a rate out: max-min fair by demand (water-filling), and what is left over evenly, as demand may rise."""
    shares: dict[str, float] = {}
    left, names = rate, sorted(demands, key=lambda name: (demands[name], name))
    for at, name in enumerate(names):
        shares[name] = min(demands[name], left / (len(names) - at))
        left -= shares[name]
    return {name: share + left / len(names) for name, share in shares.items()}
