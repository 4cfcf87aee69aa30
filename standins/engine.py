"""Stand-in for a model engine with continuous batching.

Each step produces one token for every running stream and takes longer the more
streams run. Prompts are cached in blocks, up to a maximum number of blocks. A
token depends only on the prompt and its index in the answer, so another engine
continues an answer with the same tokens.
"""

import asyncio
import collections
import dataclasses
import json
import re
import time
from collections.abc import AsyncIterator

import httpcore
import xxhash
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, StreamingResponse
from starlette.routing import Route

from standins.common import (
    make_parser,
    refusal_headers,
    serve,
    set_faults,
)

BLOCK_CHARS = 256
CHARS_PER_TOKEN = 4
ABANDONED_STREAM_TTL_S = 10.0
MAX_EVENTS = 1000
NEARLY_FULL = 0.85
"""Share of the slots in use above which `--full-factor` applies."""

_ANSWER_TOKENS = re.compile(r"(?: t[0-9a-f]{4})+$")
_LENGTH_MARKER = re.compile(r"\[len=(\d+)\]")


@dataclasses.dataclass
class EngineFaults:
    """Active faults; POST /faults sets the fields that its body names.

    Attributes:
        slow_factor: Multiplier of the step time.
        leaving: Refuse new requests, as a server that is shutting down does.
        hide_leaving: Leave `leaving` out of the load report.
        announce: Serve requests, and announce the shutdown in the answers.
        refuse: Number of upcoming requests that are refused before they run.
        pause: Value of Retry-After in these refusals; empty for none.
        cut: Number of frames, over all streams, after which a connection is
            cut; the stream itself is kept. 0 disables the fault.
        forget: End and remove a stream whose connection was cut by `cut`.
        load_lag_s: Age of the load reports in seconds.
        duplicate_frames: Send every frame twice.
        crossed_frames: Send a frame of another stream before every frame.
        drop_events: Leave out cache events; their sequence numbers are used
            up all the same.
        stall: Stop computing steps.
        cancel_delay_s: Time until a cancellation takes effect.
        cancel_reason: Finish reason sent after a cancellation; empty for none.
    """

    slow_factor: float = 1.0
    leaving: bool = False
    hide_leaving: bool = False
    announce: bool = False
    refuse: int = 0
    pause: str = ""
    cut: int = 0
    forget: bool = False
    load_lag_s: float = 0.0
    duplicate_frames: bool = False
    crossed_frames: bool = False
    drop_events: bool = False
    stall: bool = False
    cancel_delay_s: float = 0.0
    cancel_reason: str = ""


@dataclasses.dataclass
class Stream:
    """An answer that is being generated.

    Attributes:
        base_prompt: Prompt without the answer tokens at its end.
        start: Number of answer tokens at the end of the prompt.
        length: Number of tokens of the answer, with those in the prompt.
        blocks: Hashes of the prompt's blocks.
        tokens: Tokens generated here.
        finish: Finish reason; empty while the answer is incomplete.
        readers: Number of connections that read the stream.
        unread_since: When a connection last closed or the stream ended; 0
            before that.
        changed: Set at the next token or at the end of the stream.
        prefill_remaining_s: Prefill time not yet charged to a step, in seconds.
    """

    id: str
    base_prompt: str
    start: int
    length: int
    priority: int
    prompt_tokens: int
    blocks: list[int]
    chat: bool
    model: str
    tokens: list[str] = dataclasses.field(default_factory=list)
    finish: str = ""
    cancelled: bool = False
    readers: int = 0
    unread_since: float = 0.0
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    prefill_remaining_s: float = 0.0

    def wake_readers(self) -> None:
        """Wakes the connections that wait for a token."""
        self.changed.set()
        self.changed = asyncio.Event()


