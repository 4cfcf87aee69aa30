"""Runs the second review's scripts as tests, by hand.

    python -m tests.run review.cases2

Not part of CI and of the default run. The scripts need the build of the deploy
file and `review/build-2.sh`.
"""

import pathlib
import subprocess
import unittest

FOLDER = pathlib.Path(__file__).resolve().parent
LIMIT_S = 130.0


class ReviewCaseTest(unittest.TestCase):
    """Each script exits with 0 if its rule held."""

    def _check(self, number: int) -> None:
        script = FOLDER / str(number) / "run.sh"
        done = subprocess.run([str(script)], timeout=LIMIT_S, check=False)
        self.assertEqual(done.returncode, 0)

    def test_streams_under_way_at_an_end(self) -> None:
        """A stream that its server's end cuts does not look whole."""
        self._check(4)

    def test_prompt_in_flight_at_crashes(self) -> None:
        """A prompt that was in flight at crashed servers is served again."""
        self._check(6)

    def test_version_changed_in_place(self) -> None:
        """A stream goes on at no server that is another version by now."""
        self._check(5)


if __name__ == "__main__":
    unittest.main()
