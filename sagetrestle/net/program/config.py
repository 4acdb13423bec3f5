"""What the platform tells a scorer, and what the operators' file says of the second front."""

from __future__ import annotations

import ipaddress
import json
import re
import tomllib
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

from sagetrestle.interface import DownstreamKind, Settings
from sagetrestle.net.program.limits import MIN_LIMITS, Limits, derive_bounds
from sagetrestle.net.routing.values import Address, BackendAddresses, Plan
from sagetrestle.wirehost import read_settings

if TYPE_CHECKING:
    from sagetrestle.net.program.discovery import DiscoveryConfig
    from sagetrestle.net.program.fleet import FleetConfig
    from sagetrestle.net.program.identity import IdentityConfig

STOP_NOTICE_DELAY_US = 100_000  # how late a notice may be heard, besides the 50 ms that the platform's rules leave
SCGI_KEYS = {"listen", "dns_listen", "domain", "instance", "held_kb"}


class ConfigError(Exception):
    """A configuration that can not be used; the text names the field."""


@dataclass(frozen=True)
class ScgiConfig:
    """Where the SCGI front listens, and how its service is announced."""

    listen: Address
    dns_listen: Address | None = None
    domain: str = "sagetrestle.internal"
    instance: str = "scorer"
    held_kb: float = 40.0


@dataclass(frozen=True)
class Config:
    """One scorer's place."""

    name: str
    listen: Address
    peers: BackendAddresses
    plan: Plan
    scgi: ScgiConfig | None = None
    identity: IdentityConfig | None = None
    scgis: Address | None = None  # the SCGI front with TLS, which identity.toml sets
    limits: Limits = MIN_LIMITS
    discovery: DiscoveryConfig | None = None
    fleet: FleetConfig | None = None
    management: Address | None = None  # the second address
    shared: Path | None = None  # the folder that two processes of this scorer share


# What a reload leaves as it is, by the names that the files have for it.
RESTART_FIELDS: dict[str, Callable[[Config], Any]] = {
    "name": lambda one: one.name,
    "listen": lambda one: one.listen,
    "seed": lambda one: one.plan.seed,
    "stop_ms": lambda one: one.plan.stop_us,
    "limits": lambda one: one.plan.bounds,
    "settings": lambda one: (one.plan.settings, one.plan.gauges),
    "scgi.toml": lambda one: one.scgi,
    "discovery.toml": lambda one: one.discovery,
    "fleet.toml": lambda one: one.fleet,
    "management": lambda one: one.management,
    "identity.toml": lambda one: (one.identity and one.identity.file, one.scgis),
}


def changed_restart_fields(old: Config, new: Config) -> tuple[str, ...]:
    """Name the fields that differ and take a restart to change."""
    return tuple(name for name, read in RESTART_FIELDS.items() if read(old) != read(new))


def read_config(
    env: Mapping[str, str],
    scgi_file: Path,
    identity_file: Path | None = None,
    discovery_file: Path | None = None,
    fleet_file: Path | None = None,
) -> Config:
    """Read the file that the environment names; name and address in the environment go first."""
    config = _read_platform_config(env, scgi_file)
    if identity_file is not None and identity_file.exists():
        config = with_identity(config, identity_file)
    if discovery_file is not None and discovery_file.exists():
        config = _with_discovery(config, discovery_file)
    if fleet_file is not None and fleet_file.exists():
        config = with_fleet(config, fleet_file)
    return config


def with_fleet(config: Config, path: Path) -> Config:
    """Add what the operators' file of the fleet says; its libraries are loaded only here."""
    try:
        from sagetrestle.net.program import fleet
    except ImportError as error:
        raise ConfigError(f"{path.name}: needs requirements-full.txt: {error}") from None
    try:
        return replace(config, fleet=fleet.load_fleet(path, config.name))
    except fleet.FleetFileError as error:
        raise ConfigError(str(error)) from None


def _with_discovery(config: Config, path: Path) -> Config:
    """Add what the operators' file of discovery says; its libraries are loaded only here."""
    try:
        from sagetrestle.net.program import discovery
    except ImportError as error:
        raise ConfigError(f"{path.name}: needs requirements-full.txt: {error}") from None
    try:
        return replace(config, discovery=discovery.load_discovery(path))
    except discovery.DiscoveryError as error:
        raise ConfigError(str(error)) from None


def with_identity(config: Config, path: Path) -> Config:
    """Add what the operators' file of identity says; its libraries are loaded only here."""
    try:
        from sagetrestle.net.program import identity
    except ImportError as error:
        raise ConfigError(f"{path.name}: needs requirements-full.txt: {error}") from None
    settings = config.plan.settings
    try:
        found = identity.load_identity(path, frozenset(cls.name for cls in settings.classes))
    except identity.IdentityError as error:
        raise ConfigError(str(error)) from None
    if found is None:
        return config
    tls, limits = found.file.tls, config.limits
    listen = tls and _read_loopback_address({"tls.listen": tls.listen}, "tls.listen", f"{path.name}: ")
    dns = config.scgi is not None and config.scgi.dns_listen is not None
    managed = config.management is not None
    bounds = derive_bounds(limits, config.scgi is not None, dns, listen is not None, managed)
    plan = replace(config.plan, settings=identity.with_tenants(settings, found), bounds=bounds)
    return replace(config, plan=plan, identity=found, scgis=listen)


