"""Unit tests of the smaller decision modules."""

import collections
import random
import unittest

from hypothesis import given, settings, strategies

from jasminerelay import burn, entrylist, rendezvous
from jasminerelay.errors import InvariantError
from jasminerelay.lengthestimate import LengthEstimator
from jasminerelay.limits import BorrowedBalance, Limit, TokenBucket
from jasminerelay.outcome import Outcome, State
from jasminerelay.prefix import BLOCK_CHARS, PrefixIndex, block_hashes
from jasminerelay.retry import RetryBudget
from jasminerelay.schema.manifest import ServiceClass
from jasminerelay.schema.messages import Member
from jasminerelay.serverselection import Candidate, select_server
from jasminerelay.stragglers import Stragglers
from tests.fakes import server, waiting


class RendezvousTest(unittest.TestCase):
    """Rendezvous hashing of keys to owners."""

    def test_only_keys_of_a_removed_name_move(self) -> None:
        names = [f"n{number}" for number in range(8)]
        keys = [f"k{number}" for number in range(500)]
        before = {key: rendezvous.owner(key, names) for key in keys}
        after = {key: rendezvous.owner(key, names[1:]) for key in keys}
        moved = {key for key in keys if before[key] != after[key]}
        self.assertEqual(moved, {key for key in keys if before[key] == "n0"})
        counts = collections.Counter(before.values())
        self.assertGreater(min(counts.values()), 30)

    def test_rank_starts_with_the_owner(self) -> None:
        names = ["a", "b", "c"]
        self.assertEqual(
            rendezvous.rank("k", names)[0], rendezvous.owner("k", names)
        )


class RoutingTest(unittest.TestCase):
    """Choice of the backend server for a permit."""

    def candidate(self, name: str, **fields) -> Candidate:
        values = {"granted": 0, "unattributed": 0, "slowness": 1.0}
        return Candidate(
            server(name, slots=4), **{**values, "cached_blocks": 0, **fields}
        )

    def test_least_loaded(self) -> None:
        chosen = select_server(
            waiting("x"),
            [self.candidate("a", granted=2), self.candidate("b", granted=1)],
        )
        self.assertEqual(chosen.server.name, "b")

    def test_cached_prefix_outweighs_small_load_difference(self) -> None:
        item = waiting("x", prefixes=(1, 2))
        warm = self.candidate("warm", granted=1, cached_blocks=2)
        self.assertEqual(
            select_server(item, [warm, self.candidate("cold")]).server.name,
            "warm",
        )
        hot = self.candidate("hot", granted=3, cached_blocks=2)
        self.assertEqual(
            select_server(item, [hot, self.candidate("cold")]).server.name,
            "cold",
        )

    def test_straggler_is_chosen_last(self) -> None:
        chosen = select_server(
            waiting("x"),
            [
                self.candidate("slow", slowness=5.0),
                self.candidate("fast", granted=3),
            ],
        )
        self.assertEqual(chosen.server.name, "fast")

    def test_avoided_and_full_servers_are_not_chosen(self) -> None:
        full = self.candidate("full", granted=3, unattributed=1)
        failed = self.candidate("failed")
        item = waiting("x", avoid=("failed",))
        self.assertIsNone(select_server(item, [full, failed]))

    def test_resumes_on_the_server_of_its_stream(self) -> None:
        item = waiting("x", resume_on="b")
        both = [self.candidate("a"), self.candidate("b", granted=3)]
        self.assertEqual(select_server(item, both).server.name, "b")


class PrefixIndexTest(unittest.TestCase):
    """Index of the prefix blocks that the engines have cached."""

    def test_shared_blocks(self) -> None:
        shared = "x" * BLOCK_CHARS
        first = block_hashes(shared + "a" * BLOCK_CHARS)
        second = block_hashes(shared + "b" * BLOCK_CHARS)
        self.assertEqual(first[0], second[0])
        self.assertNotEqual(first[1], second[1])
        self.assertEqual(block_hashes("short"), ())

    def test_event_gap_drops_entries_of_the_server(self) -> None:
        index = PrefixIndex()
        index.event("s", 0, (1, 2), ())
        index.event("other", 0, (1,), ())
        index.event("s", 2, (3,), ())
        self.assertEqual(index.matched("s", (1, 2)), 0)
        self.assertEqual(index.matched("s", (3,)), 1)
        self.assertEqual(index.matched("other", (1,)), 1)

    def test_outdated_event_is_ignored(self) -> None:
        index = PrefixIndex()
        index.event("s", 5, (1,), ())
        index.event("s", 4, (), (1,))
        self.assertEqual(index.matched("s", (1,)), 1)

    @settings(max_examples=100, derandomize=True, deadline=None)
    @given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from("ab"), strategies.integers(0, 8)
            )
        )
    )
    def test_least_recently_used_is_evicted(self, added) -> None:
        index = PrefixIndex(capacity=4)
        recent: list = []
        for name, block in added:
            index.add(name, (block,))
            recent = [key for key in recent if key != (name, block)]
            recent.append((name, block))
        for name in "ab":
            for block in range(9):
                self.assertEqual(
                    index.matched(name, (block,)) == 1,
                    (name, block) in recent[-4:],
                )


