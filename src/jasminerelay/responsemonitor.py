"""Detects backend servers that stopped responding without closing connections.

Pure. A server that loses power or its network neither answers nor resets its
connections. Requests that must not be repeated wait for it until their time
limit, so only the missing responses show the failure, and every further request
sent there would be lost as well. A server that responds to none of this
instance's requests gets no more until it responds again.
"""

import dataclasses

UNRESPONSIVE_AFTER_S = 0.8
"""Time without any response after which a server with open requests gets no
more. Engines send an event every few tens of milliseconds and prefill the
longest prompts in 0.7 s; plain services answer in 0.1 s."""

RETRY_INTERVAL_S = 2.0
"""Interval at which an unresponsive server is then tried with one request: a
server that had only stalled sends nothing until it gets a request."""


REPORT_MAX_AGE_S = 0.5
"""Age up to which another instance's report of an unresponsive server is used.
It is repeated five times a second while the server is unresponsive."""


@dataclasses.dataclass
class _Activity:
    last_response: float
    last_attempt: float


class ResponseMonitor:
    """Times of the last request to and the last response from each server.

    Example:
        >>> monitor = ResponseMonitor()
        >>> monitor.record_request("s", idle=True, now=0.0)
        >>> monitor.silent("s", running=1, now=0.5)
        False
        >>> monitor.silent("s", running=1, now=1.0)
        True
        >>> monitor.record_response("s", 1.1)
        >>> monitor.silent("s", running=1, now=1.2)
        False
    """

    def __init__(self) -> None:
        self._servers: dict[str, _Activity] = {}

    def record_request(self, server: str, idle: bool, now: float) -> None:
        """Records that a request is sent.

        Args:
            server: The server.
            idle: Whether it had no open requests before; the time without a
                response then starts now.
            now: Monotonic time.
        """
        activity = self._servers.get(server)
        if activity is None or idle:
            self._servers[server] = _Activity(now, now)
        else:
            activity.last_attempt = now

    def record_response(self, server: str, now: float) -> None:
        """Records that the server sent some response."""
        activity = self._servers.get(server)
        if activity is not None:
            activity.last_response = now

    def silent(self, server: str, running: int, now: float) -> bool:
        """Returns whether a server should get no request now.

        Args:
            server: The server.
            running: Number of this instance's open requests there.
            now: Monotonic time.
        """
        activity = self._servers.get(server)
        if activity is None or not running:
            return False
        if now - activity.last_response < UNRESPONSIVE_AFTER_S:
            return False
        return now - activity.last_attempt < RETRY_INTERVAL_S

    def forget(self, server: str) -> None:
        """Deletes the record of a server that has ended."""
        self._servers.pop(server, None)


class PeerResponseMonitor:
    """Unresponsive servers, as reported by other instances.

    Used by cell owners in place of the local detection: an owner sends no
    requests itself, so only the instances that do can detect this.
    """

    def __init__(self) -> None:
        self._until: dict[str, float] = {}

    def record_request(self, server: str, idle: bool, now: float) -> None:
        """Does nothing: the instance that sends the request monitors it."""

    def record_response(self, server: str, now: float) -> None:
        """Records that a server sent some response."""
        del now
        self._until.pop(server, None)

    def report_unresponsive(self, server: str, now: float) -> None:
        """Records that an instance reports a server as unresponsive."""
        self._until[server] = now + REPORT_MAX_AGE_S

    def silent(self, server: str, running: int, now: float) -> bool:
        """Returns whether a server should get no request now."""
        del running
        return now < self._until.get(server, 0.0)

    def forget(self, server: str) -> None:
        """Deletes the report on a server that has ended."""
        self._until.pop(server, None)
