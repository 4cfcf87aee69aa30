"""Decides whether all usage of a window has been received.

The load is one report a second from each instance, of which some are lost,
from instances that start, stop, crash and are cut off. A window that is
complete early can be reported before the store fails, or before the holder of
the duties does.
"""

import dataclasses
import math
from collections.abc import Iterable

from jasminerelay.trueclock import MAX_SKEW_S
from jasminerelay.usage import KEPT_WINDOWS, RESEND_FOR_S


@dataclasses.dataclass
class _Progress:
    """What is known about the reports of one instance.

    Attributes:
        live_at: Last time at which it was live, while it is not.
        made_at: Time of its newest report.
        counted_to: All its requests that began before this time are counted.
        received_at: Time at which the newest report was received.
        gap: Start and end of the last time span without reports that was so
            long that totals may have been lost.
        final: Whether it has stopped and begins no more requests.
    """

    live_at: float = -math.inf
    made_at: float = -math.inf
    counted_to: float = -math.inf
    received_at: float = -math.inf
    gap: tuple[float, float] = (-math.inf, -math.inf)
    final: bool = False


class ReportProgress:
    """Which instances have reported, and up to when. All times are true times.

    Example:
        >>> progress = ReportProgress(5.0, 0.0)
        >>> progress.update_live(["a"], 0.0)
        >>> progress.record_report("a", 15.6, 0.2, 15.6)
        >>> progress.missing(2)
        []
        >>> progress.missing(3)
        ['a']
    """

    def __init__(self, window_s: float, since: float):
        """Creates the progress of windows that have not begun.

        Args:
            window_s: Length of a window.
            since: Time from which on live instances are recorded.
        """
        self._window_s = window_s
        self._since = since
        self._live: frozenset[str] = frozenset()
        self._instances: dict[str, _Progress] = {}

    def update_live(self, live: Iterable[str], now: float) -> None:
        """Records which instances are live from now on."""
        live = frozenset(live)
        for name in self._live - live:
            self._get(name).live_at = now
        self._live = live

    def record_report(
        self,
        sender: str,
        made_at: float,
        pending_s: float,
        now: float,
        *,
        final: bool = False,
    ) -> None:
        """Records a report of an instance's totals.

        Args:
            sender: The instance, including its incarnation.
            made_at: Time of the report by the sender's clock.
            pending_s: Age of the oldest request of the sender that it may still
                count.
            now: Current time.
            final: Whether the sender begins no more requests.
        """
        progress = self._get(sender)
        if -math.inf < progress.received_at < now - RESEND_FOR_S:
            progress.gap = (progress.received_at, now)
        progress.received_at = now
        # Requests that an instance counts while its clock is ahead may belong
        # to an earlier window once the clock is corrected.
        made_at = min(made_at, now)
        progress.made_at = max(progress.made_at, made_at)
        progress.counted_to = max(progress.counted_to, made_at - pending_s)
        progress.final = progress.final or final

    def missing(self, window: int) -> list[str]:
        """Returns the instances whose requests of a window may be missing.

        An instance that disappeared without a final report may still be
        running, cut off from this one, so it counts for one more window.
        """
        start = window * self._window_s
        if start < self._since:
            # Instances may have disappeared before this one knew any.
            return ["unknown"]
        return sorted(
            name
            for name in self._live | self._instances.keys()
            if not self._accounted(name, start)
        )

    def expire(self, now: float) -> None:
        """Drops instances that disappeared before all windows that are kept."""
        oldest = now - (KEPT_WINDOWS + 1) * self._window_s
        for name, progress in list(self._instances.items()):
            if name not in self._live and _last_seen(progress) < oldest:
                del self._instances[name]

    def _get(self, name: str) -> _Progress:
        return self._instances.setdefault(name, _Progress())

    def _accounted(self, name: str, start: float) -> bool:
        progress = self._instances.get(name)
        if progress is None:
            return False
        if progress.final:
            return True
        end = start + self._window_s
        gone = name not in self._live
        if gone and _last_seen(progress) < start - self._window_s:
            return True
        gap_start, gap_end = progress.gap
        if gap_start < end and gap_end > start:
            return False
        return (
            progress.made_at >= end + MAX_SKEW_S and progress.counted_to >= end
        )


def _last_seen(progress: _Progress) -> float:
    return max(progress.live_at, progress.made_at)
