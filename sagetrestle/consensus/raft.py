"""The council's log: Raft (Ongaro 2014) with pre-vote, check-quorum, learners, one voter changed at a time, leases.

``step(state, now, event) -> (state, decisions)``; times are microseconds of one's own clock. Decisions are carried out
in order, and what stands behind a ``PersistState`` waits until that is durable: so no vote and no acknowledgement
leaves before it is written. A store that can not be written halts the member: it says nothing more, as if it had died.

A leader may answer for the log by itself (``holds_lease``) until the shortest election after the *sending* of what a
majority acknowledged, less the drift of clocks: no voter that acknowledged grants a vote before that.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import NamedTuple

import msgspec

from sagetrestle.consensus.messages import (
    AppendEntries,
    AppendEntriesResponse,
    Config,
    ConsensusMessage,
    EmptyStore,
    FormGroup,
    InstallSnapshot,
    LogEntry,
    LogEntryKind,
    RequestVote,
    RollbackCheck,
    RollbackCheckResponse,
    Snapshot,
    VoteResponse,
)

MAX_ENTRIES_PER_MESSAGE = 64  # in one message
SNAPSHOT_AFTER_ENTRIES = 256  # entries that were applied


class Role(Enum):
    """What a member is."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "asks whether it would be elected"
    CANDIDATE = "candidate"
    LEADER = "leader"
    HALTED = "its store can not be written"


@dataclass(frozen=True)
class RaftTiming:
    """Times in microseconds; ``clock_drift`` is how far two clocks may run apart, as a share."""

    heartbeat_interval_us: int = 100_000
    min_election_timeout_us: int = 500_000
    max_election_timeout_us: int = 1_000_000
    clock_drift: float = 0.01


class Progress(NamedTuple):
    """What a leader knows of one member."""

    next_index: int
    match_index: int = 0
    acked_sent_us: int = -1 << 60  # when the latest round that it acknowledged was sent
    last_response_us: int = -1 << 60


@dataclass(frozen=True)
class RaftState:
    """One member; ``initial_names`` are those of the council in the file, which matter until it is formed."""

    id: str
    initial_names: tuple[str, ...]
    timing: RaftTiming = field(default_factory=RaftTiming)
    seed: int = 0
    role: Role = Role.FOLLOWER
    term: int = 0
    voted_for: str = ""
    leader: str = ""
    log: tuple[LogEntry, ...] = ()
    snapshot: Snapshot = field(default_factory=Snapshot)
    commit_index: int = 0
    applied_index: int = 0
    durable_index: int = 0
    leader_heard_us: int = 0  # the leader, or one's own start
    timer_due_us: int = 0  # of an election, or of the next heartbeat
    timeout_draws: int = 0
    granted_votes: frozenset[str] = frozenset()
    progress: dict[str, Progress] = field(default_factory=dict)
    round_sent_us: dict[int, int] = field(default_factory=dict)  # when each was sent
    round: int = 0
    leader_since_us: int = 0  # since when it leads
    reported_positions: dict[str, tuple[int, int]] = field(
        default_factory=dict
    )  # what others told of themselves: term, index
    empty_store_peers: dict[str, int] = field(default_factory=dict)  # ids with an empty store, and when they said so
    rollback_check_replies: frozenset[str] | None = None  # who answered; None: nothing to be reminded of

    @property
    def last_position(self) -> tuple[int, int]:
        """Return index and term of the last entry."""
        return (self.log[-1].index, self.log[-1].term) if self.log else (self.snapshot.index, self.snapshot.term)

    @property
    def config(self) -> Config:
        """Return the voters and learners: the newest in the log counts, committed or not."""
        return next(
            (_decode_config(one) for one in reversed(self.log) if one.kind is LogEntryKind.CONFIG), self.snapshot.config
        )

    @property
    def is_voter(self) -> bool:
        """Tell whether this member has a vote."""
        return self.id in self.config.voters

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, if it is known."""
        if index == self.snapshot.index:
            return self.snapshot.term
        place = index - self.snapshot.index - 1
        return self.log[place].term if 0 <= place < len(self.log) else None


class Started(NamedTuple):
    """The program runs; what the store held is in the state already."""


class Tick(NamedTuple):
    """Time went by."""


class Received(NamedTuple):
    """A message came."""

    sender: str
    message: ConsensusMessage


class WriteCompleted(NamedTuple):
    """What was to be written is durable, up to this index; False: it can not be."""

    index: int
    succeeded: bool = True


class Propose(NamedTuple):
    """Put a command into the log; only a leader does."""

    data: bytes


class ChangeConfig(NamedTuple):
    """Change the voters and learners: one voter at a time, none while a change is under way."""

    config: Config


class Compact(NamedTuple):
    """The state machine's data at ``applied_index`` takes the place of what was applied."""

    data: bytes


