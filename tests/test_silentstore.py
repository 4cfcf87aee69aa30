"""An unresponsive store that closes no connection, as instances see it."""

import unittest
import unittest.mock
from collections.abc import Callable

import anyio

from jasminerelay.httpclient import IncompleteExchangeError
from jasminerelay.platform import root
from jasminerelay.storefollowing import BATCH_PAUSE_S
from standins.platformsite import MODEL_BACKEND, PLAIN_BACKEND
from tests.platformcase import PlatformCase

ADDED = {
    "name": "added",
    "prefix": "/added/",
    "service": PLAIN_BACKEND,
    "routeType": "idempotent",
}
"""A route that an operator adds."""


CHANGE_TIMEOUT_S = 1.0
"""Time within which a waiting call returns a change, also on a busy machine."""


def leave_unanswered(instance, name: str) -> Callable[[], None]:
    """Leaves an instance's new calls unanswered.

    Args:
        instance: The instance.
        name: A table of the store, or "snapshot" for the other instances'
            snapshots.

    Returns:
        A function that lets them be answered again.
    """
    call = instance.client.call

    async def silent(exchange):
        if f"table={name}&" not in exchange.url and (
            f"/{name}?" not in exchange.url
        ):
            return await call(exchange)
        await anyio.sleep(exchange.timeout_s)
        raise IncompleteExchangeError("no answer within the time limit")

    def restore() -> None:
        instance.client.call = call

    instance.client.call = silent
    return restore


