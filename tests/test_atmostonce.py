"""Non-repeatable calls run at most once, and "not run" is always accurate."""

import itertools
import time
import unittest

from standins.launcher import Daemon, Options, call, wait_for
from tests.support import KEY, OTHER_KEY, Background, SystemCase

PATH = "/services/bookings/slots/confirm"
_numbers = itertools.count()


def fresh_key() -> str:
    """Returns an idempotency key that no other test uses."""
    return f"key-{next(_numbers)}"


class ServiceCase(SystemCase):
    """Calls to a plain service with two servers."""

    options = Options(daemons=2, max_engines=1, max_services=2)

    def confirm(
        self, daemon: Daemon, key: str, caller: str = KEY, body="couch"
    ):
        headers = {"idempotency-key": key} if key else {}
        return call(
            "POST",
            daemon.url + PATH,
            body,
            token=caller,
            headers=headers,
            timeout_s=60.0,
        )

    def runs(self, key: str) -> int:
        """Returns how often a call ran, according to the service's journal."""
        journal = self.system.journal("bookings", "runs")
        return sum(item["key"] == key for item in journal)

    def set_faults(self, **fields) -> None:
        for name in ("bookings-1", "bookings-2"):
            self.system.fault(name, **fields)


class NotRunTest(ServiceCase):
    """The outcome reported to the caller matches the service's journal."""

    def test_refused_call_is_sent_to_another_server(self) -> None:
        # A refusal before the call runs proves that it did not run, so the
        # call must be sent to another server and run once there.
        key = fresh_key()
        self.system.fault("bookings-1", refuse=1)
        self.system.fault("bookings-2", refuse=1)
        status, _ = self.confirm(self.system.daemons[0], key)
        self.set_faults(refuse=0)
        self.assertEqual(status, 200)
        self.assertEqual(self.runs(key), 1)

    def test_all_refuse(self) -> None:
        # Every server refuses: the caller must get "not run" and a retry
        # delay, and the journal must show no run. A later repeat runs once.
        key = fresh_key()
        self.set_faults(refuse=1000)
        status, body = self.confirm(self.system.daemons[0], key)
        self.assertEqual(status, 503)
        self.assertEqual(body["error"]["ran"], "no")
        self.assertEqual(self.runs(key), 0)
        self.set_faults(refuse=0)
        wait_for(lambda: self.confirm(self.system.daemons[1], key)[0] == 200)
        self.assertEqual(self.runs(key), 1)

    def test_answer_lost_without_key(self) -> None:
        # The service runs the call and its answer is lost. Without a key the
        # relay must not send it again and reports "unknown"; it ran once.
        before = len(self.system.journal("bookings", "runs"))
        self.set_faults(drop_after=1)
        status, body = self.confirm(self.system.daemons[0], "")
        self.set_faults(drop_after=0)
        self.assertEqual(status, 502)
        self.assertEqual(body["error"]["ran"], "unknown")
        after = len(self.system.journal("bookings", "runs"))
        self.assertEqual(after - before, 1)

    def test_answer_lost_of_repeatable_call(self) -> None:
        # A repeatable call is sent again, within the retry budget.
        self.system.fault("bookings-1", drop_after=1)
        status, _ = call(
            "GET",
            self.system.daemons[0].url + "/services/bookings/slots",
            token=KEY,
        )
        self.system.fault("bookings-1", drop_after=0)
        self.assertEqual(status, 200)


