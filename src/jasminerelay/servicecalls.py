"""Forwards calls to plain services; non-repeatable calls run at most once."""

import dataclasses
import time
import uuid
from collections.abc import Callable

import anyio

from jasminerelay import burn, claims
from jasminerelay.backends import AttemptError, ExecutionStatus, ServiceClient
from jasminerelay.claimstore import AcquiredClaim, ClaimStore, RecordedAnswer
from jasminerelay.errors import (
    RAN_UNKNOWN,
    BackendError,
    InvariantError,
    NoCapacityError,
    NotFoundError,
    RelayError,
)
from jasminerelay.httpclient import HttpRequest, HttpResponse
from jasminerelay.metrics import Counters, InvariantHandler
from jasminerelay.outcome import Outcome, State
from jasminerelay.permitclient import PermitClient
from jasminerelay.retry import RetryBudget
from jasminerelay.schema.manifest import (
    Call,
    Organisation,
    Server,
    Service,
    ServiceClass,
)
from jasminerelay.schema.messages import (
    PermitRefusal,
    PermitRelease,
    PermitRequest,
)

MAX_ATTEMPTS = 4
IDEMPOTENCY_HEADER = "idempotency-key"
REPLAYED_HEADER = "x-replayed"
_FORWARDED_HEADERS = ("content-type", "accept", "accept-language")
CLAIM_MARGIN_S = 5.0
"""Allowance for the delay from claim to dispatch and for clock skew."""

CALL_WORK = 1.0
"""All calls count as the same work, since plain services use no tokens."""


@dataclasses.dataclass(frozen=True)
class ServiceRequest:
    """A call of a plain service, as received.

    Attributes:
        organisation: Organisation that sent the call.
        service: Service called.
        call: Call in the manifest that it matches.
        service_class: Service class of the call.
        method: HTTP method.
        target: Path and query within the service, as sent.
        headers: Header fields, names in lower case.
        body: Complete body.
        key: Idempotency key, or "".
        waited_s: Seconds since the first attempt, from the return ticket.
    """

    organisation: Organisation
    service: Service
    call: Call
    service_class: ServiceClass
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    key: str
    waited_s: float


