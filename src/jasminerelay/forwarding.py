"""Carries a request to backend servers until its caller has a final answer."""

import functools
import time

import anyio

from jasminerelay import fingerprint
from jasminerelay.attempt import OK, Attempt, Kit, Progress
from jasminerelay.catalog import BackendServer, Call, Repeat
from jasminerelay.errors import CrashingRequestError, NoRoomError
from jasminerelay.exchange import (
    Delivered,
    Failed,
    Interrupted,
    NotRun,
    NotSent,
    Outcome,
    Sink,
    Unknown,
)
from jasminerelay.waitingroom import Seat
from jasminerelay.workload import Verdict

MAX_NOT_SENT = 3
MAX_NOT_RUN = 2
"""Further servers that are tried after one could not be reached, or said that
it did not run the request. Neither is a run, but each takes time."""

RETRY_SOON_S = 0.3
"""When to come back after a refusal that has nothing to do with load."""


class Delivery:
    """One request on its way to its final answer."""

    def __init__(self, kit: Kit, call: Call, sink: Sink):
        self._kit = kit
        self._call = call
        self._sink = sink
        self._progress = Progress(call.last_event)
        self._attempt = Attempt(kit, call, sink, self._progress)
        self._not_sent = 0
        self._not_run = 0
        self._kept: Failed | None = None
        self._placed_at = 0.0
        self._why = ""
        self._whole = False
        self._lost_run = False

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
        crashes = self._kit.crashes
        while True:
            seat = None
            try:
                if not crashes.blocks(self._call):
                    with crashes.unless_blocked(self._call):
                        seat = await self._seat()
            except NoRoomError as exc:
                await self._no_room(exc)
                return
            if seat is None:
                await self._blocked()
                return
            outcome = await self._try(seat)
            self._note_health(seat.placed.server, outcome)
            await self._note_crash(seat.placed.server, outcome)
            if not await next_step(outcome, self):
                return

    async def _seat(self) -> Seat:
        copy = self._progress.copy
        if copy is not None:
            return self._kit.dispatcher.seat_at(self._call, copy.at)
        avoid = frozenset(self._progress.tried)
        return await self._kit.room.enter(self._call, avoid)

    async def _try(self, seat: Seat) -> Outcome:
        self._placed_at = self._placed_at or time.monotonic()
        self._progress.tried.append(seat.placed.server.id)
        self._progress.owners.append(seat.owner)
        verdict = None
        try:
            outcome = await self._attempt.run(seat)
            verdict = self._verdict(outcome)
            self._lost_run |= isinstance(outcome, Unknown | Interrupted)
            return outcome
        finally:
            seat.run.end(verdict, self._progress.output)
            self._kit.room.freed(self._call.service)

    def _verdict(self, outcome: Outcome) -> Verdict | None:
        if isinstance(outcome, Delivered | Failed):
            return Verdict.GOOD
        if isinstance(outcome, Interrupted) and self.moved:
            return None
        if isinstance(outcome, NotSent | Unknown | Interrupted):
            return Verdict.BAD
        if isinstance(outcome, NotRun) and outcome.misdirected:
            # The server has started again as another one, and its old row is
            # still there. It answers at once and looks idle, so it drew most
            # of what came until the row was gone: 250 requests in two seconds.
            return Verdict.BAD
        return None

    def _note_health(self, server: BackendServer, outcome: Outcome) -> None:
        health = self._kit.dispatcher.health(self._call.service)
        verdict = self._verdict(outcome)
        if verdict is Verdict.GOOD:
            health.succeeded(server.id)
        elif verdict is Verdict.BAD:
            health.failed(server.id, time.monotonic())

    async def _note_crash(
        self, server: BackendServer, outcome: Outcome
    ) -> None:
        if isinstance(outcome, Delivered | Failed):
            self._kit.crashes.survived(self._call)
        elif isinstance(outcome, Unknown | Interrupted) and not self.moved:
            await self._kit.crashes.lost(self._call, server)

    @property
    def moved(self) -> bool:
        """Whether the run was stopped on purpose and goes on elsewhere."""
        return self._progress.copy is not None

    def go_on(self) -> None:
        """Notes that a run was moved: it counts as one, wherever it ends."""
        self._progress.ran = max(self._progress.ran, 1)

    def again(self) -> bool:
        """Returns whether one more server may run the request."""
        allowed = self._progress.may_repeat(self._call.route)
        self._progress.ran += 1
        if allowed and not self._kit.crashes.repeats(self._call):
            self._kit.counters.incr("crash.not_repeated")
            return False
        return allowed and self._repeat_allowed()

    def again_unsent(self, why: str) -> bool:
        """Returns whether one more may be tried after one not reached."""
        self._why = why
        self._not_sent += 1
        self._progress.maybe_ran = self._progress.ran > 0
        return self._not_sent <= MAX_NOT_SENT and not self._ran_its_once

    def again_not_run(self, why: str) -> bool:
        """Returns whether one more may be tried after one that did not run."""
        self._why = why
        self._not_run += 1
        self._progress.maybe_ran = self._progress.ran > 0
        if self._ran_its_once:
            return False
        return self._not_run <= MAX_NOT_RUN and self._repeat_allowed()

    @property
    def _ran_its_once(self) -> bool:
        """Whether it may run once and has.

        So it is with a run that was moved: without its memory no server may
        begin it anew, even if the one that it was moved to has rejected it.
        """
        return self._progress.ran > 0 and self._call.route.repeat is Repeat.ONCE

    def keep(self, failed: Failed) -> None:
        """Keeps a server's failure, to pass on if nothing better comes."""
        self._kept = failed

    def finished(self, delivered: Delivered) -> None:
        """Notes that its caller has the whole answer of a server."""
        self._whole = delivered.status == OK

    def note(self, why: str) -> None:
        """Notes why the last server did not do."""
        self._why = why

    async def give_up(self) -> None:
        """Sends the final answer after the last server has failed."""
        if self._sink.started:
            await self._sink.abort()
        elif self._kept is not None:
            await self._attempt.pass_on(self._kept.head, self._kept.body)
        elif self._progress.maybe_ran:
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
        if self._sink.started or self._progress.maybe_ran or self._kept:
            await self.give_up()
        else:
            await self._refuse(503, exc.message, exc.retry_s)

    async def _blocked(self) -> None:
        self._kit.counters.incr("crash.refused")
        self._lost_run = True
        exc = CrashingRequestError(
            "servers end while they run this request; it was not run"
        )
        if self._progress.maybe_ran or self._sink.started:
            self._why = exc.message
            await self.give_up()
        else:
            await self._refuse(exc.status, exc.message, None)

    async def _time_out(self) -> None:
        self._why = "its time was over"
        if self._sink.started:
            await self._sink.abort()
        elif self._kept is not None:
            await self._attempt.pass_on(self._kept.head, self._kept.body)
        elif self._progress.maybe_ran:
            await self._refuse(504, "its time was over", None)
        else:
            await self._refuse(503, "its time was over", RETRY_SOON_S)

    async def _refuse(
        self, status: int, why: str, retry_s: float | None
    ) -> None:
        self._progress.status = status
        self._why = why
        await self._sink.refuse(status, why, retry_s)

    def _log(self, ended: str) -> None:
        now = time.monotonic()
        call = self._call
        progress = self._progress
        good = self._whole and not self._why
        write = self._kit.log.info if good else self._kit.log.trouble
        first_s = None
        if progress.first_at:
            first_s = round(progress.first_at - call.arrived, 3)
        total_s = round(now - call.arrived, 3)
        self._kit.counters.incr(f"answer.{progress.status or 'none'}")
        self._kit.telemetry.answered(call.rank, first_s, total_s)
        write(
            "request",
            id=call.id,
            route=call.route.name,
            rank=call.rank,
            service=call.service,
            ended=ended,
            status=progress.status,
            whole=self._whole,
            why=self._why,
            servers=progress.tried,
            owners=progress.owners,
            events=progress.events,
            waited_s=round((self._placed_at or now) - call.arrived, 3),
            first_s=first_s,
            pause_s=round(progress.pause_s, 3),
            total_s=total_s,
            limit_s=round(call.ends - call.arrived, 3),
            tokens=_tokens_of(call),
            fingerprint=fingerprint.of(call) if self._lost_run else "",
            **self._kit.versions(),
        )


def _tokens_of(call: Call) -> list[int | None]:
    if call.prompt is None:
        return []
    prompt = call.prompt
    return [
        prompt.tokens,
        prompt.shared_tokens,
        prompt.max_output,
        prompt.expected_output,
    ]


@functools.singledispatch
async def next_step(outcome: object, delivery: Delivery) -> bool:
    """Returns whether another server is to be tried after an outcome."""
    raise NotImplementedError(type(outcome))


@next_step.register
async def _(outcome: Delivered, delivery: Delivery) -> bool:
    delivery.finished(outcome)
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
