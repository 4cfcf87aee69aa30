"""Every caller gets its own complete answer, or an explicit error."""

import unittest

from standins.launcher import Options, wait_for
from tests.support import (
    KEY,
    Background,
    Streamed,
    SystemCase,
    answer_to,
    chat,
    stream,
    text_of,
)

SLOW = Options(
    daemons=2, max_engines=2, max_services=1, engine=("--step-ms", "20")
)


def engines_with_open_attempts(case: SystemCase) -> list[str]:
    """Returns the names of engines with an open attempt."""
    return [
        name
        for name in ("model-1", "model-2")
        if any(
            not item["ended"] for item in case.system.journal(name, "attempts")
        )
    ]


class BrokenStreamTest(SystemCase):
    """The connection to an engine breaks, but the engine keeps running."""

    options = SLOW

    def test_resumes_on_the_same_engine(self) -> None:
        # The connection is cut after five frames and the engine keeps the
        # stream. The relay must resume it by offset: no token is lost, sent
        # twice or computed twice.
        prompt = "cut and kept [len=30]"
        for name in ("model-1", "model-2"):
            self.system.fault(name, cut=5)
        streamed = stream(self.system.daemons[0], prompt)
        self.assertTrue(streamed.whole)
        self.assertEqual(streamed.text, answer_to(prompt))
        runs = [
            item
            for item in self.system.journal("model", "attempts")
            if item["tokens"] == 30
        ]
        self.assertEqual(len(runs), 1)
        for name in ("model-1", "model-2"):
            self.system.fault(name, cut=0)

    def test_continues_on_another_engine_if_resume_is_refused(self) -> None:
        # The connection is cut and the engine drops the stream, so the resume
        # is refused. Another engine must continue from the prompt and the
        # delivered tokens, and the caller gets one complete answer.
        prompt = "cut and forgotten [len=30]"
        for name in ("model-1", "model-2"):
            self.system.fault(name, cut=7, forget=True)
        streamed = stream(self.system.daemons[0], prompt)
        self.assertTrue(streamed.whole)
        self.assertEqual(streamed.text, answer_to(prompt))
        for name in ("model-1", "model-2"):
            self.system.fault(name, cut=0, forget=False)

    def test_connection_cut_before_the_end_event(self) -> None:
        # The connection is cut after the last token but before the end of
        # the stream, and the engine drops it. Another engine has no token to
        # add; with the token limit reached no engine is used at all. The
        # caller must get no extra token, as a preempted request did.
        for prompt, fields in (
            ("last token [len=9]", {}),
            ("at the limit [len=50]", {"max_tokens": 9}),
        ):
            for name in ("model-1", "model-2"):
                self.system.fault(name, cut=9, forget=True)
            streamed = stream(self.system.daemons[0], prompt, **fields)
            for name in ("model-1", "model-2"):
                self.system.fault(name, cut=0, forget=False)
            self.assertTrue(streamed.whole, streamed.error)
            expected = answer_to(prompt).split()[:9]
            self.assertEqual(streamed.text.split(), expected)

    def test_duplicate_and_misrouted_frames(self) -> None:
        # Each frame arrives twice, preceded by a frame of another request.
        # Frames carry their attempt and offset, so the caller must get only
        # its own tokens, each once.
        prompt = "crossed [len=12]"
        for name in ("model-1", "model-2"):
            self.system.fault(name, duplicate_frames=True, crossed_frames=True)
        streamed = stream(self.system.daemons[0], prompt)
        status, body = chat(self.system.daemons[1], prompt)
        for name in ("model-1", "model-2"):
            self.system.fault(
                name, duplicate_frames=False, crossed_frames=False
            )
        self.assertEqual(streamed.text, answer_to(prompt))
        self.assertEqual(status, 200)
        self.assertEqual(text_of(body), answer_to(prompt))
        self.assertEqual(body["usage"]["completion_tokens"], 12)

    def test_disconnects_and_connection_reuse(self) -> None:
        # Callers disconnect in the middle of their streams while others send
        # requests. The others must get only their own tokens, since frames
        # of a cancelled attempt are recognised and dropped.
        daemon = self.system.daemons[0]

        class DisconnectError(Exception):
            pass

        def disconnect(streamed: Streamed) -> None:
            if len(streamed.ids) >= 3:
                raise DisconnectError

        for number in range(10):
            with self.assertRaises(DisconnectError):
                stream(daemon, f"gone {number} [len=50]", on_event=disconnect)
            prompt = f"stays {number} [len=4]"
            streamed = stream(daemon, prompt)
            self.assertEqual(streamed.text, answer_to(prompt))
        wait_for(lambda: not engines_with_open_attempts(self))
        cancelled = [
            item
            for item in self.system.journal("model", "attempts")
            if item["ended"] == "cancelled"
        ]
        self.assertEqual(len(cancelled), 10)


