"""The fleet wired up: the operators' file, one member's sockets and store, and a front end's watch of who owns what.

Loaded only where ``deploy/fleet.toml`` is.
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
from sagetrestle.net.transport.peer_link import KernelAsker, PeerLinks
from sagetrestle.ownership.values import FleetMap, FleetTerms, Place, name_of
from sagetrestle.peers import links as link
from sagetrestle.recovery.effects import Kind
from sagetrestle.store.database import StoreError
from sagetrestle.store.gossip_rows import read_gossip_rows, write_gossip_rows
from sagetrestle.store.records import RecordStore
from sagetrestle.store.raft_store import CorruptStoreError, RaftStore, set_aside
from sagetrestle.takeover import books, node
from sagetrestle.takeover.messages import MapTold

if TYPE_CHECKING:
    from sagetrestle.net.program.config import Config
    from sagetrestle.net.program.upstream import Upstream
    from sagetrestle.gossip import Row
    from sagetrestle.takeover.changes import Change
    from sagetrestle.health_decisions import Subject

MS = 1_000
LOCAL_US = 1_000_000  # how long a member keeps away from a server that only it can not use, where removals are damped
LOOK_S = 0.1  # between two looks at what requests to servers came to
Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9._-]{1,63}$")]
FATES = {"done": Kind.OUTCOME, "crashed": Kind.FAILED, "never": Kind.NEVER}


class FleetFileError(ValueError):
    """A file that can not be used; the text names it and the field."""


class MemberRow(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One member, and where it takes the others' links."""

    name: Name
    address: str


class OverloadTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """``[overload]``: shed as one; ``retries`` is a share of first tries, ``most`` a bound for a server's slots."""

    retries: Annotated[float, msgspec.Meta(ge=0, le=3)] = 0.5
    most: Annotated[int, msgspec.Meta(ge=1, le=10_000)] = 256


class DampingTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """``[damping]``: removals of servers are decided once for the fleet, and damped. It needs ``[overload]``."""

    breaker_failures: Annotated[int, msgspec.Meta(ge=5, le=1_000)] = 10
    removals: Annotated[int, msgspec.Meta(ge=1, le=10_000)] = 30


