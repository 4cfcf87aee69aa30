"""Polls backend servers for load reports and prefix cache events."""

import time
from collections.abc import Callable, Iterable

import anyio

from jasminerelay.backends import fetch_cache_events, fetch_load_report
from jasminerelay.httpclient import HttpClient
from jasminerelay.metrics import Counters
from jasminerelay.schema.manifest import Server
from jasminerelay.schema.messages import CacheEvent, LoadReport

LoadSubscriber = Callable[[str, LoadReport, float], None]
CacheEventSubscriber = Callable[[str, list[CacheEvent]], None]


class LoadPoller:
    """Polls the servers that a callback returns, all concurrently."""

    def __init__(
        self,
        client: HttpClient,
        servers: Callable[[], Iterable[Server]],
        load_subscriber: LoadSubscriber,
        cache_event_subscriber: CacheEventSubscriber,
        counters: Counters,
        interval_s: float,
    ):
        """Initialises the poller.

        Args:
            client: HTTP client.
            servers: Returns the servers to poll; called for each round.
            load_subscriber: Receives each report with the time of its arrival.
            cache_event_subscriber: Receives new cache events.
            counters: Counts reports, missing reports and cache events.
            interval_s: Seconds between polls of a server.
        """
        self._client = client
        self._servers = servers
        self._load_subscriber = load_subscriber
        self._cache_event_subscriber = cache_event_subscriber
        self._last_sequences: dict[str, int] = {}
        self._counters = counters
        self._interval_s = interval_s

    async def run(self) -> None:
        """Polls until cancelled."""
        while True:
            async with anyio.create_task_group() as group:
                for server in self._servers():
                    group.start_soon(self.poll, server)
                group.start_soon(anyio.sleep, self._interval_s)

    async def poll(self, server: Server) -> None:
        """Polls one server once."""
        report = await fetch_load_report(self._client, server, self._interval_s)
        if report is None:
            self._counters.incr("load.silent")
            return
        self._counters.incr("load.reports")
        self._load_subscriber(server.name, report, time.monotonic())
        if server.cache_events:
            await self._poll_cache_events(server)

    async def _poll_cache_events(self, server: Server) -> None:
        after = self._last_sequences.get(server.name, -1)
        events = await fetch_cache_events(
            self._client, server, after, self._interval_s
        )
        if events:
            self._counters.incr("cache.events", len(events))
            self._last_sequences[server.name] = events[-1].sequence
            self._cache_event_subscriber(server.name, events)
