"""Opens connections to backend servers through other instances.

See `relayport` for the exchange. A relayed connection appears to its protocol
as a transport like that of a direct one, and breaks off with an error if
the other instance or the connection to it ends first.
"""

import asyncio
import dataclasses
import itertools
import math
import random
import time
from collections.abc import Callable
from typing import Any
from urllib.parse import quote

import anyio
import httptools

from jasminerelay import netstream, relayport
from jasminerelay.addresses import split_address
from jasminerelay.catalog import BackendServer
from jasminerelay.datagrams import READ_BYTES
from jasminerelay.httpclient import NotSentError, ServerUnreachedError
from jasminerelay.metrics import Counters
from jasminerelay.scheduling.serverpaths import RELAY_LOST
from jasminerelay.schema.messages import Member
from jasminerelay.serverconnection import ServerConnection
from jasminerelay.watchdog import Watchdog

OPEN_TIMEOUT_S = 0.6
"""Time limit for one instance; more than it takes to find out that a server
does not answer."""

MAX_TRIED = 5
ENOUGH_UNREACHED = 2
"""Witnesses that do not reach a server after which no more are asked. A single
one may be cut off, too, without knowing it yet, and so may all of one zone."""

LEFT_OUT_S = 2.0
"""Time for which an instance is not asked after it refused or broke off, and a
zone is asked last after another one has opened what it could not."""

MIN_NEAR_SHARE = 0.5
"""Share of the own zone's instances that must be available for one of these to
be asked first. Otherwise a few would carry a zone that is cut off."""


@dataclasses.dataclass(frozen=True)
class RelayedConnection:
    """A connection to a server that another instance relays.

    Attributes:
        conn: The connection.
        instance: The relaying instance.
        protocol: The exchange with it.
    """

    conn: ServerConnection
    instance: str
    protocol: "RelayProtocol"


