"""Fleet membership: the operators' file, one member's sockets and stores, and a front end's view of ownership.

Imported only where ``deploy/fleet.toml`` exists.
"""

from __future__ import annotations

import ipaddress
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import msgspec
from twisted.internet.error import CannotListenError

from sagetrestle.consensus import raft
from sagetrestle.file_decoding import decode_file
from sagetrestle.net.protocol.fences import Fates
from sagetrestle.net.routing.fleet import HANDLERS, Fleet, attach_fleet
from sagetrestle.net.routing.fleet_events import (
    RunOutcomeReported,
    RecordsPersisted,
    CapacityMeasured,
    ConsensusStoreReset,
    ServerOutcomes,
    SlotsReported,
    StoreWriteDone,
)
from sagetrestle.net.routing.inputs import FleetEventReceived, Input
from sagetrestle.net.routing.spending_caps import attach_cap_check
from sagetrestle.net.routing.idempotency import KEY_WINDOW_MARGIN_US
from sagetrestle.net.routing.state import State
from sagetrestle.net.transport.peer_link import KernelFenceClient, PeerLinks
from sagetrestle.ownership.values import FleetMap, FleetSettings, MemberInfo, member_name
from sagetrestle.peers import links as link
from sagetrestle.recovery.effects import RecordKind
from sagetrestle.store.database import StoreError
from sagetrestle.store.gossip_rows import read_gossip_rows, write_gossip_rows
from sagetrestle.store.records import RecordStore
from sagetrestle.store.raft_store import CorruptStoreError, RaftStore, set_aside
from sagetrestle.takeover import effect_log, node
from sagetrestle.takeover.messages import MapUpdate

if TYPE_CHECKING:
    from sagetrestle.net.program.config import Config
    from sagetrestle.net.program.upstream import Upstream
    from sagetrestle.gossip import Row
    from sagetrestle.takeover.replica_changes import Change
    from sagetrestle.health_decisions import Subject

MS = 1_000
# How long a member alone ejects a server that it can not use, where removals are decided by the fleet and damped.
LOCAL_EJECTION_US = 1_000_000
WATCH_TICK_INTERVAL_S = 0.05
OUTCOME_REPORT_INTERVAL_S = 0.1  # between two reports of the outcomes of requests to servers
Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9._-]{1,63}$")]
KIND_BY_FATE = {"done": RecordKind.OUTCOME, "crashed": RecordKind.FAILED, "never": RecordKind.NEVER}


class FleetFileError(ValueError):
    """An invalid file; the message names the file and the field."""


