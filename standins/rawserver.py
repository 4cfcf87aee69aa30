"""Stand-in for a backend server that answers in raw bytes of any shape.

It reads requests strictly and by itself, and keeps what it received byte by
byte. Each answer is drawn from `SOUND` or `FAULTY`.
"""

import asyncio
import contextlib
import dataclasses
import random

READY_PATH = b"/healthz"
LATE_S = 0.01
"""Time after which late bytes follow an answer."""

SOUND = (
    "length",
    "chunks",
    "trailers",
    "interim",
    "hop fields",
    "to the end",
    "old version",
)
"""Answers in HTTP/1.1 or 1.0, however unusual."""

FAULTY = (
    "garbage after",
    "garbage later",
    "answer after",
    "answer later",
    "body after head",
    "framed twice",
    "switches",
    "other id",
    "two ids",
    "coded",
    "two lengths",
    "cut",
    "no status",
)
"""Answers that are none, or are followed by bytes that belong to nothing."""


@dataclasses.dataclass(frozen=True)
class RawRequest:
    """A request as received.

    Attributes:
        attempt: Id of the attempt.
        method: Method.
        target: Target.
        fields: Header fields in order, names in lower case.
        body: Body.
        answer: Kind of its answer.
    """

    attempt: bytes
    method: bytes
    target: bytes
    fields: list[tuple[bytes, bytes]]
    body: bytes
    answer: str


def body_of(attempt: bytes) -> bytes:
    """Returns the body of the answer to an attempt."""
    return b"answer to " + attempt


class RawServer:
    """A server that answers in raw bytes.

    Attributes:
        address: IP:port.
        journal: Requests that it ran.
        faults: Descriptions of bytes that were no proper request.
    """

    def __init__(self, rng: random.Random, faulty_share: float):
        """Creates the server.

        Args:
            rng: Draws the answers.
            faulty_share: Share of the answers that are faulty.
        """
        self.address = ""
        self.journal: list[RawRequest] = []
        self.faults: list[str] = []
        self._rng = rng
        self._faulty_share = faulty_share
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listens."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def stop(self) -> None:
        """Stops listening."""
        self._server.close()

    async def _serve(self, reader, writer) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                request = await self._read(reader)
                if request is None or not await self._answer(writer, request):
                    break
        writer.close()

    async def _read(self, reader) -> RawRequest | None:
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head[:-4].split(b"\r\n")
        method, target, version = first.split(b" ")
        pairs = [line.split(b":", 1) for line in lines]
        fields = [(k.lower(), v.strip(b" \t")) for k, v in pairs]
        lengths = [int(v) for k, v in fields if k == b"content-length"]
        codings = [v for k, v in fields if k == b"transfer-encoding"]
        if version != b"HTTP/1.1" or len(lengths) > 1 or codings:
            self.faults.append(f"head of a request: {head!r}")
            return None
        body = await reader.readexactly(lengths[0] if lengths else 0)
        by_name = dict(fields)
        kinds = SOUND
        if self._rng.random() < self._faulty_share:
            kinds = FAULTY
        request = RawRequest(
            by_name.get(b"attempt-id", b""),
            method,
            target,
            fields,
            body,
            "length" if target == READY_PATH else self._rng.choice(kinds),
        )
        if request.target != READY_PATH:
            self.journal.append(request)
        return request

    async def _answer(self, writer, request: RawRequest) -> bool:
        """Sends an answer; returns whether the connection goes on."""
        kind = request.answer
        parts, goes_on = _ANSWERS.get(kind, _plain)(kind, request)
        for part in parts:
            if part is None:
                await writer.drain()
                await asyncio.sleep(LATE_S)
            else:
                writer.write(part)
        await writer.drain()
        return goes_on


def _head(request: RawRequest, *fields: bytes, status: bytes = b"200 OK"):
    lines = [b"HTTP/1.1 " + status, b"Attempt-Id: " + request.attempt]
    lines += [b"Server-Signature: s." + request.attempt, *fields]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def _whole(request: RawRequest, *fields: bytes, attempt: bytes = b"") -> bytes:
    body = body_of(attempt or request.attempt)
    head = _head(request, b"Content-Length: %d" % len(body), *fields)
    if attempt:
        head = head.replace(
            b"Attempt-Id: " + request.attempt, b"Attempt-Id: " + attempt
        )
    return head if request.method == b"HEAD" else head + body


def _chunked(request: RawRequest, *fields: bytes, end: bytes = b"") -> bytes:
    head = _head(request, b"Transfer-Encoding: chunked", *fields)
    if request.method == b"HEAD":
        return head
    body = body_of(request.attempt)
    return head + b"3;x=y\r\n%b\r\n%x\r\n%b\r\n0\r\n%b\r\n" % (
        body[:3],
        len(body) - 3,
        body[3:],
        end,
    )


def _plain(kind: str, request: RawRequest):
    del kind
    return [_whole(request)], True


def _sound(kind: str, request: RawRequest):
    body = b"" if request.method == b"HEAD" else body_of(request.attempt)
    if kind == "chunks":
        return [_chunked(request)], True
    if kind == "trailers":
        end = b"Attempt-Id: other\r\nNot-Executed: 1\r\nX-Late: 1\r\n"
        return [_chunked(request, end=end)], True
    if kind == "interim":
        before = b"HTTP/1.1 103 Early\r\nX-Early: 1\r\nAttempt-Id: x\r\n\r\n"
        return [
            b"HTTP/1.1 100 Continue\r\n\r\n" + before,
            _whole(request),
        ], True
    if kind == "hop fields":
        fields = (b"Connection: X-Hop, keep-alive", b"X-Hop: 1", b"TE: x")
        return [_whole(request, *fields)], True
    if kind == "old version":
        old = _whole(request).replace(b"HTTP/1.1", b"HTTP/1.0", 1)
        return [old], False
    return [_head(request, b"Connection: close") + body], False


def _faulty(kind: str, request: RawRequest):
    other = _whole(request, attempt=b"other")
    pause = [None] if kind.endswith("later") else []
    if kind.startswith("garbage"):
        return [_whole(request), *pause, b"\x00more\r\n\r\n"], True
    if kind.startswith("answer"):
        return [_whole(request), *pause, other], True
    if kind == "body after head":
        head = _head(request, b"Content-Length: 0", status=b"204 None")
        return [head + b"HTTP/1.1 200 OK\r\n\r\nbody"], True
    if kind == "framed twice":
        return [_chunked(request, b"Content-Length: 4")], True
    if kind == "switches":
        head = b"HTTP/1.1 101 S\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n"
        return [head, _whole(request)], True
    if kind == "other id":
        return [other], True
    if kind == "two ids":
        return [_whole(request, b"Attempt-Id: other")], True
    if kind == "coded":
        coded = _chunked(request).replace(b"chunked", b"gzip, chunked")
        return [coded], True
    if kind == "two lengths":
        return [_whole(request, b"Content-Length: 3")], True
    if kind == "no status":
        return [_whole(request).replace(b" 200 ", b" 020 ", 1)], True
    return [_whole(request)[:-4]], False


_ANSWERS = {
    **dict.fromkeys(SOUND[1:], _sound),
    **dict.fromkeys(FAULTY, _faulty),
}
