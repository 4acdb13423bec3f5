"""A key store on disk: the key ring that scorers read, and the private keys, which scorers never read.

    FOLDER/ring.json          public keys and their validity; replaced atomically
    FOLDER/private/KID.pem    private keys in PKCS #8, readable by their owner only

Writers take a lock, so that two concurrent commands can not lose each other's keys.
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

PASSPHRASE_VARIABLE = "SAGETRESTLE_KEY_PASSPHRASE"  # noqa: S105 - an environment variable's name; keys are not encrypted if it is unset
KID_LENGTH_CHARACTERS = 16
KEY_GENERATORS = {"EdDSA": ed25519.Ed25519PrivateKey.generate, "ES256": lambda: ec.generate_private_key(ec.SECP256R1())}


class StoreError(ValueError):
    """The store is unusable, or a command is not possible in its state; the message says what to do."""


class KeyStore:
    """The keys of one issuer in a folder. Times are Unix microseconds and come from the caller."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self._cache: tuple[tuple[int, int], Keyring] | None = None
        self._private: dict[str, Any] = {}

    @property
    def path(self) -> Path:
        """Return the path of the key ring file."""
        return self.folder / "ring.json"

    def keyring(self, now_us: int = 0) -> Keyring:
        """Return the key ring on disk, re-read if the file has changed. Raises StoreError."""
        try:
            file_status = self.path.stat()
            file_version = (file_status.st_mtime_ns, file_status.st_ino)
            if self._cache is None or self._cache[0] != file_version:
                self._cache = (file_version, _read_any_keyring(self.path.read_bytes(), now_us))
        except FileNotFoundError:
            raise StoreError(f"{self.path}: no such file; `keys generate` creates the first key") from None
        except (OSError, FileError) as error:
            raise StoreError(f"{self.path}: {error}") from None
        return self._cache[1]

    def generate(self, algorithm: str, now_us: int, not_before_us: int | None = None) -> str:
        """Create a key that signs from ``not_before_us`` on (default: now), and return its id."""
        key, private = self._generate_key(algorithm, now_us if not_before_us is None else not_before_us)
        self._write(Add(key), now_us, private, first=True)
        return key.kid

    def rotate(self, algorithm: str, now_us: int, lead_us: int, overlap_us: int) -> str:
        """Create a successor key and return its id.

        It signs after ``lead_us``, which gives all scorers time to read the new key ring. Signatures of the keys that
        sign until then stay valid for another ``overlap_us``.
        """
        key, private = self._generate_key(algorithm, now_us + lead_us)
        self._write(Rotate(key, overlap_us), now_us, private)
        return key.kid

    def retire(self, kid: str, now_us: int, overlap_us: int) -> None:
        """Stop signing with a key now. Raises StoreError if no other key is active."""
        others = [key for key in self.keyring(now_us).keys.values() if key.kid != kid]
        if not any(key.not_before_us <= now_us < key.signs_until_us and key.revoked_us is None for key in others):
            raise StoreError(f"key {kid}: no other key is active; rotate first")
        self._write(Retire(kid, overlap_us), now_us)

    def revoke(self, kid: str, now_us: int, why: str) -> None:
        """Revoke a key and delete its private key."""
        self._write(Revoke(kid, why), now_us)
        self._private.pop(kid, None)
        self._private_key_path(kid).unlink(missing_ok=True)

    def drop(self, now_us: int, after_us: int) -> None:
        """Remove keys that have been retired for at least ``after_us``, with their private keys."""
        before = set(self.keyring(now_us).keys)
        self._write(Drop(after_us), now_us)
        for kid in before - set(self.keyring(now_us).keys):
            self._private_key_path(kid).unlink(missing_ok=True)

    def signer(self, now_us: int) -> str:
        """Return the id of the key to sign with. Raises StoreError."""
        key = self.keyring(now_us).signer(now_us)
        if key is None:
            raise StoreError(f"{self.path}: no key is active; `keys rotate` creates one")
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
        """Generate a key whose id is the start of its thumbprint."""
        if algorithm not in KEY_GENERATORS:
            raise StoreError(f"algorithm {algorithm!r}: must be one of {', '.join(KEY_GENERATORS)}")
        key_thumbprint = "-"
        while key_thumbprint.startswith("-"):  # 1 in 64; a command line would parse such an id as an option
            private = KEY_GENERATORS[algorithm]()
            public = private.public_key()
            key_thumbprint = thumbprint(public_key_to_jwk(algorithm, public))
        return KeyringKey(
            key_thumbprint[:KID_LENGTH_CHARACTERS], algorithm, public, key_thumbprint, not_before_us
        ), private

    def _write(self, event: KeyringEvent, now_us: int, private: Any = None, first: bool = False) -> None:
        """Apply an event to the key ring on disk; a private key is written before the key ring names it."""
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
    """Read a key ring for the commands that repair it, which accept one without an active key."""
    return read_keyring(data, now_us, needs_active=False)


def _passphrase() -> bytes | None:
    return os.environ[PASSPHRASE_VARIABLE].encode() if os.environ.get(PASSPHRASE_VARIABLE) else None
