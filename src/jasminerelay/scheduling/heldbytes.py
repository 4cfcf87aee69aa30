"""Bounds the bytes that an instance holds for callers and backend servers.

Pure. Load handled: callers that read slowly or stop reading, servers that read
bodies slowly, and large bodies and responses on instances with little memory.

Counted are the bodies of requests from their first byte to the end of the
request, and the parts of responses that were read from servers and not yet
accepted by the callers' sockets. `clientaccount` adds what clients' connections
cost beside them.
"""

import dataclasses
import math

SMALL_BYTES = 64 * 1024
"""Size up to which bodies and responses are small: they are read whole, and
neither refused nor delayed for lack of memory."""

OWN_BYTES = 48 << 20
"""Memory that an instance needs for itself: 23 MB when idle, and as much again
for connections, data from the store and the work in progress."""

BOUND_SHARE = 0.5
"""Share of the memory left beside that which may be held. The kernel's socket
buffers, and copies made while a body is joined and sent, need the rest."""

MIN_BOUND_BYTES = 8 << 20
"""Bound of an instance whose memory limit leaves next to nothing."""

ADMIT_SHARE = 0.8
"""Share of the bound up to which large requests are accepted, so that those
whose bodies have arrived find room for their responses."""

READ_AHEAD_SHARE = 0.4
"""Share of the bound up to which responses are read ahead of their callers.
Bodies cannot be paused once a server has them, responses can."""

ORGANISATION_SHARE = 0.5
"""Share of each of these bounds for one organisation while others hold any."""

MIN_AHEAD_BYTES = 16 * 1024
"""What any response may have read ahead, so that each goes on at its caller's
pace however little memory is left."""

MAX_AHEAD_BYTES = 1 << 20
"""What one response may have read ahead at most, which releases the server of a
response of this size before its caller has read it."""

ACCEPTED_SHARE = 0.25
"""Read-ahead of a response as a share of what its caller has accepted so far. A
caller that never reads causes next to none, which would waste the instance's
link as well as its memory."""

STALL_S = 2.5
"""Time without an accepted byte after which a caller that holds up its server
is given up. Servers cut off a response that stays unread for some seconds, and
callers on mobile links pause for a second or two when they change cells."""

STALLED = "the caller accepted no data"
BROKE_OFF = "the response broke off"
MEMORY_SHORT = "memory for large requests is short"
"""Texts in the reasons of requests that were ended or refused; `explain` knows
them by these."""

MIN_RETRY_S = 0.5
MAX_RETRY_S = STALL_S + MIN_RETRY_S
"""Times to come back of a request refused for lack of memory. What stalled
callers hold is free by the latter; the former is a fast caller's transfer."""


@dataclasses.dataclass(frozen=True)
class HeldBounds:
    """Bounds of an instance on the bytes that it holds.

    Attributes:
        held: For everything; infinite if the instance's memory is not known.
    """

    held: float = math.inf

    @classmethod
    def of_memory(
        cls, limit_mb: float | None, own_bytes: int = OWN_BYTES
    ) -> "HeldBounds":
        """Returns the bounds of an instance with this memory limit, if any.

        Args:
            limit_mb: The limit in MB; None if not known.
            own_bytes: Memory that the instance needs for itself.
        """
        if limit_mb is None:
            return cls()
        left = limit_mb * 1e6 - own_bytes
        return cls(max(MIN_BOUND_BYTES, BOUND_SHARE * left))

    @property
    def admitted(self) -> float:
        """Held bytes up to which large requests are accepted."""
        return ADMIT_SHARE * self.held

    @property
    def read_ahead(self) -> float:
        """Held bytes up to which responses are read ahead of their callers."""
        return READ_AHEAD_SHARE * self.held