class Engine:
    """Generates the tokens of all running streams, one step at a time."""

    def __init__(
        self,
        models: list[str],
        slots: int,
        step_s: float,
        step_per_stream_s: float,
        prefill_s_per_token: float,
        cache_blocks: int,
        *,
        checks_fencing: bool,
        weights: str,
        speed: float = 1.0,
        full_factor: float = 1.0,
    ):
        self._weights = weights
        self.faults = EngineFaults()
        self._models = models
        self._slots = slots
        self._step_s = step_s
        self._step_per_stream_s = step_per_stream_s
        self._prefill_s_per_token = prefill_s_per_token
        self._cache_blocks = cache_blocks
        self._checks_fencing = checks_fencing
        self._speed = speed
        self._full_factor = full_factor
        self._fence = 0
        self._state = {"model": "", "version": "", "adapter": "", "role": ""}
        self._orders: list[dict] = []
        self._streams: dict[str, Stream] = {}
        self._waiting: list[Stream] = []
        self._running: list[Stream] = []
        self._cache: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._events: collections.deque = collections.deque(maxlen=MAX_EVENTS)
        self._sequence = 0
        self._journal: dict[str, dict] = {}
        self._work = asyncio.Event()
        self._loads: collections.deque = collections.deque(maxlen=1000)
        self._step_task: asyncio.Task | None = None
        self._last_step_s = step_s
        self._frames_sent = 0
        self._refused = 0
        self._app = Starlette(
            routes=[
                Route("/v1/chat/completions", self.chat, methods=["POST"]),
                Route("/v1/completions", self.text, methods=["POST"]),
                Route("/v1/streams/{id}", self.resume, methods=["GET"]),
                Route("/v1/streams/{id}", self.cancel, methods=["DELETE"]),
                Route("/v1/orders", self.order, methods=["POST"]),
                Route("/v1/state", self.state, methods=["GET"]),
                Route("/cache_events", self.events, methods=["GET"]),
                Route("/load", self.load, methods=["GET"]),
                Route("/journal", self.journal, methods=["GET"]),
            ]
        )

    async def __call__(self, scope, receive, send) -> None:
        """Serves one request."""
        if scope["type"] != "http":
            return
        if self._step_task is None:
            self._step_task = asyncio.create_task(self._run_steps())
        if scope["path"] == "/faults":
            await set_faults(self.faults, receive, scope, send)
            self._work.set()
            return
        await self._app(scope, receive, send)

    async def chat(self, request: Request):
        """Starts a chat completion."""
        body = await request.json()
        messages = body["messages"]
        text = chat_prompt(messages, bool(body.get("continue_final_message")))
        return self._start(request, body, text, chat=True)

    async def text(self, request: Request):
        """Starts a text completion."""
        body = await request.json()
        return self._start(request, body, body["prompt"], chat=False)

    async def resume(self, request: Request):
        """Sends a stream's frames from an offset on."""
        stream = self._streams.get(request.path_params["id"])
        if stream is None:
            return JSONResponse({"error": {"message": "no such stream"}}, 404)
        offset = int(request.query_params.get("from", "0"))
        return self._stream_response(stream, offset)

    async def cancel(self, request: Request) -> JSONResponse:
        """Cancels a stream."""
        await asyncio.sleep(self.faults.cancel_delay_s)
        stream = self._streams.get(request.path_params["id"])
        if stream is not None:
            self._end_stream(stream, "cancelled")
        return JSONResponse({"cancelled": stream is not None})

    async def order(self, request: Request) -> JSONResponse:
        """Executes an order; if tokens are checked, refuses an outdated one."""
        body = await request.json()
        fence = body["fence"]
        if self._checks_fencing and fence < self._fence:
            return JSONResponse({"fence": self._fence}, 409)
        self._fence = max(fence, self._fence)
        if not await self._load_weights(body["state"]):
            return JSONResponse({"error": "weights refused"}, 503)
        self._state.update(body["state"])
        self._orders.append(body)
        return JSONResponse({"state": self._state})

    async def _load_weights(self, state: dict) -> bool:
        if not self._weights:
            return True
        url = f"{self._weights}/v1/weights/{state['model']}"
        async with httpcore.AsyncConnectionPool() as pool:
            response = await pool.request("GET", url)
        return response.status == 200

    async def state(self, request: Request) -> JSONResponse:
        """Returns the state set by orders, the orders, the refusal count."""
        del request
        return JSONResponse(
            {
                "state": self._state,
                "fence": self._fence,
                "orders": self._orders,
                "refused": self._refused,
            }
        )

    async def events(self, request: Request) -> JSONResponse:
        """Returns cache events after a sequence number."""
        after = int(request.query_params.get("after", "-1"))
        events = [item for item in self._events if item["sequence"] > after]
        return JSONResponse({"events": events})

    async def load(self, request: Request) -> JSONResponse:
        """Returns a load report that is `load_lag_s` old."""
        del request
        now = time.monotonic()
        self._record_load(now)
        report = self._loads[0]
        for item in self._loads:
            if item["at"] <= now - self.faults.load_lag_s:
                report = item
        return JSONResponse(
            {
                "running": report["running"],
                "waiting": report["waiting"],
                "leaving": self.faults.leaving and not self.faults.hide_leaving,
                "step_s": report["step_s"],
                "age_s": now - report["at"],
            }
        )

    async def journal(self, request: Request) -> JSONResponse:
        """Returns all accepted attempts with their generated tokens."""
        del request
        return JSONResponse({"attempts": list(self._journal.values())})

    def _start(self, request: Request, body: dict, text: str, *, chat: bool):
        if self.faults.leaving:
            self._refused += 1
            headers = {"x-not-run": "1", "x-leaving": "1"}
            return JSONResponse({"leaving": True}, 503, headers)
        if self.faults.refuse > 0:
            self._refused += 1
            self.faults.refuse -= 1
            return JSONResponse(
                {"refused": True}, 503, refusal_headers(self.faults.pause)
            )
        if body.get("model") not in self._models:
            message = f"no model {body.get('model')!r}"
            return JSONResponse({"error": {"message": message}}, 404)
        stream = self._new_stream(request, body, text, chat=chat)
        self._streams[stream.id] = stream
        self._journal[stream.id] = {
            "id": stream.id,
            "prompt": xxhash.xxh64_hexdigest(stream.base_prompt.encode()),
            "tokens": 0,
            "ended": "",
        }
        if stream.start >= stream.length:
            # The prompt already holds the complete answer.
            self._end_stream(stream, "stop")
            return self._stream_response(stream, 0)
        self._waiting.append(stream)
        self._waiting.sort(key=lambda item: item.priority)
        self._work.set()
        return self._stream_response(stream, 0)

    def _new_stream(
        self, request: Request, body: dict, text: str, *, chat: bool
    ) -> Stream:
        done = _ANSWER_TOKENS.search(text)
        base_prompt = text[: done.start()] if done else text
        start = len(done.group().split()) if done else 0
        length = answer_length(base_prompt)
        token_limit = body.get("max_completion_tokens") or body.get(
            "max_tokens"
        )
        if token_limit:
            length = min(length, start + token_limit)
        blocks = block_hashes(text)
        cached = 0
        for block in blocks:
            if block not in self._cache:
                break
            cached += 1
        uncached = max(0, len(text) - cached * BLOCK_CHARS)
        return Stream(
            request.headers.get("x-request-id", ""),
            base_prompt,
            start,
            length,
            int(body.get("priority", 0)),
            len(text) // CHARS_PER_TOKEN,
            blocks,
            chat,
            body["model"],
            prefill_remaining_s=uncached
            / CHARS_PER_TOKEN
            * self._prefill_s_per_token,
        )

    def _stream_response(
        self, stream: Stream, offset: int
    ) -> StreamingResponse:
        return StreamingResponse(
            self._frames_of(stream, offset),
            headers={"x-leaving": "1"} if self.faults.announce else None,
            media_type="text/event-stream",
        )

    async def _frames_of(
        self, stream: Stream, offset: int
    ) -> AsyncIterator[bytes]:
        stream.readers += 1
        try:
            while not stream.cancelled:
                changed = stream.changed
                while offset < len(stream.tokens):
                    offset += 1
                    for frame in self._frames_with_faults(stream, offset):
                        yield frame
                    self._cut_if_due(stream)
                if stream.finish:
                    yield _token_frame(stream, offset, "", stream.finish)
                    yield _usage_frame(stream)
                    yield b"data: [DONE]\n\n"
                    return
                await changed.wait()
            if self.faults.cancel_reason:
                reason = self.faults.cancel_reason
                yield _token_frame(stream, offset, "", reason)
                yield b"data: [DONE]\n\n"
        finally:
            stream.readers -= 1
            stream.unread_since = time.monotonic()

    def _frames_with_faults(self, stream: Stream, offset: int) -> list[bytes]:
        frame = _token_frame(stream, offset, stream.tokens[offset - 1], None)
        frames = [frame]
        if self.faults.duplicate_frames:
            frames.append(frame)
        if self.faults.crossed_frames:
            other = dataclasses.replace(stream, id="another-request")
            frames.insert(0, _token_frame(other, offset, " foreign", None))
        return frames

    def _cut_if_due(self, stream: Stream) -> None:
        self._frames_sent += 1
        if self.faults.cut and self._frames_sent >= self.faults.cut:
            self.faults.cut = 0
            self._frames_sent = 0
            if self.faults.forget:
                self._end_stream(stream, "forgotten")
                self._streams.pop(stream.id, None)
            raise ConnectionError("connection cut by fault injection")

    async def _run_steps(self) -> None:
        while True:
            self._admit()
            if not self._running or self.faults.stall:
                self._work.clear()
                await self._work.wait()
                continue
            duration_s = self._step_duration_s()
            await asyncio.sleep(duration_s)
            self._step(duration_s)

    def _step_duration_s(self) -> float:
        duration_s = self._step_s + self._step_per_stream_s * len(self._running)
        for stream in self._running:
            duration_s += stream.prefill_remaining_s
            stream.prefill_remaining_s = 0
        if len(self._running) > NEARLY_FULL * self._slots:
            duration_s *= self._full_factor
        return duration_s * self.faults.slow_factor / self._speed

    def _step(self, duration_s: float) -> None:
        for stream in list(self._running):
            index = stream.start + len(stream.tokens)
            stream.tokens.append(token_at(stream.base_prompt, index))
            self._journal[stream.id]["tokens"] += 1
            if index + 1 >= stream.length:
                self._end_stream(stream, "stop")
            stream.wake_readers()
        self._last_step_s = duration_s
        now = time.monotonic()
        self._record_load(now)
        self._end_abandoned(now)

    def _admit(self) -> None:
        while self._waiting and len(self._running) < self._slots:
            stream = self._waiting.pop(0)
            self._running.append(stream)
            self._add_to_cache(stream.blocks)

    def _add_to_cache(self, blocks: list[int]) -> None:
        stored = [block for block in blocks if block not in self._cache]
        removed = []
        for block in blocks:
            self._cache[block] = None
            self._cache.move_to_end(block)
        while len(self._cache) > self._cache_blocks:
            removed.append(self._cache.popitem(last=False)[0])
        if not stored and not removed:
            return
        event = {"sequence": self._sequence}
        event.update(stored=stored, removed=removed)
        self._sequence += 1
        if not self.faults.drop_events:
            self._events.append(event)

    def _end_stream(self, stream: Stream, why: str) -> None:
        if stream.finish or stream.cancelled:
            return
        if why == "stop":
            stream.finish = why
        else:
            stream.cancelled = True
        self._journal[stream.id]["ended"] = why
        if stream in self._running:
            self._running.remove(stream)
        if stream in self._waiting:
            self._waiting.remove(stream)
        stream.unread_since = time.monotonic()
        stream.wake_readers()
        self._work.set()

    def _end_abandoned(self, now: float) -> None:
        for stream in list(self._streams.values()):
            is_unread = not stream.readers and stream.unread_since
            if is_unread and now - stream.unread_since > ABANDONED_STREAM_TTL_S:
                self._end_stream(stream, "abandoned")
                del self._streams[stream.id]

    def _record_load(self, now: float) -> None:
        self._loads.append(
            {
                "at": now,
                "running": len(self._running),
                "waiting": len(self._waiting),
                "step_s": self._last_step_s if self._running else 0.0,
            }
        )


