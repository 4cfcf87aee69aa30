"""Duties that one instance at a time does for all: usage and servers.

Each instance tells a few others, the same ones for all, what servers have
begun for it and what its callers bring. These few are found by hashing over
the live instances. One of them holds the lease and does the duties; the others
hear from it, and the first of them takes over once it is silent.
"""

import time
from collections.abc import Callable, Sequence

import anyio

from jasminerelay import peerwords, rendezvous
from jasminerelay.dispatcher import Dispatcher
from jasminerelay.dutydesk import DutyDesk
from jasminerelay.errors import StoreError
from jasminerelay.eventlog import EventLog
from jasminerelay.freshness import now_s
from jasminerelay.groups import DemandView
from jasminerelay.leasing import LeaseKeeper
from jasminerelay.metrics import Counters
from jasminerelay.registry import Registry, Touch
from jasminerelay.schema.messages import (
    DutyWord,
    KindDemand,
    Member,
    UsageWindow,
)
from jasminerelay.serverorders import ServerOrders
from jasminerelay.trueclock import SKEW_S, TrueClock, middle_skew_s
from jasminerelay.usage import OwnUsage, UsageLedger
from jasminerelay.usagereports import UsageReports

MS = 1e3

HOMES = 3
"""Instances that are told everything. Two of them may end at once."""

TICK_S = 0.25
TELL_EVERY_S = 1.0
"""How often an instance tells the homes. What it counted since goes with it if
it is killed."""

ANEW_S = 3.2
"""How long a new home is told all that is kept."""

SILENCE_S = 1.0
"""Silence of the holder after which the first home looks at the lease."""

STEP_S = 0.5
"""How much longer each next home waits."""

TAKE_EVERY_S = 0.6
"""Pause between two looks at a lease that another still holds."""

WORD_LIFE_S = 3.0
"""How long an instance's word counts."""

SIGHT_SHARE = 0.8
"""Part of the live instances whose words it takes to order servers."""

CORRECT_EVERY_S = 3.0
"""Pause between two corrections of a clock: the first one must show."""

YOUNG_S = 15.0
"""Age up to which an instance's start is that of the whole system, if it is the
first: counts are kept for longer."""

REST_S = 6.0
"""How long one that could not reach the platform leaves the duty to others."""


