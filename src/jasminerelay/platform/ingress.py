"""Callers' requests in the platform's words, as an ASGI application."""

import dataclasses
import time
import traceback
from collections.abc import Callable

import anyio

from jasminerelay.attempt import Kit
from jasminerelay.catalog import Bounds, Call, Catalog, Route
from jasminerelay.errors import (
    BadRequestError,
    NotFoundError,
    NotReadyError,
    RelayError,
    TooLargeError,
    TooSlowError,
    UnknownKeyError,
)
from jasminerelay.eventlog import EventLog
from jasminerelay.forwarding import Delivery
from jasminerelay.platform import headers

RETRY_S = 0.5
"""When to come back to an instance that cannot judge the request yet."""


@dataclasses.dataclass(frozen=True)
class Front:
    """What the callers' port needs of the instance.

    Attributes:
        kit: Carries requests.
        catalog: Returns the configuration in force; None before the first.
        current: Returns whether that configuration was confirmed of late.
        stopping: Returns whether the instance is being stopped.
        takes: Returns whether a request of this time limit is still taken.
        log: Takes events.
    """

    kit: Kit
    catalog: Callable[[], Catalog | None]
    current: Callable[[], bool]
    stopping: Callable[[], bool]
    takes: Callable[[float], bool]
    log: EventLog


class CallerGoneError(Exception):
    """The caller hung up while it sent its request."""


class Ingress:
    """The ASGI application of the callers' port."""

    def __init__(self, front: Front):
        self._front = front

    async def __call__(self, scope, receive, send) -> None:
        """Serves one request."""
        if scope["type"] != "http":
            return
        sink = AsgiSink(send, _attempt_of(scope), self._front.stopping)
        try:
            await self._serve(scope, receive, sink)
        except CallerGoneError:
            return
        except RelayError as exc:
            self._front.log.trouble(
                "refused",
                id=sink.attempt.decode("latin-1"),
                path=scope["path"],
                status=exc.status,
                why=exc.message,
                **self._front.kit.versions(),
            )
            await sink.refuse(exc.status, str(exc), exc.retry_s)
        except Exception:
            # A fault of this program. The caller must not be told that the
            # request did not run: the server answers 500, which promises
            # nothing, or leaves an answer that has begun without an end.
            self._front.log.trouble(
                "fault",
                id=sink.attempt.decode("latin-1"),
                trace=traceback.format_exc(),
            )

    async def _serve(self, scope, receive, sink: "AsgiSink") -> None:
        arrived = time.monotonic()
        body = await self._body(receive)
        call = self._call(scope, body, arrived)
        if not self._front.takes(call.ends - arrived):
            raise NotReadyError("this instance is being stopped", retry_s=0.05)
        delivery = Delivery(self._front.kit, call, sink)
        async with anyio.create_task_group() as group:
            group.start_soon(
                _cancel_when_gone, receive, sink, group.cancel_scope
            )
            await delivery.run()
            group.cancel_scope.cancel()

    async def _body(self, receive) -> bytes:
        catalog = self._front.catalog()
        bounds = catalog.bounds if catalog else Bounds()
        parts: list[bytes] = []
        size = 0
        while True:
            with anyio.move_on_after(bounds.idle_s) as scope:
                message = await receive()
            if scope.cancelled_caught:
                raise TooSlowError(f"nothing came for {bounds.idle_s:g} s")
            if message["type"] == "http.disconnect":
                raise CallerGoneError
            parts.append(message.get("body", b""))
            size += len(parts[-1])
            if size > bounds.body_bytes:
                raise TooLargeError(
                    f"the body is larger than {bounds.body_bytes} bytes"
                )
            if not message.get("more_body"):
                return b"".join(parts)

    def _call(self, scope, body: bytes, arrived: float) -> Call:
        catalog = self._front.catalog()
        if catalog is None:
            raise NotReadyError("no configuration yet", retry_s=RETRY_S)
        fields = scope["headers"]
        by_name = dict(fields)
        host = by_name.get(b"host", b"").decode("latin-1")
        path = scope["raw_path"].decode("latin-1")
        route = catalog.route_of(host.partition(":")[0], path)
        if route is None:
            self._only_if_current("no route for this host and path")
            raise NotFoundError(f"no route for {host}{path[:80]}")
        holder = None
        if catalog.keyed and not route.anonymous:
            holder = catalog.holders.get(headers.bearer_key(by_name) or "")
            if holder is None:
                self._only_if_current("the key is not known here")
                raise UnknownKeyError("the key belongs to no organisation")
        rank = route.rank
        if holder is not None and holder.rank is not None:
            rank = holder.rank
        attempt = by_name.get(headers.ATTEMPT_ID, b"").decode("latin-1")
        query = scope["query_string"]
        return Call(
            attempt,
            route,
            route.pick_service(self._front.kit.rng),
            rank,
            catalog.urgent(rank, route),
            holder.name if holder else "",
            scope["method"],
            host,
            scope["raw_path"] + (b"?" + query if query else b""),
            headers.forwarded_fields(fields),
            body,
            _prompt(by_name, route),
            by_name.get(headers.LAST_EVENT_ID, b"").decode("latin-1"),
            arrived,
            arrived + _limit_s(by_name, route),
        )

    def _only_if_current(self, why: str) -> None:
        # An instance that lost touch may not know a route or key that was
        # added since. "Not found" and "unknown key" are final for a caller,
        # so until its knowledge is confirmed it says "not yet" instead.
        if not self._front.current():
            raise NotReadyError(
                f"{why}, and the configuration is not confirmed",
                retry_s=RETRY_S,
            )


