"""The HTTP servers of an instance's ports."""

import contextlib
import os
import socket
import time

import anyio

from jasminerelay import httpconnection
from jasminerelay.addresses import split_address
from jasminerelay.httpconnection import KEEPALIVE_TIMEOUT_S, HeadLimits
from jasminerelay.scheduling.clientaccount import RECEIVE_BYTES
from jasminerelay.uvicornserver import Config, Server

MAX_HEAD_BYTES = 64 * 1024
"""Size of the heads that a port accepts unless it states another."""

TICK_INTERVAL_S = 1.0

BACKLOG = 256
"""Connections that wait at a port until they are accepted. What they have sent
counts as memory of this process, also while it stands still; the kernels of
further ones try again a second later."""

ACCEPTED_AT_ONCE = 8
"""Connections that a port accepts in one turn of the event loop. They are
counted, and others closed for them, in the turns that follow; a whole backlog
accepted at once would take all descriptors before."""


class HttpServer(Server):
    """An HTTP server that leaves the handling of signals to the daemon."""

    def __init__(self, config: Config, sock: socket.socket | None):
        """Creates the server.

        Args:
            config: Its configuration.
            sock: Socket that listens already; None to open one.
        """
        super().__init__(config)
        self._sockets = [sock] if sock is not None else None

    async def serve(self, sockets: list[socket.socket] | None = None) -> None:
        """Serves until cancelled, by default on the socket of the server."""
        await super().serve(sockets or self._sockets)

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Listens, with bounds on what waits in the kernel for this process."""
        await super().startup(sockets)
        for server in self.servers:
            for listener in server.sockets:
                with socket.socket(fileno=os.dup(listener.fileno())) as own:
                    # asyncio accepts as many at once as its backlog has.
                    own.listen(BACKLOG)
                    # Without it the kernel keeps megabytes for a connection
                    # whose client is faster than this process.
                    own.setsockopt(
                        socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES
                    )

    async def main_loop(self) -> None:
        """Ticks once per second, as often as the date header changes.

        Ten ticks per second, uvicorn's default, cost an idle instance more
        CPU time than all its messages. All servers tick at the same moments, so
        that they wake the process up only once.
        """
        while not await self.on_tick(0):
            await anyio.sleep(
                TICK_INTERVAL_S - time.monotonic() % TICK_INTERVAL_S
            )

    async def end(self, answer_s: float) -> None:
        """Refuses connections, and closes those that are idle after a while.

        Args:
            answer_s: Time for answering the requests that have arrived.
        """
        if not self.started:
            return
        for server in self.servers:
            server.close()
        await anyio.sleep(answer_s)
        for connection in list(self.server_state.connections):
            connection.shutdown()

    @contextlib.contextmanager
    def capture_signals(self):
        """Installs no handlers; else a second SIGTERM would abort requests."""
        yield


def port(
    app, address: str, *, sock: socket.socket | None = None, **options
) -> HttpServer:
    """Returns an HTTP server for an ASGI application.

    Args:
        app: The application.
        address: IP:port to listen on.
        sock: Socket that listens on the address already; None to open one.
        options: Additional options of uvicorn.Config.
    """
    host, port = split_address(address)
    defaults = {
        "host": host,
        "port": port,
        "log_config": None,
        "access_log": False,
        "lifespan": "off",
        "ws": "none",
        "http": httpconnection.limited(lambda _: HeadLimits(MAX_HEAD_BYTES)),
        "timeout_keep_alive": KEEPALIVE_TIMEOUT_S,
        "backlog": ACCEPTED_AT_ONCE,
    }
    return HttpServer(Config(app, **{**defaults, **options}), sock)
