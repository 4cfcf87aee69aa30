"""Requests and instance processes of the randomised run on the platform."""

import dataclasses
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
import tomllib
from collections.abc import Sequence

import anyio

from standins.launcher import ROOT
from standins.servernetwork import Cut
from tests import streamlife

STREAM_EVENTS = 30


@dataclasses.dataclass
class SentRequest:
    """A request of a caller and its answer.

    Attributes:
        attempt: Id of the attempt.
        path: Path.
        body: Body, unique to the request.
        status: Status of the answer; 0 without an answer.
        signature: Server-Signature header field of the answer.
        content: Body of the answer, as far as it was received.
        whole: Whether the answer is complete.
        address: Callers' address of the instance that got it.
        sent_at: Time at which it was sent.
        all_sent_at: Time at which its last byte was sent, where it was noted.
        ended_at: Time at which its answer ended.
        earlier: The request whose stream it takes up.
        asked_after: Id of the event after which its caller asks it to go on,
            if that is not the last one that it has; None otherwise.
        serving: Servers of that stream's version that served at its start.
        leaves_after: Tokens after which its caller disconnects; 0 for never.
        events_due: Number of tokens of its whole stream.
        limit_s: Time limit that its caller states.
        cut_at: Time at which its channel ended without a whole answer.
        gave_up: Whether its caller left since nothing came for too long.
        slow: Whether its caller pauses between reads.
        unnamed: Whether its caller does not name the attempt that it resumes.
    """

    attempt: str
    path: str
    body: bytes
    status: int = 0
    signature: str = ""
    content: bytes = b""
    whole: bool = False
    address: str = ""
    sent_at: float = 0.0
    all_sent_at: float | None = None
    ended_at: float = float("inf")
    earlier: "SentRequest | None" = None
    asked_after: int | None = None
    serving: int = 0
    leaves_after: int = 0
    events_due: int = STREAM_EVENTS
    limit_s: float = 3.0
    cut_at: float = float("inf")
    gave_up: bool = False
    slow: bool = False
    unnamed: bool = False

    @property
    def first(self) -> "SentRequest":
        """The request that brought the first event of its stream."""
        if self.earlier is None or not self.earlier.stream:
            return self
        return self.earlier.first

    @property
    def events(self) -> bytes:
        """The whole events that it brought."""
        return b"".join(self.content.rpartition(b"\n\n")[:2])

    @property
    def stream(self) -> bytes:
        """All events of its stream so far."""
        before = self.earlier.stream if self.earlier is not None else b""
        before = streamlife.up_to(before, self.after)
        if self.status != 200 or not self.path.endswith("/stream"):
            return before
        return before + self.events

    @property
    def after(self) -> int:
        """Id of the event after which it goes on; 0 for a new stream."""
        if self.asked_after is not None:
            return self.asked_after
        return streamlife.last_id(self.earlier.stream) if self.earlier else 0

    @property
    def left(self) -> bool:
        """Whether its caller has disconnected by itself."""
        return 0 < self.leaves_after <= streamlife.last_id(self.stream)

    @property
    def may_be_taken_up(self) -> bool:
        """Whether its caller goes on with a stream that broke off."""
        return (
            self.path.startswith("/chat/")
            and not self.whole
            and 0 < streamlife.last_id(self.stream) < self.events_due
        )

    @property
    def once(self) -> bool:
        """Whether it may run at most once."""
        return self.path.startswith(("/confirm/", "/sheet/"))


@dataclasses.dataclass(frozen=True)
class Disturbance:
    """An unplanned disturbance.

    Attributes:
        since: Time of its begin.
        until: Time of its end.
        subject: Name of the instance or server; "" for all of them.
    """

    since: float
    until: float
    subject: str = ""


