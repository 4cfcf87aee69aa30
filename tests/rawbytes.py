"""Raw bytes on connections to an instance, and the answers in what comes back.

Reads answers strictly and by itself, so that it can tell whether any byte
belongs to no answer.
"""

import asyncio
import contextlib
import dataclasses

CLOSED_S = 0.4
"""Time without a byte after which nothing more is expected."""


@dataclasses.dataclass(frozen=True)
class RawAnswer:
    """An answer.

    Attributes:
        status: Status.
        fields: Header fields, names in lower case.
        body: Body.
        whole: Whether its end has arrived.
    """

    status: int
    fields: dict[bytes, bytes]
    body: bytes
    whole: bool = True


async def exchange(
    address: str,
    parts: list[bytes],
    *,
    pause_s: float = 0.0,
    quiet_s: float = CLOSED_S,
) -> tuple[bytes, bool]:
    """Sends parts on one connection and reads meanwhile.

    Args:
        address: IP:port.
        parts: What is sent, one after the other.
        pause_s: Pause after each part.
        quiet_s: Time without a byte after the last part that ends it.

    Returns:
        What has arrived, and whether the other side has closed.
    """
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    received = bytearray()

    async def read() -> bool:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                received.extend(data)
        return True

    reading = asyncio.create_task(read())
    try:
        with contextlib.suppress(OSError):
            for part in parts:
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(pause_s)
        while not reading.done():
            count = len(received)
            await asyncio.wait({reading}, timeout=quiet_s)
            if len(received) == count:
                break
        return bytes(received), reading.done()
    finally:
        reading.cancel()
        writer.close()


def parse_answers(
    data: bytes, methods: list[str] | None = None, *, closed: bool = True
) -> tuple[list[RawAnswer], bytes]:
    """Returns the answers in what came back, and what belongs to none.

    Interim answers are left out.

    Args:
        data: What came back on one connection.
        methods: Methods of its requests; all have bodies by default.
        closed: Whether the connection has ended.
    """
    found: list[RawAnswer] = []
    while data.startswith(b"HTTP/1.1 "):
        head, end, rest = data.partition(b"\r\n\r\n")
        if not end:
            break
        lines = head.split(b"\r\n")
        status = int(lines[0].split(b" ")[1])
        if status < 200:
            data = rest
            continue
        pairs = [line.split(b": ", 1) for line in lines[1:]]
        fields = {name.lower(): value for name, value in pairs}
        method = methods[len(found)] if methods else "POST"
        whole = True
        if method == "HEAD" or status in (204, 304):
            body, data = b"", rest
        elif b"content-length" in fields:
            size = int(fields[b"content-length"])
            body, data = rest[:size], rest[size:]
            whole = len(body) == size
        elif fields.get(b"transfer-encoding") == b"chunked":
            body, data, whole = _chunks(rest)
        else:
            body, data, whole = rest, b"", closed
        found.append(RawAnswer(status, fields, body, whole))
        if not whole:
            break
    return found, data


def _chunks(data: bytes) -> tuple[bytes, bytes, bool]:
    body = b""
    while True:
        line, end, rest = data.partition(b"\r\n")
        if not end:
            return body, data, False
        size = int(line, 16)
        part = rest[:size]
        if rest[size : size + 2] != b"\r\n":
            return body + part, rest[size:], False
        data = rest[size + 2 :]
        if not size:
            return body, data, True
        body += part
