"""Translates header fields of requests and of backend servers' responses."""

import msgspec

from jasminerelay import foreignbytes
from jasminerelay.catalog import BackendServer, Call, Prompt, PromptPart
from jasminerelay.errors import ForeignDataError
from jasminerelay.exchange import (
    OutgoingRequest,
    ResponseHead,
    ServerLoadStatement,
)
from jasminerelay.httpclient import HttpRequest, HttpResponse
from jasminerelay.migration import MOVE_TIMEOUT_S, KvCacheCopy
from jasminerelay.requestreader import connection_options
from jasminerelay.retryafter import parse_pause
from jasminerelay.statednumbers import SHOWN_CHARS, parse_amount, parse_whole

MS = 1000.0
MAX_URGENCY = 9
"""The platform's urgencies range from 0, the most urgent, to this one."""

MISDIRECTED = 421
"""Status from a server that has taken over the address of the expected one. The
request has not run."""

ATTEMPT_ID = b"attempt-id"
DEADLINE = b"deadline-ms"
AUTHORIZATION = b"authorization"
LAST_EVENT_ID = b"last-event-id"
# The caller's attempt that brought the first event of a continued stream.
RESUMES = b"resumes"
_EXPECTED_SERVER = b"expect-instance"
_ORGANISATION = b"tenant"
_URGENCY = b"request-urgency"
_NOT_RUN = b"not-executed"
# Requests per second that the server accepts from all instances together.
_RATE_LIMIT = b"server-limit"
# Requests running, requests waiting, slots and, optionally, how long work takes
# on the server's machine at this moment in percent, separated by commas.
_LOAD = b"instance-load"
_BRITTLE = b"server-brittle"
# "1" in the responses of a server that shuts down.
_LEAVING = b"server-leaving"
# Address and handle of the KV cache copy from which the request resumes.
_RESUME_FROM = b"kv-from"
# Server from which the prompt's cached prefix is copied, if it is there.
_FETCH_PREFIX_FROM = b"kv-fetch"
# Server to which the request's KV cache is replicated as it grows.
_BACKUP_TO = b"kv-backup"

# Seconds for which a server that rejects a request wants none from the sender.
_RETRY_AFTER = b"retry-after"

_MODEL = b"model"
_PROMPT_SIZE = b"token-usage"
_PROMPT_PARTS = b"prefix-hash"
_OUTPUT_HINT = b"length-hint"

OWN_FIELDS = frozenset(
    {
        ATTEMPT_ID,
        DEADLINE,
        AUTHORIZATION,
        LAST_EVENT_ID,
        RESUMES,
        _MODEL,
        _PROMPT_SIZE,
        _PROMPT_PARTS,
        _OUTPUT_HINT,
    }
)
"""Fields by which a request is identified and served. Twice in a head, an
instance and a server could believe different ones."""

