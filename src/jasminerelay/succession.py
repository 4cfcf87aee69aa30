"""Finds another server for a request whose server sends nothing.

The request stays at the silent server until another one has accepted it, so
that a search which fails costs its caller nothing.
"""

import dataclasses
from collections.abc import Awaitable, Callable

import anyio

from jasminerelay.attempt import Attempt
from jasminerelay.catalog import BackendServer
from jasminerelay.exchange import (
    Failed,
    Interrupted,
    NotRun,
    Outcome,
    Unknown,
)
from jasminerelay.scheduling.handover import Handover

SEARCH_INTERVAL_S = 0.25
"""Interval at which a server is sought again, after no place was found, the
retry budget was used up, or a server rejected the request."""

MAX_REJECTIONS = 3
"""Servers that may reject one request of a silent server before the search
ends."""


@dataclasses.dataclass(eq=False)
class Run:
    """A request at one server.

    Attributes:
        attempt: Sends it there.
        server: The server.
        outcome: How it ended; None before that.
        ended: Set then.
        search: Search for another server, once this one has been silent.
    """

    attempt: Attempt
    server: BackendServer
    outcome: Outcome | None = None
    ended: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    search: "Search | None" = None

    @property
    def taken_over_by(self) -> "Run | None":
        """The run that goes on with the answer; None if this one does."""
        search = self.search
        if search is None or search.successor is None:
            return None
        if search.handover.open and isinstance(
            self.outcome, Unknown | Interrupted | NotRun | Failed
        ):
            # Its server has none to go on with, and another one is asked.
            search.handover.take()
        return search.successor if search.handover.taken else None


class Search:
    """The search for another server while one is silent.

    Attributes:
        handover: Decides which server goes on.
        successor: The run at the server that was asked; None between two.
        ended: Set once nothing of it is under way any more.
    """

    def __init__(self, handover: Handover, before: Callable[[], Awaitable]):
        """Creates a search.

        Args:
            handover: Decides which server goes on.
            before: Awaited once before the first server is sought.
        """
        self.handover = handover
        self.successor: Run | None = None
        self.ended = anyio.Event()
        self._before = before
        self._scope = anyio.CancelScope()
        self._rejections = 0
        handover.on_kept = self._scope.cancel

    async def cancel(self) -> None:
        """Ends the search, and what was sent."""
        self._scope.cancel()
        # What was sent counts as a run from then on.
        await self.ended.wait()

    async def run(self, ask: Callable[["Search"], Awaitable[None]]) -> None:
        """Searches until one of the servers goes on.

        Args:
            ask: Sends the request to another server if it finds one; sets
                `successor` meanwhile, and leaves it set if that one goes on.
        """
        try:
            with self._scope:
                await self._before()
                while self.handover.open and self._rejections < MAX_REJECTIONS:
                    await ask(self)
                    if not self.handover.open:
                        return
                    await anyio.sleep(SEARCH_INTERVAL_S)
        finally:
            self.ended.set()

    def record_rejection(self) -> None:
        """Notes that a server did not take over."""
        self.successor = None
        self._rejections += 1
