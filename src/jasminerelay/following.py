"""Follows the store's tables and keeps the registry up to date."""

import dataclasses
import random
import time
from collections.abc import Callable
from typing import Protocol

import anyio
from anyio.abc import TaskGroup

from jasminerelay.catalog import BackendServer
from jasminerelay.errors import StoreError
from jasminerelay.eventlog import EventLog
from jasminerelay.freshness import Freshness, now_s
from jasminerelay.metrics import Counters
from jasminerelay.registry import Registry, ServerNews
from jasminerelay.schema.messages import ServerRow

WAIT_S = 25.0
"""How long the store holds a call until there is a change; it holds them for
half a minute at most. Longer waits save calls. That nothing is heard meanwhile
proves nothing; the knowledge's age says when to ask anew."""

LEAD_WAIT_S = 0.9
"""The wait of the instance that proves the knowledge for all: its calls come
back often, empty or not, and each answer is a proof."""

RENEW_LEAST_S = 0.5
"""Least time between two rounds in which waiting calls are given up."""

RETRY_LEAST_S = 0.2
RETRY_MOST_S = 0.6
"""Pause after a call that failed, spread so that the instances do not come
back at the same moment. A change must be in force within two seconds."""

GATHER_S = 0.4
"""Pause after a change before the next call: servers that start together or
are replaced change in series, and one call then brings several. It delays word
of a leaving server, which must be known within two seconds."""

FAR_GATHER_S = 5.0
"""The same pause where others follow closely and tell of changes: servers that
start one after the other bring changes for as long."""

CHECK_AGE_S = 1.0
"""Age of the store's last answer from which on it is asked again once another
instance has lost it. Many may lose it within a second; one call serves all."""

STALE_PAUSE_S = 0.3
"""Pause before all rows are read again when the store gave older ones."""


@dataclasses.dataclass(frozen=True)
class Page:
    """Rows as of one moment.

    Attributes:
        rows: The rows.
        version: The store's version at that moment.
        now_s: The store's steady clock as it answered, in seconds.
    """

    rows: tuple[ServerRow, ...]
    version: int
    now_s: float = 0.0


class HistoryGoneError(StoreError):
    """Changes since a version are no longer to be had; read all rows."""


class Source(Protocol):
    """A table of the store."""

    async def read(self) -> Page:
        """Returns all rows."""

    async def changes(self, after: int, wait_s: float) -> Page:
        """Waits for rows that changed after a version."""


class StoreState:
    """Whether the store answers this instance, over all that ask it.

    Attributes:
        answered: Steady time of its last answer to any call.
        on_news: Is called once the knowledge is proved anew by the store
            itself, and once the store is lost.
    """

    def __init__(self, registry: Registry, freshness: Freshness, log: EventLog):
        self._registry = registry
        self._freshness = freshness
        self._log = log
        self._lost_by: set[str] = set()
        self._doubt = anyio.Event()
        self._renewed_at = float("-inf")
        self.answered = float("-inf")
        self.on_news: Callable[[], None] = lambda: None

    @property
    def lost(self) -> bool:
        """Whether the last call of someone failed."""
        return bool(self._lost_by)

    @property
    def doubt(self) -> anyio.Event:
        """Is set once waiting calls may be without an answer for good."""
        return self._doubt

    def failed(self, who: str, why: str) -> None:
        """Notes a call that failed."""
        first = not self._lost_by
        self._lost_by.add(who)
        self._registry.store_lost()
        if first:
            self._log.trouble(
                "dependency_lost",
                name="store",
                call=who,
                answered_s=round(time.monotonic() - self.answered, 2),
                why=why,
            )
            self._renew()
            self.on_news()

    def worked(self, who: str) -> None:
        """Notes a call that worked."""
        now = time.monotonic()
        self.answered = now
        was_lost = bool(self._lost_by)
        self._lost_by.discard(who)
        if self._lost_by:
            return
        self._registry.store_regained(now)
        if was_lost:
            self._log.trouble("dependency_regained", name="store")

    def proved(self, table: str, version: int, at: float) -> None:
        """Notes an answer on a table whose rows have been taken.

        Args:
            table: The table.
            version: The store's newest version, by the answer.
            at: When that was the newest one, by `freshness.now_s`.
        """
        if self._freshness.answered(table, version, at):
            self.on_news()

    def renew_after(self, patience_s: float) -> None:
        """Has the store asked anew once the knowledge is too old.

        A waiting call that an outage has left without an answer looks like
        one that waits for a change, and no other call need fail: all
        instances would hold an old configuration with the store at hand. Who
        has lost the store asks without waiting anyway.

        Args:
            patience_s: Age of the knowledge from which on it is asked.
        """
        now = now_s()
        if self._lost_by or now - self._renewed_at < RENEW_LEAST_S:
            return
        if self._freshness.age_s(now) > patience_s:
            self._renewed_at = now
            self._renew()

    def check(self) -> None:
        """Has the store asked at once, since another instance has lost it.

        Calls that wait may show an outage only after seconds. Rows of living
        servers that lapse in it would pass for removals here, and by this
        instance's list at the others: the pool would be empty until the
        servers are back, up to two seconds after the store.
        """
        if self._lost_by or time.monotonic() - self.answered < CHECK_AGE_S:
            return
        self._renew()

    def _renew(self) -> None:
        self._doubt.set()
        self._doubt = anyio.Event()