class FleetFile(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """``deploy/fleet.toml``; the same at all members, but for ``listen``, ``zone``, ``weight`` and ``store``."""

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
    """The file, and what its paths and addresses mean."""

    file: FleetFile
    listen: tuple[str, int]
    addresses: tuple[tuple[str, tuple[str, int]], ...]
    store: Path | None
    records: Path | None = None
    picture: Path | None = None

    def terms(self) -> FleetTerms:
        """Return the terms of ownership."""
        file = self.file
        return FleetTerms(
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
        """Return the terms of the council."""
        file = self.file
        return raft.RaftTiming(
            file.heartbeat_ms * MS, file.election_ms * MS, 2 * file.election_ms * MS, file.clock_drift
        )


def load_fleet(path: Path, name: str | None = None) -> FleetConfig:
    """Read the operators' file whole, for a member of this name or for a look. Raises FleetFileError."""
    try:
        file: FleetFile = decode_file(path.read_bytes(), FleetFile, "toml", FleetFileError)
        names = [one.name for one in file.members]
        if len(set(names)) < len(names):
            raise FleetFileError("members: a name comes twice")
        if name is not None and name not in names:
            raise FleetFileError(f"members: {name!r} is not one of them")
        if unknown := sorted(set(file.council) - set(names)):
            raise FleetFileError(f"council: {unknown[0]!r} is no member")
        if len(set(file.council)) % 2 == 0 or len(set(file.council)) < len(file.council):
            raise FleetFileError("council: must be 1, 3, 5 or 7 different members")
        if file.partitions & (file.partitions - 1):
            raise FleetFileError("partitions: must be a power of two")
        if file.least_backups > file.backups:
            raise FleetFileError("least_backups: more than backups")
        if file.damping is not None and file.overload is None:
            raise FleetFileError("damping: needs a table overload, whose slots it goes by")
        if file.heartbeat_ms * 3 > file.election_ms:
            raise FleetFileError("heartbeat_ms: must be a third of election_ms at most")
        addresses = tuple((one.name, _address(one.address, f"members: {one.name}")) for one in file.members)
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
    """One member's sockets, its council's store, and the kernels that it asks."""

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
        self._reactor, self._looking, self._listening = reactor, None, False
        self._upstream = upstream  # new servers, where runs are sent on
        if upstream is not None:
            upstream.fleet = fleet.file.fleet
        self._config, self._post, self._log, self._now, self._in_thread = fleet, post, log, now, in_thread
        file, self._council = fleet.file, tuple(sorted(fleet.file.council))
        unix = self._unix = unix or time.time_ns() // 1000
        self._began_us = now()
        self._name, self._seed = config.name, config.plan.seed + unix // 1_000_000
        self._store: RaftStore | None = None
        self._lives = 0
        boot = unix // 1000
        kernel = "{}:{}".format(*config.peers.kernel) if file.kernel_fences and upstream is None else ""
        place = Place(f"{config.name}@{boot}", file.zone, file.weight, kernel)
        links = link.Links(file.fleet, place.id, tuple(name for name, _ in fleet.addresses), self._seed, now())
        window = max((cls.window_us for cls in config.plan.settings.classes), default=0)
        seat = self._seat() if config.name in self._council else None
        # Arrivals are stamped by clocks that may be apart, and a key must not be free here before it is anywhere.
        self.node = node.Node(
            place, self._council, fleet.terms(), links, window + KEY_WINDOW_MARGIN_US + file.clocks_apart_ms * MS, seat
        )
        self._records: RecordStore | None = None
        self._pictured = False  # whether the picture's file is being written
        self._unpictured: tuple[Row, ...] | None = None  # what is to be written after that
        self._unwritten: list[raft.PersistState] = []  # of the council's, until this process has the member to itself
        self._waited = False
        self.links = PeerLinks(reactor, dict(fleet.addresses), lambda event: post(FleetEventReceived(event)))
        self._kernels = KernelAsker(reactor, self._told)

    def join(self, state: State, handlers: dict[type, Any]) -> None:
        """Have the core reach the member."""
        handlers |= HANDLERS
        if self._config.file.caps and state.authenticator is not None:
            attach_cap_check(state, self.node)
        joined = Fleet(self.node, self._upstream.place if self._upstream is not None else None)
        attach_fleet(state, joined)
        if self._config.file.overload is not None and self._upstream is not None:
            self._join_strain(state, joined, self._upstream, self._config.file.overload)

    def _join_strain(self, state: State, joined: Fleet, upstream: Upstream, terms: OverloadTable) -> None:
        """Have overload shed by the fleet as one; it is loaded only here."""
        from sagetrestle.net.routing.overload_control import OverloadControl
        from sagetrestle.overload.retry_budget import RetryBudget
        from sagetrestle.traffic.admission import AdmissionController
        from sagetrestle.traffic.dispatch import Dispatcher
        from sagetrestle.takeover.strain import StrainSeat

        def owner_of(key: str) -> tuple[int, int, str]:
            at, share = self.node.books.share_of(key)
            return at, share.epoch, share.owner

        tries = RetryBudget(terms.retries)
        damps = self._config.file.damping
        self.node.strain = StrainSeat(
            self._config.file.clock_drift, terms.most, damps.removals if damps else 0, owner_of, self.node.picture
        )
        if (damping := self._config.file.damping) is not None:
            upstream.attempt_controller.breaker.config = replace(
                upstream.attempt_controller.breaker.config,
                consecutive_failures=damping.breaker_failures,
                base_ejection_us=LOCAL_US,
                max_ejection_us=LOCAL_US,
            )
        regions, names = None, ("",)
        if upstream.contracts is not None:
            from sagetrestle.traffic.region_selection import RegionSelector
            from sagetrestle.takeover.promised import PromiseSeat

            upstream.regions = upstream.attempt_controller.region_routing = regions = RegionSelector(upstream.contracts)
            names = regions.names
            self.node.promised = PromiseSeat(upstream.contracts, self.node.picture, owner_of)
            self.node.strain.by_region = True
        joined.overload = OverloadControl(
            AdmissionController(names, tries, state.plan.settings.max_retry_after_us),
            regions,
            lambda: upstream.out(),
            lambda: upstream.attempt_controller.queued_jobs(),
        )
        upstream.bound(
            Dispatcher(tries),
            lambda reports: self._post(FleetEventReceived(SlotsReported(reports))),
            lambda room: self._post(FleetEventReceived(CapacityMeasured(*room))),
            lambda: state.policy.waiting_count if state.policy is not None else 0,
            lambda id: (entry := state.entries.get(id)) is None or entry.unanswered,
        )

    def listen(self) -> tuple[str, int]:
        """Take the others' links, and with them the files. Raises CannotListenError and StoreError.

        Until then an older process may have both: what it wrote after this one looked counts, so that is read again.
        """
        try:
            address = self._config.listen[0], self.links.listen(self._config.listen)
        except CannotListenError:
            self._waited = True
            raise
        self._listening = True
        if self._config.records is not None:
            self._records = self._restored(self._config.records)
        if self._config.picture is not None:
            self._recall(self._config.picture)
        unwritten, self._unwritten = self._unwritten, []
        if self._waited and self._store is not None:
            self._store.close()
            self._post(FleetEventReceived(ConsensusStoreReset(self._seat())))
        else:
            for write in unwritten:
                self._persist(write)
        if self._upstream is not None and self._config.file.verdicts:
            self._look()
        return address

    def close(self) -> None:
        """End all of it."""
        if self._looking is not None and self._looking.active():
            self._looking.cancel()
        self.links.close()
        self._kernels.close()

    def _recall(self, path: Path) -> None:
        """Take up what the start before kept of the picture; one that can not be read is as none."""
        self.node.keeps_picture = True
        try:
            rows = read_gossip_rows(path)
        except StoreError as error:
            self._log(f"picture: {error}; it is begun anew")
            return
        self.node.recall(self._now(), self._unix + self._now() - self._began_us, rows)

    def _remember(self, path: Path, rows: tuple[Row, ...]) -> None:
        """Put rows into the file; what comes meanwhile is written after."""
        if self._pictured:
            self._unpictured = rows
            return
        self._pictured = True

        def over(failure: Any = None) -> None:
            self._pictured = False
            if failure is not None:
                self._log(f"picture: {failure.getErrorMessage()}")
            rows, self._unpictured = self._unpictured, None
            if rows is not None:
                self._remember(path, rows)

        self._in_thread(lambda: write_gossip_rows(path, rows)).addCallbacks(lambda _: over(), over)

    def _restored(self, path: Path) -> RecordStore:
        """Take up the records that the start before left, or begin with none where they may not be used."""
        store = RecordStore(path, self.node.me)
        try:
            self.node.restore(store.read())
        except StoreError as error:
            store.close()
            self._log(f"records: {error}; they are set aside as {set_aside(path).name}")
            store = RecordStore(path, self.node.me)
            self.node.restore({})
        return store

    def _seat(self) -> raft.RaftState:
        """Return the seat that the store leaves, or one on an empty store where it may not be used."""
        self._lives += 1
        kept, path = None, self._config.store
        if path is not None:
            try:
                self._store = RaftStore(path)
                kept = self._store.read()
            except CorruptStoreError as error:
                assert self._store is not None
                self._store.close()
                self._log(f"council: {error}; it is set aside as {set_aside(path).name}")
                self._store = RaftStore(path)
                kept = self._store.read()
        identity = kept.identity if kept is not None else f"{self._unix // 1000:x}.{self._lives}"
        id = f"{self._name}#{identity}"
        if kept is None:
            return raft.restore_state(id, self._council, self._config.raft(), self._seed, self._now())
        return raft.restore_state(id, self._council, self._config.raft(), self._seed, self._now(), *kept[1:])

    def perform(self, what: node.Decision) -> None:
        """Carry out what the member decided about the world."""
        match what:
            case link.Dial(name) if not self._listening:
                # An older process of this member has its links: to greet now would cut it off on its way out.
                self._post(FleetEventReceived(link.DialFinished(name, None)))
            case link.Dial(name):
                self.links.dial(name)
            case link.WriteFrame(connection, frame):
                self.links.write(connection, frame)
            case link.Close(connection):
                self.links.end(connection)
            case node.Persist(write) if not self._listening:
                self._unwritten.append(write)
            case node.Persist(write):
                self._persist(write)
            case node.Keep(changes) if self._records is not None:
                self._keep(self._records, changes)
            case node.Remember(rows) if self._config.picture is not None:
                self._remember(self._config.picture, rows)
            case node.Forget(why):
                self._forget(why)
            case books.Fence():
                self._kernels.ask(what)
            case node.SlotsTold(told) if self._upstream is not None:
                self._upstream.slots_told(told)
            case node.Judged(subjects):
                self._judged(subjects)
            case books.Inquire() if self._upstream is not None:
                self._upstream.inquire(
                    what,
                    lambda kind, result, fenced: self._post(
                        FleetEventReceived(
                            RunOutcomeReported(what.partition, what.epoch, what.what.id, kind, result, fenced)
                        )
                    ),
                )

    def _judged(self, subjects: tuple[Subject, ...]) -> None:
        for one in subjects:
            self._log(f"{one.kind} {one.name} is convicted by independent witnesses")
            if one.kind == "server" and self._upstream is not None and self._config.file.damping is None:
                self._upstream.convict(one.name, one.boot)

    def _look(self) -> None:
        """Tell what requests to servers came to since the last look."""
        if seen := self._upstream.seen():  # type: ignore[union-attr]
            self._post(FleetEventReceived(ServerOutcomes(seen)))
        self._looking = self._reactor.callLater(LOOK_S, self._look)

    def _persist(self, write: raft.PersistState) -> None:
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

    def _keep(self, store: RecordStore, changes: tuple[Change, ...]) -> None:
        def failed(reason: Any) -> None:
            self._log(f"records: {reason.getErrorMessage()}")
            self._post(FleetEventReceived(RecordsPersisted(False)))

        self._in_thread(lambda: store.write(changes)).addCallbacks(
            lambda _: self._post(FleetEventReceived(RecordsPersisted(True))), failed
        )

    def _forget(self, why: str) -> None:
        """Begin with an empty store: the one there is was an older copy."""
        self._log(f"council: the store is older than what was said from it: {why}")
        if self._store is not None and self._config.store is not None:
            self._store.close()
            set_aside(self._config.store)
        try:
            self._post(FleetEventReceived(ConsensusStoreReset(self._seat())))
        except StoreError as error:
            self._log(f"council: {error}")

    def _told(self, fates: Fates) -> None:
        for one in fates.fates:
            self._post(
                FleetEventReceived(
                    RunOutcomeReported(fates.partition, fates.epoch, one.run, FATES[one.how], one.result)
                )
            )


class FleetWatch:
    """A front end's view of who owns what: it listens to members, and takes no part."""

    def __init__(
        self,
        reactor: Any,
        fleet: str,
        name: str,
        addresses: dict[str, tuple[str, int]],
        on_map: Callable[[FleetMap], None],
        seed: int = 0,
    ) -> None:
        self._reactor, self._on_map, self.known = reactor, on_map, FleetMap()
        me = f"{name}@{int(time.time() * 1000)}"
        self._machine = link.Links(fleet, me, tuple(addresses), seed, self._now(), observer=True)
        self._links = PeerLinks(reactor, addresses, self._came)
        self._stopped = False

    def _now(self) -> int:
        return int(self._reactor.seconds() * 1e6)

    def start(self) -> None:
        """Begin, and go on."""
        if not self._stopped:
            self._take(self._machine.tick(self._now()))
            self._reactor.callLater(0.05, self.start)

    def stop(self) -> None:
        """End it."""
        self._stopped = True
        self._links.close()

    def _came(self, event: link.Event) -> None:
        if not self._stopped:
            self._take(self._machine.step(self._now(), event))

    def _take(self, decisions: list[link.Decision]) -> None:
        for what in decisions:
            match what:
                case link.Dial(name):
                    self._links.dial(name)
                case link.WriteFrame(connection, frame):
                    self._links.write(connection, frame)
                case link.Close(connection):
                    self._links.end(connection)
                case link.MessageReceived(_, MapTold(known)) if known.order > self.known.order:
                    self.known = known
                    self._on_map(known)


def owner_names(known: FleetMap) -> Callable[[str], str]:
    """Return what tells the name of a key's owner, for a router."""
    return lambda key: name_of(known.share_of(key)[1].owner)
