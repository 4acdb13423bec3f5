"""What a journal's intent says of its charge, so that a later process knows the key, the body and the attempt."""

from __future__ import annotations

from typing import NamedTuple

import orjson


class ChargeInfo(NamedTuple):
    """The charge that an intent was written for; ``attempt_id`` is the attempt that ran or was about to run."""

    class_name: str
    tenant: str
    key: str
    attempt_id: str
    body_digest: bytes


def pack_charge(charge: ChargeInfo) -> bytes:
    """Pack a charge into an intent's digest."""
    return orjson.dumps([*charge[:4], charge.body_digest.hex()])


def unpack_charge(digest: bytes) -> ChargeInfo | None:
    """Unpack the charge of an intent; None for an intent of an earlier release, which has the class name alone."""
    try:
        class_name, tenant, key, attempt_id, body_digest = orjson.loads(digest)
        return ChargeInfo(class_name, tenant, key, attempt_id, bytes.fromhex(body_digest))
    except (TypeError, ValueError):
        return None
