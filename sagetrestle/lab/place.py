"""The emulated place: its classes, its settings, and the files that a scorer there starts from."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

HERE = "127.0.0.1"
WINDOW_US = 20_000_000


@dataclass(frozen=True)
class LabClass:
    """One class: mean work on one core, calls a run, share of the load; times in seconds."""

    name: str
    work_s: float
    calls: float
    share: float
    aim_s: float
    limit_s: float
    worth: float = 1.0
    charge: bool = False


CLASSES = (
    LabClass("report-view", 0.020, 1, 0.3, 0.9, 2.8),
    LabClass("quick-check", 0.020, 0, 0.3, 0.5, 1.5),
    LabClass("full-report", 0.035, 1, 0.2, 1.8, 6.0, worth=2.0),
    LabClass("paid-check", 0.035, 1, 0.2, 1.8, 5.0, worth=4.0, charge=True),
)


@dataclass(frozen=True)
class Place:
    """How large one emulated machine is, and what runs on it."""

    cores: int = 2
    memory_kb: float = 30_000.0
    classes: tuple[LabClass, ...] = CLASSES
    servers: int = 1
    window_us: int = WINDOW_US
    overload_multiple: float = 5.0  # runs on a core of a warm machine, at most

    @property
    def capacity(self) -> float:
        """Return the requests a second that the cores of one machine can do of the usual mix."""
        shares = sum(cls.share for cls in self.classes)
        return self.cores * shares / sum(cls.work_s * cls.share for cls in self.classes)

    def settings(self) -> dict[str, Any]:
        """Return the settings as a scorer is told them."""
        return {
            "classes": [self._class(cls) for cls in self.classes],
            "extra": {
                "cores": self.cores,
                "memory_kb": self.memory_kb,
                "below": "shared",
                "calls_out": 8.0,
                "class_calls": [cls.calls > 0 for cls in self.classes],
                "halt": "suspend",
                "key_kb": 20.0,
                "gauges": ["core_use", "on_cores", "heap_share", "links"],
                "keepalive_max": 30_000_000,
                "lingers": 200_000,
                "run_factor": 4.0,
                "senders": 3,
                "say": "window",
            },
            "servers": self.servers,
            "tick": 1_000,
            "counted_by": "work",
            "limits": {"retry_after": True, "max_retry_after": 1_000_000},
            "callers": {"marks_retry": True},
            "rules": {
                "cold_share": 0.3,
                "stop_sending_within": 2_000_000,
                "tip_after": 2_000_000,
                "tip_multiple": self.overload_multiple,
                "warm_within": 18_000_000,
            },
        }

    def _class(self, cls: LabClass) -> dict[str, Any]:
        told = {
            "name": cls.name,
            "aim": int(cls.aim_s * 1e6),
            "hard_limit": int(cls.limit_s * 1e6),
            "effect": "keyed" if cls.charge else "safe",
            "worth": cls.worth,
        }
        return told | ({"window": self.window_us, "late_share": 0.2} if cls.charge else {})


def write_files(
    folder: Path,
    name: str,
    settings: Mapping[str, Any],
    ports: Mapping[str, int],
    deploy: Mapping[str, str],
    limits: Mapping[str, float] | None = None,
    file: str = "config.json",
    over: Mapping[str, Any] | None = None,
) -> dict[str, Any]:
    """Write what a scorer starts from into a folder, and return what its configuration says.

    ``ports`` names those of kernel, ledger and roster on loopback; ``deploy`` the operators' files by name; ``over``
    is what the configuration says besides or instead.
    """
    told = {
        "name": name,
        "listen": f"{HERE}:0",
        "seed": "7",
        "stop_ms": 3000,
        "settings": dict(settings),
        "limits": dict(limits or {"cores": 1.0, "memory_mb": 64, "sockets": 384}),
    }
    told |= {peer: f"{HERE}:{port}" for peer, port in ports.items()}
    told |= over or {}
    (folder / file).write_text(json.dumps(told))
    (folder / "deploy").mkdir(exist_ok=True)
    for file, text in deploy.items():
        (folder / "deploy" / file).write_text(text)
    return told
