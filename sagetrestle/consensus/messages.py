"""What council members say to each other, and what their log holds.

A member's id is its name and its store's: ``name#store``. One whose store was lost has another id, and so no vote.
"""

from __future__ import annotations

from enum import IntEnum

import msgspec


class LogEntryKind(IntEnum):
    """What an entry of the log is."""

    COMMAND = 0  # for the state machine on top
    CONFIG = 1  # the voters and learners from here on
    NOOP = 2  # a new leader's first: what is before it is committed with it


class Config(msgspec.Struct, frozen=True, array_like=True):
    """Who votes, and who only learns."""

    voters: tuple[str, ...] = ()
    learners: tuple[str, ...] = ()

    @property
    def members(self) -> tuple[str, ...]:
        """Return all who get the log."""
        return self.voters + self.learners

    @property
    def majority(self) -> int:
        """Return how many votes decide."""
        return len(self.voters) // 2 + 1


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """One entry."""

    index: int
    term: int
    kind: LogEntryKind
    data: bytes = b""


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """What the log came to up to an index."""

    index: int = 0
    term: int = 0
    config: Config = Config()
    data: bytes = b""


class RequestVote(msgspec.Struct, frozen=True, array_like=True, tag="vote"):
    """A candidate asks for a vote; with ``pre_vote`` it only asks whether it would get it."""

    term: int
    last_index: int
    last_term: int
    pre_vote: bool


class VoteResponse(msgspec.Struct, frozen=True, array_like=True, tag="voted"):
    """The answer; ``term`` is the one asked for, or a later one that the candidate does not know."""

    term: int
    granted: bool
    pre_vote: bool


class AppendEntries(msgspec.Struct, frozen=True, array_like=True, tag="append"):
    """A leader's entries behind ``prev_index``, or none: then it is a heartbeat. ``round`` counts its sendings."""

    term: int
    prev_index: int
    prev_term: int
    entries: tuple[LogEntry, ...]
    leader_commit: int
    round: int


class AppendEntriesResponse(msgspec.Struct, frozen=True, array_like=True, tag="appended"):
    """The answer: ``index`` is the last that is the same as the leader's and durable, or where to try next."""

    term: int
    success: bool
    index: int
    round: int


class InstallSnapshot(msgspec.Struct, frozen=True, array_like=True, tag="install"):
    """A leader's snapshot, for one whose next entry is gone from the log."""

    term: int
    snapshot: Snapshot
    round: int


class EmptyStore(msgspec.Struct, frozen=True, array_like=True, tag="fresh"):
    """A member named in the council's file has an empty store."""


class FormGroup(msgspec.Struct, frozen=True, array_like=True, tag="form"):
    """The first voters of a council whose members all have empty stores."""

    config: Config


class RollbackCheck(msgspec.Struct, frozen=True, array_like=True, tag="remind"):
    """A voter that starts asks what it told the other before."""


class RollbackCheckResponse(msgspec.Struct, frozen=True, array_like=True, tag="reminded"):
    """The latest term and index that the asker ever told this one of."""

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
