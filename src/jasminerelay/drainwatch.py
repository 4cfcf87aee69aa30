"""Tracks which backend servers have announced that they shut down.

A server that shuts down says so in its row in the store, and in its responses.
Its responses also reach an instance that the store does not.
"""

import collections

from jasminerelay.eventlog import EventLog
from jasminerelay.exchange import ResponseHead
from jasminerelay.metrics import Counters

MAX_SERVERS = 1024
"""Limit on the servers that are remembered; more than shut down within the
longest outage of the store."""


class DrainWatch:
    """Servers that have announced in a response that they shut down."""

    def __init__(self, counters: Counters, log: EventLog):
        """Creates a watch without any servers.

        Args:
            counters: Counts events.
            log: Receives events.
        """
        self._counters = counters
        self._log = log
        self._announced: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def announced(self, server: str) -> bool:
        """Returns whether a server has announced that it shuts down."""
        return server in self._announced

    def on_request(self, server: str) -> None:
        """Counts a request that is sent to a server after its announcement."""
        if self.announced(server):
            self._counters.incr("drain.sent")

    def on_response(self, server: str, head: ResponseHead) -> None:
        """Handles the response head of a server to this instance's request."""
        if head.leaving:
            self._record(server, "server")

    def _record(self, server: str, source: str) -> None:
        if self.announced(server):
            return
        self._announced[server] = None
        if len(self._announced) > MAX_SERVERS:
            self._announced.popitem(last=False)
        self._counters.incr("drain.announced")
        self._log.warn("drain_announced", server=server, source=source)
