"""All readers of bytes that other programs write."""

import random
import unittest
import unittest.mock
import zlib

import msgspec
from hypothesis import given, settings, strategies

from jasminerelay import (
    backends,
    explain,
    foreignbytes,
    modelrequests,
    peerlink,
    peermessages,
    placements,
    validation,
)
from jasminerelay.addresses import split_address
from jasminerelay.errors import (
    BadRequestError,
    ForeignDataError,
    StoreError,
)
from jasminerelay.httpclient import HttpResponse
from jasminerelay.manifestmanager import ManifestManager
from jasminerelay.metrics import Counters
from jasminerelay.platform import decoding, headers, storeclient, tables
from jasminerelay.resume import Signer
from jasminerelay.schema.messages import StoreSnapshot
from jasminerelay.schema.settings import Statsd, Timing
from jasminerelay.sse import Event
from jasminerelay.store import Row
from tests.test_serverrows import ENTRY, JSON

FUZZ = settings(max_examples=300, derandomize=True, deadline=None)
MAX_MESSAGE_CHARS = 400
LEVELS = (1, 50, 101, 500, 900, 1100, 5000, 100_000)
TAGS = tuple(bytes([number]) for number in range(13))

JSON_READERS = {
    "configuration": decoding.catalog,
    "server": lambda data: decoding.server("a", data),
    "instance": tables._decode_instance,
    "lease": tables._read_lease,
    "report": tables._read_counts,
    "crash": tables._read_blocked_request,
    "store": storeclient._read_response,
    "move": headers._read_move_reply,
    "load": backends._read_load,
    "cache events": backends._read_cache_events,
    "frame": lambda data: backends._parse_chunk(Event(b"1", data), "a"),
    "state": placements._read_state,
    "any value": foreignbytes.json_value,
}
MSGPACK_READERS = {
    "datagram": peermessages.decode,
    "snapshot": lambda data: peerlink.decompressed(
        peerlink._decode_snapshot(data)
    ),
}


def nested_json(levels: int, field: str) -> list[bytes]:
    """Returns documents with lists and objects nested in a field."""
    name = msgspec.json.encode(field)
    return [
        b"{" + name + b":" + b"[" * levels,
        b"{" + name + b":" + b"[" * levels + b"]" * levels + b"}",
        b"{" + name + b":" + b'{"a":' * levels,
        b"[" * levels + b"]" * levels,
    ]


def nested_msgpack(levels: int) -> list[bytes]:
    """Returns values with lists and maps nested in an unknown field."""
    return [
        b"\x81\xa1x" + b"\x91" * levels + b"\xc0",
        b"\x81\xa1x" + b"\x81\xa1x" * levels + b"\xc0",
        b"\x91" * levels + b"\xc0",
    ]


