"""Tests of the protocol decoders: streams split anywhere, limits, and malformed input."""

import random
import unittest

from sagetrestle.net.protocol import kernel, ledger, roster, scgi, thrift
from sagetrestle.net.protocol.errors import Fault, ProtocolError
from sagetrestle.net.protocol.thrift import Kind, Type

FIELDS = {
    "c": "paid-check",
    "i": "0123456789abcdef",
    "s": "1764576000123",
    "f": "4",
    "h": "12.50",
    "m": "24.5",
    "p": "0.625",
    "k": "5c0f",
}


def handle(seqid=1, body=b"\0\xff", **over):
    pairs = {key: value for key, value in (FIELDS | over).items() if value is not None}
    fields = thrift.field(Type.MAP, 1, thrift.text_map(pairs))
    fields += thrift.field(Type.STRING, 2, thrift.string(body))
    return thrift.encode_message("handle", Kind.CALL, seqid, fields)


def read(frame):
    return thrift.read_call(thrift.decode_message(frame))


STREAMS = {
    "thrift": (thrift.FrameDecoder, handle() + thrift.encode_leaving() + handle(2), 3),
    "kernel": (
        kernel.NoticeDecoder,
        b'{"msg":"INFO","cookie":"a","stats":[1,null]}\n'
        b'{"msg":"REAP","serial":1,"call":"x","how":"done","duration":3,"blob":"AAE="}\n',
        2,
    ),
    "ledger": (ledger.ReplyDecoder, b"0123456789abcdef posted 4\r\n\r\n\r\n\r\n0123456789abcdef moot\r\n", 2),
}


class IncrementalTest(unittest.TestCase):
    """A stream decodes to the same values however it is split."""

    def test_a_stream_fed_byte_by_byte_decodes_as_if_fed_at_once(self):
        for name, (decoder, data, count) in STREAMS.items():
            with self.subTest(name):
                expected, incremental = list(decoder().feed(data)), decoder()
                self.assertEqual(count, len(expected))
                self.assertEqual(
                    expected, [item for index in range(len(data)) for item in incremental.feed(data[index : index + 1])]
                )

    def test_scgi_fed_byte_by_byte(self):
        data, decoder = scgi.encode_request({"PATH_INFO": "/a"}, b"\0body"), scgi.RequestDecoder()
        result = [decoder.feed(data[index : index + 1]) for index in range(len(data))]
        self.assertEqual([None] * (len(data) - 1), result[:-1])
        self.assertEqual((b"\0body", "/a"), (result[-1].body, result[-1].headers["PATH_INFO"]))

    def test_damaged_input_raises_protocol_error_or_decodes(self):
        rng = random.Random(11)
        for name, (decoder, data, _) in STREAMS.items():
            for _ in range(400):
                damaged = bytearray(data)
                for _ in range(rng.randint(1, 4)):
                    damaged[rng.randrange(len(damaged))] = rng.randrange(256)
                with self.subTest(name, data=bytes(damaged)):
                    try:
                        result = list(decoder().feed(bytes(damaged)))
                        self.assertIsInstance([read(item) for item in result] if name == "thrift" else result, list)
                    except ProtocolError as error:
                        self.assertIn(error.fault, Fault)


