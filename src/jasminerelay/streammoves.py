"""Moves one stream to another server, without risking its answer."""

import random
import time
from collections.abc import Awaitable, Callable

import anyio

from jasminerelay.catalog import BackendServer, Call
from jasminerelay.migration import KvCacheCopy, StreamMigrator
from jasminerelay.placementqueue import Reservation

SLOW_CHECK_INTERVAL_S = 0.25
"""Interval of the checks whether a stream can end in time on its server."""

_SLOW_CHECK_PHASE_S = random.uniform(0.0, SLOW_CHECK_INTERVAL_S)
"""Keeps the instances of a machine from checking at the same moments."""

MAX_MOVES = 2
"""Maximum moves per request; each pauses it while the rest of its KV cache is
copied."""

MAX_REFUSED_COPIES = 3
"""Copies of one run that may be refused. The run goes on meanwhile."""

LEAVE_INTERVAL_S = 0.3
"""Interval at which a target is sought for a stream whose server shuts down.
Servers go on for two seconds or more."""


class StreamMoves:
    """Moves of one stream from one server.

    Attributes:
        copy: Copy from which the run continues elsewhere; None if it was not
            moved.
        may_have_stopped: Whether the server may have stopped the run, and then
            closes the stream without an end.
        spare: Copy from which it continues if its stream ends so.
        count: Number of orders to stop it.
    """

    def __init__(
        self,
        migrator: StreamMigrator,
        call: Call,
        server: BackendServer,
        moves_before: int,
    ):
        """Creates the moves of a stream that begins.

        Args:
            migrator: Orders moves.
            call: The request.
            server: Its server.
            moves_before: Number of moves of the request so far.
        """
        self._migrator = migrator
        self._call = call
        self._server = server
        self._left = MAX_MOVES - moves_before
        self._refused: set[str] = set()
        self._copy_ended: anyio.Event | None = None
        self._stop_ended: anyio.Event | None = None
        self.count = 0
        self.copy: KvCacheCopy | None = None
        self.may_have_stopped = False
        self.spare: KvCacheCopy | None = None

    @property
    def under_way(self) -> bool:
        """Whether the run is being copied, or has been moved."""
        return self._copy_ended is not None or self.copy is not None

    async def wait_for_stop(self) -> None:
        """Waits for the reply to an order that stops the run.

        A stream may outrun it.
        """
        if self._stop_ended is not None:
            await self._stop_ended.wait()

    async def wait(self) -> None:
        """Waits for the end of a copy that is being made."""
        if self._copy_ended is not None:
            await self._copy_ended.wait()

    async def leave(
        self, reserve: Callable[[frozenset[str]], Reservation | None]
    ) -> None:
        """Moves the stream from a server that shuts down.

        Args:
            reserve: Reserves a server, other than some, for it; None if there
                is none now.
        """
        await self._try(reserve, lambda: anyio.sleep(LEAVE_INTERVAL_S))

    async def leave_when_slow(
        self, reserve: Callable[[frozenset[str]], Reservation | None]
    ) -> None:
        """Moves the stream once it can't end in time where it is.

        Args:
            reserve: Reserves a faster server, other than some, if the stream
                needs one to end in time.
        """
        await self._next_check()
        await self._try(reserve, self._next_check)

    async def _try(
        self,
        reserve: Callable[[frozenset[str]], Reservation | None],
        pause: Callable[[], Awaitable[None]],
    ) -> None:
        while self._left > 0 and len(self._refused) < MAX_REFUSED_COPIES:
            if self._copy_ended is not None:
                await self._copy_ended.wait()
            if self.copy is not None:
                return
            reservation = reserve(frozenset(self._refused))
            if reservation is not None:
                if await self._move(reservation):
                    return
                self._refused.add(reservation.placed.server.id)
            await pause()

    async def _next_check(self) -> None:
        # At the same moments for all streams, so that their checks need only
        # one wake-up of the process.
        await anyio.sleep(
            SLOW_CHECK_INTERVAL_S
            - (time.monotonic() + _SLOW_CHECK_PHASE_S) % SLOW_CHECK_INTERVAL_S
        )

    async def _move(self, reservation: Reservation) -> bool:
        """Moves the run; returns whether it was ordered to stop."""
        self._copy_ended = anyio.Event()
        count = self.count
        try:
            result = await self._migrator.move(
                self._call,
                self._server,
                reservation.placed.server,
                self._on_stop,
            )
            self.copy = result.copy
            self.may_have_stopped |= result.may_have_stopped
            self.spare = result.spare or self.spare
        finally:
            reservation.run.end()
            self._copy_ended.set()
            self._copy_ended = None
            if self._stop_ended is not None:
                self._stop_ended.set()
        return self.count > count

    def _on_stop(self) -> None:
        self._left -= 1
        self.count += 1
        self._stop_ended = anyio.Event()
