"""The demo, run as in the README."""

import subprocess
import sys
import unittest

from standins.launcher import ROOT

TIMEOUT_S = 120.0


class DemoTest(unittest.TestCase):
    """The demos run to a planned stop without a failed request.

    The first one joins both users' manifests and uses every class.
    """

    def run_demo(self, module: str) -> str:
        done = subprocess.run(
            [sys.executable, "-m", module],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
            check=False,
        )
        self.assertEqual(done.returncode, 0, done.stdout + done.stderr)
        return done.stdout

    def test_exits_with_0(self) -> None:
        text = self.run_demo("demo.run")
        self.assertIn("0 requests failed", text)
        for name in ("confirmation", "run-sheet", "filing-check", "study"):
            self.assertIn(name, text)

    def test_platform(self) -> None:
        # Runs instances as processes, from start to planned stop.
        self.assertIn("150 of 150 events", self.run_demo("demo.platform"))


if __name__ == "__main__":
    unittest.main()
