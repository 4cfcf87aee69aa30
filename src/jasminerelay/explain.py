"""Finds out from the logs of any number of instances how a request ended.

The module does no input or output: it takes log lines and returns the
relevant events in chronological order.
"""

import collections
import dataclasses
import math
from collections.abc import Iterable
from typing import Any

from jasminerelay import foreignbytes
from jasminerelay.admission import OVER_SHARE
from jasminerelay.endingsteps import EndedBy, Step
from jasminerelay.errors import ForeignDataError
from jasminerelay.scheduling.heldbytes import (
    BROKE_OFF,
    MEMORY_SHORT,
    STALLED,
)
from jasminerelay.scheduling.serverpaths import RELAY_LOST
from jasminerelay.scheduling.streamorigins import (
    ORIGIN_UNKNOWN,
    SERVICE_CHANGED,
    VERSION_GONE,
)

CONTEXT_S = 15.0
"""How long before a request's arrival context events are included."""

LONG_WAIT_S = 0.2
"""Queueing time above which it is reported as a cause."""

NEW_CONFIGURATION_S = 5.0
"""Age up to which a configuration counts as new where answers are cut off."""

_COMMON_FIELDS = frozenset({"at", "steady", "instance", "event", "left_out"})
_CONTEXT_EVENTS = frozenset(
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
        "server_brittle",
        "server_crash_heard",
        "server_crash_told",
        "server_ended",
        "server_out_of_reach",
        "snapshot",
        "stalled",
        "start",
        "stop",
        "stopping",
    }
)

_SERVER_EVENTS = frozenset(
    {
        "move",
        "move_failed",
        "server",
        "server_brittle",
        "server_crash_heard",
        "server_crash_told",
        "server_ended",
    }
)
_BLOCKING_EVENTS = frozenset({"request_blocked", "request_released"})
"""Included only if they carry the request's fingerprint."""

_HIDDEN_FIELDS = frozenset({"settings"})

_STEPS_OF_INSTANCE = {
    Step.BLOCKED: "blocked during the answer: servers crash while running it",
    Step.CONNECTING: "no server reached to go on with the answer",
    Step.CONTINUING_MOVED: "moved run could go on nowhere",
    Step.PLACING: "no server found to go on with the answer",
    Step.REJECTION: "servers rejected going on with the answer",
    Step.SILENCE: "taken from a silent server during the answer",
}
"""What ended an answer that had begun, where no server broke it off."""

_ACTORS = {
    EndedBy.CALLER: "its caller",
    EndedBy.INSTANCE: "its instance",
    EndedBy.RELAY: "the instance that relayed its server's connection",
    EndedBy.SERVER: "its server",
}


@dataclasses.dataclass(frozen=True)
class Event:
    """One log line.

    Attributes:
        at: Unix time in seconds, by the clock of the instance that wrote it.
        instance: Name of the instance that wrote it.
        name: Event name.
        fields: Event-specific fields.
    """

    at: float
    instance: str
    name: str
    fields: dict[str, Any]

    def __str__(self) -> str:
        shown = " ".join(
            f"{key}={value}"
            for key, value in self.fields.items()
            if value not in (None, "", []) and key not in _HIDDEN_FIELDS
        )
        return f"{self.at:.3f} {self.instance} {self.name} {shown}"


@dataclasses.dataclass(frozen=True)
class Explanation:
    """How a request ended, with the log events that show why.

    Attributes:
        request_events: Events that carry the request's id.
        context: Events of the servers and instances involved, from shortly
            before its arrival to its end, and blocks or releases of the same
            request at any time.
        causes: Descriptions of what led to its end.
        left_out: Number of log lines that the instances dropped.
    """

    request_events: tuple[Event, ...]
    context: tuple[Event, ...]
    causes: tuple[str, ...]
    left_out: int


