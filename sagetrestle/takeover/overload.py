"""What a member decides of overload for all: servers' slots and regions' levels, as the owner of their keys.

Loaded only where ``deploy/fleet.toml`` has a table for it. Both are decided under the lease of a partition; neither is
recorded, a new owner learns from reports and from the picture, in which levels, stages and removals are said as well.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from sagetrestle.damping.health import PENALTY_HALF_LIFE_US, DampingState, Stage
from sagetrestle.overload.admission_level import AdmissionLevelDecider
from sagetrestle.overload.concurrency_limit import ConcurrencyLimitEstimator
from sagetrestle.overload.values import ADMIT_ALL, AdmissionLevel, AdmissionReport
from sagetrestle.gossip import GossipStore
from sagetrestle.objectives.values import CapacityReport
from sagetrestle.quota.permits import PermitReport, PermitGranter, PermitGrant
from sagetrestle.takeover import messages
from sagetrestle.takeover.gossip_kinds import HEALTH_US, LEVEL_AGE_US, REMOVED_US, HealthRow, LevelRow, RemovalRow

Said = tuple[str, messages.FleetMessage]
TELL_US = 1_000_000  # a level that did not change is told so often
FORGET_US = 10_000_000  # a region that nobody reports of
SILENT_US = 600_000  # without a word of the decider itself, from which what others heard of it counts
SPOKEN = 100.0  # penalty from which a server that is well is still spoken of


class _Region:
    def __init__(self, began_us: int, level: float) -> None:
        self.began_us, self.decider = began_us, AdmissionLevelDecider()
        self.decider.level = level
        self.members: dict[str, int] = {}
        self.told: AdmissionLevel | None = None
        self.told_us = self.heard_us = 0


class FleetHealthHistory:
    """What the picture has of removals: stages and penalties of servers, and how many were removed lately."""

    def __init__(self, picture: GossipStore, removals: int) -> None:
        self.picture, self._most = picture, removals
        self.unix = 0
        self.zones: Mapping[str, str] = {}  # of members, where the fleet has several

    def failure_domain(self, holder: str) -> str:
        """Return a holder's zone, where the fleet has several, else its name."""
        return self.zones.get(holder) or holder

    def last_known(self, now: int, server: str) -> tuple[int, DampingState] | None:
        """Return the newest word on a server, its penalty as it would be by now."""
        best = None
        for key, known in self.picture.rows_of("health", now, HEALTH_US):
            if key.subject == server:
                said, age = known.value, known.age_us(now)
                rank = (said.boot, said.epoch, -age)
                if best is None or rank > best[0]:
                    best = (
                        rank,
                        said.boot,
                        DampingState(said.penalty * 0.5 ** (age / PENALTY_HALF_LIFE_US), Stage(said.stage)),
                    )
        return None if best is None else best[1:]

    def removals(self, now: int) -> int:
        """Return how many removals of the last minute are known here."""
        return sum(1 for _ in self.picture.rows_of("removal", now, REMOVED_US))

    def budget_exhausted(self, now: int) -> bool:
        """Tell whether the budget of removals is used up."""
        return self.removals(now) >= self._most

    def record_removal(self, now: int, server: str, boot: int, episode: int) -> None:
        """Say that a server was removed."""
        self.picture.publish(now, self.unix, "removal", f"{server} {boot} {episode}", RemovalRow(""), at_once=True)


