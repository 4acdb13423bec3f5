"""The state machine of membership: listings, changes and probe results in, views and probes out.

A drain takes effect at once, whether it is seen in the record, the instance's own notice or a probe's answer. Silence
counts by the failure detector, and only up to a share of the fleet: beyond it a fault on this side is more likely, so
suspicion is ignored (Envoy's panic threshold). A member that was away gets its share of requests back over a warm-up;
one that flaps is suppressed until its penalty has decayed.
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
    """The operators' settings; times in microseconds.

    A member whose answers have been regular is suspected at the latest 2 * (``probe_interval_us`` +
    ``probe_timeout_us``) after its last answer. Above ``max_suspected_share`` of the fleet suspicion is ignored.
    """

    probe_interval_us: int = 250_000
    probe_timeout_us: int = 400_000
    suspect_phi: float = 8.0
    max_suspected_share: float = 0.5
    stale_after_us: int = 5_000_000  # without an update of the deciding source
    withdrawn_linger_us: int = 5_000_000  # a withdrawn member stays DRAINING: charges may still be queried there
    gone_retention_us: int = 60_000_000  # a GONE member is remembered, so that an old record does not bring it back
    warmup_after_us: int = 2_000_000  # of suspicion; a member that returns later than that warms up again
    warmup_us: int = 10_000_000  # duration of the warm-up
    flap_half_life_us: int = 8_000_000
    flap_suppress_penalty = 3.0  # a flapping member is suppressed from this penalty on
    flap_reuse_penalty = 1.0  # and used again below this one
    max_changes_per_step: int = 512
    max_queued_changes: int = 65_536


class SourceListed(NamedTuple):
    """A full listing of a source."""

    source: Source
    instances: tuple[Instance, ...]
    serial: int | None = None
    pinned: tuple[str, ...] = ()


class SourceChanged(NamedTuple):
    """Changes of a source: instances as they are now, and names whose records are gone."""

    source: Source
    now: tuple[Instance, ...] = ()
    gone: tuple[str, ...] = ()


class SourceUnavailable(NamedTuple):
    """A source is unavailable."""

    source: Source


class MemberAnswered(NamedTuple):
    """A member has answered a probe or a call; ``leaving``: it drains; ``boot`` is 0 where unknown."""

    name: str
    leaving: bool = False
    boot: int = 0


class MemberResting(NamedTuple):
    """A member has answered that it accepts no requests for now."""

    name: str


class ProbeTimedOut(NamedTuple):
    """A member has not answered in time."""

    name: str


class ConnectionRefused(NamedTuple):
    """A member's address has refused the connection."""

    name: str


class Tick(NamedTuple):
    """Time has passed."""


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
    """Send a health check to a member."""

    name: str
    endpoint: Endpoint


class ViewChanged(NamedTuple):
    """The view has changed."""

    view: View


class ResyncSource(NamedTuple):
    """Request a full listing of a source: its changes exceeded the queue."""

    source: Source


class LogLine(NamedTuple):
    """Log a line."""

    text: str


Decision = Union[Probe, ViewChanged, ResyncSource, LogLine]


@dataclass(slots=True)
class _MemberWatch:
    """State of a member beside the view: failure detector, next probe, flap penalty."""

    detector: PhiAccrualDetector
    probe_due_us: int = 0
    penalty: float = 0.0
    penalty_updated_us: int = 0
    suppressed: bool = False


