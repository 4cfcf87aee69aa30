"""Keeps requests under which servers end away from servers, at all instances.

An instance that loses a run with its connection looks whether the server still
takes connections. If it refuses them it has ended, and the request was there.
First ends are told to two instances, homes by rendezvous hashing of the
request; where a second one comes together all are told, each by each with a few
others, so that the cost grows with the instances and not with their square.
What is blocked stands in the store, too, for a start of all at once.
"""

import contextlib
import dataclasses
import random
import time
from collections.abc import Awaitable, Callable, Iterator, Sequence

import anyio

from jasminerelay import fingerprint, rendezvous
from jasminerelay.catalog import BackendServer, Call
from jasminerelay.crashes import CrashLedger
from jasminerelay.epidemic import Epidemic
from jasminerelay.errors import StoreError
from jasminerelay.eventlog import EventLog
from jasminerelay.metrics import Counters
from jasminerelay.registry import Registry
from jasminerelay.schema.messages import CrashWord, Member, ServerEnds

TICK_S = 0.1
"""How often the others are told what is new."""

PROBE_S = 1.0
"""How long a server may take to accept or refuse a connection. One that does
neither is cut off or silent, which says nothing of its requests."""

PROBE_PAUSES_S = (0.0, 0.05, 0.25)
"""Times between a lost run and the looks at its server. One that ends may go on
accepting connections for a moment after it has dropped those that it had."""

PROBE_WAIT_S = 0.1
"""Longest time that a lost request waits for that before it is repeated."""

ENDED_LIFE_S = 5.0
"""How long a server that refused a connection counts as ended for the runs
that were lost with it; their ends show within milliseconds."""

HOMES = 2
"""Instances that collect the ends of a request. One may go at any time."""

HOME_TELLS_S = (0.0, 0.1, 0.4, 2.0, 10.0, 60.0)
"""Ages of an end at which the homes are told of it: datagrams get lost, and
homes change while their instances are replaced."""

MOST_TOLD = 12
"""Requests in one datagram, some 100 bytes each; it must fit into a frame."""

READ_EVERY_S = 30.0
RETRY_S = 1.0
"""How often the blocked requests are read from the store where this instance
does so for all, and how soon again without an answer."""

Save = Callable[[ServerEnds], Awaitable[None]]
Read = Callable[[], Awaitable[list[ServerEnds]]]


@dataclasses.dataclass(eq=False)
class _Probe:
    """Whether one server has ended.

    Attributes:
        looked: Is set after the first look.
        over: Whether it was the last look.
        ended_at: Steady time at which it was found ended; None if not.
        lost: Fingerprints of the requests that lost a run there meanwhile.
    """

    looked: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    over: bool = False
    ended_at: float | None = None
    lost: dict[str, None] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass
class _FirstEnd:
    """A request's only end so far, which only this instance knows.

    Attributes:
        at: Steady time of it.
        tells: How often the homes were told.
    """

    at: float
    tells: int = 0


