"""One request at one backend server, and its answer on the way back."""

import dataclasses
import random
import time
from collections.abc import Callable

import anyio
import httpcore

from jasminerelay import sse
from jasminerelay.catalog import BackendServer, Call, Repeat, Route
from jasminerelay.channels import Channel, Channels, SilentError
from jasminerelay.crashwatch import CrashWatch
from jasminerelay.dispatcher import Dispatcher
from jasminerelay.evacuation import STAY_S, Copy, Evacuator
from jasminerelay.eventlog import EventLog
from jasminerelay.exchange import (
    Delivered,
    Dialect,
    Failed,
    Head,
    Interrupted,
    NotRun,
    NotSent,
    Outcome,
    Sending,
    Sink,
    Unknown,
)
from jasminerelay.httpclient import BrokenError, NotSentError, body_chunks
from jasminerelay.limitwatch import LimitWatch
from jasminerelay.metrics import Counters
from jasminerelay.sharedbudget import SharedBudget
from jasminerelay.telemetry import Telemetry
from jasminerelay.waitingroom import Room, Seat

SHORT_SILENCE = 2.5
SHORT_SILENCE_LEAST_S = 0.5
"""Objectives' worth of silence, and the least of it, after which an idempotent
call goes to a second server. Answers that take longer than twice the objective
are rarer than servers that take requests and never answer."""

STREAM_SILENCE_S = 1.0
PAUSES = 4
"""Silence after which a resumable stream goes on elsewhere: this long, or
four of its longest pauses, whichever is longer. Callers leave after two
seconds or eight pauses."""

SLOW_LOOK_S = 0.25
"""How often a stream is asked whether it will end in time where it is."""

MAX_MOVES = 2
"""Moves that one request may take; each stops it for the time of a copy."""

NO_LIMIT_S = 3600.0

OK = 200
SERVER_ERROR = 500


@dataclasses.dataclass(frozen=True)
class Kit:
    """What forwarding works with.

    Attributes:
        dispatcher: Chooses servers.
        room: Where requests get places.
        channels: Connections to servers.
        dialect: Words of the interface.
        evacuator: Moves streams away from servers that leave.
        budget: Repeats that may be sent.
        crashes: Requests under which servers end.
        limits: Limits that servers name.
        counters: Counts events.
        telemetry: Takes times.
        log: Takes events.
        rng: Source of random choices.
        began: Takes whose request a server has begun, and how long ago.
        versions: Returns what the decisions rest on, for the log.
    """

    dispatcher: Dispatcher
    room: Room
    channels: Channels
    dialect: Dialect
    evacuator: Evacuator
    budget: SharedBudget
    crashes: CrashWatch
    limits: LimitWatch
    counters: Counters
    telemetry: Telemetry
    log: EventLog
    rng: random.Random
    began: Callable[[str, float], None]
    versions: Callable[[], dict[str, float]]


@dataclasses.dataclass
class Progress:
    """How far a request has come, over all its attempts.

    Attributes:
        last_event: Id of the last event that its caller has.
        events: Events passed on.
        first_at: Steady time of the first one; 0 before it.
        pause_s: Longest pause between two of them.
        status: Status of the answer; 0 before it.
        tried: Servers that it was sent to, in turn.
        owners: Instances that decided so, in turn; "" for this one.
        ran: Servers that have run it, or may have.
        maybe_ran: Whether it can no longer be said that it has not run.
        copy: Memory that it goes on from, if it was moved.
        moves: How often a move was tried.
        output: Tokens of a whole stream; 0 before its end.
    """

    last_event: str
    events: int = 0
    first_at: float = 0.0
    pause_s: float = 0.0
    status: int = 0
    tried: list[str] = dataclasses.field(default_factory=list)
    owners: list[str] = dataclasses.field(default_factory=list)
    ran: int = 0
    maybe_ran: bool = False
    copy: Copy | None = None
    moves: int = 0
    output: int = 0

    def may_repeat(self, route: Route) -> bool:
        """Returns whether one more server may run it after the present."""
        if route.repeat is Repeat.ONCE:
            return False
        return self.ran + 1 < route.max_servers


