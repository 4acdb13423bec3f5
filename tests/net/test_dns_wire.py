"""Tests of the DNS messages: valid, forged and truncated ones."""

import contextlib
import struct
import unittest

import dns.message
import dns.name
import dns.rdata
import dns.rrset
from hypothesis import given
from hypothesis import strategies as st

from sagetrestle.net.protocol import dns_push, dns_wire
from sagetrestle.net.protocol.dns_wire import Registration, Signer, decode_answer, encode_question, tsig_key
from sagetrestle.net.protocol.errors import ProtocolError

SERVICE = "_scorer._tcp.example.org"
REGISTRATION = Registration(
    "example.org", SERVICE, "N 3", "n3.example.org", "10.0.0.3", 9090, 1, 2, (("boot", "7"), ("note", 'a "b" \\c'))
)
KEY = tsig_key("k.example.org", "c2VjcmV0LXNlY3JldC1zZWNyZXQ=")
NOW = 1_764_576_000


class AnswerTest(unittest.TestCase):
    """Questions and their answers."""

    def reply(self, id=7, name=SERVICE, kind="PTR"):
        return dns.message.make_response(dns.message.from_wire(encode_question(id, name, kind)))

    def test_answer_and_additional_records_are_decoded(self):
        reply = self.reply()
        for section, text in (
            (reply.answer, f"{SERVICE}. 5 IN PTR N3.{SERVICE}."),
            (reply.additional, f"N3.{SERVICE}. 5 IN SRV 1 2 90 H.example.org."),
            (reply.additional, f'n3.{SERVICE}. 5 IN TXT "Boot=7" "boot=8" "flag" "=x"'),
            (reply.additional, "h.example.org. 5 IN AAAA ::1"),
            (reply.authority, "example.org. 1 IN SOA a. b. 42 1 1 1 1"),
        ):
            name, ttl, _, kind, data = text.split(" ", 4)
            section.append(dns.rrset.from_text(name, int(ttl), "IN", kind, data))
        result = decode_answer(reply.to_wire(), 7, SERVICE, "PTR")
        self.assertEqual(42, result.serial)
        self.assertEqual(
            [f"n3.{SERVICE}", (1, 2, 90, "h.example.org"), {"boot": "7", "flag": ""}, "::1"],
            [item.data for item in result.records],
        )
        self.assertFalse(result.missing)

    def test_negative_answers_are_distinguished_from_failures(self):
        for rcode, missing in ((0, True), (3, True), (2, False), (5, False)):
            reply = self.reply()
            reply.set_rcode(rcode)
            self.assertEqual(missing, decode_answer(reply.to_wire(), 7, SERVICE, "PTR").missing)

    def test_an_answer_to_another_question_is_rejected(self):
        for reply in (self.reply(id=8), self.reply(name=f"x.{SERVICE}"), self.reply(kind="SRV")):
            with self.assertRaises(ProtocolError):
                decode_answer(reply.to_wire(), 7, SERVICE, "PTR")
        with self.assertRaises(ProtocolError):
            decode_answer(encode_question(7, SERVICE, "PTR"), 7, SERVICE, "PTR")

    def test_a_compression_loop_and_truncated_messages_raise_protocol_error(self):
        reply = self.reply()
        reply.answer.append(dns.rrset.from_text(f"{SERVICE}.", 5, "IN", "PTR", f"n3.{SERVICE}."))
        data = reply.to_wire()
        with self.assertRaises(ProtocolError):
            decode_answer(data[:12] + b"\xc0\x0c" + data[12:], 7, SERVICE, "PTR")
        for size in range(len(data)):
            with self.assertRaises(ProtocolError):
                decode_answer(data[:size], 7, SERVICE, "PTR")

    @given(st.binary(max_size=200))
    def test_arbitrary_bytes_decode_or_raise_protocol_error(self, data):
        for read in (
            lambda: decode_answer(data, 7, SERVICE, "PTR"),
            lambda: dns_push.decode(data),
            lambda: dns_wire.decode_update_answer(data, 7, None, b""),
        ):
            with contextlib.suppress(ProtocolError):
                read()


