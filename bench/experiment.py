"""Runs one coordination version of the router in one scenario."""

import asyncio
import dataclasses
import random
import statistics
import threading
import time
import tomllib

from bench.load import LoadGenerator, RequestResult
from bench.mix import USERS, Burst, PlannedRequest, User, plan_requests
from standins.launcher import (
    ROOT,
    Options,
    System,
    cpu_seconds,
    resident_bytes,
)

SLOTS = 4
STEP_MS = 30.0
STEP_PER_STREAM_MS = 1.0
DAEMONS = 6
ENGINE = (
    "--step-ms",
    str(STEP_MS),
    "--step-per-stream-ms",
    str(STEP_PER_STREAM_MS),
    "--prefill-ms-per-token",
    "0.05",
)
VERSIONS = ("naive", "slices", "broker")


@dataclasses.dataclass(frozen=True)
class Scenario:
    """Load and fault of a run.

    Attributes:
        name: Name of the scenario.
        load: Offered tokens relative to capacity, without bursts.
        burst: Additional load from the burst class, relative to capacity.
        organisation: Organisation that the burst comes from; 0 for all.
        event: Fault or operation half-way through the run; "" for none.
        load_report_lag_s: Age of the engines' load reports.
        retries_refused: Whether callers retry refused requests with the ticket
            that came with the refusal.
    """

    name: str
    load: float
    burst: float = 0.0
    organisation: int = 0
    event: str = ""
    load_report_lag_s: float = 0.5
    retries_refused: bool = False


SCENARIOS = {
    item.name: item
    for item in (
        Scenario("calm", 0.6),
        Scenario("overload", 1.25),
        Scenario("burst", 0.7, burst=0.8),
        Scenario("organisation", 0.6, burst=0.8, organisation=4),
        Scenario("straggler", 0.7, event="straggler"),
        Scenario("engine-crash", 0.7, event="engine-crash"),
        Scenario("stale", 0.9, load_report_lag_s=3.0),
        Scenario("instance-killed", 0.7, event="instance-killed"),
        Scenario("store-down", 0.7, event="store-down"),
        Scenario("broker-frozen", 0.7, event="broker-frozen"),
        Scenario("drain-burst", 0.7, burst=0.6, event="drain"),
        Scenario("returns", 0.9, burst=0.5, retries_refused=True),
    )
}


@dataclasses.dataclass(frozen=True)
class Outcome:
    """Figures of one run.

    Attributes:
        attainment: Fraction of requests that met the latency target, by
            class; refused and failed requests count as missed.
        served: Fraction of requests with a complete and correct answer, by
            class.
        goodput: Tokens of complete and correct answers, a second.
        wasted_share: Computed tokens that were not part of such an answer, as
            a fraction of all computed tokens.
        wrong: Answers that ended normally with a wrong text; must be 0.
        lost: Requests without an answer, as the last connection failed.
        tries: Mean number of times that a request was sent.
        resumes: Requests that were sent again after a connection failure.
        others: Attainment of the burst class for the organisations without a
            burst; None unless one organisation causes the burst.
        cpu: Mean processor seconds a second of a daemon.
        memory: Resident bytes of the daemon that uses most.
        control_bytes: Mean gossip bytes a second sent by a daemon.
        control_frames: Mean permit frames a second sent and received by a
            daemon.
        gap_p95_s: 95th percentile of the time between tokens.
    """

    attainment: dict[str, float]
    served: dict[str, float]
    goodput: float
    wasted_share: float
    wrong: int
    lost: int
    tries: float
    resumes: int
    others: float | None
    cpu: float
    memory: float
    control_bytes: float
    control_frames: float
    gap_p95_s: float


def capacity_tokens_per_s(user: User) -> float:
    """Returns the tokens a second of all engines with every slot in use."""
    example = tomllib.loads((ROOT / "examples" / user.example).read_text())
    servers = len(example["pools"][0]["servers"])
    step_s = (STEP_MS + STEP_PER_STREAM_MS * SLOTS) / 1000
    return servers * SLOTS / step_s


def class_targets(user: User) -> dict[str, tuple[str, float]]:
    """Returns the latency measure and the target in seconds of each class."""
    example = tomllib.loads((ROOT / "examples" / user.example).read_text())
    return {
        item["name"]: (item.get("measure", "first_token"), item["target_s"])
        for item in example["classes"]
    }


def run(
    user_name: str,
    scenario: Scenario,
    version: str,
    seed: int,
    seconds: float,
    settings: dict | None = None,
) -> Outcome:
    """Runs a scenario once.

    Args:
        user_name: Name of the user whose manifest and mix are used.
        scenario: Load and fault.
        version: Value of the setting `coordination`.
        seed: Seed of the schedule and of the choice of instances.
        seconds: Length of the schedule.
        settings: More settings of the daemons.
    """
    user = USERS[user_name]
    rng = random.Random(f"{user_name}/{scenario.name}/{seed}")
    bursts = ()
    if scenario.burst:
        bursts = (
            Burst(
                user.burst_class,
                scenario.burst * capacity_tokens_per_s(user),
                0.25,
                0.65,
                scenario.organisation,
            ),
        )
    schedule = plan_requests(
        user, scenario.load * capacity_tokens_per_s(user), seconds, bursts, rng
    )
    options = Options(
        examples=(user.example,),
        daemons=DAEMONS,
        max_services=1,
        engine=ENGINE,
        settings={
            "": {"coordination": version},
            **(settings or {}),
        },
        manifest=(
            ("slots = 8", f"slots = {SLOTS}"),
            ("target_s = 600.0", "target_s = 12.0"),
            ("target_s = 900.0", "target_s = 12.0"),
        ),
    )
    with System(options) as system:
        return _run_on_system(system, user, scenario, schedule, seed, seconds)


