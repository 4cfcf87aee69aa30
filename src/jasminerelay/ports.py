"""The HTTP ports of an instance."""

import contextlib

import anyio
import uvicorn

from jasminerelay import settings

KEEPALIVE_S = 30
PORT_TICK_S = 1.0


class Port(uvicorn.Server):
    """A server that leaves signals to the daemon."""

    async def main_loop(self) -> None:
        """Ticks once a second, which the date header needs.

        Ten times, as the library does, cost an idle instance more than all
        its messages.
        """
        while not await self.on_tick(0):
            await anyio.sleep(PORT_TICK_S)

    @contextlib.contextmanager
    def capture_signals(self):
        """Captures none; else a second SIGTERM would cut requests."""
        yield


def port(app, address: str, **options) -> Port:
    """Returns a server for an ASGI application.

    Args:
        app: The application.
        address: IP:port to listen on.
        options: More options of the library.
    """
    host, port = settings.split_address(address)
    defaults = {
        "host": host,
        "port": port,
        "log_config": None,
        "access_log": False,
        "lifespan": "off",
        "ws": "none",
        "timeout_keep_alive": KEEPALIVE_S,
    }
    return Port(uvicorn.Config(app, **{**defaults, **options}))
