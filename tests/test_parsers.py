"""Parsers of external input: valid, damaged and random data."""

import pathlib
import unittest

import msgspec
from hypothesis import given, settings, strategies

from jasminerelay import manifest, modelrequests, sse
from jasminerelay import settings as settings_module
from jasminerelay.adoptedmanifest import AdoptedManifest
from jasminerelay.errors import RelayError
from jasminerelay.resume import ResumePoint, Signer
from jasminerelay.schema.messages import Gossip, InstanceFrame

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
FUZZ = settings(max_examples=200, derandomize=True, deadline=None)
SECRET = "a secret of the tests"
SETTINGS = """
instance = "a"
zone = "z"
[listen]
callers = "127.0.0.1:1"
operators = "127.0.0.1:2"
peers = "127.0.0.1:3"
[platform]
table = "http://127.0.0.1:4"
objects = "http://127.0.0.1:5"
instances = "http://127.0.0.1:6"
[keys]
operator_token = "0123456789abcdef"
peer_secret = "0123456789abcdef"
resume_secret = "0123456789abcdef"
"""


class SettingsTest(unittest.TestCase):
    """Settings files."""

    def test_valid(self) -> None:
        cfg = settings_module.parse(SETTINGS, "s.toml").unwrap()
        self.assertEqual(cfg.coordination, "broker")

    def test_all_errors_reported_without_secrets(self) -> None:
        text = SETTINGS.replace('zone = "z"', "zone = 3\ncolour = 1")
        text = text.replace("127.0.0.1:2", "10.0.0.1:2")
        text = text.replace("127.0.0.1:3", "127.0.0.1:99999")
        text = text.replace(
            'peer_secret = "0123456789abcdef"', 'peer_secret = "hushhush"'
        )
        problems = settings_module.parse(text, "s.toml").unwrap_err()
        shown = "\n".join(map(str, problems))
        for key in ("zone", "colour", "keys.peer_secret"):
            self.assertIn(key, shown)
        self.assertNotIn("hushhush", shown)

    def test_exposed_port_without_tls(self) -> None:
        text = SETTINGS.replace("127.0.0.1:2", "10.0.0.1:2")
        (problem,) = settings_module.parse(text, "s.toml").unwrap_err()
        self.assertEqual(problem.key, "listen.operators")
        self.assertIn("[tls]", problem.remedy)

    @FUZZ
    @given(strategies.text())
    def test_random_text(self, text: str) -> None:
        settings_module.parse(text, "s.toml")

    @FUZZ
    @given(strategies.data())
    def test_damaged_text(self, data) -> None:
        settings_module.parse(_damaged(SETTINGS, data), "s.toml")


class ManifestTest(unittest.TestCase):
    """Manifests."""

    def test_examples_are_valid(self) -> None:
        for name, servers in (("moreton-bay", 6), ("teixeira", 5)):
            text = (EXAMPLES / f"{name}.toml").read_text()
            directory = manifest.parse(text, name).unwrap()
            self.assertEqual(len(directory.manifest.pools[0].servers), servers)
            self.assertEqual(len(directory.organisations), 10)

    def test_lower_rank_must_leave_as_many_slots_free(self) -> None:
        text = (EXAMPLES / "moreton-bay.toml").read_text()
        head, _, tail = text.partition('name = "run-sheet"')
        tail = tail.replace("leave_free = 0.1", "leave_free = 0.0", 1)
        problems = manifest.parse(
            head + 'name = "run-sheet"' + tail, "m.toml"
        ).unwrap_err()
        self.assertEqual(
            [item.key for item in problems], ["classes.run-sheet.leave_free"]
        )

    def test_cells_span_zones_and_are_bounded(self) -> None:
        text = (EXAMPLES / "moreton-bay.toml").read_text()
        extra = "".join(
            f'[[pools.servers]]\nname = "x{n}"\naddress = "127.0.0.1:{n + 1}"\n'
            f'zone = "zone-{"abc"[n % 3]}"\nslots = 4\n\n'
            for n in range(14)
        )
        text = text.replace("[[services]]", extra + "[[services]]", 1)
        directory = manifest.parse(text, "m.toml").unwrap()
        cells = [c for n, c in directory.cells.items() if "model" in n]
        self.assertEqual(len(cells), 3)
        for cell in cells:
            self.assertLessEqual(len(cell.servers), manifest.CELL_SIZE)
            self.assertEqual(len({s.zone for s in cell.servers}), 3)

    @FUZZ
    @given(strategies.data())
    def test_damaged_text(self, data) -> None:
        text = (EXAMPLES / "teixeira.toml").read_text()
        manifest.parse(_damaged(text, data), "m.toml")


class SpreadTest(unittest.TestCase):
    """Manifests received in any order, some of them damaged."""

    @FUZZ
    @given(
        strategies.lists(
            strategies.tuples(strategies.integers(1, 5), strategies.booleans())
        )
    )
    def test_only_forward_and_only_whole(self, offers) -> None:
        base = (EXAMPLES / "teixeira.toml").read_text()
        adopted_manifest = AdoptedManifest()
        highest = 0
        for version, damaged in offers:
            body = base + f"\n# {version}\n"
            pointer = type(adopted_manifest.pointer)(
                version, manifest.digest_of(body)
            )
            offered = body[:-3] if damaged else body
            adopted = adopted_manifest.adopt(pointer, offered)
            self.assertEqual(adopted, version > highest and not damaged)
            if adopted:
                highest = version
            self.assertEqual(adopted_manifest.pointer.version, highest)