def read(lines: Iterable[str]) -> tuple[list[Event], int]:
    """Parses log lines into events; also returns the number of dropped lines.

    Text before the first brace of a line, such as a log collector's prefix,
    and lines that are not events are skipped.
    """
    events = []
    left_out = 0
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            raw = foreignbytes.json_value(line[start:])
        except ForeignDataError:
            continue
        if not isinstance(raw, dict) or "event" not in raw:
            continue
        try:
            at = foreignbytes.convert(raw.get("at", 0.0), float)
            left_out += foreignbytes.convert(raw.get("left_out", 0), int)
        except ForeignDataError:
            continue
        fields = {k: v for k, v in raw.items() if k not in _COMMON_FIELDS}
        events.append(
            Event(
                at,
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
    """Explains how a request ended; None if no event carries its id."""
    events = list(events)
    own = [event for event in events if event.fields.get("id") == request]
    if not own:
        return None
    first = min(
        event.at - float(event.fields.get("total_s", 0.0)) for event in own
    )
    ended = max(event.at for event in own)
    servers = {
        server for event in own for server in event.fields.get("servers", ())
    }
    instances = {event.instance for event in own}
    fingerprints = {event.fields.get("fingerprint") for event in own} - {
        "",
        None,
    }
    context = [
        event
        for event in events
        if event.name in _CONTEXT_EVENTS
        and event not in own
        and (
            event.fields.get("fingerprint") in fingerprints
            if event.name in _BLOCKING_EVENTS
            else first - CONTEXT_S <= event.at <= ended
            and _is_related(event, instances, servers)
        )
    ]
    causes = [cause for event in own for cause in _causes(event)]
    return Explanation(tuple(own), tuple(context), tuple(causes), left_out)


@dataclasses.dataclass(frozen=True)
class Loss:
    """Requests of one route that were not served for the same cause.

    Attributes:
        route: Route of the requests.
        cause: Description of the cause.
        count: Number of requests.
        example: Id of one of them.
        near_configuration: How many of them ended within
            `NEW_CONFIGURATION_S` after their instance received a configuration.
    """

    route: str
    cause: str
    count: int
    example: str
    near_configuration: int = 0


def summarize(events: Iterable[Event]) -> tuple[dict[str, int], list[Loss]]:
    """Counts requests by route, and unserved ones by route and cause.

    The unserved ones are sorted by count, highest first. A retry after a
    refusal may carry another id, so each attempt of a caller counts as a
    request.
    """
    total: collections.Counter[str] = collections.Counter()
    near: collections.Counter[tuple[str, str]] = collections.Counter()
    unserved: dict[tuple[str, str], list[str]] = {}
    for event in events:
        if event.name == "refused" and MEMORY_SHORT in _why(event):
            # It was refused while its body arrived, before its route counted.
            route = str(event.fields.get("path", "?"))
            total[route] += 1
            cause = "refused: no memory for large requests"
            ids = unserved.setdefault((route, cause), [])
            ids.append(str(event.fields.get("id", "?")))
        if event.name != "request":
            continue
        route = str(event.fields.get("route", "?"))
        total[route] += 1
        if not event.fields.get("whole"):
            key = (route, _loss_cause(event.fields))
            unserved.setdefault(key, []).append(
                str(event.fields.get("id", "?"))
            )
            age_s = event.fields.get("configuration_age_s", math.inf)
            near[key] += age_s <= NEW_CONFIGURATION_S
    losses = [
        Loss(*key, len(ids), ids[0], near[key]) for key, ids in unserved.items()
    ]
    losses.sort(key=lambda loss: (-loss.count, loss.route, loss.cause))
    return dict(total), losses


def _why(event: Event) -> str:
    return str(event.fields.get("why", ""))


def _loss_cause(fields: dict[str, Any]) -> str:
    """Describes why a request was not served, and why nobody else served it."""
    cause = _ending_cause(fields)
    obstacle = fields.get("obstacle")
    if obstacle and fields.get("servers"):
        return f"{cause}; not tried again: {obstacle}"
    return cause


def _ending_cause(fields: dict[str, Any]) -> str:
    """Describes what ended a request that was not served."""
    status, begun = fields.get("status"), bool(fields.get("events"))
    sent = bool(fields.get("servers"))
    why = str(fields.get("why", ""))
    step = fields.get("step")
    if fields.get("ended") != "done":
        if step == Step.STOP:
            return "instance stopped " + (
                "during the answer" if begun else "before the answer"
            )
        if begun:
            return "caller left during the answer"
        return "caller left before the answer" + (
            "" if sent else ", not yet placed"
        )
    if STALLED in why:
        return "caller stopped reading the answer"
    if RELAY_LOST in why:
        return "instance that relayed the server's connection lost"
    if BROKE_OFF in why:
        return "server connection lost during the answer"
    if "time was over" in why:
        return "time limit exceeded" + (" during the answer" if begun else "")
    if ORIGIN_UNKNOWN in why:
        return "refused: unknown which software version began the stream"
    if VERSION_GONE in why or SERVICE_CHANGED in why:
        return (
            "stream could go on nowhere: no server like the one that began it"
        )
    if status == 503 and OVER_SHARE in why:
        return "refused: organisation over its share"
    if status == 503:
        return "refused: " + (
            "servers did not run it" if sent else "no capacity"
        )
    if begun and step in _STEPS_OF_INSTANCE:
        return _STEPS_OF_INSTANCE[step]
    if begun:
        return "server connection lost during the answer"
    if status in (502, 504):
        return "server connection lost before the answer"
    if not sent:
        return "refused: servers crash while running it"
    return f"server answered {status}"


def _is_related(event: Event, instances: set[str], servers: set[str]) -> bool:
    if event.name in _SERVER_EVENTS:
        named = {event.fields.get("server"), event.fields.get("source")}
        return bool(named & servers)
    return event.instance in instances


def _causes(event: Event) -> list[str]:
    fields = event.fields
    if event.name == "refused":
        causes = [
            f"refused with {fields.get('status')} before it was placed:"
            f" {fields.get('why')}"
        ]
        if MEMORY_SHORT in _why(event):
            causes.append(
                "the instance held too many bytes for slow callers and large"
                " bodies; the request did not run"
            )
        return causes
    if event.name == "caller_stalled":
        return [
            f"its caller read nothing for {fields.get('stalled_s')} s, with"
            f" {fields.get('unacknowledged')} bytes on the way to it, while the"
            " server waited; no server is at fault"
        ]
    if event.name == "move":
        return _move_causes(fields)
    if event.name == "end_unread":
        return [
            "its answer was complete, but its caller lost the end of it:"
            f" {_why(event)}"
        ]
    if event.name != "request":
        return []
    causes = []
    waited = fields.get("waited_s") or 0.0
    if waited > LONG_WAIT_S:
        causes.append(f"waited {waited} s in the queue for a server")
    first, pause = fields.get("first_s"), fields.get("pause_s") or 0.0
    if first is not None:
        causes.append(
            f"first event after {first} s, longest pause between events"
            f" {pause} s,"
            f" {fields.get('events')} events"
        )
    if len(fields.get("servers", ())) > 1:
        causes.append(
            f"sent to {len(fields['servers'])} servers, one after another"
        )
    if fields.get("after"):
        causes.append(
            f"continued a stream of {fields.get('resumes') or 'an unnamed id'}"
            f" after event {fields['after']}"
        )
    versions = list(dict.fromkeys(fields.get("versions") or ()))
    if len(versions) > 1:
        causes.append(
            "its events come from servers of several software versions: "
            + ", ".join(versions)
        )
    relays = fields.get("relays") or ()
    if relays:
        causes.append(
            "its instance did not reach the servers itself; relayed by "
            + ", ".join(relays)
        )
    causes += _ending_causes(fields)
    if fields.get("why"):
        causes.append(f"last error: {fields['why']}")
    status = fields.get("status")
    if fields.get("step") == Step.STOP:
        causes.append(f"its instance stopped after {fields.get('total_s')} s")
    elif fields.get("ended") != "done":
        causes.append(f"the caller left after {fields.get('total_s')} s")
    elif status == 503:
        causes.append("answered 503: the request did not run")
        if OVER_SHARE in str(fields.get("why", "")):
            causes.append(
                "its organisation had more waiting work than the mean of those"
                " that competed with it; the last error says when its turn came"
            )
    elif status == 500 and not fields.get("servers"):
        causes.append("answered 500: it did not run and is not sent again")
    elif status in (502, 504):
        causes.append(f"answered {status}: the request may have run")
    age_s = fields.get("configuration_age_s")
    received = f" received {age_s} s before" if age_s is not None else ""
    causes.append(
        f"state at its end: configuration {fields.get('configuration')}"
        f"{received}, data {fields.get('knowledge_age_s')} s old,"
        f" last response of the store {fields.get('store_age_s')} s old,"
        f" {fields.get('instances')} live instances"
    )
    return causes


def _move_causes(fields: dict[str, Any]) -> list[str]:
    """Describes an order to move a run; lines of former versions name none."""
    order, source = fields.get("order"), fields.get("source")
    status, target = fields.get("status"), fields.get("target")
    if order == "copy":
        return [
            f"a copy to move its run was refused with {status}; the run went on"
            f" at {source}"
        ]
    if order == "stop" and target:
        return [f"its run was stopped at {source} to continue at {target}"]
    if order == "stop":
        return [
            f"its run was ordered to stop at {source}, which named no copy"
            f" (status {status}, 0 for no reply)"
        ]
    return []


def _ending_causes(fields: dict[str, Any]) -> list[str]:
    """Describes who ended an answer; lines of former versions don't say it."""
    actor, step = fields.get("ended_by"), fields.get("step")
    if not actor or step == Step.WHOLE:
        return []
    servers = fields.get("servers") or ()
    place = f" at server {servers[-1]}" if servers else ""
    causes = [f"ended by {_ACTORS.get(actor, actor)}{place}: {step}"]
    if fields.get("obstacle"):
        causes.append(f"tried at no further server: {fields['obstacle']}")
    return causes