class SilentStoreTest(PlatformCase):
    """Waiting calls to the store that are never answered."""

    async def make_store_unresponsive(self, site, instances) -> None:
        """Makes the store unresponsive while calls for the configuration wait.

        The calls that are already waiting return one more change; those that
        follow it are never answered.
        """
        site.store.faults.hang = True
        site.write_configuration()
        for instance in instances:
            await self.until(lambda i=instance: i.version == site.version)
        await anyio.sleep(2 * BATCH_PAUSE_S)

    async def leave_next_call_unanswered(self, site, instance) -> None:
        """Returns one more change, and leaves the next call unanswered.

        If no call is waiting at that moment, because an answer has arrived and
        the next call is not sent yet, the change does not arrive; then it is
        tried again.
        """
        while True:
            restore = leave_unanswered(instance, "op")
            site.write_configuration()
            with anyio.move_on_after(CHANGE_TIMEOUT_S):
                await self.until(lambda: instance.version == site.version)
                return
            restore()
            await self.until(lambda: instance.version == site.version)

    async def test_change_after_the_outage(self) -> None:
        # Guards against a stale configuration after an outage. A caller of a
        # route that the operator added after an outage gets "not found" for
        # seconds, and other requests follow the routes from before the outage.
        # The store became unresponsive just before all instances called it for
        # the next change, closed no connection, and returned. No instance
        # called it otherwise, so all took that one unanswered call for "nothing
        # has changed" until it timed out, 11.5 s later. The store's count of
        # unanswered calls and the times of the log lines on its loss proved it.
        async with self.site(2) as (site, instances):
            await self.until(lambda: instances[0].live_instance_count == 2)
            await self.until(lambda: instances[1].live_instance_count == 2)
            await self.make_store_unresponsive(site, instances)
            site.store.faults.hang = False
            site.write_configuration(added=[ADDED])
            for instance in instances:
                await self.until(lambda i=instance: i.version == site.version)
                answer = await self.ask(instance, "/added/x")
                self.assertEqual(answer.status, 200)

    async def test_not_found_while_the_store_is_unresponsive(self) -> None:
        # Guards against a final "not found" although a route may have been
        # added since. Two instances wait for an unresponsive store; no call of
        # theirs has failed, so each considers the store reachable, and confirms
        # to the other the version that both have.
        async with self.site(2) as (site, instances):
            await self.until(lambda: instances[0].live_instance_count == 2)
            await self.until(lambda: instances[1].live_instance_count == 2)
            await self.make_store_unresponsive(site, instances)
            await anyio.sleep(root.MAX_CONFIRMED_AGE_S)
            for instance in instances:
                answer = await self.ask(instance, "/added/x")
                self.assertEqual(answer.status, 503)
                answer = await self.ask(instance, "/confirm/x", key="new")
                self.assertEqual(answer.status, 503)

    async def test_server_changes_do_not_confirm_the_configuration(
        self,
    ) -> None:
        # The same with one instance, whose calls for servers are answered while
        # the one for the configuration is not. Servers come and go, and each
        # time a caller of a route just added got "not found" for a second and a
        # half. Changes of servers say nothing about routes once the store's
        # version has risen.
        async with self.site() as (site, (instance,)):
            await self.leave_next_call_unanswered(site, instance)
            for phase, count in (("draining", 1), ("ready", 2)) * 3:
                await anyio.sleep(root.MAX_CONFIRMED_AGE_S / 4)
                site.write_server_row("engine-1", MODEL_BACKEND, phase)
                await self.until(
                    lambda n=count: (
                        len(instance.registry.servers_of(MODEL_BACKEND)) == n
                    )
                )
            answer = await self.ask(instance, "/added/x")
            self.assertEqual(answer.status, 503)

    @unittest.mock.patch.object(root, "MAX_CONFIRMED_AGE_S", float("inf"))
    async def test_newer_version_not_yet_received(self) -> None:
        # A caller of a route just added reaches an instance that knows of the
        # new version but has not received it: its own call hangs, and the
        # snapshot of the other instance does not arrive. Its data is recent
        # enough, yet it knows that a newer version exists.
        async with self.site(2) as (site, (first, second)):
            await self.until(lambda: first.live_instance_count == 2)
            await self.until(lambda: second.live_instance_count == 2)
            leave_unanswered(first, "snapshot")
            await self.leave_next_call_unanswered(site, first)
            site.write_configuration(added=[ADDED])
            await self.until(lambda: second.version == site.version)
            await self.until(lambda: not first.configuration_confirmed)
            answer = await self.ask(first, "/added/x")
            self.assertEqual(answer.status, 503)

    async def test_configuration_that_cannot_be_read(self) -> None:
        # The operator adds a route in a configuration that this program cannot
        # decode. The program keeps using the former one, as it should, and
        # knows that it is not the newest: "not found" would be final for
        # callers of the route until the program is fixed.
        async with self.site() as (site, (instance,)):
            await self.until(lambda: instance.configuration_confirmed)
            site.store.put("op", "config", {"version": "none"})
            await self.until(lambda: not instance.configuration_confirmed)
            answer = await self.ask(instance, "/added/x")
            self.assertEqual(answer.status, 503)
            answer = await self.ask(instance, "/confirm/x")
            self.assertEqual(answer.status, 200)
            site.write_configuration(added=[ADDED])
            await self.until(lambda: instance.configuration_confirmed)
            answer = await self.ask(instance, "/added/x")
            self.assertEqual(answer.status, 200)

    async def test_own_waiting_call_is_unanswered(self) -> None:
        # One instance's calls to the store hang and none fails; the other
        # instance is served. The first must not wait for its own call to end:
        # the other's message brings the change, and the reported age keeps
        # final refusals correct.
        async with self.site(2) as (site, (first, second)):
            await self.until(lambda: first.live_instance_count == 2)
            await self.until(lambda: second.live_instance_count == 2)
            leave_unanswered(first, "op")
            site.write_configuration()
            await self.until(lambda: first.version == site.version)
            await anyio.sleep(2 * BATCH_PAUSE_S)
            site.write_configuration(added=[ADDED])
            await self.until(lambda: first.version == site.version)
            answer = await self.ask(first, "/added/x")
            self.assertEqual(answer.status, 200)
            await self.until(lambda: first.configuration_confirmed)
            answer = await self.ask(first, "/never/x")
            self.assertEqual(answer.status, 404)


if __name__ == "__main__":
    unittest.main()
