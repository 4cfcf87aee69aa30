"""Has the store confirm the list of servers for those that need a proof now."""

import time

import anyio

from jasminerelay.errors import StoreError
from jasminerelay.freshness import now_s
from jasminerelay.metrics import Counters
from jasminerelay.registry import Registry
from jasminerelay.storefollowing import (
    HistoryGoneError,
    RegistryFeed,
    StoreMonitor,
    TableSource,
)

MIN_INTERVAL_S = 0.05
"""Minimum time between the begins of two calls."""

TIMEOUT_S = 0.6
"""Longest wait for the store. It answers within milliseconds, a slow one within
0.3 s."""


class ListProof:
    """Calls that show the list of servers to be complete.

    All that ask before a call begins share it, as its answer is later than each
    of their questions. One that has begun may have been answered before.
    """

    def __init__(
        self,
        table: str,
        source: TableSource,
        registry: Registry,
        feed: RegistryFeed,
        state: StoreMonitor,
        counters: Counters,
    ):
        """Creates the proof of an instance.

        Args:
            table: Name of the servers' table.
            source: The servers' table.
            registry: The list.
            feed: Applies what the answers bring.
            state: Whether the store answers.
            counters: Counts calls.
        """
        self._table = table
        self._source = source
        self._registry = registry
        self._feed = feed
        self._state = state
        self._counters = counters
        self._began_at = float("-inf")
        self._calling = anyio.Lock()
        self._calls_begun = 0
        self._last_good = 0

    async def confirm(self) -> bool:
        """Has the store confirm the list; returns whether it did.

        A store that has not answered this instance's last call is not asked.
        """
        asked = self._calls_begun
        with anyio.move_on_after(TIMEOUT_S):
            async with self._calling:
                if self._last_good <= asked:
                    await self._call()
        return self._last_good > asked

    async def _call(self) -> None:
        if self._state.lost:
            return
        pause_s = self._began_at + MIN_INTERVAL_S - time.monotonic()
        await anyio.sleep(max(0.0, pause_s))
        self._began_at = time.monotonic()
        self._calls_begun += 1
        number = self._calls_begun
        self._counters.incr("origin.store_calls")
        try:
            if await self._update():
                self._last_good = number
        except StoreError:
            return

    async def _update(self) -> bool:
        """Reads the table; returns whether the list is complete by it."""
        asked_at = now_s()
        after = self._registry.servers_version
        try:
            page = await self._source.changes(after, 0.0)
            if page.rows:
                self._feed.apply_server_changes(page)
        except HistoryGoneError:
            page = await self._source.read()
            if not self._feed.apply_all_servers(page):
                return False
        if page.version < after or self._registry.lacks_rows:
            return False
        self._state.record_answer(self._table, page.version, asked_at)
        return True
