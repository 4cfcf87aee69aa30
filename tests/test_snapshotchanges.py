"""Tests of snapshots that contain only changes.

The pattern is thousands of servers, of which a few change at a time, and
hundreds of instances that receive the changes from each other.
"""

import json
import random
import unittest
import unittest.mock

import msgspec

from jasminerelay import cells
from jasminerelay.platform import decoding
from jasminerelay.registry import Registry
from jasminerelay.schema.messages import ServerRow

SERVERS = 3000
MAX_BYTES = 2000
MAX_HASHES = 20 * SERVERS


def row(name: str, version: int, **fields: object) -> ServerRow:
    """Returns a server's row."""
    body = {
        "backend": "pool",
        "address": "10.0.0.1:80",
        "zone": "north",
        "slotCount": 8,
        "phase": "ready",
        "version": "v1",
        "coldRemainingMs": 0,
        "callSeq": 0,
        **fields,
    }
    return ServerRow(name, version, json.dumps(body).encode())


def registry(count: int = 0, version: int = 1) -> Registry:
    """Returns the registry of an instance that has read the store."""
    filled = Registry(decoding.catalog, decoding.server)
    filled.apply_full_read(
        [row(f"s{n}", version) for n in range(count)], version
    )
    return filled


def names(of: Registry) -> dict[str, bool]:
    """Returns the names of the servers, and whether each is draining."""
    return {server.id: server.draining for server in of.servers()}


class ChangesTest(unittest.TestCase):
    """Only changes are sent."""

    def setUp(self) -> None:
        self.sender = registry(5)
        self.receiver = registry(5)

    def send_snapshot(self):
        """Sends a snapshot to the receiver and returns it."""
        snapshot = self.sender.export_snapshot(
            0, self.receiver.delta_base_version
        )
        self.receiver.merge_snapshot(snapshot)
        return snapshot

    def test_one_change_among_thousands_is_small(self) -> None:
        # Guards against sending all rows to each of hundreds of instances for
        # each change, which saturated links for seconds.
        sender, receiver = registry(SERVERS), registry(SERVERS)
        sender.apply_changes([row("s7", 2, phase="draining")], 2)
        snapshot = sender.export_snapshot(0, receiver.delta_base_version)
        self.assertLess(len(msgspec.msgpack.encode(snapshot)), MAX_BYTES)
        receiver.merge_snapshot(snapshot)
        self.assertTrue(names(receiver)["s7"])
        self.assertEqual(len(names(receiver)), SERVERS)

    def test_removed_servers(self) -> None:
        self.sender.apply_changes([ServerRow("s1", 2, None)], 2)
        self.assertEqual(self.send_snapshot().servers, [])
        self.assertNotIn("s1", names(self.receiver))

    def test_returned_server_is_not_removed(self) -> None:
        # Guards against streams moved away from a server that has returned.
        self.sender.apply_changes([ServerRow("s1", 2, None)], 2)
        self.send_snapshot()
        self.sender.apply_changes([row("s1", 3)], 3)
        self.assertEqual(self.send_snapshot().gone, [])
        self.assertIn("s1", names(self.receiver))

    def test_empty_receiver_gets_all_rows(self) -> None:
        self.receiver = Registry(decoding.catalog, decoding.server)
        self.assertEqual(len(self.send_snapshot().servers), 5)
        self.assertEqual(names(self.receiver), names(self.sender))

    def test_forgotten_removal_causes_a_full_snapshot(self) -> None:
        # Guards against a server that stays in use for good, because its
        # removal is no longer sent to instances that fetch late.
        self.sender.apply_changes([ServerRow("s1", 2, None)], 2)
        for number in range(2000):
            name, version = f"x{number}", 3 + 2 * number
            self.sender.apply_changes([row(name, version)], version)
            gone = ServerRow(name, version + 1, None)
            self.sender.apply_changes([gone], version + 1)
        snapshot = self.send_snapshot()
        self.assertEqual(snapshot.since, 0)
        self.assertEqual(names(self.receiver), names(self.sender))

    def test_missed_change_is_detected(self) -> None:
        # Guards against a change that was lost and stays unknown, because later
        # snapshots do not contain it.
        self.sender.apply_changes([row("s1", 2, phase="draining")], 2)
        self.receiver.apply_changes([], 2)
        self.sender.apply_changes([row("s2", 3, phase="draining")], 3)
        self.send_snapshot()
        self.assertTrue(self.receiver.is_behind(self.sender.standing))
        self.assertEqual(self.receiver.delta_base_version, 0)
        self.send_snapshot()
        self.assertEqual(names(self.receiver), names(self.sender))

    def test_receiver_with_lapsed_rows_gets_all(self) -> None:
        self.receiver.mark_store_unreachable()
        self.receiver.apply_changes([ServerRow("s1", 2, None)], 2)
        self.assertEqual(self.receiver.delta_base_version, 0)

    def test_any_changes_in_any_steps(self) -> None:
        for seed in range(60):
            with self.subTest(seed=seed):
                self._apply_random_changes(random.Random(seed))

    def _apply_random_changes(self, rng: random.Random) -> None:
        self.setUp()
        for version in range(2, 60):
            name = f"s{rng.randrange(8)}"
            if rng.random() < 0.4:
                change = ServerRow(name, version, None)
            else:
                phase = rng.choice(("ready", "draining"))
                change = row(name, version, phase=phase)
            self.sender.apply_changes([change], version)
            if rng.random() < 0.3:
                self.send_snapshot()
        self.send_snapshot()
        self.assertEqual(names(self.receiver), names(self.sender))
        self.assertEqual(
            self.receiver.standing.servers_digest,
            self.sender.standing.servers_digest,
        )


class CellsOfThousandsTest(unittest.TestCase):
    """Cells are found without ranking all cells for each server."""

    def test_hashes_grow_with_the_servers(self) -> None:
        # Guards against work that is quadratic in the number of servers: with
        # thousands, each change of one took half a second of processor time on
        # every instance.
        with unittest.mock.patch.object(
            cells, "_jump", side_effect=cells._jump
        ) as jump:
            split = cells.cells_of(f"n{number}" for number in range(SERVERS))
        self.assertLess(jump.call_count, MAX_HASHES)
        sizes = [len(cell) for cell in split]
        self.assertEqual(sum(sizes), SERVERS)
        self.assertLessEqual(max(sizes) - min(sizes), 2)

    def test_added_server_moves_few(self) -> None:
        before = [f"n{number:04}" for number in range(SERVERS)]
        old = {x: cells.cell_number(x, before) for x in before}
        after = [*before, "n9999"]
        moved = sum(cells.cell_number(x, after) != old[x] for x in before)
        self.assertLess(moved, SERVERS * 0.05)


if __name__ == "__main__":
    unittest.main()
