"""Keeps the limits that servers name, over all instances together.

One word a server tells all instances of a limit when it is first named, changes
or ends; asks and grants go between an instance and the server's home.
"""

import collections
import math
import random
import time
from collections.abc import Callable, Sequence

import anyio

from jasminerelay import rendezvous
from jasminerelay.epidemic import EpidemicBroadcast
from jasminerelay.eventlog import EventLog
from jasminerelay.exchange import Head
from jasminerelay.metrics import Counters
from jasminerelay.schema.messages import (
    LimitAsk,
    LimitGrant,
    LimitWord,
    Member,
    NamedLimit,
)
from jasminerelay.serverlimits import (
    MS,
    NO_LIMIT,
    SPAN_S,
    Allowance,
    Lender,
    Want,
)

TICK_S = 0.05
"""How often grants are asked for and lent. They come one by one, so this is
what a request waits longer than it must."""

TELL_S = 0.1
"""How often limits that are new are told."""

MOST_TOLD = 20
"""Limits in one datagram, some 60 bytes each; it must fit into a frame."""

MOST_HOMES = 4
"""Servers' homes that an instance asks in one round. With more it would get
grants at several servers for one request, and let most of them lapse."""


class LimitWatch:
    """One instance's part; owns its allowance, and tells by `send`."""

    def __init__(
        self,
        own: str,
        known: Callable[[str], bool],
        counters: Counters,
        log: EventLog,
        rng: random.Random,
    ):
        """Makes the part of an instance that knows of no limit.

        Args:
            own: This instance.
            known: Says whether a server is known here; limits of others are
                passed over.
            counters: Counts events.
            log: Takes events.
            rng: Source of random choices.
        """
        self.allowance = Allowance()
        self._own = own
        self._known = known
        self._counters = counters
        self._log = log
        self._rng = rng
        self._epidemic = EpidemicBroadcast(rng)
        self._lenders: dict[str, Lender] = {}
        self._homes: dict[str, str | None] = {}
        self._names: tuple[str, ...] = (own,)
        self._members: dict[str, Member] = {}
        self._sizes: collections.deque[tuple[float, int]] = collections.deque()
        self._there_are = anyio.Event()
        self.placer: Callable[[str], str | None] = lambda server: None
        self.send: Callable[[Member, LimitWord], None] = lambda to, word: None
        self.on_grant: Callable[[], None] = lambda: None

    def heard(self, server: str, head: Head) -> None:
        """Takes the head of a server's answer to a request of this instance."""
        if head.limit_fault:
            self._counters.incr("limit.unreadable")
            self._log.trouble(
                "limit_unreadable", server=server, found=head.limit_fault
            )
        rate = NO_LIMIT if head.limit is None else head.limit
        if rate == NO_LIMIT and head.not_run:
            # What rejects a request may be another than what names limits.
            return
        self._take(server, rate, time.monotonic(), "server")

    def hear(self, word: LimitWord) -> None:
        """Takes another instance's word."""
        now = time.monotonic()
        for item in word.limits:
            at = now - item.age_ms / MS
            self._take(item.server, item.rate, at, word.sender)
        for ask in word.asks:
            lender = self._lenders.get(ask.server)
            if lender is not None:
                lender.ask(word.sender, ask.rank, ask.count, now)
        if word.grants:
            self._take_grants(word.grants, now)

    def gone(self, server: str) -> None:
        """Forgets a server that has ended."""
        self.allowance.forget(server)
        self._lenders.pop(server, None)

    def saw_instances(
        self, live: Sequence[Member], known: int, now: float
    ) -> None:
        """Notes the instances there are.

        Args:
            live: Those that take callers.
            known: How many are known, failed ones included.
            now: Steady time.
        """
        self._sizes.append((now, max(1, known)))
        while self._sizes[0][0] < now - SPAN_S:
            self._sizes.popleft()
        self._members = {member.instance: member for member in live}
        # Not this one while it leaves: the others do not ask it any more, and
        # what it lent itself would come on top of what another home lends.
        names = tuple(sorted(self._members)) or (self._own,)
        if names != self._names:
            self._names = names
            self._homes.clear()

    async def run(self) -> None:
        """Asks, lends and tells until cancelled."""
        told = 0.0
        while True:
            if not self.allowance:
                self._there_are = anyio.Event()
                await self._there_are.wait()
            await anyio.sleep(TICK_S)
            now = time.monotonic()
            self.tick(now)
            if now - told >= TELL_S:
                told = now
                self._tell_news(now)

    def tick(self, now: float) -> None:
        """Asks for what is wanted here, and lends what may be lent."""
        self.allowance.expire(now)
        self._ask(now)
        self._lend(now)

    def _take(self, server: str, rate: float, at: float, source: str) -> None:
        # Others may not have heard yet that a server has ended. Taken from
        # them again, and told on, its limit would go round for good.
        if not self._known(server):
            return
        if not self.allowance.named(server, rate, at):
            return
        self._epidemic.add(server)
        self._there_are.set()
        self._counters.incr("limit.named" if rate >= 0 else "limit.ended")
        self._log.trouble(
            "limit",
            server=server,
            rate=rate if rate >= 0 else None,
            age_s=round(time.monotonic() - at, 3),
            source=source,
        )
        if rate == NO_LIMIT:
            self._lenders.pop(server, None)
            self.on_grant()

    def _take_grants(self, grants: Sequence[LimitGrant], now: float) -> None:
        for grant in grants:
            self._counters.incr("limit.granted")
            self.allowance.lend(
                grant.server, grant.count, trial=grant.trial, now=now
            )
        self.on_grant()

    def _home(self, server: str) -> str | None:
        if server not in self._homes:
            owner = rendezvous.owner(server, self._names)
            self._homes[server] = owner
        return self._homes[server]

    def _ask(self, now: float) -> None:
        wants = list(self.allowance.wants(now).items())
        if len(wants) > MOST_HOMES:
            wants = self._rng.sample(wants, MOST_HOMES)
        asks: dict[str, list[LimitAsk]] = {}
        for server, want in wants:
            ask = self._ask_of(server, want)
            home = self._home(server)
            if home == self._own:
                self._lender(server, now).ask(
                    self._own, ask.rank, ask.count, now
                )
            elif home in self._members:
                asks.setdefault(home, []).append(ask)
        for home, items in asks.items():
            self.send(self._members[home], LimitWord(self._own, [], items, []))

    def _ask_of(self, server: str, want: Want) -> LimitAsk:
        rate = self.allowance.limits[server]
        count = max(1, math.ceil(rate * TICK_S))
        return LimitAsk(server, want.rank, count)

    def _lend(self, now: float) -> None:
        share = self._share()
        found: dict[str, list[LimitGrant]] = {}
        for server, rate in self.allowance.limits.items():
            if self._home(server) != self._own:
                self._lenders.pop(server, None)
                continue
            lender = self._lender(server, now)
            lender.refill(rate * share, now)
            if lender.trial_due(now):
                name = self.placer(server) or self._rng.choice(self._names)
                found.setdefault(name, []).append(LimitGrant(server, 1, True))
            for name, count in lender.grants(now).items():
                found.setdefault(name, []).append(
                    LimitGrant(server, count, False)
                )
        for name, grants in found.items():
            if name == self._own:
                self._take_grants(grants, now)
            elif name in self._members:
                self.send(
                    self._members[name], LimitWord(self._own, [], [], grants)
                )

    def _lender(self, server: str, now: float) -> Lender:
        lender = self._lenders.get(server)
        if lender is None:
            lender = self._lenders[server] = Lender(now)
        return lender

    def _share(self) -> float:
        """Returns the part of a limit that the instances seen here may use."""
        live = len(self._names)
        most = max((size for _, size in self._sizes), default=live)
        return min(1.0, live / max(live, most))

    def _tell_news(self, now: float) -> None:
        others = [x for x in self._members.values() if x.instance != self._own]
        told, names = self._epidemic.next_round(others)
        words = self.allowance.words(now)
        self._tell(told, [x for x in words if x.server in names])
        member = self._epidemic.resync_target(others)
        if member is not None:
            self._tell([member], words)

    def _tell(
        self, members: Sequence[Member], words: Sequence[NamedLimit]
    ) -> None:
        for start in range(0, len(words), MOST_TOLD):
            part = list(words[start : start + MOST_TOLD])
            for member in members:
                self.send(member, LimitWord(self._own, part, [], []))
