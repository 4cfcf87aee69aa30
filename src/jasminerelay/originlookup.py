"""Tells other instances where streams began, and asks them.

A caller takes a stream up at any instance, often because the one that began it
has ended. An origin that cannot be found is not guessed.
"""

import dataclasses
import functools
import math
import os
import time
from collections.abc import Awaitable, Callable, Iterable, Sequence

import anyio

from jasminerelay.catalog import BackendServer, Call, RepeatPolicy
from jasminerelay.metrics import Counters
from jasminerelay.peermessages import in_parts
from jasminerelay.registry import Registry
from jasminerelay.scheduling.streamorigins import (
    ASKED,
    KEPT_S,
    TOLD,
    HomeRing,
    OriginRecords,
    SeenVersions,
    StreamOrigin,
    VersionHistory,
    key_of,
    only_version,
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

PROOF_TIMEOUT_S = 0.8
"""Longest wait for another instance's proof; one that reaches the store gives
it within 0.6 s."""

PROOF_REPEAT_S = 0.3
"""Time after which an instance that has not given a proof is asked again."""

OTHERS_PROVE_AFTER_S = 0.15
"""Time after which others are asked for a proof while this instance still waits
for the store, which answers within milliseconds."""

MAX_PROOFS_WAITING = 200
"""Limit on the questions that wait for the store's confirmation."""

MAX_RUN_TIME_LIMITS = 2
"""For how long a stream may have run before it is taken up, in time limits of
its route: callers send it once more at the most."""

NUMBER_BYTES = 6
"""Size of the number of the first question."""

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
        proved_by: Instance whose list the store confirmed for it, in the case
            of the only version; "" if none.
    """

    origin: StreamOrigin | None
    source: str
    answered_by: tuple[str, ...] = ()
    seen: tuple[str, ...] = ()
    proved_by: str = ""


@dataclasses.dataclass(eq=False)
class _Question:
    """A question to other instances.

    Attributes:
        homes: Instances that are asked.
        prove: Whether they are asked for a proof.
        unanswered: Ids of those that have not answered.
        views: What those that have answered know of the service's versions.
        origin: The origin, once an instance has told it.
        answered_by: Instances that have answered.
        proved_by: The first one whose list the store has confirmed; "" before
            it.
        settled: Set once it is told or proved, or all have answered.
    """

    homes: Sequence[Member]
    prove: bool = False
    unanswered: set[str] = dataclasses.field(default_factory=set)
    views: list[SeenVersions] = dataclasses.field(default_factory=list)
    origin: StreamOrigin | None = None
    answered_by: list[str] = dataclasses.field(default_factory=list)
    proved_by: str = ""
    settled: anyio.Event = dataclasses.field(default_factory=anyio.Event)

    def record(self, answer: OriginAnswer) -> None:
        """Records an answer; ignores one that was not asked for."""
        if answer.sender not in self.unanswered:
            return
        self.unanswered.discard(answer.sender)
        self.answered_by.append(answer.sender)
        self.views.append(_view_of(answer))
        if answer.known and self.origin is None:
            self.origin = StreamOrigin(answer.service, answer.version)
        if self.prove and answer.proved:
            self.proved_by = self.proved_by or answer.sender
        if self.origin is not None or self.proved_by or not self.unanswered:
            self.settled.set()


class OriginLookup:
    """The origins that this instance knows, and its questions about others.

    Attributes:
        members: Returns the live instances.
        send: Sends a message to an address, without confirmation.
        age_s: Returns the time since the list of servers was confirmed as
            complete.
        confirm: Has the store confirm the list of servers to this instance from
            now on; returns whether it did.
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
        # Answers to questions of an earlier process at this address are not
        # taken for answers to those of this one.
        self._number = int.from_bytes(os.urandom(NUMBER_BYTES))
        self._to_prove: list[OriginQuery] = []
        self._proof_wanted = anyio.Event()
        self.members: Callable[[], Sequence[Member]] = lambda: ()
        self.send: Callable[[str, OriginMessage], None] = lambda *_: None
        self.age_s: Callable[[], float] = lambda: math.inf
        self.confirm: Callable[[], Awaitable[bool]] = _never

    async def run(self) -> None:
        """Proves this instance's list to others that ask, until cancelled."""
        while True:
            await self._proof_wanted.wait()
            self._proof_wanted = anyio.Event()
            asked, self._to_prove = self._to_prove, []
            proved = await self.confirm()
            for query in asked:
                self._answer(query, proved=proved)

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
        """Notes how old the list of servers is; called ten times a second."""
        catalog = self._registry.catalog
        if self._registry.complete and catalog is not None:
            self._history.record_age(self.age_s(), now)
            self._history.record_routes(catalog.routes, now)

    def record_end(self, server: BackendServer) -> None:
        """Records that a server has ended, also one that was never listed."""
        self._history.record_end(server, time.monotonic())

    def on_list_lost(self) -> None:
        """Handles that servers may have come and gone without being seen."""
        self._history.restart()

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
        origin = self._records.find(key, time.monotonic())
        found = FoundOrigin(origin, OWN)
        if origin is None:
            found = await self._find_elsewhere(call, key)
        name = found.source.replace(" ", "_") or "unknown"
        self._counters.incr(f"origin.{name}")
        return found

    async def _find_elsewhere(self, call: Call, key: int) -> FoundOrigin:
        view = self._view(call.service)
        knows_enough = view.watched_s >= _run_time_s(call)
        timeout_s = ANSWER_TIMEOUT_S
        if key == NO_KEY and knows_enough:
            timeout_s = VERSIONS_TIMEOUT_S
        homes = self._homes(key or key_of(call.organisation, call.id), ASKED)
        question = _Question(homes)
        if key != NO_KEY or len(view.versions) <= 1:
            await self._ask(question, call.service, key, timeout_s)
        origin, source, proved_by = question.origin, HOME, ""
        if origin is None:
            origin, proved_by = await self._only_version(call, key, question)
            source = HOME if origin and not proved_by else ONLY_VERSION
        if origin is None:
            source = ""
        elif source == HOME:
            self._records.add(key, origin, time.monotonic())
        views = (*question.views, self._view(call.service))
        seen = frozenset().union(*(view.versions for view in views))
        return FoundOrigin(
            origin,
            source,
            tuple(question.answered_by),
            tuple(sorted(seen)),
            proved_by,
        )

    @functools.singledispatchmethod
    def handle_message(self, message: StreamsBegun) -> None:
        """Handles another instance's message."""
        origin = StreamOrigin(message.service, message.version)
        for key in message.keys:
            self._records.add(key, origin, time.monotonic())

    @handle_message.register
    def _(self, message: OriginQuery) -> None:
        known = self._records.find(message.key, time.monotonic()) is not None
        if message.prove and not known:
            if len(self._to_prove) < MAX_PROOFS_WAITING:
                self._to_prove.append(message)
                self._proof_wanted.set()
            return
        self._answer(message)

    @handle_message.register
    def _(self, message: OriginAnswer) -> None:
        question = self._questions.get(message.number)
        if question is not None:
            question.record(message)

    def _answer(self, query: OriginQuery, *, proved: bool = False) -> None:
        origin = self._records.find(query.key, time.monotonic())
        view = self._view(query.service)
        is_confirmed = math.isfinite(view.age_s)
        answer = OriginAnswer(
            self._own,
            query.number,
            origin is not None,
            origin.service if origin else "",
            origin.software_version if origin else "",
            sorted(view.versions),
            round(view.watched_s * MS_PER_S),
            round(view.age_s * MS_PER_S) if is_confirmed else -1,
            proved,
        )
        self.send(query.peers, answer)

    async def _ask(
        self, question: _Question, service: str, key: int, timeout_s: float
    ) -> None:
        """Asks other instances until the question is settled, or for a time."""
        if not question.homes:
            return
        question.unanswered = {home.instance for home in question.homes}
        self._number += 1
        number = self._number
        self._questions[number] = question
        query = OriginQuery(
            self._own, self._address, number, key, service, question.prove
        )
        repeat_s = PROOF_REPEAT_S if question.prove else REPEAT_S
        try:
            with anyio.move_on_after(timeout_s):
                while not question.settled.is_set():
                    for home in question.homes:
                        if home.instance in question.unanswered:
                            self._counters.incr("origin.asked")
                            self.send(home.peers, query)
                    with anyio.move_on_after(repeat_s):
                        await question.settled.wait()
        finally:
            del self._questions[number]

    async def _only_version(
        self, call: Call, key: int, asked: _Question
    ) -> tuple[StreamOrigin | None, str]:
        """Returns the origin if only one version can have begun the stream.

        What instances have seen is no proof: they may be out of step together,
        and there may be others of which none of them has heard. The store has
        to confirm the list of one of them after the request was read: a server
        that began the stream had joined before.

        Args:
            call: The request.
            key: Key of the stream.
            asked: The question that nobody could answer.

        Returns:
            The origin, and who proves it; the origin and "" if another instance
            has told it meanwhile.
        """
        # A stream of a route with several services may have begun at each.
        if len(call.route.services) > 1 or self._history.led_elsewhere(
            call.route, time.monotonic()
        ):
            return None, ""
        # Callers name an attempt where versions serve side by side. One that
        # names none goes on also where all instances have just started.
        watched_s = _run_time_s(call) if call.first_attempt else 0.0
        views = [*asked.views, self._view(call.service)]
        if only_version(views, 0.0) is None:
            return None, ""
        proof = await self._prove(call.service, key, asked)
        if proof.origin is not None:
            return proof.origin, ""
        version = None
        if proof.proved_by:
            views += [*proof.views, self._view(call.service)]
            version = only_version(views, watched_s)
        if version is None:
            self._counters.incr("origin.unproved")
            return None, ""
        return StreamOrigin(call.service, version), proof.proved_by

    async def _prove(
        self, service: str, key: int, asked: _Question
    ) -> _Question:
        """Has the store confirm the list of an instance, this one if it can.

        Returns:
            What other instances have answered to that; `proved_by` names the
            instance.
        """
        able = set(asked.answered_by) or asked.unanswered
        proof = _Question(
            [home for home in asked.homes if home.instance in able], prove=True
        )
        failed_here = anyio.Event()
        async with anyio.create_task_group() as group:

            async def prove_here() -> None:
                if await self.confirm():
                    proof.proved_by = self._own
                    group.cancel_scope.cancel()
                failed_here.set()

            group.start_soon(prove_here)
            with anyio.move_on_after(OTHERS_PROVE_AFTER_S):
                await failed_here.wait()
            await self._ask(proof, service, key, PROOF_TIMEOUT_S)
            if proof.proved_by or proof.origin is not None:
                group.cancel_scope.cancel()
        return proof

    def _view(self, service: str) -> SeenVersions:
        return self._history.seen(
            service,
            self._registry.known_servers(),
            self.age_s(),
            time.monotonic(),
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


def _run_time_s(call: Call) -> float:
    """Returns for how long a stream may have run when it is taken up."""
    return min(KEPT_S, MAX_RUN_TIME_LIMITS * call.route.timeout_s)


def _view_of(answer: OriginAnswer) -> SeenVersions:
    age_s = answer.age_ms / MS_PER_S if answer.age_ms >= 0 else math.inf
    return SeenVersions(
        frozenset(answer.versions), answer.watched_ms / MS_PER_S, age_s
    )


async def _never() -> bool:
    return False
