"""Chooses servers for requests from all that an instance knows."""

import dataclasses
import math
import time
from collections.abc import Callable, Iterable, Mapping, Sequence

from jasminerelay import placing, rendezvous
from jasminerelay.admission import Prospect
from jasminerelay.catalog import (
    BackendServer,
    Call,
    Engine,
    PromptPart,
)
from jasminerelay.enginemodel import EngineModels, Speeds
from jasminerelay.groups import DemandMeter, DemandView, Need, Split
from jasminerelay.lengths import Lengths
from jasminerelay.pace import PaceBook
from jasminerelay.placing import Guess, Option, Placed, Wait
from jasminerelay.prefix import CacheView, PrefixIndex, part_hash
from jasminerelay.registry import Registry
from jasminerelay.schema.messages import EngineSample, KindDemand, ServerLoad
from jasminerelay.serverlimits import Allowance
from jasminerelay.silences import Silences
from jasminerelay.stragglers import Stragglers
from jasminerelay.waitingroom import Seat
from jasminerelay.workload import Run, Workload

SPLIT_EVERY_S = 0.5
"""How often the split of a service's servers is looked at."""


US = 1e6

LEAST_RATE = 0.01
"""Requests a second that servers are taken to allow at the least, where what is
left to expect is worked out."""

OUTLOOK_LIFE_S = 0.02
"""How long what is read off a kind's servers serves all who wait for them.
Under a burst dozens wait and are looked at thirty times a second; read anew
for each, looks would take most of the processor."""

END_SHARE = 0.85
"""Part of the time left that the rest of an answer may be expected to take
before it is moved to an engine that makes tokens faster."""

LATEST_SHARE = 0.4
"""Part of the time left that the rest of an answer may take at a quick engine
before it is moved there. Most that look too slow for a moment end where they
are; a move of each cost more than all that it saved."""

QUICKER_SHARE = 0.6
"""Pace, relative to that of its engine, of one that a run is moved to. A move
costs a pause and the transfer of its memory."""

AHEAD_SHARE = 0.25
"""Tokens ahead, as a part of a request's own, up to which the time to its
first event is a measure of the engine. What lies ahead is known late and
inexactly."""

CALM_S = 0.1
"""Reading ahead at an engine up to which its streams show its own step; the
tokens that come between two short prompts outnumber those that a prompt holds
up."""

