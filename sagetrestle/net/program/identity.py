"""Reads the operators' identity files at start-up, watches them, and reads them again when they change.

Imported only where ``deploy/identity.toml`` turns identity on.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from twisted.internet.task import LoopingCall

from sagetrestle.identity.authenticator import Authenticator, AuthenticatorLimits
from sagetrestle.identity.authorizer import Snapshot
from sagetrestle.identity.files import FileError, IdentityFile, read_identity, read_keyring, read_tenants
from sagetrestle.interface import Settings, TenantSettings
from sagetrestle.net.routing.inputs import IdentityFailed, IdentityRead, Input

MAX_WEIGHED_TENANTS = 256  # with an allowance of their own: the decision module examines each twice a second
MAX_FILE_BYTES = 64 << 20
FileSignature = tuple[tuple[int, int, int] | None, ...]


class IdentityError(ValueError):
    """An invalid file; the message names the file and the field."""


@dataclass(frozen=True)
class IdentityConfig:
    """The operators' file, the folder that its paths are relative to, and the contents of those paths at start-up."""

    file: IdentityFile
    root: Path
    snapshot: Snapshot

    def authenticator(self) -> Authenticator:
        """Return a new authenticator with the snapshot read at start-up."""
        bounds = self.file.bounds
        return Authenticator(
            self.snapshot,
            AuthenticatorLimits(
                bounds.verifications, bounds.waiting, bounds.waiting_each, bounds.cached, bounds.replays
            ),
        )

    def paths(self) -> dict[str, Path]:
        """Return the paths of all watched files by the field that names them."""
        named = {"ring": self.file.ring, "tenants": self.file.tenants}
        if tls := self.file.tls:
            named |= {"tls.certificate": tls.certificate, "tls.key": tls.key, "tls.trust": tls.trust}
        return {name: self.root / path for name, path in named.items()}


def load_identity(path: Path, classes: frozenset[str] | None) -> IdentityConfig | None:
    """Read the operators' file and the files that it names; returns None if it turns identity off.

    Raises IdentityError.
    """
    file = _parse_file(path, read_identity)
    if file is None:
        return None
    config = IdentityConfig(file, path.parent.parent, Snapshot(file.terms()))
    if file.tls is not None:
        from sagetrestle.net.transport.tls import TlsError, TlsFront

        try:
            TlsFront.read(config.paths())
        except TlsError as error:
            raise IdentityError(f"{path.name}: {error}") from None
    return replace(config, snapshot=load_snapshot(config, classes, None))


def load_snapshot(config: IdentityConfig, classes: frozenset[str] | None, previous: Snapshot | None) -> Snapshot:
    """Read the key ring and the tenants. Raises IdentityError, also for a version older than the one in force.

    An older ring would reinstate keys that have been revoked since.
    """
    now_us = time.time_ns() // 1000
    paths = config.paths()
    ring = _parse_file(paths["ring"], lambda data: read_keyring(data, now_us))
    file_format = "json" if paths["tenants"].suffix == ".json" else "toml"
    directory = _parse_file(paths["tenants"], lambda data: read_tenants(data, file_format, classes))
    unmapped = config.file.unmapped
    if unmapped is not None and unmapped not in directory.tenants:
        raise IdentityError(f"identity.toml: unmapped: {unmapped!r} is no tenant")
    for file_name, new, old in (
        ("ring", ring.version, previous and previous.keyring.version),
        ("tenants", directory.version, previous and previous.directory.version),
    ):
        if old is not None and new < old:
            raise IdentityError(f"{paths[file_name].name}: version {new} is older than {old}, which is in force")
    return Snapshot(config.file.terms(), ring, directory)


def _parse_file(path: Path, read: Callable[[bytes], Any]) -> Any:
    try:
        return read(_read_bytes(path))
    except (FileError, OSError) as error:
        raise IdentityError(f"{path.name}: {_error_text(error)}") from None


def with_tenants(settings: Settings, config: IdentityConfig) -> Settings:
    """Return the settings with the tenants that have an allowance; the first entry stands for all other tenants.

    The decision module's tenants are fixed at start-up; tenants added later share the first entry until a restart.
    """
    if settings.tenants:
        return settings
    with_allowance = sorted(
        tenant.name for tenant in config.snapshot.directory.tenants.values() if tenant.allowance_per_s > 0
    )
    if not with_allowance:
        return settings
    tenants = config.snapshot.directory.tenants
    groups = [TenantSettings("", config.file.others_per_s)]
    groups += [
        TenantSettings(name, tenants[name].allowance_per_s) for name in with_allowance[: MAX_WEIGHED_TENANTS - 1]
    ]
    worth = config.file.over_share_worth
    return replace(
        settings, tenants=tuple(groups), over_share_worth=settings.over_share_worth if worth is None else worth
    )


class IdentityWatch:
    """Checks the files every ``watch_ms``, and reads them again in a thread when one has changed."""

    def __init__(
        self,
        reactor: Any,
        config: IdentityConfig,
        classes: frozenset[str],
        post: Callable[[Input], None],
        in_thread: Callable[[Callable[[], Any]], Any],
        tls: Any = None,
    ) -> None:
        self._config, self._classes, self._post = config, classes, post
        self._in_thread, self._tls = in_thread, tls
        self._snapshot = config.snapshot
        self._last_signature = self._signature()
        self._reading = False
        self._loop = LoopingCall(self.check_files)
        self._loop.clock = reactor

    def start(self) -> None:
        """Start the periodic check."""
        self._loop.start(self._config.file.watch_ms / 1000, now=False)

    def check_files(self) -> None:
        """Read the files again if one has changed and no reading is in progress."""
        signature = self._signature()
        if self._reading or signature == self._last_signature:
            return
        changed = [
            name
            for name, now, was in zip(self._config.paths(), signature, self._last_signature, strict=True)
            if now != was
        ]
        self._reading = True
        self._in_thread(self._load_files).addCallbacks(
            self._load_finished, self._load_failed, callbackArgs=(signature, changed), errbackArgs=(signature,)
        )

    def _load_files(self) -> tuple[Snapshot, Any]:
        """Read all watched files; runs in a thread."""
        snapshot = load_snapshot(self._config, self._classes, self._snapshot)
        return snapshot, self._tls and self._tls.read(self._config.paths())

    def _load_finished(self, loaded: tuple[Snapshot, Any], signature: FileSignature, changed: list[str]) -> None:
        self._reading = False
        if self._signature() != signature:  # changed while being read: the next check reads it again
            return
        self._last_signature, (snapshot, context) = signature, loaded
        if context is not None:
            self._tls.context.replace(context)
        self._snapshot = snapshot
        self._post(IdentityRead(snapshot, ", ".join(changed)))

    def _load_failed(self, reason: Any, signature: FileSignature) -> None:
        self._reading = False
        self._last_signature = signature
        self._post(IdentityFailed(reason.getErrorMessage()))

    def _signature(self) -> FileSignature:
        """Return modification time, size and inode of each watched file."""
        return tuple(_file_signature(path) for path in self._config.paths().values())


def _file_signature(path: Path) -> tuple[int, int, int] | None:
    try:
        status = path.stat()
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size, status.st_ino


def _read_bytes(path: Path) -> bytes:
    with path.open("rb") as file:
        data = file.read(MAX_FILE_BYTES + 1)
    if len(data) > MAX_FILE_BYTES:
        raise FileError(f"larger than {MAX_FILE_BYTES >> 20} MiB")
    return data


def _error_text(error: Exception) -> str:
    return (error.strerror or str(error)) if isinstance(error, OSError) else str(error)
