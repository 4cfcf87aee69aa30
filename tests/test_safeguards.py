"""The list of safeguards names texts and tests that exist."""

import unittest

from tests.safeguardlist import SAFEGUARDS
from tests.safeguards import ROOT


class SafeguardsTest(unittest.TestCase):
    """Each entry can be taken out, and its proof be run."""

    def test_texts_stand_once(self) -> None:
        for item in SAFEGUARDS:
            with self.subTest(item.name):
                path = ROOT / "src/jasminerelay" / f"{item.module}.py"
                self.assertEqual(path.read_text().count(item.old), 1)

    def test_proofs_exist(self) -> None:
        loader = unittest.TestLoader()
        for item in SAFEGUARDS:
            suite = loader.loadTestsFromName(f"tests.{item.proof}")
            self.assertEqual(suite.countTestCases(), 1, item.proof)
        self.assertEqual(loader.errors, [])


if __name__ == "__main__":
    unittest.main()
