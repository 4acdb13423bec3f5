"""Decides what a member of the fleet does with a keyed attempt."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from sagetrestle.ownership.values import PartitionAssignment
from sagetrestle.recovery.effects import Effect, EffectState
from sagetrestle.takeover.effect_log import AttemptInfo, unpack_attempt
from sagetrestle.takeover.node import Node


class AttemptAction(Enum):
    """What to do with an attempt."""

    RETURN_RESULT = "it ran: its result is known"
    RETURN_FAILURE = "it ran, and failed"
    REJECT_CONFLICT = "its key came before with another body"
    REDIRECT = "another member owns its partition"
    WAIT_FOR_LEASE = "this member owns its partition and may not act yet"
    WAIT_FOR_FATE = "it may have run, and the kernel or server that would know is asked"
    FAIL_IN_DOUBT = "it may have run, and nobody can tell"
    JOIN_RUN = "it runs here"
    RUN = "it never ran"


class AttemptDecision(NamedTuple):
    """The word, the partition and its share, and what is known of the key."""

    action: AttemptAction
    partition: int
    assignment: PartitionAssignment
    effect: Effect | None = None


def effect_key(class_name: str, tenant: str, key: str) -> str:
    """Return the key of an effect in the records."""
    return f"{class_name}\0{tenant}\0{key}"


def decide_attempt(node: Node, now: int, attempt: AttemptInfo, arrived_unix: int) -> AttemptDecision:
    """Say what becomes of a try that arrived then (Unix).

    Any member answers with an outcome that it knows. Everything else is decided by the owner, under its lease.
    """
    at, assignment = node.effect_log.assignment_of(attempt.key)
    effect = node.effect_log.find_effect(at, effect_key(attempt.class_name, attempt.tenant, attempt.key), arrived_unix)
    if effect is not None and effect.digest and unpack_attempt(effect.digest).body != attempt.body:
        return AttemptDecision(AttemptAction.REJECT_CONFLICT, at, assignment, effect)
    if effect is not None and effect.state is EffectState.DONE:
        return AttemptDecision(AttemptAction.RETURN_RESULT, at, assignment, effect)
    if effect is not None and effect.state is EffectState.FAILED:
        return AttemptDecision(AttemptAction.RETURN_FAILURE, at, assignment, effect)
    if assignment.owner != node.member_id:
        return AttemptDecision(AttemptAction.REDIRECT, at, assignment)
    if not node.owns(at, now) or not node.effect_log.has_enough_backups(at):
        return AttemptDecision(AttemptAction.WAIT_FOR_LEASE, at, assignment)
    if effect is None or effect.state is EffectState.FREE:
        return AttemptDecision(AttemptAction.RUN, at, assignment)
    if node.effect_log.is_running_here(at, effect):
        return AttemptDecision(AttemptAction.JOIN_RUN, at, assignment, effect)
    asked = bool(effect.server) and node.effect_log.can_query(effect)
    return AttemptDecision(
        AttemptAction.WAIT_FOR_FATE if asked else AttemptAction.FAIL_IN_DOUBT, at, assignment, effect
    )
