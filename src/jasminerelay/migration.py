"""Moves streams away from servers that shut down.

A server that shuts down continues serving for a few seconds and then ends, so
longer answers are cut off there, and the answer to a request that may run only
once is lost with all its tokens. Its KV cache is therefore copied to another
server, where the stream continues after the last event; the caller sees a short
pause.

The cache is copied while the run goes on, and only then the run is stopped and
the rest copied, so that a target without room costs the stream nothing. What is
stopped stays at its source, where the run can continue if the target rejects
it.
"""

import dataclasses
from collections.abc import Callable
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
"""Timeout of an order. The stream is paused during the second one, and its
caller disconnects if the next event takes longer than the pause that it allows
between two."""

MAX_ORDERS = 3
ORDER_PAUSE_S = 0.05
"""How often an order is repeated while the server is busy with an earlier one,
or the order to stop the run or its reply is lost, and the pause after each."""

MAX_CONCURRENT_MOVES = 2
"""Maximum concurrent moves of one instance from one server. Copies queue on the
server's link, and a stream that waits there is paused."""


@dataclasses.dataclass(frozen=True)
class KvCacheCopy:
    """A copy of a run's KV cache from which the run can continue.

    Attributes:
        source: The server that made it, and keeps the run's memory.
        handle: Its identifier on that server.
        at: The server at which the run continues.
    """

    source: BackendServer
    handle: str
    at: BackendServer

    @property
    def at_source(self) -> bool:
        """Whether the run continues where it was stopped."""
        return self.at.id == self.source.id


@dataclasses.dataclass(frozen=True)
class MoveResult:
    """What became of an order to move a run.

    Attributes:
        copy: Copy of its KV cache; None if there is none.
        may_have_stopped: Whether its server may have stopped the run, and then
            closes its stream without an end.
        spare: Copy made before the run was ordered to stop, for the case that
            it has stopped and there is no other one.
    """

    copy: KvCacheCopy | None
    may_have_stopped: bool
    spare: KvCacheCopy | None = None


_Reply = HttpResponse | NotSentError | IncompleteExchangeError
"""What an order brings: the reply, or why there is none."""


class MoveDialect(Protocol):
    """Translates move orders to and from a server interface."""

    def move(
        self,
        call: Call,
        source: BackendServer,
        target: BackendServer,
        *,
        stop: bool,
    ) -> HttpRequest:
        """Returns the order to copy a run's KV cache, and maybe stop it."""

    def moved(
        self, reply: HttpResponse, source: BackendServer, target: BackendServer
    ) -> KvCacheCopy | None:
        """Reads the reply; None if it names no copy."""

    def run_unknown(self, reply: HttpResponse) -> bool:
        """Returns whether the server had no such run, so it stopped none."""

    def busy(self, reply: HttpResponse) -> bool:
        """Returns whether the server is carrying out an earlier order."""

    def drop_copy(self, copy: KvCacheCopy) -> HttpRequest:
        """Returns the call that frees a copy that is not used."""


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
        self,
        call: Call,
        source: BackendServer,
        target: BackendServer,
        on_stop: Callable[[], None] = lambda: None,
    ) -> MoveResult:
        """Copies a run's KV cache, then stops the run and copies the rest.

        Args:
            call: The request.
            source: The server that runs it.
            target: The server that gets the copy.
            on_stop: Called before the run is ordered to stop.
        """
        limiter = self._limiters.setdefault(
            source.id, anyio.CapacityLimiter(MAX_CONCURRENT_MOVES)
        )
        async with limiter:
            reply = await self._order_when_free(call, source, target)
            copy = self._copy_of(reply, source, target)
            if copy is None or copy.at_source:
                self._counters.incr("stream.copy_refused")
                self._log_move(call, source, None, reply, "copy")
                return MoveResult(None, may_have_stopped=False)
            on_stop()
            result = await self._stop(call, source, target)
            if result.copy is None and not result.may_have_stopped:
                await self._drop(copy)
            return dataclasses.replace(result, spare=copy)

    async def _order_when_free(
        self, call: Call, source: BackendServer, target: BackendServer
    ) -> _Reply:
        """Orders a copy, again if an earlier one is still being made."""
        for _ in range(MAX_ORDERS):
            reply = await self._order(call, source, target, stop=False)
            if not (
                isinstance(reply, HttpResponse) and self._dialect.busy(reply)
            ):
                break
            await anyio.sleep(ORDER_PAUSE_S)
        return reply

    async def _stop(
        self, call: Call, source: BackendServer, target: BackendServer
    ) -> MoveResult:
        """Orders a run to stop until a reply says what became of it."""
        may_have_stopped = False
        for _ in range(MAX_ORDERS):
            reply = await self._order(call, source, target, stop=True)
            if isinstance(reply, HttpResponse):
                copy = self._copy_of(reply, source, target)
                if copy is not None or not self._dialect.busy(reply):
                    break
            else:
                copy = None
                may_have_stopped |= not isinstance(reply, NotSentError)
            await anyio.sleep(ORDER_PAUSE_S)
        if isinstance(reply, HttpResponse):
            may_have_stopped |= not self._dialect.run_unknown(reply)
        moved = copy is not None and not copy.at_source
        self._counters.incr("stream.moved" if moved else "stream.not_moved")
        self._log_move(call, source, copy, reply, "stop")
        return MoveResult(copy, may_have_stopped)

    async def _order(
        self,
        call: Call,
        source: BackendServer,
        target: BackendServer,
        *,
        stop: bool,
    ) -> _Reply:
        """Sends an order; returns the reply, or why there is none."""
        try:
            return await self._client.call(
                self._dialect.move(call, source, target, stop=stop)
            )
        except (NotSentError, IncompleteExchangeError) as exc:
            self._counters.incr("stream.move_failed")
            self._log.warn(
                "move_failed",
                id=call.id,
                server=source.id,
                stop=stop,
                why=str(exc),
            )
            return exc

    def _copy_of(
        self,
        reply: _Reply,
        source: BackendServer,
        target: BackendServer,
    ) -> KvCacheCopy | None:
        if not isinstance(reply, HttpResponse):
            return None
        return self._dialect.moved(reply, source, target)

    async def _drop(self, copy: KvCacheCopy) -> None:
        """Frees a copy whose run has not been stopped."""
        try:
            await self._client.call(self._dialect.drop_copy(copy))
        except (NotSentError, IncompleteExchangeError) as exc:
            self._log.warn(
                "copy_not_dropped", server=copy.source.id, why=str(exc)
            )

    def _log_move(
        self,
        call: Call,
        source: BackendServer,
        copy: KvCacheCopy | None,
        reply: _Reply,
        order: str,
    ) -> None:
        self._log.info(
            "move",
            id=call.id,
            order=order,
            source=source.id,
            target=copy.at.id if copy else None,
            versions=[
                item.software_version
                for item in (source, copy.at if copy else None)
                if item is not None
            ],
            status=reply.status if isinstance(reply, HttpResponse) else 0,
        )
