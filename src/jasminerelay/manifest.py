"""Parsing, validation and look-ups of the operators' manifest."""

import collections
import dataclasses
import functools
import hashlib
from collections.abc import Iterable

from result import Err, Ok, Result

from jasminerelay import validation
from jasminerelay.addresses import split_address
from jasminerelay.errors import ConfigProblem, ForbiddenError, NotFoundError
from jasminerelay.schema.manifest import (
    Call,
    Manifest,
    Organisation,
    Pool,
    RequestType,
    Server,
    Service,
    ServiceClass,
)

CELL_SIZE = 8
"""Most backend servers in one cell.

The load of a broker grows with the servers and the queued requests of its
cell. Bounded cells keep it within the CPU budget of a daemon at any pool size.
"""


@dataclasses.dataclass(frozen=True)
class Cell:
    """A part of a pool or service for which one broker grants permits.

    Attributes:
        name: Pool or service name and index, such as "chat/0".
        servers: Backend servers that requests may be sent to.
        max_waiting: Maximum number of requests waiting for a permit.
    """

    name: str
    servers: tuple[Server, ...]
    max_waiting: int

    @property
    def slots(self) -> int:
        """Number of requests that the cell's servers can run concurrently."""
        return sum(server.slots for server in self.servers)


def digest_of(body: str) -> str:
    """Returns the SHA-256 of a manifest's text, in hexadecimal."""
    return hashlib.sha256(body.encode()).hexdigest()


def key_digest(key: str) -> str:
    """Returns the SHA-256 of a bearer key, in hexadecimal."""
    return hashlib.sha256(key.encode()).hexdigest()


def parse(text: str, source: str) -> Result["Directory", list[ConfigProblem]]:
    """Parses and validates a manifest; on failure returns all its errors."""
    parsed = validation.parse_toml(text, source)
    if isinstance(parsed, Err):
        return parsed
    raw = parsed.ok_value
    problems = validation.check(raw, "manifest", source)
    manifest = validation.convert(raw, Manifest)
    if manifest is not None:
        problems += _cross_check(manifest, source)
    return Err(problems) if problems else Ok(Directory(manifest))


class Directory:
    """A validated manifest, indexed for the look-ups of request handling."""

    def __init__(self, manifest: Manifest):
        self.manifest = manifest
        self.classes = {item.name: item for item in manifest.classes}
        self.organisations = {
            item.name: item for item in manifest.organisations
        }
        self.services = {item.name: item for item in manifest.services}
        self._by_key = {
            digest: item
            for item in manifest.organisations
            for digest in item.key_digests
        }
        self._class_names = {
            (item.organisation, item.request_type): item.class_name
            for item in manifest.assignments
        }
        self._pool_of = {
            model: pool for pool in manifest.pools for model in pool.models
        }

    @functools.cached_property
    def cells(self) -> dict[str, Cell]:
        """All cells by name, without servers that a rehearsal disables."""
        found = {}
        for group in (*self.manifest.pools, *self.manifest.services):
            for index in range(_cell_count(group)):
                cell = self._cell(group, index)
                found[cell.name] = cell
        return found

    @functools.cached_property
    def servers(self) -> dict[str, Server]:
        """All backend servers by name."""
        return {
            server.name: server
            for group in (*self.manifest.pools, *self.manifest.services)
            for server in group.servers
        }

    def organisation_for_key(self, key: str) -> Organisation | None:
        """Returns the organisation that a bearer key belongs to, if any."""
        return self._by_key.get(key_digest(key))

    def models_for(self, organisation: Organisation) -> list[str]:
        """Returns the names of the models that an organisation may use."""
        return sorted(
            {
                model
                for kind in self.manifest.request_types
                if _allows(kind.organisations, organisation)
                for model in kind.models
            }
        )

    def request_type(
        self, organisation: Organisation, model: str, name: str
    ) -> RequestType:
        """Returns the request type of a request.

        Args:
            organisation: The caller's organisation.
            model: Model given in the request.
            name: Request type given in the request; empty for the model's
                default.

        Raises:
            NotFoundError: if there is no such model or type.
            ForbiddenError: if the organisation may not use it.
        """
        self.pool_of(model)
        kinds = [
            kind for kind in self.manifest.request_types if model in kind.models
        ]
        if name:
            kinds = [kind for kind in kinds if kind.name == name]
            if not kinds:
                raise NotFoundError(
                    f"model {model!r} has no request type {name!r}"
                )
        for kind in kinds:
            if _allows(kind.organisations, organisation):
                return kind
        raise ForbiddenError(
            f"organisation {organisation.name!r} may not use model {model!r}"
        )

    def service_class_of(
        self, organisation: Organisation, kind: RequestType
    ) -> ServiceClass:
        """Returns the service class for an organisation and request type."""
        assigned = self._class_names.get((organisation.name, kind.name))
        return self.classes[assigned or kind.class_name]

    def pool_of(self, model: str) -> Pool:
        """Returns the pool that serves a model.

        Raises:
            NotFoundError: if there is no such model.
        """
        if model not in self._pool_of:
            raise NotFoundError(f"no model {model!r}")
        return self._pool_of[model]

    def service(self, name: str) -> Service:
        """Returns a plain service.

        Raises:
            NotFoundError: if there is no such service.
        """
        if name not in self.services:
            raise NotFoundError(f"no service {name!r}")
        return self.services[name]

    def find_call(
        self, organisation: Organisation, service: str, method: str, path: str
    ) -> tuple[Service, Call]:
        """Returns the service and the declared call that match a request.

        If several path prefixes match, the longest one wins.

        Raises:
            NotFoundError: if no such service or call is declared.
            ForbiddenError: if the organisation may not use it.
        """
        found = self.service(service)
        if not _allows(found.organisations, organisation):
            raise ForbiddenError(
                f"organisation {organisation.name!r} may not use service"
                f" {service!r}"
            )
        calls = [
            call
            for call in found.calls
            if call.method == method and path.startswith(call.path)
        ]
        if not calls:
            raise NotFoundError(
                f"service {service!r} declares no call {method} {path}"
            )
        return found, max(calls, key=lambda call: len(call.path))

    def cells_of(self, group: Pool | Service) -> list[Cell]:
        """Returns the cells of a pool or service."""
        return [
            self.cells[f"{group.name}/{index}"]
            for index in range(_cell_count(group))
        ]

    def _cell(self, group: Pool | Service, index: int) -> Cell:
        rehearsal = self.manifest.rehearsal
        # Every n-th server in zone order, so that each cell spans the zones
        # and the loss of a zone reduces every cell instead of removing a
        # whole one. In file order, zones could repeat with the period n, and
        # all servers of a cell could be in one zone.
        by_zone = sorted(group.servers, key=lambda item: (item.zone, item.name))
        servers = tuple(
            server
            for server in by_zone[index :: _cell_count(group)]
            if server.zone not in rehearsal.zones
            and server.name not in rehearsal.servers
        )
        return Cell(f"{group.name}/{index}", servers, group.max_waiting)


