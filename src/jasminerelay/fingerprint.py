"""Tells whether two requests are the same one, sent again.

Each try of a caller has an id of its own, so only what it sends tells.
"""

import hashlib

from jasminerelay.catalog import Call

SIZE_BYTES = 16
"""Enough that no two requests of a day have the same one by chance, and too
many for a caller to find a second request with another's."""


def of(call: Call) -> str:
    """Returns the same text for the same request of the same organisation.

    Args:
        call: The request. Its method, host, target and body count; its header
            fields do not, since callers change ids and times with each try.
    """
    digest = hashlib.blake2b(digest_size=SIZE_BYTES)
    for part in (
        call.organisation.encode(),
        call.method.encode(),
        call.host.lower().encode(),
        call.target,
        call.body,
    ):
        # With its length, so that no part's end can pass for the next's start.
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
