"""The commands explain and losses, and the module behind them."""

import contextlib
import io
import json
import pathlib
import tempfile
import unittest

from jasminerelay import cli, explain
from jasminerelay.scheduling.heldbytes import (
    BROKE_OFF,
    MEMORY_SHORT,
    STALLED,
)
from jasminerelay.scheduling.serverpaths import RELAY_LOST
from jasminerelay.scheduling.streamorigins import ORIGIN_UNKNOWN, VERSION_GONE
from standins.launcher import ROOT


def line(at: float, instance: str, event: str, **fields) -> str:
    """Returns a log line with a log collector's prefix."""
    body = {"at": at, "instance": instance, "event": event, **fields}
    return f"2026 {instance} {json.dumps(body)}"


LOG = [
    line(9.0, "edge-2", "request", id="other", servers=["s1"], total_s=1.0),
    line(10.0, "edge-1", "server", server="s1", state="draining"),
    line(10.1, "edge-1", "server", server="s2", state="gone"),
    line(10.2, "edge-1", "dependency_lost", name="store", why="reset"),
    line(
        12.0,
        "edge-1",
        "request",
        id="a1",
        ended="done",
        status=200,
        why="broke off",
        servers=["s1"],
        events=7,
        waited_s=0.5,
        first_s=0.7,
        pause_s=0.2,
        total_s=2.5,
        configuration=4,
        store_age_s=1.8,
        knowledge_age_s=0.4,
        instances=6,
        left_out=3,
    ),
    "not a line of the relay",
    "{broken",
    '{"no": "event"}',
]


