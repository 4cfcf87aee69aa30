"""Decodes the operator's configuration and the servers' rows."""

import math

import msgspec

from jasminerelay.catalog import (
    BackendServer,
    Bounds,
    Catalog,
    Engine,
    Holder,
    Repeat,
    Route,
    Service,
    Share,
)

MS = 1000.0
DRAINING = "draining"
STREAMING = "streaming"
IDEMPOTENT = "idempotent"


class DocumentError(ValueError):
    """A document of the platform cannot be read."""


class _Share(msgspec.Struct):
    # Name of a service.
    service: str = msgspec.field(name="backend")
    weight: float = 0.0


class _Route(msgspec.Struct):
    name: str
    host: str = msgspec.field(name="hostname")
    prefix: str
    kind: str = msgspec.field(name="routeType")
    timeout_ms: float = msgspec.field(name="timeoutMs")
    objective_ms: float = msgspec.field(name="targetLatencyMs", default=1000)
    # Despite its name a rank: 0 goes first.
    rank: int = msgspec.field(name="priorityClass", default=0)
    service: str = msgspec.field(name="backend", default="")
    split: list[_Share] = msgspec.field(
        name="trafficSplit", default_factory=list
    )
    # Servers that may run one request, not tries.
    max_servers: int = msgspec.field(name="maxAttempts", default=1)
    anonymous: bool = False
    # Says that requests bring a prompt; nothing has to stay at one server.
    model: bool = msgspec.field(name="sessionAffinity", default=False)
    resume: bool = msgspec.field(name="streamResume", default=False)
    # Longest pause between events, not a target for the mean.
    pause_ms: float = msgspec.field(name="gapTargetMs", default=0)


class _Runtime(msgspec.Struct):
    slots: int = msgspec.field(name="slotCount", default=1)
    cache_tokens: int = msgspec.field(name="kvCapacity", default=0)
    token_bytes: float = msgspec.field(name="kvTokenBytes", default=0)
    backups: bool = False
    # Tokens in one event.
    event_tokens: int = msgspec.field(name="stride", default=1)


class _Service(msgspec.Struct):
    name: str
    max_connections: int = msgspec.field(name="maxConnections", default=64)
    runtime: _Runtime | None = None


class _Limits(msgspec.Struct):
    body_bytes: int = msgspec.field(name="maxBodyBytes", default=1 << 22)
    head_bytes: int = msgspec.field(name="maxHeaderBytes", default=1 << 16)
    head_ms: float = msgspec.field(name="headerTimeoutMs", default=10_000)
    # Between requests of a connection, and inside a body.
    idle_ms: float = msgspec.field(name="idleTimeoutMs", default=60_000)


class _Organisation(msgspec.Struct):
    name: str
    keys: list[str] = msgspec.field(name="apiKeys", default_factory=list)
    rank: int | None = msgspec.field(name="priorityClass", default=None)


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route]
    # The services; their servers stand in the servers' table.
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
    zone: str = ""
    slots: int = msgspec.field(name="slotCount", default=1)
    phase: str = "ready"


def catalog(data: bytes) -> Catalog:
    """Decodes a configuration.

    Raises:
        DocumentError: if it cannot be read.
    """
    try:
        raw = msgspec.json.decode(data, type=_Configuration)
    except msgspec.MsgspecError as exc:
        raise DocumentError(f"configuration: {exc}") from exc
    holders = {
        key: Holder(item.name, item.rank)
        for item in raw.organisations or ()
        for key in item.keys
    }
    return Catalog(
        raw.version,
        tuple(_route(item) for item in raw.routes),
        {item.name: _service(item) for item in raw.services},
        holders,
        raw.organisations is not None,
        Bounds(
            raw.limits.body_bytes,
            raw.limits.head_bytes,
            raw.limits.head_ms / MS,
            raw.limits.idle_ms / MS,
        ),
    )


def server(key: str, data: bytes) -> BackendServer:
    """Decodes a server's row; its key is the server's id.

    Raises:
        DocumentError: if it cannot be read.
    """
    try:
        raw = msgspec.json.decode(data, type=_Server)
    except msgspec.MsgspecError as exc:
        raise DocumentError(f"server {key}: {exc}") from exc
    return BackendServer(
        key,
        raw.service,
        raw.address,
        raw.zone,
        raw.slots,
        raw.phase == DRAINING,
    )


def _route(raw: _Route) -> Route:
    streaming = raw.kind == STREAMING
    if streaming:
        repeat = Repeat.RESUMABLE if raw.resume else Repeat.ONCE
    else:
        repeat = Repeat.IDEMPOTENT if raw.kind == IDEMPOTENT else Repeat.ONCE
    shares = [Share(item.service, item.weight) for item in raw.split]
    if raw.service:
        shares = [Share(raw.service, 1.0)]
    return Route(
        raw.name,
        raw.host.lower(),
        raw.prefix,
        repeat,
        streaming,
        raw.timeout_ms / MS,
        raw.objective_ms / MS,
        raw.pause_ms / MS,
        raw.rank,
        tuple(shares),
        max(1, raw.max_servers),
        raw.anonymous,
        raw.model,
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
        )
    return Service(raw.name, raw.max_connections, engine)
