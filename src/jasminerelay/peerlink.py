"""Messages between the instances of a platform: datagrams and snapshots.

Each instance sends its load and the versions of its data to a few others
several times a second, and probes one other to check that it is alive. An
instance whose data is behind, as when the store rejects its calls, fetches the
missing rows from another instance.
"""

import functools
import itertools
import math
import random
import time
import zlib
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qs

import anyio
import msgspec

from jasminerelay import foreignbytes, peermessages, storeversion
from jasminerelay.datagrams import DatagramSocket
from jasminerelay.dispatcher import Dispatcher
from jasminerelay.errors import ForeignDataError
from jasminerelay.eventlog import EventLog
from jasminerelay.followerroles import FollowerRole
from jasminerelay.freshness import Freshness, now_s
from jasminerelay.httpclient import (
    MAX_LONG_RESPONSE_BYTES,
    HttpClient,
    HttpRequest,
    IncompleteExchangeError,
    NotSentError,
)
from jasminerelay.membership import (
    FORGET_AFTER_S,
    LEAVING,
    Membership,
    Send,
)
from jasminerelay.metrics import Counters
from jasminerelay.ownedcells import OwnedCells
from jasminerelay.peerstatus import PeerStatusTable
from jasminerelay.placementclient import PlacementClient
from jasminerelay.registry import Registry, StoreStatus
from jasminerelay.schema.messages import (
    CellUpdate,
    CrashedServers,
    CrashReport,
    DrainMessage,
    DutyMessage,
    HandoverRequest,
    HandoverTotals,
    LimitMessage,
    Member,
    OriginAnswer,
    OriginQuery,
    OwnerAnswers,
    PeerMessage,
    ReplicaStatus,
    StoreSnapshot,
    StreamsBegun,
)
from jasminerelay.statednumbers import parse_whole
from jasminerelay.taskguard import TaskGuard

LOAD_INTERVAL_S = 0.1
"""Interval between load reports while loads change. With older reports several
instances send their requests to the same server at once."""

LOAD_FANOUT = 16
"""Instances that receive each load report, whatever their total number."""

OWNER_FANOUT = 12
"""Maximum number of cell owners among these when the sender owns cells. Owners
use the reports to redirect requests; other instances need them only when an
owner fails."""

PROBE_ROUNDS = 2
"""Load rounds between two probes. The failure of an instance must be detected
before the entry lists of callers expire."""

FOLLOWER_ROUNDS = 4
"""Load rounds between two messages of a follower to the instances of its zone
that do not follow the store themselves."""

SUSPECT_S = 0.8
"""Time without a message after a missed probe until an instance counts as
failed."""

JOIN_INTERVAL_S = 2.0
"""Interval between attempts to reach addresses of unknown instances."""

EARLY_JOIN_INTERVAL_S = 0.2
EARLY_JOIN_PERIOD_S = 5.0
"""Interval between these attempts after the start, and for how long it applies.
If all instances start at once, the first attempts are sent before the others
listen. At the usual interval each instance considered itself the only one for
two seconds, and filled the engines as if no other instance sent requests to
them."""

JOIN_FANOUT = 8
"""Addresses tried in one attempt; gossip supplies the rest."""

FETCH_TIMEOUT_S = 1.0

START_FETCH_S = 0.02
"""Interval at which an instance without data looks for one to fetch from."""

UNREADABLE_LOG_INTERVAL_S = 60.0
"""Minimum time between two log lines of malformed datagrams."""

SNAPSHOT_PATH = "/snapshot"
CONFIGURATION_FIELD = "configuration"
SERVERS_FIELD = "servers"
ERA_FIELD = "era"
CATALOG_FIELD = "catalog"
"""Query fields of a snapshot request: the store's version of the requester's
configuration, the store's version up to which the requester has all servers'
rows with its era, and the operator's version of the configuration."""

COMPRESSION_LEVEL = 1
"""Fastest compression level. It shrinks a configuration to a sixth, and one
instance sends it to several others for each change, sometimes several times a
second."""

_encode = msgspec.msgpack.encode
_decode_snapshot = foreignbytes.msgpack_reader(StoreSnapshot)


