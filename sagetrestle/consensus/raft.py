"""One member of a consensus group: Raft (Ongaro 2014) as a state machine free of I/O.

It has pre-vote, check-quorum, learners, single-step membership changes and leader leases.

``step(state, now, event) -> (state, decisions)``; times are microseconds of the member's own clock. The caller carries
out decisions in order and holds back everything behind a ``PersistState`` until the write is durable, so a vote or an
acknowledgement never leaves before it is on disk. A member whose store cannot be written halts: it sends nothing more,
as if it had crashed.

A leader with a lease (``holds_lease``) may answer reads without asking its followers. The lease runs for the minimum
election timeout, less the clock drift, from the time at which the leader *sent* the round that a majority acknowledged:
no voter that acknowledged grants a vote before that.
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

MAX_ENTRIES_PER_MESSAGE = 64
SNAPSHOT_AFTER_ENTRIES = 256  # applied since the last snapshot


class Role(Enum):
    """The role of a member in its group."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "asks whether it would be elected"
    CANDIDATE = "candidate"
    LEADER = "leader"
    HALTED = "its store can not be written"


@dataclass(frozen=True)
class RaftTiming:
    """Time-outs in microseconds; ``clock_drift`` bounds how fast two clocks drift apart, as a share of elapsed time."""

    heartbeat_interval_us: int = 100_000
    min_election_timeout_us: int = 500_000
    max_election_timeout_us: int = 1_000_000
    clock_drift: float = 0.01


class Progress(NamedTuple):
    """Replication progress of one member, as its leader tracks it."""

    next_index: int
    match_index: int = 0
    acked_sent_us: int = -1 << 60  # when the latest round that the member acknowledged was sent
    last_response_us: int = -1 << 60


@dataclass(frozen=True)
class RaftState:
    """State of one member.

    ``initial_names`` are the group's members in the configuration file; they are used only until the group is formed.
    """

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
    leader_heard_us: int = 0  # last message from the leader, or the start of this member
    timer_due_us: int = 0  # election timer, or a leader's next heartbeat
    timeout_draws: int = 0
    granted_votes: frozenset[str] = frozenset()
    progress: dict[str, Progress] = field(default_factory=dict)
    round_sent_us: dict[int, int] = field(default_factory=dict)  # send time of each recent round
    round: int = 0
    leader_since_us: int = 0  # when it became the leader
    reported_positions: dict[str, tuple[int, int]] = field(default_factory=dict)  # id: the peer's term and index
    empty_store_peers: dict[str, int] = field(default_factory=dict)  # id: time of its latest report
    rollback_check_replies: frozenset[str] | None = None  # peers that replied; None: no check is pending

    @property
    def last_position(self) -> tuple[int, int]:
        """Return index and term of the last log entry, or of the snapshot where the log is empty."""
        return (self.log[-1].index, self.log[-1].term) if self.log else (self.snapshot.index, self.snapshot.term)

    @property
    def config(self) -> Config:
        """Return the configuration in force: the newest in the log, committed or not."""
        return next(
            (_decode_config(entry) for entry in reversed(self.log) if entry.kind is LogEntryKind.CONFIG),
            self.snapshot.config,
        )

    @property
    def is_voter(self) -> bool:
        """Return whether this member is a voter."""
        return self.id in self.config.voters

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at an index; None where the log does not hold it."""
        if index == self.snapshot.index:
            return self.snapshot.term
        offset = index - self.snapshot.index - 1
        return self.log[offset].term if 0 <= offset < len(self.log) else None


class Started(NamedTuple):
    """The process has started; the state already holds what the store contained."""


class Tick(NamedTuple):
    """Time has passed."""


class Received(NamedTuple):
    """A message has arrived."""

    sender: str
    message: ConsensusMessage


class WriteCompleted(NamedTuple):
    """A write is durable up to ``index``; ``succeeded`` is False where the store cannot be written."""

    index: int
    succeeded: bool = True


class Propose(NamedTuple):
    """Append a command to the log; ignored by all but the leader."""

    data: bytes


class ChangeConfig(NamedTuple):
    """Change the configuration: at most one voter at a time, and not while another change is uncommitted."""

    config: Config


class Compact(NamedTuple):
    """Replace the applied entries by a snapshot; ``data`` is the application's state at ``applied_index``."""

    data: bytes


