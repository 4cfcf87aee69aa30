"""A small HTTP/1.1 server and client on asyncio streams, for the stand-ins."""

import asyncio
import socket
import struct


class Request:
    """One request as received; header names in lower case."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body


async def read_request(reader):
    """Reads a request; returns None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head[:-4].split(b"\r\n")
    method, target, _ = lines[0].decode("latin-1").split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    try:
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        elif headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                body += await reader.readexactly(size)
                await reader.readline()
                if not size:
                    break
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, headers, body)


def response(status, body=b"", fields=(), reason="X"):
    """Returns the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} {reason}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in fields]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def reset(writer):
    """Closes a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()


class Answer:
    """An answer as a client saw it.

    `status` is 0 if the channel ended before a head; `whole` tells whether the
    body ended as its head states.
    """

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.whole = False
        self.fault = ""


async def call(
    address, method, target, fields, body=b"", timeout_s=10.0, on_part=None
):
    """Sends one request on a new connection; returns its Answer."""
    answer = Answer()
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            async with asyncio.timeout(min(1.0, timeout_s)):
                reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in fields]
            if body or method != "GET":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await _read_answer(reader, answer, on_part)
    except TimeoutError:
        answer.fault = "timeout"
    except (OSError, asyncio.IncompleteReadError, ValueError) as exc:
        answer.fault = repr(exc)
    finally:
        if writer is not None:
            writer.transport.abort()
    return answer


async def _read_answer(reader, answer, on_part):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head[:-4].split(b"\r\n")
    answer.status = int(lines[0].split(b" ")[1])
    for line in lines[1:]:
        name, _, value = line.decode("latin-1").partition(":")
        answer.headers[name.strip().lower()] = value.strip()
    if answer.headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            line = await reader.readline()
            if not line:
                answer.fault = "ended within the body"
                return
            size = int(line.split(b";")[0], 16)
            if size:
                part = await reader.readexactly(size)
                answer.body += part
                if on_part is not None:
                    on_part(part)
            await reader.readexactly(2)
            if not size:
                answer.whole = True
                return
    length = answer.headers.get("content-length")
    if length is None:
        answer.body = await reader.read()
        answer.whole = True
        return
    answer.body = await reader.readexactly(int(length))
    answer.whole = True
