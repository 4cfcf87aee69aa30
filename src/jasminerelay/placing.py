"""Where a request goes now, whether it waits, or whether it is refused.

Pure. A request goes to the server of its group where its first event comes
soonest, given what is under way there, with two corrections: parts of its
prompt that a server has read need no reading, and a server never takes more
at once than it can end in time. What finds no room waits in the instance,
where a server's crash does not touch it and a more urgent one passes it.
"""

import dataclasses
from collections.abc import Sequence

from jasminerelay import rendezvous
from jasminerelay.catalog import BackendServer, Call, Engine
from jasminerelay.enginemodel import MEMORY_SHARE, RUN_SHARE, Speeds
from jasminerelay.workload import Load

UNREAD_LIMIT_S = 0.45
"""Reading that may lie ahead at a server before others wait in the instance.
It covers the age of the other instances' words; more only takes the choice
of order away from the instances."""

KNOWN_UNREAD_S = 0.1
"""The same where all that is sent to the server is known at once. It covers the
way to the server and back, so that no engine stands idle; what waits longer can
still be ordered and passed on."""

SERVICE_SHARE = 2.0
"""Requests per slot that a plain service's server gets: one running, one
queued behind it while its answer travels."""

REREAD_WEIGHT = 12.0
"""What reading a shared token again is taken to cost, as a multiple of the time
that it takes: it takes the engine from everyone who waits there, so a request
moves away from a warm server only for a delay worth more."""

OVERFLOW_SHARES = (1.0, 0.7, 0.45, 0.25)
"""Part of a prompt's shared start that is taken to be read already at the
servers that all instances pick next when the first one is full. Without an
order for what overflows, each instance picks another server, and each of
those read the start anew; with a weak one much of the overflow still does."""

SURE_SHARE = 0.25
"""Part of the tokens to read of which it may be unknown whether they are read
already, for the time to the first event to be a measure of the engine."""

MAX_SLOWNESS = 4.0
"""Bound on what a measured slowness counts; one stalled answer is no proof
that a server is useless."""

SLOW_SERVER_S = 0.5
"""Delay that a request takes to stay away from a server that is much slower
than its peers."""

FULL_WAIT_S = 0.15
"""Wait that a server without room is taken to cost: about the time in which
one of its requests ends or has its prompt read."""

PATIENCE_SHARE = 0.6
"""Part of the time left to a request's objective that it may wait for the
server that has the start of its prompt, while others have room. Reading the
start again takes more of the engines than the wait takes from the caller."""

TAIL_WEIGHT = 0.25
"""Weight of the time after the first event: the objective is for the first
event, but a loaded engine makes all its streams slower."""

SLOW_FACTOR = 2.0
"""Pace relative to its peers from which on a server counts as slow."""

ANSWER_SHARE = 0.75
"""Part of its time limit that a usual answer may take at a server. Each request
that joins an engine slows all others there; without the bound, engines under a
burst of long prompts end many answers at their time limit, nearly made."""


@dataclasses.dataclass(frozen=True)
class Option:
    """A backend server with what is known of it now.

    Attributes:
        server: The server.
        load: What all instances have under way there.
        warm: Leading shared tokens of the prompt that it has read.
        slowness: Its pace relative to its peers'; 1 is usual.
        token_s: Seconds per token that its streams take now; None if unknown.
        blocked: Whether it rests after a failure.
        known: Whether `warm` is all that it has read; else it may have read
            more for other instances, and its place in the prompt's order of
            servers tells how likely that is.
    """

    server: BackendServer
    load: Load
    warm: int = 0
    slowness: float = 1.0
    token_s: float | None = None
    blocked: bool = False
    known: bool = False


@dataclasses.dataclass(frozen=True)
class Placed:
    """Go to a server.

    Attributes:
        server: The server.
        unread: Prompt tokens that it has to read.
        memory: Tokens of memory that the request takes there.
        sure: Whether most of `unread` is known and not assumed.
        source: Server from which it copies the start of the prompt that it
            lacks, if that server has it.
    """

    server: BackendServer
    unread: int
    memory: int
    sure: bool = False
    source: BackendServer | None = None