@dataclasses.dataclass(frozen=True)
class Manner:
    """How a table is followed.

    Attributes:
        wait_s: How long a call waits for a change.
        gather_s: Pause after a change before the next call.
    """

    wait_s: float = WAIT_S
    gather_s: float = dataclasses.field(default_factory=lambda: GATHER_S)


class Follower:
    """Follows one table until cancelled."""

    def __init__(
        self,
        name: str,
        source: Source,
        state: StoreState,
        counters: Counters,
        rng: random.Random,
        manner: Callable[[], Manner] = Manner,
    ):
        """Makes a follower.

        Args:
            name: Names it in logs.
            source: The table.
            state: Takes notes of lost and regained touch.
            counters: Counts calls.
            rng: Spreads the tries.
            manner: Returns how to follow from now on.
        """
        self._manner = manner
        self._name = name
        self._source = source
        self._state = state
        self._counters = counters
        self._rng = rng

    async def run(
        self,
        take_all: Callable[[Page], bool],
        take_changes: Callable[[Page], None],
    ) -> None:
        """Follows the table.

        Args:
            take_all: Takes all rows; returns whether they are as new as what
                was known.
            take_changes: Takes changed rows.
        """
        after: int | None = None
        # The first call after a failure asks for what there is now. A call
        # that waits for a change would tell of the store's return only with
        # the next change, and that change, a row that went, would be taken
        # for one that lapsed in the outage.
        wait_s = 0.0
        while True:
            try:
                if after is None:
                    after = await self._read_all(take_all)
                    continue
                asked = now_s()
                page = await self._changes(after, wait_s)
                if page is None:
                    wait_s = 0.0
                    continue
                newest_at = _newest_at(page, asked, wait_s)
                wait_s = self._manner().wait_s
            except HistoryGoneError:
                after = None
                continue
            except StoreError as exc:
                wait_s = 0.0
                self._counters.incr("store.failed")
                self._state.failed(self._name, exc.message)
                await anyio.sleep(
                    self._rng.uniform(RETRY_LEAST_S, RETRY_MOST_S)
                )
                continue
            self._worked()
            after = max(after, page.version)
            if page.rows:
                take_changes(page)
            self._state.proved(self._name, page.version, newest_at)
            if page.rows and await self._doubted():
                wait_s = 0.0

    async def _changes(self, after: int, wait_s: float) -> Page | None:
        """Waits for changes; None once the store is in doubt.

        An outage may leave a waiting call without an answer for good, on a
        connection that looks alive. Until its own time is over it hears of
        no change, and requests go on to a server that has said that it
        leaves. Who fails first therefore has all ask anew, here and at the
        other instances.
        """
        if not wait_s:
            return await self._source.changes(after, wait_s)
        page = failure = None
        async with anyio.create_task_group() as group:
            group.start_soon(_cancel_when, self._state.doubt, group)
            try:
                page = await self._source.changes(after, wait_s)
            except StoreError as exc:
                failure = exc
            group.cancel_scope.cancel()
        if failure is not None:
            raise failure
        return page

    async def _doubted(self) -> bool:
        """Pauses; returns whether the store came into doubt meanwhile.

        An outage that begins in a long pause would not be noticed here, and
        rows that lapse in it would pass for removals. Nor may the pause go on
        once those who told of changes are silent.
        """
        doubt = self._state.doubt
        began = time.monotonic()
        while not doubt.is_set():
            left_s = began + self._manner().gather_s - time.monotonic()
            if left_s <= 0:
                break
            with anyio.move_on_after(min(left_s, GATHER_S)):
                await doubt.wait()
        return doubt.is_set()

    async def _read_all(self, take_all: Callable[[Page], bool]) -> int | None:
        asked = now_s()
        page = await self._source.read()
        self._worked()
        if take_all(page):
            self._state.proved(self._name, page.version, asked)
            return page.version
        await anyio.sleep(STALE_PAUSE_S)
        return None

    def _worked(self) -> None:
        self._counters.incr("store.calls")
        self._state.worked(self._name)


