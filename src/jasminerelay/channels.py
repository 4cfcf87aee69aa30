"""Connections to backend servers, kept and used again where that is safe."""

import collections
import dataclasses
import time

import httpcore

from jasminerelay.catalog import BackendServer
from jasminerelay.httpclient import CONNECT_S, BrokenError, NotSentError
from jasminerelay.netstream import WatchedBackend, WatchedStream
from jasminerelay.watchdog import Watchdog

IDLE_S = 1.5
"""How long an idle connection is used again when the server does not say how
long it keeps one."""

IDLE_SHARE = 0.5
"""Part of the server's stated idle time after which a connection is not used
again: one that the server closes while a request is on its way looks like a
crash after the request was taken."""

SETTLE_S = 0.02
"""How long a connection rests before it is used again. A faulty server's
second answer to one request arrives in this time and shows; otherwise it
would be read as the answer to the next request."""

DISTRUST_S = 10.0
"""How long a server that sent bytes which belong to no request gets a new
connection for each request."""

KEPT_PER_SERVER = 32


@dataclasses.dataclass(frozen=True)
class _Kept:
    channel: "Channel"
    since: float
    until: float


class Channel:
    """One connection to a server; carries one request at a time.

    Attributes:
        server: The server.
        fresh: Whether nothing was sent on it yet.
    """

    def __init__(
        self,
        server: BackendServer,
        stream: WatchedStream,
        origin: httpcore.Origin,
    ):
        self.server = server
        self.fresh = True
        self._origin = origin
        self._stream = stream
        self._conn = httpcore.AsyncHTTP11Connection(origin, stream)

    def url(self, target: bytes) -> httpcore.URL:
        """Returns the address of a path and query at the server."""
        origin = self._origin
        return httpcore.URL(
            scheme=origin.scheme,
            host=origin.host,
            port=origin.port,
            target=target,
        )

    async def send(
        self, request: httpcore.Request, silence_s: float
    ) -> httpcore.Response:
        """Sends a request and reads the head of the answer.

        Raises:
            BrokenError: if the exchange broke; the request may have run.
        """
        self.fresh = False
        self._stream.read_limit_s = silence_s
        try:
            return await self._conn.handle_async_request(request)
        except (httpcore.NetworkError, httpcore.ProtocolError) as exc:
            raise BrokenError(repr(exc)) from exc
        except httpcore.TimeoutException as exc:
            raise SilentError(repr(exc)) from exc

    @property
    def reusable(self) -> bool:
        """Whether a further request may be sent on it."""
        return self._conn.is_idle() and not self._conn.has_expired()

    async def aclose(self) -> None:
        """Closes it; a server drops the request on it."""
        await self._conn.aclose()


class SilentError(BrokenError):
    """The server was silent for too long; the request may have run."""


class Channels:
    """All connections of an instance to backend servers."""

    def __init__(self, watchdog: Watchdog):
        self._backend = WatchedBackend(watchdog, keepalive=True)
        self._kept: dict[str, collections.deque[_Kept]] = {}
        self._distrusted: dict[str, float] = {}

    async def take(self, server: BackendServer) -> Channel:
        """Returns a kept connection, or a new one.

        Raises:
            NotSentError: if none can be opened.
        """
        kept = self._kept.get(server.id)
        now = time.monotonic()
        while kept:
            # The one that has rested longest: if it has not rested enough,
            # none has.
            item = kept.popleft()
            if now - item.since < SETTLE_S:
                kept.appendleft(item)
                break
            if now < item.until and item.channel.reusable:
                return item.channel
            await item.channel.aclose()
        return await self._open(server)

    async def give_back(
        self, channel: Channel, idle_s: float | None, closing: bool
    ) -> None:
        """Keeps a connection whose answer is complete, or closes it."""
        now = time.monotonic()
        trusted = self._distrusted.get(channel.server.id, 0.0) <= now
        kept = self._kept.setdefault(channel.server.id, collections.deque())
        if (
            closing
            or not trusted
            or not channel.reusable
            or len(kept) >= KEPT_PER_SERVER
        ):
            await channel.aclose()
            return
        life = IDLE_S if idle_s is None else idle_s * IDLE_SHARE
        kept.append(_Kept(channel, now, now + life))

    def distrust(self, server: BackendServer) -> None:
        """Notes that a server sent bytes which belong to no request."""
        self._distrusted[server.id] = time.monotonic() + DISTRUST_S

    async def tidy(self) -> None:
        """Closes connections that will not be used again."""
        now = time.monotonic()
        stale: list[Channel] = []
        for name, kept in list(self._kept.items()):
            while kept and kept[0].until <= now:
                stale.append(kept.popleft().channel)
            if not kept:
                del self._kept[name]
        # Taken out first: each close gives way to requests that take others.
        for channel in stale:
            await channel.aclose()

    async def _open(self, server: BackendServer) -> Channel:
        host, _, port = server.address.rpartition(":")
        try:
            stream = await self._backend.connect_tcp(
                host, int(port), timeout=CONNECT_S
            )
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as exc:
            raise NotSentError(repr(exc)) from exc
        origin = httpcore.Origin(b"http", host.encode(), int(port))
        return Channel(server, stream, origin)
