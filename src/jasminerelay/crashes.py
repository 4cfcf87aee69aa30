"""Finds requests that end the backend servers which run them.

Pure. A server that ends takes all its runs with it, so one end says little of
any of them: their callers repeat them, often at the next server that ends. A
request is blocked with its third end, unless another one that was there at as
many explains all of them but one; those that only ran beside it are let go with
that. One whole run shows that a request ends no servers, whatever was counted
before.

What is known of a request is a set of ends and grows by union, so it does not
matter in which order, how often and by which instance it is told.
"""

import collections
import dataclasses

from jasminerelay.schema.messages import ServerEnds

BLOCKED_ENDS = 3
"""Servers that a request may end before it is not sent any more."""

SUSPECT_ENDS = 2
"""Ends from which on all instances are told, and a request is not repeated by
an instance itself: two unlucky ones are rare, and the third decides."""

UNEXPLAINED_ENDS = 2
"""Ends, of those that block a request, that no other blocked one explains. One
more may have had a cause of its own."""

KEEP_S = 24 * 3600.0
"""How long an end counts. Callers' own jobs repeat a request for hours."""

MAX_RECORDS = 4096
"""Requests that are kept; with more the oldest go. One end brings as many as a
server has slots."""

MAX_ENDS = 8
"""Ends that are kept of one request; more would tell nothing new."""

NEWER_S = 1.0
"""How much later a whole run must be to count as another one. Ages are rounded
on their way: told on and on, the same run would pass for a newer one."""

NEVER = float("-inf")
MS = 1e3


@dataclasses.dataclass
class _Record:
    """What is known of one request.

    Attributes:
        ends: Steady time of each end, by server.
        survived: Steady time of its last whole run.
    """

    ends: dict[str, float] = dataclasses.field(default_factory=dict)
    survived: float = NEVER


class CrashLedger:
    """Requests and the servers that ended while they ran.

    Example:
        >>> ledger = CrashLedger()
        >>> for number, server in enumerate(("s1", "s2", "s3")):
        ...     _ = ledger.ended("guilty", server, number)
        >>> ledger.blocked("guilty")
        True
        >>> _ = ledger.survived("guilty", 4.0)
        >>> ledger.blocked("guilty")
        False
    """

    def __init__(self) -> None:
        self._records: collections.OrderedDict[str, _Record] = (
            collections.OrderedDict()
        )
        self._blocked: frozenset[str] = frozenset()

    def __len__(self) -> int:
        return len(self._records)

    def __contains__(self, fingerprint: str) -> bool:
        return fingerprint in self._records

    @property
    def all_blocked(self) -> frozenset[str]:
        """Fingerprints of all requests that are not sent any more."""
        return self._blocked

    def blocked(self, fingerprint: str) -> bool:
        """Returns whether a request must not be sent."""
        return fingerprint in self._blocked

    def suspect(self, fingerprint: str) -> bool:
        """Returns whether one more end would block a request."""
        record = self._records.get(fingerprint)
        return record is not None and len(record.ends) >= SUSPECT_ENDS

    def suspects(self) -> list[str]:
        """Returns the requests of which all instances should know."""
        return [name for name in self._records if self.suspect(name)]

    def servers(self, fingerprint: str) -> list[str]:
        """Returns the servers that ended under a request, in turn."""
        record = self._records.get(fingerprint, _Record())
        return sorted(record.ends, key=record.ends.__getitem__)

    def ended(self, fingerprint: str, server: str, now: float) -> bool:
        """Notes that a server ended while it ran a request.

        Returns:
            Whether that was not known.
        """
        return self._merge(fingerprint, {server: now}, NEVER, now)

    def survived(self, fingerprint: str, now: float) -> bool:
        """Notes that a server has run a request to its end.

        Returns:
            Whether it cleared the request of ends.
        """
        record = self._records.get(fingerprint)
        if record is None or not record.ends:
            return False
        return self._merge(fingerprint, {}, now, now)

    def hear(self, word: ServerEnds, now: float) -> bool:
        """Takes what another instance knows of a request.

        Returns:
            Whether something of it was not known.
        """
        ends = {
            server: now - age_ms / MS
            for server, age_ms in zip(word.servers, word.ages_ms, strict=True)
        }
        survived = (
            NEVER if word.survived_ms < 0 else now - word.survived_ms / MS
        )
        return self._merge(word.fingerprint, ends, survived, now)

    def word(self, fingerprint: str, now: float) -> ServerEnds:
        """Returns what is known of a request, as it travels."""
        record = self._records.get(fingerprint, _Record())
        never = record.survived == NEVER
        return ServerEnds(
            fingerprint,
            list(record.ends),
            [_age_ms(at, now) for at in record.ends.values()],
            -1 if never else _age_ms(record.survived, now),
        )

    def expire(self, now: float) -> None:
        """Drops what is too old to count."""
        for name, record in list(self._records.items()):
            record.ends = {
                server: at
                for server, at in record.ends.items()
                if now - at < KEEP_S
            }
            if not record.ends and now - record.survived >= KEEP_S:
                del self._records[name]
        self._judge()

    def _merge(
        self,
        fingerprint: str,
        ends: dict[str, float],
        survived: float,
        now: float,
    ) -> bool:
        record = self._records.setdefault(fingerprint, _Record())
        before = (set(record.ends), record.survived)
        if survived > record.survived + NEWER_S:
            record.survived = survived
        for server, at in ends.items():
            if len(record.ends) < MAX_ENDS:
                record.ends.setdefault(server, at)
        record.ends = {
            server: at
            for server, at in record.ends.items()
            if at > record.survived and now - at < KEEP_S
        }
        changed = (set(record.ends), record.survived) != before
        if not record.ends and record.survived == NEVER:
            del self._records[fingerprint]
        if changed:
            self._bound()
            self._judge()
        return changed

    def _bound(self) -> None:
        while len(self._records) > MAX_RECORDS:
            spare = next(
                (x for x in self._records if x not in self._blocked), None
            )
            self._records.pop(spare or next(iter(self._records)))

    def _judge(self) -> None:
        """Blocks those that explain most ends, until none is left to explain.

        An innocent request can have been beside a guilty one at three ends,
        but then the guilty one was at as many, or soon is at more.
        """
        explained: set[str] = set()
        blocked = []
        for name in sorted(
            self.suspects(), key=lambda x: (-len(self._records[x].ends), x)
        ):
            ends = self._records[name].ends.keys()
            if len(ends) < BLOCKED_ENDS:
                break
            if len(ends - explained) >= UNEXPLAINED_ENDS:
                blocked.append(name)
                explained |= ends
        self._blocked = frozenset(blocked)


def _age_ms(at: float, now: float) -> int:
    return max(0, round(MS * (now - at)))
