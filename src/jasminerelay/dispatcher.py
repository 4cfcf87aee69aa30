"""Chooses servers for requests from all that an instance knows."""

import dataclasses
import time
from collections.abc import Callable, Iterable, Mapping, Sequence

import xxhash

from jasminerelay import placing, rendezvous
from jasminerelay.admission import Prospect
from jasminerelay.catalog import BackendServer, Call, Engine, PromptPart
from jasminerelay.groups import DemandMeter, DemandView, Split
from jasminerelay.lengths import Lengths
from jasminerelay.pace import FastestPace, PaceBook
from jasminerelay.placing import Guess, Option, Placed, Wait
from jasminerelay.prefix import PrefixIndex
from jasminerelay.registry import Registry
from jasminerelay.schema.messages import KindDemand, ServerLoad
from jasminerelay.silences import Silences
from jasminerelay.stragglers import Stragglers
from jasminerelay.waitingroom import Seat
from jasminerelay.workload import Run, Workload

SPLIT_EVERY_S = 0.5
"""How often the split of a service's servers is looked at."""


US = 1e6

OUTLOOK_LIFE_S = 0.02
"""How long what is read off a kind's servers serves all who wait for them.
Under a burst dozens wait and are looked at thirty times a second; read anew
for each, and paces compared anew for each server, a look over thirty engines
took 19 ms of the processor, two thirds of the time to the next one."""

OnSplit = Callable[
    [str, Mapping[str, tuple[str, ...]], Sequence[KindDemand]], None
]


@dataclasses.dataclass(frozen=True)
class _Outlook:
    """What waits at the servers of one kind.

    Attributes:
        at: Steady time as of which it holds.
        reading_s: Reading that lies ahead at each server.
        share: Instances that send to one server.
        token_s: Seconds per token at the fastest one.
    """

    at: float
    reading_s: float
    share: float
    token_s: float


