"""Stand-in for the platform's backend servers: model engines and services.

It keeps a journal of what it ran, and of the header fields that came with
it, so that tests see what a server sees.
"""

import asyncio
import dataclasses
import json
from collections.abc import Callable

TICK_S = 0.01


@dataclasses.dataclass
class ServerFaults:
    """Faults in force.

    Attributes:
        refuse: Coming requests that are rejected before they run.
        fail: Coming requests that run and are answered with 500.
        mute: Coming requests that get no answer.
        break_after: Events after which the coming streams break off; 0 for
            never.
        cross: Coming requests whose answer names another request.
        tear_after: Events after which the coming streams end in order, but
            inside an event; 0 for never.
        torn: Whether a stream that breaks off ends inside an event.
        tick_s: Time between two events.
        fatal: Body of a request under which the server ends; empty for none.
        fatal_after: Events that such a request gets before the end.
        limit: Requests a second that it says it takes; empty if it says none.
    """

    refuse: int = 0
    fail: int = 0
    mute: int = 0
    break_after: int = 0
    cross: int = 0
    tear_after: int = 0
    torn: bool = False
    tick_s: float = TICK_S
    fatal: bytes = b""
    fatal_after: int = 0
    limit: bytes = b""


@dataclasses.dataclass
class Ran:
    """One request that the server ran.

    Attributes:
        attempt: Its id.
        headers: Its header fields.
        target: Path and query.
        body: Its body.
        ended: Whether it came to its end.
        moved: Whether it was stopped to go on elsewhere.
    """

    attempt: str
    headers: dict[str, str]
    target: str
    body: bytes
    ended: bool = False
    moved: bool = False


class PlatformServer:
    """One life of a server.

    A path that ends in "/stream" is answered with as many events as the
    output in `Token-Usage` says, all others with a short text.
    """

    def __init__(self, name: str):
        self.name = name
        self.faults = ServerFaults()
        self.journal: list[Ran] = []
        self.arrivals: list[float] = []
        self.most = 0
        self.running = 0
        self.moves = 0
        self.end: Callable[[], None] = lambda: None

    async def __call__(self, scope, receive, send) -> None:
        """Serves one request."""
        if scope["type"] != "http":
            return
        headers = {
            key.decode(): value.decode() for key, value in scope["headers"]
        }
        body = await _body(receive)
        if body is None:
            return
        attempt = headers.get("attempt-id", "")
        self.arrivals.append(asyncio.get_running_loop().time())
        if scope["path"] == "/-/kv-move":
            await self._move(send, json.loads(body))
        elif headers.get("expect-instance", self.name) != self.name:
            await self._reject(send, 421, attempt)
        elif self.faults.refuse:
            self.faults.refuse -= 1
            await self._reject(send, 503, attempt)
        else:
            target = scope["raw_path"].decode()
            if scope["query_string"]:
                target += "?" + scope["query_string"].decode()
            ran = Ran(attempt, headers, target, body)
            self.journal.append(ran)
            await self._run(scope, receive, send, ran)

    async def _move(self, send, order: dict) -> None:
        for ran in self.journal:
            if ran.attempt == order["id"] and not ran.ended:
                ran.moved = True
                self.moves += 1
                await _json(send, 200, {"handle": "h1", "created": 0})
                return
        await _json(send, 404, {})

    async def _run(self, scope, receive, send, ran: Ran) -> None:
        self.running += 1
        self.most = max(self.most, self.running)
        gone = asyncio.create_task(_until_gone(receive))
        work = asyncio.create_task(self._answer(scope, send, ran))
        try:
            await asyncio.wait(
                {gone, work}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            self.running -= 1
            gone.cancel()
            work.cancel()

    async def _answer(self, scope, send, ran: Ran) -> None:
        faults = self.faults
        if self._is_fatal(ran) and not faults.fatal_after:
            self.end()
            await asyncio.sleep(3600)
        if faults.mute:
            faults.mute -= 1
            await asyncio.sleep(3600)
        if faults.fail:
            faults.fail -= 1
            await self._whole(send, 500, ran, b"failed")
            return
        if scope["path"].endswith("/stream"):
            await self._stream(send, ran)
            return
        await asyncio.sleep(TICK_S)
        await self._whole(send, 200, ran, b"answer to " + ran.attempt.encode())

    async def _stream(self, send, ran: Ran) -> None:
        await send(
            {
                "type": "http.response.start",
                "status": 200,
                "headers": [
                    (b"content-type", b"text/event-stream"),
                    *self._marks(ran.attempt),
                ],
            }
        )
        events = int(ran.headers.get("token-usage", "1,5").split(",")[1])
        first = int(ran.headers.get("last-event-id", "0")) + 1
        for number in range(first, events + 1):
            await asyncio.sleep(self.faults.tick_s)
            if ran.moved:
                return
            if number > self.faults.fatal_after and self._is_fatal(ran):
                self.end()
                await asyncio.sleep(3600)
            if self.faults.tear_after and number > self.faults.tear_after:
                await _piece(send, b"id: %d\ndata: to" % number)
                break
            if self.faults.break_after and number > self.faults.break_after:
                if self.faults.torn:
                    await _piece(send, b"id: %d\ndata: to" % number)
                return
            await _piece(send, b"id: %d\ndata: t%d\n\n" % (number, number))
        await send({"type": "http.response.body", "body": b""})
        ran.ended = True

    def _is_fatal(self, ran: Ran) -> bool:
        return bool(self.faults.fatal) and ran.body == self.faults.fatal

    async def _whole(self, send, status: int, ran: Ran, body: bytes) -> None:
        attempt = ran.attempt
        if self.faults.cross:
            self.faults.cross -= 1
            attempt = "another"
            body = b"answer to another"
        await send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": [
                    (b"content-length", str(len(body)).encode()),
                    *self._marks(attempt),
                ],
            }
        )
        await send({"type": "http.response.body", "body": body})
        ran.ended = True

    async def _reject(self, send, status: int, attempt: str) -> None:
        headers = [(b"content-length", b"0"), *self._marks(attempt)]
        if status != 421:
            headers.append((b"not-executed", b"1"))
        await send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": headers,
            }
        )
        await send({"type": "http.response.body", "body": b""})

    def _marks(self, attempt: str) -> list[tuple[bytes, bytes]]:
        limit = self.faults.limit
        return [
            (b"attempt-id", attempt.encode()),
            (b"server-signature", f"{self.name}.{attempt}".encode()),
            (b"instance-load", b"1,0,8"),
            *([(b"server-limit", limit)] if limit else []),
        ]


async def _json(send, status: int, value: dict) -> None:
    body = json.dumps(value).encode()
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [(b"content-length", str(len(body)).encode())],
        }
    )
    await send({"type": "http.response.body", "body": body})


async def _piece(send, data: bytes) -> None:
    await send({"type": "http.response.body", "body": data, "more_body": True})


async def _body(receive) -> bytes | None:
    """Returns the whole body; None if the connection ends within it."""
    parts = []
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return None
        parts.append(message.get("body", b""))
        if not message.get("more_body"):
            return b"".join(parts)


async def _until_gone(receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