class ExplainTest(unittest.TestCase):
    """Explanations of how a request ended."""

    def test_context_and_causes(self) -> None:
        events, left_out = explain.read(LOG)
        found = explain.explain("a1", events, left_out)
        self.assertEqual(len(found.request_events), 1)
        shown = [str(event) for event in found.context]
        self.assertEqual(len(shown), 2)
        self.assertIn("draining", shown[0])
        self.assertIn("dependency_lost", shown[1])
        causes = " ".join(found.causes)
        self.assertIn("waited 0.5 s", causes)
        self.assertIn("broke off", causes)
        self.assertIn("1.8 s old", causes)
        self.assertEqual(found.left_out, 3)

    def test_blocked_request(self) -> None:
        log = [
            line(1.0, "e", "request_blocked", fingerprint="f1", servers=["s1"]),
            line(1.0, "e", "request_blocked", fingerprint="f2", servers=["s2"]),
            line(
                90.0, "e", "request", id="b1", ended="done", status=500,
                servers=[], fingerprint="f1", total_s=0.0,
            ),
        ]  # fmt: skip
        events, _ = explain.read(log)
        found = explain.explain("b1", events)
        self.assertEqual(len(found.context), 1)
        self.assertIn("f1", str(found.context[0]))
        self.assertIn("not sent again", " ".join(found.causes))

    def test_reported_crash_of_a_server(self) -> None:
        log = [
            line(11.0, "edge-1", "server_crash_heard", server="s1", source="x"),
            line(11.0, "edge-1", "server_crash_heard", server="s2", source="x"),
            *LOG,
        ]
        events, left_out = explain.read(log)
        context = explain.explain("a1", events, left_out).context
        crashes = [x for x in context if x.name == "server_crash_heard"]
        self.assertEqual([x.fields["server"] for x in crashes], ["s1"])

    def test_unknown_request(self) -> None:
        events, _ = explain.read(LOG)
        self.assertIsNone(explain.explain("nobody", events))

    def test_organisation_over_its_share(self) -> None:
        # Guards against a refusal that looks like a lack of capacity for all.
        why = "no capacity in time; organisation 'a' is over its share: 9 s"
        log = [
            line(
                2.0, "e", "request", id="x", route="r", ended="done",
                status=503, why=why, total_s=0.0,
            ),
        ]  # fmt: skip
        events, _ = explain.read(log)
        causes = " ".join(explain.explain("x", events).causes)
        self.assertIn("competed with it", causes)
        _, losses = explain.summarize(events)
        self.assertEqual(
            losses[0].cause, "refused: organisation over its share"
        )

    def test_caller_that_stops_reading(self) -> None:
        # Guards against a response ended for its caller's stall that looks
        # like a failure of the server.
        log = [
            line(
                2.0, "e", "caller_stalled", id="x", stalled_s=2.5,
                unacknowledged=70_000,
            ),
            line(
                2.0, "e", "request", id="x", route="r", ended="done",
                status=200, why=f"{STALLED} for 2.50 s", servers=["s"],
                total_s=4.0,
            ),
        ]  # fmt: skip
        events, _ = explain.read(log)
        causes = " ".join(explain.explain("x", events).causes)
        self.assertIn("read nothing for 2.5 s", causes)
        _, (loss,) = explain.summarize(events)
        self.assertEqual(loss.cause, "caller stopped reading the answer")

    def test_answer_ended_by_a_stop(self) -> None:
        # Guards against answers cut by an instance's stop that look as if
        # their callers had left.
        log = [
            line(
                2.0, "e", "request", id="x", route="r", ended="caller left",
                ended_by="instance", step="stop", status=200, events=7,
                whole=False, servers=["s"], total_s=1.7,
            ),
        ]  # fmt: skip
        events, _ = explain.read(log)
        causes = " ".join(explain.explain("x", events).causes)
        self.assertIn("its instance stopped after 1.7 s", causes)
        self.assertNotIn("caller left", causes)
        _, (loss,) = explain.summarize(events)
        self.assertEqual(loss.cause, "instance stopped during the answer")

    def test_end_that_was_not_read(self) -> None:
        # Guards against a lost end of an answer that looks like a whole one.
        log = [
            line(
                1.0, "e", "request", id="x", route="r", ended="done",
                status=200, whole=True, servers=["s"], total_s=1.0,
            ),
            line(
                2.0, "e", "end_unread", id="x", why=f"{STALLED}, 15.2 s",
                unsent=70_000,
            ),
        ]  # fmt: skip
        events, _ = explain.read(log)
        causes = " ".join(explain.explain("x", events).causes)
        self.assertIn(f"lost the end of it: {STALLED}", causes)

    def test_plain_response_that_broke_off(self) -> None:
        log = [
            line(
                2.0, "e", "request", id="x", route="r", ended="done",
                status=200, why=f"{BROKE_OFF}: ReadError('')", servers=["s"],
            ),
        ]  # fmt: skip
        _, (loss,) = explain.summarize(explain.read(log)[0])
        self.assertEqual(loss.cause, "server connection lost during the answer")

    def test_request_whose_relay_was_lost(self) -> None:
        log = [
            line(1.0, "e", "server_out_of_reach", server="s9", all=True),
            line(
                2.0, "e", "request", id="x", route="r", ended="done",
                status=502, why=f"failed: ReadError('{RELAY_LOST}')",
                servers=["s"], relays=["edge-3"], total_s=0.5,
            ),
        ]  # fmt: skip
        events, left_out = explain.read(log)
        found = explain.explain("x", events, left_out)
        self.assertEqual(found.context[0].name, "server_out_of_reach")
        self.assertTrue(any("edge-3" in cause for cause in found.causes))
        _, (loss,) = explain.summarize(events)
        self.assertIn("instance that relayed", loss.cause)

    def test_stream_of_two_software_versions(self) -> None:
        # Guards against streams over two versions that no log line shows.
        log = [
            line(
                2.0, "e", "request", id="x", route="r", ended="done",
                status=200, whole=True, servers=["s", "t"],
                versions=["v1", "v2"], resumes="w", after="7",
            ),
        ]  # fmt: skip
        events, left_out = explain.read(log)
        causes = explain.explain("x", events, left_out).causes
        self.assertTrue(any("v1, v2" in cause for cause in causes))
        self.assertTrue(any("of w after event 7" in x for x in causes))

    def test_streams_that_could_not_go_on(self) -> None:
        # Guards against refusals that `losses` takes for a lack of capacity.
        for why, part in (
            (ORIGIN_UNKNOWN, "unknown which software version"),
            (VERSION_GONE, "no server like the one that began it"),
        ):
            log = [
                line(
                    2.0, "e", "request", id="x", route="r", ended="done",
                    status=503, why=why, servers=[], after="7",
                ),
            ]  # fmt: skip
            _, (loss,) = explain.summarize(explain.read(log)[0])
            self.assertIn(part, loss.cause)

    def test_refusal_for_lack_of_memory(self) -> None:
        # Guards against refusals that `losses` does not count, since they have
        # no `request` line.
        log = [
            line(
                1.0, "e", "refused", id="x", path="/up/1", status=503,
                why=f"{MEMORY_SHORT}: 9 bytes held",
            ),
            line(1.0, "e", "refused", id="y", path="/", status=401, why="key"),
        ]  # fmt: skip
        events, _ = explain.read(log)
        causes = " ".join(explain.explain("x", events).causes)
        self.assertIn("did not run", causes)
        total, (loss,) = explain.summarize(events)
        self.assertEqual(total, {"/up/1": 1})
        self.assertEqual(loss.cause, "refused: no memory for large requests")

    def test_answer_cut_by_its_instance(self) -> None:
        # Guards against a line that does not tell an answer that its server
        # broke off from one that its instance gave up.
        cut = {
            "id": "x", "route": "r", "ended": "done", "status": 200,
            "events": 9, "why": "status 503", "servers": ["s", "t"],
            "configuration": 8, "configuration_age_s": 1.2,
        }  # fmt: skip
        for actor, step, obstacle, words in (
            ("instance", "rejection", "retry budget", "its instance"),
            ("server", "lost connection", "may not run again", "its server"),
            ("relay", "lost connection", "tries", "relayed its server's"),
        ):
            with self.subTest(actor=actor):
                fields = {"ended_by": actor, "step": step, "obstacle": obstacle}
                log = [line(2.0, "e", "request", **cut, **fields)]
                events, _ = explain.read(log)
                causes = "\n".join(explain.explain("x", events).causes)
                self.assertIn(words, causes)
                self.assertIn(f"at server t: {step}", causes)
                self.assertIn(f"no further server: {obstacle}", causes)
                self.assertIn("configuration 8 received 1.2 s before", causes)

    def test_instance_that_stopped(self) -> None:
        # Guards against an answer cut by a planned stop that looks like one
        # whose caller has left.
        log = [
            line(
                2.0, "e", "request", id="x", route="r", ended="caller left",
                status=200, events=9, ended_by="instance", step="stop",
                servers=["s"], total_s=3.0,
            ),
        ]  # fmt: skip
        events, _ = explain.read(log)
        causes = "\n".join(explain.explain("x", events).causes)
        self.assertIn("its instance stopped after 3.0 s", causes)
        self.assertNotIn("caller", causes)
        _, (loss,) = explain.summarize(events)
        self.assertEqual(loss.cause, "instance stopped during the answer")

    def test_whole_answer(self) -> None:
        # Guards against a whole answer that looks as if somebody had cut it.
        log = [
            line(
                2.0, "e", "request", id="x", route="r", ended="done",
                status=200, whole=True, ended_by="server", step="whole",
                obstacle="", servers=["s"],
            ),
        ]  # fmt: skip
        events, _ = explain.read(log)
        causes = "\n".join(explain.explain("x", events).causes)
        self.assertNotIn("ended by", causes)

    def test_lines_of_former_versions(self) -> None:
        # Guards against a tool that cannot read the logs of instances that are
        # not replaced yet.
        events, _ = explain.read(LOG)
        causes = "\n".join(explain.explain("a1", events).causes)
        self.assertNotIn("ended by", causes)
        self.assertIn("configuration 4, data", causes)
        _, losses = explain.summarize(events)
        self.assertEqual([item.near_configuration for item in losses], [0, 0])

    def test_orders_of_a_move(self) -> None:
        # Guards against a refused copy, which costs nothing, that looks like a
        # stopped run.
        log = [
            line(
                11.0, "e", "move", id="a1", order="copy", source="s1",
                status=503,
            ),
            line(
                11.4, "e", "move", id="a1", order="stop", source="s1", status=0
            ),
            line(
                11.5, "e", "move", id="a1", order="stop", source="s1",
                target="s2",
            ),
            line(11.6, "e", "move", id="a1", source="s1", target="s2"),
            *LOG,
        ]  # fmt: skip
        events, _ = explain.read(log)
        causes = explain.explain("a1", events).causes
        self.assertIn("copy to move its run was refused with 503", causes[0])
        self.assertIn("ordered to stop at s1, which named no copy", causes[1])
        self.assertIn("stopped at s1 to continue at s2", causes[2])
        self.assertIn("waited", causes[3])

    def test_refusal_and_retry(self) -> None:
        log = [
            line(1.0, "e", "refused", id="x", status=401, why="no such key"),
            line(
                2.0,
                "e",
                "request",
                id="y",
                ended="caller left",
                status=0,
                servers=["s1", "s2"],
                total_s=1.0,
            ),
        ]
        events, _ = explain.read(log)
        (cause,) = explain.explain("x", events).causes
        self.assertIn("401", cause)
        causes = " ".join(explain.explain("y", events).causes)
        self.assertIn("sent to 2 servers", causes)
        self.assertIn("the caller left", causes)


