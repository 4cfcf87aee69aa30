"""Long-polls the store's tables and keeps the registry up to date."""

import dataclasses
import random
import time
from collections.abc import Awaitable, Callable
from typing import Protocol

import anyio
from anyio.abc import TaskGroup

from jasminerelay import foreignbytes, storeversion
from jasminerelay.catalog import BackendServer
from jasminerelay.errors import StoreError
from jasminerelay.eventlog import EventLog
from jasminerelay.freshness import Freshness, now_s
from jasminerelay.metrics import Counters
from jasminerelay.registry import Registry, ServerChange
from jasminerelay.schema.messages import ServerRow
from jasminerelay.storebackoff import Outage, RetryBackoff
from jasminerelay.storeturns import RetryTurns

LONG_POLL_S = 25.0
"""How long the store holds a call until there is a change; it allows half a
minute at most. Longer waits save calls. A call without an answer does not prove
that nothing has changed; the age of the data decides when to ask again."""

LEADER_LONG_POLL_S = 0.9
"""The wait of the leading instance, which has the store confirm the data for
all: its calls return often, with or without rows, and each answer is a
confirmation."""

MIN_ABORT_INTERVAL_S = 0.5
"""Minimum time between two rounds in which waiting calls are aborted."""

RETRY_MIN_S = 0.2
RETRY_MAX_S = 0.6
"""Pause after a failed call of an instance that no other one helps, randomised
so that the instances do not retry at the same moment. A change must be in force
within two seconds. `storebackoff` decides on the other pauses."""

BATCH_PAUSE_S = 0.4
"""Pause after a change before the next call. Servers that start together or are
replaced change in series, and one call then returns several rows. The pause
delays the news of a leaving server, which must be known within two seconds."""

INDIRECT_PAUSE_S = 25.0
INDIRECT_SPREAD = 0.2
"""Pause between two calls on an instance to which other instances forward
changes, and the fraction by which it varies at random. It waits for no changes
at the store. The pause ends early once those instances are silent, or the data
becomes too old."""

MIN_RECHECK_AGE_S = 1.0
"""Minimum age of the store's last answer before it is asked again because
another instance has lost it. Many instances may lose it within a second; one
call answers them all."""

STALE_READ_PAUSE_S = 0.3
"""Pause before a full read is repeated because it returned an older version."""


@dataclasses.dataclass(frozen=True)
class TablePage:
    """Rows as of one version of the store.

    Attributes:
        rows: The rows.
        version: The store's version when it answered.
        now_s: The store's monotonic clock when it answered, in seconds.
    """

    rows: tuple[ServerRow, ...]
    version: int
    now_s: float = 0.0


class HistoryGoneError(StoreError):
    """The store no longer has the changes since a version; read all rows."""


class TableSource(Protocol):
    """A table of the store."""

    async def read(self) -> TablePage:
        """Returns all rows."""

    async def changes(self, after: int, wait_s: float) -> TablePage:
        """Waits up to `wait_s` for rows that changed after a version."""


