"""Invariant violations are counted and logged with their evidence."""

import types
import unittest
from unittest import mock

from jasminerelay import answers, burn, metrics, modelrequests
from jasminerelay.errors import InvariantError
from jasminerelay.lengthestimate import LengthEstimator
from jasminerelay.retry import RetryBudget
from jasminerelay.schema.manifest import (
    Organisation,
    Pool,
    RequestType,
    ServiceClass,
)
from jasminerelay.schema.settings import Statsd, Timing
from tests.fakes import cell, server


class InvariantsTest(unittest.IsolatedAsyncioTestCase):
    """Reporting of invariant violations."""

    def setUp(self) -> None:
        self.counters = metrics.Counters(Statsd())
        self.invariants = metrics.InvariantHandler(self.counters, fatal=False)

    def violations(self) -> int:
        return self.counters.snapshot().get("invariant.violated", 0)

    def test_counted_and_logged(self) -> None:
        with self.assertLogs("jasminerelay.metrics", "ERROR") as logs:
            self.invariants.report(InvariantError("the evidence"))
        self.assertIn("the evidence", logs.output[0])
        self.assertEqual(self.violations(), 1)

    def test_fatal_in_tests(self) -> None:
        fatal = metrics.InvariantHandler(self.counters, fatal=True)
        with (
            mock.patch("os._exit") as ended,
            self.assertLogs("jasminerelay.metrics", "ERROR"),
        ):
            fatal.report(InvariantError("the evidence"))
        ended.assert_called_once_with(metrics.EXIT_INVARIANT)

    async def test_within_an_answer(self) -> None:
        # The permit client raises an invariant error while an answer waits.
        # It must be reported as a violation. Since it is a RelayError by
        # type, it was only returned to the caller like any other error.
        async def acquire(ask) -> None:
            raise InvariantError(f"about {ask.cell}")

        async def take_tokens(organisation, tokens) -> None:
            del organisation, tokens

        permit_client = types.SimpleNamespace(
            acquire=acquire,
            take_tokens=take_tokens,
            settle=lambda *taken: None,
            pool_of=lambda model: Pool("pool", [model], [server("s")]),
            choose_cell=lambda *asked: cell(server("s")),
        )
        context = answers.AnswerContext(
            permit_client,
            None,
            None,
            burn.BurnRecorder(),
            self.counters,
            self.invariants,
            Timing(),
            LengthEstimator(),
            RetryBudget(),
            lambda *action: None,
        )
        body = b'{"model": "m", "prompt": "p"}'
        request = modelrequests.parse_request(
            modelrequests.TEXT_PATH, body, "digest"
        )
        placement = answers.RequestPolicy(
            Organisation("o", []),
            RequestType("t", "c", ["m"]),
            ServiceClass("c", 1, 1.0),
            Pool("pool", ["m"], [server("s")]),
            0.0,
        )
        answer = answers.Answer(context, request, placement)
        with (
            self.assertLogs("jasminerelay.metrics", "ERROR"),
            self.assertRaises(InvariantError),
        ):
            async for _ in answer.events():
                pass
        self.assertEqual(self.violations(), 1)


if __name__ == "__main__":
    unittest.main()
