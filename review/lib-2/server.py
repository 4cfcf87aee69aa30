"""Stand-in of a backend server, as a process of its own.

Usage: server.py ID IP:PORT JOURNAL SLOTS MS_PER_1000_TOKENS EVENT_MS VERSION
[OPTION...]; the options are `unframed`, for streams without length and chunks,
which end with their channel, and `fd=N`, for a socket that listens already.

A model request is read for a time that grows with its prompt, then sends an
event for each output token. Any other POST or GET is answered after 90 ms.
Every run is written to the journal, a line of JSON each, before it begins.
"""

import asyncio
import json
import os
import socket
import sys
import time

import http1

PLAIN_S = 0.09
QUEUE = 64


class Server:
    """One lifetime of a server."""

    def __init__(
        self, name, journal, slots, ms_per_1000, event_ms, version, unframed
    ):
        self.name = name
        self.unframed = unframed
        self.version = version
        self.slots = slots
        self.read_s = ms_per_1000 / 1e6
        self.event_s = event_ms / 1e3
        self.running = 0
        self.waiting = 0
        self._free = asyncio.Semaphore(slots)
        self._file = os.open(
            journal, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o600
        )

    def note(self, **fields):
        """Writes a line to the journal."""
        fields = {"at": time.monotonic(), "server": self.name, **fields}
        os.write(self._file, json.dumps(fields).encode() + b"\n")

    def fields(self, request):
        """Returns the header fields of an answer."""
        attempt = request.headers.get("attempt-id", "")
        return [
            ("Attempt-Id", attempt),
            ("Server-Signature", f"{self.name}.{attempt}"),
            ("Instance-Load", f"{self.running},{self.waiting},{self.slots}"),
        ]

    async def serve(self, reader, writer):
        """Serves the requests of a connection, one after the other."""
        try:
            while (request := await http1.read_request(reader)) is not None:
                await self._serve_one(request, reader, writer)
        except ConnectionError:
            pass
        finally:
            writer.transport.abort()

    async def _serve_one(self, request, reader, writer):
        headers = request.headers
        attempt = headers.get("attempt-id", "")
        if request.target.startswith("/-/") or request.target == "/healthz":
            known = request.target == "/healthz"
            writer.write(http1.response(200 if known else 404, b"{}"))
            return
        if headers.get("expect-instance", self.name) != self.name:
            writer.write(http1.response(421, b"", self.fields(request)))
            return
        if self.running >= self.slots and self.waiting >= QUEUE:
            fields = [*self.fields(request), ("Not-Executed", "1")]
            writer.write(http1.response(503, b"", fields))
            return
        left = asyncio.create_task(reader.read(1))
        work = asyncio.create_task(self._work(request, writer))
        try:
            # A server drops a request when its channel closes.
            await asyncio.wait(
                {left, work}, return_when=asyncio.FIRST_COMPLETED
            )
            if not work.done():
                self.note(kind="dropped", attempt=attempt)
                raise ConnectionError("the channel has closed")
            await work
        finally:
            work.cancel()
            left.cancel()
            await asyncio.wait({left})

    async def _work(self, request, writer):
        headers = request.headers
        self.waiting += 1
        try:
            await self._free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            self.note(
                kind="run",
                attempt=headers.get("attempt-id", ""),
                target=request.target,
                prefix=headers.get("prefix-hash", ""),
                tenant=headers.get("tenant", ""),
                after=headers.get("last-event-id", ""),
            )
            if "token-usage" in headers:
                await self._stream(request, writer)
            else:
                await asyncio.sleep(PLAIN_S)
                writer.write(http1.response(200, b"done", self.fields(request)))
                await writer.drain()
            self.note(kind="end", attempt=headers.get("attempt-id", ""))
        finally:
            self.running -= 1
            self._free.release()

    async def _stream(self, request, writer):
        tokens, _, most = request.headers["token-usage"].partition(",")
        await asyncio.sleep(int(tokens) * self.read_s)
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += [f"{name}: {value}" for name, value in self.fields(request)]
        lines.append(
            "Connection: close"
            if self.unframed
            else "Transfer-Encoding: chunked"
        )
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        first = int(request.headers.get("last-event-id", "0") or 0) + 1
        for number in range(first, int(most) + 1):
            text = f"id: {number}\ndata: {self.version} t{number}\n\n"
            event = text.encode()
            if not self.unframed:
                event = b"%x\r\n%b\r\n" % (len(event), event)
            writer.write(event)
            await writer.drain()
            await asyncio.sleep(self.event_s)
        if self.unframed:
            writer.write_eof()
            return
        writer.write(b"0\r\n\r\n")
        await writer.drain()


async def main():
    """Serves until the process that started this one has ended."""
    name, address, journal, slots, *rest = sys.argv[1:]
    speeds, version, options = rest[:2], rest[2], rest[3:]
    unframed = "unframed" in options
    server = Server(
        name, journal, int(slots), *map(float, speeds), version, unframed
    )
    host, _, port = address.rpartition(":")
    inherited = [x.removeprefix("fd=") for x in options if x.startswith("fd=")]
    if inherited:
        sock = socket.socket(fileno=int(inherited[0]))
        listener = await asyncio.start_server(server.serve, sock=sock)
    else:
        listener = await asyncio.start_server(server.serve, host, int(port))
    parent = os.getppid()
    async with listener:
        while os.getppid() == parent:
            await asyncio.sleep(0.2)


if __name__ == "__main__":
    asyncio.run(main())
