"""Words between the instances of a platform: datagrams and snapshots.

Each instance sends what it has under way and how new its knowledge is to a
few others several times a second, and probes one other for life. One that is
behind, as when the store turns it away, fetches what it lacks from another.
"""

import dataclasses
import functools
import math
import random
import time
import zlib
from collections.abc import Callable
from urllib.parse import parse_qs

import anyio
import msgspec

from jasminerelay import peerwords
from jasminerelay.asking import AskingRoom
from jasminerelay.dispatcher import Dispatcher
from jasminerelay.eventlog import EventLog
from jasminerelay.followers import Followers
from jasminerelay.freshness import Freshness, now_s
from jasminerelay.httpclient import (
    BrokenError,
    Client,
    Exchange,
    NotSentError,
)
from jasminerelay.membership import ALIVE, LEAVING, Membership, Send
from jasminerelay.metrics import Counters
from jasminerelay.ownedcells import OwnedCells
from jasminerelay.registry import Registry, Touch
from jasminerelay.schema.messages import (
    CrashWord,
    DutyWord,
    LimitWord,
    Member,
    OwnerWord,
    PeerWord,
    PlaceWord,
    Snapshot,
    Standing,
)
from jasminerelay.standings import PeerStandings

LOAD_EVERY_S = 0.1
"""How often loads are sent while they change. Choices by loads that are older
send several instances to the same server at once."""

LOAD_FANOUT = 16
"""Others that get the loads each time, whatever the number of instances."""

OWNERS_TOLD = 12
"""Owners of cells that an owner tells each time, in place of as many others.
They pass requests on by it; the others need it only where owners fail."""

PROBE_EVERY = 2
"""Probes are sent every so many rounds of loads: the others' death must show
before callers' entry lists expire."""

LEAD_EVERY = 4
"""Rounds between two words of who follows the store to those who do not."""

SUSPECT_S = 0.8
"""Silence after a missed probe until an instance counts as failed."""

GREET_EVERY_S = 2.0
"""How often addresses of unknown instances are tried."""

GREET_SOON_S = 0.2
GREET_SOON_FOR_S = 5.0
"""How often they are tried at first, and for how long. Where all instances are
started at once the first tries come before the others listen; with the usual
pace each took itself for the only one for two seconds, and filled the engines
as if nobody else sent to them."""

GREET_AT_ONCE = 8
"""Addresses tried at once; gossip brings the rest."""

FETCH_TIMEOUT_S = 1.0

MAX_OUTGOING = 200
"""Datagrams that wait to be sent; more are dropped, as a full link would."""

SNAPSHOT_PATH = "/snapshot"
KNOWN_FIELD = "configuration"
SINCE_FIELD = "servers"
"""Fields of its query: the version of the configuration that the asker has, and
the store's version up to which it knows all servers' rows."""

PACK_LEVEL = 1
"""Quickest compression. A configuration shrinks to a sixth, and one instance
gives it to several others for each change, in series some times a second."""

_encode = msgspec.msgpack.encode
_decode_snapshot = msgspec.msgpack.Decoder(Snapshot).decode


