"""Fencing messages to a kernel: a partition's new owner announces its epoch and asks for the fates of earlier runs.

``FENCE`` names a partition, an epoch and runs; from then on the kernel refuses commands for that partition with an
earlier epoch. ``FATES`` answers for each run: ``done`` or ``crashed``, at once or when the run ends, or ``never`` if it
was not started and will not be. A kernel without support for fences does not answer, and the runs stay in doubt.
"""

from __future__ import annotations

import base64
import binascii
from typing import NamedTuple

import orjson

from sagetrestle.net.protocol.errors import ProtocolError

MAX_LINE = 4 << 20  # fits the results of all runs that one FENCE may name
RUN_ENDS = ("done", "crashed", "never")


class Fate(NamedTuple):
    """The fate of one run."""

    run: str
    how: str
    result: bytes


class Fates(NamedTuple):
    """A kernel's answer to a fence."""

    partition: int
    epoch: int
    fates: tuple[Fate, ...]


def encode_fence(partition: int, epoch: int, runs: tuple[str, ...]) -> bytes:
    """Encode a FENCE message."""
    return orjson.dumps({"msg": "FENCE", "part": partition, "epoch": epoch, "calls": runs}) + b"\n"


def decode_fates(line: bytes) -> Fates:
    """Decode a FATES message. Raises ProtocolError."""
    try:
        answer = orjson.loads(line)
        if answer["msg"] != "FATES":
            raise ValueError(f"not FATES: {answer['msg']!r}")
        fates = tuple(
            Fate(str(run), str(how), base64.b64decode(blob or "", validate=True)) for run, how, blob in answer["fates"]
        )
        if unknown := [fate.how for fate in fates if fate.how not in RUN_ENDS]:
            raise ValueError(f"unknown end {unknown[0]!r}")
        return Fates(int(answer["part"]), int(answer["epoch"]), fates)
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError, AttributeError, binascii.Error) as error:
        raise ProtocolError(f"fates that can not be read: {error}") from None