def _run_on_system(
    system: System,
    user: User,
    scenario: Scenario,
    schedule: list[PlannedRequest],
    seed: int,
    seconds: float,
) -> Outcome:
    engines = [name for name in system.processes if _is_engine(system, name)]
    for name in engines:
        system.fault(name, load_lag_s=scenario.load_report_lag_s)
    cpu = {daemon.name: cpu_seconds(daemon) for daemon in system.daemons}
    tokens_of_killed: list[int] = []
    timer = threading.Timer(
        seconds / 2,
        _inject_event,
        (system, scenario, engines, tokens_of_killed),
    )
    timer.start()
    started = time.monotonic()
    urls = [daemon.url for daemon in system.daemons]
    generator = LoadGenerator(
        user, urls, seed, retries_refused=scenario.retries_refused
    )
    results = asyncio.run(generator.run(schedule, 1.0))
    elapsed = time.monotonic() - started
    timer.join()
    time.sleep(0.5)
    computed = sum(tokens_of_killed) + sum(
        item["tokens"]
        for name in engines
        if system.processes[name].popen.poll() is None
        for item in system.journal(name, "attempts")
    )
    alive = [d for d in system.daemons if d.popen.poll() is None]
    cpu_s = [cpu_seconds(d) - cpu[d.name] for d in alive]
    counters = [system.status(daemon)["counters"] for daemon in alive]
    return Outcome(
        **_request_figures(results, user, scenario, elapsed, computed),
        cpu=statistics.mean(cpu_s) / elapsed,
        memory=max(resident_bytes(daemon) for daemon in alive),
        control_bytes=_mean(counters, "gossip.bytes_out") / elapsed,
        control_frames=(
            _mean(counters, "link.frames_out")
            + _mean(counters, "link.frames_in")
        )
        / elapsed,
    )


def _request_figures(
    results: list[RequestResult],
    user: User,
    scenario: Scenario,
    elapsed: float,
    computed: int,
) -> dict:
    targets = class_targets(user)
    by_class: dict[str, list[RequestResult]] = {}
    for item in results:
        by_class.setdefault(item.planned.kind.class_name, []).append(item)
    useful = sum(item.planned.tokens for item in results if item.whole)
    others = None
    if scenario.organisation:
        others = _fraction(
            _met_target(item, targets)
            for item in by_class[user.burst_class]
            if item.planned.organisation != scenario.organisation
        )
    gaps = sorted(gap for item in results for gap in item.gaps)
    return {
        "attainment": {
            name: _fraction(_met_target(item, targets) for item in items)
            for name, items in by_class.items()
        },
        "served": {
            name: _fraction(item.whole for item in items)
            for name, items in by_class.items()
        },
        "goodput": useful / elapsed,
        "wasted_share": max(0, computed - useful) / max(1, computed),
        "wrong": sum(item.wrong for item in results),
        "lost": sum(item.status == 0 for item in results),
        "tries": statistics.mean(item.tries for item in results),
        "resumes": sum(item.resumes > 0 for item in results),
        "others": others,
        "gap_p95_s": gaps[int(len(gaps) * 0.95)] if gaps else 0.0,
    }


def _met_target(
    result: RequestResult, targets: dict[str, tuple[str, float]]
) -> bool:
    measure, target_s = targets[result.planned.kind.class_name]
    if not result.whole:
        return False
    latency = result.first_s if measure == "first_token" else result.answer_s
    return latency <= target_s


def _fraction(flags) -> float:
    flags = list(flags)
    return sum(flags) / len(flags) if flags else 1.0


def _mean(counters: list[dict[str, int]], name: str) -> float:
    return statistics.mean(item.get(name, 0) for item in counters)


def _is_engine(system: System, name: str) -> bool:
    return "standins.engine" in system.processes[name].popen.args


def _inject_event(
    system: System,
    scenario: Scenario,
    engines: list[str],
    tokens_of_killed: list[int],
) -> None:
    """Causes the fault or operation of the scenario."""
    match scenario.event:
        case "straggler":
            system.fault(engines[0], slow_factor=5.0)
        case "engine-crash":
            for item in system.journal(engines[0], "attempts"):
                tokens_of_killed.append(item["tokens"])
            system.processes[engines[0]].kill()
        case "instance-killed":
            system.daemons[-1].kill()
        case "store-down":
            for name in ("table", "objects", "instances"):
                system.fault(name, down=True)
        case "broker-frozen":
            broker = _find_broker(system)
            broker.pause()
            time.sleep(2.0)
            broker.unpause()
        case "drain":
            system.daemons[-1].terminate()


def _find_broker(system: System):
    for daemon in system.daemons:
        if system.status(daemon)["cells"]:
            return daemon
    return system.daemons[0]
