"""Starts and stops a complete system whose parts run as separate processes.

Used by the demo, the tests and the benchmarks. The kernel allocates the ports.
Only processes that were started here are ended, by their process id.
"""

import dataclasses
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from typing import Any

import httpcore

ROOT = pathlib.Path(__file__).parent.parent
OPERATOR_TOKEN = "operator-token-of-the-demo"
PEER_SECRET = "peer-secret-of-the-demo"
RESUME_SECRET = "resume-secret-of-the-demo"
START_TIMEOUT_S = 60.0
START_ATTEMPTS = 3
STOP_TIMEOUT_S = 60.0


@dataclasses.dataclass
class Process:
    """A child process that listens on a port.

    Attributes:
        name: Name within the system.
        address: IP:port that it listens on.
        popen: Process handle.
        log: File with its output.
    """

    name: str
    address: str
    popen: subprocess.Popen
    log: pathlib.Path

    @property
    def url(self) -> str:
        """Base URL."""
        return f"http://{self.address}"

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        self.popen.kill()
        self.popen.wait()

    def pause(self) -> None:
        """Suspends the process by SIGSTOP."""
        self.popen.send_signal(signal.SIGSTOP)

    def unpause(self) -> None:
        """Resumes the process by SIGCONT."""
        self.popen.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Requests a graceful shutdown by SIGTERM."""
        self.popen.send_signal(signal.SIGTERM)

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Waits until the process ends; returns its exit status."""
        return self.popen.wait(timeout_s)


@dataclasses.dataclass
class Daemon(Process):
    """A router process.

    Attributes:
        operators: IP:port for operators.
        peers: IP:port for other instances.
        settings: Path of its settings file.
    """

    operators: str = ""
    peers: str = ""
    settings: pathlib.Path = pathlib.Path()


@dataclasses.dataclass(frozen=True)
class Options:
    """Composition of a system.

    Attributes:
        examples: Manifests whose pools and services are started.
        daemons: Number of daemons.
        engine: Additional arguments of the engines.
        table: Additional arguments of the table service.
        service: Additional arguments of the plain services.
        max_engines: Maximum number of engines per pool.
        max_services: Maximum number of servers per service.
        settings: Additional settings of the daemons, by section.
        manifest: Replacements in the manifest text: pattern, replacement.
        list_lag_s: Delay after which the instance list shows a change.
    """

    examples: tuple[str, ...] = ("moreton-bay.toml",)
    daemons: int = 3
    engine: tuple[str, ...] = ()
    table: tuple[str, ...] = ()
    service: tuple[str, ...] = ()
    max_engines: int = 99
    max_services: int = 99
    settings: dict[str, dict[str, Any]] = dataclasses.field(
        default_factory=dict
    )
    manifest: tuple[tuple[str, str], ...] = ()
    list_lag_s: float = 0.0


class StartError(Exception):
    """A process exited at its start, usually because its port was taken."""