def _cell_count(group: Pool | Service) -> int:
    return -(-len(group.servers) // CELL_SIZE)


def _allows(names: list[str], organisation: Organisation) -> bool:
    return not names or organisation.name in names


def _cross_check(manifest: Manifest, source: str) -> list[ConfigProblem]:
    problems: list[ConfigProblem] = []
    groups = [*manifest.pools, *manifest.services]
    servers = [server for group in groups for server in group.servers]
    unique: list[tuple[str, Iterable[str]]] = [
        ("classes", (item.name for item in manifest.classes)),
        ("organisations", (item.name for item in manifest.organisations)),
        ("request_types", (item.name for item in manifest.request_types)),
        ("pools and services", (item.name for item in groups)),
        ("servers", (item.name for item in servers)),
        ("placements", (item.server for item in manifest.placements)),
        (
            "organisations.key_digests",
            (
                digest
                for item in manifest.organisations
                for digest in item.key_digests
            ),
        ),
        (
            "pools.models",
            (model for pool in manifest.pools for model in pool.models),
        ),
    ]
    for key, names in unique:
        counted = collections.Counter(names)
        problems += [
            ConfigProblem(
                source, key, f"{name!r} twice", "unique names", "rename one"
            )
            for name, count in counted.items()
            if count > 1
        ]
    problems += _check_references(manifest, source)
    for server in servers:
        try:
            split_address(server.address)
        except ValueError as exc:
            problems.append(
                ConfigProblem(
                    source,
                    f"servers.{server.name}.address",
                    f"{server.address} ({exc})",
                    "IP:port",
                    "give a numeric IP address and a port up to 65535",
                )
            )
    problems += _check_leave_free(manifest, source)
    if sum(item.floor_share for item in manifest.classes) > 0.5:
        problems.append(
            ConfigProblem(
                source,
                "classes.floor_share",
                "more than 0.5 in all",
                "at most 0.5 in all",
                "lower the shares: above 0.5 ranks no longer decide the order",
            )
        )
    return problems


def _check_leave_free(manifest: Manifest, source: str) -> list[ConfigProblem]:
    """Finds classes that could use slots which a higher rank leaves free."""
    problems = []
    for item in sorted(manifest.classes, key=lambda item: item.rank):
        higher = [
            other.leave_free
            for other in manifest.classes
            if other.rank < item.rank
        ]
        minimum = max(higher, default=0.0)
        if item.leave_free < minimum:
            problems.append(
                ConfigProblem(
                    source,
                    f"classes.{item.name}.leave_free",
                    str(item.leave_free),
                    f"at least {minimum}, the largest value of a higher rank",
                    "raise it; otherwise this class uses the reserved slots",
                )
            )
    return problems


def _check_references(manifest: Manifest, source: str) -> list[ConfigProblem]:
    classes = {item.name for item in manifest.classes}
    organisations = {item.name for item in manifest.organisations}
    models = {model for pool in manifest.pools for model in pool.models}
    kinds = {item.name for item in manifest.request_types}
    problems: list[ConfigProblem] = []

    def require(key: str, name: str, known: set[str]) -> None:
        if name not in known:
            valid = ", ".join(sorted(known)[:10]) or "none declared"
            problems.append(
                ConfigProblem(
                    source,
                    key,
                    repr(name),
                    f"one of {valid}",
                    "correct the name",
                )
            )

    for kind in manifest.request_types:
        key = f"request_types.{kind.name}"
        require(f"{key}.class_name", kind.class_name, classes)
        for name in kind.organisations:
            require(f"{key}.organisations", name, organisations)
        for model in kind.models:
            require(f"{key}.models", model, models)
    for service in manifest.services:
        key = f"services.{service.name}"
        for name in service.organisations:
            require(f"{key}.organisations", name, organisations)
        for call in service.calls:
            require(f"{key}.calls.class_name", call.class_name, classes)
    servers = {
        server.name
        for group in (*manifest.pools, *manifest.services)
        for server in group.servers
    }
    for placement in manifest.placements:
        require("placements.server", placement.server, servers)
    for name in manifest.rehearsal.servers:
        require("rehearsal.servers", name, servers)
    for item in manifest.assignments:
        require("assignments.organisation", item.organisation, organisations)
        require("assignments.request_type", item.request_type, kinds)
        require("assignments.class_name", item.class_name, classes)
    return problems
