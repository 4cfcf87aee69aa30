"""Rate limits of organisations, enforced across all instances.

The token bucket of an organisation is kept by one instance, its coordinator,
which rendezvous hashing picks. The other instances borrow tokens in batches,
so that most requests are admitted without a message.
"""

import dataclasses

DEFAULT_BURST_S = 10.0
LOAN_BATCH_S = 0.5


@dataclasses.dataclass(frozen=True)
class Limit:
    """Rate limit of an organisation.

    Attributes:
        tokens_per_s: Refill rate in tokens per second; 0 means no limit.
        burst: Capacity of the bucket in tokens.
    """

    tokens_per_s: float
    burst: float

    @classmethod
    def of(cls, tokens_per_s: float, burst_tokens: float) -> "Limit":
        """Returns a limit; a burst of 0 is replaced by the default."""
        return cls(tokens_per_s, burst_tokens or tokens_per_s * DEFAULT_BURST_S)


class TokenBucket:
    """Token bucket of an organisation, kept by its coordinator."""

    def __init__(self, limit: Limit, now: float):
        self._limit = limit
        self._tokens = limit.burst
        self._refilled_at = now

    def lend(self, wanted: float, now: float) -> float:
        """Takes up to the wanted tokens; returns how many were taken."""
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        self._tokens = min(
            self._limit.burst,
            self._tokens + elapsed * self._limit.tokens_per_s,
        )
        lent = max(0.0, min(wanted, self._tokens))
        self._tokens -= lent
        return lent

    def retry_s(self, wanted: float) -> float:
        """Returns the seconds until the wanted tokens are available."""
        missing = min(wanted, self._limit.burst) - self._tokens
        return max(0.0, missing / self._limit.tokens_per_s)


class BorrowedBalance:
    """Balance of tokens that one instance has borrowed for an organisation."""

    def __init__(self, limit: Limit, instances: int):
        self._limit = limit
        self._instances = max(1, instances)
        self._balance = 0.0

    def take(self, tokens: float) -> bool:
        """Takes tokens from the balance; returns False if it is too low."""
        if self._balance < tokens:
            return False
        self._balance -= tokens
        return True

    def settle(self, surplus: float) -> None:
        """Corrects the balance once the actual length of an answer is known.

        Args:
            surplus: Tokens taken but not used; negative if more were used
                than taken.
        """
        self._balance += surplus

    def tokens_to_borrow(self, tokens: float) -> float:
        """Returns how many tokens to borrow: the shortfall and a batch."""
        batch = self._limit.tokens_per_s * LOAN_BATCH_S / self._instances
        return max(0.0, tokens - self._balance) + batch

    def add_loan(self, tokens: float) -> None:
        """Adds borrowed tokens to the balance."""
        self._balance += tokens
