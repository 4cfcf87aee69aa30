"""Stand-in for the platform's table service: rows with conditional writes."""

import asyncio
import dataclasses

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse
from starlette.routing import Route

from standins.common import FaultInjector, Faults, make_parser, serve


@dataclasses.dataclass
class Row:
    """A stored row with its version."""

    key: str
    version: int
    value: object


class TableService:
    """Stores versioned rows; commits run one at a time, at a limited rate.

    A commit holds many writes. Each write takes effect if its own condition
    holds, like a transaction of conditional inserts and updates in SQL.
    """

    def __init__(self, commits_per_s: float, rows_per_s: float):
        self.faults = Faults()
        self._rows: dict[str, Row] = {}
        self._commits_per_s = commits_per_s
        self._rows_per_s = rows_per_s
        self._idle_at = 0.0
        self.commits = 0
        self.writes = 0

    def app(self) -> FaultInjector:
        """Returns the ASGI application."""
        routes = [
            Route("/v1/rows/{key:path}", self.read, methods=["GET"]),
            Route("/v1/commit", self.commit, methods=["POST"]),
            Route("/stats", self.stats, methods=["GET"]),
        ]
        return FaultInjector(Starlette(routes=routes), self.faults)

    async def read(self, request: Request) -> JSONResponse:
        """Returns a row."""
        row = self._rows.get(request.path_params["key"])
        if row is None:
            return JSONResponse({"absent": True}, 404)
        return JSONResponse(dataclasses.asdict(row))

    async def commit(self, request: Request) -> JSONResponse:
        """Applies the writes of a commit."""
        writes = (await request.json())["writes"]
        await self._limit_rate(len(writes))
        results = [self._apply(write) for write in writes]
        self.commits += 1
        self.writes += len(writes)
        return JSONResponse({"results": results})

    async def stats(self, request: Request) -> JSONResponse:
        """Returns the numbers of commits and writes."""
        del request
        return JSONResponse({"commits": self.commits, "writes": self.writes})

    def _apply(self, write: dict) -> dict:
        row = self._rows.get(write["key"])
        version = row.version if row else 0
        ok = version == write["expect"]
        if ok:
            row = Row(write["key"], version + 1, write["value"])
            self._rows[row.key] = row
        return {"ok": ok, "row": dataclasses.asdict(row) if row else None}

    async def _limit_rate(self, rows: int) -> None:
        loop = asyncio.get_running_loop()
        cost = 0.0
        if self._commits_per_s:
            cost += 1 / self._commits_per_s
        if self._rows_per_s:
            cost += rows / self._rows_per_s
        self._idle_at = max(self._idle_at, loop.time()) + cost
        await asyncio.sleep(self._idle_at - loop.time())


def main() -> None:
    """Runs the table service stand-in."""
    args = make_parser("Table service stand-in")
    args.add_argument("--commits-per-s", type=float, default=300.0)
    args.add_argument("--rows-per-s", type=float, default=0.0)
    options = args.parse_args()
    table = TableService(options.commits_per_s, options.rows_per_s)
    serve(table.app(), options.address)


if __name__ == "__main__":
    main()
