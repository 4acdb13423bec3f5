"""The council's log: Raft (Ongaro 2014) with pre-vote, check-quorum, learners, one voter changed at a time, leases.

``step(state, now, event) -> (state, decisions)``; times are microseconds of one's own clock. Decisions are carried out
in order, and what stands behind a ``Write`` waits until that is durable: so no vote and no acknowledgement leaves
before it is written. A store that can not be written halts the member: it says nothing more, as if it had died.

A leader may answer for the log by itself (``serving``) until the shortest election after the *sending* of what a
majority acknowledged, less the drift of clocks: no voter that acknowledged grants a vote before that.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import NamedTuple

import msgspec

from sagetrestle.consensus.messages import (
    Append,
    Appended,
    Config,
    CouncilMessage,
    Form,
    Fresh,
    Install,
    Kind,
    LogEntry,
    Remind,
    Reminded,
    Snapshot,
    Vote,
    Voted,
)

MOST_ENTRIES = 64  # in one message
SNAPSHOT_AFTER = 256  # entries that were applied


class Role(Enum):
    """What a member is."""

    FOLLOWER = "follower"
    PREVOTING = "asks whether it would be elected"
    CANDIDATE = "candidate"
    LEADER = "leader"
    HALTED = "its store can not be written"


@dataclass(frozen=True)
class Terms:
    """Times in microseconds; ``drift`` is how far two clocks may run apart, as a share."""

    heartbeat_us: int = 100_000
    election_least_us: int = 500_000
    election_most_us: int = 1_000_000
    drift: float = 0.01


class Progress(NamedTuple):
    """What a leader knows of one member."""

    next: int
    match: int = 0
    acked_us: int = -1 << 60  # when the latest round that it acknowledged was sent
    heard_us: int = -1 << 60


@dataclass(frozen=True)
class Raft:
    """One member; ``names`` are those of the council in the file, which matter until it is formed."""

    id: str
    names: tuple[str, ...]
    terms: Terms = field(default_factory=Terms)
    seed: int = 0
    role: Role = Role.FOLLOWER
    term: int = 0
    vote: str = ""
    leader: str = ""
    log: tuple[LogEntry, ...] = ()
    snapshot: Snapshot = field(default_factory=Snapshot)
    commit: int = 0
    applied: int = 0
    durable: int = 0
    heard_us: int = 0  # the leader, or one's own start
    due_us: int = 0  # of an election, or of the next heartbeat
    draws: int = 0
    votes: frozenset[str] = frozenset()
    progress: dict[str, Progress] = field(default_factory=dict)
    rounds: dict[int, int] = field(default_factory=dict)  # when each was sent
    round: int = 0
    led_us: int = 0  # since when it leads
    told: dict[str, tuple[int, int]] = field(default_factory=dict)  # what others told of themselves: term, index
    fresh: dict[str, int] = field(default_factory=dict)  # ids with an empty store, and when they said so
    reminded: frozenset[str] | None = None  # who answered; None: nothing to be reminded of

    @property
    def last(self) -> tuple[int, int]:
        """Return index and term of the last entry."""
        return (self.log[-1].index, self.log[-1].term) if self.log else (self.snapshot.index, self.snapshot.term)

    @property
    def config(self) -> Config:
        """Return the voters and learners: the newest in the log counts, committed or not."""
        return next((_config(one) for one in reversed(self.log) if one.kind is Kind.CONFIG), self.snapshot.config)

    @property
    def votes_here(self) -> bool:
        """Tell whether this member has a vote."""
        return self.id in self.config.voters

    def at(self, index: int) -> int | None:
        """Return the term of an entry, if it is known."""
        if index == self.snapshot.index:
            return self.snapshot.term
        place = index - self.snapshot.index - 1
        return self.log[place].term if 0 <= place < len(self.log) else None


class Started(NamedTuple):
    """The program runs; what the store held is in the state already."""


class Passed(NamedTuple):
    """Time went by."""


class Received(NamedTuple):
    """A message came."""

    sender: str
    message: CouncilMessage


class Written(NamedTuple):
    """What was to be written is durable, up to this index; False: it can not be."""

    index: int
    done: bool = True


class Propose(NamedTuple):
    """Put a command into the log; only a leader does."""

    data: bytes


class Change(NamedTuple):
    """Change the voters and learners: one voter at a time, none while a change is under way."""

    config: Config


class Compact(NamedTuple):
    """The state machine's data at ``applied`` takes the place of what was applied."""

    data: bytes