class InstanceProcess:
    """An instance, restarted as a new process after each end.

    Attributes:
        path: Path of its settings file.
        log: Path of its log, which all of its processes share.
        networked: Whether it reaches servers through a stand-in network, which
            can be cut, instead of being started as deployed.
        listen: IP:port by purpose.
        zone: Its availability zone.
        ip: Its IP address among the instances.
        popen: Handle of the current process.
        busy: Whether a fault is active on it.
        disturbed_at: Times of signals and starts.
        stops: Times of the first SIGTERM of each process.
        reloads: Times of SIGHUP.
        apart: Times in which it does not reach the store or some instances.
        source: Checkout whose programs it runs, if it is not networked.
    """

    def __init__(
        self,
        path: pathlib.Path,
        networked: bool,
        source: pathlib.Path = ROOT,
    ):
        self.path = path
        self.source = source
        self.networked = networked
        self.log = path.with_suffix(".log")
        settings = tomllib.loads(path.read_text())
        self.listen = settings["listenAddrs"]
        self.zone = settings["zone"]
        self.ip = settings["ip"]
        self.popen: subprocess.Popen | None = None
        self.busy = False
        self.disturbed_at: list[float] = []
        self.stops: list[float] = []
        self.reloads: list[float] = []
        self.apart: list[Disturbance] = []
        self._past_disturbances: list[Disturbance] = []
        self._disturbed_since: dict[str, float] = {}
        self._stopping = False

    def start(self) -> None:
        """Starts a process that appends to the log file."""
        self._stopping = False
        self._end("kill")
        self._end("suspension")
        self.disturbed_at.append(time.monotonic())
        environ = {**os.environ, "JASMINERELAY_BOOT": str(self.path)}
        with self.log.open("ab") as out:
            self.popen = subprocess.Popen(
                [sys.executable, *self._program],
                cwd=ROOT,
                env=environ,
                stdout=out,
                stderr=subprocess.STDOUT,
            )

    @property
    def _program(self) -> list[str]:
        if self.networked:
            return ["-m", "standins.networkedinstance"]
        return [str(self.source / "deploy/instance.py")]

    def cut(self, kind: Cut | None) -> None:
        """Cuts it off from all servers; None ends the cut."""
        file = self.path.with_suffix(".cut")
        if kind is None:
            self._end("cut")
            file.unlink(missing_ok=True)
        else:
            self._begin("cut")
            file.write_text(kind.name)

    def cut_peers(self, hosts: Sequence[str]) -> None:
        """Lets nothing that it sends to some instances arrive there.

        Args:
            hosts: IP addresses of those instances; empty to end the cut.
        """
        file = self.path.with_suffix(".peers")
        written = file.with_suffix(".written")
        written.write_text(json.dumps(list(hosts)))
        written.replace(file)

    def signal(self, number: int) -> None:
        """Sends a signal to the process."""
        self.disturbed_at.append(time.monotonic())
        if number == signal.SIGTERM and not self._stopping:
            self._stopping = True
            self.stops.append(time.monotonic())
        elif number == signal.SIGHUP:
            self.reloads.append(time.monotonic())
        elif number == signal.SIGKILL:
            self._begin("kill")
        elif number == signal.SIGSTOP:
            self._begin("suspension")
        elif number == signal.SIGCONT:
            self._end("suspension")
        self.popen.send_signal(number)

    def _begin(self, kind: str) -> None:
        self._disturbed_since.setdefault(kind, time.monotonic())

    def _end(self, kind: str) -> None:
        since = self._disturbed_since.pop(kind, None)
        if since is not None:
            self._past_disturbances.append(
                Disturbance(since, time.monotonic(), self.path.stem)
            )

    @property
    def disturbances(self) -> list[Disturbance]:
        """Unplanned disturbances: its kills, suspensions and cuts."""
        return self._past_disturbances + [
            Disturbance(since, float("inf"), self.path.stem)
            for since in self._disturbed_since.values()
        ]

    async def ended(self, timeout_s: float) -> int | None:
        """Waits for the end; returns the exit status, None if still running."""
        with anyio.move_on_after(timeout_s):
            while self.popen.poll() is None:
                await anyio.sleep(0.02)
        return self.popen.poll()


def restart_settings(path: pathlib.Path) -> None:
    """Changes an instance's settings to those of a later start."""
    text = path.read_text()
    path.write_text(text.replace("bootstrap = true", "bootstrap = false"))
