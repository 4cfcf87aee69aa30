"""Other instances of a platform for benchmarks: datagrams at the usual rate.

They answer probes and placement requests of one real instance, and send it what
an instance among many receives: probes, the loads and queues of cell owners,
and the versions that the followers of the store forward.
"""

import asyncio
import itertools
import random
import socket

import msgspec

from jasminerelay import followerroles, peermessages
from jasminerelay.membership import ACK, ALIVE, PROBE
from jasminerelay.peerlink import (
    FOLLOWER_ROUNDS,
    LOAD_FANOUT,
    LOAD_INTERVAL_S,
    OWNER_FANOUT,
    PROBE_ROUNDS,
)
from jasminerelay.placementclient import EMPTY_UPDATE_REPEATS
from jasminerelay.placementmessages import NO_VALUE, PLACED
from jasminerelay.schema.messages import (
    CellQueue,
    CellUpdate,
    Gossip,
    InFlightReport,
    ManifestPointer,
    Member,
    OwnerAnswers,
    PeerMessage,
    PlacementAnswer,
    PlacementRequest,
    ReplicaStatus,
    RequestEndReport,
    RouteDemand,
    ServerLoad,
)

OWNERS = 10
"""Instances that own a cell of eight servers, with one server per instance."""

SERVERS_PER_CELL = 8
EVENTS = 42
FIRST_EVENT_S = 0.09
ZONES = ("north", "south", "west")
DATA_AGE_MS = 150
"""Age of the data that followers report; keeps the instance from asking the
store itself."""


