"""Clients of backend servers: streams, calls, load reports, cache events."""

import dataclasses
import enum
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import aclosing
from typing import Any

from jasminerelay import completeness, foreignbytes, sse
from jasminerelay.completeness import Framing
from jasminerelay.errors import ForeignDataError
from jasminerelay.httpclient import (
    MAX_ANSWER_BYTES,
    MAX_LONG_RESPONSE_BYTES,
    HttpClient,
    HttpRequest,
    HttpResponse,
    IncompleteExchangeError,
    NotSentError,
    body_chunks,
    read_whole,
    response_headers,
)
from jasminerelay.netstream import PatientTimeout
from jasminerelay.retryafter import parse_pause
from jasminerelay.schema.manifest import Server
from jasminerelay.schema.messages import CacheEvent, LoadReport
from jasminerelay.statednumbers import parse_whole

ATTEMPT_HEADER = "x-request-id"
NOT_RUN_HEADER = "x-not-run"
LEAVING_HEADER = "x-leaving"
RETRY_AFTER_HEADER = "retry-after"
DONE = b"[DONE]"
CANCEL_TIMEOUT_S = 2.0


class ExecutionStatus(enum.Enum):
    """Whether the server may have executed a failed attempt."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"


class AttemptError(Exception):
    """An attempt at a backend server ended without a complete response.

    Attributes:
        execution_status: Whether the attempt provably did not run.
        leaving: Whether the response carried the header of a leaving server.
        rejection: The response, if the server rejected the request as invalid.
    """

    def __init__(
        self,
        message: str,
        execution_status: ExecutionStatus,
        *,
        leaving: bool = False,
        rejection: HttpResponse | None = None,
    ):
        super().__init__(message)
        self.execution_status = execution_status
        self.leaving = leaving
        self.rejection = rejection


@dataclasses.dataclass(frozen=True)
class ServerStatement:
    """What a response says of its server.

    Attributes:
        leaving: Whether the server announces that it is leaving.
        not_run: Whether it reports that it did not run the request.
        pause_s: Time in seconds for which it wants no requests from this
            instance; 0 if it requests no pause.
        pause_fault: The requested pause, if it can't be parsed.
    """

    leaving: bool
    not_run: bool
    pause_s: float
    pause_fault: str


OnResponse = Callable[[str, ServerStatement], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Chunk:
    """One frame of an engine's stream.

    Attributes:
        offset: Tokens of the attempt up to and including this frame.
        data: The decoded JSON object.
    """

    offset: int
    data: dict[str, Any]


@dataclasses.dataclass(frozen=True)
class EngineAttempt:
    """One dispatch of a model request.

    Attributes:
        id: Identifier of the attempt on the server.
        server: Server that the request is sent to.
        path: Path of the endpoint.
        body: Request body.
        first_s: Time limit for the first frame.
        idle_timeout_s: Time limit between two frames.
        stays: Returns whether to wait on for a server that has sent nothing
            within a time limit.
    """

    id: str
    server: Server
    path: str
    body: bytes
    first_s: float
    idle_timeout_s: float
    stays: Callable[[], bool] = lambda: False


class EngineClient:
    """Client of the model engines; starts, resumes and cancels streams."""

    def __init__(self, client: HttpClient, on_response: OnResponse):
        """Creates the client.

        Args:
            client: HTTP client.
            on_response: Called with the name of a server and what its
                response, of any status, says of it.
        """
        self._client = client
        self._on_response = on_response

    def run(self, attempt: EngineAttempt) -> AsyncIterator[Chunk]:
        """Starts an attempt and yields its frames."""
        exchange = HttpRequest(
            "POST",
            _url(attempt.server, attempt.path),
            {"content-type": "application/json", ATTEMPT_HEADER: attempt.id},
            attempt.body,
            PatientTimeout(attempt.first_s, attempt.stays),
        )
        return self._frames(exchange, attempt, 0)

    def resume(
        self, attempt: EngineAttempt, offset: int
    ) -> AsyncIterator[Chunk]:
        """Yields the frames of an interrupted attempt after an offset.

        Every error is raised as MAY_HAVE_RUN: a refused resume does not show
        that the attempt, which ran before, did not run.
        """
        url = _url(attempt.server, f"/v1/streams/{attempt.id}?from={offset}")
        exchange = HttpRequest(
            "GET",
            url,
            timeout_s=PatientTimeout(attempt.first_s, attempt.stays),
        )
        return _with_errors_as_may_have_run(
            self._frames(exchange, attempt, offset)
        )

    async def cancel(self, server: Server, attempt_id: str) -> None:
        """Cancels an attempt, so that the engine frees its slot."""
        url = _url(server, f"/v1/streams/{attempt_id}")
        exchange = HttpRequest("DELETE", url, timeout_s=CANCEL_TIMEOUT_S)
        try:
            await self._client.call(exchange)
        except (NotSentError, IncompleteExchangeError):
            # The engine itself discards a stream that is not resumed.
            return

    async def _frames(
        self, exchange: HttpRequest, attempt: EngineAttempt, offset: int
    ) -> AsyncIterator[Chunk]:
        try:
            async with self._client.stream(exchange) as response:
                self._on_response(
                    attempt.server.name,
                    _statement(response.status, response_headers(response)),
                )
                if response.status != 200:
                    raise _refusal_error(await read_whole(response))
                parser = sse.Parser()
                chunks = body_chunks(response)
                idle_s = PatientTimeout(attempt.idle_timeout_s, attempt.stays)
                connection = response.extensions["network_stream"]
                try:
                    async for raw in chunks:
                        connection.read_timeout_s = idle_s
                        for event in parser.feed(raw):
                            if event.data == DONE:
                                return
                            chunk = _parse_chunk(event, attempt.id)
                            if chunk is not None and chunk.offset >= offset:
                                yield chunk
                finally:
                    connection.read_timeout_s = None
        except NotSentError as exc:
            raise AttemptError(str(exc), ExecutionStatus.NOT_RUN) from exc
        except (IncompleteExchangeError, ValueError) as exc:
            raise AttemptError(str(exc), ExecutionStatus.MAY_HAVE_RUN) from exc
        raise AttemptError(
            "the stream ended before [DONE]", ExecutionStatus.MAY_HAVE_RUN
        )


class ServiceClient:
    """Client of the servers of plain services."""

    def __init__(self, client: HttpClient, on_response: OnResponse):
        """Creates the client.

        Args:
            client: HTTP client.
            on_response: Called with the name of a server and what its
                response, of any status, says of it.
        """
        self._client = client
        self._on_response = on_response

    async def call(self, server: Server, exchange: HttpRequest) -> HttpResponse:
        """Sends a call and returns the response.

        Args:
            server: Server that the call is sent to.
            exchange: The request; its URL is a path on the server.

        Raises:
            AttemptError: if there is no complete response, or the server
                refused the call before running it.
        """
        full = dataclasses.replace(
            exchange,
            url=_url(server, exchange.url),
            max_bytes=MAX_ANSWER_BYTES,
        )
        try:
            reply = await self._client.call(full)
        except NotSentError as exc:
            raise AttemptError(str(exc), ExecutionStatus.NOT_RUN) from exc
        except IncompleteExchangeError as exc:
            raise AttemptError(str(exc), ExecutionStatus.MAY_HAVE_RUN) from exc
        self._on_response(server.name, _statement(reply.status, reply.headers))
        if NOT_RUN_HEADER in reply.headers:
            raise _refusal_error(reply)
        ended_by = completeness.framing(
            reply.status,
            [(k.encode(), v.encode()) for k, v in reply.headers.items()],
            has_body=full.method != "HEAD",
        )
        fault = completeness.body_fault(
            ended_by, reply.status, len(reply.body)
        ) or await self._crash_at_end(ended_by, server, reply)
        if fault:
            raise AttemptError(fault, ExecutionStatus.MAY_HAVE_RUN)
        return reply

    async def _crash_at_end(
        self, ended_by: Framing, server: Server, reply: HttpResponse
    ) -> str:
        """Returns why a reply that has ended is not complete; "" if it is.

        The kernel ends the connections of a server that is killed in order,
        like the server itself at the end of a reply. A killed one does not
        listen any more; one that leaves may have ended after its last reply.
        """
        if (
            ended_by is not Framing.CONNECTION
            or reply.status >= completeness.MIN_FAILURE_STATUS
            or LEAVING_HEADER in reply.headers
            or not await self._client.refuses(server.address)
        ):
            return ""
        return "the connection ended, and the server does not listen any more"


async def fetch_load_report(
    client: HttpClient, server: Server, timeout_s: float
) -> LoadReport | None:
    """Fetches a server's load report; None if that fails."""
    exchange = HttpRequest("GET", _url(server, "/load"), timeout_s=timeout_s)
    try:
        reply = await client.call(exchange)
        return _read_load(reply.body)
    except (NotSentError, IncompleteExchangeError, ForeignDataError):
        return None


