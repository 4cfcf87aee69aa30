"""Tells other instances where streams began, and asks them.

A caller takes a stream up at any instance, often because the one that began it
has ended. An origin that cannot be found is not guessed.
"""

import dataclasses
import functools
import time
from collections.abc import Awaitable, Callable, Iterable, Sequence

import anyio

from jasminerelay.catalog import BackendServer, Call, RepeatPolicy
from jasminerelay.metrics import Counters
from jasminerelay.peermessages import in_parts
from jasminerelay.registry import Registry
from jasminerelay.scheduling.streamorigins import (
    ASKED,
    MIN_WATCHED_S,
    TOLD,
    HomeRing,
    OriginRecords,
    SeenVersions,
    StreamOrigin,
    VersionHistory,
    key_of,
)
from jasminerelay.schema.messages import (
    Member,
    OriginAnswer,
    OriginQuery,
    StreamsBegun,
)

REPEAT_S = 0.1
"""Time after which an instance that has not answered is asked again."""

ANSWER_TIMEOUT_S = 0.3
"""Longest wait for the other instances' answers."""

VERSIONS_TIMEOUT_S = 0.05
"""Longest wait for their answers where the caller names no attempt, so that
only the versions are asked for."""

NO_KEY = 0
"""Key of a question for the versions alone."""

MAX_KEYS = 100
"""Keys in one datagram of an instance that stops; keeps it smaller than one
Ethernet frame."""

OWN = "own"
HOME = "home"
ONLY_VERSION = "only version"
"""Sources of an origin."""

MS_PER_S = 1e3

OriginMessage = StreamsBegun | OriginQuery | OriginAnswer


@dataclasses.dataclass(frozen=True)
class FoundOrigin:
    """Result of a search for an origin.

    Attributes:
        origin: The origin; None if it is unknown.
        source: Who knew it; "" if it is unknown.
        answered_by: Instances that answered, if others were asked.
        seen: Versions of the service that they and this one have seen.
    """

    origin: StreamOrigin | None
    source: str
    answered_by: tuple[str, ...] = ()
    seen: tuple[str, ...] = ()


@dataclasses.dataclass(eq=False)
class _Question:
    """A question to other instances.

    Attributes:
        unanswered: Instances that have not answered.
        seen: What this instance and those that have answered know of the
            service's versions.
        origin: The origin, once an instance has told it.
        answered_by: Instances that have answered.
        settled: Set once it is told, or all have answered.
    """

    unanswered: set[str]
    seen: SeenVersions
    origin: StreamOrigin | None = None
    answered_by: list[str] = dataclasses.field(default_factory=list)
    settled: anyio.Event = dataclasses.field(default_factory=anyio.Event)


