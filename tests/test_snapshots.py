"""Tests of the snapshots that instances fetch from each other."""

import types
import unittest

import msgspec

from jasminerelay.peerlink import (
    CONFIGURATION_FIELD,
    SNAPSHOT_PATH,
    SnapshotApp,
    decompressed,
)
from jasminerelay.registry import Registry
from jasminerelay.schema.messages import ServerRow, StoreSnapshot
from tests.test_following import decode

CONFIGURATION = b"7" + b" " * 40_000
SERVERS = 44


def registry() -> Registry:
    """Returns the registry of an instance in a large platform."""
    filled = Registry(lambda data: types.SimpleNamespace(version=1), decode)
    filled.apply_configuration(7, CONFIGURATION)
    rows = [ServerRow(f"s{n}", 10 + n, b"pool:ready") for n in range(SERVERS)]
    filled.apply_full_read(rows, 10 + SERVERS)
    return filled


async def fetch(sender: Registry, query: str) -> bytes:
    """Returns the body of the answer to a snapshot request."""
    sent = []

    async def send(message) -> None:
        sent.append(message.get("body", b""))

    scope = {
        "type": "http",
        "path": SNAPSHOT_PATH,
        "query_string": query.encode(),
    }
    await SnapshotApp(sender)(scope, None, send)
    return b"".join(sent)


class SnapshotTest(unittest.IsolatedAsyncioTestCase):
    """An instance that is behind fetches a snapshot from another."""

    async def test_only_rows_have_changed(self) -> None:
        # Guards against sending the whole configuration to each instance for
        # each server that starts in a rolling restart.
        body = await fetch(registry(), f"{CONFIGURATION_FIELD}=7")
        self.assertLess(len(body), len(CONFIGURATION) / 10)
        receiver = Registry(
            lambda data: types.SimpleNamespace(version=1), decode
        )
        receiver.apply_configuration(7, CONFIGURATION)
        receiver.merge_snapshot(
            msgspec.msgpack.decode(body, type=StoreSnapshot)
        )
        self.assertEqual(len(receiver.servers()), SERVERS)
        self.assertEqual(receiver.standing.configuration_version, 7)

    async def test_configuration_has_changed(self) -> None:
        for query in (
            f"{CONFIGURATION_FIELD}=6",
            "",
            f"{CONFIGURATION_FIELD}=x",
        ):
            body = await fetch(registry(), query)
            receiver = Registry(
                lambda data: types.SimpleNamespace(version=1), decode
            )
            snapshot = decompressed(
                msgspec.msgpack.decode(body, type=StoreSnapshot)
            )
            self.assertEqual(snapshot.configuration, CONFIGURATION)
            receiver.merge_snapshot(snapshot)
            self.assertEqual(receiver.standing.configuration_version, 7, query)

    async def test_changes_in_series_fit_the_links(self) -> None:
        # Guards against links saturated by configurations that change five
        # times a second: live instances were considered failed, and the
        # ownership of cells changed.
        routes = [
            {"name": f"r-{n}", "hostname": "a.example", "prefix": f"/p{n}/"}
            for n in range(500)
        ]
        data = msgspec.json.encode({"version": 7, "routes": routes})
        sender = Registry(lambda data: types.SimpleNamespace(version=1), decode)
        sender.apply_configuration(7, data)
        body = await fetch(sender, "")
        self.assertLess(len(body), len(data) / 4)
        snapshot = decompressed(
            msgspec.msgpack.decode(body, type=StoreSnapshot)
        )
        self.assertEqual(snapshot.configuration, data)


if __name__ == "__main__":
    unittest.main()
