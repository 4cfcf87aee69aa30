"""Demo of the whole system: starts it, sends requests of every class, stops it.

With --serve, keeps the system running and prints its addresses and keys.
"""

import dataclasses
import signal
import sys
import tempfile
import time

import openai

from jasminerelay import cli
from standins.launcher import (
    OPERATOR_TOKEN,
    Daemon,
    Options,
    System,
    call,
)

OPTIONS = Options(
    examples=("moreton-bay.toml", "teixeira.toml"),
    max_engines=2,
    max_services=1,
)
ROUNDS = 2
POLL_S = 0.2


@dataclasses.dataclass(frozen=True)
class Sample:
    """A model request of one service class."""

    class_name: str
    key: str
    model: str
    request_type: str
    prompt: str


MODEL_SAMPLES = (
    Sample(
        "confirmation", "moreton-key-01", "helper", "confirm", "Slot? [len=8]"
    ),
    Sample(
        "classifier",
        "moreton-key-02",
        "helper",
        "classify",
        "Is a fridge allowed? [len=2]",
    ),
    Sample("chat", "moreton-key-03", "helper", "chat", "When? [len=20]"),
    Sample("run-sheet", "moreton-key-01", "drafter", "", "Elm Street [len=80]"),
    Sample(
        "filing-check", "teixeira-key-01", "drafting", "check", "File? [len=6]"
    ),
    Sample("notice", "teixeira-key-02", "drafting", "notice", "New [len=30]"),
    Sample("study", "teixeira-key-03", "drafting", "study", "Band [len=90]"),
)


@dataclasses.dataclass(frozen=True)
class ServiceSample:
    """A call to a plain service."""

    class_name: str
    key: str
    method: str
    path: str
    idempotency_key: str = ""


SERVICE_SAMPLES = (
    ServiceSample("lookup", "moreton-key-04", "GET", "bookings/slots"),
    ServiceSample(
        "confirmation",
        "moreton-key-04",
        "POST",
        "bookings/slots/confirm",
        "couch-1",
    ),
    ServiceSample("filing-check", "teixeira-key-05", "GET", "portal/filings"),
    ServiceSample(
        "submission",
        "teixeira-key-05",
        "POST",
        "portal/dossiers/submit",
        "dossier-1",
    ),
)


def main() -> int:
    """Runs the demo; returns the exit status."""
    print("starting stand-ins and daemons ...", flush=True)
    with System(OPTIONS) as system:
        print(f"{len(system.daemons)} daemons are ready", flush=True)
        if "--serve" in sys.argv[1:]:
            return _serve(system)
        failures = _send_all(system)
        _show_burn(system)
        return _stop(system, failures)


def _send_all(system: System) -> int:
    failures = 0
    for number in range(ROUNDS):
        daemon = system.daemons[number % len(system.daemons)]
        for sample in MODEL_SAMPLES:
            for stream in (False, True):
                failures += not _send_model(daemon, sample, stream=stream)
        for sample in SERVICE_SAMPLES:
            failures += not _send_service(daemon, sample)
    return failures


def _send_model(daemon: Daemon, sample: Sample, *, stream: bool) -> bool:
    client = openai.OpenAI(base_url=daemon.url + "/v1", api_key=sample.key)
    headers = {"x-request-type": sample.request_type}
    reply = client.chat.completions.create(
        model=sample.model,
        messages=[{"role": "user", "content": sample.prompt}],
        stream=stream,
        extra_headers=headers if sample.request_type else None,
    )
    if stream:
        parts = [
            chunk.choices[0].delta.content or ""
            for chunk in reply
            if chunk.choices
        ]
        text = "".join(parts)
    else:
        text = reply.choices[0].message.content
    kind = "stream" if stream else "whole"
    print(f"{daemon.name} {sample.class_name:13} {kind:6} {text[:48]}")
    sys.stdout.flush()
    return bool(text)


def _send_service(daemon: Daemon, sample: ServiceSample) -> bool:
    headers = {}
    if sample.idempotency_key:
        headers["idempotency-key"] = sample.idempotency_key
    status, body = call(
        sample.method,
        f"{daemon.url}/services/{sample.path}",
        {"sample": True} if sample.method == "POST" else None,
        token=sample.key,
        headers=headers,
    )
    print(f"{daemon.name} {sample.class_name:13} call   {status} {body}")
    return status == 200


def _show_burn(system: System) -> None:
    relay = f"http://{system.daemons[0].operators}"
    with tempfile.NamedTemporaryFile(
        prefix="burn-", suffix=".html", delete=False
    ) as page:
        pass
    print("\nerror budget burn by class:", flush=True)
    cli.main(
        [
            "burn",
            f"--relay={relay}",
            f"--token={OPERATOR_TOKEN}",
            f"--html={page.name}",
        ]
    )
    print(f"HTML report: {page.name}\n")


def _stop(system: System, failures: int) -> int:
    for daemon in system.daemons:
        daemon.terminate()
    statuses = [daemon.wait() for daemon in system.daemons]
    print(f"daemons stopped with {statuses}; {failures} requests failed")
    return 0 if statuses == [0] * len(statuses) and not failures else 1


def _serve(system: System) -> int:
    first = system.daemons[0]
    for daemon in system.daemons:
        print(f"{daemon.name}: callers {daemon.url}")
        print(f"  operators http://{daemon.operators}")
    print(f"operators' token: {OPERATOR_TOKEN}")
    print("keys: moreton-key-01 .. 10, teixeira-key-01 .. 10")
    print(
        f"curl -N {first.url}/v1/chat/completions"
        " -H 'Authorization: Bearer moreton-key-01'"
        ' -d \'{"model": "helper", "stream": true, "messages":'
        ' [{"role": "user", "content": "Is a couch allowed?"}]}\''
    )
    print("stop with Ctrl-C", flush=True)
    received_signals: list[int] = []
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(
            number,
            lambda signal_number, _: received_signals.append(signal_number),
        )
    while not received_signals:
        time.sleep(POLL_S)
    return _stop(system, 0)


if __name__ == "__main__":
    sys.exit(main())
