"""Lets one kind of call at a time try a store that fails an instance's calls.

An instance follows two tables and makes a few other calls. While the store does
not answer, each of them would only repeat what the others show. So one of them
pauses and calls; the others wait for its result.
"""

import collections
from collections.abc import Callable

import anyio

from jasminerelay.storebackoff import Outage, RetryBackoff

STEP_S = 0.1
"""Interval at which a pause is computed again: it is shortened when other
instances report that the store answers."""


class RetryTurns:
    """The turns of one instance's kinds of calls."""

    def __init__(
        self,
        backoff: RetryBackoff,
        outage: Callable[[], Outage],
        short_pause: Callable[[], tuple[float, float]],
    ):
        """Creates the state of an instance whose calls are answered.

        Args:
            backoff: Decides how long to pause.
            outage: Returns what is known about the loss of the store now.
            short_pause: Returns the bounds of the pause where no other instance
                helps.
        """
        self._backoff = backoff
        self._outage = outage
        self._short_pause = short_pause
        self._failing: set[str] = set()
        self._prober: str | None = None
        self._failed_at = 0.0
        self._waiting: collections.OrderedDict[str, anyio.Event] = (
            collections.OrderedDict()
        )
        self._answered = anyio.Event()

    async def take(self, call: str) -> None:
        """Waits until a call that does not wait for changes may be sent.

        Args:
            call: The kind of call.
        """
        if self._prober is None and call not in self._failing:
            return
        if self._prober not in (None, call):
            self._waiting[call] = anyio.Event()
            await self._waiting[call].wait()
            if self._prober != call:
                return
        self._prober = call
        while True:
            pause_s = self._backoff.pause_s(self._outage(), self._short_pause())
            left_s = self._failed_at + pause_s - anyio.current_time()
            if left_s <= 0:
                return
            await anyio.sleep(min(left_s, STEP_S))

    async def answered(self) -> None:
        """Waits until the store answers the calls that try it, if it fails."""
        while self._prober is not None:
            await self._answered.wait()

    def failed(self, call: str) -> None:
        """Records a failed call; the next kind that waits gets its turn.

        Args:
            call: The kind of call.
        """
        self._failing.add(call)
        if self._prober not in (None, call):
            return
        self._failed_at = anyio.current_time()
        self._backoff.record_failure()
        if self._prober == call and self._waiting:
            self._prober, event = self._waiting.popitem(last=False)
            event.set()

    def succeeded(self, call: str) -> None:
        """Records an answered call; all that wait may call.

        Args:
            call: The kind of call.
        """
        self._failing.discard(call)
        if not self._failing:
            self._backoff.reset()
        if self._prober is None:
            return
        self._prober = None
        while self._waiting:
            self._waiting.popitem()[1].set()
        self._answered.set()
        self._answered = anyio.Event()
