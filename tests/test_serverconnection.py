"""Connections to backend servers, over loopback sockets."""

import asyncio
import contextlib
import socket
import struct
import unittest

import httpcore

from jasminerelay import netstream, serverconnection
from jasminerelay.watchdog import Watchdog

HEAD = b"HTTP/1.1 200 OK\r\n"
TIMEOUT_S = 0.3
SETTLE_S = 0.05


class ConnectionTest(unittest.IsolatedAsyncioTestCase):
    """Responses of all framings, and those that break off."""

    @contextlib.asynccontextmanager
    async def server(self, *parts: bytes | None):
        """Runs a server that sends parts to each request; None ends it."""
        self.received = []

        async def serve(reader, writer) -> None:
            with contextlib.suppress(
                ConnectionError, asyncio.IncompleteReadError
            ):
                while True:
                    self.received.append(await reader.readuntil(b"\r\n\r\n"))
                    for part in parts:
                        if part is None:
                            writer.close()
                            return
                        writer.write(part)
                        await writer.drain()
                        await asyncio.sleep(0.01)

        async with self.server_of(serve) as connection:
            yield connection

    @contextlib.asynccontextmanager
    async def server_of(self, serve):
        """Runs a server with a connection handler; yields a connection."""
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.watchdog = Watchdog()
        checks = asyncio.create_task(self.watchdog.run())
        port = server.sockets[0].getsockname()[1]
        connection = await serverconnection.connect(
            "127.0.0.1",
            port,
            1.0,
            self.watchdog,
            netstream.open_connection,
        )
        connection.timeout_s = TIMEOUT_S
        try:
            yield connection
        finally:
            connection.close()
            await asyncio.sleep(SETTLE_S)
            checks.cancel()
            server.close()

    async def send(self, connection, method: str = "GET", headers=()):
        return await connection.send(
            method, b"/x", [(b"host", b"h"), *headers], b""
        )

    async def test_chunked_parts_arrive_as_sent(self) -> None:
        # Guards against events that are held back or lost between chunks.
        parts = [
            HEAD + b"transfer-encoding: chunked\r\n\r\n",
            b"2\r\nab\r\n",
            b"2\r\ncd\r\n",
            b"0\r\n\r\n",
        ]
        async with self.server(*parts) as connection:
            response = await self.send(connection)
            self.assertEqual(await response.receive(), b"ab")
            self.assertEqual(await response.receive(), b"cd")
            self.assertEqual(await response.receive(), b"")
            await response.aclose()
            self.assertTrue(connection.idle and not connection.readable)

    async def test_two_requests_on_one_connection(self) -> None:
        # Guards against state of one exchange in the next.
        answer = HEAD + b"content-length: 2\r\n\r\nok"
        async with self.server(answer) as connection:
            for _ in range(2):
                response = await self.send(connection)
                self.assertEqual(await response.aread(), b"ok")
                await response.aclose()
                self.assertTrue(connection.idle)

    async def test_head_request_keeps_the_connection(self) -> None:
        # Guards against waiting for a body that does not come.
        answer = HEAD + b"content-length: 5\r\n\r\n"
        async with self.server(answer) as connection:
            for _ in range(2):
                response = await self.send(connection, "HEAD")
                self.assertEqual(await response.aread(), b"")
                await response.aclose()
                self.assertTrue(connection.idle and not connection.readable)

    async def test_body_to_the_end_of_the_stream(self) -> None:
        # Guards against an answer without a length that counts as broken off.
        async with self.server(HEAD + b"\r\nabc", None) as connection:
            response = await self.send(connection)
            self.assertEqual(await response.aread(), b"abc")
            await response.aclose()
            self.assertFalse(connection.idle)

    async def test_unframed_body_cut_by_a_reset(self) -> None:
        # Guards against a truncated answer that looks complete: one without a
        # length is complete only if the server closed in order.
        async def serve(reader, writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD + b"\r\n" + bytes(200_000))
            await writer.drain()
            await asyncio.sleep(SETTLE_S)
            raw = writer.get_extra_info("socket")
            linger = struct.pack("ii", 1, 0)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

        async with self.server_of(serve) as connection:
            response = await self.send(connection)
            _, whole = await response.read_up_to(64 * 1024)
            self.assertFalse(whole)
            response.pace(TIMEOUT_S)
            with self.assertRaises(httpcore.NetworkError):
                while await response.receive():
                    await asyncio.sleep(SETTLE_S)

    async def test_long_body_is_read_as_asked(self) -> None:
        # Guards against reading a long answer faster than its caller does.
        size = 8 << 20
        head = HEAD + b"content-length: %d\r\n\r\n" % size
        async with self.server(head + bytes(size)) as connection:
            response = await self.send(connection)
            first, whole = await response.read_up_to(64 * 1024)
            self.assertFalse(whole)
            response.pace(TIMEOUT_S)
            received = len(first)
            await asyncio.sleep(SETTLE_S)
            self.assertTrue(response.held_up)
            while part := await response.receive():
                self.assertLessEqual(len(part), 64 * 1024)
                received += len(part)
            self.assertEqual(received, size)
            await response.aclose()
            self.assertTrue(connection.idle)

    async def test_short_body_is_whole(self) -> None:
        answer = HEAD + b"content-length: 2\r\n\r\nok"
        async with self.server(answer) as connection:
            response = await self.send(connection)
            found = await response.read_up_to(64 * 1024)
            self.assertEqual(found, (b"ok", True))

    async def test_long_request_to_a_slow_server(self) -> None:
        # Guards against a second copy of a body that its server reads slowly,
        # and against a lost or doubled piece.
        body = bytes(range(256)) * (20 << 12)
        received = bytearray()

        async def serve(reader, writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(2 * SETTLE_S)
            while len(received) < len(body):
                received.extend(await reader.read(1 << 20))
            writer.write(HEAD + b"content-length: 2\r\n\r\nok")

        async with self.server_of(serve) as connection:
            connection.timeout_s = 5.0
            sending = asyncio.create_task(
                connection.send("POST", b"/x", [(b"host", b"h")], body)
            )
            await asyncio.sleep(SETTLE_S)
            self.assertLess(connection.unsent_bytes, 256 * 1024)
            response = await sending
            self.assertEqual(await response.aread(), b"ok")
            self.assertEqual(bytes(received), body)
            await response.aclose()
            self.assertTrue(connection.idle)

    async def test_answer_before_the_body_was_read(self) -> None:
        # Guards against reusing a connection on which a body is incomplete.
        async def serve(reader, writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD + b"content-length: 2\r\n\r\nok")
            await asyncio.sleep(SETTLE_S)

        async with self.server_of(serve) as connection:
            response = await connection.send(
                "POST", b"/x", [(b"host", b"h")], bytes(20 << 20)
            )
            self.assertEqual(await response.aread(), b"ok")
            await response.aclose()
            self.assertFalse(connection.idle)

    async def test_broken_body(self) -> None:
        # Guards against a truncated answer that looks complete.
        for framing in (b"content-length: 9", b"transfer-encoding: chunked"):
            part = HEAD + framing + b"\r\n\r\n2\r\nab\r\n"
            async with self.server(part, None) as connection:
                response = await self.send(connection)
                with self.assertRaises(httpcore.RemoteProtocolError):
                    await response.aread()

    async def test_no_answer(self) -> None:
        # Guards against a wait for a server that closes without an answer.
        async with self.server(None) as connection:
            with self.assertRaises(httpcore.RemoteProtocolError):
                await self.send(connection)

    async def test_silent_server(self) -> None:
        # Guards against a wait for a server that stops within a body.
        part = HEAD + b"content-length: 9\r\n\r\nab"
        async with self.server(part) as connection:
            response = await self.send(connection)
            self.assertEqual(await response.receive(), b"ab")
            with self.assertRaises(httpcore.ReadTimeout):
                await response.receive()

    async def test_second_answer_prevents_reuse(self) -> None:
        # Guards against reading a second answer as that of the next request.
        answer = HEAD + b"content-length: 2\r\n\r\nok"
        for parts in ([answer + answer], [answer, answer]):
            async with self.server(*parts) as connection:
                response = await self.send(connection)
                self.assertEqual(await response.aread(), b"ok")
                await response.aclose()
                await asyncio.sleep(SETTLE_S)
                self.assertFalse(connection.idle and not connection.readable)

    async def test_what_is_no_answer_in_http_1_1(self) -> None:
        # Guards against bytes that reach the caller as an answer though they
        # are of another protocol, or in a coding that it is not told of, and
        # against a fault of this process instead of an error.
        length = b"content-length: 2\r\n\r\nok"
        for answer in (
            b"HTTP/1.1 101 S\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n",
            b"HTTP/1.1 101 S\r\n\r\n" + HEAD + length,
            b"HTTP/1.1 042 S\r\n" + length,
            b"HTTP/1.1 999 S\r\n" + length,
            b"HTTP/2.0 200 S\r\n" + length,
            b"RTSP/1.0 200 S\r\n" + length,
            b"ICE/1.0 200 S\r\n" + length,
            HEAD + b"transfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
            HEAD + b"transfer-encoding: gzip\r\n\r\nzip",
        ):
            with self.subTest(answer):
                async with self.server(answer, None) as connection:
                    with self.assertRaises(httpcore.RemoteProtocolError):
                        await self.send(connection)
                    self.assertFalse(connection.idle)

    async def test_coding_with_white_space(self) -> None:
        # Guards against a proper answer that is refused for its white space.
        coding = HEAD + b"Transfer-Encoding: \t Chunked  \r\n\r\n"
        async with self.server(
            coding + b"0002\r\nok\r\n00\r\n\r\n"
        ) as connection:
            response = await self.send(connection)
            self.assertEqual(await response.aread(), b"ok")
            await response.aclose()
            self.assertTrue(connection.idle)

    async def test_body_where_none_may_be_prevents_reuse(self) -> None:
        # Guards against a body whose rest is taken for the next answer.
        for method, status in (("HEAD", b"200"), ("GET", b"204")):
            answer = b"HTTP/1.1 %b X\r\ncontent-length: 9\r\n\r\nHTTP" % status
            with self.subTest(method):
                async with self.server(answer) as connection:
                    response = await self.send(connection, method)
                    self.assertEqual(await response.aread(), b"")
                    await response.aclose()
                    self.assertFalse(connection.idle)

    async def test_answer_that_is_framed_twice_prevents_reuse(self) -> None:
        # Guards against what follows one of two stated ends.
        answer = (
            HEAD + b"transfer-encoding: chunked\r\ncontent-length: 2\r\n\r\n"
            b"2\r\nok\r\n0\r\n\r\n"
        )
        async with self.server(answer) as connection:
            response = await self.send(connection)
            self.assertEqual(await response.aread(), b"ok")
            await response.aclose()
            self.assertFalse(connection.idle)

    async def test_trailers_are_not_believed(self) -> None:
        # Guards against trailer fields that are taken for those of the head.
        answer = (
            HEAD + b"attempt-id: a\r\ntransfer-encoding: chunked\r\n\r\n"
            b"2\r\nok\r\n0\r\nattempt-id: b\r\nnot-executed: 1\r\n\r\n"
        )
        async with self.server(answer) as connection:
            response = await self.send(connection)
            self.assertEqual(await response.aread(), b"ok")
            names = [name for name, _ in response.headers]
            self.assertEqual(names, [b"attempt-id", b"transfer-encoding"])

    async def test_informational_answer_is_skipped(self) -> None:
        # Guards against taking "100 Continue" for the answer.
        part = b"HTTP/1.1 100 Continue\r\nx: 1\r\n\r\n"
        answer = HEAD + b"content-length: 2\r\n\r\nok"
        async with self.server(part + answer) as connection:
            response = await self.send(connection)
            self.assertEqual(response.status, 200)
            self.assertEqual(response.headers, [(b"content-length", b"2")])
            self.assertEqual(await response.aread(), b"ok")

    async def test_line_break_in_a_field_is_not_sent(self) -> None:
        # Guards against callers that add fields or requests to a request.
        async with self.server(HEAD) as connection:
            with self.assertRaises(httpcore.LocalProtocolError):
                await self.send(connection, headers=[(b"a", b"b\r\nc: d")])
            self.assertEqual(self.received, [])

    async def test_slow_caller_bounds_the_buffer(self) -> None:
        # Guards against a body that fills the memory while its caller is slow.
        size = 8 << 20
        head = HEAD + b"content-length: %d\r\n\r\n" % size
        async with self.server(head, b"x" * size) as connection:
            response = await self.send(connection)
            await asyncio.sleep(SETTLE_S)
            first = await response.receive()
            self.assertLess(len(first), size // 2)
            rest = await response.aread()
            self.assertEqual(len(first) + len(rest), size)


if __name__ == "__main__":
    unittest.main()
