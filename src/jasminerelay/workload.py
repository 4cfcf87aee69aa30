"""What all instances together have under way at each backend server.

Pure. An instance knows its own requests at once and the others' from their
words, a fraction of a second late. Servers' own reports are not used: they
are older still, and every instance that acts on the same one picks the same
server.
"""

import dataclasses
from collections.abc import Iterable

from jasminerelay.schema.messages import ServerLoad

PEER_WORD_LIFE_S = 3.0
"""How long another instance's word counts. A dead one's requests end within
this time, since its connections close; a shorter life would empty the view
whenever a few datagrams are lost."""


@dataclasses.dataclass(frozen=True)
class Load:
    """What is under way at one server.

    Attributes:
        unread: Prompt tokens sent and not known to be read.
        running: Requests sent and not ended.
        memory: Tokens of memory that they hold or will hold.
    """

    unread: int = 0
    running: int = 0
    memory: int = 0

    def __add__(self, other: "Load") -> "Load":
        return Load(
            self.unread + other.unread,
            self.running + other.running,
            self.memory + other.memory,
        )

    def __sub__(self, other: "Load") -> "Load":
        return Load(
            self.unread - other.unread,
            self.running - other.running,
            self.memory - other.memory,
        )


NOTHING = Load()


class Run:
    """One request at one server, from its dispatch to its end.

    Attributes:
        server: The server.
        ahead: Prompt tokens that were unread there before it.

    Example:
        >>> workload = Workload()
        >>> run = workload.start("s", unread=100, memory=150)
        >>> workload.load("s").unread
        100
        >>> run.read()
        >>> run.end()
        >>> workload.load("s").running
        0
    """

    def __init__(
        self, workload: "Workload", server: str, unread: int, memory: int
    ):
        self.server = server
        self.ahead = workload.load(server).unread
        self._workload = workload
        self._unread = unread
        self._memory = memory
        self._ended = False

    def read(self) -> None:
        """Notes that its prompt is read: its first event is there."""
        self._workload.change(self.server, Load(-self._unread, 0, 0))
        self._unread = 0

    def end(self) -> None:
        """Notes that it has ended; a second call does nothing."""
        if self._ended:
            return
        self._ended = True
        self._workload.change(
            self.server, Load(-self._unread, -1, -self._memory)
        )


@dataclasses.dataclass(frozen=True)
class _PeerLoads:
    number: int
    heard: float
    loads: dict[str, Load]


class Workload:
    """The ledger of one instance: its own requests and the others' words."""

    def __init__(self) -> None:
        self._own: dict[str, Load] = {}
        self._peers: dict[str, _PeerLoads] = {}
        self._others: dict[str, Load] = {}
        self.changed = False

    def start(self, server: str, unread: int, memory: int) -> Run:
        """Notes that a request is being sent to a server."""
        run = Run(self, server, unread, memory)
        self.change(server, Load(unread, 1, memory))
        return run

    def change(self, server: str, difference: Load) -> None:
        """Adds to what this instance has under way at a server."""
        load = self._own.get(server, NOTHING) + difference
        self.changed = True
        if load == NOTHING:
            self._own.pop(server, None)
        else:
            self._own[server] = load

    def own(self) -> list[ServerLoad]:
        """Returns this instance's loads, for the others."""
        return [
            ServerLoad(name, load.unread, load.running, load.memory)
            for name, load in self._own.items()
        ]

    def own_running(self, server: str) -> int:
        """Returns how many requests this instance has under way there."""
        return self._own.get(server, NOTHING).running

    def hear(
        self,
        instance: str,
        number: int,
        loads: Iterable[ServerLoad],
        now: float,
    ) -> bool:
        """Takes another instance's loads; returns whether they are news."""
        held = self._peers.get(instance)
        if held is not None and held.number >= number:
            return False
        by_server = {
            item.server: Load(item.unread, item.running, item.memory)
            for item in loads
        }
        self._peers[instance] = _PeerLoads(number, now, by_server)
        self._replace(held.loads if held else {}, by_server)
        return True

    def expire(self, now: float) -> None:
        """Forgets the words of instances that have been silent."""
        old = [
            name
            for name, held in self._peers.items()
            if now - held.heard > PEER_WORD_LIFE_S
        ]
        for name in old:
            self._replace(self._peers.pop(name).loads, {})

    def load(self, server: str) -> Load:
        """Returns what all instances have under way at a server."""
        own = self._own.get(server, NOTHING)
        others = self._others.get(server)
        return own if others is None else own + others

    def _replace(self, old: dict[str, Load], new: dict[str, Load]) -> None:
        # The sum is kept up by differences: to add up all instances for each
        # word would make the work of a word grow with their number.
        for name in old.keys() | new.keys():
            total = self._others.get(name, NOTHING)
            total = total + new.get(name, NOTHING) - old.get(name, NOTHING)
            if total == NOTHING:
                self._others.pop(name, None)
            else:
                self._others[name] = total