Event = Started | Passed | Received | Written | Propose | Change | Compact


class Send(NamedTuple):
    """Send a message to a member."""

    to: str
    message: CouncilMessage


class Write(NamedTuple):
    """Make durable: term and vote; the log from ``keep`` on replaced by ``entries``; a snapshot where there is one."""

    term: int
    vote: str
    keep: int  # entries up to this index stay
    entries: tuple[LogEntry, ...]
    snapshot: Snapshot | None
    last: int


class Apply(NamedTuple):
    """Entries are committed, for the state machine."""

    entries: tuple[LogEntry, ...]


class Restore(NamedTuple):
    """The state machine starts from this."""

    data: bytes


class Lead(NamedTuple):
    """One leads from here on, or does not any more."""

    leads: bool


class Forgot(NamedTuple):
    """The store is older than what was said from it: it may not be used, its id neither."""

    why: str


Decision = Send | Write | Apply | Restore | Lead | Forgot


def begin(
    id: str,
    names: tuple[str, ...],
    terms: Terms,
    seed: int,
    now: int,
    term: int = 0,
    vote: str = "",
    log: tuple[LogEntry, ...] = (),
    snapshot: Snapshot | None = None,
) -> Raft:
    """Return a member as its store left it."""
    snapshot = snapshot or Snapshot()
    last = log[-1].index if log else snapshot.index
    state = Raft(
        id,
        names,
        terms,
        seed,
        term=term,
        vote=vote,
        log=log,
        snapshot=snapshot,
        commit=snapshot.index,
        applied=snapshot.index,
        durable=last,
        heard_us=now,
    )
    return _wait(state, now)


def serving(state: Raft, now: int) -> bool:
    """Tell whether a leader may answer for the log: its own term is committed, and no other can be elected yet."""
    if state.role is not Role.LEADER or state.at(state.commit) != state.term:
        return False
    return now < _quorum_us(state, now) + int(state.terms.election_least_us / (1 + state.terms.drift))


def can_change(state: Raft) -> bool:
    """Tell whether a change of voters may begin: none is under way, and the leader's own term is committed."""
    newest = max((one.index for one in state.log if one.kind is Kind.CONFIG), default=0)
    return state.role is Role.LEADER and newest <= state.commit and state.at(state.commit) == state.term


def step(state: Raft, now: int, event: Event) -> tuple[Raft, list[Decision]]:
    """Take an event and return what to do, in order."""
    if state.role is Role.HALTED:
        return state, []
    match event:
        case Started():
            return _started(state, now)
        case Passed():
            return _passed(state, now)
        case Received(sender, message):
            return _received(state, now, sender, message)
        case Written(_, False):
            return replace(state, role=Role.HALTED), ([Lead(False)] if state.role is Role.LEADER else [])
        case Written(index):
            return _advance(replace(state, durable=max(state.durable, min(index, state.last[0]))), now)
        case Propose(data):
            return _propose(state, now, Kind.COMMAND, data)
        case Change(config):
            old = set(state.config.voters)
            if not can_change(state) or len(old ^ set(config.voters)) > 1 or not config.voters:
                return state, []
            return _propose(state, now, Kind.CONFIG, msgspec.msgpack.encode(config))
        case Compact(data):
            return _compact(state, data)


# Time


def _wait(state: Raft, now: int) -> Raft:
    """Draw when an election is due."""
    rng = random.Random(f"{state.seed}/{state.id}/{state.draws}")
    span = rng.randint(state.terms.election_least_us, state.terms.election_most_us)
    return replace(state, due_us=now + span, draws=state.draws + 1)


