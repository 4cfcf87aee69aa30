"""One request at one backend server: what is sent and what comes back.

The words on the wire are the interface's own; a `Dialect` puts them.
"""

import dataclasses
from typing import Protocol

from jasminerelay.catalog import BackendServer, Call
from jasminerelay.evacuation import Copy


@dataclasses.dataclass(frozen=True)
class Sending:
    """How a request goes to a server.

    Attributes:
        call: The request.
        server: The server.
        left_s: Time that the server has for it.
        after: Event behind which a stream goes on; "" from its start.
        copy: Memory that this run goes on from.
        source: Server from which the start of its prompt is copied.
    """

    call: Call
    server: BackendServer
    left_s: float
    after: str = ""
    copy: Copy | None = None
    source: BackendServer | None = None


@dataclasses.dataclass(frozen=True)
class Head:
    """The head of a server's answer.

    Attributes:
        status: HTTP status.
        headers: Header fields to pass on.
        not_run: Whether the server says that it did not run the request.
        misdirected: Whether another server answers at the address.
        request: Id of the request that it answers; "" if it names none.
        closing: Whether the server ends the connection after the answer.
        idle_s: How long the server keeps an idle connection; None if it does
            not say.
        limit: Requests a second that the server takes from all instances
            together; None if it names no limit.
        limit_fault: What it names in place of one, if that cannot be read.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    not_run: bool
    request: str
    closing: bool
    idle_s: float | None
    misdirected: bool = False
    limit: float | None = None
    limit_fault: str = ""


class Dialect(Protocol):
    """Puts requests and answers in an interface's words."""

    def request_headers(self, sending: Sending) -> list[tuple[bytes, bytes]]:
        """Returns all header fields of a request to a server."""

    def head(self, status: int, headers: list[tuple[bytes, bytes]]) -> Head:
        """Reads the head of a server's answer."""


class Sink(Protocol):
    """Where an answer goes: a caller's connection."""

    @property
    def started(self) -> bool:
        """Whether the head of the answer is on its way."""

    async def start(
        self, status: int, headers: tuple[tuple[bytes, bytes], ...]
    ) -> None:
        """Sends the head."""

    async def send(self, data: bytes) -> None:
        """Sends a piece of the body."""

    async def finish(self) -> None:
        """Ends the answer as complete."""

    async def abort(self) -> None:
        """Ends the answer so that it cannot look complete."""

    async def refuse(
        self, status: int, why: str, retry_s: float | None
    ) -> None:
        """Sends a whole answer of this instance's own."""


# Outcomes of one request at one server.


@dataclasses.dataclass(frozen=True)
class Delivered:
    """The caller has the whole answer."""

    status: int


@dataclasses.dataclass(frozen=True)
class NotSent:
    """No byte reached the server; it has not run."""

    why: str


@dataclasses.dataclass(frozen=True)
class NotRun:
    """The server says that it did not run the request.

    Attributes:
        why: What it says.
        misdirected: Whether another server answers at its address.
    """

    why: str
    misdirected: bool = False


@dataclasses.dataclass(frozen=True)
class Failed:
    """The server ran the request and answered with a failure.

    Attributes:
        head: Head of its answer.
        body: Body, whole.
    """

    head: Head
    body: bytes


@dataclasses.dataclass(frozen=True)
class Unknown:
    """The answer did not come, or broke off; the request may have run."""

    why: str


@dataclasses.dataclass(frozen=True)
class Interrupted:
    """A stream broke off after its head was passed on."""

    why: str


Outcome = Delivered | NotSent | NotRun | Failed | Unknown | Interrupted
