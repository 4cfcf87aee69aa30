"""Links between instances: permit streams over gRPC, gossip over UDP."""

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

from jasminerelay import foreignbytes
from jasminerelay.addresses import split_address
from jasminerelay.brokerhost import BrokerHost
from jasminerelay.errors import ForeignDataError
from jasminerelay.membership import Membership, Send
from jasminerelay.metrics import Counters
from jasminerelay.peermessages import ENCODE_ERRORS
from jasminerelay.schema.messages import (
    BrokerFrame,
    Gossip,
    InstanceFrame,
    ManifestPointer,
    ManifestReply,
)
from jasminerelay.schema.settings import Tls
from jasminerelay.taskguard import TaskGuard

_log = logging.getLogger(__name__)

SERVICE = "jasminerelay.Peer"
PERMITS_METHOD = f"/{SERVICE}/Permits"
MANIFEST_METHOD = f"/{SERVICE}/Manifest"
AUTHORIZATION_KEY = "authorization"

MAX_QUEUED_FRAMES = 10_000
RECONNECT_PAUSE_S = 0.2
LINK_IDLE_TIMEOUT_S = 60.0
FETCH_TIMEOUT_S = 1.0
MAX_QUEUED_DATAGRAMS = 1000

_encode = msgspec.msgpack.encode
_CHANNEL_OPTIONS = [
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1000),
    ("grpc.enable_retries", 0),
]


class PeerCredentials:
    """Credentials by which instances authenticate each other.

    Attributes:
        metadata: Call metadata that carries the peer secret.
    """

    def __init__(self, secret: str, tls: Tls):
        self.metadata = ((AUTHORIZATION_KEY, secret),)
        self._secret = secret
        self._tls = tls

    def is_valid(self, metadata: tuple) -> bool:
        """Returns whether the metadata of a call carries the peer secret."""
        presented_secret = dict(metadata).get(AUTHORIZATION_KEY, "")
        return hmac.compare_digest(str(presented_secret), self._secret)

    def channel(self, address: str) -> grpc.aio.Channel:
        """Opens a gRPC channel to an instance, with TLS if configured."""
        if not self._tls.cert:
            return grpc.aio.insecure_channel(address, options=_CHANNEL_OPTIONS)
        credentials = grpc.ssl_channel_credentials(*self._pem())
        return grpc.aio.secure_channel(
            address, credentials, options=_CHANNEL_OPTIONS
        )

    def bind_port(self, server: grpc.aio.Server, address: str) -> int:
        """Binds a gRPC server to an address; returns the port number."""
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


STREAM_ENDED_ERRORS = (
    grpc.aio.InternalError,
    grpc.aio.UsageError,
    asyncio.InvalidStateError,
)
"""Errors that grpc.aio raises for a stream that the remote side has ended:
InternalError during a send, the others for calls after the end was seen."""


@dataclasses.dataclass
class _BrokerLink:
    """Both ends of a queue of outgoing frames, and the time of its last use."""

    frames: Any
    source: Any
    used_at: float


