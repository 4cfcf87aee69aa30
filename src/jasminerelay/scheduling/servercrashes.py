"""Decides which crashes of servers an instance reports and believes.

The load is servers that crash while several instances, each of which places its
own requests, send to them: every one would lose a request to find out. Reports
of an instance that is itself cut off, or that is wrong, must cost the others
next to nothing.
"""

import dataclasses
import math

AT_ONCE_S = 0.5
"""Time span within which failures count as simultaneous."""

HOLD_S = 0.15
"""Time between evidence and its report, in which an instance that is cut off
notices failures at other servers, and a server that lives may respond."""

REPORT_INTERVAL_S = 2.0
"""Minimum pause between two reports of a server."""

MAX_AGE_S = 2.0
"""Age at which a report is ignored. A restarted server may listen by then."""

BELIEVED_ONCE_S = 30.0
"""Time span in which one report of a server counts. An incarnation crashes
once, so further ones are repeats, or come from an instance that is wrong."""


@dataclasses.dataclass
class _Server:
    """What one instance knows about a server.

    Attributes:
        failed_at: Time of its last failure.
        first_at: Time of the first of the simultaneous failures.
        breaks: Requests that it broke off at once.
        ended: Whether its end was proved among them.
        responded_at: Time of its last response.
        told_at: Time of the last report of its crash, by any instance.
        heard_at: Time of the last report that was believed.
    """

    failed_at: float = -math.inf
    first_at: float = -math.inf
    breaks: int = 0
    ended: bool = False
    responded_at: float = -math.inf
    told_at: float = -math.inf
    heard_at: float = -math.inf


class ServerCrashes:
    """Crashes of servers by their ids, which include the incarnation.

    Times are of a monotonic clock.

    Example:
        >>> crashes = ServerCrashes()
        >>> crashes.record_failure("engine-1@5", 10.0, ended=True)
        >>> crashes.take_reports(10.2)
        (['engine-1@5'], False)
    """

    def __init__(self) -> None:
        self._servers: dict[str, _Server] = {}
        self._unreported: dict[str, None] = {}

    @property
    def pending(self) -> bool:
        """Whether there is evidence that may have to be reported."""
        return bool(self._unreported)

    def record_failure(
        self,
        server: str,
        now: float,
        *,
        ended: bool = False,
        broken: bool = False,
    ) -> None:
        """Records a request that a server did not answer.

        Args:
            server: ID of the server.
            now: Current time.
            ended: Whether its end is proved.
            broken: Whether it closed the connection of the request, which
                proves nothing by itself.
        """
        record = self._get(server)
        if now - record.failed_at > AT_ONCE_S or record.responded_at > (
            record.failed_at
        ):
            record.first_at = now
            record.breaks = 0
            record.ended = False
        record.failed_at = now
        record.breaks += broken
        record.ended = record.ended or ended
        if record.ended:
            self._unreported[server] = None

    def record_response(self, server: str, now: float) -> bool:
        """Records a response; returns whether a report is thereby refuted."""
        record = self._get(server)
        refuted = record.responded_at < record.heard_at
        record.responded_at = now
        self._unreported.pop(server, None)
        return refuted

    def take_reports(self, now: float) -> tuple[list[str], bool]:
        """Returns the crashed servers to report now.

        Also returns whether reports are withheld since several servers fail at
        this instance, which may be cut off.
        """
        due = [
            server
            for server in self._unreported
            if now - self._servers[server].first_at >= HOLD_S
        ]
        failing = [
            server
            for server, record in self._servers.items()
            if now - record.failed_at <= AT_ONCE_S
            and record.responded_at < record.failed_at
        ]
        for server in due:
            del self._unreported[server]
        due = [
            server
            for server in due
            if now - self._servers[server].told_at >= REPORT_INTERVAL_S
        ]
        if due and len(failing) > 1:
            return [], True
        for server in due:
            self._servers[server].told_at = now
        return due, False

    def evidence(self, server: str, now: float) -> dict[str, object]:
        """Returns the evidence of a server's crash, for the log."""
        record = self._get(server)
        return {
            "breaks": record.breaks,
            "age_s": round(now - record.first_at, 3),
        }

    def believe(self, server: str, age_s: float, now: float) -> bool:
        """Returns whether another instance's report counts, as one failure.

        Args:
            server: ID of the server.
            age_s: Time since the report was made.
            now: Current time.
        """
        if age_s > MAX_AGE_S:
            return False
        record = self._get(server)
        if now - record.heard_at < BELIEVED_ONCE_S:
            return False
        if record.responded_at >= now - age_s:
            return False
        record.heard_at = now
        record.told_at = max(record.told_at, now - age_s)
        return True

    def keep(self, servers: set[str]) -> None:
        """Drops the records of all other servers."""
        for server in self._servers.keys() - servers:
            del self._servers[server]
            self._unreported.pop(server, None)

    def _get(self, server: str) -> _Server:
        return self._servers.setdefault(server, _Server())