PAUSE_SHARE = 0.5
"""Part of the longest pause allowed that an engine's own work may fill; the
rest is for the links."""

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
        token_s: Seconds per token at the fastest one where it may go on.
    """

    at: float
    reading_s: float
    share: float
    token_s: float


class Dispatcher:
    """Places requests; owns what that takes and no socket.

    Attributes:
        sees_steps: Whether engines' steps are measured by the streams here;
            else owners of cells are told of them.
    """

    def __init__(
        self,
        registry: Registry,
        zone: str,
        instances: Callable[[], int],
        engines: EngineModels | None = None,
        lengths: Lengths | None = None,
        silences: Silences | None = None,
        caches: CacheView | None = None,
        allowance: Allowance | None = None,
    ):
        """Makes a dispatcher.

        Args:
            registry: Configuration and servers.
            zone: This instance's availability zone.
            instances: Returns how many instances share the work.
            engines: What is known of engines; new if None.
            lengths: What is known of answers' lengths; new if None.
            silences: Judges servers that say nothing; new if None.
            caches: What the servers hold, for who places all their requests;
                None for one of several.
            allowance: What may be sent to servers that have a limit; None
                where no server names one.
        """
        self._registry = registry
        self._zone = zone
        self._instances = instances
        self.workload = Workload()
        self.meter = DemandMeter()
        self.demand = DemandView()
        self._splits: dict[str, Split] = {}
        self._kinds: dict[str, list[KindDemand]] = {}
        self._split_at = float("-inf")
        self._health: dict[str, Stragglers] = {}
        self._warm = PrefixIndex()
        self._caches = caches
        self._allowance = Allowance() if allowance is None else allowance
        self.lengths = lengths or Lengths()
        self._silences = silences or Silences()
        self.paces = PaceBook()
        self.engines = engines or EngineModels()
        self._outlooks: dict[tuple[str, str], _Outlook] = {}
        self.sees_steps = True
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

    def silent(self, server: str, now: float) -> bool:
        """Returns whether a server owes this instance a word for too long."""
        own = self.workload.own_running(server)
        return self._silences.silent(server, own, now)

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
        engine = self.engine_of(call.service)
        if engine is not None:
            model = self.engines.of(call.service)
            model.assume(engine, call.route, call.prompt.tokens)
        kind = call.route.name
        need = self._need(call)
        self.meter.arrived(call.service, kind, call.route.rank, need)
        split = self._splits.get(call.service)
        if split is None or not split.group(kind):
            self._split(time.monotonic())

    def busy_s(self, call: Call) -> float:
        """Returns how long a request keeps a server busy."""
        if call.prompt is None:
            return call.route.objective_s / 4
        return self._need_s(call.service, self._need(call))

    def first_s(self, call: Call) -> float:
        """Returns how long a request's first event takes once it is placed."""
        if call.prompt is None:
            return 0.0
        speeds = self._speeds(call.service)
        return placing.KNOWN_UNREAD_S + speeds.first_s(call.prompt.own_tokens)

    def place(self, call: Call, avoid: frozenset[str]) -> Placed | Wait:
        """Finds a place now."""
        servers = [
            server
            for server in self._registry.servers_of(call.service)
            if server.id not in avoid
        ]
        if not servers:
            return Wait("no server in use")
        free = self._unlimited(servers)
        if len(free) == len(servers):
            return self._place_among(call, servers)
        return self._place_beside_limits(call, servers, free)

    def _place_beside_limits(
        self,
        call: Call,
        servers: list[BackendServer],
        free: list[BackendServer],
    ) -> Placed | Wait:
        """Places a request where some servers have a limit.

        Such a server is in need, so work goes elsewhere first; and it looks
        idle for the little that it gets.
        """
        now = time.monotonic()
        limited = [item for item in servers if item not in free]
        allowance = self._allowance
        tried = [x for x in limited if allowance.on_trial(x.id, now)]
        held = [x for x in limited if allowance.may_send(x.id, now)]
        placed: Placed | Wait = Wait("its servers take no more for now")
        for some in (tried, free, held):
            if some:
                placed = self._place_among(call, some)
            if isinstance(placed, Placed):
                return placed
        for item in limited:
            allowance.want(item.id, call.rank, now)
        return placed

    def _place_among(
        self, call: Call, servers: list[BackendServer]
    ) -> Placed | Wait:
        engine = self.engine_of(call.service)
        if call.prompt is None or engine is None:
            options = self._options(call, servers)
            return placing.place_plain(call, _some(options), self._zone)
        group = self._group(call.service, call.route.name, servers)
        now = time.monotonic()
        guess = self._guess(call)
        speeds = self._speeds(call.service)
        options = _some(self._options(call, group))
        placed = placing.place_model(call, engine, speeds, options, guess, now)
        if isinstance(placed, Placed):
            return placed
        names = self._lent(call)
        if self._may_spill(call, now):
            names |= {server.id for server in servers}
        others = [
            server
            for server in servers
            if server.id in names and server not in group
        ]
        if not others:
            return placed
        harmless = self._harmless_tokens(call.service)
        left = harmless - call.prompt.tokens
        options = placing.calm(self._options(call, others), left)
        return placing.place_model(call, engine, speeds, options, guess, now)

    def _options(
        self, call: Call, servers: list[BackendServer]
    ) -> list[Option]:
        now = time.monotonic()
        paces = self.paces.of_alike((item.id for item in servers), now)
        shared = call.prompt.shared if call.prompt is not None else ()
        hashes = tuple(part_hash(part.id) for part in shared)
        return [
            Option(
                server,
                self.workload.load(server.id),
                self._warm_tokens(server.id, shared, hashes),
                paces.slowness(server.id),
                paces.token_s[server.id],
                self._blocked(call.service, server.id, now),
                self._caches is not None,
            )
            for server in servers
        ]

    def _warm_tokens(
        self, server: str, shared: Sequence[PromptPart], hashes: tuple[int, ...]
    ) -> int:
        if not hashes:
            return 0
        view = self._warm if self._caches is None else self._caches
        count = view.matched(server, hashes)
        return sum(part.tokens for part in shared[:count])

    def _blocked(self, service: str, server: str, now: float) -> bool:
        health = self.health(service)
        if health.blocked(server, now):
            return True
        if self.silent(server, now):
            return True
        # After a rest it gets one request at a time.
        busy = self.workload.load(server).running > 0
        return busy and health.probing(server)

    def _lent(self, call: Call) -> set[str]:
        """Returns other kinds' servers that a request may use at once.

        A cell has few servers, so a kind that needs one and a half gets one
        and waits, or two; and a split follows a burst a second or two late.
        So a kind may use servers of those that come after it in rank, but for
        those with the longest prompts, beside which its pauses would be too
        long.
        """
        split = self._splits.get(call.service)
        if split is None:
            return set()
        kinds = self._kinds.get(call.service, ())
        longest = max((item.size for item in kinds), default=0.0)
        own = {x.rank for x in kinds if x.kind == call.route.name}
        return {
            name
            for item in kinds
            if item.size < longest and item.rank > min(own, default=item.rank)
            for name in split.group(item.kind)
        }

    def _may_spill(self, call: Call, now: float) -> bool:
        """Whether a request may go to other kinds' servers.

        Only what is late already and has short prompts: a late one loses
        little by the longer pauses there, and reads too little to stretch
        those of others.
        """
        late = now - call.arrived > call.route.objective_s
        return late and call.prompt.tokens <= self._harmless_tokens(
            call.service
        )

    def _harmless_tokens(self, service: str) -> float:
        """Returns how many tokens may be read beside any stream.

        The reading holds up the tokens of the streams beside it; those with
        the shortest pause allowed bear this much of it.
        """
        catalog = self._registry.catalog
        engine = self.engine_of(service)
        pauses = [
            route.pause_s
            for route in (catalog.routes if catalog else ())
            if route.pause_s and route.serves(service)
        ]
        if not pauses or engine is None:
            return float("inf")
        speeds = self._speeds(service)
        if not speeds.read_token_s:
            return 0.0
        event_s = engine.event_tokens * speeds.token_s(engine.slots / 2)
        left_s = max(0.0, min(pauses) * PAUSE_SHARE - event_s)
        return left_s / speeds.read_token_s

    def _speeds(self, service: str) -> Speeds:
        return self.engines.of(service).speeds()

    def note_reading(
        self, call: Call, placed: Placed, ahead: int, seconds: float
    ) -> None:
        """Takes the time in which a request's first event came.

        Args:
            call: The request.
            placed: Where it went.
            ahead: Tokens that were to be read there before its own.
            seconds: Time from its sending.
        """
        # What lay ahead was partly read and is known from others' words, so
        # it must not be most of what is measured.
        if not placed.sure or ahead > placed.unread * AHEAD_SHARE:
            return
        tokens = ahead + placed.unread
        sample = EngineSample(call.service, True, tokens, seconds)
        self.engines.see(sample, time.monotonic())

    def reserve(
        self, call: Call, placed: Placed, number: int | None = None
    ) -> Run:
        """Notes that a request goes to a server.

        Args:
            call: The request.
            placed: Where it goes.
            number: The run's number; None for a new one.
        """
        name = placed.server.id
        if number is None:
            # With a number an owner has placed it, and spent its own grant.
            self._allowance.spend(name, time.monotonic())
        idle = not self.workload.own_running(name)
        self._silences.sent(name, idle, time.monotonic())
        if call.prompt is not None:
            self._note_parts(call, name)
        return self.workload.start(name, placed.unread, placed.memory, number)

    def _note_parts(self, call: Call, server: str) -> None:
        parts = call.prompt.parts
        hashes = [part_hash(part.id) for part in parts]
        engine = self.engine_of(call.service)
        if self._caches is None or engine is None:
            self._warm.add(server, tuple(hashes))
            return
        tokens = [part.tokens for part in parts]
        tokens[-1] += self._guess(call).output
        self._caches.add(
            server,
            list(zip(hashes, tokens, strict=True)),
            engine.cache_tokens,
        )

    def seat_at(self, call: Call, server: BackendServer) -> Seat:
        """Returns a seat at a server that has the run's memory already."""
        self._allowance.spend(server.id, time.monotonic())
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
        servers = self._open_to_moves(call.service, avoid)
        if engine is None or not servers:
            return None
        memory = call.prompt.tokens + self._guess(call).output
        group = self._group(call.service, call.route.name, servers)
        options = _some(self._options(call, group))
        roomy = [
            item.server
            for item in options
            if not item.blocked
            and placing.has_room(
                engine, self._speeds(call.service), item, memory
            )
        ]
        # A full one is better than none: the run is cut where it is.
        by_id = {item.id: item for item in roomy or group}
        return self.seat_at(call, by_id[rendezvous.owner(call.id, by_id)])

    def _open_to_moves(
        self, service: str, avoid: frozenset[str]
    ) -> list[BackendServer]:
        now = time.monotonic()
        return [
            server
            for server in self._registry.servers_of(service)
            if server.id not in avoid
            and self._allowance.may_send(server.id, now)
        ]

    def _unlimited(self, servers: list[BackendServer]) -> list[BackendServer]:
        if not self._allowance.limits:
            return servers
        return [x for x in servers if not self._allowance.limited(x.id)]

    def cannot_end(
        self, call: Call, server: BackendServer, events: int
    ) -> bool:
        """Returns whether a stream must go on elsewhere to end in time.

        An engine that reads prompts without a break makes a token for each
        piece that it reads, five times slower than one that only decodes. A
        break may come, so a stream stays for as long as a quicker engine
        could still end it.
        """
        engine = self.engine_of(call.service)
        if engine is None or not engine.moves:
            return False
        left_s = (call.ends - time.monotonic()) * END_SHARE
        if self.left_s(call, server, events) < left_s:
            return False
        speeds = self._speeds(call.service)
        token_s = speeds.token_s(engine.slots / 2)
        return self._left_tokens(call, events) * token_s > left_s * LATEST_SHARE

    def quicker(
        self, call: Call, server: BackendServer, avoid: frozenset[str]
    ) -> Seat | None:
        """Returns a seat where a run goes on that cannot end at its server.

        Its prompt is read, so it does not stretch the pauses of the streams
        there, whatever their kind. Requests spread by their ids over all
        that are quicker.
        """
        engine = self.engine_of(call.service)
        now = time.monotonic()
        memory = call.prompt.tokens + self._guess(call).output
        speeds = self._speeds(call.service)
        here_s = self.paces.token_s(server.id, now) or speeds.step_s
        others = self._open_to_moves(call.service, avoid)
        by_id = {
            item.server.id: item.server
            for item in self._options(call, others)
            if not item.blocked
            and placing.has_room(engine, speeds, item, memory)
            and (item.token_s or 0.0) < here_s * QUICKER_SHARE
        }
        if not by_id:
            return None
        return self.seat_at(call, by_id[rendezvous.owner(call.id, by_id)])

    def left_s(self, call: Call, server: BackendServer, events: int) -> float:
        """Returns how long a stream will go on at its server."""
        engine = self.engine_of(call.service)
        if engine is None:
            return 0.0
        pace = self.paces.token_s(server.id, time.monotonic())
        pace = pace or self._speeds(call.service).step_s
        return self._left_tokens(call, events) * pace

    def _left_tokens(self, call: Call, events: int) -> float:
        guess = self._guess(call)
        done = events * self.engine_of(call.service).event_tokens
        # A stream that is past its guess is as likely to go on for long, and
        # the longer it has gone on the longer.
        return max(guess.output - done, guess.typical / 2, done / 2)

    def expect(self, call: Call, ahead_s: float) -> Prospect:
        """Returns what to expect of a request that waits."""
        now = time.monotonic()
        left_s = call.ends - now
        servers = self._registry.servers_of(call.service)
        if not servers:
            # The next word of the store may bring some; a short wait costs
            # the caller less than coming back.
            return Prospect(now - call.arrived, 0.0, call.route.objective_s)
        servers = self._unlimited(servers)
        if not servers:
            return self._expect_grant(call, ahead_s, left_s)
        if call.prompt is None:
            ahead = ahead_s * self._instances() / _slots(servers)
            return Prospect(ahead, call.route.objective_s / 3, left_s)
        outlook = self._outlook(call.service, call.route.name, servers, now)
        ahead = outlook.reading_s + ahead_s * outlook.share
        first_s = self._speeds(call.service).first_s(call.prompt.own_tokens)
        own_s = first_s + self._guess(call).output * outlook.token_s
        patience_s = call.arrived + call.route.patience_s - now
        return Prospect(ahead, own_s, left_s, first_s, patience_s)

    def _expect_grant(
        self, call: Call, ahead_s: float, left_s: float
    ) -> Prospect:
        """Returns what to expect where all servers have a limit."""
        servers = self._registry.servers_of(call.service)
        limits = self._allowance.limits
        rate = sum(limits.get(server.id, 0.0) for server in servers)
        busy_s = self.busy_s(call)
        before = ahead_s / busy_s if busy_s else 0.0
        turn_s = (1 + before) * self._instances() / max(rate, LEAST_RATE)
        return Prospect(turn_s, busy_s, left_s)

    def ahead_s(self, service: str, kind: str, queued_s: float) -> float:
        """Returns the time until the turn of a new model request.

        Args:
            service: Its service.
            kind: Its kind.
            queued_s: Engine time of the requests of its kind that wait.
        """
        servers = self._unlimited(self._registry.servers_of(service))
        if not servers:
            return math.inf
        outlook = self._outlook(service, kind, servers, time.monotonic())
        return outlook.reading_s + queued_s * outlook.share

    def _outlook(
        self,
        service: str,
        kind: str,
        servers: list[BackendServer],
        now: float,
    ) -> "_Outlook":
        key = (service, kind)
        held = self._outlooks.get(key)
        if held is not None and now - held.at < OUTLOOK_LIFE_S:
            return held
        names = [item.id for item in self._group(service, kind, servers)]
        # Where runs can be moved, a long answer goes on where nothing is read.
        engine = self.engine_of(service)
        moves = engine is not None and engine.moves
        going_on = [item.id for item in servers] if moves else names
        unread = sum(self.workload.load(name).unread for name in names)
        speeds = self._speeds(service)
        seen = (self.paces.token_s(name, now) for name in going_on)
        self._outlooks[key] = _Outlook(
            now,
            speeds.reading_s(unread) / len(names),
            self._instances() / len(names),
            min(pace or speeds.step_s for pace in seen),
        )
        return self._outlooks[key]

    def gone(self, server: str) -> None:
        """Forgets a server that has ended."""
        for health in self._health.values():
            health.forget(server)
        self._warm.forget(server)
        if self._caches is not None:
            self._caches.forget(server)
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

    def own_demand(self) -> list[KindDemand]:
        """Returns what this instance's callers bring, for the others."""
        return self.meter.demand(self._need_s)

    def _need(self, call: Call) -> Need:
        output = self._guess(call).output
        prompt = call.prompt
        return Need(prompt.own_tokens, output, prompt.tokens + output)

    def _need_s(self, service: str, need: Need) -> float:
        engine = self.engine_of(service)
        if engine is None:
            return 0.0
        return self._speeds(service).busy_s(
            engine, need.unread, need.output, need.memory
        )

    def _guess(self, call: Call) -> Guess:
        kind = call.route.name
        prompt = call.prompt
        most = prompt.max_output
        return Guess(
            self.lengths.expect(kind, prompt.expected_output, most),
            self.lengths.typical(kind, most),
        )

    def _split(self, now: float) -> None:
        self.demand.hear("", self.own_demand(), now)
        catalog = self._registry.catalog
        for name in catalog.services if catalog else ():
            there = self._registry.servers_of(name)
            # What a server with a limit gets is too little to count on.
            counted = self._unlimited(there) or there
            servers = [item.id for item in counted]
            if self.sees_steps:
                self._note_steps(name, servers, now)
            demand = self.demand.total(name, now)
            self._kinds[name] = demand
            split = self._splits.setdefault(name, Split())
            if split.update(servers, demand):
                self.on_split(name, split.groups, demand)

    def note_step(
        self, service: str, server: str, step_s: float, now: float
    ) -> None:
        """Takes the time of a step of a calm engine for its own pace.

        Not of one that reads a long prompt: its streams show the reading,
        which is counted by itself. At the start of a burst all engines read,
        and short requests would be taken to need most of the servers.

        Args:
            service: The service.
            server: The engine.
            step_s: Time between two of its tokens.
            now: Steady time.
        """
        load = self.workload.load(server)
        reading_s = self._speeds(service).reading_s(load.unread)
        if not load.running or reading_s > CALM_S:
            return
        sample = EngineSample(service, False, load.running, step_s)
        self.engines.see(sample, now)

    def _note_steps(self, service: str, servers: list[str], now: float) -> None:
        for name in servers:
            step_s = self.paces.undisturbed_s(name)
            if step_s is not None:
                self.note_step(service, name, step_s, now)

    def _group(
        self, service: str, kind: str, servers: list[BackendServer]
    ) -> list[BackendServer]:
        split = self._splits.get(service)
        names = set(split.group(kind)) if split else ()
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
