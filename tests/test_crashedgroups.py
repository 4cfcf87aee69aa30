"""Tests placement while all servers of one kind of request have crashed."""

import time
import unittest
import unittest.mock

from jasminerelay.catalog import Prompt, PromptPart
from jasminerelay.dispatcher import SPLIT_INTERVAL_S
from jasminerelay.placing import PlacementDecision, Wait
from jasminerelay.schema.messages import RouteDemand
from jasminerelay.stragglers import (
    FAILURE_BACKOFF_S,
    UNAVAILABLE_AFTER_FAILURES,
)
from tests.test_dispatcher import SERVICE, dispatcher
from tests.test_placing import call, route


class CrashedGroupTest(unittest.TestCase):
    """A kind with two servers, both crashed, whose rows still exist."""

    KINDS = (
        RouteDemand(f"{SERVICE}/long", 4.0, 6600.0, 2),
        RouteDemand(f"{SERVICE}/chat", 2.0, 600.0, 0),
    )

    def setUp(self) -> None:
        self.now = time.monotonic()
        self.instance = dispatcher(6)
        self.instance.demand.update("other", self.KINDS, self.now)
        self.instance.tick(self.now)
        self.crashed = self.group("chat")

    def group(self, kind: str) -> tuple[str, ...]:
        return self.instance._kinds._splits[SERVICE].group(kind)

    def record_failures(self, times: int) -> None:
        """Records failures of both servers that ended just now."""
        for _ in range(times):
            for name in self.crashed:
                self.instance.health(SERVICE).failed(name, self.now)

    def place(self, tokens: int = 600) -> PlacementDecision | Wait:
        parts = (PromptPart("start", 200), PromptPart("own", tokens - 200))
        request = call(
            "chat",
            arrived_at=self.now,
            answer_deadline=self.now + 10.0,
            route=route(name="chat", rank=0, pause_s=1.0),
            prompt=Prompt(parts, tokens, 300, 200),
        )
        return self.instance.place(request, frozenset())

    def test_short_requests_use_other_kinds_servers_at_once(self) -> None:
        # Guards against urgent requests that are sent to crashed servers, or
        # wait for them, until the servers' rows expire seconds later.
        self.record_failures(1)
        placed = self.place()
        self.assertIsInstance(placed, PlacementDecision)
        self.assertNotIn(placed.server.id, self.crashed)

    def test_long_prompts_wait_for_the_next_split(self) -> None:
        # Guards against long prompts that delay the streams of other kinds.
        self.record_failures(1)
        with unittest.mock.patch.object(
            self.instance._kinds, "max_concurrent_prefill", return_value=4000
        ):
            self.assertIsInstance(self.place(tokens=60_000), Wait)

    def test_crashed_servers_are_no_capacity(self) -> None:
        # Guards against a kind whose servers have all crashed and that gets no
        # others although the split is computed again.
        self.record_failures(UNAVAILABLE_AFTER_FAILURES)
        self.instance.tick(self.now + SPLIT_INTERVAL_S)
        group = self.group("chat")
        self.assertTrue(group)
        self.assertFalse(set(group) & set(self.crashed))

    def test_single_failure_keeps_the_split(self) -> None:
        # Guards against groups that change, and caches that get cold, with
        # each connection that breaks off.
        self.record_failures(1)
        self.instance.tick(self.now + SPLIT_INTERVAL_S)
        self.assertEqual(self.group("chat"), self.crashed)

    def test_unavailable_server_is_probed(self) -> None:
        # Guards against a server that recovered and stays out of use, since it
        # belongs to no kind.
        self.record_failures(UNAVAILABLE_AFTER_FAILURES)
        self.instance.tick(self.now + SPLIT_INTERVAL_S)
        for name in self.group("chat"):
            for _ in range(40):
                self.instance.workload.start(name, unread=0, memory=100)
        health = self.instance.health(SERVICE)
        backoff_s = FAILURE_BACKOFF_S * 2**UNAVAILABLE_AFTER_FAILURES
        for name in self.crashed:
            health._record_of(name).blocked_until = self.now - backoff_s
        placed = self.place()
        self.assertIn(placed.server.id, self.crashed)
        self.instance.workload.start(placed.server.id, unread=0, memory=100)
        self.assertNotEqual(self.place().server.id, placed.server.id)

    def test_all_servers_failed(self) -> None:
        # Guards against a short fault of all servers that becomes an outage.
        for number in range(6):
            self.instance.health(SERVICE).failed(f"i-{number:03}", self.now)
        self.assertIsInstance(self.place(), PlacementDecision)


if __name__ == "__main__":
    unittest.main()