class StoreMonitor:
    """Tracks whether the store answers the calls of this instance.

    Attributes:
        last_answer_at: Monotonic time of the store's last answer to any call.
        lost_since: Monotonic time at which the store was lost the last time.
        on_confirmed_or_lost: Called when the store itself has confirmed the
            data up to a later moment, and when the store becomes unreachable.
        outage: Returns what the other instances' reports say about the loss.
        turns: Decides which call tries a store that does not answer, and when.
    """

    def __init__(
        self,
        registry: Registry,
        freshness: Freshness,
        log: EventLog,
        rng: random.Random | None = None,
    ):
        self._registry = registry
        self._freshness = freshness
        self._log = log
        self._failing_calls: set[str] = set()
        self._abort_waits: dict[str, anyio.Event] = {}
        self._aborted_at = float("-inf")
        self.last_answer_at = float("-inf")
        self.lost_since = float("-inf")
        self.on_confirmed_or_lost: Callable[[], None] = lambda: None
        self.outage: Callable[[], Outage] = lambda: Outage.UNCONFIRMED
        self.turns = RetryTurns(
            RetryBackoff(rng or random.Random()),
            lambda: self.outage(),
            lambda: (RETRY_MIN_S, RETRY_MAX_S),
        )

    @property
    def lost(self) -> bool:
        """Whether the last call of any kind failed."""
        return bool(self._failing_calls)

    def abort_waits(self, call: str) -> anyio.Event:
        """Returns an event that is set when a waiting call must be aborted.

        Args:
            call: The kind of call.
        """
        return self._abort_waits.setdefault(call, anyio.Event())

    def failed(self, call: str, why: str) -> None:
        """Records a failed call.

        Args:
            call: The kind of call.
            why: Why it failed.
        """
        first = not self._failing_calls
        self._failing_calls.add(call)
        self._registry.mark_store_unreachable()
        self.turns.failed(call)
        if first:
            self.lost_since = time.monotonic()
            self._log.warn(
                "dependency_lost",
                name="store",
                call=call,
                answered_s=round(time.monotonic() - self.last_answer_at, 2),
                why=why,
            )
            self._abort_waiting_calls()
            self.on_confirmed_or_lost()

    def succeeded(self, call: str) -> None:
        """Records a successful call.

        Args:
            call: The kind of call.
        """
        now = time.monotonic()
        self.last_answer_at = now
        was_lost = bool(self._failing_calls)
        self._failing_calls.discard(call)
        self.turns.succeeded(call)
        if self._failing_calls:
            return
        self._registry.mark_store_reachable(now)
        if was_lost:
            self._log.warn("dependency_regained", name="store")

    def record_answer(self, table: str, version: int, at: float) -> None:
        """Records an answer on a table whose rows have been applied.

        Args:
            table: The table.
            version: The store's newest version, according to the answer.
            at: Boot time at which that was the newest version, in seconds.
        """
        if self._freshness.record_answer(table, version, at):
            self.on_confirmed_or_lost()

    def abort_waits_if_older(self, max_age_s: float) -> None:
        """Aborts waiting calls once the data is older than a limit.

        A waiting call that an outage has left unanswered looks like one that
        waits for a change, and no other call need fail: all instances would
        hold an old configuration although the store is reachable. An instance
        that has lost the store calls it without waiting anyway.

        Args:
            max_age_s: Age of the data above which the store is asked again.
        """
        now = now_s()
        if self._failing_calls or now - self._aborted_at < MIN_ABORT_INTERVAL_S:
            return
        if self._freshness.age_s(now) > max_age_s:
            self._aborted_at = now
            self._abort_waiting_calls()

    def on_new_era(self) -> None:
        """Aborts waiting calls because the store came back from a copy.

        They wait for changes after a version that means another one now.
        """
        self._abort_waiting_calls()

    def check(self) -> None:
        """Aborts a waiting call because another instance has lost the store.

        Waiting calls may show an outage only after seconds. Meanwhile the
        lapsed rows of living servers would be taken for removals here, and
        through this instance's list also at the others: the pool would be empty
        until the servers are back, up to two seconds after the store's return.
        One call shows it; the others are aborted if that one fails.
        """
        if (
            self._failing_calls
            or time.monotonic() - self.last_answer_at < MIN_RECHECK_AGE_S
        ):
            return
        for call in sorted(self._abort_waits)[:1]:
            self._abort_waits.pop(call).set()

    def _abort_waiting_calls(self) -> None:
        aborted, self._abort_waits = self._abort_waits, {}
        for event in aborted.values():
            event.set()


@dataclasses.dataclass(frozen=True)
class FollowMode:
    """How a table is followed.

    Attributes:
        wait_s: How long a call waits for a change.
        batch_pause_s: Pause after a change before the next call.
        indirect: Whether other instances forward changes, so that calls wait
            for none and the pause precedes each of them.
    """

    wait_s: float = LONG_POLL_S
    batch_pause_s: float = dataclasses.field(
        default_factory=lambda: BATCH_PAUSE_S
    )
    indirect: bool = False


INDIRECT_MODE = FollowMode(batch_pause_s=INDIRECT_PAUSE_S, indirect=True)
"""How an instance to which others forward changes follows a table."""


