"""Counts what an instance holds for its clients, and decides who gives way.

Pure. Load handled: clients within the limits that send much and end little:
bodies and heads short of their end, connections without a request, fields and
values that cost many times their bytes.

One account serves all ports of an instance. It counts each connection from its
first moment, what it has sent and is not served yet, whatever its key, and what
its request costs until the application is done with it. While there is no
room, the connection that has stood longest short of an end gives way: its
request is refused as not run, or it is closed. What is being served is never
cut, so whoever finds nobody to give way is refused.
"""

import dataclasses
import math
from collections import OrderedDict
from collections.abc import Callable
from typing import Protocol

from jasminerelay.scheduling.heldbytes import OWN_BYTES, HeldBytes

CONNECTION_BYTES = 16 * 1024
"""Memory of an open connection: its socket in the process, and the objects that
serve it."""

RECEIVE_BYTES = 32 * 1024
"""Receive buffer of a connection. The kernel takes twice as much for it. Links
with a round trip of six milliseconds still carry 5 MB/s with it."""

KERNEL_BYTES = 2 * RECEIVE_BYTES + 32 * 1024
"""What the kernel may keep for a connection, in both directions."""

KERNEL_SHARE = 0.4
"""Share of the memory beside the instance's own that the kernel's buffers of
clients may take: the held bytes have half of it, and copies need the rest."""

FILE_DESCRIPTORS = 200
"""Descriptors that are not for connections: files, and the ports."""

CLIENT_SHARE = 0.5
"""Clients' share of the other descriptors. Each request that is served holds
one for its client and one for its server; the store and other instances, and
connections relayed for them, need the rest."""

MIN_CONNECTIONS = 16

ENDED_SHARE = 16
"""One in so many connections is told to end with its answer when a new one
finds no room, so that the clients that come back then find some."""

FIELD_BYTES = 320
"""Memory of a header field beside its bytes: as it is read, and as it is
passed on."""

VALUE_BYTES = 96
"""Memory of a decoded JSON value beside its bytes, at most, for each character
that separates it from others or opens it."""

VALUE_MARKS = (b",", b":", b"[", b"{")

PART_BYTES = 400
"""Memory of a part of a prompt, in its request and where it is placed."""

WIDE_CHARACTER_BYTES = 4
"""Memory of a character in a text in which any is outside Latin-1."""


