"""Moves streams away from servers that shut down.

A server that shuts down continues serving for a few seconds and then ends, so
longer answers are cut off there, and the answer to a request that may run only
once is lost with all its tokens. Its KV cache is therefore copied to another
server, where the stream continues after the last event; the caller sees a short
pause.
"""

import dataclasses
from typing import Protocol

import anyio

from jasminerelay.catalog import BackendServer, Call
from jasminerelay.eventlog import EventLog
from jasminerelay.httpclient import (
    HttpClient,
    HttpRequest,
    HttpResponse,
    IncompleteExchangeError,
    NotSentError,
)
from jasminerelay.metrics import Counters

MIN_REMAINING_S = 1.0
"""Minimum estimated remaining time of a stream that is moved; shorter ones end
in place. Servers serve for two seconds after they announce the shutdown, and
the notice arrives slightly late."""

MOVE_TIMEOUT_S = 1.0
"""Timeout of a move. The stream is paused meanwhile, and its caller disconnects
if the next event takes longer than the pause that it allows between two."""

MAX_CONCURRENT_MOVES = 2
"""Maximum concurrent moves of one instance from one server. Copies queue on the
server's link, and a stream that waits there is paused."""


@dataclasses.dataclass(frozen=True)
class KvCacheCopy:
    """A copy of a run's KV cache from which the run can continue.

    Attributes:
        source: Address of the server that made it.
        handle: Its identifier on that server.
        at: The server that holds it.
    """

    source: str
    handle: str
    at: BackendServer


@dataclasses.dataclass(frozen=True)
class MoveResult:
    """What became of an order to move a run.

    Attributes:
        copy: Copy of its KV cache; None if there is none.
        may_have_stopped: Whether its server may have stopped the run, and then
            closes its stream without an end.
    """

    copy: KvCacheCopy | None
    may_have_stopped: bool


class MoveDialect(Protocol):
    """Translates move orders to and from a server interface."""

    def move(
        self, call: Call, source: BackendServer, target: BackendServer
    ) -> HttpRequest:
        """Returns the order to stop a run and copy its KV cache."""

    def moved(
        self, reply: HttpResponse, source: BackendServer, target: BackendServer
    ) -> KvCacheCopy | None:
        """Reads the reply; None if it names no copy."""

    def run_unknown(self, reply: HttpResponse) -> bool:
        """Returns whether the server had no such run, so it stopped none."""


class StreamMigrator:
    """Tracks streams by server and orders their moves."""

    def __init__(
        self,
        client: HttpClient,
        dialect: MoveDialect,
        counters: Counters,
        log: EventLog,
    ):
        self._client = client
        self._dialect = dialect
        self._counters = counters
        self._log = log
        self._streams: dict[str, set[anyio.Event]] = {}
        self._limiters: dict[str, anyio.CapacityLimiter] = {}

    def attach(self, server: str) -> anyio.Event:
        """Adds a stream; returns an event set when its server shuts down."""
        leaving_event = anyio.Event()
        self._streams.setdefault(server, set()).add(leaving_event)
        return leaving_event

    def detach(self, server: str, leaving_event: anyio.Event) -> None:
        """Removes a stream that has ended."""
        streams = self._streams.get(server)
        if streams is None:
            return
        streams.discard(leaving_event)
        if not streams:
            del self._streams[server]
            self._limiters.pop(server, None)

    def leaving(self, server: str) -> None:
        """Notifies the streams at a server that it shuts down."""
        for leaving_event in self._streams.get(server, ()):
            leaving_event.set()

    async def move(
        self, call: Call, source: BackendServer, target: BackendServer
    ) -> MoveResult:
        """Orders a server to stop a run and to copy its KV cache."""
        limiter = self._limiters.setdefault(
            source.id, anyio.CapacityLimiter(MAX_CONCURRENT_MOVES)
        )
        async with limiter:
            try:
                reply = await self._client.call(
                    self._dialect.move(call, source, target)
                )
            except (NotSentError, IncompleteExchangeError) as exc:
                self._counters.incr("stream.move_failed")
                self._log.warn(
                    "move_failed", id=call.id, server=source.id, why=str(exc)
                )
                unsent = isinstance(exc, NotSentError)
                return MoveResult(None, may_have_stopped=not unsent)
        copy = self._dialect.moved(reply, source, target)
        self._counters.incr("stream.moved" if copy else "stream.not_moved")
        self._log.info(
            "move",
            id=call.id,
            source=source.id,
            target=copy.at.id if copy else None,
            versions=[
                item.software_version
                for item in (source, copy.at if copy else None)
                if item is not None
            ],
            status=reply.status,
        )
        return MoveResult(
            copy, may_have_stopped=not self._dialect.run_unknown(reply)
        )
