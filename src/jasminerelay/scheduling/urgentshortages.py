"""Decides when longer requests wait for more urgent ones that get nothing.

Pure. The kinds' shares of the servers follow their demand, so that under
overload requests of an urgent kind are refused while longer, less urgent ones
begin at servers of their own. While a notable share of a kind is refused, at
all instances together, less urgent requests of over twice its size do not
begin, and the kind may use any server.
"""

import dataclasses
import math
from collections.abc import Iterable

from jasminerelay.schema.messages import KindShortage

MEMORY_S = 5.0
"""Time constant with which placed and refused requests are forgotten."""

MIN_REFUSED = 2.0
SHORT_SHARE = 1 / 48
"""Refused requests of a kind, in number and as a share, from which it is short.
Callers of urgent kinds may be refused once in twelve at most while longer
requests begin; a quarter of that leaves time to act."""

LONGER_FACTOR = 2.0
REPORT_MAX_AGE_S = 1.0
"""Age up to which another instance's report counts."""

MIN_REPORTED = 0.1
"""Refused requests below which a kind is not reported."""


@dataclasses.dataclass
class _Kind:
    """Requests of one kind at this instance, fading.

    Attributes:
        rank: Rank of its route.
        tokens: Mean size of their prompts.
        at: Monotonic time to which the numbers have faded.
        refused: Number of refused ones.
        total: Number of refused and placed ones.
    """

    rank: int
    tokens: float
    at: float
    refused: float = 0.0
    total: float = 0.0

    def fade(self, now: float) -> None:
        """Lets the numbers fade up to now."""
        factor = math.exp(-max(0.0, now - self.at) / MEMORY_S)
        self.refused *= factor
        self.total *= factor
        self.at = now


class UrgentShortages:
    """Kinds of which requests are refused, of all services.

    Example:
        >>> shortages = UrgentShortages()
        >>> for number in range(20):
        ...     placed = number % 4 > 0
        ...     shortages.record("pool", "check", 1, 500, placed, now=0.0)
        >>> shortages.is_short("pool", "check", 0.1)
        True
        >>> shortages.holds_back("pool", 2, 5000, 0.1)
        True
        >>> shortages.holds_back("pool", 2, 900, 0.1)
        False
        >>> shortages.holds_back("pool", 0, 5000, 0.1)
        False
    """

    def __init__(self) -> None:
        self._own: dict[tuple[str, str], _Kind] = {}
        self._reports: dict[str, tuple[float, list[KindShortage]]] = {}

    def record(
        self,
        service: str,
        kind: str,
        rank: int,
        tokens: int,
        placed: bool,
        now: float,
    ) -> None:
        """Records a request that was placed or refused.

        Args:
            service: Its service.
            kind: Name of its route.
            rank: Rank of its route.
            tokens: Size of its prompt.
            placed: Whether it was placed.
            now: Monotonic time.
        """
        held = self._own.get((service, kind))
        if held is None:
            held = self._own[service, kind] = _Kind(rank, tokens, now)
        held.fade(now)
        held.rank = rank
        held.total += 1.0
        held.refused += not placed
        held.tokens += (tokens - held.tokens) / max(1.0, held.total)

    def reports(self, now: float) -> list[KindShortage]:
        """Returns the kinds that are refused here, for the other instances."""
        found = []
        for (service, kind), held in self._own.items():
            held.fade(now)
            if held.refused >= MIN_REPORTED:
                found.append(
                    KindShortage(
                        f"{service}/{kind}",
                        held.rank,
                        round(held.tokens),
                        round(held.refused, 2),
                        round(held.total, 2),
                    )
                )
        return found

    def update(
        self, instance: str, reports: Iterable[KindShortage], now: float
    ) -> None:
        """Replaces the report of another instance."""
        found = list(reports)
        if found:
            self._reports[instance] = (now, found)
        else:
            self._reports.pop(instance, None)

    def is_short(self, service: str, kind: str, now: float) -> bool:
        """Returns whether a notable share of a kind is refused."""
        return any(
            item.kind == f"{service}/{kind}"
            for item in self._short_kinds(service, now)
        )

    def holds_back(
        self, service: str, rank: int, tokens: int, now: float
    ) -> bool:
        """Returns whether a request leaves capacity to a more urgent kind.

        Args:
            service: Its service.
            rank: Rank of its route.
            tokens: Size of its prompt.
            now: Monotonic time.
        """
        return any(
            item.rank < rank and tokens > LONGER_FACTOR * item.tokens
            for item in self._short_kinds(service, now)
        )

    def _short_kinds(self, service: str, now: float) -> list[KindShortage]:
        if not self._reports and not self._own:
            return []
        total: dict[str, KindShortage] = {}
        for item in [*self.reports(now), *self._recent_reports(now)]:
            if not item.kind.startswith(f"{service}/"):
                continue
            held = total.get(item.kind)
            if held is not None:
                item = KindShortage(
                    item.kind,
                    item.rank,
                    item.tokens,
                    item.refused + held.refused,
                    item.total + held.total,
                )
            total[item.kind] = item
        return [
            item
            for item in total.values()
            if item.refused >= MIN_REFUSED
            and item.refused > SHORT_SHARE * item.total
        ]

    def _recent_reports(self, now: float) -> list[KindShortage]:
        self._reports = {
            name: (at, found)
            for name, (at, found) in self._reports.items()
            if now - at <= REPORT_MAX_AGE_S
        }
        return [x for _, found in self._reports.values() for x in found]