class PeerLink:
    """Exchanges messages with other instances, and tracks their state."""

    def __init__(
        self,
        own: Member,
        registry: Registry,
        freshness: Freshness,
        dispatcher: Dispatcher,
        client: HttpClient,
        counters: Counters,
        log: EventLog,
        rng: random.Random,
    ):
        self.membership = Membership(own, SUSPECT_S, rng)
        self._registry = registry
        self._freshness = freshness
        self._dispatcher = dispatcher
        self._client = client
        self._counters = counters
        self._log = log
        self._rng = rng
        self._number = 0
        self.peer_status = PeerStatusTable(registry, freshness)
        # Looked up once: each access to the method creates it anew.
        self._dispatch_message = self._dispatch
        self._behind = anyio.Event()
        self._addresses: set[str] = set()
        # By address, since when it has been tried.
        self._unmet: dict[str, float] = {}
        self._is_running = False
        self._began_at = self._last_tried_at = -math.inf
        self._unreadable_logged_at = -math.inf
        self._guard = TaskGuard(counters, log)
        self._live: set[str] = set()
        self._live_members: list[Member] = []
        self._socket = DatagramSocket(
            functools.partial(self._guard.handle, "datagram", self._receive),
            self._on_socket_error,
        )
        self._owned: OwnedCells | None = None
        self._placement_client: PlacementClient | None = None
        self._follower_role: FollowerRole | None = None
        self.on_round: Callable[[], Awaitable[None]] = _do_nothing
        self.on_snapshot: Callable[[StoreSnapshot, str], None] = lambda *_: None
        self.on_store_lost: Callable[[], None] = lambda: None
        self.on_crashes: Callable[[CrashReport], None] = lambda message: None
        self.on_limits: Callable[[LimitMessage], None] = lambda message: None
        self.on_duty: Callable[
            [DutyMessage | HandoverRequest | HandoverTotals], None
        ] = lambda message: None
        self.on_crashed_servers: Callable[[CrashedServers], None] = (
            lambda message: None
        )
        self.on_drains: Callable[[DrainMessage], None] = lambda message: None
        self.on_origins: Callable[
            [StreamsBegun | OriginQuery | OriginAnswer], None
        ] = lambda message: None

    @property
    def count(self) -> int:
        """Number of live instances, including this one."""
        return max(1, len(self.membership.live()))

    @property
    def known_count(self) -> int:
        """Number of instances in the membership list, including failed ones."""
        return self.membership.known_count

    @property
    def expected_count(self) -> int:
        """Number of known instances, and of those announced and not met yet."""
        oldest = time.monotonic() - FORGET_AFTER_S
        return self.known_count + sum(
            since > oldest for since in self._unmet.values()
        )

    def add_addresses(self, addresses: set[str]) -> None:
        """Adds addresses at which other instances may listen."""
        added = addresses - {self.membership.own_member.peers}
        if added - self._addresses:
            self._addresses |= added
            if self._is_running:
                self._try_addresses()

    @property
    def has_addresses(self) -> bool:
        """Whether any address of another instance is known."""
        return bool(self._addresses)

    def announce_ready(self) -> None:
        """Announces that this instance accepts callers."""
        self._send_all(self.membership.announce_ready())

    def announce_leaving(self) -> None:
        """Announces that this instance accepts no more callers."""
        self._send_all(self.membership.announce_leaving())

    def connect_components(
        self,
        owned: OwnedCells,
        placement_client: PlacementClient,
        follower_role: FollowerRole,
    ) -> None:
        """Connects the components for cells and for following the store.

        Args:
            owned: Decides for the cells that this instance owns.
            placement_client: Requests placements from the owners of cells.
            follower_role: Decides which instances follow the store for others.
        """
        self._owned = owned
        self._placement_client = placement_client
        self._follower_role = follower_role
        owned.answer = self._send_answer
        placement_client.send = self._send_to_owner

    def send_message(
        self,
        member: Member,
        message: (
            CrashReport
            | LimitMessage
            | DutyMessage
            | DrainMessage
            | HandoverRequest
            | HandoverTotals
            | CrashedServers
        ),
    ) -> None:
        """Sends a message to another instance."""
        self.send_to_address(member.peers, message)

    def send_to_address(
        self, address: str, message: peermessages.Message
    ) -> None:
        """Sends a message to the address of another instance."""
        self._encode_and_send([address], message)

    def _send_to_owner(self, owner: Member, message: CellUpdate) -> None:
        if owner.instance == self.membership.own_member.instance:
            self._owned.handle_message(message)
        else:
            self._encode_and_send([owner.peers], message)

    def _send_answer(self, address: str, message: OwnerAnswers) -> None:
        if address == self.membership.own_member.peers:
            self._placement_client.handle_message(message)
        else:
            self._encode_and_send([address], message)

    @property
    def _uses_owners(self) -> bool:
        return (
            self._placement_client is not None and self._placement_client.active
        )

    async def run(self) -> None:
        """Exchanges messages with the other instances until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._socket.run, self.membership.own_member.peers)
            group.start_soon(
                self._guard.keep_running, "catching up", self._catch_up
            )
            self._is_running = True
            await self._run_rounds()

    async def _run_rounds(self) -> None:
        self._began_at = time.monotonic()
        for number in itertools.count():
            await self._guard.attempt("round", self.on_round)
            self._guard.handle("round", self._send_round, number)
            await anyio.sleep(LOAD_INTERVAL_S * self._rng.uniform(0.9, 1.1))

    def _send_round(self, number: int) -> None:
        """Sends the messages of a round.

        Args:
            number: Rounds before this one.
        """
        now = time.monotonic()
        is_early = now - self._began_at < EARLY_JOIN_PERIOD_S
        interval_s = EARLY_JOIN_INTERVAL_S if is_early else JOIN_INTERVAL_S
        if now - self._last_tried_at > interval_s:
            self._last_tried_at = now
            self._try_addresses()
        if number % PROBE_ROUNDS == 0:
            self._send_all(self.membership.probe(now))
            self._note_changes()
        changed = self._dispatcher.workload.changed
        self._dispatcher.workload.changed = False
        if len(self._owned) if self._uses_owners else changed:
            self._send_loads()
        if number % FOLLOWER_ROUNDS == 0:
            self.notify_dependents()

    def notify_dependents(self) -> None:
        """Sends the data's versions to instances that depend on this one.

        Where the versions are newer, those instances fetch the rows from here
        instead of asking the store each.
        """
        self._send_status(self._follower_role.change_recipients())

    def broadcast_confirmation(self) -> None:
        """Notifies the others that the store confirmed the data, or is lost.

        An instance that has the same or newer versions adopts this age for its
        data, and need not ask the store.
        """
        self._send_status(self._follower_role.confirmation_recipients())

    def without_store(self) -> list[str]:
        """Returns the instances that lost the store; may include this one."""
        lost = self.peer_status.without_store()
        if self._registry.standing.touch == StoreStatus.UNREACHABLE:
            lost.append(self.membership.own_member.instance)
        return lost

    def starting(self) -> list[str]:
        """Returns the instances that do not accept callers yet or any more."""
        return [
            member.instance
            for member in self.membership.view
            if member.state == LEAVING
        ]

    def _send_status(self, members: list[Member]) -> None:
        if not members:
            return
        message = self._peer_message(None)
        self._send_periodic([x.peers for x in members], message)

    def _try_addresses(self) -> None:
        sends = self.membership.join_datagrams(self._addresses)
        now = time.monotonic()
        self._unmet = {
            send.address: self._unmet.get(send.address, now) for send in sends
        }
        count = min(JOIN_FANOUT, len(sends))
        self._send_all(self._rng.sample(sends, count))

    def _send_loads(self) -> None:
        peers = self.membership.reachable_peers()
        chosen = self._rng.sample(peers, min(LOAD_FANOUT, len(peers)))
        if self._uses_owners:
            owners = self._placement_client.other_owners()
            count = min(OWNER_FANOUT, len(owners))
            chosen = self._rng.sample(owners, count) + chosen[count:]
        message = msgspec.structs.replace(
            self._peer_message(None),
            samples=self._dispatcher.engine_models.take_unsent_samples(),
            cached=self._dispatcher.announcements.take_unsent(),
        )
        if message.cached:
            self._counters.incr("prefix.announced", len(message.cached))
        self._send_periodic([x.peers for x in chosen], message)

    def _send_all(self, sends: list[Send]) -> None:
        for send in sends:
            message = self._peer_message(send.gossip)
            self._send_periodic([send.address], message)

    def _peer_message(self, gossip) -> PeerMessage:
        self._number += 1
        now = time.monotonic()
        if self._uses_owners:
            loads, demand = self._owned.loads(now), self._owned.demand()
            queues = self._owned.queue_estimates()
        else:
            queues = []
            loads = self._dispatcher.own_loads(now)
            demand = self._dispatcher.own_demand()
        return PeerMessage(
            gossip,
            self.membership.own_member.instance,
            self._number,
            self._own_status(),
            peermessages.load_columns(loads),
            peermessages.demand_columns(demand),
            queues=queues,
        )

    def _own_status(self) -> ReplicaStatus:
        age_s = self._freshness.age_s(now_s())
        age_ms = -1 if math.isinf(age_s) else int(age_s * 1000)
        return msgspec.structs.replace(self._registry.standing, age_ms=age_ms)

    def _send_periodic(
        self, addresses: list[str], message: PeerMessage
    ) -> None:
        """Sends the periodic message, without its figures if they are faulty.

        The others take an instance that sends none for a failed one.
        """
        if not self._encode_and_send(addresses, message):
            self._encode_and_send(addresses, peermessages.without_load(message))

    def _encode_and_send(
        self, addresses: list[str], message: peermessages.Message
    ) -> bool:
        """Sends a message; drops it and returns false if it isn't encodable."""
        try:
            data = peermessages.encode(message)
        except peermessages.ENCODE_ERRORS as exc:
            self._counters.incr("message.dropped")
            self._log.warn(
                "message_dropped", kind=type(message).__name__, why=repr(exc)
            )
            return False
        for address in addresses:
            self._send_to(address, data)
        return True

    def _send_to(self, address: str, data: bytes) -> None:
        if not self._socket.send(address, data):
            self._counters.incr("peer.outbox_full")

    def _on_socket_error(self, exc: Exception) -> None:
        self._counters.incr("peer.send_failed")
        self._log.info("peer_error", why=repr(exc))

    def _receive(self, data: bytes) -> None:
        try:
            message = peermessages.decode(data)
        except ForeignDataError as exc:
            self._report_unreadable(exc)
            return
        self._dispatch_message(message)

    def _report_unreadable(self, error: ForeignDataError) -> None:
        """Counts a malformed datagram; logs one in a while."""
        self._counters.incr("peer.unreadable")
        now = time.monotonic()
        if now - self._unreadable_logged_at < UNREADABLE_LOG_INTERVAL_S:
            return
        self._unreadable_logged_at = now
        self._log.warn("peer_unreadable", why=str(error))

    @functools.singledispatchmethod
    def _dispatch(self, message: CellUpdate) -> None:
        self._owned.handle_message(message)

    @_dispatch.register
    def _(self, message: OwnerAnswers) -> None:
        self._placement_client.handle_message(message)

    @_dispatch.register
    def _(self, message: CrashReport) -> None:
        self.on_crashes(message)

    @_dispatch.register
    def _(self, message: LimitMessage) -> None:
        self.on_limits(message)

    @_dispatch.register
    def _(
        self, message: DutyMessage | HandoverRequest | HandoverTotals
    ) -> None:
        self.on_duty(message)

    @_dispatch.register
    def _(self, message: CrashedServers) -> None:
        self.on_crashed_servers(message)

    @_dispatch.register
    def _(self, message: DrainMessage) -> None:
        self.on_drains(message)

    @_dispatch.register
    def _(self, message: StreamsBegun | OriginQuery | OriginAnswer) -> None:
        self.on_origins(message)

    @_dispatch.register
    def _(self, message: PeerMessage) -> None:
        self._handle_peer_message(message)

    def _handle_peer_message(self, message: PeerMessage) -> None:
        now = time.monotonic()
        if message.sender == self.membership.own_member.instance:
            return
        if self.peer_status.reports_store_loss(
            message.sender, message.standing
        ):
            self.on_store_lost()
        self.peer_status.record_report(
            message.sender, message.standing, now, now_s()
        )
        if self.peer_status.is_behind:
            self._behind.set()
        loads = peermessages.load_rows(message.loads)
        self._dispatcher.apply_load_report(
            message.sender, message.number, loads, now
        )
        demand = peermessages.demand_rows(message.demand)
        self._dispatcher.demand.update(message.sender, demand, now)
        self._dispatcher.engine_models.add_peer_samples(message.samples, now)
        if message.cached:
            self._counters.incr("prefix.heard", len(message.cached))
            self._dispatcher.apply_cached_parts(message.cached)
        if self._owned is not None:
            self._owned.queues.update(message.queues, now)
            if message.standing.touch != StoreStatus.UNREACHABLE:
                self._follower_role.record_message(message.sender, now)
        if message.gossip is not None:
            self._send_all(self.membership.receive(message.gossip, now))

    async def _catch_up(self) -> None:
        while True:
            if not self.peer_status.is_behind:
                self._behind = anyio.Event()
                await self._behind.wait()
            complete = self._registry.complete
            await anyio.sleep(LOAD_INTERVAL_S if complete else START_FETCH_S)
            name = self.peer_status.fetch_source(time.monotonic())
            if name is not None:
                await self._fetch(name)

    async def _fetch(self, name: str) -> None:
        address = next(
            (
                member.peers
                for member in self.membership.view
                if member.instance == name
            ),
            None,
        )
        if address is None:
            return
        standing = self._registry.standing
        since = self._registry.delta_base_version
        exchange = HttpRequest(
            "GET",
            f"http://{address}{SNAPSHOT_PATH}"
            f"?{CONFIGURATION_FIELD}={standing.configuration_version}"
            f"&{SERVERS_FIELD}={storeversion.number_of(since)}"
            f"&{ERA_FIELD}={storeversion.era_of(since)}"
            f"&{CATALOG_FIELD}={standing.catalog}",
            timeout_s=FETCH_TIMEOUT_S,
            max_bytes=MAX_LONG_RESPONSE_BYTES,
        )
        try:
            reply = await self._client.call(exchange)
            snapshot = decompressed(_decode_snapshot(reply.body))
        except (
            NotSentError,
            IncompleteExchangeError,
            ForeignDataError,
        ) as exc:
            self._counters.incr("peer.fetch_failed")
            self._log.warn("snapshot_failed", peer=name, why=str(exc))
            return
        self._counters.incr("peer.fetched")
        self.on_snapshot(snapshot, name)
        self.peer_status.record_fetch(now_s())

    def _note_changes(self) -> None:
        self.peer_status.retain(self.membership.peer_names)
        members = self.membership.live()
        if members is self._live_members:
            return
        self._live_members = members
        live = {member.instance for member in members}
        for name in live - self._live:
            self._log.info("instance_live", peer=name)
        for name in self._live - live:
            self._log.warn("instance_not_live", peer=name)
        self._live = live


