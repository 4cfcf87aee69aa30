"""Connections of the HTTP servers of an instance's ports.

A connection answers one request at a time: the next one is read once the answer
before it is complete, so nothing that follows a request can reach its answer.
`requestreader` decides what the bytes are; uvicorn's cycle runs the application
and frames the answer. Heads are bounded in size and time, and idle connections
in time: one caller could otherwise exhaust an instance's memory or its file
descriptors. For the same reason each connection is counted by the account of
the instance's clients, and gives way when that decides so. Requests that waited
in the backlog are marked with the time for which they waited, and those whose
callers have left meanwhile are dropped.
"""

import asyncio
import dataclasses
import random
import socket
import struct
import time
from collections.abc import Callable
from typing import Any
from urllib.parse import unquote

from jasminerelay import arrivals
from jasminerelay.datagrams import READ_BYTES
from jasminerelay.errors import (
    BadRequestError,
    MemoryShortError,
    RelayError,
    RequestTimeoutError,
)
from jasminerelay.requestbody import BODY, RequestBody
from jasminerelay.requestcycle import HeldFlow, RequestCycle
from jasminerelay.requestreader import (
    NO_FIELDS,
    BodyEnd,
    RequestHead,
    RequestReader,
)
from jasminerelay.scheduling.clientaccount import (
    ClientAccount,
    Standing,
)
from jasminerelay.scheduling.heldbytes import MEMORY_SHORT
from jasminerelay.turns import Turns
from jasminerelay.uvicornserver import (
    HIGH_WATER_LIMIT,
    Config,
    ServerState,
    get_local_addr,
    get_remote_addr,
)

HEAD_TIMEOUT_S = 10.0
"""Default time limit for a request head: a slow mobile link needs some seconds
for a large one."""

KEEPALIVE_TIMEOUT_S = 30

MIN_BACKLOG_WAIT_S = 0.05
"""Wait in the backlog above which a connection is examined. A running instance
accepts connections within a few milliseconds."""

MAX_AHEAD_BYTES = READ_BYTES
"""Bytes that may wait for the answer before them until reading pauses. While it
does, a caller that leaves is noticed by writing only."""

MAX_PARTS_AT_ONCE = 3
"""Parts of requests that are read before other connections have their turn: a
whole request whose body is not in tiny chunks has no more."""

LINGER_S = 1.0
"""Time in which a caller can read the last answer of a connection. Closing it
with unread bytes would reset it, and the answer could be lost."""

UNREAD_S = "jasminerelay.unread_s"
"""Key in the scope of a request that waited in the backlog: the seconds between
its arrival and the time at which it was read."""

TARGET = "jasminerelay.target"
"""Key in the scope of a request for its target as sent."""

_TOO_SLOW = RequestTimeoutError(
    "the request head came too slowly", remedy="Send it again without pauses."
)
_REASONS = {
    400: b"Bad Request",
    408: b"Request Timeout",
    503: b"Service Unavailable",
}

_UNBOUNDED = ClientAccount()
"""Account of ports whose process states no limits."""

_NO_LINGER = struct.pack("ii", 1, 0)
"""Option of a socket whose closing resets the connection, so that the kernel
does not keep its unsent bytes for a caller that does not read."""


@dataclasses.dataclass(frozen=True)
class HeadLimits:
    """Limits on a caller's request heads and idle connections.

    Attributes:
        head_bytes: Maximum size of a request head.
        head_timeout_s: Maximum time from the first byte of a head to its last.
        idle_timeout_s: Maximum time that a connection may be open without a
            request.
    """

    head_bytes: int
    head_timeout_s: float = HEAD_TIMEOUT_S
    idle_timeout_s: float = KEEPALIVE_TIMEOUT_S