Event = Started | Tick | Received | WriteCompleted | Propose | ChangeConfig | Compact


class Send(NamedTuple):
    """Send a message to a member."""

    to: str
    message: ConsensusMessage


class PersistState(NamedTuple):
    """Make term, vote and log durable, and the snapshot where there is one.

    Log entries after ``last_kept_index`` are replaced by ``entries``.
    """

    term: int
    voted_for: str
    last_kept_index: int
    entries: tuple[LogEntry, ...]
    snapshot: Snapshot | None
    last_index: int


class Apply(NamedTuple):
    """Apply committed entries to the application's state."""

    entries: tuple[LogEntry, ...]


class Restore(NamedTuple):
    """Replace the application's state by a snapshot's data."""

    data: bytes


class LeadershipChanged(NamedTuple):
    """The member has become the leader, or has ceased to be."""

    is_leader: bool


class StoreRolledBack(NamedTuple):
    """The store is older than what this member sent from it earlier: neither the store nor its id may be used."""

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
    """Return the state of a member from the contents of its store."""
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
    """Return whether this leader may serve reads: it has committed in its term and no other can be elected yet."""
    if state.role is not Role.LEADER or state.term_at(state.commit_index) != state.term:
        return False
    return now < _quorum_acked_us(state, now) + int(
        state.timing.min_election_timeout_us / (1 + state.timing.clock_drift)
    )


def can_change_config(state: RaftState) -> bool:
    """Return whether the leader may change the configuration.

    It may once no earlier change is uncommitted and an entry of its own term is committed.
    """
    newest_config_index = max((entry.index for entry in state.log if entry.kind is LogEntryKind.CONFIG), default=0)
    return (
        state.role is Role.LEADER
        and newest_config_index <= state.commit_index
        and state.term_at(state.commit_index) == state.term
    )


def step(state: RaftState, now: int, event: Event) -> tuple[RaftState, list[Decision]]:
    """Process an event; return the new state and the decisions to carry out, in order."""
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


# Timers and start


def _reset_timer(state: RaftState, now: int) -> RaftState:
    """Restart the election timer with a new random timeout."""
    rng = random.Random(f"{state.seed}/{state.id}/{state.timeout_draws}")
    timeout_us = rng.randint(state.timing.min_election_timeout_us, state.timing.max_election_timeout_us)
    return replace(state, timer_due_us=now + timeout_us, timeout_draws=state.timeout_draws + 1)


def _on_started(state: RaftState, now: int) -> tuple[RaftState, list[Decision]]:
    """Restore the snapshot and ask the peers for the latest position that they know of this member.

    A member votes only after that check, or after its first election timeout: its store may be an older copy.
    """
    peers = [member for member in state.config.voters if member != state.id]
    if not state.is_voter or not peers or not state.last_position[0]:
        return state, _restore_decisions(state)
    return replace(state, rollback_check_replies=frozenset()), [
        *_restore_decisions(state),
        *(Send(member, RollbackCheck()) for member in peers),
    ]


def _restore_decisions(state: RaftState) -> list[Decision]:
    return [Restore(state.snapshot.data)] if state.snapshot.index else []


def _on_tick(state: RaftState, now: int) -> tuple[RaftState, list[Decision]]:
    if now < state.timer_due_us:
        return state, []
    if state.role is Role.LEADER:
        if now > _quorum_acked_us(state, now) + state.timing.max_election_timeout_us:
            return _become_follower(state, now, state.term, "")  # check-quorum: no majority in reach
        return _broadcast(state, now)
    if not state.config.voters:
        return _try_form_group(state, now)
    if not state.is_voter:
        return _reset_timer(state, now), []
    if state.rollback_check_replies is not None:  # the peers that have not replied are not reachable
        state = replace(state, rollback_check_replies=None)
    return _start_election(state, now, pre_vote=True)