class System:
    """All processes of one system; a context manager.

    Attributes:
        options: Composition of the system.
        processes: Stand-ins by name.
        daemons: Daemons in the order of their start.
        manifest: Manifest that the daemons got at the start.
    """

    def __init__(self, options: Options):
        self.options = options
        self.processes: dict[str, Process] = {}
        self.daemons: list[Daemon] = []
        self.manifest = ""
        self._dir = tempfile.TemporaryDirectory(prefix="jasminerelay-")
        self._path = pathlib.Path(self._dir.name)

    def __enter__(self) -> "System":
        # On SIGTERM, exits through __exit__, so that the child processes end.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *exc_info) -> None:
        self.stop()

    def start(self) -> None:
        """Starts every process and applies the manifest.

        Between the check that a port is free and the bind, an outgoing
        connection may take the port. Then the whole system is started again.
        """
        for _ in range(START_ATTEMPTS):
            try:
                self._start()
                return
            except StartError:
                self._kill_all()
        self._start()

    def _start(self) -> None:
        options = self.options
        self._start_standin("table", "table", *options.table)
        self._start_standin("objects", "objects")
        self._start_standin(
            "instances", "instances", "--lag-s", str(options.list_lag_s)
        )
        self._start_standin("weights", "weights")
        self.manifest = self._start_backends()
        for process in self.processes.values():
            self._wait_until_answering(process, "/faults", "POST")
        for index in range(options.daemons):
            self.start_daemon(index)
        for daemon in self.daemons:
            self._wait_until_answering(daemon, "/healthz", "GET")
        if self.daemons and self.manifest:
            self.apply(self.manifest)
            for daemon in self.daemons:
                wait_for(lambda d=daemon: is_ready(d))

    def stop(self) -> None:
        """Kills every process and removes the files."""
        self._kill_all()
        self._dir.cleanup()

    def _kill_all(self) -> None:
        started = (*self.daemons, *self.processes.values())
        for process in started:
            if process.popen.poll() is None:
                process.popen.kill()
        for process in started:
            process.popen.wait()
        self.daemons.clear()
        self.processes.clear()

    def _wait_until_answering(
        self, process: Process, path: str, method: str
    ) -> None:
        def ready() -> bool:
            if process.popen.poll() is not None:
                raise StartError(process.log.read_text()[-500:])
            return answers(process.url + path, method)

        wait_for(ready)

    def start_daemon(self, index: int) -> Daemon:
        """Starts a daemon and adds it to the instance list."""
        name = f"relay-{index + 1}"
        addresses = [free_address() for _ in range(3)]
        path = self._path / f"{name}.toml"
        path.write_text(self.settings_text(name, index, addresses))
        command = [sys.executable, "-m", "jasminerelay.launch", str(path)]
        popen, log = self._spawn(name, command)
        daemon = Daemon(
            name, addresses[0], popen, log, addresses[1], addresses[2], path
        )
        self.daemons.append(daemon)
        record = {
            "instance": name,
            "incarnation": "",
            "zone": f"zone-{'abc'[index % 3]}",
            "callers": daemon.address,
            "operators": daemon.operators,
            "peers": daemon.peers,
            "state": "alive",
            "beat": 0,
        }
        url = self.processes["instances"].url + "/v1/instances"
        call("PUT", url, record)
        return daemon

    def settings_text(self, name: str, index: int, addresses: list[str]) -> str:
        """Returns the text of a daemon's settings file."""
        sections: dict[str, dict[str, Any]] = {
            "": {
                "instance": name,
                "zone": f"zone-{'abc'[index % 3]}",
                "fatal_invariants": True,
            },
            "listen": dict(
                zip(("callers", "operators", "peers"), addresses, strict=True)
            ),
            "platform": {
                key: self.processes[key].url
                for key in ("table", "objects", "instances")
            },
            "keys": {
                "operator_token": OPERATOR_TOKEN,
                "peer_secret": PEER_SECRET,
                "resume_secret": RESUME_SECRET,
            },
            "timing": {"entry_ttl_s": 1.0},
        }
        for section, values in self.options.settings.items():
            sections.setdefault(section, {}).update(values)
        lines = []
        for section, values in sections.items():
            if section:
                lines.append(f"[{section}]")
            lines += [f"{key} = {json.dumps(v)}" for key, v in values.items()]
        return "\n".join(lines) + "\n"

    def apply(
        self, text: str, daemon: Daemon | None = None, over: int | None = None
    ) -> dict[str, Any]:
        """Applies a manifest through a daemon.

        Args:
            text: The manifest.
            daemon: Daemon to use; the first one if left out.
            over: Manifest version that it replaces; any if left out.
        """
        daemon = daemon or self.daemons[0]
        headers = {} if over is None else {"if-match": str(over)}
        status, body = call(
            "POST",
            f"http://{daemon.operators}/v1/manifest",
            text,
            token=OPERATOR_TOKEN,
            headers=headers,
        )
        if status != 200:
            raise RuntimeError(f"apply: {status}: {body}")
        return body

    def status(self, daemon: Daemon) -> dict[str, Any]:
        """Returns a daemon's status from its operators' interface."""
        url = f"http://{daemon.operators}/v1/status"
        return call("GET", url, token=OPERATOR_TOKEN)[1]

    def fault(self, name: str, **fields: Any) -> None:
        """Sets faults of a stand-in."""
        status, body = call(
            "POST", self.processes[name].url + "/faults", fields
        )
        if status != 200:
            raise RuntimeError(f"faults of {name}: {body}")

    def restart(self, name: str) -> Process:
        """Restarts a stand-in that was killed, on the same address."""
        old = self.processes[name]
        popen, log = self._spawn(name, old.popen.args)
        self.processes[name] = Process(name, old.address, popen, log)
        wait_for(lambda: answers(old.url + "/faults", "POST"))
        return self.processes[name]

    def journal(self, prefix: str, field: str) -> list[dict[str, Any]]:
        """Returns the journals of all running stand-ins with a name prefix."""
        entries = []
        for name, process in self.processes.items():
            if name.startswith(prefix) and process.popen.poll() is None:
                entries += call("GET", process.url + "/journal")[1][field]
        return entries

    def logs(self) -> list[pathlib.Path]:
        """Returns the log files of all daemons, including those that ended."""
        return sorted(self._path.glob("relay-*.log"))

    def _start_backends(self) -> str:
        texts = []
        for example in self.options.examples:
            text = (ROOT / "examples" / example).read_text()
            for pattern, replacement in self.options.manifest:
                text = re.sub(pattern, replacement, text)
            texts.append(self._start_servers(text))
        return merge_manifests(texts)

    def _start_servers(self, text: str) -> str:
        parsed = tomllib.loads(text)
        for pool in parsed.get("pools", []):
            for server in pool["servers"][: self.options.max_engines]:
                fencing_flag = ["--checks-fencing"] * server.get(
                    "checks_fencing", False
                )
                process = self._start_standin(
                    server["name"],
                    "engine",
                    "--models",
                    ",".join(pool["models"]),
                    "--slots",
                    str(server["slots"]),
                    "--weights",
                    self.processes["weights"].url,
                    *fencing_flag,
                    *self.options.engine,
                )
                text = text.replace(server["address"], process.address)
            text = _remove_servers(
                text, pool["servers"][self.options.max_engines :]
            )
        for service in parsed.get("services", []):
            for server in service["servers"][: self.options.max_services]:
                dedup_flag = ["--deduplicates"] * server.get(
                    "deduplicates", False
                )
                process = self._start_standin(
                    server["name"],
                    "service",
                    "--name",
                    server["name"],
                    *dedup_flag,
                    *self.options.service,
                )
                text = text.replace(server["address"], process.address)
            excess = service["servers"][self.options.max_services :]
            text = _remove_servers(text, excess)
        return text

    def _start_standin(
        self, name: str, module: str, *arguments: str
    ) -> Process:
        address = free_address()
        command = [
            sys.executable,
            "-m",
            f"standins.{module}",
            "--address",
            address,
            *arguments,
        ]
        popen, log = self._spawn(name, command)
        process = Process(name, address, popen, log)
        self.processes[name] = process
        return process

    def _spawn(
        self, name: str, command: list[str]
    ) -> tuple[subprocess.Popen, pathlib.Path]:
        log = self._path / f"{name}.log"
        with log.open("ab") as output:
            popen = subprocess.Popen(
                command, cwd=ROOT, stdout=output, stderr=output
            )
        return popen, log


