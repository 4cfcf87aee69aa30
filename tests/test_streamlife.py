"""The checks of the randomised runs that read streams and rising numbers."""

import json
import unittest

from tests import streamlife


def event(*tokens: int, last: int | None = None) -> bytes:
    """Returns an event with these tokens."""
    data = b" ".join(b"t%d" % token for token in tokens)
    return b"id: %d\ndata: %b\n\n" % (last or tokens[-1], data)


class StreamFaultsTest(unittest.TestCase):
    """What the check finds in the events of one answer."""

    def faults(self, *events: bytes, after: int = 0, whole: bool = False):
        """Returns the faults of a stream of ten tokens."""
        return streamlife.stream_faults(
            b"".join(events), after, 10, whole=whole
        )

    def test_sound_streams(self) -> None:
        parts = (event(1), event(2, 3, 4), event(5, 6), event(7, 8, 9, 10))
        self.assertEqual(self.faults(*parts, whole=True), [])
        self.assertEqual(self.faults(*parts[:2]), [])
        self.assertEqual(self.faults(*parts[2:], after=4, whole=True), [])
        self.assertEqual(self.faults(after=10, whole=True), [])
        versioned = b"id: 2\ndata: t1 t2@v2\n\n"
        self.assertEqual(self.faults(versioned), [])

    def test_faults(self) -> None:
        # Guards against a check that passes a stream with a piece missing,
        # twice, out of order or of another run, or that ends too early.
        cases = (
            ((event(1), event(3)), 0, False, "t3 missing before"),
            ((event(1), event(1)), 0, False, "id 1 after 1"),
            ((event(1, 2), event(2, 3)), 0, False, "t2 twice"),
            ((event(2), event(1)), 0, False, "id 1 after 2"),
            ((event(1, last=4),), 0, False, "id 4 of [1]"),
            ((event(1, 2),), 0, True, "complete after t2 of t10"),
            ((), 0, True, "complete after t0 of t10"),
            ((event(4),), 4, False, "id 4 after 4"),
            ((event(*range(1, 12)),), 0, True, "beyond the last"),
            ((b"data: x\n\n",), 0, False, "no event"),
            ((event(1), b": note\n\n", event(2)), 0, False, "no event"),
        )
        for parts, after, whole, found in cases:
            with self.subTest(found=found, parts=parts):
                faults = self.faults(*parts, after=after, whole=whole)
                self.assertIn(found, "; ".join(faults))

    def test_positions(self) -> None:
        stream = event(1) + event(2, 3) + event(4, 5, 6)
        self.assertEqual(streamlife.last_id(stream), 6)
        self.assertEqual(streamlife.last_id(stream + b"id: 7\nda"), 6)
        self.assertEqual(streamlife.last_id(b""), 0)
        self.assertEqual(streamlife.up_to(stream, 3), event(1) + event(2, 3))
        self.assertEqual(streamlife.up_to(stream, 5), event(1) + event(2, 3))

    def test_tokens(self) -> None:
        self.assertEqual(streamlife.tokens_of(event(3, 4, 5)), [3, 4, 5])
        self.assertEqual(streamlife.tokens_of(event(3) + event(4)), [])
        self.assertEqual(streamlife.tokens_of(event(3)[:-1]), [])


class RisingNumbersTest(unittest.TestCase):
    """Numbers that must not go back."""

    def test_counters(self) -> None:
        numbers = streamlife.RisingNumbers()
        self.assertEqual(numbers.note_metrics("# x\na_total 3\nb 7"), [])
        self.assertEqual(numbers.note_metrics("a_total 3\nb 2"), [])
        self.assertEqual(
            numbers.note_metrics("a_total 2"), ["a_total went back from 3 to 2"]
        )

    def test_log(self) -> None:
        # Guards against a configuration that goes back within a process.
        lines = [
            json.dumps({"event": name, "steady": steady, **fields})
            for name, steady, fields in (
                ("start", 5.0, {}),
                ("configuration", 5.1, {"version": 6}),
                ("request", 5.2, {"configuration": 6}),
                ("start", 1.0, {}),
                ("configuration", 1.1, {"version": 3}),
                ("request", 1.2, {"configuration": 3}),
            )
        ]
        self.assertEqual(streamlife.log_faults(["not JSON", *lines]), [])
        older = json.dumps({"event": "configuration", "version": 2})
        self.assertEqual(
            streamlife.log_faults([*lines, older]),
            ["configuration in force went back from 3 to 2"],
        )


if __name__ == "__main__":
    unittest.main()