class OverloadParticipant:
    """One member's part in deciding for all. ``owner_of`` names a key's partition, epoch and owner."""

    def __init__(
        self,
        drift: float,
        most: int,
        removals: int,
        owner_of: Callable[[str], tuple[int, int, str]],
        picture: GossipStore,
    ) -> None:
        self.history = FleetHealthHistory(picture, removals) if removals else None  # 0: removals are not damped
        self.slots = PermitGranter(
            drift, lambda value, base_us: ConcurrencyLimitEstimator(value, base_us, most), self.history
        )
        self.regions: dict[str, _Region] = {}
        self.levels: dict[str, AdmissionLevel] = {}  # as they were told here
        self._heard: dict[str, tuple[int, int]] = {}  # of each region: when its decider was heard, and its epoch
        self._owner_of, self._picture = owner_of, picture
        self._noted: dict[str, str] = {}  # what was told of servers and regions last
        self._asked: dict[str, int] = {}  # the epoch in which a server's granter was asked last
        self._stages: dict[str, int] = {}  # of servers, as the picture was told last
        self.by_region = False  # whether what servers bear is told for plans

    def see_zones(self, zones: Mapping[str, str]) -> None:
        """Take where members are, where the fleet has several zones."""
        if self.history is not None:
            self.history.zones = zones

    def status(self) -> dict[str, object]:
        """Return what this member decides, and which levels it was told, in plain values."""
        return {
            "servers": [
                {
                    "server": name,
                    "boot": one.boot,
                    "limit": round(one.estimator.value, 1),
                    "base_ms": round(one.estimator.base_us / 1000, 1),
                    "holders": len(one.claims),
                    "given": sum(claim.granted_share for claim in one.claims.values()),
                    **(
                        {}
                        if one.health is None
                        else {
                            "stage": one.health.stage.name.lower(),
                            "penalty": round(one.health.penalty),
                            "episodes": one.health.episodes,
                        }
                    ),
                }
                for name, one in list(self.slots.accounts.items())[:200]
            ],
            "levels": {name: round(one.level, 3) for name, one in self.levels.items()},
        }

    def notes(self) -> list[str]:
        """Return what is new for the people on call, of what this member decides."""
        found = []
        stages = {name: one.health for name, one in self.slots.accounts.items() if one.health is not None}
        for name, health in stages.items():
            if self._noted.get(f"server {name}", "well") != (now := health.stage.name.lower()):
                found.append(
                    f"server {name} is {now} for the fleet: episode {health.episodes}, penalty {health.penalty:.0f}"
                )
                self._noted[f"server {name}"] = now
        for name, region in self.regions.items():
            now = "sheds overload" if region.decider.level < ADMIT_ALL else "takes all requests again"
            if self._noted.get(f"region {name}", "takes all requests again") != now:
                found.append(
                    f"region {name!r} {now}: level {region.decider.level:.2f}, {region.decider.done:.0f} done a second"
                )
                self._noted[f"region {name}"] = now
        self._noted = {
            key: one
            for key, one in self._noted.items()
            if key.removeprefix("server ") in stages or key.removeprefix("region ") in self.regions
        }
        return found

    # What this member says of itself

    def report_slots(self, asks: Iterable[PermitReport]) -> list[Said]:
        """Say to each server's granter what this member wants and has."""
        found: list[Said] = []
        for ask in asks:
            at, epoch, owner = self._owner_of(f"server {ask.server}")
            self._asked[ask.server] = epoch
            found.append((owner, messages.SlotReport(at, epoch, ask)))
        return found

    def report_level(self, report: AdmissionReport) -> list[Said]:
        """Say to the region's decider what came here."""
        at, _, owner = self._owner_of(f"region {report.region}")
        return [(owner, messages.RegionLevelReport(at, report, self.levels.get(report.region, AdmissionLevel()).level))]

    # What others say

    def counts(self, what: PermitGrant) -> bool:
        """Tell whether a word is of the granter that was asked last, or a later one."""
        return what.epoch >= self._asked.get(what.server, 0)

    def asked_slots(
        self, now: int, since_us: int, sender: str, what: messages.SlotReport, everyone: Iterable[str]
    ) -> list[Said]:
        """Decide as the granter in the epoch that was asked, since when; ``everyone`` may hold slots of one before."""
        return _slots(self.slots.handle_report(now, since_us, what.epoch, sender, what.report, everyone))

    def asked_level(self, now: int, since_us: int, sender: str, what: messages.RegionLevelReport) -> None:
        """Take a member's report; one who decides anew begins with the level that members were told."""
        name = what.report.region
        region = self.regions.get(name)
        if region is None or region.began_us != since_us:
            region = self.regions[name] = _Region(since_us, what.level)
        region.heard_us, region.members[sender] = now, now
        region.decider.record(now, sender, what.report)

    def told_level(self, now: int, region: str, level: AdmissionLevel, epoch: int) -> bool:
        """Take the decider's own word, unless a later epoch's was heard; tell whether it counts."""
        if epoch < self._heard.get(region, (0, 0))[1]:
            return False
        self._heard[region], self.levels[region] = (now, epoch), level
        return True

    def heard_by_others(self, now: int) -> list[tuple[str, AdmissionLevel, int]]:
        """Return levels, and how old they are, that others heard of deciders that are silent here."""
        found = []
        for key, known in self._picture.rows_of("level", now, LEVEL_AGE_US):
            heard_us, epoch = self._heard.get(key.subject, (now - LEVEL_AGE_US, 0))
            age, said = known.age_us(now), known.value
            if said.epoch < epoch or now - heard_us < SILENT_US or now - age <= heard_us:
                continue
            level = AdmissionLevel(said.level, said.heavy)
            self._heard[key.subject], self.levels[key.subject] = (now - age, said.epoch), level
            found.append((key.subject, level, age))
        return found

    def passed(self, now: int, unix: int, owns: Callable[[str], bool]) -> list[Said]:
        """Let time pass for what this member decides; what it owns no more is forgotten."""
        if self.history is not None:
            self.history.unix = unix
        for name in [name for name in self.slots.accounts if not owns(f"server {name}")]:
            del self.slots.accounts[name]
        found = _slots(self.slots.tick(now))
        for name, region in list(self.regions.items()):
            if not owns(f"region {name}") or now - region.heard_us > FORGET_US:
                del self.regions[name]
                continue
            if region.decider.step(now) and (
                (level := region.decider.current_level()) != region.told or now - region.told_us >= TELL_US
            ):
                region.told, region.told_us = level, now
                region.members = {id: at for id, at in region.members.items() if now - at < FORGET_US}
                epoch = self._owner_of(f"region {name}")[1]
                found += [(id, messages.RegionLevel(name, level, epoch)) for id in region.members]
                self._picture.publish(now, unix, "level", name, LevelRow(epoch, level.level, level.heavy))
        self._say_health(now, unix)
        return found

    def _say_health(self, now: int, unix: int) -> None:
        """Say how servers stand that are not simply well, so that it outlives this member's part in it."""
        for name, one in self.slots.accounts.items():
            if self.by_region:
                out = one.health is not None and one.health.stage in (Stage.REMOVED, Stage.TRIED)
                self._picture.publish(
                    now, unix, "room", name, CapacityReport(one.estimator.value, one.estimator.base_us, out)
                )
            if (health := one.health) is None:
                continue
            changed = self._stages.get(name, Stage.WELL) != health.stage
            if not changed and health.stage is Stage.WELL and health.penalty < SPOKEN:
                continue
            said = HealthRow(
                one.boot, self._owner_of(f"server {name}")[1], health.penalty, health.stage, health.episodes
            )
            self._picture.publish(now, unix, "health", name, said, at_once=changed)
            self._stages[name] = health.stage
        self._stages = {name: stage for name, stage in self._stages.items() if name in self.slots.accounts}


def _slots(told: Iterable[tuple[str, PermitGrant]]) -> list[Said]:
    return [(holder, messages.SlotGrant(what)) for holder, what in told]
