"""Finds backend servers that have gone silent without a reset.

Pure. A server that loses its power or its network answers nothing and resets
nothing. Requests that may run once wait for it until their time limit, so
nothing but the silence itself tells, and until then every further request
that is sent there is lost as well. A server that is silent on all that this
instance has sent gets no more until it says something.
"""

import dataclasses

QUIET_S = 0.8
"""Silence after which a server that owes an answer gets no more requests.
Engines make an event in some tens of milliseconds and read the longest
prompts in 0.7 s; plain services answer in 0.1 s."""

TRY_AGAIN_S = 2.0
"""How often a silent server is tried with a request after that: one that only
stood still says nothing before it is asked."""


SILENT_LIFE_S = 0.5
"""How long an instance's word that a server is silent counts. It is repeated
five times a second while the silence lasts."""


@dataclasses.dataclass
class _Words:
    heard: float
    tried: float


class Silences:
    """When each server was last sent something, and last heard.

    Example:
        >>> silences = Silences()
        >>> silences.sent("s", idle=True, now=0.0)
        >>> silences.silent("s", running=1, now=0.5)
        False
        >>> silences.silent("s", running=1, now=1.0)
        True
        >>> silences.heard("s", 1.1)
        >>> silences.silent("s", running=1, now=1.2)
        False
    """

    def __init__(self) -> None:
        self._servers: dict[str, _Words] = {}

    def sent(self, server: str, idle: bool, now: float) -> None:
        """Notes that a request is sent.

        Args:
            server: The server.
            idle: Whether it owed nothing before; its silence counts from now.
            now: Steady time.
        """
        words = self._servers.get(server)
        if words is None or idle:
            self._servers[server] = _Words(now, now)
        else:
            words.tried = now

    def heard(self, server: str, now: float) -> None:
        """Notes that the server said something, whatever it was."""
        words = self._servers.get(server)
        if words is not None:
            words.heard = now

    def silent(self, server: str, running: int, now: float) -> bool:
        """Returns whether a server should get no request now.

        Args:
            server: The server.
            running: Requests of this instance that it has not ended.
            now: Steady time.
        """
        words = self._servers.get(server)
        if words is None or not running:
            return False
        if now - words.heard < QUIET_S:
            return False
        return now - words.tried < TRY_AGAIN_S

    def forget(self, server: str) -> None:
        """Drops a server that has ended."""
        self._servers.pop(server, None)


class ToldSilences:
    """Servers that instances say owe them a word for too long.

    In place of `Silences`: an owner sends nothing itself, so only those who
    do can tell.
    """

    def __init__(self) -> None:
        self._until: dict[str, float] = {}

    def sent(self, server: str, idle: bool, now: float) -> None:
        """Ignores a placing; its asker watches the server."""

    def heard(self, server: str, now: float) -> None:
        """Notes that a server said something."""
        del now
        self._until.pop(server, None)

    def told(self, server: str, now: float) -> None:
        """Notes that an instance finds a server silent."""
        self._until[server] = now + SILENT_LIFE_S

    def silent(self, server: str, running: int, now: float) -> bool:
        """Returns whether a server should get no request now."""
        del running
        return now < self._until.get(server, 0.0)

    def forget(self, server: str) -> None:
        """Drops a server that has ended."""
        self._until.pop(server, None)
