"""The HTTP client of the own interface, the store and the platform."""

import asyncio
import unittest

from jasminerelay.httpclient import (
    HttpClient,
    HttpRequest,
    IncompleteExchangeError,
)
from jasminerelay.watchdog import Watchdog

LENGTH = b"content-length: 2\r\n\r\nok"


class HttpClientTest(unittest.IsolatedAsyncioTestCase):
    """Requests as sent, and responses of any bytes."""

    async def asyncSetUp(self) -> None:
        self.received = b""
        self.answer = b"HTTP/1.1 200 OK\r\n" + LENGTH
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        self.url = f"http://{host}:{port}"
        self.client = HttpClient(Watchdog())
        self.addAsyncCleanup(self.client.aclose)

    async def serve(self, reader, writer) -> None:
        self.received = await reader.readuntil(b"\r\n\r\n")
        writer.write(self.answer)
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.close()

    async def ask(self, target: str = "/x"):
        request = HttpRequest(
            "GET", self.url + target, timeout_s=2.0, new_connection=True
        )
        return await self.client.call(request)

    async def test_target_is_sent_whole(self) -> None:
        # Guards against targets that lose an empty query or a "#" on their way.
        for target in ("/x?", "/x#f", "/x?a=b?c#d", "/x//%2F/../y", "/"):
            await self.ask(target)
            first = self.received.partition(b"\r\n")[0]
            self.assertEqual(first, f"GET {target} HTTP/1.1".encode())

    async def test_what_is_no_answer_in_http_1_1(self) -> None:
        # Guards against bytes of another protocol, or statuses that do not
        # exist, that are passed on as an answer, and against other errors.
        for head in (
            b"HTTP/1.1 101 S\r\nconnection: upgrade\r\nupgrade: x\r\n",
            b"HTTP/1.1 999 S\r\n",
            b"HTTP/1.1 200 S\r\ntransfer-encoding: gzip, chunked\r\n",
            b"HTTP/2.0 200 S\r\n",
        ):
            with self.subTest(head):
                self.answer = head + LENGTH
                with self.assertRaises(IncompleteExchangeError):
                    await self.ask()

    async def test_fields_of_the_connection(self) -> None:
        # Guards against fields of a server's connection that are passed on or
        # believed, and trailer fields likewise.
        self.answer = (
            b"HTTP/1.1 103 Early\r\nx-early: 1\r\n\r\n"
            b"HTTP/1.1 200 OK\r\nConnection: X-Hop\r\nX-Hop: 1\r\n"
            b"connection: close, x-other\r\nX-Other: 1\r\nX-Kept: 1\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
            b"2\r\nok\r\n0\r\nX-Late: 1\r\n\r\n"
        )
        reply = await self.ask()
        self.assertEqual(reply.body, b"ok")
        names = {name for name in reply.headers if name.startswith("x-")}
        self.assertEqual(names, {"x-kept"})


if __name__ == "__main__":
    unittest.main()