Event = Started | Tick | Received | WriteCompleted | Propose | ChangeConfig | Compact


class Send(NamedTuple):
    """Send a message to a member."""

    to: str
    message: ConsensusMessage


class PersistState(NamedTuple):
    """Make durable: term and vote; the log from ``last_kept_index`` on replaced by ``entries``; any snapshot."""

    term: int
    voted_for: str
    last_kept_index: int  # entries up to this index stay
    entries: tuple[LogEntry, ...]
    snapshot: Snapshot | None
    last_index: int


class Apply(NamedTuple):
    """Entries are committed, for the state machine."""

    entries: tuple[LogEntry, ...]


class Restore(NamedTuple):
    """The state machine starts from this."""

    data: bytes


class LeadershipChanged(NamedTuple):
    """One leads from here on, or does not any more."""

    is_leader: bool


class StoreRolledBack(NamedTuple):
    """The store is older than what was said from it: it may not be used, its id neither."""

    reason: str


Decision = Send | PersistState | Apply | Restore | LeadershipChanged | StoreRolledBack


def restore_state(
    id: str,
    initial_names: tuple[str, ...],
    timing: RaftTiming,
    seed: int,
    now: int,
    term: int = 0,
    voted_for: str = "",
    log: tuple[LogEntry, ...] = (),
    snapshot: Snapshot | None = None,
) -> RaftState:
    """Return a member as its store left it."""
    snapshot = snapshot or Snapshot()
    last = log[-1].index if log else snapshot.index
    state = RaftState(
        id,
        initial_names,
        timing,
        seed,
        term=term,
        voted_for=voted_for,
        log=log,
        snapshot=snapshot,
        commit_index=snapshot.index,
        applied_index=snapshot.index,
        durable_index=last,
        leader_heard_us=now,
    )
    return _reset_timer(state, now)


def holds_lease(state: RaftState, now: int) -> bool:
    """Tell whether a leader may answer for the log: its own term is committed, and no other can be elected yet."""
    if state.role is not Role.LEADER or state.term_at(state.commit_index) != state.term:
        return False
    return now < _quorum_acked_us(state, now) + int(
        state.timing.min_election_timeout_us / (1 + state.timing.clock_drift)
    )


def can_change_config(state: RaftState) -> bool:
    """Tell whether a change of voters may begin: none is under way, and the leader's own term is committed."""
    newest = max((one.index for one in state.log if one.kind is LogEntryKind.CONFIG), default=0)
    return (
        state.role is Role.LEADER and newest <= state.commit_index and state.term_at(state.commit_index) == state.term
    )


def step(state: RaftState, now: int, event: Event) -> tuple[RaftState, list[Decision]]:
    """Take an event and return what to do, in order."""
    if state.role is Role.HALTED:
        return state, []
    match event:
        case Started():
            return _on_started(state, now)
        case Tick():
            return _on_tick(state, now)
        case Received(sender, message):
            return _on_message(state, now, sender, message)
        case WriteCompleted(_, False):
            return replace(state, role=Role.HALTED), ([LeadershipChanged(False)] if state.role is Role.LEADER else [])
        case WriteCompleted(index):
            return _advance_commit(
                replace(state, durable_index=max(state.durable_index, min(index, state.last_position[0]))), now
            )
        case Propose(data):
            return _propose(state, now, LogEntryKind.COMMAND, data)
        case ChangeConfig(config):
            old = set(state.config.voters)
            if not can_change_config(state) or len(old ^ set(config.voters)) > 1 or not config.voters:
                return state, []
            return _propose(state, now, LogEntryKind.CONFIG, msgspec.msgpack.encode(config))
        case Compact(data):
            return _compact(state, data)


# Time


def _reset_timer(state: RaftState, now: int) -> RaftState:
    """Draw when an election is due."""
    rng = random.Random(f"{state.seed}/{state.id}/{state.timeout_draws}")
    span = rng.randint(state.timing.min_election_timeout_us, state.timing.max_election_timeout_us)
    return replace(state, timer_due_us=now + span, timeout_draws=state.timeout_draws + 1)


