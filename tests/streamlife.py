"""Reads the whole life of streams, and numbers that only rise.

Used by the randomised runs on the platform's interface. A stream's events hold
one or more of its tokens; an event's id is the number of its last token.
"""

import json
import re
from collections.abc import Iterable, Mapping

_EVENT = re.compile(
    rb"id: (\d+)\ndata: (t\d+(?: t\d+)*)\.*(?:@[^\n]*)?\n\n", re.DOTALL
)


def last_id(stream: bytes) -> int:
    """Returns the id of a stream's last whole event; 0 without one."""
    ids = re.findall(rb"(?:^|\n\n)id: (\d+)\n", stream.rpartition(b"\n\n")[0])
    return int(ids[-1]) if ids else 0


def up_to(stream: bytes, last: int) -> bytes:
    """Returns the events of a stream up to an id."""
    blocks = [block + b"\n\n" for block in stream.split(b"\n\n")[:-1]]
    return b"".join(block for block in blocks if last_id(block) <= last)


def tokens_of(event: bytes) -> list[int]:
    """Returns the numbers of an event's tokens; empty if it is no event."""
    match = _EVENT.fullmatch(event)
    return [int(item[1:]) for item in match[2].split()] if match else []


def stream_faults(
    events: bytes, after: int, due: int, *, whole: bool
) -> list[str]:
    """Returns what is wrong with the events of one answer.

    Args:
        events: Its whole events.
        after: Token after which it goes on; 0 for a new stream.
        due: Number of the stream's last token.
        whole: Whether the answer counts as complete.
    """
    found = []
    end = 0
    expected, previous_id = after + 1, after
    for position, match in enumerate(_EVENT.finditer(events), 1):
        if match.start() != end:
            break
        end = match.end()
        tokens = [int(item[1:]) for item in match[2].split()]
        event_id = int(match[1])
        if event_id <= previous_id:
            found.append(f"event {position}: id {event_id} after {previous_id}")
        if tokens[-1] != event_id:
            found.append(f"event {position}: id {event_id} of {tokens}")
        for token in tokens:
            if token != expected:
                kind = "twice" if token < expected else "missing before"
                found.append(
                    f"event {position}: t{token} {kind}, t{expected} expected"
                )
            expected = token + 1
        previous_id = event_id
    if end != len(events):
        found.append(f"no event: {events[end : end + 60]!r}")
    if whole and after < due and expected != due + 1:
        found.append(f"complete after t{expected - 1} of t{due}")
    if expected > max(due, after) + 1:
        found.append(f"t{expected - 1} beyond the last, t{due}")
    return found


class RisingNumbers:
    """Numbers of one process that must not go back, by their names.

    Example:
        >>> numbers = RisingNumbers()
        >>> numbers.note("version", 3), numbers.note("version", 2)
        ('', 'version went back from 3 to 2')
    """

    def __init__(self) -> None:
        self._highest: dict[str, float] = {}

    def note(self, name: str, number: float) -> str:
        """Notes a number; returns what is wrong with it, "" if nothing."""
        before = self._highest.get(name, number)
        self._highest[name] = max(before, number)
        if number < before:
            return f"{name} went back from {before:g} to {number:g}"
        return ""

    def note_metrics(self, text: str) -> list[str]:
        """Notes the counters of an instance's metrics."""
        found = []
        for line in text.splitlines():
            name, _, value = line.rpartition(" ")
            if line.startswith("#") or "_total" not in name:
                continue
            found.append(self.note(name, float(value)))
        return [fault for fault in found if fault]


def log_faults(lines: Iterable[str]) -> list[str]:
    """Returns which numbers in an instance's log go back within a process."""
    numbers = RisingNumbers()
    found = []
    for line in lines:
        try:
            event = json.loads(line)
        except ValueError:
            continue
        if event.get("event") == "start":
            numbers = RisingNumbers()
        found += _event_faults(event, numbers)
    return found


def _event_faults(event: Mapping, numbers: RisingNumbers) -> list[str]:
    noted = {"steady": event.get("steady")}
    if event.get("event") == "configuration":
        noted["configuration in force"] = event.get("version")
    if event.get("event") in ("request", "refused", "ready"):
        noted["configuration of requests"] = event.get("configuration")
    if event.get("event") == "store_era":
        noted["era"] = event.get("era")
    faults = [
        numbers.note(name, number)
        for name, number in noted.items()
        if isinstance(number, int | float)
    ]
    return [fault for fault in faults if fault]
