"""A stand-in server of the users' platform in a process of its own.

It can be killed and suspended as the kernel does that. What it writes is in a
journal: a line of JSON for each arrival, run, event and end, written before the
event is sent, so that it survives a kill. Usage: python -m
standins.serverprocess NAME VERSION IP:PORT JOURNAL FAULTS
"""

import dataclasses
import json
import os
import pathlib
import signal
import subprocess
import sys
import time

import anyio

from jasminerelay import ports
from standins.launcher import ROOT
from standins.platformserver import PlatformServer, ServedRequest, ServerFaults
from standins.rawrequests import RecordingProtocol

POLL_S = 0.2
START_S = 20.0


class JournaledServer(PlatformServer):
    """A server that writes down what it does."""

    def __init__(self, name: str, version: str, journal: pathlib.Path):
        super().__init__(name, version)
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        self._file = os.open(journal, flags, 0o600)
        self._numbers: dict[int, int] = {}

    def _write(self, kind: str, *values: object) -> None:
        os.write(self._file, json.dumps([kind, *values]).encode() + b"\n")

    def note_arrival(self, at: float, attempt: str) -> None:
        """Writes down that a request has arrived."""
        super().note_arrival(at, attempt)
        self._write("arrival", at, attempt)

    def note_run(self, ran: ServedRequest) -> None:
        """Writes down that a run begins."""
        super().note_run(ran)
        number = self._numbers[id(ran)] = len(self.journal)
        self._write(
            "run",
            number,
            ran.began_at,
            ran.version,
            ran.attempt,
            ran.headers,
            ran.target,
            ran.body.decode("latin-1"),
        )

    def note_event(self, ran: ServedRequest, tokens: range) -> None:
        """Writes down that an event is sent now."""
        super().note_event(ran, tokens)
        self._write("event", self._numbers[id(ran)], tokens[0], tokens[-1])

    def note_end(self, ran: ServedRequest) -> None:
        """Writes down that a run has stopped, or is moved."""
        number = self._numbers[id(ran)]
        self._write("end", number, ran.stopped_at, ran.ended, ran.moved)


class ServerProcess(PlatformServer):
    """Handle of a server's process; started again, it has the same name.

    Attributes:
        address: IP:port on which it listens.
        popen: Handle of its latest process.
    """

    def __init__(
        self,
        name: str,
        version: str,
        address: str,
        folder: pathlib.Path,
        faults: ServerFaults,
    ):
        """Creates a server that does not run yet.

        Args:
            name: Its name.
            version: Version of its software.
            address: IP:port to listen on.
            folder: Folder for its journals.
            faults: Its faults, from each start on.
        """
        super().__init__(name, version)
        self.address = address
        self.faults = faults
        self.popen: subprocess.Popen | None = None
        self._folder = folder
        self._journals: list[pathlib.Path] = []

    async def start(self) -> None:
        """Starts a process and waits until it listens."""
        self.killed_at = float("inf")
        path = self._folder / f"{self.name}-{len(self._journals)}.journal"
        self._journals.append(path)
        faults = json.dumps(_changed(self.faults))
        program = ["-m", "standins.serverprocess", self.name, self.version]
        with path.with_suffix(".log").open("ab") as out:
            self.popen = subprocess.Popen(
                [sys.executable, *program, self.address, str(path), faults],
                cwd=ROOT,
                stdout=out,
                stderr=subprocess.STDOUT,
            )
        host, _, port = self.address.rpartition(":")
        with anyio.fail_after(START_S):
            while True:
                try:
                    stream = await anyio.connect_tcp(host, int(port))
                except OSError:
                    await anyio.sleep(0.02)
                    continue
                await stream.aclose()
                return

    def suspend(self) -> None:
        """Lets it stand still."""
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Lets it go on."""
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """Kills its process; the kernel ends its connections."""
        if self.popen.poll() is None:
            self.killed_at = time.monotonic()
            self.popen.kill()
            self.popen.wait()

    def read_journals(self) -> None:
        """Reads what all its processes have written down."""
        self.journal.clear()
        self.arrivals.clear()
        for path in self._journals:
            if path.exists():
                self._read(path.read_bytes())

    def _read(self, lines: bytes) -> None:
        runs: dict[int, ServedRequest] = {}
        for line in lines.split(b"\n")[:-1]:
            kind, *values = json.loads(line)
            if kind == "arrival":
                self.arrivals.append((values[0], values[1]))
            elif kind == "run":
                number, began_at, version, attempt, headers, target, body = (
                    values
                )
                runs[number] = ServedRequest(
                    attempt,
                    headers,
                    target,
                    body.encode("latin-1"),
                    began_at=began_at,
                    version=version,
                )
                self.journal.append(runs[number])
            elif kind == "event":
                first, last = values[1:]
                self.note_event(runs[values[0]], range(first, last + 1))
            elif kind == "end":
                ran = runs[values[0]]
                _, ran.stopped_at, ran.ended, ran.moved = values


def _changed(faults: ServerFaults) -> dict[str, object]:
    """Returns the faults that differ from those of a sound server."""
    usual = ServerFaults()
    names = [field.name for field in dataclasses.fields(faults)]
    return {
        name: getattr(faults, name)
        for name in names
        if getattr(faults, name) != getattr(usual, name)
    }


async def _serve(server: PlatformServer, address: str) -> None:
    """Serves until the process that started this one has ended."""
    port = ports.port(
        server, address, date_header=False, http=RecordingProtocol
    )
    parent = os.getppid()
    async with anyio.create_task_group() as group:
        group.start_soon(port.serve)
        while os.getppid() == parent:
            await anyio.sleep(POLL_S)
        group.cancel_scope.cancel()


def main() -> int:
    """Runs the server of the arguments; returns the exit status."""
    name, version, address, journal, faults = sys.argv[1:]
    server = JournaledServer(name, version, pathlib.Path(journal))
    server.faults = ServerFaults(**json.loads(faults))
    anyio.run(_serve, server, address)
    return 0


if __name__ == "__main__":
    sys.exit(main())
