"""Tests which requests the stand-in of a backend server runs."""

import contextlib
import pathlib
import re
import tempfile
import unittest

import anyio

from standins.launcher import own_address
from standins.platformserver import ServerFaults
from standins.platformsite import SiteOptions
from standins.serverprocess import ServerProcess
from tests.platformcase import PlatformCase

HEAD = (
    b"POST /confirm/x HTTP/1.1\r\nHost: a\r\nAttempt-Id: a1\r\n"
    b"Content-Length: 9\r\n\r\n"
)

STREAM = (
    b"POST /chat/x/stream HTTP/1.1\r\nHost: a\r\nAttempt-Id: a1\r\n"
    b"Token-Usage: 9,900\r\nContent-Length: 0\r\n\r\n"
)


class TruncatedRequestTest(PlatformCase):
    """Connections that end within a request."""

    options = SiteOptions(engines=0, plain=1)

    async def test_is_not_run(self) -> None:
        # Guards against a stand-in that records a run of a request that no
        # caller sent, as a randomised run reported. An instance sends head and
        # body of a request one after the other, and the connection may end in
        # between because the instance is killed, the connection is reset or
        # the caller leaves. The stand-in took that for the end of the body and
        # ran the request with a partial body, which no real server does.
        async with self.site(0) as (site, _):
            host, _, port = site.addresses["plain-1"].rpartition(":")
            for sent in (HEAD, HEAD + b"half", HEAD + b"whole one"):
                async with await anyio.connect_tcp(host, int(port)) as stream:
                    await stream.send(sent)
                    await anyio.sleep(0.05)
            server = site.servers["plain-1"]
            await self.until(lambda: server.journal)
            await anyio.sleep(0.1)
            bodies = [ran.body for ran in server.journal]
            self.assertEqual(bodies, [b"whole one"])


class ServerProcessTest(unittest.IsolatedAsyncioTestCase):
    """A server in a process of its own."""

    # Guards against events that a killed server sent and its journal lacks.
    async def test_journal_survives_a_kill(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        server = ServerProcess(
            "engine-1",
            "v2",
            own_address(),
            pathlib.Path(folder.name),
            ServerFaults(event_tokens=3),
        )
        await server.start()
        self.addCleanup(server.kill)
        host, _, port = server.address.rpartition(":")
        got = b""
        async with await anyio.connect_tcp(host, int(port)) as stream:
            await stream.send(STREAM)
            while b"id: " not in got.partition(b"\n\n")[2]:
                got += await stream.receive()
            server.kill()
            with contextlib.suppress(anyio.EndOfStream, OSError):
                while True:
                    got += await stream.receive()
        server.read_journals()
        (ran,) = server.journal
        self.assertEqual((ran.attempt, ran.version), ("a1", "v2"))
        self.assertFalse(ran.ended)
        last = int(re.findall(rb"id: (\d+)\n", got)[-1])
        self.assertLessEqual(last, ran.last_token)
        self.assertIn(last, [end for _, end in ran.events])
        self.assertIn(b"@v2", got)


if __name__ == "__main__":
    unittest.main()
