"""Small HTTP/1.1 server and client on asyncio, standard library only."""

import asyncio
import contextlib
import socket
import struct

MAX_LINE_BYTES = 1 << 20


class Request:
    """One request as a server received it."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    @property
    def path(self):
        """Path without the query."""
        return self.target.partition("?")[0]


async def _read_head(reader):
    """Returns the first line and the header fields; None at the end."""
    line = await reader.readline()
    if not line:
        return None
    fields = {}
    while True:
        field = await reader.readline()
        if not field:
            return None
        if field in (b"\r\n", b"\n"):
            return line.decode("latin-1").strip(), fields
        name, _, value = field.decode("latin-1").partition(":")
        fields[name.strip().lower()] = value.strip()


async def _read_chunks(reader):
    parts = []
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        if not size:
            while (await reader.readline()) not in (b"\r\n", b"\n", b""):
                pass
            return b"".join(parts)
        parts.append(await reader.readexactly(size))
        await reader.readline()


async def read_request(reader):
    """Returns the next request of a channel; None at its end."""
    head = await _read_head(reader)
    if head is None:
        return None
    line, fields = head
    method, target, _ = line.split(" ", 2)
    body = b""
    if "chunked" in fields.get("transfer-encoding", ""):
        body = await _read_chunks(reader)
    elif int(fields.get("content-length", "0")):
        body = await reader.readexactly(int(fields["content-length"]))
    return Request(method, target, fields, body)


def encode_answer(status, fields, body):
    """Returns an answer with a length."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in fields]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def reset(writer):
    """Resets a channel."""
    raw = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        raw.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()


class Listener:
    """Listens on an address; calls `on_channel(reader, writer)` for each."""

    def __init__(self, on_channel):
        self._on_channel = on_channel
        self._server = None
        self.writers = set()

    async def start(self, host, port):
        """Starts to listen."""
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=MAX_LINE_BYTES, backlog=512
        )

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await self._on_channel(reader, writer)
        except (
            OSError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
            ValueError,
        ):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    def stop(self):
        """Stops listening and resets all channels, like an ended process."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self.writers):
            reset(writer)


class Answer:
    """An answer as a client received it."""

    def __init__(self, status, headers, body, whole, why=""):
        self.status = status
        self.headers = headers
        self.body = body
        self.whole = whole
        self.why = why


class Channel:
    """A client's channel, kept for many requests."""

    def __init__(self, address):
        self.address = address
        self._reader = self._writer = None

    @property
    def open(self):
        """Whether it is open."""
        return self._writer is not None

    def close(self):
        """Closes it."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None

    async def request(self, method, target, fields, body=b"", timeout_s=5.0):
        """Sends a request; returns the answer, status 0 for none."""
        try:
            return await asyncio.wait_for(
                self._request(method, target, fields, body), timeout_s
            )
        except TimeoutError:
            self.close()
            return Answer(0, {}, b"", False, "time limit")
        except (OSError, asyncio.IncompleteReadError, ValueError) as exc:
            self.close()
            return Answer(0, {}, b"", False, f"channel failed: {exc!r}")

    async def _request(self, method, target, fields, body):
        if self._writer is None:
            host, _, port = self.address.rpartition(":")
            self._reader, self._writer = await asyncio.open_connection(
                host, int(port), limit=MAX_LINE_BYTES
            )
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        head = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
        self._writer.write(head + body)
        await self._writer.drain()
        found = await _read_head(self._reader)
        if found is None:
            self.close()
            return Answer(0, {}, b"", False, "closed without an answer")
        line, headers = found
        status = int(line.split(" ")[1])
        try:
            if "chunked" in headers.get("transfer-encoding", ""):
                content = await _read_chunks(self._reader)
            else:
                size = int(headers.get("content-length", "0"))
                content = await self._reader.readexactly(size)
        except (OSError, asyncio.IncompleteReadError, ValueError) as exc:
            self.close()
            return Answer(status, headers, b"", False, f"cut: {exc!r}")
        if "close" in headers.get("connection", "").lower():
            self.close()
        return Answer(status, headers, content, True)
