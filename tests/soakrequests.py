"""How callers of the randomised runs on the platform send their requests."""

import contextlib
import time
from collections.abc import AsyncIterator, Mapping

import httpcore

from standins.platformsite import API_KEY, HOST
from tests.soakparts import SentRequest


@contextlib.asynccontextmanager
async def asked(
    pool: httpcore.AsyncConnectionPool,
    address: str,
    request: SentRequest,
    fields: Mapping[str, str],
) -> AsyncIterator[httpcore.Response]:
    """Sends a request, notes the head of its answer and yields the response.

    Args:
        pool: The caller's connections.
        address: Callers' address of an instance.
        request: The request.
        fields: Header fields besides those that each request has.
    """
    request.address = address
    request.sent_at = time.monotonic()

    async def note_sent(event: str, info: dict) -> None:
        del info
        if event == "http11.send_request_body.complete":
            request.all_sent_at = time.monotonic()

    headers = {
        "Host": HOST,
        "Attempt-Id": request.attempt,
        "Authorization": f"Bearer {API_KEY}",
        "Content-Length": str(len(request.body)),
        **fields,
    }
    async with pool.stream(
        "POST",
        f"http://{address}{request.path}",
        headers=list(headers.items()),
        content=request.body,
        extensions={"trace": note_sent},
    ) as reply:
        received = {k.lower(): v for k, v in reply.headers}
        request.status = reply.status
        request.signature = received.get(b"server-signature", b"").decode()
        yield reply
