"""Chooses the server for a request, or decides that it waits.

Pure. A request goes to the server of its group with the earliest expected first
event, given the load there, with two corrections: parts of the prompt that are
in a server's KV cache need no prefill, and a server never gets more at once
than it can finish in time. A request for which no server has capacity waits in
the instance, where a server crash does not affect it and a more urgent request
can overtake it.
"""

import dataclasses
import math
from collections.abc import Sequence

from jasminerelay import rendezvous
from jasminerelay.catalog import BackendServer, Call, Engine
from jasminerelay.enginemodel import CACHE_SHARE, SLOT_SHARE, EngineSpeeds
from jasminerelay.workload import Load

PREFILL_LIMIT_S = 0.45
"""Pending prefill at a server above which requests wait in the instance. It
covers the age of the other instances' load reports; a higher limit would only
take the choice of order away from the instances."""

MAX_SPEED_UP = 4.0
"""Speed of a server, relative to a usual one, that is not exceeded."""

KNOWN_PREFILL_LIMIT_S = 0.1
"""The same limit where every request sent to the server is known at once. It
covers the round trip to the server, so that no engine is idle; requests that
wait in the instance can still be reordered and placed elsewhere."""

REQUESTS_PER_SLOT = 2.0
"""Requests per slot sent to a plain service's server: one running and one
queued behind it while an answer is in transit."""

RECOMPUTE_WEIGHT = 12.0
"""Cost of prefilling a shared token again, as a multiple of its prefill time.
It delays every request queued at the engine, so a request leaves a server that
has its prefix cached only to avoid a longer delay."""

OVERFLOW_CACHED_SHARES = (1.0, 0.7, 0.45, 0.25)
"""Part of a prompt's shared prefix that is assumed to be cached at the servers
next in the common order when the first one is full. Without a common order for
the overflow each instance would pick another server, and each of those would
prefill the prefix again; with small shares much of the overflow still does."""

MAX_UNKNOWN_SHARE = 0.25
"""Largest part of a request's prefill whose cache state may be unknown, for its
time to first event to be used to measure the engine."""

MAX_SLOWNESS = 4.0
"""Upper bound on the slowness used in scores; one stalled answer does not prove
that a server is useless."""

SLOW_SERVER_PENALTY_S = 0.5
"""Delay added to the score of a server that is much slower than its peers."""

CLEAR_SLOWNESS = 1.5
"""Slowness from which a plain server's load counts for more. Below it, servers
of different speed are evenly loaded if equal numbers of requests are there: a
faster one ends them sooner, and gets more for that reason alone."""

FULL_SERVER_PENALTY_S = 0.15
"""Delay added to the score of a server without capacity: about the time in
which one of its requests ends or completes prefill."""

CACHE_WAIT_SHARE = 0.6
"""Share of the time left to a request's objective that it may wait for the
server that has its prompt prefix cached, while others have capacity. Prefilling
the prefix again costs the engines more than the wait costs the caller."""

DECODE_WEIGHT = 0.25
"""Weight of the decode time in the score: the objective applies to the first
event, but a loaded engine slows all its streams."""

LONGER_FACTOR = 2.0
"""Size of a less urgent request, relative to a late urgent one, above which it
does not begin while that one waits."""

SLOW_FACTOR = 2.0
"""Time per token, relative to that of its peers, at which a server counts as
slow."""

ANSWER_TIME_SHARE = 0.75
"""Share of its time limit that a typical answer may take at a server. Each
request added to an engine slows all others there; without the bound, engines
under a burst of long prompts would end many answers at their time limit, almost
complete."""


@dataclasses.dataclass(frozen=True)
class PlacementCandidate:
    """A backend server and its present state.

    Attributes:
        server: The server.
        load: Load of all instances there.
        cached_tokens: Leading shared tokens of the prompt that are in its KV
            cache.
        slowness: Its time per token relative to its peers'; 1 is typical. It
            depends on the load there.
        token_s: Time per token of its streams in seconds; None if unknown.
        blocked: Whether it is excluded after a failure.
        cache_known: Whether the number of cached tokens is exact; otherwise
            other instances may have sent more of the prefix there, which is the
            more likely the earlier the server comes in the prompt's order of
            servers.
        server_slowness: Its expected times under any load relative to those of
            a usual server.
        limit: Concurrent requests that it is given; 0 if only its slots count.
        unknown: Requests there beyond those in `load`, as the server states.
        own_places: Further requests that this instance may place there beside
            the server's owner; None if no other instance places requests there.
    """

    server: BackendServer
    load: Load
    cached_tokens: int = 0
    slowness: float = 1.0
    token_s: float | None = None
    blocked: bool = False
    cache_known: bool = False
    server_slowness: float = 1.0
    limit: int = 0
    unknown: float = 0.0
    own_places: int | None = None


