"""Discovery on real sockets: a stand-in DNS server with faults, real scorers, and the real view and router."""

import asyncio
import base64
import tempfile
import time
import unittest
from pathlib import Path

from sagetrestle.lab.discovery import drains, silence
from sagetrestle.lab.dns import DnsStandIn
from sagetrestle.lab.fleet import reactor_here
from sagetrestle.membership.files import read_discovery
from sagetrestle.net.program.discovery import (
    DiscoveryConfig,
    DiscoveryError,
    MembershipHost,
    PublisherHost,
    load_discovery,
    build_registration,
)
from sagetrestle.net.protocol.dns_wire import Signer, tsig_key

SECRET = base64.b64encode(b"s" * 32).decode()
SERVICE = "_scorer._tcp.example.org"


class DnsCase(unittest.IsolatedAsyncioTestCase):
    """A stand-in DNS server, publishers and browsers in one event loop."""

    async def asyncSetUp(self):
        self.key = tsig_key("k.example.org", SECRET)
        self.server = await DnsStandIn(key=self.key).start()
        self.reactor = reactor_here()
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.lines, self.publishers, self.hosts = [], [], []

    async def asyncTearDown(self):
        for host in [*self.publishers, *self.hosts]:
            host.stop()
        self.server.close()

    def config(self, part, **fields):
        text = f'server = "127.0.0.1:{self.server.port}"\ndomain = "example.org"\n[{part}]\n'
        text += "".join(f"{name} = {str(value).lower()}\n" for name, value in fields.items())
        return DiscoveryConfig(read_discovery(text.encode()), self.folder, Signer(self.key))

    def publish(self, name, port=9, host="127.0.0.1", ahead=0.0, lease=30):
        config = self.config("publish", lease_s=lease)
        registration = build_registration(config, name, host, port, {"boot": int(time.time() * 1000)})
        publisher = PublisherHost(
            self.reactor, config, registration, self.lines.append, lambda: time.time() + ahead, len(name)
        )
        self.publishers.append(publisher)
        publisher.set_registered(True)
        return publisher

    def browse(self, **fields):
        host = MembershipHost(self.reactor, self.config("browse", **fields), self.lines.append, 1, lambda view: None)
        self.hosts.append(host)
        host.start()
        return host

    async def until(self, test, seconds=10.0):
        async with asyncio.timeout(6 * seconds):  # generous: it is for an event that never comes, not for a slow one
            while not test():
                await asyncio.sleep(0.01)


class BrowseTest(DnsCase):
    """Members found by browsing, with faults of the server and of the network."""

    def fill(self, count):
        for index in range(count):
            name = f"n{index}.{SERVICE}"
            self.server.put(SERVICE, "PTR", f"{name}.")
            self.server.put(name, "SRV", f"0 1 {9_000 + index} h{index}.example.org.")
            self.server.put(name, "TXT", '"boot=1"')
            self.server.put(f"h{index}.example.org", "A", "127.0.0.1")

    async def test_polling_finds_all_members_despite_truncation_loss_delay_forgery_and_errors(self):
        self.fill(60)  # more than fit into one datagram
        for fault in ({}, {"truncate": True}, {"loss": 0.2, "delay_s": 0.02}, {"forged": 3}, {"servfail": 0.3}):
            with self.subTest(fault):
                self.server.faults.__init__(no_push=True, **fault)
                host = self.browse(push=False, poll_ms=100)
                await self.until(lambda host=host: len(host.members.view.members) == 60)
                self.assertNotIn("evil", host.members.view.members)
                host.stop()

    async def test_a_compression_loop_or_an_outage_leaves_a_stale_view_until_the_server_recovers(self):
        self.fill(2)
        host = self.browse(push=False, poll_ms=100)
        await self.until(lambda: len(host.members.view.members) == 2)
        host.members.config = host.members.config.__class__(stale_after_us=500_000)
        for fault in ({"loop": True}, {"outage": True}):
            self.server.faults.__init__(**fault)
            await self.until(lambda: host.members.view.stale)
            self.assertEqual(2, len(host.members.view.members))
            self.server.faults.__init__()
            await self.until(lambda: not host.members.view.stale)

    async def test_changes_are_pushed_and_a_server_without_push_is_polled(self):
        self.fill(1)
        host = self.browse(push=True, poll_ms=60_000)
        await self.until(lambda: "changes are pushed" in self.lines)
        await self.until(lambda: len(host.members.view.members) == 1)
        self.fill(2)
        await self.until(lambda: len(host.members.view.members) == 2)
        self.server.faults.no_push = True
        other = self.browse(push=True, poll_ms=100)
        await self.until(lambda: len(other.members.view.members) == 2)
        self.server.put(SERVICE, "PTR", f"n9.{SERVICE}.")
        self.server.put(f"n9.{SERVICE}", "SRV", "0 1 9 h0.example.org.")
        await self.until(lambda: "n9" in other.members.view.members)

    async def test_the_saved_view_is_used_at_start_up_without_a_server(self):
        self.fill(3)
        host = self.browse(push=False, poll_ms=100, saved='"saved.json"')
        await self.until(lambda: (self.folder / "saved.json").exists())
        host.stop()
        self.server.faults.outage = True
        host = self.browse(push=False, poll_ms=100, saved='"saved.json"')
        self.assertEqual(["n0", "n1", "n2"], sorted(host.members.view.members))
        (self.folder / "saved.json").write_text("{")
        self.browse(push=False, saved='"saved.json"')
        self.assertTrue(any("the last view saved is not taken" in line for line in self.lines))


