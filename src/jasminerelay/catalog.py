"""The operator's configuration: routes, services, organisations and keys.

A catalog is one version of the configuration and immutable, so a request that
holds one is served by consistent rules from its first to its last decision.
"""

import bisect
import dataclasses
import enum
import math
import random
from collections.abc import Mapping

BYTE_BITS = 8


class RepeatPolicy(enum.Enum):
    """Whether a request may be sent to a second backend server.

    Attributes:
        IDEMPOTENT: The request may run any number of times.
        ONCE: The request runs at most once.
        RESUMABLE: A stream that may continue at another backend server after
            the last event that was delivered.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    RESUMABLE = "resumable"


@dataclasses.dataclass(frozen=True)
class ServiceShare:
    """A service's share of a route's requests.

    Attributes:
        service: Name of the service.
        weight: Its weight, relative to those of the other services.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """How requests of one host and path prefix are served.

    Attributes:
        name: Its name, which also names the kind of work in load estimates.
        host: Host in the request, in lower case.
        prefix: Leading path segments, from slash to slash.
        repeat_policy: Whether a request may be repeated.
        streaming: Whether answers are event streams.
        timeout_s: Maximum time from a request to the end of its answer.
        objective_s: Target time to the answer, or to a stream's first event;
            later answers are worth less.
        pause_s: Maximum pause between events of an answer in time; 0 for
            answers that are not streams.
        rank: Priority; 0 is served first.
        services: The services that serve its requests.
        max_servers: Maximum number of backend servers that may run one request.
        anonymous: Whether callers need no key.
        model: Whether requests carry a prompt for a model engine.
        caller_idle_timeout_s: Time without an event after which callers abandon
            a stream, also before its first event.
    """

    name: str
    host: str
    prefix: str
    repeat_policy: RepeatPolicy
    streaming: bool
    timeout_s: float
    objective_s: float
    pause_s: float
    rank: int
    services: tuple[ServiceShare, ...]
    max_servers: int
    anonymous: bool
    model: bool
    caller_idle_timeout_s: float = math.inf

    def serves(self, service: str) -> bool:
        """Returns whether some of its requests go to a service."""
        return any(share.service == service for share in self.services)

    def pick_service(self, rng: random.Random) -> str:
        """Chooses a request's service at random, by the shares' weights."""
        if len(self.services) == 1:
            return self.services[0].service
        names = [share.service for share in self.services]
        weights = [share.weight for share in self.services]
        if not any(weights):
            return names[0]
        return rng.choices(names, weights)[0]


@dataclasses.dataclass(frozen=True)
class Engine:
    """Capacity and features of the backend servers of a model service.

    Attributes:
        slots: Requests that one server runs at once.
        cache_tokens: Capacity of one server's KV cache, in tokens.
        token_bytes: Size of one token in the KV cache.
        backups: Whether the KV cache of an in-flight request can be copied to a
            second server while it grows.
        event_tokens: Tokens in one event of a stream.
        supports_moves: Whether an in-flight request can be moved to another
            server.
        link_bits_per_s: Bandwidth of one server's link to the others, in bits
            per second; 0 if unknown.
    """

    slots: int
    cache_tokens: int
    token_bytes: int
    backups: bool
    event_tokens: int
    supports_moves: bool = False
    link_bits_per_s: float = 0.0

    def transfer_s(self, tokens: float) -> float:
        """Returns the time to copy the KV cache of a number of tokens."""
        if not self.link_bits_per_s:
            return math.inf
        return tokens * self.token_bytes * BYTE_BITS / self.link_bits_per_s


@dataclasses.dataclass(frozen=True)
class Scaling:
    """Limits on ordering servers of a service, and their prices.

    Attributes:
        min_servers: Minimum number of servers in an availability zone.
        max_servers: Maximum number, on-demand and preemptible servers together.
        boot_s: Time from ordering a server to its first request.
        preemptible_price: Price of a preemptible server as a fraction of the
            usual price; None if there are none.
        zone_prices: Price of a server per second by availability zone; zones
            that are not listed have no price.
    """

    min_servers: int
    max_servers: int
    boot_s: float
    preemptible_price: float | None
    zone_prices: Mapping[str, float]


@dataclasses.dataclass(frozen=True)
class Service:
    """A group of backend servers that do the same work.

    Attributes:
        name: Its name.
        max_connections: Maximum number of connections to one server, from all
            instances.
        engine: Set for a service of model engines.
        scaling: Set for a service whose servers may be ordered.
    """

    name: str
    max_connections: int
    engine: Engine | None
    scaling: Scaling | None = None


@dataclasses.dataclass(frozen=True)
class RequestLimits:
    """Limits on the size and duration of callers' requests.

    The defaults apply until the first configuration is received.

    Attributes:
        body_bytes: Maximum size of a request's body.
        head_bytes: Maximum size of a request's head.
        head_timeout_s: Maximum time from the first byte of a head to its last.
        idle_timeout_s: Maximum pause inside a body, and maximum time that a
            connection may stay open without a request.
    """

    body_bytes: int = 1 << 22
    head_bytes: int = 1 << 16
    head_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


@dataclasses.dataclass(frozen=True)
class KeyHolder:
    """The organisation that holds an API key.

    Attributes:
        name: Its name.
        rank: Its priority, which takes precedence over that of its routes; None
            to use the routes' priority.
    """

    name: str
    rank: int | None