class MemberRow(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One member, and the address where it accepts links of other members."""

    name: Name
    address: str


class OverloadTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """``[overload]``: load shedding for the whole fleet.

    ``retries`` limits retries as a share of first attempts, ``most`` is the maximum of slots of a server.
    """

    retries: Annotated[float, msgspec.Meta(ge=0, le=3)] = 0.5
    most: Annotated[int, msgspec.Meta(ge=1, le=10_000)] = 256


class DampingTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """``[damping]``: removals of servers are decided once for the fleet and damped; it needs ``[overload]``."""

    breaker_failures: Annotated[int, msgspec.Meta(ge=5, le=1_000)] = 10
    removals: Annotated[int, msgspec.Meta(ge=1, le=10_000)] = 30


class FleetFile(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """``deploy/fleet.toml``; the same at all members except for ``listen``, ``zone``, ``weight`` and ``store``."""

    fleet: Name
    listen: str
    council: Annotated[list[Name], msgspec.Meta(min_length=1, max_length=7)]
    members: Annotated[list[MemberRow], msgspec.Meta(min_length=1, max_length=3_000)]
    store: str = ""
    records: str = ""
    picture: str = ""
    zone: str = ""
    weight: Annotated[int, msgspec.Meta(ge=1, le=1_000)] = 1
    partitions: Annotated[int, msgspec.Meta(ge=1, le=4_096)] = 64
    backups: Annotated[int, msgspec.Meta(ge=0, le=4)] = 2
    least_backups: Annotated[int, msgspec.Meta(ge=0, le=4)] = 1
    lease_ms: Annotated[int, msgspec.Meta(ge=200, le=60_000)] = 1_000
    heartbeat_ms: Annotated[int, msgspec.Meta(ge=20, le=10_000)] = 100
    election_ms: Annotated[int, msgspec.Meta(ge=100, le=60_000)] = 500
    clock_drift: Annotated[float, msgspec.Meta(ge=0, le=0.2)] = 0.01
    clocks_apart_ms: Annotated[int, msgspec.Meta(ge=0, le=60_000)] = 500
    moves: Annotated[int, msgspec.Meta(ge=1, le=4_096)] = 8
    lost_after_ms: Annotated[int, msgspec.Meta(ge=0, le=600_000)] = 5_000
    kernel_fences: bool = False
    caps: bool = False
    verdicts: bool = False
    new: bool = False
    overload: OverloadTable | None = None
    damping: DampingTable | None = None


@dataclass(frozen=True)
class FleetConfig:
    """The file, with its paths and addresses resolved."""

    file: FleetFile
    listen: tuple[str, int]
    addresses: tuple[tuple[str, tuple[str, int]], ...]
    store: Path | None
    records: Path | None = None
    picture: Path | None = None

    def terms(self) -> FleetSettings:
        """Return the settings of partition ownership."""
        file = self.file
        return FleetSettings(
            file.partitions,
            file.backups,
            file.least_backups,
            file.lease_ms * MS,
            file.clock_drift,
            file.moves,
            file.lost_after_ms * MS,
            file.clocks_apart_ms * MS,
            bool(file.records),
            file.new,
        )

    def raft(self) -> raft.RaftTiming:
        """Return the Raft timing of the council, the consensus group."""
        file = self.file
        return raft.RaftTiming(
            file.heartbeat_ms * MS, file.election_ms * MS, 2 * file.election_ms * MS, file.clock_drift
        )


def load_fleet(path: Path, name: str | None = None) -> FleetConfig:
    """Read and check the operators' file; a ``name`` must be member of the members. Raises FleetFileError."""
    try:
        file: FleetFile = decode_file(path.read_bytes(), FleetFile, "toml", FleetFileError)
        names = [member.name for member in file.members]
        if len(set(names)) < len(names):
            raise FleetFileError("members: a name occurs twice")
        if name is not None and name not in names:
            raise FleetFileError(f"members: {name!r} is not member of them")
        if unknown := sorted(set(file.council) - set(names)):
            raise FleetFileError(f"council: {unknown[0]!r} is not a member")
        if len(set(file.council)) % 2 == 0 or len(set(file.council)) < len(file.council):
            raise FleetFileError("council: must be 1, 3, 5 or 7 different members")
        if file.partitions & (file.partitions - 1):
            raise FleetFileError("partitions: must be a power of two")
        if file.least_backups > file.backups:
            raise FleetFileError("least_backups: must not exceed backups")
        if file.damping is not None and file.overload is None:
            raise FleetFileError("damping: needs a table overload")
        if file.heartbeat_ms * 3 > file.election_ms:
            raise FleetFileError("heartbeat_ms: must be at most a third of election_ms")
        addresses = tuple((member.name, _address(member.address, f"members: {member.name}")) for member in file.members)
        return FleetConfig(
            file,
            _address(file.listen, "listen"),
            addresses,
            path.parent.parent / file.store if file.store else None,
            path.parent.parent / file.records if file.records else None,
            path.parent.parent / file.picture if file.picture else None,
        )
    except (OSError, FleetFileError) as error:
        raise FleetFileError(f"{path.name}: {error}") from None


def _address(text: str, where: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise FleetFileError(f"{where}: {text!r}: not ADDRESS:PORT") from None
    if not port.isdecimal() or not int(port) < 65_536:
        raise FleetFileError(f"{where}: {text!r}: not ADDRESS:PORT")
    return host, int(port)


class FleetHost:
    """One member's links, its stores on disk, and its queries to kernels."""

    def __init__(
        self,
        reactor: Any,
        fleet: FleetConfig,
        config: Config,
        post: Callable[[Input], None],
        log: Callable[[str], None],
        now: Callable[[], int],
        in_thread: Callable[[Callable[[], Any]], Any],
        upstream: Upstream | None = None,
        unix: int = 0,
    ) -> None:
        self._reactor, self._report_call, self._listening = reactor, None, False
        self._upstream = upstream  # set in a translator, whose runs are forwarded to new servers
        if upstream is not None:
            upstream.fleet = fleet.file.fleet
        self._config, self._post, self._log, self._now, self._in_thread = fleet, post, log, now, in_thread
        file, self._council = fleet.file, tuple(sorted(fleet.file.council))
        unix = self._unix = unix or time.time_ns() // 1000
        self._started_us = now()
        self._name, self._seed = config.name, config.plan.seed + unix // 1_000_000
        self._store: RaftStore | None = None
        self._store_count = 0
        boot = unix // 1000
        kernel = "{}:{}".format(*config.peers.kernel) if file.kernel_fences and upstream is None else ""
        place = MemberInfo(f"{config.name}@{boot}", file.zone, file.weight, kernel)
        links = link.Links(file.fleet, place.id, tuple(name for name, _ in fleet.addresses), self._seed, now())
        window = max((request_class.window_us for request_class in config.plan.settings.classes), default=0)
        seat = self._open_seat() if config.name in self._council else None
        # Arrivals are stamped by clocks that may differ, and a key must not expire here before it does elsewhere.
        self.node = node.Node(
            place, self._council, fleet.terms(), links, window + KEY_WINDOW_MARGIN_US + file.clocks_apart_ms * MS, seat
        )
        self._records: RecordStore | None = None
        self._saving_picture = False  # whether the picture file is being written
        self._pending_picture: tuple[Row, ...] | None = None  # rows to be written after that
        self._deferred_writes: list[raft.PersistState] = []  # of the council's store, until the old process has exited
        self._port_was_in_use = False
        self.links = PeerLinks(reactor, dict(fleet.addresses), lambda event: post(FleetEventReceived(event)))
        self._kernel_asker = KernelFenceClient(reactor, self._fates_received)

    def join(self, state: State, handlers: dict[type, Any]) -> None:
        """Attach the member to the core's state, and add its handlers."""
        handlers |= HANDLERS
        if self._config.file.caps and state.authenticator is not None:
            attach_cap_check(state, self.node)
        joined = Fleet(self.node, self._upstream.choose_place if self._upstream is not None else None)
        attach_fleet(state, joined)
        if self._config.file.overload is not None and self._upstream is not None:
            self._join_overload_control(state, joined, self._upstream, self._config.file.overload)

    def _join_overload_control(self, state: State, joined: Fleet, upstream: Upstream, table: OverloadTable) -> None:
        """Set up load shedding for the whole fleet; its modules are imported only here."""
        from sagetrestle.net.routing.overload_control import OverloadControl
        from sagetrestle.overload.retry_budget import RetryBudget
        from sagetrestle.traffic.admission import AdmissionController
        from sagetrestle.traffic.dispatch import Dispatcher
        from sagetrestle.takeover.overload import OverloadParticipant

        def owner_of(key: str) -> tuple[int, int, str]:
            partition, share = self.node.effect_log.assignment_of(key)
            return partition, share.epoch, share.owner

        retry_budget = RetryBudget(table.retries)
        damping_table = self._config.file.damping
        self.node.overload = OverloadParticipant(
            self._config.file.clock_drift,
            table.most,
            damping_table.removals if damping_table else 0,
            owner_of,
            self.node.picture,
        )
        if (damping := self._config.file.damping) is not None:
            upstream.attempt_controller.breaker.config = replace(
                upstream.attempt_controller.breaker.config,
                consecutive_failures=damping.breaker_failures,
                base_ejection_us=LOCAL_EJECTION_US,
                max_ejection_us=LOCAL_EJECTION_US,
            )
        regions, names = None, ("",)
        if upstream.objectives is not None:
            from sagetrestle.traffic.region_selection import RegionSelector
            from sagetrestle.takeover.promises import PromiseParticipant

            upstream.regions = upstream.attempt_controller.region_routing = regions = RegionSelector(
                upstream.objectives
            )
            names = regions.names
            self.node.promises = PromiseParticipant(upstream.objectives, self.node.picture, owner_of)
            self.node.overload.by_region = True
        joined.overload = OverloadControl(
            AdmissionController(names, retry_budget, state.plan.settings.max_retry_after_us),
            regions,
            lambda: upstream.excluded_servers(),
            lambda: upstream.attempt_controller.queued_jobs(),
        )
        upstream.limit_sends(
            Dispatcher(retry_budget),
            lambda reports: self._post(FleetEventReceived(SlotsReported(reports))),
            lambda capacity: self._post(FleetEventReceived(CapacityMeasured(*capacity))),
            lambda: state.policy.waiting_count if state.policy is not None else 0,
            lambda id: (entry := state.entries.get(id)) is None or entry.unanswered,
        )

    def listen(self) -> tuple[str, int]:
        """Listen for other members' links, and start using the files. Raises CannotListenError and StoreError.

        Until the port is free the old process of an upgrade may use both. What it wrote after this process read the
        council's store counts, so the store is read again.
        """
        try:
            address = self._config.listen[0], self.links.listen(self._config.listen)
        except CannotListenError:
            self._port_was_in_use = True
            raise
        self._listening = True
        if self._config.records is not None:
            self._records = self._open_records(self._config.records)
        if self._config.picture is not None:
            self._load_picture(self._config.picture)
        deferred_writes, self._deferred_writes = self._deferred_writes, []
        if self._port_was_in_use and self._store is not None:
            self._store.close()
            self._post(FleetEventReceived(ConsensusStoreReset(self._open_seat())))
        else:
            for write in deferred_writes:
                self._persist(write)
        if self._upstream is not None and self._config.file.verdicts:
            self._report_outcomes()
        return address

    def close(self) -> None:
        """Close the links, and stop reporting outcomes."""
        if self._report_call is not None and self._report_call.active():
            self._report_call.cancel()
        self.links.close()
        self._kernel_asker.close()

    def _load_picture(self, path: Path) -> None:
        """Load the picture saved by the previous process; a file that can not be read is ignored."""
        self.node.keeps_picture = True
        try:
            rows = read_gossip_rows(path)
        except StoreError as error:
            self._log(f"picture: {error}; it is begun anew")
            return
        self.node.restore_picture(self._now(), self._unix + self._now() - self._started_us, rows)

    def _save_picture(self, path: Path, rows: tuple[Row, ...]) -> None:
        """Write rows to the picture file; rows that arrive during a write are written after it."""
        if self._saving_picture:
            self._pending_picture = rows
            return
        self._saving_picture = True

        def write_finished(failure: Any = None) -> None:
            self._saving_picture = False
            if failure is not None:
                self._log(f"picture: {failure.getErrorMessage()}")
            rows, self._pending_picture = self._pending_picture, None
            if rows is not None:
                self._save_picture(path, rows)

        self._in_thread(lambda: write_gossip_rows(path, rows)).addCallbacks(lambda _: write_finished(), write_finished)

    def _open_records(self, path: Path) -> RecordStore:
        """Open and restore the records of the previous process; a store that can not be used is set aside."""
        store = RecordStore(path, self.node.member_id)
        try:
            self.node.restore(store.read())
        except StoreError as error:
            store.close()
            self._log(f"records: {error}; they are set aside as {set_aside(path).name}")
            store = RecordStore(path, self.node.member_id)
            self.node.restore({})
        return store

    def _open_seat(self) -> raft.RaftState:
        """Return the Raft state restored from the store; a spoilt store is set aside and replaced by an empty one."""
        self._store_count += 1
        stored, path = None, self._config.store
        if path is not None:
            try:
                self._store = RaftStore(path)
                stored = self._store.read()
            except CorruptStoreError as error:
                assert self._store is not None
                self._store.close()
                self._log(f"council: {error}; it is set aside as {set_aside(path).name}")
                self._store = RaftStore(path)
                stored = self._store.read()
        identity = stored.identity if stored is not None else f"{self._unix // 1000:x}.{self._store_count}"
        id = f"{self._name}#{identity}"
        if stored is None:
            return raft.restore_state(id, self._council, self._config.raft(), self._seed, self._now())
        return raft.restore_state(id, self._council, self._config.raft(), self._seed, self._now(), *stored[1:])

    def perform(self, decision: node.Decision) -> None:
        """Carry out a decision of the member's state machine."""
        match decision:
            case link.Dial(name) if not self._listening:
                # The old process of this member still has its links; a greeting now would cut them too early.
                self._post(FleetEventReceived(link.DialFinished(name, None)))
            case link.Dial(name):
                self.links.dial(name)
            case link.WriteFrame(connection, frame):
                self.links.write(connection, frame)
            case link.Close(connection):
                self.links.end(connection)
            case node.Persist(write) if not self._listening:
                self._deferred_writes.append(write)
            case node.Persist(write):
                self._persist(write)
            case node.PersistChanges(changes) if self._records is not None:
                self._persist_records(self._records, changes)
            case node.SavePicture(rows) if self._config.picture is not None:
                self._save_picture(self._config.picture, rows)
            case node.ResetCouncilStore(why):
                self._reset_store(why)
            case effect_log.FenceKernel():
                self._kernel_asker.ask(decision)
            case node.SlotsReceived(grant) if self._upstream is not None:
                self._upstream.apply_grant(grant)
            case node.SubjectsConvicted(subjects):
                self._eject_convicted(subjects)
            case effect_log.QueryServer() if self._upstream is not None:
                self._upstream.query_outcome(
                    decision,
                    lambda kind, result, fenced: self._post(
                        FleetEventReceived(
                            RunOutcomeReported(
                                decision.partition, decision.epoch, decision.attempt.id, kind, result, fenced
                            )
                        )
                    ),
                )

    def _eject_convicted(self, subjects: tuple[Subject, ...]) -> None:
        """Log convicted subjects, and eject servers here unless the fleet decides on removals by damping."""
        for subject in subjects:
            self._log(f"{subject.kind} {subject.name} is convicted by independent witnesses")
            if subject.kind == "server" and self._upstream is not None and self._config.file.damping is None:
                self._upstream.eject_server(subject.name, subject.boot)

    def _report_outcomes(self) -> None:
        """Post the outcomes of requests to servers since the last report, and schedule the next report."""
        if outcomes := self._upstream.take_outcome_counts():  # type: ignore[union-attr]
            self._post(FleetEventReceived(ServerOutcomes(outcomes)))
        self._report_call = self._reactor.callLater(OUTCOME_REPORT_INTERVAL_S, self._report_outcomes)

    def _persist(self, write: raft.PersistState) -> None:
        """Write Raft state to the council's store in a thread, and post the result."""
        store = self._store
        if store is None:
            self._post(FleetEventReceived(StoreWriteDone(True)))
            return

        def failed(reason: Any) -> None:
            self._log(f"council: {reason.getErrorMessage()}")
            self._post(FleetEventReceived(StoreWriteDone(False)))

        self._in_thread(lambda: store.write(write)).addCallbacks(
            lambda _: self._post(FleetEventReceived(StoreWriteDone(True))), failed
        )

    def _persist_records(self, store: RecordStore, changes: tuple[Change, ...]) -> None:
        """Write changes of records in a thread, and post the result."""

        def failed(reason: Any) -> None:
            self._log(f"records: {reason.getErrorMessage()}")
            self._post(FleetEventReceived(RecordsPersisted(False)))

        self._in_thread(lambda: store.write(changes)).addCallbacks(
            lambda _: self._post(FleetEventReceived(RecordsPersisted(True))), failed
        )

    def _reset_store(self, why: str) -> None:
        """Replace the council's store by an empty one, since it was restored from an older copy."""
        self._log(f"council: the store is older than what was said from it: {why}")
        if self._store is not None and self._config.store is not None:
            self._store.close()
            set_aside(self._config.store)
        try:
            self._post(FleetEventReceived(ConsensusStoreReset(self._open_seat())))
        except StoreError as error:
            self._log(f"council: {error}")

    def _fates_received(self, fates: Fates) -> None:
        """Post the outcomes of runs reported by a kernel."""
        for fate in fates.fates:
            self._post(
                FleetEventReceived(
                    RunOutcomeReported(fates.partition, fates.epoch, fate.run, KIND_BY_FATE[fate.how], fate.result)
                )
            )


class FleetWatch:
    """A front end's view of partition ownership: it observes members' links without being a member."""

    def __init__(
        self,
        reactor: Any,
        fleet: str,
        name: str,
        addresses: dict[str, tuple[str, int]],
        on_map: Callable[[FleetMap], None],
        seed: int = 0,
    ) -> None:
        self._reactor, self._on_map, self.fleet_map = reactor, on_map, FleetMap()
        member_id = f"{name}@{int(time.time() * 1000)}"
        self._machine = link.Links(fleet, member_id, tuple(addresses), seed, self._now(), observer=True)
        self._links = PeerLinks(reactor, addresses, self._event_received)
        self._stopped = False

    def _now(self) -> int:
        return int(self._reactor.seconds() * 1e6)

    def start(self) -> None:
        """Run the links' periodic tick until ``stop``."""
        if not self._stopped:
            self._execute(self._machine.tick(self._now()))
            self._reactor.callLater(WATCH_TICK_INTERVAL_S, self.start)

    def stop(self) -> None:
        """Close the links."""
        self._stopped = True
        self._links.close()

    def _event_received(self, event: link.Event) -> None:
        if not self._stopped:
            self._execute(self._machine.step(self._now(), event))

    def _execute(self, decisions: list[link.Decision]) -> None:
        for decision in decisions:
            match decision:
                case link.Dial(name):
                    self._links.dial(name)
                case link.WriteFrame(connection, frame):
                    self._links.write(connection, frame)
                case link.Close(connection):
                    self._links.end(connection)
                case link.MessageReceived(_, MapUpdate(fleet_map)) if fleet_map.revision > self.fleet_map.revision:
                    self.fleet_map = fleet_map
                    self._on_map(fleet_map)


def owner_name_lookup(fleet_map: FleetMap) -> Callable[[str], str]:
    """Return a function that maps a key to the name of its owner, for a router."""
    return lambda key: member_name(fleet_map.assignment_of(key)[1].owner)