def _on_started(state: RaftState, now: int) -> tuple[RaftState, list[Decision]]:
    """Ask the others what was told them from this store, before anything is told again."""
    others = [one for one in state.config.voters if one != state.id]
    if not state.is_voter or not others or not state.last_position[0]:
        return state, _restore_decisions(state)
    return replace(state, rollback_check_replies=frozenset()), [
        *_restore_decisions(state),
        *(Send(one, RollbackCheck()) for one in others),
    ]


def _restore_decisions(state: RaftState) -> list[Decision]:
    return [Restore(state.snapshot.data)] if state.snapshot.index else []


def _on_tick(state: RaftState, now: int) -> tuple[RaftState, list[Decision]]:
    if now < state.timer_due_us:
        return state, []
    if state.role is Role.LEADER:
        if now > _quorum_acked_us(state, now) + state.timing.max_election_timeout_us:
            return _become_follower(state, now, state.term, "")  # a majority is out of reach: it can not lead
        return _broadcast(state, now)
    if not state.config.voters:
        return _try_form_group(state, now)
    if not state.is_voter:
        return _reset_timer(state, now), []
    if state.rollback_check_replies is not None:  # whoever could have reminded it is not there
        state = replace(state, rollback_check_replies=None)
    return _start_election(state, now, pre_vote=True)


# Forming


def _name_of(id: str) -> str:
    return id.partition("#")[0]


def _try_form_group(state: RaftState, now: int) -> tuple[RaftState, list[Decision]]:
    """Say that one's store is empty; the first by name forms the council once all say so."""
    state = replace(state, timer_due_us=now + state.timing.heartbeat_interval_us)
    if _name_of(state.id) not in state.initial_names:
        return state, []
    heard = {
        _name_of(one): one
        for one, at in state.empty_store_peers.items()
        if now - at < 5 * state.timing.heartbeat_interval_us
    }
    heard[_name_of(state.id)] = state.id
    if _name_of(state.id) == min(state.initial_names) and set(heard) == set(state.initial_names):
        return _adopt_first_config(state, now, Config(tuple(sorted(heard.values()))))
    return state, [Send(name, EmptyStore()) for name in state.initial_names if name != _name_of(state.id)]


def _adopt_first_config(state: RaftState, now: int, config: Config) -> tuple[RaftState, list[Decision]]:
    """Take the first voters; they are durable before anything else is."""
    snapshot = Snapshot(1, 0, config)
    state = replace(state, snapshot=snapshot, commit_index=1, applied_index=1, durable_index=1, leader_heard_us=now)
    told = [Send(one, FormGroup(config)) for one in config.voters if one != state.id]
    return _reset_timer(state, now), [PersistState(state.term, state.voted_for, 0, (), snapshot, 1), *told]


# Elections


def _persist_vote(state: RaftState) -> PersistState:
    """Have term and vote written."""
    index = state.last_position[0]
    return PersistState(state.term, state.voted_for, index, (), None, index)


def _start_election(state: RaftState, now: int, pre_vote: bool) -> tuple[RaftState, list[Decision]]:
    state = _reset_timer(replace(state, granted_votes=frozenset({state.id}), leader=""), now)
    if pre_vote:
        state = replace(state, role=Role.PRE_CANDIDATE)
    else:
        state = replace(state, role=Role.CANDIDATE, term=state.term + 1, voted_for=state.id)
    index, term = state.last_position
    asked = RequestVote(state.term + pre_vote, index, term, pre_vote)
    writes: list[Decision] = [] if pre_vote else [_persist_vote(state)]
    sends = [Send(one, asked) for one in state.config.voters if one != state.id]
    state, more = _count_votes(state, now)
    return state, [*writes, *sends, *more]


def _count_votes(state: RaftState, now: int) -> tuple[RaftState, list[Decision]]:
    if len(state.granted_votes & set(state.config.voters)) < state.config.majority:
        return state, []
    if state.role is Role.PRE_CANDIDATE:
        return _start_election(state, now, pre_vote=False)
    return _become_leader(state, now)