class ThriftTest(unittest.TestCase):
    """The Thrift binary protocol and the service ``Front``."""

    def test_all_fields_of_a_request_are_decoded(self):
        (frame,) = thrift.FrameDecoder().feed(handle(7))
        result = read(frame)
        expected = (7, "paid-check", 1764576000123, 4, False, 12.5, 24.5, 0.625, "5c0f", None, b"\0\xff")
        self.assertEqual(
            expected,
            (
                result.seqid,
                result.class_name,
                result.stamp_ms,
                result.caller,
                result.retry,
                result.hint_ms,
                result.held_kb,
                result.rank,
                result.key,
                result.subject,
                result.body,
            ),
        )

    def test_the_time_that_the_caller_waits_may_be_absent(self):
        for value, expected in ((None, None), ("480", 480.0), ("0", 0.0), ("12.5", 12.5), ("2147483647", 2147483647.0)):
            with self.subTest(value):
                self.assertEqual(expected, read(handle(d=value)[4:]).timeout_ms)

    def test_the_error_names_the_invalid_field(self):
        for name, value in (
            ("i", "xyz"),
            ("s", "-1"),
            ("h", "nan"),
            ("m", "inf"),
            ("f", ""),
            ("c", None),
            ("k", "x" * 129),
            ("m", "0"),
            ("m", "2000"),
            ("m", None),
            ("p", "1"),
            ("p", "-0.1"),
            ("h", "1e9"),
            ("f", str(2**31)),
            ("i", None),
            ("r", "2"),
            ("d", ""),
            ("d", "-1"),
            ("d", "nan"),
            ("d", "soon"),
        ):
            with self.subTest(name):
                result = read(handle(**{name: value})[4:])
                self.assertIsInstance(result, thrift.BadFields)
                self.assertIn(f"'{name}'", result.detail)

    def test_a_request_without_a_body_is_rejected(self):
        fields = thrift.field(Type.MAP, 1, thrift.text_map(FIELDS))
        result = read(thrift.encode_message("handle", Kind.CALL, 1, fields)[4:])
        self.assertEqual(thrift.BadFields(1, "no body"), result)

    def test_body_and_frame_sizes_are_limited(self):
        for frame in (handle(body=b"x" * 2049), b"\x7f\xff\xff\xff"):
            with self.assertRaises(ProtocolError) as caught:
                [read(item) for item in thrift.FrameDecoder().feed(frame)]
            self.assertIs(Fault.TOO_LARGE, caught.exception.fault)

    def test_nesting_depth_and_container_sizes_are_limited(self):
        deeply_nested = thrift.field(Type.STRUCT, 1, b"") * 40
        large_list = thrift.field(Type.LIST, 1, b"\x02\x7f\xff\xff\xff")
        for fields in (deeply_nested, large_list):
            with self.assertRaises(ProtocolError):
                thrift.decode_message(thrift.encode_message("handle", Kind.CALL, 1, fields)[4:])

    def test_unknown_fields_and_methods_are_skipped(self):
        numbers = b"\x08\0\0\0\x01\0\0\0\x05"
        extra = thrift.field(Type.DOUBLE, 9, bytes(8)) + thrift.field(Type.SET, 8, numbers)
        result = read(thrift.encode_message("sing", Kind.CALL, 3, extra)[4:])
        self.assertEqual(thrift.UnknownMethod(3, "sing", False), result)


class ScgiTest(unittest.TestCase):
    """The SCGI decoder is strict about the netstring and its headers."""

    def test_malformed_requests_are_rejected(self):
        headers = b"CONTENT_LENGTH\x000\x00SCGI\x001\x00"
        for data in (
            b"x",
            b"012:",
            b":,",
            b"99999:",
            b"25:" + headers + b"XX",
            b"123456789",
            b"23:SCGI\x001\x00CONTENT_LENGTH\x000\x00,",
            b"25:CONTENT_LENGTH\x0001\x00SCGI\x001\x00,",
            b"24:CONTENT_LENGTH\x000\x00SCGI\x002\x00,",
            b"17:CONTENT_LENGTH\x000\x00,",
            b"31:" + headers + b"SCGI\x001\x00,",
            b"24:" + headers + b",tail",
        ):
            with self.subTest(data), self.assertRaises(ProtocolError):
                scgi.RequestDecoder().feed(data)

    def test_an_empty_body_is_accepted_and_sizes_are_limited(self):
        self.assertEqual(b"", scgi.RequestDecoder().feed(b"24:CONTENT_LENGTH\x000\x00SCGI\x001\x00,").body)
        for data in (b"8193:", b"27:CONTENT_LENGTH\x002049\x00SCGI\x001\x00,"):
            with self.assertRaises(ProtocolError) as caught:
                scgi.RequestDecoder().feed(data)
            self.assertIs(Fault.TOO_LARGE, caught.exception.fault)


class KernelLedgerRosterTest(unittest.TestCase):
    """The protocols of the kernel, the ledger and the roster."""

    def test_malformed_kernel_notices_are_rejected_and_unknown_ones_accepted(self):
        for line in (
            b"[]",
            b"{}",
            b"null",
            b'{"msg":"REAP","serial":1,"call":"x","how":"odd"}',
            b'{"msg":"IOREQ","serial":1,"call":"x","blob":"*"}',
        ):
            with self.subTest(line), self.assertRaises(ProtocolError):
                kernel.decode_notice(line)
        self.assertEqual(kernel.Unknown("NEWS", 4), kernel.decode_notice(b'{"msg":"NEWS","serial":4}'))
        with self.assertRaises(ProtocolError):
            kernel.NoticeDecoder().feed(b"x" * (kernel.MAX_LINE + 1))

    def test_malformed_ledger_replies_are_rejected(self):
        for data in (
            b"x\r\n",
            b"0123456789abcdef sung\r\n",
            b"0123456789abcdef posted\r\n",
            b"0123456789abcdef moot 3\r\n",
            b"0123456789abcdef posted 1\r\nabc",
            b"x" * 300,
            b"0123456789abcdef posted 999999\r\n",
        ):
            with self.subTest(data), self.assertRaises(ProtocolError):
                list(ledger.ReplyDecoder().feed(data))

    def test_roster_reports(self):
        self.assertEqual(b"HERE n3 off", roster.encode_report("n3", False))
        self.assertEqual(("n3", True), roster.decode_report(b"HERE n3 on"))
        with self.assertRaises(ProtocolError):
            roster.decode_report(b"HERE n3")
