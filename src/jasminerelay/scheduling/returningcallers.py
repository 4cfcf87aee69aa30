"""Callers that come back after a refusal keep their place by age.

Load handled: more requests than capacity, with callers of which some wait for
the time that they were told and others retry at once and often.

Nothing depends on this memory: where it is lost, a retry counts as new.
"""

import collections
import dataclasses
import hashlib

from jasminerelay import fingerprint
from jasminerelay.catalog import Call

MAX_RECORDS = 4096
MAX_AGE_S = 30.0
"""Bounds on the memory of refused requests. No caller is told to come back
later than a third of its remaining time, which is far less."""

KEY_BYTES = 16


@dataclasses.dataclass(frozen=True)
class _Refusal:
    refused_at: float
    first_arrival: float
    retry_at: float


class ReturningCallers:
    """Remembers refused requests by a key that a retry has too.

    Example:
        >>> memory = ReturningCallers()
        >>> memory.record_refusal("k", first_arrival=1.0, retry_at=4.0, now=2.0)
        >>> memory.first_arrival("k", arrived_at=4.5)
        1.0
        >>> memory.first_arrival("k", arrived_at=4.5)
        4.5
    """

    def __init__(self) -> None:
        self._refusals: collections.OrderedDict[str, _Refusal] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._refusals)

    def record_refusal(
        self, key: str, first_arrival: float, retry_at: float, now: float
    ) -> None:
        """Records that a request is refused.

        Args:
            key: Key of the request.
            first_arrival: Arrival time of the request's first attempt.
            retry_at: Time before which it should not come back.
            now: Monotonic time.
        """
        self._refusals[key] = _Refusal(now, first_arrival, retry_at)
        self._refusals.move_to_end(key)
        self._drop_oldest(now)

    def first_arrival(self, key: str, arrived_at: float) -> float:
        """Returns the arrival time by which a request is ordered.

        A retry that comes before its time counts as new and forfeits its age:
        retrying often would otherwise gain the age of a caller that waits.

        Args:
            key: Key of the request.
            arrived_at: Arrival time of this attempt.
        """
        refusal = self._refusals.pop(key, None)
        if (
            refusal is None
            or arrived_at < refusal.retry_at
            or arrived_at - refusal.refused_at > MAX_AGE_S
        ):
            return arrived_at
        return min(refusal.first_arrival, arrived_at)

    def _drop_oldest(self, now: float) -> None:
        while len(self._refusals) > MAX_RECORDS or self._oldest_expired(now):
            self._refusals.popitem(last=False)

    def _oldest_expired(self, now: float) -> bool:
        oldest = next(iter(self._refusals.values()), None)
        return oldest is not None and now - oldest.refused_at > MAX_AGE_S


def request_key(call: Call) -> str:
    """Returns the same key for each attempt of an organisation's request.

    An attempt has an id of its own, and an owner of a cell knows the request's
    own prompt part only by its size. Two requests of an organisation that have
    the same key may exchange their ages, which affects no other organisation.
    """
    prompt = call.prompt
    if prompt is None:
        return fingerprint.of(call)
    digest = hashlib.blake2b(digest_size=KEY_BYTES)
    for part in (
        call.organisation,
        call.route.name,
        *(part.id for part in prompt.shared_parts),
        str(prompt.own_tokens),
        str(prompt.max_output),
    ):
        encoded = part.encode()
        # Prefixed with its length, so that parts cannot run into each other.
        digest.update(len(encoded).to_bytes(8, "big"))
        digest.update(encoded)
    return digest.hexdigest()
