"""The reader of requests: any bytes, in pieces of any size."""

import time
import unittest

import h11
from hypothesis import given, settings
from hypothesis import strategies as st

from jasminerelay.errors import BadRequestError
from jasminerelay.requestreader import BodyEnd, RequestHead, RequestReader

HEAD_BYTES = 2000
TOKEN = st.from_regex(r"[A-Za-z0-9-]{1,8}", fullmatch=True)
VALUE = st.from_regex(r"[!-~]([ -~]{0,12}[!-~])?", fullmatch=True)
PATH = st.from_regex(r"/[a-z0-9%/.;?#=-]{0,12}", fullmatch=True)
RESERVED = {"content-length", "transfer-encoding", "connection", "expect"}


@st.composite
def fields_of_a_request(draw) -> list[tuple[str, str]]:
    """Draws header fields that do not frame a request."""
    found = draw(st.lists(st.tuples(TOKEN, VALUE), max_size=4))
    return [(k, v) for k, v in found if k.lower() not in RESERVED | {"host"}]


@st.composite
def requests(draw) -> tuple[bytes, tuple]:
    """Draws a proper request; returns it and what it consists of."""
    target = draw(PATH)
    fields = draw(fields_of_a_request())
    body = draw(st.binary(max_size=60))
    if draw(st.booleans()):
        # What stands in a body is no request.
        body += b"\r\n\r\nPOST /x HTTP/1.1\r\nHost: x\r\n\r\n"
    framing = [("Content-Length", str(len(body)))]
    sent = body
    if draw(st.booleans()):
        framing = [("Transfer-Encoding", "chunked")]
        sent = draw(chunked(body))
    if draw(st.booleans()):
        framing += [("Connection", "Upgrade"), ("Upgrade", "h2c")]
    lines = [f"POST {target} HTTP/1.1"]
    lines += [f"{k}: {v}" for k, v in [("Host", "h"), *fields, *framing]]
    head = ("\r\n".join(lines) + "\r\n\r\n").encode()
    before = b"\r\n" * draw(st.integers(0, 2))
    kept = [(k.lower().encode(), v.encode()) for k, v in fields]
    return before + head + sent, (target.encode(), kept, body)


@st.composite
def chunked(draw, body: bytes) -> bytes:
    """Draws chunks of a body, with extensions and trailers."""
    sent = b""
    while body:
        size = draw(st.integers(1, len(body)))
        extension = draw(st.sampled_from([b"", b";a", b' ;a="b;c"']))
        zeros = draw(st.sampled_from([b"", b"0", b"0" * 20]))
        size_line = zeros + b"%x" % size + extension
        sent += size_line + b"\r\n" + body[:size] + b"\r\n"
        body = body[size:]
    trailers = draw(fields_of_a_request())
    trailers += [("Content-Length", "3")] * draw(st.integers(0, 1))
    lines = [f"{k}: {v}\r\n" for k, v in trailers]
    return sent + b"0\r\n" + "".join(lines).encode() + b"\r\n"


def read_all(pieces: list[bytes]) -> tuple[list, str]:
    """Returns the requests that pieces hold, and why they are refused."""
    reader = RequestReader()
    found: list = []
    try:
        for piece in pieces:
            reader.feed(piece)
            while (part := reader.read(HEAD_BYTES)) is not None:
                if isinstance(part, RequestHead):
                    found.append([part, b"", False])
                elif part is BodyEnd.END:
                    found[-1][2] = True
                else:
                    found[-1][1] += part
    except BadRequestError as exc:
        # What was read of a body that is refused depends on the pieces.
        return [item for item in found if item[2]], exc.message
    return found, ""


def read_by_h11(data: bytes) -> list[tuple[bytes, bytes, bytes]]:
    """Returns the method, target and body of the requests that h11 reads."""
    conn = h11.Connection(h11.SERVER)
    conn.receive_data(data)
    found = []
    try:
        while isinstance(head := conn.next_event(), h11.Request):
            body = b""
            while isinstance(part := conn.next_event(), h11.Data):
                body += part.data
            if not isinstance(part, h11.EndOfMessage):
                break
            found.append((head.method, head.target, body))
            conn.send(h11.Response(status_code=204, headers=[]))
            conn.send(h11.EndOfMessage())
            conn.start_next_cycle()
    except h11.ProtocolError:
        pass
    return found


def cut(data: bytes, places: list[int]) -> list[bytes]:
    """Returns data in pieces."""
    at = sorted({place % (len(data) + 1) for place in places} | {0, len(data)})
    return [data[a:b] for a, b in zip(at, at[1:], strict=False)]


