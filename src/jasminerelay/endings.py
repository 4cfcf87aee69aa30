"""Concludes from an attempt's outcome who ended an answer, in which step."""

import functools

from jasminerelay.endingsteps import EndedBy, Ending, Step
from jasminerelay.exchange import (
    BrokenOff,
    CallerStalled,
    Delivered,
    Failed,
    Interrupted,
    NotRun,
    NotSent,
    Replaced,
    Unknown,
)


@functools.singledispatch
def ending_of(outcome: object, *, continued: bool) -> Ending:
    """Returns how an answer ends if an attempt's outcome is its last.

    Args:
        outcome: The outcome.
        continued: Whether the attempt continued a run that was moved.
    """
    raise NotImplementedError(type(outcome))


@ending_of.register
def _(outcome: Delivered, *, continued: bool) -> Ending:
    return Ending(EndedBy.SERVER, Step.WHOLE)


@ending_of.register
def _(outcome: Failed, *, continued: bool) -> Ending:
    return Ending(EndedBy.SERVER, Step.FAILURE)


@ending_of.register
def _(outcome: NotSent, *, continued: bool) -> Ending:
    step = Step.CONTINUING_MOVED if continued else Step.CONNECTING
    return Ending(EndedBy.INSTANCE, step)


@ending_of.register
def _(outcome: NotRun, *, continued: bool) -> Ending:
    step = Step.CONTINUING_MOVED if continued else Step.REJECTION
    return Ending(EndedBy.INSTANCE, step)


@ending_of.register(Unknown)
@ending_of.register(Interrupted)
@ending_of.register(BrokenOff)
def _(outcome: Unknown | Interrupted | BrokenOff, *, continued: bool) -> Ending:
    if outcome.relay_lost:
        return Ending(EndedBy.RELAY, Step.LOST_CONNECTION)
    return Ending(EndedBy.SERVER, Step.LOST_CONNECTION)


@ending_of.register
def _(outcome: Replaced, *, continued: bool) -> Ending:
    return Ending(EndedBy.INSTANCE, Step.SILENCE)


@ending_of.register
def _(outcome: CallerStalled, *, continued: bool) -> Ending:
    return Ending(EndedBy.CALLER, Step.CALLER_STALLED)
