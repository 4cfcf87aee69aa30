"""Connections between instances: permit streams (gRPC) and gossip (UDP)."""

import asyncio
import dataclasses
import hashlib
import hmac
import logging
import pathlib
import time
from collections.abc import Callable
from typing import Any

import anyio
import grpc
import itsdangerous
import msgspec

from jasminerelay.brokers import BrokerHost
from jasminerelay.membership import Membership, Send
from jasminerelay.metrics import Counters
from jasminerelay.schema.messages import (
    BrokerFrame,
    EntryFrame,
    Gossip,
    ManifestPointer,
    ManifestReply,
)
from jasminerelay.schema.settings import Tls
from jasminerelay.settings import split_address

_log = logging.getLogger(__name__)

SERVICE = "jasminerelay.Peer"
PERMITS = f"/{SERVICE}/Permits"
MANIFEST = f"/{SERVICE}/Manifest"
AUTHORIZATION = "authorization"

MAX_QUEUED_FRAMES = 10_000
RECONNECT_S = 0.2
IDLE_LINK_S = 60.0
FETCH_TIMEOUT_S = 1.0
MAX_QUEUED_DATAGRAMS = 1000

_encode = msgspec.msgpack.encode
_CHANNEL_OPTIONS = [
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1000),
    ("grpc.enable_retries", 0),
]


def _decoder(kind: type) -> Callable[[bytes], Any]:
    return msgspec.msgpack.Decoder(kind).decode


class Security:
    """Keys by which instances know each other."""

    def __init__(self, secret: str, tls: Tls):
        self.metadata = ((AUTHORIZATION, secret),)
        self._secret = secret
        self._tls = tls

    def admits(self, metadata: tuple) -> bool:
        """Returns whether a call comes from another instance."""
        given = dict(metadata).get(AUTHORIZATION, "")
        return hmac.compare_digest(str(given), self._secret)

    def channel(self, address: str) -> grpc.aio.Channel:
        """Opens a channel to an instance."""
        if not self._tls.cert:
            return grpc.aio.insecure_channel(address, options=_CHANNEL_OPTIONS)
        credentials = grpc.ssl_channel_credentials(*self._pem())
        return grpc.aio.secure_channel(
            address, credentials, options=_CHANNEL_OPTIONS
        )

    def bind(self, server: grpc.aio.Server, address: str) -> int:
        """Binds the port of a server; returns its number."""
        if not self._tls.cert:
            return server.add_insecure_port(address)
        ca, key, cert = self._pem()
        credentials = grpc.ssl_server_credentials(
            [(key, cert)], root_certificates=ca, require_client_auth=True
        )
        return server.add_secure_port(address, credentials)

    def _pem(self) -> tuple[bytes, bytes, bytes]:
        paths = (self._tls.ca, self._tls.key, self._tls.cert)
        ca, key, cert = (pathlib.Path(path).read_bytes() for path in paths)
        return ca, key, cert


ENDED_ERRORS = (
    grpc.aio.InternalError,
    grpc.aio.UsageError,
    asyncio.InvalidStateError,
)
"""What the library raises for a stream that the other side has ended: the first
while something is being sent, the others once it knows."""


@dataclasses.dataclass
class _Link:
    frames: Any
    source: Any
    used_at: float


