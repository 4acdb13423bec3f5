"""What elder and successor say to each other; times are microseconds on the machine's monotonic clock."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple, Union

VERSION = 1
MAX_RECORDS_PER_MESSAGE = 256


class KeyName(NamedTuple):
    """A key by names that hold in both processes."""

    cls: str
    tenant: str
    key: str


class KeyRecord(NamedTuple):
    """A key whose window is open: the try that ran, when it arrived, and until when its window lasts."""

    key: KeyName
    digest: bytes  # of the body
    id: str
    arrived_us: int
    until_us: int


class Hello(NamedTuple):
    """A successor is there, of the same scorer at the same address."""

    version: int
    name: str
    listen: str


class Welcome(NamedTuple):
    """The elder knows its successor."""


class Busy(NamedTuple):
    """There is another successor, or none can be taken now."""

    why: str


class Ask(NamedTuple):
    """The successor has all but the keys, and asks for them."""


class Records(NamedTuple):
    """Some of the keys."""

    records: tuple[KeyRecord, ...]


class Yours(NamedTuple):
    """The token: from here on the keys are the successor's. ``fronts`` names the sockets that come with it.

    ``doubt_until_us``: until then what no record names may have run at a process that is gone.
    """

    fronts: tuple[str, ...]
    doubt_until_us: int = 0


class Serving(NamedTuple):
    """The successor takes requests."""


class Claim(NamedTuple):
    """The elder wants to run this try."""

    record: KeyRecord


class Granted(NamedTuple):
    """It may."""

    id: str


class Denied(NamedTuple):
    """It may not: the try ``by``, with this body, ran within whose window it came."""

    id: str
    by: str
    digest: bytes


class Results(NamedTuple):
    """What became of tries that ran; None where there is no result. Each message is acknowledged by ``More``."""

    results: tuple[tuple[str, bytes | None, int], ...]  # id, result, until when it may be asked for


class More(NamedTuple):
    """The last ``Results`` were taken."""


class Load(NamedTuple):
    """What the elder still holds of what both share."""

    memory_kb: float
    running: int
    descriptors: int


Message = Union[Hello, Welcome, Busy, Ask, Records, Yours, Serving, Claim, Granted, Denied, Results, More, Load]


def split_records(records: Sequence[KeyRecord]) -> list[Records]:
    """Spread keys over messages of bounded length."""
    return [
        Records(tuple(records[at : at + MAX_RECORDS_PER_MESSAGE]))
        for at in range(0, len(records), MAX_RECORDS_PER_MESSAGE)
    ]