@dataclasses.dataclass(frozen=True)
class Wait:
    """Wait in the instance.

    Attributes:
        why: What there is none of.
        full: Whether no server of its kind has room.
    """

    why: str
    full: bool = False


@dataclasses.dataclass(frozen=True)
class Guess:
    """What is expected of a model request.

    Attributes:
        output: Tokens out.
        typical: Tokens out of a usual request of its kind.
    """

    output: int
    typical: int


def place_model(
    call: Call,
    engine: Engine,
    speeds: Speeds,
    options: Sequence[Option],
    guess: Guess,
    now: float,
) -> Placed | Wait:
    """Places a model request on one of its group's servers.

    Args:
        call: The request.
        engine: What the servers can hold.
        speeds: What the servers usually do in a given time.
        options: The servers.
        guess: What is expected of the request.
        now: Steady time.
    """
    open_options = [item for item in options if not item.blocked]
    if not open_options:
        return Wait("no server in use")
    home, *following = _homes(call, open_options)
    holders = _holders(open_options, [home, *following])
    scored = [
        _score(call, engine, speeds, item, home, holders, guess)
        for item in open_options
    ]
    best = min(scored, key=_seconds)
    known = all(item.known for item in open_options)
    if best.room and (known or best.placed.server.id == home):
        return best.placed
    left_s = call.arrived + call.route.objective_s - now
    if not best.room and best.first_s < left_s * PATIENCE_SHARE:
        return Wait("the server that has its prompt's start is full")
    roomy = [item for item in scored if item.room]
    if not roomy:
        return Wait("no room at the servers of its group", full=True)
    worth_s = {}
    if not known:
        worth_s = _overflow_worth_s(call, engine, speeds, following)
    return min(
        roomy,
        key=lambda item: item.seconds - worth_s.get(item.placed.server.id, 0.0),
    ).placed


@dataclasses.dataclass(frozen=True)
class _Scored:
    """One server for one request.

    Attributes:
        placed: The server, with what the request takes there.
        room: Whether it has room now.
        first_s: Time to the first event there, waiting for room included.
        seconds: What going there costs, in seconds; less is better.
    """

    placed: Placed
    room: bool
    first_s: float
    seconds: float


def _score(
    call: Call,
    engine: Engine,
    speeds: Speeds,
    item: Option,
    home: str,
    holders: Sequence[Option],
    guess: Guess,
) -> _Scored:
    lacked = _lacked(call, item, item.server.id == home)
    source, copied = _copy(engine, speeds, item, holders, lacked)
    copy_s = engine.transfer_s(copied)
    unread = max(1, call.prompt.own_tokens + lacked - copied)
    memory = call.prompt.tokens + guess.output
    room = has_room(engine, speeds, item, memory)
    room = room and not _too_slow(call, item, guess.typical)
    first_s = first_event_s(speeds, item, unread)
    if not room:
        first_s += FULL_WAIT_S
    tail_s = guess.output * speeds.token_s(item.load.running)
    seconds = first_s + TAIL_WEIGHT * tail_s
    seconds += REREAD_WEIGHT * speeds.reading_s(unread - 1)
    if copied:
        seconds += REREAD_WEIGHT * copy_s
    if item.slowness >= SLOW_FACTOR:
        seconds += SLOW_SERVER_S
    unsure = call.prompt.shared_tokens - item.warm
    sure = item.known or unsure <= SURE_SHARE * unread
    placed = Placed(
        item.server, unread, memory, sure, source.server if source else None
    )
    return _Scored(placed, room, first_s, seconds)


def has_room(engine: Engine, speeds: Speeds, item: Option, memory: int) -> bool:
    """Returns whether a server can run a request of some memory now."""
    slots = max(1, int(engine.slots * RUN_SHARE))
    if item.load.running >= slots:
        return False
    limit_s = KNOWN_UNREAD_S if item.known else UNREAD_LIMIT_S
    if speeds.reading_s(item.load.unread) > limit_s:
        return False
    if not item.load.running:
        # Even one that is larger than the share must run somewhere.
        return True
    return item.load.memory + memory <= engine.cache_tokens * MEMORY_SHARE


