"""Connections to backend servers, pooled where reuse is safe."""

import collections
import contextlib
import dataclasses
import functools
import time
from collections.abc import Awaitable, Callable

import anyio
import httpcore

from jasminerelay import serverconnection
from jasminerelay.catalog import BackendServer, Call
from jasminerelay.httpclient import (
    CONNECT_TIMEOUT_S,
    EndedAtOnceError,
    IncompleteExchangeError,
    NotSentError,
)
from jasminerelay.metrics import Counters
from jasminerelay.netstream import OpenConnection
from jasminerelay.relayclient import RelayClient, RelayedConnection
from jasminerelay.scheduling.serverpaths import ServerPaths
from jasminerelay.serverconnection import (
    HeaderFields,
    ServerConnection,
    ServerResponse,
)
from jasminerelay.watchdog import Watchdog

DEFAULT_IDLE_S = 1.5
"""Maximum idle time of a reused connection if the server announces none."""

IDLE_SHARE = 0.5
"""Share of the announced idle timeout within which a connection is reused. If
the server closed it while a request is being sent, that would look like a crash
after the request was accepted."""

MIN_IDLE_S = 0.02
"""Minimum idle time before a connection is reused. A faulty server's second
answer to a request arrives within this time and is detected; otherwise it would
be read as the answer to the next request."""

NO_POOLING_S = 10.0
"""How long a server that sent bytes which belong to no request gets a new
connection for each request."""

MAX_IDLE_PER_SERVER = 32

RELAY_AFTER_S = 0.25
"""Time after which a connection that is not open is also opened through another
instance."""

PROBE_TIMEOUT_S = 0.5

LISTENS_S = 0.05
"""Time for which a new connection stays open if something listens: the kernel
closes what a killed process listens on after the process's connections."""

CONFIRM_TRIES = 3


@dataclasses.dataclass(frozen=True)
class _IdleChannel:
    channel: "Channel"
    since: float
    until: float