def merge_manifests(texts: list[str]) -> str:
    """Merges several manifests into one."""
    split_texts = [text.split("[[", 1) for text in texts]
    note = 'note = "' + " and ".join(
        re.search(r'note = "(.*)"', head)[1] for head, _ in split_texts
    )
    return note + '"\n\n' + "\n".join("[[" + tail for _, tail in split_texts)


def call(
    method: str,
    url: str,
    body: Any = None,
    *,
    token: str = "",
    headers: dict[str, str] | None = None,
    timeout_s: float = 10.0,
) -> tuple[int, Any]:
    """Sends a request; returns the status and the body, decoded if JSON."""
    content = b""
    if body is not None:
        content = body if isinstance(body, str) else json.dumps(body)
        content = content.encode()
    request_headers = {"content-length": str(len(content)), **(headers or {})}
    if token:
        request_headers["authorization"] = f"Bearer {token}"
    timeout = dict.fromkeys(("connect", "read", "write", "pool"), timeout_s)
    response = httpcore.request(
        method,
        url,
        headers=request_headers,
        content=content,
        extensions={"timeout": timeout},
    )
    text = response.content.decode()
    kind = dict(response.headers).get(b"content-type", b"")
    is_json = kind.startswith(b"application/json")
    return response.status, json.loads(text) if is_json else text


