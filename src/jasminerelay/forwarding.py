"""Carries a request to backend servers until its caller has a final answer."""

import dataclasses
import functools
import random
import time
from collections.abc import Callable

import anyio
import httpcore

from jasminerelay import sse
from jasminerelay.catalog import BackendServer, Call, Repeat
from jasminerelay.channels import Channel, Channels, SilentError
from jasminerelay.dispatcher import Dispatcher
from jasminerelay.errors import NoRoomError
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
from jasminerelay.metrics import Counters
from jasminerelay.sharedbudget import SharedBudget
from jasminerelay.telemetry import Telemetry
from jasminerelay.waitingroom import Seat, WaitingRoom

MAX_NOT_SENT = 3
MAX_NOT_RUN = 2
"""Further servers that are tried after one could not be reached, or said that
it did not run the request. Neither is a run, but each takes time."""

SHORT_SILENCE = 2.5
"""Objectives' worth of silence after which an idempotent call goes to a
second server. Answers that take longer than twice the objective are rarer
than servers that take requests and never answer."""

STREAM_SILENCE_S = 1.0
PAUSES = 4
"""Silence after which a resumable stream goes on elsewhere: this long, or
four of its longest pauses, whichever is longer. Callers leave after two
seconds or eight pauses."""

NO_LIMIT_S = 3600.0

RETRY_SOON_S = 0.3
"""When to come back after a refusal that has nothing to do with load."""

OK = 200
SERVER_ERROR = 500


@dataclasses.dataclass(frozen=True)
class Kit:
    """What forwarding works with.

    Attributes:
        dispatcher: Chooses servers.
        room: Where requests wait.
        channels: Connections to servers.
        dialect: Words of the interface.
        evacuator: Moves streams away from servers that leave.
        budget: Repeats that may be sent.
        counters: Counts events.
        telemetry: Takes times.
        log: Takes events.
        rng: Source of random choices.
        versions: Returns what the decisions rest on, for the log.
    """

    dispatcher: Dispatcher
    room: WaitingRoom
    channels: Channels
    dialect: Dialect
    evacuator: Evacuator
    budget: SharedBudget
    counters: Counters
    telemetry: Telemetry
    log: EventLog
    rng: random.Random
    versions: Callable[[], dict[str, float]]


