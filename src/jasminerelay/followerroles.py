"""Decides which instances follow the store closely, and whom they notify.

This module does no I/O except for reading the clock. The leader, the first
instance in an order on which all agree, has the store confirm every second that
nothing is newer than its own data and notifies the others, so their data is as
recent as its own. An instance whose data still becomes too old asks the store
itself.

In a small platform all instances follow the store. From
MIN_INSTANCES_FOR_FOLLOWERS on three instances of each availability zone do, and
forward changes to the others of their zone.
"""

import time
from collections.abc import Collection, Iterable

from jasminerelay import rendezvous
from jasminerelay.schema.messages import Member

MIN_INSTANCES_FOR_FOLLOWERS = 12
"""Number of instances from which some follow the store for all. With fewer,
three of each of three zones would be nearly all."""

FOLLOWERS_PER_ZONE = 3
"""Instances of each availability zone that follow the store closely and notify
the others of their zone. Two may fail at once; the followers of other zones
notify, too."""

FOLLOWER_SILENCE_S = 1.2
"""Time without a message from the followers of its zone after which an instance
follows the store closely itself. They send every 0.4 s, and a leaving server
must be known within two seconds."""

CONFIRMATION_SENDERS = 3
"""Instances that send the store's confirmations to the others: the leader and
those next in the order, which step in for it. More senders would repeat the
same messages."""

FIRST_CALLERS = 3
"""Instances that call a store that is lost for all often, in the order of all
instances whether they reach it or not, so that all agree on them."""

LEADER_POLL_AGE_S = 1.3
"""Age of the data above which the leader aborts its waiting calls. A call that
waits 0.9 s and returns late from a slow store is not aborted."""

LAGGING_POLL_AGE_S = 0.3
"""The same limit while one table is confirmed up to an older version than
another. The waiting call on the older table returns the change in milliseconds,
unless it hangs."""

LAG_ABORT_PERIOD_S = 1.0
ALL_TABLES_S = 5.0
"""How long that lower limit holds after a lag has begun, and how long the
leader then has the store confirm all tables in place of one. Writes to other
tables raise the store's version, too, such as renewals of a lease several times
a second; each would otherwise abort the waiting calls."""

POLL_AGE_STEP_S = 0.1
MAX_POLL_AGE_S = 1.6
"""How much the limit rises with each position in the order, and its maximum.
The leader's message usually arrives before another instance's limit is reached.
The maximum keeps a change from taking effect later than two seconds after the
store has accepted it."""


