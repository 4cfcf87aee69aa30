"""A store that says nothing and closes nothing, as instances see it."""

import unittest

import anyio

from jasminerelay.following import GATHER_S
from jasminerelay.httpclient import BrokenError
from jasminerelay.platform import root
from standins.platformsite import MODEL, PLAIN
from tests.platformcase import PlatformCase

ADDED = {
    "name": "added",
    "prefix": "/added/",
    "service": PLAIN,
    "routeType": "idempotent",
}
"""A route that an operator adds."""


def silence(instance, table: str) -> None:
    """Leaves an instance's new calls on a table of the store unanswered."""
    call = instance.client.call

    async def silent(exchange):
        if f"table={table}" not in exchange.url:
            return await call(exchange)
        await anyio.sleep(exchange.timeout_s)
        raise BrokenError("silent for too long")

    instance.client.call = silent


class SilentStoreTest(PlatformCase):
    """Waiting calls of the store that are never answered."""

    async def fall_silent(self, site, instances) -> None:
        """Lets the store fall silent, with the configurations' calls in it.

        The calls that wait already bring one more change; those that follow
        it stay without an answer for good.
        """
        site.store.faults.hang = True
        site.configure()
        for instance in instances:
            await self.until(lambda i=instance: i.version == site.version)
        await anyio.sleep(2 * GATHER_S)

    async def test_change_after_the_outage(self) -> None:
        # A caller of a route that the operator added after an outage is told
        # "not found" for seconds, and others go by the routes of before it.
        # The store fell silent just before all instances asked it for the
        # next change, closed nothing, and came back. None of them called it
        # otherwise, so all took the silence of that one call for "nothing has
        # changed" until its own time was over, 11.5 s later. The store's
        # count of calls without an answer and the time of the lines that
        # tell its loss proved it.
        async with self.site(2) as (site, instances):
            await self.until(lambda: instances[0].peers_live == 2)
            await self.until(lambda: instances[1].peers_live == 2)
            await self.fall_silent(site, instances)
            site.store.faults.hang = False
            site.configure(added=[ADDED])
            for instance in instances:
                await self.until(lambda i=instance: i.version == site.version)
                answer = await self.ask(instance, "/added/x")
                self.assertEqual(answer.status, 200)

    async def test_not_found_in_a_silent_outage(self) -> None:
        # A caller gets a final "not found" though a route may have been added
        # since. Two instances wait for a store that is silent; no call of
        # theirs has failed, so each believes that it has the store, and
        # confirms to the other the version that both have.
        async with self.site(2) as (site, instances):
            await self.until(lambda: instances[0].peers_live == 2)
            await self.until(lambda: instances[1].peers_live == 2)
            await self.fall_silent(site, instances)
            await anyio.sleep(root.CURRENT_S)
            for instance in instances:
                answer = await self.ask(instance, "/added/x")
                self.assertEqual(answer.status, 503)
                answer = await self.ask(instance, "/confirm/x", key="new")
                self.assertEqual(answer.status, 503)

    async def test_servers_confirm_no_configuration(self) -> None:
        # The same with one instance, whose calls for servers are answered
        # while the one for the configuration is not. The news of a server
        # that leaves says nothing of routes; a caller of a route just added
        # was told "not found" for a second and a half after it.
        async with self.site() as (site, (instance,)):
            silence(instance, "op")
            site.configure()
            await self.until(lambda: instance.version == site.version)
            await anyio.sleep(root.CURRENT_S)
            site.register("engine-1", MODEL, "draining")
            await self.until(
                lambda: len(instance.registry.servers_of(MODEL)) == 1
            )
            answer = await self.ask(instance, "/added/x")
            self.assertEqual(answer.status, 503)


if __name__ == "__main__":
    unittest.main()