@dataclasses.dataclass(frozen=True)
class PlacementDecision:
    """The decision to send a request to a server.

    Attributes:
        server: The server.
        unread: Prompt tokens to prefill there.
        memory: Tokens of KV cache that the request needs there.
        prefill_known: Whether the cache state of most of the tokens to prefill
            is known and not assumed.
        source: Server from which it copies the missing prompt prefix, if that
            server has it.
    """

    server: BackendServer
    unread: int
    memory: int
    prefill_known: bool = False
    source: BackendServer | None = None


@dataclasses.dataclass(frozen=True)
class Wait:
    """The decision to let a request wait in the instance.

    Attributes:
        why: Which resource is lacking.
        full: Whether no server of its kind has capacity.
        retry_s: Time after which a server may accept requests again; 0 if some
            accept requests now.
    """

    why: str
    full: bool = False
    retry_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class OutputEstimate:
    """Expected output length of a model request.

    Attributes:
        output: Expected output tokens of the request.
        typical: Output tokens of a typical request of its kind.
    """

    output: int
    typical: int


def place_model(
    call: Call,
    engine: Engine,
    speeds: EngineSpeeds,
    options: Sequence[PlacementCandidate],
    estimate: OutputEstimate,
    now: float,
    other_holders: Sequence[PlacementCandidate] = (),
) -> PlacementDecision | Wait:
    """Places a model request on one of its group's servers.

    Args:
        call: The request.
        engine: Capacity of the servers.
        speeds: Typical performance of the servers.
        options: The servers.
        estimate: Expected output length of the request.
        now: Monotonic time.
        other_holders: Further servers, from which the prompt's prefix can be
            copied.
    """
    candidates = [item for item in options if not item.blocked]
    if not candidates:
        return Wait("service has no usable server")
    first_choice, *next_choices = _preference_order(call, candidates)
    prefix_holders = _likely_prefix_holders(
        [*candidates, *other_holders], [first_choice, *next_choices]
    )
    scored = [
        _score(
            call, engine, speeds, item, first_choice, prefix_holders, estimate
        )
        for item in candidates
    ]
    best = min(scored, key=_score_key)
    all_known = all(item.cache_known for item in candidates)
    if best.available and (all_known or best.placed.server.id == first_choice):
        return best.placed
    left_s = call.arrived_at + call.route.objective_s - now
    if (
        not best.available
        and best.first_s < left_s * CACHE_WAIT_SHARE
        and _waiting_saves_prefill(best, scored, candidates)
    ):
        return Wait("the server with the cached prompt prefix is full")
    with_capacity = [item for item in scored if item.available]
    if not with_capacity:
        return Wait("no capacity at the servers of its group", full=True)
    order_value_s = {}
    if not all_known:
        order_value_s = _order_value_s(call, engine, speeds, next_choices)
    return min(
        with_capacity,
        key=lambda item: (
            item.seconds - order_value_s.get(item.placed.server.id, 0.0)
        ),
    ).placed


@dataclasses.dataclass(frozen=True)
class _Scored:
    """Score of one server for one request.

    Attributes:
        placed: The placement on this server.
        available: Whether it has capacity now.
        first_s: Expected time to the first event there, including the wait for
            capacity.
        seconds: Cost of this choice in seconds; lower is better.
    """

    placed: PlacementDecision
    available: bool
    first_s: float
    seconds: float


def _waiting_saves_prefill(
    best: _Scored,
    scored: Sequence[_Scored],
    candidates: Sequence[PlacementCandidate],
) -> bool:
    """Returns whether waiting for the best server saves repeated prefill.

    Among servers of different speed a full one can be the best only because it
    is faster; requests that wait for it leave the others idle.
    """
    if all(item.server_slowness == 1.0 for item in candidates):
        return True
    return all(
        best.placed.unread < item.placed.unread
        for item in scored
        if item.available
    )


