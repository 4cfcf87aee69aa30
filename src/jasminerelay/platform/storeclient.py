"""Client of the platform's store."""

import base64
import dataclasses
import math
from collections.abc import Callable, Sequence
from typing import Any
from urllib.parse import urlencode

import msgspec

from jasminerelay import foreignbytes, storeversion
from jasminerelay.errors import ForeignDataError, StoreError
from jasminerelay.freshness import now_s
from jasminerelay.httpclient import (
    MAX_LONG_RESPONSE_BYTES,
    HttpClient,
    HttpRequest,
    HttpResponse,
    IncompleteExchangeError,
    NotSentError,
)
from jasminerelay.schema.messages import ServerRow
from jasminerelay.statednumbers import SHOWN_CHARS, Count, Number, parse_whole
from jasminerelay.storefollowing import HistoryGoneError, TablePage

RETRY_S = 0.5
"""Retry-After of a failed call to the store."""

CALL_TIMEOUT_S = 1.0
"""Time limit for a call, in addition to its long-poll time. The store responds
within milliseconds, a slow one within 0.3 s; only a time-out detects a
connection that died without a reset. A call that times out in an outage, the
pause after it and the next call fit into the two seconds within which a change
must be in force."""

# Rises each time the store has come back from an older copy of its data.
_ERA = "store-era"

CONDITION_FAILED = 412
MS_PER_S = 1e3

PAGE_ROWS = 500
"""Rows per response; the store's maximum."""


class _Row(msgspec.Struct):
    key: str = ""
    version: Count = msgspec.field(name="schemaVersion", default=0)
    data: str = ""
    deleted: bool = False


class _Response(msgspec.Struct):
    rows: list[_Row] = msgspec.field(default_factory=list)
    # Version of the whole store, not of a schema or a row.
    version: Count = msgspec.field(name="schemaVersion", default=0)
    more: bool = msgspec.field(name="hasMore", default=False)
    # Reading of the store's monotonic clock, whose origin is arbitrary.
    now_ms: Number = msgspec.field(name="nowMs", default=0.0)


_read_response = foreignbytes.json_reader(_Response)


@dataclasses.dataclass(frozen=True)
class Condition:
    """A version that a row must have for a transaction to be committed.

    Attributes:
        table: The row's table.
        key: Its key.
        version: The version; 0 if the row must not exist.
    """

    table: str
    key: str
    version: int


@dataclasses.dataclass(frozen=True)
class NewRow:
    """A row to write.

    Attributes:
        table: Its table.
        key: Its key.
        data: Its content, encoded.
    """

    table: str
    key: str
    data: bytes


@dataclasses.dataclass(frozen=True)
class CommitResult:
    """The result of a transaction.

    Attributes:
        done: Whether the conditions held and the changes took effect.
        version: The store's version after the transaction.
        rows: The rows named in the conditions, if these did not hold.
        now_s: The store's clock at the time of the response, in seconds.
    """

    done: bool
    version: int
    rows: tuple[ServerRow, ...]
    now_s: float


