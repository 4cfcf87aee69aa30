"""The one client of the platform's store."""

import base64
import dataclasses
import math
from collections.abc import Sequence
from typing import Any
from urllib.parse import urlencode

import msgspec

from jasminerelay.errors import StoreError
from jasminerelay.following import HistoryGoneError, Page
from jasminerelay.freshness import now_s
from jasminerelay.httpclient import (
    BrokenError,
    Client,
    Exchange,
    NotSentError,
    Reply,
)
from jasminerelay.schema.messages import ServerRow

RETRY_S = 0.5
"""When a call that the store did not take is worth another try."""

CALL_TIMEOUT_S = 1.0
"""Silence after which a call is given up, beyond the time that it waits. The
store answers in milliseconds, a slow one within 0.3 s; a connection that died
without a reset shows in no other way. A call that an outage has left without an
answer, the pause after it and the next call fit into the two seconds in which
a change must be in force."""

CONDITION_FAILED = 412
MS = 1e3

PAGE_ROWS = 500
"""Rows of one answer, the most that the store gives."""


class _Row(msgspec.Struct):
    key: str = ""
    version: int = msgspec.field(name="schemaVersion", default=0)
    data: str = ""
    deleted: bool = False


class _Answer(msgspec.Struct):
    rows: list[_Row] = msgspec.field(default_factory=list)
    # Of the whole store, not of a schema or a row.
    version: int = msgspec.field(name="schemaVersion", default=0)
    more: bool = msgspec.field(name="hasMore", default=False)
    # Of the store's steady clock, whose zero means nothing.
    now_ms: float = msgspec.field(name="nowMs", default=0.0)


@dataclasses.dataclass(frozen=True)
class Condition:
    """A version that a row must have for a transaction to take place.

    Attributes:
        table: The row's table.
        key: Its key.
        version: The version; 0 if there must be no such row.
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
        data: Its content.
    """

    table: str
    key: str
    data: bytes


@dataclasses.dataclass(frozen=True)
class Committed:
    """The outcome of a transaction.

    Attributes:
        done: Whether its conditions held and it took effect.
        version: The store's version after it.
        rows: The rows of its conditions, if they did not hold.
        now_s: The store's clock as it answered, in seconds.
    """

    done: bool
    version: int
    rows: tuple[ServerRow, ...]
    now_s: float


class Store:
    """Tables of the platform's store.

    Every method raises StoreError if there is no answer; a write may then
    have taken effect, or may still do so.
    """

    def __init__(self, client: Client, address: str):
        """Makes the client.

        Args:
            client: Opens and keeps the connections.
            address: IP:port of the store.
        """
        self._client = client
        self._base = f"http://{address}"
        self._ahead_s = -math.inf

    def latest_now_s(self) -> float:
        """Returns the latest time that the store's clock may show now.

        Minus infinity before its first answer.
        """
        return now_s() + self._ahead_s

    async def read(self, table: str) -> Page:
        """Returns all rows of a table's unnamed part.

        Pages are read one after another; the version is the first one's, so
        that following the changes from it misses none.
        """
        rows: list[ServerRow] = []
        version = None
        source = ""
        while True:
            query = {"table": table, "part": "", "limit": PAGE_ROWS}
            if source:
                query["source"] = source
            sent = now_s()
            answer = await self._get("/-/rows-get", query, CALL_TIMEOUT_S)
            self._saw_clock(answer, sent)
            rows += [_row(item) for item in answer.rows]
            version = answer.version if version is None else version
            if not answer.more or not answer.rows:
                return Page(tuple(rows), version, answer.now_ms / MS)
            source = answer.rows[-1].key + "\x00"

    async def changes(self, table: str, after: int, wait_s: float) -> Page:
        """Waits for rows of a table that changed after a version.

        Raises:
            HistoryGoneError: if the changes since then are no longer kept.
        """
        query = {"table": table, "after": after, "waitMs": int(wait_s * 1000)}
        answer = await self._get("/-/rows-feed", query, wait_s + CALL_TIMEOUT_S)
        return Page(tuple(_row(item) for item in answer.rows), answer.version)

    async def write(self, table: str, key: str, data: bytes) -> None:
        """Writes a row, whatever stands there."""
        _check(await self._transact([], [NewRow(table, key, data)], []))

    async def remove(self, table: str, key: str) -> None:
        """Removes a row, if it is there."""
        _check(await self._transact([], [], [(table, key)]))

    async def commit(
        self,
        conditions: Sequence[Condition],
        write: Sequence[NewRow],
        remove: Sequence[tuple[str, str]] = (),
    ) -> Committed:
        """Writes and removes rows if others have the versions they must have.

        Args:
            conditions: The versions.
            write: Rows to write.
            remove: Tables and keys of rows to remove.
        """
        sent = now_s()
        reply = await self._transact(conditions, write, remove)
        if reply.status != CONDITION_FAILED:
            _check(reply)
        answer = _decoded(reply)
        self._saw_clock(answer, sent)
        return Committed(
            reply.status != CONDITION_FAILED,
            answer.version,
            tuple(_row(item) for item in answer.rows),
            answer.now_ms / MS,
        )

    async def _transact(
        self,
        conditions: Sequence[Condition],
        write: Sequence[NewRow],
        remove: Sequence[tuple[str, str]],
    ) -> Reply:
        body = msgspec.json.encode(
            {
                "expect": [
                    {**_place(x.table, x.key), "schemaVersion": x.version}
                    for x in conditions
                ],
                "write": [
                    {
                        **_place(x.table, x.key),
                        "data": base64.b64encode(x.data).decode(),
                    }
                    for x in write
                ],
                "remove": [_place(table, key) for table, key in remove],
            }
        )
        exchange = Exchange(
            "POST",
            f"{self._base}/-/rows-tx",
            {"content-type": "application/json"},
            body,
            CALL_TIMEOUT_S,
        )
        return await self._call(exchange)

    async def _get(
        self, path: str, query: dict[str, Any], timeout_s: float
    ) -> _Answer:
        url = f"{self._base}{path}?{urlencode(query)}"
        reply = await self._call(Exchange("GET", url, timeout_s=timeout_s))
        if reply.status == 410:
            raise HistoryGoneError("the changes asked for are gone")
        _check(reply)
        return _decoded(reply)

    async def _call(self, exchange: Exchange) -> Reply:
        try:
            return await self._client.call(exchange)
        except (NotSentError, BrokenError) as exc:
            raise StoreError(
                f"the store did not answer: {exc}", retry_s=RETRY_S
            ) from exc

    def _saw_clock(self, answer: _Answer, sent: float) -> None:
        # It showed this when the call was sent at the earliest.
        self._ahead_s = answer.now_ms / MS - sent


def _decoded(reply: Reply) -> _Answer:
    try:
        return msgspec.json.decode(reply.body, type=_Answer)
    except msgspec.MsgspecError as exc:
        raise StoreError(
            f"unreadable answer of the store: {exc}", retry_s=RETRY_S
        ) from exc


def _place(table: str, key: str) -> dict[str, str]:
    return {"table": table, "part": "", "key": key}


def _check(reply: Reply) -> None:
    if reply.status != 200:
        raise StoreError(f"the store answered {reply.status}", retry_s=RETRY_S)


def _row(raw: _Row) -> ServerRow:
    if raw.deleted:
        return ServerRow(raw.key, raw.version, None)
    try:
        data = base64.b64decode(raw.data, validate=True)
    except ValueError:
        # Whoever decodes the row finds it unreadable and says so; one bad row
        # must not hide the others of its page.
        data = b""
    return ServerRow(raw.key, raw.version, data)