class Duties:
    """One instance's part in the duties.

    Attributes:
        reports: Reports usage; None if nobody wants that.
        orders: Orders servers; None if nobody wants that.
        send: Sends a word to another instance.
        first_start: Whether nothing of the whole system ran before.
    """

    def __init__(
        self,
        own: Member,
        keeper: LeaseKeeper,
        desk: DutyDesk,
        usage: OwnUsage,
        ledger: UsageLedger,
        clock: TrueClock,
        dispatcher: Dispatcher,
        registry: Registry,
        counters: Counters,
        log: EventLog,
    ):
        """Makes the part of an instance that knows no other yet.

        Args:
            own: This instance.
            keeper: Keeps the lease.
            desk: Calls the platform under it.
            usage: What servers have begun for this instance's requests.
            ledger: What all instances have counted.
            clock: The true time.
            dispatcher: Knows what this instance's callers bring.
            registry: Configuration and servers.
            counters: Counts events.
            log: Takes events.
        """
        self._own = own
        self._keeper = keeper
        self._desk = desk
        self.reports: UsageReports | None = None
        self.orders: ServerOrders | None = None
        self._usage = usage
        self._ledger = ledger
        self._clock = clock
        self._dispatcher = dispatcher
        self._registry = registry
        self._counters = counters
        self._log = log
        self._demand = DemandView()
        self._heard: dict[str, float] = {}
        self._skews: dict[str, float] = {}
        self._homes: list[Member] = []
        self._members: dict[str, Member] = {}

        self._home_since: dict[str, float] = {}
        self._holder_at = now_s()
        self._tried_at = float("-inf")
        self._corrected_at = float("-inf")
        self._born = now_s()
        self.first_start = False
        self._rests_until = float("-inf")
        self._stopping = False
        self.send: Callable[[Member, DutyWord], None] = lambda to, word: None
        keeper.on_taken = self._taken

    @property
    def holds(self) -> bool:
        """Whether this instance does the duties now."""
        return self._keeper.holds

    def true_s(self) -> float:
        """Returns the true time, in seconds since 1970."""
        return self._clock.at(now_s())

    def began(self, organisation: str, ago_s: float) -> None:
        """Notes that a server has begun a request.

        Args:
            organisation: Whose it is; "" counts for nobody.
            ago_s: How long ago it began.
        """
        if organisation:
            true_s = self.true_s() - ago_s
            self._usage.began(organisation, true_s, time.monotonic())

    def saw_instances(self, live: Sequence[Member]) -> None:
        """Notes the instances that take callers."""
        members = {member.instance: member for member in live}
        if members.keys() == self._members.keys():
            return
        self._members = members
        # Also one that has lost the store: it cannot do the duties, but it
        # goes on listening, and knows all once it has the store again.
        names = rendezvous.rank("duties", members)[:HOMES]
        if names == [home.instance for home in self._homes]:
            return
        was_home = self._position is not None
        self._homes = [members[name] for name in names]
        now = now_s()
        self._home_since = {
            name: self._home_since.get(name, now) for name in names
        }
        if self._position is None:
            self._ledger.closes()
        elif not was_home:
            # As all start for the first time, all that was counted is told to
            # whoever becomes a home.
            first = self.first_start and now - self._born < YOUNG_S
            window = self._usage.window_at(self.true_s()) + 1
            self._ledger.opens(0 if first else window)

    def hear(self, word: DutyWord) -> None:
        """Takes another instance's word."""
        now = now_s()
        if word.skew_ms and now - self._corrected_at > CORRECT_EVERY_S:
            self._corrected_at = now
            self._clock.correct(word.skew_ms / MS)
            self._log.trouble("clock_corrected", ahead_ms=word.skew_ms)
        if word.holds and word.sender != self._own.instance:
            self._holder_at = now
        self._heard[word.sender] = now
        self._skews[word.sender] = word.clock_ms / MS - self.true_s()
        self._ledger.hear(word.sender, word.usage)
        demand = peerwords.demand_rows(word.demand)
        if demand:
            # The holder's words that only say that it is there have none.
            self._demand.hear(word.sender, demand, time.monotonic())

    def work(self, service: str) -> float | None:
        """Returns how many servers a service's requests fill.

        None if too few instances have been heard of late to say.
        """
        if len(self._heard) < SIGHT_SHARE * max(1, len(self._members)):
            return None
        if self._registry.standing.touch is Touch.LOST:
            return None
        demand = self._demand.total(service, time.monotonic())
        return sum(item.work for item in demand)

    def stop(self) -> None:
        """Notes that this instance is about to end."""
        self._stopping = True

    async def run(self) -> None:
        """Does this instance's part until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._talk)
            await self._work()

    async def _talk(self) -> None:
        told_at = float("-inf")
        while True:
            await anyio.sleep(TICK_S)
            now = now_s()
            self._tidy(now)
            all_due = now - told_at >= TELL_EVERY_S
            if all_due:
                told_at = now
                self._check_clocks()
            if all_due or self.holds:
                self._tell(now, all_due)

    def _tidy(self, now: float) -> None:
        self._clock.look(now, time.time())
        self._ledger.expire(self._usage.window_at(self.true_s()))
        for name, at in list(self._heard.items()):
            if now - at > WORD_LIFE_S:
                del self._heard[name]
                self._skews.pop(name, None)

    def _tell(self, now: float, all_due: bool) -> None:
        """Tells the homes; the holder says more often that it is there."""
        demand = self._dispatcher.own_demand() if all_due else []
        steady = time.monotonic()
        for home in self._homes:
            anew = now - self._home_since[home.instance] < ANEW_S
            usage = self._usage.told(steady, anew=anew) if all_due else []
            word = self._word(usage, demand)
            if home.instance == self._own.instance:
                if all_due:
                    self.hear(word)
            else:
                self.send(home, word)

    def _word(
        self,
        usage: Sequence[UsageWindow] = (),
        demand: Sequence[KindDemand] = (),
        skew_s: float = 0.0,
    ) -> DutyWord:
        return DutyWord(
            self._own.instance,
            self.holds,
            round(self.true_s() * MS),
            list(usage),
            peerwords.demand_columns(demand),
            round(skew_s * MS),
        )

    def _check_clocks(self) -> None:
        if self._position is None:
            return
        middle = middle_skew_s(self._skews.values())
        if middle and now_s() - self._corrected_at > CORRECT_EVERY_S:
            self._corrected_at = now_s()
            self._clock.correct(-middle)
            self._log.trouble("clock_corrected", ahead_ms=-round(middle * MS))
            self._skews.clear()
        elif self.holds:
            for name, skew in list(self._skews.items()):
                if abs(skew) > SKEW_S and name in self._members:
                    self.send(self._members[name], self._word(skew_s=skew))
                    del self._skews[name]

    @property
    def _position(self) -> int | None:
        """This instance's place among the homes; None if it is none."""
        for place, home in enumerate(self._homes):
            if home.instance == self._own.instance:
                return place
        return None

    async def _work(self) -> None:
        while True:
            await anyio.sleep(TICK_S)
            try:
                await self._do()
            except StoreError as exc:
                self._counters.incr("duty.store_failed")
                self._log.info("duty_store_failed", why=exc.message)

    async def _do(self) -> None:
        now = now_s()
        if self.holds:
            if self._desk.unheard:
                self._rests_until = now + REST_S
            if self._position is None or self._stopping or self._rests(now):
                self._log.trouble("duty_given_up", fence=self._desk.fence)
                await self._keeper.give_up()
                return
            await self._keeper.keep()
            if self.reports is not None:
                await self.reports.serve()
            if self.orders is not None:
                await self.orders.serve()
        elif self._may_try(now):
            self._tried_at = now
            await self._keeper.try_take()

    def _may_try(self, now: float) -> bool:
        place = self._position
        if place is None or self._stopping or self._rests(now):
            return False
        silence_s = SILENCE_S + STEP_S * place
        if now - self._holder_at < silence_s:
            return False
        return now - self._tried_at >= TAKE_EVERY_S

    def _rests(self, now: float) -> bool:
        return now < self._rests_until and len(self._homes) > 1

    def _taken(self) -> None:
        self._counters.incr("duty.taken")
        self._log.trouble("duty_taken", fence=self._desk.fence)
        self._desk.taken()
        for part in (self.reports, self.orders):
            if part is not None:
                part.taken()
