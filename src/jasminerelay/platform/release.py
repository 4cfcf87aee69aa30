"""Unblocks a request that was blocked after server crashes."""

import anyio

from jasminerelay.httpclient import HttpClient
from jasminerelay.platform.storeclient import Store
from jasminerelay.platform.tables import release_request
from jasminerelay.watchdog import Watchdog


def release(fingerprint: str, address: str) -> None:
    """Writes to the store that a request is no longer blocked.

    Args:
        fingerprint: Fingerprint of the request.
        address: IP:port of the store.

    Raises:
        StoreError: if the store does not answer.
    """
    anyio.run(_release, fingerprint, address)


async def _release(fingerprint: str, address: str) -> None:
    client = HttpClient(Watchdog())
    try:
        await release_request(Store(client, address), fingerprint)
    finally:
        await client.aclose()
