"""What the operator has in force: routes, services, organisations, keys.

A catalog is one whole version; nothing of it changes once it is made, so a
request that holds one sees one truth from its first to its last decision.
"""

import dataclasses
import enum
import math
import random
from collections.abc import Mapping

BYTE_BITS = 8


class Repeat(enum.Enum):
    """What may be sent to a second backend server.

    Attributes:
        IDEMPOTENT: The request may run any number of times.
        ONCE: The request runs at most once.
        RESUMABLE: A stream that may go on at another backend server behind
            the last event that was delivered.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    RESUMABLE = "resumable"


@dataclasses.dataclass(frozen=True)
class Share:
    """A service's part of a route's requests.

    Attributes:
        service: Name of the service.
        weight: Its part, relative to the others'.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """How requests of one host and path prefix are served.

    Attributes:
        name: Its name, which also names the kind of work in load estimates.
        host: Host that callers name, in lower case.
        prefix: Leading part of the path, from slash to slash.
        repeat: What may be repeated.
        streaming: Whether answers are event streams.
        timeout_s: Longest time that a request may stay without its end.
        objective_s: Time to the answer, or to a stream's first event, within
            which the answer is worth most.
        pause_s: Longest pause between events of an answer in time; 0 for
            answers that are not streams.
        rank: 0 is served first.
        services: Where its requests go.
        max_servers: Most backend servers that may run one request.
        anonymous: Whether callers need no key.
        model: Whether requests carry a prompt for a model engine.
        patience_s: Silence after which its callers leave a stream, also
            before the first event.
    """

    name: str
    host: str
    prefix: str
    repeat: Repeat
    streaming: bool
    timeout_s: float
    objective_s: float
    pause_s: float
    rank: int
    services: tuple[Share, ...]
    max_servers: int
    anonymous: bool
    model: bool
    patience_s: float = math.inf

    def serves(self, service: str) -> bool:
        """Returns whether some of its requests go to a service."""
        return any(share.service == service for share in self.services)

    def pick_service(self, rng: random.Random) -> str:
        """Returns the service of one request, by the shares' weights."""
        if len(self.services) == 1:
            return self.services[0].service
        names = [share.service for share in self.services]
        weights = [share.weight for share in self.services]
        if not any(weights):
            return names[0]
        return rng.choices(names, weights)[0]


@dataclasses.dataclass(frozen=True)
class Engine:
    """What the backend servers of a model service can do.

    Attributes:
        slots: Requests that one server runs at once.
        cache_tokens: Tokens that one server's memory holds.
        token_bytes: Memory of one token.
        backups: Whether a run's memory can be copied to a second server as
            it grows.
        event_tokens: Tokens in one event of a stream.
        moves: Whether a run can be moved to another server.
        link_bits_s: What one server's link to the others carries, in bits a
            second; 0 if unknown.
    """

    slots: int
    cache_tokens: int
    token_bytes: int
    backups: bool
    event_tokens: int
    moves: bool = False
    link_bits_s: float = 0.0

    def transfer_s(self, tokens: float) -> float:
        """Returns how long the memory of some tokens takes to be copied."""
        if not self.link_bits_s:
            return math.inf
        return tokens * self.token_bytes * BYTE_BITS / self.link_bits_s


@dataclasses.dataclass(frozen=True)
class Scaling:
    """How many servers of a service may be ordered, and what they cost.

    Attributes:
        least: Least number of servers in an availability zone.
        most: Most of them, both kinds together.
        boot_s: Time from the order of a server to its first request.
        preemptible_price: Price of a server that may be taken away, as a part
            of the usual one; None if there are none.
        zone_prices: Price of a server's second by availability zone; zones
            that are not named have none.
    """

    least: int
    most: int
    boot_s: float
    preemptible_price: float | None
    zone_prices: Mapping[str, float]


@dataclasses.dataclass(frozen=True)
class Service:
    """A group of backend servers that do the same work.

    Attributes:
        name: Its name.
        max_connections: Connections that one server takes from all instances.
        engine: Set for a service of model engines.
        scaling: Set for one whose servers may be ordered.
    """

    name: str
    max_connections: int
    engine: Engine | None
    scaling: Scaling | None = None


@dataclasses.dataclass(frozen=True)
class Bounds:
    """What callers may send, and how long they may take.

    The defaults hold until the first configuration is there.

    Attributes:
        body_bytes: Most bytes of a request's body.
        head_bytes: Most bytes of a request's head.
        head_s: Longest time from a head's first byte to its last.
        idle_s: Longest pause inside a body, and longest time that a
            connection may stay without a request.
    """

    body_bytes: int = 1 << 22
    head_bytes: int = 1 << 16
    head_s: float = 10.0
    idle_s: float = 60.0


@dataclasses.dataclass(frozen=True)
class Holder:
    """The organisation that holds a key.

    Attributes:
        name: Its name.
        rank: Its rank, which goes before its routes'; None for theirs.
    """

    name: str
    rank: int | None