class LossesTest(unittest.TestCase):
    """Requests that were not served, by route and cause."""

    def test_by_cause(self) -> None:
        served = {"ended": "done", "status": 200, "whole": True}
        unserved = (
            {"ended": "done", "status": 503, "why": "no room in time"},
            {"ended": "done", "status": 503, "why": "full", "servers": ["s"]},
            {"ended": "caller left", "status": 0, "servers": ["s"]},
            {"ended": "caller left", "status": 200, "events": 4},
            {"ended": "done", "status": 200, "events": 9, "why": "reset"},
            {"ended": "done", "status": 502, "why": "reset"},
            {"ended": "done", "status": 200, "events": 2, "why": "its time was"
             " over"},
            {"ended": "done", "status": 500},
        )  # fmt: skip
        log = [line(1.0, "e", "request", id="ok", route="r", **served)]
        log += [
            line(2.0, "e", "request", id=f"x{number}", route="r", **fields)
            for number, fields in enumerate(unserved)
        ]
        total, losses = explain.summarize(explain.read(log)[0])
        self.assertEqual(total, {"r": 9})
        self.assertEqual({item.count for item in losses}, {1})
        self.assertEqual(len(losses), len(unserved))

    def test_who_ended_answers(self) -> None:
        # Guards against answers that their instance gave up, counted as lost
        # connections of servers.
        cut = {
            "route": "r", "ended": "done", "status": 200, "events": 9,
            "servers": ["s"], "why": "reset",
        }  # fmt: skip
        log = [
            line(1.0, "e", "request", id=step, step=step, **cut, **fields)
            for step, fields in (
                ("lost connection", {"obstacle": "retry budget"}),
                ("rejection", {"obstacle": "tries"}),
                ("continuing a moved run", {}),
                ("placing", {}),
                ("connecting", {}),
                ("silence", {}),
                ("blocked", {"obstacle": "crashes"}),
            )
        ]
        _, losses = explain.summarize(explain.read(log)[0])
        self.assertEqual(
            {item.example: item.cause for item in losses},
            {
                "lost connection": "server connection lost during the answer;"
                " not tried again: retry budget",
                "rejection": "servers rejected going on with the answer;"
                " not tried again: tries",
                "continuing a moved run": "moved run could go on nowhere",
                "placing": "no server found to go on with the answer",
                "connecting": "no server reached to go on with the answer",
                "silence": "taken from a silent server during the answer",
                "blocked": "blocked during the answer: servers crash while"
                " running it; not tried again: crashes",
            },
        )

    def test_near_a_configuration(self) -> None:
        # Guards against answers cut by a configuration that look like others.
        log = [
            line(
                1.0, "e", "request", id=f"{age_s}", route="r", status=502,
                configuration_age_s=age_s,
            )
            for age_s in (0.3, 4.9, 5.1, 600.0)
        ]  # fmt: skip
        _, (loss,) = explain.summarize(explain.read(log)[0])
        self.assertEqual((loss.count, loss.near_configuration), (4, 2))

    def test_sorted_by_count(self) -> None:
        log = [
            line(1.0, "e", "request", id=f"{n}", route="r", status=status)
            for n, status in enumerate((500, 502, 502))
        ]
        _, losses = explain.summarize(explain.read(log)[0])
        self.assertEqual(losses[0].count, 3)


