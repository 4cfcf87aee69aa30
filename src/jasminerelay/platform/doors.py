"""Small ports of the platform: readiness, and which address to use."""

from collections.abc import Callable
from urllib.parse import parse_qs

import msgspec

from jasminerelay.schema.messages import Member

READY_PATH = "/-/readyz"
RESOLVE_PATH = "/-/resolve"
MAX_ADDRESSES = 64


class Doors:
    """Answers the platform's questions, as an ASGI application."""

    def __init__(
        self,
        ready: Callable[[], bool],
        entries: Callable[[str], list[Member]],
        ttl_s: Callable[[], float],
        metrics: Callable[[], bytes],
    ):
        """Makes the application.

        Args:
            ready: Returns whether callers may be sent here.
            entries: Returns the instances for a caller of a zone, best first.
            ttl_s: Returns how long a caller may keep them.
            metrics: Returns the counters as text.
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
            await _answer(send, 200 if ready else 503, b"")
        elif path == RESOLVE_PATH:
            await self._resolve(scope, send)
        elif path == "/metrics":
            await _answer(send, 200, self._metrics())
        else:
            await _answer(send, 404, b"")

    async def _resolve(self, scope, send) -> None:
        query = parse_qs(scope["query_string"].decode("latin-1"))
        zone = query.get("zone", [""])[0]
        members = self._entries(zone)[:MAX_ADDRESSES]
        if not members:
            await _answer(send, 503, b"")
            return
        body = msgspec.json.encode(
            {
                "addresses": [member.callers for member in members],
                "ttlS": self._ttl_s(),
            }
        )
        await _answer(send, 200, body, b"application/json")


async def _answer(
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
