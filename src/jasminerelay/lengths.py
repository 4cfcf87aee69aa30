"""How many tokens an answer will have, from its caller's guess and its kind.

Pure. A caller's guess is right at the median and often off by a factor of two
or more; a kind's answers are spread as well, but less than the guesses are
off. Their geometric mean has the smaller error: a guess of 1,350 tokens came
before answers of 280, and taken as it is it had requests refused that would
have ended in a quarter of their time.
"""

import math

WEIGHT = 0.03
"""Weight of one answer in the running mean of its kind's lengths."""

HINT_SHARE = 0.5
"""Weight of the caller's guess, on a logarithmic scale."""

UNKNOWN_SHARE = 0.4
"""Part of the most tokens allowed that an answer is taken to have when
neither its kind nor its caller says more."""


class Lengths:
    """Answers' lengths by kind.

    Example:
        >>> lengths = Lengths()
        >>> lengths.expect("chat", None, 1000)
        400
        >>> lengths.observe("chat", 100)
        >>> lengths.expect("chat", 400, 1000)
        200
    """

    def __init__(self) -> None:
        self._logs: dict[str, float] = {}

    def observe(self, kind: str, tokens: int) -> None:
        """Takes the length of a whole answer."""
        value = math.log(max(1, tokens))
        held = self._logs.get(kind, value)
        self._logs[kind] = held + WEIGHT * (value - held)

    def typical(self, kind: str, most: int) -> int:
        """Returns the usual length of a kind's answers."""
        if kind not in self._logs:
            return max(1, round(most * UNKNOWN_SHARE))
        return min(most, round(math.exp(self._logs[kind])))

    def expect(self, kind: str, hint: int | None, most: int) -> int:
        """Returns the likely length of one answer.

        Args:
            kind: Its kind.
            hint: Its caller's guess; None without one.
            most: Most tokens that it may have.
        """
        if hint is None:
            return self.typical(kind, most)
        if kind not in self._logs:
            return max(1, min(hint, most))
        value = HINT_SHARE * math.log(max(1, hint))
        value += (1 - HINT_SHARE) * self._logs[kind]
        return max(1, min(most, round(math.exp(value))))
