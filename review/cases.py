"""Runs the review's scripts as tests, by hand.

    python -m tests.run review.cases

Not part of CI and of the default run. The scripts need the build of the deploy
file and `review/build.sh`.
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

    def test_stated_size(self) -> None:
        """A prompt size that no server can hold ends no process."""
        self._check(1)

    def test_upgrade_field(self) -> None:
        """Requests with an Upgrade field run with their bodies, and alone."""
        self._check(2)

    def test_entry_without_born(self) -> None:
        """A server whose entry lacked `born` once is drained like others."""
        self._check(3)


if __name__ == "__main__":
    unittest.main()
