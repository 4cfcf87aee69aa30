"""Server-sent events: a bounded incremental parser.

Written here, since it runs for every token and the libraries at hand parse
decoded text by line inside an HTTP client of their own.
"""

import dataclasses

MAX_EVENT_BYTES = 1 << 20


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One event.

    Attributes:
        data: Its data lines, joined by line feeds.
        id: Its id line, or empty.
        kind: Its event line, or empty.
    """

    data: bytes
    id: bytes = b""
    kind: bytes = b""


class Parser:
    """Splits a byte stream into events, whatever the chunking."""

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, chunk: bytes) -> list[Event]:
        """Returns the events that are whole now.

        Raises:
            ValueError: if an event is larger than MAX_EVENT_BYTES.
        """
        text = self._buffer + chunk
        if b"\r" in text:
            # A chunk may end between CR and LF; the CR waits for its LF.
            held = b"\r" if text.endswith(b"\r") else b""
            text = text[: len(text) - len(held)].replace(b"\r\n", b"\n")
            text = text.replace(b"\r", b"\n") + held
        *blocks, self._buffer = text.split(b"\n\n")
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError("event is too large")
        events = (_event(block) for block in blocks)
        return [event for event in events if event is not None]


def _event(block: bytes) -> Event | None:
    fields: dict[bytes, list[bytes]] = {}
    for line in block.split(b"\n"):
        name, _, value = line.partition(b":")
        fields.setdefault(name, []).append(value.removeprefix(b" "))
    if b"data" not in fields:
        return None
    return Event(
        b"\n".join(fields[b"data"]),
        fields.get(b"id", [b""])[-1],
        fields.get(b"event", [b""])[-1],
    )


@dataclasses.dataclass(frozen=True, slots=True)
class RawEvent:
    """One event as it came.

    Attributes:
        data: Its bytes, with the empty line that ends it.
        id: Its id line, or empty.
    """

    data: bytes
    id: bytes


class EventCutter:
    """Cuts a byte stream into whole events and leaves their bytes alone.

    A backend server that crashes may stop in the middle of an event. Passing
    on whole events only means that another server can go on behind the last
    one without a torn piece between.
    """

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def torn(self) -> bool:
        """Whether an event has begun and not ended."""
        return bool(self._buffer)

    def feed(self, chunk: bytes) -> list[RawEvent]:
        """Returns the events that are whole now.

        Raises:
            ValueError: if an event is larger than MAX_EVENT_BYTES.
        """
        *blocks, self._buffer = (self._buffer + chunk).split(b"\n\n")
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError("event is too large")
        return [RawEvent(block + b"\n\n", _id_of(block)) for block in blocks]


def _id_of(block: bytes) -> bytes:
    for line in block.split(b"\n"):
        if line.startswith(b"id:"):
            return line[3:].strip()
    return b""
