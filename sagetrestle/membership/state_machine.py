"""The state machine of membership: sources and evidence in, a view and probes out.

Drains are believed at once, from whichever side they come: the record, the instance's own word, a probe. Silence
is believed by the detector, and only up to a share of the fleet: past that it is more likely that this side can
not see, so suspicion is ignored (Envoy's panic threshold). A member that comes back, or flaps, is let in by
degrees.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import NamedTuple, Union
from zlib import crc32

from sagetrestle.membership.changes import RecordChangeQueue
from sagetrestle.membership.detector import PhiAccrualDetector
from sagetrestle.membership.sources import SourceMerger
from sagetrestle.membership.values import STATE_TRANSITIONS, Endpoint, Instance, Member, MemberState, Source
from sagetrestle.membership.view import View


@dataclass(frozen=True)
class MembershipConfig:
    """What the operators set; times in microseconds.

    A silent member is left out at the latest ``probe_interval_us + probe_timeout_us`` times two after its last
    answer at the usual habit; ``max_suspected_share`` is the share of the fleet past which suspicion is ignored.
    """

    probe_interval_us: int = 250_000
    probe_timeout_us: int = 400_000
    suspect_phi: float = 8.0
    max_suspected_share: float = 0.5
    stale_after_us: int = 5_000_000  # without any word from the deciding source
    withdrawn_linger_us: int = (
        5_000_000  # a withdrawn member stays in the view as DRAINING: a charge may be asked after there
    )
    gone_retention_us: int = 60_000_000  # a GONE member stays known, so that an old record does not bring it back
    warmup_after_us: int = 2_000_000  # of silence, after which a member counts as having been away
    warm_us: int = 10_000_000  # over which a member that was away is let in again by degrees
    flap_half_life_us: int = 8_000_000
    flap_suppress_penalty, flap_reuse_penalty = (
        3.0,
        1.0,
    )  # penalty from which a flapping member is left out, and under which it is back
    max_changes_per_step: int = 512
    max_queued_changes: int = 65_536


class SourceListed(NamedTuple):
    """A whole reading of a source."""

    source: Source
    instances: tuple[Instance, ...]
    serial: int | None = None
    pinned: tuple[str, ...] = ()


class SourceChanged(NamedTuple):
    """Changes of a source that was read: instances as they are now, and names whose records are gone."""

    source: Source
    now: tuple[Instance, ...] = ()
    gone: tuple[str, ...] = ()


class SourceUnavailable(NamedTuple):
    """A source could not be asked."""

    source: Source


class MemberAnswered(NamedTuple):
    """A member answered, to a probe or a call; ``leaving`` tells that it said it drains, boot 0: not told."""

    name: str
    leaving: bool = False
    boot: int = 0


class MemberResting(NamedTuple):
    """A member answered that it takes no work for now."""

    name: str


class ProbeTimedOut(NamedTuple):
    """A member did not answer in time."""

    name: str


class ConnectionRefused(NamedTuple):
    """A member's address refused the connection."""

    name: str


class Tick(NamedTuple):
    """Only time passes."""


Event = Union[
    SourceListed,
    SourceChanged,
    SourceUnavailable,
    MemberAnswered,
    MemberResting,
    ProbeTimedOut,
    ConnectionRefused,
    Tick,
]


class Probe(NamedTuple):
    """Ask a member whether it is well."""

    name: str
    endpoint: Endpoint


class ViewChanged(NamedTuple):
    """The view changed."""

    view: View


class ResyncSource(NamedTuple):
    """Ask the source for a whole reading: changes were more than could be held."""

    source: Source


class LogLine(NamedTuple):
    """A line for the people on call."""

    text: str


Decision = Union[Probe, ViewChanged, ResyncSource, LogLine]


@dataclass(slots=True)
class _MemberWatch:
    """What is known of a member beside the view."""

    detector: PhiAccrualDetector
    probe_due_us: int = 0
    penalty: float = 0.0
    penalty_updated_us: int = 0
    suppressed: bool = False


