"""Reads the settings file that the platform writes for each process."""

import dataclasses
import math
import pathlib
from typing import Any

import msgspec
from result import Err, Ok, Result

from jasminerelay import foreignbytes, validation
from jasminerelay.addresses import split_address
from jasminerelay.errors import ConfigProblem, ForeignDataError

USAGE_DUTY = "usage_report"
SERVERS_DUTY = "autoscaler"
KNOWN_DUTIES = (USAGE_DUTY, SERVERS_DUTY)
MS_PER_S = 1e3


class _Listen(msgspec.Struct):
    front: str
    readiness: str
    registry: str


class _Bounds(msgspec.Struct):
    # Time from SIGTERM to SIGKILL.
    grace_s: float = msgspec.field(name="graceS", default=8)
    retry_ratio: float = msgspec.field(name="retryBudgetRatio", default=0.2)
    retry_window_s: float = msgspec.field(name="budgetWindowS", default=10)
    retry_allowance: float = msgspec.field(name="retryAllowance", default=10)
    # Longest time for which callers may cache an entry list.
    ttl_max_s: float = 5
    # Time span within which calls of two instances must not alternate: none of
    # another instance may fall between two of one.
    lease_ms: float = msgspec.field(name="leaseMs", default=3000)
    usage_window_s: float = msgspec.field(name="windowS", default=5)
    # Time after the end of a window at which its report is due.
    usage_late_s: float = msgspec.field(name="usageLateS", default=10)


class _Limits(msgspec.Struct):
    # Memory in MB above which the platform kills the process; any type, so
    # that a faulty one is reported by its name.
    memory_mb: Any = msgspec.field(name="memoryMb", default=None)
    # Open descriptors of the process; any type, as above.
    descriptors: Any = msgspec.field(name="maxFds", default=None)


class _Platform(msgspec.Struct):
    address: str


class _DutyCalls(msgspec.Struct):
    address: str
    # Names of the duties to perform; unknown names are ignored. None stands
    # for all of them.
    duties: list[str] | None = None
    # Limit for all instances together.
    calls_per_s: float = msgspec.field(name="dutyPerS", default=1)


class _BootFile(msgspec.Struct):
    name: str = msgspec.field(name="nodeName")
    ip: str
    zone: str
    region: str
    # First and last port reserved for traffic between instances.
    ports: tuple[int, int] = msgspec.field(name="internalPortRange")
    listen: _Listen = msgspec.field(name="listenAddrs")
    platform: _Platform
    duty_calls: _DutyCalls | None = msgspec.field(name="cloudApi", default=None)
    # True only when the system as a whole starts for the first time.
    bootstrap: bool = False
    # Addresses of some instances, which may be stale.
    seeds: list[str] = msgspec.field(name="seedNodes", default_factory=list)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)


@dataclasses.dataclass(frozen=True)
class DutySettings:
    """Settings of the platform calls that one instance at a time makes.

    Attributes:
        address: IP:port of the platform's API.
        usage: Whether to report usage.
        servers: Whether to order servers.
        calls_s: Calls per second allowed for all instances together.
        lease_s: Time span within which calls of two instances must not
            alternate.
        window_s: Length of a usage window.
        late_s: Time after the end of a window at which its report is due.
    """

    address: str
    usage: bool
    servers: bool
    calls_s: float
    lease_s: float
    window_s: float
    late_s: float