class Attempt:
    """One request at one server."""

    def __init__(self, kit: Kit, call: Call, sink: Sink, progress: Progress):
        self._kit = kit
        self._call = call
        self._sink = sink
        self._progress = progress
        self._moving: anyio.Event | None = None
        self._sent_at = 0.0
        self._goes_on = False

    async def run(self, seat: Seat) -> Outcome:
        """Sends the request to the seat's server and passes on the answer."""
        server = seat.placed.server
        try:
            channel = await self._kit.channels.take(server)
        except NotSentError as exc:
            return NotSent(str(exc))
        done = _Done()
        try:
            return await self._speak(seat, channel, done)
        finally:
            if done.head is None:
                with anyio.CancelScope(shield=True):
                    await channel.aclose()
            else:
                head = done.head
                await self._kit.channels.give_back(
                    channel, head.idle_s, head.closing
                )

    async def _speak(
        self, seat: Seat, channel: Channel, done: "_Done"
    ) -> Outcome:
        server = channel.server
        left_s = self._call.ends - time.monotonic()
        copy, self._progress.copy = self._progress.copy, None
        self._goes_on = copy is not None
        sending = Sending(
            self._call,
            server,
            left_s,
            after=self._progress.last_event,
            copy=copy,
            source=seat.placed.source,
        )
        request = httpcore.Request(
            self._call.method,
            channel.url(self._call.target),
            headers=self._kit.dialect.request_headers(sending),
            content=self._call.body or None,
        )
        self._progress.maybe_ran = True
        kept = not channel.fresh
        self._sent_at = time.monotonic()
        try:
            response = await channel.send(request, self._silence_s())
        except SilentError as exc:
            self._note_lost()
            return Unknown(f"silent: {exc}")
        except BrokenError as exc:
            self._note_lost()
            return Unknown(str(exc))
        self._kit.dispatcher.heard(server.id, time.monotonic())
        head = self._kit.dialect.head(response.status, response.headers)
        # A faulty server's second answer to an old request may come just where
        # this one's is expected. On a connection that was used before, only
        # the id tells; one without an id may be anybody's.
        named = head.request or ("" if kept else self._call.id)
        if named == self._call.id and not head.misdirected:
            self._kit.limits.heard(server.id, head)
        if named != self._call.id:
            self._kit.channels.distrust(server)
            self._kit.counters.incr("backend.crossed")
            return Unknown("an answer to another request came")
        if self._call.route.streaming and head.status == OK:
            return await self._stream(seat, channel, response, head, done)
        if not head.not_run:
            self._note_begun(time.monotonic() - self._sent_at)
        return await self._whole(channel, response, head, done)

    def _note_begun(self, ago_s: float) -> None:
        # A run that was moved is the same run.
        if not self._goes_on:
            self._kit.began(self._call.organisation, ago_s)

    def _note_lost(self) -> None:
        # A call whose answer is lost has most likely run. A stream begins with
        # its first event, so it must have been there for as long as that takes.
        ago_s = time.monotonic() - self._sent_at
        if self._call.route.streaming:
            ago_s -= self._kit.dispatcher.first_s(self._call)
        if ago_s >= 0:
            self._note_begun(ago_s)

    async def _whole(
        self,
        channel: Channel,
        response: httpcore.Response,
        head: Head,
        done: "_Done",
    ) -> Outcome:
        try:
            body = await response.aread()
        except (httpcore.NetworkError, httpcore.ProtocolError) as exc:
            if head.not_run:
                return NotRun(f"status {head.status}", head.misdirected)
            return Unknown(f"broke off: {exc!r}")
        except httpcore.TimeoutException as exc:
            return Unknown(f"silent: {exc!r}")
        await response.aclose()
        if not channel.reusable and not head.closing:
            self._kit.channels.distrust(channel.server)
        done.head = head
        if head.not_run:
            return NotRun(f"status {head.status}", head.misdirected)
        if self._sink.started:
            # A second server does not go on with a stream that has begun.
            return Unknown(f"status {head.status}")
        if head.status >= SERVER_ERROR:
            return Failed(head, body)
        await self.pass_on(head, body)
        return Delivered(head.status)

    async def _stream(
        self,
        seat: Seat,
        channel: Channel,
        response: httpcore.Response,
        head: Head,
        done: "_Done",
    ) -> Outcome:
        server = channel.server
        told = self._kit.evacuator.attach(server.id)
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._move_when_told, server, told)
                group.start_soon(self._move_when_slow, server)
                outcome = await self._pass_stream(seat, response, head)
                moving = self._moving
                if moving is not None:
                    # The stream may end before the answer to the order comes.
                    await moving.wait()
                group.cancel_scope.cancel()
        finally:
            self._kit.evacuator.detach(server.id, told)
        if isinstance(outcome, Delivered):
            await response.aclose()
            done.head = head
            if not self._sink.started:
                await self._sink.start(head.status, head.headers)
            await self._sink.finish()
        return outcome

    async def _pass_stream(
        self, seat: Seat, response: httpcore.Response, head: Head
    ) -> Outcome:
        cutter = sse.EventCutter()
        timer = _StreamTimer(self._kit, self._call, seat, self._sent_at)
        progress = self._progress
        try:
            async for chunk in body_chunks(response):
                events = cutter.feed(chunk)
                if events:
                    if not timer.first_at:
                        self._note_begun(0.0)
                    timer.events(len(events))
                    progress.pause_s = max(progress.pause_s, timer.pause_s)
                    progress.first_at = progress.first_at or timer.first_at
                    await self._pass_events(head, events)
        except (BrokenError, ValueError) as exc:
            return Interrupted(str(exc))
        if cutter.torn:
            return Interrupted("the stream ended inside an event")
        self._progress.status = head.status
        self._progress.output = self._progress.events * timer.event_tokens
        self._kit.dispatcher.lengths.observe(
            self._call.route.name, self._progress.output
        )
        return Delivered(head.status)

    async def _move_when_told(
        self, server: BackendServer, told: anyio.Event
    ) -> None:
        await told.wait()
        dispatcher = self._kit.dispatcher
        left_s = dispatcher.left_s(self._call, server, self._progress.events)
        if not self._sink.started or left_s < STAY_S:
            return
        await self._move(
            server, dispatcher.refuge(self._call, self._tried_servers())
        )

    async def _move_when_slow(self, server: BackendServer) -> None:
        dispatcher = self._kit.dispatcher
        while self._progress.moves < MAX_MOVES:
            await anyio.sleep(SLOW_LOOK_S)
            if not self._sink.started or not dispatcher.cannot_end(
                self._call, server, self._progress.events
            ):
                continue
            if self._moving is not None or self._progress.copy is not None:
                return
            avoid = frozenset((server.id,))
            seat = dispatcher.quicker(self._call, server, avoid)
            if seat is not None:
                await self._move(server, seat)
                return

    def _tried_servers(self) -> frozenset[str]:
        return frozenset(self._progress.tried)

    async def _move(self, server: BackendServer, seat: Seat | None) -> None:
        if seat is None:
            return
        if self._moving is not None or self._progress.copy is not None:
            seat.run.end()
            return
        self._moving = anyio.Event()
        self._progress.moves += 1
        try:
            self._progress.copy = await self._kit.evacuator.move(
                self._call, server, seat.placed.server
            )
        finally:
            seat.run.end()
            self._moving.set()
            self._moving = None

    async def _pass_events(
        self, head: Head, events: list[sse.RawEvent]
    ) -> None:
        if not events:
            return
        if not self._sink.started:
            await self._sink.start(head.status, head.headers)
            self._progress.status = head.status
        self._progress.events += len(events)
        for event in reversed(events):
            if event.id:
                self._progress.last_event = event.id.decode("latin-1")
                break
        await self._sink.send(b"".join(event.data for event in events))

    def _silence_s(self) -> float:
        route = self._call.route
        if route.repeat is Repeat.IDEMPOTENT and self._progress.may_repeat(
            route
        ):
            return max(SHORT_SILENCE_LEAST_S, SHORT_SILENCE * route.objective_s)
        if route.repeat is Repeat.RESUMABLE and self._progress.may_repeat(
            route
        ):
            return max(STREAM_SILENCE_S, PAUSES * route.pause_s)
        # A server's silence is no reason to give up on what cannot be sent
        # again: the request's own time limit ends it.
        return NO_LIMIT_S

    async def pass_on(self, head: Head, body: bytes) -> None:
        """Passes on a whole answer."""
        self._progress.status = head.status
        length = (b"content-length", str(len(body)).encode())
        await self._sink.start(head.status, (*head.headers, length))
        await self._sink.send(body)
        await self._sink.finish()


