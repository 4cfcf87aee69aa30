"""The answer to one model request, from the permit to the last token."""

import secrets
import time
import uuid
from collections.abc import AsyncIterator
from contextlib import aclosing
from typing import Any

import anyio
import msgspec

from jasminerelay import burn
from jasminerelay.answerkit import Kit, Piece, Placement
from jasminerelay.backends import (
    Attempt,
    AttemptError,
    Chunk,
    Proof,
)
from jasminerelay.errors import (
    RAN_UNKNOWN,
    RAN_YES,
    BackendError,
    BadRequestError,
    InvariantError,
    LimitError,
    NoRoomError,
    RelayError,
)
from jasminerelay.modelrequests import CHAT_PATH, TEXT_PATH, ModelRequest
from jasminerelay.outcome import Outcome, State
from jasminerelay.prefix import block_hashes
from jasminerelay.resume import ResumePoint
from jasminerelay.schema.manifest import (
    Server,
)
from jasminerelay.schema.messages import Ask, Grant, Refusal, Release

MAX_RESUMES = 3
MAX_ATTEMPTS = 5
MAX_PREEMPTIONS = 10
STARTED_MAX_WAIT_S = 600.0
RESUME_PAUSE_S = 0.05
ID_BYTES = 12
DIGEST_CHARS = 16
"""Part of the request's digest in a resume point, which is signed."""

WASTE_REDONE = "redone"
WASTE_DROPPED = "dropped"
WASTE_CANCELLED = "cancelled"


