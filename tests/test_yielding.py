"""Longer, less urgent requests while late urgent ones wait."""

import asyncio
import random
import time
import unittest

from jasminerelay import placing
from jasminerelay.admission import WaitEstimate
from jasminerelay.catalog import Call, Prompt, PromptPart
from jasminerelay.placementqueue import PlacementQueue
from jasminerelay.placing import PlacementDecision, Wait
from jasminerelay.workload import Load, Workload
from tests.test_placing import ENGINE, SPEEDS, call, option, route

CHECK_TOKENS = 2400
SHEET_TOKENS = 12_000
OBJECTIVE_S = 0.5


def request(name: str, tokens: int, rank: int, age_s: float, **fields) -> Call:
    """Returns a request of a size, a rank and an age."""
    return call(
        name,
        arrived_at=time.monotonic() - age_s,
        route=route(name=name[:5], rank=rank, objective_s=OBJECTIVE_S),
        rank=0,
        prompt=Prompt((PromptPart(name, tokens),), tokens, 100, 20),
        **fields,
    )


class QueueTest(unittest.TestCase):
    """One queue whose servers have room for longer requests only."""

    def placed(self, *requests: Call) -> list[str]:
        """Returns the requests that are placed once all have been queued."""
        workload = Workload()
        open_now = False

        def place(item: Call, avoid: frozenset[str]):
            if open_now and item.id.startswith("sheet"):
                return PlacementDecision(option("s").server, 0, 0)
            return Wait("full", full=True)

        queue = PlacementQueue(
            place,
            lambda item, ahead_s: WaitEstimate(0.0, 0.0, 10.0),
            lambda item: 0.1,
            lambda item, placed: workload.start("s", 0, 0),
        )
        found: list[str] = []
        for item in requests:
            queue.enqueue(
                item, frozenset(), lambda entry: found.append(entry.call.id)
            )
        open_now = True
        queue.place_all()
        return found

    def test_longer_request_waits_for_a_late_urgent_one(self) -> None:
        # Guards against sheets that begin while a check gets nothing.
        late = request("check1", CHECK_TOKENS, 1, 1.0)
        sheet = request("sheet1", SHEET_TOKENS, 2, 0.1)
        self.assertEqual(self.placed(late, sheet), [])

    def test_longer_request_begins_otherwise(self) -> None:
        # Guards against sheets that wait for requests which are in time, as
        # urgent, less urgent, or hardly shorter.
        sheet = request("sheet1", SHEET_TOKENS, 2, 0.1)
        for other in (
            request("check1", CHECK_TOKENS, 1, 0.1),
            request("check1", CHECK_TOKENS, 2, 1.0),
            request("check1", CHECK_TOKENS, 3, 1.0),
            request("check1", SHEET_TOKENS // 2, 1, 1.0),
        ):
            self.assertEqual(self.placed(other, sheet), ["sheet1"])

    def test_organisation_of_higher_rank_goes_first(self) -> None:
        # Guards against a sheet that yields to a check of an organisation that
        # comes after its own.
        late = request("check1", CHECK_TOKENS, 1, 1.0)
        sheet = request("sheet1", SHEET_TOKENS, 2, 0.1)
        later = call(
            late.id,
            late.arrived_at,
            route=late.route,
            prompt=late.prompt,
            rank=1,
        )
        self.assertEqual(self.placed(later, sheet), ["sheet1"])


class PassTimeTest(unittest.IsolatedAsyncioTestCase):
    """The time that placement passes take in overload."""

    async def test_passes_leave_time_for_the_rest(self) -> None:
        # Guards against an instance that does nothing but look for places.
        pass_s = 0.01
        passes = 0

        def place(item: Call, avoid: frozenset[str]) -> Wait:
            nonlocal passes
            passes += 1
            time.sleep(pass_s)
            return Wait("full", full=True)

        queue = PlacementQueue(
            place,
            lambda item, ahead_s: WaitEstimate(0.0, 0.0, 10.0),
            lambda item: 0.1,
            lambda item, placed: None,
        )
        waiting = asyncio.create_task(queue.run())
        await asyncio.sleep(0)
        item = request("sheet1", SHEET_TOKENS, 2, 0.0)
        queue.enqueue(item, frozenset(), lambda entry: None)
        began = time.monotonic()
        while time.monotonic() - began < 1.0:
            queue.capacity_freed(item.service)
            await asyncio.sleep(0.001)
        waiting.cancel()
        self.assertLess(passes * pass_s, 0.5)
        self.assertGreater(passes, 4)


class RoomTest(unittest.TestCase):
    """The quick test that leaves servers out before they are scored."""

    def test_no_server_with_capacity_is_left_out(self) -> None:
        # Guards against requests that wait though a server has capacity.
        rng = random.Random(1)
        accepted = 0
        for _ in range(5000):
            load = Load(
                rng.randrange(80_000),
                rng.randrange(ENGINE.slots + 8),
                rng.randrange(ENGINE.cache_tokens),
            )
            item = option(
                "s",
                load,
                cache_known=rng.random() < 0.5,
                server_slowness=rng.choice((0.25, 1.0, 3.0)),
                limit=rng.choice((0, 4, 200)),
                own_places=rng.choice((None, 0, 1)),
            )
            memory = rng.randrange(1, 40_000)
            if placing.has_capacity(ENGINE, SPEEDS, item, memory):
                accepted += 1
                self.assertTrue(
                    placing.may_have_room(ENGINE, SPEEDS, load, memory)
                )
        self.assertGreater(accepted, 100)


if __name__ == "__main__":
    unittest.main()
