"""Reads the requests of a connection, one after the other, from its bytes.

Decides for each byte to which part of which request it belongs; no other
module does, and no byte is read twice. A head is cut at its empty line and
parsed by httptools; a body is cut by the length or the chunks that its head
states. Trailer fields are checked and dropped. A wish to change the protocol is
not granted, so what follows its head is read as after any other. Whatever could
be read in more than one way is refused.
"""

import dataclasses
import enum
import re

import httptools

from jasminerelay.errors import BadRequestError
from jasminerelay.statednumbers import parse_whole

NO_FIELDS: frozenset[bytes] = frozenset()

MAX_CHUNKS_AT_ONCE = 64
"""Chunks that are read in one step. Chunks of a byte take a thousand times as
long as a body with a length."""

_LINE_END = b"\r\n"
_HEAD_END = b"\r\n\r\n"
_LINE_FRAMING_BYTES = 4
"""Bytes of a field's line besides its name and value."""

_CHUNK_SIZE = re.compile(
    rb"0*([0-9A-Fa-f]{1,15})(?:[ \t]*;[^\x00-\x08\x0a-\x1f\x7f]*)?"
)
_TRAILER = re.compile(
    rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\x00-\x08\x0a-\x1f\x7f]*"
)
_HOST = b"host"
_LENGTH = b"content-length"
_CODING = b"transfer-encoding"
_CONNECTION = b"connection"
_EXPECT = b"expect"
_SINGLE = frozenset({_HOST, _LENGTH, _CODING})
"""Fields that decide where a request ends or goes, and may stand once."""

_END_TO_END = frozenset({_HOST, _LENGTH})
_SCHEMES = (b"http://", b"https://")


class BodyEnd(enum.Enum):
    """Marks the end of a request."""

    END = "end"


@dataclasses.dataclass(frozen=True)
class RequestHead:
    """The head of a request.

    Attributes:
        method: Method.
        target: Target as sent; the path and query of one that names the host.
        path: The target's path, as sent.
        query: The target's query; empty, too, if it has none.
        version: Version of HTTP, "1.0" or "1.1".
        fields: Header fields in their order, names in lower case.
        length: Bytes of the body; None if it comes in chunks.
        keep_alive: Whether another request may follow.
        expects_continue: Whether the body waits for an interim answer.
        size: Its bytes.
    """

    method: str
    target: bytes
    path: bytes
    query: bytes
    version: str
    fields: list[tuple[bytes, bytes]]
    length: int | None
    keep_alive: bool
    expects_continue: bool
    size: int


