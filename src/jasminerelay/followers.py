"""Which instances follow the store closely, and whom they tell.

Pure but for the clock. One instance, the first in an order that all agree on,
has the store prove every second that nothing is newer than what it knows, and
tells the others, so their knowledge is as young as its own. Whose knowledge
grows too old all the same asks the store itself.

Among few instances all follow the store. Among many, three of each availability
zone do, and the others of the zone learn from them.
"""

import time
from collections.abc import Collection, Iterable

from jasminerelay import rendezvous
from jasminerelay.schema.messages import Member

FOLLOWERS = 3
"""Instances of each availability zone that follow the store closely and tell
the others of their zone. Two may go at once; the other zones' tell, too."""

LED_S = 1.2
"""Silence of those who follow the store for an instance after which it follows
closely itself. They speak each 0.4 s; a server that leaves must be known within
two seconds."""

LEADERS = 3
"""Instances that tell the others what the store has proved to them: the first
of the order and those that step in for it. More would tell each of the others
the same."""

LEAD_PATIENCE_S = 1.3
"""Age of the knowledge from which on the first of the order gives its waiting
calls up: one that waits 0.9 s and comes back late from a slow store is let be.
"""

LAG_PATIENCE_S = 0.3
"""The same while one table is known up to an older version than another. The
older one's own waiting call brings the change in milliseconds, unless it
hangs."""

STEP_S = 0.1
MOST_PATIENCE_S = 1.6
"""How much longer each next one of the order waits, and the longest wait. The
first one's word then mostly comes before; knowledge is never so old that a
change is in force late, two seconds after the store has accepted it."""


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
        self._seen: tuple = ()
        self._others: list[Member] = []
        self._order: list[str] = []
        self._chosen: dict[str, list[Member]] = {}
        self._heard_at = float("-inf")
        self._shared = False

    def saw_instances(
        self,
        live: Iterable[Member],
        *,
        shared: bool,
        without_store: Collection[str] = (),
    ) -> None:
        """Notes the instances there are.

        Args:
            live: Those that take callers.
            shared: Whether there are so many that few follow for all.
            without_store: Those that have lost the store.
        """
        members = {item.instance: item for item in live}
        seen = (frozenset(members), shared, frozenset(without_store))
        if seen == self._seen:
            return
        self._seen = seen
        self._shared = shared
        self._others = [
            member for name, member in members.items() if name != self._own
        ]
        able = [name for name in members if name not in without_store]
        self._order = rendezvous.rank("store", able or members)
        zones: dict[str, list[Member]] = {}
        for member in members.values():
            zones.setdefault(member.zone, []).append(member)
        self._chosen = {
            zone: [members[name] for name in chosen(zone, _names(group))]
            for zone, group in zones.items()
        }

    def heard(self, instance: str, now: float) -> None:
        """Notes a word of an instance that has the store."""
        if instance in _names(self._chosen.get(self._zone, [])):
            self._heard_at = now

    @property
    def leads(self) -> bool:
        """Whether this instance has the store prove the knowledge for all."""
        return self._position == 0

    @property
    def _position(self) -> int:
        if self._own in self._order:
            return self._order.index(self._own)
        return len(self._order)

    def patience_s(self, *, lags: bool) -> float:
        """Returns the age of the knowledge from which on to ask the store.

        Args:
            lags: Whether one table is known up to an older version than
                another.
        """
        if self.leads:
            return LAG_PATIENCE_S if lags else LEAD_PATIENCE_S
        later_s = STEP_S * self._position
        return min(LEAD_PATIENCE_S + later_s, MOST_PATIENCE_S)

    def closely(self) -> bool:
        """Returns whether this instance follows the store closely."""
        own_zone = _names(self._chosen.get(self._zone, []))
        if not self._shared or self.leads or self._own in own_zone:
            return True
        return time.monotonic() - self._heard_at > LED_S

    def told(self) -> list[Member]:
        """Returns the instances that this one tells of the store's proofs."""
        if self._position >= LEADERS:
            return []
        if not self._shared:
            return self._others
        return [
            member
            for group in self._chosen.values()
            for member in group
            if member.instance != self._own
        ]

    def led(self) -> list[Member]:
        """Returns the instances that this one tells of the store's changes."""
        own_zone = _names(self._chosen.get(self._zone, []))
        if not self._shared or self._own not in own_zone:
            return []
        return [
            member
            for member in self._others
            if member.zone == self._zone
            and member.instance not in own_zone
            and rendezvous.owner(member.instance, own_zone) == self._own
        ]


def chosen(zone: str, instances: Iterable[str]) -> list[str]:
    """Returns the instances of a zone that follow the store closely.

    Args:
        zone: The availability zone.
        instances: Its live instances.
    """
    return rendezvous.rank(f"store/{zone}", instances)[:FOLLOWERS]


def _names(members: Iterable[Member]) -> list[str]:
    return [member.instance for member in members]
