"""Server-sent events: incremental parsing with a bounded buffer.

This module does not use a library since it runs for every token; the available
libraries parse decoded text line by line within an HTTP client of their own.
"""

import dataclasses

MAX_EVENT_BYTES = 1 << 20
MAX_COMMENT_BYTES = 64 * 1024
"""Bytes of blocks without data, such as comments, between two events."""

_BLOCK_END = b"\n\n"


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


class _BlockBuffer:
    """Splits a byte stream at empty lines; bounds what it keeps.

    Parts are joined only when a block is complete: a block of many small parts
    would otherwise be copied with each of them.
    """

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self._size = 0
        self._comment_bytes = 0

    def __bool__(self) -> bool:
        return bool(self._parts)

    def feed(self, chunk: bytes) -> list[bytes]:
        """Adds a chunk and returns the blocks that it completes.

        Raises:
            ValueError: if a block is larger than MAX_EVENT_BYTES, or more than
                MAX_COMMENT_BYTES come without any data.
        """
        if not chunk:
            return []
        last = self._parts[-1][-1:] if self._parts else b""
        self._parts.append(chunk)
        self._size += len(chunk)
        blocks: list[bytes] = []
        if _BLOCK_END in last + chunk:
            size = self._size
            *blocks, rest = b"".join(self._parts).split(_BLOCK_END)
            self._parts = [rest] if rest else []
            self._size = len(rest)
            if any(b"data" in block for block in blocks):
                self._comment_bytes = 0
            else:
                self._comment_bytes += size - len(rest)
        if self._size > MAX_EVENT_BYTES:
            raise ValueError("the event exceeds the size limit")
        if self._comment_bytes > MAX_COMMENT_BYTES:
            raise ValueError("too many bytes without an event")
        return blocks


class Parser:
    """Parses a byte stream, split into chunks at any point, into events."""

    def __init__(self) -> None:
        self._blocks = _BlockBuffer()
        self._held = b""

    def feed(self, chunk: bytes) -> list[Event]:
        """Adds a chunk and returns the events that it completes.

        Raises:
            ValueError: if an event is larger than MAX_EVENT_BYTES, or more than
                MAX_COMMENT_BYTES come without any data.
        """
        text = self._held + chunk
        self._held = b""
        if b"\r" in text:
            # A chunk may end between CR and LF, so a final CR is kept back.
            self._held = b"\r" if text.endswith(b"\r") else b""
            text = text.removesuffix(b"\r").replace(b"\r\n", b"\n")
            text = text.replace(b"\r", b"\n")
        events = (_parse_event(block) for block in self._blocks.feed(text))
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
        self._blocks = _BlockBuffer()
        self._last_block = b""

    @property
    def ends_with_event(self) -> bool:
        """Whether the stream so far ends with a complete event with data."""
        return not self._blocks and any(
            line.startswith(b"data") for line in self._last_block.split(b"\n")
        )

    @property
    def has_partial_event(self) -> bool:
        """Whether the stream so far ends with an incomplete event."""
        return bool(self._blocks)

    def feed(self, chunk: bytes) -> list[RawEvent]:
        """Adds a chunk and returns the events that it completes.

        Raises:
            ValueError: if an event is larger than MAX_EVENT_BYTES, or more than
                MAX_COMMENT_BYTES come without any data.
        """
        blocks = self._blocks.feed(chunk)
        if blocks:
            self._last_block = blocks[-1]
        return [
            RawEvent(block + _BLOCK_END, _parse_id(block)) for block in blocks
        ]


def _parse_id(block: bytes) -> bytes:
    for line in block.split(b"\n"):
        if line.startswith(b"id:"):
            return line[3:].strip()
    return b""
