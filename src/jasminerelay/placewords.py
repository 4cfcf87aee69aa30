"""What instances and owners of cells tell each other, as messages.

Pure. Messages carry times as spans, since steady clocks of two instances have
nothing in common, and parts of prompts as hashes.
"""

from jasminerelay.catalog import Call, Catalog, Prompt, PromptPart
from jasminerelay.prefix import part_hash
from jasminerelay.schema.messages import (
    EndWord,
    PlaceAnswer,
    PlaceAsk,
    RunWord,
)
from jasminerelay.waitingroom import Waiter
from jasminerelay.workload import End, Run, Verdict

PLACED = "placed"
WAITING = "waiting"
REFUSED = "refused"
ELSEWHERE = "elsewhere"
FOREIGN = "foreign"
"""States of a `PlaceAnswer`."""

MS = 1e3
US = 1e6

NOT_KNOWN = -1
"""Stands for a number that there is none of."""


def ask_word(
    number: int, call: Call, avoid: frozenset[str], passed: bool, now: float
) -> PlaceAsk:
    """Returns the message that asks for a place.

    Args:
        number: Names the ask among the instance's.
        call: The request.
        avoid: Servers that it must not go to.
        passed: Whether another owner has passed it on.
        now: Steady time.
    """
    prompt = call.prompt
    shared = prompt.shared if prompt is not None else ()
    hint = prompt.expected_output if prompt is not None else None
    return PlaceAsk(
        number=number,
        call=call.id,
        route=call.route.name,
        rank=call.rank,
        first=not avoid,
        age_ms=round(MS * (now - call.arrived)),
        left_ms=round(MS * (call.ends - now)),
        avoid=sorted(avoid),
        own_tokens=prompt.own_tokens if prompt is not None else NOT_KNOWN,
        max_output=prompt.max_output if prompt is not None else 0,
        expected_output=NOT_KNOWN if hint is None else hint,
        parts=[part_hash(part.id) for part in shared],
        part_tokens=[part.tokens for part in shared],
        passed=passed,
    )


def call_of(
    ask: PlaceAsk, service: str, catalog: Catalog | None, now: float
) -> Call | None:
    """Returns what a place is asked for; None if its route is not known.

    Only what a decision takes is there: no bodies, no headers.
    """
    routes = catalog.routes if catalog else ()
    route = next((x for x in routes if x.name == ask.route), None)
    if route is None:
        return None
    return Call(
        id=ask.call,
        route=route,
        service=service,
        rank=ask.rank,
        urgent=False,
        organisation="",
        method="",
        host="",
        target=b"",
        headers=(),
        body=b"",
        prompt=_prompt_of(ask),
        last_event="",
        arrived=now - ask.age_ms / MS,
        ends=now + ask.left_ms / MS,
    )


def run_word(run: Run) -> RunWord:
    """Returns the message that tells of a request under way."""
    first_s = run.first_s
    first_ms = NOT_KNOWN if first_s is None else round(MS * first_s)
    return RunWord(run.number, run.server, run.unread, run.memory, first_ms)


def end_word(end: End) -> EndWord:
    """Returns the message that tells of a request's end."""
    return EndWord(
        end.number,
        end.server,
        end.verdict is Verdict.GOOD,
        end.verdict is Verdict.BAD,
        end.output,
    )


def answer_word(number: int, waiter: Waiter) -> PlaceAnswer:
    """Returns the answer to an ask that has a place or a refusal."""
    if waiter.refused is not None:
        return PlaceAnswer(
            number,
            REFUSED,
            why=waiter.refused.message,
            retry_ms=round(MS * (waiter.refused.retry_s or 0.0)),
        )
    placed = waiter.seat.placed
    return PlaceAnswer(
        number,
        PLACED,
        placed.server.id,
        placed.unread,
        placed.memory,
        placed.source.id if placed.source is not None else "",
    )


def _prompt_of(ask: PlaceAsk) -> Prompt | None:
    if ask.own_tokens == NOT_KNOWN:
        return None
    shared = tuple(
        PromptPart(str(part), tokens)
        for part, tokens in zip(ask.parts, ask.part_tokens, strict=True)
    )
    hint = ask.expected_output
    return Prompt(
        (*shared, PromptPart(ask.call, ask.own_tokens)),
        sum(ask.part_tokens) + ask.own_tokens,
        ask.max_output,
        None if hint == NOT_KNOWN else hint,
    )
