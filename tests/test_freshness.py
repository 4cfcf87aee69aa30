"""How old an instance's knowledge is, and who has it proved."""

import unittest

from jasminerelay.followers import (
    FOLLOWERS,
    LAG_PATIENCE_S,
    LEAD_PATIENCE_S,
    LEADERS,
    MOST_PATIENCE_S,
    Followers,
)
from jasminerelay.freshness import DEAF_S, STALL_S, Freshness
from jasminerelay.membership import ALIVE
from jasminerelay.schema.messages import Member

TABLES = ("op", "servers")


class FreshnessTest(unittest.TestCase):
    """Up to which moment knowledge is proved complete."""

    def setUp(self) -> None:
        self.freshness = Freshness(TABLES)

    def test_nothing_is_known_at_first(self) -> None:
        self.assertEqual(self.freshness.age_s(1e9), float("inf"))

    def test_both_tables_must_be_answered(self) -> None:
        # The store answers on servers and owes an answer on the
        # configuration. Routes may have changed, so nothing is proved.
        self.freshness.answered("servers", 9, 10.0)
        self.assertEqual(self.freshness.age_s(10.0), float("inf"))
        self.freshness.answered("op", 9, 12.0)
        self.assertEqual(self.freshness.age_s(13.0), 1.0)

    def test_one_answer_proves_what_has_not_changed(self) -> None:
        # With the store's version as it was, one call proves both tables: no
        # second call a second is needed for servers.
        self.freshness.answered("servers", 9, 10.0)
        self.freshness.answered("op", 9, 10.0)
        self.assertTrue(self.freshness.answered("op", 9, 20.0))
        self.assertEqual(self.freshness.age_s(20.5), 0.5)
        self.assertFalse(self.freshness.lags)

    def test_change_elsewhere_proves_nothing(self) -> None:
        # The store's version has risen, and not by the configuration: a
        # server may have left, of which its own call has not told yet.
        for table in TABLES:
            self.freshness.answered(table, 9, 10.0)
        self.assertFalse(self.freshness.answered("op", 11, 20.0))
        self.assertTrue(self.freshness.lags)
        self.assertEqual(self.freshness.age_s(20.0), 10.0)
        self.assertTrue(self.freshness.answered("servers", 11, 20.1))
        self.assertEqual(self.freshness.age_s(20.1), 0.0)

    def test_answer_of_an_older_moment(self) -> None:
        # After its history is lost the store may answer as of before.
        for table in TABLES:
            self.freshness.answered(table, 9, 10.0)
        self.assertFalse(self.freshness.answered("op", 8, 20.0))
        self.assertEqual(self.freshness.age_s(20.0), 10.0)

    def test_another_instance_tells(self) -> None:
        self.freshness.tick(29.6)
        self.freshness.tick(30.0)
        self.freshness.told(0.25, 30.0)
        self.freshness.told(0.75, 30.0)
        self.assertEqual(self.freshness.age_s(30.5), 0.75)

    def test_words_read_after_a_standstill(self) -> None:
        # An instance stands still for seconds. What others sent at the
        # beginning lies in its buffer and looks as if it had just come; a
        # route added meanwhile would be answered with "not found".
        self.freshness.tick(30.0)
        late = 30.0 + 2 * STALL_S
        self.freshness.told(0.1, late)
        self.assertEqual(self.freshness.age_s(late), float("inf"))
        self.freshness.tick(late)
        self.freshness.told(0.1, late)
        self.assertEqual(self.freshness.age_s(late), float("inf"))
        now = late + DEAF_S
        self.freshness.tick(now)
        self.freshness.told(0.1, now)
        self.assertAlmostEqual(self.freshness.age_s(now), 0.1)


class LeaderTest(unittest.TestCase):
    """Who asks the store, after how long, and whom it tells."""

    @staticmethod
    def members(count: int, zones: int = 3) -> list[Member]:
        return [
            Member(f"i{n}", "", f"z{n % zones}", "", "", f"i{n}:1", ALIVE, 1)
            for n in range(count)
        ]

    def parts(self, count: int, **seen) -> list[Followers]:
        """Returns every instance's part."""
        members = self.members(count)
        made = [Followers(m.instance, m.zone) for m in members]
        for item in made:
            item.saw_instances(members, **seen)
        return made

    def test_one_leads(self) -> None:
        for count, shared in ((1, False), (6, False), (195, True)):
            made = self.parts(count, shared=shared)
            self.assertEqual(sum(item.leads for item in made), 1)

    def test_next_one_leads_without_store(self) -> None:
        # The store turns the leading instance away and serves the others.
        made = self.parts(6, shared=False)
        leader = next(n for n, item in enumerate(made) if item.leads)
        made = self.parts(6, shared=False, without_store=[f"i{leader}"])
        leads = [n for n, item in enumerate(made) if item.leads]
        self.assertEqual(len(leads), 1)
        self.assertNotEqual(leads[0], leader)

    def test_all_without_store(self) -> None:
        names = [f"i{n}" for n in range(6)]
        made = self.parts(6, shared=False, without_store=names)
        self.assertEqual(sum(item.leads for item in made), 1)

    def test_patience(self) -> None:
        # The first one asks first, so that one call serves all; the last one
        # asks before its knowledge is too old for the two seconds in which a
        # change must be in force.
        made = self.parts(195, shared=True)
        waits = sorted(item.patience_s(lags=False) for item in made)
        self.assertEqual(waits[0], LEAD_PATIENCE_S)
        self.assertLess(waits[0], waits[1])
        self.assertEqual(waits[-1], MOST_PATIENCE_S)
        lags = sorted(item.patience_s(lags=True) for item in made)
        self.assertEqual(lags[0], LAG_PATIENCE_S)
        self.assertEqual(lags[1:], waits[1:])

    def test_few_tell_few(self) -> None:
        # The leader of 195 tells those who follow the store in each zone, and
        # they tell theirs: nobody speaks to all.
        made = self.parts(195, shared=True)
        telling = [item for item in made if item.told()]
        self.assertEqual(len(telling), LEADERS)
        for item in telling:
            self.assertLessEqual(len(item.told()), 3 * FOLLOWERS)
        led = [member.instance for item in made for member in item.led()]
        self.assertEqual(len(led), len(set(led)))
        self.assertEqual(len(led), 195 - 3 * FOLLOWERS)

    def test_all_are_told_among_few(self) -> None:
        made = self.parts(6, shared=False)
        leader = next(item for item in made if item.leads)
        self.assertEqual(len(leader.told()), 5)


if __name__ == "__main__":
    unittest.main()
