"""Stand-in for the platform's backend servers: model engines and services.

It records every request that it runs, with the header fields, so that tests
can check what the router sent.
"""

import asyncio
import dataclasses
import enum
import json
import random
import re
from collections.abc import Callable, Iterator

from standins import rawrequests
from standins.connectionanswers import ConnectionAnswer

EVENT_INTERVAL_S = 0.01
NEARLY_FULL = 0.85
PIECE_BYTES = 64 * 1024
FIRST_VERSION = "v1"
"""Software version whose events do not name it."""

VERSION_MARK = b"@"
"""Precedes the version in an event of another one."""


class Break(enum.Enum):
    """Where and how a response breaks off."""

    AFTER_HEAD = "its connection ends after the head"
    WITHIN_PART = "its connection ends within an event, is reset within a body"
    RESET_AFTER_HEAD = "its connection is reset after the head"
    RESET_AFTER_PART = "its connection is reset after a whole event"


@dataclasses.dataclass
class ServerFaults:
    """Active faults.

    Attributes:
        refuse: Number of upcoming requests that are rejected before they
            run.
        fail: Number of upcoming requests that run and are answered with 500.
        failure: Body of such an answer.
        mute: Number of upcoming requests that are not answered.
        break_after: Number of events after which a stream ends without its
            final chunk; 0 disables the fault.
        cross: Number of upcoming requests answered with another's id.
        tear_after: Number of events after which a stream ends with its final
            chunk, but within an event; 0 disables the fault.
        torn: Whether a stream that `break_after` ends is cut within an event.
        tick_s: Time between two events, in seconds.
        fatal: Body of the requests that crash the server; empty for none.
        fatal_part: Part of a prompt that crashes the server once it has begun
            to write; empty for none. The last part of a prompt never does.
        fatal_after: Number of events that are sent before such a crash.
        limit: Value of the Server-Limit header field, in requests per second;
            empty for no such field.
        leaving: Whether responses announce that the server shuts down.
        pause: Value of the Retry-After header field of rejections, in seconds;
            empty for no such field.
        speed: Lasting speed of the machine; 1.0 is usual.
        slowdown: How long work takes there at this moment, beyond its lasting
            speed; 1.0 is usual.
        slots: Requests that it runs well at once, as it states.
        full_factor: Slowdown while more than `NEARLY_FULL` of the slots are in
            use.
        states_slowdown: Whether responses state the slowdown.
        load: Value of the Instance-Load header field, if not the true one.
        body_bytes: Size of long answers.
        framed: Whether long answers state their length.
        cut_after: Bytes after which a long answer breaks off; 0 disables the
            fault.
        event_bytes: Size of the data of each event; 0 for a few bytes.
        event_tokens: Tokens in an event of a stream at most; each event holds
            as many as the server happens to have made.
        capacity: Requests that it runs at once; it rejects others. 0 for any
            number.
        brittle: Value of the Server-Brittle header field: the server crashes
            if it rejects more requests in a second. 0 for no such field.
        silent: Whether it works and sends nothing meanwhile.
        refuse_moves: Number of upcoming orders to copy a run that find no room
            at their target; a final one stops the run all the same.
        lose_moves: Number of upcoming orders to stop a run that are carried out
            while their replies are lost.
        refuse_copies: Number of upcoming requests that continue from a copy
            and are rejected; the copy stays.
        move_s: Time that a copy takes, in seconds.
        reject_after_s: Time after which rejections are sent, in seconds.
        by_connection: Whether successful answers have neither a length nor
            chunks and end with their connection.
        breaks: Number of upcoming answers that break off, if they are
            `by_connection`.
        break_as: How they break off.
    """

    refuse: int = 0
    fail: int = 0
    failure: bytes = b"failed"
    mute: int = 0
    break_after: int = 0
    cross: int = 0
    tear_after: int = 0
    torn: bool = False
    tick_s: float = EVENT_INTERVAL_S
    fatal: bytes = b""
    fatal_part: str = ""
    fatal_after: int = 0
    limit: bytes = b""
    leaving: bool = False
    pause: bytes = b""
    speed: float = 1.0
    slowdown: float = 1.0
    slots: int = 8
    full_factor: float = 1.0
    states_slowdown: bool = False
    load: bytes = b""
    body_bytes: int = 1 << 20
    framed: bool = True
    cut_after: int = 0
    event_bytes: int = 0
    event_tokens: int = 1
    capacity: int = 0
    brittle: int = 0
    silent: bool = False
    refuse_moves: int = 0
    lose_moves: int = 0
    refuse_copies: int = 0
    move_s: float = 0.0
    reject_after_s: float = 0.0
    by_connection: bool = False
    breaks: int = 0
    break_as: Break = Break.AFTER_HEAD


