"""Records the load of all instances at each backend server.

Pure. An instance knows its own requests immediately and those of the others
from their load reports, a fraction of a second late. The servers' own reports
are not used: they are older still, and all instances that act on the same
report choose the same server.
"""

import collections
import dataclasses
import enum
import itertools
from collections.abc import Callable, Iterable

from jasminerelay.schema.messages import ServerLoad

PEER_LOAD_MAX_AGE_S = 3.0
"""Age up to which another instance's load report is used. The requests of a
dead instance end within this time, since its connections close; a shorter limit
would drop valid loads whenever a few datagrams are lost."""

MAX_UNREPORTED_ENDS = 256
"""Maximum number of ended requests kept until they are reported. The end of one
that is dropped shows in the next reports of in-flight requests, which no longer
contain it; only its verdict on the server is lost."""


@dataclasses.dataclass(frozen=True)
class Load:
    """Load at one server.

    Attributes:
        unread: Prompt tokens sent and not yet known to be prefilled.
        running: Requests sent and not ended.
        memory: Tokens of KV cache that they occupy or will occupy.
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


NO_LOAD = Load()


class InFlightRequest:
    """One in-flight request at one server, from dispatch to end.

    Attributes:
        number: Identifies it among all in-flight requests of its instance.
        server: The server.
        prefill_ahead: Prompt tokens pending prefill at the server before it.
        unread: Its own prompt tokens not yet known to be prefilled.
        memory: Tokens of KV cache that it occupies or will occupy.
        first_s: Time from sending to its first event; None before that.
        placed_alone: Whether this instance placed it, and not an owner.
        on_end: Called once at its end; None for nothing.

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
        self.prefill_ahead = workload.load(server).unread
        self.unread = unread
        self.memory = memory
        self.first_s: float | None = None
        self.placed_alone = False
        self.on_end: Callable[[RequestEnd], None] | None = None
        self._workload = workload
        self._ended = False

    def read(self, first_s: float = 0.0) -> None:
        """Records its first event, which shows that its prefill is complete.

        Args:
            first_s: Time from sending to that event.
        """
        self.first_s = first_s
        self._workload.add_load(self.server, Load(-self.unread, 0, 0))
        self.unread = 0

    def end(self, verdict: "Verdict | None" = None, output: int = 0) -> None:
        """Records its end; a second call does nothing.

        Args:
            verdict: What its end shows about the server; None for nothing.
            output: Output tokens of a complete stream; 0 otherwise.
        """
        if self._ended:
            return
        self._ended = True
        self._workload.add_load(
            self.server, Load(-self.unread, -1, -self.memory)
        )
        end = RequestEnd(self.number, self.server, verdict, output)
        self._workload.close(end)
        # Cleared, since it may refer back to this record.
        on_end, self.on_end = self.on_end, None
        if on_end is not None:
            on_end(end)


class Verdict(enum.Enum):
    """What the end of a request shows about its server.

    Attributes:
        GOOD: The server completed the answer.
        BAD: The server was unreachable, became unresponsive or broke off.
    """

    GOOD = "good"
    BAD = "bad"


@dataclasses.dataclass(frozen=True)
class RequestEnd:
    """The end of a request at a server.

    Attributes:
        number: Number of the in-flight request.
        server: The server.
        verdict: What it shows about the server; None for nothing.
        output: Output tokens of a complete stream; 0 otherwise.
    """

    number: int
    server: str
    verdict: Verdict | None
    output: int


@dataclasses.dataclass(frozen=True)
class _PeerLoads:
    number: int
    received_at: float
    loads: dict[str, Load]


