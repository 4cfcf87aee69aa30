"""Decides which backend servers an instance reaches only through others.

Pure. Only opening connections counts as evidence, since open connections may
live on while no new one can be opened. A server that is down is reached by no
instance, so a server counts as out of reach only once another instance has
reached it and this one has not.
"""

import math

CUT_AFTER_SERVERS = 2
"""Servers out of reach, with no direct connection since, after which all count
as out of reach."""

RELAY_LOST = "the relaying instance was lost"
"""Reason of an exchange that ended with its relay, as it is logged."""

DIRECT_MAX_AGE_S = 3.0
"""Age up to which a direct connection shows that the links are sound."""

PROBE_INTERVAL_S = 1.0
"""Interval between direct connections to servers that are out of reach."""


class ServerPaths:
    """Which servers an instance reaches directly.

    Example:
        >>> paths = ServerPaths()
        >>> paths.record_relayed("s1", now=0.0)
        True
        >>> paths.relays("s1"), paths.relays("s2")
        (True, False)
        >>> paths.record_relayed("s2", now=0.1)
        True
        >>> paths.relays("s3")
        True
        >>> paths.record_direct("s1", now=2.0)
        >>> paths.relays("s1"), paths.relays("s2"), paths.relays("s3")
        (False, True, False)
    """

    def __init__(self) -> None:
        self._out_of_reach: dict[str, float] = {}
        self._last_direct_at = -math.inf
        self._next_probe_at = -math.inf

    @property
    def out_of_reach(self) -> int:
        """Number of servers known to be out of reach."""
        return len(self._out_of_reach)

    @property
    def last_direct_at(self) -> float:
        """Time of the last direct connection to any server."""
        return self._last_direct_at

    @property
    def cut(self) -> bool:
        """Whether all servers count as out of reach."""
        since = self._out_of_reach.values()
        return len(
            self._out_of_reach
        ) >= CUT_AFTER_SERVERS and self._last_direct_at < min(since)

    def reaches_servers(self, now: float) -> bool:
        """Returns whether a direct connection was opened lately."""
        return now - self._last_direct_at <= DIRECT_MAX_AGE_S

    def relays(self, server: str) -> bool:
        """Returns whether to reach a server through another instance."""
        return server in self._out_of_reach or self.cut

    def record_relayed(self, server: str, now: float) -> bool:
        """Records that another instance reached a server, and this one did not.

        Returns:
            Whether the server was not known to be out of reach.
        """
        if server in self._out_of_reach:
            return False
        if not self._out_of_reach:
            self._next_probe_at = now + PROBE_INTERVAL_S
        self._out_of_reach[server] = now
        return True

    def record_direct(self, server: str, now: float) -> None:
        """Records a direct connection to a server."""
        self._last_direct_at = now
        if self._out_of_reach.pop(server, None) is not None:
            # The links may be back, so the others are tried at once.
            self._next_probe_at = now

    def next_probe(self, now: float) -> str | None:
        """Returns a server to connect to directly now; None if none is due."""
        if not self._out_of_reach or now < self._next_probe_at:
            return None
        self._next_probe_at = now + PROBE_INTERVAL_S
        server = next(iter(self._out_of_reach))
        # Moved to the end, so that the servers are tried in turn.
        self._out_of_reach[server] = self._out_of_reach.pop(server)
        return server

    def forget(self, server: str) -> None:
        """Deletes the record of a server that has ended."""
        self._out_of_reach.pop(server, None)
