"""ASGI application that serves callers' requests on the platform."""

import dataclasses
import time
import traceback
from collections.abc import Callable

import anyio

from jasminerelay import callerconnection, httpconnection
from jasminerelay.backgroundtasks import BackgroundTasks
from jasminerelay.catalog import Call, Catalog, Prompt, RequestLimits, Route
from jasminerelay.errors import (
    BadRequestError,
    BodyTooLargeError,
    InvalidCredentialsError,
    NotFoundError,
    NotReadyError,
    RelayError,
    RequestTimeoutError,
)
from jasminerelay.eventlog import EventLog
from jasminerelay.forwarding import RequestForwarder
from jasminerelay.forwardingcontext import ForwardingContext
from jasminerelay.platform import headers
from jasminerelay.platform.earlyrequests import EarlyRequests
from jasminerelay.requestbody import BODY, RequestBody
from jasminerelay.scheduling.clientaccount import PART_BYTES
from jasminerelay.statednumbers import parse_whole

MAX_LOGGED_CHARS = 200
"""Characters of a request's id and path in a line about its refusal. A head may
hold 16 KB of either, at the rate at which a caller is refused."""

RETRY_S = 0.5
"""Retry-After of an instance whose configuration is missing or not current."""


@dataclasses.dataclass(frozen=True)
class IngressContext:
    """Parts of the instance that serve callers' requests.

    Attributes:
        forwarding: Components that forward requests.
        catalog: Returns the configuration in force; None before the first.
        configuration_confirmed: Returns whether that configuration is confirmed
            as current.
        limits: Returns the limits for a request that began at a monotonic time;
            they may grow while it lasts.
        stopping: Returns whether the instance is shutting down.
        accepts: Returns whether a request with this time limit is accepted.
        log: Event log.
    """

    forwarding: ForwardingContext
    catalog: Callable[[], Catalog | None]
    configuration_confirmed: Callable[[], bool]
    limits: Callable[[float], RequestLimits]
    stopping: Callable[[], bool]
    accepts: Callable[[float], bool]
    log: EventLog


class CallerDisconnectedError(Exception):
    """The caller disconnected while it was sending its request."""


