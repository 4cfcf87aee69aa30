"""Builds and reads the messages between instances and cell owners.

Does no I/O. Messages carry times as durations, because the monotonic clocks of
two instances are unrelated, and parts of prompts as hashes.
"""

from jasminerelay.catalog import Call, Catalog, Prompt, PromptPart
from jasminerelay.placementqueue import QueueEntry
from jasminerelay.prefix import part_hash
from jasminerelay.schema.messages import (
    InFlightReport,
    PlacementAnswer,
    PlacementRequest,
    RequestEndReport,
)
from jasminerelay.workload import InFlightRequest, RequestEnd, Verdict

PLACED = "placed"
WAITING = "waiting"
REFUSED = "refused"
ELSEWHERE = "elsewhere"
FOREIGN = "foreign"
"""States of a `PlacementAnswer`."""

MS = 1e3
US = 1e6

NO_VALUE = -1
"""Represents a missing number."""


def placement_request(
    number: int,
    call: Call,
    tried: frozenset[str],
    passed: bool,
    now: float,
    paused: frozenset[str] = frozenset(),
) -> PlacementRequest:
    """Returns the message that requests a placement.

    Args:
        number: Number of the request, unique within the instance.
        call: The request.
        tried: Servers that have been tried.
        passed: Whether another owner has redirected the request.
        now: Monotonic time.
        paused: Servers that want no requests from this instance now.
    """
    prompt = call.prompt
    shared = prompt.shared_parts if prompt is not None else ()
    hint = prompt.expected_output if prompt is not None else None
    return PlacementRequest(
        number=number,
        call=call.id,
        route=call.route.name,
        rank=call.rank,
        first=not tried,
        age_ms=round(MS * (now - call.arrived_at)),
        left_ms=round(MS * (call.answer_deadline - now)),
        avoid=sorted(tried | paused),
        own_tokens=prompt.own_tokens if prompt is not None else NO_VALUE,
        max_output=prompt.max_output if prompt is not None else 0,
        expected_output=NO_VALUE if hint is None else hint,
        parts=[part_hash(part.id) for part in shared],
        part_tokens=[part.tokens for part in shared],
        passed=passed,
        organisation=call.organisation,
        software_version=call.software_version,
        events_done=call.events_done,
    )


def call_of(
    request: PlacementRequest, service: str, catalog: Catalog | None, now: float
) -> Call | None:
    """Returns the request to place; None if its route is unknown.

    It has only the fields that placing needs: no body and no headers.
    """
    routes = catalog.routes if catalog else ()
    route = next((x for x in routes if x.name == request.route), None)
    if route is None:
        return None
    return Call(
        id=request.call,
        route=route,
        service=service,
        rank=request.rank,
        urgency=0,
        organisation=request.organisation,
        method="",
        host="",
        target=b"",
        headers=(),
        body=b"",
        prompt=_prompt_of(request),
        last_event_id="",
        arrived_at=now - request.age_ms / MS,
        answer_deadline=now + request.left_ms / MS,
        software_version=request.software_version,
        events_done=request.events_done,
        waits_since=now if request.events_done else None,
    )


def in_flight_report(run: InFlightRequest) -> InFlightReport:
    """Returns the message about an in-flight request."""
    first_s = run.first_s
    first_ms = NO_VALUE if first_s is None else round(MS * first_s)
    return InFlightReport(
        run.number, run.server, run.unread, run.memory, first_ms
    )


def request_end_report(end: RequestEnd) -> RequestEndReport:
    """Returns the message about a request that has ended."""
    return RequestEndReport(
        end.number,
        end.server,
        end.verdict is Verdict.GOOD,
        end.verdict is Verdict.BAD,
        end.output,
    )


def placement_answer(number: int, queue_entry: QueueEntry) -> PlacementAnswer:
    """Returns the answer for a request that was placed or refused."""
    if queue_entry.refused is not None:
        return PlacementAnswer(
            number,
            REFUSED,
            why=queue_entry.refused.message,
            retry_ms=round(MS * (queue_entry.refused.retry_s or 0.0)),
        )
    placed = queue_entry.reservation.placed
    return PlacementAnswer(
        number,
        PLACED,
        placed.server.id,
        placed.unread,
        placed.memory,
        placed.source.id if placed.source is not None else "",
    )


def _prompt_of(request: PlacementRequest) -> Prompt | None:
    if request.own_tokens == NO_VALUE:
        return None
    shared = tuple(
        PromptPart(str(part), tokens)
        for part, tokens in zip(request.parts, request.part_tokens, strict=True)
    )
    hint = request.expected_output
    return Prompt(
        (*shared, PromptPart(request.call, request.own_tokens)),
        sum(request.part_tokens) + request.own_tokens,
        request.max_output,
        None if hint == NO_VALUE else hint,
    )
