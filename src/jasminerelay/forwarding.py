"""Forwards a request to backend servers until its caller has a final answer."""

import dataclasses
import functools
import time

import anyio

from jasminerelay import fingerprint
from jasminerelay.attempt import OK, Attempt
from jasminerelay.backgroundtasks import BackgroundTasks
from jasminerelay.catalog import BackendServer, Call, RepeatPolicy
from jasminerelay.endings import ending_of
from jasminerelay.endingsteps import EndedBy, Ending, Obstacle, Step
from jasminerelay.errors import CrashingRequestError, NoCapacityError
from jasminerelay.exchange import (
    BrokenOff,
    CallerStalled,
    Delivered,
    Failed,
    Interrupted,
    NotRun,
    NotSent,
    Outcome,
    Replaced,
    ResponseSink,
    Unknown,
)
from jasminerelay.forwardingcontext import ForwardingContext
from jasminerelay.originlookup import FoundOrigin
from jasminerelay.placementqueue import Reservation
from jasminerelay.requestprogress import RequestProgress
from jasminerelay.scheduling.streamorigins import (
    ORIGIN_UNKNOWN,
    SERVICE_CHANGED,
)
from jasminerelay.succession import Run, Search
from jasminerelay.workload import Verdict

MAX_UNSENT_RETRIES = 3
MAX_NOT_RUN_RETRIES = 2
"""Maximum further servers tried after one was unreachable, or reported that it
did not run the request. Such attempts don't count as runs, but each takes time.
"""

GO_ON_INTERVAL_S = 0.3
"""Pause between two tries to go on with an answer that this instance has taken
from its server."""

MAX_SOURCE_TRIES = 3
"""How often a run that was stopped for a move is continued where it was."""

RETRY_AFTER_S = 0.3
"""Retry-After of refusals that are unrelated to load."""


EXCEEDS_MEMORY = (
    "the prompt is larger than the memory of any server of its service, so the"
    " request has not run; send a shorter prompt"
)


