"""Tests of who goes on with an answer whose server was silent."""

import unittest

from jasminerelay.scheduling.handover import Handover


class HandoverTest(unittest.TestCase):
    """The first of the two servers has the answer, for good."""

    def setUp(self) -> None:
        self.calls: list[str] = []
        self.handover = Handover()
        self.handover.on_kept = lambda: self.calls.append("kept")
        self.handover.on_taken = lambda: self.calls.append("taken")

    def test_silent_server_comes_first(self) -> None:
        # Guards against events of both servers in one answer.
        self.assertTrue(self.handover.open)
        self.assertTrue(self.handover.keep())
        self.assertFalse(self.handover.take())
        self.assertTrue(self.handover.keep())
        self.assertFalse(self.handover.taken)
        self.assertEqual(self.calls, ["kept"])

    def test_other_server_comes_first(self) -> None:
        # Guards against late events of the silent server.
        self.assertTrue(self.handover.take())
        self.assertFalse(self.handover.keep())
        self.assertTrue(self.handover.take())
        self.assertTrue(self.handover.taken)
        self.assertFalse(self.handover.open)
        self.assertEqual(self.calls, ["taken"])