class ResumePointTest(unittest.TestCase):
    """Resume points and return tickets sent by callers."""

    def setUp(self) -> None:
        self.signer = Signer(SECRET)
        self.point = ResumePoint("org", "digest", "server", "try", "id", 3, 9)
        self.text = f"{self.signer.signed_prefix(self.point)}:9"

    def test_round_trip(self) -> None:
        self.assertEqual(self.signer.read_point(self.text).unwrap(), self.point)

    def test_other_secret(self) -> None:
        other = Signer("another secret of the tests")
        self.assertTrue(other.read_point(self.text).is_err())

    def test_a_ticket_is_no_resume_point(self) -> None:
        ticket = self.signer.ticket("org", "kind", 5.0)
        self.assertTrue(self.signer.read_point(f"{ticket}:9").is_err())

    def test_ticket_keeps_age(self) -> None:
        ticket = self.signer.ticket("org", "kind", 5.0)
        read = self.signer.read_ticket
        self.assertEqual(read(ticket, "org", "kind", 8.0), 3.0)
        self.assertEqual(read(ticket, "other", "kind", 8.0), 0.0)
        self.assertEqual(read(ticket, "org", "other", 8.0), 0.0)

    @FUZZ
    @given(strategies.text())
    def test_random_text(self, text: str) -> None:
        self.assertTrue(self.signer.read_point(text).is_err())
        self.assertEqual(self.signer.read_ticket(text, "o", "k", 1.0), 0.0)

    @FUZZ
    @given(strategies.data())
    def test_damaged_text(self, data) -> None:
        damaged = _damaged(self.text, data)
        read = self.signer.read_point(damaged)
        if read.is_ok():
            # The signature covers everything except the offset.
            self.assertEqual(
                damaged.rpartition(":")[0], self.text.rpartition(":")[0]
            )


class EventsTest(unittest.TestCase):
    """Server-sent events split into chunks at any position."""

    @FUZZ
    @given(
        strategies.lists(strategies.binary(max_size=20), max_size=8),
        strategies.lists(strategies.integers(0, 200)),
    )
    def test_chunking_does_not_matter(self, parts, cuts) -> None:
        lines = [part.replace(b"\n", b"").replace(b"\r", b"") for part in parts]
        text = b"".join(b"id: 1\ndata: " + x + b"\n\n" for x in lines)
        text = text.replace(b"\n", b"\r\n") if len(parts) % 2 else text
        whole = sse.Parser().feed(text)
        self.assertEqual([event.data for event in whole], lines)
        parser, events, start = sse.Parser(), [], 0
        for cut in [*sorted(c for c in cuts if c < len(text)), len(text)]:
            events += parser.feed(text[start:cut])
            start = cut
        self.assertEqual(events, whole)

    @FUZZ
    @given(strategies.lists(strategies.binary()))
    def test_random_bytes(self, chunks) -> None:
        parser = sse.Parser()
        for chunk in chunks:
            parser.feed(chunk)

    def test_oversized_event(self) -> None:
        with self.assertRaises(ValueError):
            sse.Parser().feed(b"data: " + b"x" * (sse.MAX_EVENT_BYTES + 1))


class PeerMessagesTest(unittest.TestCase):
    """Messages from other instances."""

    @FUZZ
    @given(strategies.binary())
    def test_random_bytes(self, data: bytes) -> None:
        for kind in (Gossip, InstanceFrame):
            with self.assertRaises(msgspec.MsgspecError):
                msgspec.msgpack.decode(data, type=kind)


class RequestBodyTest(unittest.TestCase):
    """Bodies of model requests."""

    @FUZZ
    @given(
        strategies.recursive(
            strategies.none()
            | strategies.booleans()
            | strategies.integers(-5, 5)
            | strategies.text(max_size=5),
            lambda inner: (
                strategies.lists(inner, max_size=3)
                | strategies.dictionaries(
                    strategies.sampled_from(
                        ("model", "messages", "role", "content", "stream", "n")
                    ),
                    inner,
                    max_size=5,
                )
            ),
        )
    )
    def test_random_json(self, body) -> None:
        raw = msgspec.json.encode(body)
        for path in (modelrequests.CHAT_PATH, modelrequests.TEXT_PATH):
            try:
                modelrequests.parse_request(path, raw, "digest")
            except RelayError as exc:
                self.assertEqual(exc.status, 400)

    def test_deep_nesting(self) -> None:
        raw = b'{"model": "m", "messages": ' + b"[" * 100_000
        with self.assertRaises(RelayError):
            modelrequests.parse_request(modelrequests.CHAT_PATH, raw, "digest")


def _damaged(text: str, data) -> str:
    """Returns the text with a random part replaced by random text."""
    start = data.draw(strategies.integers(0, len(text)))
    end = data.draw(strategies.integers(start, min(len(text), start + 20)))
    inserted = data.draw(strategies.text(max_size=5))
    return text[:start] + inserted + text[end:]


if __name__ == "__main__":
    unittest.main()