class Links:
    """Owns the streams from this instance to the brokers of others."""

    def __init__(
        self,
        own: str,
        host: BrokerHost,
        security: Security,
        counters: Counters,
    ):
        self._own = own
        self._host = host
        self._security = security
        self._counters = counters
        self._links: dict[str, _Link] = {}
        self._group: anyio.abc.TaskGroup | None = None
        self._address: Callable[[str], str | None] = lambda name: None
        self._desk = None

    def wire(self, desk, address: Callable[[str], str | None]) -> None:
        """Sets who takes the answers, and how an address is found."""
        self._desk = desk
        self._address = address
        self._host.connect(
            self._own, lambda frame: desk.on_frame(self._own, frame)
        )

    async def run(self) -> None:
        """Serves the links until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            await anyio.sleep_forever()

    def send(self, peer: str, frame: EntryFrame) -> None:
        """Sends a frame; a lost one is made good when the link is back."""
        if peer in (self._own, ""):
            self._host.take(frame)
            return
        link = self._links.get(peer)
        if link is None:
            if self._group is None:
                return
            frames, source = anyio.create_memory_object_stream(
                MAX_QUEUED_FRAMES
            )
            link = _Link(frames, source, time.monotonic())
            self._links[peer] = link
            self._group.start_soon(self._serve, peer, link)
        link.used_at = time.monotonic()
        try:
            link.frames.send_nowait(frame)
        except (anyio.WouldBlock, anyio.BrokenResourceError):
            self._counters.incr("link.dropped_frames")

    async def _serve(self, peer: str, link: _Link) -> None:
        try:
            while time.monotonic() - link.used_at < IDLE_LINK_S:
                address = self._address(peer)
                if address is None:
                    break
                try:
                    await self._stream(peer, address, link)
                except* grpc.aio.AioRpcError:
                    # Comes within a group, as the stream is read beside a
                    # task that writes. Uncaught, the death of one instance
                    # would end every other one.
                    self._counters.incr("link.broken")
                self._desk.on_link_down(peer)
                await anyio.sleep(RECONNECT_S)
        finally:
            self._links.pop(peer, None)
            link.frames.close()
            link.source.close()

    async def _stream(self, peer: str, address: str, link: _Link) -> None:
        async with self._security.channel(address) as channel:
            method = channel.stream_stream(
                PERMITS,
                request_serializer=_encode,
                response_deserializer=_decoder(BrokerFrame),
            )
            call = method(metadata=self._security.metadata)
            await call.wait_for_connection()
            # What was queued for the former connection is told anew.
            _drain(link.source)
            self._desk.on_link_up(peer)
            async with anyio.create_task_group() as group:
                group.start_soon(self._write, call, link)
                try:
                    async for frame in call:
                        self._counters.incr("link.frames_in")
                        self._desk.on_frame(peer, frame)
                finally:
                    group.cancel_scope.cancel()

    async def _write(self, call, link: _Link) -> None:
        try:
            async for frame in link.source:
                merged = _merge([frame, *_drain(link.source)])
                self._counters.incr("link.frames_out")
                await call.write(merged)
        except (grpc.aio.AioRpcError, *ENDED_ERRORS):
            # Uncaught, the other side's end ended this instance, too.
            call.cancel()


class PeerServer:
    """The gRPC port of an instance."""

    def __init__(
        self,
        host: BrokerHost,
        security: Security,
        manifest: Callable[[], ManifestReply],
    ):
        self._host = host
        self._security = security
        self._manifest = manifest
        self._server = grpc.aio.server()
        handlers = {
            "Permits": grpc.stream_stream_rpc_method_handler(
                self._permits,
                request_deserializer=_decoder(EntryFrame),
                response_serializer=_encode,
            ),
            "Manifest": grpc.unary_unary_rpc_method_handler(
                self._fetch,
                request_deserializer=_decoder(ManifestPointer),
                response_serializer=_encode,
            ),
        }
        self._server.add_generic_rpc_handlers(
            (grpc.method_handlers_generic_handler(SERVICE, handlers),)
        )

    async def start(self, address: str) -> None:
        """Starts to listen."""
        self._security.bind(self._server, address)
        await self._server.start()

    async def stop(self) -> None:
        """Stops at once; other instances turn to another broker."""
        await self._server.stop(None)

    async def _permits(self, requests, context) -> None:
        await self._check(context)
        frames, source = anyio.create_memory_object_stream(MAX_QUEUED_FRAMES)
        entry = ""
        async with frames, source, anyio.create_task_group() as group:

            def send(frame: BrokerFrame) -> None:
                try:
                    frames.send_nowait(frame)
                except (anyio.WouldBlock, anyio.BrokenResourceError):
                    # A peer that does not read is gone or frozen; it tells
                    # everything anew when it is back.
                    group.cancel_scope.cancel()

            async def write() -> None:
                try:
                    async for frame in source:
                        await context.write(frame)
                except ENDED_ERRORS:
                    # The asking side went between two frames. Its permits
                    # are kept for a while, as after any lost link; left
                    # uncaught, the error ended in a traceback a frame.
                    group.cancel_scope.cancel()

            group.start_soon(write)
            try:
                async for frame in requests:
                    if not entry:
                        entry = frame.instance
                        self._host.connect(entry, send)
                    self._host.take(frame)
            finally:
                if entry:
                    self._host.disconnect(entry, send)
                group.cancel_scope.cancel()

    async def _fetch(self, pointer: ManifestPointer, context) -> ManifestReply:
        del pointer
        await self._check(context)
        return self._manifest()

    async def _check(self, context) -> None:
        if self._security.admits(context.invocation_metadata()):
            return
        try:
            await context.abort(
                grpc.StatusCode.UNAUTHENTICATED,
                "send the peer secret of the settings",
            )
        except ENDED_ERRORS as exc:
            # Nobody is left to be told, and the call must still not go on.
            raise asyncio.CancelledError from exc


async def fetch_manifest(
    security: Security, address: str, pointer: ManifestPointer
) -> ManifestReply | None:
    """Asks an instance for the manifest it holds; None without an answer."""
    async with security.channel(address) as channel:
        method = channel.unary_unary(
            MANIFEST,
            request_serializer=_encode,
            response_deserializer=_decoder(ManifestReply),
        )
        try:
            return await method(
                pointer, metadata=security.metadata, timeout=FETCH_TIMEOUT_S
            )
        except grpc.aio.AioRpcError:
            return None


class GossipPort:
    """Owns the UDP socket; every datagram is signed with the peer secret."""

    def __init__(
        self,
        membership: Membership,
        secret: str,
        counters: Counters,
        on_gossip: Callable[[Gossip], None],
    ):
        self._membership = membership
        self._signer = itsdangerous.Signer(
            secret, salt="gossip", digest_method=hashlib.sha256
        )
        self._counters = counters
        self._on_gossip = on_gossip
        self._outbox, self._outbox_source = anyio.create_memory_object_stream(
            MAX_QUEUED_DATAGRAMS
        )
        self._decode = msgspec.msgpack.Decoder(Gossip).decode

    async def run(self, address: str, interval_s: float) -> None:
        """Probes and answers until cancelled."""
        host, port = split_address(address)
        async with (
            await anyio.create_udp_socket(
                local_host=host, local_port=port
            ) as socket,
            anyio.create_task_group() as group,
        ):
            group.start_soon(self._write, socket)
            group.start_soon(self._probe, interval_s)
            async for data, _ in socket:
                self._receive(data)

    def send(self, sends: list[Send]) -> None:
        """Queues datagrams; a lost one is made good by later probes."""
        for item in sends:
            try:
                self._outbox.send_nowait(item)
            except anyio.WouldBlock:
                self._counters.incr("gossip.dropped")

    async def _write(self, socket: anyio.abc.UDPSocket) -> None:
        # Only this task writes: a socket refuses two writers at once, and
        # probes, answers and news may fall together.
        async for item in self._outbox_source:
            data = self._signer.sign(_encode(item.gossip))
            host, port = split_address(item.address)
            self._counters.incr("gossip.out")
            self._counters.incr("gossip.bytes_out", len(data))
            try:
                await socket.sendto(data, host, port)
            except OSError:
                self._counters.incr("gossip.send_failed")

    async def _probe(self, interval_s: float) -> None:
        while True:
            self.send(self._membership.probe(time.monotonic()))
            await anyio.sleep(interval_s)

    def _receive(self, data: bytes) -> None:
        self._counters.incr("gossip.in")
        try:
            gossip = self._decode(self._signer.unsign(data))
        except (itsdangerous.BadSignature, msgspec.MsgspecError):
            self._counters.incr("gossip.rejected")
            return
        answers = self._membership.receive(gossip, time.monotonic())
        self._on_gossip(gossip)
        self.send(answers)


def _drain(source) -> list[EntryFrame]:
    frames = []
    while True:
        try:
            frames.append(source.receive_nowait())
        except anyio.WouldBlock:
            return frames


def _merge(frames: list[EntryFrame]) -> EntryFrame:
    if len(frames) == 1:
        return frames[0]
    return EntryFrame(
        frames[0].instance,
        frames[0].incarnation,
        [item for frame in frames for item in frame.asks],
        [item for frame in frames for item in frame.held],
        [item for frame in frames for item in frame.releases],
        [item for frame in frames for item in frame.borrows],
    )
