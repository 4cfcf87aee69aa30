"""Tests of the age of an instance's data and of the leader's role."""

import unittest

from jasminerelay.followerroles import (
    CONFIRMATION_SENDERS,
    FOLLOWERS_PER_ZONE,
    LAGGING_POLL_AGE_S,
    LEADER_POLL_AGE_S,
    MAX_POLL_AGE_S,
    FollowerRole,
)
from jasminerelay.freshness import IGNORE_AGES_S, STALL_S, Freshness
from jasminerelay.membership import ALIVE
from jasminerelay.schema.messages import Member

TABLES = ("op", "servers")


class FreshnessTest(unittest.TestCase):
    """The moment up to which data is proved complete."""

    def setUp(self) -> None:
        self.freshness = Freshness(TABLES)

    def test_age_is_infinite_at_first(self) -> None:
        self.assertEqual(self.freshness.age_s(1e9), float("inf"))

    def test_both_tables_must_be_answered(self) -> None:
        # The store answers on servers but not yet on the configuration. Routes
        # may have changed, so nothing is proved.
        self.freshness.record_answer("servers", 9, 10.0)
        self.assertEqual(self.freshness.age_s(10.0), float("inf"))
        self.freshness.record_answer("op", 9, 12.0)
        self.assertEqual(self.freshness.age_s(13.0), 1.0)

    def test_one_answer_proves_unchanged_tables(self) -> None:
        # If the store's version is unchanged, one call proves both tables: no
        # second call each second is needed for servers.
        self.freshness.record_answer("servers", 9, 10.0)
        self.freshness.record_answer("op", 9, 10.0)
        self.assertTrue(self.freshness.record_answer("op", 9, 20.0))
        self.assertEqual(self.freshness.age_s(20.5), 0.5)
        self.assertFalse(self.freshness.versions_differ)

    def test_answer_does_not_cover_a_change_of_the_other_table(self) -> None:
        # The store's version has risen, but not because of the configuration: a
        # server may have left, which the call on servers has not returned yet.
        for table in TABLES:
            self.freshness.record_answer(table, 9, 10.0)
        self.assertFalse(self.freshness.record_answer("op", 11, 20.0))
        self.assertTrue(self.freshness.versions_differ)
        self.assertEqual(self.freshness.age_s(20.0), 10.0)
        self.assertTrue(self.freshness.record_answer("servers", 11, 20.1))
        self.assertEqual(self.freshness.age_s(20.1), 0.0)

    def test_answer_with_an_older_version(self) -> None:
        # After lost history the store may answer with an older version.
        for table in TABLES:
            self.freshness.record_answer(table, 9, 10.0)
        self.assertFalse(self.freshness.record_answer("op", 8, 20.0))
        self.assertEqual(self.freshness.age_s(20.0), 10.0)

    def test_age_reported_by_another_instance(self) -> None:
        self.freshness.tick(29.6)
        self.freshness.tick(30.0)
        self.freshness.record_peer_age(0.25, 30.0)
        self.freshness.record_peer_age(0.75, 30.0)
        self.assertEqual(self.freshness.age_s(30.5), 0.75)

    def test_messages_read_after_a_stall(self) -> None:
        # An instance is stalled for seconds. Messages that others sent at the
        # beginning are still in its buffer and look as if they had just
        # arrived; a request for a route added meanwhile would be answered with
        # "not found".
        self.freshness.tick(30.0)
        late = 30.0 + 2 * STALL_S
        self.freshness.record_peer_age(0.1, late)
        self.assertEqual(self.freshness.age_s(late), float("inf"))
        self.freshness.tick(late)
        self.freshness.record_peer_age(0.1, late)
        self.assertEqual(self.freshness.age_s(late), float("inf"))
        now = late + IGNORE_AGES_S
        self.freshness.tick(now)
        self.freshness.record_peer_age(0.1, now)
        self.assertAlmostEqual(self.freshness.age_s(now), 0.1)


class LeaderTest(unittest.TestCase):
    """Which instance asks the store, at which age, and whom it notifies."""

    @staticmethod
    def members(count: int, zones: int = 3) -> list[Member]:
        return [
            Member(f"i{n}", "", f"z{n % zones}", "", "", f"i{n}:1", ALIVE, 1)
            for n in range(count)
        ]

    def parts(self, count: int, **arguments) -> list[FollowerRole]:
        """Returns the role of every instance."""
        members = self.members(count)
        roles = [FollowerRole(m.instance, m.zone) for m in members]
        for role in roles:
            role.update_instances(members, **arguments)
        return roles

    def test_one_leads(self) -> None:
        for count, shared in ((1, False), (6, False), (195, True)):
            roles = self.parts(count, shared=shared)
            self.assertEqual(sum(role.is_leader for role in roles), 1)

    def test_next_instance_leads_if_the_leader_loses_the_store(self) -> None:
        # The store rejects the leading instance and serves the others.
        roles = self.parts(6, shared=False)
        leader = next(n for n, role in enumerate(roles) if role.is_leader)
        roles = self.parts(6, shared=False, without_store=[f"i{leader}"])
        leads = [n for n, role in enumerate(roles) if role.is_leader]
        self.assertEqual(len(leads), 1)
        self.assertNotEqual(leads[0], leader)

    def test_all_without_store(self) -> None:
        names = [f"i{n}" for n in range(6)]
        roles = self.parts(6, shared=False, without_store=names)
        self.assertEqual(sum(role.is_leader for role in roles), 1)

    def test_poll_ages(self) -> None:
        # The leader asks first, so that one call serves all. The last instance
        # asks before its data is too old for the two seconds in which a change
        # must be in force.
        roles = self.parts(195, shared=True)
        ages = sorted(role.poll_age_s(lags=False) for role in roles)
        self.assertEqual(ages[0], LEADER_POLL_AGE_S)
        self.assertLess(ages[0], ages[1])
        self.assertEqual(ages[-1], MAX_POLL_AGE_S)
        lagging_ages = sorted(role.poll_age_s(lags=True) for role in roles)
        self.assertEqual(lagging_ages[0], LAGGING_POLL_AGE_S)
        self.assertEqual(lagging_ages[1:], ages[1:])

    def test_large_platform_notifies_by_zone(self) -> None:
        # The leader of 195 instances notifies the followers of each zone, and
        # they notify their zones: no instance sends to all.
        roles = self.parts(195, shared=True)
        senders = [role for role in roles if role.confirmation_recipients()]
        self.assertEqual(len(senders), CONFIRMATION_SENDERS)
        for role in senders:
            self.assertLessEqual(
                len(role.confirmation_recipients()), 3 * FOLLOWERS_PER_ZONE
            )
        recipients = [
            member.instance
            for role in roles
            for member in role.change_recipients()
        ]
        self.assertEqual(len(recipients), len(set(recipients)))
        self.assertEqual(len(recipients), 195 - 3 * FOLLOWERS_PER_ZONE)

    def test_small_platform_notifies_all(self) -> None:
        roles = self.parts(6, shared=False)
        leader = next(role for role in roles if role.is_leader)
        self.assertEqual(len(leader.confirmation_recipients()), 5)


if __name__ == "__main__":
    unittest.main()
