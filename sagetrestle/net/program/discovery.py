"""Service discovery: registers a scorer in DNS, and keeps a view of all members for routers.

Imported only where ``deploy/discovery.toml`` turns discovery on.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from sagetrestle.membership import browser as browse
from sagetrestle.membership import publisher, state_machine
from sagetrestle.membership.files import (
    DiscoveryFile,
    DiscoveryFileError,
    parse_address,
    read_discovery,
    read_saved,
    read_static,
    write_saved,
)
from sagetrestle.membership.values import Source
from sagetrestle.membership.view import View
from sagetrestle.net.protocol import dns_push, dns_wire
from sagetrestle.net.transport.dns_client import DnsClient
from sagetrestle.net.transport.dns_push_client import PushClient
from sagetrestle.net.transport.probe import probe
from sagetrestle.store.files import replace_file

SAVE_INTERVAL_US = 5_000_000
TICK_INTERVAL_S = 0.05
RECORD_TYPES = {kind.value: kind for kind in browse.RecordType}


class DiscoveryError(ValueError):
    """An invalid file; the message names the file and the field."""


@dataclass(frozen=True)
class DiscoveryConfig:
    """The operators' file, the folder that its paths are relative to, and the key that signs updates."""

    file: DiscoveryFile
    root: Path
    signer: dns_wire.Signer | None = None

    @property
    def server(self) -> tuple[str, int]:
        """The DNS server's address and port."""
        return parse_address(self.file.server, "server")


def load_discovery(path: Path) -> DiscoveryConfig | None:
    """Read the operators' file and its key file; returns None if discovery is off. Raises DiscoveryError."""
    try:
        file = read_discovery(path.read_bytes())
        if file is None:
            return None
        root = path.parent.parent
        return DiscoveryConfig(file, root, _load_signer(file, root))
    except (DiscoveryFileError, OSError, ValueError) as error:
        raise DiscoveryError(f"{path.name}: {error}") from None


def _load_signer(file: DiscoveryFile, root: Path) -> dns_wire.Signer | None:
    if file.publish is None or not file.publish.key_file:
        return None
    try:
        secret = (root / file.publish.key_file).read_text().strip()
        return dns_wire.Signer(dns_wire.tsig_key(file.publish.key_name, secret, file.publish.key_algorithm))
    except (OSError, ValueError) as error:
        raise DiscoveryFileError(f"publish.key_file: {error}") from None


def build_registration(
    config: DiscoveryConfig, name: str, host: str, port: int, properties: dict[str, object]
) -> dns_wire.Registration:
    """Return an instance's registration, with ``properties`` in its TXT record beside the pairs set in the file."""
    row = config.file.publish
    assert row is not None
    instance = row.instance or name
    target = row.host or f"{instance.lower().replace(' ', '-')}.{config.file.domain}"
    pairs = dns_wire.validate_txt_pairs({"txtvers": 1, **properties, **row.text})
    return dns_wire.Registration(
        config.file.domain, config.file.name, instance, target, host, port, row.priority, row.weight, pairs
    )