@dataclasses.dataclass
class ServedRequest:
    """One request that the server ran.

    Attributes:
        attempt: Id of the attempt.
        headers: Header fields.
        target: Target as received.
        body: Body.
        method: Method.
        fields: Fields of its head as received.
        ended: Whether the complete answer was sent.
        moved: Whether it was stopped to be continued from a copy.
        copies: Number of copies made of it.
        began_at: Time at which the server began to work on it.
        stopped_at: Time at which it stopped; infinite while it works.
        broke_off: Whether the server ended the answer without being asked to.
        last_token: Number of the last token that the server has sent.
        version: Version of the software that ran it.
        events: First and last token of each event that the server has sent.
    """

    attempt: str
    headers: dict[str, str]
    target: str
    body: bytes
    method: str = ""
    fields: list[tuple[bytes, bytes]] = dataclasses.field(default_factory=list)
    ended: bool = False
    moved: bool = False
    copies: int = 0
    began_at: float = 0.0
    stopped_at: float = float("inf")
    broke_off: bool = False
    last_token: int = 0
    version: str = FIRST_VERSION
    events: list[tuple[int, int]] = dataclasses.field(default_factory=list)


class PlatformServer:
    """A backend server, from its start to its end.

    The answer to a path that ends in "/stream" has as many events as the output
    tokens in the `Token-Usage` header field, and one to a path that ends in
    "/long" has the `body_bytes` of the faults. Other answers are a short text.

    Events name the version of the software that wrote them, unless it is
    `FIRST_VERSION`.

    Attributes:
        name: Name of the server.
        version: Version of its software.
        faults: Active faults.
        journal: Requests that it ran.
        arrival_times: Times at which requests arrived, also rejected ones.
        rejection_times: Times at which requests were rejected.
        arrivals: Times and attempts of the requests that arrived.
        announcements: Attempts whose answers announced the shutdown.
        pause_requests: Times and attempts of the rejections that requested a
            pause, with its length in seconds.
        max_running: Maximum number of requests that ran at once.
        running: Number of requests that run now.
        move_count: Number of requests that were stopped to be continued.
        copy_count: Number of copies made, of running and of stopped requests.
        killed_at: Time at which it was ended at once; infinite if it was not.
        on_crash: Called when a request crashes the server.
    """

    def __init__(self, name: str, version: str = FIRST_VERSION):
        self.name = name
        self.version = version
        self.faults = ServerFaults()
        self.journal: list[ServedRequest] = []
        self.arrival_times: list[float] = []
        self.rejection_times: list[float] = []
        self.arrivals: list[tuple[float, str]] = []
        self.announcements: list[str] = []
        self.pause_requests: list[tuple[float, str, float]] = []
        self.max_running = 0
        self.running = 0
        self.move_count = 0
        self.copy_count = 0
        self.killed_at = float("inf")
        self.on_crash: Callable[[], None] = lambda: None

    async def __call__(self, scope, receive, send) -> None:
        """Serves one request."""
        if scope["type"] != "http":
            return
        headers = {
            key.decode(): value.decode("latin-1")
            for key, value in scope["headers"]
        }
        body = await _read_body(receive)
        if body is None:
            return
        attempt = headers.get("attempt-id", "")
        now = asyncio.get_running_loop().time()
        self.arrival_times.append(now)
        if attempt:
            self.note_arrival(now, attempt)
        if scope["path"] == "/-/kv-move":
            await self._handle_move(send, json.loads(body))
        elif scope["path"].startswith("/-/kv-handle/"):
            await _send_json(send, 200, {})
        elif headers.get("expect-instance", self.name) != self.name:
            await self._reject(send, 421, attempt)
        elif "kv-from" in headers and self.faults.refuse_copies:
            self.faults.refuse_copies -= 1
            self.rejection_times.append(now)
            await self._reject(send, 503, attempt)
        elif (
            "kv-from" not in headers
            and 0 < self.faults.capacity <= self.running
        ):
            await self._reject_for_load(send, attempt)
        elif self.faults.refuse:
            self.faults.refuse -= 1
            self.rejection_times.append(self.arrival_times[-1])
            await self._reject(send, 503, attempt)
        else:
            ran = ServedRequest(
                attempt,
                headers,
                scope[rawrequests.TARGET].decode(),
                body,
                scope["method"],
                scope[rawrequests.FIELDS],
                began_at=now,
                version=self.version,
            )
            self.note_run(ran)
            await self._run_request(scope, receive, send, ran)

    def note_arrival(self, at: float, attempt: str) -> None:
        """Notes that a request has arrived."""
        self.arrivals.append((at, attempt))

    def note_run(self, ran: ServedRequest) -> None:
        """Notes that a run begins."""
        self.journal.append(ran)

    def note_event(self, ran: ServedRequest, tokens: range) -> None:
        """Notes that an event of a run is sent now."""
        ran.last_token = tokens[-1]
        ran.events.append((tokens[0], tokens[-1]))

    def note_end(self, ran: ServedRequest) -> None:
        """Notes that a run has stopped, or is moved."""

    async def _reject_for_load(self, send, attempt: str) -> None:
        now = asyncio.get_running_loop().time()
        self.rejection_times.append(now)
        recent = sum(now - at < 1.0 for at in self.rejection_times)
        if 0 < self.faults.brittle < recent:
            self.on_crash()
            return
        await self._reject(send, 503, attempt)

    async def _handle_move(self, send, order: dict) -> None:
        ran = self._run_to_move(order["id"])
        if ran is None:
            await _send_json(send, 404, {})
            return
        if order["final"] and not ran.moved:
            ran.moved = True
            self.note_end(ran)
            self.move_count += 1
        await asyncio.sleep(self.faults.move_s)
        if self.faults.refuse_moves:
            self.faults.refuse_moves -= 1
            kept = {"handle": "h1"} if order["final"] else {}
            await _send_json(send, 503, kept)
            return
        ran.copies += 1
        self.copy_count += 1
        if order["final"] and self.faults.lose_moves:
            self.faults.lose_moves -= 1
            return
        await _send_json(send, 200, {"handle": "h1", "created": 0})

    def _run_to_move(self, attempt: str) -> ServedRequest | None:
        """Returns the latest run of a request that has not ended."""
        for ran in reversed(self.journal):
            if ran.attempt == attempt and not ran.ended:
                return ran
        return None

    async def _run_request(
        self, scope, receive, send, ran: ServedRequest
    ) -> None:
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        gone = asyncio.create_task(_wait_for_disconnect(receive))
        work = asyncio.create_task(self._send_answer(scope, send, ran))
        ran.began_at = asyncio.get_running_loop().time()
        try:
            await asyncio.wait(
                {gone, work}, return_when=asyncio.FIRST_COMPLETED
            )
            ran.broke_off |= work.done() and not (ran.ended or ran.moved)
        finally:
            self.running -= 1
            ran.stopped_at = asyncio.get_running_loop().time()
            self.note_end(ran)
            gone.cancel()
            work.cancel()

    async def _send_answer(self, scope, send, ran: ServedRequest) -> None:
        faults = self.faults
        await self._wait_while_silent()
        if self._is_fatal(ran) and not faults.fatal_after:
            self.on_crash()
            await asyncio.sleep(3600)
        if faults.mute:
            faults.mute -= 1
            await asyncio.sleep(3600)
        if faults.fail:
            faults.fail -= 1
            await self._send_complete(send, 500, ran, self.faults.failure)
            return
        if faults.by_connection and not scope["path"].endswith("/long"):
            await self._send_by_connection(scope, send, ran)
            return
        if scope["path"].endswith("/stream"):
            await self._send_stream(send, ran)
            return
        await asyncio.sleep(EVENT_INTERVAL_S * self._work_factor())
        if scope["path"].endswith("/long"):
            await self._send_long(send, ran)
            return
        await self._send_complete(
            send, 200, ran, b"answer to " + ran.attempt.encode()
        )

    async def _wait_while_silent(self) -> None:
        while self.faults.silent:
            await asyncio.sleep(EVENT_INTERVAL_S)

    async def _send_stream(self, send, ran: ServedRequest) -> None:
        await send(
            {
                "type": "http.response.start",
                "status": 200,
                "headers": [
                    (b"content-type", b"text/event-stream"),
                    *self._response_headers(ran.attempt),
                ],
            }
        )
        for tokens in self._events_of(ran):
            number = tokens[-1]
            await asyncio.sleep(self.faults.tick_s * self._work_factor())
            await self._wait_while_silent()
            if ran.moved:
                return
            if number > self.faults.fatal_after and self._is_fatal(ran):
                self.on_crash()
                await asyncio.sleep(3600)
            if self.faults.tear_after and number > self.faults.tear_after:
                await _send_chunk(send, b"id: %d\ndata: to" % number)
                ran.broke_off = True
                break
            if self.faults.break_after and number > self.faults.break_after:
                if self.faults.torn:
                    await _send_chunk(send, b"id: %d\ndata: to" % number)
                return
            self.note_event(ran, tokens)
            await _send_chunk(send, self._event(tokens))
        await send({"type": "http.response.body", "body": b""})
        ran.ended = True

    async def _send_by_connection(
        self, scope, send, ran: ServedRequest
    ) -> None:
        """Sends an answer whose end is that of its connection."""
        kind = self.faults.break_as if self.faults.breaks > 0 else None
        if kind is not None:
            self.faults.breaks -= 1
        is_stream = scope["path"].endswith("/stream")
        parts = [(range(0), b"answer to " + ran.attempt.encode())]
        if is_stream:
            parts = [(x, self._event(x)) for x in self._events_of(ran)]
        answer = ConnectionAnswer(send)
        answer.start(200, self._response_headers(ran.attempt))
        sent = False
        for tokens, part in parts:
            await asyncio.sleep(self.faults.tick_s * self._work_factor())
            await self._wait_while_silent()
            if ran.moved:
                # The stream is closed without its end.
                answer.end()
                return
            if kind in _BREAKS_AFTER_HEAD:
                break
            sent = True
            if kind is Break.WITHIN_PART:
                answer.write(part[: len(part) // 2])
                break
            if tokens:
                self.note_event(ran, tokens)
            answer.write(part)
            if kind is not None:
                break
        # Where a body that ends with its connection is not a stream of events,
        # only a reset shows that it was broken off.
        if kind in _RESETS or (kind is not None and sent and not is_stream):
            # Whatever was sent before is read before the reset.
            await asyncio.sleep(EVENT_INTERVAL_S)
            answer.reset()
            return
        answer.end()
        ran.ended = kind is None

    def _events_of(self, ran: ServedRequest) -> Iterator[range]:
        """Returns the numbers of the tokens of a run, by event."""
        numbers = _numbers_of(ran)
        while numbers:
            count = random.randint(1, max(1, self.faults.event_tokens))
            yield numbers[:count]
            numbers = numbers[count:]

    def _event(self, tokens: range) -> bytes:
        data = b" ".join(b"t%d" % number for number in tokens)
        data += b"." * self.faults.event_bytes
        if self.version != FIRST_VERSION:
            data += VERSION_MARK + self.version.encode()
        return b"id: %d\ndata: %b\n\n" % (tokens[-1], data)

    def _is_fatal(self, ran: ServedRequest) -> bool:
        fatal, part = self.faults.fatal, self.faults.fatal_part
        return bool(fatal and ran.body == fatal) or (
            bool(part) and part in _shared_parts_of(ran)
        )

    async def _send_long(self, send, ran: ServedRequest) -> None:
        faults = self.faults
        size = faults.body_bytes
        length = [(b"content-length", str(size).encode())]
        await send(
            {
                "type": "http.response.start",
                "status": 200,
                "headers": [
                    *(length if faults.framed else []),
                    *self._response_headers(ran.attempt),
                ],
            }
        )
        end = faults.cut_after or size
        for start in range(0, end, PIECE_BYTES):
            await _send_chunk(send, bytes(min(PIECE_BYTES, end - start)))
            # After a disconnect `send` does nothing and does not wait.
            await asyncio.sleep(0)
        if faults.cut_after:
            return
        await send({"type": "http.response.body", "body": b""})
        ran.ended = True

    async def _send_complete(
        self, send, status: int, ran: ServedRequest, body: bytes
    ) -> None:
        attempt = ran.attempt
        if self.faults.cross:
            self.faults.cross -= 1
            ran.broke_off = True
            attempt = "another"
            body = b"answer to another"
        await send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": [
                    (b"content-length", str(len(body)).encode()),
                    *self._response_headers(attempt),
                ],
            }
        )
        await send({"type": "http.response.body", "body": body})
        ran.ended = True

    async def _reject(self, send, status: int, attempt: str) -> None:
        await asyncio.sleep(self.faults.reject_after_s)
        headers = [(b"content-length", b"0"), *self._response_headers(attempt)]
        if status != 421:
            headers.append((b"not-executed", b"1"))
            if self.faults.pause:
                now = asyncio.get_running_loop().time()
                pause_s = float(self.faults.pause)
                self.pause_requests.append((now, attempt, pause_s))
                headers.append((b"retry-after", self.faults.pause))
        await send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": headers,
            }
        )
        await send({"type": "http.response.body", "body": b""})

    def _work_factor(self) -> float:
        """Returns how long work takes, relative to a usual server."""
        faults = self.faults
        full = self.running > NEARLY_FULL * faults.slots
        factor = faults.slowdown / faults.speed
        return factor * faults.full_factor if full else factor

    def _load(self) -> bytes:
        """Returns the statement about the load."""
        if self.faults.load or not self.faults.states_slowdown:
            return self.faults.load or b"1,0,8"
        slots = self.faults.slots
        waiting = max(0, self.running - slots)
        percent = round(100 * self.faults.slowdown)
        running = self.running - waiting
        return b"%d,%d,%d,%d" % (running, waiting, slots, percent)

    def _response_headers(self, attempt: str) -> list[tuple[bytes, bytes]]:
        limit = self.faults.limit
        brittle = self.faults.brittle
        if self.faults.leaving:
            self.announcements.append(attempt)
        return [
            (b"attempt-id", attempt.encode()),
            (b"server-signature", f"{self.name}.{attempt}".encode()),
            (b"instance-load", self._load()),
            *([(b"server-limit", limit)] if limit else []),
            *([(b"server-brittle", b"%d" % brittle)] if brittle else []),
            *([(b"server-leaving", b"1")] if self.faults.leaving else []),
        ]