async def _with_errors_as_may_have_run(
    frames: AsyncIterator[Chunk],
) -> AsyncIterator[Chunk]:
    try:
        async with aclosing(frames):
            async for chunk in frames:
                yield chunk
    except AttemptError as exc:
        raise AttemptError(str(exc), ExecutionStatus.MAY_HAVE_RUN) from exc


async def fetch_cache_events(
    client: HttpClient, server: Server, after: int, timeout_s: float
) -> list[CacheEvent]:
    """Fetches the cache events after a sequence number; [] on failure."""
    exchange = HttpRequest(
        "GET",
        _url(server, f"/cache_events?after={after}"),
        timeout_s=timeout_s,
        max_bytes=MAX_LONG_RESPONSE_BYTES,
    )
    try:
        reply = await client.call(exchange)
        return _read_cache_events(reply.body).events
    except (NotSentError, IncompleteExchangeError, ForeignDataError):
        return []


@dataclasses.dataclass(frozen=True)
class _CacheEventsReply:
    events: list[CacheEvent]


_read_load = foreignbytes.json_reader(LoadReport)
_read_cache_events = foreignbytes.json_reader(_CacheEventsReply)


def _url(server: Server, path: str) -> str:
    return f"http://{server.address}{path}"


def _statement(status: int, headers: Mapping[str, str]) -> ServerStatement:
    return ServerStatement(
        LEAVING_HEADER in headers,
        NOT_RUN_HEADER in headers,
        *parse_pause(status, headers.get(RETRY_AFTER_HEADER)),
    )


def _refusal_error(reply: HttpResponse) -> AttemptError:
    leaving = LEAVING_HEADER in reply.headers
    message = f"HTTP status {reply.status}"
    if NOT_RUN_HEADER in reply.headers:
        return AttemptError(message, ExecutionStatus.NOT_RUN, leaving=leaving)
    if 400 <= reply.status < 500 and reply.status not in (408, 429):
        return AttemptError(message, ExecutionStatus.NOT_RUN, rejection=reply)
    return AttemptError(message, ExecutionStatus.MAY_HAVE_RUN, leaving=leaving)


def _parse_chunk(event: sse.Event, attempt_id: str) -> Chunk | None:
    """Parses a frame; returns None if it belongs to another attempt.

    On a connection that is reused after a cancellation, frames of the earlier
    request can still arrive. Without this check, a caller would receive part
    of another caller's response. Every frame carries the id of its attempt.
    """
    data = foreignbytes.json_value(event.data)
    if not isinstance(data, dict):
        raise ValueError("the frame is not a JSON object")
    if not str(data.get("id", "")).endswith(attempt_id):
        return None
    return Chunk(parse_whole(event.id), data)