@dataclasses.dataclass(frozen=True)
class BackendServer:
    """One incarnation of a backend server, from its start to its end.

    Attributes:
        name: What the server calls itself. A restart may bring the same one.
        service: Its service.
        address: IP:port.
        zone: Its availability zone.
        slots: Requests that it runs at once.
        draining: Whether it takes no new work.
        born: Its own clock at its start, in Unix milliseconds; 0 if it does
            not say. It tells incarnations apart and never orders them: a
            clock may have stepped back between two starts.
        preemptible: Whether it may be taken away at short notice.
    """

    name: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool
    born: int = 0
    preemptible: bool = False

    @property
    def id(self) -> str:
        """Names this incarnation among all servers.

        All that is kept or told of a server (load, pace, health, cache,
        connections) goes by it. A server that restarts under its old name
        holds and knows nothing of before, so by the name alone it would be
        taken to have its predecessor's cache, failures and running requests.
        """
        return f"{self.name}@{self.born}" if self.born else self.name


@dataclasses.dataclass(frozen=True)
class Catalog:
    """One version of the operator's configuration.

    Attributes:
        version: The operator's number; later versions are higher.
        routes: All routes.
        services: Services by name.
        holders: Organisations by key.
        keyed: Whether requests need a key at all.
        bounds: What callers may send.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    holders: Mapping[str, Holder]
    keyed: bool
    bounds: Bounds

    def __post_init__(self) -> None:
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: -len(route.prefix))
        object.__setattr__(self, "_by_host", by_host)
        object.__setattr__(self, "_levels", self._dense_levels())
        ranks = {route.rank for route in self.routes if route.model}
        object.__setattr__(self, "_route_ranks", sorted(ranks))

    def urgent(self, rank: int, route: Route) -> bool:
        """Returns whether engines take a request before others.

        A full engine puts back the newest of all that are less urgent than the
        one that comes, not the least urgent of them. With more than two grades
        at an engine the middle ones are put back while the last ones run on.

        Args:
            rank: The organisation's rank, or the route's.
            route: The route.
        """
        ranks: list[int] = self._route_ranks  # type: ignore
        if len(ranks) > 1:
            return route.rank == ranks[0]
        return self.level_of(rank, route) == 0

    def level_of(self, rank: int, route: Route) -> int:
        """Returns the place of a model request among all that may come.

        An organisation's rank goes before its routes' ranks, and does not
        replace them: among requests of organisations that rank alike, a
        short-lived answer must not wait behind a long one. Levels are dense,
        since engines know few of them.

        Args:
            rank: The organisation's rank, or the route's.
            route: The route.
        """
        levels: dict[tuple[int, int], int] = self._levels  # type: ignore
        return levels.get((rank, route.rank), rank)

    def _dense_levels(self) -> dict[tuple[int, int], int]:
        own = {holder.rank for holder in self.holders.values()}
        if own <= {None}:
            # The routes' ranks are all there is, and go as they are.
            return {}
        pairs = {
            (route.rank if rank is None else rank, route.rank)
            for route in self.routes
            if route.model
            for rank in own
        }
        return {pair: level for level, pair in enumerate(sorted(pairs))}

    def route_of(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of the path."""
        by_host: dict[str, list[Route]] = self._by_host  # type: ignore
        for route in by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None


@dataclasses.dataclass(frozen=True)
class PromptPart:
    """A leading part of a prompt, shared by all requests with its id.

    Attributes:
        id: Names its content.
        tokens: Its size.
    """

    id: str
    tokens: int


@dataclasses.dataclass(frozen=True)
class Prompt:
    """The prompt of a model request.

    Attributes:
        parts: Its parts in order; the last is the request's own.
        tokens: Tokens in.
        max_output: Most tokens out.
        expected_output: The caller's estimate of the tokens out; None if it
            gave none.
    """

    parts: tuple[PromptPart, ...]
    tokens: int
    max_output: int
    expected_output: int | None

    @property
    def shared(self) -> tuple[PromptPart, ...]:
        """The parts that other requests may bring too."""
        return self.parts[:-1]

    @property
    def shared_tokens(self) -> int:
        """Tokens of the parts that other requests may bring too."""
        return sum(part.tokens for part in self.shared)

    @property
    def own_tokens(self) -> int:
        """Tokens in that no other request brings."""
        return self.tokens - self.shared_tokens


@dataclasses.dataclass(frozen=True)
class Call:
    """A request of a caller, whichever interface it came by.

    Attributes:
        id: The caller's id of this attempt.
        route: Its route.
        service: The service that serves it.
        rank: 0 is served first.
        urgent: Whether engines take it before others.
        organisation: Whose it is; "" without a key.
        method: HTTP method.
        host: Host that the caller named.
        target: Path and query, byte for byte.
        headers: Header fields to pass on.
        body: Body, whole.
        prompt: Set for model requests.
        last_event: Last event that the caller has of an earlier answer; ""
            for a new one.
        arrived: Steady time at which it was read, in seconds.
        ends: Steady time at which it must have its final answer.
    """

    id: str
    route: Route
    service: str
    rank: int
    urgent: bool
    organisation: str
    method: str
    host: str
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    prompt: Prompt | None
    last_event: str
    arrived: float
    ends: float
