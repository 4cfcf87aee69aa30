"""Which instances a caller should use, in order."""

import dataclasses
import random

from jasminerelay.schema.messages import Member


@dataclasses.dataclass(frozen=True)
class EntryList:
    """The answer of /v1/entry.

    Attributes:
        addresses: Base URLs, best first.
        ttl_s: Seconds for which the caller may keep the answer.
    """

    addresses: tuple[str, ...]
    ttl_s: float


def entry_list(
    members: list[Member], zone: str, ttl_s: float, rng: random.Random
) -> EntryList:
    """Returns the live instances, those of the caller's zone first."""
    ordered = in_order(members, zone, rng)
    addresses = tuple(f"http://{member.callers}" for member in ordered)
    return EntryList(addresses, ttl_s)


def in_order(
    members: list[Member], zone: str, rng: random.Random
) -> list[Member]:
    """Returns instances, those of a zone first.

    Shuffled within each part, so that callers spread without a balancer.
    """
    shuffled = list(members)
    rng.shuffle(shuffled)
    shuffled.sort(key=lambda member: member.zone != zone)
    return shuffled