@dataclasses.dataclass(frozen=True)
class BootSettings:
    """Settings of an instance.

    Attributes:
        name: Name of the instance.
        ip: Its address.
        zone: Its availability zone.
        region: Its region.
        callers: IP:port for callers.
        readiness: IP:port of the readiness probe.
        entries: IP:port where callers resolve the instances' addresses.
        peers: IP:port for traffic between instances.
        seeds: Addresses of other instances, which may be stale.
        store: IP:port of the platform's store.
        grace_s: Time from SIGTERM to SIGKILL.
        entry_ttl_s: Longest time for which callers cache an entry list.
        retry_ratio: Retries allowed per request, over all instances.
        retry_allowance: Retries allowed in addition to the ratio.
        retry_window_s: Time window over which requests and retries are
            counted.
        duty_calls: Settings of the duties; None if there are none.
        first_start: Whether the system as a whole starts for the first time.
        memory_mb: Memory limit of the process in MB; None if not known.
        descriptors: Limit of its open descriptors; None if not known.
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
    duty_calls: DutySettings | None = None
    first_start: bool = False
    memory_mb: float | None = None
    descriptors: int | None = None


def parse(text: str, source: str) -> Result[BootSettings, list[ConfigProblem]]:
    """Parses and validates the settings.

    Unknown fields are ignored, since the platform adds new ones.
    """
    parsed = validation.parse_toml(text, source)
    if isinstance(parsed, Err):
        return parsed
    try:
        raw = foreignbytes.convert(parsed.ok_value, _BootFile)
    except ForeignDataError as exc:
        return Err([_problem(source, exc.message)])
    duty_calls = [raw.duty_calls.address] if raw.duty_calls else []
    for address in (
        raw.listen.front,
        raw.listen.readiness,
        raw.listen.registry,
        raw.platform.address,
        *duty_calls,
    ):
        try:
            split_address(address)
        except ValueError as exc:
            return Err([_problem(source, f"{address}: {exc}")])
    problems = _check_duties(raw, source) + _check_limits(raw, source)
    return Err(problems) if problems else Ok(_boot(raw))


def _check_duties(raw: _BootFile, source: str) -> list[ConfigProblem]:
    """Returns the faults of the settings that concern the duties."""
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
        ConfigProblem(
            source,
            key,
            str(value),
            "a number above 0",
            "mend the field; without cloudApi no duties are performed",
        )
        for key, value in values.items()
        if not value > 0
    ]


def _check_limits(raw: _BootFile, source: str) -> list[ConfigProblem]:
    """Returns the faults of the limits of the process."""
    limits = {
        "limits.memoryMb": (
            raw.limits.memory_mb,
            "a number of MB above 0",
            "mend the field, or remove it; without it the bytes that the"
            " instance holds have no bound",
        ),
        "limits.maxFds": (
            raw.limits.descriptors,
            "a number of descriptors above 0",
            "mend the field, or remove it; without it the limit of the process"
            " itself is used",
        ),
    }
    return [
        ConfigProblem(source, key, repr(limit), expected, remedy)
        for key, (limit, expected, remedy) in limits.items()
        if limit is not None and not _is_limit(limit)
    ]


def _is_limit(limit: Any) -> bool:
    is_number = isinstance(limit, int | float) and not isinstance(limit, bool)
    return is_number and 0 < limit < math.inf


def load(path: pathlib.Path) -> Result[BootSettings, list[ConfigProblem]]:
    """Reads and checks the settings file."""
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as exc:
        return Err([_problem(str(path), str(exc))])
    return parse(text, str(path))


def _problem(source: str, found: str) -> ConfigProblem:
    return ConfigProblem(
        source,
        "(platform settings)",
        found,
        "the fields that docs/PLATFORM.md lists",
        "correct the file, or the path in JASMINERELAY_BOOT",
    )


def _boot(raw: _BootFile) -> BootSettings:
    port = raw.ports[0]
    seeds = [f"{seed.rpartition(':')[0]}:{port}" for seed in raw.seeds]
    own = f"{raw.ip}:{port}"
    return BootSettings(
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
        raw.limits.memory_mb,
        None if raw.limits.descriptors is None else int(raw.limits.descriptors),
    )


def _duty_calls(raw: _BootFile) -> DutySettings | None:
    calls = raw.duty_calls
    if calls is None:
        return None
    # All known duties are performed if the settings name none.
    selected = KNOWN_DUTIES if calls.duties is None else calls.duties
    return DutySettings(
        calls.address,
        USAGE_DUTY in selected,
        SERVERS_DUTY in selected,
        calls.calls_per_s,
        raw.bounds.lease_ms / MS_PER_S,
        raw.bounds.usage_window_s,
        raw.bounds.usage_late_s,
    )
