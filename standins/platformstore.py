"""Stand-in for the store of the users' platform, with its published API."""

import asyncio
import base64
import dataclasses
import json
import time
from collections.abc import Iterable
from urllib.parse import parse_qs

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse
from starlette.routing import Route

from standins.common import FaultInjector, Faults

PAGE = 500


ERA_HEADER = "Store-Era"


@dataclasses.dataclass(frozen=True)
class StoreCopy:
    """A copy of the store's data, from which it can come back."""

    rows: dict
    history: tuple
    discarded_version: int
    version: int
    writes_by_others: int


@dataclasses.dataclass(frozen=True)
class StoredRow:
    """A row, or the tombstone of a deleted row."""

    table: str
    part: str
    key: str
    data: str
    version: int
    deleted: bool = False

    def to_json(self) -> dict:
        """Returns the row in its JSON form."""
        row = {
            "table": self.table,
            "part": self.part,
            "key": self.key,
            "schemaVersion": self.version,
        }
        return (
            {**row, "deleted": True}
            if self.deleted
            else {
                **row,
                "data": self.data,
            }
        )


class PlatformStore:
    """Rows in tables, with conditional transactions and a change feed.

    Attributes:
        faults: Active faults.
        calls: Number of calls so far.
        era: Number of times that the store has come back from a copy.
    """

    def __init__(self) -> None:
        self.faults = Faults()
        self.calls = 0
        self.era = 0
        self._rows: dict[tuple[str, str, str], StoredRow] = {}
        self._history: list[StoredRow] = []
        self._written_by_others: list[StoredRow] = []
        self._discarded_version = 0
        self._version = 0
        self._changed = asyncio.Event()

    def app(self) -> FaultInjector:
        """Returns the ASGI application."""
        routes = [
            Route("/-/rows-tx", self.transact, methods=["POST"]),
            Route("/-/rows-get", self.read, methods=["GET"]),
            Route("/-/rows-feed", self.feed, methods=["GET"]),
        ]
        return FaultInjector(Starlette(routes=routes), self.faults)

    def put(self, table: str, key: str, value: dict) -> None:
        """Writes a row unconditionally, as the operator or a server does."""
        self.put_bytes(table, key, json.dumps(value).encode())

    def put_bytes(self, table: str, key: str, content: bytes) -> None:
        """Writes a row unconditionally, whatever its bytes are."""
        data = base64.b64encode(content).decode()
        self._version += 1
        row = StoredRow(table, "", key, data, self._version)
        self._written_by_others.append(row)
        self._store(row)

    def delete(self, table: str, key: str) -> None:
        """Deletes a row, as when a server has shut down."""
        if (table, "", key) in self._rows:
            self._version += 1
            row = StoredRow(table, "", key, "", self._version, True)
            self._written_by_others.append(row)
            self._store(row)

    def discard_history(self) -> None:
        """Discards the change history, so that older feed positions get 410."""
        self._history.clear()
        self._discarded_version = self._version

    def copy(self) -> StoreCopy:
        """Returns a copy of the data as of now."""
        return StoreCopy(
            dict(self._rows),
            tuple(self._history),
            self._discarded_version,
            self._version,
            len(self._written_by_others),
        )

    def restore(
        self, copy: StoreCopy, rewritten: Iterable[str] = ("op", "servers")
    ) -> None:
        """Comes back from a copy; what was written since is lost.

        The operator and the servers then write their rows again.

        Args:
            copy: The copy.
            rewritten: Tables whose lost rows are written again.
        """
        # Versions do not order the writes: the store may have come back from a
        # later copy since this one was made.
        lost = self._written_by_others[copy.writes_by_others :]
        del self._written_by_others[copy.writes_by_others :]
        self._rows = dict(copy.rows)
        self._history = list(copy.history)
        self._discarded_version = copy.discarded_version
        self._version = copy.version
        self.era += 1
        self._changed.set()
        self._changed = asyncio.Event()
        for row in lost:
            if row.table not in rewritten:
                continue
            self._version += 1
            again = dataclasses.replace(row, version=self._version)
            self._written_by_others.append(again)
            self._store(again)

    def keys(self, table: str) -> list[str]:
        """Returns the keys of a table's rows."""
        return sorted(key for name, _, key in self._rows if name == table)

    async def transact(self, request: Request) -> JSONResponse:
        """Applies a transaction if all of its conditions hold."""
        self.calls += 1
        body = await request.json()
        for item in body["expect"]:
            row = self._rows.get(_row_id(item))
            if (row.version if row else 0) != item["schemaVersion"]:
                rows = [row.to_json()] if row else []
                return self._response({"rows": rows}, 412)
        self._version += 1
        for item in body["write"]:
            self._store(StoredRow(*_row_id(item), item["data"], self._version))
        for item in body["remove"]:
            if _row_id(item) in self._rows:
                self._store(StoredRow(*_row_id(item), "", self._version, True))
        return self._response({})

    async def read(self, request: Request) -> JSONResponse:
        """Returns a page of a table's rows, as a consistent snapshot."""
        self.calls += 1
        query = request.query_params
        rows = sorted(
            (
                row
                for (table, part, key), row in self._rows.items()
                if table == query["table"]
                and part == query.get("part", "")
                and key >= query.get("source", "")
            ),
            key=lambda row: row.key.encode(),
        )
        limit = min(int(query.get("limit", PAGE)), PAGE)
        page = [row.to_json() for row in rows[:limit]]
        return self._response({"rows": page, "hasMore": len(rows) > limit})

    async def feed(self, request: Request) -> JSONResponse:
        """Returns rows changed after a version; waits if there are none."""
        self.calls += 1
        query = parse_qs(request.url.query)
        table = query["table"][0]
        after = int(query["after"][0])
        deadline = time.monotonic() + int(query["waitMs"][0]) / 1000
        while True:
            if after < self._discarded_version or after > self._version:
                return self._response({}, 410)
            rows = [
                row.to_json()
                for row in self._history
                if row.table == table and row.version > after
            ]
            remaining_s = deadline - time.monotonic()
            if rows or remaining_s <= 0:
                return self._response({"rows": rows})
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), remaining_s)
            except TimeoutError:
                continue

    def _store(self, row: StoredRow) -> None:
        row_id = (row.table, row.part, row.key)
        if row.deleted:
            self._rows.pop(row_id, None)
        else:
            self._rows[row_id] = row
        self._history.append(row)
        self._changed.set()
        self._changed = asyncio.Event()

    def _response(self, body: dict, status: int = 200) -> JSONResponse:
        now_ms = int(time.monotonic() * 1000)
        return JSONResponse(
            {**body, "schemaVersion": self._version, "nowMs": now_ms},
            status,
            {ERA_HEADER: str(self.era)},
        )


def _row_id(item: dict) -> tuple[str, str, str]:
    return (item["table"], item.get("part", ""), item["key"])
