"""Simulates instances and servers with rate limits, without sockets."""

import anyio

from jasminerelay import serverlimits
from jasminerelay.exchange import ResponseHead
from jasminerelay.limitwatch import LimitWatch
from tests.instanceworld import InstanceWorld, Node, Quiet

PROPAGATION_S = 3.0
"""Time after which every connected instance must have a record of a limit."""

LIMITED_FROM_S = 2.0
CLEARED_AFTER_S = 10.0
"""Time after the end of the limits by which no instance may apply them."""

SEND_INTERVAL_S = 0.03
MEMBERSHIP_INTERVAL_S = 0.25
RESPONSE_S = 0.05
DEAD_KNOWN_S = serverlimits.FLEET_SIZE_WINDOW_S
"""How long a dead instance counts as known."""

WINDOW_S = 4.0
MAX_RATE_FACTOR = 1.5
MAX_EXCESS = 5


class LimitSimulation(InstanceWorld):
    """Simulates one seed, with constantly more requests than servers accept.

    Attributes:
        arrivals: Times at which requests of connected instances reached each
            server.
        rates: Rate limit of each server.
        limits_left: Instances that still have limits at the end.
    """

    most_delay_s = 0.03
    fault_pauses_s = (0.5, 3.0)

    def __init__(
        self,
        seed: int,
        instances: int,
        rates: tuple[float, ...],
        *,
        faults: bool = True,
        limited_until: float = 22.0,
    ):
        super().__init__(seed, instances, faults=faults)
        self._limited_until = limited_until
        self.rates = {f"s{n}": rate for n, rate in enumerate(rates)}
        self.arrivals: dict[str, list[float]] = {x: [] for x in self.rates}
        self.limits_left = 0

    async def run(self) -> None:
        """Runs the simulation."""
        async with anyio.create_task_group() as group:
            self.group = group
            for _ in range(self.count):
                self.start_node()
            group.start_soon(self._update_membership)
            group.start_soon(self._send_requests)
            if self.faults:
                group.start_soon(self.disturb, self._limited_until)
            await anyio.sleep(self._limited_until + CLEARED_AFTER_S)
            self.limits_left = sum(
                bool(node.watch.allowance.limits) for node in self.alive
            )
            group.cancel_scope.cancel()

    def max_in_window(self, server: str) -> int:
        """Returns the highest number of requests to a server in any window."""
        times = self.arrivals[server]
        return max(
            (sum(at <= x < at + WINDOW_S for x in times) for at in times),
            default=0,
        )

    def max_allowed(self, server: str) -> float:
        """Returns the number of requests that a server may get in a window."""
        return MAX_RATE_FACTOR * WINDOW_S * self.rates[server] + MAX_EXCESS

    def limits_active(self) -> bool:
        """Returns whether the servers state their limits now."""
        return LIMITED_FROM_S <= anyio.current_time() < self._limited_until

    def make(self, name: str) -> LimitWatch:
        """Returns the limit watch of a new instance."""
        return LimitWatch(
            name, self.rates.__contains__, Quiet(), Quiet(), self.rng
        )

    async def live(self, node: Node) -> None:
        """Runs an instance until it is cancelled."""
        await node.watch.run()

    async def _send_requests(self) -> None:
        """Sends requests for all servers from a few instances at a time."""
        while True:
            await anyio.sleep(SEND_INTERVAL_S)
            now = anyio.current_time()
            busy = self.rng.sample(self.alive, min(8, len(self.alive)))
            for node in busy:
                for server in self.rates:
                    self._send_or_wait(node, server, now)

    async def _update_membership(self) -> None:
        """Updates each instance's list of the others."""
        while True:
            now = anyio.current_time()
            for node in self.alive:
                known = self._known_count(node)
                node.watch.update_instances(self.members(node), known, now)
            await anyio.sleep(MEMBERSHIP_INTERVAL_S)

    def _known_count(self, node: Node) -> int:
        return sum(x.alive or self.dead_s(x) < DEAD_KNOWN_S for x in self.nodes)

    def _send_or_wait(self, node: Node, server: str, now: float) -> None:
        allowance = node.watch.allowance
        if not allowance.may_send(server, now):
            allowance.record_demand(server, self.rng.randrange(3), now)
            return
        if not self.limits_active() and self.rng.random() > 0.2:
            return
        allowance.use_grant(server, now)
        connected = node.in_touch(now, PROPAGATION_S)
        if (
            LIMITED_FROM_S + PROPAGATION_S <= now < self._limited_until
            and connected
        ):
            self.arrivals[server].append(now)
        limit = self.rates[server] if self.limits_active() else None
        self.group.start_soon(self._respond, node, server, limit)

    async def _respond(self, node: Node, server: str, limit) -> None:
        await anyio.sleep(RESPONSE_S)
        head = ResponseHead(200, (), False, "", False, None, False, limit)
        if node.alive:
            node.watch.on_response(server, head)
