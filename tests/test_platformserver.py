"""Tests which requests the stand-in of a backend server runs."""

import unittest

import anyio

from standins.platformsite import SiteOptions
from tests.platformcase import PlatformCase

HEAD = (
    b"POST /confirm/x HTTP/1.1\r\nHost: a\r\nAttempt-Id: a1\r\n"
    b"Content-Length: 9\r\n\r\n"
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


if __name__ == "__main__":
    unittest.main()
