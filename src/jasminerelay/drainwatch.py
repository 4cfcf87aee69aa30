"""Makes servers that announce their shutdown in responses known everywhere.

A server that shuts down says so in its row in the store, and in its responses.
The latter also reach instances that the store does not. The first instance that
receives such a response broadcasts it, so that the others need not each lose a
request to a server that is about to end.
"""

import random
from collections.abc import Callable, Sequence

import anyio

from jasminerelay.epidemic import EpidemicBroadcast
from jasminerelay.eventlog import EventLog
from jasminerelay.exchange import ResponseHead
from jasminerelay.metrics import Counters
from jasminerelay.peermessages import in_parts
from jasminerelay.registry import Registry, ServerChange
from jasminerelay.schema.messages import DrainMessage, Member

BROADCAST_INTERVAL_S = 0.1
"""Interval at which new announcements are broadcast."""

MAX_SERVERS_PER_MESSAGE = 20
"""Servers in one datagram, some 30 bytes each; it must fit into a frame."""


class DrainWatch:
    """Records and broadcasts the announcements of servers that shut down.

    Attributes:
        members: Returns the instances that receive broadcasts.
        send: Sends a message to an instance, without confirmation.
        on_change: Called with a server that is draining from now on, and the
            source of the announcement.
    """

    def __init__(
        self,
        own: str,
        registry: Registry,
        counters: Counters,
        log: EventLog,
        rng: random.Random,
    ):
        """Creates a watch without any servers.

        Args:
            own: ID of this instance.
            registry: Keeps the servers.
            counters: Counts events.
            log: Receives events.
            rng: Source of random choices.
        """
        self._own = own
        self._registry = registry
        self._counters = counters
        self._log = log
        self._broadcast = EpidemicBroadcast(rng)
        self._announced = anyio.Event()
        self.members: Callable[[], Sequence[Member]] = lambda: ()
        self.send: Callable[[Member, DrainMessage], None] = lambda to, _: None
        self.on_change: Callable[[ServerChange, str], None] = lambda *_: None

    def on_request(self, server: str) -> None:
        """Counts a request that is sent to a server after its announcement."""
        if self._registry.has_announced_drain(server):
            self._counters.incr("drain.sent")

    def on_response(self, server: str, head: ResponseHead) -> None:
        """Handles the response head of a server to this instance's request."""
        if head.leaving:
            self._record(server, "server")

    def handle_message(self, message: DrainMessage) -> None:
        """Handles a message of another instance."""
        for server in message.servers:
            self._record(server, message.sender)

    async def run(self) -> None:
        """Broadcasts announcements until cancelled."""
        while True:
            if not self._broadcast.pending and not self._current():
                self._announced = anyio.Event()
                await self._announced.wait()
            await anyio.sleep(BROADCAST_INTERVAL_S)
            self.broadcast()

    def broadcast(self) -> None:
        """Runs one round of the broadcast."""
        others = [x for x in self.members() if x.instance != self._own]
        targets, servers = self._broadcast.next_round(others)
        self._send_servers(targets, servers)
        member = self._broadcast.resync_target(others)
        if member is not None:
            self._send_servers([member], self._current())

    def _record(self, server: str, source: str) -> None:
        if self._registry.has_announced_drain(server):
            return
        change = self._registry.announce_drain(server)
        self._broadcast.add(server)
        self._announced.set()
        self._counters.incr("drain.announced")
        self._log.warn("drain_announced", server=server, source=source)
        if change is not None:
            self.on_change(change, source)

    def _current(self) -> list[str]:
        """Returns the registered servers that have announced it."""
        return [
            server.id
            for server in self._registry.servers()
            if self._registry.has_announced_drain(server.id)
        ]

    def _send_servers(
        self, members: Sequence[Member], servers: Sequence[str]
    ) -> None:
        for part in in_parts(servers, MAX_SERVERS_PER_MESSAGE):
            for member in members:
                self.send(member, DrainMessage(self._own, part))
