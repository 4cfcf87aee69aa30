"""A loopback TCP proxy with fault injection.

Simulates the network between an instance and the platform: it forwards the
bytes of each connection unchanged, unless a fault delays, drops or resets them.
"""

import contextlib
import dataclasses
import enum
import random

import anyio
from anyio.abc import SocketAttribute, SocketStream

from standins.connectionanswers import reset_on_close

CHUNK_BYTES = 1 << 16
SILENCE_S = 5.0
"""How long a silent connection stays open."""

_CONNECTION_ERRORS = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
)


class CutKind(enum.Enum):
    """How a connection is cut."""

    END = "it ends in order"
    RESET = "it is reset"
    SILENCE = "no byte follows"


@dataclasses.dataclass(frozen=True)
class LinkCut:
    """A cut of one connection.

    Attributes:
        after: Bytes of answers that are forwarded before it.
        kind: How the connection is cut.
        in_answer: Whether the bytes are those of one answer, from its first,
            and not those of a connection from any moment on.
    """

    after: int
    kind: CutKind
    in_answer: bool = False


MAX_JOIN_S = 0.03
MAX_SLICE_PAUSE_S = 0.01
SLICES = (1, 2, 3, 7, 20, 60, 400, CHUNK_BYTES)
"""Sizes of the pieces of sliced bytes, up to which one is drawn."""


@dataclasses.dataclass
class LinkFaults:
    """Active faults, for all connections of a link.

    Attributes:
        delay_s: Delay of each chunk in both directions, in seconds.
        silent: Drop all bytes in both directions and leave the connections
            open.
        deaf: Forward requests and drop answers.
        slices: Source of the sizes and pauses by which bytes are split, joined
            and held back; None to forward them as they come.
        cuts: Cuts of upcoming connections with answers, taken from the end.
        resets_only: Whether cuts in order are resets, since an answer that ends
            with its connection would be whole there.
    """

    delay_s: float = 0.0
    silent: bool = False
    deaf: bool = False
    slices: random.Random | None = None
    cuts: list[LinkCut] = dataclasses.field(default_factory=list)
    resets_only: bool = False


@dataclasses.dataclass
class _Exchange:
    """State of one connection.

    Attributes:
        asked: Whether bytes of a request have followed the last answer.
    """

    asked: bool = False


class Link:
    """Listens on one address and forwards each connection to another.

    Attributes:
        faults: Active faults.
        address: IP:port on which it listens.
        target: IP:port to which it forwards.
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
        self.address = address
        self.target = target
        self._open: dict[anyio.CancelScope, SocketStream] = {}
        self._scope = anyio.CancelScope()
        self._listener_scope = anyio.CancelScope()

    async def serve(self) -> None:
        """Forwards connections until cancelled."""
        host, _, port = self.address.rpartition(":")
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port)
        )
        with self._scope:
            async with anyio.create_task_group() as group:
                with self._listener_scope:
                    async with listener:
                        self.listening.set()
                        await listener.serve(self._handle, group)

    def stop_listening(self) -> None:
        """Refuses new connections, as the host of a process that has ended."""
        self._listener_scope.cancel()

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
        host, _, port = self.target.rpartition(":")
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
            state = _Exchange()
            try:
                group.start_soon(
                    self._forward, client, upstream, scope, state, False
                )
                await self._forward(upstream, client, scope, state, True)
            finally:
                del self._open[scope]

    async def _forward(
        self,
        source: SocketStream,
        destination: SocketStream,
        scope: anyio.CancelScope,
        state: _Exchange,
        answers: bool,
    ) -> None:
        complete = True
        cut = None
        try:
            while True:
                data = await source.receive(CHUNK_BYTES)
                begins, state.asked = state.asked, not answers
                if self.faults.delay_s:
                    await anyio.sleep(self.faults.delay_s)
                if self._drops(answers):
                    complete = False
                    continue
                if answers and cut is None:
                    cut = self._next_cut(begins)
                if cut is not None:
                    data, cut = data[: cut.after], _less(cut, len(data))
                await self._send(destination, data)
                if cut is not None and cut.after <= 0:
                    await self._cut(destination, cut.kind)
                    break
        except anyio.EndOfStream:
            # An end in order would hide the bytes that were dropped.
            if not complete or self._drops(answers):
                _reset_on_close(destination)
        except _CONNECTION_ERRORS:
            _reset_on_close(destination)
        # One side has closed the connection: close the other side, too.
        scope.cancel()

    async def _send(self, destination: SocketStream, data: bytes) -> None:
        """Sends bytes as they came, or in pieces of any size."""
        rng = self.faults.slices
        if rng is None:
            await destination.send(data)
            return
        if rng.random() < 0.2:
            # What follows meanwhile is read in one piece with it.
            await anyio.sleep(rng.uniform(0.0, MAX_JOIN_S))
        while data:
            size = rng.randint(1, rng.choice(SLICES))
            await destination.send(data[:size])
            data = data[size:]
            if rng.random() < 0.3:
                await anyio.sleep(rng.uniform(0.0, MAX_SLICE_PAUSE_S))

    async def _cut(self, stream: SocketStream, kind: CutKind) -> None:
        if kind is CutKind.SILENCE:
            await anyio.sleep(SILENCE_S)
        if kind is not CutKind.END or self.faults.resets_only:
            _reset_on_close(stream)

    def _next_cut(self, begins: bool) -> LinkCut | None:
        """Takes the next cut, if it may come now.

        Args:
            begins: Whether an answer begins.
        """
        cuts = self.faults.cuts
        if not cuts or (cuts[-1].in_answer and not begins):
            return None
        return cuts.pop()

    def _drops(self, answers: bool) -> bool:
        return self.faults.silent or (answers and self.faults.deaf)


def _less(cut: LinkCut, size: int) -> LinkCut:
    return dataclasses.replace(cut, after=cut.after - size)


def _reset_on_close(stream: SocketStream) -> None:
    reset_on_close(stream.extra(SocketAttribute.raw_socket))
