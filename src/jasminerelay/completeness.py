"""Decides whether a backend server's answer is complete.

A length or a last chunk proves the end of a body. A body that ends with its
connection proves nothing by its end, since the connection of a server that
crashes ends as well; its content has to show that it is complete.
"""

import enum
from collections.abc import Iterable

from jasminerelay.sse import EventSplitter

MIN_STATUS = 100
MIN_FINAL_STATUS = 200
MIN_FAILURE_STATUS = 400
MAX_STATUS = 599
SWITCHING_PROTOCOLS = 101
STATUSES_WITHOUT_BODY = (204, 304)


class Framing(enum.Enum):
    """What marks the end of a response's body."""

    NO_BODY = "no body"
    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"


def head_fault(
    status: int, version: str, fields: Iterable[tuple[bytes, bytes]]
) -> str:
    """Returns why a head is that of no response in HTTP/1.1; "" if it is.

    Args:
        status: Status.
        version: Version of HTTP that it states.
        fields: Header fields.
    """
    if version not in ("1.0", "1.1"):
        return f"a response in HTTP/{version}"
    if not MIN_STATUS <= status <= MAX_STATUS or status == SWITCHING_PROTOCOLS:
        return f"a response with status {status}"
    for name, value in fields:
        if name.lower() != b"transfer-encoding":
            continue
        # The parser takes spaces that follow for no part of it, but not tabs.
        if value.rstrip(b" ").lower() != b"chunked":
            # The caller is not told of it, and would take it for the body.
            return "a response in a coding that nobody asked for"
    return ""


def is_framed_twice(fields: Iterable[tuple[bytes, bytes]]) -> bool:
    """Returns whether a head states a length and chunks.

    The chunks count, but what follows them may belong to nothing.
    """
    names = {name.lower() for name, _ in fields}
    return {b"content-length", b"transfer-encoding"} <= names


def framing(
    status: int,
    fields: Iterable[tuple[bytes, bytes]],
    *,
    has_body: bool = True,
) -> Framing:
    """Returns what marks the end of a body, from the response's head.

    Args:
        status: Status.
        fields: Header fields.
        has_body: Whether the request's method allows a body.
    """
    if not has_body or status in STATUSES_WITHOUT_BODY:
        return Framing.NO_BODY
    found = Framing.CONNECTION
    for name, value in fields:
        if name.lower() == b"content-length":
            found = Framing.LENGTH
        elif (
            name.lower() == b"transfer-encoding" and b"chunked" in value.lower()
        ):
            return Framing.CHUNKS
    return found


def body_fault(ended_by: Framing, status: int, size: int) -> str:
    """Returns why a body that has ended is not complete; "" if it is.

    Args:
        ended_by: What marks its end.
        status: Status of its response.
        size: Its size in bytes.
    """
    if (
        ended_by is Framing.CONNECTION
        and not size
        and status < MIN_FAILURE_STATUS
    ):
        return "the connection ended before the first byte of the body"
    return ""


def stream_fault(
    ended_by: Framing,
    splitter: EventSplitter,
    *,
    may_have_stopped: bool = False,
) -> str:
    """Returns why a stream of events that has ended is not complete.

    Args:
        ended_by: What marks its end.
        splitter: Splitter that got all of it.
        may_have_stopped: Whether its server may have stopped the run by order,
            and closed the stream without an end.

    Returns:
        The reason; "" if it is complete.
    """
    if splitter.has_partial_event:
        return "the stream ended within an event"
    if ended_by is not Framing.CONNECTION:
        return ""
    if not splitter.ends_with_event:
        return "the connection ended before the first event"
    if may_have_stopped:
        return "the connection ended after an order to stop the run"
    return ""
