"""Claim rows of calls that run at most once.

The row is inserted, on condition that none exists, after the permit is granted
and right before the call is dispatched. The instance that inserts it dispatches
the call, once. Unlike a lease, a claim never expires while its outcome is open,
so a paused owner cannot lose it.
"""

import dataclasses
import hashlib

import msgspec

from jasminerelay.errors import (
    RAN_UNKNOWN,
    IdempotencyConflictError,
    IdempotencyKeyReusedError,
)
from jasminerelay.statednumbers import Count, Number

OPEN = "open"
DONE = "done"
NOT_RUN = "not_run"
UNKNOWN = "unknown"

OPEN_RETRY_S = 1.0


@dataclasses.dataclass(frozen=True)
class Claim:
    """A claim row.

    Attributes:
        digest: Digest of the request that the idempotency key was used for.
        token: Random token by which the owner recognises its own insert.
        state: `OPEN`, `DONE`, `NOT_RUN` or `UNKNOWN`.
        status: HTTP status of the recorded answer.
        content_type: Media type of the recorded answer.
        body: Body of the recorded answer, unless in the object store.
        object_key: Key of that body in the object store, or "".
        size: Size of that body in bytes; 0 if an earlier version recorded it.
        at: Unix time of the claim in seconds, for retention.
    """

    digest: str
    token: str
    state: str = OPEN
    status: Count = 0
    content_type: str = ""
    body: str = ""
    object_key: str = ""
    size: Count = 0
    at: Number = 0.0


def row_key(organisation: str, service: str, idempotency_key: str) -> str:
    """Returns the key of a claim row.

    It includes the organisation, so no caller can read the recorded outcome
    of another organisation by guessing its idempotency key.
    """
    parts = msgspec.json.encode([organisation, service, idempotency_key])
    return "claim/" + hashlib.sha256(parts).hexdigest()


def request_digest(method: str, path: str, query: str, body: bytes) -> str:
    """Returns a digest that identifies repeats of the same request."""
    request_line = msgspec.json.encode([method, path, query])
    return hashlib.sha256(request_line + b"\x00" + body).hexdigest()


def check_replayable(
    row: Claim, digest: str, now: float, max_call_s: float
) -> None:
    """Returns if the recorded answer may be replayed to a repeat.

    Args:
        row: The existing row.
        digest: Digest of the repeated request.
        now: Unix time in seconds.
        max_call_s: Longest duration of a call in seconds. An older open row
            belongs to an instance that has failed. The age selects only the
            error message; it never lets the call run again.

    Raises:
        IdempotencyKeyReusedError: if the row belongs to another request.
        IdempotencyConflictError: if its outcome is open or unknown.
    """
    if row.digest != digest:
        raise IdempotencyKeyReusedError(
            "this Idempotency-Key was used for another request"
        )
    if row.state == OPEN and now - row.at <= max_call_s:
        raise IdempotencyConflictError(
            "a request with this key is in progress",
            ran=RAN_UNKNOWN,
            retry_s=OPEN_RETRY_S,
        )
    if row.state in (OPEN, UNKNOWN):
        raise IdempotencyConflictError(
            "whether the request with this key ran is unknown",
            ran=RAN_UNKNOWN,
            remedy="Look the result up at the service before using a new key.",
        )