class Ingress:
    """The ASGI application of the callers' port."""

    def __init__(self, front: IngressContext):
        self._context = front
        self._early_requests = EarlyRequests()

    def serve_early_requests(self) -> None:
        """Serves the requests that waited for the first configuration."""
        self._early_requests.release()

    async def __call__(self, scope, receive, send) -> None:
        """Serves one request."""
        if scope["type"] != "http":
            return
        sink = AsgiResponseSink(
            send,
            _attempt_id_of(scope),
            self._context.stopping,
            scope[callerconnection.CONNECTION],
        )
        try:
            await self._serve(scope, receive, sink)
        except CallerDisconnectedError:
            return
        except RelayError as exc:
            self._context.log.warn(
                "refused",
                id=sink.attempt_id[:MAX_LOGGED_CHARS].decode("latin-1"),
                path=scope["path"][:MAX_LOGGED_CHARS],
                status=exc.status,
                why=exc.message,
                **self._context.forwarding.versions(),
            )
            await sink.refuse(exc.status, str(exc), exc.retry_s)
        except Exception:
            # An internal fault. The response must not claim that the request
            # did not run: the HTTP server sends 500, which leaves that open,
            # or closes the connection of a response that has begun.
            self._context.log.warn(
                "fault",
                id=sink.attempt_id.decode("latin-1"),
                trace=traceback.format_exc(),
            )

    async def _serve(self, scope, receive, sink: "AsgiResponseSink") -> None:
        arrived = time.monotonic() - scope.get(httpconnection.UNREAD_S, 0.0)
        if self._context.catalog() is None:
            await self._wait_for_configuration(scope, arrived)
        body = await self._body(scope, receive, arrived)
        call = self._call(scope, body, arrived)
        sink.organisation = call.organisation
        await self._forward(receive, sink, call)

    async def _forward(
        self, receive, sink: "AsgiResponseSink", call: Call
    ) -> None:
        if not self._context.accepts(call.answer_deadline - call.arrived_at):
            raise NotReadyError("this instance is shutting down", retry_s=0.05)
        forwarder = RequestForwarder(self._context.forwarding, call, sink)
        with anyio.CancelScope() as scope, BackgroundTasks() as group:
            group.start_soon(_cancel_on_disconnect, receive, sink, scope)
            await forwarder.run()

    async def _wait_for_configuration(self, scope, arrived: float) -> None:
        """Waits for the first configuration and servers, in bounded time.

        The request is served or refused afterwards as at any other time.
        """
        counters = self._context.forwarding.counters
        counters.incr("start.early_requests")
        limit_s = _stated_time_limit_s(dict(scope["headers"]))
        if limit_s is not None:
            limit_s -= time.monotonic() - arrived
        if not await self._early_requests.wait(limit_s):
            counters.incr("start.early_requests_unserved")

    async def _body_part(self, receive, arrived: float) -> dict:
        """Returns the next message with a part of the body."""
        bounds = self._context.limits(arrived)
        with anyio.move_on_after(bounds.idle_timeout_s) as scope:
            message = await receive()
        if scope.cancelled_caught:
            raise RequestTimeoutError(
                f"no data received for {bounds.idle_timeout_s:g} s"
            )
        if message["type"] == "http.disconnect":
            raise CallerDisconnectedError
        return message

    async def _body(self, scope, receive, arrived: float) -> bytes:
        """Reads the body, which is counted until its request is done with."""
        body: RequestBody = scope[BODY]
        length = _content_length(scope)
        if length != 0:
            body.organisation = self._organisation(scope)
            body.announce(length or 0)
        while True:
            message = await self._body_part(receive, arrived)
            body.add(message.get("body", b""))
            self._require_allowed(body.size, arrived)
            if not message.get("more_body"):
                return body.whole()

    def _require_allowed(self, size: int, arrived: float) -> None:
        allowed = self._context.limits(arrived).body_bytes
        if size > allowed:
            raise BodyTooLargeError(f"the body is larger than {allowed} bytes")

    def _organisation(self, scope) -> str:
        """Returns the organisation that a request's key belongs to, if any."""
        catalog = self._context.catalog()
        if catalog is None:
            return ""
        key = headers.bearer_key(dict(scope["headers"]))
        holder = catalog.key_holders.get(key or "")
        return holder.name if holder else ""

    def _call(self, scope, body: bytes, arrived: float) -> Call:
        catalog = self._context.catalog()
        if catalog is None:
            waited_s = time.monotonic() - arrived
            raise NotReadyError(
                f"no configuration yet, after {waited_s:.2f} s",
                retry_s=RETRY_S,
            )
        fields = scope["headers"]
        by_name = dict(fields)
        host = by_name.get(b"host", b"").decode("latin-1")
        path = scope["raw_path"].decode("latin-1")
        route = catalog.route_of(host.partition(":")[0], path)
        if route is None:
            self._require_current("no route for this host and path")
            raise NotFoundError(f"no route for {host}{path[:80]}")
        holder = None
        if catalog.requires_keys and not route.anonymous:
            holder = catalog.key_holders.get(headers.bearer_key(by_name) or "")
            if holder is None:
                self._require_current("unknown API key")
                raise InvalidCredentialsError(
                    "the key belongs to no organisation"
                )
        rank = route.rank
        if holder is not None and holder.rank is not None:
            rank = holder.rank
        attempt_id = by_name.get(headers.ATTEMPT_ID, b"").decode("latin-1")
        return Call(
            attempt_id,
            route,
            route.pick_service(self._context.forwarding.rng),
            rank,
            catalog.urgency_of(rank, route),
            holder.name if holder else "",
            scope["method"],
            host,
            scope[httpconnection.TARGET],
            headers.forwarded_fields(fields),
            body,
            self._prompt(scope[BODY], by_name, route),
            by_name.get(headers.LAST_EVENT_ID, b"").decode("latin-1"),
            arrived,
            arrived + _time_limit_s(by_name, route),
            by_name.get(headers.RESUMES, b"").decode("latin-1"),
        )

    def _prompt(
        self, body: RequestBody, by_name: dict[bytes, bytes], route: Route
    ) -> Prompt | None:
        """Returns the prompt, whose parts are counted before they are read."""
        if not route.model:
            return None
        body.add_decoded(PART_BYTES * headers.prompt_part_count(by_name))
        try:
            return headers.parse_prompt(by_name)
        except ValueError as exc:
            raise BadRequestError(
                f"the prompt's header fields are malformed: {exc}",
                remedy="Send sizes as whole numbers, as the platform"
                " specifies.",
            ) from exc

    def _require_current(self, why: str) -> None:
        # An instance without contact to the store may lack a route or key
        # that was added recently. Callers treat "not found" and "unknown key"
        # as final, so an unconfirmed configuration gets "not ready" instead.
        if not self._context.configuration_confirmed():
            raise NotReadyError(
                f"{why}, and the configuration is not confirmed",
                retry_s=RETRY_S,
            )