class RequestReader:
    """Reads requests from the bytes of one connection.

    Attributes:
        is_head_method: Whether the request that is being read, or was last,
            has the method HEAD, to which no answer has a body.
    """

    def __init__(self, own_fields: frozenset[bytes] = NO_FIELDS):
        """Creates the reader.

        Args:
            own_fields: Names of the fields by which the interface identifies
                and serves a request. Each may stand once, and none may be
                named as one that concerns the connection only.
        """
        self._single = _SINGLE | own_fields
        self._end_to_end = _END_TO_END | own_fields
        self.is_head_method = False
        self._data: bytes | bytearray = b""
        # Positions up to which the data is read, and searched for an end.
        self._at = 0
        self._searched = 0
        # A function, not a method: that would be a cycle of references.
        self._step = RequestReader._read_head
        self._left = 0
        self._at_chunk_end = False
        self._trailer_bytes = 0

    @property
    def waiting_bytes(self) -> int:
        """Bytes that have arrived and are not read yet."""
        return len(self._data) - self._at

    @property
    def held_bytes(self) -> int:
        """Bytes that it keeps in memory, of which some may be read."""
        return len(self._data)

    def trim(self) -> None:
        """Drops what is read, if that is all."""
        if self._at == len(self._data):
            self._data = b""
            self._at = self._searched = 0

    def feed(self, data: bytes) -> None:
        """Adds bytes that have arrived."""
        if self._at == len(self._data):
            self._data = data
            self._searched = 0
        else:
            rest = self._data
            if isinstance(rest, bytes):
                rest = bytearray(rest[self._at :])
            else:
                del rest[: self._at]
            rest += data
            self._data = rest
            self._searched = max(0, self._searched - self._at)
        self._at = 0

    def read(self, head_bytes: int) -> RequestHead | bytes | BodyEnd | None:
        """Returns the next part of a request.

        Args:
            head_bytes: Maximum size of the names and values of a head, of its
                target, and of what stands between the chunks of a body.

        Returns:
            A head, then the parts of its body, if any, then its end; None if
            more bytes are needed.

        Raises:
            BadRequestError: if the bytes are no proper request; no more can be
                read then.
        """
        return self._step(self, head_bytes)

    def _read_head(self, head_bytes: int) -> RequestHead | None:
        # Some callers end a body with an empty line that belongs to nothing.
        while self._data.startswith(_LINE_END, self._at):
            self._at += len(_LINE_END)
        began = self._at
        self.is_head_method = self._data.startswith(b"HEAD ", began)
        end = self._data.find(_HEAD_END, max(began, self._searched - 3))
        if end < 0:
            self._searched = len(self._data)
            if self._searched - began > head_bytes:
                _require_size(bytes(self._data[began:]), head_bytes)
            return None
        self._at = self._searched = end + len(_HEAD_END)
        head = bytes(self._data[began : self._at])
        if len(head) > head_bytes:
            _require_size(head, head_bytes)
        found = self._parse_head(head)
        if found.length is None:
            self._trailer_bytes = 0
            self._step = RequestReader._read_chunks
        else:
            self._left = found.length
            self._step = (
                RequestReader._read_length
                if found.length
                else RequestReader._read_end
            )
        return found

    def _read_end(self, head_bytes: int) -> BodyEnd:
        del head_bytes
        self._step = RequestReader._read_head
        return BodyEnd.END

    def _read_length(self, head_bytes: int) -> bytes | None:
        del head_bytes
        part = self._take()
        if not self._left:
            self._step = RequestReader._read_end
        return part or None

    def _take(self) -> bytes:
        """Returns what has arrived of the bytes that are left."""
        until = min(self._at + self._left, len(self._data))
        part = bytes(self._data[self._at : until])
        self._left -= until - self._at
        self._at = self._searched = until
        return part

    def _read_chunks(self, head_bytes: int) -> bytes | BodyEnd | None:
        """Reads the chunks that have arrived, in bounded time."""
        parts: list[bytes] = []
        while len(parts) < MAX_CHUNKS_AT_ONCE:
            if self._left:
                parts.append(self._take())
                if self._left:
                    break
                self._at_chunk_end = True
            if self._at_chunk_end:
                if not self._has_chunk_end():
                    break
                self._at_chunk_end = False
            line = self._line(head_bytes)
            if line is None:
                break
            size = _CHUNK_SIZE.fullmatch(line)
            if size is None:
                raise _malformed("the size of a chunk is malformed")
            self._left = int(size.group(1), 16)
            if not self._left:
                self._step = RequestReader._read_trailers
                if not parts:
                    return self._read_trailers(head_bytes)
                break
        return b"".join(parts) or None

    def _has_chunk_end(self) -> bool:
        """Takes the end of a chunk, if it has arrived."""
        until = self._at + len(_LINE_END)
        if not _LINE_END.startswith(bytes(self._data[self._at : until])):
            raise _malformed("a chunk is longer than its size")
        if len(self._data) < until:
            return False
        self._at = self._searched = until
        return True

    def _read_trailers(self, head_bytes: int) -> BodyEnd | None:
        """Reads up to the end of the request; what it says is not believed."""
        while (line := self._line(head_bytes)) is not None:
            if not line:
                self._step = RequestReader._read_head
                return BodyEnd.END
            if not _TRAILER.fullmatch(line):
                raise _malformed("a trailer field is malformed")
            self._trailer_bytes += len(line)
            if self._trailer_bytes > head_bytes:
                raise _too_large("trailer fields are")
        return None

    def _line(self, most: int) -> bytes | None:
        end = self._data.find(_LINE_END, max(self._at, self._searched - 1))
        if end < 0:
            self._searched = len(self._data)
            if self._searched - self._at > most:
                raise _too_large("line of a chunk is")
            return None
        line = bytes(self._data[self._at : end])
        if len(line) > most:
            raise _too_large("line of a chunk is")
        self._at = self._searched = end + len(_LINE_END)
        return line

    def _parse_head(self, head: bytes) -> RequestHead:
        """Parses a whole head."""
        version = _version(head)
        found = _Fields()
        parser = httptools.HttpRequestParser(found)
        try:
            parser.feed_data(head)
        except httptools.HttpParserUpgrade:
            # The parser would hand the connection over; only its head was fed.
            pass
        except httptools.HttpParserError as exc:
            raise _malformed(f"the request head is malformed: {exc}") from exc
        method = parser.get_method().decode("ascii")
        if method == "CONNECT":
            raise BadRequestError(
                "CONNECT is not supported", remedy="Send the request itself."
            )
        fields = found.fields
        names = [name for name, _ in fields]
        if len(set(names)) < len(names):
            self._require_single(names)
        length: int | None = 0
        keep_alive = version == "1.1"
        expects_continue = False
        for name, value in fields:
            if name == _LENGTH:
                length = parse_whole(value)
            elif name == _CODING:
                _require_chunks(value, version)
                length = None
            elif name == _CONNECTION:
                options = connection_options(value)
                self._require_not_end_to_end(options)
                keep_alive = keep_alive and b"close" not in options
            elif name == _EXPECT and version == "1.1":
                expects_continue = value.lower() == b"100-continue"
        target = found.target
        if not target.startswith(b"/"):
            target = _origin_form(target, fields)
        # A fragment has no place in a target; it is passed on all the same.
        path, _, query = target.partition(b"#")[0].partition(b"?")
        return RequestHead(
            method,
            target,
            path,
            query,
            version,
            fields,
            length,
            keep_alive,
            expects_continue and length != 0,
            len(head),
        )

    def _require_single(self, names: list[bytes]) -> None:
        for name in self._single:
            if names.count(name) > 1:
                raise BadRequestError(
                    f"the field {name.decode()} stands more than once",
                    remedy="Send it once.",
                )

    def _require_not_end_to_end(self, options: set[bytes]) -> None:
        for name in self._end_to_end & options:
            raise BadRequestError(
                f"Connection names {name.decode()}, which concerns the request",
                remedy="Name fields there that concern the connection only.",
            )