def answers(url: str, method: str = "GET") -> bool:
    """Returns whether a URL answers, with any status."""
    try:
        call(method, url, timeout_s=1.0)
    except _CONNECTION_ERRORS:
        return False
    return True


def is_ready(daemon: Daemon) -> bool:
    """Returns whether a daemon is ready for requests."""
    try:
        return call("GET", daemon.url + "/readyz")[0] == 200
    except _CONNECTION_ERRORS:
        return False


def wait_for(condition, timeout_s: float = START_TIMEOUT_S) -> None:
    """Polls a condition until it holds.

    Raises:
        TimeoutError: if it does not hold within the timeout.
    """
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError("condition was not met in time")
        time.sleep(0.02)


_CONNECTION_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)
_PORTS = range(12_000, 32_000)
"""Ports of servers, below those that the kernel gives outgoing connections."""

_HOSTS = tuple(f"127.0.0.{number}" for number in (1, *range(11, 27)))
"""Addresses of the launched processes, and of the instances of a small site."""

_allocated_ports: set[int] = set()


def free_address() -> str:
    """Returns a loopback address whose port is free for TCP and UDP.

    Until a server listens there, other processes could be given a port of the
    range from which the kernel serves outgoing connections.
    """
    while True:
        port = random.SystemRandom().choice(_PORTS)
        if port in _allocated_ports:
            continue
        if not all(_is_free(host, port) for host in _HOSTS):
            continue
        _allocated_ports.add(port)
        return f"127.0.0.1:{port}"


def own_address() -> str:
    """Returns a free address on a loopback host of this process alone.

    No other process is given it while nothing listens there.
    """
    pid = os.getpid()
    host = f"127.{1 + (pid >> 16) % 250}.{pid >> 8 & 255}.{pid & 255}"
    return f"{host}:{free_address().rpartition(':')[2]}"


def _is_free(host: str, port: int) -> bool:
    with (
        socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp,
    ):
        try:
            tcp.bind((host, port))
            udp.bind((host, port))
        except OSError:
            return False
    return True


def _remove_servers(text: str, servers: list[dict[str, Any]]) -> str:
    """Removes servers from a manifest's text."""
    for server in servers:
        pattern = (
            r"\[\[\w+\.servers\]\]\nname = \""
            + re.escape(server["name"])
            + r"\"\n(?:\w.*\n)*\n"
        )
        text = re.sub(pattern, "", text)
    return text


def cpu_seconds(process: Process) -> float:
    """Returns the CPU time that a process has used, in seconds."""
    stat = pathlib.Path(f"/proc/{process.popen.pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


def resident_bytes(process: Process) -> int:
    """Returns the resident memory of a process, in bytes."""
    statm = pathlib.Path(f"/proc/{process.popen.pid}/statm").read_text()
    return int(statm.split()[1]) * os.sysconf("SC_PAGE_SIZE")