class PublishTest(DnsCase):
    """Registration and withdrawal, with faults of the server."""

    async def test_an_instance_is_registered_renewed_and_withdrawn_despite_lost_datagrams(self):
        self.server.faults.loss = 0.3
        publisher = self.publish("n1", lease=2)
        await self.until(lambda: publisher.machine.state.value == "registered")
        host = self.browse(push=False, poll_ms=100)
        await self.until(lambda: "n1" in host.members.view.members)
        await asyncio.sleep(2.3)  # longer than the lease
        self.assertIn("n1", host.members.view.members)
        publisher.set_registered(False)
        await self.until(
            lambda: "n1" not in host.members.view.members or host.members.view.members["n1"].state.value == "draining",
            2.0,
        )

    async def test_a_wrong_key_is_refused_and_retried_and_a_clock_skew_of_an_hour_is_corrected(self):
        self.server.key = tsig_key("k.example.org", base64.b64encode(b"x" * 32).decode())
        publisher = self.publish("n1")
        await self.until(lambda: any("registration failed, retrying in " in line for line in self.lines))
        self.assertEqual("registering", publisher.machine.state.value)
        self.server.key = self.key
        await self.until(lambda: publisher.machine.state.value == "registered")
        self.server.faults.clock_ahead_s = 3_600
        skewed_publisher = self.publish("n2")
        await self.until(lambda: skewed_publisher.machine.state.value == "registered")

    async def test_an_instance_killed_before_its_withdrawal_is_removed_when_its_lease_ends(self):
        publisher = self.publish("n1", lease=2)
        await self.until(lambda: publisher.machine.state.value == "registered")
        publisher.stop()
        host = self.browse(push=False, poll_ms=100)
        await self.until(lambda: "n1" in host.members.view.members)
        await self.until(lambda: self.server.counts.lapsed == 1)
        await self.until(lambda: "n1" not in host.members.view.eligible())

    async def test_an_unconfirmed_withdrawal_is_logged(self):
        self.server.faults.lose_withdrawals = True
        publisher = self.publish("n1")
        await self.until(lambda: publisher.machine.state.value == "registered")
        publisher.set_registered(False)
        await self.until(lambda: any("withdrawal not confirmed" in line for line in self.lines))


class ConfigTest(unittest.TestCase):
    """Errors in the operators' file and in its key file."""

    def test_an_error_names_the_file_and_the_field(self):
        with tempfile.TemporaryDirectory() as name:
            path = Path(name) / "deploy" / "discovery.toml"
            path.parent.mkdir()
            good = 'server = "127.0.0.1:53"\ndomain = "example.org"\n'
            for text, why in (
                ("x", "discovery.toml: can not be read"),
                (good + "[browse]\npoll_ms = 1", "browse.poll_ms"),
                (good + '[publish]\nkey_name = "k"\nkey_file = "none"', "publish.key_file"),
            ):
                path.write_text(text)
                with self.assertRaisesRegex(DiscoveryError, why):
                    load_discovery(path)
            path.write_text(good + "on = false")
            self.assertIsNone(load_discovery(path))


class FleetTest(unittest.IsolatedAsyncioTestCase):
    """Real scorers under load: short versions of benchmarks/discovery.py."""

    async def test_a_draining_scorer_gets_no_new_work_2_s_after_its_notice_and_no_work_is_lost(self):
        report = await drains(4, 5, rate=40, every_s=0.7, loss=0.05)
        self.assertEqual(5, len(report.after_notice_s))
        self.assertLess(max(report.after_notice_s), 2.0)
        self.assertEqual((0, 0), (report.lost, report.doubled))
        self.assertEqual(0, sum(counts["failed"] for counts in report.load.outcomes.values()))

    async def test_silent_scorers_get_little_work_during_a_dns_outage(self):
        report = await silence("router", 5, 1, rate=40, out_s=6.0)
        self.assertEqual(0, report.doubled)
        self.assertGreater(report.in_time, 0.9)
        self.assertLess(report.to_down, 30)
