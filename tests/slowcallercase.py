"""Common base of the tests with callers that read slowly or stop reading."""

import contextlib
import dataclasses
import socket
import unittest
import unittest.mock

import anyio

from jasminerelay import callerpace
from jasminerelay.platform.root import Instance
from standins.platformsite import API_KEY, HOST
from tests.platformcase import PlatformCase

STALL_S = 0.6
CHECK_INTERVAL_S = 0.1
"""Time after which a stalled caller is given up in these tests, and interval of
the checks."""

LONG_BYTES = 24 << 20
"""More than the sockets between server, instance and caller can hold."""

RECEIVE_BUFFER_BYTES = 32 * 1024


def request_head(path: str, body_bytes: int = 0, **fields: str) -> bytes:
    """Returns the head of a request."""
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        "Attempt-Id: a1",
        f"Authorization: Bearer {API_KEY}",
        f"Content-Length: {body_bytes}",
        *(f"{k.replace('_', '-')}: {v}" for k, v in fields.items()),
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


@dataclasses.dataclass
class Caller:
    """A caller with a small receive buffer.

    Attributes:
        conn: Its connection.
        head: Head of the response, once it is read.
        received: Bytes of the response's body.
        tail: The last bytes of it.
        was_reset: Whether the connection was reset.
    """

    conn: anyio.abc.SocketStream
    head: bytes = b""
    received: int = 0
    tail: bytes = b""
    was_reset: bool = False

    async def read_head(self) -> None:
        """Reads up to the end of the head."""
        data = b""
        while b"\r\n\r\n" not in data:
            data += await self.conn.receive(4096)
        self.head, _, rest = data.partition(b"\r\n\r\n")
        self._take(rest)

    async def read(self, count: int) -> bool:
        """Reads some bytes; returns False at the end of the connection."""
        try:
            self._take(await self.conn.receive(count))
        except anyio.EndOfStream:
            return False
        except anyio.BrokenResourceError:
            self.was_reset = True
            return False
        return True

    def _take(self, data: bytes) -> None:
        self.received += len(data)
        self.tail = (self.tail + data)[-16:]


class SlowCallersCase(PlatformCase):
    """Base of the tests with one instance and two servers for each service."""

    def setUp(self) -> None:
        super().setUp()
        patch = unittest.mock.patch.multiple(
            callerpace, STALL_S=STALL_S, CHECK_INTERVAL_S=CHECK_INTERVAL_S
        )
        patch.start()
        self.addCleanup(patch.stop)
        self.lines: list[tuple[str, dict]] = []

    @contextlib.asynccontextmanager
    async def long_site(self, **faults):
        """Runs a site whose plain servers send long responses."""
        async with self.site() as (site, (instance,)):
            for server in site.servers.values():
                for name, value in faults.items():
                    setattr(server.faults, name, value)
            instance.log.warn = instance.log.info = self.record
            yield site, instance

    def record(self, event: str, **fields) -> None:
        self.lines.append((event, fields))

    def events_named(self, name: str) -> list[dict]:
        return [fields for event, fields in self.lines if event == name]

    @contextlib.asynccontextmanager
    async def caller(self, instance: Instance, head: bytes):
        """Connects, sends a request and yields the caller."""
        host, _, port = instance.callers.rpartition(":")
        raw = socket.socket()
        raw.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        raw.connect((host, int(port)))
        raw.setblocking(False)
        async with await anyio.abc.SocketStream.from_socket(raw) as conn:
            await conn.send(head)
            yield Caller(conn)

    def journal(self, site) -> list:
        return [ran for item in site.servers.values() for ran in item.journal]

    async def assert_released(self, site, instance) -> None:
        """Waits until neither servers nor the instance hold anything."""
        await self.until(
            lambda: not any(item.running for item in site.servers.values())
        )
        await self.until(lambda: instance.held.total == 0)
        for name in site.servers:
            for server in instance.registry.servers_of("bookings"):
                load = instance.dispatcher.workload.load(server.id)
                self.assertEqual(load.running, 0, name)