class AtMostOnceTest(ServiceCase):
    """Calls with an idempotency key, under lost messages and outages."""

    def test_repeat_replays(self) -> None:
        key = fresh_key()
        first = self.confirm(self.system.daemons[0], key)

        def replayed() -> bool:
            return self.confirm(self.system.daemons[1], key)[0] == 200

        wait_for(replayed)
        self.assertEqual(self.confirm(self.system.daemons[1], key), first)
        self.assertEqual(self.runs(key), 1)

    def test_large_answer_replays_from_the_object_store(self) -> None:
        key = fresh_key()
        body = "c" * 40_000
        first = self.confirm(self.system.daemons[0], key, body=body)

        def replayed() -> bool:
            answer = self.confirm(self.system.daemons[1], key, body=body)
            return answer[0] == 200

        wait_for(replayed)
        answer = self.confirm(self.system.daemons[1], key, body=body)
        self.assertEqual(answer, first)
        self.assertEqual(self.runs(key), 1)

    def test_two_instances_at_once(self) -> None:
        # The same key arrives at both instances at the same time. One acquires
        # the claim; the other reports a conflict or replays. It runs once.
        self.set_faults(slow_s=0.2)
        for _ in range(5):
            key = fresh_key()
            calls = [
                Background(self.confirm, daemon, key)
                for daemon in self.system.daemons * 2
            ]
            statuses = sorted(item.result()[0] for item in calls)
            self.assertIn(200, statuses)
            self.assertLessEqual(set(statuses), {200, 409})
            self.assertEqual(self.runs(key), 1)
        self.set_faults(slow_s=0.0)

    def test_other_body_and_other_organisation(self) -> None:
        # The same key with another body must be refused. The same key of
        # another organisation is separate: it neither reads nor blocks the
        # first.
        key = fresh_key()
        self.assertEqual(self.confirm(self.system.daemons[0], key)[0], 200)
        status, _ = self.confirm(self.system.daemons[0], key, body="fridge")
        self.assertEqual(status, 422)
        status, body = self.confirm(
            self.system.daemons[1], key, OTHER_KEY, body="mine"
        )
        self.assertEqual(status, 200)
        self.assertEqual(body["body"], "mine")
        self.assertEqual(self.runs(key), 2)

    def test_answer_lost(self) -> None:
        # The service runs the call and its answer is lost, so the outcome is
        # "unknown". Every repeat, at any instance, must report that and not
        # run.
        key = fresh_key()
        self.set_faults(drop_after=1)
        status, body = self.confirm(self.system.daemons[0], key)
        self.set_faults(drop_after=0)
        self.assertEqual((status, body["error"]["ran"]), (502, "unknown"))
        for daemon in self.system.daemons * 2:
            status, body = self.confirm(daemon, key)
            self.assertEqual((status, body["error"]["ran"]), (409, "unknown"))
        self.assertEqual(self.runs(key), 1)

    def test_claim_acknowledgement_lost(self) -> None:
        # The insert of the claim takes effect and its acknowledgement is lost
        # twice. The relay must recognise its own token in the row and
        # dispatch the call, once.
        key = fresh_key()
        self.system.fault("table", lose_acks=2)
        status, _ = self.confirm(self.system.daemons[0], key)
        self.system.fault("table", lose_acks=0)
        self.assertEqual(status, 200)
        self.assertEqual(self.runs(key), 1)

    def test_store_down_before_the_claim(self) -> None:
        # The store is down, so the call is not sent. An earlier attempt with
        # the key may have run, so the outcome must be "unknown", not "not
        # run". After the outage the repeat runs once.
        key = fresh_key()
        self.system.fault("table", down=True)
        status, body = self.confirm(self.system.daemons[0], key)
        self.assertEqual((status, body["error"]["ran"]), (503, "unknown"))
        self.assertEqual(self.runs(key), 0)
        self.system.fault("table", down=False)
        wait_for(lambda: self.confirm(self.system.daemons[1], key)[0] == 200)
        self.assertEqual(self.runs(key), 1)

    def test_store_down_between_claim_and_outcome(self) -> None:
        # The store goes down while the service runs the call. The caller must
        # still get its answer, and a repeat during the outage must not run.
        # After the outage the outcome is recorded and replayed.
        key = fresh_key()
        self.set_faults(slow_s=0.5)
        first = Background(self.confirm, self.system.daemons[0], key)
        wait_for(lambda: self.runs(key) == 1)
        self.system.fault("table", down=True)
        answer = first.result()
        self.assertEqual(answer[0], 200)
        status, body = self.confirm(self.system.daemons[1], key)
        self.assertEqual((status, body["error"]["ran"]), (503, "unknown"))
        self.system.fault("table", down=False)
        self.set_faults(slow_s=0.0)
        wait_for(lambda: self.confirm(self.system.daemons[1], key)[0] == 200)
        self.assertEqual(self.runs(key), 1)

    def test_abandoned_claim_is_reopened(self) -> None:
        # The insert takes effect, but its acknowledgements are lost until the
        # timeout, and the caller is refused. The open row must not block the
        # key for ever: it is closed as not run, and the repeat runs.
        key = fresh_key()
        self.system.fault("table", lose_acks=10_000)
        status, _ = self.confirm(self.system.daemons[0], key)
        self.assertEqual(status, 503)
        self.assertEqual(self.runs(key), 0)
        self.system.fault("table", lose_acks=0)
        wait_for(lambda: self.confirm(self.system.daemons[1], key)[0] == 200)
        self.assertEqual(self.runs(key), 1)

    def test_caller_disconnects(self) -> None:
        # The caller disconnects while the service runs the call. The call
        # must complete and its outcome be recorded for the repeat.
        key = fresh_key()
        self.set_faults(slow_s=0.5)
        try:
            call(
                "POST",
                self.system.daemons[0].url + PATH,
                "couch",
                token=KEY,
                headers={"idempotency-key": key},
                timeout_s=0.3,
            )
        except Exception as exc:
            self.assertIn("Timeout", type(exc).__name__)
        wait_for(lambda: self.confirm(self.system.daemons[1], key)[0] == 200)
        self.set_faults(slow_s=0.0)
        self.assertEqual(self.runs(key), 1)


class FrozenOwnerTest(ServiceCase):
    """The instance that owns a claim is frozen."""

    def test_frozen_and_thawed(self) -> None:
        # The owner is frozen while the service runs the call, for longer than
        # every timeout. Repeats at another instance must get a conflict. The
        # resumed owner records the outcome and answers; the repeat replays.
        key = fresh_key()
        first, second = self.system.daemons
        self.set_faults(slow_s=0.3)
        pending = Background(self.confirm, first, key)
        wait_for(lambda: self.runs(key) == 1)
        first.pause()
        try:
            until = time.monotonic() + 4.0
            while time.monotonic() < until:
                status, body = self.confirm(second, key)
                self.assertEqual(status, 409)
                self.assertEqual(body["error"]["ran"], "unknown")
        finally:
            first.unpause()
        self.set_faults(slow_s=0.0)
        self.assertEqual(pending.result()[0], 200)
        wait_for(lambda: self.confirm(second, key)[0] == 200)
        self.assertEqual(self.runs(key), 1)


class KilledOwnerTest(ServiceCase):
    """The instance that owns a claim is killed."""

    def test_killed_mid_call(self) -> None:
        # The owner is killed while the service runs the call. The outcome is
        # unknown, so repeats must never run the call a second time.
        key = fresh_key()
        first, second = self.system.daemons
        self.set_faults(slow_s=0.5)
        pending = Background(self.confirm, first, key)
        wait_for(lambda: self.runs(key) == 1)
        self.end(first)
        first.kill()
        with self.assertRaises(Exception):  # noqa: B017 (any broken connection)
            pending.result()
        for _ in range(5):
            status, body = self.confirm(second, key)
            self.assertEqual((status, body["error"]["ran"]), (409, "unknown"))
        self.assertEqual(self.runs(key), 1)


if __name__ == "__main__":
    unittest.main()
