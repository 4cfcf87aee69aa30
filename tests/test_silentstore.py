"""A store that says nothing and closes nothing, as instances see it."""

import unittest
import unittest.mock
from collections.abc import Callable

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


TAKEN_S = 1.0
"""Time in which a waiting call brings a change, also on a busy machine."""


def silence(instance, name: str) -> Callable[[], None]:
    """Leaves an instance's new calls unanswered.

    Args:
        instance: The instance.
        name: A table of the store, or the other instances' snapshot.

    Returns:
        Has them answered again.
    """
    call = instance.client.call

    async def silent(exchange):
        if f"table={name}&" not in exchange.url and (
            f"/{name}?" not in exchange.url
        ):
            return await call(exchange)
        await anyio.sleep(exchange.timeout_s)
        raise BrokenError("silent for too long")

    def undo() -> None:
        instance.client.call = call

    instance.client.call = silent
    return undo


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

    async def silence_behind_a_change(self, site, instance) -> None:
        """Lets a waiting call bring one more change, and silences the next.

        Where none waits just then, since an answer is in and the next call is
        not out yet, the change does not come; then it is tried anew.
        """
        while True:
            undo = silence(instance, "op")
            site.configure()
            with anyio.move_on_after(TAKEN_S):
                await self.until(lambda: instance.version == site.version)
                return
            undo()
            await self.until(lambda: instance.version == site.version)

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
        # while the one for the configuration is not. Servers come and go, and
        # each time a caller of a route just added was told "not found" for a
        # second and a half. News of servers says nothing of routes once the
        # store's version has risen.
        async with self.site() as (site, (instance,)):
            await self.silence_behind_a_change(site, instance)
            for phase, count in (("draining", 1), ("ready", 2)) * 3:
                await anyio.sleep(root.CURRENT_S / 4)
                site.register("engine-1", MODEL, phase)
                await self.until(
                    lambda n=count: (
                        len(instance.registry.servers_of(MODEL)) == n
                    )
                )
            answer = await self.ask(instance, "/added/x")
            self.assertEqual(answer.status, 503)

    @unittest.mock.patch.object(root, "CURRENT_S", float("inf"))
    async def test_newer_version_on_its_way(self) -> None:
        # A caller of a route just added reaches an instance that has heard of
        # the new version and does not have it yet: its own call hangs, and
        # the other instance's snapshot does not come. Its knowledge is young
        # enough, and yet it knows that it is not the newest.
        async with self.site(2) as (site, (first, second)):
            await self.until(lambda: first.peers_live == 2)
            await self.until(lambda: second.peers_live == 2)
            silence(first, "snapshot")
            await self.silence_behind_a_change(site, first)
            site.configure(added=[ADDED])
            await self.until(lambda: second.version == site.version)
            await self.until(lambda: not first.current)
            answer = await self.ask(first, "/added/x")
            self.assertEqual(answer.status, 503)

    async def test_configuration_that_cannot_be_read(self) -> None:
        # The operator adds a route in a configuration that this program
        # cannot read. It goes on with the former one, as it should, and knows
        # that this is not the newest: "not found" would be final for callers
        # of the route until somebody mends the program.
        async with self.site() as (site, (instance,)):
            await self.until(lambda: instance.current)
            site.store.put("op", "config", {"version": "none"})
            await self.until(lambda: not instance.current)
            answer = await self.ask(instance, "/added/x")
            self.assertEqual(answer.status, 503)
            answer = await self.ask(instance, "/confirm/x")
            self.assertEqual(answer.status, 200)
            site.configure(added=[ADDED])
            await self.until(lambda: instance.current)
            answer = await self.ask(instance, "/added/x")
            self.assertEqual(answer.status, 200)

    async def test_own_waiting_call_is_silent(self) -> None:
        # One instance's calls of the store hang and none fails; the other is
        # served. It must not wait for its own call to end: the other's word
        # brings the change, and its age keeps final refusals true.
        async with self.site(2) as (site, (first, second)):
            await self.until(lambda: first.peers_live == 2)
            await self.until(lambda: second.peers_live == 2)
            silence(first, "op")
            site.configure()
            await self.until(lambda: first.version == site.version)
            await anyio.sleep(2 * GATHER_S)
            site.configure(added=[ADDED])
            await self.until(lambda: first.version == site.version)
            answer = await self.ask(first, "/added/x")
            self.assertEqual(answer.status, 200)
            await self.until(lambda: first.current)
            answer = await self.ask(first, "/never/x")
            self.assertEqual(answer.status, 404)


if __name__ == "__main__":
    unittest.main()
