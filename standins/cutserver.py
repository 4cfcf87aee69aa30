"""Stand-in for a server that stops within its answer and closes."""

import asyncio
import contextlib
import dataclasses
import re
from collections.abc import Callable

from standins import connectionanswers

_LENGTH = re.compile(rb"(?i)\r\ncontent-length: *(\d+)\r\n")
SETTLE_S = 0.002
"""Time after which a connection is reset. What the other side has not read by
then is lost with it."""


@dataclasses.dataclass(frozen=True)
class CutAnswer:
    """An answer, and where it stops.

    Attributes:
        data: The whole answer.
        after: Bytes of it that are sent.
        resets: Whether the connection is reset then, or ends in order.
        pieces: Whether the last byte is sent by itself.
        begin: Bytes of it that are sent before more of the request is awaited.
    """

    data: bytes
    after: int
    resets: bool = False
    pieces: bool = False
    begin: int = 0

    @property
    def whole(self) -> bool:
        """Whether all of it is sent, and its connection ends in order."""
        return self.after >= len(self.data) and not self.resets


class CutServer:
    """Answers each request on a connection of its own, then closes that.

    Attributes:
        address: IP:port.
        received: Requests received, heads and bodies, in order.
    """

    def __init__(self, answer_to: Callable[[bytes], CutAnswer]):
        """Creates the server.

        Args:
            answer_to: Returns the answer to a request.
        """
        self.address = ""
        self.received: list[bytes] = []
        self._answer_to = answer_to
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listens."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, backlog=1024
        )
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def stop_listening(self) -> None:
        """Refuses connections, as the host of a process that is killed."""
        self._server.close()

    def stop(self) -> None:
        """Stops listening and closes all connections."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            request = await reader.readuntil(b"\r\n\r\n")
            length = _LENGTH.search(request)
            if length:
                request += await reader.readexactly(int(length[1]))
            self.received.append(request)
            answer = self._answer_to(request)
            if 0 < answer.begin < answer.after:
                writer.write(answer.data[: answer.begin])
                await reader.readuntil(b"\r\n\r\n")
            await self._send(writer, answer)
        self._writers.discard(writer)
        writer.close()

    async def _send(self, writer, answer: CutAnswer) -> None:
        sent = answer.begin if answer.begin < answer.after else 0
        data = answer.data[sent : answer.after]
        if answer.pieces and data:
            writer.write(data[:-1])
            await asyncio.sleep(SETTLE_S)
            data = data[-1:]
        writer.write(data)
        await writer.drain()
        if answer.resets:
            await asyncio.sleep(SETTLE_S)
            connectionanswers.reset(writer.transport)