_BREAKS_AFTER_HEAD = (Break.AFTER_HEAD, Break.RESET_AFTER_HEAD)
_RESETS = (Break.RESET_AFTER_HEAD, Break.RESET_AFTER_PART)


def _numbers_of(ran: ServedRequest) -> range:
    """Returns the numbers of the events of a run."""
    events = int(ran.headers.get("token-usage", "1,5").split(",")[1])
    return range(int(ran.headers.get("last-event-id", "0")) + 1, events + 1)


def _shared_parts_of(ran: ServedRequest) -> list[str]:
    """Returns the ids of the parts of a run's prompt, without the last."""
    entries = ran.headers.get("prefix-hash", "").split(",")[:-1]
    return [entry.partition(":")[0] for entry in entries]


async def _send_json(send, status: int, value: dict) -> None:
    body = json.dumps(value).encode()
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [(b"content-length", str(len(body)).encode())],
        }
    )
    await send({"type": "http.response.body", "body": body})


async def _send_chunk(send, data: bytes) -> None:
    await send({"type": "http.response.body", "body": data, "more_body": True})


async def _read_body(receive) -> bytes | None:
    """Returns the complete body; None if the client disconnects before."""
    parts = []
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return None
        parts.append(message.get("body", b""))
        if not message.get("more_body"):
            return b"".join(parts)


async def _wait_for_disconnect(receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass


def versions_in(body: bytes) -> set[str]:
    """Returns the software versions that wrote the events of a stream."""
    return {
        event.partition(VERSION_MARK)[2].decode() or FIRST_VERSION
        for event in body.split(b"\n\n")[:-1]
    }


def without_versions(body: bytes) -> bytes:
    """Returns a stream as servers of the first version would have sent it."""
    return re.sub(VERSION_MARK + rb"[^\n]*", b"", body)
