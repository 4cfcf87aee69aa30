"""Tests of requests that arrive before the first configuration."""

import time
import unittest

import anyio

from jasminerelay.platform.earlyrequests import MAX_REQUESTS, EarlyRequests
from tests import virtualtime
from tests.platformcase import PlatformCase, fetch

SOON_S = 0.3
"""Bound of the page for a request that may wait 0.2 s, with a margin for a busy
machine."""


class EarlyRequestsTest(unittest.TestCase):
    """Requests that wait while an instance starts, in virtual time."""

    def setUp(self) -> None:
        self.early = EarlyRequests()
        self.ended: list[tuple[float, bool]] = []

    async def wait(self, limit_s: float | None = None) -> None:
        came = await self.early.wait(limit_s)
        self.ended.append((round(anyio.current_time(), 3), came))

    def run_waits(self, *limits_s: float | None, release_s=None) -> None:
        """Runs requests with the given limits, and a release if one is set."""

        async def main() -> None:
            async with anyio.create_task_group() as group:
                for limit_s in limits_s:
                    group.start_soon(self.wait, limit_s)
                if release_s is not None:
                    await anyio.sleep(release_s)
                    self.early.release()

        virtualtime.run(main, ())

    def test_served_at_the_release(self) -> None:
        # Guards against refused callers whose instance becomes ready in time.
        self.run_waits(None, 3.0, release_s=0.4)
        self.assertEqual(self.ended, [(0.4, True)] * 2)
        self.run_waits(None)
        self.assertEqual(self.ended[2:], [(0.0, True)])

    def test_waits_are_bounded(self) -> None:
        # Guards against callers that abandon the attempt unanswered: they wait
        # 1 s, or a third of their time.
        self.run_waits(None, 0.6, 30.0)
        self.assertEqual(self.ended, [(0.2, False), (1.0, False), (1.0, False)])

    def test_number_is_bounded(self) -> None:
        # Guards against memory that grows with the callers of a burst.
        self.run_waits(*[None] * (MAX_REQUESTS + 10), release_s=0.5)
        self.assertEqual(self.ended[:10], [(0.0, False)] * 10)
        self.assertEqual(self.ended[10:], [(0.5, True)] * MAX_REQUESTS)


class StoreAwayTest(PlatformCase):
    """The store is unavailable when an instance starts."""

    async def test_store_away_at_the_start(self) -> None:
        # Guards against a 503 for callers of an instance that has its
        # configuration half a second later, and against readiness before.
        async with (
            self.site(0) as (site, _),
            anyio.create_task_group() as group,
        ):
            site.store.faults.down = True
            instance = await self.start(group, site, "edge-1")
            await self.until(lambda: instance.listening)
            started = time.monotonic()
            refused = await self.ask(instance, "/confirm/x", Deadline_Ms="600")
            self.assertLess(time.monotonic() - started, SOON_S)
            self.assertEqual(refused.status, 503)
            self.assertIn("retry-after", refused.headers)
            ready = await fetch(f"http://{instance.readiness}/-/readyz")
            self.assertEqual(ready.status, 503)
            answers = []

            async def ask() -> None:
                answers.append(await self.ask(instance, "/confirm/y"))

            async with anyio.create_task_group() as callers:
                callers.start_soon(ask)
                await anyio.sleep(0.1)
                site.store.faults.down = False
            self.assertEqual(answers[0].status, 200)
            await self.until(lambda: instance.ready)
            group.cancel_scope.cancel()


if __name__ == "__main__":
    unittest.main()