def chat_prompt(messages: list[dict], continues: bool = False) -> str:
    """Returns the prompt of a chat.

    Args:
        messages: Messages of the chat.
        continues: Whether the answer continues the last message.
    """
    closed = messages[:-1] if continues else messages
    text = "\n".join(f"{item['role']}: {item['content']}" for item in closed)
    return text + messages[-1]["content"] if continues else text


def token_at(base_prompt: str, index: int) -> str:
    """Returns the token at an index of a prompt's answer."""
    return f" t{_hash(f'{base_prompt}|{index}') & 0xFFFF:04x}"


def answer_length(base_prompt: str) -> int:
    """Returns the answer's token count: the prompt's `[len=N]`, or by hash."""
    marker = _LENGTH_MARKER.search(base_prompt)
    if marker:
        return int(marker.group(1))
    return 5 + _hash(base_prompt) % 40


def expected_answer(base_prompt: str, max_tokens: int = 1 << 30) -> str:
    """Returns the complete, correct answer to a prompt."""
    length = min(answer_length(base_prompt), max_tokens)
    return "".join(token_at(base_prompt, index) for index in range(length))


def block_hashes(text: str) -> list[int]:
    """Returns the chained hashes of a prompt's full blocks."""
    state = xxhash.xxh64()
    hashes = []
    for start in range(0, len(text) - BLOCK_CHARS + 1, BLOCK_CHARS):
        state.update(text[start : start + BLOCK_CHARS].encode())
        hashes.append(state.intdigest())
    return hashes


