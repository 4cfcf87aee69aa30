"""From a request's id to its cause, by the lines of any number of instances.

Pure: it takes lines and returns what is worth reading, in the order of time.
"""

import collections
import dataclasses
from collections.abc import Iterable
from typing import Any

import msgspec

CONTEXT_S = 15.0
"""How long before a request's arrival events of its surroundings are shown."""

SLOW_WAIT_S = 0.2
"""Wait in the instance from which on it is named as a cause."""

_BOOKKEEPING = frozenset({"at", "steady", "instance", "event", "left_out"})
_SURROUNDINGS = frozenset(
    {
        "configuration",
        "dependency_lost",
        "dependency_regained",
        "instance_not_live",
        "move",
        "move_failed",
        "reload",
        "request_blocked",
        "request_released",
        "server",
        "server_ended",
        "snapshot",
        "start",
        "stop",
        "stopping",
    }
)

_ABOUT_SERVERS = frozenset({"server", "server_ended", "move", "move_failed"})
_ABOUT_REQUESTS = frozenset({"request_blocked", "request_released"})
"""Of interest only where they name the request's fingerprint."""

_NOT_SHOWN = frozenset({"settings"})


@dataclasses.dataclass(frozen=True)
class Event:
    """One line of a log.

    Attributes:
        at: Time of day of the instance that wrote it, in seconds.
        instance: That instance.
        name: What happened.
        fields: With what.
    """

    at: float
    instance: str
    name: str
    fields: dict[str, Any]

    def __str__(self) -> str:
        shown = " ".join(
            f"{key}={value}"
            for key, value in self.fields.items()
            if value not in (None, "", []) and key not in _NOT_SHOWN
        )
        return f"{self.at:.3f} {self.instance} {self.name} {shown}"


@dataclasses.dataclass(frozen=True)
class Explanation:
    """What is known of a request.

    Attributes:
        own: Lines that name it.
        surroundings: Lines on what it rested on, shortly before and during.
        causes: What led to its end, in words.
        left_out: Lines that the instances left out meanwhile.
    """

    own: tuple[Event, ...]
    surroundings: tuple[Event, ...]
    causes: tuple[str, ...]
    left_out: int


def read(lines: Iterable[str]) -> tuple[list[Event], int]:
    """Returns the events of a log, and how many lines were left out.

    Whatever stands before a line's first brace, as a collector's prefix, and
    lines that are no events are passed over.
    """
    events = []
    left_out = 0
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            raw = msgspec.json.decode(line[start:])
        except msgspec.DecodeError:
            continue
        if not isinstance(raw, dict) or "event" not in raw:
            continue
        left_out += raw.get("left_out", 0)
        fields = {k: v for k, v in raw.items() if k not in _BOOKKEEPING}
        events.append(
            Event(
                float(raw.get("at", 0.0)),
                str(raw.get("instance", "?")),
                str(raw["event"]),
                fields,
            )
        )
    events.sort(key=lambda event: event.at)
    return events, left_out


def explain(
    request: str, events: Iterable[Event], left_out: int = 0
) -> Explanation | None:
    """Returns what is known of a request; None if no line names it."""
    events = list(events)
    own = [event for event in events if event.fields.get("id") == request]
    if not own:
        return None
    first = min(
        event.at - float(event.fields.get("total_s", 0.0)) for event in own
    )
    last = max(event.at for event in own)
    servers = {
        server for event in own for server in event.fields.get("servers", ())
    }
    instances = {event.instance for event in own}
    prints = {event.fields.get("fingerprint") for event in own} - {"", None}
    surroundings = [
        event
        for event in events
        if event.name in _SURROUNDINGS
        and event not in own
        and (
            event.fields.get("fingerprint") in prints
            if event.name in _ABOUT_REQUESTS
            else first - CONTEXT_S <= event.at <= last
            and _concerns(event, instances, servers)
        )
    ]
    causes = [cause for event in own for cause in _causes(event)]
    return Explanation(tuple(own), tuple(surroundings), tuple(causes), left_out)


@dataclasses.dataclass(frozen=True)
class Loss:
    """Requests of one kind that were not served, for one cause.

    Attributes:
        route: Their route.
        cause: The cause, in words.
        count: How many.
        example: The id of one of them.
    """

    route: str
    cause: str
    count: int
    example: str


def summarize(events: Iterable[Event]) -> tuple[dict[str, int], list[Loss]]:
    """Returns requests by route, and those not served, the most first.

    A caller may come back under another id after a refusal, so what is
    counted are requests as callers sent them.
    """
    asked: collections.Counter[str] = collections.Counter()
    lost: dict[tuple[str, str], list[str]] = {}
    for event in events:
        if event.name != "request":
            continue
        route = str(event.fields.get("route", "?"))
        asked[route] += 1
        if not event.fields.get("whole"):
            ids = lost.setdefault((route, _loss(event.fields)), [])
            ids.append(str(event.fields.get("id", "?")))
    losses = [
        Loss(route, cause, len(ids), ids[0])
        for (route, cause), ids in lost.items()
    ]
    losses.sort(key=lambda loss: (-loss.count, loss.route, loss.cause))
    return dict(asked), losses


def _loss(fields: dict[str, Any]) -> str:
    """Returns in words why a request was not served."""
    status, begun = fields.get("status"), bool(fields.get("events"))
    sent = bool(fields.get("servers"))
    why = str(fields.get("why", ""))
    if fields.get("ended") != "done":
        if begun:
            return "caller left during the answer"
        return "caller left before the answer" + ("" if sent else ", unplaced")
    if "time was over" in why:
        return "time limit" + (" during the answer" if begun else "")
    if status == 503:
        return "refused: " + ("servers did not run it" if sent else "no room")
    if begun:
        return "answer broke off at the server"
    if status in (502, 504):
        return "server broke off before the answer"
    if not sent:
        return "refused: servers end while they run it"
    return f"server answered {status}"


def _concerns(event: Event, instances: set[str], servers: set[str]) -> bool:
    if event.name in _ABOUT_SERVERS:
        named = {event.fields.get("server"), event.fields.get("source")}
        return bool(named & servers)
    return event.instance in instances


def _causes(event: Event) -> list[str]:
    fields = event.fields
    if event.name == "refused":
        return [
            f"refused with {fields.get('status')} before it was placed:"
            f" {fields.get('why')}"
        ]
    if event.name != "request":
        return []
    causes = []
    waited = fields.get("waited_s") or 0.0
    if waited > SLOW_WAIT_S:
        causes.append(f"waited {waited} s in the instance for a server")
    first, pause = fields.get("first_s"), fields.get("pause_s") or 0.0
    if first is not None:
        causes.append(
            f"first event after {first} s, longest pause {pause} s,"
            f" {fields.get('events')} events"
        )
    if len(fields.get("servers", ())) > 1:
        causes.append(f"sent to {len(fields['servers'])} servers in turn")
    if fields.get("why"):
        causes.append(f"last trouble: {fields['why']}")
    status = fields.get("status")
    if fields.get("ended") != "done":
        causes.append(f"the caller left after {fields.get('total_s')} s")
    elif status == 503:
        causes.append("answered 503: it has not run")
    elif status == 500 and not fields.get("servers"):
        causes.append("answered 500: it has not run and is not sent again")
    elif status in (502, 504):
        causes.append(f"answered {status}: it may have run")
    causes.append(
        f"decided on configuration {fields.get('configuration')} by knowledge"
        f" {fields.get('knowledge_age_s')} s old, with the store's last word"
        f" {fields.get('store_age_s')} s old and"
        f" {fields.get('instances')} instances live"
    )
    return causes