def _started(state: Raft, now: int) -> tuple[Raft, list[Decision]]:
    """Ask the others what was told them from this store, before anything is told again."""
    others = [one for one in state.config.voters if one != state.id]
    if not state.votes_here or not others or not state.last[0]:
        return state, _restored(state)
    return replace(state, reminded=frozenset()), [*_restored(state), *(Send(one, Remind()) for one in others)]


def _restored(state: Raft) -> list[Decision]:
    return [Restore(state.snapshot.data)] if state.snapshot.index else []


def _passed(state: Raft, now: int) -> tuple[Raft, list[Decision]]:
    if now < state.due_us:
        return state, []
    if state.role is Role.LEADER:
        if now > _quorum_us(state, now) + state.terms.election_most_us:
            return _follow(state, now, state.term, "")  # a majority is out of reach: it can not lead
        return _beat(state, now)
    if not state.config.voters:
        return _forming(state, now)
    if not state.votes_here:
        return _wait(state, now), []
    if state.reminded is not None:  # whoever could have reminded it is not there
        state = replace(state, reminded=None)
    return _campaign(state, now, pre=True)


# Forming


def _name(id: str) -> str:
    return id.partition("#")[0]


def _forming(state: Raft, now: int) -> tuple[Raft, list[Decision]]:
    """Say that one's store is empty; the first by name forms the council once all say so."""
    state = replace(state, due_us=now + state.terms.heartbeat_us)
    if _name(state.id) not in state.names:
        return state, []
    heard = {_name(one): one for one, at in state.fresh.items() if now - at < 5 * state.terms.heartbeat_us}
    heard[_name(state.id)] = state.id
    if _name(state.id) == min(state.names) and set(heard) == set(state.names):
        return _formed(state, now, Config(tuple(sorted(heard.values()))))
    return state, [Send(name, Fresh()) for name in state.names if name != _name(state.id)]


def _formed(state: Raft, now: int, config: Config) -> tuple[Raft, list[Decision]]:
    """Take the first voters; they are durable before anything else is."""
    snapshot = Snapshot(1, 0, config)
    state = replace(state, snapshot=snapshot, commit=1, applied=1, durable=1, heard_us=now)
    told = [Send(one, Form(config)) for one in config.voters if one != state.id]
    return _wait(state, now), [Write(state.term, state.vote, 0, (), snapshot, 1), *told]


# Elections


def _stamp(state: Raft) -> Write:
    """Have term and vote written."""
    index = state.last[0]
    return Write(state.term, state.vote, index, (), None, index)


def _campaign(state: Raft, now: int, pre: bool) -> tuple[Raft, list[Decision]]:
    state = _wait(replace(state, votes=frozenset({state.id}), leader=""), now)
    if pre:
        state = replace(state, role=Role.PREVOTING)
    else:
        state = replace(state, role=Role.CANDIDATE, term=state.term + 1, vote=state.id)
    index, term = state.last
    asked = Vote(state.term + pre, index, term, pre)
    writes: list[Decision] = [] if pre else [_stamp(state)]
    sends = [Send(one, asked) for one in state.config.voters if one != state.id]
    state, more = _count(state, now)
    return state, [*writes, *sends, *more]


def _count(state: Raft, now: int) -> tuple[Raft, list[Decision]]:
    if len(state.votes & set(state.config.voters)) < state.config.majority:
        return state, []
    if state.role is Role.PREVOTING:
        return _campaign(state, now, pre=False)
    return _lead(state, now)