class RequestForwarder:
    """Forwards one request until it has its final answer."""

    def __init__(
        self, context: ForwardingContext, call: Call, sink: ResponseSink
    ):
        self._context = context
        self._call = call
        self._sink = sink
        self._progress = RequestProgress(call.last_event_id)
        self._attempt = Attempt(context, call, sink, self._progress)
        self._unsent_attempts = 0
        self._not_run_attempts = 0
        self._source_tries = 0
        self._failure: Failed | None = None
        self._placed_at = 0.0
        self._reason = ""
        self._answer_complete = False
        self._log_fingerprint = False
        self._ending = Ending(EndedBy.INSTANCE, Step.PLACING)
        # Seconds after its arrival, and what the budget had left after it.
        self._retries: list[tuple[float, float]] = []

    async def run(self) -> None:
        """Serves the request; cancelled when the caller disconnects."""
        ended = "caller left"
        try:
            with anyio.move_on_after(
                self._call.answer_deadline - time.monotonic()
            ) as scope:
                self._progress.time_limit = scope
                if await self._bind_to_origin():
                    await self._serve()
            if scope.cancelled_caught:
                await self._handle_timeout()
            ended = "done"
        finally:
            if ended != "done":
                self._ending = self._ending_of_cancelled()
            for hold in self._progress.holds:
                hold.close()
            self._log(ended)

    def _ending_of_cancelled(self) -> Ending:
        if self._sink.caller_left:
            return Ending(EndedBy.CALLER, Step.CALLER_LEFT)
        return Ending(EndedBy.INSTANCE, Step.STOP)

    async def _bind_to_origin(self) -> bool:
        """Binds a stream that is taken up to the servers where it can go on.

        Returns:
            Whether it can; otherwise it was refused.
        """
        call = self._call
        if not call.route.streaming or not call.last_event_id:
            return True
        found = await self._context.origins.find(call)
        self._progress.found_origin = found
        origin = found.origin
        if origin is None:
            await self._refuse(503, ORIGIN_UNKNOWN, RETRY_AFTER_S)
            return False
        if not call.route.serves(origin.service):
            self._context.counters.incr("origin.service_changed")
            await self._refuse(503, SERVICE_CHANGED, None)
            return False
        self._progress.software_version = origin.software_version
        self._call = dataclasses.replace(call, service=origin.service)
        return True

    async def _serve(self) -> None:
        call = self._call
        if self._context.dispatcher.exceeds_memory(call):
            # Counted as demand, or tried at servers, it would cost others.
            self._context.counters.incr("answer.exceeds_memory")
            await self._refuse(503, EXCEEDS_MEMORY, None)
            return
        self._context.dispatcher.record_arrival(call)
        self._context.budget.record_request(call.service, call.arrived_at)
        while True:
            try:
                reservation = await self._reserve_unless_blocked()
            except NoCapacityError as exc:
                if await self.wait_to_go_on(paid=True):
                    continue
                await self._reject_unplaced(exc)
                return
            if reservation is None:
                await self._reject_blocked()
                return
            if not await next_step(await self._run_to_end(reservation), self):
                return

    async def _reserve_unless_blocked(self) -> Reservation | None:
        """Reserves a server; returns None if the request is blocked."""
        crashes = self._context.crashes
        reservation = None
        if not crashes.is_blocked(self._call):
            with crashes.cancel_if_blocked(self._call):
                reservation = await self._reserve()
        return reservation

    async def _run_to_end(self, reservation: Reservation) -> Outcome:
        """Runs the request at a server, and at those that take over from it."""
        with BackgroundTasks() as tasks:
            run = self._new_run(reservation, tasks)
            self._attempt = run.attempt
            await self._run_at(run, reservation)
            while (successor := run.taken_over_by) is not None:
                self._record_replaced(run.outcome)
                await self._record_end(run)
                self._attempt = successor.attempt
                await successor.ended.wait()
                run = successor
            if run.search is not None:
                await run.search.cancel()
            await self._record_end(run)
        return run.outcome

    def _new_run(
        self,
        reservation: Reservation,
        tasks: BackgroundTasks,
        silent: Run | None = None,
    ) -> Run:
        """Returns a run that is about to start.

        Args:
            reservation: Its server.
            tasks: Tasks of the request.
            silent: Run at a silent server that it takes over from.
        """
        attempt = Attempt(
            self._context,
            self._call,
            self._sink,
            self._progress,
            silent.attempt if silent is not None else None,
        )
        run = Run(attempt, reservation.placed.server)
        attempt.on_silent = lambda: self._on_silence(run, tasks)
        return run

    async def _run_at(self, run: Run, reservation: Reservation) -> None:
        try:
            run.outcome = await self._attempt_at(run.attempt, reservation)
        finally:
            run.ended.set()

    def _on_silence(self, run: Run, tasks: BackgroundTasks) -> None:
        """Lets another server be sought, while the run goes on."""
        if run.search is not None and run.search.handover.open:
            return
        self._context.counters.incr("silence.noticed")
        handover = run.attempt.open_handover()
        handover.on_taken = lambda: self._context.counters.incr(
            "silence.taken_over"
        )
        run.search = Search(handover, lambda: self._check_for_crash(run))

        async def ask(search: Search) -> None:
            await self._ask_another(run, search, tasks)

        tasks.start_soon(run.search.run, ask)

    def _record_replaced(self, outcome: Outcome) -> None:
        """Records that a silent server's successor has the request."""
        self._progress.ran += not isinstance(outcome, NotRun)
        if isinstance(outcome, Failed):
            self.keep_answer(outcome)

    async def _ask_another(
        self, silent: Run, search: Search, tasks: BackgroundTasks
    ) -> None:
        """Sends the request of a silent server to another one, if it may be."""
        progress = self._progress
        if (
            silent.attempt.is_moving
            or not progress.may_repeat(self._call.route)
            or not self._context.crashes.may_retry(self._call)
            or not self._context.budget.has_any(
                self._call.service, time.monotonic()
            )
        ):
            return
        try:
            reservation = await self._reserve_unless_blocked()
        except NoCapacityError:
            return
        if reservation is None:
            return
        if (
            reservation.placed.server.id == silent.server.id
            or not search.handover.open
            or not self._spend_retry()
        ):
            reservation.run.end()
            return
        run = search.successor = self._new_run(reservation, tasks, silent)
        try:
            await self._run_at(run, reservation)
        finally:
            if not search.handover.taken:
                search.record_rejection()
                # The silent server has the request, and this one may have.
                progress.maybe_ran = True
                progress.ran += run.attempt.sent and not isinstance(
                    run.outcome, NotRun
                )
        if not search.handover.taken:
            self._context.counters.incr("silence.rejected")
            await self._record_end(run)

    async def _check_for_crash(self, run: Run) -> None:
        """Lets a silent server be probed before its request goes elsewhere."""
        await self._context.crashes.on_connection_lost(
            self._call, run.server, self._events_s
        )

    async def _record_end(self, run: Run) -> None:
        self._record_health(run.server, run.outcome)
        await self._record_crash(run.server, run.outcome)

    async def _reserve(self) -> Reservation:
        copy = self._progress.copy
        if copy is not None:
            return self._context.dispatcher.reserve_at(self._call, copy.at)
        avoid = frozenset(self._progress.tried)
        call = self._progress.bound(self._call)
        return await self._context.queue.reserve_server(call, avoid)

    async def _attempt_at(
        self, attempt: Attempt, reservation: Reservation
    ) -> Outcome:
        self._placed_at = self._placed_at or time.monotonic()
        self._progress.tried.append(reservation.placed.server.id)
        self._progress.owners.append(reservation.owner)
        verdict = None
        try:
            outcome = await attempt.run(reservation)
            verdict = self._verdict(outcome)
            self._ending = ending_of(
                outcome, continued=attempt.copy is not None
            )
            self._log_fingerprint |= isinstance(
                outcome, Unknown | Interrupted | BrokenOff | Replaced
            )
            return outcome
        finally:
            reservation.run.end(verdict, self._progress.output)
            self._context.queue.capacity_freed(self._call.service)

    def _verdict(self, outcome: Outcome) -> Verdict | None:
        if isinstance(outcome, Delivered | Failed):
            return Verdict.GOOD
        if isinstance(outcome, Interrupted) and self.moved:
            return None
        if isinstance(outcome, Interrupted | BrokenOff) and outcome.held_up:
            return None
        if isinstance(outcome, NotSent) and outcome.withheld:
            return None
        if (
            isinstance(outcome, Unknown | Interrupted | BrokenOff)
            and outcome.relay_lost
        ):
            return None
        if isinstance(
            outcome, NotSent | Unknown | Interrupted | BrokenOff | Replaced
        ):
            return Verdict.BAD
        if isinstance(outcome, NotRun) and outcome.overloaded:
            # It rejects at once and appears idle. The owner of its cell, to
            # which it has said nothing, would go on placing requests there.
            return Verdict.BAD
        if isinstance(outcome, NotRun) and outcome.misdirected:
            # The server has restarted under another id, while its old row still
            # exists. It answers at once and appears idle, so it attracted most
            # requests until the row was deleted: 250 within two seconds.
            return Verdict.BAD
        return None

    def _record_health(self, server: BackendServer, outcome: Outcome) -> None:
        health = self._context.dispatcher.health(self._call.service)
        verdict = self._verdict(outcome)
        if verdict is Verdict.GOOD:
            health.succeeded(server.id)
        elif verdict is Verdict.BAD:
            health.failed(server.id, time.monotonic())
            if isinstance(outcome, NotSent | Unknown | Interrupted):
                self._context.crash_notices.on_failure(
                    server,
                    broken=not isinstance(outcome, NotSent) and outcome.broken,
                )
            if isinstance(outcome, NotSent) and outcome.refused:
                # It is reported only once its end is proved.
                self._context.crashes.on_refused(server)

    async def _record_crash(
        self, server: BackendServer, outcome: Outcome
    ) -> None:
        if isinstance(outcome, Delivered | Failed):
            self._context.crashes.record_completion(self._call)
        elif (
            isinstance(outcome, Unknown | Interrupted | BrokenOff)
            and self._verdict(outcome) is Verdict.BAD
            and not self.moved
        ):
            await self._context.crashes.on_connection_lost(
                self._call, server, self._events_s
            )

    @property
    def _events_s(self) -> float:
        """Time since the first event of the stream; 0 before that."""
        first_at = self._progress.first_at
        return time.monotonic() - first_at if first_at else 0.0

    @property
    def moved(self) -> bool:
        """Whether the run was stopped to continue on another server."""
        return self._progress.copy is not None

    def record_move(self) -> None:
        """Counts a moved run, which is one run wherever it ends."""
        self._progress.ran = max(self._progress.ran, 1)
        self._progress.given_away = True

    async def return_to_source(self) -> bool:
        """Returns whether a moved run continues where it was stopped.

        The server that a copy was made for has rejected it, or is not reached.
        The one that made it keeps the run's memory.
        """
        copy = self._attempt.copy
        if copy is None:
            return False
        if copy.at_source:
            self._source_tries += 1
        if self._source_tries >= MAX_SOURCE_TRIES:
            return False
        if self._source_tries:
            await anyio.sleep(GO_ON_INTERVAL_S)
        self._context.counters.incr("stream.returned")
        self._progress.copy = dataclasses.replace(copy, at=copy.source)
        return True

    async def wait_to_go_on(self, *, paid: bool) -> bool:
        """Waits to try again where this instance took a stream from a server.

        Args:
            paid: Whether a retry was taken that reached no server.

        Returns:
            Whether it did; nothing else may end such a stream but its caller
            and its time limit, while it may run again.
        """
        if (
            not self._progress.given_away
            or not self._sink.started
            or self._single_run_used
        ):
            return False
        self._context.counters.incr("stream.waits_to_go_on")
        await anyio.sleep(GO_ON_INTERVAL_S)
        while not paid and not self._spend_retry():
            await anyio.sleep(GO_ON_INTERVAL_S)
        return True

    def retry_after_run(self) -> bool:
        """Counts a run; returns whether another server may run the request."""
        allowed = self._progress.may_repeat(self._call.route)
        self._progress.ran += 1
        if allowed and not self._context.crashes.may_retry(self._call):
            self._context.counters.incr("crash.not_repeated")
            self._record_obstacle(Obstacle.CRASHES)
            return False
        if not allowed:
            self._record_obstacle(Obstacle.RUNS_ONCE)
        return allowed and self._spend_retry()

    def retry_unsent(self, why: str) -> bool:
        """Returns whether to try another server after an unreachable one."""
        self._unsent_attempts += 1
        if self._tries_used(why, self._unsent_attempts > MAX_UNSENT_RETRIES):
            return False
        return not self.starts_anew or self._spend_retry()

    @property
    def starts_anew(self) -> bool:
        """Whether the next server runs a moved request without its copy."""
        return self._attempt.copy is not None

    def retry_not_run(self, why: str) -> bool:
        """Returns whether to try another server after one did not run it."""
        self._not_run_attempts += 1
        if self._tries_used(why, self._not_run_attempts > MAX_NOT_RUN_RETRIES):
            return False
        return self._spend_retry()

    def _tries_used(self, why: str, too_many: bool) -> bool:
        """Notes an attempt that did not run; returns whether it was the last.

        Args:
            why: Why it did not run.
            too_many: Whether there were too many of its kind.
        """
        self._reason = why
        self._progress.maybe_ran = self._progress.ran > 0
        if self._single_run_used:
            self._record_obstacle(Obstacle.RUNS_ONCE)
            return True
        if too_many:
            self._record_obstacle(Obstacle.TRIES)
        return too_many

    @property
    def _single_run_used(self) -> bool:
        """Whether the request may run only once and has run.

        This includes a moved run: without its KV cache no server may restart
        it, even if the server that it was moved to has rejected it.
        """
        return (
            self._progress.ran > 0
            and self._call.route.repeat_policy is RepeatPolicy.ONCE
        )

    def keep_answer(self, failed: Failed) -> None:
        """Keeps a server's error, to send if no later attempt succeeds."""
        self._failure = failed

    def record_delivered(self, delivered: Delivered) -> None:
        """Records that the caller has a server's complete answer."""
        self._answer_complete = delivered.status == OK

    def note(self, why: str) -> None:
        """Records why the latest attempt failed."""
        self._reason = why

    async def give_up(self) -> None:
        """Sends the final answer after the last attempt has failed."""
        if self._sink.started:
            await self._sink.abort()
        elif self._failure is not None:
            await self._attempt.send_answer(
                self._failure.head, self._failure.body
            )
        elif self._progress.maybe_ran:
            await self._refuse(
                502, f"the backend server failed: {self._reason}", None
            )
        else:
            pause_s = self._context.dispatcher.pause_s(self._call.service)
            await self._refuse(
                503,
                f"no server accepted the request: {self._reason}",
                max(pause_s, RETRY_AFTER_S),
            )

    def _spend_retry(self) -> bool:
        budget, service = self._context.budget, self._call.service
        now = time.monotonic()
        if budget.spend(service, now):
            left = budget.available(service, now)
            self._retries.append(
                (round(now - self._call.arrived_at, 3), round(left, 1))
            )
            return True
        self._context.counters.incr("retry.no_budget")
        self._record_obstacle(Obstacle.RETRY_BUDGET)
        return False

    def _record_obstacle(self, obstacle: Obstacle) -> None:
        self._ending = dataclasses.replace(self._ending, obstacle=obstacle)

    async def _reject_unplaced(self, exc: NoCapacityError) -> None:
        self._reason = exc.message
        self._record_obstacle(Obstacle.NO_CAPACITY)
        if self._sink.started or self._progress.maybe_ran or self._failure:
            await self.give_up()
        else:
            await self._refuse(503, exc.message, exc.retry_s)

    async def _reject_blocked(self) -> None:
        self._context.counters.incr("crash.refused")
        self._ending = Ending(EndedBy.INSTANCE, Step.BLOCKED, Obstacle.CRASHES)
        self._log_fingerprint = True
        exc = CrashingRequestError(
            "backend servers crash while running this request; it was not run"
        )
        if self._progress.maybe_ran or self._sink.started:
            self._reason = exc.message
            await self.give_up()
        else:
            await self._refuse(exc.status, exc.message, None)

    async def _handle_timeout(self) -> None:
        self._reason = "the request's time was over"
        self._ending = Ending(EndedBy.INSTANCE, Step.TIME_LIMIT)
        if self._sink.started:
            await self._sink.abort()
        elif self._failure is not None:
            await self._attempt.send_answer(
                self._failure.head, self._failure.body
            )
        elif self._progress.maybe_ran:
            await self._refuse(504, "the request's time was over", None)
        else:
            await self._refuse(
                503, "the request's time was over", RETRY_AFTER_S
            )

    async def _refuse(
        self, status: int, why: str, retry_s: float | None
    ) -> None:
        self._progress.status = status
        self._reason = why
        await self._sink.refuse(status, why, retry_s)

    def _log(self, ended: str) -> None:
        now = time.monotonic()
        call = self._call
        progress = self._progress
        good = self._answer_complete and not self._reason
        write = self._context.log.info if good else self._context.log.warn
        first_s = None
        if progress.first_at:
            first_s = round(progress.first_at - call.arrived_at, 3)
        total_s = round(now - call.arrived_at, 3)
        self._context.counters.incr(f"answer.{progress.status or 'none'}")
        if self._sink.started and not self._answer_complete:
            step = self._ending.step.replace(" ", "_")
            self._context.counters.incr(f"answer.cut.{step}")
        if call.last_event_id:
            self._context.counters.incr("stream.taken_up")
            if progress.events:
                self._context.counters.incr("stream.taken_up_went_on")
        if len(set(progress.versions)) > 1:
            self._context.counters.incr("stream.versions_mixed")
        self._context.telemetry.record_latencies(call.rank, first_s, total_s)
        write(
            "request",
            id=call.id,
            route=call.route.name,
            rank=call.rank,
            service=call.service,
            ended=ended,
            **self._ending.log_fields(),
            status=progress.status,
            whole=self._answer_complete,
            why=self._reason,
            servers=progress.tried,
            versions=progress.versions,
            resumes=call.first_attempt,
            after=call.last_event_id,
            **_origin_fields(progress.found_origin),
            bound_to=progress.software_version,
            owners=progress.owners,
            retries=self._retries,
            framings=progress.framings,
            relays=progress.relays,
            events=progress.events,
            waited_s=round((self._placed_at or now) - call.arrived_at, 3),
            first_s=first_s,
            pause_s=round(progress.pause_s, 3),
            total_s=total_s,
            limit_s=round(call.answer_deadline - call.arrived_at, 3),
            tokens=_token_counts(call),
            fingerprint=fingerprint.of(call) if self._log_fingerprint else "",
            **self._context.versions(),
        )