class SnapshotApp:
    """ASGI application that serves this instance's snapshots to others."""

    def __init__(self, registry: Registry):
        self._registry = registry
        self._compressed = (b"", b"")

    async def __call__(self, scope, receive, send) -> None:
        """Answers one request."""
        if scope["type"] != "http":
            return
        found = scope["path"] == SNAPSHOT_PATH
        query = parse_qs(scope["query_string"].decode("latin-1"))
        receiver_version = _version(query, CONFIGURATION_FIELD)
        since = self._registry.version_of_request(
            _version(query, ERA_FIELD, -1), _version(query, SERVERS_FIELD)
        )
        body = b""
        if found:
            body = _encode(
                self._compress(
                    self._registry.export_snapshot(
                        receiver_version,
                        since,
                        _version(query, CATALOG_FIELD, -1),
                    )
                )
            )
        await send(
            {
                "type": "http.response.start",
                "status": 200 if found else 404,
                "headers": [(b"content-length", str(len(body)).encode())],
            }
        )
        await send({"type": "http.response.body", "body": body})

    def _compress(self, snapshot: StoreSnapshot) -> StoreSnapshot:
        if not snapshot.configuration:
            return snapshot
        if self._compressed[0] != snapshot.configuration:
            data = zlib.compress(snapshot.configuration, COMPRESSION_LEVEL)
            self._compressed = (snapshot.configuration, data)
        return msgspec.structs.replace(
            snapshot, configuration=self._compressed[1]
        )


def decompressed(snapshot: StoreSnapshot) -> StoreSnapshot:
    """Returns a snapshot with its configuration decompressed.

    Raises:
        ForeignDataError: if the configuration cannot be decompressed, or is
            longer than an instance takes from the store.
    """
    if not snapshot.configuration:
        return snapshot
    stream = zlib.decompressobj()
    try:
        data = stream.decompress(
            snapshot.configuration, MAX_LONG_RESPONSE_BYTES
        )
    except zlib.error as exc:
        raise ForeignDataError(f"the configuration: {exc}") from None
    if not stream.eof:
        raise ForeignDataError("the configuration is too long, or cut off")
    return msgspec.structs.replace(snapshot, configuration=data)


async def _do_nothing() -> None:
    """Does nothing."""


def _version(query: dict[str, list[str]], field: str, missing: int = 0) -> int:
    """Returns a version from a snapshot request's query."""
    value = query.get(field, [""])[0]
    is_number = value.isascii() and value.isdigit()
    return parse_whole(value.encode()) if is_number else missing