class RelayClient:
    """Asks other instances to relay connections."""

    def __init__(
        self,
        zone: str,
        peers: Callable[[], list[Member]],
        watchdog: Watchdog,
        counters: Counters,
        rng: random.Random,
    ):
        """Creates the client.

        Args:
            zone: Availability zone of this instance.
            peers: Returns the other live instances.
            watchdog: Enforces the time limits of reads.
            counters: Counts connections and refusals.
            rng: Chooses instances.
        """
        self._zone = zone
        self._peers = peers
        self._watchdog = watchdog
        self._counters = counters
        self._rng = rng
        self._left_out_until: dict[str, float] = {}
        self._zone_last_until = -math.inf

    async def open(
        self, server: BackendServer, *, ask_all: bool = False
    ) -> RelayedConnection:
        """Opens a connection.

        Args:
            server: The server.
            ask_all: Whether to ask instances that are left out, too, after the
                others. Their word may be all there is.

        Raises:
            NotSentError: if no instance could open one.
        """
        failed_zones: set[str] = set()
        witnesses: list[str] = []
        refused_there = False
        for member in self._choose(time.monotonic(), ask_all=ask_all):
            conn = ServerConnection(self._watchdog)
            protocol = RelayProtocol(member.peers, server.id, conn)
            status = 0
            try:
                with anyio.fail_after(OPEN_TIMEOUT_S):
                    status = await _open(member, protocol)
            except (OSError, ValueError):
                # A member's address may be malformed.
                pass
            finally:
                if status != relayport.OPEN:
                    protocol.abort()
                    conn.close()
            if status == relayport.OPEN:
                self._counters.incr("path.relayed")
                if member.zone != self._zone and self._zone in failed_zones:
                    self._zone_last_until = time.monotonic() + LEFT_OUT_S
                return RelayedConnection(conn, member.instance, protocol)
            self._counters.incr("path.relay_failed")
            failed_zones.add(member.zone)
            if protocol.reason == relayport.UNKNOWN:
                # It relays connections to other servers.
                continue
            if status != relayport.SERVER_UNREACHABLE:
                self.leave_out(member.instance)
                continue
            witnesses.append(member.zone)
            refused_there |= protocol.reason == relayport.REFUSED
            if self._are_enough(witnesses):
                raise ServerUnreachedError(
                    "other instances do not reach it either",
                    refused_there=refused_there,
                )
        if witnesses:
            raise ServerUnreachedError(
                "another instance does not reach it",
                refused_there=refused_there,
            )
        raise NotSentError("no other instance relays connections")

    def _are_enough(self, witnesses: list[str]) -> bool:
        """Returns whether instances of these zones show that a server is down.

        Those of one zone may share its cut, unless there is no other.
        """
        zones = {peer.zone for peer in self._peers()}
        several = len(set(witnesses)) > 1 or len(zones) < 2
        return len(witnesses) >= ENOUGH_UNREACHED and several

    def relays(self, instance: str) -> bool:
        """Returns whether an instance goes on relaying; not one that stops."""
        return any(peer.instance == instance for peer in self._peers())

    def leave_out(self, instance: str) -> None:
        """Asks an instance for nothing for a while."""
        self._left_out_until[instance] = time.monotonic() + LEFT_OUT_S

    def _choose(self, now: float, *, ask_all: bool = False) -> list[Member]:
        """Returns the instances to ask, in order."""
        self._left_out_until = {
            name: until
            for name, until in self._left_out_until.items()
            if until > now
        }
        peers = self._peers()
        found = [x for x in peers if x.instance not in self._left_out_until]
        found = self._rng.sample(found, len(found))
        zone_count = sum(x.zone == self._zone for x in peers)
        near_count = sum(x.zone == self._zone for x in found)
        if now < self._zone_last_until:
            order = _zones_in_turn(found, last=self._zone)
        elif near_count >= MIN_NEAR_SHARE * zone_count:
            order = _zones_in_turn(found, first=self._zone)
        else:
            order = _zones_in_turn(found)
        if ask_all:
            order += [x for x in peers if x.instance in self._left_out_until]
        return order[:MAX_TRIED]


def _zones_in_turn(
    members: list[Member], first: str | None = None, last: str | None = None
) -> list[Member]:
    """Returns instances in an order that has one of each zone in turn.

    Args:
        members: The instances in random order.
        first: The zone that comes first; None for any.
        last: The zone that comes after all others; None for none.
    """
    by_zone: dict[str, list[Member]] = {}
    for member in members:
        by_zone.setdefault(member.zone, []).append(member)
    end = by_zone.pop(last, [])
    zones = sorted(by_zone, key=lambda zone: zone != first)
    rounds = itertools.zip_longest(*(by_zone[zone] for zone in zones))
    return [member for found in rounds for member in found if member] + end


async def _open(member: Member, protocol: "RelayProtocol") -> int:
    """Asks one instance; returns its status."""
    loop = asyncio.get_running_loop()
    host, port = split_address(member.peers)
    transport, _ = await loop.create_connection(lambda: protocol, host, port)
    netstream.enable_keepalive(transport.get_extra_info("socket"))
    return await protocol.status


