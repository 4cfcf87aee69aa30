"""The HTTP servers of an instance's ports."""

import contextlib
import time

import anyio
import uvicorn

from jasminerelay import settings

KEEPALIVE_TIMEOUT_S = 30
TICK_INTERVAL_S = 1.0


class HttpServer(uvicorn.Server):
    """An HTTP server that leaves the handling of signals to the daemon."""

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

    @contextlib.contextmanager
    def capture_signals(self):
        """Installs no handlers; else a second SIGTERM would abort requests."""
        yield


def port(app, address: str, **options) -> HttpServer:
    """Returns an HTTP server for an ASGI application.

    Args:
        app: The application.
        address: IP:port to listen on.
        options: Additional options of uvicorn.Config.
    """
    host, port = settings.split_address(address)
    defaults = {
        "host": host,
        "port": port,
        "log_config": None,
        "access_log": False,
        "lifespan": "off",
        "ws": "none",
        "timeout_keep_alive": KEEPALIVE_TIMEOUT_S,
    }
    return HttpServer(uvicorn.Config(app, **{**defaults, **options}))