_HOP_BY_HOP = frozenset(
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
"""Hop-by-hop fields, which are not forwarded."""

_RESERVED = frozenset(
    {
        _EXPECTED_SERVER,
        _ORGANISATION,
        _URGENCY,
        _RESUME_FROM,
        _BACKUP_TO,
        _FETCH_PREFIX_FROM,
        DEADLINE,
        AUTHORIZATION,
        b"content-length",
        b"expect",
        b"expect-version",
        b"host",
        b"hold",
        b"pin-ms",
        LAST_EVENT_ID,
    }
)
"""Fields that the router sets itself, or that only it may set. A caller that
could send the latter would be able to reserve capacity, to move or preempt
other callers' requests, or to impersonate another organisation."""

_NOT_RETURNED = _HOP_BY_HOP | {
    b"content-length",
    _LOAD,
    _BRITTLE,
    _NOT_RUN,
    _RATE_LIMIT,
    _LEAVING,
}
"""Fields that concern only the connection to the server, or only this router.
"""

MAX_PROMPT_TOKENS = 1 << 31
"""Tokens that stand for any larger number of them that a caller states. No
server holds nearly as many."""

MAX_KEEP_ALIVE_S = 86_400.0

MAX_RATE_LIMIT = 1e6
"""Highest valid rate limit in requests per second; a higher one is a fault."""

MAX_LOAD_DIGITS = 6
PERCENT = 100
"""Longest valid figure of a stated load, and its unit of the slowdown."""

HeaderFields = list[tuple[bytes, bytes]]


def forwarded_fields(fields: HeaderFields) -> tuple[tuple[bytes, bytes], ...]:
    """Returns the caller's header fields to forward to the server."""
    connection_fields = set()
    for name, value in fields:
        if name == b"connection":
            connection_fields |= connection_options(value)
    dropped = _HOP_BY_HOP | _RESERVED | connection_fields
    return tuple(item for item in fields if item[0] not in dropped)


def prompt_part_count(fields: dict[bytes, bytes]) -> int:
    """Returns of how many parts a request says its prompt consists, at most."""
    return 1 + fields.get(_PROMPT_PARTS, b"").count(b",")


def parse_prompt(fields: dict[bytes, bytes]) -> Prompt | None:
    """Parses the prompt description of a model request; None if there is none.

    Raises:
        ValueError: if a field is malformed.
    """
    usage = fields.get(_PROMPT_SIZE)
    if usage is None:
        return None
    tokens, _, output = usage.partition(b",")
    parts = []
    for item in fields.get(_PROMPT_PARTS, b"").split(b","):
        name, _, size = item.strip().partition(b":")
        if name:
            parts.append(PromptPart(name.decode("latin-1"), _tokens(size)))
    hint = fields.get(_OUTPUT_HINT)
    return Prompt(
        tuple(parts),
        _tokens(tokens),
        _tokens(output or b"0"),
        int(parse_amount(hint, MAX_PROMPT_TOKENS)) if hint else None,
    )


def parse_time_limit_s(fields: dict[bytes, bytes]) -> float | None:
    """Parses how long the caller will wait; None if it does not state that.

    Raises:
        ValueError: if the field is no number, 0 or more.
    """
    text = fields.get(DEADLINE)
    return parse_amount(text) / MS if text else None


def bearer_key(fields: dict[bytes, bytes]) -> str | None:
    """Returns the API key of the bearer authorization; None without one."""
    scheme, _, key = fields.get(AUTHORIZATION, b"").partition(b" ")
    if scheme.lower() != b"bearer" or not key.strip():
        return None
    return key.strip().decode("latin-1")


class PlatformDialect:
    """Encodes requests to backend servers and decodes their responses."""

    def request_headers(self, sending: OutgoingRequest) -> HeaderFields:
        """Returns all header fields of the request to a server."""
        call = sending.call
        fields = [(b"host", call.host.encode("latin-1")), *call.headers]
        left_ms = max(1, int(sending.remaining_s * MS))
        fields += [
            (DEADLINE, str(left_ms).encode()),
            (_EXPECTED_SERVER, sending.server.name.encode()),
        ]
        if call.organisation:
            fields.append((_ORGANISATION, call.organisation.encode()))
        if call.prompt is not None:
            fields.append((_URGENCY, b"%d" % min(call.urgency, MAX_URGENCY)))
        if sending.after:
            fields.append((LAST_EVENT_ID, sending.after.encode("latin-1")))
        if sending.copy is not None:
            copy = f"{sending.copy.source.address}/{sending.copy.handle}"
            fields.append((_RESUME_FROM, copy.encode()))
        if sending.source is not None:
            fields.append((_FETCH_PREFIX_FROM, sending.source.address.encode()))
        if call.body or call.method not in ("GET", "HEAD", "DELETE"):
            size = str(len(call.body)).encode()
            fields.append((b"content-length", size))
        return fields

    def head(self, status: int, headers: HeaderFields) -> ResponseHead:
        """Parses the status and header fields of a server's response."""
        fields: dict[bytes, bytes] = {}
        for name, value in headers:
            name = name.lower()
            # A field that stands twice is one list, which is seldom valid.
            known = fields.get(name)
            fields[name] = value if known is None else known + b", " + value
        options = connection_options(fields.get(b"connection", b""))
        not_returned = _NOT_RETURNED | options
        limit, limit_fault = _parse_rate_limit(fields.get(_RATE_LIMIT))
        load, load_fault = _parse_load(fields.get(_LOAD))
        pause = fields.get(_RETRY_AFTER)
        pause_s, pause_fault = parse_pause(
            status, None if pause is None else pause.decode("latin-1")
        )
        return ResponseHead(
            status,
            tuple(
                item for item in headers if item[0].lower() not in not_returned
            ),
            _NOT_RUN in fields or status == MISDIRECTED,
            fields.get(ATTEMPT_ID, b"").decode("latin-1"),
            b"close" in options,
            _keep_alive_s(fields.get(b"keep-alive", b"")),
            status == MISDIRECTED,
            limit,
            limit_fault,
            fields.get(_LEAVING, b"0").strip() not in (b"", b"0"),
            pause_s,
            pause_fault,
            load,
            load_fault,
            *_parse_brittle(fields.get(_BRITTLE)),
        )

    def move(
        self,
        call: Call,
        source: BackendServer,
        target: BackendServer,
        *,
        stop: bool,
    ) -> HttpRequest:
        """Returns the call that copies a request's KV cache.

        With `stop`, the request stops first.
        """
        body = _MoveOrder(call.id, target.address, stop)
        return HttpRequest(
            "POST",
            f"http://{source.address}/-/kv-move",
            {"content-type": "application/json"},
            msgspec.json.encode(body),
            MOVE_TIMEOUT_S,
        )

    def moved(
        self, reply: HttpResponse, source: BackendServer, target: BackendServer
    ) -> KvCacheCopy | None:
        """Parses the response to a move; None if the request was not moved."""
        if reply.status not in (200, 503):
            return None
        try:
            moved = _read_move_reply(reply.body)
        except ForeignDataError:
            return None
        if not moved.handle:
            return None
        # 503 with a handle: the request has stopped, but the target server
        # has no capacity, so the KV cache is still at the source.
        at = target if reply.status == 200 else source
        return KvCacheCopy(source, moved.handle, at)

    def run_unknown(self, reply: HttpResponse) -> bool:
        """Returns whether the server had no such run."""
        return reply.status == _NO_SUCH_RUN

    def busy(self, reply: HttpResponse) -> bool:
        """Returns whether the server is carrying out an earlier move."""
        return reply.status == _MOVE_UNDER_WAY

    def drop_copy(self, copy: KvCacheCopy) -> HttpRequest:
        """Returns the call that frees a copy at both servers."""
        return HttpRequest(
            "DELETE",
            f"http://{copy.source.address}/-/kv-handle/{copy.handle}",
            {},
            b"",
            MOVE_TIMEOUT_S,
        )


class _MoveOrder(msgspec.Struct):
    # Attempt id of the request to move.
    id: str
    # Address of the server that receives the copy.
    to: str
    # Whether the request stops first; otherwise it continues during the copy.
    final: bool


_NO_SUCH_RUN = 404
_MOVE_UNDER_WAY = 409


class _MoveReply(msgspec.Struct):
    handle: foreignbytes.Token = ""


_read_move_reply = foreignbytes.json_reader(_MoveReply)


def _parse_rate_limit(value: bytes | None) -> tuple[float | None, str]:
    """Returns the rate limit, and the field's text if it is not valid."""
    if value is None:
        return None, ""
    try:
        limit = parse_amount(value)
    except ValueError:
        return None, _shown(value)
    return (limit, "") if limit <= MAX_RATE_LIMIT else (None, _shown(value))


def _parse_load(
    value: bytes | None,
) -> tuple[ServerLoadStatement | None, str]:
    """Returns the stated load, and the field's text if it is not valid."""
    if value is None:
        return None, ""
    figures = [item.strip() for item in value.split(b",")]
    # `isdigit` of bytes accepts ASCII digits only; `int` would accept "1_0".
    if len(figures) in (3, 4) and all(
        item.isdigit() and len(item) <= MAX_LOAD_DIGITS for item in figures
    ):
        running, waiting, slots, *rest = (int(item) for item in figures)
        if slots and (not rest or rest[0]):
            slowdown = rest[0] / PERCENT if rest else None
            return ServerLoadStatement(running, waiting, slots, slowdown), ""
    return None, _shown(value)


def _parse_brittle(value: bytes | None) -> tuple[int, str]:
    """Returns the stated rejections, and the field's text if it is invalid."""
    if value is None:
        return 0, ""
    figure = value.strip()
    if figure.isdigit() and len(figure) <= MAX_LOAD_DIGITS:
        return int(figure), ""
    return 0, _shown(value)


def _keep_alive_s(value: bytes) -> float | None:
    for part in value.split(b","):
        name, _, seconds = part.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.isdigit():
            return parse_amount(seconds, MAX_KEEP_ALIVE_S)
    return None


def _tokens(text: bytes) -> int:
    return parse_whole(text, MAX_PROMPT_TOKENS)


def _shown(value: bytes) -> str:
    return value[:SHOWN_CHARS].decode("latin-1")