class Membership:
    """All members as observed by this process; the owner calls ``step`` and carries out the decisions."""

    def __init__(self, config: MembershipConfig | None = None, now_us: int = 0) -> None:
        self.config = config or MembershipConfig()
        self.view = View()
        self.sources = SourceMerger()
        self.queue = RecordChangeQueue(self.config.max_queued_changes)
        self._watches: dict[str, _MemberWatch] = {}
        self._probes: list[tuple[int, str]] = []  # a heap; an entry that differs from its watch's time is obsolete
        self._gone_members: dict[str, tuple[int, int]] = {}  # name: end of retention, boot
        self._gone_expirations: deque[tuple[int, str]] = deque()
        self._withdrawn: dict[str, int] = {}  # name: when it leaves the view; in that order
        self._addresses: dict[Endpoint, str] = {}
        self._suspected: set[str] = set()
        self._source_read_us = now_us
        self._decisions: list[Decision] = []
        self._changed: dict[str, Member] = {}
        self._removed: set[str] = set()

    # Reading

    def member(self, name: str) -> Member | None:
        """Return a member, with the changes of the current step."""
        if name in self._removed:
            return None
        return self._changed.get(name) or self.view.members.get(name)

    def next_due(self, now_us: int) -> int:
        """Return when the next step is due without any event."""
        if len(self.queue):
            return now_us
        return self._probes[0][0] if self._probes else now_us + self.config.probe_interval_us

    # The step

    def step(self, now_us: int, event: Event) -> list[Decision]:
        """Process an event and return the decisions that follow."""
        self._decisions = []
        match event:
            case SourceListed():
                self._on_source_listed(now_us, event)
            case SourceChanged(source, now, gone):
                self._on_source_changed(now_us, source, now, gone)
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

    def _on_source_listed(self, now_us: int, event: SourceListed) -> None:
        is_answering = self._liveness_check(now_us)
        if not self.sources.replace(event.source, event.instances, event.serial, is_answering, event.pinned):
            self._decisions.append(
                LogLine(
                    f"listing of source {event.source.value} not taken yet: its zone serial is older than the last, "
                    "or too many members that still answer are missing in it"
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

    def _liveness_check(self, now_us: int) -> Callable[[str], bool]:
        """Return a function that returns whether the member of a name has answered lately."""

        def is_answering(name: str) -> bool:
            watch, member = self._watches.get(name), self.view.members.get(name)
            is_up = member is not None and member.state in (MemberState.LIVE, MemberState.ANNOUNCED)
            max_silence_us = 2 * (self.config.probe_interval_us + self.config.probe_timeout_us)
            return bool(is_up and watch and now_us - watch.detector.last_answer_us < max_silence_us)

        return is_answering

    def _on_source_changed(self, now_us: int, source: Source, now: Iterable[Instance], gone: Iterable[str]) -> None:
        self._source_read_us = now_us
        for name in gone:
            self.sources.change(source, name, None)
            self.queue.put(name, self.sources.merged_one(name))
        for instance in now:
            self.sources.change(source, instance.name, instance)
            self.queue.put(instance.name, self.sources.merged_one(instance.name))

    def _run_due_work(self, now_us: int) -> None:
        """Process a bounded number of changes, send probes that are due, and expire withdrawn members."""
        for name, instance in self.queue.take(self.config.max_changes_per_step):
            if instance is None:
                self._on_unlisted(now_us, name)
            else:
                self._on_listed(now_us, instance)
        if self.queue.overflowed:
            self.queue.overflowed = False
            self._decisions.append(ResyncSource(Source.RECORDS))
        while self._probes and self._probes[0][0] <= now_us:
            due_us, name = heapq.heappop(self._probes)
            watch = self._watches.get(name)
            if watch is not None and watch.probe_due_us == due_us:
                self._probe(now_us, name, watch)
        for name in [name for name, due_us in self._withdrawn.items() if due_us <= now_us]:
            member = self.member(name)
            if member is not None:
                self._forget(now_us, member)
        while self._gone_expirations and self._gone_expirations[0][0] <= now_us:
            expires_us, name = self._gone_expirations.popleft()
            if self._gone_members.get(name, (0, 0))[0] == expires_us:
                del self._gone_members[name]

    def _schedule_probe(self, at_us: int, name: str, watch: _MemberWatch) -> None:
        watch.probe_due_us = at_us
        heapq.heappush(self._probes, (at_us, name))

    def _probe(self, now_us: int, name: str, watch: _MemberWatch) -> None:
        """Probe a member, check its silence and schedule the next probe; a late probe keeps its phase."""
        period = self.config.probe_interval_us
        lateness_us = (now_us - watch.probe_due_us) % period
        self._schedule_probe(now_us + period - min(lateness_us, period // 2), name, watch)
        member = self.member(name)
        if member is not None:
            self._decisions.append(Probe(name, member.instance.endpoint))
            self._check_silence(now_us, name, watch, member)

    def _check_silence(self, now_us: int, name: str, watch: _MemberWatch, member: Member) -> None:
        """Suspect a member whose silence is unlikely by its earlier answers."""
        is_up = member.state in (MemberState.ANNOUNCED, MemberState.LIVE, MemberState.RESTING)
        if is_up and watch.detector.phi(now_us) >= self.config.suspect_phi:
            self._set_state(now_us, member, MemberState.SUSPECTED)
            self._suspected.add(name)
            self._penalise(now_us, watch)
            self._decisions.append(
                LogLine(f"member {name} suspected: silent for {(now_us - watch.detector.last_answer_us) // 1000} ms")
            )

    # Listings

    def _on_listed(self, now_us: int, instance: Instance) -> None:
        """Process an instance that a source lists."""
        member = self.member(instance.name)
        if member is None:
            expires_us, boot = self._gone_members.get(instance.name, (0, -1))
            was_withdrawn = expires_us > now_us and instance.boot <= boot
            self._announce(now_us, instance, returned=expires_us > now_us, was_withdrawn=was_withdrawn)
            return
        old = member.instance
        if instance.name in self._withdrawn and not instance.draining:
            self._forget(now_us, member)
            self._announce(now_us, instance, returned=True, was_withdrawn=instance.boot <= old.boot)
            return
        if instance == old or (instance.boot < old.boot and self._liveness_check(now_us)(instance.name)):
            return  # an earlier boot counts only once the later one is silent: its host's clock may have been set back
        if instance.draining:
            self._drain(now_us, member._replace(instance=instance))
        elif instance.boot != old.boot or instance.endpoint != old.endpoint:
            self._decisions.append(LogLine(f"member {instance.name} restarted"))
            self._forget(now_us, member)
            self._announce(now_us, instance, returned=True)
        elif member.state is not MemberState.DRAINING:
            self._put(member._replace(instance=instance))

    def _announce(self, now_us: int, instance: Instance, returned: bool, was_withdrawn: bool = False) -> None:
        """Add an instance to the view.

        ``was_withdrawn``: its record was withdrawn before. An old zone may have brought it back, or a fault may have
        removed it, so it has to answer before it gets requests.
        """
        holder_name = self._addresses.get(instance.endpoint)
        holder = self.member(holder_name) if holder_name not in (None, instance.name) else None
        if holder is not None:
            if holder.instance.boot > instance.boot:
                return  # the address belongs to a later boot
            self._decisions.append(LogLine(f"member {holder_name} gone: its address now belongs to {instance.name}"))
            self._forget(now_us, holder)
        state = (
            MemberState.DRAINING
            if instance.draining
            else MemberState.SUSPECTED
            if was_withdrawn
            else MemberState.ANNOUNCED
        )
        if state is MemberState.SUSPECTED:
            self._suspected.add(instance.name)
        warmup_start_us = now_us if returned and not instance.draining else 0
        self._addresses[instance.endpoint] = instance.name
        watch = self._watches.get(instance.name)
        if watch is None:
            # Probes are spread over the interval: all at once would be a burst.
            offset_us = crc32(instance.name.encode()) * self.config.probe_interval_us >> 32
            watch = _MemberWatch(PhiAccrualDetector(now_us, self.config.probe_interval_us))
            self._watches[instance.name] = watch
            self._schedule_probe(now_us + offset_us, instance.name, watch)
        else:
            watch.detector = PhiAccrualDetector(now_us, self.config.probe_interval_us)
        self._removed.discard(instance.name)
        self._changed[instance.name] = Member(instance, state, now_us, warmup_start_us)

    def _on_unlisted(self, now_us: int, name: str) -> None:
        """Drain a member whose record was withdrawn or has expired; it may still finish its requests."""
        member = self.member(name)
        if member is None or name in self._withdrawn:
            return
        if member.state is MemberState.SUSPECTED:
            self._forget(now_us, member)
            return
        self._drain(now_us, member)
        self._withdrawn[name] = now_us + self.config.withdrawn_linger_us

    def _forget(self, now_us: int, member: Member) -> None:
        """Remove a member; it is remembered for a while, so that an old record does not bring it back."""
        name = member.instance.name
        watch = self._watches.pop(name, None)
        if watch is not None:
            self._penalise(now_us, watch)
        if self._addresses.get(member.instance.endpoint) == name:
            del self._addresses[member.instance.endpoint]
        expires_us = now_us + self.config.gone_retention_us
        self._gone_members[name] = (expires_us, member.instance.boot)
        self._gone_expirations.append((expires_us, name))
        self._suspected.discard(name)
        self._withdrawn.pop(name, None)
        self._changed.pop(name, None)
        self._removed.add(name)

    def _drain(self, now_us: int, member: Member) -> None:
        if member.state is not MemberState.DRAINING:
            self._set_state(now_us, member, MemberState.DRAINING)
            self._suspected.discard(member.instance.name)

    # Probe results and answers

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
            needs_warmup = now_us - member.since_us >= self.config.warmup_after_us
            self._set_state(
                now_us, member._replace(warmup_start_us=now_us) if needs_warmup else member, MemberState.LIVE
            )
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
        """Add to a member's flap penalty, which decays exponentially (route flap damping, RFC 2439)."""
        watch.penalty, watch.penalty_updated_us = self._penalty(now_us, watch) + 1.0, now_us

    def _penalty(self, now_us: int, watch: _MemberWatch) -> float:
        return watch.penalty * 0.5 ** ((now_us - watch.penalty_updated_us) / self.config.flap_half_life_us)

    def _is_flapping(self, now_us: int, watch: _MemberWatch) -> bool:
        """Return whether a member flaps so often that its answer does not bring it back yet."""
        penalty = self._penalty(now_us, watch)
        watch.suppressed = penalty >= (
            self.config.flap_reuse_penalty if watch.suppressed else self.config.flap_suppress_penalty
        )
        return watch.suppressed

    # The view

    def _set_state(self, now_us: int, member: Member, state: MemberState) -> None:
        if state not in STATE_TRANSITIONS[member.state]:
            raise AssertionError(f"{member.instance.name}: {member.state.value} to {state.value}")
        self._put(member._replace(state=state, since_us=now_us))

    def _put(self, member: Member) -> None:
        self._changed[member.instance.name] = member

    def _publish(self, now_us: int) -> None:
        """Publish the next version of the view, if anything has changed."""
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
            text = "the view is stale: no source is available" if stale else "the view is fresh again"
            self._decisions.append(LogLine(text))
        self.view = view
        self._decisions.append(ViewChanged(view))