def _origin_fields(found: FoundOrigin | None) -> dict[str, object]:
    if found is None:
        return {"origin": ""}
    return {
        "origin": found.source,
        "origin_answers": found.answered_by,
        "origin_versions": found.seen,
        "origin_proved_by": found.proved_by,
    }


def _token_counts(call: Call) -> list[int | None]:
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
async def next_step(outcome: object, forwarder: RequestForwarder) -> bool:
    """Returns whether to try another server after an outcome."""
    raise NotImplementedError(type(outcome))


@next_step.register
async def _(outcome: Delivered, forwarder: RequestForwarder) -> bool:
    forwarder.record_delivered(outcome)
    return False


@next_step.register
async def _(outcome: NotSent, forwarder: RequestForwarder) -> bool:
    if (
        await forwarder.return_to_source()
        or forwarder.retry_unsent(outcome.why)
        or await forwarder.wait_to_go_on(paid=not forwarder.starts_anew)
    ):
        return True
    await forwarder.give_up()
    return False


@next_step.register
async def _(outcome: NotRun, forwarder: RequestForwarder) -> bool:
    if (
        await forwarder.return_to_source()
        or forwarder.retry_not_run(outcome.why)
        or await forwarder.wait_to_go_on(paid=False)
    ):
        return True
    await forwarder.give_up()
    return False


@next_step.register
async def _(outcome: Failed, forwarder: RequestForwarder) -> bool:
    forwarder.note(f"status {outcome.head.status}")
    forwarder.keep_answer(outcome)
    if forwarder.retry_after_run():
        return True
    await forwarder.give_up()
    return False


@next_step.register
async def _(outcome: Unknown, forwarder: RequestForwarder) -> bool:
    forwarder.note(outcome.why)
    if forwarder.retry_after_run():
        return True
    await forwarder.give_up()
    return False


@next_step.register
async def _(outcome: Interrupted, forwarder: RequestForwarder) -> bool:
    if forwarder.moved:
        forwarder.record_move()
        return True
    forwarder.note(outcome.why)
    if forwarder.retry_after_run():
        return True
    await forwarder.give_up()
    return False


@next_step.register
async def _(outcome: BrokenOff, forwarder: RequestForwarder) -> bool:
    # The caller has a part of the answer, which no other server continues.
    forwarder.note(outcome.why)
    await forwarder.give_up()
    return False


@next_step.register
async def _(outcome: CallerStalled, forwarder: RequestForwarder) -> bool:
    forwarder.note(outcome.why)
    await forwarder.give_up()
    return False
