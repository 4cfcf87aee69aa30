"""Which instances follow the store closely, and whom they tell.

Pure but for the clock. Among few instances all follow it. Among many, three of
each availability zone do, and the others of the zone learn from them.
"""

import time
from collections.abc import Iterable

from jasminerelay import rendezvous
from jasminerelay.schema.messages import Member

FOLLOWERS = 3
"""Instances of each availability zone that follow the store closely and tell
the others of their zone. Two may go at once; the other zones' tell, too."""

LED_S = 1.2
"""Silence of those who follow the store for an instance after which it follows
closely itself. They speak each 0.4 s; a server that leaves must be known within
two seconds."""


class Followers:
    """One instance's part in following the store."""

    def __init__(self, own: str, zone: str):
        """Makes the part of an instance that knows no other yet.

        Args:
            own: This instance.
            zone: Its availability zone.
        """
        self._own = own
        self._zone = zone
        self._members: list[Member] = []
        self._chosen: list[str] = []
        self._heard_at = float("-inf")
        self._shared = False

    def saw_instances(self, live: Iterable[Member], *, shared: bool) -> None:
        """Notes the instances there are.

        Args:
            live: Those that take callers.
            shared: Whether there are so many that few follow for all.
        """
        self._shared = shared
        self._members = [item for item in live if item.zone == self._zone]
        names = [item.instance for item in self._members]
        self._chosen = chosen(self._zone, names)

    def heard(self, instance: str, now: float) -> None:
        """Notes a word of an instance that has the store."""
        if instance in self._chosen:
            self._heard_at = now

    def closely(self) -> bool:
        """Returns whether this instance follows the store closely."""
        if not self._shared or self._own in self._chosen:
            return True
        return time.monotonic() - self._heard_at > LED_S

    def led(self) -> list[Member]:
        """Returns the instances that this one tells of the store's changes."""
        if not self._shared or self._own not in self._chosen:
            return []
        return [
            member
            for member in self._members
            if member.instance not in self._chosen
            and rendezvous.owner(member.instance, self._chosen) == self._own
        ]


def chosen(zone: str, instances: Iterable[str]) -> list[str]:
    """Returns the instances of a zone that follow the store closely.

    Args:
        zone: The availability zone.
        instances: Its live instances.
    """
    return rendezvous.rank(f"store/{zone}", instances)[:FOLLOWERS]
