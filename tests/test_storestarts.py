"""Tests of the calls to the store that an instance makes when it starts."""

import contextlib
import unittest
import unittest.mock

import anyio

from jasminerelay import rendezvous
from jasminerelay.followerroles import (
    FOLLOWERS_PER_ZONE,
    MIN_INSTANCES_FOR_FOLLOWERS,
    reads_at_start,
)
from jasminerelay.membership import LEAVING
from jasminerelay.platform import bootfile, root
from jasminerelay.platform.root import Instance
from jasminerelay.schema.messages import Member
from standins.platformsite import PlatformSite
from tests.platformcase import PlatformCase, ResponsiveTime

NOBODY = "127.0.0.1:9"
"""An address at which no instance listens."""

BUSY_WAIT_S = 5.0
"""Time to wait for other instances' data on a busy machine, where the number of
calls is tested."""

BUSY_REGISTER_PAUSE_S = 2.0
"""Pause, within the time watched, after which an instance without others' data
reads their addresses again. Beside other load the data has taken a second."""

NO_ABORT_AGE_S = 60.0
"""Age of the data above which the instance that starts aborts its waiting
calls, where their number is tested. Beside other load the leader's
confirmations come late, and the instance rightly asks the store itself."""

MAX_START_CALLS = 6
WATCHED_S = 2.5
"""Time after a start within which its calls are counted."""


def on_busy_machine(test):
    """Makes a test of the number of calls independent of other load."""
    for module, name, value in (
        (root, "START_WAIT_S", BUSY_WAIT_S),
        (root, "FIRST_CONTACT_S", BUSY_WAIT_S),
        (root, "REGISTER_PAUSE_S", BUSY_REGISTER_PAUSE_S),
    ):
        test = unittest.mock.patch.object(module, name, value)(test)
    return test


def count_calls(instance) -> list[str]:
    """Returns a list to which the URLs of an instance's calls are added."""
    urls = []
    call = instance.client.call
    store = f"http://{instance.boot.store}/"

    async def counted(exchange):
        if exchange.url.startswith(store):
            urls.append(exchange.url)
        return await call(exchange)

    instance.client.call = counted
    return urls


def leads(instance: Instance, others) -> bool:
    """Returns whether an instance comes first in the order of all."""
    names = [
        item._peers.membership.own_member.instance
        for item in (instance, *others)
    ]
    return rendezvous.owner("store", names) == names[0]


