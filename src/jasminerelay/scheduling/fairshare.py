"""Weighted max-min shares of capacity among organisations.

Load handled: one organisation sends many times its usual load, or several
compete for too little capacity, within one rank.

This is start-time fair queueing with a counter of work per organisation. The
request to serve next is one of the waiting organisation with the lowest usage.
The virtual time follows the lowest usage of the waiting organisations, and an
organisation that was idle starts there: it could otherwise save up its share
and then starve the others. Capacity that an organisation leaves unused is
therefore free for the others, who owe nothing for it later.
"""

import collections
import dataclasses
import math

MIN_RECORDS_BEFORE_PRUNING = 64

WINDOW_S = 2.0
"""Time after which an organisation without placements no longer competes; up to
twice as long, since whole windows are counted."""

BURST_FACTOR = 2.0
"""Work of an organisation without a backlog, relative to the mean, above which
it is over its share. With few requests for each organisation at an instance,
many exceed the mean by chance."""

RESERVED_SHARE = 0.04
"""Share of the capacity that organisations over their share leave free where
several instances place requests, for requests of others at any instance. The
aim is to use 0.95 of the capacity."""

UNEVEN_RESERVED_SHARE = 0.12
"""Share that they leave free at an instance that has more than its part of the
requests in flight. Were it as small as the other, instances that do not know
each other's latest placements would all take the same free slot."""

REPORT_INTERVAL_S = 0.1
"""Interval of load reports, in which instances do not know each other's latest
placements."""


class FairShares:
    """Usage of the organisations that share one kind of capacity.

    Attributes:
        virtual_time: Usage at which an idle organisation starts.

    Example:
        >>> shares = FairShares()
        >>> shares.activate("large")
        >>> shares.charge("large", 5.0)
        >>> shares.activate("small")
        >>> shares.usage("small")
        5.0
        >>> shares.charge("small", 1.0)
        >>> shares.usage("small") > shares.usage("large")
        True
    """

    def __init__(self) -> None:
        self.virtual_time = 0.0
        self._waiting: dict[str, int] = {}
        self._usage: dict[str, float] = {}
        self._prune_at = MIN_RECORDS_BEFORE_PRUNING

    def __len__(self) -> int:
        """Returns the number of organisations with a record."""
        return len(self._usage)

    def activate(self, organisation: str) -> None:
        """Records that a request of an organisation waits."""
        count = self._waiting.get(organisation, 0)
        self._waiting[organisation] = count + 1
        if not count:
            self._usage[organisation] = max(
                self.usage(organisation), self.virtual_time
            )

    def deactivate(self, organisation: str) -> None:
        """Records that a request of an organisation waits no longer."""
        count = self._waiting[organisation] - 1
        if count:
            self._waiting[organisation] = count
        else:
            del self._waiting[organisation]

    def waiting(self, organisation: str) -> int:
        """Returns the number of waiting requests of an organisation."""
        return self._waiting.get(organisation, 0)

    def usage(self, organisation: str) -> float:
        """Returns the work charged to an organisation, divided by its weight.

        It counts from the virtual time at which the organisation was last idle.
        """
        return self._usage.get(organisation, self.virtual_time)

    def charge(
        self, organisation: str, work: float, weight: float = 1.0
    ) -> None:
        """Charges work to an organisation.

        Args:
            organisation: Organisation that used the capacity.
            work: Estimate at the placement, or a later correction, which may
                be negative.
            weight: Share of the organisation relative to others. It is passed
                with each charge, because a correction may come after the
                organisation's record was dropped.
        """
        usage = self.usage(organisation) + work / weight
        self._usage[organisation] = usage
        lowest = min((self._usage[x] for x in self._waiting), default=usage)
        self.virtual_time = max(self.virtual_time, lowest)
        if len(self._usage) > self._prune_at:
            self._prune_idle()

    def _prune_idle(self) -> None:
        # activate() would raise the usage of these organisations to the virtual
        # time anyway.
        self._usage = {
            name: usage
            for name, usage in self._usage.items()
            if name in self._waiting or usage > self.virtual_time
        }
        # Doubling bounds the mean cost of a charge if few can be dropped.
        self._prune_at = max(MIN_RECORDS_BEFORE_PRUNING, 2 * len(self._usage))


class RecentWork:
    """Work of each organisation in the last seconds."""

    def __init__(self) -> None:
        self._window = -1
        self._previous: collections.Counter[str] = collections.Counter()
        self._current: collections.Counter[str] = collections.Counter()

    def record(self, organisation: str, work: float, now: float) -> None:
        """Records work that an organisation was given."""
        self._advance(now)
        self._current[organisation] += work

    def over_share(self, organisation: str, queued: int, now: float) -> bool:
        """Returns whether an organisation had more than its share.

        False if no other organisation had any work. Otherwise it had if its
        work exceeds the mean and it has a backlog, or if its work is a multiple
        of the mean: a burst at all instances at once finds capacity at each.

        Args:
            organisation: The organisation.
            queued: Number of its requests that wait.
            now: Monotonic time.
        """
        self._advance(now)
        names = self._previous.keys() | self._current.keys()
        if len(names) < 2:
            return False
        own = self._previous[organisation] + self._current[organisation]
        mean = (self._previous.total() + self._current.total()) / len(names)
        return own > (mean if queued > 1 else BURST_FACTOR * mean)

    def _advance(self, now: float) -> None:
        window = int(now / WINDOW_S)
        if window == self._window:
            return
        ended = self._current if window == self._window + 1 else None
        self._previous = ended or collections.Counter()
        self._current = collections.Counter()
        self._window = window


@dataclasses.dataclass(frozen=True)
class Headroom:
    """Capacity for one kind of request, in requests.

    Attributes:
        free: Number of further requests for which there is capacity.
        total: Number of requests that the capacity is for.
        own: Number in flight of this instance.
        instances: Number of instances that share the capacity.
    """

    free: float
    total: float
    own: int
    instances: int

    def allows_over_share(self, spread: float, grown: int) -> bool:
        """Returns whether an organisation over its share may use one more.

        An instance sees at once what it frees itself, and what others free
        only with their load reports. Without a limit it would hand all that it
        frees to its own backlog, and an organisation under its share would wait
        at the instances that have few requests in flight.

        Beyond its part an instance grows by its part of what is free in each
        report interval: in a burst at all instances at once, each would
        otherwise take all that was free before.

        Args:
            spread: Number from 0 to 1 that rounds the instance's part up or
                down, since with few slots a part has a large fraction.
            grown: By how much the number in flight of this instance has grown
                in the report interval.
        """
        if self.instances <= 1:
            return True
        # Rounded: of few slots, one would be too large a part.
        reserved = round(self.total * RESERVED_SHARE)
        part = (self.total - reserved) / self.instances
        if self.own + 1 <= math.floor(part + spread):
            return self.free - 1 >= reserved
        if grown + 1 > max(1.0, self.free / self.instances):
            return False
        return self.free - 1 >= self.total * UNEVEN_RESERVED_SHARE