class ToolTest(unittest.TestCase):
    """The commands explain, losses and platform."""

    def run_tool(self, *arguments: str) -> tuple[int, str]:
        out = io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(out):
            status = cli.main(list(arguments))
        return status, out.getvalue()

    def test_explain(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "log"
            path.write_text("\n".join(LOG))
            status, text = self.run_tool("explain", "a1", str(path))
            self.assertEqual(status, 0)
            self.assertIn("Causes:", text)
            status, text = self.run_tool("explain", "none", str(path))
            self.assertEqual(status, 1)
            self.assertIn("all instances", text)

    def test_losses(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "log"
            path.write_text("\n".join(LOG))
            status, text = self.run_tool("losses", str(path))
        self.assertEqual(status, 0)
        self.assertIn("caller left before the answer", text)

    def test_platform_check_deploy(self) -> None:
        path = str(ROOT / "deploy/system.toml")
        status, text = self.run_tool("platform", "check-deploy", path)
        self.assertEqual(status, 0)
        self.assertIn("relay", text)
        self.assertEqual(self.run_tool("platform", "check-deploy", "/x")[0], 2)

    def test_platform_check(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "node.toml"
            path.write_text("nodeName = 3")
            status, text = self.run_tool("platform", "check", str(path))
            self.assertEqual(status, 2)
            self.assertIn("docs/PLATFORM.md", text)


if __name__ == "__main__":
    unittest.main()
