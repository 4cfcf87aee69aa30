"""Long randomised fault-injection run under load.

Usage: python -m tests.soak [--seconds S] [--seed N]

The seed determines the faults, their order and the requests, but not the timing
of the processes, so the checks hold at any timing: they compare the answers
that callers got with the journals of the engines and services.
"""

import argparse
import collections
import dataclasses
import random
import sys
import threading
import time
from typing import Any

import httpcore
import xxhash

from jasminerelay.membership import ALIVE
from standins.engine import chat_prompt
from standins.launcher import Daemon, Options, System, call, is_ready, wait_for
from tests.support import KEY, answer_to, chat, stream, text_of

DAEMONS = 4
ENGINES = 3
SERVICES = 2
CALLERS = 12
_CONNECTION_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)
CONFIRM = "/services/bookings/slots/confirm"
OPTIONS = Options(
    daemons=DAEMONS,
    max_engines=ENGINES,
    max_services=SERVICES,
    engine=("--step-ms", "10"),
    manifest=(("slots = 8", "slots = 2"),),
    settings={
        "timing": {
            "probe_interval_s": 0.2,
            "suspect_after_s": 1.0,
            "token_timeout_s": 1.5,
            "first_byte_timeout_s": 3.0,
            "claim_settle_s": 1.0,
        }
    },
)


@dataclasses.dataclass
class ServiceCall:
    """A call that must run at most once, and its answers.

    Attributes:
        key: Idempotency key; "" for a call without one.
        body: Body, unique to the call.
        answers: Status and "ran" of each answer; 0 for a broken connection.
    """

    key: str
    body: str
    answers: list[tuple[int, str]] = dataclasses.field(default_factory=list)


