"""Serves one model request, from the permit to the last token."""

import secrets
import time
import uuid
from collections.abc import AsyncIterator
from contextlib import aclosing
from typing import Any

import anyio
import msgspec

from jasminerelay import burn, foreignbytes
from jasminerelay.answercontext import AnswerContext, AnswerEvent, RequestPolicy
from jasminerelay.backends import (
    CANCEL_TIMEOUT_S,
    AttemptError,
    Chunk,
    EngineAttempt,
    ExecutionStatus,
)
from jasminerelay.errors import (
    RAN_UNKNOWN,
    RAN_YES,
    BackendError,
    BadRequestError,
    ForeignDataError,
    InvariantError,
    NoCapacityError,
    NotFoundError,
    RateLimitError,
    RelayError,
)
from jasminerelay.manifest import Cell
from jasminerelay.modelrequests import CHAT_PATH, TEXT_PATH, ModelRequest
from jasminerelay.nextplace import NextPlace, Place
from jasminerelay.outcome import Outcome, State
from jasminerelay.prefix import block_hashes
from jasminerelay.resume import ResumePoint
from jasminerelay.schema.manifest import Pool, Server
from jasminerelay.schema.messages import (
    PermitGrant,
    PermitRefusal,
    PermitRelease,
    PermitRequest,
)

MAX_RESUMES = 3
"""Resumes in a row that brought no token."""

MAX_ATTEMPTS = 5
MAX_PREEMPTIONS = 10
DISPLACED_MAX_WAIT_S = 600.0
"""For how long at least an answer that we took away looks for a place."""

DISPLACED_RETRY_S = 0.25
"""Minimum pause between two tries of such an answer to go on."""

DISPLACED_MAX_PAUSE_S = 1.0

MAX_SILENCE_S = 60.0
"""Silence after which a server counts as lost even if no other may go on."""

RESUME_PAUSE_S = 0.05
ID_BYTES = 12
DIGEST_CHARS = 16
"""Length of the request digest's prefix in the signed resume point."""

_FINISH_REASONS = frozenset(
    ("stop", "length", "tool_calls", "function_call", "content_filter")
)
"""Finish reasons of a complete answer. An engine may give another one for a
cancelled attempt."""

WASTE_REDONE = "redone"
WASTE_DROPPED = "dropped"
WASTE_CANCELLED = "cancelled"


