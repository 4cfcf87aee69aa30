"""Requests under which backend servers end."""

import unittest

import anyio

from standins.platformsite import SiteOptions
from tests.platformcase import PlatformCase

FATAL = b"ends each server that runs it"
MOST_ENDED = 3
"""Servers that one request may end before it is not sent any more."""

REPEATS = 8
PAUSE_S = 0.4
"""Between two repeats: word of a server's end has then reached everyone."""

FINAL = 500
"""Status that promises no other outcome later and asks nobody to come back."""


class CrashingRequestTest(PlatformCase):
    """One request crashes server after server, sent again at any instance."""

    options = SiteOptions(engines=4, plain=1, fatal=FATAL)

    async def test_repeats_at_all_instances_end_three_servers_at_most(self):
        # Guards against repeats that are taken for requests never seen before
        # and end all servers of a service.
        async with self.site(4) as (site, instances):
            await self.until(lambda: all(x.peers_live == 4 for x in instances))
            answers = []
            for number in range(REPEATS):
                instance = instances[number % len(instances)]
                answers.append(await self.send(instance, number))
                await anyio.sleep(PAUSE_S)
        self.assertLessEqual(len(site.ended), MOST_ENDED)
        self.assertEqual(answers[-1].status, FINAL)
        self.assertNotIn("retry-after", answers[-1].headers)

    async def send(self, instance, number: int):
        """Sends the request once more, under a new id."""
        return await self.ask(
            instance,
            "/sheet/s1/stream",
            attempt=f"try-{number}",
            body=FATAL,
            Token_Usage="100,5",
            Prefix_Hash="a:60,b:40",
        )


if __name__ == "__main__":
    unittest.main()