class FollowerRole:
    """One instance's role in following the store."""

    def __init__(self, own: str, zone: str):
        """Creates the role of an instance that knows no other yet.

        Args:
            own: Name of this instance.
            zone: Its availability zone.
        """
        self._own = own
        self._zone = zone
        self._last_update: tuple = ()
        self._others: list[Member] = []
        self._position = 0
        self._first_callers: list[str] = []
        self._followers_by_zone: dict[str, list[Member]] = {}
        self._last_message_at = float("-inf")
        self._shared = False
        self._lag_began_at = float("-inf")
        self._lagged_at = float("-inf")

    def update_instances(
        self,
        live: Iterable[Member],
        *,
        shared: bool,
        without_store: Collection[str] = (),
        starting: Collection[str] = (),
    ) -> None:
        """Updates the list of instances.

        Args:
            live: Instances that accept callers.
            shared: Whether the platform is so large that a few instances follow
                the store for all.
            without_store: Names of the instances that cannot reach the store.
            starting: Names of instances that do not accept callers yet.
        """
        members = {item.instance: item for item in live}
        update = (
            frozenset(members),
            shared,
            frozenset(without_store),
            frozenset(starting),
        )
        if update == self._last_update:
            return
        self._last_update = update
        self._shared = shared
        self._others = [
            member for name, member in members.items() if name != self._own
        ]
        with_store = [name for name in members if name not in without_store]
        order = rendezvous.rank("store", with_store or members)
        self._position = (
            order.index(self._own) if self._own in order else len(order)
        )
        # While the store is lost for all, those next in the order call it in
        # place of a leader that has failed.
        callers = {*members, *starting}
        self._first_callers = rendezvous.rank("store", callers)[:FIRST_CALLERS]
        zones: dict[str, list[Member]] = {}
        for member in members.values():
            zones.setdefault(member.zone, []).append(member)
        self._followers_by_zone = {
            zone: [
                members[name] for name in followers_of_zone(zone, _names(group))
            ]
            for zone, group in zones.items()
        }

    def record_message(self, instance: str, now: float) -> None:
        """Records a message from an instance that reaches the store."""
        if instance in _names(self._followers_by_zone.get(self._zone, [])):
            self._last_message_at = now

    @property
    def is_leader(self) -> bool:
        """Whether this instance has the store confirm the data for all."""
        return self._position == 0

    @property
    def is_first_caller(self) -> bool:
        """Whether this instance calls a store that is lost for all often."""
        return self._own in self._first_callers

    def record_lag(self, now: float, *, versions_differ: bool) -> bool:
        """Records whether a table lags; returns whether to ask the store soon.

        Args:
            now: Monotonic time.
            versions_differ: Whether one table is confirmed up to an older
                version than another.
        """
        if not versions_differ:
            return False
        if not self.polls_all_tables(now):
            self._lag_began_at = now
        self._lagged_at = now
        return now - self._lag_began_at < LAG_ABORT_PERIOD_S

    def polls_all_tables(self, now: float) -> bool:
        """Returns whether the leader has the store confirm each table."""
        return now - self._lagged_at < ALL_TABLES_S

    def poll_age_s(self, *, lags: bool) -> float:
        """Returns the age of the data above which to ask the store.

        Args:
            lags: Whether one table is confirmed up to an older version than
                another.
        """
        if self.is_leader:
            return LAGGING_POLL_AGE_S if lags else LEADER_POLL_AGE_S
        extra_s = POLL_AGE_STEP_S * self._position
        return min(LEADER_POLL_AGE_S + extra_s, MAX_POLL_AGE_S)

    def follows_closely(self) -> bool:
        """Returns whether this instance follows the store closely."""
        own_zone = _names(self._followers_by_zone.get(self._zone, []))
        if not self._shared or self.is_leader or self._own in own_zone:
            return True
        return time.monotonic() - self._last_message_at > FOLLOWER_SILENCE_S

    def confirmation_recipients(self) -> list[Member]:
        """Returns the instances to which this one sends confirmations."""
        if self._position >= CONFIRMATION_SENDERS:
            return []
        if not self._shared:
            return self._others
        return [
            member
            for group in self._followers_by_zone.values()
            for member in group
            if member.instance != self._own
        ]

    def change_recipients(self) -> list[Member]:
        """Returns the instances to which this one forwards changes."""
        own_zone = _names(self._followers_by_zone.get(self._zone, []))
        if not self._shared or self._own not in own_zone:
            return []
        return [
            member
            for member in self._others
            if member.zone == self._zone
            and member.instance not in own_zone
            and rendezvous.owner(member.instance, own_zone) == self._own
        ]


def followers_of_zone(zone: str, instances: Iterable[str]) -> list[str]:
    """Returns the instances of a zone that follow the store closely.

    Args:
        zone: The availability zone.
        instances: Its live instances.
    """
    return rendezvous.rank(f"store/{zone}", instances)[:FOLLOWERS_PER_ZONE]


def reads_at_start(own: Member, known: Iterable[Member]) -> bool:
    """Returns whether a starting instance reads the tables for others, too.

    Args:
        own: The instance.
        known: All instances that it knows, also those that are starting.
    """
    members = {member.instance: member for member in (own, *known)}
    if len(members) < MIN_INSTANCES_FOR_FOLLOWERS:
        return True
    zone = [name for name, item in members.items() if item.zone == own.zone]
    return own.instance in followers_of_zone(own.zone, zone)


def _names(members: Iterable[Member]) -> list[str]:
    return [member.instance for member in members]
