"""Relays connections of other instances to backend servers.

An instance that does not reach a server asks another one to open the
connection: `POST /relay?server=ID` on the port for other instances. The status
says whether it is open; no byte is sent to the server before. The request's
body holds the bytes for the server, the response's body frames with those of
the server and, as the last one, how its side ended. Without that last frame
the relaying instance, or the connection to it, has ended.
"""

import asyncio
import contextlib
import struct
import time
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qs

import anyio

from jasminerelay import netstream
from jasminerelay.addresses import split_address
from jasminerelay.catalog import BackendServer
from jasminerelay.metrics import Counters
from jasminerelay.netstream import OpenConnection

RELAY_PATH = "/relay"
SERVER_FIELD = "server"

CONNECT_TIMEOUT_S = 0.4
MAX_RELAYS = 256
"""Connections relayed at once. Each holds up to 128 KB for slow callers, and
two descriptors."""

IDLE_TIMEOUT_S = 60.0
"""Time without a byte in either direction after which a connection is closed.
The requesting instance may have lost its power, which it cannot tell."""

PIECE_BYTES = 64 * 1024

PathIsGood = Callable[[BackendServer, float], Awaitable[bool | None]]

FRAME_HEAD = struct.Struct(">BI")
"""Kind of a frame, and the size of the data that follows."""

DATA, ENDED, RESET = range(3)
"""Kinds of frames: bytes of the server; its side ended, or was reset."""

REASON_FIELD = b"relay-reason"
REFUSED = b"refused"
"""Reason of a `SERVER_UNREACHABLE`: the server refused the connection."""

UNKNOWN = b"unknown"
"""Reason of an `UNKNOWN_SERVER`. Programs that don't know the call answer the
same status without a reason."""

OPEN = 200
UNKNOWN_SERVER = 404
SERVER_UNREACHABLE = 502
NOT_RELAYING = 503
CUT_OFF = 504
"""Statuses. An instance that reaches no server itself is no witness of one that
is down, so it says that instead of that the server is unreachable."""


class RelayApp:
    """ASGI application that relays connections of other instances.

    Attributes:
        count: Number of connections that it relays.
        on_unreachable: Called with a server that this instance did not reach.
        on_reached: Called with a server to which a connection was opened.
    """

    def __init__(
        self,
        find_server: Callable[[str], BackendServer | None],
        may_relay: Callable[[str], bool],
        open_connection: OpenConnection,
        counters: Counters,
        reaches_servers: Callable[[], bool] = lambda: True,
        path_is_good: PathIsGood | None = None,
    ):
        """Creates the application.

        Args:
            find_server: Returns the server of an id; None if it is not known.
            may_relay: Returns whether this instance accepts connections to a
                server; it does not while it stops, or reaches it only through
                others itself.
            open_connection: Opens connections to servers.
            counters: Counts connections.
            reaches_servers: Returns whether this instance has reached any
                server lately.
            path_is_good: Returns whether this instance reaches servers other
                than one since a monotonic time; None if there is no other.
        """
        self._path_is_good = path_is_good
        self._reaches_servers = reaches_servers
        self._find_server = find_server
        self._may_relay = may_relay
        self._open_connection = open_connection
        self._counters = counters
        self.count = 0
        self.on_unreachable: Callable[[str], None] = lambda server: None
        self.on_reached: Callable[[str], None] = lambda server: None

    async def __call__(self, scope, receive, send) -> None:
        """Serves one connection until its end."""
        if scope["type"] != "http":
            return
        query = parse_qs(scope["query_string"].decode("latin-1"))
        server = self._find_server(query.get(SERVER_FIELD, [""])[0])
        if server is None:
            await self._refuse(send, UNKNOWN_SERVER, UNKNOWN)
            return
        if self.count >= MAX_RELAYS or not self._may_relay(server.id):
            await self._refuse(send, NOT_RELAYING)
            return
        self.count += 1
        try:
            await self._relay(server, receive, send)
        finally:
            self.count -= 1

    async def _relay(self, server: BackendServer, receive, send) -> None:
        began_at = time.monotonic()
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                reader, writer = await self._connect(server)
        except (OSError, TimeoutError) as exc:
            self.on_unreachable(server.id)
            witness = await self._is_witness(server, began_at)
            refused = witness and isinstance(exc, ConnectionRefusedError)
            await self._refuse(
                send,
                SERVER_UNREACHABLE if witness else CUT_OFF,
                REFUSED if refused else b"",
            )
            return
        self.on_reached(server.id)
        self._counters.incr("relay.opened")
        try:
            await send(
                {"type": "http.response.start", "status": OPEN, "headers": []}
            )
            last = await _exchange(reader, writer, receive, send)
        finally:
            writer.transport.abort()
        if last is not None:
            await send(
                {
                    "type": "http.response.body",
                    "body": FRAME_HEAD.pack(last, 0),
                }
            )

    async def _is_witness(self, server: BackendServer, since: float) -> bool:
        good = None
        if self._path_is_good is not None:
            good = await self._path_is_good(server, since)
        return self._reaches_servers() if good is None else good

    async def _connect(
        self, server: BackendServer
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader(limit=PIECE_BYTES // 2)
        transport, protocol = await self._open_connection(
            lambda: asyncio.StreamReaderProtocol(reader),
            *split_address(server.address),
        )
        netstream.enable_keepalive(transport.get_extra_info("socket"))
        return reader, asyncio.StreamWriter(transport, protocol, reader, loop)

    async def _refuse(self, send, status: int, reason: bytes = b"") -> None:
        self._counters.incr(f"relay.refused.{status}")
        fields = [(REASON_FIELD, reason)] if reason else []
        await send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": [
                    (b"content-length", b"0"),
                    (b"connection", b"close"),
                    *fields,
                ],
            }
        )
        await send({"type": "http.response.body", "body": b""})


async def _exchange(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, receive, send
) -> int | None:
    """Passes bytes both ways; returns the last frame's kind, None for none."""
    last = None
    with anyio.CancelScope() as scope:
        async with anyio.create_task_group() as group:

            def note_activity() -> None:
                scope.deadline = anyio.current_time() + IDLE_TIMEOUT_S

            async def pass_requests() -> None:
                more = True
                while more:
                    message = await receive()
                    more = message.get("more_body", False)
                    if message.get("body"):
                        note_activity()
                        writer.write(message["body"])
                        # A server that has reset the connection may have
                        # sent its response before.
                        with contextlib.suppress(OSError):
                            await writer.drain()
                scope.cancel()

            note_activity()
            group.start_soon(pass_requests)
            last = await _pass_responses(reader, send, note_activity)
            scope.cancel()
    return last


async def _pass_responses(
    reader: asyncio.StreamReader, send, note_activity: Callable[[], None]
) -> int:
    """Passes the server's bytes on; returns the last frame's kind."""
    try:
        while data := await reader.read(PIECE_BYTES):
            note_activity()
            await send(
                {
                    "type": "http.response.body",
                    "body": FRAME_HEAD.pack(DATA, len(data)) + data,
                    "more_body": True,
                }
            )
    except OSError:
        return RESET
    return ENDED
