"""Limits on callers' requests and idle connections around new versions.

Pure. Callers learn of a new version later than an instance does, so limits that
it lowers are still used for a while, and connections that became idle before it
longer than that. Whatever a caller began is bounded by the longest and largest
of the limits that it may have known.
"""

import dataclasses

from jasminerelay.catalog import RequestLimits

LEARN_S = 3.0
"""Time after a version in which callers may not know it. It must be in force
two seconds after the store accepted it, for callers too."""

MAX_BODY_S = 60.0
"""Time for which limits are kept for a body that began under them; slow ones
take some ten seconds."""


@dataclasses.dataclass(frozen=True)
class _Replaced:
    """Limits that are no longer in force, and the monotonic time of that."""

    limits: RequestLimits
    until: float


class LimitHistory:
    """The limits that callers may know.

    Example:
        >>> history = LimitHistory()
        >>> history.replace(RequestLimits(idle_timeout_s=8.0), now=0.0)
        >>> history.replace(RequestLimits(idle_timeout_s=2.0), now=20.0)
        >>> history.known_since(22.0).idle_timeout_s
        8.0
        >>> history.known_since(23.5).idle_timeout_s
        2.0
    """

    def __init__(self) -> None:
        self._current: RequestLimits | None = None
        self._replaced: tuple[_Replaced, ...] = ()

    def replace(self, limits: RequestLimits, now: float) -> None:
        """Notes that limits are in force from now on.

        Args:
            limits: The limits of the newest configuration.
            now: Monotonic time.
        """
        current, self._current = self._current, limits
        if current in (None, limits):
            return
        self._replaced = (
            *(
                item
                for item in self._replaced
                if now < item.until + LEARN_S + self._kept_s(item)
                # Whoever may know both is bounded by the larger one.
                and _larger(item.limits, current) != current
            ),
            _Replaced(current, now),
        )

    def known_since(self, began_at: float) -> RequestLimits:
        """Returns the limits for a request, or for a pause between two.

        They only grow while it lasts.

        Args:
            began_at: Monotonic time at which it began.
        """
        allowed = self._current or RequestLimits()
        for item in self._replaced:
            if began_at < item.until + LEARN_S:
                allowed = _larger(allowed, item.limits)
        return allowed

    def _kept_s(self, item: _Replaced) -> float:
        return max(MAX_BODY_S, item.limits.idle_timeout_s)


def _larger(one: RequestLimits, other: RequestLimits) -> RequestLimits:
    return RequestLimits(
        *(
            max(getattr(one, field.name), getattr(other, field.name))
            for field in dataclasses.fields(RequestLimits)
        )
    )
