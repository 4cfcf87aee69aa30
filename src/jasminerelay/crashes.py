"""Identifies requests that crash the backend servers which process them.

The same holds for parts of prompts, under which request after request crashes
servers.

Without I/O. A crash terminates all in-flight requests of a server, so one crash
is weak evidence against each of them: clients retry them, often at the next
server that crashes. A request is blocked with its third crash, unless another
request that was in flight at as many crashes explains all of them but one; a
request whose crashes are explained by another one is released when that one is
blocked. One complete response shows that a request does not crash servers,
whatever was counted before.

The state of a request is a set of crashes, merged by union, so reports of other
instances may arrive in any order, repeatedly and from any instance.
"""

import collections
import dataclasses

from jasminerelay.schema.messages import RequestCrashes

BLOCK_AFTER_CRASHES = 3
"""Crashes after which a request is no longer sent to any server."""

SUSPECT_AFTER_CRASHES = 2
"""Crashes from which on a request is broadcast to all instances and no longer
retried by an instance itself. Two crashes by coincidence are rare; the third
one decides."""

MIN_UNEXPLAINED_CRASHES = 2
"""Crashes of a request that no other blocked request explains, for it to be
blocked. A single one may have had a cause of its own."""

RETENTION_S = 24 * 3600.0
"""How long a crash counts. Clients' batch jobs retry a request for hours."""

MAX_RECORDS = 4096
"""Requests on record; beyond that, the oldest are evicted. One crash adds as
many as a server has slots."""

MAX_CRASHES_PER_REQUEST = 8
"""Crashes kept of one request; more would not change the decision."""

COMPLETION_TOLERANCE_S = 1.0
"""How much later a complete response must be to count as another one. Ages are
rounded in messages, so that after several hops the same response would pass for
a newer one."""

REQUEST = 0
"""Width of a request. Of two names with the same crashes the narrower one is
blamed."""

NEVER = float("-inf")
MS_PER_S = 1e3


@dataclasses.dataclass
class _Record:
    """Evidence for and against one request.

    Attributes:
        crashes: Monotonic time of each crash, by server.
        last_completion_at: Monotonic time of its last complete response.
        width: `REQUEST`, or for a part of prompts its place before the last
            part, from 1 on.
    """

    crashes: dict[str, float] = dataclasses.field(default_factory=dict)
    last_completion_at: float = NEVER
    width: int = REQUEST