class _Fields:
    """Collects what httptools finds in a head."""

    def __init__(self) -> None:
        self.target = b""
        self.fields: list[tuple[bytes, bytes]] = []

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        # The parser keeps white space that ends a value.
        self.fields.append((name.lower(), value.rstrip(b" \t")))


def connection_options(value: bytes) -> set[bytes]:
    """Returns what a Connection field names, in lower case."""
    return {item.strip(b" \t").lower() for item in value.split(b",")}


def _version(head: bytes) -> str:
    """Returns the version of HTTP that a head states."""
    line = head[: head.index(_LINE_END)]
    if line.endswith(b" HTTP/1.1"):
        return "1.1"
    if line.endswith(b" HTTP/1.0"):
        return "1.0"
    raise _malformed("the first line is that of no request in HTTP/1.1")


def _require_chunks(value: bytes, version: str) -> None:
    if version != "1.1":
        raise BadRequestError(
            "Transfer-Encoding in HTTP/1.0",
            remedy="State the length of the body, or use HTTP/1.1.",
        )
    if value.lower() != b"chunked":
        raise BadRequestError(
            "the transfer coding is not supported",
            remedy="Send the body with a length, or with chunked alone.",
        )


def _origin_form(target: bytes, fields: list[tuple[bytes, bytes]]) -> bytes:
    """Returns the path and query of a target that names the host, too."""
    hosts = [value.lower() for name, value in fields if name == _HOST]
    for scheme in _SCHEMES:
        if target[: len(scheme)].lower() != scheme:
            continue
        rest = target[len(scheme) :]
        host = re.split(rb"[/?#]", rest, maxsplit=1)[0]
        if [host.lower()] != hosts:
            raise BadRequestError(
                "the target names another host than the field Host",
                remedy="Send the path alone, or the same host in both.",
            )
        rest = rest[len(host) :]
        return rest if rest.startswith(b"/") else b"/" + rest
    raise _malformed("the target is no path")


def _require_size(head: bytes, most: int) -> None:
    """Refuses a head, or its beginning, that is too large."""
    first = head.partition(_LINE_END)[0]
    # The last line may not be whole yet.
    lines = head.count(_LINE_END) + 1
    stated = len(head) - len(first) - _LINE_FRAMING_BYTES * lines
    if max(len(first), stated, lines) > most:
        raise _too_large("head is")


def _too_large(what: str) -> BadRequestError:
    return BadRequestError(
        f"the request's {what} too large",
        remedy="Send fewer or shorter header fields.",
    )


def _malformed(why: str) -> BadRequestError:
    return BadRequestError(
        why, remedy="Send requests as RFC 9112 describes them."
    )