# Forming the group


def _name_of(id: str) -> str:
    return id.partition("#")[0]


def _try_form_group(state: RaftState, now: int) -> tuple[RaftState, list[Decision]]:
    """Report an empty store; the member with the lowest name forms the group once all have reported one."""
    state = replace(state, timer_due_us=now + state.timing.heartbeat_interval_us)
    if _name_of(state.id) not in state.initial_names:
        return state, []
    member_ids = {
        _name_of(member): member
        for member, reported_us in state.empty_store_peers.items()
        if now - reported_us < 5 * state.timing.heartbeat_interval_us
    }
    member_ids[_name_of(state.id)] = state.id
    if _name_of(state.id) == min(state.initial_names) and set(member_ids) == set(state.initial_names):
        return _adopt_first_config(state, now, Config(tuple(sorted(member_ids.values()))))
    return state, [Send(name, EmptyStore()) for name in state.initial_names if name != _name_of(state.id)]


def _adopt_first_config(state: RaftState, now: int, config: Config) -> tuple[RaftState, list[Decision]]:
    """Adopt the first configuration, as a snapshot at index 1; it is durable before any other write."""
    snapshot = Snapshot(1, 0, config)
    state = replace(state, snapshot=snapshot, commit_index=1, applied_index=1, durable_index=1, leader_heard_us=now)
    form_messages = [Send(member, FormGroup(config)) for member in config.voters if member != state.id]
    return _reset_timer(state, now), [PersistState(state.term, state.voted_for, 0, (), snapshot, 1), *form_messages]


# Elections


def _persist_vote(state: RaftState) -> PersistState:
    """Return the decision that makes term and vote durable."""
    index = state.last_position[0]
    return PersistState(state.term, state.voted_for, index, (), None, index)


def _start_election(state: RaftState, now: int, pre_vote: bool) -> tuple[RaftState, list[Decision]]:
    state = _reset_timer(replace(state, granted_votes=frozenset({state.id}), leader=""), now)
    if pre_vote:
        state = replace(state, role=Role.PRE_CANDIDATE)
    else:
        state = replace(state, role=Role.CANDIDATE, term=state.term + 1, voted_for=state.id)
    index, term = state.last_position
    request = RequestVote(state.term + pre_vote, index, term, pre_vote)
    writes: list[Decision] = [] if pre_vote else [_persist_vote(state)]
    sends = [Send(member, request) for member in state.config.voters if member != state.id]
    state, decisions = _count_votes(state, now)
    return state, [*writes, *sends, *decisions]


def _count_votes(state: RaftState, now: int) -> tuple[RaftState, list[Decision]]:
    if len(state.granted_votes & set(state.config.voters)) < state.config.majority:
        return state, []
    if state.role is Role.PRE_CANDIDATE:
        return _start_election(state, now, pre_vote=False)
    return _become_leader(state, now)


def _on_request_vote(state: RaftState, now: int, sender: str, request: RequestVote) -> tuple[RaftState, list[Decision]]:
    """Grant or refuse a vote; while a leader is heard no vote is granted, whatever the term."""
    lease_end_us = state.leader_heard_us + state.timing.min_election_timeout_us
    leader_is_heard = state.role is Role.LEADER or now < lease_end_us
    log_is_current = (request.last_term, request.last_index) >= (state.last_position[1], state.last_position[0])
    may_grant = (
        not leader_is_heard
        and log_is_current
        and state.is_voter
        and state.rollback_check_replies is None
        and request.term >= state.term
    )
    if request.pre_vote:
        return state, [
            Send(
                sender,
                VoteResponse(request.term if may_grant else state.term, may_grant and request.term > state.term, True),
            )
        ]
    if request.term > state.term and not leader_is_heard:
        state, decisions = _become_follower(state, now, request.term, "")
    else:
        decisions = []
    granted = may_grant and request.term == state.term and state.voted_for in ("", sender)
    if granted and state.voted_for != sender:
        state = _reset_timer(replace(state, voted_for=sender), now)
        decisions = [*decisions, _persist_vote(state)]
    return state, [*decisions, Send(sender, VoteResponse(state.term, granted, False))]