def _hash(text: str) -> int:
    return xxhash.xxh32_intdigest(text.encode())


def _token_frame(
    stream: Stream, offset: int, text: str, finish: str | None
) -> bytes:
    choice: dict = {"index": 0, "finish_reason": finish}
    if stream.chat:
        choice["delta"] = {"content": text} if text else {}
        if offset == 1:
            choice["delta"]["role"] = "assistant"
    else:
        choice["text"] = text
    return _encode_event(stream, [choice], None, offset)


def _usage_frame(stream: Stream) -> bytes:
    count = len(stream.tokens)
    usage = {
        "prompt_tokens": stream.prompt_tokens,
        "completion_tokens": count,
        "total_tokens": stream.prompt_tokens + count,
    }
    return _encode_event(stream, [], usage, count)


def _encode_event(
    stream: Stream, choices: list, usage: dict | None, offset: int
) -> bytes:
    prefix = "chatcmpl" if stream.chat else "cmpl"
    kind = "chat.completion.chunk" if stream.chat else "text_completion"
    body = {
        "id": f"{prefix}-{stream.id}",
        "object": kind,
        "created": 0,
        "model": stream.model,
        "choices": choices,
        "usage": usage,
    }
    return f"id: {offset}\ndata: {json.dumps(body)}\n\n".encode()


def main() -> None:
    """Runs the engine stand-in."""
    args = make_parser("Model engine stand-in")
    args.add_argument("--models", default="model")
    args.add_argument("--slots", type=int, default=8)
    args.add_argument("--step-ms", type=float, default=5.0)
    args.add_argument("--step-per-stream-ms", type=float, default=0.2)
    args.add_argument("--prefill-ms-per-token", type=float, default=0.02)
    args.add_argument("--cache-blocks", type=int, default=500)
    args.add_argument("--checks-fencing", action="store_true")
    args.add_argument("--speed", type=float, default=1.0)
    args.add_argument("--full-factor", type=float, default=1.0)
    args.add_argument("--weights", default="", help="URL of the weight store")
    options = args.parse_args()
    engine = Engine(
        options.models.split(","),
        options.slots,
        options.step_ms / 1000,
        options.step_per_stream_ms / 1000,
        options.prefill_ms_per_token / 1000,
        options.cache_blocks,
        checks_fencing=options.checks_fencing,
        weights=options.weights,
        speed=options.speed,
        full_factor=options.full_factor,
    )
    serve(engine, options.address)


if __name__ == "__main__":
    main()
