"""Choices of one instance from all that it knows, without a network."""

import random
import time
import unittest

import msgspec

from jasminerelay.dispatcher import Dispatcher
from jasminerelay.platform import documents
from jasminerelay.registry import Registry
from jasminerelay.schema.messages import ServerRow
from tests.test_placing import call, route

SERVICE = "pool"


def dispatcher(servers: int) -> Dispatcher:
    """Returns an instance's dispatcher with idle model servers."""
    registry = Registry(documents.catalog, documents.server)
    configuration = {
        "version": 1,
        "routes": [],
        "backends": [
            {
                "name": SERVICE,
                "runtime": {
                    "slotCount": 32,
                    "kvCapacity": 700_000,
                    "stride": 5,
                },
            }
        ],
    }
    registry.take_configuration(1, msgspec.json.encode(configuration))
    rows = []
    for number in range(servers):
        data = {"backend": SERVICE, "address": f"10.0.0.{number}:1"}
        name = f"i-{number:03}"
        rows.append(ServerRow(name, 2, msgspec.json.encode(data)))
    registry.take_all(rows, 2, 0.0)
    return Dispatcher(registry, "z", lambda: 1, random.Random(1))


class IdlePaceTest(unittest.TestCase):
    """What a token is taken to cost an engine."""

    def test_burst_at_the_start(self) -> None:
        # A burst of long prompts meets engines of which nothing was seen
        # yet. All of them read, so each stream's tokens come slowly. Taken
        # for the engines' pace, that made chats look as if they needed three
        # servers of eight while long prompts were refused.
        desk = dispatcher(4)
        now = time.monotonic()
        chat = call(route=route(name="chat", rank=0), prompt=call().prompt)
        before_s = desk.busy_s(chat)
        for number in range(4):
            name = f"i-{number:03}"
            desk.workload.start(name, unread=30_000, memory=40_000)
            desk.paces.observe(name, 5, 0.25, now)
        desk.tick(now)
        self.assertAlmostEqual(desk.busy_s(chat), before_s)

    def test_slow_engines_are_learned_when_calm(self) -> None:
        desk = dispatcher(2)
        now = time.monotonic()
        chat = call()
        before_s = desk.busy_s(chat)
        desk.paces.observe("i-000", 5, 0.1, now)
        desk.tick(now)
        self.assertGreater(desk.busy_s(chat), before_s * 2)


if __name__ == "__main__":
    unittest.main()
