"""Servers' rows: incarnations with the same name, and rows of other writers."""

import base64
import time
import unittest

import anyio
import msgspec
from hypothesis import given, settings, strategies

from jasminerelay import peermessages
from jasminerelay.dispatcher import Dispatcher
from jasminerelay.eventlog import EventLog
from jasminerelay.foreignbytes import MAX_NAME_BYTES
from jasminerelay.metrics import Counters
from jasminerelay.platform import decoding, headers, storeclient
from jasminerelay.platform.decoding import DocumentError
from jasminerelay.registry import (
    EARLIER_CLAIM_S,
    RETURN_CLAIM_S,
    RETURN_GRACE_S,
    Registry,
    ServerChange,
)
from jasminerelay.schema.messages import ServerLoad, ServerRow, StoreSnapshot
from jasminerelay.schema.settings import Statsd
from jasminerelay.storefollowing import RegistryFeed, TablePage
from standins.platformsite import PLAIN_BACKEND, SiteOptions
from tests.platformcase import PlatformCase
from tests.test_dispatcher import dispatcher

FUZZ = settings(max_examples=200, derandomize=True, deadline=None)
START = 1_790_000_000_000
HEARTBEAT_S = 0.6
POOL = "pool"
ENTRY = {
    "backend": POOL,
    "address": "10.0.0.1:8080",
    "zone": "z",
    "version": "v1",
    "slotCount": 8,
    "phase": "ready",
    "coldRemainingMs": 0,
    "callSeq": 4,
    "born": START,
}
JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=20),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(
            strategies.text(max_size=8), inner, max_size=4
        )
    ),
    max_leaves=12,
)


def row(version: int, name: str = "a", **fields) -> ServerRow:
    """Returns a server's row; fields not given have their usual values."""
    data = msgspec.json.encode({**ENTRY, **fields})
    return ServerRow(name, version, data)


def registry() -> Registry:
    """Returns an empty registry that decodes the platform's rows."""
    return Registry(decoding.catalog, decoding.server)