def calm(options: Sequence[Option], tokens: float) -> list[Option]:
    """Returns the servers that have no more than some tokens to read."""
    return [item for item in options if item.load.unread <= tokens]


def place_plain(
    call: Call, options: Sequence[Option], zone: str
) -> Placed | Wait:
    """Places a plain request on the server with most room."""
    usable = [
        item
        for item in options
        if not item.blocked
        and item.load.running < SERVICE_SHARE * max(1, item.server.slots)
    ]
    if not usable:
        return Wait("no room at the service's servers")

    # Ties are broken by the request's id: by the servers' own order all
    # instances would send their ties to the same one.
    ranks = rendezvous.rank(call.id, [item.server.id for item in usable])

    def score(item: Option) -> tuple[float, bool, int]:
        busy = (item.load.running + 1) / max(1, item.server.slots)
        slow = busy * min(item.slowness, MAX_SLOWNESS)
        away = item.server.zone != zone
        return (round(slow, 2), away, ranks.index(item.server.id))

    return Placed(min(usable, key=score).server, 0, 0)


def first_event_s(speeds: Speeds, item: Option, unread: int) -> float:
    """Returns the time to the first event of a request sent now."""
    reading_s = speeds.reading_s(item.load.unread + unread)
    return speeds.first_event_s + reading_s * item.slowness


def _too_slow(call: Call, item: Option, typical_output: int) -> bool:
    # By the usual answer of the kind, not by this one: a long one would find
    # every server too slow, however idle.
    if item.token_s is None or not item.load.running:
        return False
    limit_s = call.route.timeout_s * ANSWER_SHARE
    return typical_output * item.token_s > limit_s


def _seconds(item: _Scored) -> tuple[float, str]:
    return (item.seconds, item.placed.server.id)


def _homes(call: Call, options: Sequence[Option]) -> list[str]:
    """Returns the order in which all instances pick servers for a start."""
    shared = call.prompt.shared
    key = shared[-1].id if shared else call.id
    return rendezvous.rank(key, [item.server.id for item in options])


def _overflow_worth_s(
    call: Call, engine: Engine, speeds: Speeds, following: Sequence[str]
) -> dict[str, float]:
    """Returns what the order of overflow is worth, by server."""
    shared = call.prompt.shared_tokens
    lacking_s = min(speeds.reading_s(shared), engine.transfer_s(shared))
    shared_s = REREAD_WEIGHT * lacking_s
    pairs = zip(following, OVERFLOW_SHARES, strict=False)
    return {name: part * shared_s for name, part in pairs}


def _holders(options: Sequence[Option], ranked: Sequence[str]) -> list[Option]:
    """Returns the two likeliest to have the start, the first one first.

    Who was seen to read it goes before who is picked first for it. One that
    has not got it after all costs a question between two servers.
    """
    places = {name: place for place, name in enumerate(ranked)}
    return sorted(
        options, key=lambda item: (-item.warm, places[item.server.id])
    )[:2]


def _copy(
    engine: Engine,
    speeds: Speeds,
    item: Option,
    holders: Sequence[Option],
    lacked: int,
) -> tuple[Option | None, int]:
    """Returns whence a server copies the start of a prompt, and how much.

    The source is named also where reading is as quick: the server chooses.
    """
    source = next((held for held in holders if held is not item), None)
    if source is None:
        return None, 0
    if item.known and source.warm <= item.warm:
        return None, 0
    gained = source.warm - item.warm if item.known else lacked
    if engine.transfer_s(gained) >= speeds.reading_s(gained):
        return source, 0
    return source, gained


def _lacked(call: Call, item: Option, at_home: bool) -> int:
    """Returns the shared tokens that a server is taken to lack."""
    if at_home and not item.known:
        return 0
    return max(0, call.prompt.shared_tokens - item.warm)