@dataclasses.dataclass(frozen=True)
class ConnectionBounds:
    """Bounds of an instance on its clients' connections.

    Attributes:
        connections: How many may be open.
    """

    connections: float = math.inf

    @classmethod
    def of_machine(
        cls,
        memory_mb: float | None,
        descriptors: int | None,
        own_bytes: int = OWN_BYTES,
    ) -> "ConnectionBounds":
        """Returns the bounds of an instance.

        Args:
            memory_mb: Its memory limit in MB; None if not known.
            descriptors: Its limit of open descriptors; None if not known.
            own_bytes: Memory that it needs for itself.
        """
        bounds = [math.inf]
        if memory_mb is not None:
            left = KERNEL_SHARE * (memory_mb * 1e6 - own_bytes)
            bounds.append(left // KERNEL_BYTES)
        if descriptors is not None:
            bounds.append(CLIENT_SHARE * (descriptors - FILE_DESCRIPTORS) // 1)
        return cls(max(MIN_CONNECTIONS, min(bounds)))


class Client(Protocol):
    """A connection that can give way."""

    def give_way(self, *, at_once: bool) -> bool:
        """Ends it, with a refusal if a request has begun, and frees its bytes.

        Args:
            at_once: Whether its descriptor is needed, too.

        Returns:
            Whether it ended; an answer that has begun is not cut.
        """

    def end_with_answer(self) -> None:
        """Lets it end once the answer that is under way is complete."""


class Standing:
    """What one connection costs, and since when it is short of an end.

    Attributes:
        client: The connection.
        number: Order in which it began to stand in its queue.
        bytes: Memory counted for it, but for the body of its request.
        body: Bytes counted for the body that is arriving.
        organisation: For whom that body is; "" if not known.
    """

    __slots__ = (
        "_account",
        "_is_counted",
        "_queue",
        "body",
        "bytes",
        "client",
        "number",
        "organisation",
    )

    def __init__(self, account: "ClientAccount", client: Client):
        self._account = account
        self._queue: OrderedDict[Standing, None] | None = None
        self._is_counted = False
        self.client = client
        self.number = 0
        self.bytes = 0
        self.body = 0
        self.organisation = ""

    def set(self, count: int) -> None:
        """Sets the bytes that it costs beside those of any connection."""
        change = CONNECTION_BYTES + count - self.bytes
        if change and self._is_counted:
            self.bytes += change
            self._account.held.connections += change

    def enter(self) -> None:
        """The connection is open."""
        self._is_counted = True
        self._account.count += 1
        self.set(0)
        self.idle()

    def idle(self) -> None:
        """The connection is open without a request from now on."""
        self._stand_in(self._account.idle)

    def begin(self) -> None:
        """A request has begun to arrive, if none had before."""
        if self._queue is not self._account.short:
            self._stand_in(self._account.short)

    def end(self) -> None:
        """Its request was refused, and the connection is ending."""
        self._stand_in(self._account.ending)

    def serve(self) -> None:
        """Its request is whole: the connection does not give way."""
        self._stand_in(self._account.served)

    def stand_aside(self) -> None:
        """The connection stands nowhere until its state changes."""
        if self._queue is not None:
            if self._queue is self._account.short:
                self._account.short_bytes -= self.body
            del self._queue[self]
            self._queue = None

    def count_body(self, change: int) -> None:
        """Counts bytes of the body that is arriving, or frees them."""
        self.body += change
        if self._queue is self._account.short:
            self._account.short_bytes += change

    def leave(self) -> None:
        """The connection is closed, or will be in a moment."""
        self.stand_aside()
        if self._is_counted:
            self._is_counted = False
            self._account.count -= 1
            self._account.held.connections -= self.bytes
            self.bytes = 0

    def _stand_in(self, queue: "OrderedDict[Standing, None]") -> None:
        if self._queue is not None:
            self.stand_aside()
        if not self._is_counted:
            return
        self._queue = queue
        account = self._account
        account.turn += 1
        self.number = account.turn
        queue[self] = None
        if queue is account.short:
            account.short_bytes += self.body


class ClientAccount:
    """All that an instance holds for its clients.

    Attributes:
        held: Counts the bytes.
        bounds: Bounds on connections.
        count: Connections that are open.
        short: Connections whose request is short of its end, oldest first.
        short_bytes: Bytes of bodies that these hold.
        idle: Connections without a request, oldest first.
        served: Connections whose request is being served, oldest first.
        ending: Connections whose request was refused, oldest first.
        turn: Number of the latest that began to stand in one of these.
        on_given_way: Called with what was short, "memory" or "descriptors",
            for each connection that gave way or was refused.
        on_refused: Called for each body that is refused for lack of memory.
    """

    def __init__(
        self,
        held: HeldBytes | None = None,
        bounds: ConnectionBounds | None = None,
    ):
        self.held = held or HeldBytes()
        self.bounds = bounds or ConnectionBounds()
        self.count = 0
        self.short: OrderedDict[Standing, None] = OrderedDict()
        self.short_bytes = 0
        self.idle: OrderedDict[Standing, None] = OrderedDict()
        self.served: OrderedDict[Standing, None] = OrderedDict()
        self.ending: OrderedDict[Standing, None] = OrderedDict()
        self.on_given_way: Callable[[str], None] = lambda what: None
        self.on_refused: Callable[[], None] = lambda: None
        self.turn = 0

    @property
    def full(self) -> bool:
        """Whether no further connection may be open."""
        return self.count >= self.bounds.connections

    def join(self, client: Client) -> Standing | None:
        """Counts a new connection; another one may give way to it.

        Returns:
            Its standing; None if it has to be refused.
        """
        if self.full:
            self.on_given_way("descriptors")
            if not self._end_one(None, at_once=True):
                self._end_served()
                return None
        found = Standing(self, client)
        found.enter()
        if not self.make_room(found, self.held.bounds.held):
            found.leave()
            return None
        return found

    def make_room(
        self, standing: Standing | None, bound: float, more: int = 0
    ) -> bool:
        """Lets connections give way until held bytes are within a bound.

        Args:
            standing: Who needs the room, and does not give way itself.
            bound: The bound.
            more: Bytes that are not counted yet.

        Returns:
            Whether there is room.
        """
        held = self.held
        while held.total + held.connections + more > bound:
            if not self._end_one(standing, at_once=False):
                return False
            self.on_given_way("memory")
        return True

    def make_share(self, standing: Standing) -> bool:
        """Lets requests of one organisation give way to another one of it.

        Returns:
            Whether the organisation leaves other ones their part.
        """
        organisation = standing.organisation
        while not self.held.leaves_others(organisation, 0):
            for found in self.short:
                if found is not standing and found.organisation == organisation:
                    break
            else:
                return False
            found.stand_aside()
            if found.client.give_way(at_once=False):
                self.on_given_way("memory")
        return True

    def could_admit(self, standing: Standing, more: int) -> bool:
        """Returns whether a large body finds room, if others give way.

        Args:
            standing: Whose body it is.
            more: Bytes of it that have not arrived.
        """
        others = self.short_bytes - standing.body
        if self.held.all_bytes - others + more > self.held.bounds.admitted:
            return False
        if self.held.leaves_others(standing.organisation, more):
            return True
        own = sum(
            found.body
            for found in self.short
            if found.organisation == standing.organisation
        )
        return self.held.leaves_others(standing.organisation, more - own)

    def _end_one(self, but: Standing | None, *, at_once: bool) -> bool:
        """Lets the connection that has stood longest give way.

        For memory, requests short of their end go before connections without
        one, which hold little.
        """
        while True:
            found = next(
                (
                    standing
                    for queue in self._queues(at_once)
                    for standing in queue
                    if standing is not but
                ),
                None,
            )
            if found is None:
                return False
            found.stand_aside()
            if found.client.give_way(at_once=at_once):
                if at_once:
                    found.leave()
                return True

    def _end_served(self) -> None:
        """Lets some connections end with the answers that are under way.

        Clients with requests ahead are always being served; they would keep
        new ones out for as long as they like.
        """
        for _ in range(1 + self.count // ENDED_SHARE):
            if not self.served:
                return
            found = next(iter(self.served))
            found.stand_aside()
            found.client.end_with_answer()

    def _queues(self, at_once: bool) -> list["OrderedDict[Standing, None]"]:
        if not at_once:
            return [self.short, self.idle]
        standing = [queue for queue in (self.short, self.idle) if queue]
        standing.sort(key=lambda queue: next(iter(queue)).number)
        return [self.ending, *standing]


def head_bytes(size: int, fields: int) -> int:
    """Returns the memory that a request's head costs while it is served.

    Args:
        size: Its bytes.
        fields: Number of its header fields.
    """
    return 2 * size + FIELD_BYTES * fields


def decoded_bytes(body: bytes) -> int:
    """Returns the memory that the values of a JSON text cost at most."""
    values = sum(map(body.count, VALUE_MARKS))
    is_narrow = body.isascii() and b"\\u" not in body
    width = 1 if is_narrow else WIDE_CHARACTER_BYTES
    return 2 * width * len(body) + VALUE_BYTES * values
