"""Messages between members of the consensus group, and the entries of their log.

A member's id is ``name#store``: its name and the identity of its store. A member that lost its store comes back under
a new id, which is not a voter.
"""

from __future__ import annotations

from enum import IntEnum

import msgspec


class LogEntryKind(IntEnum):
    """The kind of a log entry."""

    COMMAND = 0  # for the application's state machine
    CONFIG = 1  # voters and learners from this entry on
    NOOP = 2  # a new leader's first entry; committing it commits the entries before it


class Config(msgspec.Struct, frozen=True, array_like=True):
    """The configuration of the group: voters, and learners, which receive the log without a vote."""

    voters: tuple[str, ...] = ()
    learners: tuple[str, ...] = ()

    @property
    def members(self) -> tuple[str, ...]:
        """Return voters and learners."""
        return self.voters + self.learners

    @property
    def majority(self) -> int:
        """Return the number of votes that make a majority."""
        return len(self.voters) // 2 + 1


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """An entry of the log."""

    index: int
    term: int
    kind: LogEntryKind
    data: bytes = b""


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The application's state and the configuration up to an index of the log."""

    index: int = 0
    term: int = 0
    config: Config = Config()
    data: bytes = b""


class RequestVote(msgspec.Struct, frozen=True, array_like=True, tag="vote"):
    """A candidate's request for a vote; with ``pre_vote`` it only asks whether the vote would be granted."""

    term: int
    last_index: int
    last_term: int
    pre_vote: bool


class VoteResponse(msgspec.Struct, frozen=True, array_like=True, tag="voted"):
    """The reply to a vote request; ``term`` is the requested term, or a later one unknown to the candidate."""

    term: int
    granted: bool
    pre_vote: bool


class AppendEntries(msgspec.Struct, frozen=True, array_like=True, tag="append"):
    """A leader's entries after ``prev_index``; without entries it is a heartbeat. ``round`` numbers its broadcasts."""

    term: int
    prev_index: int
    prev_term: int
    entries: tuple[LogEntry, ...]
    leader_commit: int
    round: int


class AppendEntriesResponse(msgspec.Struct, frozen=True, array_like=True, tag="appended"):
    """The reply to ``AppendEntries``.

    ``index`` is the last durable entry that matches the leader's log, or on failure the index to try next.
    """

    term: int
    success: bool
    index: int
    round: int


class InstallSnapshot(msgspec.Struct, frozen=True, array_like=True, tag="install"):
    """A leader's snapshot, for a member whose next entry has been compacted away."""

    term: int
    snapshot: Snapshot
    round: int


class EmptyStore(msgspec.Struct, frozen=True, array_like=True, tag="fresh"):
    """Reports that a member named in the configuration file has an empty store."""


class FormGroup(msgspec.Struct, frozen=True, array_like=True, tag="form"):
    """The first configuration of a group whose members all have empty stores."""

    config: Config


class RollbackCheck(msgspec.Struct, frozen=True, array_like=True, tag="remind"):
    """A starting voter's question for the latest position that the peer knows of it."""


class RollbackCheckResponse(msgspec.Struct, frozen=True, array_like=True, tag="reminded"):
    """The latest term and index that the asking member reported to this one."""

    term: int
    index: int


ConsensusMessage = (
    RequestVote
    | VoteResponse
    | AppendEntries
    | AppendEntriesResponse
    | InstallSnapshot
    | EmptyStore
    | FormGroup
    | RollbackCheck
    | RollbackCheckResponse
)