class Dispatcher:
    """Places requests; owns what that takes and no socket."""

    def __init__(
        self,
        registry: Registry,
        zone: str,
        instances: Callable[[], int],
    ):
        """Makes a dispatcher.

        Args:
            registry: Configuration and servers.
            zone: This instance's availability zone.
            instances: Returns how many instances share the work.
        """
        self._registry = registry
        self._zone = zone
        self._instances = instances
        self.workload = Workload()
        self.meter = DemandMeter()
        self.demand = DemandView()
        self._splits: dict[str, Split] = {}
        self._split_at = float("-inf")
        self._health: dict[str, Stragglers] = {}
        self._warm = PrefixIndex()
        self.lengths = Lengths()
        self._silences = Silences()
        self.paces = PaceBook()
        self._fastest: dict[str, FastestPace] = {}
        self._outlooks: dict[tuple[str, str], _Outlook] = {}
        self.on_split: OnSplit = lambda service, groups, demand: None

    def own_loads(self, now: float) -> list[ServerLoad]:
        """Returns what this instance has and sees at servers."""
        return [
            dataclasses.replace(
                item,
                token_us=round(US * (self.paces.own_s(item.server, now) or 0)),
            )
            for item in self.workload.own()
        ]

    def hear_loads(
        self,
        instance: str,
        number: int,
        loads: Iterable[ServerLoad],
        now: float,
    ) -> None:
        """Takes what another instance has and sees at servers."""
        loads = list(loads)
        if not self.workload.hear(instance, number, loads, now):
            return
        for item in loads:
            if item.token_us:
                self.paces.hear(item.server, item.token_us / US, now)

    def heard(self, server: str, now: float) -> None:
        """Notes that a server said something, whatever it was."""
        self._silences.heard(server, now)

    def health(self, service: str) -> Stragglers:
        """Returns what is known of the health of a service's servers."""
        return self._health.setdefault(service, Stragglers())

    def engine_of(self, service: str) -> Engine | None:
        """Returns what a service's engines can do; None for a plain one."""
        catalog = self._registry.catalog
        held = catalog.services.get(service) if catalog else None
        return held.engine if held else None

    def arrived(self, call: Call) -> None:
        """Notes a new request."""
        if call.prompt is None:
            return
        unread = call.prompt.own_tokens
        kind = call.route.name
        busy_s = self._engine_busy_s(call, unread)
        self.meter.arrived(call.service, kind, call.route.rank, busy_s, unread)
        split = self._splits.get(call.service)
        if split is None or not split.group(kind):
            self._split(time.monotonic())

    def busy_s(self, call: Call) -> float:
        """Returns how long a request keeps a server busy."""
        if call.prompt is None:
            return call.route.objective_s / 4
        unread = call.prompt.own_tokens
        return self._engine_busy_s(call, unread)

    def place(self, call: Call, avoid: frozenset[str]) -> Placed | Wait:
        """Finds a place now."""
        servers = [
            server
            for server in self._registry.servers_of(call.service)
            if server.id not in avoid
        ]
        if not servers:
            return Wait("no server in use")
        engine = self.engine_of(call.service)
        if call.prompt is None or engine is None:
            options = self._options(call, servers)
            return placing.place_plain(call, _some(options), self._zone)
        group = self._group(call, servers)
        now = time.monotonic()
        guess = self._guess(call)
        options = self._options(call, group)
        placed = placing.place_model(call, engine, _some(options), guess, now)
        if isinstance(placed, Placed) or not self._may_spill(call, now):
            return placed
        others = [server for server in servers if server not in group]
        options = placing.calm(self._options(call, others))
        return placing.place_model(call, engine, options, guess, now)

    def _options(
        self, call: Call, servers: list[BackendServer]
    ) -> list[Option]:
        now = time.monotonic()
        paces = self.paces.of_alike((item.id for item in servers), now)
        shared = call.prompt.shared if call.prompt is not None else ()
        hashes = tuple(_part_hash(part.id) for part in shared)
        return [
            Option(
                server,
                self.workload.load(server.id),
                self._warm_tokens(server.id, shared, hashes),
                paces.slowness(server.id),
                paces.token_s[server.id],
                self._blocked(call.service, server.id, now),
            )
            for server in servers
        ]

    def _warm_tokens(
        self, server: str, shared: Sequence[PromptPart], hashes: tuple[int, ...]
    ) -> int:
        if not hashes:
            return 0
        count = self._warm.matched(server, hashes)
        return sum(part.tokens for part in shared[:count])

    def _blocked(self, service: str, server: str, now: float) -> bool:
        health = self.health(service)
        if health.blocked(server, now):
            return True
        own = self.workload.own_running(server)
        if self._silences.silent(server, own, now):
            return True
        # After a rest it gets one request at a time.
        busy = self.workload.load(server).running > 0
        return busy and health.probing(server)

    def _may_spill(self, call: Call, now: float) -> bool:
        """Whether a request may go to other kinds' servers.

        Only what is late already and has short prompts: a late one loses
        little by the longer pauses there, and reads too little to stretch
        those of others.
        """
        late = now - call.arrived > call.route.objective_s
        return late and call.prompt.tokens <= placing.CHUNK_TOKENS

    def reserve(self, call: Call, placed: Placed) -> Run:
        """Notes that a request goes to a server."""
        name = placed.server.id
        idle = not self.workload.own_running(name)
        self._silences.sent(name, idle, time.monotonic())
        if call.prompt is not None:
            parts = [_part_hash(part.id) for part in call.prompt.parts]
            self._warm.add(name, tuple(parts))
        return self.workload.start(name, placed.unread, placed.memory)

    def seat_at(self, call: Call, server: BackendServer) -> Seat:
        """Returns a seat at a server that has the run's memory already."""
        memory = call.prompt.tokens + self._guess(call).output
        run = self.workload.start(server.id, 0, memory)
        return Seat(Placed(server, 0, memory), run)

    def refuge(self, call: Call, avoid: frozenset[str]) -> Seat | None:
        """Returns a seat where a run from a leaving server should go on.

        All instances learn of a leaving server at the same moment and see the
        same loads, so the emptiest server would get all its runs at once.
        They go by the requests' ids, to the servers of their kind: on those
        of a more urgent kind a run that goes on preempts what it finds.
        """
        engine = self.engine_of(call.service)
        servers = [
            server
            for server in self._registry.servers_of(call.service)
            if server.id not in avoid
        ]
        if engine is None or not servers:
            return None
        memory = call.prompt.tokens + self._guess(call).output
        group = self._group(call, servers)
        options = _some(self._options(call, group))
        roomy = [
            item.server
            for item in options
            if not item.blocked and placing.has_room(engine, item, memory)
        ]
        # A full one is better than none: the run is cut where it is.
        by_id = {item.id: item for item in roomy or group}
        return self.seat_at(call, by_id[rendezvous.owner(call.id, by_id)])

    def left_s(self, call: Call, server: BackendServer, events: int) -> float:
        """Returns how long a stream will go on at its server."""
        engine = self.engine_of(call.service)
        if engine is None:
            return 0.0
        left = self._guess(call).output - events * engine.event_tokens
        # A stream that is past its guess is as likely to go on for long.
        left = max(left, self._guess(call).typical / 2)
        pace = self.paces.token_s(server.id, time.monotonic())
        return left * (pace or placing.STEP_S)

    def expect(self, call: Call, ahead_s: float) -> Prospect:
        """Returns what to expect of a request that waits."""
        now = time.monotonic()
        left_s = call.ends - now
        servers = self._registry.servers_of(call.service)
        if not servers:
            # The next word of the store may bring some; a short wait costs
            # the caller less than coming back.
            return Prospect(now - call.arrived, 0.0, call.route.objective_s)
        if call.prompt is None:
            ahead = ahead_s * self._instances() / _slots(servers)
            return Prospect(ahead, call.route.objective_s / 3, left_s)
        outlook = self._outlook(call, servers, now)
        ahead = outlook.reading_s + ahead_s * outlook.share
        own_s = self._guess(call).output * outlook.token_s
        return Prospect(ahead, own_s, left_s)

    def _outlook(
        self, call: Call, servers: list[BackendServer], now: float
    ) -> "_Outlook":
        key = (call.service, call.route.name)
        held = self._outlooks.get(key)
        if held is not None and now - held.at < OUTLOOK_LIFE_S:
            return held
        names = [item.id for item in self._group(call, servers)]
        unread = sum(self.workload.load(name).unread for name in names)
        seen = (self.paces.token_s(name, now) for name in names)
        self._outlooks[key] = _Outlook(
            now,
            unread / placing.READ_TOKENS_S / len(names),
            self._instances() / len(names),
            min(pace or placing.STEP_S for pace in seen),
        )
        return self._outlooks[key]

    def gone(self, server: str) -> None:
        """Forgets a server that has ended."""
        for health in self._health.values():
            health.forget(server)
        self._warm.forget(server)
        self.paces.forget(server)
        self._silences.forget(server)

    def tick(self, now: float) -> None:
        """Moves the running means on and looks at the splits."""
        self.workload.expire(now)
        if now - self._split_at < SPLIT_EVERY_S:
            return
        self._split_at = now
        self.meter.tick(now)
        self._split(now)

    def _engine_busy_s(self, call: Call, unread: int) -> float:
        output = self._guess(call).output
        step_s = self._fastest_of(call.service).token_s
        return placing.busy_s(unread, output, step_s)

    def _fastest_of(self, service: str) -> FastestPace:
        return self._fastest.setdefault(service, FastestPace(placing.STEP_S))

    def _guess(self, call: Call) -> Guess:
        kind = call.route.name
        prompt = call.prompt
        most = prompt.max_output
        return Guess(
            self.lengths.expect(kind, prompt.expected_output, most),
            self.lengths.typical(kind, most),
        )

    def _split(self, now: float) -> None:
        self.demand.hear("", self.meter.demand(), now)
        catalog = self._registry.catalog
        for name in catalog.services if catalog else ():
            servers = [item.id for item in self._registry.servers_of(name)]
            self._fastest_of(name).look(self._calm_paces(servers, now))
            demand = self.demand.total(name, now)
            split = self._splits.setdefault(name, Split())
            if split.update(servers, demand):
                self.on_split(name, split.groups, demand)

    def _calm_paces(self, servers: list[str], now: float) -> list[float]:
        # Not of engines that read a long prompt: their streams show the
        # reading, which is counted by itself. At the start of a burst all
        # engines read, and chats were taken to need three servers of eight.
        paces = (
            self.paces.token_s(item, now)
            for item in servers
            if self.workload.load(item).unread <= placing.CHUNK_TOKENS
        )
        return [pace for pace in paces if pace is not None]

    def _group(
        self, call: Call, servers: list[BackendServer]
    ) -> list[BackendServer]:
        split = self._splits.get(call.service)
        names = set(split.group(call.route.name)) if split else ()
        group = [server for server in servers if server.id in names]
        return group or servers


def _some(options: list[Option]) -> list[Option]:
    # When every server has failed of late, one that may fail is better than
    # none: refusing everything would turn a short fault into an outage.
    if options and all(item.blocked for item in options):
        return [dataclasses.replace(item, blocked=False) for item in options]
    return options


def _slots(servers: list[BackendServer]) -> int:
    return max(1, sum(server.slots for server in servers))


def _part_hash(name: str) -> int:
    return xxhash.xxh64_intdigest(name.encode())