class _StreamTimer:
    """Measures one stream as its events pass."""

    def __init__(self, kit: Kit, call: Call, seat: Seat, sent_at: float):
        self._kit = kit
        self._call = call
        self._seat = seat
        self._sent_at = sent_at
        self._latest = 0.0
        engine = kit.dispatcher.engine_of(call.service)
        self.event_tokens = engine.event_tokens if engine else 1
        self.first_at = 0.0
        self.pause_s = 0.0

    def events(self, count: int) -> None:
        """Notes events that have just come."""
        now = time.monotonic()
        self._kit.dispatcher.heard(self._seat.placed.server.id, now)
        if not self.first_at:
            self.first_at = now
            self._note_reading(now)
            self._seat.run.read(now - self._sent_at)
            self._kit.room.freed(self._call.service)
        else:
            self._kit.dispatcher.paces.observe(
                self._seat.placed.server.id,
                count * self.event_tokens,
                now - self._latest,
                now,
            )
            self.pause_s = max(self.pause_s, now - self._latest)
        self._latest = now

    def _note_reading(self, now: float) -> None:
        seat = self._seat
        self._kit.dispatcher.note_reading(
            self._call, seat.placed, seat.run.ahead, now - self._sent_at
        )


@dataclasses.dataclass
class _Done:
    """Set when an exchange is complete and its connection may be kept."""

    head: Head | None = None