def _score(
    call: Call,
    engine: Engine,
    speeds: EngineSpeeds,
    item: PlacementCandidate,
    first_choice: str,
    prefix_holders: Sequence[PlacementCandidate],
    estimate: OutputEstimate,
) -> _Scored:
    missing = _missing_tokens(call, item, item.server.id == first_choice)
    source, copied_tokens = _copy_source(
        engine, speeds, item, prefix_holders, missing
    )
    copy_s = engine.transfer_s(copied_tokens)
    unread = max(1, call.prompt.own_tokens + missing - copied_tokens)
    memory = call.prompt.tokens + estimate.output
    available = has_capacity(engine, speeds, item, memory)
    available = available and not _too_slow(call, item, estimate.typical)
    first_s = first_event_s(speeds, item, unread)
    if not available:
        first_s += FULL_SERVER_PENALTY_S
    # Without the server's slowness: a server of twice the speed that gets twice
    # the requests ends them in half the time, so evenly loaded servers have
    # equal numbers of streams, whatever their speed.
    decode_s = estimate.output * speeds.token_s(item.load.running)
    seconds = first_s + DECODE_WEIGHT * decode_s
    seconds += RECOMPUTE_WEIGHT * speeds.prefill_s(unread - 1)
    if copied_tokens:
        seconds += RECOMPUTE_WEIGHT * copy_s
    if item.slowness >= SLOW_FACTOR * item.server_slowness:
        seconds += SLOW_SERVER_PENALTY_S
    unknown_tokens = call.prompt.shared_tokens - item.cached_tokens
    prefill_known = (
        item.cache_known or unknown_tokens <= MAX_UNKNOWN_SHARE * unread
    )
    placed = PlacementDecision(
        item.server,
        unread,
        memory,
        prefill_known,
        source.server if source else None,
    )
    return _Scored(placed, available, first_s, seconds)


def has_capacity(
    engine: Engine, speeds: EngineSpeeds, item: PlacementCandidate, memory: int
) -> bool:
    """Returns whether a server has capacity for a request now."""
    slots = max(1, int(engine.slots * SLOT_SHARE))
    if item.own_places is not None:
        if item.own_places <= 0:
            return False
        # Its own places are beyond those that the owner gives away.
        slots = engine.slots
    if item.limit:
        slots = min(slots, item.limit)
    if item.load.running >= slots:
        return False
    limit_s = KNOWN_PREFILL_LIMIT_S if item.cache_known else PREFILL_LIMIT_S
    if speeds.prefill_s(item.load.unread) * item.server_slowness > limit_s:
        return False
    if not item.load.running:
        # A request that exceeds the cache share must run somewhere, too.
        return True
    return item.load.memory + memory <= engine.cache_tokens * CACHE_SHARE


def may_have_room(
    engine: Engine, speeds: EngineSpeeds, load: Load, memory: int
) -> bool:
    """Returns whether `has_capacity` is possible with some load.

    It takes a small part of the time, and most servers fail it in overload.
    """
    if load.running >= engine.slots:
        return False
    if speeds.prefill_s(load.unread) > MAX_SPEED_UP * PREFILL_LIMIT_S:
        return False
    return (
        not load.running
        or load.memory + memory <= engine.cache_tokens * CACHE_SHARE
    )


