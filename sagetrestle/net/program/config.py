"""Reads the platform's configuration of a scorer and the operators' files beside it."""

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

# How late a busy process may notice the stop signal, beyond the 50 ms that the platform's rules allow.
STOP_NOTICE_DELAY_US = 100_000
SCGI_KEYS = {"listen", "dns_listen", "domain", "instance", "held_kb"}


class ConfigError(Exception):
    """An invalid configuration; the message names the field."""


@dataclass(frozen=True)
class ScgiConfig:
    """Where the SCGI front listens, how its service is announced in DNS, and how much a held request may take."""

    listen: Address
    dns_listen: Address | None = None
    domain: str = "sagetrestle.internal"
    instance: str = "scorer"
    held_kb: float = 40.0


@dataclass(frozen=True)
class Config:
    """The whole configuration of one scorer."""

    name: str
    listen: Address
    peers: BackendAddresses
    plan: Plan
    scgi: ScgiConfig | None = None
    identity: IdentityConfig | None = None
    scgis: Address | None = None  # the SCGI front with TLS; set by identity.toml
    limits: Limits = MIN_LIMITS
    discovery: DiscoveryConfig | None = None
    fleet: FleetConfig | None = None
    management: Address | None = None  # where the management front listens
    shared: Path | None = None  # the folder shared by the old and the new process of an upgrade


# Fields that a reload can not change, by the name of the field or file that operators know.
RESTART_FIELDS: dict[str, Callable[[Config], Any]] = {
    "name": lambda config: config.name,
    "listen": lambda config: config.listen,
    "seed": lambda config: config.plan.seed,
    "stop_ms": lambda config: config.plan.stop_us,
    "limits": lambda config: config.plan.bounds,
    "settings": lambda config: (config.plan.settings, config.plan.gauges),
    "scgi.toml": lambda config: config.scgi,
    "discovery.toml": lambda config: config.discovery,
    "fleet.toml": lambda config: config.fleet,
    "management": lambda config: config.management,
    "identity.toml": lambda config: (config.identity and config.identity.file, config.scgis),
}


def changed_restart_fields(old: Config, new: Config) -> tuple[str, ...]:
    """Return the names of the changed fields that need a restart to take effect."""
    return tuple(name for name, read in RESTART_FIELDS.items() if read(old) != read(new))


def read_config(
    env: Mapping[str, str],
    scgi_file: Path,
    identity_file: Path | None = None,
    discovery_file: Path | None = None,
    fleet_file: Path | None = None,
) -> Config:
    """Read the file named by ROUTER_CONFIG and the operators' files. Raises ConfigError.

    The name and the addresses set in the environment take precedence.
    """
    config = _read_platform_config(env, scgi_file)
    if identity_file is not None and identity_file.exists():
        config = with_identity(config, identity_file)
    if discovery_file is not None and discovery_file.exists():
        config = _with_discovery(config, discovery_file)
    if fleet_file is not None and fleet_file.exists():
        config = with_fleet(config, fleet_file)
    return config


def with_fleet(config: Config, path: Path) -> Config:
    """Add the fleet's configuration from its file; its modules are imported only here. Raises ConfigError."""
    try:
        from sagetrestle.net.program import fleet
    except ImportError as error:
        raise ConfigError(f"{path.name}: needs requirements-full.txt: {error}") from None
    try:
        return replace(config, fleet=fleet.load_fleet(path, config.name))
    except fleet.FleetFileError as error:
        raise ConfigError(str(error)) from None


def _with_discovery(config: Config, path: Path) -> Config:
    """Add the discovery configuration from its file; its modules are imported only here. Raises ConfigError."""
    try:
        from sagetrestle.net.program import discovery
    except ImportError as error:
        raise ConfigError(f"{path.name}: needs requirements-full.txt: {error}") from None
    try:
        return replace(config, discovery=discovery.load_discovery(path))
    except discovery.DiscoveryError as error:
        raise ConfigError(str(error)) from None


def with_identity(config: Config, path: Path) -> Config:
    """Add the identity configuration from its file; its modules are imported only here. Raises ConfigError."""
    try:
        from sagetrestle.net.program import identity
    except ImportError as error:
        raise ConfigError(f"{path.name}: needs requirements-full.txt: {error}") from None
    settings = config.plan.settings
    try:
        identity_config = identity.load_identity(
            path, frozenset(request_class.name for request_class in settings.classes)
        )
    except identity.IdentityError as error:
        raise ConfigError(str(error)) from None
    if identity_config is None:
        return config
    tls, limits = identity_config.file.tls, config.limits
    listen = tls and _read_loopback_address({"tls.listen": tls.listen}, "tls.listen", f"{path.name}: ")
    dns = config.scgi is not None and config.scgi.dns_listen is not None
    managed = config.management is not None
    bounds = derive_bounds(limits, config.scgi is not None, dns, listen is not None, managed)
    plan = replace(config.plan, settings=identity.with_tenants(settings, identity_config), bounds=bounds)
    return replace(config, plan=plan, identity=identity_config, scgis=listen)


def _read_platform_config(env: Mapping[str, str], scgi_file: Path) -> Config:
    """Read the platform's configuration and the SCGI front's file."""
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
    """Read the SCGI front's file; returns None if the file or its ``listen`` is missing, which turns the front off."""
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
    """Read an address that must be a loopback address, as all addresses of the SCGI fronts must."""
    host, port = _read_address(document, name, where)
    if not ipaddress.ip_address(host).is_loopback:
        raise ConfigError(f"{where}{name}: not a loopback address")
    return host, port


def _read_limits(document: dict[str, Any]) -> Limits:
    """Read the platform's limits on sockets and memory."""
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
    # The grace period starts when the notice is sent, but a busy process notices it late. The period is shortened so
    # that requests that arrive after its real end do not count as in time.
    settings = replace(
        settings, drain_grace_us=settings.drain_grace_us - min(STOP_NOTICE_DELAY_US, settings.drain_grace_us // 10)
    )
    gauges = (params.get("extra") or {}).get("gauges") or ()
    dns = scgi is not None and scgi.dns_listen is not None
    bounds = derive_bounds(_read_limits(document), scgi is not None, dns, managed=managed)
    return Plan(settings, int(stop_ms * 1000), bounds, tuple(str(gauge) for gauge in gauges), seed, managed)


def _read_ledger_address(document: dict[str, Any], settings: Settings) -> Address | None:
    """Read the ledger's address; it may be missing where no request class makes calls."""
    calls = settings.downstream is not DownstreamKind.NONE and any(
        request_class.calls for request_class in settings.classes
    )
    return _read_address(document, "ledger") if calls or document.get("ledger") is not None else None


def _read_text(document: dict[str, Any], name: str) -> str:
    value = document.get(name)
    if not isinstance(value, str) or not value:
        raise ConfigError(f"{name}: missing or not text")
    return value


def _read_address(document: dict[str, Any], name: str, where: str = "") -> Address:
    """Read ADDRESS:PORT; the host must be an IP address, since names are not resolved."""
    host, _, port = str(document.get(name) or "").rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise ConfigError(f"{where}{name}: missing or not ADDRESS:PORT") from None
    if not port.isdecimal() or not 0 <= int(port) < 65536:
        raise ConfigError(f"{where}{name}: not a port: {port!r}")
    return host, int(port)
