"""Crashes of servers that instances report to each other."""

import random
import types
import unittest
import unittest.mock

import anyio

from jasminerelay import crashnotices
from jasminerelay.catalog import BackendServer
from jasminerelay.crashnotices import CrashNotices
from jasminerelay.metrics import Counters
from jasminerelay.platform.root import Instance
from jasminerelay.scheduling.servercrashes import (
    BELIEVED_ONCE_S,
    HOLD_S,
    MAX_AGE_S,
    REPORT_INTERVAL_S,
    ServerCrashes,
)
from jasminerelay.schema.messages import CrashedServers, Member
from jasminerelay.stragglers import FAILURE_BACKOFF_S, Stragglers
from standins.platformsite import PLAIN_BACKEND, SiteOptions
from tests.instanceworld import Quiet
from tests.platformcase import PlatformCase

SERVER = "engine-1@5"


class ServerCrashesTest(unittest.TestCase):
    """What one instance reports and believes."""

    def setUp(self) -> None:
        self.crashes = ServerCrashes()

    def reports(self, now: float) -> list[str]:
        """Returns the servers that are reported now."""
        return self.crashes.take_reports(now)[0]

    def test_proved_end(self) -> None:
        self.crashes.record_failure(SERVER, 10.0, ended=True)
        self.assertEqual(self.reports(10.0 + HOLD_S / 2), [])
        self.assertEqual(self.reports(10.0 + HOLD_S), [SERVER])
        self.assertEqual(self.reports(10.0 + HOLD_S), [])

    def test_several_broken_requests(self) -> None:
        # Guards against a report of a server that only broke off requests.
        for now in (10.0, 10.1, 10.2):
            self.crashes.record_failure(SERVER, now, broken=True)
            self.assertEqual(self.reports(now + HOLD_S), [])
        self.crashes.record_failure(SERVER, 10.3, ended=True)
        self.assertEqual(self.reports(10.3), [SERVER])

    def test_broken_requests_far_apart(self) -> None:
        for now in (10.0, 11.0, 12.0):
            self.crashes.record_failure(SERVER, now, broken=True)
            self.assertEqual(self.reports(now + HOLD_S), [])

    def test_timeouts_are_no_crash(self) -> None:
        # Guards against reports of servers that are slow.
        for now in (10.0, 10.1, 10.2):
            self.crashes.record_failure(SERVER, now)
        self.assertEqual(self.reports(10.4), [])

    def test_response_in_between(self) -> None:
        self.crashes.record_failure(SERVER, 10.0, ended=True)
        self.crashes.record_response(SERVER, 10.1)
        self.assertEqual(self.reports(10.2), [])

    def test_instance_that_is_cut_off_reports_nothing(self) -> None:
        # Guards against an instance that takes all servers away from others.
        self.crashes.record_failure(SERVER, 10.0, ended=True)
        self.crashes.record_failure("engine-2@5", 10.1)
        self.assertEqual(self.crashes.take_reports(10.0 + HOLD_S), ([], True))
        self.assertEqual(self.reports(11.0), [])

    def test_constant_rate_of_reports(self) -> None:
        told = 0
        for tick in range(100):
            now = 10.0 + tick * 0.1
            self.crashes.record_failure(SERVER, now, ended=True)
            told += len(self.reports(now + HOLD_S))
        self.assertLessEqual(told, 10.0 / REPORT_INTERVAL_S + 1)

    def test_heard_crash_is_not_reported_again(self) -> None:
        # Guards against reports that grow with the square of the instances.
        self.assertTrue(self.crashes.believe(SERVER, 0.1, 10.0))
        self.crashes.record_failure(SERVER, 10.1, ended=True)
        self.assertEqual(self.reports(10.1 + HOLD_S), [])

    def test_report_counts_once(self) -> None:
        # Guards against an instance that misreports again and again.
        self.assertTrue(self.crashes.believe(SERVER, 0.0, 10.0))
        self.assertTrue(self.crashes.record_response(SERVER, 10.1))
        self.assertFalse(self.crashes.record_response(SERVER, 10.2))
        for now in (11.0, 20.0, 10.0 + BELIEVED_ONCE_S - 1):
            self.assertFalse(self.crashes.believe(SERVER, 0.0, now))

    def test_server_that_has_responded_since(self) -> None:
        self.crashes.record_response(SERVER, 10.0)
        self.assertFalse(self.crashes.believe(SERVER, 0.5, 10.2))
        self.assertTrue(self.crashes.believe(SERVER, 0.1, 10.2))

    def test_old_report(self) -> None:
        self.assertFalse(self.crashes.believe(SERVER, MAX_AGE_S + 0.1, 10.0))


class ReportedFailureTest(unittest.TestCase):
    """A report counts as one bad verdict, and never more."""

    def test_reports_never_add_up(self) -> None:
        health = Stragglers()
        for _ in range(5):
            health.report_failed(SERVER, 0.0)
        self.assertTrue(health.blocked(SERVER, FAILURE_BACKOFF_S - 0.1))
        self.assertFalse(health.blocked(SERVER, FAILURE_BACKOFF_S))
        self.assertTrue(health.probing(SERVER))
        self.assertFalse(health.unavailable(SERVER))