def _on_request_vote(state: RaftState, now: int, sender: str, vote: RequestVote) -> tuple[RaftState, list[Decision]]:
    """Give a vote or not; while a leader is heard nobody gets one, whatever the term."""
    least = state.leader_heard_us + state.timing.min_election_timeout_us
    sticky = state.role is Role.LEADER or now < least
    newer = (vote.last_term, vote.last_index) >= (state.last_position[1], state.last_position[0])
    may = not sticky and newer and state.is_voter and state.rollback_check_replies is None and vote.term >= state.term
    if vote.pre_vote:
        return state, [
            Send(sender, VoteResponse(vote.term if may else state.term, may and vote.term > state.term, True))
        ]
    if vote.term > state.term and not sticky:
        state, before = _become_follower(state, now, vote.term, "")
    else:
        before = []
    granted = may and vote.term == state.term and state.voted_for in ("", sender)
    if granted and state.voted_for != sender:
        state = _reset_timer(replace(state, voted_for=sender), now)
        before = [*before, _persist_vote(state)]
    return state, [*before, Send(sender, VoteResponse(state.term, granted, False))]


def _on_vote_response(state: RaftState, now: int, sender: str, voted: VoteResponse) -> tuple[RaftState, list[Decision]]:
    if voted.term > state.term and not voted.granted:
        return _become_follower(state, now, voted.term, "")
    right = (
        state.role is Role.PRE_CANDIDATE
        and voted.pre_vote
        and voted.term == state.term + 1
        or state.role is Role.CANDIDATE
        and not voted.pre_vote
        and voted.term == state.term
    )
    if not right or not voted.granted:
        return state, []
    return _count_votes(replace(state, granted_votes=state.granted_votes | {sender}), now)


def _become_follower(state: RaftState, now: int, term: int, leader: str) -> tuple[RaftState, list[Decision]]:
    """Follow, in this term or a later one; a later term is durable before anything is said in it."""
    decisions: list[Decision] = [LeadershipChanged(False)] if state.role is Role.LEADER else []
    later = term > state.term
    state = replace(
        state,
        role=Role.FOLLOWER,
        leader=leader,
        term=max(term, state.term),
        voted_for="" if later else state.voted_for,
        granted_votes=frozenset(),
        progress={},
        round_sent_us={},
    )
    if later:
        decisions.append(_persist_vote(state))
    return _reset_timer(state, now), decisions


# Leading


def _become_leader(state: RaftState, now: int) -> tuple[RaftState, list[Decision]]:
    state = replace(
        state,
        role=Role.LEADER,
        leader=state.id,
        leader_since_us=now,
        round_sent_us={},
        timer_due_us=now,
        progress={one: Progress(state.last_position[0] + 1) for one in state.config.members if one != state.id},
    )
    state, decisions = _propose(state, now, LogEntryKind.NOOP, b"")
    return state, [LeadershipChanged(True), *decisions]


def _propose(state: RaftState, now: int, kind: LogEntryKind, data: bytes) -> tuple[RaftState, list[Decision]]:
    if state.role is not Role.LEADER:
        return state, []
    index = state.last_position[0] + 1
    entry = LogEntry(index, state.term, kind, data)
    state = replace(state, log=(*state.log, entry))
    if kind is LogEntryKind.CONFIG:
        members = [one for one in state.config.members if one != state.id]
        state = replace(state, progress={one: state.progress.get(one, Progress(index)) for one in members})
    state, beats = _broadcast(state, now)
    return state, [*beats, PersistState(state.term, state.voted_for, index - 1, (entry,), None, index)]


def _broadcast(state: RaftState, now: int) -> tuple[RaftState, list[Decision]]:
    """Send each member what it has not, or that there is nothing."""
    count = state.round + 1
    rounds = {one: at for one, at in state.round_sent_us.items() if now - at < 2 * state.timing.max_election_timeout_us}
    state = replace(
        state, round=count, round_sent_us={**rounds, count: now}, timer_due_us=now + state.timing.heartbeat_interval_us
    )
    return state, [Send(one, _replication_message(state, known)) for one, known in state.progress.items()]


def _replication_message(state: RaftState, known: Progress) -> ConsensusMessage:
    before = state.term_at(known.next_index - 1)
    if before is None:
        return InstallSnapshot(state.term, state.snapshot, state.round)
    first = known.next_index - state.snapshot.index - 1
    return AppendEntries(
        state.term,
        known.next_index - 1,
        before,
        state.log[first : first + MAX_ENTRIES_PER_MESSAGE],
        state.commit_index,
        state.round,
    )


def _quorum_acked_us(state: RaftState, now: int) -> int:
    """Return the latest time at which was sent what a majority acknowledged; a leader that just began counts."""
    times = sorted(
        (
            now if one == state.id else state.progress[one].acked_sent_us
            for one in state.config.voters
            if one == state.id or one in state.progress
        ),
        reverse=True,
    )
    need = state.config.majority
    return max(
        state.leader_since_us if len(times) >= need else -1 << 60, times[need - 1] if len(times) >= need else -1 << 60
    )


