"""Header fields of callers' requests and of backend servers' answers."""

from jasminerelay.catalog import Prompt, PromptPart
from jasminerelay.exchange import Head, Sending

MS = 1000.0
URGENCY_LAST = 9
"""The platform's urgencies go from 0, the first, to 9."""

ATTEMPT = b"attempt-id"
DEADLINE = b"deadline-ms"
AUTHORIZATION = b"authorization"
LAST_EVENT = b"last-event-id"
_EXPECTED_SERVER = b"expect-instance"
_ORGANISATION = b"tenant"
_URGENCY = b"request-urgency"
_NOT_RUN = b"not-executed"
# Address and run of a memory copy that the request goes on from.
_COPY_FROM = b"kv-from"
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
        DEADLINE,
        AUTHORIZATION,
        b"content-length",
        b"expect",
        b"expect-version",
        b"host",
        b"hold",
        b"kv-fetch",
        b"pin-ms",
        LAST_EVENT,
    }
)
"""Fields that this side sets itself, or that only it may set: a caller that
sends one could reserve, move or preempt what is not its own, or pose as
another organisation."""

_NOT_PASSED_BACK = _HOP | {b"content-length", b"instance-load"}

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
            (_EXPECTED_SERVER, sending.server.id.encode()),
        ]
        if call.organisation:
            fields.append((_ORGANISATION, call.organisation.encode()))
        if call.prompt is not None:
            urgency = min(max(call.rank, 0), URGENCY_LAST)
            fields.append((_URGENCY, str(urgency).encode()))
        if sending.after:
            fields.append((LAST_EVENT, sending.after.encode("latin-1")))
        if sending.backup is not None:
            fields.append((_COPY_TO, sending.backup.address.encode()))
        if sending.copy_at:
            copy = f"{sending.copy_at}/{call.id}"
            fields.append((_COPY_FROM, copy.encode()))
        if call.body or call.method not in ("GET", "HEAD", "DELETE"):
            size = str(len(call.body)).encode()
            fields.append((b"content-length", size))
        return fields

    def head(self, status: int, headers: Fields) -> Head:
        """Reads the head of a server's answer."""
        fields = {name.lower(): value for name, value in headers}
        connection = fields.get(b"connection", b"").lower()
        return Head(
            status,
            tuple(
                item
                for item in headers
                if item[0].lower() not in _NOT_PASSED_BACK
            ),
            _NOT_RUN in fields or status == 421,
            status == 421,
            fields.get(ATTEMPT, b"").decode("latin-1"),
            b"close" in connection,
            _idle_s(fields.get(b"keep-alive", b"")),
        )


def _idle_s(value: bytes) -> float | None:
    for part in value.split(b","):
        name, _, seconds = part.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.isdigit():
            return float(seconds)
    return None