class InstancePeers:
    """The other instances of a platform.

    Attributes:
        received: Number of datagrams from the real instance.
        sent: Number of datagrams to it.
    """

    def __init__(self, count: int, address: str, service: str):
        """Opens the sockets.

        Args:
            count: Number of instances.
            address: IP:port at which the real instance gets datagrams.
            service: The service whose cells the owners have.
        """
        host, _, port = address.rpartition(":")
        self._target = (host, int(port))
        self._service = service
        self._rng = random.Random(1)
        self._numbers = itertools.count(1)
        self._beats = itertools.count(1)
        self._sockets = [_udp_socket() for _ in range(count)]
        self._members = [
            Member(
                f"edge-{index}/{index:012x}",
                "",
                ZONES[index % len(ZONES)],
                f"127.0.0.1:{9000 + index}",
                "",
                f"127.0.0.1:{item.getsockname()[1]}",
                ALIVE,
                1,
            )
            for index, item in enumerate(self._sockets)
        ]
        self._own = ""
        self._placed: dict[int, asyncio.Future[PlacementAnswer]] = {}
        self._standing: ReplicaStatus | None = None
        self.servers: list[str] = []
        self.received = 0
        self.sent = 0

    async def run(self) -> None:
        """Answers and sends messages until cancelled."""
        loop = asyncio.get_running_loop()
        for index, item in enumerate(self._sockets):
            loop.add_reader(item, self._receive, index)
        try:
            for index in range(len(self._sockets)):
                self._send_gossip(index, PROBE)
            for round_number in itertools.count():
                await asyncio.sleep(LOAD_INTERVAL_S)
                self._send_round(round_number)
        finally:
            for item in self._sockets:
                loop.remove_reader(item)
                item.close()

    def send_loads(self, index: int) -> None:
        """Sends the loads and queues of a cell owner."""
        loads = [
            ServerLoad(name, 9000, 3, 40_000, 33_000)
            for name in self.servers[:SERVERS_PER_CELL]
        ]
        demand = [
            RouteDemand(f"{self._service}/r-{n}", 0.4, 900, n) for n in range(3)
        ]
        queues = [
            CellQueue(self._service, index, f"r-{n}", 40) for n in range(3)
        ]
        message = msgspec.structs.replace(
            self._message(index, None),
            loads=peermessages.load_columns(loads),
            demand=peermessages.demand_columns(demand),
            queues=queues,
        )
        self._send(index, message)

    async def place_at_owner(self, index: int) -> None:
        """Has the real instance place a request, and reports its course."""
        number = next(self._numbers)
        placed = self._placed[number] = (
            asyncio.get_running_loop().create_future()
        )
        request = PlacementRequest(
            number,
            f"call-{number}",
            "chat",
            0,
            True,
            1,
            3000,
            [],
            40,
            EVENTS,
            NO_VALUE,
            [number],
            [60],
            False,
        )
        self._update(index, asks=[request])
        answer = await placed
        run = InFlightReport(number, answer.server, 100, answer.memory, 90)
        await asyncio.sleep(FIRST_EVENT_S)
        self._update(index, runs=[run])
        await asyncio.sleep(FIRST_EVENT_S)
        end = RequestEndReport(number, answer.server, True, False, EVENTS)
        self._update(index, ended=[end])
        for _ in range(EMPTY_UPDATE_REPEATS):
            await asyncio.sleep(LOAD_INTERVAL_S)
            self._update(index)

    def _update(self, index: int, asks=(), runs=(), ended=()) -> None:
        member = self._members[index]
        message = CellUpdate(
            member.instance,
            member.peers,
            self._service,
            0,
            next(self._numbers),
            list(asks),
            list(runs),
            list(ended),
            [],
        )
        self._send(index, message)

    def _send_round(self, round_number: int) -> None:
        if self._standing is None:
            return
        count = len(self._sockets)
        for index in range(min(OWNERS, count)):
            if self._rng.random() < (LOAD_FANOUT - OWNER_FANOUT) / count:
                self.send_loads(index)
        if round_number % PROBE_ROUNDS == 0:
            self._send_gossip(self._rng.randrange(count), PROBE)
        if round_number % FOLLOWER_ROUNDS == 0:
            # Each instance is a dependent of one follower of its zone.
            self._send(self._follower(), self._message(self._follower(), None))

    def _follower(self) -> int:
        names = [x.instance for x in self._members if x.zone == ZONES[0]]
        chosen = followerroles.followers_of_zone(
            ZONES[0], [*names, *([self._own] if self._own else [])]
        )
        others = [name for name in chosen if name != self._own]
        return next(
            index
            for index, item in enumerate(self._members)
            if item.instance == others[0]
        )

    def _receive(self, index: int) -> None:
        data = self._sockets[index].recv(65536)
        self.received += 1
        message = peermessages.decode(data)
        if isinstance(message, PeerMessage):
            self._own = message.sender
            self._standing = msgspec.structs.replace(
                message.standing, age_ms=DATA_AGE_MS
            )
            if message.gossip is not None and message.gossip.kind == PROBE:
                self._send_gossip(index, ACK)
        elif isinstance(message, CellUpdate) and message.asks:
            self._place(index, message)
        elif isinstance(message, OwnerAnswers):
            for answer in message.answers:
                if answer.state == PLACED and answer.number in self._placed:
                    self._placed.pop(answer.number).set_result(answer)

    def _place(self, index: int, message: CellUpdate) -> None:
        answers = [
            PlacementAnswer(
                item.number,
                PLACED,
                server=self._rng.choice(self.servers),
                unread=item.own_tokens,
                memory=1000,
            )
            for item in message.asks
        ]
        sender = self._members[index].instance
        self._send(
            index,
            OwnerAnswers(sender, message.service, message.cell, answers),
        )

    def _message(self, index: int, gossip: Gossip | None) -> PeerMessage:
        return PeerMessage(
            gossip,
            self._members[index].instance,
            next(self._numbers),
            self._standing or ReplicaStatus(0, 0, 0),
            peermessages.load_columns(()),
            peermessages.demand_columns(()),
        )

    def _send_gossip(self, index: int, kind: str) -> None:
        member = msgspec.structs.replace(
            self._members[index], beat=next(self._beats)
        )
        gossip = Gossip(kind, member, [], [], ManifestPointer(0, ""))
        self._send(index, self._message(index, gossip))

    def _send(self, index: int, message: peermessages.Message) -> None:
        self.sent += 1
        self._sockets[index].sendto(peermessages.encode(message), self._target)


def _udp_socket() -> socket.socket:
    item = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    item.bind(("127.0.0.1", 0))
    item.setblocking(False)
    return item