class AnyBytesTest(unittest.TestCase):
    """Each reader returns a value or raises the one error."""

    def check(self, name: str, read, data: bytes) -> None:
        """Checks what a reader makes of some bytes."""
        try:
            read(data)
        except ForeignDataError as exc:
            self.assertLess(len(str(exc)), MAX_MESSAGE_CHARS, name)
            self.assertTrue(str(exc).isprintable(), name)
            self.assertIn("correct or remove", str(exc), name)
        except ValueError as exc:
            # A frame's id is read as numbers are; its text is bounded, too.
            self.assertEqual(name, "frame")
            self.assertLess(len(str(exc)), MAX_MESSAGE_CHARS)

    def check_all(self, data: bytes) -> None:
        """Checks what all readers make of some bytes."""
        for name, read in JSON_READERS.items():
            self.check(name, read, data)
        for name, read in MSGPACK_READERS.items():
            self.check(name, read, data)
        for tag in TAGS:
            self.check("datagram", peermessages.decode, tag + data)

    def test_nested(self) -> None:
        # Guards against a reader that deep nesting ends.
        for levels in LEVELS:
            for field in ("x", "backend", "rows", "peers", "data"):
                for data in nested_json(levels, field):
                    self.check_all(data)
            for data in nested_msgpack(levels):
                self.check_all(data)

    def test_large_numbers(self) -> None:
        # Guards against a reader that a number of many digits ends.
        for digits in (16, 19, 20, 40, 400, 4301, 100_000):
            for field in (*ENTRY, "version", "nowMs", "schemaVersion"):
                for sign in (b"", b"-", b"0.", b"1e"):
                    number = sign + b"9" * digits
                    name = msgspec.json.encode(field)
                    self.check_all(b"{" + name + b":" + number + b"}")

    @FUZZ
    @given(strategies.binary(max_size=200))
    def test_drawn_bytes(self, data: bytes) -> None:
        # Guards against any other error of a reader.
        self.check_all(data)

    @FUZZ
    @given(
        strategies.dictionaries(
            strategies.sampled_from(
                [*ENTRY, "peers", "rows", "row", "at_ms", "servers", "handle"]
            )
            | strategies.text(max_size=8),
            JSON,
        )
    )
    def test_drawn_documents(self, value: dict) -> None:
        # Guards against any other error about a document of odd values.
        self.check_all(msgspec.json.encode(value))
        try:
            packed = msgspec.msgpack.encode(value)
        except OverflowError:
            # MessagePack holds no whole number of more than 64 bits.
            return
        self.check_all(packed)

    @FUZZ
    @given(strategies.sampled_from(LEVELS), strategies.binary(max_size=40))
    def test_drawn_nesting(self, levels: int, data: bytes) -> None:
        # Guards against an error that comes with what is nested.
        for opening in (b"[", b'{"a":', b"\x91", b"\x81\xa1x"):
            self.check_all(opening * levels + data)
            self.check_all(b'{"x":' + opening * levels + data)

    def test_key_that_cannot_be_hashed(self) -> None:
        # Guards against a TypeError of a map whose key is a map.
        read = foreignbytes.msgpack_reader(object)
        with self.assertRaises(ForeignDataError):
            read(b"\x81\x81\x01\x01\x01")


class ForeignTextTest(unittest.TestCase):
    """What messages and names hold of foreign text."""

    @FUZZ
    @given(strategies.text(max_size=600))
    def test_shown(self, text: str) -> None:
        # Guards against log lines without end or with control characters.
        found = foreignbytes.shown(text)
        self.assertTrue(found.isprintable())
        self.assertLessEqual(len(found), foreignbytes.SHOWN_CHARS + 3)

    def test_unknown_literal_is_cut(self) -> None:
        # Guards against a message with the whole of a value.
        with self.assertRaises(ForeignDataError) as caught:
            decoding.server(
                "a", msgspec.json.encode({**ENTRY, "phase": "x\n" * 100_000})
            )
        self.assertLess(len(str(caught.exception)), MAX_MESSAGE_CHARS)

    def test_nested_value(self) -> None:
        # Guards against a value that can be read but not encoded again, as a
        # frame of an engine that nests almost as deeply as can be read.
        levels = foreignbytes.MAX_NESTING
        foreignbytes.json_value(b"[" * levels + b"]" * levels)
        foreignbytes.json_value(b"[" + b"[]," * 500 + b"[]]")
        for over in (levels + 1, 450):
            for opening, closing in ((b"[", b"]"), (b'{"a":', b"}")):
                data = opening * over + b"1" + closing * over
                with self.assertRaises(ForeignDataError):
                    foreignbytes.json_value(data)

    def test_text(self) -> None:
        # Guards against a manifest that is no text and ends the daemon.
        with self.assertRaises(ForeignDataError):
            foreignbytes.text(b"\xff")
        self.assertEqual(foreignbytes.text(b"a"), "a")