class TableFollower:
    """Follows one table until cancelled."""

    def __init__(
        self,
        name: str,
        source: TableSource,
        state: StoreMonitor,
        counters: Counters,
        rng: random.Random,
        mode: Callable[[], FollowMode] = FollowMode,
    ):
        """Creates a follower.

        Args:
            name: The table's name in logs.
            source: The table.
            state: Records failed and successful calls.
            counters: Counts calls.
            rng: Randomises the pauses where changes are forwarded.
            mode: Returns how to follow the table from now on.
        """
        self._mode = mode
        self._name = name
        self._source = source
        self._state = state
        self._counters = counters
        self._rng = rng

    async def run(
        self,
        apply_all: Callable[[TablePage], bool],
        apply_changes: Callable[[TablePage], None],
        start: Callable[[], Awaitable[int | None]] | None = None,
    ) -> None:
        """Follows the table.

        Args:
            apply_all: Applies a full read; returns false if it is older than
                the data applied before.
            apply_changes: Applies changed rows.
            start: Returns the version from which to follow the table; None to
                read all rows first.
        """
        after = await start() if start is not None else None
        # The first call after a failure does not wait for a change. Otherwise
        # the store's return would be noticed only with the next change, and if
        # that change were a removed row, it would be taken for one that lapsed
        # during the outage.
        wait_s = 0.0 if after is None else await self._next_wait_s()
        while True:
            try:
                if after is None or not wait_s:
                    await self._state.turns.take(self._name)
                if after is None:
                    after = await self._read_all(apply_all)
                    continue
                asked_at = now_s()
                page = await self._changes(after, wait_s)
                if page is None:
                    wait_s = 0.0
                    continue
                newest_at = _newest_at(page, asked_at, wait_s)
            except HistoryGoneError:
                self._state.succeeded(self._name)
                after = None
                continue
            except StoreError as exc:
                wait_s = 0.0
                self._counters.incr("store.failed")
                self._state.failed(self._name, exc.message)
                continue
            self._succeeded()
            after = max(after, page.version)
            if page.rows:
                apply_changes(page)
            self._state.record_answer(self._name, page.version, newest_at)
            wait_s = await self._next_wait_s(changed=bool(page.rows))

    async def _next_wait_s(self, *, changed: bool = False) -> float:
        """Pauses if needed; returns how long the next call waits for changes.

        Args:
            changed: Whether the last call returned changes.
        """
        mode = self._mode()
        pauses = changed or mode.indirect
        if pauses and await self._pause_aborted():
            return 0.0
        return 0.0 if mode.indirect else mode.wait_s

    async def _changes(self, after: int, wait_s: float) -> TablePage | None:
        """Waits for changes; returns None if the wait was aborted.

        An outage may leave a waiting call unanswered for good, on a connection
        that looks alive. Until that call times out it would see no change, and
        requests would go on to a server that has announced that it leaves. The
        first call that fails therefore aborts all waiting calls, on this
        instance and on the others.
        """
        if not wait_s:
            return await self._source.changes(after, wait_s)
        page = failure = None
        async with anyio.create_task_group() as group:
            abort_waits = self._state.abort_waits(self._name)
            group.start_soon(_cancel_when, abort_waits, group)
            try:
                page = await self._source.changes(after, wait_s)
            except StoreError as exc:
                failure = exc
            group.cancel_scope.cancel()
        if failure is not None:
            raise failure
        return page

    async def _pause_aborted(self) -> bool:
        """Pauses between calls; returns whether the pause was aborted.

        An outage that begins in a long pause would not be noticed here, and
        rows that lapse in it would be taken for removals. The pause is
        shortened once the instances that forward changes have become
        unresponsive.
        """
        abort_waits = self._state.abort_waits(self._name)
        began = time.monotonic()
        spread = self._rng.uniform(1 - INDIRECT_SPREAD, 1 + INDIRECT_SPREAD)
        while not abort_waits.is_set():
            mode = self._mode()
            pause_s = mode.batch_pause_s * (spread if mode.indirect else 1.0)
            left_s = began + pause_s - time.monotonic()
            if left_s <= 0:
                break
            with anyio.move_on_after(min(left_s, BATCH_PAUSE_S)):
                await abort_waits.wait()
        return abort_waits.is_set()

    async def _read_all(
        self, apply_all: Callable[[TablePage], bool]
    ) -> int | None:
        asked_at = now_s()
        page = await self._source.read()
        self._succeeded()
        if apply_all(page):
            self._state.record_answer(self._name, page.version, asked_at)
            return page.version
        await anyio.sleep(STALE_READ_PAUSE_S)
        return None

    def _succeeded(self) -> None:
        self._counters.incr("store.calls")
        self._state.succeeded(self._name)


def _newest_at(page: TablePage, asked_at: float, wait_s: float) -> float:
    """Returns a moment at which a page's version was the store's newest.

    An answer may have been buffered while this process was stalled, so the
    moment at which it is read proves nothing.
    """
    wait_ended_at = asked_at + wait_s
    return (
        wait_ended_at
        if not page.rows and now_s() >= wait_ended_at
        else asked_at
    )


async def _cancel_when(event: anyio.Event, group: TaskGroup) -> None:
    await event.wait()
    group.cancel_scope.cancel()


