"""The entry list: the instances that a caller should use, best first."""

import dataclasses
import random

from jasminerelay.schema.messages import Member


@dataclasses.dataclass(frozen=True)
class EntryList:
    """The response of /v1/entry.

    Attributes:
        addresses: Base URLs, best first.
        ttl_s: Time for which the caller may cache the response.
    """

    addresses: tuple[str, ...]
    ttl_s: float


def build_entry_list(
    members: list[Member], zone: str, ttl_s: float, rng: random.Random
) -> EntryList:
    """Returns the entry list for a zone, its own instances first."""
    ordered = shuffled_by_zone(members, zone, rng)
    addresses = tuple(f"http://{member.callers}" for member in ordered)
    return EntryList(addresses, ttl_s)


def shuffled_by_zone(
    members: list[Member], zone: str, rng: random.Random
) -> list[Member]:
    """Returns the instances in random order, those of a zone first.

    The random order spreads callers over the instances without a load
    balancer.
    """
    shuffled = list(members)
    rng.shuffle(shuffled)
    shuffled.sort(key=lambda member: member.zone != zone)
    return shuffled