class Workload:
    """Load records of one instance: its own requests and its peers' reports.

    Attributes:
        changed: Whether the own loads changed since the flag was last cleared.
        runs: Own in-flight requests by number.
        ended: Own ended requests that are not yet reported.
        changed_servers: Servers whose own loads changed and are not yet
            reported.
        on_change: Called when the own loads have changed.
    """

    def __init__(self) -> None:
        self._own: dict[str, Load] = {}
        self._peers: dict[str, _PeerLoads] = {}
        self._peer_total: dict[str, Load] = {}
        self._numbers = itertools.count(1)
        self.changed = False
        self.runs: dict[int, InFlightRequest] = {}
        self._placed_alone: collections.Counter[str] = collections.Counter()
        self.ended: collections.deque[RequestEnd] = collections.deque(
            maxlen=MAX_UNREPORTED_ENDS
        )
        self.changed_servers: set[str] = set()
        self.on_change: Callable[[], None] = lambda: None

    def next_number(self) -> int:
        """Returns a number that no request of this instance has had."""
        return next(self._numbers)

    def start(
        self, server: str, unread: int, memory: int, number: int | None = None
    ) -> InFlightRequest:
        """Records that a request is sent to a server.

        Args:
            server: The server.
            unread: Prompt tokens to prefill there.
            memory: Tokens of KV cache that the request needs there.
            number: Its number, if it was assigned for a placement by another
                instance, which has then already counted the request; None to
                assign a new one.
        """
        already_counted = number is not None
        number = number if already_counted else self.next_number()
        run = InFlightRequest(self, number, server, unread, memory)
        self.runs[number] = run
        if not already_counted:
            run.placed_alone = True
            self._placed_alone[server] += 1
        unreported = not already_counted or server in self.changed_servers
        self.add_load(server, Load(unread, 1, memory))
        if not unreported:
            self.changed_servers.remove(server)
        return run

    def close(self, end: RequestEnd) -> None:
        """Records the end of an in-flight request."""
        run = self.runs.pop(end.number, None)
        if run is not None and run.placed_alone:
            self._placed_alone[end.server] -= 1
            if not self._placed_alone[end.server]:
                del self._placed_alone[end.server]
        self.ended.append(end)

    def add_load(self, server: str, difference: Load) -> None:
        """Adds a difference to this instance's load at a server."""
        load = self._own.get(server, NO_LOAD) + difference
        self.changed = True
        self.changed_servers.add(server)
        if load == NO_LOAD:
            self._own.pop(server, None)
        else:
            self._own[server] = load
        self.on_change()

    def own_loads(self) -> list[ServerLoad]:
        """Returns this instance's loads, to be reported to the others."""
        return [
            ServerLoad(name, load.unread, load.running, load.memory)
            for name, load in self._own.items()
        ]

    def placed_alone(self, server: str) -> int:
        """Returns how many of its requests there no other instance placed."""
        return self._placed_alone[server]

    def own_running(self, server: str) -> int:
        """Returns the number of this instance's in-flight requests there."""
        return self._own.get(server, NO_LOAD).running

    def apply_report(
        self,
        instance: str,
        number: int,
        loads: Iterable[ServerLoad],
        now: float,
    ) -> bool:
        """Applies an instance's load report; returns whether it is new."""
        held = self._peers.get(instance)
        if held is not None and held.number >= number:
            return False
        by_server = {
            item.server: Load(item.unread, item.running, item.memory)
            for item in loads
        }
        # Kept in the order of receipt, for `expire`.
        self._peers.pop(instance, None)
        self._peers[instance] = _PeerLoads(number, now, by_server)
        self._update_peer_total(held.loads if held else {}, by_server)
        return True

    def expire(self, now: float) -> None:
        """Drops the reports of instances that have stopped sending them."""
        expired = []
        for name, held in self._peers.items():
            if now - held.received_at <= PEER_LOAD_MAX_AGE_S:
                break
            expired.append(name)
        for name in expired:
            self._update_peer_total(self._peers.pop(name).loads, {})

    def load(self, server: str) -> Load:
        """Returns the total load of all instances at a server."""
        own = self._own.get(server, NO_LOAD)
        others = self._peer_total.get(server)
        return own if others is None else own + others

    def _update_peer_total(
        self, old: dict[str, Load], new: dict[str, Load]
    ) -> None:
        # The sum is updated by differences: adding up all instances for each
        # report would make the cost of a report grow with their number.
        if not old and not new:
            return
        for name in old.keys() | new.keys():
            total = self._peer_total.get(name, NO_LOAD)
            total = total + new.get(name, NO_LOAD) - old.get(name, NO_LOAD)
            if total == NO_LOAD:
                self._peer_total.pop(name, None)
            else:
                self._peer_total[name] = total
