"""The operators' files of identity on disk: read whole at the start, watched, and read again as they change.

Loaded only where ``deploy/identity.toml`` turns identity on.
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

MOST_GROUPS = 256  # tenants that the module weighs one by one: it looks at each twice a second
MOST_BYTES = 64 << 20  # of one file
Signature = tuple[tuple[int, int, int] | None, ...]


class IdentityError(ValueError):
    """Files that can not be used; the text names the file and the field."""


@dataclass(frozen=True)
class IdentityConfig:
    """What the operators' file says, where its paths count from, and what they held at the start."""

    file: IdentityFile
    root: Path
    snapshot: Snapshot

    def authenticator(self) -> Authenticator:
        """Return the authenticator of a scorer that starts."""
        bounds = self.file.bounds
        return Authenticator(
            self.snapshot,
            AuthenticatorLimits(
                bounds.verifications, bounds.waiting, bounds.waiting_each, bounds.cached, bounds.replays
            ),
        )

    def paths(self) -> dict[str, Path]:
        """Return all files that are watched, by the field that names them."""
        named = {"ring": self.file.ring, "tenants": self.file.tenants}
        if tls := self.file.tls:
            named |= {"tls.certificate": tls.certificate, "tls.key": tls.key, "tls.trust": tls.trust}
        return {name: self.root / path for name, path in named.items()}


def load_identity(path: Path, classes: frozenset[str] | None) -> IdentityConfig | None:
    """Read the operators' file and those it names; None where it says that identity is off.

    Raises IdentityError.
    """
    file = _parsed(path, read_identity)
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


def load_snapshot(config: IdentityConfig, classes: frozenset[str] | None, before: Snapshot | None) -> Snapshot:
    """Read ring and tenants. Raises IdentityError; one that is older than what is in force is not taken.

    An old ring would put back what was revoked since.
    """
    now_us = time.time_ns() // 1000
    paths = config.paths()
    ring = _parsed(paths["ring"], lambda data: read_keyring(data, now_us))
    form = "json" if paths["tenants"].suffix == ".json" else "toml"
    directory = _parsed(paths["tenants"], lambda data: read_tenants(data, form, classes))
    unmapped = config.file.unmapped
    if unmapped is not None and unmapped not in directory.tenants:
        raise IdentityError(f"identity.toml: unmapped: {unmapped!r} is no tenant")
    for what, new, old in (
        ("ring", ring.version, before and before.keyring.version),
        ("tenants", directory.version, before and before.directory.version),
    ):
        if old is not None and new < old:
            raise IdentityError(f"{paths[what].name}: version {new} is older than {old}, which is in force")
    return Snapshot(config.file.terms(), ring, directory)


def _parsed(path: Path, read: Callable[[bytes], Any]) -> Any:
    try:
        return read(_bytes(path))
    except (FileError, OSError) as error:
        raise IdentityError(f"{path.name}: {_text(error)}") from None


def with_tenants(settings: Settings, config: IdentityConfig) -> Settings:
    """Return the settings with the tenants that have an allowance; the first stands for all the others.

    The module's tenants are set at the start; those that come later share the first place until a restart.
    """
    if settings.tenants:
        return settings
    own = sorted(one.name for one in config.snapshot.directory.tenants.values() if one.allowance_per_s > 0)
    if not own:
        return settings
    tenants = config.snapshot.directory.tenants
    groups = [TenantSettings("", config.file.others_per_s)]
    groups += [TenantSettings(name, tenants[name].allowance_per_s) for name in own[: MOST_GROUPS - 1]]
    worth = config.file.over_share_worth
    return replace(
        settings, tenants=tuple(groups), over_share_worth=settings.over_share_worth if worth is None else worth
    )


class IdentityWatch:
    """Looks at the files a few times a second, and reads them again in a thread when one has changed."""

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
        self._before = config.snapshot
        self._seen = self._signature()
        self._reading = False
        self._loop = LoopingCall(self.look)
        self._loop.clock = reactor

    def start(self) -> None:
        """Look from now on."""
        self._loop.start(self._config.file.watch_ms / 1000, now=False)

    def look(self) -> None:
        """Read the files again if one has changed; one reading at a time."""
        signature = self._signature()
        if self._reading or signature == self._seen:
            return
        changed = [
            name for name, now, was in zip(self._config.paths(), signature, self._seen, strict=True) if now != was
        ]
        self._reading = True
        self._in_thread(self._load).addCallbacks(
            self._loaded, self._failed, callbackArgs=(signature, changed), errbackArgs=(signature,)
        )

    def _load(self) -> tuple[Snapshot, Any]:
        """Read all that is watched; runs in a thread."""
        snapshot = load_snapshot(self._config, self._classes, self._before)
        return snapshot, self._tls and self._tls.read(self._config.paths())

    def _loaded(self, found: tuple[Snapshot, Any], signature: Signature, changed: list[str]) -> None:
        self._reading = False
        if self._signature() != signature:  # it changed while it was read: the next look reads it again
            return
        self._seen, (snapshot, context) = signature, found
        if context is not None:
            self._tls.context.take(context)
        self._before = snapshot
        self._post(IdentityRead(snapshot, ", ".join(changed)))

    def _failed(self, reason: Any, signature: Signature) -> None:
        self._reading = False
        self._seen = signature
        self._post(IdentityFailed(reason.getErrorMessage()))

    def _signature(self) -> Signature:
        return tuple(_stat(path) for path in self._config.paths().values())


def _stat(path: Path) -> tuple[int, int, int] | None:
    try:
        found = path.stat()
    except OSError:
        return None
    return found.st_mtime_ns, found.st_size, found.st_ino


def _bytes(path: Path) -> bytes:
    with path.open("rb") as file:
        data = file.read(MOST_BYTES + 1)
    if len(data) > MOST_BYTES:
        raise FileError(f"larger than {MOST_BYTES >> 20} MiB")
    return data


def _text(error: Exception) -> str:
    return (error.strerror or str(error)) if isinstance(error, OSError) else str(error)
