"""Reports crashed servers to the other instances, where there are few.

Where each instance places its own requests, each would lose one to a crashed
server before it knows. The first that notices broadcasts it.
"""

import random
import time
from collections.abc import Callable, Sequence

import anyio

from jasminerelay.catalog import BackendServer
from jasminerelay.epidemic import EpidemicBroadcast
from jasminerelay.eventlog import EventLog
from jasminerelay.metrics import Counters
from jasminerelay.registry import Registry
from jasminerelay.scheduling.servercrashes import MAX_AGE_S, ServerCrashes
from jasminerelay.schema.messages import CrashedServers, Member

BROADCAST_INTERVAL_S = 0.05
"""Interval at which crashes are broadcast."""

MS_PER_S = 1e3


class CrashNotices:
    """Broadcasts crashes that this instance notices, and records others'.

    Attributes:
        members: Returns the instances that receive broadcasts.
        send: Sends a message to an instance, without confirmation.
        enabled: Returns whether instances place their own requests.
        on_crash: Called with a server that is to count as failed once.
        on_refuted: Called with a server that responds despite a report.
    """

    def __init__(
        self,
        own: str,
        registry: Registry,
        counters: Counters,
        log: EventLog,
        rng: random.Random,
    ):
        """Creates the notices of an instance that knows of no crash.

        Args:
            own: ID of this instance.
            registry: Servers in use.
            counters: Counts events.
            log: Receives events.
            rng: Source of random choices.
        """
        self._own = own
        self._registry = registry
        self._counters = counters
        self._log = log
        self._crashes = ServerCrashes()
        self._broadcast = EpidemicBroadcast(rng)
        self._reports: dict[str, tuple[str, float]] = {}
        self._noticed = anyio.Event()
        self.members: Callable[[], Sequence[Member]] = lambda: ()
        self.send: Callable[[Member, CrashedServers], None] = lambda *_: None
        self.enabled: Callable[[], bool] = lambda: True
        self.on_crash: Callable[[BackendServer], None] = lambda _: None
        self.on_refuted: Callable[[BackendServer], None] = lambda _: None

    def on_failure(
        self,
        server: BackendServer,
        *,
        ended: bool = False,
        broken: bool = False,
    ) -> None:
        """Handles a request that a server did not answer.

        Args:
            server: The server.
            ended: Whether its end is proved (`serverends`).
            broken: Whether it closed the connection.
        """
        self._crashes.record_failure(
            server.id, time.monotonic(), ended=ended, broken=broken
        )
        if self._crashes.pending:
            self._noticed.set()

    def on_response(self, server: BackendServer) -> None:
        """Handles a response of a server."""
        if self._crashes.record_response(server.id, time.monotonic()):
            self._counters.incr("crash.refuted")
            self.on_refuted(server)

    def handle_message(self, message: CrashedServers) -> None:
        """Handles another instance's message."""
        for row in zip(
            message.servers, message.sources, message.ages_ms, strict=True
        ):
            self._hear(*row)

    async def run(self) -> None:
        """Broadcasts crashes until cancelled."""
        while True:
            if not self._broadcast.pending and not self._crashes.pending:
                self._noticed = anyio.Event()
                await self._noticed.wait()
            await anyio.sleep(BROADCAST_INTERVAL_S)
            self.broadcast()

    def broadcast(self) -> None:
        """Runs one round of the broadcast."""
        now = time.monotonic()
        self._crashes.keep({server.id for server in self._registry.servers()})
        servers, withheld = self._crashes.take_reports(now)
        if withheld:
            self._counters.incr("crash.withheld")
        for server in servers if self.enabled() else ():
            self._reports[server] = (self._own, now)
            self._broadcast.add(server)
            self._counters.incr("crash.told")
            self._log.info(
                "server_crash_told",
                server=server,
                **self._crashes.evidence(server, now),
            )
        others = [x for x in self.members() if x.instance != self._own]
        targets, names = self._broadcast.next_round(others)
        self._send_reports(targets, names, now)

    def _hear(self, server_id: str, source: str, age_ms: int) -> None:
        # Another incarnation has another id.
        server = self._registry.server(server_id)
        if server is None or source == self._own or not self.enabled():
            return
        now = time.monotonic()
        age_s = max(0, age_ms) / MS_PER_S
        if not self._crashes.believe(server_id, age_s, now):
            return
        self._reports[server_id] = (source, now - age_s)
        self._broadcast.add(server_id)
        self._noticed.set()
        self._counters.incr("crash.heard")
        self._log.info(
            "server_crash_heard",
            server=server_id,
            source=source,
            age_s=round(age_s, 3),
        )
        self.on_crash(server)

    def _send_reports(
        self, members: Sequence[Member], names: Sequence[str], now: float
    ) -> None:
        self._reports = {
            name: (source, at)
            for name, (source, at) in self._reports.items()
            if now - at <= MAX_AGE_S
        }
        names = [name for name in names if name in self._reports]
        if not names:
            return
        message = CrashedServers(
            self._own,
            names,
            [self._reports[name][0] for name in names],
            [
                round((now - self._reports[name][1]) * MS_PER_S)
                for name in names
            ],
        )
        for member in members:
            self.send(member, message)
