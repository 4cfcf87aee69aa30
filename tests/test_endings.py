"""Tests that log lines say who ended an answer, and in which step."""

import json
import time
import typing
import unittest
import unittest.mock

import anyio

from jasminerelay import explain, streammoves
from jasminerelay.endings import ending_of
from jasminerelay.endingsteps import EndedBy, Ending, Obstacle, Step
from jasminerelay.exchange import (
    Interrupted,
    NotRun,
    NotSent,
    Outcome,
    Unknown,
)
from standins.platformsite import MODEL_BACKEND, SiteOptions
from tests.platformcase import PlatformCase


class EndingOfTest(unittest.TestCase):
    """What an attempt's outcome says about its answer's end."""

    def test_every_outcome_has_one(self) -> None:
        # Guards against an outcome that ends a request with an error of the
        # program instead of a line in the log.
        unknown = ending_of.dispatch(object)
        for kind in typing.get_args(Outcome):
            self.assertIsNot(ending_of.dispatch(kind), unknown, kind)

    def test_lost_relay(self) -> None:
        # Guards against a server that is blamed for the loss of a relay.
        for lost, by in ((True, EndedBy.RELAY), (False, EndedBy.SERVER)):
            for outcome in (
                Unknown("reset", relay_lost=lost),
                Interrupted("reset", relay_lost=lost),
            ):
                ending = ending_of(outcome, continued=False)
                self.assertEqual(ending, Ending(by, Step.LOST_CONNECTION))

    def test_continued_run(self) -> None:
        # Guards against a move that cost an answer and looks like a rejection.
        for outcome, step in (
            (NotRun("full"), Step.REJECTION),
            (NotSent("refused"), Step.CONNECTING),
        ):
            for continued in (False, True):
                ending = ending_of(outcome, continued=continued)
                self.assertIs(ending.by, EndedBy.INSTANCE)
                self.assertIs(
                    ending.step, Step.CONTINUING_MOVED if continued else step
                )

    def test_fields(self) -> None:
        # Guards against fields that a reader of the log cannot decode.
        ending = Ending(EndedBy.SERVER, Step.FAILURE, Obstacle.TRIES)
        self.assertEqual(
            json.loads(json.dumps(ending.log_fields())),
            {"ended_by": "server", "step": "failure", "obstacle": "tries"},
        )
        whole = Ending(EndedBy.SERVER, Step.WHOLE)
        self.assertEqual(whole.log_fields()["obstacle"], "")


class LoggedEndingTest(PlatformCase):
    """The line of a request that did not end whole, and what `losses` says."""

    options = SiteOptions(
        routes={"chat": {"timeoutMs": 3000}, "sheet": {"timeoutMs": 3000}}
    )

    def collect(self, instance) -> list[str]:
        """Returns a list to which the instance's lines will be added."""
        lines: list[str] = []

        def write(event: str, **fields) -> None:
            line = {"at": time.time(), "instance": "e", "event": event}
            lines.append(json.dumps({**line, **fields}))

        instance.log.info = instance.log.warn = write
        return lines

    async def ask_stream(self, instance, path: str) -> None:
        await self.ask(instance, path, Token_Usage="900,100")

    async def ending_after(
        self, path: str, prepare, during=None
    ) -> tuple[dict[str, typing.Any], str]:
        """Returns the fields of a request's line, and its cause.

        Args:
            path: Its path.
            prepare: Called with the site and the instance before it.
            during: Called with both once a server runs it.
        """
        async with self.site() as (site, (instance,)):
            lines = self.collect(instance)
            prepare(site, instance)
            with anyio.move_on_after(8.0):
                async with anyio.create_task_group() as group:
                    group.start_soon(self.ask_stream, instance, path)
                    if during is not None:
                        await self.until(
                            lambda: any(
                                x.running for x in site.servers.values()
                            )
                        )
                        await anyio.sleep(0.2)
                        await during(site, instance, group)
            found, _ = explain.read(lines)
            (request,) = [x for x in found if x.name == "request"]
            _, (loss,) = explain.summarize([request])
            return request.fields, loss.cause

    def assert_ending(
        self, fields, by: EndedBy, step: Step, obstacle: Obstacle | str = ""
    ) -> None:
        self.assertEqual(
            (fields["ended_by"], fields["step"], fields["obstacle"]),
            (by, step, obstacle),
        )
        self.assertGreaterEqual(fields["configuration_age_s"], 0.0)

    async def test_server_breaks_off(self) -> None:
        # Guards against an answer of which the log does not say that its server
        # ended it, and that it may not run again.
        def prepare(site, instance) -> None:
            for server in site.servers.values():
                server.faults.break_after = 5

        fields, cause = await self.ending_after("/sheet/1/stream", prepare)
        self.assert_ending(
            fields, EndedBy.SERVER, Step.LOST_CONNECTION, Obstacle.RUNS_ONCE
        )
        self.assertIn("server connection lost during the answer", cause)
        self.assertIn("may not run again", cause)

    async def test_no_retry_left(self) -> None:
        # Guards against an answer that ends for want of a retry and looks as if
        # no server could go on with it.
        def prepare(site, instance) -> None:
            instance._retry_budget.spend = lambda service, now: False
            for server in site.servers.values():
                server.faults.break_after = 5

        fields, cause = await self.ending_after("/chat/1/stream", prepare)
        self.assert_ending(
            fields, EndedBy.SERVER, Step.LOST_CONNECTION, Obstacle.RETRY_BUDGET
        )
        self.assertIn("not tried again: retry budget", cause)

    async def test_time_limit(self) -> None:
        # Guards against a time limit that looks like a lost connection.
        def prepare(site, instance) -> None:
            for server in site.servers.values():
                server.faults.tick_s = 0.1

        fields, cause = await self.ending_after("/sheet/1/stream", prepare)
        self.assert_ending(fields, EndedBy.INSTANCE, Step.TIME_LIMIT)
        self.assertEqual(cause, "time limit exceeded during the answer")

    async def test_caller_leaves(self) -> None:
        # Guards against a caller that leaves and looks like a planned stop.
        def prepare(site, instance) -> None:
            for server in site.servers.values():
                server.faults.tick_s = 0.05

        async def leave(site, instance, group) -> None:
            group.cancel_scope.cancel()
            with anyio.CancelScope(shield=True):
                await self.until(
                    lambda: not any(x.running for x in site.servers.values())
                )

        fields, cause = await self.ending_after(
            "/sheet/1/stream", prepare, leave
        )
        self.assert_ending(fields, EndedBy.CALLER, Step.CALLER_LEFT)
        self.assertEqual(cause, "caller left during the answer")

    async def test_copy_rejected_everywhere(self) -> None:
        # Guards against a move that costs an answer which no line names.
        self.enterContext(
            unittest.mock.patch.object(
                streammoves, "SLOW_CHECK_INTERVAL_S", 60.0
            )
        )

        def prepare(site, instance) -> None:
            for server in site.servers.values():
                server.faults.tick_s = 0.025
                server.faults.refuse_copies = 100

        async def drain(site, instance, group) -> None:
            (name,) = [n for n, x in site.servers.items() if x.running]
            site.write_server_row(name, MODEL_BACKEND, "draining")

        fields, cause = await self.ending_after(
            "/sheet/1/stream", prepare, drain
        )
        self.assert_ending(
            fields,
            EndedBy.INSTANCE,
            Step.CONTINUING_MOVED,
            Obstacle.RUNS_ONCE,
        )
        self.assertIn("moved run could go on nowhere", cause)


if __name__ == "__main__":
    unittest.main()
