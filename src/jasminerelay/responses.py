"""HTTP responses to callers: event streams, JSON bodies and errors."""

import dataclasses
import math
import time
from contextlib import aclosing
from typing import Any

import anyio
import msgspec
from starlette.responses import JSONResponse, Response

from jasminerelay.answers import Answer, AnswerEvent
from jasminerelay.errors import NoCapacityError, RelayError
from jasminerelay.metrics import Counters
from jasminerelay.modelrequests import CHAT_PATH, ModelRequest
from jasminerelay.schema.settings import Bounds
from jasminerelay.watchdog import Watchdog

TICKET_HEADER = "x-return-ticket"
RAN_HEADER = "x-ran"


class ActiveRequests:
    """Bounds the requests in progress and counts them for draining."""

    def __init__(self, limit: int):
        self._limit = limit
        self.count = 0

    def __enter__(self) -> None:
        if self.count >= self._limit:
            raise NoCapacityError(
                "this instance has too many requests in progress", retry_s=1.0
            )
        self.count += 1

    def __exit__(self, *exc_info) -> None:
        self.count -= 1


@dataclasses.dataclass(frozen=True)
class ResponseContext:
    """Components of an instance that responses depend on.

    Attributes:
        counters: Counters of the instance.
        bounds: Limits on callers' requests and connections.
        progress: Requests in progress on this instance.
        watchdog: Aborts writes to callers that do not read.
    """

    counters: Counters
    bounds: Bounds
    progress: ActiveRequests
    watchdog: Watchdog


class AnswerResponse(Response):
    """Runs an answer; cancels it when the caller disconnects."""

    def __init__(
        self,
        context: ResponseContext,
        answer: Answer,
        request: ModelRequest,
    ):
        super().__init__()
        self._context = context
        self._answer = answer
        self._request = request

    async def __call__(self, scope, receive, send) -> None:
        """Runs the response as an ASGI application."""

        async def watch_disconnect() -> None:
            while (await receive())["type"] != "http.disconnect":
                pass
            group.cancel_scope.cancel()

        async def send_with_timeout(message) -> None:
            guard.arm(self._context.bounds.send_timeout_s)
            await send(message)
            guard.disarm()

        def on_send_timeout() -> None:
            self._context.counters.incr("caller.too_slow")
            group.cancel_scope.cancel()

        guard = self._context.watchdog.add_guard(on_send_timeout)
        try:
            with self._context.progress:
                async with anyio.create_task_group() as group:
                    group.start_soon(watch_disconnect)
                    await self._run(scope, receive, send_with_timeout)
                    group.cancel_scope.cancel()
        except* RelayError as errors:
            error = errors.exceptions[0]
            self._context.counters.incr(f"answer.{error.code}")
            await error_response(error)(scope, receive, send)
        finally:
            self._context.watchdog.release(guard)

    async def _run(self, scope, receive, send) -> None:
        raise NotImplementedError


class StreamResponse(AnswerResponse):
    """Sends an answer as server-sent events."""

    async def _run(self, scope, receive, send) -> None:
        del scope, receive
        started = False
        try:
            async with aclosing(self._answer.events()) as events:
                async for event in events:
                    if not started:
                        started = True
                        await send(_STREAM_START)
                    if not event.usage_only or self._request.wants_usage:
                        await send(_body_message(_encode_event(event)))
        except RelayError as exc:
            if not started:
                raise
            # The response headers are sent, so the error is sent as an event.
            # The missing [DONE] marks the answer as incomplete.
            self._context.counters.incr(f"stream.{exc.code}")
            data = msgspec.json.encode(error_body(exc))
            await send(_body_message(b"data: " + data + b"\n\n", last=True))
            return
        if not started:
            await send(_STREAM_START)
        await send(_body_message(b"data: [DONE]\n\n", last=True))