def _on_append_response(
    state: RaftState, now: int, sender: str, answer: AppendEntriesResponse
) -> tuple[RaftState, list[Decision]]:
    if answer.term > state.term:
        return _become_follower(state, now, answer.term, "")
    known = state.progress.get(sender)
    if state.role is not Role.LEADER or answer.term < state.term or known is None:
        return state, []
    acked = max(known.acked_sent_us, state.round_sent_us.get(answer.round, known.acked_sent_us))
    if answer.success:
        match = max(known.match_index, answer.index)
        known = Progress(max(known.next_index, match + 1), match, acked, now)
    else:
        known = Progress(max(1, min(answer.index + 1, known.next_index - 1)), known.match_index, acked, now)
    state = replace(state, progress={**state.progress, sender: known})
    state, decisions = _advance_commit(state, now)
    if not answer.success or known.next_index <= state.last_position[0]:
        decisions.append(Send(sender, _replication_message(state, known)))
    return state, decisions


def _advance_commit(state: RaftState, now: int) -> tuple[RaftState, list[Decision]]:
    """Commit what a majority holds durably, if it is of one's own term (Raft, 5.4.2)."""
    if state.role is not Role.LEADER:
        return state, []
    held = sorted(
        (
            state.durable_index if one == state.id else state.progress[one].match_index if one in state.progress else 0
            for one in state.config.voters
        ),
        reverse=True,
    )
    index = held[state.config.majority - 1]
    if index <= state.commit_index or state.term_at(index) != state.term:
        return state, []
    state, decisions = _apply_committed(state, index)
    if not state.is_voter and not any(
        one.kind is LogEntryKind.CONFIG and one.index > state.commit_index for one in state.log
    ):
        state, more = _become_follower(state, now, state.term, "")  # it voted itself out
        return state, [*decisions, *more]
    state, beats = _broadcast(state, now)
    return state, [*decisions, *beats]


def _apply_committed(state: RaftState, index: int) -> tuple[RaftState, list[Decision]]:
    index = min(index, state.last_position[0])
    if index <= state.applied_index:
        return state, []
    first = state.applied_index - state.snapshot.index
    ready = state.log[first : index - state.snapshot.index]
    return replace(state, commit_index=index, applied_index=index), [Apply(ready)]


def _compact(state: RaftState, data: bytes) -> tuple[RaftState, list[Decision]]:
    if state.applied_index - state.snapshot.index < SNAPSHOT_AFTER_ENTRIES:
        return state, []
    term = state.term_at(state.applied_index)
    assert term is not None
    cut = state.applied_index - state.snapshot.index
    config = next(
        (_decode_config(one) for one in reversed(state.log[:cut]) if one.kind is LogEntryKind.CONFIG),
        state.snapshot.config,
    )
    snapshot, rest = Snapshot(state.applied_index, term, config, data), state.log[cut:]
    state = replace(state, snapshot=snapshot, log=rest)
    return state, [
        PersistState(state.term, state.voted_for, state.last_position[0], (), snapshot, state.last_position[0])
    ]


# What comes


def _on_message(state: RaftState, now: int, sender: str, message: ConsensusMessage) -> tuple[RaftState, list[Decision]]:
    match message:
        case EmptyStore():
            if state.snapshot.index == 1 and sender in state.config.voters and not state.log:
                return state, [Send(sender, FormGroup(state.config))]
            recent = {
                one: at
                for one, at in state.empty_store_peers.items()
                if now - at < 5 * state.timing.heartbeat_interval_us
            }
            return replace(state, empty_store_peers={**recent, sender: now}), []
        case FormGroup(config):
            if state.config.voters or state.id not in config.voters or state.last_position[0]:
                return state, []
            return _adopt_first_config(state, now, config)
        case RollbackCheck():
            return state, [Send(sender, RollbackCheckResponse(*state.reported_positions.get(sender, (0, 0))))]
        case RollbackCheckResponse(term, index):
            return _on_rollback_check_response(state, sender, term, index)
    state = _record_position(state, sender, message)
    match message:
        case RequestVote():
            return _on_request_vote(state, now, sender, message)
        case VoteResponse():
            return _on_vote_response(state, now, sender, message)
        case AppendEntriesResponse():
            return _on_append_response(state, now, sender, message)
        case AppendEntries() | InstallSnapshot():
            return _on_leader_message(state, now, sender, message)
    return state, []