def _asked(state: Raft, now: int, sender: str, vote: Vote) -> tuple[Raft, list[Decision]]:
    """Give a vote or not; while a leader is heard nobody gets one, whatever the term."""
    least = state.heard_us + state.terms.election_least_us
    sticky = state.role is Role.LEADER or now < least
    newer = (vote.last_term, vote.last_index) >= (state.last[1], state.last[0])
    may = not sticky and newer and state.votes_here and state.reminded is None and vote.term >= state.term
    if vote.pre:
        return state, [Send(sender, Voted(vote.term if may else state.term, may and vote.term > state.term, True))]
    if vote.term > state.term and not sticky:
        state, before = _follow(state, now, vote.term, "")
    else:
        before = []
    granted = may and vote.term == state.term and state.vote in ("", sender)
    if granted and state.vote != sender:
        state = _wait(replace(state, vote=sender), now)
        before = [*before, _stamp(state)]
    return state, [*before, Send(sender, Voted(state.term, granted, False))]


def _voted(state: Raft, now: int, sender: str, voted: Voted) -> tuple[Raft, list[Decision]]:
    if voted.term > state.term and not voted.granted:
        return _follow(state, now, voted.term, "")
    right = (
        state.role is Role.PREVOTING
        and voted.pre
        and voted.term == state.term + 1
        or state.role is Role.CANDIDATE
        and not voted.pre
        and voted.term == state.term
    )
    if not right or not voted.granted:
        return state, []
    return _count(replace(state, votes=state.votes | {sender}), now)


def _follow(state: Raft, now: int, term: int, leader: str) -> tuple[Raft, list[Decision]]:
    """Follow, in this term or a later one; a later term is durable before anything is said in it."""
    decisions: list[Decision] = [Lead(False)] if state.role is Role.LEADER else []
    later = term > state.term
    state = replace(
        state,
        role=Role.FOLLOWER,
        leader=leader,
        term=max(term, state.term),
        vote="" if later else state.vote,
        votes=frozenset(),
        progress={},
        rounds={},
    )
    if later:
        decisions.append(_stamp(state))
    return _wait(state, now), decisions


# Leading


def _lead(state: Raft, now: int) -> tuple[Raft, list[Decision]]:
    state = replace(
        state,
        role=Role.LEADER,
        leader=state.id,
        led_us=now,
        rounds={},
        due_us=now,
        progress={one: Progress(state.last[0] + 1) for one in state.config.members if one != state.id},
    )
    state, decisions = _propose(state, now, Kind.NOTHING, b"")
    return state, [Lead(True), *decisions]


def _propose(state: Raft, now: int, kind: Kind, data: bytes) -> tuple[Raft, list[Decision]]:
    if state.role is not Role.LEADER:
        return state, []
    index = state.last[0] + 1
    entry = LogEntry(index, state.term, kind, data)
    state = replace(state, log=(*state.log, entry))
    if kind is Kind.CONFIG:
        members = [one for one in state.config.members if one != state.id]
        state = replace(state, progress={one: state.progress.get(one, Progress(index)) for one in members})
    state, beats = _beat(state, now)
    return state, [*beats, Write(state.term, state.vote, index - 1, (entry,), None, index)]


def _beat(state: Raft, now: int) -> tuple[Raft, list[Decision]]:
    """Send each member what it has not, or that there is nothing."""
    count = state.round + 1
    rounds = {one: at for one, at in state.rounds.items() if now - at < 2 * state.terms.election_most_us}
    state = replace(state, round=count, rounds={**rounds, count: now}, due_us=now + state.terms.heartbeat_us)
    return state, [Send(one, _for(state, known)) for one, known in state.progress.items()]


def _for(state: Raft, known: Progress) -> CouncilMessage:
    before = state.at(known.next - 1)
    if before is None:
        return Install(state.term, state.snapshot, state.round)
    first = known.next - state.snapshot.index - 1
    return Append(
        state.term, known.next - 1, before, state.log[first : first + MOST_ENTRIES], state.commit, state.round
    )


def _quorum_us(state: Raft, now: int) -> int:
    """Return the latest time at which was sent what a majority acknowledged; a leader that just began counts."""
    times = sorted(
        (
            now if one == state.id else state.progress[one].acked_us
            for one in state.config.voters
            if one == state.id or one in state.progress
        ),
        reverse=True,
    )
    need = state.config.majority
    return max(state.led_us if len(times) >= need else -1 << 60, times[need - 1] if len(times) >= need else -1 << 60)