class Membership:
    """All members as seen from one place; the owner calls ``step`` and carries out what it returns."""

    def __init__(self, config: MembershipConfig | None = None, now_us: int = 0) -> None:
        self.config = config or MembershipConfig()
        self.view = View()
        self.sources = SourceMerger()
        self.queue = RecordChangeQueue(self.config.max_queued_changes)
        self._watches: dict[str, _MemberWatch] = {}
        self._probes: list[tuple[int, str]] = []  # a heap; one whose time is not its watch's is over
        self._gone_members: dict[str, tuple[int, int]] = {}  # name: until when it is remembered, and its boot
        self._gone_expirations: deque[tuple[int, str]] = deque()
        self._withdrawn: dict[str, int] = {}  # withdrawn, and when they leave the view; in that order
        self._addresses: dict[Endpoint, str] = {}
        self._suspected: set[str] = set()
        self._source_read_us = now_us
        self._decisions: list[Decision] = []
        self._changed: dict[str, Member] = {}
        self._removed: set[str] = set()

    # Reading

    def member(self, name: str) -> Member | None:
        """Return a member as it is now, changes of this step included."""
        if name in self._removed:
            return None
        return self._changed.get(name) or self.view.members.get(name)

    def next_due(self, now_us: int) -> int:
        """Return when the next step is due though nothing comes in."""
        if len(self.queue):
            return now_us
        return self._probes[0][0] if self._probes else now_us + self.config.probe_interval_us

    # The step

    def step(self, now_us: int, event: Event) -> list[Decision]:
        """Take an event at a time, and return what follows; the view in ``ViewChanged`` is immutable."""
        self._decisions = []
        match event:
            case SourceListed():
                self._source_read(now_us, event)
            case SourceChanged(source, now, gone):
                self._source_changed(now_us, source, now, gone)
            case MemberAnswered(name, leaving, boot):
                self._on_answer(now_us, name, leaving, boot)
            case MemberResting(name):
                self._on_resting(now_us, name)
            case ProbeTimedOut(name):
                self._on_no_answer(now_us, name, refused=False)
            case ConnectionRefused(name):
                self._on_no_answer(now_us, name, refused=True)
        self._run_due_work(now_us)
        self._publish(now_us)
        return self._decisions

    def _source_read(self, now_us: int, event: SourceListed) -> None:
        alive = self._alive(now_us)
        if not self.sources.replace(event.source, event.instances, event.serial, alive, event.pinned):
            self._decisions.append(
                LogLine(
                    f"a reading of the {event.source.value} is not taken yet: it is of an old "
                    "zone, or too many members that are heard are missing in it"
                )
            )
            return
        self._source_read_us = now_us
        self.queue.clear()
        wanted = self.sources.merged()
        for name in [name for name in self.view.members if name not in wanted]:
            self._on_unlisted(now_us, name)
        for instance in wanted.values():
            self._on_listed(now_us, instance)

    def _alive(self, now_us: int) -> Callable[[str], bool]:
        """Return what tells of a name whether it was heard lately."""

        def alive(name: str) -> bool:
            watch, member = self._watches.get(name), self.view.members.get(name)
            well = member is not None and member.state in (MemberState.LIVE, MemberState.ANNOUNCED)
            silence = 2 * (self.config.probe_interval_us + self.config.probe_timeout_us)
            return bool(well and watch and now_us - watch.detector.last_answer_us < silence)

        return alive

    def _source_changed(self, now_us: int, source: Source, now: Iterable[Instance], gone: Iterable[str]) -> None:
        self._source_read_us = now_us
        for name in gone:
            self.sources.change(source, name, None)
            self.queue.put(name, self.sources.merged_one(name))
        for instance in now:
            self.sources.change(source, instance.name, instance)
            self.queue.put(instance.name, self.sources.merged_one(instance.name))

    def _run_due_work(self, now_us: int) -> None:
        """Take a bounded number of changes, probe what is due, and look at who is silent."""
        for name, instance in self.queue.take(self.config.max_changes_per_step):
            if instance is None:
                self._on_unlisted(now_us, name)
            else:
                self._on_listed(now_us, instance)
        if self.queue.overflowed:
            self.queue.overflowed = False
            self._decisions.append(ResyncSource(Source.RECORDS))
        while self._probes and self._probes[0][0] <= now_us:
            at, name = heapq.heappop(self._probes)
            watch = self._watches.get(name)
            if watch is not None and watch.probe_due_us == at:
                self._probe(now_us, name, watch)
        for name in [name for name, at in self._withdrawn.items() if at <= now_us]:
            member = self.member(name)
            if member is not None:
                self._forget(now_us, member)
        while self._gone_expirations and self._gone_expirations[0][0] <= now_us:
            until, name = self._gone_expirations.popleft()
            if self._gone_members.get(name, (0, 0))[0] == until:
                del self._gone_members[name]

    def _schedule_probe(self, at_us: int, name: str, watch: _MemberWatch) -> None:
        watch.probe_due_us = at_us
        heapq.heappush(self._probes, (at_us, name))

    def _probe(self, now_us: int, name: str, watch: _MemberWatch) -> None:
        """Ask a member, look at its silence, and set the next probe; one that is late keeps its place."""
        period = self.config.probe_interval_us
        late = (now_us - watch.probe_due_us) % period
        self._schedule_probe(now_us + period - min(late, period // 2), name, watch)
        member = self.member(name)
        if member is not None:
            self._decisions.append(Probe(name, member.instance.endpoint))
            self._check_silence(now_us, name, watch, member)

    def _check_silence(self, now_us: int, name: str, watch: _MemberWatch, member: Member) -> None:
        """Suspect a member whose silence is unlikely by its habit."""
        well = member.state in (MemberState.ANNOUNCED, MemberState.LIVE, MemberState.RESTING)
        if well and watch.detector.phi(now_us) >= self.config.suspect_phi:
            self._set_state(now_us, member, MemberState.SUSPECTED)
            self._suspected.add(name)
            self._penalise(now_us, watch)
            self._decisions.append(
                LogLine(f"member {name} suspected: silent for {(now_us - watch.detector.last_answer_us) // 1000} ms")
            )

    # What sources say

    def _on_listed(self, now_us: int, instance: Instance) -> None:
        """Take an instance that a source names."""
        member = self.member(instance.name)
        if member is None:
            until, boot = self._gone_members.get(instance.name, (0, -1))
            was_withdrawn = until > now_us and instance.boot <= boot
            self._announce(now_us, instance, returned=until > now_us, was_withdrawn=was_withdrawn)
            return
        old = member.instance
        if instance.name in self._withdrawn and not instance.draining:
            self._forget(now_us, member)
            self._announce(now_us, instance, returned=True, was_withdrawn=instance.boot <= old.boot)
            return
        if instance == old or (instance.boot < old.boot and self._alive(now_us)(instance.name)):
            return  # an earlier boot counts only once the later one is silent: a clock may have been set back
        if instance.draining:
            self._drain(now_us, member._replace(instance=instance))
        elif instance.boot != old.boot or instance.endpoint != old.endpoint:
            self._decisions.append(LogLine(f"member {instance.name} started anew"))
            self._forget(now_us, member)
            self._announce(now_us, instance, returned=True)
        elif member.state is not MemberState.DRAINING:
            self._put(member._replace(instance=instance))

    def _announce(self, now_us: int, instance: Instance, returned: bool, was_withdrawn: bool = False) -> None:
        """Put an instance into the view.

        ``was_withdrawn`` tells that its record was withdrawn before: an old zone may have brought it back, or a fault
        may have taken it out. It has to answer before it gets work.
        """
        holder = self._addresses.get(instance.endpoint)
        other = self.member(holder) if holder not in (None, instance.name) else None
        if other is not None:
            if other.instance.boot > instance.boot:
                return  # the address is another's by now, and this record is the older one
            self._decisions.append(LogLine(f"member {holder} gone: its address is {instance.name}'s"))
            self._forget(now_us, other)
        life = (
            MemberState.DRAINING
            if instance.draining
            else MemberState.SUSPECTED
            if was_withdrawn
            else MemberState.ANNOUNCED
        )
        if life is MemberState.SUSPECTED:
            self._suspected.add(instance.name)
        warms = now_us if returned and not instance.draining else 0
        self._addresses[instance.endpoint] = instance.name
        watch = self._watches.get(instance.name)
        if watch is None:
            # Each has its own place in the period: all probes at once would be a burst.
            spread = crc32(instance.name.encode()) * self.config.probe_interval_us >> 32
            watch = _MemberWatch(PhiAccrualDetector(now_us, self.config.probe_interval_us))
            self._watches[instance.name] = watch
            self._schedule_probe(now_us + spread, instance.name, watch)
        else:
            watch.detector = PhiAccrualDetector(now_us, self.config.probe_interval_us)
        self._removed.discard(instance.name)
        self._changed[instance.name] = Member(instance, life, now_us, warms)

    def _on_unlisted(self, now_us: int, name: str) -> None:
        """Take a name whose record is gone: withdrawn, or its lease ran out. It may still finish its work."""
        member = self.member(name)
        if member is None or name in self._withdrawn:
            return
        if member.state is MemberState.SUSPECTED:
            self._forget(now_us, member)
            return
        self._drain(now_us, member)
        self._withdrawn[name] = now_us + self.config.withdrawn_linger_us

    def _forget(self, now_us: int, member: Member) -> None:
        """End a member's life; it stays known for a while, so that no old record brings it back."""
        name = member.instance.name
        watch = self._watches.pop(name, None)
        if watch is not None:
            self._penalise(now_us, watch)
        if self._addresses.get(member.instance.endpoint) == name:
            del self._addresses[member.instance.endpoint]
        until = now_us + self.config.gone_retention_us
        self._gone_members[name] = (until, member.instance.boot)
        self._gone_expirations.append((until, name))
        self._suspected.discard(name)
        self._withdrawn.pop(name, None)
        self._changed.pop(name, None)
        self._removed.add(name)

    def _drain(self, now_us: int, member: Member) -> None:
        if member.state is not MemberState.DRAINING:
            self._set_state(now_us, member, MemberState.DRAINING)
            self._suspected.discard(member.instance.name)

    # What is heard

    def _on_answer(self, now_us: int, name: str, leaving: bool, boot: int) -> None:
        member, watch = self.member(name), self._watches.get(name)
        if member is None or watch is None or 0 < boot < member.instance.boot:
            return
        watch.detector.record_answer(now_us)
        if leaving:
            self._drain(now_us, member)
            return
        if member.state is MemberState.SUSPECTED:
            if self._is_flapping(now_us, watch):
                return
            self._suspected.discard(name)
            self._decisions.append(LogLine(f"member {name} answers again"))
            cold = now_us - member.since_us >= self.config.warmup_after_us
            self._set_state(now_us, member._replace(warmup_start_us=now_us) if cold else member, MemberState.LIVE)
        elif member.state in (MemberState.ANNOUNCED, MemberState.RESTING):
            self._set_state(now_us, member, MemberState.LIVE)

    def _on_resting(self, now_us: int, name: str) -> None:
        member, watch = self.member(name), self._watches.get(name)
        if member is None or watch is None:
            return
        watch.detector.record_answer(now_us)
        if member.state in (MemberState.ANNOUNCED, MemberState.LIVE, MemberState.SUSPECTED):
            self._suspected.discard(name)
            self._set_state(now_us, member, MemberState.RESTING)

    def _on_no_answer(self, now_us: int, name: str, refused: bool) -> None:
        member, watch = self.member(name), self._watches.get(name)
        if member is None or watch is None:
            return
        if refused:
            watch.detector.record_refusal()
        else:
            watch.detector.record_timeout()
        self._check_silence(now_us, name, watch, member)

    def _penalise(self, now_us: int, watch: _MemberWatch) -> None:
        """Count a fall of a member; the count decays (as routes' are damped, RFC 2439)."""
        watch.penalty, watch.penalty_updated_us = self._penalty(now_us, watch) + 1.0, now_us

    def _penalty(self, now_us: int, watch: _MemberWatch) -> float:
        return watch.penalty * 0.5 ** ((now_us - watch.penalty_updated_us) / self.config.flap_half_life_us)

    def _is_flapping(self, now_us: int, watch: _MemberWatch) -> bool:
        """Tell whether a member falls so often that its answer does not bring it back yet."""
        penalty = self._penalty(now_us, watch)
        watch.suppressed = penalty >= (
            self.config.flap_reuse_penalty if watch.suppressed else self.config.flap_suppress_penalty
        )
        return watch.suppressed

    # The view

    def _set_state(self, now_us: int, member: Member, life: MemberState) -> None:
        if life not in STATE_TRANSITIONS[member.state]:
            raise AssertionError(f"{member.instance.name}: {member.state.value} to {life.value}")
        self._put(member._replace(state=life, since_us=now_us))

    def _put(self, member: Member) -> None:
        self._changed[member.instance.name] = member

    def _publish(self, now_us: int) -> None:
        """Make the next version of the view, if anything changed."""
        size = len(self.view.members) + len(self._changed) - len(self._removed)
        panic = len(self._suspected) > self.config.max_suspected_share * max(1, size)
        stale = self.sources.deciding_source() is None or now_us - self._source_read_us >= self.config.stale_after_us
        view = self.view.with_changes(self._changed.values(), self._removed, stale, panic)
        self._changed, self._removed = {}, set()
        if view is self.view:
            return
        if panic != self.view.panic:
            text = f"{len(self._suspected)} of {size} members suspected: suspicion is ignored"
            self._decisions.append(LogLine(text if panic else "suspicion counts again"))
        if stale != self.view.stale:
            text = "the view is stale: no source can be asked" if stale else "the view is fresh again"
            self._decisions.append(LogLine(text))
        self.view = view
        self._decisions.append(ViewChanged(view))