class ServiceCalls:
    """Serves all calls of plain services at one instance."""

    def __init__(
        self,
        permit_client: PermitClient,
        services: ServiceClient,
        claim_store: ClaimStore,
        burn_recorder: burn.BurnRecorder,
        counters: Counters,
        invariants: InvariantHandler,
        spawn: Callable[..., None],
        ticket: Callable[[str, str, float], str],
    ):
        self._permits = permit_client
        self._services = services
        self._claims = claim_store
        self._burn_recorder = burn_recorder
        self._counters = counters
        self._invariants = invariants
        self._spawn = spawn
        self._ticket = ticket
        self._retries = RetryBudget()

    async def serve(self, request: ServiceRequest) -> HttpResponse:
        """Returns the reply of the service, or the recorded one.

        A non-repeatable call continues if its caller disconnects, so that
        its outcome is recorded for a repeat.

        Raises:
            RelayError: if there is no reply.
        """
        if request.call.repeatable:
            return await self._run(request)
        results: list[HttpResponse | RelayError] = []
        done = anyio.Event()

        async def run() -> None:
            try:
                results.append(await self._run(request))
            except RelayError as exc:
                results.append(exc)
            finally:
                done.set()

        self._spawn(run)
        await done.wait()
        if not results:
            raise BackendError(
                "the instance stopped before the call ended", ran=RAN_UNKNOWN
            )
        if isinstance(results[0], RelayError):
            raise results[0]
        return results[0]

    async def _run(self, request: ServiceRequest) -> HttpResponse:
        started = time.monotonic()
        outcome = Outcome(uuid.uuid4().hex, repeatable=request.call.repeatable)
        try:
            reply = await self._reply_with_retries(request, outcome, started)
        except InvariantError as exc:
            self._invariants.report(exc)
            raise
        except RelayError as exc:
            self._record_error(request, outcome, exc)
            raise
        latency = time.monotonic() - started + request.waited_s
        if not outcome.final:
            outcome.completed()
            self._retries.succeeded()
        self._record(request, burn.ENDED_COMPLETED, latency)
        return reply

    async def _reply_with_retries(
        self, request: ServiceRequest, outcome: Outcome, started: float
    ) -> HttpResponse:
        acquired: AcquiredClaim | None = None
        avoid: list[str] = []
        while True:
            outcome.waiting()
            try:
                permit_request = self._new_permit_request(
                    request, outcome, avoid, started
                )
                grant = await self._permits.acquire(permit_request)
            except BaseException:
                await self._close_claim(acquired, outcome)
                raise
            if isinstance(grant, PermitRefusal):
                await self._close_claim(acquired, outcome)
                raise self._refusal_error(request, outcome, grant, started)
            server = self._permits.server(grant)
            failed = True
            try:
                if acquired is None and _is_claimed(request):
                    claim_result = await self._acquire_claim(request)
                    if isinstance(claim_result, RecordedAnswer):
                        failed = False
                        return _replayed_reply(outcome, claim_result)
                    acquired = claim_result
                reply = await self._dispatch(request, server, outcome)
                failed = False
                if acquired is not None:
                    await self._claims.record_answer(
                        acquired,
                        reply.status,
                        reply.headers.get("content-type", ""),
                        reply.body,
                    )
                return reply
            except AttemptError as exc:
                failed = not exc.leaving
                await self._handle_failure(
                    exc, request, server, outcome, acquired, avoid
                )
                avoid.append(server.name)
            except RelayError:
                failed = False
                raise
            finally:
                self._permits.release(
                    PermitRelease(
                        permit_request.ask_id,
                        permit_request.cell,
                        CALL_WORK,
                        failed,
                        0.0,
                    )
                )

    async def _acquire_claim(
        self, request: ServiceRequest
    ) -> AcquiredClaim | RecordedAnswer:
        key = claims.row_key(
            request.organisation.name, request.service.name, request.key
        )
        path, _, query = request.target.partition("?")
        digest = claims.request_digest(
            request.method, path, query, request.body
        )
        return await self._claims.acquire(
            key, digest, request.service.timeout_s + CLAIM_MARGIN_S
        )

    async def _dispatch(
        self, request: ServiceRequest, server: Server, outcome: Outcome
    ) -> HttpResponse:
        headers = {
            name: request.headers[name]
            for name in _FORWARDED_HEADERS
            if name in request.headers
        }
        headers["x-request-id"] = uuid.uuid4().hex
        headers["x-organisation"] = request.organisation.name
        if request.key:
            headers[IDEMPOTENCY_HEADER] = request.key
        outcome.dispatched()
        self._counters.incr("service.dispatched")
        return await self._services.call(
            server,
            HttpRequest(
                request.method,
                request.target,
                headers,
                request.body,
                request.service.timeout_s,
                new_connection=not request.call.repeatable,
            ),
        )

    async def _handle_failure(
        self,
        error: AttemptError,
        request: ServiceRequest,
        server: Server,
        outcome: Outcome,
        acquired: AcquiredClaim | None,
        avoid: list[str],
    ) -> None:
        """Returns if the call may be retried, else raises."""
        self._counters.incr(f"attempt.{error.execution_status.value}")
        if error.execution_status is ExecutionStatus.NOT_RUN:
            outcome.refused()
        elif not _may_repeat(request, server):
            if acquired is not None:
                await self._claims.close_without_answer(
                    acquired, claims.UNKNOWN
                )
            raise BackendError(
                f"the service did not answer: {error}",
                remedy=(
                    "Whether the call ran is unknown; look the result up at"
                    " the service before sending it again."
                ),
                ran=RAN_UNKNOWN,
            )
        if len(avoid) + 1 >= MAX_ATTEMPTS or not self._retries.spend():
            self._counters.incr("retry.exhausted")
            await self._close_claim(acquired, outcome)
            if outcome.may_have_run:
                raise BackendError(
                    f"the service did not answer: {error}", ran=RAN_UNKNOWN
                )
            raise NoCapacityError(
                f"no backend server accepted the call: {error}", retry_s=1.0
            )

    async def _close_claim(
        self, acquired: AcquiredClaim | None, outcome: Outcome
    ) -> None:
        if acquired is None:
            return
        state = claims.UNKNOWN if outcome.may_have_run else claims.NOT_RUN
        await self._claims.close_without_answer(acquired, state)

    def _refusal_error(
        self,
        request: ServiceRequest,
        outcome: Outcome,
        refusal: PermitRefusal,
        started: float,
    ) -> RelayError:
        if outcome.may_have_run:
            return BackendError(
                "the service did not answer and no other server has capacity",
                ran=RAN_UNKNOWN,
                retry_s=refusal.retry_s,
            )
        waited = time.monotonic() - started + request.waited_s
        return NoCapacityError(
            f"no backend server slot was granted: {refusal.reason}",
            retry_s=refusal.retry_s,
            ticket=self._ticket(
                request.organisation.name,
                request.service.name,
                time.time() - waited,
            ),
        )

    def _service(self, request: ServiceRequest, outcome: Outcome) -> Service:
        """Returns the service called, which a new manifest may change."""
        try:
            return self._permits.service(request.service.name)
        except NotFoundError as exc:
            if not outcome.may_have_run:
                raise
            raise BackendError(
                "the service was removed before it had answered",
                ran=RAN_UNKNOWN,
            ) from exc

    def _new_permit_request(
        self,
        request: ServiceRequest,
        outcome: Outcome,
        avoid: list[str],
        started: float,
    ) -> PermitRequest:
        cls = request.service_class
        organisation = request.organisation
        service = self._service(request, outcome)
        cell = self._permits.choose_cell(service, organisation.name, ())
        waited = time.monotonic() - started
        # The time at a server that broke is no wait for a permit.
        max_wait_s = (
            cls.max_wait_s
            if outcome.may_have_run
            else max(0.0, cls.max_wait_s - waited)
        )
        return PermitRequest(
            uuid.uuid4().hex,
            cell.name,
            cls.rank,
            organisation.name,
            organisation.weight,
            CALL_WORK,
            waited + request.waited_s,
            max_wait_s,
            cls.target_s,
            cls.floor_share,
            cls.leave_free,
            cls.protected,
            False,
            False,
            [],
            list(avoid) if len(avoid) < len(cell.servers) else [],
            "",
        )

    def _record_error(
        self, request: ServiceRequest, outcome: Outcome, exc: RelayError
    ) -> None:
        if outcome.may_have_run:
            outcome.unknown()
        elif not outcome.final:
            outcome.not_run()
        if exc.status < 500:
            return
        ended = burn.ENDED_REFUSED
        if outcome.state is State.UNKNOWN:
            ended = burn.ENDED_UNKNOWN
        self._record(request, ended, 0.0)

    def _record(
        self, request: ServiceRequest, ended: str, latency_s: float
    ) -> None:
        cls = request.service_class
        met = ended == burn.ENDED_COMPLETED and latency_s <= cls.target_s
        sample = burn.Sample(cls.name, ended, met, latency_s, 0, {})
        self._burn_recorder.add(sample, time.monotonic())
        self._counters.incr(f"request.{ended}")


def _is_claimed(request: ServiceRequest) -> bool:
    return bool(request.key) and not request.call.repeatable


def _may_repeat(request: ServiceRequest, server: Server) -> bool:
    if request.call.repeatable:
        return True
    return bool(request.key) and server.deduplicates


def _replayed_reply(outcome: Outcome, recorded: RecordedAnswer) -> HttpResponse:
    outcome.not_run()
    claim = recorded.claim
    headers = {"content-type": claim.content_type, REPLAYED_HEADER: "true"}
    return HttpResponse(claim.status, headers, recorded.body)
