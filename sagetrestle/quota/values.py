"""The words of limits."""

from __future__ import annotations

from typing import NamedTuple


class Limit(NamedTuple):
    """A hard limit: a tenant's charges in one window; windows are counted from the Unix epoch, in microseconds."""

    tenant: str
    window_us: int
    index: int

    @classmethod
    def at(cls, tenant: str, window_us: int, unix: int) -> Limit:
        """Return the limit of a tenant that holds at a time."""
        return cls(tenant, window_us, unix // window_us)

    @classmethod
    def named(cls, name: str) -> Limit:
        """Return the limit of a name. Raises ValueError."""
        tenant, window, index = name.rsplit("\0", 2)
        return cls(tenant, int(window), int(index))

    @property
    def name(self) -> str:
        """Return its name in messages and records."""
        return f"{self.tenant}\0{self.window_us}\0{self.index}"

    @property
    def since_us(self) -> int:
        """Return when its window begins."""
        return self.index * self.window_us

    @property
    def until_us(self) -> int:
        """Return when its window ends."""
        return (self.index + 1) * self.window_us


def allowance_key(tenant: str) -> str:
    """Return the key whose partition's owner grants a tenant's allowances."""
    return f"cap\0{tenant}"
