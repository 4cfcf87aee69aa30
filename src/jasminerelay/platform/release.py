"""Lets a request be sent again that is blocked."""

import anyio

from jasminerelay.httpclient import Client
from jasminerelay.platform.storeclient import Store
from jasminerelay.platform.tables import release_request
from jasminerelay.watchdog import Watchdog


def release(fingerprint: str, address: str) -> None:
    """Writes the release to the store.

    Args:
        fingerprint: Names the request.
        address: IP:port of the store.

    Raises:
        StoreError: if the store does not answer.
    """
    anyio.run(_release, fingerprint, address)


async def _release(fingerprint: str, address: str) -> None:
    client = Client(Watchdog())
    try:
        await release_request(Store(client, address), fingerprint)
    finally:
        await client.aclose()
