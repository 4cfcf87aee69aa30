"""Decodes the operator's configuration and the rows of backend servers."""

import ipaddress
import math
import re
from typing import Annotated, Literal

import msgspec

from jasminerelay import foreignbytes
from jasminerelay.addresses import split_address
from jasminerelay.catalog import (
    BackendServer,
    Catalog,
    Engine,
    KeyHolder,
    RepeatPolicy,
    RequestLimits,
    Route,
    Scaling,
    Service,
    ServiceShare,
)
from jasminerelay.errors import ForeignDataError
from jasminerelay.statednumbers import MAX_WHOLE, Amount, Count, Number, Whole

MS_PER_S = 1000.0
MBPS = 1e6
DRAINING = "draining"
MAX_SLOTS = 1_000_000
"""Highest number of slots that a server's row may state."""

MIN_CALLER_IDLE_S = 2.0
CALLER_IDLE_OBJECTIVES = 4
CALLER_IDLE_PAUSES = 8
"""Callers close a stream that sends nothing for the longest of these: the
minimum, the multiple of the route's latency objective, and the multiple of its
longest allowed pause between events."""

_SERVER_ID = re.compile(rf"[!-~]{{1,{foreignbytes.MAX_NAME_BYTES}}}")
STREAMING = "streaming"
IDEMPOTENT = "idempotent"


class DocumentError(ForeignDataError):
    """A configuration or server row is malformed."""


class _Share(msgspec.Struct):
    # Name of a service.
    service: str = msgspec.field(name="backend")
    weight: Amount = 0.0


class _Route(msgspec.Struct):
    name: str
    host: str = msgspec.field(name="hostname")
    prefix: str
    kind: str = msgspec.field(name="routeType")
    timeout_ms: Amount = msgspec.field(name="timeoutMs")
    objective_ms: Amount = msgspec.field(name="targetLatencyMs", default=1000)
    # A rank, despite its outer name: 0 is served first.
    rank: Whole = msgspec.field(name="priorityClass", default=0)
    service: str = msgspec.field(name="backend", default="")
    split: list[_Share] = msgspec.field(
        name="trafficSplit", default_factory=list
    )
    # Number of servers that may run a request, not of attempts to send it.
    max_servers: Whole = msgspec.field(name="maxAttempts", default=1)
    anonymous: bool = False
    # Whether requests describe a prompt. Despite the outer name, requests
    # need not stay at one server.
    model: bool = msgspec.field(name="sessionAffinity", default=False)
    resume: bool = msgspec.field(name="streamResume", default=False)
    # Longest allowed pause between events, not a target for the mean.
    pause_ms: Amount = msgspec.field(name="gapTargetMs", default=0)


class _Runtime(msgspec.Struct):
    slots: Count = msgspec.field(name="slotCount", default=1)
    cache_tokens: Count = msgspec.field(name="kvCapacity", default=0)
    token_bytes: Amount = msgspec.field(name="kvTokenBytes", default=0)
    backups: bool = False
    moves: bool = msgspec.field(name="migrations", default=False)
    # Bandwidth of the link between two servers of the service.
    link_mbps: Amount = msgspec.field(name="bandwidthMbps", default=0.0)
    # Tokens per event.
    event_tokens: Count = msgspec.field(name="stride", default=1)


class _Scaling(msgspec.Struct):
    # Servers in each availability zone, not replicas in total.
    min_per_zone: Whole = msgspec.field(name="minReplicas")
    max_per_zone: Whole = msgspec.field(name="maxReplicas")
    boot_s: Amount = msgspec.field(name="bootTimeS", default=0.0)
    # Fraction of the regular price, not an absolute price.
    preemptible_price: Amount | None = msgspec.field(
        name="spotPrice", default=None
    )
    zone_prices: dict[str, Amount] = msgspec.field(
        name="zonePrices", default_factory=dict
    )


class _Service(msgspec.Struct):
    name: str
    max_connections: Count = msgspec.field(name="maxConnections", default=64)
    runtime: _Runtime | None = None
    # Bounds within which the instances order servers; the platform does not
    # scale by itself.
    scaling: _Scaling | None = msgspec.field(name="autoscale", default=None)


class _Limits(msgspec.Struct):
    body_bytes: Count = msgspec.field(name="maxBodyBytes", default=1 << 22)
    head_bytes: Count = msgspec.field(name="maxHeaderBytes", default=1 << 16)
    head_ms: Amount = msgspec.field(name="headerTimeoutMs", default=10_000)
    # Time limit between requests on a connection, and for a pause in a body.
    idle_ms: Amount = msgspec.field(name="idleTimeoutMs", default=60_000)


class _Organisation(msgspec.Struct):
    name: str
    keys: list[str] = msgspec.field(name="apiKeys", default_factory=list)
    rank: Whole | None = msgspec.field(name="priorityClass", default=None)


class _Configuration(msgspec.Struct):
    version: Count
    routes: list[_Route]
    # Their servers are listed in the servers' table.
    services: list[_Service] = msgspec.field(
        name="backends", default_factory=list
    )
    limits: _Limits = msgspec.field(default_factory=_Limits)
    organisations: list[_Organisation] | None = msgspec.field(
        name="tenants", default=None
    )