class JsonObjectResponse(AnswerResponse):
    """Sends an answer as one JSON object."""

    async def _run(self, scope, receive, send) -> None:
        assembler = _AnswerAssembler(self._request)
        async with aclosing(self._answer.events()) as events:
            async for event in events:
                assembler.add(event)
        body = assembler.body(self._answer.usage())
        response = Response(
            msgspec.json.encode(body), media_type="application/json"
        )
        await response(scope, receive, send)


class _AnswerAssembler:
    """Assembles a complete answer from the events of a stream."""

    def __init__(self, request: ModelRequest):
        self._chat = request.path == CHAT_PATH
        self._request = request
        self._head: dict[str, Any] = {}
        self._text: list[str] = []
        self._tool_calls: dict[int, dict[str, Any]] = {}
        self._finish: str | None = None

    def add(self, event: AnswerEvent) -> None:
        """Adds an event."""
        self._head = self._head or event.data
        for choice in event.data.get("choices") or []:
            delta = choice.get("delta") or {}
            text = delta.get("content") if self._chat else choice.get("text")
            if text:
                self._text.append(text)
            for call in delta.get("tool_calls") or []:
                self._add_tool_call(call)
            self._finish = choice.get("finish_reason") or self._finish

    def body(self, usage: dict[str, int]) -> dict[str, Any]:
        """Returns the complete answer."""
        text = "".join(self._text)
        choice: dict[str, Any] = {"index": 0, "finish_reason": self._finish}
        if self._chat:
            message: dict[str, Any] = {"role": "assistant", "content": text}
            if self._tool_calls:
                message["tool_calls"] = list(self._tool_calls.values())
                message["content"] = text or None
            choice["message"] = message
        else:
            choice["text"] = text
        choice["logprobs"] = None
        kind = "chat.completion" if self._chat else "text_completion"
        return {
            "id": self._head.get("id", ""),
            "object": kind,
            "created": self._head.get("created", int(time.time())),
            "model": self._request.body["model"],
            "choices": [choice],
            "usage": usage,
        }

    def _add_tool_call(self, part: dict[str, Any]) -> None:
        index = part.get("index", 0)
        whole = self._tool_calls.setdefault(
            index,
            {
                "id": part.get("id"),
                "type": "function",
                "function": {"name": "", "arguments": ""},
            },
        )
        function = part.get("function") or {}
        whole["function"]["name"] += function.get("name") or ""
        whole["function"]["arguments"] += function.get("arguments") or ""


def error_body(exc: RelayError) -> dict[str, Any]:
    """Returns the response body of an error, in OpenAI's format."""
    return {
        "error": {
            "message": f"{exc.message}. {exc.remedy}",
            "type": exc.kind,
            "code": exc.code,
            "param": None,
            "ran": exc.ran,
            "remedy": exc.remedy,
        }
    }


def error_response(exc: RelayError) -> Response:
    """Returns the response for an error."""
    headers = {RAN_HEADER: exc.ran}
    if exc.retry_s is not None:
        headers["retry-after"] = str(max(1, math.ceil(exc.retry_s)))
        headers["retry-after-ms"] = str(math.ceil(exc.retry_s * 1000))
    ticket = getattr(exc, "ticket", "")
    if ticket:
        headers[TICKET_HEADER] = ticket
    return JSONResponse(error_body(exc), exc.status, headers)


_STREAM_START = {
    "type": "http.response.start",
    "status": 200,
    "headers": [
        (b"content-type", b"text/event-stream; charset=utf-8"),
        (b"cache-control", b"no-cache"),
    ],
}


def _body_message(body: bytes, *, last: bool = False) -> dict[str, Any]:
    return {"type": "http.response.body", "body": body, "more_body": not last}


def _encode_event(event: AnswerEvent) -> bytes:
    data = msgspec.json.encode(event.data)
    if not event.resume_point:
        return b"data: " + data + b"\n\n"
    return b"id: %s\ndata: %s\n\n" % (event.resume_point.encode(), data)