class OtherReadersTest(unittest.IsolatedAsyncioTestCase):
    """Readers with an error of their own for their callers."""

    def test_answer_of_the_store(self) -> None:
        # Guards against a store whose answer ends the task that asked.
        for data in (b'{"x":' + b"[" * 100_000, b"\xff", b'{"rows":7}'):
            with self.assertRaises(StoreError):
                storeclient._decode(HttpResponse(200, {}, data))

    def test_value_of_a_row(self) -> None:
        # Guards against a row of the own interface that ends its reader.
        value: list = []
        for _ in range(5000):
            value = [value]
        for kind in (list[list], dict, int):
            row = Row("k", 1, value)
            if kind == list[list]:
                continue
            with self.assertRaises(StoreError):
                row.value_as(kind)

    def test_body_of_a_caller(self) -> None:
        # Guards against a body that ends more than its request.
        for data in (b'{"x":' + b"[" * 100_000, b"\xff", b"9" * 5000):
            with self.assertRaises(BadRequestError):
                modelrequests.parse_request("/v1/completions", data, "d")

    def test_manifest(self) -> None:
        # Guards against numbers of over 4,300 digits in TOML.
        for number in ("9" * 5000, "0x" + "f" * 5000):
            for text in (f"a = {number}", f"a = [{{b = {number}}}]"):
                (problem,) = validation.parse_toml(text, "m").unwrap_err()
                self.assertLess(len(str(problem)), MAX_MESSAGE_CHARS)

    def test_nested_manifest(self) -> None:
        # Guards against a manifest whose faults nest too deeply to be shown.
        text = "a = " + "[" * 200 + "]" * 200
        (problem,) = validation.parse_toml(text, "m").unwrap_err()
        self.assertIn("levels", str(problem))

    async def test_manifest_that_is_no_text(self) -> None:
        # Guards against a manifest in the store that ends the daemon, and
        # against a log line of it with each poll.
        manager = ManifestManager(
            unittest.mock.Mock(),
            unittest.mock.Mock(),
            Timing(),
            Counters(Statsd()),
            unittest.mock.Mock(),
            unittest.mock.Mock(),
            unittest.mock.Mock(),
            unittest.mock.Mock(),
            lambda: 1,
            random.Random(1),
        )
        for version, body in ((5, b"\xff\xfe"), (6, b"[" * 100_000)):
            row = Row("manifest", version, {"digest": "d", "tokens": []})
            manager._table.read = unittest.mock.AsyncMock(return_value=row)
            manager._objects.get = unittest.mock.AsyncMock(return_value=body)
            with self.assertLogs("jasminerelay") as logs:
                for _ in range(3):
                    await manager.refresh()
            self.assertEqual(len(logs.output), 1)
            self.assertIsNone(manager.directory)

    def test_log_lines(self) -> None:
        # Guards against a log with odd lines that ends `explain`.
        lines = [
            '{"x":' + "[" * 100_000,
            '{"event": "e", "at": "soon", "left_out": "many"}',
            '{"event": "e", "at": [1]}',
            '{"event": "e", "at": 2.5, "left_out": 3}',
        ]
        events, left_out = explain.read(lines)
        self.assertIn(2.5, [event.at for event in events])
        self.assertEqual(left_out, 3)

    def test_snapshot_that_expands(self) -> None:
        # Guards against a configuration that takes all memory.
        data = zlib.compress(b"0" * (1 << 27), 9)
        with self.assertRaises(ForeignDataError):
            peerlink.decompressed(StoreSnapshot(1, data, 1, []))
        with self.assertRaises(ForeignDataError):
            peerlink.decompressed(StoreSnapshot(1, data[:50], 1, []))

    def test_resume_point_of_another_version(self) -> None:
        # Guards against a signed point with other fields.
        signer = Signer("secret")
        for fields in ([], ["a"], [1, 2, 3, 4, 5, 6], {"a": 1}, 7, None):
            signed = signer._points.dumps(fields)
            self.assertTrue(signer.read_point(f"{signed}:3").is_err())
            ticket = signer._tickets.dumps(fields)
            self.assertEqual(signer.read_ticket(ticket, "o", "k", 9.0), 0.0)
        odd = signer._tickets.dumps(["o", "k", "soon"])
        self.assertEqual(signer.read_ticket(odd, "o", "k", 9.0), 0.0)

    def test_number_of_a_version(self) -> None:
        # Guards against an era of over 4,300 digits, as zeros before a number.
        store = storeclient.Store(None, "x")
        reply = HttpResponse(200, {"store-era": "0" * 5000 + "2"}, b"")
        self.assertEqual(store._era_of(reply), 2)

    def test_port(self) -> None:
        # Guards against a port of over 4,300 digits.
        for port in ("9" * 5000, "0" * 5000 + "80", "65536", "0", "²", ""):
            data = msgspec.json.encode({**ENTRY, "address": f"10.0.0.1:{port}"})
            with self.subTest(port[:9]), self.assertRaises(ForeignDataError):
                decoding.server("a", data)
        with self.assertRaises(ValueError):
            split_address("10.0.0.1:" + "9" * 5000)


if __name__ == "__main__":
    unittest.main()