class StragglersTest(unittest.TestCase):
    """Detection of slow and failing servers."""

    def test_slower_than_peers(self) -> None:
        stragglers = Stragglers()
        for name in "abc":
            stragglers.observe(name, 0.01)
        stragglers.observe("d", 0.05)
        self.assertTrue(stragglers.is_straggler("d"))
        self.assertFalse(stragglers.is_straggler("a"))

    def test_common_slowdown_is_no_straggler(self) -> None:
        stragglers = Stragglers()
        for name in "abc":
            stragglers.observe(name, 1.0)
        self.assertFalse(any(map(stragglers.is_straggler, "abc")))

    def test_blocked_longer_after_each_failure(self) -> None:
        stragglers = Stragglers()
        stragglers.failed("a", 0.0)
        self.assertTrue(stragglers.blocked("a", 0.9))
        self.assertFalse(stragglers.blocked("a", 1.0))
        stragglers.failed("a", 1.0)
        self.assertTrue(stragglers.blocked("a", 2.9))
        stragglers.succeeded("a")
        self.assertFalse(stragglers.probing("a"))


class EstimatorTest(unittest.TestCase):
    """Estimates of answer lengths by running quantiles."""

    def test_default_is_the_requested_maximum(self) -> None:
        self.assertEqual(LengthEstimator().tokens("kind", 77), 77)

    def test_quantile(self) -> None:
        estimator = LengthEstimator()
        for length in range(1, 101):
            estimator.observe("kind", length)
        self.assertAlmostEqual(estimator.tokens("kind", 1000), 75, delta=1)
        self.assertEqual(estimator.tokens("kind", 10), 10)

    def test_adapts_to_a_change(self) -> None:
        estimator = LengthEstimator()
        for length in [10] * 500 + [90] * 1001:
            estimator.observe("kind", length)
        self.assertAlmostEqual(estimator.tokens("kind", 1000), 90, delta=1)


class RetryBudgetTest(unittest.TestCase):
    """Retry budget as a share of the successes."""

    def test_bounded_by_successes(self) -> None:
        budget = RetryBudget(ratio=0.1, reserve=2.0)
        spent = [budget.spend() for _ in range(3)]
        self.assertEqual(spent, [True, True, False])
        for _ in range(11):
            budget.succeeded()
        self.assertTrue(budget.spend())
        self.assertFalse(budget.spend())


class LimitTest(unittest.TestCase):
    """Rate limits that hold over all instances together."""

    @settings(max_examples=100, derandomize=True, deadline=None)
    @given(
        strategies.integers(1, 8),
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 7),
                strategies.floats(1, 50),
                strategies.floats(0, 0.5),
            ),
            max_size=80,
        ),
    )
    def test_total_use_stays_within_the_limit(self, count, requests) -> None:
        limit = Limit(100.0, 200.0)
        bucket = TokenBucket(limit, 0.0)
        balances = [BorrowedBalance(limit, count) for _ in range(count)]
        now, used = 0.0, 0.0
        for index, tokens, pause in requests:
            now += pause
            balance = balances[index % count]
            if not balance.take(tokens):
                balance.add_loan(
                    bucket.lend(balance.tokens_to_borrow(tokens), now)
                )
                if not balance.take(tokens):
                    continue
            used += tokens
        self.assertLessEqual(used, 200.0 + 100.0 * now + 1e-6)

    def test_retry_after(self) -> None:
        bucket = TokenBucket(Limit(10.0, 20.0), 0.0)
        self.assertEqual(bucket.lend(30.0, 0.0), 20.0)
        self.assertAlmostEqual(bucket.retry_s(5.0), 0.5)

    def test_unused_tokens_are_returned(self) -> None:
        balance = BorrowedBalance(Limit(10.0, 20.0), 1)
        balance.add_loan(10.0)
        self.assertTrue(balance.take(10.0))
        balance.settle(7.0)
        self.assertTrue(balance.take(7.0))