def _appended(state: Raft, now: int, sender: str, answer: Appended) -> tuple[Raft, list[Decision]]:
    if answer.term > state.term:
        return _follow(state, now, answer.term, "")
    known = state.progress.get(sender)
    if state.role is not Role.LEADER or answer.term < state.term or known is None:
        return state, []
    acked = max(known.acked_us, state.rounds.get(answer.round, known.acked_us))
    if answer.ok:
        match = max(known.match, answer.index)
        known = Progress(max(known.next, match + 1), match, acked, now)
    else:
        known = Progress(max(1, min(answer.index + 1, known.next - 1)), known.match, acked, now)
    state = replace(state, progress={**state.progress, sender: known})
    state, decisions = _advance(state, now)
    if not answer.ok or known.next <= state.last[0]:
        decisions.append(Send(sender, _for(state, known)))
    return state, decisions


def _advance(state: Raft, now: int) -> tuple[Raft, list[Decision]]:
    """Commit what a majority holds durably, if it is of one's own term (Raft, 5.4.2)."""
    if state.role is not Role.LEADER:
        return state, []
    held = sorted(
        (
            state.durable if one == state.id else state.progress[one].match if one in state.progress else 0
            for one in state.config.voters
        ),
        reverse=True,
    )
    index = held[state.config.majority - 1]
    if index <= state.commit or state.at(index) != state.term:
        return state, []
    state, decisions = _commit(state, index)
    if not state.votes_here and not any(one.kind is Kind.CONFIG and one.index > state.commit for one in state.log):
        state, more = _follow(state, now, state.term, "")  # it voted itself out
        return state, [*decisions, *more]
    state, beats = _beat(state, now)
    return state, [*decisions, *beats]


def _commit(state: Raft, index: int) -> tuple[Raft, list[Decision]]:
    index = min(index, state.last[0])
    if index <= state.applied:
        return state, []
    first = state.applied - state.snapshot.index
    ready = state.log[first : index - state.snapshot.index]
    return replace(state, commit=index, applied=index), [Apply(ready)]


def _compact(state: Raft, data: bytes) -> tuple[Raft, list[Decision]]:
    if state.applied - state.snapshot.index < SNAPSHOT_AFTER:
        return state, []
    term = state.at(state.applied)
    assert term is not None
    cut = state.applied - state.snapshot.index
    config = next((_config(one) for one in reversed(state.log[:cut]) if one.kind is Kind.CONFIG), state.snapshot.config)
    snapshot, rest = Snapshot(state.applied, term, config, data), state.log[cut:]
    state = replace(state, snapshot=snapshot, log=rest)
    return state, [Write(state.term, state.vote, state.last[0], (), snapshot, state.last[0])]


# What comes


def _received(state: Raft, now: int, sender: str, message: CouncilMessage) -> tuple[Raft, list[Decision]]:
    match message:
        case Fresh():
            if state.snapshot.index == 1 and sender in state.config.voters and not state.log:
                return state, [Send(sender, Form(state.config))]
            recent = {one: at for one, at in state.fresh.items() if now - at < 5 * state.terms.heartbeat_us}
            return replace(state, fresh={**recent, sender: now}), []
        case Form(config):
            if state.config.voters or state.id not in config.voters or state.last[0]:
                return state, []
            return _formed(state, now, config)
        case Remind():
            return state, [Send(sender, Reminded(*state.told.get(sender, (0, 0))))]
        case Reminded(term, index):
            return _were_told(state, sender, term, index)
    state = _note(state, sender, message)
    match message:
        case Vote():
            return _asked(state, now, sender, message)
        case Voted():
            return _voted(state, now, sender, message)
        case Appended():
            return _appended(state, now, sender, message)
        case Append() | Install():
            return _from_leader(state, now, sender, message)
    return state, []


