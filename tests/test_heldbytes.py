"""Tests the bounds on bytes held for callers and servers, without network."""

import math
import random
import unittest

from jasminerelay.scheduling.heldbytes import (
    ACCEPTED_SHARE,
    MAX_AHEAD_BYTES,
    MIN_AHEAD_BYTES,
    STALL_S,
    CallerStall,
    HeldBounds,
    HeldBytes,
)

PIECE_BYTES = 64 * 1024
STEP_S = 0.05


class _Transfer:
    """A response whose server is faster than its caller."""

    def __init__(self, held: HeldBytes, organisation: str, bytes_s: float):
        self._held = held
        self._hold = held.hold(organisation)
        self._bytes_s = bytes_s
        self.unsent = 0
        self.accepted = 0
        self.ended = False

    def step(self) -> None:
        """Reads from the server as far as allowed; the caller then reads."""
        if self.ended:
            return
        while self.unsent <= self._held.read_ahead(self._hold, self.accepted):
            self.unsent += PIECE_BYTES
            self._hold.set(self.unsent)
        taken = min(self.unsent, int(self._bytes_s * STEP_S))
        self.accepted += taken
        self.unsent -= taken
        self._hold.set(self.unsent)

    def end(self) -> None:
        """Ends the transfer."""
        self.ended = True
        self._hold.close()


class HeldBytesTest(unittest.TestCase):
    """Load: slow callers and large bodies at an instance of 160 MB."""

    def setUp(self) -> None:
        self.held = HeldBytes(HeldBounds.of_memory(160))

    def run_transfers(self, transfers: list, seconds: float) -> int:
        """Runs transfers in turn; returns the most bytes held at once."""
        peak = 0
        for _ in range(int(seconds / STEP_S)):
            for transfer in transfers:
                transfer.step()
            peak = max(peak, self.held.total)
        return peak

    def test_callers_that_never_read_cost_little(self) -> None:
        # Guards against reading 96 MB for a caller that takes none of it.
        transfers = [_Transfer(self.held, "acme", 0.0) for _ in range(200)]
        peak = self.run_transfers(transfers, 3.0)
        self.assertLessEqual(peak, 200 * (MIN_AHEAD_BYTES + PIECE_BYTES))
        for transfer in transfers:
            transfer.end()
        self.assertEqual(self.held.total, 0)
        self.assertEqual(self.held.of("acme"), 0)

    def test_read_ahead_of_many_slow_callers_is_bounded(self) -> None:
        # Guards against a read-ahead that is bounded for each caller only.
        rng = random.Random(7)
        transfers = [
            _Transfer(self.held, f"org-{n % 9}", rng.uniform(1e4, 1e6))
            for n in range(120)
        ]
        peak = self.run_transfers(transfers, 20.0)
        least = 120 * (MIN_AHEAD_BYTES + PIECE_BYTES)
        self.assertLessEqual(peak, self.held.bounds.read_ahead + least)
        # All of them go on.
        self.assertTrue(all(item.accepted >= 1e4 * 19 for item in transfers))

    def test_steady_caller_is_read_ahead(self) -> None:
        # Guards against servers that wait for their callers' links although
        # there is room.
        bytes_s = 2e6
        transfer = _Transfer(self.held, "acme", bytes_s)
        self.run_transfers([transfer], 5.0)
        # The caller has just read for one step.
        least = MAX_AHEAD_BYTES - bytes_s * STEP_S
        self.assertGreaterEqual(transfer.unsent, least)

    def test_one_organisation_leaves_room_for_others(self) -> None:
        # Guards against one organisation's slow callers that take all room.
        greedy = [_Transfer(self.held, "acme", 1e6) for _ in range(100)]
        self.run_transfers(greedy, 10.0)
        other = _Transfer(self.held, "birch", 1e6)
        self.run_transfers([*greedy, other], 10.0)
        self.assertGreater(other.unsent, 4 * MIN_AHEAD_BYTES)

    def test_organisation_alone_has_all(self) -> None:
        bound = self.held.bounds.admitted
        self.assertTrue(self.held.admits("acme", int(bound)))
        self.held.hold("birch").set(1)
        self.assertFalse(self.held.admits("acme", int(0.6 * bound)))
        self.assertTrue(self.held.admits("acme", int(0.4 * bound)))

    def test_large_requests_near_the_bound(self) -> None:
        body = self.held.hold("acme")
        body.set(int(self.held.bounds.admitted) + 1)
        self.assertTrue(self.held.short)
        self.assertFalse(self.held.admits("birch", 1))
        body.close()
        self.assertFalse(self.held.short)

    def test_unknown_memory_has_no_bound(self) -> None:
        # Guards against refusals where no memory limit is configured.
        held = HeldBytes(HeldBounds.of_memory(None))
        held.hold("acme").set(1 << 34)
        self.assertFalse(held.short)
        self.assertTrue(held.admits("birch", 1 << 34))
        self.assertEqual(held.bounds.held, math.inf)

    def test_bounds_grow_with_the_memory(self) -> None:
        bounds = [HeldBounds.of_memory(mb).held for mb in (20, 160, 552)]
        self.assertEqual(bounds, sorted(bounds))
        self.assertLess(bounds[1], 60e6)
        self.assertGreater(bounds[0], 0)

    def test_time_to_come_back_is_spread(self) -> None:
        self.assertLess(self.held.retry_s(0.0), self.held.retry_s(1.0))
        self.assertGreaterEqual(self.held.retry_s(1.0), STALL_S)

    def test_read_ahead_follows_what_was_accepted(self) -> None:
        hold = self.held.hold("acme")
        ahead = self.held.read_ahead(hold, 400_000)
        self.assertEqual(ahead, int(ACCEPTED_SHARE * 400_000))
        self.assertEqual(self.held.read_ahead(hold, 0), MIN_AHEAD_BYTES)


class CallerStallTest(unittest.TestCase):
    """Load: callers that stop reading, and callers that read slowly."""

    def stalled_s(self, seconds: float, read: int, *, waits: bool) -> float:
        """Returns the stall after some seconds of a steady reader."""
        stall = CallerStall(0.0, 10_000_000)
        left, longest = 10_000_000, 0.0
        for step in range(1, int(seconds / 0.25) + 1):
            left -= read
            longest = max(
                longest, stall.stalled_s(step * 0.25, left, server_waits=waits)
            )
        return longest

    def test_reader_that_stops(self) -> None:
        self.assertGreaterEqual(self.stalled_s(3.0, 0, waits=True), STALL_S)

    def test_slow_reader_goes_on(self) -> None:
        # Guards against a limit on the rate in place of one on the pause.
        self.assertEqual(self.stalled_s(60.0, 1, waits=True), 0.0)

    def test_server_that_sends_nothing(self) -> None:
        # Guards against blaming the caller for its server's pause.
        self.assertEqual(self.stalled_s(60.0, 0, waits=False), 0.0)

    def test_time_held_up(self) -> None:
        stall = CallerStall(0.0, 5)
        stall.stalled_s(1.0, 5, server_waits=True)
        stall.stalled_s(2.0, 5, server_waits=False)
        self.assertEqual(stall.held_up_s, 1.0)


if __name__ == "__main__":
    unittest.main()