def _newest_at(page: Page, asked: float, wait_s: float) -> float:
    """Returns a moment at which a page's version was the store's newest.

    An answer may have lain in a buffer while this process stood still, so the
    moment at which it is read proves nothing.
    """
    over = asked + wait_s
    return over if not page.rows and now_s() >= over else asked


async def _cancel_when(event: anyio.Event, group: TaskGroup) -> None:
    await event.wait()
    group.cancel_scope.cancel()


class RegistryFeed:
    """Brings the tables' rows into the registry, with a line for each news."""

    def __init__(
        self, registry: Registry, key: str, counters: Counters, log: EventLog
    ):
        """Makes the feed.

        Args:
            registry: Takes the rows.
            key: Key of the configuration's row.
            counters: Counts rows that cannot be read.
            log: Takes events.
        """
        self._registry = registry
        self._key = key
        self._counters = counters
        self._log = log
        self.on_leaving: Callable[[str], None] = lambda server: None
        self.on_gone: Callable[[str], None] = lambda server: None
        self.on_changed: Callable[[], None] = lambda: None

    def take_configuration(self, page: Page) -> bool:
        """Takes rows of the operator's table."""
        for row in page.rows:
            if row.id == self._key and row.data is not None:
                self.adopt_configuration(row.version, row.data, "store")
        self.on_changed()
        return True

    def adopt_configuration(
        self, version: int, data: bytes, source: str
    ) -> None:
        """Takes a configuration, whoever brought it."""
        try:
            news = self._registry.take_configuration(version, data)
        except ValueError as exc:
            # The one in force stays: half a configuration is none.
            self._log.trouble("configuration_unreadable", why=str(exc))
            return
        if news:
            self._log.trouble(
                "configuration",
                version=self._registry.catalog.version,
                row_version=version,
                source=source,
            )
        elif version > self._registry.standing.configuration_version:
            # The row is newer and its configuration older than the one in
            # force, which never goes back.
            self._log.trouble(
                "configuration_passed_over",
                version=self._registry.catalog.version,
                row_version=version,
                source=source,
            )

    def take_all_servers(self, page: Page) -> bool:
        """Takes all servers' rows; older ones are passed over."""
        if page.version < self._registry.servers_version:
            return False
        self._take(page, self._registry.take_all)
        return True

    def take_servers(self, page: Page) -> None:
        """Takes changed servers' rows."""
        self._take(page, self._registry.take_changes)

    def _take(self, page: Page, take: Callable) -> None:
        news = take(page.rows, page.version)
        self.report(news, "store")
        self.on_changed()

    def expire(self, now: float) -> None:
        """Ends the use of servers that stayed away after an outage.

        One that left without a word may still serve what it has under way,
        so its streams are moved like those of any other that is gone.
        """
        for server in self._registry.expire(now):
            self._end(server)
            self._log.trouble(
                "server",
                server=server.id,
                state="gone",
                why="did not come back after the store's outage",
            )

    def report(self, news: list[ServerNews], source: str) -> None:
        """Writes a line for each server with news."""
        for item in news:
            if item.why:
                self._counters.incr("server.unreadable")
                self._log.trouble(
                    "server_unreadable",
                    server=item.row.id,
                    row_version=item.row.version,
                    why=item.why,
                    source=source,
                )
                continue
            if item.kept:
                self._counters.incr("server.kept")
            self._tell(item)
            self._log.trouble(
                "server",
                server=(item.after or item.before).id,
                state=_state(item),
                row_version=item.row.version,
                source=source,
            )

    def _tell(self, item: ServerNews) -> None:
        if item.ended is not None:
            self._end(item.ended)
        if item.after is not None and item.after.draining:
            self.on_leaving(item.after.id)

    def _end(self, server: BackendServer) -> None:
        self.on_leaving(server.id)
        self.on_gone(server.id)


def _state(item: ServerNews) -> str:
    if item.after is None:
        return "gone"
    if item.kept:
        return "kept without a row"
    return "draining" if item.after.draining else "in use"
