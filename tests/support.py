"""Shared helpers for tests against a complete system."""

import json
import threading
import unittest
from collections.abc import Callable
from typing import Any

import httpcore

from standins.engine import chat_prompt, expected_answer
from standins.launcher import Daemon, Options, System, call

KEY = "moreton-key-01"
OTHER_KEY = "moreton-key-02"
TIMEOUT = dict.fromkeys(("connect", "read", "write", "pool"), 60.0)


class SystemCase(unittest.TestCase):
    """Base class of tests that run against a complete system.

    Attributes:
        options: Composition of the system; subclasses may override it.
        system: The running system.
    """

    options = Options(daemons=2, max_engines=2, max_services=1)
    system: System

    @classmethod
    def setUpClass(cls) -> None:
        cls.system = System(cls.options)
        cls.addClassCleanup(cls.system.stop)
        cls.system.start()

    def tearDown(self) -> None:
        """Fails if a daemon has exited that the test did not stop itself."""
        for daemon in self.system.daemons:
            if getattr(daemon, "ended", False):
                continue
            status = daemon.popen.poll()
            self.assertIsNone(
                status,
                f"{daemon.name} exited with status {status}:"
                f" {daemon.log.read_text()[-3000:]}",
            )

    def end(self, daemon: Daemon) -> None:
        """Marks a daemon as stopped by the test itself."""
        daemon.ended = True


def chat_body(prompt: str, **fields: Any) -> dict[str, Any]:
    """Returns the body of a chat request."""
    messages = [{"role": "user", "content": prompt}]
    return {"model": "helper", "messages": messages, **fields}


def answer_to(prompt: str) -> str:
    """Returns the expected response text of a chat request."""
    return expected_answer(chat_prompt([{"role": "user", "content": prompt}]))


def chat(
    daemon: Daemon,
    prompt: str,
    key: str = KEY,
    headers: dict[str, str] | None = None,
    **fields: Any,
) -> tuple[int, Any]:
    """Sends a chat request without streaming; returns status and body."""
    return call(
        "POST",
        daemon.url + "/v1/chat/completions",
        chat_body(prompt, **fields),
        token=key,
        headers=headers,
        timeout_s=60.0,
    )


def text_of(body: Any) -> str:
    """Returns the text of a chat response that was not streamed."""
    return body["choices"][0]["message"]["content"]


class Streamed:
    """The part of a stream that a caller received.

    Attributes:
        status: HTTP status.
        text: Text of all chunks.
        ids: Event ids in order.
        error: Error object, if one was received.
        done: Whether [DONE] was received.
        broken: Whether the connection failed.
    """

    def __init__(self) -> None:
        self.status = 0
        self.text = ""
        self.ids: list[str] = []
        self.error: Any = None
        self.done = False
        self.broken = False

    @property
    def whole(self) -> bool:
        """Whether the caller received a complete response."""
        return self.status == 200 and self.done and not self.error


def stream(
    daemon: Daemon,
    prompt: str,
    key: str = KEY,
    headers: dict[str, str] | None = None,
    on_event: Callable[[Streamed], None] | None = None,
    **fields: Any,
) -> Streamed:
    """Sends a streamed chat request and reads the stream to its end."""
    received = Streamed()
    content = json.dumps(chat_body(prompt, stream=True, **fields)).encode()
    request_headers = {
        "authorization": f"Bearer {key}",
        "content-length": str(len(content)),
        **(headers or {}),
    }
    try:
        with httpcore.stream(
            "POST",
            daemon.url + "/v1/chat/completions",
            headers=request_headers,
            content=content,
            extensions={"timeout": TIMEOUT},
        ) as response:
            received.status = response.status
            _read_events(response, received, on_event)
    except (httpcore.NetworkError, httpcore.ProtocolError):
        received.broken = True
    return received


def _read_events(response, received: Streamed, on_event) -> None:
    if response.status != 200:
        received.error = json.loads(response.read())["error"]
        return
    buffer = b""
    for part in response.iter_stream():
        buffer += part
        *events, buffer = buffer.split(b"\n\n")
        for event in events:
            _record_event(event.decode(), received)
            if on_event is not None:
                on_event(received)


def _record_event(event: str, received: Streamed) -> None:
    for line in event.split("\n"):
        name, _, value = line.partition(": ")
        if name == "id":
            received.ids.append(value)
        elif name == "data" and value == "[DONE]":
            received.done = True
        elif name == "data":
            data = json.loads(value)
            received.error = data.get("error") or received.error
            for choice in data.get("choices", []):
                received.text += choice["delta"].get("content", "")


class Background:
    """Runs a function in a thread; `result` waits for its return value."""

    def __init__(self, action: Callable[..., Any], *args, **kwargs):
        self._value: Any = None
        self._error: BaseException | None = None

        def run() -> None:
            try:
                self._value = action(*args, **kwargs)
            except BaseException as exc:
                self._error = exc

        self._thread = threading.Thread(target=run, daemon=True)
        self._thread.start()

    def result(self, timeout_s: float = 120.0) -> Any:
        """Returns the value, or raises the exception of the function."""
        self._thread.join(timeout_s)
        if self._thread.is_alive():
            raise TimeoutError("the background call did not finish in time")
        if self._error is not None:
            raise self._error
        return self._value