class BrokerLinks:
    """Maintains the streams from this instance to the brokers of others."""

    def __init__(
        self,
        own_instance: str,
        host: BrokerHost,
        peer_credentials: PeerCredentials,
        counters: Counters,
        guard: TaskGuard,
    ):
        self._own_instance = own_instance
        self._guard = guard
        self._broker_host = host
        self._credentials = peer_credentials
        self._counters = counters
        self._links_by_peer: dict[str, _BrokerLink] = {}
        self._task_group: anyio.abc.TaskGroup | None = None
        self._address_of: Callable[[str], str | None] = lambda name: None
        self._permit_client = None

    def set_handler(
        self, permit_client, address: Callable[[str], str | None]
    ) -> None:
        """Sets the handler of broker frames and the address lookup.

        Args:
            permit_client: Handles the frames and the changes of links.
            address: Returns the address of an instance, or None.
        """
        self._permit_client = permit_client
        self._address_of = address
        self._broker_host.connect(
            self._own_instance,
            lambda frame: permit_client.on_frame(self._own_instance, frame),
        )

    async def run(self) -> None:
        """Runs the links until cancelled."""
        async with anyio.create_task_group() as group:
            self._task_group = group
            await anyio.sleep_forever()

    def send(self, peer: str, frame: InstanceFrame) -> None:
        """Queues a frame for the broker of an instance.

        A frame may be lost with its link; the permit client sends its full
        state again when the link is re-established.
        """
        if peer in (self._own_instance, ""):
            self._broker_host.on_frame(frame)
            return
        link = self._links_by_peer.get(peer)
        if link is None:
            if self._task_group is None:
                return
            frames, source = anyio.create_memory_object_stream(
                MAX_QUEUED_FRAMES
            )
            link = _BrokerLink(frames, source, time.monotonic())
            self._links_by_peer[peer] = link
            self._task_group.start_soon(self._run_link, peer, link)
        link.used_at = time.monotonic()
        try:
            link.frames.send_nowait(frame)
        except (anyio.WouldBlock, anyio.BrokenResourceError):
            self._counters.incr("link.dropped_frames")

    async def _run_link(self, peer: str, link: _BrokerLink) -> None:
        try:
            while time.monotonic() - link.used_at < LINK_IDLE_TIMEOUT_S:
                address = self._address_of(peer)
                if address is None:
                    break
                try:
                    await self._run_stream(peer, address, link)
                except* grpc.aio.AioRpcError:
                    # An exception group, since a task group reads and writes
                    # the stream. If it were not caught, the crash of one
                    # instance would terminate every other one.
                    self._counters.incr("link.broken")
                except* Exception:
                    self._counters.incr("link.failed")
                    _log.exception("a link to a broker failed")
                self._permit_client.on_link_down(peer)
                await anyio.sleep(RECONNECT_PAUSE_S)
        finally:
            self._links_by_peer.pop(peer, None)
            link.frames.close()
            link.source.close()

    async def _run_stream(
        self, peer: str, address: str, link: _BrokerLink
    ) -> None:
        async with self._credentials.channel(address) as channel:
            method = channel.stream_stream(
                PERMITS_METHOD,
                response_deserializer=foreignbytes.msgpack_reader(BrokerFrame),
            )
            call = method(metadata=self._credentials.metadata)
            await call.wait_for_connection()
            # Frames queued for the former connection are obsolete: the permit
            # client sends its full state again.
            _drain(link.source)
            self._permit_client.on_link_up(peer)
            async with anyio.create_task_group() as group:
                group.start_soon(self._write, call, link)
                try:
                    async for frame in call:
                        self._counters.incr("link.frames_in")
                        self._guard.handle(
                            "broker frame",
                            self._permit_client.on_frame,
                            peer,
                            frame,
                        )
                finally:
                    group.cancel_scope.cancel()

    async def _write(self, call, link: _BrokerLink) -> None:
        try:
            async for frame in link.source:
                merged = _merge([frame, *_drain(link.source)])
                try:
                    data = _encode(merged)
                except ENCODE_ERRORS as exc:
                    self._counters.incr("message.dropped")
                    _log.warning("a frame for a broker was dropped: %r", exc)
                    continue
                self._counters.incr("link.frames_out")
                await call.write(data)
        except (grpc.aio.AioRpcError, *STREAM_ENDED_ERRORS):
            # If not caught, the end of the remote stream would terminate this
            # instance.
            call.cancel()


class PeerServer:
    """gRPC server for the other instances: permits and manifests."""

    def __init__(
        self,
        host: BrokerHost,
        peer_credentials: PeerCredentials,
        manifest: Callable[[], ManifestReply],
        guard: TaskGuard,
    ):
        self._broker_host = host
        self._guard = guard
        self._credentials = peer_credentials
        self._manifest = manifest
        self._server = grpc.aio.server()
        handlers = {
            "Permits": grpc.stream_stream_rpc_method_handler(
                self._serve_permits,
                request_deserializer=foreignbytes.msgpack_reader(InstanceFrame),
                response_serializer=_encode,
            ),
            "Manifest": grpc.unary_unary_rpc_method_handler(
                self._serve_manifest,
                request_deserializer=foreignbytes.msgpack_reader(
                    ManifestPointer
                ),
                response_serializer=_encode,
            ),
        }
        self._server.add_generic_rpc_handlers(
            (grpc.method_handlers_generic_handler(SERVICE, handlers),)
        )

    async def start(self, address: str) -> None:
        """Binds the address and starts to serve."""
        self._credentials.bind_port(self._server, address)
        await self._server.start()

    async def stop(self) -> None:
        """Stops without a grace period; clients switch to another broker."""
        await self._server.stop(None)

    async def _serve_permits(self, requests, context) -> None:
        await self._authenticate(context)
        frames, source = anyio.create_memory_object_stream(MAX_QUEUED_FRAMES)
        entry = ""
        async with frames, source, anyio.create_task_group() as group:

            def send(frame: BrokerFrame) -> None:
                try:
                    frames.send_nowait(frame)
                except (anyio.WouldBlock, anyio.BrokenResourceError):
                    # A peer that does not read has crashed or is frozen. It
                    # sends its full state again when it reconnects.
                    group.cancel_scope.cancel()

            async def write() -> None:
                try:
                    async for frame in source:
                        await context.write(frame)
                except STREAM_ENDED_ERRORS:
                    # The client disconnected between two frames. Its permits
                    # are kept for a while, as after any lost link. If not
                    # caught, each further frame would log a traceback.
                    group.cancel_scope.cancel()

            group.start_soon(write)
            try:
                async for frame in requests:
                    if not entry:
                        entry = frame.instance
                        self._broker_host.connect(entry, send)
                    self._guard.handle(
                        "frame", self._broker_host.on_frame, frame
                    )
            finally:
                if entry:
                    self._broker_host.disconnect(entry, send)
                group.cancel_scope.cancel()

    async def _serve_manifest(
        self, pointer: ManifestPointer, context
    ) -> ManifestReply:
        del pointer
        await self._authenticate(context)
        return self._manifest()

    async def _authenticate(self, context) -> None:
        if self._credentials.is_valid(context.invocation_metadata()):
            return
        try:
            await context.abort(
                grpc.StatusCode.UNAUTHENTICATED,
                "send the peer secret of the settings as authorization",
            )
        except STREAM_ENDED_ERRORS as exc:
            # The client has disconnected; the call must not continue.
            raise asyncio.CancelledError from exc


