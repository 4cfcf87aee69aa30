"""A planned stop: from the signal to the end of the process.

Pure. The instance leaves the entry lists at once, but callers keep their old
answer for a while and go on sending; they are served as long as what they
send can end before the platform kills the process. What cannot is refused as
not run. The process ends when nothing is under way and no caller can hold an
old answer any more, or just before it would be killed.
"""

import dataclasses

END_EARLY_S = 0.6
"""How long before the kill the process ends itself, so that its connections
are closed in order."""

LINGER_SHARE = 0.75
"""Part of the grace time after which an idle instance ends. Callers keep an
answer for some seconds; an address that refuses connections costs those who
still hold it a try."""

TAKE_ALL_S = 2.8
"""How long after the signal every request is taken. Whoever sends then has
an old entry list, and the grace time is meant for it."""


@dataclasses.dataclass(frozen=True)
class Stop:
    """A planned stop under way.

    Attributes:
        began: Steady time of the signal.
        grace_s: Time until the process is killed.
    """

    began: float
    grace_s: float

    @property
    def ends(self) -> float:
        """Steady time by which the process must have ended."""
        return self.began + self.grace_s - END_EARLY_S

    def takes(self, limit_s: float, now: float) -> bool:
        """Returns whether a request with this time limit is still taken."""
        take_all = min(TAKE_ALL_S, self.grace_s / 3)
        if now - self.began < take_all:
            return True
        return now + limit_s < self.ends

    def over(self, under_way: int, now: float) -> bool:
        """Returns whether the process should end now."""
        if now >= self.ends:
            return True
        linger = self.grace_s * LINGER_SHARE
        return under_way == 0 and now - self.began >= linger
