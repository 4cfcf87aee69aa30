"""What one instance fetches of another's knowledge."""

import types
import unittest

import msgspec

from jasminerelay.peerlink import (
    KNOWN_FIELD,
    SNAPSHOT_PATH,
    SnapshotApp,
    unpacked,
)
from jasminerelay.registry import Registry
from jasminerelay.schema.messages import ServerRow, Snapshot
from tests.test_following import decode

CONFIGURATION = b"7" + b" " * 40_000
SERVERS = 44


def registry() -> Registry:
    """Returns what an instance among many knows."""
    known = Registry(lambda data: types.SimpleNamespace(version=1), decode)
    known.take_configuration(7, CONFIGURATION)
    rows = [ServerRow(f"s{n}", 10 + n, b"pool:ready") for n in range(SERVERS)]
    known.take_all(rows, 10 + SERVERS)
    return known


async def fetch(known: Registry, query: str) -> bytes:
    """Returns the body of an answer."""
    sent = []

    async def send(message) -> None:
        sent.append(message.get("body", b""))

    scope = {
        "type": "http",
        "path": SNAPSHOT_PATH,
        "query_string": query.encode(),
    }
    await SnapshotApp(known)(scope, None, send)
    return b"".join(sent)


class SnapshotTest(unittest.IsolatedAsyncioTestCase):
    """An instance that is behind fetches from another."""

    async def test_only_rows_have_changed(self) -> None:
        # Guards against a whole configuration for each instance and each
        # server that starts in a series.
        body = await fetch(registry(), f"{KNOWN_FIELD}=7")
        self.assertLess(len(body), len(CONFIGURATION) / 10)
        here = Registry(lambda data: types.SimpleNamespace(version=1), decode)
        here.take_configuration(7, CONFIGURATION)
        here.adopt(msgspec.msgpack.decode(body, type=Snapshot))
        self.assertEqual(len(here.servers()), SERVERS)
        self.assertEqual(here.standing.configuration_version, 7)

    async def test_configuration_has_changed(self) -> None:
        for query in (f"{KNOWN_FIELD}=6", "", f"{KNOWN_FIELD}=x"):
            body = await fetch(registry(), query)
            here = Registry(
                lambda data: types.SimpleNamespace(version=1), decode
            )
            snapshot = unpacked(msgspec.msgpack.decode(body, type=Snapshot))
            self.assertEqual(snapshot.configuration, CONFIGURATION)
            here.adopt(snapshot)
            self.assertEqual(here.standing.configuration_version, 7, query)

    async def test_changes_in_series_fit_the_links(self) -> None:
        # Guards against links full of configurations that change five times a
        # second: instances took each other for dead, and owners changed.
        routes = [
            {"name": f"r-{n}", "hostname": "a.example", "prefix": f"/p{n}/"}
            for n in range(500)
        ]
        data = msgspec.json.encode({"version": 7, "routes": routes})
        known = Registry(lambda data: types.SimpleNamespace(version=1), decode)
        known.take_configuration(7, data)
        body = await fetch(known, "")
        self.assertLess(len(body), len(data) / 4)
        snapshot = unpacked(msgspec.msgpack.decode(body, type=Snapshot))
        self.assertEqual(snapshot.configuration, data)


if __name__ == "__main__":
    unittest.main()
