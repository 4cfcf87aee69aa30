"""Identifies retries of the same request, and parts of prompts.

Clients send each retry under a new ID, so identity is derived from the content.
"""

import hashlib

from jasminerelay.catalog import Call

SIZE_BYTES = 16
"""Digest size: large enough that no two requests of a day collide by chance,
and that a client cannot construct a second request with the same digest."""

_PART = b"prompt part"
"""Keeps the digests of parts apart from those of requests."""


def of(call: Call) -> str:
    """Returns the same digest for each retry of an organisation's request.

    Args:
        call: The request. Its method, host, target and body count; its headers
            do not, since clients change IDs and times with each retry.
    """
    digest = hashlib.blake2b(digest_size=SIZE_BYTES)
    for part in (
        call.organisation.encode(),
        call.method.encode(),
        call.host.lower().encode(),
        call.target,
        call.body,
    ):
        # Prefixed with its length, so that parts cannot run into each other.
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def of_parts(call: Call) -> list[str]:
    """Returns a digest for each part of a prompt but the last, in order."""
    shared = call.prompt.shared_parts if call.prompt is not None else ()
    return [
        hashlib.blake2b(
            part.id.encode(), digest_size=SIZE_BYTES, person=_PART
        ).hexdigest()
        for part in shared
    ]