class RegistryFeed:
    """Applies the tables' rows to the registry and logs each change."""

    def __init__(
        self, registry: Registry, key: str, counters: Counters, log: EventLog
    ):
        """Creates the feed.

        Args:
            registry: Receives the rows.
            key: Key of the configuration's row.
            counters: Counts unreadable rows.
            log: Receives events.
        """
        self._registry = registry
        self._key = key
        self._counters = counters
        self._log = log
        self._unreadable_configuration = (0, b"")
        self.on_leaving: Callable[[str], None] = lambda server: None
        self.on_removed: Callable[[str], None] = lambda server: None
        self.on_ended: Callable[[BackendServer], None] = lambda server: None
        self.on_changed: Callable[[], None] = lambda: None

    def apply_operator_rows(self, page: TablePage) -> bool:
        """Applies rows of the operator's table."""
        for row in page.rows:
            if row.id == self._key and row.data is not None:
                self.apply_configuration(row.version, row.data, "store")
        self.on_changed()
        return True

    def apply_configuration(
        self, version: int, data: bytes, source: str
    ) -> None:
        """Applies a configuration from the store or from another instance."""
        try:
            applied = self._registry.apply_configuration(version, data)
        except Exception as exc:
            # The current configuration stays in force; an unreadable one is
            # never applied in part, whatever is wrong with it.
            self._report_unreadable(version, data, exc)
            return
        if applied:
            self._log.warn(
                "configuration",
                version=self._registry.catalog.version,
                row_version=storeversion.number_of(version),
                source=source,
            )
        elif not self._registry.holds_configuration(data):
            # The row holds an older configuration than the one in force, which
            # never goes back.
            self._log.warn(
                "configuration_passed_over",
                version=self._registry.catalog.version,
                row_version=storeversion.number_of(version),
                era=storeversion.era_of(version),
                source=source,
            )

    def _report_unreadable(
        self, version: int, data: bytes, error: Exception
    ) -> None:
        """Logs a configuration, unless it has been read before."""
        if (version, data) == self._unreadable_configuration:
            return
        self._unreadable_configuration = (version, data)
        self._log.warn(
            "configuration_unreadable",
            row_version=storeversion.number_of(version),
            why=str(error),
        )

    def apply_all_servers(self, page: TablePage) -> bool:
        """Applies a full read of the servers' rows; ignores an older one."""
        if page.version < self._registry.servers_version:
            self._counters.incr("store.older_read")
            self._log.info(
                "servers_ignored",
                read_version=storeversion.number_of(page.version),
                held=storeversion.number_of(self._registry.servers_version),
            )
            return False
        self._apply(page, self._registry.apply_full_read)
        return True

    def apply_server_changes(self, page: TablePage) -> None:
        """Applies changed servers' rows."""
        self._apply(page, self._registry.apply_changes)

    def _apply(self, page: TablePage, apply: Callable) -> None:
        changes = apply(page.rows, page.version)
        self.report_changes(changes, "store")
        self.on_changed()

    def expire(self, now: float) -> None:
        """Removes servers that did not return after an outage.

        A server that left without announcing it may still serve requests in
        flight, so its streams are moved like those of any other server that is
        gone.
        """
        claims = self._registry.believe_claims(now)
        if claims:
            self.report_changes(claims, "standing row")
            self.on_changed()
        for server in self._registry.expire(now):
            self._end(server)
            self._log.warn(
                "server",
                server=server.id,
                state="gone",
                why="row not renewed after the store outage",
            )

    def report_changes(self, changes: list[ServerChange], source: str) -> None:
        """Logs each change of a server and calls the callbacks."""
        for change in changes:
            if change.why:
                self._counters.incr("server.unreadable")
                self._log.warn(
                    "server_unreadable",
                    server=foreignbytes.shown(change.row.id),
                    row_version=storeversion.number_of(change.row.version),
                    why=change.why,
                    source=source,
                )
                continue
            if change.kept:
                self._counters.incr("server.kept")
            self._notify(change)
            self._log.warn(
                "server",
                server=(change.after or change.before).id,
                state=_state(change),
                version=(change.after or change.before).software_version,
                row_version=storeversion.number_of(change.row.version),
                source=source,
            )

    def _notify(self, change: ServerChange) -> None:
        if change.ended is not None:
            self._end(change.ended)
        elif change.overwritten is not None:
            self.on_ended(change.overwritten)
        if change.after is not None and change.after.draining:
            self.on_leaving(change.after.id)

    def _end(self, server: BackendServer) -> None:
        self.on_leaving(server.id)
        self.on_removed(server.id)
        self.on_ended(server)


def _state(change: ServerChange) -> str:
    if change.after is None:
        return "gone"
    if change.kept:
        return "kept without a row"
    return "draining" if change.after.draining else "in use"
