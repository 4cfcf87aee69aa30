"""Failures while urgent kinds and long requests compete under overload."""

import unittest

from tests.speedworld import Node
from tests.test_urgentload import overload
from tests.urgentworld import LOST_SHARE, UrgentWorld

OWNER_DIES_S = 9.0
CUT_OFF_S = (5.0, 10.0)
RECOVERY_S = 5.0
"""Time in which the next owner measures demand and speeds anew."""


class OwnerDies(UrgentWorld):
    """The owner dies in the burst; its successor has no history.

    The instances send it their waiting requests and tell it what is in flight.
    """

    def _report(self) -> None:
        super()._report()
        if self.elapsed_s() < OWNER_DIES_S or len(self.nodes) != 1:
            return
        old = self.nodes.pop()
        new = self._node(1)
        new.dispatcher.workload = old.dispatcher.workload
        self.nodes += [new, new]
        for entry in list(old.queue._queue):
            old.queue.cancel(entry)
            new.dispatcher.record_arrival(entry.call)
            self._enqueue(new, entry.call, entry.avoid)


class CutOff(UrgentWorld):
    """One instance neither sends nor receives reports for some seconds."""

    def _report(self) -> None:
        nodes = self.nodes
        start, end = CUT_OFF_S
        if start <= self.elapsed_s() < end:
            self._report_among(nodes[:1])
            self._report_among(nodes[1:])
        else:
            super()._report()

    def _report_among(self, group: list[Node]) -> None:
        everyone, self.nodes = self.nodes, group
        super()._report()
        self.nodes = everyone


class FailureTest(unittest.TestCase):
    """What becomes of the urgent kind in each."""

    def test_owner_dies_mid_burst(self) -> None:
        # Guards against urgent requests that are lost while the next owner
        # measures the demand and the speeds that the one before knew.
        world = overload(1, 1, OwnerDies)
        self.assertEqual(len(world.nodes), 2)
        self.assertGreaterEqual(world.served_share("query"), 0.85)
        self.assertLessEqual(
            world.displaced("query", OWNER_DIES_S + RECOVERY_S), LOST_SHARE
        )

    def test_instances_disagree_on_the_split(self) -> None:
        # Guards against an instance that sends long requests to the servers
        # that the others keep for urgent ones, since it does not know of them.
        world = overload(1, 6, CutOff)
        self.assertGreaterEqual(world.served_share("query"), 0.9)
        self.assertLessEqual(world.displaced("query", CUT_OFF_S[1]), LOST_SHARE)


if __name__ == "__main__":
    unittest.main()