def free_requests(engine: Engine, load: Load, memory: int) -> int:
    """Returns for how many more requests a server has slots and cache.

    Args:
        engine: Capacity of the server.
        load: Load there.
        memory: Tokens of KV cache of one request.
    """
    slots = max(1, int(engine.slots * SLOT_SHARE)) - load.running
    cache = engine.cache_tokens * CACHE_SHARE - load.memory
    return max(0, min(slots, int(cache // max(1, memory))))


def free_plain(server: BackendServer, load: Load) -> float:
    """Returns how many more requests a plain service's server gets at once."""
    return max(0.0, REQUESTS_PER_SLOT * max(1, server.slots) - load.running)


def with_prefill_at_most(
    options: Sequence[PlacementCandidate], tokens: float
) -> list[PlacementCandidate]:
    """Returns the servers with at most `tokens` pending prefill."""
    return [item for item in options if item.load.unread <= tokens]


def place_plain(
    call: Call, options: Sequence[PlacementCandidate], zone: str
) -> PlacementDecision | Wait:
    """Places a plain request on the least loaded server."""
    usable = [
        item
        for item in options
        if not item.blocked
        and item.load.running + item.unknown < _max_plain_requests(item)
    ]
    if not usable:
        return Wait("no capacity at the service's servers")

    # Ties are broken by the request's id: by the order of the servers' ids all
    # instances would send their ties to the same server. Servers win ties as
    # often as their speed says.
    ranks = rendezvous.weighted_rank(
        call.id, {item.server.id: 1 / item.server_slowness for item in usable}
    )

    def score(item: PlacementCandidate) -> tuple[float, bool, int]:
        running = item.load.running + item.unknown
        busy = (running + 1) / max(1, item.server.slots)
        weighted = busy * min(item.slowness, MAX_SLOWNESS)
        if item.server_slowness >= CLEAR_SLOWNESS:
            weighted *= item.server_slowness
        other_zone = item.server.zone != zone
        return (round(weighted, 2), other_zone, ranks.index(item.server.id))

    return PlacementDecision(min(usable, key=score).server, 0, 0)


def first_event_s(
    speeds: EngineSpeeds, item: PlacementCandidate, unread: int
) -> float:
    """Returns the expected time to the first event of a request sent now."""
    prefill_s = speeds.prefill_s(item.load.unread + unread)
    if item.server_slowness == 1.0:
        return speeds.first_event_s + prefill_s * item.slowness
    # The time per token, too, shows a slow or fast server, so the two are not
    # multiplied; it alone shows a fast server that is overloaded.
    slowness = max(item.server_slowness, item.slowness)
    return speeds.first_event_s * item.server_slowness + prefill_s * slowness


def _max_plain_requests(item: PlacementCandidate) -> float:
    """Returns how many requests a plain server is given at once."""
    slots = max(1, item.server.slots)
    # A slow server keeps its slots in use with less queued behind them.
    per_slot = max(1.0, REQUESTS_PER_SLOT / max(1.0, item.server_slowness))
    return min(slots * per_slot, item.limit or math.inf)


def _too_slow(
    call: Call, item: PlacementCandidate, typical_output: int
) -> bool:
    # Uses the typical output of the kind: a long request would find every
    # server too slow, even an idle one.
    if item.token_s is None or not item.load.running:
        return False
    limit_s = call.route.timeout_s * ANSWER_TIME_SHARE
    return typical_output * item.token_s > limit_s


def _score_key(item: _Scored) -> tuple[float, str]:
    return (item.seconds, item.placed.server.id)


def _preference_order(
    call: Call, options: Sequence[PlacementCandidate]
) -> list[str]:
    """Returns the servers in the order in which all instances prefer them."""
    shared = call.prompt.shared_parts
    key = shared[-1].id if shared else call.id
    return rendezvous.rank(key, [item.server.id for item in options])


def _order_value_s(
    call: Call,
    engine: Engine,
    speeds: EngineSpeeds,
    next_choices: Sequence[str],
) -> dict[str, float]:
    """Returns the value in seconds of following the common order, by server."""
    shared = call.prompt.shared_tokens
    fetch_s = min(speeds.prefill_s(shared), engine.transfer_s(shared))
    prefix_value_s = RECOMPUTE_WEIGHT * fetch_s
    pairs = zip(next_choices, OVERFLOW_CACHED_SHARES, strict=False)
    return {name: part * prefix_value_s for name, part in pairs}


def _likely_prefix_holders(
    options: Sequence[PlacementCandidate], ranked: Sequence[str]
) -> list[PlacementCandidate]:
    """Returns the two likeliest holders of the cached prefix, best first.

    A server to which the prefix was sent comes before the first one in the
    common order. If the source no longer has the prefix, that costs one request
    between two servers.
    """
    positions = {name: place for place, name in enumerate(ranked)}
    return sorted(
        options,
        key=lambda item: (
            -item.cached_tokens,
            positions.get(item.server.id, len(positions)),
        ),
    )[:2]


def _copy_source(
    engine: Engine,
    speeds: EngineSpeeds,
    item: PlacementCandidate,
    prefix_holders: Sequence[PlacementCandidate],
    missing: int,
) -> tuple[PlacementCandidate | None, int]:
    """Returns the source of a prefix copy, and the number of tokens to copy.

    The source is returned also where prefill is as fast: the server decides. A
    KV cache is copied only between servers of one software version.
    """
    version = item.server.software_version
    source = next(
        (
            held
            for held in prefix_holders
            if held is not item and held.server.software_version == version
        ),
        None,
    )
    if source is None:
        return None, 0
    if item.cache_known and source.cached_tokens <= item.cached_tokens:
        return None, 0
    copy_tokens = (
        source.cached_tokens - item.cached_tokens
        if item.cache_known
        else missing
    )
    if engine.transfer_s(copy_tokens) >= speeds.prefill_s(copy_tokens):
        return source, 0
    return source, copy_tokens


def _missing_tokens(
    call: Call, item: PlacementCandidate, is_first_choice: bool
) -> int:
    """Returns the shared tokens assumed missing from a server's KV cache."""
    if is_first_choice and not item.cache_known:
        return 0
    return max(0, call.prompt.shared_tokens - item.cached_tokens)