class Delivery:
    """One request on its way to its final answer."""

    def __init__(self, kit: Kit, call: Call, sink: Sink):
        self._kit = kit
        self._call = call
        self._sink = sink
        self._tried: list[str] = []
        self._ran = 0
        self._not_sent = 0
        self._not_run = 0
        self._maybe_ran = False
        self._last_event = call.last_event
        self._events = 0
        self._kept: Failed | None = None
        self._placed_at = 0.0
        self._first_at = 0.0
        self._pause_s = 0.0
        self._why = ""
        self._status = 0
        self._copy: Copy | None = None
        self._moving: anyio.Event | None = None

    async def run(self) -> None:
        """Serves the request; its caller's leaving cancels this."""
        call = self._call
        self._kit.dispatcher.arrived(call)
        self._kit.budget.requested(call.service, call.arrived)
        ended = "caller left"
        try:
            with anyio.move_on_after(call.ends - time.monotonic()) as scope:
                await self._serve()
            if scope.cancelled_caught:
                await self._time_out()
            ended = "done"
        finally:
            self._log(ended)

    async def _serve(self) -> None:
        while True:
            try:
                seat = await self._seat()
            except NoRoomError as exc:
                await self._no_room(exc)
                return
            outcome = await self._attempt(seat)
            self._note_health(seat.placed.server, outcome)
            if not await next_step(outcome, self):
                return

    async def _seat(self) -> Seat:
        if self._copy is not None:
            return self._kit.dispatcher.seat_at(self._call, self._copy.at)
        avoid = frozenset(self._tried)
        return await self._kit.room.enter(self._call, avoid)

    async def _attempt(self, seat: Seat) -> Outcome:
        self._placed_at = self._placed_at or time.monotonic()
        self._tried.append(seat.placed.server.id)
        try:
            return await self._exchange(seat)
        finally:
            seat.run.end()
            self._kit.room.freed(self._call.service)

    async def _exchange(self, seat: Seat) -> Outcome:
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
        copy, self._copy = self._copy, None
        sending = Sending(
            self._call, server, left_s, after=self._last_event, copy=copy
        )
        request = httpcore.Request(
            self._call.method,
            channel.url(self._call.target),
            headers=self._kit.dialect.request_headers(sending),
            content=self._call.body or None,
        )
        self._maybe_ran = True
        kept = not channel.fresh
        try:
            response = await channel.send(request, self._silence_s())
        except SilentError as exc:
            return Unknown(f"silent: {exc}")
        except BrokenError as exc:
            return Unknown(str(exc))
        self._kit.dispatcher.heard(server.id, time.monotonic())
        head = self._kit.dialect.head(response.status, response.headers)
        # A faulty server's second answer to an old request may come just where
        # this one's is expected. On a connection that was used before, only
        # the id tells; one without an id may be anybody's.
        named = head.request or ("" if kept else self._call.id)
        if named != self._call.id:
            self._kit.channels.distrust(server)
            self._kit.counters.incr("backend.crossed")
            return Unknown("an answer to another request came")
        if self._call.route.streaming and head.status == OK:
            return await self._stream(seat, channel, response, head, done)
        return await self._whole(channel, response, head, done)

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
                return NotRun(f"status {head.status}")
            return Unknown(f"broke off: {exc!r}")
        except httpcore.TimeoutException as exc:
            return Unknown(f"silent: {exc!r}")
        await response.aclose()
        if not channel.reusable and not head.closing:
            self._kit.channels.distrust(channel.server)
        done.head = head
        if head.not_run:
            return NotRun(f"status {head.status}")
        if self._sink.started:
            # A second server does not go on with a stream that has begun.
            return Unknown(f"status {head.status}")
        if head.status >= SERVER_ERROR:
            return Failed(head, body)
        await self._pass_on(head, body)
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
        timer = _StreamTimer(self._kit, self._call, seat)
        try:
            async for chunk in body_chunks(response):
                events = cutter.feed(chunk)
                if events:
                    timer.events(len(events))
                    self._pause_s = max(self._pause_s, timer.pause_s)
                    self._first_at = self._first_at or timer.first_at
                    await self._pass_events(head, events)
        except (BrokenError, ValueError) as exc:
            return Interrupted(str(exc))
        if cutter.torn:
            return Interrupted("the stream ended inside an event")
        self._status = head.status
        self._kit.dispatcher.lengths.observe(
            self._call.route.name, self._events * timer.event_tokens
        )
        return Delivered(head.status)

    async def _move_when_told(
        self, server: BackendServer, told: anyio.Event
    ) -> None:
        await told.wait()
        dispatcher = self._kit.dispatcher
        left_s = dispatcher.left_s(self._call, server, self._events)
        if not self._sink.started or left_s < STAY_S:
            return
        target = dispatcher.refuge(self._call, frozenset(self._tried))
        if target is None:
            return
        self._moving = anyio.Event()
        try:
            self._copy = await self._kit.evacuator.move(
                self._call, server, target
            )
        finally:
            self._moving.set()
            self._moving = None

    async def _pass_events(
        self, head: Head, events: list[sse.RawEvent]
    ) -> None:
        if not events:
            return
        if not self._sink.started:
            await self._sink.start(head.status, head.headers)
            self._status = head.status
        self._events += len(events)
        for event in reversed(events):
            if event.id:
                self._last_event = event.id.decode("latin-1")
                break
        await self._sink.send(b"".join(event.data for event in events))

    def _silence_s(self) -> float:
        route = self._call.route
        if route.repeat is Repeat.IDEMPOTENT and self._may_repeat():
            return max(0.5, SHORT_SILENCE * route.objective_s)
        if route.repeat is Repeat.RESUMABLE and self._may_repeat():
            return max(STREAM_SILENCE_S, PAUSES * route.pause_s)
        # A server's silence is no reason to give up on what cannot be sent
        # again: the request's own time limit ends it.
        return NO_LIMIT_S

    def _may_repeat(self) -> bool:
        return (
            self._call.route.repeat is not Repeat.ONCE
            and self._ran + 1 < self._call.route.max_servers
        )

    def _note_health(self, server: BackendServer, outcome: Outcome) -> None:
        health = self._kit.dispatcher.health(self._call.service)
        if isinstance(outcome, Delivered | Failed):
            health.succeeded(server.id)
        elif isinstance(outcome, Interrupted) and self.moved:
            return
        elif isinstance(outcome, NotSent | Unknown | Interrupted):
            health.failed(server.id, time.monotonic())

    async def _pass_on(self, head: Head, body: bytes) -> None:
        self._status = head.status
        length = (b"content-length", str(len(body)).encode())
        await self._sink.start(head.status, (*head.headers, length))
        await self._sink.send(body)
        await self._sink.finish()

    @property
    def moved(self) -> bool:
        """Whether the run was stopped on purpose and goes on elsewhere."""
        return self._copy is not None

    def go_on(self) -> None:
        """Notes that a run was moved: it counts as one, wherever it ends."""
        self._ran = max(self._ran, 1)

    def again(self) -> bool:
        """Returns whether one more server may run the request."""
        self._ran += 1
        route = self._call.route
        if route.repeat is Repeat.ONCE or self._ran >= route.max_servers:
            return False
        return self._repeat_allowed()

    def again_unsent(self, why: str) -> bool:
        """Returns whether one more may be tried after one not reached."""
        self._why = why
        self._not_sent += 1
        if not self._ran and not self._not_run:
            self._maybe_ran = False
        return self._not_sent <= MAX_NOT_SENT and not self._ran_its_once

    def again_not_run(self, why: str) -> bool:
        """Returns whether one more may be tried after one that did not run."""
        self._why = why
        self._not_run += 1
        self._maybe_ran = self._ran > 0
        if self._ran_its_once:
            return False
        return self._not_run <= MAX_NOT_RUN and self._repeat_allowed()

    @property
    def _ran_its_once(self) -> bool:
        """Whether it may run once and has.

        So it is with a run that was moved: without its memory no server may
        begin it anew, even if the one that it was moved to has rejected it.
        """
        return self._ran > 0 and self._call.route.repeat is Repeat.ONCE

    def keep(self, failed: Failed) -> None:
        """Keeps a server's failure, to pass on if nothing better comes."""
        self._kept = failed

    def note(self, why: str) -> None:
        """Notes why the last server did not do."""
        self._why = why

    async def give_up(self) -> None:
        """Sends the final answer after the last server has failed."""
        if self._sink.started:
            await self._sink.abort()
        elif self._kept is not None:
            await self._pass_on(self._kept.head, self._kept.body)
        elif self._maybe_ran:
            await self._refuse(502, f"the server failed: {self._why}", None)
        else:
            await self._refuse(
                503, f"no server took it: {self._why}", RETRY_SOON_S
            )

    def _repeat_allowed(self) -> bool:
        if self._kit.budget.spend(self._call.service, time.monotonic()):
            return True
        self._kit.counters.incr("retry.no_budget")
        return False

    async def _no_room(self, exc: NoRoomError) -> None:
        self._why = exc.message
        if self._sink.started or self._maybe_ran or self._kept:
            await self.give_up()
        else:
            await self._refuse(503, exc.message, exc.retry_s)

    async def _time_out(self) -> None:
        self._why = "its time was over"
        if self._sink.started:
            await self._sink.abort()
        elif self._kept is not None:
            await self._pass_on(self._kept.head, self._kept.body)
        elif self._maybe_ran:
            await self._refuse(504, "its time was over", None)
        else:
            await self._refuse(503, "its time was over", RETRY_SOON_S)

    async def _refuse(
        self, status: int, why: str, retry_s: float | None
    ) -> None:
        self._status = status
        self._why = why
        await self._sink.refuse(status, why, retry_s)

    def _log(self, ended: str) -> None:
        now = time.monotonic()
        call = self._call
        good = ended == "done" and self._status == OK and not self._why
        write = self._kit.log.info if good else self._kit.log.trouble
        first_s = self._first_at - call.arrived if self._first_at else None
        total_s = now - call.arrived
        self._kit.counters.incr(f"answer.{self._status or 'none'}")
        self._kit.telemetry.answered(call.rank, first_s, total_s)
        write(
            "request",
            id=call.id,
            route=call.route.name,
            rank=call.rank,
            service=call.service,
            ended=ended,
            status=self._status,
            why=self._why,
            servers=self._tried,
            events=self._events,
            waited_s=round((self._placed_at or now) - call.arrived, 3),
            first_s=None if first_s is None else round(first_s, 3),
            pause_s=round(self._pause_s, 3),
            total_s=round(total_s, 3),
            limit_s=round(call.ends - call.arrived, 3),
            tokens=_tokens_of(call),
            **self._kit.versions(),
        )


