"""Starts a whole system as separate processes and ends it again.

For the demo, the tests and the benchmarks. Ports come from the kernel; only
processes that were started here are ended, by their id.
"""

import dataclasses
import json
import os
import pathlib
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
START_TRIES = 3
STOP_TIMEOUT_S = 60.0


@dataclasses.dataclass
class Process:
    """A process that was started here.

    Attributes:
        name: Name within the system.
        address: IP:port that it listens on.
        popen: Handle of the process.
        log: File that holds its output.
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
        """Ends it at once."""
        self.popen.kill()
        self.popen.wait()

    def freeze(self) -> None:
        """Stops it from running until it is thawed."""
        self.popen.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Lets it run again."""
        self.popen.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Asks it for a planned stop."""
        self.popen.send_signal(signal.SIGTERM)

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Waits for its end; returns the exit status."""
        return self.popen.wait(timeout_s)


@dataclasses.dataclass
class Daemon(Process):
    """A daemon.

    Attributes:
        operators: IP:port of the operators' port.
        peers: IP:port towards other instances.
        settings: Path of its settings.
    """

    operators: str = ""
    peers: str = ""
    settings: pathlib.Path = pathlib.Path()


@dataclasses.dataclass(frozen=True)
class Options:
    """What a system is made of.

    Attributes:
        examples: Manifests whose pools and services are started.
        daemons: Number of daemons.
        engine: More arguments of the engines.
        table: More arguments of the table service.
        service: More arguments of the plain services.
        max_engines: Most engines started for a pool.
        max_services: Most servers started for a service.
        settings: More settings of the daemons, by section.
        manifest: Replacements in the manifest's text, pattern to text.
        list_lag_s: Lag of the instance list.
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


class PortTakenError(Exception):
    """A process ended at its start."""


class System:
    """All processes of one system; use as a context manager."""

    def __init__(self, options: Options):
        self.options = options
        self.processes: dict[str, Process] = {}
        self.daemons: list[Daemon] = []
        self.manifest = ""
        self._dir = tempfile.TemporaryDirectory(prefix="jasminerelay-")
        self._path = pathlib.Path(self._dir.name)

    def __enter__(self) -> "System":
        # Whoever ends the launcher ends its processes, too.
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

        A port that the kernel said was free may be taken before its process
        binds it, by any outgoing connection; then all start again.
        """
        for _ in range(START_TRIES):
            try:
                self._start()
                return
            except PortTakenError:
                self._end_all()
        self._start()

    def _start(self) -> None:
        options = self.options
        self._standin("table", "table", *options.table)
        self._standin("objects", "objects")
        self._standin(
            "instances", "instances", "--lag-s", str(options.list_lag_s)
        )
        self._standin("weights", "weights")
        self.manifest = self._start_backends()
        for process in self.processes.values():
            self._await(process, "/faults", "POST")
        for index in range(options.daemons):
            self.start_daemon(index)
        for daemon in self.daemons:
            self._await(daemon, "/healthz", "GET")
        if self.daemons and self.manifest:
            self.apply(self.manifest)
            for daemon in self.daemons:
                wait_for(lambda d=daemon: is_ready(d))

    def stop(self) -> None:
        """Ends every process."""
        self._end_all()
        self._dir.cleanup()

    def _end_all(self) -> None:
        started = (*self.daemons, *self.processes.values())
        for process in started:
            if process.popen.poll() is None:
                process.popen.kill()
        for process in started:
            process.popen.wait()
        self.daemons.clear()
        self.processes.clear()

    def _await(self, process: Process, path: str, method: str) -> None:
        def ready() -> bool:
            if process.popen.poll() is not None:
                raise PortTakenError(process.log.read_text()[-500:])
            return answers(process.url + path, method)

        wait_for(ready)

    def start_daemon(self, index: int) -> Daemon:
        """Starts a daemon and tells the instance list of it."""
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
        """Returns the settings of a daemon."""
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
        """Applies a manifest through a daemon."""
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
        """Returns the state of a daemon as operators see it."""
        url = f"http://{daemon.operators}/v1/status"
        return call("GET", url, token=OPERATOR_TOKEN)[1]

    def fault(self, name: str, **fields: Any) -> None:
        """Tells a stand-in to have faults."""
        status, body = call(
            "POST", self.processes[name].url + "/faults", fields
        )
        if status != 200:
            raise RuntimeError(f"faults of {name}: {body}")

    def restart(self, name: str) -> Process:
        """Starts a stand-in again that was killed, on the same address."""
        old = self.processes[name]
        popen, log = self._spawn(name, old.popen.args)
        self.processes[name] = Process(name, old.address, popen, log)
        wait_for(lambda: answers(old.url + "/faults", "POST"))
        return self.processes[name]

    def journal(self, prefix: str, field: str) -> list[dict[str, Any]]:
        """Returns the journals of all stand-ins whose name has a prefix."""
        entries = []
        for name, process in self.processes.items():
            if name.startswith(prefix) and process.popen.poll() is None:
                entries += call("GET", process.url + "/journal")[1][field]
        return entries

    def logs(self) -> list[pathlib.Path]:
        """Returns the logs of all daemons, also of those that ended."""
        return sorted(self._path.glob("relay-*.log"))

    def _start_backends(self) -> str:
        texts = []
        for example in self.options.examples:
            text = (ROOT / "examples" / example).read_text()
            for pattern, replacement in self.options.manifest:
                text = re.sub(pattern, replacement, text)
            texts.append(self._start_group(text))
        return merge_manifests(texts)

    def _start_group(self, text: str) -> str:
        parsed = tomllib.loads(text)
        for pool in parsed.get("pools", []):
            for server in pool["servers"][: self.options.max_engines]:
                fencing = ["--checks-fencing"] * server.get(
                    "checks_fencing", False
                )
                process = self._standin(
                    server["name"],
                    "engine",
                    "--models",
                    ",".join(pool["models"]),
                    "--slots",
                    str(server["slots"]),
                    "--weights",
                    self.processes["weights"].url,
                    *fencing,
                    *self.options.engine,
                )
                text = text.replace(server["address"], process.address)
            text = _without(text, pool["servers"][self.options.max_engines :])
        for service in parsed.get("services", []):
            for server in service["servers"][: self.options.max_services]:
                dedupe = ["--deduplicates"] * server.get("deduplicates", False)
                process = self._standin(
                    server["name"],
                    "service",
                    "--name",
                    server["name"],
                    *dedupe,
                    *self.options.service,
                )
                text = text.replace(server["address"], process.address)
            spare = service["servers"][self.options.max_services :]
            text = _without(text, spare)
        return text

    def _standin(self, name: str, module: str, *arguments: str) -> Process:
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
    """Puts the manifests of several users together to one."""
    heads = [text.split("[[", 1) for text in texts]
    note = 'note = "' + " and ".join(
        re.search(r'note = "(.*)"', head)[1] for head, _ in heads
    )
    return note + '"\n\n' + "\n".join("[[" + tail for _, tail in heads)


