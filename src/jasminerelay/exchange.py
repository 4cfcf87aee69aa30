"""Request and answer of one attempt at a backend server.

The wire format belongs to the interface; a `Dialect` translates it.
"""

import dataclasses
from typing import Protocol

from jasminerelay.catalog import BackendServer, Call
from jasminerelay.migration import KvCacheCopy


@dataclasses.dataclass(frozen=True)
class OutgoingRequest:
    """A request as sent to a server.

    Attributes:
        call: The request.
        server: The server.
        remaining_s: Time that remains for the request.
        after: Id of the event after which a stream continues; "" for its start.
        copy: Copy of the KV cache from which this run continues.
        source: Server from which the shared prefix's KV cache is copied.
    """

    call: Call
    server: BackendServer
    remaining_s: float
    after: str = ""
    copy: KvCacheCopy | None = None
    source: BackendServer | None = None


@dataclasses.dataclass(frozen=True)
class ServerLoadStatement:
    """A server's statement about its load in a response.

    Attributes:
        running: Requests that it runs.
        waiting: Requests that wait there.
        slots: Requests that it can run at once.
        slowdown: How long work takes on its machine at this moment, 1.0 is
            usual; None if not stated.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None


@dataclasses.dataclass(frozen=True)
class ResponseHead:
    """Status and headers of a server's answer.

    Attributes:
        status: HTTP status.
        headers: Headers to pass to the caller.
        not_run: Whether the server reports that it did not run the request.
        misdirected: Whether another server answers at the address.
        request: Id of the answered request; "" if not given.
        closing: Whether the server closes the connection after the answer.
        idle_timeout_s: Time for which the server keeps an idle connection; None
            if not given.
        limit: Requests per second that the server accepts from all instances
            together; None if not given.
        limit_fault: The announced limit, if it can't be parsed.
        leaving: Whether the server announces that it shuts down.
        pause_s: Time for which the server requests a pause from this instance;
            0 if it requests none.
        pause_fault: The requested pause, if it can't be parsed.
        load: The server's statement about its load; None if not given.
        load_fault: The statement, if it can't be parsed.
        brittle: Rejections in a second above which the server crashes; 0 if it
            states none.
        brittle_fault: This statement, if it can't be parsed.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    not_run: bool
    request: str
    closing: bool
    idle_timeout_s: float | None
    misdirected: bool = False
    limit: float | None = None
    limit_fault: str = ""
    leaving: bool = False
    pause_s: float = 0.0
    pause_fault: str = ""
    load: ServerLoadStatement | None = None
    load_fault: str = ""
    brittle: int = 0
    brittle_fault: str = ""


class Dialect(Protocol):
    """Translates requests and answers to and from a server interface."""

    def request_headers(
        self, sending: OutgoingRequest
    ) -> list[tuple[bytes, bytes]]:
        """Returns all headers of a request to a server."""

    def head(
        self, status: int, headers: list[tuple[bytes, bytes]]
    ) -> ResponseHead:
        """Reads the head of a server's answer."""


class ResponseSink(Protocol):
    """Receives an answer for the caller's connection."""

    @property
    def started(self) -> bool:
        """Whether the head of the answer was sent."""

    @property
    def caller_left(self) -> bool:
        """Whether the caller disconnected before the end of the answer."""

    async def start(
        self, status: int, headers: tuple[tuple[bytes, bytes], ...]
    ) -> None:
        """Sends the head."""

    async def send(self, data: bytes) -> None:
        """Sends a part of the body."""

    @property
    def blocked(self) -> bool:
        """Whether `send` would wait for the caller."""

    @property
    def unsent_bytes(self) -> int:
        """Bytes that the caller's socket has not accepted."""

    @property
    def unacknowledged_bytes(self) -> int:
        """Bytes that the caller's host has not acknowledged."""

    def pace(self, ahead: float) -> None:
        """Sets the number of unsent bytes above which `send` waits."""

    async def wait_accepted(self, timeout_s: float) -> None:
        """Waits until `send` would not wait, at most for some time."""

    async def finish(self) -> None:
        """Completes the answer."""

    async def abort(self) -> None:
        """Aborts the answer so that it can't appear complete."""

    def reset(self) -> None:
        """Closes the caller's connection at once, without what is unsent."""

    async def refuse(
        self, status: int, why: str, retry_s: float | None
    ) -> None:
        """Sends a complete answer generated by this instance."""


# Outcomes of one attempt.


@dataclasses.dataclass(frozen=True)
class Delivered:
    """The caller has the complete answer."""

    status: int


@dataclasses.dataclass(frozen=True)
class NotSent:
    """No byte reached the server; the request has not run.

    Attributes:
        why: The reason.
        withheld: Whether this instance decided not to send it, so that it says
            nothing about the server.
        refused: Whether the connection was refused, by the server or a network.
    """

    why: str
    withheld: bool = False
    refused: bool = False


@dataclasses.dataclass(frozen=True)
class NotRun:
    """The server reported that it did not run the request.

    Attributes:
        why: The reason.
        misdirected: Whether another server answers at its address.
        overloaded: Whether it has requested a pause.
    """

    why: str
    misdirected: bool = False
    overloaded: bool = False


@dataclasses.dataclass(frozen=True)
class Failed:
    """The server ran the request and answered with an error.

    Attributes:
        head: Head of the answer.
        body: Complete body.
    """

    head: ResponseHead
    body: bytes


@dataclasses.dataclass(frozen=True)
class Unknown:
    """The answer did not arrive completely; the request may have run.

    Attributes:
        why: The reason.
        broken: Whether the server's end of the connection closed.
        relay_lost: Whether the relay of the connection was lost, so that it
            says nothing about the server.
    """

    why: str
    broken: bool = False
    relay_lost: bool = False


@dataclasses.dataclass(frozen=True)
class Interrupted:
    """A stream broke off after its head was sent to the caller.

    Attributes:
        why: The reason.
        held_up: Whether the caller had held up the server before, so that it
            says nothing about the server.
        broken: Whether the server's end of the connection closed.
        relay_lost: As in `Unknown`.
    """

    why: str
    held_up: bool = False
    broken: bool = False
    relay_lost: bool = False


@dataclasses.dataclass(frozen=True)
class BrokenOff:
    """A plain answer broke off after its head was sent to the caller.

    Attributes:
        why: The reason.
        held_up: Whether the caller had held up the server before, so that it
            says nothing about the server.
        relay_lost: As in `Unknown`.
    """

    why: str
    held_up: bool = False
    relay_lost: bool = False


@dataclasses.dataclass(frozen=True)
class Replaced:
    """Another server goes on with the answer; this one was silent."""

    why: str


@dataclasses.dataclass(frozen=True)
class CallerStalled:
    """The caller stopped reading and held up the server."""

    why: str


Outcome = (
    Delivered
    | NotSent
    | NotRun
    | Failed
    | Unknown
    | Interrupted
    | BrokenOff
    | Replaced
    | CallerStalled
)