@dataclasses.dataclass(frozen=True)
class BackendServer:
    """One incarnation of a backend server, from its start to its end.

    Attributes:
        name: The server's own name. A restarted server may have the same name.
        service: Its service.
        address: IP:port.
        zone: Its availability zone.
        slots: Requests that it runs at once.
        draining: Whether it accepts no new work.
        born: Its own clock at its start, in Unix milliseconds; 0 if not
            reported. It distinguishes incarnations but does not order them: a
            clock may have stepped back between two starts.
        preemptible: Whether it may be taken away at short notice.
        software_version: Version of its software, not of its weights.
    """

    name: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool
    born: int = 0
    preemptible: bool = False
    software_version: str = ""

    @property
    def id(self) -> str:
        """Identifies this incarnation among all servers.

        All state about a server (load, decode speed, health, cache,
        connections) is keyed by it. A server that restarts under its old name
        has none of its former state. Keyed by the name alone, it would be
        credited with its predecessor's cache, failures and in-flight requests.
        """
        return f"{self.name}@{self.born}" if self.born else self.name


@dataclasses.dataclass(frozen=True)
class Catalog:
    """One version of the operator's configuration.

    Attributes:
        version: The operator's version number; later versions are higher.
        routes: All routes.
        services: Services by name.
        key_holders: Organisations by API key.
        requires_keys: Whether requests need an API key at all.
        bounds: Limits on callers' requests.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    key_holders: Mapping[str, KeyHolder]
    requires_keys: bool
    bounds: RequestLimits

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

    def urgency_of(self, rank: int, route: Route) -> int:
        """Returns the urgency that engines are told; 0 is the most urgent.

        A full engine preempts the newest of its least urgent requests. Routes
        of different rank differ in urgency, so that none is preempted while one
        of a lower rank runs on; organisations' ranks do not count beside them.

        Args:
            rank: The organisation's priority, or the route's.
            route: The route.
        """
        ranks: list[int] = self._route_ranks  # type: ignore
        if len(ranks) > 1:
            return bisect.bisect_left(ranks, route.rank)
        return min(1, self.priority_level_of(rank, route))

    def priority_level_of(self, rank: int, route: Route) -> int:
        """Returns the priority level of a model request among all.

        An organisation's priority takes precedence over its routes' priorities
        but does not replace them: among organisations of equal priority, a
        request with a short answer must not wait behind one with a long answer.
        Levels are consecutive, since engines support few of them.

        Args:
            rank: The organisation's priority, or the route's.
            route: The route.
        """
        levels: dict[tuple[int, int], int] = self._levels  # type: ignore
        return levels.get((rank, route.rank), rank)

    def _dense_levels(self) -> dict[tuple[int, int], int]:
        holder_ranks = {holder.rank for holder in self.key_holders.values()}
        if holder_ranks <= {None}:
            # No organisation has a rank, so the routes' ranks are used
            # unchanged.
            return {}
        pairs = {
            (route.rank if rank is None else rank, route.rank)
            for route in self.routes
            if route.model
            for rank in holder_ranks
        }
        return {pair: level for level, pair in enumerate(sorted(pairs))}

    def route_of(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest matching path prefix."""
        by_host: dict[str, list[Route]] = self._by_host  # type: ignore
        for route in by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None


@dataclasses.dataclass(frozen=True)
class PromptPart:
    """A leading part of a prompt, shared by all requests with its id.

    Attributes:
        id: Identifies its content.
        tokens: Its size.
    """

    id: str
    tokens: int


@dataclasses.dataclass(frozen=True)
class Prompt:
    """The prompt of a model request.

    Attributes:
        parts: Its parts in order; the last is the request's own.
        tokens: Number of input tokens.
        max_output: Maximum number of output tokens.
        expected_output: The caller's estimate of the output tokens; None if not
            given.
    """

    parts: tuple[PromptPart, ...]
    tokens: int
    max_output: int
    expected_output: int | None

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """The parts that other requests may contain too."""
        return self.parts[:-1]

    @property
    def shared_tokens(self) -> int:
        """Number of tokens in the shared parts."""
        return sum(part.tokens for part in self.shared_parts)

    @property
    def own_tokens(self) -> int:
        """Number of input tokens that no other request shares.

        0 if the caller states parts that are larger than the whole.
        """
        return max(0, self.tokens - self.shared_tokens)


@dataclasses.dataclass(frozen=True)
class Call:
    """A request of a caller, independent of the interface that received it.

    Attributes:
        id: The caller's id of this attempt.
        route: Its route.
        service: The service that serves it.
        rank: Priority; 0 is served first.
        urgency: Urgency at engines; 0 is served first.
        organisation: The caller's organisation; "" without a key.
        method: HTTP method.
        host: Host in the request.
        target: Path and query, unchanged.
        headers: Header fields to forward.
        body: The complete body.
        prompt: Set for model requests.
        last_event_id: Id of the last event that the caller received of an
            earlier answer; "" for a new request.
        arrived_at: Monotonic time at which it was read, in seconds.
        answer_deadline: Monotonic time by which its final answer must be sent.
        first_attempt: Id of the caller's attempt that brought the first event
            of the stream that this request continues; "" if it names none.
        software_version: Version of the servers at which its stream, which has
            begun, can go on; None if any server may serve it.
        events_done: Events of that stream that its caller has.
        waits_since: Monotonic time since which its caller waits for an event;
            None if that is its arrival.
    """

    id: str
    route: Route
    service: str
    rank: int
    urgency: int
    organisation: str
    method: str
    host: str
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    prompt: Prompt | None
    last_event_id: str
    arrived_at: float
    answer_deadline: float
    first_attempt: str = ""
    software_version: str | None = None
    events_done: int = 0
    waits_since: float | None = None

    def may_run_at(self, server: BackendServer) -> bool:
        """Returns whether it may run, or go on, at a server of its service."""
        return self.software_version in (None, server.software_version)