def _read_platform_config(env: Mapping[str, str], scgi_file: Path) -> Config:
    """Read what the platform tells, and the second front's file."""
    path = env.get("ROUTER_CONFIG")
    if not path:
        raise ConfigError("ROUTER_CONFIG: not set")
    try:
        document = json.loads(Path(path).read_bytes())
    except (OSError, ValueError) as error:
        raise ConfigError(f"ROUTER_CONFIG: {error}") from None
    if not isinstance(document, dict):
        raise ConfigError("ROUTER_CONFIG: not a JSON object")
    name = env.get("ROUTER_NAME") or _read_text(document, "name")
    if env.get("ROUTER_LISTEN"):
        document["listen"] = env["ROUTER_LISTEN"]
    if env.get("ROUTER_MANAGEMENT"):
        document["management"] = env["ROUTER_MANAGEMENT"]
    management = _read_address(document, "management") if "management" in document else None
    listen, kernel, roster = (_read_address(document, field) for field in ("listen", "kernel", "roster"))
    scgi = read_scgi(scgi_file, name)
    plan = _read_plan(document, scgi, management is not None)
    peers = BackendAddresses(kernel, _read_ledger_address(document, plan.settings), roster)
    return Config(
        name,
        listen,
        peers,
        plan,
        scgi,
        limits=_read_limits(document),
        management=management,
        shared=Path(env["TMPDIR"]) if management and env.get("TMPDIR") else None,
    )


def read_scgi(path: Path, name: str) -> ScgiConfig | None:
    """Read the second front's file; without the file or its ``listen`` the front is off."""
    try:
        document = tomllib.loads(path.read_text())
    except FileNotFoundError:
        return None
    except (OSError, ValueError) as error:
        raise ConfigError(f"scgi.toml: {error}") from None
    if unknown := sorted(set(document) - SCGI_KEYS):
        raise ConfigError(f"scgi.toml: {unknown[0]}: unknown field")
    if "listen" not in document:
        return None
    dns = _read_loopback_address(document, "dns_listen") if "dns_listen" in document else None
    held_kb = document.get("held_kb", 40.0)
    if not isinstance(held_kb, (int, float)) or not 0 < held_kb < 2000:
        raise ConfigError("scgi.toml: held_kb: must be a number above 0 and under 2,000")
    domain, instance = str(document.get("domain", ScgiConfig.domain)), str(document.get("instance", name))
    if not re.fullmatch(r"[a-z0-9-]{1,63}(\.[a-z0-9-]{1,63}){0,5}", domain):
        raise ConfigError("scgi.toml: domain: not a domain name")
    if not re.fullmatch(r"[A-Za-z0-9 _-]{1,63}", instance):
        raise ConfigError("scgi.toml: instance: not one label")
    return ScgiConfig(_read_loopback_address(document, "listen"), dns, domain, instance, float(held_kb))


def _read_loopback_address(document: dict[str, Any], name: str, where: str = "scgi.toml: ") -> Address:
    """Read an address of the second front, which listens on loopback only."""
    host, port = _read_address(document, name, where)
    if not ipaddress.ip_address(host).is_loopback:
        raise ConfigError(f"{where}{name}: not a loopback address")
    return host, port


def _read_limits(document: dict[str, Any]) -> Limits:
    """Read what the platform lets the process have."""
    values = document.get("limits")
    if not isinstance(values, dict):
        raise ConfigError("limits: missing or not an object")
    for name, minimum in MIN_LIMITS._asdict().items():
        value = values.get(name)
        if not isinstance(value, (int, float)) or isinstance(value, bool) or not minimum <= value < 1e9:
            raise ConfigError(f"limits: {name}: missing or not a number of {minimum:g} or more")
    return Limits(int(values["sockets"]), float(values["memory_mb"]))


def _read_plan(document: dict[str, Any], scgi: ScgiConfig | None, managed: bool) -> Plan:
    params = document.get("settings")
    if not isinstance(params, dict):
        raise ConfigError("settings: missing or not an object")
    stop_ms = document.get("stop_ms")
    if not isinstance(stop_ms, (int, float)) or not stop_ms > 0:
        raise ConfigError("stop_ms: missing or not a number above 0")
    try:
        seed = int(str(document.get("seed") or "0"), 16)
    except ValueError:
        raise ConfigError("seed: not a hexadecimal number") from None
    try:
        settings = read_settings(params)
    except KeyError as error:
        raise ConfigError(f"settings: {error}: missing or unknown") from None
    except (ValueError, TypeError, AttributeError) as error:
        raise ConfigError(f"settings: {error}") from None
    # The grace runs from the notice, which a busy process hears late: what came past it must not be taken for in time.
    settings = replace(
        settings, drain_grace_us=settings.drain_grace_us - min(STOP_NOTICE_DELAY_US, settings.drain_grace_us // 10)
    )
    gauges = (params.get("extra") or {}).get("gauges") or ()
    dns = scgi is not None and scgi.dns_listen is not None
    bounds = derive_bounds(_read_limits(document), scgi is not None, dns, managed=managed)
    return Plan(settings, int(stop_ms * 1000), bounds, tuple(str(one) for one in gauges), seed, managed)


def _read_ledger_address(document: dict[str, Any], settings: Settings) -> Address | None:
    """Read where calls go; a site of which no class calls has no ledger, and names none."""
    calls = settings.downstream is not DownstreamKind.NONE and any(cls.calls for cls in settings.classes)
    return _read_address(document, "ledger") if calls or document.get("ledger") is not None else None


def _read_text(document: dict[str, Any], name: str) -> str:
    value = document.get(name)
    if not isinstance(value, str) or not value:
        raise ConfigError(f"{name}: missing or not text")
    return value


def _read_address(document: dict[str, Any], name: str, where: str = "") -> Address:
    """Read HOST:PORT, the host as a number: there is no DNS."""
    host, _, port = str(document.get(name) or "").rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise ConfigError(f"{where}{name}: missing or not ADDRESS:PORT") from None
    if not port.isdecimal() or not 0 <= int(port) < 65536:
        raise ConfigError(f"{where}{name}: not a port: {port!r}")
    return host, int(port)