class SoftwareVersionTest(SystemCase):
    """Engines of two software versions, with broken streams."""

    options = Options(
        daemons=1,
        max_engines=3,
        max_services=1,
        engine=("--step-ms", "20"),
        manifest=(
            (r'(name = "model-[13]"\n)', r'\1software_version = "a"\n'),
            (r'(name = "model-2"\n)', r'\1software_version = "b"\n'),
        ),
    )

    def test_goes_on_at_its_version(self) -> None:
        # Guards against an answer that another software version goes on with.
        for name in ("model-1", "model-2", "model-3"):
            self.system.fault(name, cut=7, forget=True)
        prompts = [f"version {number} [len=20]" for number in range(8)]
        calls = [
            Background(stream, self.system.daemons[0], prompt)
            for prompt in prompts
        ]
        for call, prompt in zip(calls, prompts, strict=True):
            text = call.result().text
            self.assertTrue(answer_to(prompt).startswith(text))
        first, second = (
            {
                item["prompt"]
                for name in names
                for item in self.system.journal(name, "attempts")
            }
            for names in (("model-1", "model-3"), ("model-2",))
        )
        self.assertEqual(first & second, set())
        self.assertTrue(first and second)


class EngineKilledTest(SystemCase):
    """An engine is killed while it streams answers."""

    options = SLOW

    def test_killed_mid_stream(self) -> None:
        # The engine is killed after some tokens. The relay must continue each
        # answer on the other engine, from the prompt and the delivered
        # tokens, so that all callers get complete answers.
        prompts = [f"killed {number} [len=60]" for number in range(6)]
        calls = [
            Background(stream, self.system.daemons[index % 2], prompt)
            for index, prompt in enumerate(prompts)
        ]
        wait_for(lambda: len(engines_with_open_attempts(self)) == 2)
        self.system.processes["model-1"].kill()
        for call, prompt in zip(calls, prompts, strict=True):
            streamed = call.result()
            self.assertTrue(streamed.whole, streamed.error)
            self.assertEqual(streamed.text, answer_to(prompt))
        # All engines are killed: the stream must end with an error event that
        # states that the request ran, and without [DONE], which marks it as
        # incomplete.
        prompt = "no engine left [len=200]"
        call = Background(stream, self.system.daemons[0], prompt)
        wait_for(lambda: second_engine_is_streaming(self))
        self.system.processes["model-2"].kill()
        streamed = call.result()
        self.assertFalse(streamed.done)
        self.assertEqual(streamed.error["ran"], "yes")
        self.assertTrue(answer_to(prompt).startswith(streamed.text))
        # A new request must be refused at once as not run.
        status, body = chat(self.system.daemons[1], "too late")
        self.assertEqual(status, 503)
        self.assertEqual(body["error"]["ran"], "no")


def second_engine_is_streaming(case: SystemCase) -> bool:
    """Returns whether the second engine has an open attempt past 3 tokens."""
    return any(
        not item["ended"] and item["tokens"] > 3
        for item in case.system.journal("model-2", "attempts")
    )


class InstanceKilledTest(SystemCase):
    """The caller's instance is killed in the middle of its stream."""

    options = SLOW

    def test_resumes_at_another_instance(self) -> None:
        # The instance is killed after a few tokens. The caller sends the same
        # request with Last-Event-ID to another instance, which must resume
        # the stream on its engine. Both parts together are the complete
        # answer, with no token lost or duplicated.
        prompt = "instance killed [len=60]"
        first, second = self.system.daemons

        def kill(streamed: Streamed) -> None:
            if len(streamed.ids) == 10 and first.popen.poll() is None:
                self.end(first)
                first.kill()

        part = stream(first, prompt, on_event=kill)
        self.assertTrue(part.broken)
        self.assertFalse(part.done)
        headers = {"last-event-id": part.ids[-1]}
        rest = stream(second, prompt, KEY, headers)
        self.assertTrue(rest.whole, rest.error)
        self.assertEqual(part.text + rest.text, answer_to(prompt))
        self.assertEqual(len(self.system.journal("model", "attempts")), 1)
        # Once the engines are killed the stream cannot be resumed. The caller
        # must get an error that says so, and never a partial answer as
        # complete.
        for name in ("model-1", "model-2"):
            self.system.processes[name].kill()
        gone = stream(second, prompt, KEY, headers)
        self.assertEqual(gone.status, 409)
        self.assertEqual(gone.error["code"], "resume_gone")


if __name__ == "__main__":
    unittest.main()
