"""Server-sent events: incremental parsing with a bounded buffer.

This module does not use a library since it runs for every token; the available
libraries parse decoded text line by line within an HTTP client of their own.
"""

import dataclasses

MAX_EVENT_BYTES = 1 << 20


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A parsed event.

    Attributes:
        data: Values of the data fields, joined by line feeds.
        id: Value of the id field, or empty.
        kind: Value of the event field, or empty.
    """

    data: bytes
    id: bytes = b""
    kind: bytes = b""


class Parser:
    """Parses a byte stream, split into chunks at any point, into events."""

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, chunk: bytes) -> list[Event]:
        """Adds a chunk and returns the events that it completes.

        Raises:
            ValueError: if an event is larger than MAX_EVENT_BYTES.
        """
        text = self._buffer + chunk
        if b"\r" in text:
            # A chunk may end between CR and LF, so a final CR is kept back.
            held = b"\r" if text.endswith(b"\r") else b""
            text = text[: len(text) - len(held)].replace(b"\r\n", b"\n")
            text = text.replace(b"\r", b"\n") + held
        *blocks, self._buffer = text.split(b"\n\n")
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError("the event exceeds the size limit")
        events = (_parse_event(block) for block in blocks)
        return [event for event in events if event is not None]


def _parse_event(block: bytes) -> Event | None:
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
    """An unmodified event.

    Attributes:
        data: Bytes of the event, including the empty line at its end.
        id: Value of the id field, or empty.
    """

    data: bytes
    id: bytes


class EventSplitter:
    """Splits a byte stream into complete, unmodified events.

    A backend server that crashes may stop in the middle of an event. If only
    complete events are forwarded, another server can continue the stream
    after the last one without a partial event in between.
    """

    def __init__(self) -> None:
        self._buffer = b""
        self._last_block = b""

    @property
    def ends_with_event(self) -> bool:
        """Whether the stream so far ends with a complete event with data."""
        return not self._buffer and any(
            line.startswith(b"data") for line in self._last_block.split(b"\n")
        )

    @property
    def has_partial_event(self) -> bool:
        """Whether the stream so far ends with an incomplete event."""
        return bool(self._buffer)

    def feed(self, chunk: bytes) -> list[RawEvent]:
        """Adds a chunk and returns the events that it completes.

        Raises:
            ValueError: if an event is larger than MAX_EVENT_BYTES.
        """
        *blocks, self._buffer = (self._buffer + chunk).split(b"\n\n")
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError("the event exceeds the size limit")
        if blocks:
            self._last_block = blocks[-1]
        return [RawEvent(block + b"\n\n", _parse_id(block)) for block in blocks]


def _parse_id(block: bytes) -> bytes:
    for line in block.split(b"\n"):
        if line.startswith(b"id:"):
            return line[3:].strip()
    return b""
