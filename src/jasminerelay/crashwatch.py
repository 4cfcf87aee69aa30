"""Keeps requests that crash servers away from servers, at all instances.

When the connection of an in-flight request breaks off, the instance finds out
whether its server has ended (`serverends`). If that is proved, the server has
crashed, and the request was in flight at that moment.

A request's first crash is reported to two instances, its coordinators by
rendezvous hashing. Once a coordinator has seen two crashes of a request, it is
broadcast to all instances by an epidemic protocol, so that the cost grows
linearly with the number of instances. Blocked requests are also saved in the
store, which carries them over a simultaneous restart of all instances.
"""

import contextlib
import dataclasses
import random
import time
from collections.abc import Awaitable, Callable, Iterator, Sequence

import anyio

from jasminerelay import fingerprint, rendezvous
from jasminerelay.catalog import BackendServer, Call
from jasminerelay.crashes import REQUEST, CrashLedger
from jasminerelay.epidemic import EpidemicBroadcast
from jasminerelay.errors import StoreError
from jasminerelay.eventlog import EventLog
from jasminerelay.metrics import Counters
from jasminerelay.peermessages import in_parts
from jasminerelay.registry import Registry
from jasminerelay.schema.messages import CrashReport, Member, RequestCrashes
from jasminerelay.serverends import Ended, FindEnd

TICK_S = 0.1
"""Interval at which notifications are sent to other instances."""

PROBE_DELAYS_S = (0.0, 0.05, 0.25)
"""Delays before each probe of a server that lost a connection. A crashing
server may go on accepting connections for a moment after it dropped those that
it had."""

MAX_PROBE_WAIT_S = 0.1
"""Longest time that a request waits for the probe before it is retried."""

PARTS_CLEARED_S = 0.5
"""Time since the first event of a stream after which the parts of its prompt
count as harmless."""

CRASHED_SERVER_TTL_S = 5.0
"""How long a server that has ended counts as crashed for other
requests whose connections broke off; these breaks show within milliseconds."""

COORDINATORS_PER_REQUEST = 2
"""Instances that collect the crashes of a request. Either may stop at any
time."""

NOTIFY_AGES_S = (0.0, 0.1, 0.4, 2.0, 10.0, 60.0)
"""Ages of a crash at which the coordinators are notified of it: datagrams get
lost, and coordinators change while their instances are replaced."""

MAX_REQUESTS_PER_MESSAGE = 12
"""Requests in one datagram, some 100 bytes each; it must fit into a frame."""

READ_INTERVAL_S = 30.0
"""Interval at which the leader reads the blocked requests from the store."""

RETRY_S = 1.0
"""Delay after a failed read or write of the store."""

SaveBlocked = Callable[[RequestCrashes], Awaitable[None]]
ReadBlocked = Callable[[], Awaitable[list[RequestCrashes]]]


@dataclasses.dataclass(eq=False)
class _Probe:
    """Probe of a server whose connection broke off.

    Attributes:
        first_attempt_done: Set after the first attempt to connect.
        finished: Whether there are no further attempts.
        crashed_at: Monotonic time at which its end was proved; None if it was
            not.
        lost_requests: Fingerprints of the requests whose connections to the
            server broke off during the probe, and of parts of their prompts,
            with their widths.
    """

    first_attempt_done: anyio.Event = dataclasses.field(
        default_factory=anyio.Event
    )
    finished: bool = False
    crashed_at: float | None = None
    lost_requests: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass
class _FirstCrash:
    """A request's only crash so far, known only to this instance.

    Attributes:
        at: Monotonic time of the crash.
        notifications: How often the coordinators were notified.
    """

    at: float
    notifications: int = 0


