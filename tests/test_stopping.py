"""Backend servers and instances that shut down."""

import time
import unittest

from standins.launcher import Options, call, wait_for
from tests.support import (
    KEY,
    Background,
    SystemCase,
    answer_to,
    chat,
    stream,
    text_of,
)

LEAVING_S = 3.0


class LeavingServerTest(SystemCase):
    """A backend server announces that it shuts down."""

    options = Options(
        daemons=3,
        max_engines=2,
        max_services=1,
        settings={"timing": {"leaving_hold_s": 6.0}},
    )

    def test_refusal_excludes_server(self) -> None:
        # Its load reports don't say that it shuts down. It refuses one
        # request, which goes to another server. The instances notify each
        # other, and from then on none sends it a request: each would be
        # refused, and its count of refusals stays the same.
        self.system.fault("model-2", leaving=True, hide_leaving=True)

        def all_exclude_server() -> bool:
            calls = [
                Background(chat, daemon, f"ask {number}")
                for number, daemon in enumerate(self.system.daemons * 4)
            ]
            for item in calls:
                self.assertEqual(item.result()[0], 200)
            return all(
                "model-2" in self.system.status(daemon)["leaving_servers"]
                for daemon in self.system.daemons
            )

        wait_for(all_exclude_server)
        before = self.refusals()
        calls = [
            Background(chat, daemon, f"after {number} {daemon.name}")
            for number in range(8)
            for daemon in self.system.daemons
        ]
        for item in calls:
            self.assertEqual(item.result()[0], 200)
        self.assertEqual(self.refusals(), before)
        self.system.fault("model-2", leaving=False, hide_leaving=False)
        wait_for(
            lambda: (
                not any(
                    self.system.status(daemon)["leaving_servers"]
                    for daemon in self.system.daemons
                )
            )
        )

    def refusals(self) -> int:
        url = self.system.processes["model-2"].url + "/v1/state"
        return call("GET", url)[1]["refused"]

    def test_no_new_requests(self) -> None:
        # The server refuses one request or announces the shutdown in its load
        # report. From then on no instance sends it a request, not even those
        # that never did, as the instances notify each other. All callers get
        # their answers.
        self.system.fault("model-1", leaving=True)
        until = time.monotonic() + LEAVING_S
        number = 0
        while time.monotonic() < until:
            number += 1
            daemon = self.system.daemons[number % 3]
            self.assertEqual(chat(daemon, f"leaving {number}")[0], 200)
        before = len(self.system.journal("model-1", "attempts"))
        calls = [
            Background(chat, daemon, f"gone {number} {daemon.name}")
            for number in range(4)
            for daemon in self.system.daemons
        ]
        for item in calls:
            self.assertEqual(item.result()[0], 200)
        after = len(self.system.journal("model-1", "attempts"))
        self.assertEqual(before, after)
        self.system.fault("model-1", leaving=False)

        def serves_again() -> bool:
            calls = [
                Background(chat, self.system.daemons[0], f"back {number}")
                for number in range(12)
            ]
            for item in calls:
                self.assertEqual(item.result()[0], 200)
            return len(self.system.journal("model-1", "attempts")) > after

        wait_for(serves_again)


class AnnouncedLeavingTest(SystemCase):
    """Servers that announce the shutdown in the answers that they complete."""

    options = Options(daemons=3, max_engines=2, max_services=2)

    def runs(self, name: str) -> int:
        """Returns the number of requests that a server ran."""
        field = "attempts" if name.startswith("model") else "runs"
        return len(self.system.journal(name, field))

    def send(self, number: int) -> None:
        """Sends a model request and a call to each instance."""
        for daemon in self.system.daemons:
            status, _ = chat(daemon, f"announced {number} {daemon.name}")
            self.assertEqual(status, 200)
            url = daemon.url + "/services/bookings/slots"
            self.assertEqual(call("GET", url, token=KEY)[0], 200)

    def test_no_new_requests(self) -> None:
        # Guards against work for a server that says in its answers that it
        # leaves, and in its load reports and refusals not yet.
        names = ("model-1", "bookings-1")
        for name in names:
            self.system.fault(name, announce=True)
        for number in range(8):
            self.send(number)
        before = [self.runs(name) for name in names]
        for number in range(8, 16):
            self.send(number)
        self.assertEqual([self.runs(name) for name in names], before)
        self.assertTrue(all(before))


class PlannedStopTest(SystemCase):
    """An instance gets SIGTERM while it serves requests."""

    options = Options(
        daemons=3,
        max_engines=2,
        max_services=1,
        engine=("--step-ms", "25"),
        settings={"timing": {"entry_ttl_s": 1.5}},
    )

    def test_streams_finish(self) -> None:
        # Two instances in turn get SIGTERM, then a second one, while they
        # stream long answers. Each leaves the entry list, still serves callers
        # with a cached entry list, finishes its streams and exits with 0. Its
        # broker duties are handed over, so no request fails.
        daemons = self.system.daemons
        for number, leaving in enumerate(daemons[:2]):
            others = daemons[number + 1 :]
            prompts = [f"long {number} {item} [len=90]" for item in range(4)]
            streams = [
                Background(stream, daemon, prompt)
                for prompt in prompts
                for daemon in (leaving, others[0])
            ]
            wait_for(
                lambda d=leaving: self.system.status(d)["in_progress"] == 4
            )
            self.end(leaving)
            leaving.terminate()
            wait_for(lambda d=leaving: call("GET", d.url + "/readyz")[0] == 503)
            leaving.terminate()
            wait_for(
                lambda o=others, d=leaving: all(
                    d.url
                    not in call("GET", x.url + "/v1/entry")[1]["instances"]
                    for x in o
                )
            )
            status, body = chat(leaving, "old entry list [len=3]")
            self.assertEqual(status, 200)
            self.assertEqual(text_of(body), answer_to("old entry list [len=3]"))
            for index, item in enumerate(streams):
                seen = item.result()
                self.assertTrue(seen.whole, seen.error)
                self.assertEqual(seen.text, answer_to(prompts[index // 2]))
            self.assertEqual(leaving.wait(), 0)
        self.assertEqual(chat(daemons[2], "the last one")[0], 200)


if __name__ == "__main__":
    unittest.main()
