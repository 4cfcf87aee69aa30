"""How old an instance's knowledge of the store is.

Pure. Silence of the store is no proof that nothing has changed: it may have
left a waiting call without an answer for good, on a connection that looks
alive. So knowledge carries its age, the time since the moment up to which the
store, or another instance that had it from the store, has shown it complete.
Whatever is final for a caller goes by that age.
"""

import dataclasses
import time
from collections.abc import Iterable

STALL_S = 0.5
"""Time without a tick after which this process has stood still. What is read
then may have waited in a buffer, and its age counts from when it was sent."""

DEAF_S = 0.3
"""How long others' ages are passed over after a standstill; the buffer is
empty within milliseconds."""

NEVER = float("-inf")


def now_s() -> float:
    """Returns seconds since the machine's start.

    Unlike the steady clock it goes on while the machine is suspended, and
    knowledge grows old in that time.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclasses.dataclass(frozen=True)
class _Read:
    """What an answer on one table showed.

    Attributes:
        version: The store's newest version, up to which the table is known.
        at: When that was the newest one, by `now_s`.
    """

    version: int
    at: float


class Freshness:
    """Up to when an instance's knowledge of some tables is complete."""

    def __init__(self, tables: Iterable[str]):
        """Makes it for an instance that knows nothing yet.

        Args:
            tables: The tables that make up the knowledge.
        """
        self._reads = {table: _Read(-1, NEVER) for table in tables}
        self._complete_at = NEVER
        self._ticked_at = NEVER
        self._deaf_until = NEVER

    @property
    def lags(self) -> bool:
        """Whether one table is known up to an older version than another.

        The change in between may be one of either table.
        """
        versions = {read.version for read in self._reads.values()}
        return len(versions) > 1

    def age_s(self, now: float) -> float:
        """Returns the age; infinite before the first proof."""
        return now - self._complete_at

    def answered(self, table: str, version: int, at: float) -> bool:
        """Notes an answer of the store whose rows have been taken.

        Args:
            table: The table asked for.
            version: The store's newest version, by the answer.
            at: A moment at which that was the newest one for certain: when
                the call was sent, or when its wait was over.

        Returns:
            Whether the knowledge is proved complete up to a later moment.
        """
        before = self._reads[table]
        if version < before.version:
            return False
        self._reads[table] = _Read(version, max(at, before.at))
        return self._reach(min(map(self._proved_at, self._reads.values())))

    def told(self, age_s: float, now: float) -> None:
        """Notes the age of another instance's knowledge.

        Args:
            age_s: Its age; this instance must know all that the other knows.
            now: The time.
        """
        if self._stood_still(now) or now < self._deaf_until:
            return
        self._reach(now - age_s)

    def tick(self, now: float) -> None:
        """Notes that the process runs; is called ten times a second."""
        if self._stood_still(now):
            self._deaf_until = now + DEAF_S
        self._ticked_at = now

    def _stood_still(self, now: float) -> bool:
        return now - self._ticked_at > STALL_S

    def _proved_at(self, known: _Read) -> float:
        """Returns up to when a table is complete.

        No change came to any table between the version up to which it is
        known and an older one that was the store's newest later on.
        """
        return max(
            read.at
            for read in self._reads.values()
            if read.version <= known.version
        )

    def _reach(self, complete_at: float) -> bool:
        if complete_at <= self._complete_at:
            return False
        self._complete_at = complete_at
        return True
