"""Beside a kernel's link: a new owner tells the kernel its epoch, and hears what became of runs of the one before.

``FENCE`` names a partition, an epoch and runs; from then on the kernel refuses that partition's commands of an epoch
before. ``FATES`` answers for each run: ``done`` or ``crashed``, at once or as it ends, or ``never``: it was not started
and will not be. A kernel that does not know the word answers nothing, and the runs stay in doubt.
"""

from __future__ import annotations

import base64
import binascii
from typing import NamedTuple

import orjson

from sagetrestle.net.protocol.errors import ProtocolError

MAX_LINE = 4 << 20  # results of all the runs that one question may name
RUN_ENDS = ("done", "crashed", "never")


class Fate(NamedTuple):
    """What became of one run."""

    run: str
    how: str
    result: bytes


class Fates(NamedTuple):
    """A kernel's answer."""

    partition: int
    epoch: int
    fates: tuple[Fate, ...]


def encode_fence(partition: int, epoch: int, runs: tuple[str, ...]) -> bytes:
    """Write the question."""
    return orjson.dumps({"msg": "FENCE", "part": partition, "epoch": epoch, "calls": runs}) + b"\n"


def decode_fates(line: bytes) -> Fates:
    """Read the answer. Raises ProtocolError."""
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
