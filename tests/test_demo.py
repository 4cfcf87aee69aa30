"""The demo, as the README's first command runs it."""

import subprocess
import sys
import unittest

from standins.launcher import ROOT

TIMEOUT_S = 120.0


class DemoTest(unittest.TestCase):
    """Both users' manifests joined, every class, a planned stop."""

    def test_exits_with_0(self) -> None:
        done = subprocess.run(
            [sys.executable, "-m", "demo.run"],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
            check=False,
        )
        self.assertEqual(done.returncode, 0, done.stdout + done.stderr)
        self.assertIn("0 requests failed", done.stdout)
        for name in ("confirmation", "run-sheet", "filing-check", "study"):
            self.assertIn(name, done.stdout)

    def test_platform(self) -> None:
        # Instances as processes, from their start to a planned stop.
        done = subprocess.run(
            [sys.executable, "-m", "demo.platform"],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
            check=False,
        )
        self.assertEqual(done.returncode, 0, done.stdout + done.stderr)
        self.assertIn("150 of 150 events", done.stdout)


if __name__ == "__main__":
    unittest.main()