class OutcomeTest(unittest.TestCase):
    """State machine of a request's outcome."""

    def test_not_run_requires_a_refusal(self) -> None:
        outcome = Outcome("r")
        outcome.waiting()
        outcome.dispatched()
        with self.assertRaises(InvariantError):
            outcome.not_run()
        outcome.refused()
        outcome.not_run()
        self.assertEqual(outcome.ran, "no")

    def test_one_refusal_of_two_attempts_is_not_enough(self) -> None:
        outcome = Outcome("r")
        outcome.waiting()
        outcome.dispatched()
        outcome.waiting()
        outcome.dispatched()
        outcome.refused()
        self.assertTrue(outcome.may_have_run)
        with self.assertRaises(InvariantError):
            outcome.not_run()

    def test_unrepeatable_request_is_not_dispatched_again(self) -> None:
        outcome = Outcome("r", repeatable=False)
        outcome.waiting()
        outcome.dispatched()
        with self.assertRaises(InvariantError):
            outcome.waiting()

    def test_final_state_does_not_change(self) -> None:
        outcome = Outcome("r")
        outcome.waiting()
        outcome.dispatched()
        outcome.streaming()
        outcome.completed()
        with self.assertRaises(InvariantError):
            outcome.failed()
        self.assertIs(outcome.state, State.COMPLETED)

    def test_refused_after_a_failed_attempt(self) -> None:
        # A request that is refused after a failed attempt had no permitted
        # final state once, and the violated invariant ended the instance.
        outcome = Outcome("r")
        outcome.waiting()
        outcome.dispatched()
        outcome.waiting()
        outcome.unknown()
        self.assertEqual(outcome.ran, "unknown")


class EntryListTest(unittest.TestCase):
    """Order of the instances recommended to a caller."""

    def test_own_zone_first_in_random_order(self) -> None:
        members = [
            Member(f"i{n}", "1", "ab"[n % 2], f"10.0.0.{n}:80", "", "", "", 1)
            for n in range(6)
        ]
        firsts = set()
        for seed in range(50):
            rng = random.Random(seed)
            entries = entrylist.build_entry_list(members, "a", 5.0, rng)
            self.assertEqual(len(entries.addresses), 6)
            firsts.add(entries.addresses[0])
        self.assertEqual(firsts, {f"http://10.0.0.{n}:80" for n in (0, 2, 4)})


class BurnTest(unittest.TestCase):
    """Service-level burn report."""

    def sample(self, *, met: bool, ended="completed", tokens=10, **wasted):
        return burn.Sample("chat", ended, met, 0.5, tokens, wasted)

    def test_merged_over_instances(self) -> None:
        recorders = [burn.BurnRecorder(), burn.BurnRecorder()]
        recorders[0].add(self.sample(met=True), 1000.0)
        recorders[1].add(self.sample(met=False, redone=5), 1000.0)
        answers = [
            {
                "short": recorder.totals(burn.SHORT_WINDOW_S, 1000.0),
                "long": recorder.totals(burn.LONG_WINDOW_S, 1000.0),
            }
            for recorder in recorders
        ]
        classes = [ServiceClass("chat", 1, 2.0, goal=0.9)]
        (row,) = burn.report(classes, answers)
        self.assertEqual(row.long.requests, 2)
        self.assertEqual(row.long.attainment, 0.5)
        self.assertAlmostEqual(row.long.burn_rate(0.9), 5.0)
        self.assertEqual(row.long.wasted, {"redone": 5})
        self.assertAlmostEqual(row.long.waste_share, 0.2)
        self.assertAlmostEqual(row.long.latency_s(50), 0.5, delta=0.01)

    def test_windows(self) -> None:
        recorder = burn.BurnRecorder()
        recorder.add(self.sample(met=False), 0.0)
        recorder.add(self.sample(met=True), 1800.0)
        self.assertEqual(
            recorder.totals(burn.SHORT_WINDOW_S, 1800.0)["chat"].attainment, 1.0
        )
        self.assertEqual(
            recorder.totals(burn.LONG_WINDOW_S, 1800.0)["chat"].attainment, 0.5
        )

    def test_state_is_bounded(self) -> None:
        recorder = burn.BurnRecorder()
        for minute in range(500):
            recorder.add(self.sample(met=True), minute * 60.0)
        self.assertLessEqual(len(recorder._buckets), 61)


if __name__ == "__main__":
    unittest.main()
