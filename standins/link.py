"""A loopback TCP proxy with fault injection.

Simulates the network between an instance and the platform: it forwards the
bytes of each connection unchanged, unless a fault delays, drops or resets them.
"""

import contextlib
import dataclasses

import anyio
from anyio.abc import SocketAttribute, SocketStream

from standins.connectionanswers import reset_on_close

CHUNK_BYTES = 1 << 16
_CONNECTION_ERRORS = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
)


@dataclasses.dataclass
class LinkFaults:
    """Active faults, for all connections of a link.

    Attributes:
        delay_s: Delay of each chunk in both directions, in seconds.
        silent: Drop all bytes in both directions and leave the connections
            open.
        deaf: Forward requests and drop answers.
    """

    delay_s: float = 0.0
    silent: bool = False
    deaf: bool = False


class Link:
    """Listens on one address and forwards each connection to another.

    Attributes:
        faults: Active faults.
        listening: Set once it listens.
    """

    def __init__(self, address: str, target: str):
        """Creates a link that does not listen yet.

        Args:
            address: IP:port to listen on.
            target: IP:port to forward connections to.
        """
        self.faults = LinkFaults()
        self.listening = anyio.Event()
        self._address = address
        self._target = target
        self._open: dict[anyio.CancelScope, SocketStream] = {}
        self._scope = anyio.CancelScope()

    async def serve(self) -> None:
        """Forwards connections until cancelled."""
        host, _, port = self._address.rpartition(":")
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port)
        )
        with self._scope:
            async with listener:
                self.listening.set()
                await listener.serve(self._handle)

    def close(self) -> None:
        """Resets all connections and stops listening."""
        self.reset()
        self._scope.cancel()

    def reset(self) -> None:
        """Resets all connections; the listening side sends a TCP RST."""
        for scope, client in self._open.items():
            _reset_on_close(client)
            scope.cancel()

    async def _handle(self, client: SocketStream) -> None:
        host, _, port = self._target.rpartition(":")
        async with client:
            with contextlib.suppress(OSError):
                async with await anyio.connect_tcp(host, int(port)) as upstream:
                    await self._forward_both_ways(client, upstream)

    async def _forward_both_ways(
        self, client: SocketStream, upstream: SocketStream
    ) -> None:
        async with anyio.create_task_group() as group:
            scope = group.cancel_scope
            self._open[scope] = client
            try:
                group.start_soon(self._forward, client, upstream, scope, False)
                await self._forward(upstream, client, scope, True)
            finally:
                del self._open[scope]

    async def _forward(
        self,
        source: SocketStream,
        destination: SocketStream,
        scope: anyio.CancelScope,
        answers: bool,
    ) -> None:
        complete = True
        try:
            while True:
                data = await source.receive(CHUNK_BYTES)
                if self.faults.delay_s:
                    await anyio.sleep(self.faults.delay_s)
                if self._drops(answers):
                    complete = False
                    continue
                await destination.send(data)
        except anyio.EndOfStream:
            # An end in order would hide the bytes that were dropped.
            if not complete or self._drops(answers):
                _reset_on_close(destination)
        except _CONNECTION_ERRORS:
            _reset_on_close(destination)
        # One side has closed the connection: close the other side, too.
        scope.cancel()

    def _drops(self, answers: bool) -> bool:
        return self.faults.silent or (answers and self.faults.deaf)


def _reset_on_close(stream: SocketStream) -> None:
    reset_on_close(stream.extra(SocketAttribute.raw_socket))