class UpdateTest(unittest.TestCase):
    """Signed updates with leases (RFC 2136, 8945 and 9664)."""

    def signed(self, lease_s=30, clock_offset_s=0):
        data, mac = dns_wire.sign(dns_wire.encode_update(9, REGISTRATION, lease_s), Signer(KEY, clock_offset_s), NOW)
        return data, mac

    def test_the_signature_of_an_update_is_valid(self):
        import time

        data, _ = dns_wire.sign(dns_wire.encode_update(9, REGISTRATION, 30), Signer(KEY), int(time.time()))
        result = dns.message.from_wire(data, keyring=KEY)
        self.assertEqual(struct.pack("!I", 30), result.options[0].to_wire())
        text = "\n".join(rrset.to_text() for rrset in result.update)
        for part in ("PTR N\\0323", "SRV 1 2 9090 n3.example.org.", '"boot=7"', "A 10.0.0.3"):
            self.assertIn(part, text)

    def test_a_withdrawal_deletes_all_that_was_registered(self):
        result = dns.message.from_wire(dns_wire.encode_update(9, REGISTRATION, None))
        self.assertEqual(3, len(result.update))
        self.assertTrue(all(rrset.deleting is not None for rrset in result.update))

    def test_answers_with_another_id_or_an_invalid_signature_are_rejected(self):
        data, mac = self.signed()
        reply = dns.message.make_response(dns.message.from_wire(data, keyring=False))
        with self.assertRaises(ProtocolError):
            dns_wire.decode_update_answer(reply.to_wire(), 8, None, b"")
        with self.assertRaises(ProtocolError):  # unsigned
            dns_wire.decode_update_answer(reply.to_wire(), 9, Signer(KEY), mac)
        reply.use_tsig(tsig_key("k.example.org", "b3RoZXItb3RoZXItb3RoZXI="))
        reply.request_mac = mac
        with self.assertRaises(ProtocolError):
            dns_wire.decode_update_answer(reply.to_wire(), 9, Signer(KEY), mac)

    def test_a_badtime_error_gives_the_time_of_the_server(self):
        data, mac = self.signed()
        reply = dns.message.make_response(dns.message.from_wire(data, keyring=False))
        reply.use_tsig(KEY, tsig_error=18, other_data=(NOW + 4_000).to_bytes(6, "big"))
        reply.request_mac = mac
        result = dns_wire.decode_update_answer(reply.to_wire(), 9, Signer(KEY), mac)
        self.assertEqual(("BADTIME", NOW + 4_000), (result.rcode, result.server_s))
        corrected, _ = self.signed(clock_offset_s=4_000)
        self.assertEqual(NOW + 4_000, dns.message.from_wire(corrected, keyring=False).tsig[0].time_signed)

    def test_txt_pairs_and_keys_are_validated(self):
        self.assertEqual((("a", "1"),), dns_wire.validate_txt_pairs({"a": 1}))
        for bad in ({"": 1}, {"a=b": 1}, {"a": "x" * 254}):
            with self.assertRaises(ValueError):
                dns_wire.validate_txt_pairs(bad)
        with self.assertRaises(ValueError):
            tsig_key("k", "not base64!")


class PushTest(unittest.TestCase):
    """DNS push notifications (RFC 8490 and 8765)."""

    def test_frames_are_decoded_from_chunks_of_any_size(self):
        data = dns_push.frame(b"abc") + dns_push.frame(b"") + dns_push.frame(b"de")
        for size in range(1, len(data)):
            frames = dns_push.FrameDecoder()
            result = [item for index in range(0, len(data), size) for item in frames.feed(data[index : index + size])]
            self.assertEqual([b"abc", b"", b"de"], result)

    def test_subscriptions_and_answers(self):
        self.assertEqual(
            dns_push.Subscribe(3, SERVICE, "PTR"), dns_push.decode(dns_push.encode_subscribe(3, SERVICE, "PTR"))
        )
        self.assertEqual(dns_push.Acknowledged(3, 4), dns_push.decode(dns_push.encode_acknowledged(3, 4)))
        self.assertEqual(dns_push.Other(1), dns_push.decode(dns_push.encode_keepalive(3, 1, 1)))

    def test_changes_list_added_and_removed_records(self):
        pointer = dns.rdata.from_text("IN", "PTR", f"n3.{SERVICE}.")
        result = dns_push.decode(dns_push.encode_changes([(SERVICE, 5, pointer)], [(SERVICE, pointer)]))
        self.assertEqual([f"n3.{SERVICE}"] * 2, [result.added[0].data, result.removed[0].data])
        emptied = dns.name.from_text(SERVICE).to_wire() + struct.pack("!HHIH", 12, 255, dns_push.REMOVE_ALL, 0)
        data = dns_push._message(0, False, 0, dns_push.PUSH, emptied)
        self.assertEqual(((SERVICE, "PTR"),), dns_push.decode(data).emptied)

    def test_truncated_changes_raise_protocol_error(self):
        pointer = dns.rdata.from_text("IN", "PTR", f"n3.{SERVICE}.")
        data = dns_push.encode_changes([(SERVICE, 5, pointer)], [])
        for size in range(len(data)):
            with self.assertRaises(ProtocolError):
                dns_push.decode(data[:size])
