"""Stand-in of the platform's store: rows, conditions and the change feed.

Runs in the event loop of the script. Only what PROTOCOL.md says.
"""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

import http1


class Store:
    """Tables of rows, all in the unnamed part."""

    def __init__(self):
        self.rows = {}
        self.history = []
        self.version = 0
        self.calls = 0
        self._changed = asyncio.Event()
        self._server = None
        self._address = ""
        self._open = set()

    async def start(self, address):
        """Listens on an address."""
        self._address = address
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(
            self._serve, host, int(port), limit=1 << 22
        )

    def go_down(self):
        """Resets all channels and refuses new ones; what is stored stays."""
        self._server.close()
        for writer in list(self._open):
            http1.reset(writer)

    async def come_back(self):
        """Listens again."""
        await self.start(self._address)

    def put(self, table, key, value):
        """Writes a row as the operator or a server does."""
        self.version += 1
        data = base64.b64encode(json.dumps(value).encode()).decode()
        self._set(table, key, data)

    def delete(self, table, key):
        """Removes a row."""
        if (table, key) in self.rows:
            self.version += 1
            self._set(table, key, None)

    def _set(self, table, key, data):
        row = {"table": table, "part": "", "key": key}
        row["schemaVersion"] = self.version
        if data is None:
            self.rows.pop((table, key), None)
            row["deleted"] = True
        else:
            row["data"] = data
            self.rows[(table, key)] = row
        self.history.append(row)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader, writer):
        self._open.add(writer)
        try:
            while (request := await http1.read_request(reader)) is not None:
                self.calls += 1
                status, body = await self._answer(request)
                body.setdefault("schemaVersion", self.version)
                body.setdefault("nowMs", int(time.monotonic() * 1000))
                writer.write(
                    http1.response(
                        status,
                        json.dumps(body).encode(),
                        [("Content-Type", "application/json")],
                    )
                )
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            # Cancelled at the end of the script.
            pass
        finally:
            self._open.discard(writer)
            writer.transport.abort()

    async def _answer(self, request):
        parts = urlsplit(request.target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        if parts.path == "/-/rows-tx":
            return self._transact(json.loads(request.body))
        if parts.path == "/-/rows-get":
            return self._get(query)
        if parts.path == "/-/rows-feed":
            return await self._feed(query)
        return 404, {}

    def _transact(self, body):
        for item in body["expect"]:
            row = self.rows.get((item["table"], item["key"]))
            if (row["schemaVersion"] if row else 0) != item["schemaVersion"]:
                found = [
                    self.rows[(x["table"], x["key"])]
                    for x in body["expect"]
                    if (x["table"], x["key"]) in self.rows
                ]
                return 412, {"rows": found}
        self.version += 1
        for item in body["write"]:
            self._set(item["table"], item["key"], item["data"])
        for item in body["remove"]:
            if (item["table"], item["key"]) in self.rows:
                self._set(item["table"], item["key"], None)
        return 200, {}

    def _get(self, query):
        limit = min(500, int(query.get("limit", 500)))
        found = sorted(
            (
                row
                for (table, key), row in self.rows.items()
                if table == query["table"]
                and key >= query.get("source", "")
                and ("to" not in query or key < query["to"])
            ),
            key=lambda row: row["key"].encode(),
        )
        return 200, {"rows": found[:limit], "hasMore": len(found) > limit}

    async def _feed(self, query):
        after = int(query["after"])
        ends = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            rows = [
                row
                for row in self.history
                if row["table"] == query["table"]
                and row["schemaVersion"] > after
            ]
            left = ends - time.monotonic()
            if rows or left <= 0:
                return 200, {"rows": rows}
            changed = self._changed
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                pass