class HttpConnection(asyncio.Protocol):
    """One connection; `limited` sets the limits of a port's connections.

    Attributes:
        transport: Its transport.
        flow: Pauses reading and writing.
        cycle: The request that is being answered, or was last.
    """

    def __init__(
        self,
        config: Config,
        server_state: ServerState,
        app_state: dict[str, Any],
        _loop: asyncio.AbstractEventLoop | None = None,
    ):
        if not config.loaded:
            config.load()
        self.loop = _loop or asyncio.get_event_loop()
        self.transport: asyncio.Transport | None = None
        self.flow: HeldFlow | None = None
        self.cycle: RequestCycle | None = None
        self._config = config
        self._server_state = server_state
        self._app_state = app_state
        self._reader = RequestReader(self.own_fields())
        self._at_request_end = True
        self._is_ending = False
        self._addresses: dict[str, Any] = {}
        self._waited_in_backlog = False
        self._idle_since = time.monotonic()
        self._limits: HeadLimits | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._times_head = False
        self._account = self.account()
        self._standing = Standing(self._account, self)
        self._head_cost = 0

    @staticmethod
    def bounds(began_at: float) -> HeadLimits:
        """Returns the limits for what began at a monotonic time.

        That is a request or a pause between two; those of a pause may grow
        while it lasts.
        """
        raise NotImplementedError

    @staticmethod
    def own_fields() -> frozenset[bytes]:
        """Returns the names of the fields by which requests are served."""
        return NO_FIELDS

    @staticmethod
    def account() -> ClientAccount:
        """Returns the account of the instance's clients."""
        return _UNBOUNDED

    @staticmethod
    def turns() -> Turns:
        """Returns the turns of the connections of a port."""
        raise NotImplementedError

    @staticmethod
    def refusal_fields() -> bytes:
        """Returns further header fields of requests that have not run."""
        return b""

    def on_request(self, scope: dict[str, Any]) -> None:
        """Called before a request is passed to the application."""

    def on_refused(self, error: RelayError) -> None:
        """Called when bytes were refused that are no proper request."""

    @property
    def busy(self) -> bool:
        """Whether an answer is under way."""
        return self.cycle is not None and not self.cycle.response_complete

    @property
    def idle_limit_s(self) -> float:
        """For how long the connection may be idle, since it last became."""
        return self.bounds(self._idle_since).idle_timeout_s

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Takes the open connection."""
        self._server_state.connections.add(self)
        self.transport = transport
        self.flow = HeldFlow(transport)
        transport.max_size = READ_BYTES
        self._addresses = {
            "server": get_local_addr(transport),
            "client": get_remote_addr(transport),
        }
        standing = self._account.join(self)
        if standing is None:
            # All others are being served.
            self._is_ending = True
            self._write_refusal(self._no_room())
            self.close_at_once()
            return
        self._standing = standing
        self._set_timer()
        sock = transport.get_extra_info("socket")
        if arrivals.unread_s(sock) < MIN_BACKLOG_WAIT_S:
            return
        self._waited_in_backlog = True
        if arrivals.peer_has_closed(sock):
            # Nobody would receive the response.
            transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Handles the loss of the connection."""
        del exc
        self._server_state.connections.discard(self)
        self._standing.leave()
        self._stop_timer()
        if self.cycle is not None:
            self._end_cycle()
        self.flow.resume_writing()

    def pause_writing(self) -> None:
        """Lets writers wait until the caller has read some of the answer."""
        self.flow.pause_writing()

    def resume_writing(self) -> None:
        """Lets writers go on, and the requests that wait behind an answer."""
        self.flow.resume_writing()
        if not self._is_ending and not self.busy:
            self._go_on()

    def data_received(self, data: bytes) -> None:
        """Reads what has arrived, as far as the answer before it allows."""
        if self._is_ending or self._has_last_request:
            return
        if not self._at_request_end and not self.busy:
            # The rest of a body whose request was answered before its end.
            self._idle_since = time.monotonic()
        self._reader.feed(data)
        self._go_on()

    def on_response_complete(self) -> None:
        """Handles the end of an answer."""
        self._server_state.total_requests += 1
        if self.transport.is_closing():
            return
        self._idle_since = time.monotonic()
        if self.cycle.ends_connection:
            self._end()
            return
        if self._at_request_end:
            self._standing.idle()
        self.flow.resume_reading()
        self._go_on()

    def release_head(self, cycle: "RequestCycle") -> None:
        """Counts the head of a request no more, which is done with."""
        self._head_cost -= cycle.head_cost
        self.recount()

    def recount(self) -> None:
        """Counts what has arrived and is not with the application."""
        self._reader.trim()
        taken = len(self.cycle.body) if self.cycle is not None else 0
        self._standing.set(self._reader.held_bytes + taken + self._head_cost)

    def restart_idle_time(self) -> None:
        """Lets the time in which the connection is idle begin now."""
        if self.busy or self._is_ending:
            return
        self._idle_since = time.monotonic()
        if self._at_request_end and not self._reader.waiting_bytes:
            self._standing.idle()
        if not self._times_head:
            self._stop_timer()
        self._set_timer()

    def idle_ended(self) -> None:
        """Handles the end of the time for which it may be idle."""
        self.transport.close()

    def shutdown(self) -> None:
        """Closes the connection, once an answer that is under way is sent."""
        if self.busy:
            self.cycle.keep_alive = False
        else:
            self.transport.close()

    def give_way(self, *, at_once: bool) -> bool:
        """Ends the connection for another one; see `clientaccount.Client`."""
        if self.transport.is_closing() or self.has_unread_end:
            return False
        if self.busy and self.cycle.response_started:
            return False
        if self._is_ending:
            self.close_at_once()
        elif self.busy or (self._at_request_end and self._reader.waiting_bytes):
            # It lacks its end, so it cannot have run.
            self._end_refused(self._no_room())
            if at_once:
                self.close_at_once()
        elif at_once:
            self.close_at_once()
        elif self._at_request_end:
            self.transport.close()
        else:
            # Its answer is on its way; bytes that are not read would reset it.
            self._end()
        return True

    def end_with_answer(self) -> None:
        """Ends the connection once its answer is complete.

        What its client has sent ahead is dropped; it has not run.
        """
        if not self.busy or self._is_ending:
            return
        self._is_ending = True
        self.cycle.ends_connection = True
        if not self.cycle.response_started:
            self.cycle.keep_alive = False
        self._reader = RequestReader(self.own_fields())
        self.flow.hold(False)
        self.flow.resume_reading()
        self.recount()

    @property
    def has_unread_end(self) -> bool:
        """Whether the end of a complete response waits for the caller."""
        complete = self.cycle is not None and self.cycle.response_complete
        return complete and self.transport.get_write_buffer_size() > 0

    def close_at_once(self) -> None:
        """Closes the connection without waiting for its client."""
        if self.transport.get_write_buffer_size():
            self.reset()
        else:
            self.transport.abort()

    def reset(self) -> None:
        """Closes the connection at once and frees the kernel's buffers."""
        raw: socket.socket = self.transport.get_extra_info("socket")
        if raw is not None and raw.fileno() >= 0:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
        self.transport.abort()

    @property
    def _has_last_request(self) -> bool:
        """Whether what follows now belongs to no request."""
        return self._at_request_end and self.busy and not self.cycle.keep_alive

    def _go_on(self) -> None:
        """Passes on what can be read now, in bounded time."""
        parts = 0
        yields = False
        try:
            while not self._at_request_end or self._may_begin:
                part = self._reader.read(self._head_limits().head_bytes)
                if part is None:
                    break
                self._pass_on(part)
                parts += 1
                if parts == MAX_PARTS_AT_ONCE and not self._at_request_end:
                    yields = True
                    self.turns().wait(self._go_on_in_turn)
                    break
        except BadRequestError as exc:
            self._refuse(exc)
            return
        waiting = self._reader.waiting_bytes
        if self._at_request_end and not waiting:
            self._limits = None
        is_ahead = self._at_request_end and not self._may_begin
        self.flow.hold(yields or (is_ahead and waiting >= MAX_AHEAD_BYTES))
        self._set_timer()
        self._require_room(waiting)

    def _go_on_in_turn(self) -> None:
        if not self._is_ending and not self.transport.is_closing():
            self._go_on()

    def _require_room(self, waiting: int) -> None:
        """Counts what has arrived; gives way itself if nobody else does.

        Args:
            waiting: Bytes that are not read yet.
        """
        standing = self._standing
        if not self._at_request_end or (waiting and not self.busy):
            standing.begin()
        self.recount()
        account = self._account
        if account.make_room(standing, account.held.bounds.held):
            return
        if waiting and self._at_request_end and self.busy:
            account.on_given_way("memory")
            self.end_with_answer()
        elif not self._at_request_end or not self.busy:
            account.on_given_way("memory")
            standing.stand_aside()
            self.give_way(at_once=False)

    def _no_room(self) -> MemoryShortError:
        held = self._account.held
        return MemoryShortError(
            f"{MEMORY_SHORT}, or connections are",
            retry_s=round(held.retry_s(random.random()), 2),
        )

    @property
    def _may_begin(self) -> bool:
        """Whether a request can be read.

        None is while the answers before it wait for a caller that reads none.
        """
        return (
            not self.busy
            and not self.flow.write_paused
            and self._reader.waiting_bytes > 0
        )

    def _head_limits(self) -> HeadLimits:
        """Returns the limits of the request that is being read."""
        if self._limits is None:
            self._limits = self.bounds(time.monotonic())
        return self._limits

    def _pass_on(self, part: RequestHead | bytes | BodyEnd) -> None:
        if isinstance(part, RequestHead):
            self._at_request_end = False
            self._start(part)
            return
        cycle = self.cycle
        if part is BodyEnd.END:
            self._at_request_end = True
            self._limits = None
            if cycle.response_complete:
                self._standing.idle()
            else:
                self._standing.serve()
            cycle.more_body = cycle.waiting_for_100_continue = False
        elif not cycle.response_complete:
            # A caller that sends the body does not wait to be told to.
            cycle.waiting_for_100_continue = False
            cycle.body += part
            if len(cycle.body) > HIGH_WATER_LIMIT:
                self.flow.pause_reading()
        if not cycle.response_complete:
            cycle.message_event.set()

    def _start(self, head: RequestHead) -> None:
        """Starts the application for a request."""
        self._stop_timer()
        self._standing.organisation = ""
        body = RequestBody(self._account, self._standing)
        path = head.path.decode("ascii")
        scope = {
            "type": "http",
            "asgi": {
                "version": self._config.asgi_version,
                "spec_version": "2.3",
            },
            "http_version": head.version,
            **self._addresses,
            "scheme": "https" if self._config.is_ssl else "http",
            "root_path": "",
            "headers": head.fields,
            "state": self._app_state.copy(),
            "method": head.method,
            "path": unquote(path) if "%" in path else path,
            "raw_path": head.path,
            "query_string": head.query,
            TARGET: head.target,
            BODY: body,
        }
        if self._waited_in_backlog:
            self._waited_in_backlog = False
            sock = self.transport.get_extra_info("socket")
            scope[UNREAD_S] = arrivals.unread_s(sock)
        self.on_request(scope)
        self.cycle = RequestCycle(self, head, scope, self._server_state)
        self._head_cost += self.cycle.head_cost
        task = self.loop.create_task(
            self.cycle.run_asgi(self._config.loaded_app)
        )
        task.add_done_callback(self._server_state.tasks.discard)
        self._server_state.tasks.add(task)

    def _refuse(self, error: RelayError) -> None:
        """Answers bytes that are no proper request; reads no further.

        They may be the body of a request that was passed on: it cannot have
        run without its end, so it is refused, unless its answer has begun.
        """
        if self.transport.is_closing():
            return
        self.on_refused(error)
        self._end_refused(error)

    def _end_refused(self, error: RelayError) -> None:
        """Refuses what has arrived, unless its answer has begun."""
        if self.busy:
            self._is_ending = True
            self.cycle.ends_connection = True
            if self.cycle.response_started:
                self.cycle.keep_alive = False
                return
            self._end_cycle()
            self.cycle.drop_body()
        self._write_refusal(error)
        self._reader = RequestReader(self.own_fields())
        self._standing.set(self._head_cost)
        self._standing.end()
        self._end()

    def _write_refusal(self, error: RelayError) -> None:
        """Answers a request that has not run."""
        body = f"{error.message}. {error.remedy}".encode()
        sent = b"" if self._reader.is_head_method else body
        fields = self.refusal_fields()
        if error.retry_s is not None:
            fields += b"retry-after: %g\r\n" % error.retry_s
        self.transport.write(
            b"HTTP/1.1 %d %b\r\n"
            b"content-type: text/plain; charset=utf-8\r\n"
            b"content-length: %d\r\n"
            b"%bconnection: close\r\n\r\n%b"
            % (error.status, _REASONS[error.status], len(body), fields, sent)
        )

    def _end_cycle(self) -> None:
        """Tells the application that its caller is gone."""
        self.cycle.disconnected = not self.cycle.response_complete
        self.cycle.waiting_for_100_continue = False
        self.cycle.message_event.set()

    def _end(self) -> None:
        """Closes the connection once the caller could read what was sent."""
        self._is_ending = True
        self._stop_timer()
        self.flow.hold(False)
        self.flow.resume_reading()
        if self.transport.is_closing() or not self.transport.can_write_eof():
            self.transport.close()
            return
        try:
            self.transport.write_eof()
        except OSError:
            # Its client has reset it, which the loop has not noticed yet.
            self.transport.abort()
            return
        self._timer = self.loop.call_later(LINGER_S, self.transport.close)

    def _set_timer(self) -> None:
        """Limits the time of a head, or of a pause between two requests."""
        if self.busy:
            self._stop_timer()
            return
        times_head = self._at_request_end and self._reader.waiting_bytes > 0
        if self._timer is not None and times_head == self._times_head:
            return
        self._stop_timer()
        self._times_head = times_head
        if times_head:
            self._timer = self.loop.call_later(
                self._head_limits().head_timeout_s, self._refuse, _TOO_SLOW
            )
        else:
            left_s = self._idle_since + self.idle_limit_s - time.monotonic()
            self._timer = self.loop.call_later(left_s, self._check_idle)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check_idle(self) -> None:
        self._timer = None
        if self._idle_since + self.idle_limit_s > time.monotonic():
            # A version has raised the limit since the timer was set.
            self._set_timer()
        elif not self.transport.is_closing():
            self.idle_ended()


def limited(
    limits: Callable[[float], HeadLimits],
    own: frozenset[bytes] = NO_FIELDS,
    refused: Callable[[RelayError], None] = lambda error: None,
    clients: ClientAccount | None = None,
    not_run: bytes = b"",
) -> type[HttpConnection]:
    """Returns the class of a port's connections.

    A head that is malformed or too large is answered with 400, one that is too
    slow with 408; idle connections are closed.

    Args:
        limits: See `HttpConnection.bounds`.
        own: See `HttpConnection.own_fields`.
        refused: Called with the reason when bytes were refused that are no
            proper request.
        clients: See `HttpConnection.account`.
        not_run: See `HttpConnection.refusal_fields`.
    """
    shared_turns = Turns()

    class LimitedConnection(HttpConnection):
        """A connection of this port."""

        bounds = staticmethod(limits)
        own_fields = staticmethod(lambda: own)
        on_refused = staticmethod(refused)
        account = staticmethod(lambda: clients or _UNBOUNDED)
        refusal_fields = staticmethod(lambda: not_run)
        turns = staticmethod(lambda: shared_turns)

    return LimitedConnection
