"""Lets connections that have much to read take turns.

Some bytes cost a thousand times the work of others, such as chunks of a byte.
A connection reads little of them in one go and then waits here; all that wait
share a small part of each turn of the event loop, so that it serves the others
in between however many there are.
"""

import asyncio
import time
from collections import deque
from collections.abc import Callable

TURN_S = 0.004
"""Time that those who wait have together in one turn of the event loop."""


class Turns:
    """Those who wait, in the order in which they came."""

    def __init__(self) -> None:
        self._waiting: deque[Callable[[], None]] = deque()
        self._is_scheduled = False

    def wait(self, go_on: Callable[[], None]) -> None:
        """Calls a function when its turn has come."""
        self._waiting.append(go_on)
        self._schedule()

    def _schedule(self) -> None:
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        until = time.monotonic() + TURN_S
        try:
            for _ in range(len(self._waiting)):
                self._waiting.popleft()()
                if time.monotonic() >= until:
                    break
        finally:
            # Also if one fails: the others must not wait for ever.
            self._is_scheduled = False
            self._schedule()
