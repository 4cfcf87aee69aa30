"""Age of an instance's data from the store.

This module does no I/O. A call without an answer does not prove that nothing
has changed: the store may have left a waiting call unanswered for good, on a
connection that looks alive. So the data carries its age: the time since the
moment up to which the store, or another instance that was confirmed by the
store, has shown it to be complete. Answers that tell a caller not to retry,
such as "not found", depend on that age.
"""

import dataclasses
import time
from collections.abc import Iterable

STALL_S = 0.5
"""Time without a tick after which this process counts as stalled. A message
read then may have waited in a buffer, and its age counts from when it was
sent."""

IGNORE_AGES_S = 0.3
"""How long ages reported by other instances are ignored after a stall. The
buffer is drained within milliseconds."""

NEVER = float("-inf")


def now_s() -> float:
    """Returns seconds since the machine's start.

    Unlike the monotonic clock it advances while the machine is suspended, and
    the data grows old in that time.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclasses.dataclass(frozen=True)
class _Read:
    """The latest answer on one table.

    Attributes:
        version: The store's newest version, up to which the table's rows are
            applied.
        at: Boot time at which that was the newest version, in seconds.
    """

    version: int
    at: float


class Freshness:
    """The moment up to which the data of an instance is complete."""

    def __init__(self, tables: Iterable[str]):
        """Creates the state of an instance without data.

        Args:
            tables: The tables that make up the data.
        """
        self._reads = {table: _Read(-1, NEVER) for table in tables}
        self._complete_at = NEVER
        self._ticked_at = NEVER
        self._ignore_ages_until = NEVER

    @property
    def versions_differ(self) -> bool:
        """Whether one table is confirmed up to an older version than another.

        The change in between may belong to either table.
        """
        versions = {read.version for read in self._reads.values()}
        return len(versions) > 1

    def age_s(self, now: float) -> float:
        """Returns the age of the data; infinite before any confirmation."""
        return now - self._complete_at

    def record_answer(self, table: str, version: int, at: float) -> bool:
        """Records an answer of the store whose rows have been applied.

        Args:
            table: The table of the call.
            version: The store's newest version, according to the answer.
            at: A moment at which that was certainly the newest version: when
                the call was sent, or when its wait ended.

        Returns:
            Whether the data is now proved complete up to a later moment.
        """
        before = self._reads[table]
        if version < before.version:
            return False
        self._reads[table] = _Read(version, max(at, before.at))
        return self._advance_to(min(map(self._proved_at, self._reads.values())))

    def record_peer_age(self, age_s: float, now: float) -> None:
        """Records the age of another instance's data.

        Args:
            age_s: Its age; this instance must have all data that the other has.
            now: The time.
        """
        if self._was_stalled(now) or now < self._ignore_ages_until:
            return
        self._advance_to(now - age_s)

    def start(self, now: float) -> None:
        """Records that the process begins to run; no stall precedes this.

        Messages that arrive from now on may confirm the data at once.
        """
        self._ticked_at = now

    def tick(self, now: float) -> float:
        """Records that the process is running; called ten times a second.

        Returns:
            How long the process has been stalled until now, in seconds; 0 if it
            has not.
        """
        stalled_s = 0.0
        if self._was_stalled(now):
            self._ignore_ages_until = now + IGNORE_AGES_S
            stalled_s = now - self._ticked_at
        self._ticked_at = now
        return stalled_s

    def _was_stalled(self, now: float) -> bool:
        return now - self._ticked_at > STALL_S

    def _proved_at(self, table_read: _Read) -> float:
        """Returns the moment up to which a table is complete.

        If the store's newest version at some moment was no newer than the
        version up to which this table is applied, the table was complete then.
        """
        return max(
            read.at
            for read in self._reads.values()
            if read.version <= table_read.version
        )

    def _advance_to(self, complete_at: float) -> bool:
        if complete_at <= self._complete_at:
            return False
        self._complete_at = complete_at
        return True