class RecordingLog(EventLog):
    """A log that records its lines."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, dict]] = []

    def info(self, event: str, **fields) -> None:
        self.lines.append((event, fields))

    warn = info


class FollowedRegistry:
    """A registry with its feed, and the servers that the feed reported."""

    def __init__(self) -> None:
        self.registry = registry()
        self.log = RecordingLog()
        self.counters = Counters(Statsd())
        self.feed = RegistryFeed(
            self.registry, "config", self.counters, self.log
        )
        self.now = 100.0
        self.registry.mark_store_reachable(self.now)
        self.left: list[str] = []
        self.gone: list[str] = []
        self.feed.on_leaving = self.left.append
        self.feed.on_removed = self.gone.append

    def take(self, *rows: ServerRow) -> None:
        """Applies a page of changes."""
        self.feed.apply_server_changes(
            TablePage(rows, max(item.version for item in rows))
        )

    def wait(self, seconds: float) -> None:
        """Lets time pass."""
        self.feed.expire(self.now)
        self.now += seconds
        self.feed.expire(self.now)

    def ids(self) -> list[str]:
        """Returns the ids of the servers in use."""
        return [item.id for item in self.registry.servers_of(POOL)]


class IncarnationTest(unittest.TestCase):
    """A server that restarts under its former name."""

    def setUp(self) -> None:
        self.followed = FollowedRegistry()

    def test_restarted_server_has_no_former_state(self) -> None:
        # Guards against state of a former incarnation. A server crashes with
        # requests in flight, failures counted and a prompt cached, and restarts
        # under its name within a second. If it were taken for its predecessor,
        # it would be avoided for its failures, look full, and receive prompts
        # for a cache that no longer exists.
        router_dispatcher = Dispatcher(self.followed.registry, "z", lambda: 1)
        self.followed.feed.on_removed = router_dispatcher.gone
        self.followed.take(row(1))
        (before,) = self.followed.registry.servers_of(POOL)
        router_dispatcher.workload.start(before.id, unread=9000, memory=9000)
        router_dispatcher.health(POOL).failed(before.id, time.monotonic())
        router_dispatcher.token_times.observe(
            before.id, 5, 1.0, time.monotonic()
        )
        self.followed.take(row(2, born=START + 900))
        (after,) = self.followed.registry.servers_of(POOL)
        now = time.monotonic()
        self.assertNotEqual(before.id, after.id)
        self.assertEqual(router_dispatcher.workload.load(after.id).running, 0)
        self.assertFalse(router_dispatcher.health(POOL).blocked(after.id, now))
        self.assertIsNone(router_dispatcher.token_times.token_s(after.id, now))
        self.assertEqual(self.followed.gone, [])
        self.assertEqual(self.followed.left, [before.id])

    def test_load_reports_on_the_former_incarnation_are_ignored(self) -> None:
        # Another instance has not learned of the restart yet and reports its
        # in-flight requests at the former incarnation.
        router_dispatcher = dispatcher(1)
        self.followed.take(row(1), row(2, born=START + 900))
        (server,) = self.followed.registry.servers_of(POOL)
        load = ServerLoad(f"a@{START}", 9000, 30, 90_000)
        router_dispatcher.apply_load_report(
            "other", 1, [load], time.monotonic()
        )
        self.assertEqual(router_dispatcher.workload.load(server.id).running, 0)

    def test_late_row_of_the_former_incarnation(self) -> None:
        # The former incarnation's last write, which says that it is draining,
        # takes effect after the new one's first. The new incarnation stays in
        # use.
        self.followed.take(row(1))
        self.followed.take(row(2, born=START + 900))
        self.followed.take(row(3, phase="draining"))
        self.assertEqual(self.followed.ids(), [f"a@{START + 900}"])

    def test_clock_that_stepped_back(self) -> None:
        # The server's clock was set back between two starts, so the later start
        # has the earlier time. Another program may have written such a row, so
        # it names no server until the former incarnation, if it lived, would
        # have written three times.
        self.followed.take(row(1))
        self.followed.take(row(2, born=START - 60_000))
        self.assertEqual(self.followed.ids(), [])
        self.assertEqual((self.followed.left, self.followed.gone), ([], []))
        self.followed.wait(EARLIER_CLAIM_S - 0.1)
        self.assertEqual(self.followed.ids(), [])
        self.followed.wait(0.2)
        self.assertEqual(self.followed.ids(), [f"a@{START - 60_000}"])
        self.assertEqual(self.followed.left, [f"a@{START}"])
        self.followed.take(row(3))
        self.assertEqual(self.followed.ids(), [f"a@{START - 60_000}"])

    def test_late_row_stands_only_until_the_successor_writes(self) -> None:
        # Guards against a successor that is given up for one late row.
        self.followed.take(row(1), row(2, born=START + 900))
        self.followed.take(row(3, phase="draining"))
        self.followed.wait(RETURN_CLAIM_S - 0.1)
        self.followed.take(row(4, born=START + 900, callSeq=5))
        self.followed.wait(2 * EARLIER_CLAIM_S)
        self.assertEqual(self.followed.ids(), [f"a@{START + 900}"])

    def test_claims_wait_while_the_store_is_away(self) -> None:
        # Guards against a late row that is believed since its successor cannot
        # write in an outage.
        self.followed.take(row(1), row(2, born=START + 900), row(3))
        self.followed.registry.mark_store_unreachable()
        self.followed.wait(2 * EARLIER_CLAIM_S)
        self.assertEqual(self.followed.ids(), [f"a@{START + 900}"])
        self.followed.registry.mark_store_reachable(self.followed.now)
        self.followed.wait(RETURN_CLAIM_S - 0.1)
        self.assertEqual(self.followed.ids(), [f"a@{START + 900}"])
        self.followed.wait(0.2)
        self.assertEqual(self.followed.ids(), [f"a@{START}"])

    def test_two_restarts_in_a_second(self) -> None:
        self.followed.take(
            row(1), row(2, born=START + 300), row(3, born=START + 600)
        )
        self.assertEqual(self.followed.ids(), [f"a@{START + 600}"])
        self.assertEqual(self.followed.left, [f"a@{START}", f"a@{START + 300}"])

    def test_restart_during_an_outage(self) -> None:
        # The store is unreachable; the row of a server that crashes lapses, and
        # the server stays in use since it may be alive. After the store's
        # return the row of its new incarnation arrives, and nothing of the
        # former one remains.
        known = self.followed.registry
        self.followed.take(row(1))
        known.mark_store_unreachable()
        self.followed.take(ServerRow("a", 2, None))
        self.assertEqual(self.followed.ids(), [f"a@{START}"])
        known.mark_store_reachable(10.0)
        self.followed.take(row(3, born=START + 4000))
        self.assertEqual(known.expire(100.0), [])
        self.assertEqual(self.followed.ids(), [f"a@{START + 4000}"])

    def test_restart_learned_from_another_instance(self) -> None:
        # An instance that the store rejects learns of the restart from another
        # one; an older snapshot does not restore the former incarnation.
        here, there = registry(), registry()
        for known in (here, there):
            known.apply_changes([row(1)], 1)
        old = there.export_snapshot()
        there.apply_changes([row(2, born=START + 900)], 2)
        here.merge_snapshot(there.export_snapshot())
        here.merge_snapshot(old)
        (server,) = here.servers_of(POOL)
        self.assertEqual(server.id, f"a@{START + 900}")

    def test_returns_with_the_same_start(self) -> None:
        # The row lapsed although the server stayed alive, and is written again.
        self.followed.take(row(1))
        self.followed.take(ServerRow("a", 2, None))
        self.assertEqual(self.followed.ids(), [])
        self.followed.take(row(3))
        self.assertEqual(self.followed.ids(), [f"a@{START}"])

    def test_found_by_its_id(self) -> None:
        # Guards against placements by an owner at a restarted server that the
        # requesting instance rejects as stale, and against ends of that server
        # that go unnoticed.
        known = registry()
        known.apply_changes([row(1)], 1)
        (server,) = known.servers_of(POOL)
        self.assertEqual(known.server(server.id), server)
        self.assertIsNone(known.server(f"a@{START + 900}"))
        self.assertIsNone(known.server("b"))

    def test_id_contains_name_and_start(self) -> None:
        server = decoding.server("a", msgspec.json.encode(ENTRY))
        self.assertEqual((server.name, server.id), ("a", f"a@{START}"))


class ForeignRowTest(unittest.TestCase):
    """Rows that another writer has put into the table of servers."""

    def setUp(self) -> None:
        self.followed = FollowedRegistry()
        self.followed.take(row(1))

    def unreadable(self) -> int:
        return sum(
            event == "server_unreadable" for event, _ in self.followed.log.lines
        )

    def test_each_field_missing_or_of_another_type(self) -> None:
        other_values = ("", [], {}, None, True, 1.5, "7", -1)
        for number, name in enumerate(ENTRY):
            without_field = {k: v for k, v in ENTRY.items() if k != name}
            rows = [msgspec.json.encode(without_field)]
            rows += [
                msgspec.json.encode({**ENTRY, name: value})
                for value in other_values
                if type(value) is not type(ENTRY[name])
                and not (name == "coldRemainingMs" and value == 1.5)
            ]
            for data in rows:
                if name == "born" and data == rows[0]:
                    # Not each platform asks for it; see `WrongStartTest`.
                    continue
                with (
                    self.subTest(field=name, data=data),
                    self.assertRaises(DocumentError),
                ):
                    decoding.server(f"f{number}", data)

    def test_unreadable_rows_name_no_server(self) -> None:
        # An unknown phase, bytes that are not a document, an invalid address.
        # Each is logged once, and the other rows apply.
        self.followed.take(
            row(2, "b", phase="resting"),
            row(3, "c", address="somewhere"),
            row(4, "d", slotCount=0),
            ServerRow("e", 5, b"\xff\xfe{"),
            ServerRow("f", 6, b"[" * 100_000),
            row(7, "line\nbreak"),
        )
        self.assertEqual(self.followed.ids(), [f"a@{START}"])
        self.assertEqual(self.unreadable(), 6)

    def test_names_without_bound(self) -> None:
        # Guards against names of a row that no field, line or datagram holds.
        for text in ("a\nb", "a\r\nx: y", "a\x00", "v" * 100_000, "\u2028"):
            for field in ("version", "zone", "backend"):
                with self.subTest(field=field, text=text[:9]):
                    data = msgspec.json.encode({**ENTRY, field: text})
                    self.followed.take(ServerRow("b", 2, data))
                    self.assertEqual(self.followed.ids(), [f"a@{START}"])
            self.followed.take(row(2, text))
            self.assertEqual(self.followed.ids(), [f"a@{START}"])
        for _, fields in self.followed.log.lines:
            self.assertLess(len(str(fields)), 1000)
        usual = "v" * MAX_NAME_BYTES
        entry = {**ENTRY, "version": usual, "zone": "Zürich, Süd"}
        self.followed.take(ServerRow(usual, 3, msgspec.json.encode(entry)))
        self.assertEqual(len(self.followed.ids()), 2)

    def test_overwritten_row_of_a_living_server(self) -> None:
        # Another writer overwrites a living server's row. The server gets no
        # new requests, but its streams are not moved and its cache records are
        # kept. With its next row it is in use again as the same incarnation.
        self.followed.take(ServerRow("a", 2, b"nonsense"))
        self.assertEqual(self.followed.ids(), [])
        self.assertEqual((self.followed.left, self.followed.gone), ([], []))
        self.followed.take(row(3))
        self.assertEqual(self.followed.ids(), [f"a@{START}"])
        self.assertEqual(self.followed.gone, [])

    def test_same_row_read_again_is_logged_once(self) -> None:
        bad = [ServerRow(name, 2, b"nonsense") for name in "ab"]
        for _ in range(3):
            self.followed.feed.apply_all_servers(TablePage(tuple(bad), 2))
        self.assertEqual(self.unreadable(), 2)
        self.followed.take(ServerRow("b", 3, b"other nonsense"))
        self.assertEqual(self.unreadable(), 3)

    def test_data_that_is_not_base64(self) -> None:
        # One malformed row must not hide the other rows of its page.
        malformed_row = storeclient._Row(key="b", version=2, data="***")
        good = base64.b64encode(msgspec.json.encode(ENTRY)).decode()
        well_formed = storeclient._Row(key="c", version=3, data=good)
        self.followed.take(
            storeclient._row(malformed_row, 0), storeclient._row(well_formed, 0)
        )
        self.assertEqual(len(self.followed.ids()), 2)
        self.assertEqual(self.unreadable(), 1)

    @FUZZ
    @given(key=strategies.text(max_size=30), data=strategies.binary())
    def test_any_bytes(self, key: str, data: bytes) -> None:
        followed = FollowedRegistry()
        followed.take(row(1))
        followed.take(ServerRow(key + "x", 2, data))
        self.assertIn(f"a@{START}", followed.ids())

    @FUZZ
    @given(JSON)
    def test_any_document(self, value: object) -> None:
        data = msgspec.json.encode(value)
        for decode in (decoding.catalog, lambda d: decoding.server("a", d)):
            try:
                decode(data)
            except DocumentError as exc:
                self.assertTrue(str(exc))

    @FUZZ
    @given(strategies.dictionaries(strategies.sampled_from(list(ENTRY)), JSON))
    def test_any_field(self, fields: dict) -> None:
        data = msgspec.json.encode({**ENTRY, **fields})
        try:
            server = decoding.server("a", data)
        except DocumentError:
            return
        self.assertGreater(server.slots, 0)

    @FUZZ
    @given(strategies.binary())
    def test_messages_of_instances(self, data: bytes) -> None:
        try:
            peermessages.decode(data)
        except ValueError as exc:
            self.assertTrue(str(exc))

    @FUZZ
    @given(strategies.dictionaries(strategies.sampled_from(
        [b"token-usage", b"prefix-hash", b"length-hint"]),
        strategies.binary(max_size=30)))  # fmt: skip
    def test_prompt_fields(self, fields: dict[bytes, bytes]) -> None:
        try:
            headers.parse_prompt(fields)
        except ValueError as exc:
            self.assertTrue(str(exc))

    def test_snapshot_with_rows_that_cannot_be_read(self) -> None:
        known = registry()
        bad = ServerRow("b", 2, b"nonsense")
        known.merge_snapshot(StoreSnapshot(0, b"", 2, [row(1), bad]))
        self.assertEqual(len(known.servers_of(POOL)), 1)


class WrongStartTest(unittest.TestCase):
    """Rows of other writers whose `born` is missing, malformed or wrong."""

    def setUp(self) -> None:
        self.followed = FollowedRegistry()
        self.followed.take(row(1), row(2, "b", born=START + 7))

    def drop_start(self, version: int, name: str = "a", **fields) -> ServerRow:
        """Returns a row without a start."""
        entry = {**ENTRY, **fields}
        del entry["born"]
        return ServerRow(name, version, msgspec.json.encode(entry))

    def in_use(self) -> list[str]:
        """Returns the names of the servers in use."""
        return [item.name for item in self.followed.registry.servers_of(POOL)]

    def test_row_without_start(self) -> None:
        # Guards against a server that is never drained: one row without its
        # start made its own rows those of an ended incarnation.
        self.followed.take(self.drop_start(3))
        self.assertEqual(self.in_use(), ["b"])
        self.followed.wait(2 * EARLIER_CLAIM_S)
        self.assertEqual(self.in_use(), ["b"])
        self.assertEqual((self.followed.left, self.followed.gone), ([], []))
        self.followed.take(row(4))
        self.assertEqual(self.in_use(), ["a", "b"])
        self.followed.take(row(5, phase="draining"))
        self.assertEqual(self.in_use(), ["b"])
        self.assertEqual(self.followed.left, [f"a@{START}"])

    def test_row_without_start_of_an_unknown_name(self) -> None:
        # Guards against a server that another writer made up.
        self.followed.take(self.drop_start(3, "c"))
        self.assertEqual(self.in_use(), ["a", "b"])
        self.followed.take(row(4, "c", born=START + 9))
        self.assertEqual(self.in_use(), ["a", "b", "c"])

    def test_platform_whose_rows_have_no_starts(self) -> None:
        # Guards against a start in one row that takes away all the servers of a
        # platform whose rows state none.
        followed = self.followed = FollowedRegistry()
        names = "abc"
        for number, name in enumerate(names):
            followed.take(self.drop_start(number + 1, name))
        followed.take(row(4, "d"), row(5, "a", born=START))
        self.assertEqual(self.in_use(), ["b", "c", "d"])
        followed.take(self.drop_start(6, "a", callSeq=6))
        followed.wait(2 * EARLIER_CLAIM_S)
        self.assertEqual(self.in_use(), ["a", "b", "c", "d"])

    def follow_without_starts(self, names: str) -> None:
        """Follows a site whose rows state no starts."""
        self.followed = FollowedRegistry()
        for number, name in enumerate(names):
            self.followed.take(self.drop_start(number + 1, name))

    def test_start_in_the_row_of_the_only_server(self) -> None:
        # Guards against a site without starts whose server is never used again
        # after one row with a start.
        for names in ("a", "ab"):
            for stands_s in (0.5, EARLIER_CLAIM_S + 1.0):
                with self.subTest(names=names, stands_s=stands_s):
                    self.follow_without_starts(names)
                    for version, name in enumerate(names, 10):
                        self.followed.take(row(version, name))
                    self.followed.wait(stands_s)
                    for version, name in enumerate(names, 20):
                        self.followed.take(self.drop_start(version, name))
                    self.followed.wait(RETURN_CLAIM_S + 0.1)
                    self.assertEqual(self.followed.ids(), list(names))
                    self.followed.take(
                        self.drop_start(30, "a", phase="draining")
                    )
                    self.assertEqual(self.followed.ids(), list(names[1:]))

    def test_starts_in_most_rows(self) -> None:
        # Guards against servers without a start that go out of use since
        # another writer states starts for most others.
        names = "abcdefg"
        self.follow_without_starts(names)
        for version, name in enumerate("abcd", 10):
            self.followed.take(row(version, name))
        self.assertLessEqual(set("efg"), set(self.in_use()))
        self.followed.wait(EARLIER_CLAIM_S + 1.0)
        self.assertEqual(self.in_use(), list(names))
        for version, name in enumerate("abcd", 20):
            self.followed.take(self.drop_start(version, name))
        self.followed.wait(RETURN_CLAIM_S + 0.1)
        self.assertEqual(self.followed.ids(), list(names))

    def test_first_read_amid_starts_of_another_writer(self) -> None:
        # Guards against an instance that, started amid such rows, never takes
        # the servers' own ones.
        self.followed = FollowedRegistry()
        rows = (row(1), row(2, "b"), self.drop_start(3, "c"))
        self.followed.feed.apply_all_servers(TablePage(rows, 3))
        self.followed.take(self.drop_start(4), self.drop_start(5, "b"))
        self.followed.wait(EARLIER_CLAIM_S + 0.1)
        self.assertEqual(self.followed.ids(), ["a", "b", "c"])

    def test_older_servers_beside_newer_ones(self) -> None:
        # Guards against servers of an older release that go out of use once
        # most others state their starts.
        self.follow_without_starts("abc")
        for version, name in enumerate("defgh", 10):
            self.followed.take(row(version, name))
        self.assertEqual(self.in_use(), list("abcdefgh"))
        self.followed.take(self.drop_start(20, "x"))
        self.followed.wait(2 * EARLIER_CLAIM_S)
        self.assertEqual(self.in_use(), list("abcdefgh"))

    def test_malformed_starts(self) -> None:
        for number, born in enumerate(
            (0, -1, 1.5, True, "1", None, 2**53 + 1, 10**30, [START])
        ):
            with self.subTest(born=born):
                version = 3 + 2 * number
                self.followed.take(row(version, born=born))
                self.assertEqual(self.in_use(), ["b"])
                self.followed.take(row(version + 1))
                self.assertEqual(self.in_use(), ["a", "b"])
        self.assertEqual((self.followed.left, self.followed.gone), ([], []))

    def test_start_that_goes_back(self) -> None:
        # Guards against a living server that one wrong row ends.
        self.followed.take(row(3, born=START - 1))
        self.assertEqual(self.in_use(), ["b"])
        self.followed.take(row(4))
        self.assertEqual(self.in_use(), ["a", "b"])
        self.assertEqual(self.followed.left, [])

    def test_start_that_goes_forward(self) -> None:
        # A wrong row may look like a restart. Two own rows of the living server
        # show that it was none.
        self.followed.take(row(3, born=START + 10**9))
        self.followed.take(row(4, callSeq=5))
        self.assertIn(f"a@{START + 10**9}", self.followed.ids())
        self.followed.take(row(5, phase="draining"))
        self.assertEqual(self.in_use(), ["b"])

    def test_one_own_row_after_a_start_that_goes_forward(self) -> None:
        # A living server whose row does not change writes no second one.
        self.followed.take(row(3, born=START + 10**9), row(4))
        self.followed.wait(RETURN_CLAIM_S + 0.1)
        self.assertEqual(self.followed.ids(), [f"a@{START}", f"b@{START + 7}"])

    def test_wrong_row_of_a_name_whose_row_was_removed(self) -> None:
        self.followed.take(row(3, born=START + 900))
        self.followed.take(ServerRow("a", 4, None))
        self.followed.take(row(5))
        self.assertEqual(self.in_use(), ["b"])
        self.followed.wait(RETURN_CLAIM_S + 0.1)
        self.assertEqual(self.followed.ids(), [f"a@{START}", f"b@{START + 7}"])

    @FUZZ
    @given(
        strategies.lists(
            strategies.fixed_dictionaries(
                {},
                optional={
                    "born": strategies.one_of(
                        strategies.integers(START - 3, START + 3),
                        strategies.integers(),
                        JSON,
                    ),
                    "phase": strategies.sampled_from(["ready", "draining", 7]),
                    "address": strategies.sampled_from(["10.0.0.9:1", "x"]),
                },
            ),
            max_size=8,
        ),
        strategies.lists(strategies.booleans(), min_size=8, max_size=8),
        strategies.sampled_from(["ready", "draining"]),
        strategies.booleans(),
    )
    def test_any_wrong_rows(
        self, wrong: list, own_between: list, phase: str, waits: bool
    ) -> None:
        # Guards against any row of another writer that a living server's own
        # later rows do not undo.
        followed = self.followed = FollowedRegistry()
        followed.take(row(1), row(2, "b"), row(3, "c"))
        version = 3
        for fields, own in zip(wrong, own_between, strict=False):
            version += 1
            entry = {**ENTRY, **fields}
            if "born" not in fields:
                del entry["born"]
            data = msgspec.json.encode(entry)
            followed.take(ServerRow("a", version, data))
            if own:
                version += 1
                followed.take(row(version, callSeq=version))
        followed.take(row(version + 1, phase=phase, callSeq=version + 1))
        if waits:
            followed.wait(RETURN_CLAIM_S + 0.1)
        else:
            followed.take(row(version + 2, phase=phase, callSeq=version + 2))
        expected = ["a", "b", "c"] if phase == "ready" else ["b", "c"]
        self.assertEqual(self.in_use(), expected)
        held = followed.registry.server(f"a@{START}")
        self.assertEqual(held.address, ENTRY["address"])


class DrainAfterWrongRowTest(PlatformCase):
    """A server whose row was wrong once, and which leaves later."""

    options = SiteOptions(plain=2, starts=True)

    async def test_no_request_reaches_the_leaving_server(self) -> None:
        # Guards against requests at a server that has announced its shutdown,
        # since an earlier row, which it had not written, lacked its start, or
        # had an earlier or a later one.
        started = round(time.time() * 1e3)
        for wrong in (None, started - 10**6, started + 10**6):
            with self.subTest(born=wrong):
                async with self.site(2) as (site, instances):
                    await self._drain_after(site, instances, wrong)

    async def _drain_after(self, site, instances, wrong) -> None:
        site.write_wrong_row("plain-1", PLAIN_BACKEND, {"born": wrong})
        await anyio.sleep(HEARTBEAT_S)
        for phase in ("ready", "ready", "draining"):
            site.write_server_row("plain-1", PLAIN_BACKEND, phase)
            await anyio.sleep(HEARTBEAT_S)
        before = len(site.servers["plain-1"].arrivals)
        for number in range(8):
            answer = await self.ask(
                instances[number % 2], "/confirm/x", attempt=f"r{number}"
            )
            self.assertEqual(answer.status, 200)
        self.assertEqual(len(site.servers["plain-1"].arrivals), before)


class ServerChangeTest(unittest.TestCase):
    """What is reported about a changed row."""

    def test_ended_incarnation(self) -> None:
        known = registry()
        (first,) = known.apply_changes([row(1)], 1)
        self.assertIsNone(first.ended)
        (again,) = known.apply_changes([row(2, born=START + 1)], 2)
        self.assertEqual(again.ended.id, f"a@{START}")
        self.assertIsInstance(again, ServerChange)
        self.assertEqual(known.apply_changes([row(3, born=START + 1)], 3), [])

    def test_removed_after_an_outage(self) -> None:
        # Guards against a stream that is cut when its server ends, although it
        # could have continued on another server. The server left without
        # announcing it during an outage, and its instance removed it afterwards
        # without moving the stream.
        followed = FollowedRegistry()
        followed.take(row(1))
        followed.registry.mark_store_unreachable()
        followed.take(ServerRow("a", 2, None))
        followed.registry.mark_store_reachable(10.0)
        followed.feed.expire(10.0 + RETURN_GRACE_S)
        self.assertEqual(followed.left, [f"a@{START}"])
        self.assertEqual(followed.gone, [f"a@{START}"])

    def test_kept_without_a_row(self) -> None:
        # A request reaches a server whose row was removed. The log must show
        # operators when the instance learned of the removal, from which source,
        # and that it kept the server; without that line it looked as if the
        # instance had never been notified.
        followed = FollowedRegistry()
        followed.take(row(1))
        followed.registry.mark_store_unreachable()
        for version in (2, 3):
            followed.take(ServerRow("a", version, None))
        lines = [
            (fields["state"], fields["row_version"], fields["source"])
            for event, fields in followed.log.lines
            if event == "server"
        ]
        self.assertEqual(
            lines,
            [("in use", 1, "store"), ("kept without a row", 2, "store")],
        )
        self.assertEqual((followed.left, followed.gone), ([], []))


if __name__ == "__main__":
    unittest.main()