def _record_position(state: RaftState, sender: str, message: ConsensusMessage) -> RaftState:
    """Remember what a member told of itself, so as to remind it after its start."""
    term, index = state.reported_positions.get(sender, (0, 0))
    match message:
        case VoteResponse(voted, True, False):
            told = (max(term, voted), index if voted <= term else 0)
        case AppendEntriesResponse(of, True, upto) if of >= term:
            told = (of, max(index, upto) if of == term else upto)  # an earlier term's may have been cut off since
        case RequestVote(of, _, _, False):
            told = (max(term, of), index if of <= term else 0)
        case _:
            return state
    return (
        replace(state, reported_positions={**state.reported_positions, sender: told})
        if told != (term, index)
        else state
    )


def _on_rollback_check_response(
    state: RaftState, sender: str, term: int, index: int
) -> tuple[RaftState, list[Decision]]:
    if state.rollback_check_replies is None:
        return state, []
    if term > state.term or term == state.term and index > state.last_position[0]:
        why = (
            f"{sender} was told of term {term} and index {index}, "
            f"the store has {state.term} and {state.last_position[0]}"
        )
        return replace(state, role=Role.HALTED), [StoreRolledBack(why)]
    answered = state.rollback_check_replies | {sender}
    all_did = answered >= set(state.config.voters) - {state.id}
    return replace(state, rollback_check_replies=None if all_did else answered), []


def _on_leader_message(
    state: RaftState, now: int, sender: str, message: AppendEntries | InstallSnapshot
) -> tuple[RaftState, list[Decision]]:
    if message.term < state.term:
        return state, [Send(sender, AppendEntriesResponse(state.term, False, state.last_position[0], message.round))]
    before: list[Decision] = []
    if message.term > state.term or state.role is not Role.FOLLOWER or state.leader != sender:
        state, before = _become_follower(state, now, message.term, sender)
    state = _reset_timer(replace(state, leader_heard_us=now), now)
    if isinstance(message, InstallSnapshot):
        state, decisions = _install_snapshot(state, message.snapshot)
        return state, [
            *before,
            *decisions,
            Send(sender, AppendEntriesResponse(state.term, True, message.snapshot.index, message.round)),
        ]
    if state.term_at(message.prev_index) != message.prev_term and message.prev_index > state.snapshot.index:
        hint = min(message.prev_index - 1, state.last_position[0])
        other = state.term_at(message.prev_index)
        while hint > state.commit_index and other is not None and state.term_at(hint) == other:
            hint -= 1  # skip what another term left (Raft, 5.3)
        return state, [*before, Send(sender, AppendEntriesResponse(state.term, False, hint, message.round))]
    state, writes = _append_entries(state, message.entries)
    index = message.prev_index + len(message.entries)
    state, applied = _apply_committed(state, min(message.leader_commit, index))
    # What is acknowledged is durable by then: the answer stands behind the write, and writes are in order.
    return state, [
        *before,
        *writes,
        Send(sender, AppendEntriesResponse(state.term, True, index, message.round)),
        *applied,
    ]


def _append_entries(state: RaftState, entries: tuple[LogEntry, ...]) -> tuple[RaftState, list[Decision]]:
    """Take a leader's entries; what differs is cut off with all behind it."""
    new = [one for one in entries if one.index > state.snapshot.index and state.term_at(one.index) != one.term]
    if not new:
        return state, []
    keep = new[0].index - 1
    assert keep >= state.commit_index, "an entry that was committed is never cut off"
    fresh = tuple(one for one in entries if one.index > keep)
    log = state.log[: keep - state.snapshot.index] + fresh
    state = replace(state, log=log, durable_index=min(state.durable_index, keep))
    return state, [PersistState(state.term, state.voted_for, keep, fresh, None, log[-1].index)]


def _install_snapshot(state: RaftState, snapshot: Snapshot) -> tuple[RaftState, list[Decision]]:
    if snapshot.index <= state.commit_index:
        return state, []
    rest = (
        tuple(one for one in state.log if one.index > snapshot.index)
        if state.term_at(snapshot.index) == snapshot.term
        else ()
    )
    state = replace(
        state,
        snapshot=snapshot,
        log=rest,
        commit_index=snapshot.index,
        applied_index=snapshot.index,
        durable_index=snapshot.index,
    )
    return state, [
        PersistState(state.term, state.voted_for, state.last_position[0], (), snapshot, state.last_position[0]),
        Restore(snapshot.data),
    ]


def _decode_config(entry: LogEntry) -> Config:
    return msgspec.msgpack.decode(entry.data, type=Config)
