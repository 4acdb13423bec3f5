"""A key store on disk: the ring that scorers read, and the private keys beside it, which they never see.

    FOLDER/ring.json          public keys and their lives; written whole and put in place by one rename
    FOLDER/private/KID.pem    private keys, PKCS #8, readable by their owner only

Writers take a lock, so two commands at once can not lose each other's key.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec, ed25519

from sagetrestle.identity.files import FileError, read_keyring, write_keyring
from sagetrestle.identity.keyring import Add, Drop, Keyring, KeyringEvent, KeyringKey, Retire, Revoke, Rotate, step
from sagetrestle.identity.tokens import public_key_to_jwk, thumbprint
from sagetrestle.store.files import replace_file

PASSPHRASE_VARIABLE = "SAGETRESTLE_KEY_PASSPHRASE"  # noqa: S105 - the variable's name; absent: keys are not encrypted
KID_LENGTH_CHARACTERS = 16
KEY_GENERATORS = {"EdDSA": ed25519.Ed25519PrivateKey.generate, "ES256": lambda: ec.generate_private_key(ec.SECP256R1())}


class StoreError(ValueError):
    """A store that can not be used, or a command that it can not take; the text says what to do."""


class KeyStore:
    """The keys of one issuer, in a folder. Times are Unix microseconds, given by the caller."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self._cache: tuple[tuple[int, int], Keyring] | None = None
        self._private: dict[str, Any] = {}

    @property
    def path(self) -> Path:
        """Return where the ring is."""
        return self.folder / "ring.json"

    def keyring(self, now_us: int = 0) -> Keyring:
        """Return the ring as it is on disk. Raises StoreError."""
        try:
            file_status = self.path.stat()
            file_version = (file_status.st_mtime_ns, file_status.st_ino)
            if self._cache is None or self._cache[0] != file_version:
                self._cache = (file_version, _read_any_keyring(self.path.read_bytes(), now_us))
        except FileNotFoundError:
            raise StoreError(f"{self.path}: not there; `keys generate` makes a first key") from None
        except (OSError, FileError) as error:
            raise StoreError(f"{self.path}: {error}") from None
        return self._cache[1]

    def generate(self, algorithm: str, now_us: int, not_before_us: int | None = None) -> str:
        """Make a key that signs from a time on, or from now, and return its id."""
        key, private = self._generate_key(algorithm, now_us if not_before_us is None else not_before_us)
        self._write(Add(key), now_us, private, first=True)
        return key.kid

    def rotate(self, algorithm: str, now_us: int, lead_us: int, overlap_us: int) -> str:
        """Make a successor that signs after ``lead_us``, when all scorers know it, and return its id.

        What signs until then verifies for ``overlap_us`` more.
        """
        key, private = self._generate_key(algorithm, now_us + lead_us)
        self._write(Rotate(key, overlap_us), now_us, private)
        return key.kid

    def retire(self, kid: str, now_us: int, overlap_us: int) -> None:
        """End a key's signing now. Raises StoreError where no other key signs."""
        others = [key for key in self.keyring(now_us).keys.values() if key.kid != kid]
        if not any(key.not_before_us <= now_us < key.signs_until_us and key.revoked_us is None for key in others):
            raise StoreError(f"key {kid}: no other key is active; rotate first")
        self._write(Retire(kid, overlap_us), now_us)

    def revoke(self, kid: str, now_us: int, why: str) -> None:
        """Trust a key no more, and destroy its private half."""
        self._write(Revoke(kid, why), now_us)
        self._private.pop(kid, None)
        self._private_key_path(kid).unlink(missing_ok=True)

    def drop(self, now_us: int, after_us: int) -> None:
        """Forget keys that have been retired for so long, private halves included."""
        before = set(self.keyring(now_us).keys)
        self._write(Drop(after_us), now_us)
        for kid in before - set(self.keyring(now_us).keys):
            self._private_key_path(kid).unlink(missing_ok=True)

    def signer(self, now_us: int) -> str:
        """Return the id of the key to sign with. Raises StoreError."""
        key = self.keyring(now_us).signer(now_us)
        if key is None:
            raise StoreError(f"{self.path}: no key is active; `keys rotate` makes one")
        return key.kid

    def private(self, kid: str) -> Any:
        """Return a private key. Raises StoreError."""
        if kid not in self._private:
            try:
                pem = self._private_key_path(kid).read_bytes()
                self._private[kid] = serialization.load_pem_private_key(pem, _passphrase())
            except (OSError, ValueError, TypeError) as error:
                raise StoreError(f"{self._private_key_path(kid)}: can not be read: {type(error).__name__}") from None
        return self._private[kid]

    def _private_key_path(self, kid: str) -> Path:
        return self.folder / "private" / f"{kid}.pem"

    def _generate_key(self, algorithm: str, not_before_us: int) -> tuple[KeyringKey, Any]:
        """Make a key whose id is the start of its thumbprint."""
        if algorithm not in KEY_GENERATORS:
            raise StoreError(f"algorithm {algorithm!r}: must be one of {', '.join(KEY_GENERATORS)}")
        key_thumbprint = "-"
        while key_thumbprint.startswith("-"):  # one in 64; a command line would take such an id for an option
            private = KEY_GENERATORS[algorithm]()
            public = private.public_key()
            key_thumbprint = thumbprint(public_key_to_jwk(algorithm, public))
        return KeyringKey(
            key_thumbprint[:KID_LENGTH_CHARACTERS], algorithm, public, key_thumbprint, not_before_us
        ), private

    def _write(self, event: KeyringEvent, now_us: int, private: Any = None, first: bool = False) -> None:
        """Take an event into the ring on disk; the private key is there before the ring names it."""
        with self._locked():
            if first and not self.path.exists():
                keyring = Keyring()
            else:
                self._cache = None
                keyring = self.keyring(now_us)
            try:
                keyring, _ = step(keyring, now_us, event)
            except ValueError as error:
                raise StoreError(str(error)) from None
            if private is not None:
                self._write_private(event, private)
            replace_file(self.path, write_keyring(keyring), 0o644)
            self._cache = None

    def _write_private(self, event: KeyringEvent, private: Any) -> None:
        key = event.key if isinstance(event, Add) else event.successor  # type: ignore[union-attr]
        passphrase = _passphrase()
        encryption = serialization.BestAvailableEncryption(passphrase) if passphrase else serialization.NoEncryption()
        (self.folder / "private").mkdir(mode=0o700, exist_ok=True)
        pem = private.private_bytes(serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, encryption)
        replace_file(self._private_key_path(key.kid), pem, 0o600)

    @contextlib.contextmanager
    def _locked(self) -> Iterator[None]:
        self.folder.mkdir(parents=True, exist_ok=True)
        with open(self.folder / ".lock", "w") as lock:
            fcntl.flock(lock, fcntl.LOCK_EX)
            yield


def _read_any_keyring(data: bytes, now_us: int) -> Keyring:
    """Read a ring for the commands that mend it: one with no active key is taken here."""
    return read_keyring(data, now_us, needs_active=False)


def _passphrase() -> bytes | None:
    return os.environ[PASSPHRASE_VARIABLE].encode() if os.environ.get(PASSPHRASE_VARIABLE) else None
