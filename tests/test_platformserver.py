"""What the stand-in of a backend server takes for a request."""

import unittest

import anyio

from standins.platformsite import SiteOptions
from tests.platformcase import PlatformCase

HEAD = (
    b"POST /confirm/x HTTP/1.1\r\nHost: a\r\nAttempt-Id: a1\r\n"
    b"Content-Length: 9\r\n\r\n"
)


class PartOfARequestTest(PlatformCase):
    """A connection that ends within a request."""

    options = SiteOptions(engines=0, plain=1)

    async def test_is_not_run(self) -> None:
        # A randomised run tells of a server that ran what no caller had sent.
        # An instance sends a request's head and its body one after the other,
        # and the connection ends in between: killed, reset, or the caller has
        # left. The stand-in took the end for that of the body, and noted a
        # run with half a body or none, which no server does.
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