class Answer:
    """The answer to one model request.

    Attributes:
        outcome: State of the request.
    """

    def __init__(self, kit: Kit, request: ModelRequest, placement: Placement):
        self._kit = kit
        self._request = request
        self._placement = placement
        self._id = f"{_id_prefix(request.path)}-{_new_id()}"
        self._arrived = time.monotonic()
        self._created = int(time.time())
        self._estimate_kind = (
            f"{placement.service_class.name}/{request.body['model']}"
        )
        self._text = ""
        self._delivered = 0
        self._prompt_tokens = 0
        self._first_token_s = 0.0
        self._last_token_at = 0.0
        self._wasted: dict[str, int] = {}
        self._limit_taken = 0.0
        self._finished = False
        self._preemptions = 0
        self._warm_server = ""
        self.outcome = Outcome(self._id)

    async def pieces(self) -> AsyncIterator[Piece]:
        """Yields the whole answer.

        Raises:
            RelayError: if there is no answer, or no whole one.
        """
        try:
            await self._admit()
            async with aclosing(self._attempts()) as pieces:
                async for piece in pieces:
                    yield piece
            self._complete()
        except InvariantError as exc:
            self._kit.invariants.violated(exc)
            raise
        except RelayError as exc:
            self._end_with(exc)
            raise
        finally:
            if self._limit_taken:
                self._kit.desk.settle(
                    self._placement.organisation,
                    self._limit_taken,
                    self._delivered,
                )
            if not self.outcome.final:
                self._caller_gone()

    async def _admit(self) -> None:
        work = self._work()
        loan = await self._kit.desk.take_tokens(
            self._placement.organisation, work
        )
        if loan is not None:
            raise LimitError(
                f"organisation {self._placement.organisation.name!r} has"
                " reached its limit of tokens a second",
                retry_s=loan.retry_s,
            )
        self._limit_taken = work

    async def _attempts(self) -> AsyncIterator[Piece]:
        avoid: list[str] = []
        failures = 0
        while True:
            ask = self._ask(avoid)
            grant = await self._permit(ask)
            server = self._server(grant.server)
            attempt = self._attempt(server)
            self.outcome.dispatched()
            tokens_before = self._delivered
            error: AttemptError | None = None
            try:
                chunks = self._kit.engines.run(attempt)
                stream = self._with_resumes(attempt, chunks, tokens_before)
                async with aclosing(stream) as pieces:
                    async for piece in pieces:
                        yield piece
                        if self._makes_way(ask, server):
                            break
                    else:
                        self._finished = True
            except AttemptError as exc:
                error = exc
            finally:
                computed = self._delivered - tokens_before
                # A server that leaves is not ill; resting it would outlast
                # its return.
                failed = error is not None and not error.leaving
                self._release(ask, computed, failed=failed)
                if not self._finished:
                    # The caller has gone, or another engine takes over.
                    # Without a word this one would work on for nobody.
                    self._kit.spawn(
                        self._kit.engines.cancel, server, attempt.id
                    )
            if self._finished:
                return
            if error is not None:
                failures += 1
                self._judge(error, server, failures)
                avoid.append(server.name)
            if self._delivered >= self._limit:
                # Only the end was missing, and no engine can be asked for
                # no tokens at all.
                yield self._cut_at_limit()
                return

    async def _permit(self, ask: Ask) -> Grant:
        self.outcome.waiting()
        result = await self._kit.desk.acquire(ask)
        if isinstance(result, Refusal):
            raise self._no_room(result)
        return result

    async def _with_resumes(
        self, attempt: Attempt, chunks: AsyncIterator[Chunk], base: int
    ) -> AsyncIterator[Piece]:
        """Yields an attempt's pieces, over breaks that its engine mends.

        Args:
            attempt: The attempt.
            chunks: Its frames, from the start or from a resume.
            base: Tokens that the caller had before the attempt.
        """
        word = self._point_word(attempt, base)
        for number in range(MAX_RESUMES + 1):
            try:
                async with aclosing(chunks) as frames:
                    async for chunk in frames:
                        piece = self._piece(chunk, base, word)
                        if piece is not None:
                            yield piece
                return
            except AttemptError as exc:
                mendable = (
                    attempt.server.resume
                    and exc.proof is Proof.MAY_HAVE_RUN
                    and number < MAX_RESUMES
                )
                if not mendable:
                    raise
                self._kit.counters.incr("stream.resumed")
                await anyio.sleep(RESUME_PAUSE_S * 2**number)
                chunks = self._kit.engines.resume(
                    attempt, self._delivered - base
                )

    def _piece(self, chunk: Chunk, base: int, word: str) -> Piece | None:
        data = chunk.data
        usage = data.get("usage")
        choices = data.get("choices") or []
        if usage and not self._prompt_tokens:
            self._prompt_tokens = usage.get("prompt_tokens", 0) - base
        if not choices:
            if not usage:
                return None
            return Piece(self._usage_frame(), "", usage_only=True)
        text = _text_of(choices[0])
        offset = base + chunk.offset
        if text and offset <= self._delivered:
            # A frame that came late or twice; the caller has it.
            self._kit.counters.incr("stream.duplicate_frames")
            return None
        if text:
            self._note_token(offset)
            self._text += text
        if choices[0].get("finish_reason"):
            self._finished = True
        data["id"] = self._id
        data["created"] = self._created
        data.pop("usage", None)
        return Piece(data, f"{word}:{self._delivered}")

    def _note_token(self, offset: int) -> None:
        self.outcome.streaming()
        now = time.monotonic()
        if not self._first_token_s:
            self._first_token_s = now - self._arrived
        self._last_token_at = now
        self._delivered = offset

    def _makes_way(self, ask: Ask, server: Server) -> bool:
        """Returns whether the permit was taken back for a higher rank.

        The engine's prefix cache still has the prompt and what was
        computed, so going on there later costs little.
        """
        if self._finished or not self._kit.desk.is_revoked(ask.ask_id):
            return False
        self._kit.counters.incr("permit.made_way")
        self._preemptions += 1
        self._warm_server = server.name
        return True

    def _judge(
        self, error: AttemptError, server: Server, failures: int
    ) -> None:
        """Decides what follows a failed attempt; raises if nothing does."""
        self._kit.counters.incr(f"attempt.{error.proof.value}")
        if error.leaving:
            self._kit.on_leaving(server.name)
        if error.proof is Proof.NOT_RUN:
            self.outcome.refused()
        if error.rejected is not None:
            raise _rejected(error)
        spent = self._kit.retries.spend()
        if failures >= MAX_ATTEMPTS or not spent:
            self._kit.counters.incr("retry.exhausted")
            raise self._broken(error)
        if self._delivered:
            # The next engine computes the prompt and these tokens again.
            self._waste(WASTE_REDONE, self._delivered)

    def _broken(self, error: AttemptError) -> RelayError:
        if not self.outcome.may_have_run:
            return NoRoomError(
                f"no backend server took the request: {error}", retry_s=1.0
            )
        ran = RAN_YES if self._delivered else RAN_UNKNOWN
        return BackendError(
            f"the backend server failed and no other took over: {error}",
            ran=ran,
            retry_s=1.0,
        )

    def _complete(self) -> None:
        self.outcome.completed()
        self._kit.retries.succeeded()
        self._kit.estimator.observe(self._estimate_kind, self._delivered)
        cls = self._placement.service_class
        latency = self._first_token_s
        if cls.measure == "complete":
            latency = time.monotonic() - self._arrived
        latency += self._placement.waited_s
        self._record(burn.ENDED_COMPLETED, latency <= cls.target_s, latency)

    def _end_with(self, exc: RelayError) -> None:
        if self.outcome.state is State.ACCEPTED:
            self.outcome.not_run()
        elif self.outcome.may_have_run or self._delivered:
            if exc.ran == RAN_UNKNOWN:
                self.outcome.unknown()
            else:
                self.outcome.failed()
        else:
            self.outcome.not_run()
        if isinstance(exc, LimitError):
            self._kit.counters.incr("limit.refused")
            return
        if self.outcome.state is State.NOT_RUN:
            # A request of an organisation's own fault is no miss.
            if exc.status >= 500:
                self._record(burn.ENDED_REFUSED, False, 0.0)
            return
        self._waste(WASTE_DROPPED, self._delivered)
        ended = burn.ENDED_FAILED
        if self.outcome.state is State.UNKNOWN:
            ended = burn.ENDED_UNKNOWN
        self._record(ended, False, 0.0)

    def _caller_gone(self) -> None:
        self._kit.counters.incr("caller.gone")
        if self._delivered:
            self._waste(WASTE_CANCELLED, self._delivered)
        waited = time.monotonic() - self._arrived
        cls = self._placement.service_class
        if self._first_token_s or waited > cls.target_s:
            met = 0 < self._first_token_s <= cls.target_s
            self._record(burn.ENDED_FAILED, met, self._first_token_s)

    def _record(self, ended: str, met: bool, latency_s: float) -> None:
        useful = self._delivered if ended == burn.ENDED_COMPLETED else 0
        sample = burn.Sample(
            self._placement.service_class.name,
            ended,
            met,
            latency_s,
            useful,
            self._wasted,
        )
        self._kit.book.add(sample, time.monotonic())
        self._kit.counters.incr(f"request.{ended}")
        self._kit.counters.incr("tokens.useful", useful)
        self._kit.counters.incr("tokens.wasted", sum(self._wasted.values()))

    def _waste(self, cause: str, tokens: int) -> None:
        if tokens:
            self._wasted[cause] = self._wasted.get(cause, 0) + tokens

    def _no_room(self, refusal: Refusal) -> RelayError:
        if self._delivered:
            return BackendError(
                "the backend server failed and no other has room",
                ran=RAN_YES,
                retry_s=refusal.retry_s,
            )
        if self.outcome.may_have_run:
            return BackendError(
                "the backend server failed and no other has room",
                ran=RAN_UNKNOWN,
                retry_s=refusal.retry_s,
            )
        waited = time.monotonic() - self._arrived + self._placement.waited_s
        ticket = self._kit.signer.ticket(
            self._placement.organisation.name,
            self._placement.kind.name,
            time.time() - waited,
        )
        return NoRoomError(
            f"no permit: {refusal.reason}",
            retry_s=refusal.retry_s,
            ticket=ticket,
        )

    def _ask(self, avoid: list[str]) -> Ask:
        cls = self._placement.service_class
        prefixes = block_hashes(self._request.prompt)
        organisation = self._placement.organisation
        cell = self._kit.desk.choose_cell(
            self._placement.pool, organisation.name, prefixes
        )
        waited = time.monotonic() - self._arrived
        # A request whose answer broke off has used engine time already; to
        # refuse it now would waste that, so it keeps its place and its time.
        max_wait = (
            cls.max_wait_s if self._delivered else cls.max_wait_s - waited
        )
        return Ask(
            uuid.uuid4().hex,
            cell.name,
            cls.rank,
            organisation.name,
            organisation.weight,
            max(1.0, self._work() - self._delivered),
            waited + self._placement.waited_s,
            max(0.0, max_wait),
            cls.target_s,
            cls.floor_share,
            cls.leave_free,
            cls.protected,
            self._delivered > 0,
            cls.preemptible and self._preemptions < MAX_PREEMPTIONS,
            list(prefixes),
            avoid if len(avoid) < len(cell.servers) else [],
            self._warm_server,
        )

    @property
    def _limit(self) -> int:
        """Most tokens that the answer may have."""
        return min(self._request.max_tokens, self._placement.kind.max_tokens)

    def _cut_at_limit(self) -> Piece:
        self._finished = True
        choice: dict[str, Any] = {"index": 0, "finish_reason": "length"}
        if self._request.path == CHAT_PATH:
            choice["delta"] = {}
        else:
            choice["text"] = ""
        return Piece({**self._frame_head(), "choices": [choice]}, "")

    def _work(self) -> float:
        return self._kit.estimator.tokens(self._estimate_kind, self._limit)

    def _server(self, name: str) -> Server:
        for server in self._placement.pool.servers:
            if server.name == name:
                return server
        raise BackendError(f"granted unknown backend server {name!r}")

    def _attempt(self, server: Server) -> Attempt:
        body = dict(self._request.body)
        body["stream"] = True
        body["stream_options"] = {"include_usage": True}
        key = "max_tokens"
        if "max_completion_tokens" in body:
            key = "max_completion_tokens"
        body[key] = self._limit - self._delivered
        if server.priorities:
            body["priority"] = self._placement.service_class.rank
        if self._delivered:
            _continue_from(body, self._request.path, self._text)
        return Attempt(
            _new_id(),
            server,
            self._request.path,
            msgspec.json.encode(body),
            self._kit.timing.first_byte_timeout_s,
            self._kit.timing.token_timeout_s,
        )

    def _point_word(self, attempt: Attempt, base: int) -> str:
        return self._kit.signer.stream_word(
            ResumePoint(
                self._placement.organisation.name,
                self._request.digest[:DIGEST_CHARS],
                attempt.server.name,
                attempt.id,
                self._id,
                base,
                0,
            )
        )

    def _release(self, ask: Ask, tokens: int, *, failed: bool) -> None:
        step_s = 0.0
        if tokens > 1:
            span = self._last_token_at - self._arrived - self._first_token_s
            step_s = max(0.0, span / (tokens - 1))
        self._kit.desk.release(
            Release(ask.ask_id, ask.cell, tokens, failed, step_s)
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
        """Returns the token counts of the whole answer."""
        return {
            "prompt_tokens": self._prompt_tokens,
            "completion_tokens": self._delivered,
            "total_tokens": self._prompt_tokens + self._delivered,
        }


def _new_id() -> str:
    """Returns a short random identity; resume points carry two of them."""
    return secrets.token_urlsafe(ID_BYTES)


def _id_prefix(path: str) -> str:
    return "chatcmpl" if path == CHAT_PATH else "cmpl"


def _text_of(choice: dict[str, Any]) -> str:
    delta = choice.get("delta")
    if delta is not None:
        return delta.get("content") or ""
    return choice.get("text") or ""


def _continue_from(body: dict[str, Any], path: str, text: str) -> None:
    """Asks an engine to go on after the text that the caller has."""
    if path == TEXT_PATH:
        body["prompt"] += text
        return
    body["messages"] = [
        *body["messages"],
        {"role": "assistant", "content": text},
    ]
    body["add_generation_prompt"] = False
    body["continue_final_message"] = True


def _rejected(error: AttemptError) -> BadRequestError:
    try:
        body = msgspec.json.decode(error.rejected.body)
        message = str(body["error"]["message"])
    except (msgspec.MsgspecError, KeyError, TypeError):
        message = f"status {error.rejected.status}"
    return BadRequestError(f"the model engine rejected the request: {message}")
