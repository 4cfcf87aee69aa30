"""Requests whose heads wish to change the protocol of their connection."""

import asyncio

from standins.platformsite import API_KEY, HOST
from tests.platformcase import PlatformCase

BODY = b"a body, and more of it"
QUOTED = b"POST /confirm/q HTTP/1.1\r\nHost: x\r\nAttempt-Id: quoted\r\n\r\n"


class UpgradeFieldsTest(PlatformCase):
    """Requests with `Upgrade` and a body."""

    async def exchange(self, instance, parts: list[bytes]) -> bytes:
        """Sends bytes in parts; returns what comes until half a second."""
        host, _, port = instance.callers.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        received = b""
        try:
            for part in parts:
                writer.write(part)
                await asyncio.sleep(0.05)
            while True:
                async with asyncio.timeout(0.5):
                    data = await reader.read(65536)
                if not data:
                    return received
                received += data
        except TimeoutError:
            return received
        finally:
            writer.close()

    def head(self, attempt: str, *fields: str, path: str = "/confirm/x"):
        """Returns the head of a request that wishes to go on in HTTP/2."""
        lines = [
            f"POST {path} HTTP/1.1",
            f"Host: {HOST}",
            f"Attempt-Id: {attempt}",
            f"Authorization: Bearer {API_KEY}",
            "Connection: Upgrade, HTTP2-Settings",
            "Upgrade: h2c",
            "HTTP2-Settings: AAMAAABkAAQAAP__",
            *fields,
        ]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def runs(self, site) -> dict[str, bytes]:
        """Returns the bodies of all runs, by attempt."""
        return {
            ran.attempt: ran.body
            for server in site.servers.values()
            for ran in server.journal
        }

    async def test_body_belongs_to_its_request(self) -> None:
        # Guards against a request that runs without its body, and a body that
        # runs as a request which nobody has sent.
        for body in (BODY, QUOTED):
            length = f"Content-Length: {len(body)}"
            chunks = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
            async with self.site() as (site, (instance,)):
                whole = self.head("a1", length) + body
                cases = {
                    "a1": [whole],
                    "a2": [self.head("a2", length), body],
                    "a3": [self.head("a3", length) + body[:5], body[5:]],
                    "a4": [
                        self.head("a4", "Transfer-Encoding: chunked"),
                        chunks,
                    ],
                }
                for attempt, parts in cases.items():
                    with self.subTest(attempt=attempt, body=body):
                        answer = await self.exchange(instance, parts)
                        self.assertEqual(answer.count(b"HTTP/1.1 "), 1)
                        self.assertTrue(answer.startswith(b"HTTP/1.1 200"))
                self.assertEqual(self.runs(site), dict.fromkeys(cases, body))
                for server in site.servers.values():
                    for ran in server.journal:
                        self.assertNotIn("http2-settings", ran.headers)
                        self.assertNotIn("upgrade", ran.headers)

    async def test_requests_that_follow(self) -> None:
        # The connection carries on, and heads may come in pieces.
        async with self.site() as (site, (instance,)):
            length = f"Content-Length: {len(BODY)}"
            first = self.head("b1", length) + BODY
            second = self.head("b2", "Content-Length: 0")
            parts = [first[:30], first[30:], second[:90], second[90:]]
            answer = await self.exchange(instance, parts)
            self.assertEqual(answer.count(b"HTTP/1.1 200"), 2)
            self.assertEqual(self.runs(site), {"b1": BODY, "b2": b""})

    async def test_connect(self) -> None:
        async with self.site() as (site, (instance,)):
            answer = await self.exchange(
                instance,
                [b"CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\n" + QUOTED],
            )
            self.assertTrue(answer.startswith(b"HTTP/1.1 400"))
            self.assertEqual(self.runs(site), {})
