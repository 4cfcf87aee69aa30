"""Tests the client of the platform's store without a network."""

import unittest

from jasminerelay.errors import StoreError
from jasminerelay.httpclient import (
    HttpRequest,
    HttpResponse,
    IncompleteExchangeError,
)
from jasminerelay.platform.storeclient import Store

EMPTY = b'{"rows":[],"schemaVersion":7,"nowMs":1.0}'


class DeadPool:
    """An HTTP client all of whose pooled connections are dead."""

    def __init__(self) -> None:
        self.calls: list[HttpRequest] = []

    async def call(self, exchange: HttpRequest) -> HttpResponse:
        """Answers on new connections only."""
        self.calls.append(exchange)
        if not exchange.new_connection:
            raise IncompleteExchangeError("connection reset")
        return HttpResponse(200, {}, EMPTY)


class DeadConnectionsTest(unittest.IsolatedAsyncioTestCase):
    """Calls after the store's connections were reset."""

    async def test_second_call_opens_a_connection(self) -> None:
        # Guards against an instance that has lost the store for ten seconds:
        # each try took another dead connection from the pool, with longer
        # pauses between them.
        client = DeadPool()
        store = Store(client, "127.0.0.1:1", lambda event, **fields: None)
        with self.assertRaises(StoreError):
            await store.changes("servers", 5, 0.0)
        page = await store.changes("servers", 5, 0.0)
        self.assertEqual(page.version, 7)
        # The connections that an answered call leaves behind are used again.
        with self.assertRaises(StoreError):
            await store.changes("servers", 5, 0.0)
        self.assertEqual(
            [call.new_connection for call in client.calls],
            [False, True, False],
        )


if __name__ == "__main__":
    unittest.main()
