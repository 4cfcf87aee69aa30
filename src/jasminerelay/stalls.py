"""Notes when this process stood still, which no later read shows."""

MIN_HELD_UP_S = 1.0
"""Time for which a response must have stayed unread for the end of its
connection not to be the server's fault. Servers cut it off after some
seconds."""


class Stalls:
    """The latest standstill of this process that held servers up.

    Example:
        >>> stalls = Stalls()
        >>> stalls.record(3.0, now=10.0)
        >>> stalls.held_up_since(9.0), stalls.held_up_since(11.0)
        (True, False)
    """

    def __init__(self) -> None:
        self._ended_at = float("-inf")

    def record(self, stalled_s: float, now: float) -> None:
        """Records a standstill that has just ended.

        Args:
            stalled_s: How long it lasted, in seconds.
            now: Monotonic time.
        """
        if stalled_s >= MIN_HELD_UP_S:
            self._ended_at = now

    def held_up_since(self, moment: float) -> bool:
        """Returns whether servers were held up at some time after a moment."""
        return self._ended_at >= moment