class PublisherHost:
    """Runs a Publisher against one DNS server: sends its updates and feeds back the answers."""

    def __init__(
        self,
        reactor: Any,
        config: DiscoveryConfig,
        registration: dns_wire.Registration,
        log: Callable[[str], None],
        unix_s: Callable[[], float],
        seed: int,
    ) -> None:
        assert config.file.publish is not None
        self._reactor, self._registration, self._log, self._unix_s = reactor, registration, log, unix_s
        self._client = DnsClient(reactor, config.server)
        self._signer = config.signer
        terms = publisher.PublisherConfig(lease_us=config.file.publish.lease_s * 1_000_000)
        self.machine = publisher.Publisher(terms, seed)
        self._timer: Any = None

    def set_registered(self, on: bool) -> None:
        """Register the instance, or withdraw its registration, at once."""
        self._step(publisher.SetRegistered(on))

    def _step(self, event: publisher.PublisherEvent) -> None:
        for decision in self.machine.step(self._now(), event):
            if isinstance(decision, publisher.LogLine):
                self._log(decision.text)
            else:
                self._send(decision)
        self._schedule_timer()

    def _now(self) -> int:
        return int(self._reactor.seconds() * 1e6)

    def _send(self, send: publisher.SendUpdate) -> None:
        lease = send.lease_us // 1_000_000 if send.register else None
        terms = self.machine.config
        wait = (terms.update_timeout_us if send.register else terms.withdraw_timeout_us) / 1e6
        done = self._client.update(self._registration, lease, self._signer, int(self._unix_s()), max(wait, 0.2))
        done.addCallbacks(lambda answer: self._update_answered(send.number, answer), lambda _: None)

    def _update_answered(self, number: int, answer: dns_wire.UpdateAnswer) -> None:
        if answer.server_s is not None and self._signer is not None:
            # The clocks differ: sign with the server's time from now on (RFC 8945, 5.2.3).
            self._signer = self._signer._replace(clock_offset_s=answer.server_s - int(self._unix_s()))
        done = answer.rcode == "NOERROR"
        self._step(publisher.UpdateAnswered(number, done, answer.lease_s * 1_000_000, answer.rcode))

    def _schedule_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        due = self.machine.due
        self._timer = (
            None
            if due is None
            else self._reactor.callLater(max(0.0, due / 1e6 - self._reactor.seconds()), self._step, publisher.Tick())
        )

    def stop(self) -> None:
        """Cancel the timer, so that nothing more is sent."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()


class MembershipHost:
    """Keeps a view of all members by browsing and probing, and calls ``on_view`` with each new view.

    The sender of requests reports their outcomes with ``report_evidence``.
    """

    def __init__(
        self,
        reactor: Any,
        config: DiscoveryConfig,
        log: Callable[[str], None],
        seed: int,
        on_view: Callable[[View], None],
    ) -> None:
        row = config.file.browse
        assert row is not None
        self._reactor, self._config, self._browse_config, self._log, self._on_view = reactor, config, row, log, on_view
        self._client = DnsClient(reactor, config.server)
        self.browser = browse.Browser(config.file.name, browse.BrowserConfig(poll_interval_us=row.poll_ms * 1000), seed)
        terms = state_machine.MembershipConfig(probe_interval_us=row.probe_ms * 1000, max_suspected_share=row.most_out)
        self.members = state_machine.Membership(terms, self._now())
        names = [(config.file.name, "PTR")]
        self._push = (
            PushClient(reactor, config.server, names, self._push_state_changed, self._records_pushed)
            if row.push
            else None
        )
        self._subscribed: set[str] = set()
        self._timer: Any = None
        self._saved_at, self._unsaved = 0, False
        self._stopped = False

    def _now(self) -> int:
        return int(self._reactor.seconds() * 1e6)

    def start(self) -> None:
        """Load the saved and the static members, and start browsing."""
        for source, path, read in (
            (Source.SAVED, self._browse_config.saved, lambda data: (read_saved(data), ())),
            (Source.STATIC, self._browse_config.static, read_static),
        ):
            if path:
                self._read_file(source, self._config.root / path, read)
        if self._push is not None:
            self._push.start()
        self._tick()

    def _read_file(self, source: Source, path: Path, read: Callable[[bytes], Any]) -> None:
        try:
            instances, pinned = read(path.read_bytes())
        except FileNotFoundError:
            return
        except (DiscoveryFileError, OSError) as error:
            self._log(f"the {source.value} is not taken: {path.name}: {error}")
            return
        self._step_membership(state_machine.SourceListed(source, instances, pinned=pinned))

    def stop(self) -> None:
        """Stop browsing and probing."""
        self._stopped = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        if self._push is not None:
            self._push.stop()

    def report_evidence(self, event: state_machine.Event) -> None:
        """Pass the outcome of a call to the membership state machine."""
        self._step_membership(event)

    # Membership

    def _step_membership(self, event: state_machine.Event) -> None:
        for decision in self.members.step(self._now(), event):
            match decision:
                case state_machine.Probe(name, endpoint):
                    timeout = self.members.config.probe_timeout_us / 1e6
                    probe(self._reactor, name, endpoint, timeout).addCallback(self._step_membership)
                case state_machine.ViewChanged(view):
                    self._unsaved = True
                    self._on_view(view)
                case state_machine.ResyncSource():
                    self.browser.due = 0
                case state_machine.LogLine(text):
                    self._log(text)

    # Browsing

    def _step_browser(self, event: browse.BrowserEvent) -> None:
        for decision in self.browser.step(self._now(), event):
            match decision:
                case browse.Query(number, name, kind, stream):
                    self._client.ask(name, kind.value, stream).addCallbacks(
                        self._query_answered, self._query_failed, callbackArgs=(number,), errbackArgs=(number,)
                    )
                case browse.ServiceListed(instances, serial):
                    self._step_membership(state_machine.SourceListed(Source.RECORDS, instances, serial))
                case browse.InstancesChanged(now, gone):
                    self._step_membership(state_machine.SourceChanged(Source.RECORDS, now, gone))
                case browse.BrowseFailed():
                    self._step_membership(state_machine.SourceUnavailable(Source.RECORDS))

    def _query_answered(self, answer: dns_wire.Answer, number: int) -> None:
        good = answer.rcode in ("NOERROR", "NXDOMAIN")
        self._step_browser(
            browse.QueryAnswered(
                number, good, _convert_records(answer.records), answer.missing, answer.serial, answer.rcode
            )
        )

    def _query_failed(self, reason: Any, number: int) -> None:
        self._step_browser(browse.QueryAnswered(number, False, reason=reason.getErrorMessage()))

    def _push_state_changed(self, up: bool) -> None:
        self._log("changes are pushed" if up else "changes are not pushed: polling")
        self._step_browser(browse.PushStateChanged(up))

    def _records_pushed(self, changes: dns_push.Changes) -> None:
        self._step_browser(browse.RecordsPushed(_convert_records(changes.added), _convert_records(changes.removed)))

    # Time

    def _tick(self) -> None:
        if self._stopped:
            return
        self._step_browser(browse.Tick())
        self._step_membership(state_machine.Tick())
        if self._browse_config.saved and self._unsaved and self._now() - self._saved_at >= SAVE_INTERVAL_US:
            self._save()
        self._timer = self._reactor.callLater(TICK_INTERVAL_S, self._tick)

    def _save(self) -> None:
        """Save the view, unless it has no eligible member or was itself read from the saved file."""
        if not self.members.view.eligible() or self.members.sources.deciding_source() is Source.SAVED:
            return
        self._saved_at, self._unsaved = self._now(), False
        try:
            replace_file(
                self._config.root / self._browse_config.saved, write_saved(self.members.view.members.values()), 0o644
            )
        except OSError as error:
            self._log(f"the view is not saved: {error}")


def _convert_records(wire_records: tuple[dns_wire.WireRecord, ...]) -> tuple[browse.Record, ...]:
    """Convert records from the wire to the browser's type."""
    return tuple(
        browse.Record(
            record.name,
            RECORD_TYPES[record.kind],
            tuple(record.data.items()) if isinstance(record.data, dict) else record.data,
            record.ttl_s,
        )
        for record in wire_records
    )