class AsgiSink:
    """A caller's connection.

    Attributes:
        attempt: The caller's id of the attempt.
        started: Whether the head of the answer is on its way.
        finished: Whether the whole answer is.
    """

    def __init__(self, send, attempt: bytes, stopping: Callable[[], bool]):
        self._send = send
        self._stopping = stopping
        self.attempt = attempt
        self.started = False
        self.finished = False

    async def start(
        self, status: int, fields: tuple[tuple[bytes, bytes], ...]
    ) -> None:
        """Sends the head."""
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
        """Sends a piece of the body."""
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def finish(self) -> None:
        """Ends the answer as complete."""
        self.finished = True
        await self._send({"type": "http.response.body", "body": b""})

    async def abort(self) -> None:
        """Leaves the answer unfinished.

        The server closes the connection of an answer whose application
        returns before its end, so that the answer has no valid end.
        """

    async def refuse(
        self, status: int, why: str, retry_s: float | None
    ) -> None:
        """Sends a whole answer of this instance's own."""
        body = why.encode()
        fields = [
            (b"content-type", b"text/plain; charset=utf-8"),
            (b"content-length", str(len(body)).encode()),
        ]
        if self.attempt:
            fields.append((headers.ATTEMPT_ID, self.attempt))
        if retry_s is not None:
            fields.append((b"retry-after", f"{retry_s:g}".encode()))
        await self.start(status, tuple(fields))
        await self._send({"type": "http.response.body", "body": body})


def _attempt_of(scope) -> bytes:
    for name, value in scope["headers"]:
        if name == headers.ATTEMPT_ID:
            return value
    return b""


def _prompt(by_name: dict[bytes, bytes], route: Route):
    if not route.model:
        return None
    try:
        return headers.parse_prompt(by_name)
    except ValueError as exc:
        raise BadRequestError(
            f"the prompt's fields cannot be read: {exc}",
            remedy="Send sizes as whole numbers, as the platform's pages say.",
        ) from exc


def _limit_s(by_name: dict[bytes, bytes], route: Route) -> float:
    text = by_name.get(headers.DEADLINE, b"")
    try:
        given = float(text) / headers.MS if text else route.timeout_s
    except ValueError as exc:
        raise BadRequestError(
            "the time limit is not a number",
            remedy="Send milliseconds as a number.",
        ) from exc
    return min(given, route.timeout_s)


async def _cancel_when_gone(
    receive, sink: AsgiSink, scope: anyio.CancelScope
) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
    # The server says "disconnect" after a whole answer, too; what is left
    # then, as giving back the connection to the backend server, must be done.
    if not sink.finished:
        scope.cancel()
