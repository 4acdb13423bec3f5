"""Rate limits for the whole fleet: one rate per tenant, shared out by demand and bounded when links fail.

The granter (the owner of the tenant's partition) gives each holder a share of the rate under a lease; holders report
their demand four times a second. A share counts as given as long as its holder may still believe that it has it, so the
sum of leased shares never exceeds the rate, whatever message is lost or late. A holder without a lease uses the
floor, a tenth of an even share: only these floors can come on top of the rate. Shares are requests per second, times
microseconds; ``now`` is monotonic.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

LEASE_US = 2_000_000  # how long a share may be used after the report that it answers
REPORT_INTERVAL_US = 250_000  # interval of regular reports
EARLY_REPORT_INTERVAL_US = 50_000  # minimum time between reports of a holder short of tokens or asked to report
BURST_WINDOW_US = 250_000  # tokens for this time of a share may be saved up
FLOOR_DIVISOR = 10  # the floor is an even share of the rate, divided by this
REPORT_TIMES_KEPT = 16  # number of recent reports whose answers can be applied
MIN_WAIT_US = 1_000  # minimum time that a caller is told to wait for a token
IDLE_TIMEOUT_US = 5_000_000  # a tenant's bucket is deleted after this time without a request
MIN_REQUESTS_FOR_STEP = 8  # below this number of requests a change of demand may be chance
DEMAND_HALF_LIFE_US = 500_000  # half-life of the smoothed demand
SHARE_TOLERANCE = 0.05  # a share is kept if the new one differs by less than this part


def floor_rate(rate: float, members: int) -> float:
    """Return the rate of a holder without a lease, in requests per second."""
    return rate / (FLOOR_DIVISOR * max(1, members))


class RateReport(NamedTuple):
    """A holder's report to the granter: its demand and its current share."""

    tenant: str
    number: int
    rate: float
    demand: float
    held: float


@dataclass(slots=True)
class TokenBucket:
    """The token bucket of one tenant at a holder."""

    rate: float
    floor: float
    share: float = 0.0
    until_us: int = 0
    tokens: float = 1.0
    at_us: int = 0
    request_count: int = 0  # requests since the last report
    demand: float = 0.0
    report_us: int = 0
    counted_us: int = 0  # start of the interval in which ``request_count`` is counted
    used_us: int = 0
    number: int = 0
    applied_number: int = 0  # number of the report whose answer was applied last
    report_times_us: dict[int, int] = field(default_factory=dict)  # by number of the report

    def pace(self, now: int) -> float:
        """Return the rate that applies now: the leased share, but at least the floor."""
        return self.share if now < self.until_us and self.share > self.floor else self.floor

    def fill(self, now: int) -> None:
        """Add the tokens for the time since the last call, at the rates that applied then."""
        leased = max(0, min(now, self.until_us) - self.at_us) if self.share > self.floor else 0
        rest = now - self.at_us - leased
        self.tokens += (leased * self.share + rest * self.floor) / 1e6
        self.tokens = min(self.tokens, max(1.0, self.pace(now) * BURST_WINDOW_US / 1e6))
        self.at_us = now


class RateHolder:
    """A member's token buckets for all tenants."""

    def __init__(self) -> None:
        self.buckets: dict[str, TokenBucket] = {}

    def take(self, now: int, tenant: str, rate: float, members: int) -> int:
        """Admit a request and return 0, or return the microseconds until one may be admitted."""
        bucket = self.buckets.get(tenant)
        if bucket is None:
            bucket = self.buckets[tenant] = TokenBucket(
                rate, floor_rate(rate, members), at_us=now, counted_us=now - EARLY_REPORT_INTERVAL_US
            )
        bucket.rate, bucket.floor, bucket.used_us = rate, floor_rate(rate, members), now
        bucket.request_count += 1
        bucket.fill(now)
        if bucket.tokens >= 1.0:
            bucket.tokens -= 1.0
            return 0
        bucket.report_us = min(bucket.report_us, bucket.counted_us + EARLY_REPORT_INTERVAL_US)  # short of tokens
        return (
            max(MIN_WAIT_US, int((1.0 - bucket.tokens) / max(bucket.pace(now), 1e-6) * 1e6))
            if rate > 0
            else IDLE_TIMEOUT_US
        )

    def tick(self, now: int) -> list[RateReport]:
        """Return the reports that are due and delete the buckets of idle tenants."""
        found = []
        for tenant, bucket in list(self.buckets.items()):
            if now - bucket.used_us > IDLE_TIMEOUT_US and now >= bucket.until_us:
                del self.buckets[tenant]
            elif now >= bucket.report_us:
                found.append(self._report(now, tenant, bucket))
        return found

    def _report(self, now: int, tenant: str, bucket: TokenBucket) -> RateReport:
        bucket.fill(now)
        interval_us = max(EARLY_REPORT_INTERVAL_US, now - bucket.counted_us)
        observed, expected = bucket.request_count * 1e6 / interval_us, bucket.demand * interval_us / 1e6
        if (
            max(bucket.request_count, expected) >= MIN_REQUESTS_FOR_STEP
            and not expected / 2 <= bucket.request_count <= expected * 2
        ):
            bucket.demand = observed  # not smoothed, as the change is larger than chance explains
        else:
            bucket.demand += (1 - 0.5 ** (interval_us / DEMAND_HALF_LIFE_US)) * (observed - bucket.demand)
        bucket.request_count, bucket.counted_us, bucket.report_us = 0, now, now + REPORT_INTERVAL_US
        bucket.number += 1
        bucket.report_times_us[bucket.number] = now
        bucket.report_times_us.pop(bucket.number - REPORT_TIMES_KEPT, None)
        return RateReport(
            tenant, bucket.number, bucket.rate, bucket.demand, bucket.share if now < bucket.until_us else 0.0
        )

    def report_now(self, now: int, tenant: str) -> list[RateReport]:
        """Report early because another holder is short, at most once in ``EARLY_REPORT_INTERVAL_US``."""
        bucket = self.buckets.get(tenant)
        return (
            []
            if bucket is None or now - bucket.counted_us < EARLY_REPORT_INTERVAL_US
            else [self._report(now, tenant, bucket)]
        )

    def apply_share(self, now: int, tenant: str, number: int, share: float) -> None:
        """Apply the granter's answer to a report; the lease starts when the report was sent."""
        bucket = self.buckets.get(tenant)
        reported_at_us = bucket.report_times_us.get(number) if bucket is not None else None
        if bucket is None or reported_at_us is None or number <= bucket.applied_number:
            return
        bucket.fill(now)
        if share < bucket.share:
            bucket.report_us = now  # the granter can reassign the difference once it has the next report
        bucket.applied_number, bucket.share, bucket.until_us = number, share, reported_at_us + LEASE_US
        bucket.tokens = min(bucket.tokens, max(1.0, bucket.pace(now) * BURST_WINDOW_US / 1e6))


