"""Clients of the platform's table service, object store, instance list."""

import dataclasses
from typing import Any

import msgspec

from jasminerelay import foreignbytes
from jasminerelay.errors import RAN_UNKNOWN, ForeignDataError, StoreError
from jasminerelay.httpclient import (
    MAX_LONG_RESPONSE_BYTES,
    HttpClient,
    HttpRequest,
    HttpResponse,
    IncompleteExchangeError,
    NotSentError,
)
from jasminerelay.schema.messages import Member
from jasminerelay.schema.settings import Platform
from jasminerelay.statednumbers import Count

RETRY_AFTER_S = 1.0
ABSENT = 0
"""Expected version of a write that inserts a row."""


@dataclasses.dataclass(frozen=True)
class Row:
    """A row of the table service.

    Attributes:
        key: Key of the row.
        version: Version, incremented by each write.
        value: Content.
    """

    key: str
    version: Count
    value: Any

    def value_as(self, kind: type) -> Any:
        """Returns the content as a value of a type.

        Raises:
            StoreError: if another program has written something else. What the
                row stands for may have happened all the same.
        """
        try:
            return foreignbytes.convert(self.value, kind)
        except ForeignDataError as exc:
            raise StoreError(
                f"the row {self.key!r} is malformed: {exc.message}",
                remedy="Have the operators correct or remove the row.",
                ran=RAN_UNKNOWN,
                retry_s=RETRY_AFTER_S,
            ) from exc


@dataclasses.dataclass(frozen=True)
class ConditionalWrite:
    """A write that is conditional on the version of its row.

    Attributes:
        key: Key of the row.
        expect: Version that the row must have; ABSENT for an insert.
        value: New content.
    """

    key: str
    expect: int
    value: Any


@dataclasses.dataclass(frozen=True)
class WriteResult:
    """The result of a conditional write.

    Attributes:
        ok: Whether the expected version matched and the write took effect.
        row: The row after the write; if it failed, the existing row.
    """

    ok: bool
    row: Row | None


@dataclasses.dataclass(frozen=True)
class _CommitReply:
    results: list[WriteResult]


class TableClient:
    """Client of the table service.

    Every method raises StoreError if the service does not respond. A write
    may nevertheless have taken effect then.
    """

    def __init__(self, client: HttpClient, cfg: Platform, timeout_s: float):
        self._client = client
        self._base = cfg.table.rstrip("/")
        self._timeout_s = timeout_s

    async def read(self, key: str) -> Row | None:
        """Returns a row, or None if it does not exist."""
        url = f"{self._base}/v1/rows/{key}"
        reply = await _call(
            self._client, HttpRequest("GET", url, timeout_s=self._timeout_s)
        )
        if reply.status == 404:
            return None
        return _decode(reply, Row)

    async def commit(self, writes: list[ConditionalWrite]) -> list[WriteResult]:
        """Applies writes in one transaction, each if its version matches."""
        body = msgspec.json.encode({"writes": writes})
        url = f"{self._base}/v1/commit"
        exchange = HttpRequest(
            "POST", url, body=body, timeout_s=self._timeout_s
        )
        reply = await _call(self._client, exchange)
        return _decode(reply, _CommitReply).results


class ObjectStoreClient:
    """Client of the object store; raises StoreError if it does not respond."""

    def __init__(self, client: HttpClient, cfg: Platform, timeout_s: float):
        self._client = client
        self._base = cfg.objects.rstrip("/")
        self._timeout_s = timeout_s

    async def put(self, key: str, body: bytes) -> None:
        """Stores an object; idempotent."""
        reply = await _call(
            self._client,
            HttpRequest(
                "PUT",
                f"{self._base}/{key}",
                body=body,
                timeout_s=self._timeout_s,
            ),
        )
        if reply.status >= 300:
            raise _unavailable_error(f"HTTP status {reply.status}")

    async def get(self, key: str) -> bytes | None:
        """Returns an object, or None if it does not exist."""
        reply = await _call(
            self._client,
            HttpRequest(
                "GET", f"{self._base}/{key}", timeout_s=self._timeout_s
            ),
        )
        if reply.status == 404:
            return None
        if reply.status != 200:
            raise _unavailable_error(f"HTTP status {reply.status}")
        return reply.body


@dataclasses.dataclass(frozen=True)
class _ListReply:
    instances: list[Member]


class InstanceListClient:
    """Client of the platform's list of instances, which lags behind."""

    def __init__(self, client: HttpClient, cfg: Platform, timeout_s: float):
        self._client = client
        self._url = cfg.instances.rstrip("/") + "/v1/instances"
        self._timeout_s = timeout_s

    async def members(self) -> list[Member]:
        """Returns the listed instances.

        Raises:
            StoreError: if the service does not respond.
        """
        reply = await _call(
            self._client,
            HttpRequest("GET", self._url, timeout_s=self._timeout_s),
        )
        return _decode(reply, _ListReply).instances


async def _call(client: HttpClient, exchange: HttpRequest) -> HttpResponse:
    exchange = dataclasses.replace(exchange, max_bytes=MAX_LONG_RESPONSE_BYTES)
    try:
        reply = await client.call(exchange)
    except (NotSentError, IncompleteExchangeError) as exc:
        raise _unavailable_error(str(exc)) from exc
    if reply.status >= 500 or reply.status == 429:
        raise _unavailable_error(f"HTTP status {reply.status}")
    return reply


def _decode(reply: HttpResponse, kind: type) -> Any:
    try:
        return foreignbytes.json_reader(kind)(reply.body)
    except ForeignDataError as exc:
        raise _unavailable_error(f"invalid response: {exc.message}") from exc


def _unavailable_error(why: str) -> StoreError:
    return StoreError(
        f"the platform is unavailable: {why}", retry_s=RETRY_AFTER_S
    )