class _Registry:
    """Two servers."""

    def __init__(self, born: int = 5):
        self._servers = {
            server.id: server
            for server in (
                BackendServer(f"engine-{n}", "s", f"h:{n}", "a", 1, False, born)
                for n in (1, 2)
            )
        }
        self.server = self._servers.get

    def servers(self) -> list[BackendServer]:
        """Returns all servers."""
        return list(self._servers.values())


class CrashNoticesTest(unittest.TestCase):
    """Eight instances that broadcast, with a clock set by the test."""

    def setUp(self) -> None:
        self.now = 100.0
        clock = unittest.mock.patch.object(
            crashnotices,
            "time",
            types.SimpleNamespace(monotonic=lambda: self.now),
        )
        clock.start()
        self.addCleanup(clock.stop)
        members = [
            Member(f"i{n}", "", "", "", "", f"i{n}", "alive", 0)
            for n in range(8)
        ]
        self.failed: dict[str, list[str]] = {}
        self.refuted: list[str] = []
        self.sent = 0
        self.instances: dict[str, CrashNotices] = {}
        for member in members:
            self.instances[member.instance] = self.make(member, members)

    def make(self, member: Member, members: list[Member]) -> CrashNotices:
        """Returns the notices of an instance."""
        name = member.instance
        notices = CrashNotices(
            name, _Registry(), Counters(), Quiet(), random.Random(name)
        )
        notices.members = lambda: members
        notices.send = self.deliver
        self.failed[name] = []
        notices.on_crash = lambda server: self.failed[name].append(server.id)
        notices.on_refuted = lambda server: self.refuted.append(name)
        return notices

    def deliver(self, member: Member, message: CrashedServers) -> None:
        """Delivers a message at once."""
        self.sent += 1
        self.instances[member.instance].handle_message(message)

    def server(self, number: int = 1) -> BackendServer:
        """Returns a server."""
        return self.instances["i0"]._registry.servers()[number - 1]

    def run_for(self, duration_s: float) -> None:
        """Runs the rounds of all instances."""
        end = self.now + duration_s
        while self.now < end:
            self.now += crashnotices.BROADCAST_INTERVAL_S
            for notices in self.instances.values():
                notices.broadcast()

    def test_reaches_all_others_once(self) -> None:
        self.instances["i0"].on_failure(self.server(), ended=True)
        self.run_for(1.0)
        for name, servers in self.failed.items():
            self.assertEqual(servers, [] if name == "i0" else [SERVER])
        # Four rounds to four instances, from each.
        self.assertLessEqual(self.sent, 8 * 16)

    def test_response_puts_the_server_back_at_once(self) -> None:
        self.instances["i0"].on_failure(self.server(), ended=True)
        self.run_for(1.0)
        self.instances["i3"].on_response(self.server())
        self.instances["i3"].on_response(self.server())
        self.assertEqual(self.refuted, ["i3"])

    def test_other_incarnation(self) -> None:
        # Guards against a restarted server that is taken for its predecessor.
        self.instances["i1"]._registry = _Registry(born=6)
        self.instances["i0"].on_failure(self.server(), ended=True)
        self.run_for(1.0)
        self.assertEqual(self.failed["i1"], [])
        self.assertEqual(self.failed["i2"], [SERVER])

    def test_instance_that_is_cut_off(self) -> None:
        for number in (1, 2):
            self.instances["i0"].on_failure(self.server(number), ended=True)
        self.run_for(1.0)
        self.assertEqual(self.sent, 0)

    def test_many_instances_use_owners(self) -> None:
        self.instances["i0"].enabled = lambda: False
        self.instances["i0"].on_failure(self.server(), ended=True)
        self.run_for(1.0)
        self.assertEqual(self.sent, 0)


class CrashedServerTest(PlatformCase):
    """Two instances and a server that has ended while its row remains."""

    options = SiteOptions(engines=1, plain=2)

    async def ask_at_once(self, instance: Instance) -> None:
        """Sends requests at once, so that both servers get some."""

        async def ask() -> None:
            answer = await self.ask(instance, "/lookup/x", method="GET")
            self.assertEqual(answer.status, 200)

        async with anyio.create_task_group() as group:
            for _ in range(4):
                group.start_soon(ask)

    async def test_other_instance_hears(self) -> None:
        async with self.site(2) as (site, (first, second)):
            await self.until(lambda: second.live_instance_count == 2)
            server = next(
                x for x in second.registry.servers() if x.name == "plain-1"
            )
            site.kill_server("plain-1")
            health = second.dispatcher.health(PLAIN_BACKEND)
            heard = second.counters.snapshot
            with anyio.fail_after(5.0):
                while not heard().get("crash.heard"):
                    await self.ask_at_once(first)
            self.assertTrue(health.probing(server.id))
            self.assertFalse(health.unavailable(server.id))
            self.assertEqual(heard()["crash.heard"], 1)


if __name__ == "__main__":
    unittest.main()