class CrashWatch:
    """Tracks crashes at one instance and exchanges them with the others.

    Attributes:
        ledger: Crashes by request.
        members: Returns the live instances.
        send: Sends a message to an instance, without confirmation.
        on_ended: Called with a server whose end was proved.
    """

    def __init__(
        self,
        own: str,
        registry: Registry,
        counters: Counters,
        log: EventLog,
        rng: random.Random,
        find_end: FindEnd,
    ):
        """Creates a watch without any crashes.

        Args:
            own: ID of this instance.
            registry: Servers in use.
            counters: Receives counts of events.
            log: Receives events.
            rng: Source of random choices.
            find_end: Finds out whether a server has ended.
        """
        self.ledger = CrashLedger()
        self._own = own
        self._registry = registry
        self._counters = counters
        self._log = log
        self._rng = rng
        self._probes: dict[str, _Probe] = {}
        self._refusal_probe: _Probe | None = None
        self._first_crashes: dict[str, _FirstCrash] = {}
        self._broadcast = EpidemicBroadcast(rng)
        self._unsaved: set[str] = set()
        self._save_requested = anyio.Event()
        self._work_available = anyio.Event()
        self._waiting: dict[anyio.CancelScope, Call] = {}
        self._find_end = find_end
        self._probing: anyio.abc.TaskGroup | None = None
        self.members: Callable[[], Sequence[Member]] = lambda: ()
        self.send: Callable[[Member, CrashReport], None] = lambda to, _: None
        self.on_ended: Callable[[str], None] = lambda server: None

    def is_blocked(self, call: Call) -> bool:
        """Returns whether a request must not be sent to any server."""
        if not self.ledger.all_blocked:
            return False
        own = fingerprint.of(call)
        if self.ledger.is_blocked(own):
            return True
        # A request that was released may be sent whatever its parts did before.
        return any(
            self.ledger.is_blocked(part)
            and not self.ledger.cleared_since(own, part)
            for part in fingerprint.of_parts(call)
        )

    def may_retry(self, call: Call) -> bool:
        """Returns whether this instance may retry a request."""
        if not len(self.ledger):
            return True
        return not any(self.ledger.suspect(name) for name in _names_of(call))

    @contextlib.contextmanager
    def cancel_if_blocked(self, call: Call) -> Iterator[None]:
        """Returns a context that is cancelled once the request is blocked."""
        with anyio.CancelScope() as scope:
            self._waiting[scope] = call
            try:
                yield
            finally:
                del self._waiting[scope]

    async def on_connection_lost(
        self, call: Call, server: BackendServer, events_s: float = 0.0
    ) -> None:
        """Handles a connection that broke off with a request in flight.

        Waits up to `MAX_PROBE_WAIT_S` for the first probe of the server, since
        a crash may make the request a suspect, which is not retried.

        Args:
            call: The request.
            server: The server.
            events_s: Time since the first event of its stream; 0 before that.
        """
        probe = self._probe_of(server)
        if probe is None:
            return
        names = _names_of(call, with_parts=events_s < PARTS_CLEARED_S)
        if probe.crashed_at is not None:
            for name, width in names.items():
                self._record_crash(name, server.id, width)
            return
        probe.lost_requests.update(names)
        with anyio.move_on_after(MAX_PROBE_WAIT_S):
            await probe.first_attempt_done.wait()

    def on_refused(self, server: BackendServer) -> None:
        """Has a server probed that refused a connection to this instance.

        One at a time: while many refuse, their probes would be a burst of
        questions to other instances, which lack the same servers.
        """
        if self._refusal_probe is None or self._refusal_probe.finished:
            self._refusal_probe = self._probe_of(server)

    def _probe_of(self, server: BackendServer) -> _Probe | None:
        """Returns the probe of a server, begun if there is none in progress."""
        held = self._registry.server(server.id)
        if held is None or held.draining or self._probing is None:
            return None
        probe = self._probes.get(server.id)
        if probe is None or (probe.finished and probe.crashed_at is None):
            probe = self._probes[server.id] = _Probe()
            self._probing.start_soon(self._probe, server, probe)
            self._work_available.set()
        return probe

    def record_completion(self, call: Call) -> None:
        """Records that a server sent a request's complete response."""
        if not len(self.ledger):
            return
        for name in _names_of(call):
            self._record_cleared(name)

    def record_begun(self, call: Call) -> None:
        """Records that a server has been writing a request's answer for long.

        That clears the parts of its prompt, which crash servers that begin to
        write.
        """
        if not len(self.ledger):
            return
        for name in fingerprint.of_parts(call):
            self._record_cleared(name)

    def _record_cleared(self, name: str) -> None:
        was_suspect = self.ledger.suspect(name)
        blocked = self.ledger.all_blocked
        if self.ledger.record_completion(name, time.monotonic()):
            self._counters.incr("crash.cleared")
            self._first_crashes.pop(name, None)
            if name in blocked:
                self._request_save(name)
            if was_suspect:
                self._broadcast.add(name)
            self._handle_changes(blocked)

    def handle_message(self, message: CrashReport) -> None:
        """Merges another instance's reports."""
        for item in message.requests:
            if self._merge_report(item) and self._is_coordinator(
                item.fingerprint
            ):
                self._request_save(item.fingerprint)

    async def run(
        self,
        save: SaveBlocked,
        read: ReadBlocked,
        is_leader: Callable[[], bool],
    ) -> None:
        """Exchanges crashes with other instances and the store, forever.

        Args:
            save: Writes a blocked request to the store.
            read: Returns the blocked requests in the store.
            is_leader: Returns whether this instance reads the store at regular
                intervals on behalf of all; the others read it at their start.
        """
        async with anyio.create_task_group() as group:
            self._probing = group
            group.start_soon(self._save_blocked, save)
            group.start_soon(self._read_blocked, read, is_leader)
            try:
                await self._tick_while_needed()
            finally:
                # Requests may lose their servers after this has ended.
                self._probing = None

    async def _tick_while_needed(self) -> None:
        while True:
            if not self._probes and not len(self.ledger):
                self._work_available = anyio.Event()
                await self._work_available.wait()
            await anyio.sleep(TICK_S)
            self.tick()

    def tick(self) -> None:
        """Sends the notifications that are due."""
        now = time.monotonic()
        others = [x for x in self.members() if x.instance != self._own]
        for name, probe in list(self._probes.items()):
            if (
                probe.finished
                and now - (probe.crashed_at or 0.0) > CRASHED_SERVER_TTL_S
            ):
                del self._probes[name]
        self._notify_coordinators(others, now)
        self._send_reports(*self._broadcast.next_round(others), now)
        self._resync_member(others, now)

    async def _probe(self, server: BackendServer, probe: _Probe) -> None:
        try:
            for pause_s in PROBE_DELAYS_S:
                await anyio.sleep(pause_s)
                end = await self._find_end(server)
                if isinstance(end, Ended):
                    self._record_server_crash(server.id, probe, end)
                    break
                probe.first_attempt_done.set()
        finally:
            probe.first_attempt_done.set()
            probe.finished = True

    def _record_server_crash(
        self, server: str, probe: _Probe, end: Ended
    ) -> None:
        probe.crashed_at = time.monotonic()
        self._counters.incr("crash.server_ended")
        self.on_ended(server)
        self._log.warn("server_ended", server=server, evidence=end.evidence)
        for name, width in probe.lost_requests.items():
            self._record_crash(name, server, width)
        # Send at once: this instance may stop next, and no other one has the
        # crash.
        self.tick()

    def _record_crash(self, name: str, server: str, width: int) -> None:
        blocked = self.ledger.all_blocked
        now = time.monotonic()
        if not self.ledger.ended(name, server, now, width):
            return
        self._counters.incr("crash.run_ended")
        if self.ledger.suspect(name):
            self._first_crashes.pop(name, None)
            self._broadcast.add(name)
        else:
            self._first_crashes[name] = _FirstCrash(now)
        if self._handle_changes(blocked) and self.ledger.is_blocked(name):
            self._request_save(name)

    def _is_coordinator(self, name: str) -> bool:
        names = {self._own, *(x.instance for x in self.members())}
        return (
            self._own in rendezvous.rank(name, names)[:COORDINATORS_PER_REQUEST]
        )

    def _merge_report(self, report: RequestCrashes) -> bool:
        """Merges a report; returns whether the request is newly blocked."""
        blocked = self.ledger.all_blocked
        name = report.fingerprint
        changed = self.ledger.merge(report, time.monotonic())
        outdated = bool(report.servers) and not self.ledger.servers(name)
        if changed and (self.ledger.suspect(name) or report.survived_ms >= 0):
            self._first_crashes.pop(name, None)
            self._broadcast.add(name)
        elif outdated and name in self.ledger:
            # The sender missed the complete response that cleared the request.
            self._broadcast.add(name, 1)
        if changed:
            self._work_available.set()
            self._handle_changes(blocked)
        return name in self.ledger.all_blocked - blocked

    def _handle_changes(self, previously_blocked: frozenset[str]) -> bool:
        blocked = self.ledger.all_blocked
        for name in blocked - previously_blocked:
            self._counters.incr("crash.blocked")
            self._log.warn(
                "request_blocked",
                fingerprint=name,
                what="part" if self.ledger.width(name) else "request",
                servers=self.ledger.servers(name),
                ages_ms=self.ledger.to_message(name, time.monotonic()).ages_ms,
            )
        for name in previously_blocked - blocked:
            self._log.warn("request_released", fingerprint=name)
        if blocked - previously_blocked:
            for scope, call in self._waiting.items():
                if self.is_blocked(call):
                    scope.cancel()
        return bool(blocked - previously_blocked)

    def _notify_coordinators(self, others: list[Member], now: float) -> None:
        """Notifies coordinators of crashes that only this instance has seen."""
        due: dict[str, list[str]] = {}
        by_name = {member.instance: member for member in others}
        for name, first_crash in list(self._first_crashes.items()):
            if now - first_crash.at < NOTIFY_AGES_S[first_crash.notifications]:
                continue
            for coordinator in rendezvous.rank(name, [self._own, *by_name])[
                :COORDINATORS_PER_REQUEST
            ]:
                if coordinator != self._own:
                    due.setdefault(coordinator, []).append(name)
            first_crash.notifications += 1
            if first_crash.notifications == len(NOTIFY_AGES_S):
                del self._first_crashes[name]
        for coordinator, names in due.items():
            self._send_reports([by_name[coordinator]], names, now)

    def _resync_member(self, others: list[Member], now: float) -> None:
        member = self._broadcast.resync_target(others)
        suspects = self.ledger.suspects()
        if member is not None and suspects:
            chosen = self._rng.sample(
                suspects, min(MAX_REQUESTS_PER_MESSAGE, len(suspects))
            )
            blocked = sorted(self.ledger.all_blocked)
            rest = [name for name in chosen if name not in blocked]
            self._send_reports(
                [member], [*blocked, *rest][:MAX_REQUESTS_PER_MESSAGE], now
            )

    def _send_reports(
        self, members: Sequence[Member], names: list[str], now: float
    ) -> None:
        for part in in_parts(names, MAX_REQUESTS_PER_MESSAGE):
            message = CrashReport(
                self._own, [self.ledger.to_message(name, now) for name in part]
            )
            for member in members:
                self.send(member, message)

    def save_again(self) -> None:
        """Writes all blocked requests again, since the store has lost some."""
        for name in self.ledger.all_blocked:
            self._request_save(name)

    def _request_save(self, name: str) -> None:
        self._unsaved.add(name)
        self._save_requested.set()

    async def _save_blocked(self, save: SaveBlocked) -> None:
        while True:
            await self._save_requested.wait()
            self._save_requested = anyio.Event()
            while self._unsaved:
                name = min(self._unsaved)
                try:
                    await save(self.ledger.to_message(name, time.monotonic()))
                    self._unsaved.discard(name)
                except StoreError as exc:
                    self._log.info("blocked_not_saved", why=exc.message)
                    await anyio.sleep(RETRY_S)

    async def _read_blocked(
        self, read: ReadBlocked, is_leader: Callable[[], bool]
    ) -> None:
        first = True
        while True:
            if first or is_leader():
                try:
                    for item in await read():
                        self._merge_report(item)
                    first = False
                except StoreError as exc:
                    self._log.info("blocked_not_read", why=exc.message)
                    await anyio.sleep(RETRY_S)
                    continue
            await anyio.sleep(READ_INTERVAL_S)
            self.ledger.expire(time.monotonic())


def _names_of(call: Call, *, with_parts: bool = True) -> dict[str, int]:
    """Returns what a crash under a request may be blamed on, with widths."""
    names = {fingerprint.of(call): REQUEST}
    if with_parts:
        parts = fingerprint.of_parts(call)
        names.update(zip(parts, range(len(parts), 0, -1), strict=True))
    return names
