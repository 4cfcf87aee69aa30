"""Endpoints for readiness, the instances' addresses and metrics."""

from collections.abc import Callable
from urllib.parse import parse_qs

import msgspec

from jasminerelay.schema.messages import Member

READY_PATH = "/-/readyz"
RESOLVE_PATH = "/-/resolve"
MAX_ADDRESSES = 64


class StatusApp:
    """ASGI application for readiness probes, address resolution and metrics."""

    def __init__(
        self,
        ready: Callable[[], bool],
        entries: Callable[[str], list[Member]],
        ttl_s: Callable[[], float],
        metrics: Callable[[], bytes],
    ):
        """Creates the application.

        Args:
            ready: Returns whether this instance accepts callers.
            entries: Returns the instances for callers in a zone, best first.
            ttl_s: Returns how long a caller may cache the addresses.
            metrics: Returns the metrics in text format.
        """
        self._ready = ready
        self._entries = entries
        self._ttl_s = ttl_s
        self._metrics = metrics

    async def __call__(self, scope, receive, send) -> None:
        """Answers one request."""
        if scope["type"] != "http":
            return
        path = scope["path"]
        if path == READY_PATH:
            ready = self._ready()
            await _respond(send, 200 if ready else 503, b"")
        elif path == RESOLVE_PATH:
            await self._resolve(scope, send)
        elif path == "/metrics":
            await _respond(send, 200, self._metrics())
        else:
            await _respond(send, 404, b"")

    async def _resolve(self, scope, send) -> None:
        query = parse_qs(scope["query_string"].decode("latin-1"))
        zone = query.get("zone", [""])[0]
        members = self._entries(zone)[:MAX_ADDRESSES]
        if not members:
            await _respond(send, 503, b"")
            return
        body = msgspec.json.encode(
            {
                "addresses": [member.callers for member in members],
                "ttlS": self._ttl_s(),
            }
        )
        await _respond(send, 200, body, b"application/json")


async def _respond(
    send, status: int, body: bytes, kind: bytes = b"text/plain"
) -> None:
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [
                (b"content-type", kind),
                (b"content-length", str(len(body)).encode()),
            ],
        }
    )
    await send({"type": "http.response.body", "body": body})
