"""Moves streams away from servers that leave.

A server that leaves serves for a few seconds and then ends, whatever still
runs. An answer that takes longer is cut there; one that may run once is lost
with all its tokens. So the memory of such a run is copied to another server,
where it goes on behind the last event: the caller sees a short pause.
"""

import dataclasses
from typing import Protocol

import anyio

from jasminerelay.catalog import BackendServer, Call
from jasminerelay.eventlog import EventLog
from jasminerelay.httpclient import (
    BrokenError,
    Client,
    Exchange,
    NotSentError,
    Reply,
)
from jasminerelay.metrics import Counters

STAY_S = 1.0
"""Time in which a run that is about to end may end where it is. Servers serve
for two seconds after the word of their leaving, which is a little old."""

MOVE_TIMEOUT_S = 1.0
"""Longest time that a move may take. The run stands still meanwhile, and its
caller waits no longer for the next event than it allows between two."""

AT_ONCE = 2
"""Moves that one instance has under way from one server. Copies queue on the
server's link; a run that waits there stands still."""


@dataclasses.dataclass(frozen=True)
class Copy:
    """A run's memory, ready to go on from.

    Attributes:
        source: Address of the server that made it.
        handle: Its name there.
        at: The server that holds it.
    """

    source: str
    handle: str
    at: BackendServer


class MoveDialect(Protocol):
    """Puts orders to move in an interface's words."""

    def move(
        self, call: Call, source: BackendServer, target: BackendServer
    ) -> Exchange:
        """Returns the order to stop a run and to copy its memory."""

    def moved(
        self, reply: Reply, source: BackendServer, target: BackendServer
    ) -> Copy | None:
        """Reads the answer; None if the run goes on where it is."""


class Evacuator:
    """Streams under way by server, and the orders to move them."""

    def __init__(
        self,
        client: Client,
        dialect: MoveDialect,
        counters: Counters,
        log: EventLog,
    ):
        self._client = client
        self._dialect = dialect
        self._counters = counters
        self._log = log
        self._streams: dict[str, set[anyio.Event]] = {}
        self._gates: dict[str, anyio.CapacityLimiter] = {}

    def attach(self, server: str) -> anyio.Event:
        """Notes a stream at a server; returns what is set when it leaves."""
        told = anyio.Event()
        self._streams.setdefault(server, set()).add(told)
        return told

    def detach(self, server: str, told: anyio.Event) -> None:
        """Notes that a stream has ended."""
        streams = self._streams.get(server)
        if streams is None:
            return
        streams.discard(told)
        if not streams:
            del self._streams[server]
            self._gates.pop(server, None)

    def leaving(self, server: str) -> None:
        """Tells the streams at a server that it leaves."""
        for told in self._streams.get(server, ()):
            told.set()

    async def move(
        self, call: Call, source: BackendServer, target: BackendServer
    ) -> Copy | None:
        """Stops a run and copies its memory; None if it goes on."""
        gate = self._gates.setdefault(source.id, anyio.CapacityLimiter(AT_ONCE))
        async with gate:
            try:
                reply = await self._client.call(
                    self._dialect.move(call, source, target)
                )
            except (NotSentError, BrokenError) as exc:
                self._counters.incr("stream.move_failed")
                self._log.trouble(
                    "move_failed", id=call.id, server=source.id, why=str(exc)
                )
                return None
        copy = self._dialect.moved(reply, source, target)
        self._counters.incr("stream.moved" if copy else "stream.not_moved")
        self._log.info(
            "move",
            id=call.id,
            source=source.id,
            target=copy.at.id if copy else None,
            status=reply.status,
        )
        return copy