class AsgiResponseSink:
    """Sends a response to the caller.

    Attributes:
        attempt_id: The caller's id of the attempt.
        organisation: For whom the response is; "" if not known.
        started: Whether the response's head was sent.
        finished: Whether the response was completed.
        caller_left: Whether the caller disconnected before that.
    """

    def __init__(
        self,
        send,
        attempt_id: bytes,
        stopping: Callable[[], bool],
        connection,
    ):
        """Creates a sink for one response.

        Args:
            send: Sends an ASGI message.
            attempt_id: The caller's id of the attempt.
            stopping: Returns whether the instance is shutting down.
            connection: The caller's connection, see `callerconnection`.
        """
        self._send = send
        self._stopping = stopping
        self._connection = connection
        self.attempt_id = attempt_id
        self.organisation = ""
        self.started = False
        self.finished = False
        self.caller_left = False
        connection.request_id = attempt_id.decode("latin-1")

    async def start(
        self, status: int, fields: tuple[tuple[bytes, bytes], ...]
    ) -> None:
        """Sends the status and header fields."""
        self.started = True
        sent = list(fields)
        if self._stopping():
            sent.append((b"connection", b"close"))
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": sent,
            }
        )

    async def send(self, data: bytes) -> None:
        """Sends a part of the body."""
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    @property
    def blocked(self) -> bool:
        """Whether `send` would wait for the caller."""
        return self._connection.blocked

    @property
    def unsent_bytes(self) -> int:
        """Bytes that the caller's socket has not accepted."""
        return self._connection.unsent_bytes

    @property
    def unacknowledged_bytes(self) -> int:
        """Bytes that the caller's host has not acknowledged."""
        return self._connection.unacknowledged_bytes

    def pace(self, ahead: float) -> None:
        """Sets the number of unsent bytes above which `send` waits."""
        self._connection.pace(ahead, self.organisation)

    async def wait_accepted(self, timeout_s: float) -> None:
        """Waits until `send` would not wait, at most for some time."""
        await self._connection.wait_accepted(timeout_s)

    async def finish(self) -> None:
        """Completes the response."""
        self.finished = True
        await self._send({"type": "http.response.body", "body": b""})

    async def abort(self) -> None:
        """Leaves the response incomplete.

        When the application returns before the end of a response, the HTTP
        server closes the connection, so the caller sees a truncated response.
        """
        self._connection.watch_unsent(self.organisation)

    def reset(self) -> None:
        """Closes the caller's connection at once, without what is unsent."""
        self._connection.reset()

    async def refuse(
        self, status: int, why: str, retry_s: float | None
    ) -> None:
        """Sends a complete error response of this instance."""
        body = why.encode()
        fields = [
            (b"content-type", b"text/plain; charset=utf-8"),
            (b"content-length", str(len(body)).encode()),
        ]
        if self.attempt_id:
            fields.append((headers.ATTEMPT_ID, self.attempt_id))
        if retry_s is not None:
            fields.append((b"retry-after", f"{retry_s:g}".encode()))
        await self.start(status, tuple(fields))
        await self._send({"type": "http.response.body", "body": body})


def _attempt_id_of(scope) -> bytes:
    for name, value in scope["headers"]:
        if name == headers.ATTEMPT_ID:
            return value
    return b""


def _content_length(scope) -> int | None:
    """Returns the length of a request's body; None if it comes in chunks."""
    for name, value in scope["headers"]:
        if name == b"content-length":
            return parse_whole(value)
        if name == b"transfer-encoding":
            return None
    return 0


def _time_limit_s(by_name: dict[bytes, bytes], route: Route) -> float:
    try:
        limit_s = headers.parse_time_limit_s(by_name)
    except ValueError as exc:
        raise BadRequestError(
            f"the time limit is malformed: {exc}",
            remedy="Send milliseconds as a number, 0 or more.",
        ) from exc
    if limit_s is None:
        return route.timeout_s
    return min(limit_s, route.timeout_s)


def _stated_time_limit_s(by_name: dict[bytes, bytes]) -> float | None:
    """Returns the caller's time limit; None if it states none or a faulty one.

    A faulty one is refused once the request's route is known.
    """
    try:
        return headers.parse_time_limit_s(by_name)
    except ValueError:
        return None


async def _cancel_on_disconnect(
    receive, sink: AsgiResponseSink, scope: anyio.CancelScope
) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
    # The HTTP server also reports a disconnect after a complete response. Then
    # the remaining work, such as returning the connection to the backend
    # server to its pool, must not be cancelled.
    if not sink.finished:
        sink.caller_left = True
        scope.cancel()