@dataclass(slots=True)
class RateClaim:
    """A holder's claim; ``max_share`` is the maximum of its reported share and of the share granted since."""

    demand: float
    granted: float
    max_share: float
    until_us: int
    number: int


@dataclass(slots=True)
class RateAccount:
    """The shares of one tenant at its granter."""

    since_us: int  # from this time on all shares that are in force are known here
    claims: dict[str, RateClaim] = field(default_factory=dict)
    early_reporters: tuple[
        str, ...
    ] = ()  # holders to ask for a report, as they have more than their share while another is short


class RateGranter:
    """The granter of rates. Its state is not recorded: a new granter learns it from the reports of one lease."""

    def __init__(self, drift: float) -> None:
        self._lease_span_us = int(LEASE_US * (1 + drift)) + 1
        self.accounts: dict[str, RateAccount] = {}

    def handle_report(self, now: int, began_us: int, holder: str, report: RateReport) -> float | None:
        """Return a holder's share, or None for a report that arrived after a later one.

        ``began_us`` is when this member became the granter; shares of the previous granter may last a lease from then.
        """
        account = self.accounts.get(report.tenant)
        if account is None or account.since_us < began_us + self._lease_span_us:
            account = self.accounts[report.tenant] = RateAccount(began_us + self._lease_span_us)
        claims = account.claims
        for name in [name for name, claim in claims.items() if now >= claim.until_us]:
            del claims[name]
        previous = claims.get(holder)
        if previous is not None and report.number <= previous.number:
            return None
        others = sum(claim.max_share for name, claim in claims.items() if name != holder)
        free = max(0.0, report.rate - others)
        if now < account.since_us:
            share = min(report.held, free)
        else:
            demands = {name: claim.demand for name, claim in claims.items()} | {holder: report.demand}
            parts = max_min_shares(demands, report.rate)
            share = min(parts[holder], free)
            if share < (1 - SHARE_TOLERANCE) * parts[holder]:
                account.early_reporters = tuple(
                    name
                    for name, claim in claims.items()
                    if name != holder and claim.max_share > (1 + SHARE_TOLERANCE) * parts[name]
                )
            if report.held and abs(share - report.held) < SHARE_TOLERANCE * report.held and report.held <= free:
                share = report.held
        claims[holder] = RateClaim(
            report.demand, share, max(share, min(report.held, report.rate)), now + self._lease_span_us, report.number
        )
        return share

    def take_report_requests(self, tenant: str) -> tuple[str, ...]:
        """Return the holders that should report at once, and clear the list."""
        account = self.accounts.get(tenant)
        if account is None:
            return ()
        found, account.early_reporters = account.early_reporters, ()
        return found

    def tick(self, now: int) -> None:
        """Delete the accounts of tenants whose leases have all expired."""
        for tenant in [
            tenant
            for tenant, account in self.accounts.items()
            if all(now >= claim.until_us for claim in account.claims.values())
        ]:
            del self.accounts[tenant]


def max_min_shares(demands: Mapping[str, float], rate: float) -> dict[str, float]:
    """Divide a rate max-min fairly by demand (water-filling); divide the rest evenly, as demand may rise."""
    shares: dict[str, float] = {}
    remaining, names = rate, sorted(demands, key=lambda name: (demands[name], name))
    for index, name in enumerate(names):
        shares[name] = min(demands[name], remaining / (len(names) - index))
        remaining -= shares[name]
    return {name: share + remaining / len(names) for name, share in shares.items()}
