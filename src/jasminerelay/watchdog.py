"""Deadlines for many waits with a single timer.

A cancel scope with a deadline for each wait costs more than the wait itself
while tokens are streamed: three of them for each token took a fifth of a
daemon's processor time. Here a wait only records its deadline, and one task
searches for expired deadlines.
"""

import math
import time
from collections.abc import Callable

import anyio

TICK_S = 0.2
"""Minimum interval of the searches, and how late a deadline may be noticed."""


class Guard:
    """The deadline of one waiting task.

    Example:
        >>> guard = watchdog.add_guard(connection.abort)   # doctest: +SKIP
        >>> guard.arm(3.0)                             # doctest: +SKIP
        >>> await connection.read()                    # doctest: +SKIP
        >>> guard.disarm()                             # doctest: +SKIP
    """

    __slots__ = ("_watchdog", "deadline", "expire", "expired")

    def __init__(self, watchdog: "Watchdog", expire: Callable[[], None]):
        self._watchdog = watchdog
        self.deadline = math.inf
        self.expire = expire
        self.expired = False

    def arm(self, seconds: float) -> None:
        """Starts a wait that must end within the given number of seconds."""
        self.deadline = time.monotonic() + seconds
        if self.deadline < self._watchdog.next_check_at:
            self._watchdog.check_sooner()

    def rearm(self, seconds: float) -> None:
        """Extends a wait whose deadline has just passed."""
        self.expired = False
        self.arm(seconds)

    def disarm(self) -> None:
        """Ends a wait."""
        self.deadline = math.inf


class Watchdog:
    """Owns the guards of one instance.

    Attributes:
        next_check_at: Monotonic time up to which no deadline passes.
    """

    def __init__(self) -> None:
        self._guards: set[Guard] = set()
        self._wake = anyio.Event()
        self.next_check_at = math.inf

    def __len__(self) -> int:
        return len(self._guards)

    def add_guard(self, expire: Callable[[], None]) -> Guard:
        """Returns a guard that calls `expire` when its deadline passes."""
        guard = Guard(self, expire)
        self._guards.add(guard)
        return guard

    def release(self, guard: Guard) -> None:
        """Removes a guard."""
        self._guards.discard(guard)

    async def run(self) -> None:
        """Checks for expired waits until cancelled."""
        while True:
            now = time.monotonic()
            earliest = min(
                (guard.deadline for guard in self._guards), default=math.inf
            )
            self.next_check_at = max(earliest, now + TICK_S)
            self._wake = anyio.Event()
            with anyio.move_on_after(self.next_check_at - now):
                await self._wake.wait()
            self.check(time.monotonic())

    def check_sooner(self) -> None:
        """Plans the next check anew, for an earlier deadline."""
        self.next_check_at = -math.inf
        self._wake.set()

    def check(self, now: float) -> None:
        """Expires every wait whose deadline has passed."""
        for guard in [item for item in self._guards if item.deadline < now]:
            guard.deadline = math.inf
            guard.expired = True
            guard.expire()