def call(
    method: str,
    url: str,
    body: Any = None,
    *,
    token: str = "",
    headers: dict[str, str] | None = None,
    timeout_s: float = 10.0,
) -> tuple[int, Any]:
    """Makes one call; returns the status and the decoded JSON body."""
    content = b""
    if body is not None:
        content = body if isinstance(body, str) else json.dumps(body)
        content = content.encode()
    sent = {"content-length": str(len(content)), **(headers or {})}
    if token:
        sent["authorization"] = f"Bearer {token}"
    timeout = dict.fromkeys(("connect", "read", "write", "pool"), timeout_s)
    response = httpcore.request(
        method,
        url,
        headers=sent,
        content=content,
        extensions={"timeout": timeout},
    )
    text = response.content.decode()
    kind = dict(response.headers).get(b"content-type", b"")
    is_json = kind.startswith(b"application/json")
    return response.status, json.loads(text) if is_json else text


def answers(url: str, method: str = "GET") -> bool:
    """Returns whether a process answers at all."""
    try:
        call(method, url, timeout_s=1.0)
    except _NO_ANSWER:
        return False
    return True


def is_ready(daemon: Daemon) -> bool:
    """Returns whether a daemon takes callers."""
    try:
        return call("GET", daemon.url + "/readyz")[0] == 200
    except _NO_ANSWER:
        return False


def wait_for(condition, timeout_s: float = START_TIMEOUT_S) -> None:
    """Waits for an event that is sure to come.

    Raises:
        TimeoutError: if it does not.
    """
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError("the awaited event did not come")
        time.sleep(0.02)


_NO_ANSWER = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)
_given: set[int] = set()


def free_address() -> str:
    """Returns a loopback address whose port the kernel says is free."""
    while True:
        with (
            socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp,
        ):
            tcp.bind(("127.0.0.1", 0))
            port = tcp.getsockname()[1]
            try:
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in _given:
            _given.add(port)
            return f"127.0.0.1:{port}"


def _without(text: str, servers: list[dict[str, Any]]) -> str:
    """Takes servers out of a manifest's text."""
    for server in servers:
        pattern = (
            r"\[\[\w+\.servers\]\]\nname = \""
            + re.escape(server["name"])
            + r"\"\n(?:\w.*\n)*\n"
        )
        text = re.sub(pattern, "", text)
    return text


def cpu_seconds(process: Process) -> float:
    """Returns the processor time that a process has used, in seconds."""
    stat = pathlib.Path(f"/proc/{process.popen.pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


def resident_bytes(process: Process) -> int:
    """Returns the memory that a process holds, in bytes."""
    statm = pathlib.Path(f"/proc/{process.popen.pid}/statm").read_text()
    return int(statm.split()[1]) * os.sysconf("SC_PAGE_SIZE")