class Channel:
    """One connection to a server; carries one request at a time.

    Attributes:
        server: The server.
        relay: The relayed connection; None for a direct one.
        unused: Whether no request has been sent on it.
    """

    def __init__(
        self,
        server: BackendServer,
        conn: ServerConnection,
        relay: RelayedConnection | None = None,
    ):
        self.server = server
        self.relay = relay
        self.unused = True
        self._conn = conn

    async def send(
        self,
        call: Call,
        headers: HeaderFields,
        silence_s: float,
        on_silent: Callable[[], None],
    ) -> ServerResponse:
        """Sends a request and reads the head of the answer.

        Args:
            call: The request.
            headers: All its header fields.
            silence_s: Time without any data after which `on_silent` is called.
            on_silent: Called whenever a wait for data takes longer.

        Raises:
            IncompleteExchangeError: if the exchange failed; the request may
                have run.
        """
        self.unused = False
        self._conn.timeout_s = silence_s
        self._conn.on_silent = on_silent
        try:
            return await self._conn.send(
                call.method, call.target, headers, call.body
            )
        except (httpcore.NetworkError, httpcore.ProtocolError) as exc:
            raise IncompleteExchangeError(repr(exc)) from exc

    @property
    def relayed_by(self) -> str:
        """Instance that relays it; "" for a direct connection."""
        return self.relay.instance if self.relay else ""

    @property
    def relay_lost(self) -> bool:
        """Whether the relaying instance or the connection to it has ended."""
        return self.relay is not None and self.relay.protocol.lost

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent on it."""
        return self._conn.idle and not self._conn.readable

    def close(self) -> None:
        """Closes the connection, which cancels its request on the server."""
        self._conn.close()

    async def aclose(self) -> None:
        """Closes the connection, which cancels its request on the server."""
        self.close()


class ChannelPool:
    """Pool of the connections of an instance to backend servers.

    Attributes:
        on_out_of_reach: Called once with a server that only another instance
            reaches.
    """

    def __init__(
        self,
        watchdog: Watchdog,
        counters: Counters,
        open_connection: OpenConnection,
        paths: ServerPaths,
        relays: RelayClient,
    ):
        """Creates an empty pool.

        Args:
            watchdog: Enforces the time limits of reads.
            counters: Counts the connections that were opened, and failures.
            open_connection: Opens connections to servers.
            paths: Decides which servers are reached through other instances.
            relays: Opens connections through other instances.
        """
        self._watchdog = watchdog
        self._counters = counters
        self._open_connection = open_connection
        self._paths = paths
        self._relays = relays
        self.on_out_of_reach: Callable[[BackendServer], None] = lambda _: None
        self._idle: dict[str, collections.deque[_IdleChannel]] = {}
        self._no_pooling_until: dict[str, float] = {}

    async def acquire(self, server: BackendServer) -> Channel:
        """Returns an idle connection, or a new one.

        Raises:
            NotSentError: if the connection can't be opened.
        """
        idle = self._idle.get(server.id)
        now = time.monotonic()
        while idle:
            # The longest idle connection; if it has not been idle long enough,
            # none has.
            item = idle.popleft()
            if now - item.since < MIN_IDLE_S:
                idle.appendleft(item)
                break
            if (
                self._usable(item.channel)
                and now < item.until
                and item.channel.reusable
            ):
                return item.channel
            await item.channel.aclose()
        return await self._open(server)

    def _usable(self, channel: Channel) -> bool:
        """Returns whether a connection leads to its server the right way."""
        relays = self._paths.relays(channel.server.id)
        if channel.relayed_by:
            return relays and self._relays.relays(channel.relayed_by)
        # A direct connection to a server that is out of reach may hang.
        return not relays

    async def put_back(
        self, channel: Channel, idle_s: float | None, closing: bool
    ) -> None:
        """Pools a connection whose answer is complete, or closes it."""
        now = time.monotonic()
        may_pool = self._no_pooling_until.get(channel.server.id, 0.0) <= now
        idle = self._idle.setdefault(channel.server.id, collections.deque())
        if (
            closing
            or not may_pool
            or not channel.reusable
            or len(idle) >= MAX_IDLE_PER_SERVER
        ):
            await channel.aclose()
            return
        max_idle_s = DEFAULT_IDLE_S if idle_s is None else idle_s * IDLE_SHARE
        idle.append(_IdleChannel(channel, now, now + max_idle_s))

    def record_unexpected_data(self, server: BackendServer) -> None:
        """Records that a server sent bytes which belong to no request."""
        self._no_pooling_until[server.id] = time.monotonic() + NO_POOLING_S

    async def close_expired(self) -> None:
        """Closes connections whose idle time has expired."""
        now = time.monotonic()
        stale: list[Channel] = []
        for name, idle in list(self._idle.items()):
            while idle and idle[0].until <= now:
                stale.append(idle.popleft().channel)
            if not idle:
                del self._idle[name]
        # Closing yields to tasks that acquire connections, so the stale ones
        # are removed from the pool before.
        for channel in stale:
            await channel.aclose()

    def record_lost_relay(self, channel: Channel) -> None:
        """Records that an exchange broke off with its relay."""
        self._relays.leave_out(channel.relayed_by)

    async def check_path(self, server: BackendServer) -> None:
        """Opens a connection to a server to find out whether it is reached."""
        try:
            channel = await self._open_either_way(server)
        except NotSentError:
            return
        await self.put_back(channel, None, False)

    async def probe_directly(self, server: BackendServer) -> None:
        """Tries a server that is out of reach with a direct connection."""
        with contextlib.suppress(NotSentError):
            await self.connect_directly(server, PROBE_TIMEOUT_S)

    async def connect_directly(
        self, server: BackendServer, timeout_s: float
    ) -> None:
        """Opens a direct connection, and keeps it for the next request.

        Raises:
            NotSentError: if the connection can't be opened.
        """
        channel = await self._open_direct(server, timeout_s)
        await self.put_back(channel, None, False)

    async def confirm_directly(
        self, server: BackendServer, timeout_s: float
    ) -> None:
        """Opens a direct connection that stays open for a while, and keeps it.

        Raises:
            NotSentError: if it can't be opened, or does not stay open.
        """
        for _ in range(CONFIRM_TRIES):
            channel = await self._open_direct(server, timeout_s)
            if await self._stays_open(channel):
                return
        raise EndedAtOnceError("the connection ended at once")

    async def confirm_relayed(self, server: BackendServer) -> None:
        """Does the same through another instance.

        Raises:
            NotSentError: if no instance could open one that stays open.
        """
        channel = await self._open_relayed(server, ask_all=True)
        if not await self._stays_open(channel):
            raise EndedAtOnceError("the relayed connection ended at once")

    async def _stays_open(self, channel: Channel) -> bool:
        await anyio.sleep(LISTENS_S)
        stays = channel.reusable
        await self.put_back(channel, None, False)
        return stays

    async def _open(self, server: BackendServer) -> Channel:
        if not self._paths.relays(server.id):
            return await self._open_either_way(server)
        try:
            return await self._open_relayed(server)
        except NotSentError:
            return await self._open_direct(server, CONNECT_TIMEOUT_S)

    async def _open_either_way(self, server: BackendServer) -> Channel:
        """Opens a direct connection, or a relayed one if that is sooner."""
        try:
            return await self._open_direct(server, RELAY_AFTER_S)
        except NotSentError:
            pass
        found: list[Channel] = []
        failures: dict[str, NotSentError] = {}

        async def open_one(
            way: str,
            opener: Callable[[], Awaitable[Channel]],
            group: anyio.abc.TaskGroup,
        ) -> None:
            try:
                channel = await opener()
            except NotSentError as exc:
                failures[way] = exc
                return
            if found:
                await channel.aclose()
                return
            found.append(channel)
            group.cancel_scope.cancel()

        async with anyio.create_task_group() as group:
            rest_s = CONNECT_TIMEOUT_S - RELAY_AFTER_S
            direct = functools.partial(self._open_direct, server, rest_s)
            group.start_soon(open_one, "direct", direct, group)
            relayed = functools.partial(self._open_relayed, server)
            group.start_soon(open_one, "relayed", relayed, group)
        if not found:
            # Only the direct one says something of the server.
            raise failures["direct"]
        return found[0]

    async def _open_direct(
        self, server: BackendServer, timeout_s: float
    ) -> Channel:
        host, _, port = server.address.rpartition(":")
        try:
            conn = await serverconnection.connect(
                host,
                int(port),
                timeout_s,
                self._watchdog,
                self._open_connection,
            )
        except httpcore.ConnectTimeout as exc:
            self._counters.incr("backend.open.timed_out")
            raise NotSentError(repr(exc)) from exc
        except httpcore.ConnectError as exc:
            self._counters.incr("backend.open.failed")
            raise NotSentError(repr(exc)) from exc
        self._counters.incr("backend.open.done")
        self._paths.record_direct(server.id, time.monotonic())
        return Channel(server, conn)

    async def _open_relayed(
        self, server: BackendServer, *, ask_all: bool = False
    ) -> Channel:
        relay = await self._relays.open(server, ask_all=ask_all)
        if self._paths.record_relayed(server.id, time.monotonic()):
            self._counters.incr("path.out_of_reach")
            self.on_out_of_reach(server)
        return Channel(server, relay.conn, relay)
