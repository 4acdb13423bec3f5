"""The messages between the old and the new process; times are microseconds on the machine's monotonic clock."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple, Union

VERSION = 1
MAX_RECORDS_PER_MESSAGE = 256


class KeyName(NamedTuple):
    """A key, by names that are the same in both processes."""

    cls: str
    tenant: str
    key: str


class KeyRecord(NamedTuple):
    """A key whose window is open: the attempt that ran, its arrival, and the end of the window."""

    key: KeyName
    digest: bytes  # of the body
    id: str
    arrived_us: int
    until_us: int


class Hello(NamedTuple):
    """The new process introduces itself, with the scorer's name and listening address."""

    version: int
    name: str
    listen: str


class Welcome(NamedTuple):
    """The old process accepts the new one."""


class Busy(NamedTuple):
    """The old process already has a new one, or cannot hand over now."""

    why: str


class Ask(NamedTuple):
    """The new process is ready but for the keys, and requests them."""


class Records(NamedTuple):
    """Some of the keys."""

    records: tuple[KeyRecord, ...]


class Yours(NamedTuple):
    """The ownership token: from here on the new process owns the keys.

    ``fronts`` names the listening sockets that come with it. Until ``doubt_until_us``, keys without a record may have
    run at a process that is gone.
    """

    fronts: tuple[str, ...]
    doubt_until_us: int = 0


class Serving(NamedTuple):
    """The new process serves."""


class Claim(NamedTuple):
    """The old process asks whether it may run this attempt."""

    record: KeyRecord


class Granted(NamedTuple):
    """The attempt may run."""

    id: str


class Denied(NamedTuple):
    """The attempt may not run: it came within the window of attempt ``by``, whose body has this digest."""

    id: str
    by: str
    digest: bytes


class Results(NamedTuple):
    """Results of attempts that ran, None for a failed one. Each message is acknowledged by ``More``."""

    results: tuple[tuple[str, bytes | None, int], ...]  # id, result, until when it may be asked for


class More(NamedTuple):
    """The last ``Results`` were received."""


class Load(NamedTuple):
    """The resources that the old process still holds, of those that both share."""

    memory_kb: float
    running: int
    descriptors: int


Message = Union[Hello, Welcome, Busy, Ask, Records, Yours, Serving, Claim, Granted, Denied, Results, More, Load]


def split_records(records: Sequence[KeyRecord]) -> list[Records]:
    """Split records into messages of bounded length."""
    return [
        Records(tuple(records[at : at + MAX_RECORDS_PER_MESSAGE]))
        for at in range(0, len(records), MAX_RECORDS_PER_MESSAGE)
    ]