def _tokens_of(call: Call) -> list[int | None]:
    if call.prompt is None:
        return []
    prompt = call.prompt
    shared = sum(part.tokens for part in prompt.shared)
    return [
        prompt.tokens,
        shared,
        prompt.max_output,
        prompt.expected_output,
    ]


class _StreamTimer:
    """Measures one stream as its events pass."""

    def __init__(self, kit: Kit, call: Call, seat: Seat):
        self._kit = kit
        self._call = call
        self._seat = seat
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
            self._seat.run.read()
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


@dataclasses.dataclass
class _Done:
    """Set when an exchange is complete and its connection may be kept."""

    head: Head | None = None


@functools.singledispatch
async def next_step(outcome: object, delivery: Delivery) -> bool:
    """Returns whether another server is to be tried after an outcome."""
    raise NotImplementedError(type(outcome))


@next_step.register
async def _(outcome: Delivered, delivery: Delivery) -> bool:
    return False


@next_step.register
async def _(outcome: NotSent, delivery: Delivery) -> bool:
    if delivery.again_unsent(outcome.why):
        return True
    await delivery.give_up()
    return False


@next_step.register
async def _(outcome: NotRun, delivery: Delivery) -> bool:
    if delivery.again_not_run(outcome.why):
        return True
    await delivery.give_up()
    return False


@next_step.register
async def _(outcome: Failed, delivery: Delivery) -> bool:
    delivery.note(f"status {outcome.head.status}")
    delivery.keep(outcome)
    if delivery.again():
        return True
    await delivery.give_up()
    return False


@next_step.register
async def _(outcome: Unknown, delivery: Delivery) -> bool:
    delivery.note(outcome.why)
    if delivery.again():
        return True
    await delivery.give_up()
    return False


@next_step.register
async def _(outcome: Interrupted, delivery: Delivery) -> bool:
    if delivery.moved:
        delivery.go_on()
        return True
    delivery.note(outcome.why)
    if delivery.again():
        return True
    await delivery.give_up()
    return False
