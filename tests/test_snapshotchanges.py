"""What another instance is told that lacks little of what is known.

Pattern: thousands of servers, a few of which change at a time, and hundreds of
instances that learn of it from each other.
"""

import json
import random
import unittest
import unittest.mock

import msgspec

from jasminerelay import cells
from jasminerelay.platform import documents
from jasminerelay.registry import Registry
from jasminerelay.schema.messages import ServerRow

SERVERS = 3000
MOST_BYTES = 2000
MOST_HASHES = 20 * SERVERS


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
    """Returns the knowledge of an instance that the store has told."""
    made = Registry(documents.catalog, documents.server)
    made.take_all([row(f"s{n}", version) for n in range(count)], version)
    return made


def names(of: Registry) -> dict[str, bool]:
    """Returns the servers, and whether each drains."""
    return {server.id: server.draining for server in of.servers()}


class ChangesTest(unittest.TestCase):
    """Only what has changed travels."""

    def setUp(self) -> None:
        self.told = registry(5)
        self.behind = registry(5)

    def pass_on(self):
        """Tells the one that is behind; returns what went."""
        snapshot = self.told.export_snapshot(0, self.behind.delta_base_version)
        self.behind.adopt(snapshot)
        return snapshot

    def test_one_change_among_thousands_is_small(self) -> None:
        # Guards against all rows sent to each of hundreds of instances for
        # each change: links were full for seconds.
        told, behind = registry(SERVERS), registry(SERVERS)
        told.take_changes([row("s7", 2, phase="draining")], 2)
        snapshot = told.export_snapshot(0, behind.delta_base_version)
        self.assertLess(len(msgspec.msgpack.encode(snapshot)), MOST_BYTES)
        behind.adopt(snapshot)
        self.assertTrue(names(behind)["s7"])
        self.assertEqual(len(names(behind)), SERVERS)

    def test_removed_ones(self) -> None:
        self.told.take_changes([ServerRow("s1", 2, None)], 2)
        self.assertEqual(self.pass_on().servers, [])
        self.assertNotIn("s1", names(self.behind))

    def test_one_that_is_back_is_not_removed(self) -> None:
        # Guards against streams moved from a server that has come back.
        self.told.take_changes([ServerRow("s1", 2, None)], 2)
        self.pass_on()
        self.told.take_changes([row("s1", 3)], 3)
        self.assertEqual(self.pass_on().gone, [])
        self.assertIn("s1", names(self.behind))

    def test_one_that_knows_nothing_gets_all(self) -> None:
        self.behind = Registry(documents.catalog, documents.server)
        self.assertEqual(len(self.pass_on().servers), 5)
        self.assertEqual(names(self.behind), names(self.told))

    def test_a_removal_that_is_no_longer_kept_brings_all(self) -> None:
        # Guards against a server kept for good, as its removal was told to
        # nobody who asked late.
        self.told.take_changes([ServerRow("s1", 2, None)], 2)
        for number in range(2000):
            name, version = f"x{number}", 3 + 2 * number
            self.told.take_changes([row(name, version)], version)
            gone = ServerRow(name, version + 1, None)
            self.told.take_changes([gone], version + 1)
        snapshot = self.pass_on()
        self.assertEqual(snapshot.since, 0)
        self.assertEqual(names(self.behind), names(self.told))

    def test_what_was_missed_before_is_found(self) -> None:
        # Guards against a change that was lost on the way and stays unknown,
        # since later ones are told without it.
        self.told.take_changes([row("s1", 2, phase="draining")], 2)
        self.behind.take_changes([], 2)
        self.told.take_changes([row("s2", 3, phase="draining")], 3)
        self.pass_on()
        self.assertTrue(self.behind.is_behind(self.told.standing))
        self.assertEqual(self.behind.delta_base_version, 0)
        self.pass_on()
        self.assertEqual(names(self.behind), names(self.told))

    def test_one_with_lapsed_rows_gets_all(self) -> None:
        self.behind.mark_store_unreachable()
        self.behind.take_changes([ServerRow("s1", 2, None)], 2)
        self.assertEqual(self.behind.delta_base_version, 0)

    def test_any_changes_in_any_steps(self) -> None:
        for seed in range(60):
            with self.subTest(seed=seed):
                self._play(random.Random(seed))

    def _play(self, rng: random.Random) -> None:
        self.setUp()
        for version in range(2, 60):
            name = f"s{rng.randrange(8)}"
            if rng.random() < 0.4:
                change = ServerRow(name, version, None)
            else:
                phase = rng.choice(("ready", "draining"))
                change = row(name, version, phase=phase)
            self.told.take_changes([change], version)
            if rng.random() < 0.3:
                self.pass_on()
        self.pass_on()
        self.assertEqual(names(self.behind), names(self.told))
        self.assertEqual(
            self.behind.standing.servers_digest,
            self.told.standing.servers_digest,
        )


class CellsOfThousandsTest(unittest.TestCase):
    """Cells are found without ranking all of them for each server."""

    def test_hashes_grow_with_the_servers(self) -> None:
        # Guards against the square of the servers: with thousands each change
        # of one took half a second of every instance's processor.
        with unittest.mock.patch.object(
            cells, "_jump", side_effect=cells._jump
        ) as jump:
            split = cells.cells_of(f"n{number}" for number in range(SERVERS))
        self.assertLess(jump.call_count, MOST_HASHES)
        sizes = [len(cell) for cell in split]
        self.assertEqual(sum(sizes), SERVERS)
        self.assertLessEqual(max(sizes) - min(sizes), 2)

    def test_few_move_when_one_comes(self) -> None:
        before = [f"n{number:04}" for number in range(SERVERS)]
        old = {x: cells.number_of(x, before) for x in before}
        after = [*before, "n9999"]
        moved = sum(cells.number_of(x, after) != old[x] for x in before)
        self.assertLess(moved, SERVERS * 0.05)


if __name__ == "__main__":
    unittest.main()
