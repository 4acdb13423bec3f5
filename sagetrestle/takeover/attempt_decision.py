"""What becomes of a keyed try at a member of the fleet: the one place where that is decided."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from sagetrestle.ownership.values import PartitionAssignment
from sagetrestle.recovery.effects import Effect, EffectState
from sagetrestle.takeover.effect_log import Marks, marks
from sagetrestle.takeover.node import Node


class Word(Enum):
    """What is to be done."""

    SERVE = "it ran: its result is known"
    FAIL = "it ran, and failed"
    CONFLICT = "its key came before with another body"
    ELSEWHERE = "another member owns its partition"
    NOT_YET = "this member owns its partition and may not act yet"
    ASKED = "it may have run, and the kernel or server that would know is asked"
    DOUBT = "it may have run, and nobody can tell"
    RUNS = "it runs here"
    FREE = "it never ran"


class Verdict(NamedTuple):
    """The word, the partition and its share, and what is known of the key."""

    word: Word
    partition: int
    assignment: PartitionAssignment
    effect: Effect | None = None


def effect_key(cls: str, tenant: str, key: str) -> str:
    """Return the name of an effect in the records."""
    return f"{cls}\0{tenant}\0{key}"


def judge(node: Node, now: int, what: Marks, arrived_unix: int) -> Verdict:
    """Say what becomes of a try that arrived then (Unix).

    An end that is known is a fact and told by whoever has it. All else is the owner's, under its lease.
    """
    at, assignment = node.books.assignment_of(what.key)
    effect = node.books.known(at, effect_key(what.cls, what.tenant, what.key), arrived_unix)
    if effect is not None and effect.digest and marks(effect.digest).body != what.body:
        return Verdict(Word.CONFLICT, at, assignment, effect)
    if effect is not None and effect.state is EffectState.DONE:
        return Verdict(Word.SERVE, at, assignment, effect)
    if effect is not None and effect.state is EffectState.FAILED:
        return Verdict(Word.FAIL, at, assignment, effect)
    if assignment.owner != node.me:
        return Verdict(Word.ELSEWHERE, at, assignment)
    if not node.owns(at, now) or not node.books.recordable(at):
        return Verdict(Word.NOT_YET, at, assignment)
    if effect is None or effect.state is EffectState.FREE:
        return Verdict(Word.FREE, at, assignment)
    if node.books.goes_on(at, effect):
        return Verdict(Word.RUNS, at, assignment, effect)
    asked = bool(effect.server) and node.books.askable(effect)
    return Verdict(Word.ASKED if asked else Word.DOUBT, at, assignment, effect)