async def fetch_manifest(
    peer_credentials: PeerCredentials, address: str, pointer: ManifestPointer
) -> ManifestReply | None:
    """Fetches the manifest that an instance holds; None if that fails."""
    async with peer_credentials.channel(address) as channel:
        method = channel.unary_unary(
            MANIFEST_METHOD,
            request_serializer=_encode,
            response_deserializer=foreignbytes.msgpack_reader(ManifestReply),
        )
        try:
            return await method(
                pointer,
                metadata=peer_credentials.metadata,
                timeout=FETCH_TIMEOUT_S,
            )
        except grpc.aio.AioRpcError:
            return None


class GossipTransport:
    """Sends and receives gossip; signs all datagrams with the peer secret."""

    def __init__(
        self,
        membership: Membership,
        secret: str,
        counters: Counters,
        on_gossip: Callable[[Gossip], None],
        guard: TaskGuard,
    ):
        self._guard = guard
        self._membership = membership
        self._signer = itsdangerous.Signer(
            secret, salt="gossip", digest_method=hashlib.sha256
        )
        self._counters = counters
        self._on_gossip = on_gossip
        self._outbox, self._outbox_source = anyio.create_memory_object_stream(
            MAX_QUEUED_DATAGRAMS
        )
        self._decode = foreignbytes.msgpack_reader(Gossip)

    async def run(self, address: str, interval_s: float) -> None:
        """Probes members and answers datagrams until cancelled."""
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
                self._guard.handle("gossip", self._receive, data)

    def send(self, outgoing: list[Send]) -> None:
        """Queues datagrams; later probes repeat the content of lost ones."""
        for item in outgoing:
            try:
                self._outbox.send_nowait(item)
            except anyio.WouldBlock:
                self._counters.incr("gossip.dropped")

    async def _write(self, socket: anyio.abc.UDPSocket) -> None:
        # Only this task writes: the socket rejects concurrent writers, and
        # probes, replies and notices may be due at the same time.
        async for item in self._outbox_source:
            try:
                data = self._signer.sign(_encode(item.gossip))
                host, port = split_address(item.address)
            except ENCODE_ERRORS as exc:
                self._counters.incr("message.dropped")
                _log.warning("gossip was dropped: %r", exc)
                continue
            self._counters.incr("gossip.out")
            self._counters.incr("gossip.bytes_out", len(data))
            try:
                await socket.sendto(data, host, port)
            except OSError:
                self._counters.incr("gossip.send_failed")

    async def _probe(self, interval_s: float) -> None:
        while True:
            self._guard.handle("probe", self._send_probe)
            await anyio.sleep(interval_s)

    def _send_probe(self) -> None:
        self.send(self._membership.probe(time.monotonic()))

    def _receive(self, data: bytes) -> None:
        self._counters.incr("gossip.in")
        try:
            gossip = self._decode(self._signer.unsign(data))
        except (itsdangerous.BadSignature, ForeignDataError):
            self._counters.incr("gossip.rejected")
            return
        answers = self._membership.receive(gossip, time.monotonic())
        self._on_gossip(gossip)
        self.send(answers)


def _drain(source) -> list[InstanceFrame]:
    frames = []
    while True:
        try:
            frames.append(source.receive_nowait())
        except anyio.WouldBlock:
            return frames


def _merge(frames: list[InstanceFrame]) -> InstanceFrame:
    if len(frames) == 1:
        return frames[0]
    return InstanceFrame(
        frames[0].instance,
        frames[0].incarnation,
        [item for frame in frames for item in frame.asks],
        [item for frame in frames for item in frame.held],
        [item for frame in frames for item in frame.releases],
        [item for frame in frames for item in frame.borrows],
    )