class Store:
    """Reads and writes tables of the platform's store.

    Every method raises StoreError if the store does not respond. A write may
    then have taken effect, or may still do so. All versions tell the store's
    eras apart (see `storeversion`).

    Attributes:
        on_new_era: Called when the store has come back from a copy of its data.
    """

    def __init__(
        self,
        client: HttpClient,
        address: str,
        warn: Callable[..., None] = lambda event, **fields: None,
    ):
        """Creates the client.

        Args:
            client: HTTP client.
            address: IP:port of the store.
            warn: Logs an event with its fields.
        """
        self._client = client
        self._base = f"http://{address}"
        self._warn = warn
        self._max_clock_offset_s = -math.inf
        self._era: int | None = None
        self._first_era: int | None = None
        self._era_seen_at = -math.inf
        self.on_new_era: Callable[[], None] = lambda: None

    @property
    def has_new_era(self) -> bool:
        """Whether the store has come back from a copy in this process."""
        return self._era != self._first_era

    @property
    def era(self) -> int:
        """The latest era seen; 0 before the first response."""
        return self._era or 0

    @property
    def era_age_s(self) -> float:
        """Time since this process has first seen the era.

        Infinite in the first era that it has seen.
        """
        return now_s() - self._era_seen_at

    def latest_store_now_s(self) -> float:
        """Returns an upper bound of the store's clock at this moment.

        Minus infinity before the store's first response.
        """
        return now_s() + self._max_clock_offset_s

    async def read(self, table: str) -> TablePage:
        """Returns all rows of a table's unnamed partition.

        Reads the pages one after another. The returned version is that of the
        first page, so that following the changes from it misses none.

        Raises:
            StoreError: also if the store came back from a copy meanwhile.
        """
        rows: list[ServerRow] = []
        version = None
        source = ""
        while True:
            query = {"table": table, "part": "", "limit": PAGE_ROWS}
            if source:
                query["source"] = source
            sent_at = now_s()
            response, era = await self._get(
                "/-/rows-get", query, CALL_TIMEOUT_S
            )
            self._update_clock_offset(response, sent_at)
            rows += [_row(item, era) for item in response.rows]
            if version is None:
                version = storeversion.make(era, response.version)
            elif storeversion.era_of(version) != era:
                raise StoreError(
                    "the store came back from a copy between two pages",
                    retry_s=RETRY_S,
                )
            if not response.more or not response.rows:
                return TablePage(
                    tuple(rows), version, response.now_ms / MS_PER_S
                )
            source = response.rows[-1].key + "\x00"

    async def changes(self, table: str, after: int, wait_s: float) -> TablePage:
        """Waits for rows of a table that changed after a version.

        Raises:
            HistoryGoneError: if the store has discarded changes since then, or
                its version means another one now.
        """
        query = {
            "table": table,
            "after": storeversion.number_of(after),
            "waitMs": int(wait_s * 1000),
        }
        response, era = await self._get(
            "/-/rows-feed", query, wait_s + CALL_TIMEOUT_S
        )
        if era != storeversion.era_of(after):
            raise HistoryGoneError("the store came back from a copy")
        return TablePage(
            tuple(_row(item, era) for item in response.rows),
            storeversion.make(era, response.version),
        )

    async def write(self, table: str, key: str, data: bytes) -> None:
        """Writes a row unconditionally."""
        _raise_for_status(
            await self._transact([], [NewRow(table, key, data)], [])
        )

    async def remove(self, table: str, key: str) -> None:
        """Removes a row if it exists."""
        _raise_for_status(await self._transact([], [], [(table, key)]))

    async def commit(
        self,
        conditions: Sequence[Condition],
        write: Sequence[NewRow],
        remove: Sequence[tuple[str, str]] = (),
    ) -> CommitResult:
        """Writes and removes rows in one transaction if all conditions hold.

        Args:
            conditions: Versions that rows must have.
            write: Rows to write.
            remove: Tables and keys of rows to remove.
        """
        sent_at = now_s()
        reply = await self._transact(conditions, write, remove)
        if reply.status != CONDITION_FAILED:
            _raise_for_status(reply)
        response = _decode(reply)
        era = self._era_of(reply)
        self._update_clock_offset(response, sent_at)
        return CommitResult(
            reply.status != CONDITION_FAILED,
            storeversion.make(era, response.version),
            tuple(_row(item, era) for item in response.rows),
            response.now_ms / MS_PER_S,
        )

    async def _transact(
        self,
        conditions: Sequence[Condition],
        write: Sequence[NewRow],
        remove: Sequence[tuple[str, str]],
    ) -> HttpResponse:
        body = msgspec.json.encode(
            {
                "expect": [
                    {
                        **_row_key(x.table, x.key),
                        "schemaVersion": storeversion.number_of(x.version),
                    }
                    for x in conditions
                ],
                "write": [
                    {
                        **_row_key(x.table, x.key),
                        "data": base64.b64encode(x.data).decode(),
                    }
                    for x in write
                ],
                "remove": [_row_key(table, key) for table, key in remove],
            }
        )
        exchange = HttpRequest(
            "POST",
            f"{self._base}/-/rows-tx",
            {"content-type": "application/json"},
            body,
            CALL_TIMEOUT_S,
        )
        return await self._call(exchange)

    async def _get(
        self, path: str, query: dict[str, Any], timeout_s: float
    ) -> tuple[_Response, int]:
        """Returns the response and its era."""
        url = f"{self._base}{path}?{urlencode(query)}"
        reply = await self._call(HttpRequest("GET", url, timeout_s=timeout_s))
        if reply.status == 410:
            raise HistoryGoneError("the requested changes were discarded")
        _raise_for_status(reply)
        return _decode(reply), self._era_of(reply)

    async def _call(self, exchange: HttpRequest) -> HttpResponse:
        exchange = dataclasses.replace(
            exchange, max_bytes=MAX_LONG_RESPONSE_BYTES
        )
        try:
            reply = await self._client.call(exchange)
        except (NotSentError, IncompleteExchangeError) as exc:
            raise StoreError(
                f"the store did not respond: {exc}", retry_s=RETRY_S
            ) from exc
        self._record_era(reply)
        return reply

    def _record_era(self, reply: HttpResponse) -> None:
        era = self._era_of(reply)
        before = self._era
        if before is not None and era <= before:
            return
        self._warn("store_era", era=era, before=before)
        self._era = era
        if before is None:
            self._first_era = era
            return
        self._era_seen_at = now_s()
        self.on_new_era()

    def _era_of(self, reply: HttpResponse) -> int:
        """Returns the era of a response; the latest one if it states none."""
        value = reply.headers.get(_ERA, "")
        is_number = value.isascii() and value.isdigit()
        era = parse_whole(value.encode()) if is_number else None
        if era is not None and era <= storeversion.MAX_ERA:
            return era
        if value:
            self._warn("store_era_unreadable", found=value[:SHOWN_CHARS])
        return self.era

    def _update_clock_offset(self, response: _Response, sent_at: float) -> None:
        # The store read its clock after the call was sent, so the difference is
        # an upper bound of the offset.
        self._max_clock_offset_s = response.now_ms / MS_PER_S - sent_at


def _decode(reply: HttpResponse) -> _Response:
    try:
        return _read_response(reply.body)
    except ForeignDataError as exc:
        raise StoreError(
            f"malformed response of the store: {exc.message}",
            retry_s=RETRY_S,
        ) from exc


def _row_key(table: str, key: str) -> dict[str, str]:
    return {"table": table, "part": "", "key": key}


def _raise_for_status(reply: HttpResponse) -> None:
    if reply.status != 200:
        raise StoreError(
            f"the store responded with status {reply.status}", retry_s=RETRY_S
        )


def _row(raw: _Row, era: int) -> ServerRow:
    version = storeversion.make(era, raw.version)
    if raw.deleted:
        return ServerRow(raw.key, version, None)
    try:
        data = base64.b64decode(raw.data, validate=True)
    except ValueError:
        # One malformed row must not hide the others of its page. The decoder
        # of the row's content reports it.
        data = b""
    return ServerRow(raw.key, version, data)
