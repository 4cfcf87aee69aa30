"""Order within a tier, checked against a simple reference."""

import unittest

from hypothesis import given, settings, strategies

from jasminerelay.fairqueue import Tier
from tests.fakes import waiting


class _ReferenceTier:
    """Reference implementation that scans all requests at every call."""

    def __init__(self) -> None:
        self.items = []
        self.usage: dict[str, float] = {}
        self.level = 0.0

    def add(self, item) -> None:
        name = item.organisation
        if not any(other.organisation == name for other in self.items):
            self.usage[name] = max(self.usage.get(name, 0.0), self.level)
        self.items.append(item)

    def peek(self):
        counts = {
            item.organisation: sum(
                other.organisation == item.organisation for other in self.items
            )
            for item in self.items
        }
        return min(
            self.items,
            key=lambda item: (
                self.usage[item.organisation],
                counts[item.organisation],
                item.organisation,
                item.deadline,
                item.arrived_at,
                item.ask_id,
            ),
            default=None,
        )

    def charge(self, name: str, tokens: float, weight: float) -> None:
        self.usage[name] = self.usage.get(name, self.level) + tokens / weight
        active = [self.usage[item.organisation] for item in self.items]
        self.level = max(self.level, min(active, default=self.usage[name]))


class TierTest(unittest.TestCase):
    """Tests of fair sharing and shedding within a tier."""

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from("abcd"),
                strategies.integers(1, 50),
                strategies.integers(0, 9),
                strategies.booleans(),
            ),
            max_size=60,
        )
    )
    def test_same_order(self, steps) -> None:
        tier, reference = Tier(), _ReferenceTier()
        for number, (name, tokens, deadline, take) in enumerate(steps):
            item = waiting(
                f"{number:03d}", organisation=name, deadline=float(deadline)
            )
            tier.add(item)
            reference.add(item)
            if not take:
                continue
            chosen = tier.peek()
            self.assertEqual(chosen, reference.peek())
            tier.remove(chosen)
            reference.items.remove(chosen)
            tier.charge(chosen.organisation, float(tokens), 1.0)
            reference.charge(chosen.organisation, float(tokens), 1.0)
            self.assertEqual(len(tier), len(reference.items))

    def test_idle_organisation_saves_no_credit(self) -> None:
        tier = Tier()
        tier.add(waiting("0", organisation="busy"))
        tier.charge("busy", 1000.0, 1.0)
        tier.add(waiting("1", organisation="idle"))
        tier.charge("idle", 1.0, 1.0)
        self.assertEqual(tier.peek().organisation, "busy")

    def test_state_is_bounded(self) -> None:
        # Organisations that sent one request each must not stay in memory.
        tier = Tier()
        for number in range(5000):
            item = waiting("x", organisation=f"org{number}")
            tier.add(item)
            tier.remove(item)
            tier.charge(item.organisation, 1.0, 1.0)
        self.assertLess(len(tier._shares), 100)

    def test_sheds_from_organisation_with_burst(self) -> None:
        tier = Tier()
        for number in range(3):
            tier.add(
                waiting(str(number), organisation="big", deadline=float(number))
            )
        tier.add(waiting("small", organisation="small", deadline=99.0))
        self.assertEqual(tier.shed_candidate().ask_id, "2")


if __name__ == "__main__":
    unittest.main()
