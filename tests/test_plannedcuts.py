"""Tests of the check that planned work ends no answers."""

import collections
import pathlib
import tempfile
import types
import unittest

from standins.platformserver import PlatformServer, ServedRequest
from tests.plannedcuts import Cut, CutChecks, Excuse, Work, WrittenConfiguration
from tests.soakparts import Disturbance, SentRequest

ADDRESS = "127.0.0.1:1"
GRACE_S = 8.0
NOW = 1000.0
INFINITE = float("inf")


class CutChecksTest(unittest.TestCase):
    """Answers that ended before they were whole."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        log = pathlib.Path(folder.name) / "edge-1.log"
        log.write_text('{"event":"request","id":"r0","step":"silence"}\n')
        self.instance = types.SimpleNamespace(
            listen={"front": ADDRESS},
            path=log.with_suffix(".toml"),
            log=log,
            stops=[],
            reloads=[],
            disturbances=[],
        )
        # Planned work is looked up by the instance itself.
        self.instance = _Hashable(self.instance)
        self.server = PlatformServer("engine-1")
        self.configurations: list[WrittenConfiguration] = []
        self.requests: list[SentRequest] = []
        self.stalls: list[Disturbance] = []

    def add(self, cut_after_s: float = INFINITE, **fields) -> SentRequest:
        """Adds a request that was passed on, whole or cut."""
        attempt = f"r{len(self.requests)}"
        request = SentRequest(attempt, "/chat/1/stream", b"", limit_s=9.0)
        request.address = ADDRESS
        request.sent_at = NOW
        request.cut_at = NOW + cut_after_s
        if cut_after_s == INFINITE:
            request.whole = True
            request.ended_at = NOW + 1.0
        for name, value in fields.items():
            setattr(request, name, value)
        self.requests.append(request)
        stopped_at = min(request.cut_at, request.ended_at)
        self.server.journal.append(
            ServedRequest(
                attempt, {}, "", b"", began_at=request.sent_at + 0.01,
                stopped_at=stopped_at,
            )
        )  # fmt: skip
        return request

    def cut(self) -> Cut | None:
        """Returns the only answer that was cut."""
        cuts = self.checks().cuts()
        return cuts[0] if cuts else None

    def checks(self) -> CutChecks:
        return CutChecks(
            self.requests,
            [self.server],
            [self.instance],
            self.configurations,
            GRACE_S,
            stalls=self.stalls,
        )

    def violations(self, at_all_times: bool = False) -> list[str]:
        found: list[str] = []
        self.checks().run(collections.Counter(), found.append, at_all_times)
        return found

    def test_planned_work(self) -> None:
        # Guards against a cut that is attributed to the wrong planned work.
        for work, place in (
            (Work.STOP, lambda: self.instance.stops.append(NOW - 0.5)),
            (Work.RELOAD, lambda: self.instance.reloads.append(NOW - 1.9)),
            (Work.CONFIGURATION, lambda: self.configure(NOW - 1.9)),
            (Work.NONE, lambda: self.configure(NOW - 2.1)),
            (Work.NONE, lambda: self.instance.reloads.append(NOW - 2.1)),
            (Work.NONE, lambda: self.instance.reloads.append(NOW + 1.1)),
            (Work.NONE, lambda: self.instance.stops.append(NOW - 8.1)),
        ):
            with self.subTest(work):
                self.setUp()
                self.add(cut_after_s=1.0)
                place()
                self.assertEqual(self.cut().work, work)
                self.assertIsNone(self.cut().excuse)

    def configure(self, at: float, chat_s: float = 9.0) -> None:
        timeouts_s = {"/chat/1/": chat_s, "/chat/": 1.0, "/sheet/": 1.0}
        self.configurations.append(WrittenConfiguration(at, timeouts_s))

    def test_silence_is_no_excuse(self) -> None:
        # Guards against a check that passes over answers of silent servers.
        self.instance.reloads.append(NOW + 1.0)
        self.add(cut_after_s=2.5)
        self.server.faults.silent = True
        (violation,) = self.violations()
        for part in ("r0", "edge-1", "engine-1", "SIGHUP", "'silence'"):
            self.assertIn(part, violation)

    def test_server_that_broke_off(self) -> None:
        # Guards against a check that blames an instance for its server's end.
        self.add(cut_after_s=1.0)
        self.server.journal[0].broke_off = True
        self.assertEqual(self.cut().excuse, Excuse.SERVER_BROKE_OFF)

    def test_server_that_was_killed(self) -> None:
        # Guards against a check that excuses a cut before its server's end.
        self.add(cut_after_s=1.0)
        self.server.killed_at = NOW + 1.0
        self.assertEqual(self.cut().excuse, Excuse.SERVER_BROKE_OFF)
        self.server.killed_at = NOW + 1.5
        self.assertIsNone(self.cut().excuse)

    def test_time_limits(self) -> None:
        # Guards against a check that overlooks a shorter limit of a new
        # configuration, or takes one that came later.
        self.add(cut_after_s=5.0)
        self.configure(NOW - 9.0, chat_s=9.0)
        self.configure(NOW + 1.0, chat_s=5.0)
        self.assertIsNone(self.cut().excuse)
        self.configure(NOW - 1.0, chat_s=5.0)
        self.configurations.sort(key=lambda item: item.at)
        self.assertEqual(self.cut().excuse, Excuse.TIME_LIMIT)

    def test_caller_that_left(self) -> None:
        # Guards against a check that blames an instance for its caller's end.
        self.add(cut_after_s=2.0, gave_up=True)
        self.assertEqual(self.cut().excuse, Excuse.CALLER_LEFT)

    def test_end_of_grace(self) -> None:
        # Guards against a check that excuses answers that ended before the last
        # sixth of the grace period, or requests that came late.
        for sent_after_s, cut_after_s, excuse in (
            (2.9, 4.0, Excuse.END_OF_GRACE),
            (2.9, 3.5, None),
            (3.1, 4.0, None),
        ):
            with self.subTest(sent_after_s=sent_after_s):
                self.setUp()
                self.instance.stops.append(NOW - sent_after_s)
                self.add(cut_after_s=cut_after_s)
                self.assertEqual(self.cut().excuse, excuse)

    def test_slow_callers(self) -> None:
        # Guards against a check that takes the moment at which a slow caller
        # saw the end for that of the end.
        self.add(cut_after_s=5.0, slow=True)
        self.instance.stops.append(NOW - 2.9)
        self.server.journal[0].stopped_at = NOW + 4.5
        self.assertEqual(self.cut().excuse, Excuse.END_OF_GRACE)
        self.server.journal[0].stopped_at = NOW + 3.5
        self.assertIsNone(self.cut().excuse)
        self.server.journal[0].ended = True
        self.server.journal[0].stopped_at = NOW + 3.5
        self.assertIsNone(self.cut().excuse)

    def test_seven_tenths(self) -> None:
        # Guards against a check that excuses requests that have used much of
        # their time beside other work than a configuration.
        self.add(cut_after_s=6.5)
        self.configure(NOW + 6.0)
        self.assertEqual(self.cut().excuse, Excuse.SHORT_OF_TIME)
        self.instance.reloads.append(NOW + 6.0)
        self.assertIsNone(self.cut().excuse)

    def test_disturbances(self) -> None:
        # Guards against a check that excuses by disturbances elsewhere, or long
        # before.
        self.add(cut_after_s=1.0)
        for since, until, subject, excuse in (
            (NOW - 5.0, NOW - 2.9, "edge-1", Excuse.DISTURBED),
            (NOW - 5.0, NOW - 3.1, "edge-1", None),
            (NOW + 0.5, INFINITE, "", Excuse.DISTURBED),
            (NOW + 1.5, INFINITE, "", None),
            (NOW, NOW, "edge-2", None),
            (NOW, NOW, "engine-1", Excuse.DISTURBED),
        ):
            with self.subTest(since=since, until=until, subject=subject):
                self.instance.disturbances[:] = [
                    Disturbance(since, until, subject)
                ]
                self.assertEqual(self.cut().excuse, excuse)

    def test_never_passed_on(self) -> None:
        # Guards against a check that counts requests that crossed the end of
        # their kept connection.
        for cut_after_s, count in ((0.1, 0), (0.3, 1)):
            with self.subTest(cut_after_s=cut_after_s):
                self.setUp()
                self.add(cut_after_s=cut_after_s)
                self.server.journal.clear()
                self.assertEqual(len(self.checks().cuts()), count)

    def test_stalled_callers(self) -> None:
        # Guards against a check that takes a stall of the callers' process, or
        # the time before the last byte was sent, for one of the instance.
        request = self.add(cut_after_s=0.5, all_sent_at=NOW + 0.1)
        self.server.journal.clear()
        self.assertEqual(len(self.checks().cuts()), 1)
        self.stalls.append(Disturbance(NOW, NOW + 0.25))
        self.assertEqual(len(self.checks().cuts()), 1)
        self.stalls.append(Disturbance(NOW + 0.4, NOW + 0.6))
        self.assertEqual(len(self.checks().cuts()), 0)
        self.stalls.clear()
        request.all_sent_at = NOW + 0.35
        self.assertEqual(len(self.checks().cuts()), 0)

    def test_rates_beside_configurations(self) -> None:
        # Guards against a check that counts cuts that are as frequent at other
        # times, or does not count those that are more frequent.
        for other_cuts, expected in ((2, 0), (1, 4)):
            with self.subTest(other_cuts=other_cuts):
                self.setUp()
                self.configure(NOW)
                for number in range(40):
                    cut_after_s = 1.0 if number < 4 else INFINITE
                    self.add(cut_after_s=cut_after_s)
                    other_s = 1.0 if number < other_cuts else INFINITE
                    other = self.add(cut_after_s=other_s, sent_at=NOW - 20.0)
                    if other_s == INFINITE:
                        other.ended_at = NOW - 19.0
                    else:
                        other.cut_at = NOW - 19.0
                self.assertEqual(len(self.violations()), expected)

    def test_all_times(self) -> None:
        # Guards against a run without disturbances that passes over cuts
        # without planned work.
        self.add(cut_after_s=1.0)
        self.assertEqual(len(self.violations()), 0)
        self.assertEqual(len(self.violations(at_all_times=True)), 1)


class _Hashable:
    """An instance of fixed facts; each is equal to itself only."""

    def __init__(self, facts: types.SimpleNamespace):
        self.__dict__.update(facts.__dict__)


if __name__ == "__main__":
    unittest.main()