class CrashWatch:
    """One instance's part; owns the ledger, and tells by `send`."""

    def __init__(
        self,
        own: str,
        registry: Registry,
        counters: Counters,
        log: EventLog,
        rng: random.Random,
        refuses: Callable[[str], Awaitable[bool]] | None = None,
    ):
        """Makes the part of an instance that knows nothing yet.

        Args:
            own: This instance.
            registry: Servers in use.
            counters: Counts events.
            log: Takes events.
            rng: Source of random choices.
            refuses: Says whether nothing listens at an address; None for
                `refuses_connections`.
        """
        self.ledger = CrashLedger()
        self._own = own
        self._registry = registry
        self._counters = counters
        self._log = log
        self._rng = rng
        self._probes: dict[str, _Probe] = {}
        self._first: dict[str, _FirstEnd] = {}
        self._epidemic = Epidemic(rng)
        self._unsaved: set[str] = set()
        self._save_due = anyio.Event()
        self._work = anyio.Event()
        self._waiting: dict[anyio.CancelScope, Call] = {}
        self._refuses = refuses or refuses_connections
        self._probing: anyio.abc.TaskGroup | None = None
        self.members: Callable[[], Sequence[Member]] = lambda: ()
        self.send: Callable[[Member, CrashWord], None] = lambda to, word: None

    def blocks(self, call: Call) -> bool:
        """Returns whether a request must not be sent to any server."""
        if not self.ledger.all_blocked:
            return False
        return self.ledger.blocked(fingerprint.of(call))

    def repeats(self, call: Call) -> bool:
        """Returns whether this instance may send a request once more."""
        if not len(self.ledger):
            return True
        return not self.ledger.suspect(fingerprint.of(call))

    @contextlib.contextmanager
    def unless_blocked(self, call: Call) -> Iterator[None]:
        """Gives a context that ends early once the request gets blocked."""
        with anyio.CancelScope() as scope:
            self._waiting[scope] = call
            try:
                yield
            finally:
                del self._waiting[scope]

    async def lost(self, call: Call, server: BackendServer) -> None:
        """Takes the loss of a run whose connection broke off.

        Waits for a moment until it is known whether the server has ended:
        whether the request may be repeated depends on it.
        """
        held = self._registry.server(server.id)
        if held is None or held.draining or self._probing is None:
            return
        name = fingerprint.of(call)
        probe = self._probes.get(server.id)
        if probe is None or (probe.over and probe.ended_at is None):
            probe = self._probes[server.id] = _Probe()
            self._probing.start_soon(self._probe, server, probe)
            self._work.set()
        if probe.ended_at is not None:
            self._note_end(name, server.id)
            return
        probe.lost[name] = None
        with anyio.move_on_after(PROBE_WAIT_S):
            await probe.looked.wait()

    def survived(self, call: Call) -> None:
        """Takes a whole run of a request at a server."""
        if not len(self.ledger):
            return
        name = fingerprint.of(call)
        told = self.ledger.suspect(name)
        blocked = self.ledger.all_blocked
        if self.ledger.survived(name, time.monotonic()):
            self._counters.incr("crash.cleared")
            self._first.pop(name, None)
            if name in blocked:
                self._save_soon(name)
            if told:
                self._epidemic.add(name)
            self._note_blocked(blocked)

    def hear(self, word: CrashWord) -> None:
        """Takes what another instance knows."""
        for item in word.requests:
            if self._take(item) and self._at_home(item.fingerprint):
                self._save_soon(item.fingerprint)

    async def run(
        self, save: Save, read: Read, leads: Callable[[], bool]
    ) -> None:
        """Tells the others and the store until cancelled.

        Args:
            save: Writes a blocked request to the store.
            read: Returns those that stand there.
            leads: Returns whether this instance reads them for all.
        """
        async with anyio.create_task_group() as group:
            self._probing = group
            group.start_soon(self._save, save)
            group.start_soon(self._read, read, leads)
            while True:
                if not self._probes and not len(self.ledger):
                    self._work = anyio.Event()
                    await self._work.wait()
                await anyio.sleep(TICK_S)
                self.tick()

    def tick(self) -> None:
        """Tells the others what is due."""
        now = time.monotonic()
        others = [x for x in self.members() if x.instance != self._own]
        for name, probe in list(self._probes.items()):
            if probe.over and now - (probe.ended_at or 0.0) > ENDED_LIFE_S:
                del self._probes[name]
        self._tell_homes(others, now)
        self._tell(*self._epidemic.news(others), now)
        self._remind(others, now)

    async def _probe(self, server: BackendServer, probe: _Probe) -> None:
        try:
            for pause_s in PROBE_PAUSES_S:
                await anyio.sleep(pause_s)
                if await self._refuses(server.address):
                    self._note_server(server.id, probe)
                    break
                probe.looked.set()
        finally:
            probe.looked.set()
            probe.over = True

    def _note_server(self, server: str, probe: _Probe) -> None:
        probe.ended_at = time.monotonic()
        self._counters.incr("crash.server_ended")
        self._log.trouble("server_ended", server=server)
        for name in probe.lost:
            self._note_end(name, server)
        # At once: this instance may be the next to go, and nobody else knows.
        self.tick()

    def _note_end(self, name: str, server: str) -> None:
        blocked = self.ledger.all_blocked
        now = time.monotonic()
        if not self.ledger.ended(name, server, now):
            return
        self._counters.incr("crash.run_ended")
        if self.ledger.suspect(name):
            self._first.pop(name, None)
            self._epidemic.add(name)
        else:
            self._first[name] = _FirstEnd(now)
        if self._note_blocked(blocked) and self.ledger.blocked(name):
            self._save_soon(name)

    def _at_home(self, name: str) -> bool:
        names = {self._own, *(x.instance for x in self.members())}
        return self._own in rendezvous.rank(name, names)[:HOMES]

    def _take(self, word: ServerEnds) -> bool:
        """Takes a request's ends; returns whether they block it now."""
        blocked = self.ledger.all_blocked
        name = word.fingerprint
        changed = self.ledger.hear(word, time.monotonic())
        outdated = bool(word.servers) and not self.ledger.servers(name)
        if changed and (self.ledger.suspect(name) or word.survived_ms >= 0):
            self._first.pop(name, None)
            self._epidemic.add(name)
        elif outdated and name in self.ledger:
            # It has missed that a whole run cleared the request.
            self._epidemic.add(name, 1)
        if changed:
            self._work.set()
            self._note_blocked(blocked)
        return name in self.ledger.all_blocked - blocked

    def _note_blocked(self, before: frozenset[str]) -> bool:
        now_blocked = self.ledger.all_blocked
        for name in now_blocked - before:
            self._counters.incr("crash.blocked")
            self._log.trouble(
                "request_blocked",
                fingerprint=name,
                servers=self.ledger.servers(name),
                ages_ms=self.ledger.word(name, time.monotonic()).ages_ms,
            )
        for name in before - now_blocked:
            self._log.trouble("request_released", fingerprint=name)
        if now_blocked - before:
            for scope, call in self._waiting.items():
                if self.blocks(call):
                    scope.cancel()
        return bool(now_blocked - before)

    def _tell_homes(self, others: list[Member], now: float) -> None:
        """Tells each request's homes of ends that only this instance knows."""
        due: dict[str, list[str]] = {}
        by_name = {member.instance: member for member in others}
        for name, end in list(self._first.items()):
            if now - end.at < HOME_TELLS_S[end.tells]:
                continue
            for home in rendezvous.rank(name, [self._own, *by_name])[:HOMES]:
                if home != self._own:
                    due.setdefault(home, []).append(name)
            end.tells += 1
            if end.tells == len(HOME_TELLS_S):
                del self._first[name]
        for home, names in due.items():
            self._tell([by_name[home]], names, now)

    def _remind(self, others: list[Member], now: float) -> None:
        member = self._epidemic.reminder(others)
        suspects = self.ledger.suspects()
        if member is not None and suspects:
            chosen = self._rng.sample(suspects, min(MOST_TOLD, len(suspects)))
            blocked = sorted(self.ledger.all_blocked)
            rest = [name for name in chosen if name not in blocked]
            self._tell([member], [*blocked, *rest][:MOST_TOLD], now)

    def _tell(
        self, members: Sequence[Member], names: list[str], now: float
    ) -> None:
        for start in range(0, len(names), MOST_TOLD):
            part = names[start : start + MOST_TOLD]
            word = CrashWord(
                self._own, [self.ledger.word(name, now) for name in part]
            )
            for member in members:
                self.send(member, word)

    def _save_soon(self, name: str) -> None:
        self._unsaved.add(name)
        self._save_due.set()

    async def _save(self, save: Save) -> None:
        while True:
            await self._save_due.wait()
            self._save_due = anyio.Event()
            while self._unsaved:
                name = min(self._unsaved)
                try:
                    await save(self.ledger.word(name, time.monotonic()))
                    self._unsaved.discard(name)
                except StoreError as exc:
                    self._log.info("blocked_not_saved", why=exc.message)
                    await anyio.sleep(RETRY_S)

    async def _read(self, read: Read, leads: Callable[[], bool]) -> None:
        first = True
        while True:
            if first or leads():
                try:
                    for item in await read():
                        self._take(item)
                    first = False
                except StoreError as exc:
                    self._log.info("blocked_not_read", why=exc.message)
                    await anyio.sleep(RETRY_S)
                    continue
            await anyio.sleep(READ_EVERY_S)
            self.ledger.expire(time.monotonic())


async def refuses_connections(address: str) -> bool:
    """Returns whether nothing listens at an address whose host answers."""
    host, _, port = address.rpartition(":")
    try:
        with anyio.fail_after(PROBE_S):
            stream = await anyio.connect_tcp(host, int(port))
    except TimeoutError:
        return False
    except OSError as exc:
        return isinstance(exc.__cause__, ConnectionRefusedError)
    await stream.aclose()
    return False
