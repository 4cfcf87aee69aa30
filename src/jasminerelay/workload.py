"""What all instances together have under way at each backend server.

Pure. An instance knows its own requests at once and the others' from their
words, a fraction of a second late. Servers' own reports are not used: they
are older still, and every instance that acts on the same one picks the same
server.
"""

import collections
import dataclasses
import enum
import itertools
from collections.abc import Iterable

from jasminerelay.schema.messages import ServerLoad

PEER_WORD_LIFE_S = 3.0
"""How long another instance's word counts. A dead one's requests end within
this time, since its connections close; a shorter life would empty the view
whenever a few datagrams are lost."""

MOST_ENDED = 256
"""Ends that are kept until they are told. What is left out is seen by its
absence among the runs; only the verdict on the server is lost."""


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
        number: Names it among all runs of its instance.
        server: The server.
        ahead: Prompt tokens that were unread there before it.
        unread: Its prompt tokens that are not known to be read.
        memory: Tokens of memory that it holds or will hold.
        first_s: Time from its sending to its first event; None before it.

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
        self,
        workload: "Workload",
        number: int,
        server: str,
        unread: int,
        memory: int,
    ):
        self.number = number
        self.server = server
        self.ahead = workload.load(server).unread
        self.unread = unread
        self.memory = memory
        self.first_s: float | None = None
        self._workload = workload
        self._ended = False

    def read(self, first_s: float = 0.0) -> None:
        """Notes that its prompt is read: its first event is there.

        Args:
            first_s: Time from its sending to that event.
        """
        self.first_s = first_s
        self._workload.change(self.server, Load(-self.unread, 0, 0))
        self.unread = 0

    def end(self, verdict: "Verdict | None" = None, output: int = 0) -> None:
        """Notes that it has ended; a second call does nothing.

        Args:
            verdict: What its end says of the server; None for nothing.
            output: Tokens of a whole stream; 0 otherwise.
        """
        if self._ended:
            return
        self._ended = True
        self._workload.change(self.server, Load(-self.unread, -1, -self.memory))
        self._workload.close(End(self.number, self.server, verdict, output))


class Verdict(enum.Enum):
    """What the end of a request says of its server.

    Attributes:
        GOOD: It gave a whole answer.
        BAD: It could not be reached, fell silent or broke off.
    """

    GOOD = "good"
    BAD = "bad"


@dataclasses.dataclass(frozen=True)
class End:
    """The end of a request at a server.

    Attributes:
        number: The run's number.
        server: The server.
        verdict: What it says of the server; None for nothing.
        output: Tokens of a whole stream; 0 otherwise.
    """

    number: int
    server: str
    verdict: Verdict | None
    output: int


@dataclasses.dataclass(frozen=True)
class _PeerLoads:
    number: int
    heard: float
    loads: dict[str, Load]


class Workload:
    """The ledger of one instance: its own requests and the others' words.

    Attributes:
        changed: Whether own loads changed since this was last cleared.
        runs: Own requests under way, by number.
        ended: Own requests that ended and were not taken from here yet.
        touched: Servers whose own loads changed and were not taken yet.
    """

    def __init__(self) -> None:
        self._own: dict[str, Load] = {}
        self._peers: dict[str, _PeerLoads] = {}
        self._others: dict[str, Load] = {}
        self._numbers = itertools.count(1)
        self.changed = False
        self.runs: dict[int, Run] = {}
        self.ended: collections.deque[End] = collections.deque(
            maxlen=MOST_ENDED
        )
        self.touched: set[str] = set()

    def new_number(self) -> int:
        """Returns a number that no run has had."""
        return next(self._numbers)

    def start(
        self, server: str, unread: int, memory: int, number: int | None = None
    ) -> Run:
        """Notes that a request is being sent to a server.

        Args:
            server: The server.
            unread: Prompt tokens that it has to read.
            memory: Tokens of memory that the request takes there.
            number: Its number, from `new_number`, if another instance has
                given it its place and so knows of it; None for a new one.
        """
        known = number is not None
        number = number if known else self.new_number()
        run = Run(self, number, server, unread, memory)
        self.runs[number] = run
        news = not known or server in self.touched
        self.change(server, Load(unread, 1, memory))
        if not news:
            self.touched.remove(server)
        return run

    def close(self, end: End) -> None:
        """Takes the end of a run."""
        self.runs.pop(end.number, None)
        self.ended.append(end)

    def change(self, server: str, difference: Load) -> None:
        """Adds to what this instance has under way at a server."""
        load = self._own.get(server, NOTHING) + difference
        self.changed = True
        self.touched.add(server)
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
