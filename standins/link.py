"""A loopback link between two processes that can be disturbed from outside.

Stands for the network between an instance and the platform: connections go
through it byte for byte until it is told to delay, silence, cut or reset them.
"""

import contextlib
import dataclasses
import socket
import struct

import anyio
from anyio.abc import SocketAttribute, SocketStream

CHUNK = 1 << 16
_RESET = struct.pack("ii", 1, 0)
_BROKEN = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    OSError,
)


@dataclasses.dataclass
class LinkFaults:
    """Faults in force on all connections of a link.

    Attributes:
        delay_s: Added to each piece of bytes, either way.
        silent: Nothing passes either way and nothing is closed; bytes that
            come meanwhile are lost.
        deaf: Requests pass, answers are lost.
    """

    delay_s: float = 0.0
    silent: bool = False
    deaf: bool = False


class Link:
    """Listens at one address and connects each caller to another."""

    def __init__(self, address: str, target: str):
        """Makes a link; nothing listens yet.

        Args:
            address: IP:port where it listens.
            target: IP:port to which connections go.
        """
        self.faults = LinkFaults()
        self._address = address
        self._target = target
        self._open: dict[anyio.CancelScope, SocketStream] = {}
        self._scope = anyio.CancelScope()

    async def serve(self) -> None:
        """Carries connections until cancelled."""
        host, _, port = self._address.rpartition(":")
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port)
        )
        with self._scope:
            async with listener:
                await listener.serve(self._carry)

    def end(self) -> None:
        """Ends all connections and refuses new ones."""
        self.reset()
        self._scope.cancel()

    def reset(self) -> None:
        """Resets all connections."""
        for scope, near in self._open.items():
            raw = near.extra(SocketAttribute.raw_socket)
            with contextlib.suppress(OSError):
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            scope.cancel()

    async def _carry(self, near: SocketStream) -> None:
        host, _, port = self._target.rpartition(":")
        async with near:
            with contextlib.suppress(OSError):
                async with await anyio.connect_tcp(host, int(port)) as far:
                    await self._join(near, far)

    async def _join(self, near: SocketStream, far: SocketStream) -> None:
        async with anyio.create_task_group() as group:
            scope = group.cancel_scope
            self._open[scope] = near
            try:
                group.start_soon(self._pass, near, far, scope, False)
                await self._pass(far, near, scope, True)
            finally:
                del self._open[scope]

    async def _pass(
        self,
        source: SocketStream,
        sink: SocketStream,
        scope: anyio.CancelScope,
        answers: bool,
    ) -> None:
        with contextlib.suppress(*_BROKEN):
            while True:
                data = await source.receive(CHUNK)
                if self.faults.delay_s:
                    await anyio.sleep(self.faults.delay_s)
                if self.faults.silent or (answers and self.faults.deaf):
                    continue
                await sink.send(data)
        # One end has closed: so does the other.
        scope.cancel()
