"""Types of spending caps."""

from __future__ import annotations

from typing import NamedTuple


class Limit(NamedTuple):
    """A spending cap: a tenant's charges in one window. Windows are counted from the Unix epoch, in microseconds."""

    tenant: str
    window_us: int
    index: int

    @classmethod
    def at(cls, tenant: str, window_us: int, unix: int) -> Limit:
        """Return the limit of a tenant whose window contains the time ``unix``."""
        return cls(tenant, window_us, unix // window_us)

    @classmethod
    def named(cls, name: str) -> Limit:
        """Parse a limit from its ``name``. Raises ValueError."""
        tenant, window, index = name.rsplit("\0", 2)
        return cls(tenant, int(window), int(index))

    @property
    def name(self) -> str:
        """Return the name of the limit in messages and records."""
        return f"{self.tenant}\0{self.window_us}\0{self.index}"

    @property
    def since_us(self) -> int:
        """Return the start of its window."""
        return self.index * self.window_us

    @property
    def until_us(self) -> int:
        """Return the end of its window."""
        return (self.index + 1) * self.window_us


def allowance_key(tenant: str) -> str:
    """Return the key whose partition decides which member grants a tenant's allowances."""
    return f"cap\0{tenant}"