class OriginLookup:
    """The origins that this instance knows, and its questions about others.

    Attributes:
        members: Returns the live instances.
        send: Sends a message to an address, without confirmation.
        confirm: Has the list of servers confirmed as complete at this moment;
            returns whether it was.
    """

    def __init__(
        self, own: str, address: str, registry: Registry, counters: Counters
    ):
        """Creates the lookup of an instance that knows no origin.

        Args:
            own: Id of this instance.
            address: Its address for datagrams.
            registry: Servers in use.
            counters: Counts events.
        """
        self._own = own
        self._address = address
        self._registry = registry
        self._counters = counters
        self._records = OriginRecords()
        self._history = VersionHistory()
        self._ring = HomeRing(())
        self._ring_members: Sequence[Member] = ()
        self._questions: dict[int, _Question] = {}
        self._number = 0
        self.members: Callable[[], Sequence[Member]] = lambda: ()
        self.send: Callable[[str, OriginMessage], None] = lambda *_: None
        self.confirm: Callable[[], Awaitable[bool]] = _never

    def record_first_event(self, call: Call, server: BackendServer) -> None:
        """Records where a stream began, before its caller gets an event."""
        if (
            call.route.repeat_policy is not RepeatPolicy.RESUMABLE
            or not call.id
        ):
            return
        origin = StreamOrigin(server.service, server.software_version)
        key = key_of(call.organisation, call.id)
        self._records.add(key, origin, time.monotonic())
        self._tell(self._homes(key, TOLD), origin, [key])

    def tick(self, now: float) -> None:
        """Notes that the list of servers is complete, once it is."""
        catalog = self._registry.catalog
        if self._registry.complete and catalog is not None:
            self._history.start(now)
            self._history.record_routes(catalog.routes, now)

    def record_end(self, server: BackendServer) -> None:
        """Records that a server has ended."""
        self._history.record_end(server, time.monotonic())

    def on_store_restored(self) -> None:
        """Handles that the store may have lost rows of servers."""
        self._history.restart(time.monotonic())

    def hand_over(self) -> None:
        """Tells the other homes what this instance knows, before it stops."""
        keys: dict[tuple[str, StreamOrigin], list[int]] = {}
        homes: dict[str, Member] = {}
        for key, origin in self._records.all(time.monotonic()):
            for home in self._homes(key, TOLD):
                homes[home.instance] = home
                keys.setdefault((home.instance, origin), []).append(key)
        for (name, origin), found in keys.items():
            for part in in_parts(found, MAX_KEYS):
                self._tell([homes[name]], origin, part)

    async def find(self, call: Call) -> FoundOrigin:
        """Returns the origin of the stream that a request continues."""
        key = NO_KEY
        if call.first_attempt:
            key = key_of(call.organisation, call.first_attempt)
        origin, source = self._records.find(key, time.monotonic()), OWN
        answered_by: tuple[str, ...] = ()
        seen: tuple[str, ...] = ()
        if origin is None:
            question = await self._ask(call, key)
            origin, source = question.origin, HOME
            if origin is not None:
                self._records.add(key, origin, time.monotonic())
            else:
                origin = await self._only_version(call, question)
                source = ONLY_VERSION
            answered_by = tuple(question.answered_by)
            seen = tuple(sorted(question.seen.versions))
        if origin is None:
            source = ""
        self._counters.incr(f"origin.{source.replace(' ', '_') or 'unknown'}")
        return FoundOrigin(origin, source, answered_by, seen)

    @functools.singledispatchmethod
    def handle_message(self, message: StreamsBegun) -> None:
        """Handles another instance's message."""
        origin = StreamOrigin(message.service, message.version)
        for key in message.keys:
            self._records.add(key, origin, time.monotonic())

    @handle_message.register
    def _(self, message: OriginQuery) -> None:
        origin = self._records.find(message.key, time.monotonic())
        seen = self._seen(message.service)
        answer = OriginAnswer(
            self._own,
            message.number,
            origin is not None,
            origin.service if origin else "",
            origin.software_version if origin else "",
            sorted(seen.versions),
            round(seen.watched_s * MS_PER_S),
        )
        self.send(message.peers, answer)

    @handle_message.register
    def _(self, message: OriginAnswer) -> None:
        question = self._questions.get(message.number)
        if question is None or message.sender not in question.unanswered:
            return
        question.unanswered.discard(message.sender)
        question.answered_by.append(message.sender)
        seen = SeenVersions(
            frozenset(message.versions), message.watched_ms / MS_PER_S
        )
        question.seen = question.seen.merged(seen)
        if message.known and question.origin is None:
            question.origin = StreamOrigin(message.service, message.version)
        if question.origin is not None or not question.unanswered:
            question.settled.set()

    async def _ask(self, call: Call, key: int) -> _Question:
        """Asks other instances; returns the question with their answers."""
        homes = self._homes(key or key_of(call.organisation, call.id), ASKED)
        question = _Question(
            {home.instance for home in homes}, self._seen(call.service)
        )
        if not homes or (key == NO_KEY and len(question.seen.versions) > 1):
            return question
        self._number += 1
        number = self._number
        self._questions[number] = question
        query = OriginQuery(self._own, self._address, number, key, call.service)
        timeout_s = VERSIONS_TIMEOUT_S if key == NO_KEY else ANSWER_TIMEOUT_S
        try:
            with anyio.move_on_after(timeout_s):
                while not question.settled.is_set():
                    for home in homes:
                        if home.instance in question.unanswered:
                            self._counters.incr("origin.asked")
                            self.send(home.peers, query)
                    with anyio.move_on_after(REPEAT_S):
                        await question.settled.wait()
        finally:
            del self._questions[number]
        return question

    async def _only_version(
        self, call: Call, question: _Question
    ) -> StreamOrigin | None:
        """Returns the origin if only one version can have begun the stream.

        Alone, an instance has the store confirm its list of servers: it may
        not know of a server at which the stream began just before.
        """
        # Callers name an attempt where versions serve side by side. One that
        # names none goes on also where all instances have just started.
        watched_s = MIN_WATCHED_S if call.first_attempt else 0.0
        # A stream of a route with several services may have begun at each.
        if (
            len(call.route.services) > 1
            or self._history.led_elsewhere(call.route, time.monotonic())
            or question.seen.only(watched_s) is None
            or not (question.answered_by or await self.confirm())
        ):
            return None
        seen = question.seen.merged(self._seen(call.service))
        version = seen.only(watched_s)
        return None if version is None else StreamOrigin(call.service, version)

    def _seen(self, service: str) -> SeenVersions:
        return self._history.seen(
            service, self._registry.servers(), time.monotonic()
        )

    def _homes(self, key: int, count: int) -> list[Member]:
        members = self.members()
        if members is not self._ring_members:
            self._ring = HomeRing(
                member for member in members if member.instance != self._own
            )
            self._ring_members = members
        return self._ring.homes(key, count)

    def _tell(
        self, homes: Iterable[Member], origin: StreamOrigin, keys: list[int]
    ) -> None:
        message = StreamsBegun(origin.service, origin.software_version, keys)
        for home in homes:
            self._counters.incr("origin.told")
            self.send(home.peers, message)


async def _never() -> bool:
    return False
