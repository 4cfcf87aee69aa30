"""Several instances and servers that name limits, without sockets."""

import anyio

from jasminerelay import serverlimits
from jasminerelay.exchange import Head
from jasminerelay.limitwatch import LimitWatch
from tests.instanceworld import InstanceWorld, Node, Quiet

IN_TOUCH_S = 3.0
"""Time in which instances that others can reach must know a limit."""

NAMED_AT_S = 2.0
AFTER_S = 10.0
"""Time after the limits' end in which all instances must know of it."""

LOOK_S = 0.03
SEE_S = 0.25
ANSWER_S = 0.05
KNOWN_S = serverlimits.SPAN_S
"""How long a dead instance is known."""

SPAN_S = 4.0
MOST_SHARE = 1.5
MOST_BESIDE = 5


class World(InstanceWorld):
    """Plays one seed: more requests than the servers take, all the time.

    Attributes:
        arrivals: Times at which requests of instances in touch reached each
            server.
        rates: What each server names.
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
        ended_at: float = 22.0,
    ):
        super().__init__(seed, instances, faults=faults)
        self._ended_at = ended_at
        self.rates = {f"s{n}": rate for n, rate in enumerate(rates)}
        self.arrivals: dict[str, list[float]] = {x: [] for x in self.rates}
        self.limited_at_end = 0

    async def run(self) -> None:
        """Plays the day."""
        async with anyio.create_task_group() as group:
            self.group = group
            for _ in range(self.count):
                self.start_node()
            group.start_soon(self._see)
            group.start_soon(self._send_all)
            if self.faults:
                group.start_soon(self.disturb, self._ended_at)
            await anyio.sleep(self._ended_at + AFTER_S)
            self.limited_at_end = sum(
                bool(node.watch.allowance.limits) for node in self.alive
            )
            group.cancel_scope.cancel()

    def most(self, server: str) -> int:
        """Returns the most requests that a server got in any span."""
        times = self.arrivals[server]
        return max(
            (sum(at <= x < at + SPAN_S for x in times) for at in times),
            default=0,
        )

    def allowed(self, server: str) -> float:
        """Returns how many it may get."""
        return MOST_SHARE * SPAN_S * self.rates[server] + MOST_BESIDE

    def named(self) -> bool:
        """Returns whether the servers name their limits now."""
        return NAMED_AT_S <= anyio.current_time() < self._ended_at

    def make(self, name: str) -> LimitWatch:
        """Makes the program's part of a new instance."""
        return LimitWatch(
            name, self.rates.__contains__, Quiet(), Quiet(), self.rng
        )

    async def live(self, node: Node) -> None:
        """Runs an instance until it is cancelled."""
        await node.watch.run()

    async def _send_all(self) -> None:
        """Has requests at a few instances at any time, with all servers."""
        while True:
            await anyio.sleep(LOOK_S)
            now = anyio.current_time()
            busy = self.rng.sample(self.alive, min(8, len(self.alive)))
            for node in busy:
                for server in self.rates:
                    self._try(node, server, now)

    async def _see(self) -> None:
        """Shows each instance the others."""
        while True:
            now = anyio.current_time()
            for node in self.alive:
                known = self._known(node)
                node.watch.saw_instances(self.members(node), known, now)
            await anyio.sleep(SEE_S)

    def _known(self, node: Node) -> int:
        return sum(x.alive or self.dead_s(x) < KNOWN_S for x in self.nodes)

    def _try(self, node: Node, server: str, now: float) -> None:
        allowance = node.watch.allowance
        if not allowance.may_send(server, now):
            allowance.want(server, self.rng.randrange(3), now)
            return
        if not self.named() and self.rng.random() > 0.2:
            return
        allowance.spend(server, now)
        in_touch = node.in_touch(now, IN_TOUCH_S)
        if NAMED_AT_S + IN_TOUCH_S <= now < self._ended_at and in_touch:
            self.arrivals[server].append(now)
        limit = self.rates[server] if self.named() else None
        self.group.start_soon(self._answer, node, server, limit)

    async def _answer(self, node: Node, server: str, limit) -> None:
        await anyio.sleep(ANSWER_S)
        head = Head(200, (), False, "", False, None, False, limit)
        if node.alive:
            node.watch.heard(server, head)