def _on_vote_response(
    state: RaftState, now: int, sender: str, response: VoteResponse
) -> tuple[RaftState, list[Decision]]:
    if response.term > state.term and not response.granted:
        return _become_follower(state, now, response.term, "")
    is_expected = (
        state.role is Role.PRE_CANDIDATE
        and response.pre_vote
        and response.term == state.term + 1
        or state.role is Role.CANDIDATE
        and not response.pre_vote
        and response.term == state.term
    )
    if not is_expected or not response.granted:
        return state, []
    return _count_votes(replace(state, granted_votes=state.granted_votes | {sender}), now)


def _become_follower(state: RaftState, now: int, term: int, leader: str) -> tuple[RaftState, list[Decision]]:
    """Become a follower in this term or a later one; a later term is durable before any message is sent in it."""
    decisions: list[Decision] = [LeadershipChanged(False)] if state.role is Role.LEADER else []
    is_later_term = term > state.term
    state = replace(
        state,
        role=Role.FOLLOWER,
        leader=leader,
        term=max(term, state.term),
        voted_for="" if is_later_term else state.voted_for,
        granted_votes=frozenset(),
        progress={},
        round_sent_us={},
    )
    if is_later_term:
        decisions.append(_persist_vote(state))
    return _reset_timer(state, now), decisions


# Leader