class RelayProtocol(asyncio.Protocol):
    """The exchange with the relaying instance.

    Attributes:
        status: Future of its status.
        lost: Whether it ended without saying how the server's side ended.
        reason: Why the relaying instance opened no connection, if it says so.
    """

    def __init__(self, address: str, server: str, conn: ServerConnection):
        """Creates the protocol of one connection.

        Args:
            address: IP:port of the relaying instance.
            server: Id of the server.
            conn: Receives the server's bytes.
        """
        self._head = (
            f"POST {relayport.RELAY_PATH}?{relayport.SERVER_FIELD}"
            f"={quote(server, safe='')} HTTP/1.1\r\nHost: {address}\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        ).encode()
        self._conn = conn
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._is_open = False
        self._ended = False
        self._partial_head = b""
        self._data_left = 0
        self.lost = False
        self.reason = b""
        self.status: asyncio.Future[int] = (
            asyncio.get_running_loop().create_future()
        )

    def abort(self) -> None:
        """Closes the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Asks for the connection to the server."""
        transport.max_size = READ_BYTES
        self._transport = transport
        transport.write(self._head)

    def data_received(self, data: bytes) -> None:
        """Passes the bytes of the server on."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            self._fail(ConnectionError(f"relay: {exc}"))

    def connection_lost(self, exc: Exception | None) -> None:
        """Breaks the server's connection off, unless its end has arrived."""
        self._fail(exc or ConnectionResetError(RELAY_LOST))

    def pause_writing(self) -> None:
        """Stops the sending of the request."""
        self._conn.pause_writing()

    def resume_writing(self) -> None:
        """Resumes it."""
        self._conn.resume_writing()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Reads why the server was not reached."""
        if name.lower() == relayport.REASON_FIELD:
            self.reason = value

    def on_headers_complete(self) -> None:
        """Reports the status."""
        if self.status.done():
            # Another response, which belongs to nothing.
            self._is_open = False
            return
        status = self._parser.get_status_code()
        if status == relayport.OPEN:
            self._is_open = True
            self._conn.connection_made(RelayTransport(self._transport))
        self.status.set_result(status)

    def on_body(self, data: bytes) -> None:
        """Passes the server's bytes and its end on."""
        while data and self._is_open and not self._ended:
            if self._data_left:
                part = data[: self._data_left]
                self._data_left -= len(part)
                data = data[len(part) :]
                self._conn.data_received(part)
                continue
            missing = relayport.FRAME_HEAD.size - len(self._partial_head)
            self._partial_head += data[:missing]
            data = data[missing:]
            if len(self._partial_head) == relayport.FRAME_HEAD.size:
                kind, size = relayport.FRAME_HEAD.unpack(self._partial_head)
                self._partial_head = b""
                self._data_left = size
                if kind != relayport.DATA:
                    self._end(kind)

    def _end(self, kind: int) -> None:
        self._ended = True
        if kind == relayport.ENDED:
            self._conn.eof_received()
            self._conn.connection_lost(None)
        else:
            self._conn.connection_lost(
                ConnectionResetError("reset by the server")
            )

    def on_message_complete(self) -> None:
        """Closes the connection."""
        self._transport.close()

    def _fail(self, exc: Exception) -> None:
        if not self.status.done():
            self.status.set_exception(exc)
        if self._is_open and not self._ended:
            self._ended = self.lost = True
            self._conn.connection_lost(exc)
        self.abort()


class RelayTransport(asyncio.Transport):
    """Transport of a connection that another instance relays."""

    def __init__(self, outer: asyncio.Transport):
        """Creates the transport.

        Args:
            outer: Transport of the connection to that instance.
        """
        super().__init__()
        self._outer = outer
        self.max_size = READ_BYTES

    def write(self, data: bytes) -> None:
        """Sends bytes to the server."""
        if len(data):
            self._outer.write(b"%x\r\n%b\r\n" % (len(data), bytes(data)))

    def abort(self) -> None:
        """Closes the connection at once."""
        self._outer.abort()

    def close(self) -> None:
        """Closes the connection."""
        self._outer.abort()

    def is_closing(self) -> bool:
        """Returns whether it is closed or closing."""
        return self._outer.is_closing()

    def pause_reading(self) -> None:
        """Stops reading."""
        self._outer.pause_reading()

    def resume_reading(self) -> None:
        """Reads again."""
        self._outer.resume_reading()

    def get_write_buffer_size(self) -> int:
        """Returns the number of bytes that are not sent."""
        return self._outer.get_write_buffer_size()

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Returns information on the connection to the other instance."""
        return self._outer.get_extra_info(name, default)