class CrashLedger:
    """Requests and the servers that crashed while they were in flight.

    Example:
        >>> ledger = CrashLedger()
        >>> for number, server in enumerate(("s1", "s2", "s3")):
        ...     _ = ledger.ended("culprit", server, number)
        >>> ledger.is_blocked("culprit")
        True
        >>> _ = ledger.record_completion("culprit", 4.0)
        >>> ledger.is_blocked("culprit")
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
        """Fingerprints of all requests that must not be sent to any server."""
        return self._blocked

    def is_blocked(self, fingerprint: str) -> bool:
        """Returns whether a request must not be sent."""
        return fingerprint in self._blocked

    def suspect(self, fingerprint: str) -> bool:
        """Returns whether one more crash may block a request."""
        record = self._records.get(fingerprint)
        return (
            record is not None and len(record.crashes) >= SUSPECT_AFTER_CRASHES
        )

    def suspects(self) -> list[str]:
        """Returns the suspect requests, of which all instances are notified."""
        return [name for name in self._records if self.suspect(name)]

    def servers(self, fingerprint: str) -> list[str]:
        """Returns the servers that a request crashed, oldest crash first."""
        record = self._records.get(fingerprint, _Record())
        return sorted(record.crashes, key=record.crashes.__getitem__)

    def ended(
        self, fingerprint: str, server: str, now: float, width: int = REQUEST
    ) -> bool:
        """Records that a server crashed while it processed a request.

        Args:
            fingerprint: The request, or a part of its prompt.
            server: The server.
            now: Monotonic time.
            width: `REQUEST`, or the width of the part.

        Returns:
            Whether the crash was new.
        """
        return self._merge(fingerprint, {server: now}, NEVER, now, width)

    def cleared_since(self, fingerprint: str, other: str) -> bool:
        """Returns whether a name was cleared after all crashes of another."""
        record = self._records.get(fingerprint, _Record())
        crashes = self._records.get(other, _Record()).crashes.values()
        return record.last_completion_at > max(crashes, default=NEVER)

    def width(self, fingerprint: str) -> int:
        """Returns the width of a name; `REQUEST` for an unknown one."""
        return self._records.get(fingerprint, _Record()).width

    def record_completion(self, fingerprint: str, now: float) -> bool:
        """Records that a server sent a request's complete response.

        Returns:
            Whether this cleared the request of crashes.
        """
        record = self._records.get(fingerprint)
        if record is None or not record.crashes:
            return False
        return self._merge(fingerprint, {}, now, now, tolerance_s=0.0)

    def merge(self, report: RequestCrashes, now: float) -> bool:
        """Merges another instance's report on a request.

        Returns:
            Whether the report contained anything new.
        """
        crashes = {
            server: now - age_ms / MS_PER_S
            for server, age_ms in zip(
                report.servers, report.ages_ms, strict=True
            )
        }
        last_completion_at = (
            NEVER
            if report.survived_ms < 0
            else now - report.survived_ms / MS_PER_S
        )
        return self._merge(
            report.fingerprint, crashes, last_completion_at, now, report.width
        )

    def to_message(self, fingerprint: str, now: float) -> RequestCrashes:
        """Returns a request's record as a message."""
        record = self._records.get(fingerprint, _Record())
        never = record.last_completion_at == NEVER
        return RequestCrashes(
            fingerprint,
            list(record.crashes),
            [_age_ms(at, now) for at in record.crashes.values()],
            -1 if never else _age_ms(record.last_completion_at, now),
            record.width,
        )

    def expire(self, now: float) -> None:
        """Drops crashes and responses that are too old to count."""
        for name, record in list(self._records.items()):
            record.crashes = {
                server: at
                for server, at in record.crashes.items()
                if now - at < RETENTION_S
            }
            if (
                not record.crashes
                and now - record.last_completion_at >= RETENTION_S
            ):
                del self._records[name]
        self._update_blocked()

    def _merge(
        self,
        fingerprint: str,
        crashes: dict[str, float],
        last_completion_at: float,
        now: float,
        width: int = REQUEST,
        tolerance_s: float = COMPLETION_TOLERANCE_S,
    ) -> bool:
        record = self._records.setdefault(fingerprint, _Record())
        record.width = record.width or max(REQUEST, width)
        before = (set(record.crashes), record.last_completion_at)
        if last_completion_at > record.last_completion_at + tolerance_s:
            record.last_completion_at = last_completion_at
        for server, at in crashes.items():
            if len(record.crashes) < MAX_CRASHES_PER_REQUEST:
                record.crashes.setdefault(server, at)
        record.crashes = {
            server: at
            for server, at in record.crashes.items()
            if at > record.last_completion_at and now - at < RETENTION_S
        }
        changed = (set(record.crashes), record.last_completion_at) != before
        if not record.crashes and record.last_completion_at == NEVER:
            del self._records[fingerprint]
        if changed:
            self._evict_excess()
            self._update_blocked()
        return changed

    def _evict_excess(self) -> None:
        while len(self._records) > MAX_RECORDS:
            victim = next(
                (x for x in self._records if x not in self._blocked), None
            )
            self._records.pop(victim or next(iter(self._records)))

    def _blame_order(self, name: str) -> tuple[int, int, str]:
        record = self._records[name]
        return (-len(record.crashes), record.width, name)

    def _update_blocked(self) -> None:
        """Blocks requests, those with most crashes first.

        A request is skipped if those blocked before it explain its crashes. An
        innocent request may have been in flight beside the culprit at three
        crashes, but then the culprit was at as many, or soon is at more.
        """
        explained: set[str] = set()
        blocked = []
        for name in sorted(self.suspects(), key=self._blame_order):
            crashes = self._records[name].crashes.keys()
            if len(crashes) < BLOCK_AFTER_CRASHES:
                break
            if len(crashes - explained) >= MIN_UNEXPLAINED_CRASHES:
                blocked.append(name)
                explained |= crashes
        self._blocked = frozenset(blocked)


def _age_ms(at: float, now: float) -> int:
    return max(0, round(MS_PER_S * (now - at)))
