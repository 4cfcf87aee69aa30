"""Checks that the texts and tests in the list of safeguards exist."""

import unittest

from tests.safeguardlist import SAFEGUARDS
from tests.safeguards import ROOT


class SafeguardsTest(unittest.TestCase):
    """Each safeguard can be removed and its test can be run."""

    def test_texts_occur_once(self) -> None:
        # Guards against a safeguard that `make safeguards` can't find, or
        # finds twice, after its source has changed.
        for item in SAFEGUARDS:
            with self.subTest(item.name):
                path = ROOT / "src/jasminerelay" / f"{item.module}.py"
                self.assertEqual(path.read_text().count(item.old), 1)

    def test_tests_exist(self) -> None:
        # Guards against an entry whose test was renamed or removed.
        loader = unittest.TestLoader()
        for item in SAFEGUARDS:
            suite = loader.loadTestsFromName(f"tests.{item.proof}")
            self.assertEqual(suite.countTestCases(), 1, item.proof)
        self.assertEqual(loader.errors, [])


if __name__ == "__main__":
    unittest.main()