class Soak:
    """One run.

    Attributes:
        violations: Violations found.
        counts: Numbers of faults, answers and other events, by name.
        system: System under test.
    """

    def __init__(self, seed: int, seconds: float):
        self._rng = random.Random(seed)
        self._seconds = seconds
        self._stopped = threading.Event()
        self._lock = threading.Lock()
        self.violations: list[str] = []
        self.counts: collections.Counter[str] = collections.Counter()
        self._service_calls: list[ServiceCall] = []
        self._not_run_prompts: list[str] = []
        self._manifest_versions: dict[str, int] = {}
        self._daemon_count = DAEMONS
        self._busy: set[str] = set()

    def run(self) -> None:
        """Runs load and faults, ends the faults, checks logs and journals."""
        with System(OPTIONS) as self.system:
            threads = [
                threading.Thread(
                    target=self._caller, args=(self._rng.getrandbits(32),)
                )
                for _ in range(CALLERS)
            ]
            threads.append(threading.Thread(target=self._watch_versions))
            for thread in threads:
                thread.start()
            try:
                self._inject_faults()
                self._heal()
            finally:
                self._stopped.set()
                for thread in threads:
                    thread.join()
            self._check_alive()
            self._check_calls()
            self._check_prompts()

    def _inject_faults(self) -> None:
        deadline = time.monotonic() + self._seconds
        while time.monotonic() < deadline:
            fault = self._rng.choice(_FAULTS)
            self.counts[f"fault {fault.__name__.strip('_')}"] += 1
            fault(self)
            self._stopped.wait(self._rng.uniform(0.1, 1.0))

    def _kill_daemon(self) -> None:
        daemon = self._rng.choice(self.system.daemons)
        if len(self.system.daemons) > 2:
            self.system.daemons.remove(daemon)
            daemon.kill()
            self._add_daemon()

    def _stop_daemon(self) -> None:
        if len(self.system.daemons) <= 2:
            return
        daemon = self._rng.choice(self.system.daemons)
        self.system.daemons.remove(daemon)
        daemon.terminate()

        def wait() -> None:
            status = daemon.wait(90.0)
            if status != 0:
                self._record_violation(
                    f"{daemon.name} stopped with {status}:"
                    f" {daemon.log.read_text()[-2000:]}"
                )

        thread = threading.Thread(target=wait)
        thread.start()
        self._add_daemon()
        self._stoppers = [*getattr(self, "_stoppers", []), thread]

    def _add_daemon(self) -> None:
        # start_daemon() writes to the instance list, which must be reachable.
        self._heal_stores()
        self._daemon_count += 1
        self.system.start_daemon(self._daemon_count)

    def _freeze_daemon(self) -> None:
        daemon = self._rng.choice(self.system.daemons)
        daemon.pause()
        self._stopped.wait(self._rng.uniform(0.2, 3.0))
        daemon.unpause()

    def _kill_engine(self) -> None:
        name = self._rng.choice(self._engines())
        self.system.processes[name].kill()
        self._stopped.wait(self._rng.uniform(0.0, 1.0))
        self.system.restart(name)

    def _freeze_engine(self) -> None:
        process = self.system.processes[self._rng.choice(self._engines())]
        process.pause()
        self._stopped.wait(self._rng.uniform(0.2, 2.5))
        process.unpause()

    def _engine_faults(self) -> None:
        name = self._rng.choice(self._engines())
        fields = self._rng.choice(
            (
                {"cut": 5},
                {"cut": 9, "forget": True},
                {"refuse": 3},
                {"slow_factor": 5.0},
                {"load_lag_s": 3.0},
                {"duplicate_frames": True, "crossed_frames": True},
                {"leaving": True},
                {"stall": True},
            )
        )
        self._set_fault(name, **fields)
        self._stopped.wait(self._rng.uniform(0.2, 2.0))
        self._heal_engine(name)

    def _service_faults(self) -> None:
        name = self._rng.choice(self._services())
        fields = self._rng.choice(
            (
                {"refuse": 3},
                {"drop_after": 3},
                {"cut_heads": 6},
                {"slow_s": 0.5},
                {"leaving": True},
            )
        )
        self._set_fault(name, **fields)
        self._stopped.wait(self._rng.uniform(0.1, 1.0))
        self._heal_service(name)

    def _store_faults(self) -> None:
        names = self._rng.sample(("table", "objects", "instances"), 2)
        fields = self._rng.choice(
            ({"down": True}, {"hang": True}, {"slow_s": 0.4}, {"lose_acks": 5})
        )
        for name in names:
            self._set_fault(name, **fields)
        self._stopped.wait(self._rng.uniform(0.2, 3.0))
        self._heal_stores()

    def _race_operators(self) -> None:
        daemons = self._rng.sample(self.system.daemons, 2)
        texts = [
            self.system.manifest + f"\n# {self._rng.getrandbits(40)}\n"
            for _ in daemons
        ]

        def apply(daemon: Daemon, text: str) -> None:
            try:
                self.system.apply(text, daemon)
                self.counts["manifest accepted"] += 1
            except (
                RuntimeError,
                httpcore.NetworkError,
                httpcore.ProtocolError,
            ):
                self.counts["manifest refused"] += 1

        threads = [
            threading.Thread(target=apply, args=pair)
            for pair in zip(daemons, texts, strict=True)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _two_at_once(self) -> None:
        first, second = self._rng.sample(_FAULTS[:-1], 2)
        thread = threading.Thread(target=first, args=(self,))
        thread.start()
        if second is not first:
            second(self)
        thread.join()

    def _heal(self) -> None:
        for name in self._engines():
            if self.system.processes[name].popen.poll() is not None:
                self.system.restart(name)
            self._heal_engine(name)
        for name in self._services():
            self._heal_service(name)
        self._heal_stores()
        for daemon in self.system.daemons:
            daemon.unpause()
            wait_for(lambda d=daemon: is_ready(d) or has_ended(d))
        for thread in getattr(self, "_stoppers", []):
            thread.join()
        for daemon in self.system.daemons:
            wait_for(lambda d=daemon: has_ended(d) or self._is_serving(d))

    def _is_serving(self, daemon: Daemon) -> bool:
        # Daemons that exited unexpectedly are left out here, so that this
        # wait does not time out; _check_alive() reports them.
        living = {d.name for d in self.system.daemons if not has_ended(d)}
        states = [
            member["state"]
            for member in self.system.status(daemon)["members"]
            if member["instance"] in living
        ]
        settled = set(states) == {ALIVE}
        return settled and chat(daemon, "healed [len=3]")[0] == 200

    def _heal_engine(self, name: str) -> None:
        self._set_fault(
            name,
            cut=0,
            forget=False,
            refuse=0,
            slow_factor=1.0,
            load_lag_s=0.0,
            duplicate_frames=False,
            crossed_frames=False,
            leaving=False,
            stall=False,
        )

    def _heal_service(self, name: str) -> None:
        self._set_fault(
            name,
            refuse=0,
            drop_after=0,
            cut_heads=0,
            slow_s=0.0,
            leaving=False,
        )

    def _set_fault(self, name: str, **fields: Any) -> None:
        try:
            self.system.fault(name, **fields)
        except _CONNECTION_ERRORS:
            # Another fault has just killed or suspended it.
            self.counts["fault missed"] += 1

    def _heal_stores(self) -> None:
        for name in ("table", "objects", "instances"):
            self._set_fault(
                name, down=False, hang=False, slow_s=0.0, lose_acks=0
            )

    def _engines(self) -> list[str]:
        return [f"model-{number + 1}" for number in range(ENGINES)]

    def _services(self) -> list[str]:
        return [f"bookings-{number + 1}" for number in range(SERVICES)]

    def _caller(self, seed: int) -> None:
        rng = random.Random(seed)
        while not self._stopped.is_set():
            kind = rng.random()
            try:
                if kind < 0.35:
                    self._send_whole(rng)
                elif kind < 0.7:
                    self._send_stream(rng)
                else:
                    self._send_service_call(rng)
            except _CONNECTION_ERRORS:
                self.counts["no answer"] += 1
            except (ValueError, TypeError) as exc:
                # Every error answer has a JSON body, so a body that can't be
                # decoded means that a handler failed.
                self._record_violation(f"unreadable answer: {exc}")

    def _choose_daemon(self, rng: random.Random) -> Daemon:
        return rng.choice(list(self.system.daemons))

    def _new_prompt(self, rng: random.Random) -> str:
        return f"{rng.getrandbits(60)} [len={rng.randint(1, 60)}]"

    def _send_whole(self, rng: random.Random) -> None:
        prompt = self._new_prompt(rng)
        status, body = chat(self._choose_daemon(rng), prompt)
        self.counts[f"whole {status}"] += 1
        if status == 200 and text_of(body) != answer_to(prompt):
            self._record_violation(f"wrong answer to {prompt!r}: {body}")
        self._record_not_run(status, body, prompt)

    def _send_stream(self, rng: random.Random) -> None:
        prompt = self._new_prompt(rng)
        fields = {"model": rng.choice(("helper", "drafter"))}
        seen = stream(self._choose_daemon(rng), prompt, **fields)
        text = seen.text
        for _ in range(3):
            if not (seen.broken and seen.ids):
                break
            # The instance has ended: resume the stream at another one.
            self.counts["stream resumed by the caller"] += 1
            headers = {"last-event-id": seen.ids[-1]}
            daemon = self._choose_daemon(rng)
            seen = stream(daemon, prompt, KEY, headers, **fields)
            text += seen.text
        self.counts[f"stream {'whole' if seen.whole else seen.status}"] += 1
        expected = answer_to(prompt)
        if seen.whole and text != expected:
            self._record_violation(f"wrong stream for {prompt!r}: {text!r}")
        if not expected.startswith(text):
            self._record_violation(f"wrong tokens for {prompt!r}: {text!r}")
        if seen.status not in (0, 200):
            self._record_not_run(seen.status, {"error": seen.error}, prompt)

    def _record_not_run(self, status: int, body: Any, prompt: str) -> None:
        if status != 200 and body["error"]["ran"] == "no":
            with self._lock:
                self._not_run_prompts.append(prompt)

    def _send_service_call(self, rng: random.Random) -> None:
        key = f"soak-{rng.getrandbits(60)}" if rng.random() < 0.7 else ""
        service_call = ServiceCall(key, f"body {rng.getrandbits(60)}")
        with self._lock:
            self._service_calls.append(service_call)
        for _ in range(1 + 3 * bool(key)):
            answer = self._send_call_once(
                self._choose_daemon(rng), service_call
            )
            service_call.answers.append(answer)
            self.counts[f"call {answer[0]} ran {answer[1]}"] += 1
            if answer[0] == 200:
                break
            time.sleep(rng.uniform(0.0, 0.5))

    def _send_call_once(
        self, daemon: Daemon, service_call: ServiceCall
    ) -> tuple[int, str]:
        headers = (
            {"idempotency-key": service_call.key} if service_call.key else {}
        )
        try:
            status, body = call(
                "POST",
                daemon.url + CONFIRM,
                service_call.body,
                token=KEY,
                headers=headers,
                timeout_s=30.0,
            )
        except _CONNECTION_ERRORS:
            return 0, "unknown"
        if status == 200:
            if body["body"] != service_call.body:
                self._record_violation(
                    f"got the answer to another call: {body}"
                )
            return 200, "yes"
        return status, body["error"]["ran"]

    def _watch_versions(self) -> None:
        while not self._stopped.is_set():
            for daemon in list(self.system.daemons):
                try:
                    status = self.system.status(daemon)
                except _CONNECTION_ERRORS:
                    continue
                version = status["manifest"]["version"]
                if version < self._manifest_versions.get(daemon.name, 0):
                    self._record_violation(
                        f"{daemon.name} reverted to manifest version {version}"
                    )
                self._manifest_versions[daemon.name] = version
            self._stopped.wait(0.2)

    def _check_alive(self) -> None:
        for path in self.system.logs():
            text = path.read_text(errors="replace")
            if "Traceback" in text:
                start = text.index("Traceback")
                self._record_violation(
                    f"{path.name}: {text[start : start + 4000]}"
                )
        for daemon in self.system.daemons:
            status = daemon.popen.poll()
            if status is not None:
                self._record_violation(
                    f"{daemon.name} ended with {status}:"
                    f" {daemon.log.read_text()[-3000:]}"
                )

    def _check_calls(self) -> None:
        journal = self.system.journal("bookings", "runs")
        runs = collections.Counter(item["body"] for item in journal)
        for service_call in self._service_calls:
            count = runs[service_call.body]
            statuses = [status for status, _ in service_call.answers]
            if count > 1:
                self._record_violation(f"ran {count} times: {service_call}")
            if 200 in statuses and count != 1:
                self._record_violation(
                    f"answered 200, but ran {count} times: {service_call}"
                )
            ran_values = {ran for _, ran in service_call.answers}
            if ran_values == {"no"} and count:
                self._record_violation(
                    f"answered not run, but ran: {service_call}"
                )

    def _check_prompts(self) -> None:
        ran = {
            item["prompt"]
            for item in self.system.journal("model", "attempts")
            if item["tokens"]
        }
        for prompt in self._not_run_prompts:
            base = chat_prompt([{"role": "user", "content": prompt}])
            if xxhash.xxh64_hexdigest(base.encode()) in ran:
                self._record_violation(f"answered not run, but ran: {prompt!r}")

    def _record_violation(self, violation: str) -> None:
        with self._lock:
            self.violations.append(violation)


def has_ended(daemon: Daemon) -> bool:
    """Returns whether a daemon's process has ended."""
    return daemon.popen.poll() is not None


_FAULTS = (
    Soak._kill_daemon,
    Soak._stop_daemon,
    Soak._freeze_daemon,
    Soak._kill_engine,
    Soak._freeze_engine,
    Soak._engine_faults,
    Soak._service_faults,
    Soak._store_faults,
    Soak._race_operators,
    Soak._two_at_once,
)


def main() -> int:
    """Runs one seed; returns the exit status."""
    args = argparse.ArgumentParser(description=__doc__)
    args.add_argument("--seconds", type=float, default=60.0)
    args.add_argument("--seed", type=int, default=1)
    options = args.parse_args()
    soak = Soak(options.seed, options.seconds)
    soak.run()
    for name, count in sorted(soak.counts.items()):
        print(f"{count:6} {name}")
    for violation in soak.violations:
        print(f"VIOLATED {violation}")
    print(f"seed {options.seed}: {len(soak.violations)} violations")
    return 1 if soak.violations else 0


if __name__ == "__main__":
    sys.exit(main())