class StartCallsTest(PlatformCase):
    """An instance that starts beside others that have the data."""

    @contextlib.asynccontextmanager
    async def started(self, site: PlatformSite, others, *seeds: str):
        """Starts an instance; yields it with its calls once it is ready.

        Args:
            site: The site.
            others: The instances that live there.
            *seeds: Addresses that the instance knows.
        """
        path = site.settings("edge-9")
        instance = Instance(bootfile.load(path).unwrap(), path)
        while leads(instance, others):
            # The leader confirms the data every second, whoever it is.
            instance = Instance(bootfile.load(path).unwrap(), path)
        instance.log.info = instance.log.warn = lambda *a, **k: None
        for seed in seeds:
            instance.add_peer_address(seed)
        urls = count_calls(instance)
        async with anyio.create_task_group() as group:
            group.start_soon(lambda: instance.run(signals=False))
            await self.until(lambda: instance.ready)
            yield instance, urls
            group.cancel_scope.cancel()

    async def watch_calls(self, instance, others, urls: list[str]) -> None:
        """Asserts that an instance that has started makes few calls.

        It does not ask the store for the age of its data. That data would be
        too old by the end if the leader's confirmations did not arrive.
        """
        instance._follower_role.poll_age_s = lambda **_: NO_ABORT_AGE_S
        await self.settled([instance, *others])
        await anyio.sleep(WATCHED_S)
        await self.until(lambda: instance.configuration_confirmed)
        self.assertLess(len(urls), MAX_START_CALLS, urls)

    async def settled(self, instances) -> None:
        """Waits until instances know each other and have recent data."""
        for instance in instances:
            await self.until(
                lambda i=instance: (
                    i.live_instance_count == len(instances)
                    and i.configuration_confirmed
                )
            )

    @on_busy_machine
    async def test_seed_answers(self) -> None:
        # Guards against starts that read all tables though others have them:
        # a rolling restart of many instances loads the store.
        async with self.site(2) as (site, others):
            await self.settled(others)
            seed = others[0].boot.peers
            async with self.started(site, others, seed) as (instance, urls):
                await self.watch_calls(instance, others, urls)
                self.assertFalse([x for x in urls if "table=op&part" in x])
                site.write_configuration()
                await self.until(lambda: instance.version == site.version)

    @on_busy_machine
    async def test_without_seeds(self) -> None:
        # The same where the instance finds the others by their rows.
        async with self.site(2) as (site, others):
            await self.settled(others)
            async with self.started(site, others) as (instance, urls):
                await self.watch_calls(instance, others, urls)

    async def test_seeds_do_not_answer(self) -> None:
        # Guards against an instance that waits for others in vain: it reads
        # the tables itself soon, and finds the others by their rows.
        async with self.site(1) as (site, others):
            waited = ResponsiveTime()
            async with anyio.create_task_group() as group:
                group.start_soon(waited.run)
                async with self.started(site, others, NOBODY) as (instance, _):
                    self.assertLess(waited.elapsed_s, root.START_WAIT_S + 1.0)
                    await self.until(lambda: instance.live_instance_count == 2)
                group.cancel_scope.cancel()

    async def test_store_is_unavailable(self) -> None:
        # Guards against an instance that cannot start while the store does not
        # answer although another instance has the data.
        async with self.site(2) as (site, others):
            site.store.faults.hang = True
            seed = others[0].boot.peers
            async with self.started(site, others, seed) as (instance, _):
                answer = await self.ask(instance, "/confirm/x")
                self.assertEqual(answer.status, 200)
                site.store.faults.hang = False
                site.write_configuration()
                await self.until(lambda: instance.version == site.version)

    async def test_store_has_lost_its_history(self) -> None:
        # Guards against a start that goes on from a version whose changes the
        # store has discarded: the instance then reads all rows.
        async with self.site(1) as (site, others):
            site.store.discard_history()
            seed = others[0].boot.peers
            async with self.started(site, others, seed) as (instance, _):
                site.write_configuration()
                await self.until(lambda: instance.version == site.version)

    async def test_response_to_the_own_row_is_lost(self) -> None:
        # Guards against an instance that others cannot find: it writes its row
        # again if it does not know whether the store has it.
        async with self.site(1) as (site, others):
            await self.settled(others)
            site.store.faults.lose_acks = 1
            seed = others[0].boot.peers
            async with self.started(site, others, seed) as (instance, urls):
                await self.until(
                    lambda: sum("rows-tx" in url for url in urls) == 2
                )
                rows = site.store.keys("jasminerelay_instances")
                self.assertIn(instance.boot.ip, rows)


class SimultaneousStartTest(unittest.TestCase):
    """All instances start at once."""

    def test_few_read_the_tables(self) -> None:
        # Guards against reads of all tables by every instance at once.
        members = [
            Member(f"i{n}", "", f"z{n % 3}", "", "", "", LEAVING, 0)
            for n in range(60)
        ]
        reading = [m for m in members if reads_at_start(m, members)]
        self.assertEqual(len(reading), 3 * FOLLOWERS_PER_ZONE)

    def test_few_instances_all_read(self) -> None:
        # Guards against waiting for instances that are not known yet.
        members = [
            Member(f"i{n}", "", "z", "", "", "", LEAVING, 0)
            for n in range(MIN_INSTANCES_FOR_FOLLOWERS - 1)
        ]
        self.assertTrue(all(reads_at_start(m, members) for m in members))


if __name__ == "__main__":
    unittest.main()
