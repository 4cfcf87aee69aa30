"""Open-loop load generator that records the result of each request."""

import asyncio
import dataclasses
import json
import random
import time

import httpcore

from bench.mix import PlannedRequest, User
from standins.engine import chat_prompt, expected_answer

MAX_RETRIES = 3
MAX_RESUMES = 4
AVOID_S = 3.0
"""Time for which no requests go to an instance that failed to answer."""
GRACE_S = 20.0
TIMEOUT_S = 60.0


@dataclasses.dataclass
class RequestResult:
    """Result of one request, as its caller sees it.

    Attributes:
        planned: The request.
        first_s: Seconds from the planned send time to the first token; 0 if
            there was none.
        answer_s: Seconds from the planned send time to the end of the answer;
            0 if the answer was incomplete or wrong.
        whole: Whether the answer was complete and correct.
        wrong: Whether the answer ended normally but its text was wrong.
        status: Last HTTP status; 0 if the connection failed.
        tries: Number of times that the request was sent.
        resumes: Number of times that the request was sent again, to any
            instance, after a connection failure.
        text: Text received so far.
        event_id: Id of the last event received, from which to resume.
        gaps: Seconds between consecutive tokens.
    """

    planned: PlannedRequest
    first_s: float = 0.0
    answer_s: float = 0.0
    whole: bool = False
    wrong: bool = False
    status: int = 0
    tries: int = 0
    resumes: int = 0
    text: str = ""
    event_id: str = ""
    gaps: list[float] = dataclasses.field(default_factory=list)


class LoadGenerator:
    """Sends requests to randomly chosen instances.

    Args:
        user: User whose API keys the requests carry.
        urls: Addresses of the instances.
        seed: Seed of the choice of instances.
        retries_refused: Whether to retry a refused request with the ticket that
            came with the refusal.
    """

    def __init__(
        self, user: User, urls: list[str], seed: int, *, retries_refused: bool
    ):
        self._user = user
        self._urls = urls
        self._rng = random.Random(seed)
        self._retries_refused = retries_refused
        self._avoided_until: dict[str, float] = {}
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=2000, max_keepalive_connections=400
        )

    async def run(
        self, schedule: list[PlannedRequest], scale: float
    ) -> list[RequestResult]:
        """Sends each request at its planned time; returns all results.

        Args:
            schedule: Requests to send.
            scale: Factor on the planned times.
        """
        start = time.monotonic()
        results = [RequestResult(item) for item in schedule]
        async with asyncio.TaskGroup() as group:
            for item in results:
                delay = start + item.planned.at * scale - time.monotonic()
                if delay > 0:
                    await asyncio.sleep(delay)
                due = start + item.planned.at * scale
                group.create_task(self._send(item, due))
        await self._pool.aclose()
        return results

    async def _send(self, result: RequestResult, due: float) -> None:
        headers: dict[str, str] = {}
        retries_left = MAX_RETRIES * self._retries_refused
        while True:
            result.tries += 1
            retry_s = await self._attempt(result, due, headers)
            if result.status == 0 and result.resumes < MAX_RESUMES:
                # The connection failed: resume the stream, mostly at another
                # instance, since this one is avoided for a while.
                result.resumes += 1
                if result.event_id:
                    headers["last-event-id"] = result.event_id
                continue
            if retry_s is None or not retries_left:
                return
            retries_left -= 1
            await asyncio.sleep(retry_s)

    def _pick_url(self) -> str:
        now = time.monotonic()
        available = [
            url for url in self._urls if self._avoided_until.get(url, 0.0) < now
        ]
        return self._rng.choice(available or self._urls)

    async def _attempt(
        self, result: RequestResult, due: float, headers: dict[str, str]
    ) -> float | None:
        """Sends once; returns the delay of the retry, or None for no retry."""
        planned = result.planned
        body = {
            "model": planned.kind.model,
            "messages": [{"role": "user", "content": planned.prompt}],
            "stream": True,
        }
        content = json.dumps(body).encode()
        key = f"{self._user.key_prefix}-key-{planned.organisation:02d}"
        request_headers = {
            "authorization": f"Bearer {key}",
            "content-length": str(len(content)),
            "x-class": planned.kind.class_name,
            **headers,
        }
        if planned.kind.request_type:
            request_headers["x-request-type"] = planned.kind.request_type
        url = self._pick_url()
        timeout = dict.fromkeys(("connect", "read", "write", "pool"), TIMEOUT_S)
        try:
            async with self._pool.stream(
                "POST",
                url + "/v1/chat/completions",
                headers=request_headers,
                content=content,
                extensions={"timeout": timeout},
            ) as response:
                result.status = response.status
                if response.status == 200:
                    await self._read_stream(result, due, response, body)
                    return None
                await response.aread()
                return self._retry_delay_s(response, headers)
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ):
            result.status = 0
            self._avoided_until[url] = time.monotonic() + AVOID_S
            return None

    async def _read_stream(
        self, result: RequestResult, due: float, response, body
    ) -> None:
        done, last_token_at = False, 0.0
        buffer = b""
        async for part in response.aiter_stream():
            now = time.monotonic()
            buffer += part
            *events, buffer = buffer.split(b"\n\n")
            for event in events:
                head, _, line = event.rpartition(b"data: ")
                if head.startswith(b"id: "):
                    result.event_id = head[4:].strip().decode()
                if line == b"[DONE]":
                    done = True
                    continue
                for choice in json.loads(line).get("choices", []):
                    token = choice["delta"].get("content", "")
                    if token and not result.first_s:
                        result.first_s = now - due
                    elif token and last_token_at:
                        result.gaps.append(now - last_token_at)
                    last_token_at = now
                    result.text += token
        expected = expected_answer(chat_prompt(body["messages"]))
        result.whole = done and result.text == expected
        result.wrong = done and result.text != expected
        if result.whole:
            result.answer_s = time.monotonic() - due

    def _retry_delay_s(self, response, headers: dict[str, str]) -> float | None:
        if not self._retries_refused:
            return None
        found = dict(response.headers)
        ticket = found.get(b"x-return-ticket")
        if ticket is None:
            return None
        headers["x-return-ticket"] = ticket.decode()
        return int(found[b"retry-after-ms"]) / 1000