class HeldBytes:
    """The bytes that an instance holds, by organisation.

    Attributes:
        bounds: The bounds in force.
        total: Bytes held of bodies and responses.
        connections: Bytes that clients' connections cost beside them.

    Example:
        >>> held = HeldBytes(HeldBounds(10_000_000))
        >>> body = held.hold("acme")
        >>> held.admits("acme", 9_000_000)
        False
        >>> body.set(6_000_000)
        >>> held.admits("birch", 3_000_000), held.admits("birch", 1_000_000)
        (False, True)
        >>> body.close()
        >>> held.total
        0
    """

    def __init__(self, bounds: HeldBounds | None = None):
        self.bounds = bounds or HeldBounds()
        self.total = 0
        self.connections = 0
        self._by_organisation: dict[str, int] = {}

    def hold(self, organisation: str) -> "Hold":
        """Returns a new count of bytes held for an organisation; initially 0.

        The one who asks for it closes it.
        """
        return Hold(self, organisation)

    def of(self, organisation: str) -> int:
        """Returns the bytes held for an organisation."""
        return self._by_organisation.get(organisation, 0)

    @property
    def all_bytes(self) -> int:
        """All bytes held."""
        return self.total + self.connections

    @property
    def short(self) -> bool:
        """Whether held bytes are near the bound."""
        return self.all_bytes >= self.bounds.admitted

    def admits(self, organisation: str, more: int) -> bool:
        """Returns whether a large request may bring more bytes."""
        return self._has_room(organisation, more, self.bounds.admitted)

    def retry_s(self, spread: float) -> float:
        """Returns when a request refused for lack of memory should come back.

        Args:
            spread: Number from 0 to 1, so that not all come back at once.
        """
        return MIN_RETRY_S + spread * (MAX_RETRY_S - MIN_RETRY_S)

    def read_ahead(self, hold: "Hold", accepted: int) -> int:
        """Returns how many bytes of a response may wait for its caller.

        Args:
            hold: The bytes that wait.
            accepted: Bytes of it that the caller's socket has accepted.
        """
        ahead = int(ACCEPTED_SHARE * accepted)
        ahead = min(MAX_AHEAD_BYTES, max(MIN_AHEAD_BYTES, ahead))
        more = ahead - hold.bytes
        if more <= 0 or self._has_room(
            hold.organisation, more, self.bounds.read_ahead
        ):
            return ahead
        return MIN_AHEAD_BYTES

    def add(self, organisation: str, change: int) -> None:
        """Changes the bytes held for an organisation."""
        self.total += change
        left = self._by_organisation.get(organisation, 0) + change
        if left:
            self._by_organisation[organisation] = left
        else:
            self._by_organisation.pop(organisation, None)

    def leaves_others(self, organisation: str, more: int) -> bool:
        """Returns whether large requests leave other organisations their part.

        Args:
            organisation: For whom more bytes are held.
            more: How many more.
        """
        return self._leaves(organisation, more, self.bounds.admitted)

    def _has_room(self, organisation: str, more: int, bound: float) -> bool:
        if self.all_bytes + more > bound:
            return False
        return self._leaves(organisation, more, bound)

    def _leaves(self, organisation: str, more: int, bound: float) -> bool:
        own = self.of(organisation)
        if own == self.total:
            return True
        return own + more <= ORGANISATION_SHARE * bound


class Hold:
    """Bytes held for one body or response.

    Attributes:
        organisation: For whom.
        bytes: How many.
    """

    __slots__ = ("_held", "bytes", "organisation")

    def __init__(self, held: HeldBytes, organisation: str):
        self._held = held
        self.organisation = organisation
        self.bytes = 0

    def set(self, count: int) -> None:
        """Sets the number of bytes held."""
        if count != self.bytes:
            self._held.add(self.organisation, count - self.bytes)
            self.bytes = count

    def close(self) -> None:
        """Holds nothing any more."""
        self.set(0)


class CallerStall:
    """Finds out whether a caller has stopped reading.

    Attributes:
        held_up_s: Time for which the caller has held up its server so far.

    Example:
        >>> stall = CallerStall(now=0.0, unaccepted=100)
        >>> stall.stalled_s(1.0, 100, server_waits=True)
        1.0
        >>> stall.stalled_s(2.0, 90, server_waits=True)
        0.0
    """

    def __init__(self, now: float, unaccepted: int):
        """Begins a wait.

        Args:
            now: Monotonic time.
            unaccepted: Bytes that the caller has not acknowledged.
        """
        self._since = now
        self._checked = now
        self._unaccepted = unaccepted
        self.held_up_s = 0.0

    def stalled_s(
        self, now: float, unaccepted: int, *, server_waits: bool
    ) -> float:
        """Returns how long the caller has held up its server without reading.

        Args:
            now: Monotonic time.
            unaccepted: Bytes that the caller has not acknowledged; none are
                added during a wait.
            server_waits: Whether the server has data that cannot be sent on.
        """
        if server_waits:
            self.held_up_s += now - self._checked
        self._checked = now
        if unaccepted < self._unaccepted or not server_waits:
            self._since = now
        self._unaccepted = unaccepted
        return now - self._since
