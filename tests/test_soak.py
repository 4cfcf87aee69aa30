"""Short randomised runs with fixed seeds; `make soak` runs longer ones."""

import unittest

import anyio

from tests.platformsoak import PlatformSoak
from tests.soak import Soak

SEED = 20261202
SECONDS = 20.0
PLATFORM_SECONDS = 10.0


class SoakTest(unittest.TestCase):
    """All faults mixed under load."""

    def test_short_run(self) -> None:
        # Instances, engines, services and stores are killed, frozen, slowed
        # and cut, alone and in pairs, while callers go on. What callers were
        # told is compared with what the journals say ran.
        soak = Soak(SEED, SECONDS)
        soak.run()
        self.assertEqual(soak.violations, [])
        self.assertGreater(soak.counts["whole 200"], 0)


class PlatformSoakTest(unittest.TestCase):
    """The same on the platform's interface, with links that are disturbed."""

    def test_short_run(self) -> None:
        # Instances are killed, frozen, stopped and started while the store,
        # the servers and the links to them fail in series and together. What
        # callers were told is compared with what the servers ran.
        soak = PlatformSoak(SEED, PLATFORM_SECONDS)
        anyio.run(soak.run)
        self.assertEqual(soak.violations, [])
        self.assertGreater(soak.counts["answer 200"], 0)


if __name__ == "__main__":
    unittest.main()
