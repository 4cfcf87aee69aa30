"""Header fields of callers' requests and of backend servers' answers."""

import math

import msgspec

from jasminerelay.catalog import BackendServer, Call, Prompt, PromptPart
from jasminerelay.evacuation import MOVE_TIMEOUT_S, Copy
from jasminerelay.exchange import Head, Sending
from jasminerelay.httpclient import Exchange, Reply

MS = 1000.0
URGENT = b"0"
USUAL = b"5"
"""The platform's urgencies go from 0, the first, to 9."""

MISDIRECTED = 421
"""Another server has the address now; the request has not run."""

ATTEMPT = b"attempt-id"
DEADLINE = b"deadline-ms"
AUTHORIZATION = b"authorization"
LAST_EVENT = b"last-event-id"
_EXPECTED_SERVER = b"expect-instance"
_ORGANISATION = b"tenant"
_URGENCY = b"request-urgency"
_NOT_RUN = b"not-executed"
# Requests a second that the server takes from all instances together.
_LIMIT = b"server-limit"
# Address and run of a memory copy that the request goes on from.
_COPY_FROM = b"kv-from"
# Server from which the start of the prompt is copied, if it has it.
_FETCH_FROM = b"kv-fetch"
# Server that gets a copy of the run's memory as it grows.
_COPY_TO = b"kv-backup"

_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Fields that concern one connection only."""

_OURS = frozenset(
    {
        _EXPECTED_SERVER,
        _ORGANISATION,
        _URGENCY,
        _COPY_FROM,
        _COPY_TO,
        _FETCH_FROM,
        DEADLINE,
        AUTHORIZATION,
        b"content-length",
        b"expect",
        b"expect-version",
        b"host",
        b"hold",
        b"pin-ms",
        LAST_EVENT,
    }
)
"""Fields that this side sets itself, or that only it may set: a caller that
sends one could reserve, move or preempt what is not its own, or pose as
another organisation."""

_NOT_PASSED_BACK = _HOP | {
    b"content-length",
    b"instance-load",
    _NOT_RUN,
    _LIMIT,
}

MOST_LIMIT = 1e6
"""Requests a second from which on a limit is taken for a mistake."""

Fields = list[tuple[bytes, bytes]]


def passed_on(fields: Fields) -> tuple[tuple[bytes, bytes], ...]:
    """Returns those of a caller's fields that go to the server."""
    named = set()
    for name, value in fields:
        if name == b"connection":
            named |= {part.strip().lower() for part in value.split(b",")}
    left = _HOP | _OURS | named
    return tuple(item for item in fields if item[0] not in left)


def prompt_of(fields: dict[bytes, bytes]) -> Prompt | None:
    """Reads the prompt of a model request; None if it has none.

    Raises:
        ValueError: if a field cannot be read.
    """
    usage = fields.get(b"token-usage")
    if usage is None:
        return None
    tokens, _, output = usage.partition(b",")
    parts = []
    for item in fields.get(b"prefix-hash", b"").split(b","):
        name, _, size = item.strip().partition(b":")
        if name:
            parts.append(PromptPart(name.decode("latin-1"), int(size)))
    hint = fields.get(b"length-hint")
    return Prompt(
        tuple(parts),
        int(tokens),
        int(output or 0),
        int(float(hint)) if hint else None,
    )


def key_of(fields: dict[bytes, bytes]) -> str | None:
    """Returns the caller's key; None if there is none in the usual form."""
    scheme, _, key = fields.get(AUTHORIZATION, b"").partition(b" ")
    if scheme.lower() != b"bearer" or not key.strip():
        return None
    return key.strip().decode("latin-1")


class PlatformDialect:
    """The platform's words between this side and backend servers."""

    def request_headers(self, sending: Sending) -> Fields:
        """Returns all header fields of a request to a server."""
        call = sending.call
        fields = [(b"host", call.host.encode("latin-1")), *call.headers]
        left_ms = max(1, int(sending.left_s * MS))
        fields += [
            (DEADLINE, str(left_ms).encode()),
            (_EXPECTED_SERVER, sending.server.name.encode()),
        ]
        if call.organisation:
            fields.append((_ORGANISATION, call.organisation.encode()))
        if call.prompt is not None:
            fields.append((_URGENCY, URGENT if call.urgent else USUAL))
        if sending.after:
            fields.append((LAST_EVENT, sending.after.encode("latin-1")))
        if sending.copy is not None:
            copy = f"{sending.copy.source}/{sending.copy.handle}"
            fields.append((_COPY_FROM, copy.encode()))
        if sending.source is not None:
            fields.append((_FETCH_FROM, sending.source.address.encode()))
        if call.body or call.method not in ("GET", "HEAD", "DELETE"):
            size = str(len(call.body)).encode()
            fields.append((b"content-length", size))
        return fields

    def head(self, status: int, headers: Fields) -> Head:
        """Reads the head of a server's answer."""
        fields = {name.lower(): value for name, value in headers}
        connection = fields.get(b"connection", b"").lower()
        limit, limit_fault = _limit(fields.get(_LIMIT))
        return Head(
            status,
            tuple(
                item
                for item in headers
                if item[0].lower() not in _NOT_PASSED_BACK
            ),
            _NOT_RUN in fields or status == MISDIRECTED,
            fields.get(ATTEMPT, b"").decode("latin-1"),
            b"close" in connection,
            _idle_s(fields.get(b"keep-alive", b"")),
            status == MISDIRECTED,
            limit,
            limit_fault,
        )

    def move(
        self, call: Call, source: BackendServer, target: BackendServer
    ) -> Exchange:
        """Returns the order to stop a run and to copy its memory."""
        body = _Move(call.id, target.address, True)
        return Exchange(
            "POST",
            f"http://{source.address}/-/kv-move",
            {"content-type": "application/json"},
            msgspec.json.encode(body),
            MOVE_TIMEOUT_S,
        )

    def moved(
        self, reply: Reply, source: BackendServer, target: BackendServer
    ) -> Copy | None:
        """Reads the answer; None if the run goes on where it is."""
        if reply.status not in (200, 503):
            return None
        try:
            moved = msgspec.json.decode(reply.body, type=_Moved)
        except msgspec.MsgspecError:
            return None
        if not moved.handle:
            return None
        # Refused with a name: the run has stopped, the other server has no
        # room, and the memory is where it was.
        at = target if reply.status == 200 else source
        return Copy(source.address, moved.handle, at)


class _Move(msgspec.Struct):
    # Id of the caller's attempt whose run is meant.
    id: str
    # Address of the server that gets the copy.
    to: str
    # Whether the run stops first; else it goes on during the copy.
    final: bool


class _Moved(msgspec.Struct):
    handle: str = ""


def _limit(value: bytes | None) -> tuple[float | None, str]:
    """Returns the limit in a field, and what stands there in place of one."""
    if value is None:
        return None, ""
    try:
        limit = float(value)
    except ValueError:
        limit = math.nan
    if 0 <= limit <= MOST_LIMIT:
        return limit, ""
    return None, value[:80].decode("latin-1")


def _idle_s(value: bytes) -> float | None:
    for part in value.split(b","):
        name, _, seconds = part.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.isdigit():
            return float(seconds)
    return None