class Answer:
    """The answer to one model request.

    Attributes:
        outcome: State machine of the request.
    """

    def __init__(
        self,
        context: AnswerContext,
        request: ModelRequest,
        placement: RequestPolicy,
    ):
        self._context = context
        self._request = request
        self._placement = placement
        self._id = f"{_id_prefix(request.path)}-{_new_id()}"
        self._arrived = time.monotonic()
        self._created = int(time.time())
        self._estimate_key = (
            f"{placement.service_class.name}/{request.body['model']}"
        )
        self._text = ""
        self._delivered_tokens = 0
        self._prompt_tokens = 0
        self._first_token_s = 0.0
        self._last_token_at = 0.0
        self._wasted_tokens: dict[str, int] = {}
        self._tokens_taken = 0.0
        self._finished = False
        self._preemptions = 0
        self._preempted_on = ""
        self._displaced_until = 0.0
        self._avoid: list[str] = []
        self._failures = 0
        self._resumes_left = 0
        self._leaving = False
        self._heard_at = 0.0
        self._next_place = NextPlace(
            context.permit_client, context.retries, context.spawn
        )
        self._software_version = ""
        self._cancelled_attempt = ""
        self.outcome = Outcome(self._id)

    async def events(self) -> AsyncIterator[AnswerEvent]:
        """Yields the answer event by event.

        Raises:
            RelayError: if the request fails before the answer is complete.
        """
        try:
            await self._take_rate_limit_tokens()
            async with aclosing(self._attempt_events()) as events:
                async for event in events:
                    yield event
            self._record_completion()
        except InvariantError as exc:
            self._context.invariants.report(exc)
            raise
        except RelayError as exc:
            self._record_error(exc)
            raise
        finally:
            self._next_place.withdraw()
            if self._tokens_taken:
                self._context.permit_client.settle(
                    self._placement.organisation,
                    self._tokens_taken,
                    self._delivered_tokens,
                )
            if not self.outcome.final:
                self._record_disconnect()

    async def _take_rate_limit_tokens(self) -> None:
        work = self._estimated_tokens()
        loan = await self._context.permit_client.take_tokens(
            self._placement.organisation, work
        )
        if loan is not None:
            raise RateLimitError(
                f"organisation {self._placement.organisation.name!r} has"
                " reached its rate limit in tokens per second",
                retry_s=loan.retry_s,
            )
        self._tokens_taken = work

    async def _attempt_events(self) -> AsyncIterator[AnswerEvent]:
        while True:
            permit_request, server = await self._acquire_place()
            attempt = self._new_attempt(server)
            self.outcome.dispatched()
            tokens_before = self._delivered_tokens
            if not tokens_before:
                self._software_version = server.software_version
            error: AttemptError | None = None
            late_events: list[AnswerEvent] = []
            try:
                chunks = self._context.engines.run(attempt)
                stream = self._events_with_resumes(
                    attempt, chunks, tokens_before
                )
                async with aclosing(stream) as events:
                    async for event in events:
                        yield event
                        if self._check_preempted(permit_request, server):
                            late_events = await self._cancel(attempt, events)
                            break
                    else:
                        self._finished = True
            except AttemptError as exc:
                error = exc
            finally:
                new_tokens = self._delivered_tokens - tokens_before
                # A leaving server is not faulty; a failure backoff could
                # outlast its return.
                failed = error is not None and not error.leaving
                self._release(permit_request, new_tokens, failed=failed)
                if not self._finished and self._cancelled_attempt != attempt.id:
                    # The caller has disconnected, or another engine continues
                    # the answer. Without a cancellation this engine would go
                    # on computing an answer that is not used.
                    self._context.spawn(
                        self._context.engines.cancel, server, attempt.id
                    )
            for event in late_events:
                yield event
            if self._finished:
                return
            if error is None:
                self._displace()
            if error is not None:
                await self._handle_failure(error)
                self._avoid.append(server.name)
            if self._delivered_tokens >= self._token_limit:
                # Only the end of the stream is missing, and engines reject a
                # request for zero tokens.
                yield self._length_limit_event()
                return

    async def _cancel(
        self, attempt: EngineAttempt, events: AsyncIterator[AnswerEvent]
    ) -> list[AnswerEvent]:
        """Cancels a preempted attempt; returns the events that still arrive.

        The engine computes until the cancellation arrives. Tokens of that time
        are kept, as the next attempt would have to compute them again. They
        are returned, not yielded: the permit is released when the stream has
        ended, also if the caller reads slowly.
        """
        self._cancelled_attempt = attempt.id
        self._context.spawn(
            self._context.engines.cancel, attempt.server, attempt.id
        )
        late_events: list[AnswerEvent] = []
        with anyio.move_on_after(CANCEL_TIMEOUT_S):
            try:
                async for event in events:
                    self._ignore_end_by_cancellation(event)
                    late_events.append(event)
            except AttemptError:
                # A cancelled stream ends without [DONE].
                return late_events
        return late_events

    def _ignore_end_by_cancellation(self, event: AnswerEvent) -> None:
        """Removes a finish reason that states that the attempt was cancelled.

        Otherwise the answer would look complete.
        """
        for choice in event.data.get("choices") or []:
            reason = choice.get("finish_reason")
            if reason and reason not in _FINISH_REASONS:
                choice["finish_reason"] = None
                self._finished = False

    async def _acquire_place(self) -> Place:
        self.outcome.waiting()
        place = self._next_place.take()
        if place is not None:
            return place
        while True:
            permit_request = self._new_permit_request(self._avoid)
            result = await self._context.permit_client.acquire(permit_request)
            if isinstance(result, PermitGrant):
                server = self._context.permit_client.server(result)
                return permit_request, server
            if not self._displaced:
                raise self._refusal_error(result)
            await anyio.sleep(
                min(
                    max(result.retry_s, DISPLACED_RETRY_S),
                    DISPLACED_MAX_PAUSE_S,
                )
            )

    async def _events_with_resumes(
        self,
        attempt: EngineAttempt,
        chunks: AsyncIterator[Chunk],
        base_tokens: int,
    ) -> AsyncIterator[AnswerEvent]:
        """Yields an attempt's events, resuming the stream when it breaks.

        Args:
            attempt: The attempt.
            chunks: Chunks of its stream, from the start or from a resume.
            base_tokens: Tokens delivered to the caller before the attempt.
        """
        resume_token = self._resume_token(attempt, base_tokens)
        max_resumes = MAX_RESUMES if attempt.server.resume else 0
        self._resumes_left = max_resumes
        self._leaving = False
        self._heard_at = time.monotonic()
        while True:
            tokens_before = self._delivered_tokens
            try:
                async with aclosing(chunks) as frames:
                    async for chunk in frames:
                        event = self._event_of(chunk, base_tokens, resume_token)
                        if event is not None:
                            yield event
                return
            except AttemptError as exc:
                if self._delivered_tokens > tokens_before:
                    self._resumes_left = max_resumes
                can_resume = (
                    self._resumes_left > 0
                    and self._cancelled_attempt != attempt.id
                    and exc.execution_status is ExecutionStatus.MAY_HAVE_RUN
                )
                if not can_resume:
                    raise
                self._context.counters.incr("stream.resumed")
                number = max_resumes - self._resumes_left
                self._resumes_left -= 1
                await anyio.sleep(RESUME_PAUSE_S * 2**number)
                chunks = self._context.engines.resume(
                    attempt, self._delivered_tokens - base_tokens
                )

    def _event_of(
        self, chunk: Chunk, base_tokens: int, resume_token: str
    ) -> AnswerEvent | None:
        self._heard_at = time.monotonic()
        if not self._leaving:
            self._next_place.withdraw()
        data = chunk.data
        usage = data.get("usage")
        choices = data.get("choices") or []
        if usage and not self._prompt_tokens:
            self._prompt_tokens = usage.get("prompt_tokens", 0) - base_tokens
        if not choices:
            if not usage:
                return None
            return AnswerEvent(self._usage_frame(), "", usage_only=True)
        text = _choice_text(choices[0])
        offset = base_tokens + chunk.offset
        if text and offset <= self._delivered_tokens:
            # A late or duplicate frame, already delivered to the caller.
            self._context.counters.incr("stream.duplicate_frames")
            return None
        if text:
            self._on_token(offset)
            self._text += text
        if choices[0].get("finish_reason"):
            self._finished = True
        data["id"] = self._id
        data["created"] = self._created
        data.pop("usage", None)
        return AnswerEvent(data, f"{resume_token}:{self._delivered_tokens}")

    def _on_token(self, offset: int) -> None:
        self.outcome.streaming()
        now = time.monotonic()
        if not self._first_token_s:
            self._first_token_s = now - self._arrived
        self._last_token_at = now
        self._delivered_tokens = offset
        if not self._leaving:
            self._displaced_until = 0.0

    @property
    def _displaced(self) -> bool:
        """Whether it was taken from its engine and goes on nowhere yet.

        Its engine would have completed it, so it isn't ended for want of a
        place or a retry until its time is over.
        """
        return time.monotonic() < self._displaced_until

    def _displace(self) -> None:
        max_wait_s = max(
            self._placement.service_class.max_wait_s, DISPLACED_MAX_WAIT_S
        )
        self._displaced_until = time.monotonic() + max_wait_s

    def _check_preempted(
        self, permit_request: PermitRequest, server: Server
    ) -> bool:
        """Returns whether the permit was revoked; records the preemption.

        The engine's prefix cache still holds the prompt and the computed
        tokens, so continuing on the same server later costs little.
        """
        if self._finished or not self._context.permit_client.is_revoked(
            permit_request.ask_id
        ):
            return False
        self._context.counters.incr("permit.made_way")
        self._preemptions += 1
        self._preempted_on = server.name
        return True

    def _stays(self, server: Server) -> bool:
        """Returns whether the answer waits on for a silent server.

        It leaves the server only once it may go on elsewhere.
        """
        if self._resumes_left:
            return False
        if time.monotonic() - self._heard_at > MAX_SILENCE_S:
            return False
        if not self._next_place.ready(lambda: self._request_elsewhere(server)):
            return True
        self._leaving = True
        self._displace()
        return False

    def _request_elsewhere(self, server: Server) -> PermitRequest | None:
        """Returns a permit request for other servers; None if there is none."""
        if self._failures + 1 >= MAX_ATTEMPTS:
            return None
        try:
            request = self._new_permit_request([*self._avoid, server.name])
        except RelayError:
            return None
        return request if server.name in request.avoid else None

    async def _handle_failure(self, error: AttemptError) -> None:
        """Returns once the request may be retried, else raises."""
        self._context.counters.incr(f"attempt.{error.execution_status.value}")
        if error.execution_status is ExecutionStatus.NOT_RUN:
            self.outcome.refused()
        accepted_before = self._delivered_tokens > 0 or self._displaced
        if error.rejection is not None and not accepted_before:
            raise _rejection_error(error)
        if not self._displaced:
            self._failures += 1
        may_retry = self._next_place.held
        if not may_retry:
            self._next_place.withdraw()
        while not may_retry:
            if self._displaced:
                await anyio.sleep(DISPLACED_RETRY_S)
            may_retry = self._context.retries.spend()
            if not self._displaced:
                break
        if self._failures >= MAX_ATTEMPTS or not may_retry:
            self._context.counters.incr("retry.exhausted")
            raise self._retries_exhausted_error(error)
        if self._delivered_tokens:
            # The next engine has to prefill the prompt and these tokens again.
            self._count_wasted(WASTE_REDONE, self._delivered_tokens)

    def _retries_exhausted_error(self, error: AttemptError) -> RelayError:
        if not self.outcome.may_have_run:
            return NoCapacityError(
                f"no backend server accepted the request: {error}", retry_s=1.0
            )
        ran = RAN_YES if self._delivered_tokens else RAN_UNKNOWN
        return BackendError(
            f"the backend server failed and retries are exhausted: {error}",
            ran=ran,
            retry_s=1.0,
        )

    def _record_completion(self) -> None:
        self.outcome.completed()
        self._context.retries.succeeded()
        self._context.estimator.observe(
            self._estimate_key, self._delivered_tokens
        )
        cls = self._placement.service_class
        latency = self._first_token_s
        if cls.measure == "complete":
            latency = time.monotonic() - self._arrived
        latency += self._placement.waited_s
        self._record(burn.ENDED_COMPLETED, latency <= cls.target_s, latency)

    def _record_error(self, exc: RelayError) -> None:
        if self.outcome.state is State.ACCEPTED:
            self.outcome.not_run()
        elif self.outcome.may_have_run or self._delivered_tokens:
            if exc.ran == RAN_UNKNOWN:
                self.outcome.unknown()
            else:
                self.outcome.failed()
        else:
            self.outcome.not_run()
        if isinstance(exc, RateLimitError):
            self._context.counters.incr("limit.refused")
            return
        if self.outcome.state is State.NOT_RUN:
            # Errors caused by the caller do not count against the target.
            if exc.status >= 500:
                self._record(burn.ENDED_REFUSED, False, 0.0)
            return
        self._count_wasted(WASTE_DROPPED, self._delivered_tokens)
        ended = burn.ENDED_FAILED
        if self.outcome.state is State.UNKNOWN:
            ended = burn.ENDED_UNKNOWN
        self._record(ended, False, 0.0)

    def _record_disconnect(self) -> None:
        self._context.counters.incr("caller.gone")
        if self._delivered_tokens:
            self._count_wasted(WASTE_CANCELLED, self._delivered_tokens)
        waited = time.monotonic() - self._arrived
        cls = self._placement.service_class
        if self._first_token_s or waited > cls.target_s:
            met = 0 < self._first_token_s <= cls.target_s
            self._record(burn.ENDED_FAILED, met, self._first_token_s)

    def _record(self, ended: str, met: bool, latency_s: float) -> None:
        useful = self._delivered_tokens if ended == burn.ENDED_COMPLETED else 0
        sample = burn.Sample(
            self._placement.service_class.name,
            ended,
            met,
            latency_s,
            useful,
            self._wasted_tokens,
        )
        self._context.burn_recorder.add(sample, time.monotonic())
        self._context.counters.incr(f"request.{ended}")
        self._context.counters.incr("tokens.useful", useful)
        self._context.counters.incr(
            "tokens.wasted", sum(self._wasted_tokens.values())
        )

    def _count_wasted(self, cause: str, tokens: int) -> None:
        if tokens:
            self._wasted_tokens[cause] = (
                self._wasted_tokens.get(cause, 0) + tokens
            )

    def _refusal_error(self, refusal: PermitRefusal) -> RelayError:
        if self._delivered_tokens:
            return BackendError(
                "no backend server has capacity to go on with the answer",
                ran=RAN_YES,
                retry_s=refusal.retry_s,
            )
        if self.outcome.may_have_run:
            return BackendError(
                "the backend server failed and no other has capacity",
                ran=RAN_UNKNOWN,
                retry_s=refusal.retry_s,
            )
        waited = time.monotonic() - self._arrived + self._placement.waited_s
        ticket = self._context.signer.ticket(
            self._placement.organisation.name,
            self._placement.kind.name,
            time.time() - waited,
        )
        return NoCapacityError(
            f"no backend server slot was granted: {refusal.reason}",
            retry_s=refusal.retry_s,
            ticket=ticket,
        )

    def _new_permit_request(self, avoid: list[str]) -> PermitRequest:
        cls = self._placement.service_class
        prefixes = block_hashes(self._request.prompt)
        organisation = self._placement.organisation
        cell = self._context.permit_client.choose_cell(
            self._pool(),
            organisation.name,
            prefixes,
            self._can_continue_at,
        )
        waited = time.monotonic() - self._arrived
        # A request that has run has already used engine time. A refusal would
        # waste that, so it keeps the full maximum wait.
        max_wait = (
            cls.max_wait_s
            if self._delivered_tokens or self.outcome.may_have_run
            else cls.max_wait_s - waited
        )
        if self._displaced:
            max_wait = self._displaced_until - time.monotonic()
        return PermitRequest(
            uuid.uuid4().hex,
            cell.name,
            cls.rank,
            organisation.name,
            organisation.weight,
            max(1.0, self._estimated_tokens() - self._delivered_tokens),
            waited + self._placement.waited_s,
            max(0.0, max_wait),
            cls.target_s,
            cls.floor_share,
            cls.leave_free,
            cls.protected,
            self._delivered_tokens > 0,
            cls.preemptible and self._preemptions < MAX_PREEMPTIONS,
            list(prefixes),
            self._servers_to_avoid(cell, avoid),
            self._preempted_on,
        )

    def _pool(self) -> Pool:
        """Returns the pool of the model, which a new manifest may change."""
        try:
            return self._context.permit_client.pool_of(
                self._request.body["model"]
            )
        except NotFoundError as exc:
            if not self.outcome.may_have_run:
                raise
            raise BackendError(
                "the model was removed before the answer was complete",
                ran=RAN_YES if self._delivered_tokens else RAN_UNKNOWN,
            ) from exc

    def _can_continue_at(self, server: Server) -> bool:
        """Returns whether the answer may go on at a server.

        What servers of two software versions write does not fit together.
        """
        return (
            not self._delivered_tokens
            or server.software_version == self._software_version
        )

    def _servers_to_avoid(self, cell: Cell, failed: list[str]) -> list[str]:
        """Returns a cell's servers that must not get the request.

        Those on which it has failed may get it again if no other is left.
        """
        unfit = [x.name for x in cell.servers if not self._can_continue_at(x)]
        if unfit and len(unfit) == len(cell.servers):
            raise BackendError(
                "no server of the software version that began the answer is"
                " left; send the request again",
                ran=RAN_YES,
            )
        others = {x.name for x in cell.servers} - {*failed, *unfit}
        return [*unfit, *failed] if others else unfit

    @property
    def _token_limit(self) -> int:
        """Maximum tokens of the answer."""
        return min(self._request.max_tokens, self._placement.kind.max_tokens)

    def _length_limit_event(self) -> AnswerEvent:
        self._finished = True
        choice: dict[str, Any] = {"index": 0, "finish_reason": "length"}
        if self._request.path == CHAT_PATH:
            choice["delta"] = {}
        else:
            choice["text"] = ""
        return AnswerEvent({**self._frame_head(), "choices": [choice]}, "")

    def _estimated_tokens(self) -> float:
        return self._context.estimator.tokens(
            self._estimate_key, self._token_limit
        )

    def _new_attempt(self, server: Server) -> EngineAttempt:
        body = dict(self._request.body)
        body["stream"] = True
        body["stream_options"] = {"include_usage": True}
        key = "max_tokens"
        if "max_completion_tokens" in body:
            key = "max_completion_tokens"
        body[key] = self._token_limit - self._delivered_tokens
        if server.priorities:
            body["priority"] = self._placement.service_class.rank
        if self._delivered_tokens:
            _continue_from(body, self._request.path, self._text)
        return EngineAttempt(
            _new_id(),
            server,
            self._request.path,
            msgspec.json.encode(body),
            self._context.timing.first_byte_timeout_s,
            self._context.timing.token_timeout_s,
            lambda: self._stays(server),
        )

    def _resume_token(self, attempt: EngineAttempt, base_tokens: int) -> str:
        return self._context.signer.signed_prefix(
            ResumePoint(
                self._placement.organisation.name,
                self._request.digest[:DIGEST_CHARS],
                attempt.server.name,
                attempt.id,
                self._id,
                base_tokens,
                0,
            )
        )

    def _release(
        self, permit_request: PermitRequest, tokens: int, *, failed: bool
    ) -> None:
        step_s = 0.0
        if tokens > 1:
            span = self._last_token_at - self._arrived - self._first_token_s
            step_s = max(0.0, span / (tokens - 1))
        self._context.permit_client.release(
            PermitRelease(
                permit_request.ask_id,
                permit_request.cell,
                tokens,
                failed,
                step_s,
            )
        )

    def _usage_frame(self) -> dict[str, Any]:
        return {**self._frame_head(), "choices": [], "usage": self.usage()}

    def _frame_head(self) -> dict[str, Any]:
        kind = "chat.completion.chunk"
        if self._request.path == TEXT_PATH:
            kind = "text_completion"
        return {
            "id": self._id,
            "object": kind,
            "created": self._created,
            "model": self._request.body["model"],
        }

    def usage(self) -> dict[str, int]:
        """Returns the token counts of the answer."""
        return {
            "prompt_tokens": self._prompt_tokens,
            "completion_tokens": self._delivered_tokens,
            "total_tokens": self._prompt_tokens + self._delivered_tokens,
        }


def _new_id() -> str:
    """Returns a random ID; kept short as resume points carry two of them."""
    return secrets.token_urlsafe(ID_BYTES)


def _id_prefix(path: str) -> str:
    return "chatcmpl" if path == CHAT_PATH else "cmpl"


def _choice_text(choice: dict[str, Any]) -> str:
    delta = choice.get("delta")
    if delta is not None:
        return delta.get("content") or ""
    return choice.get("text") or ""


def _continue_from(body: dict[str, Any], path: str, text: str) -> None:
    """Changes a request body so that the engine continues the given text."""
    if path == TEXT_PATH:
        body["prompt"] += text
        return
    body["messages"] = [
        *body["messages"],
        {"role": "assistant", "content": text},
    ]
    body["add_generation_prompt"] = False
    body["continue_final_message"] = True


def _rejection_error(error: AttemptError) -> BadRequestError:
    try:
        body = foreignbytes.json_value(error.rejection.body)
        message = foreignbytes.shown(body["error"]["message"])
    except (ForeignDataError, KeyError, TypeError):
        message = f"status {error.rejection.status}"
    return BadRequestError(f"the model engine rejected the request: {message}")
