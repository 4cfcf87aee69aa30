"""Requests that arrive before the first configuration and servers.

Handles the load of callers whose connections waited while the instance started:
the configuration usually arrives a few hundred milliseconds after the ports
serve, well within the time for which these callers wait.
"""

import anyio

MAX_WAIT_S = 1.0
MAX_WAIT_SHARE = 1 / 3
"""Share of a request's time after which it no longer waits. Callers abandon an
attempt that has not been read after 1 s or a third of the time left."""

MAX_REQUESTS = 64
"""Requests that wait at a time. Their bodies are not read meanwhile, so each
holds little more than its head."""


class EarlyRequests:
    """The requests that wait until the instance has what it needs to serve."""

    def __init__(self) -> None:
        self._waiting = 0
        self._released = anyio.Event()

    async def wait(self, limit_s: float | None) -> bool:
        """Waits for the release, for at most a share of the request's time.

        Args:
            limit_s: Time that the request has left; None if it states no limit.

        Returns:
            Whether the release came in time; False at once if too many wait.
        """
        if self._released.is_set():
            return True
        if self._waiting >= MAX_REQUESTS:
            return False
        wait_s = MAX_WAIT_S
        if limit_s is not None:
            wait_s = min(wait_s, limit_s * MAX_WAIT_SHARE)
        self._waiting += 1
        try:
            with anyio.move_on_after(wait_s):
                await self._released.wait()
        finally:
            self._waiting -= 1
        return self._released.is_set()

    def release(self) -> None:
        """Lets the requests proceed, those that wait and later ones."""
        self._released.set()