class PeerLink:
    """Owns the datagram socket and this instance's view of the others."""

    def __init__(
        self,
        own: Member,
        registry: Registry,
        freshness: Freshness,
        dispatcher: Dispatcher,
        client: Client,
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
        self.standings = PeerStandings(registry, freshness)
        self._addresses: set[str] = set()
        self._live: set[str] = set()
        self._outbox, self._outgoing = anyio.create_memory_object_stream(
            MAX_OUTGOING
        )
        self._owned: OwnedCells | None = None
        self._asking: AskingRoom | None = None
        self._followers: Followers | None = None
        self.on_snapshot: Callable[[Snapshot, str], None] = lambda *_: None
        self.on_store_lost: Callable[[], None] = lambda: None
        self.on_crashes: Callable[[CrashWord], None] = lambda word: None
        self.on_limits: Callable[[LimitWord], None] = lambda word: None
        self.on_duty: Callable[[DutyWord], None] = lambda word: None

    @property
    def count(self) -> int:
        """How many instances share the work, this one included."""
        return max(1, len(self.membership.live()))

    @property
    def known(self) -> int:
        """How many instances are known at all, failed ones included."""
        return len(self.membership.view)

    def meet(self, addresses: set[str]) -> None:
        """Adds addresses at which instances may be."""
        self._addresses |= addresses - {self.membership.own.peers}

    def enter(self) -> None:
        """Tells the others that this instance takes callers."""
        self._send_all(self.membership.enter())

    def leave(self) -> None:
        """Tells the others that this instance takes no more callers."""
        self._send_all(self.membership.leave())

    def wire_cells(
        self, owned: OwnedCells, asking: AskingRoom, followers: Followers
    ) -> None:
        """Sets what many instances share.

        Args:
            owned: Decides for cells here.
            asking: Asks other instances.
            followers: Says who follows the store for whom.
        """
        self._owned = owned
        self._asking = asking
        self._followers = followers
        owned.answer = self._answer
        asking.send = self._ask

    def tell(
        self, member: Member, word: CrashWord | LimitWord | DutyWord
    ) -> None:
        """Sends a word to another instance."""
        self._send_to(member.peers, peerwords.encode(word))

    def _ask(self, owner: Member, word: PlaceWord) -> None:
        if owner.instance == self.membership.own.instance:
            self._owned.hear(word)
        else:
            self._send_to(owner.peers, peerwords.encode(word))

    def _answer(self, address: str, word: OwnerWord) -> None:
        if address == self.membership.own.peers:
            self._asking.hear(word)
        else:
            self._send_to(address, peerwords.encode(word))

    @property
    def _by_owners(self) -> bool:
        return self._asking is not None and self._asking.active

    async def run(self) -> None:
        """Talks to the others until cancelled."""
        host, _, port = self.membership.own.peers.rpartition(":")
        async with (
            await anyio.create_udp_socket(
                local_host=host, local_port=int(port)
            ) as udp,
            anyio.create_task_group() as group,
        ):
            group.start_soon(self._receive, udp)
            group.start_soon(self._send_queued, udp)
            group.start_soon(self._catch_up)
            await self._talk()

    async def _talk(self) -> None:
        rounds = 0
        greeted = float("-inf")
        began = time.monotonic()
        while True:
            now = time.monotonic()
            soon = now - began < GREET_SOON_FOR_S
            if now - greeted > (GREET_SOON_S if soon else GREET_EVERY_S):
                greeted = now
                self._greet()
            if rounds % PROBE_EVERY == 0:
                self._send_all(self.membership.probe(now))
                self._note_changes()
            changed = self._dispatcher.workload.changed
            self._dispatcher.workload.changed = False
            if len(self._owned) if self._by_owners else changed:
                self._send_loads()
            if rounds % LEAD_EVERY == 0:
                self.tell_standing()
            rounds += 1
            await anyio.sleep(LOAD_EVERY_S * self._rng.uniform(0.9, 1.1))

    def tell_standing(self) -> None:
        """Tells those who follow through this instance how new it is.

        Where that is newer they fetch the rows from here, in place of asking
        the store each.
        """
        self._tell(self._followers.led())

    def tell_news(self) -> None:
        """Tells the others what the store has proved, or that it is lost.

        Those that know no less hold their knowledge for as young, and need
        not ask the store.
        """
        self._tell(self._followers.told())

    def without_store(self) -> list[str]:
        """Returns the instances that have lost the store, this one included."""
        lost = self.standings.without_store()
        if self._registry.standing.touch == Touch.LOST:
            lost.append(self.membership.own.instance)
        return lost

    def _tell(self, members: list[Member]) -> None:
        if not members:
            return
        data = peerwords.encode(self._word(None))
        for member in members:
            self._send_to(member.peers, data)

    def _greet(self) -> None:
        sends = self.membership.greet(self._addresses)
        count = min(GREET_AT_ONCE, len(sends))
        self._send_all(self._rng.sample(sends, count))

    def _send_loads(self) -> None:
        peers = [
            member
            for member in self.membership.view[1:]
            if member.state in (ALIVE, LEAVING)
        ]
        chosen = self._rng.sample(peers, min(LOAD_FANOUT, len(peers)))
        if self._by_owners:
            owners = self._asking.owners()
            count = min(OWNERS_TOLD, len(owners))
            chosen = self._rng.sample(owners, count) + chosen[count:]
        word = dataclasses.replace(
            self._word(None), samples=self._dispatcher.engines.untold()
        )
        data = peerwords.encode(word)
        for member in chosen:
            self._send_to(member.peers, data)

    def _send_all(self, sends: list[Send]) -> None:
        for send in sends:
            data = peerwords.encode(self._word(send.gossip))
            self._send_to(send.address, data)

    def _word(self, gossip) -> PeerWord:
        self._number += 1
        now = time.monotonic()
        if self._by_owners:
            loads, demand = self._owned.loads(now), self._owned.demand()
            queues = self._owned.told_queues()
        else:
            queues = []
            loads = self._dispatcher.own_loads(now)
            demand = self._dispatcher.own_demand()
        return PeerWord(
            gossip,
            self.membership.own.instance,
            self._number,
            self._standing(),
            peerwords.load_columns(loads),
            peerwords.demand_columns(demand),
            queues=queues,
        )

    def _standing(self) -> Standing:
        age_s = self._freshness.age_s(now_s())
        age_ms = -1 if math.isinf(age_s) else int(age_s * 1000)
        return dataclasses.replace(self._registry.standing, age_ms=age_ms)

    def _send_to(self, address: str, data: bytes) -> None:
        try:
            self._outbox.send_nowait((address, data))
        except anyio.WouldBlock:
            self._counters.incr("peer.outbox_full")

    async def _send_queued(self, udp) -> None:
        async for address, data in self._outgoing:
            host, _, port = address.rpartition(":")
            try:
                await udp.sendto(data, host, int(port))
            except (OSError, anyio.BrokenResourceError) as exc:
                self._counters.incr("peer.send_failed")
                self._log.info("peer_error", address=address, why=repr(exc))

    async def _receive(self, udp) -> None:
        while True:
            try:
                data, _ = await udp.receive()
            except OSError as exc:
                # An unreachable peer's error shows on the next receive.
                self._counters.incr("peer.receive_failed")
                self._log.info("peer_error", why=repr(exc))
                continue
            try:
                word = peerwords.decode(data)
            except ValueError:
                self._counters.incr("peer.unreadable")
                continue
            self._take(word)

    @functools.singledispatchmethod
    def _take(self, word: PlaceWord) -> None:
        self._owned.hear(word)

    @_take.register
    def _(self, word: OwnerWord) -> None:
        self._asking.hear(word)

    @_take.register
    def _(self, word: CrashWord) -> None:
        self.on_crashes(word)

    @_take.register
    def _(self, word: LimitWord) -> None:
        self.on_limits(word)

    @_take.register
    def _(self, word: DutyWord) -> None:
        self.on_duty(word)

    @_take.register
    def _(self, word: PeerWord) -> None:
        self._hear(word)

    def _hear(self, word: PeerWord) -> None:
        now = time.monotonic()
        if word.sender == self.membership.own.instance:
            return
        if self.standings.reports_store_loss(word.sender, word.standing):
            self.on_store_lost()
        self.standings.hear(word.sender, word.standing, now, now_s())
        loads = peerwords.load_rows(word.loads)
        self._dispatcher.hear_loads(word.sender, word.number, loads, now)
        demand = peerwords.demand_rows(word.demand)
        self._dispatcher.demand.hear(word.sender, demand, now)
        self._dispatcher.engines.hear(word.samples, now)
        if self._owned is not None:
            self._owned.queues.hear(word.queues, now)
            if word.standing.touch != Touch.LOST:
                self._followers.heard(word.sender, now)
        if word.gossip is not None:
            self._send_all(self.membership.receive(word.gossip, now))

    async def _catch_up(self) -> None:
        while True:
            await anyio.sleep(LOAD_EVERY_S)
            name = self.standings.ahead(time.monotonic())
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
        known = self._registry.standing.configuration_version
        exchange = Exchange(
            "GET",
            f"http://{address}{SNAPSHOT_PATH}?{KNOWN_FIELD}={known}"
            f"&{SINCE_FIELD}={self._registry.delta_base_version}",
            timeout_s=FETCH_TIMEOUT_S,
        )
        try:
            reply = await self._client.call(exchange)
            snapshot = unpacked(_decode_snapshot(reply.body))
        except (
            NotSentError,
            BrokenError,
            msgspec.MsgspecError,
            zlib.error,
        ) as exc:
            self._counters.incr("peer.fetch_failed")
            self._log.trouble("snapshot_failed", peer=name, why=str(exc))
            return
        self._counters.incr("peer.fetched")
        self.on_snapshot(snapshot, name)

    def _note_changes(self) -> None:
        live = {member.instance for member in self.membership.live()}
        for name in live - self._live:
            self._log.info("instance_live", peer=name)
        for name in self._live - live:
            self._log.trouble("instance_not_live", peer=name)
        self._live = live
        view = self.membership.view
        self.standings.keep({member.instance for member in view})


class SnapshotApp:
    """Gives this instance's knowledge to others, as an ASGI application."""

    def __init__(self, registry: Registry):
        self._registry = registry
        self._packed = (0, b"")

    async def __call__(self, scope, receive, send) -> None:
        """Answers one request."""
        if scope["type"] != "http":
            return
        found = scope["path"] == SNAPSHOT_PATH
        query = parse_qs(scope["query_string"].decode("latin-1"))
        known = _version(query, KNOWN_FIELD)
        since = _version(query, SINCE_FIELD)
        body = b""
        if found:
            body = _encode(
                self._pack(self._registry.export_snapshot(known, since))
            )
        await send(
            {
                "type": "http.response.start",
                "status": 200 if found else 404,
                "headers": [(b"content-length", str(len(body)).encode())],
            }
        )
        await send({"type": "http.response.body", "body": body})

    def _pack(self, snapshot: Snapshot) -> Snapshot:
        if not snapshot.configuration:
            return snapshot
        if self._packed[0] != snapshot.configuration_version:
            data = zlib.compress(snapshot.configuration, PACK_LEVEL)
            self._packed = (snapshot.configuration_version, data)
        return dataclasses.replace(snapshot, configuration=self._packed[1])


def unpacked(snapshot: Snapshot) -> Snapshot:
    """Returns a snapshot as it was before its way.

    Raises:
        zlib.error: if its configuration cannot be read.
    """
    if not snapshot.configuration:
        return snapshot
    data = zlib.decompress(snapshot.configuration)
    return dataclasses.replace(snapshot, configuration=data)


def _version(query: dict[str, list[str]], field: str) -> int:
    """Returns a version of a snapshot's query; 0 without one."""
    value = query.get(field, ["0"])[0]
    return int(value) if value.isdecimal() else 0