class RequestReaderTest(unittest.TestCase):
    """What requests consist of."""

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(
        st.lists(requests(), min_size=1, max_size=4),
        st.lists(st.integers(0, 4000), max_size=30),
    )
    def test_proper_requests(self, sent, places) -> None:
        # Guards against bytes that are lost, doubled or taken for another part.
        data = b"".join(item[0] for item in sent)
        found, fault = read_all(cut(data, places))
        self.assertEqual(fault, "")
        self.assertEqual(len(found), len(sent))
        framing = RESERVED | {"host", "upgrade"}
        for (head, body, ended), (_, expected) in zip(found, sent, strict=True):
            kept = [x for x in head.fields if x[0].decode() not in framing]
            self.assertEqual((head.target, kept, body), expected)
            self.assertTrue(ended)

    @settings(max_examples=400, deadline=None, derandomize=True)
    @given(
        st.lists(requests(), min_size=1, max_size=3),
        st.lists(
            st.tuples(
                st.integers(0, 4000),
                st.integers(0, 3),
                st.sampled_from(
                    [b"", b"\r", b"\n", b"\r\n", b"\x00", b" ", b":", b"\xff"]
                ),
            ),
            max_size=3,
        ),
        st.lists(st.integers(0, 4000), max_size=30),
    )
    def test_any_bytes_in_any_pieces(self, sent, changes, places) -> None:
        # Guards against a meaning that depends on how bytes are cut, and
        # against any error but a refusal.
        data = b"".join(item[0] for item in sent)
        for place, size, put in changes:
            at = place % len(data)
            data = data[:at] + put + data[at + size :]
        whole = read_all([data])
        self.assertEqual(read_all(cut(data, places)), whole)
        single = [data[n : n + 1] for n in range(len(data))]
        self.assertEqual(read_all(single), whole)

    @settings(max_examples=400, deadline=None, derandomize=True)
    @given(
        st.lists(requests(), min_size=1, max_size=3),
        st.integers(0, 4000),
        st.integers(0, 3),
        st.binary(max_size=2),
    )
    def test_other_parser_agrees(self, sent, place, size, put) -> None:
        # Guards against bytes that another parser takes for another request.
        data = b"".join(item[0] for item in sent)
        at = place % len(data)
        data = data[:at] + put + data[at + size :]
        found = [
            (head.method.encode(), head.target, body)
            for head, body, ended in read_all([data])[0]
            if ended
        ]
        other = read_by_h11(data)
        count = min(len(found), len(other))
        self.assertEqual(found[:count], other[:count])

    def test_length_of_many_digits(self) -> None:
        # Guards against a length whose leading zeros `int` refuses.
        for digits in (b"5", b"0" * 5000 + b"5"):
            reader = RequestReader()
            reader.feed(
                b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %b\r\n\r\n"
                b"hello" % digits
            )
            self.assertIsInstance(reader.read(1 << 16), RequestHead)
            self.assertEqual(reader.read(1 << 16), b"hello")
            self.assertIs(reader.read(1 << 16), BodyEnd.END)

    def test_many_heads_take_time_in_proportion(self) -> None:
        # Guards against a cost with the square of the heads in a packet.
        head = (
            b"GET / HTTP/1.1\r\nHost: h\r\n"
            b"Connection: Upgrade\r\nUpgrade: x\r\n\r\n"
        )

        def cost_s(count: int) -> float:
            began = time.process_time()
            found, fault = read_all([head * count])
            self.assertEqual((len(found), fault), (count, ""))
            return time.process_time() - began

        cost_s(1000)
        few = min(cost_s(1000) for _ in range(3))
        many = min(cost_s(16_000) for _ in range(3))
        self.assertLess(many, 4 * 16 * few)

    def test_small_pieces_take_time_in_proportion(self) -> None:
        # Guards against a cost with the square of a head's pieces, or of what
        # waits.
        def cost_s(size: int) -> float:
            data = b"POST / HTTP/1.1\r\nA: " + b"x" * size + b"\r\n\r\n"
            reader = RequestReader()
            began = time.process_time()
            for n in range(len(data)):
                reader.feed(data[n : n + 1])
                reader.read(1 << 20)
            return time.process_time() - began

        few = min(cost_s(8_000) for _ in range(3))
        many = min(cost_s(128_000) for _ in range(3))
        self.assertLess(many, 4 * 16 * few)


if __name__ == "__main__":
    unittest.main()