class _Server(msgspec.Struct):
    service: str = msgspec.field(name="backend")
    address: str
    zone: str
    slots: Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)] = msgspec.field(
        name="slotCount"
    )
    phase: Literal["ready", "draining"]
    software_version: str = msgspec.field(name="version")
    # Not used. Required, since a row without these fields was not written by
    # a server.
    cold_ms: Number = msgspec.field(name="coldRemainingMs")
    order_count: Count = msgspec.field(name="callSeq")
    # Start time by the server's own clock, in Unix milliseconds. Distinguishes
    # a restarted server from its predecessor, since both may have the same id.
    born: Annotated[int, msgspec.Meta(ge=1, le=MAX_WHOLE)] = 0
    preemptible: bool = False


_read_configuration = foreignbytes.json_reader(_Configuration)
_read_server = foreignbytes.json_reader(_Server)


def catalog(data: bytes) -> Catalog:
    """Decodes a configuration.

    Raises:
        DocumentError: if it is malformed.
    """
    try:
        raw = _read_configuration(data)
    except ForeignDataError as exc:
        raise DocumentError(f"configuration: {exc.message}") from exc
    holders = {
        key: KeyHolder(item.name, item.rank)
        for item in raw.organisations or ()
        for key in item.keys
    }
    return Catalog(
        raw.version,
        tuple(_route(item) for item in raw.routes),
        {item.name: _service(item) for item in raw.services},
        holders,
        raw.organisations is not None,
        RequestLimits(
            raw.limits.body_bytes,
            raw.limits.head_bytes,
            raw.limits.head_ms / MS_PER_S,
            raw.limits.idle_ms / MS_PER_S,
        ),
    )


def server(key: str, data: bytes) -> BackendServer:
    """Decodes a server's row, whose key is the server's id.

    Programs other than the servers may write to the table, so the row is not
    trusted.

    Raises:
        DocumentError: if the row is malformed or a field is invalid.
    """
    if not _SERVER_ID.fullmatch(key):
        raise DocumentError(
            f"server {foreignbytes.shown(key)!r}: id has characters invalid"
            f" in a header, or more than {foreignbytes.MAX_NAME_BYTES}"
        )
    try:
        raw = _read_server(data)
    except ForeignDataError as exc:
        raise DocumentError(f"server {key}: {exc.message}") from exc
    _check_names(key, raw)
    _check_address(key, raw.address)
    if raw.slots < 1:
        raise DocumentError(
            f"server {key}: slotCount is {raw.slots}, must be 1 or more"
        )
    return BackendServer(
        key,
        raw.service,
        raw.address,
        raw.zone,
        raw.slots,
        raw.phase == DRAINING,
        raw.born,
        raw.preemptible,
        raw.software_version,
    )


def _check_names(key: str, raw: _Server) -> None:
    """Checks what goes into log lines, fields and datagrams."""
    for what, name in (
        ("service", raw.service),
        ("zone", raw.zone),
        ("version", raw.software_version),
    ):
        try:
            foreignbytes.check_name(what, name)
        except ForeignDataError as exc:
            raise DocumentError(f"server {key}: {exc.message}") from exc


def _check_address(key: str, address: str) -> None:
    try:
        host, port = split_address(address)
        ipaddress.IPv4Address(host)
    except ValueError as exc:
        raise DocumentError(
            f"server {key}: address: {foreignbytes.shown(exc)}"
        ) from exc
    if not port:
        raise DocumentError(f"server {key}: port 0 is out of range")


def _route(raw: _Route) -> Route:
    streaming = raw.kind == STREAMING
    if streaming:
        repeat = RepeatPolicy.RESUMABLE if raw.resume else RepeatPolicy.ONCE
    else:
        repeat = (
            RepeatPolicy.IDEMPOTENT
            if raw.kind == IDEMPOTENT
            else RepeatPolicy.ONCE
        )
    shares = [ServiceShare(item.service, item.weight) for item in raw.split]
    if raw.service:
        shares = [ServiceShare(raw.service, 1.0)]
    return Route(
        raw.name,
        raw.host.lower(),
        raw.prefix,
        repeat,
        streaming,
        raw.timeout_ms / MS_PER_S,
        raw.objective_ms / MS_PER_S,
        raw.pause_ms / MS_PER_S,
        raw.rank,
        tuple(shares),
        max(1, raw.max_servers),
        raw.anonymous,
        raw.model,
        _caller_idle_timeout_s(raw) if streaming else math.inf,
    )


def _caller_idle_timeout_s(raw: _Route) -> float:
    """Returns the time without an event after which callers close a stream."""
    return max(
        MIN_CALLER_IDLE_S,
        CALLER_IDLE_OBJECTIVES * raw.objective_ms / MS_PER_S,
        CALLER_IDLE_PAUSES * raw.pause_ms / MS_PER_S,
    )


def _service(raw: _Service) -> Service:
    engine = None
    if raw.runtime is not None:
        engine = Engine(
            raw.runtime.slots,
            raw.runtime.cache_tokens,
            math.ceil(raw.runtime.token_bytes),
            raw.runtime.backups,
            raw.runtime.event_tokens,
            raw.runtime.moves,
            raw.runtime.link_mbps * MBPS,
        )
    return Service(raw.name, raw.max_connections, engine, _scaling(raw.scaling))


def _scaling(raw: _Scaling | None) -> Scaling | None:
    if raw is None:
        return None
    # The platform may send 0 if it offers no preemptible servers.
    price = raw.preemptible_price or None
    min_per_zone = max(0, raw.min_per_zone)
    return Scaling(
        min_per_zone,
        max(min_per_zone, raw.max_per_zone),
        raw.boot_s,
        price,
        raw.zone_prices,
    )