def _become_leader(state: RaftState, now: int) -> tuple[RaftState, list[Decision]]:
    state = replace(
        state,
        role=Role.LEADER,
        leader=state.id,
        leader_since_us=now,
        round_sent_us={},
        timer_due_us=now,
        progress={
            member: Progress(state.last_position[0] + 1) for member in state.config.members if member != state.id
        },
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
        members = [member for member in state.config.members if member != state.id]
        state = replace(state, progress={member: state.progress.get(member, Progress(index)) for member in members})
    state, messages = _broadcast(state, now)
    return state, [*messages, PersistState(state.term, state.voted_for, index - 1, (entry,), None, index)]


def _broadcast(state: RaftState, now: int) -> tuple[RaftState, list[Decision]]:
    """Start a round: send each member its missing entries, or a heartbeat."""
    round_number = state.round + 1
    recent_rounds = {
        number: sent_us
        for number, sent_us in state.round_sent_us.items()
        if now - sent_us < 2 * state.timing.max_election_timeout_us
    }
    state = replace(
        state,
        round=round_number,
        round_sent_us={**recent_rounds, round_number: now},
        timer_due_us=now + state.timing.heartbeat_interval_us,
    )
    return state, [Send(member, _replication_message(state, progress)) for member, progress in state.progress.items()]


def _replication_message(state: RaftState, progress: Progress) -> ConsensusMessage:
    prev_term = state.term_at(progress.next_index - 1)
    if prev_term is None:
        return InstallSnapshot(state.term, state.snapshot, state.round)
    offset = progress.next_index - state.snapshot.index - 1
    return AppendEntries(
        state.term,
        progress.next_index - 1,
        prev_term,
        state.log[offset : offset + MAX_ENTRIES_PER_MESSAGE],
        state.commit_index,
        state.round,
    )


def _quorum_acked_us(state: RaftState, now: int) -> int:
    """Return the send time of the latest round that a majority acknowledged, or the election where that is later."""
    acked_times_us = sorted(
        (
            now if voter == state.id else state.progress[voter].acked_sent_us
            for voter in state.config.voters
            if voter == state.id or voter in state.progress
        ),
        reverse=True,
    )
    majority = state.config.majority
    return max(
        state.leader_since_us if len(acked_times_us) >= majority else -1 << 60,
        acked_times_us[majority - 1] if len(acked_times_us) >= majority else -1 << 60,
    )


def _on_append_response(
    state: RaftState, now: int, sender: str, response: AppendEntriesResponse
) -> tuple[RaftState, list[Decision]]:
    if response.term > state.term:
        return _become_follower(state, now, response.term, "")
    progress = state.progress.get(sender)
    if state.role is not Role.LEADER or response.term < state.term or progress is None:
        return state, []
    acked_sent_us = max(progress.acked_sent_us, state.round_sent_us.get(response.round, progress.acked_sent_us))
    if response.success:
        match_index = max(progress.match_index, response.index)
        progress = Progress(max(progress.next_index, match_index + 1), match_index, acked_sent_us, now)
    else:
        progress = Progress(
            max(1, min(response.index + 1, progress.next_index - 1)), progress.match_index, acked_sent_us, now
        )
    state = replace(state, progress={**state.progress, sender: progress})
    state, decisions = _advance_commit(state, now)
    if not response.success or progress.next_index <= state.last_position[0]:
        decisions.append(Send(sender, _replication_message(state, progress)))
    return state, decisions


def _advance_commit(state: RaftState, now: int) -> tuple[RaftState, list[Decision]]:
    """Commit what a majority has made durable, if the entry is of the current term (Raft, 5.4.2)."""
    if state.role is not Role.LEADER:
        return state, []
    durable_indexes = sorted(
        (
            state.durable_index if one == state.id else state.progress[one].match_index if one in state.progress else 0
            for one in state.config.voters
        ),
        reverse=True,
    )
    index = durable_indexes[state.config.majority - 1]
    if index <= state.commit_index or state.term_at(index) != state.term:
        return state, []
    state, decisions = _apply_committed(state, index)
    if not state.is_voter and not any(
        one.kind is LogEntryKind.CONFIG and one.index > state.commit_index for one in state.log
    ):
        state, more_decisions = _become_follower(state, now, state.term, "")  # it was removed from the voters
        return state, [*decisions, *more_decisions]
    state, messages = _broadcast(state, now)
    return state, [*decisions, *messages]


def _apply_committed(state: RaftState, index: int) -> tuple[RaftState, list[Decision]]:
    index = min(index, state.last_position[0])
    if index <= state.applied_index:
        return state, []
    offset = state.applied_index - state.snapshot.index
    committed = state.log[offset : index - state.snapshot.index]
    return replace(state, commit_index=index, applied_index=index), [Apply(committed)]


def _compact(state: RaftState, data: bytes) -> tuple[RaftState, list[Decision]]:
    if state.applied_index - state.snapshot.index < SNAPSHOT_AFTER_ENTRIES:
        return state, []
    term = state.term_at(state.applied_index)
    assert term is not None
    offset = state.applied_index - state.snapshot.index
    config = next(
        (_decode_config(entry) for entry in reversed(state.log[:offset]) if entry.kind is LogEntryKind.CONFIG),
        state.snapshot.config,
    )
    snapshot, remaining_log = Snapshot(state.applied_index, term, config, data), state.log[offset:]
    state = replace(state, snapshot=snapshot, log=remaining_log)
    return state, [
        PersistState(state.term, state.voted_for, state.last_position[0], (), snapshot, state.last_position[0])
    ]


# Messages


def _on_message(state: RaftState, now: int, sender: str, message: ConsensusMessage) -> tuple[RaftState, list[Decision]]:
    match message:
        case EmptyStore():
            if state.snapshot.index == 1 and sender in state.config.voters and not state.log:
                return state, [Send(sender, FormGroup(state.config))]
            recent = {
                peer: reported_us
                for peer, reported_us in state.empty_store_peers.items()
                if now - reported_us < 5 * state.timing.heartbeat_interval_us
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
    """Record the term and index that a peer reports, so that it can detect a rolled-back store after a restart."""
    term, index = state.reported_positions.get(sender, (0, 0))
    match message:
        case VoteResponse(voted_term, True, False):
            position = (max(term, voted_term), index if voted_term <= term else 0)
        case AppendEntriesResponse(message_term, True, acked_index) if message_term >= term:
            # Entries acknowledged in an earlier term may have been truncated since.
            position = (message_term, max(index, acked_index) if message_term == term else acked_index)
        case RequestVote(message_term, _, _, False):
            position = (max(term, message_term), index if message_term <= term else 0)
        case _:
            return state
    return (
        replace(state, reported_positions={**state.reported_positions, sender: position})
        if position != (term, index)
        else state
    )


def _on_rollback_check_response(
    state: RaftState, sender: str, term: int, index: int
) -> tuple[RaftState, list[Decision]]:
    if state.rollback_check_replies is None:
        return state, []
    if term > state.term or term == state.term and index > state.last_position[0]:
        reason = (
            f"{sender} knows term {term} and index {index} of this member, "
            f"its store has term {state.term} and index {state.last_position[0]}"
        )
        return replace(state, role=Role.HALTED), [StoreRolledBack(reason)]
    replied = state.rollback_check_replies | {sender}
    all_replied = replied >= set(state.config.voters) - {state.id}
    return replace(state, rollback_check_replies=None if all_replied else replied), []


def _on_leader_message(
    state: RaftState, now: int, sender: str, message: AppendEntries | InstallSnapshot
) -> tuple[RaftState, list[Decision]]:
    if message.term < state.term:
        return state, [Send(sender, AppendEntriesResponse(state.term, False, state.last_position[0], message.round))]
    decisions_before: list[Decision] = []
    if message.term > state.term or state.role is not Role.FOLLOWER or state.leader != sender:
        state, decisions_before = _become_follower(state, now, message.term, sender)
    state = _reset_timer(replace(state, leader_heard_us=now), now)
    if isinstance(message, InstallSnapshot):
        state, decisions = _install_snapshot(state, message.snapshot)
        return state, [
            *decisions_before,
            *decisions,
            Send(sender, AppendEntriesResponse(state.term, True, message.snapshot.index, message.round)),
        ]
    if state.term_at(message.prev_index) != message.prev_term and message.prev_index > state.snapshot.index:
        hint = min(message.prev_index - 1, state.last_position[0])
        conflicting_term = state.term_at(message.prev_index)
        while hint > state.commit_index and conflicting_term is not None and state.term_at(hint) == conflicting_term:
            hint -= 1  # skip all entries of the conflicting term (Raft, 5.3)
        return state, [*decisions_before, Send(sender, AppendEntriesResponse(state.term, False, hint, message.round))]
    state, writes = _append_entries(state, message.entries)
    index = message.prev_index + len(message.entries)
    state, applied = _apply_committed(state, min(message.leader_commit, index))
    # The reply comes after the write, and writes are carried out in order: what it acknowledges is durable.
    return state, [
        *decisions_before,
        *writes,
        Send(sender, AppendEntriesResponse(state.term, True, index, message.round)),
        *applied,
    ]


def _append_entries(state: RaftState, entries: tuple[LogEntry, ...]) -> tuple[RaftState, list[Decision]]:
    """Append a leader's entries; the log is truncated at the first conflicting entry."""
    conflicting = [
        entry for entry in entries if entry.index > state.snapshot.index and state.term_at(entry.index) != entry.term
    ]
    if not conflicting:
        return state, []
    last_kept_index = conflicting[0].index - 1
    assert last_kept_index >= state.commit_index, "a committed entry must not be truncated"
    new_entries = tuple(entry for entry in entries if entry.index > last_kept_index)
    log = state.log[: last_kept_index - state.snapshot.index] + new_entries
    state = replace(state, log=log, durable_index=min(state.durable_index, last_kept_index))
    return state, [PersistState(state.term, state.voted_for, last_kept_index, new_entries, None, log[-1].index)]


def _install_snapshot(state: RaftState, snapshot: Snapshot) -> tuple[RaftState, list[Decision]]:
    if snapshot.index <= state.commit_index:
        return state, []
    remaining_log = (
        tuple(entry for entry in state.log if entry.index > snapshot.index)
        if state.term_at(snapshot.index) == snapshot.term
        else ()
    )
    state = replace(
        state,
        snapshot=snapshot,
        log=remaining_log,
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
