"""Retry budget of one instance.

Without a budget, retries would multiply the load just when backend servers
fail, and turn a short fault into a long overload.
"""

RETRIES_PER_SUCCESS = 0.1
INITIAL_RETRIES = 10.0
MAX_SAVED_RETRIES = 100.0


class RetryBudget:
    """Allows retries as a share of recent successful requests."""

    def __init__(
        self,
        ratio: float = RETRIES_PER_SUCCESS,
        reserve: float = INITIAL_RETRIES,
        ceiling: float = MAX_SAVED_RETRIES,
    ):
        """Creates a budget.

        Args:
            ratio: Retries earned by each success.
            reserve: Retries available at the start.
            ceiling: Maximum retries that can be saved up.
        """
        self._ratio = ratio
        self._tokens = reserve
        self._ceiling = ceiling

    def succeeded(self) -> None:
        """Records a successful request."""
        self._tokens = min(self._ceiling, self._tokens + self._ratio)

    @property
    def available(self) -> bool:
        """Whether a retry is left."""
        return self._tokens >= 1

    def spend(self) -> bool:
        """Takes one retry; returns False if none is left."""
        if not self.available:
            return False
        self._tokens -= 1
        return True

    def give_back(self) -> None:
        """Returns a retry that was taken and not made."""
        self._tokens = min(self._ceiling, self._tokens + 1)
