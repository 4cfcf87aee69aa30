"""Reads the settings file that the platform lays out for each process."""

import dataclasses
import pathlib

import msgspec
from result import Err, Ok, Result

from jasminerelay import checking, settings
from jasminerelay.errors import Problem

USAGE_DUTY = "usage_report"
SERVERS_DUTY = "autoscaler"
KNOWN_DUTIES = (USAGE_DUTY, SERVERS_DUTY)
MS = 1e3


class _Listen(msgspec.Struct):
    front: str
    readiness: str
    registry: str


class _Bounds(msgspec.Struct):
    # Time between SIGTERM and SIGKILL.
    grace_s: float = msgspec.field(name="graceS", default=8)
    retry_ratio: float = msgspec.field(name="retryBudgetRatio", default=0.2)
    retry_window_s: float = msgspec.field(name="budgetWindowS", default=10)
    retry_allowance: float = msgspec.field(name="retryAllowance", default=10)
    # Longest time that callers may keep an entry list.
    ttl_max_s: float = 5
    # Within it no other instance may act between two acts of one.
    lease_ms: float = msgspec.field(name="leaseMs", default=3000)
    usage_window_s: float = msgspec.field(name="windowS", default=5)
    # After a window's end.
    usage_late_s: float = msgspec.field(name="usageLateS", default=10)


class _Platform(msgspec.Struct):
    address: str


class _DutyCalls(msgspec.Struct):
    address: str
    # Names of the duties; others than those known here are nobody's.
    duties: list[str] | None = None
    # Of all instances together.
    calls_per_s: float = msgspec.field(name="dutyPerS", default=1)


class _BootFile(msgspec.Struct):
    name: str = msgspec.field(name="nodeName")
    ip: str
    zone: str
    region: str
    # First and last port that are free for traffic between instances.
    ports: tuple[int, int] = msgspec.field(name="internalPortRange")
    listen: _Listen = msgspec.field(name="listenAddrs")
    platform: _Platform
    duty_calls: _DutyCalls | None = msgspec.field(name="cloudApi", default=None)
    # True only as the whole system starts for the first time.
    bootstrap: bool = False
    # Addresses of a few instances, which may be stale.
    seeds: list[str] = msgspec.field(name="seedNodes", default_factory=list)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)


@dataclasses.dataclass(frozen=True)
class DutyCalls:
    """Calls to the platform that one instance at a time makes.

    Attributes:
        address: IP:port that takes them.
        usage: Whether usage is to be reported.
        servers: Whether servers may be ordered.
        calls_s: Calls a second that all instances together may make.
        lease_s: Time within which no two instances may act in turns.
        window_s: Length of a window of usage.
        late_s: Time after a window's end at which its report is due.
    """

    address: str
    usage: bool
    servers: bool
    calls_s: float
    lease_s: float
    window_s: float
    late_s: float


@dataclasses.dataclass(frozen=True)
class Boot:
    """What a process learns at its start.

    Attributes:
        name: Name of the instance.
        ip: Its address.
        zone: Its availability zone.
        region: Its region.
        callers: IP:port for callers.
        readiness: IP:port where the platform asks for readiness.
        entries: IP:port where callers ask which address to use.
        peers: IP:port for traffic between instances.
        seeds: Peers' addresses that may be stale.
        store: IP:port of the platform's store.
        grace_s: Time from SIGTERM to SIGKILL.
        entry_ttl_s: Longest time that callers keep an entry list.
        retry_ratio: Repeats allowed per request, over all instances.
        retry_allowance: Repeats allowed beside that.
        retry_window_s: Span over which both are counted.
        duty_calls: What one instance at a time does; None if nothing.
        first_start: Whether nothing of the whole system ran before.
    """

    name: str
    ip: str
    zone: str
    region: str
    callers: str
    readiness: str
    entries: str
    peers: str
    seeds: tuple[str, ...]
    store: str
    grace_s: float
    entry_ttl_s: float
    retry_ratio: float
    retry_allowance: float
    retry_window_s: float
    duty_calls: DutyCalls | None = None
    first_start: bool = False


def parse(text: str, source: str) -> Result[Boot, list[Problem]]:
    """Returns the settings, or the faults of the text.

    Fields that are not known here are ignored: the platform adds new ones.
    """
    parsed = checking.parse_toml(text, source)
    if isinstance(parsed, Err):
        return parsed
    try:
        raw = msgspec.convert(parsed.ok_value, _BootFile)
    except msgspec.ValidationError as exc:
        return Err([_problem(source, str(exc))])
    duty_calls = [raw.duty_calls.address] if raw.duty_calls else []
    for address in (
        raw.listen.front,
        raw.listen.readiness,
        raw.listen.registry,
        raw.platform.address,
        *duty_calls,
    ):
        try:
            settings.split_address(address)
        except ValueError as exc:
            return Err([_problem(source, f"{address}: {exc}")])
    problems = _check_duties(raw, source)
    return Err(problems) if problems else Ok(_boot(raw))


def _check_duties(raw: _BootFile, source: str) -> list[Problem]:
    """Returns the faults of what the duties go by, where there are any."""
    if raw.duty_calls is None:
        return []
    bounds = raw.bounds
    values = {
        "cloudApi.dutyPerS": raw.duty_calls.calls_per_s,
        "bounds.leaseMs": bounds.lease_ms,
        "bounds.windowS": bounds.usage_window_s,
        "bounds.usageLateS": bounds.usage_late_s,
    }
    return [
        Problem(
            source,
            key,
            str(value),
            "a number above 0",
            "mend the field; without cloudApi no duties are done",
        )
        for key, value in values.items()
        if not value > 0
    ]


def load(path: pathlib.Path) -> Result[Boot, list[Problem]]:
    """Reads and checks the settings file."""
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as exc:
        return Err([_problem(str(path), str(exc))])
    return parse(text, str(path))


def _problem(source: str, found: str) -> Problem:
    return Problem(
        source,
        "(platform settings)",
        found,
        "the fields that docs/PLATFORM.md lists",
        "mend the file, or the path in JASMINERELAY_BOOT",
    )


def _boot(raw: _BootFile) -> Boot:
    port = raw.ports[0]
    seeds = [f"{seed.rpartition(':')[0]}:{port}" for seed in raw.seeds]
    own = f"{raw.ip}:{port}"
    return Boot(
        raw.name,
        raw.ip,
        raw.zone,
        raw.region,
        raw.listen.front,
        raw.listen.readiness,
        raw.listen.registry,
        own,
        tuple(seed for seed in seeds if seed != own),
        raw.platform.address,
        raw.bounds.grace_s,
        raw.bounds.ttl_max_s,
        raw.bounds.retry_ratio,
        raw.bounds.retry_allowance,
        raw.bounds.retry_window_s,
        _duty_calls(raw),
        raw.bootstrap,
    )


def _duty_calls(raw: _BootFile) -> DutyCalls | None:
    calls = raw.duty_calls
    if calls is None:
        return None
    # Where no duties are named, both are wanted.
    named = KNOWN_DUTIES if calls.duties is None else calls.duties
    return DutyCalls(
        calls.address,
        USAGE_DUTY in named,
        SERVERS_DUTY in named,
        calls.calls_per_s,
        raw.bounds.lease_ms / MS,
        raw.bounds.usage_window_s,
        raw.bounds.usage_late_s,
    )