def _note(state: Raft, sender: str, message: CouncilMessage) -> Raft:
    """Remember what a member told of itself, so as to remind it after its start."""
    term, index = state.told.get(sender, (0, 0))
    match message:
        case Voted(voted, True, False):
            told = (max(term, voted), index if voted <= term else 0)
        case Appended(of, True, upto) if of >= term:
            told = (of, max(index, upto) if of == term else upto)  # an earlier term's may have been cut off since
        case Vote(of, _, _, False):
            told = (max(term, of), index if of <= term else 0)
        case _:
            return state
    return replace(state, told={**state.told, sender: told}) if told != (term, index) else state


def _were_told(state: Raft, sender: str, term: int, index: int) -> tuple[Raft, list[Decision]]:
    if state.reminded is None:
        return state, []
    if term > state.term or term == state.term and index > state.last[0]:
        why = f"{sender} was told of term {term} and index {index}, the store has {state.term} and {state.last[0]}"
        return replace(state, role=Role.HALTED), [Forgot(why)]
    answered = state.reminded | {sender}
    all_did = answered >= set(state.config.voters) - {state.id}
    return replace(state, reminded=None if all_did else answered), []


def _from_leader(state: Raft, now: int, sender: str, message: Append | Install) -> tuple[Raft, list[Decision]]:
    if message.term < state.term:
        return state, [Send(sender, Appended(state.term, False, state.last[0], message.round))]
    before: list[Decision] = []
    if message.term > state.term or state.role is not Role.FOLLOWER or state.leader != sender:
        state, before = _follow(state, now, message.term, sender)
    state = _wait(replace(state, heard_us=now), now)
    if isinstance(message, Install):
        state, decisions = _install(state, message.snapshot)
        return state, [
            *before,
            *decisions,
            Send(sender, Appended(state.term, True, message.snapshot.index, message.round)),
        ]
    if state.at(message.prev_index) != message.prev_term and message.prev_index > state.snapshot.index:
        hint = min(message.prev_index - 1, state.last[0])
        other = state.at(message.prev_index)
        while hint > state.commit and other is not None and state.at(hint) == other:
            hint -= 1  # skip what another term left (Raft, 5.3)
        return state, [*before, Send(sender, Appended(state.term, False, hint, message.round))]
    state, writes = _take(state, message.entries)
    index = message.prev_index + len(message.entries)
    state, applied = _commit(state, min(message.commit, index))
    # What is acknowledged is durable by then: the answer stands behind the write, and writes are in order.
    return state, [*before, *writes, Send(sender, Appended(state.term, True, index, message.round)), *applied]


def _take(state: Raft, entries: tuple[LogEntry, ...]) -> tuple[Raft, list[Decision]]:
    """Take a leader's entries; what differs is cut off with all behind it."""
    new = [one for one in entries if one.index > state.snapshot.index and state.at(one.index) != one.term]
    if not new:
        return state, []
    keep = new[0].index - 1
    assert keep >= state.commit, "an entry that was committed is never cut off"
    fresh = tuple(one for one in entries if one.index > keep)
    log = state.log[: keep - state.snapshot.index] + fresh
    state = replace(state, log=log, durable=min(state.durable, keep))
    return state, [Write(state.term, state.vote, keep, fresh, None, log[-1].index)]


def _install(state: Raft, snapshot: Snapshot) -> tuple[Raft, list[Decision]]:
    if snapshot.index <= state.commit:
        return state, []
    rest = (
        tuple(one for one in state.log if one.index > snapshot.index)
        if state.at(snapshot.index) == snapshot.term
        else ()
    )
    state = replace(
        state, snapshot=snapshot, log=rest, commit=snapshot.index, applied=snapshot.index, durable=snapshot.index
    )
    return state, [Write(state.term, state.vote, state.last[0], (), snapshot, state.last[0]), Restore(snapshot.data)]


def _config(entry: LogEntry) -> Config:
    return msgspec.msgpack.decode(entry.data, type=Config)
