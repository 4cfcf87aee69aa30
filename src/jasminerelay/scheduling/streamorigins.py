"""Where streams began, which all that continues them must share.

This module does no I/O. Each stream's origin is told to a few instances, its
homes, which its key chooses from the instances in force, so that an instance
that did not begin the stream finds it whether or not the first one has ended.
"""

import bisect
import collections
import dataclasses
import functools
import math
import operator
from collections.abc import Iterable, Sequence

import xxhash

from jasminerelay.catalog import BackendServer, Route, ServiceShare
from jasminerelay.schema.messages import Member

ORIGIN_UNKNOWN = "the software version that began the stream is not known here"
SERVICE_CHANGED = (
    "its route no longer leads to the service that began the stream"
)
VERSION_GONE = "no server of the stream's software version is in use"
"""Reasons for which a stream cannot go on."""

KEPT_S = 60.0
"""How long origins are kept; callers give their streams up long before."""

MAX_GAP_S = 2.0
"""Time without a confirmation in which no server can have come and gone: it is
listed for longer."""

MAX_RECORDS = 20_000
"""Limit on the origins that an instance keeps, twenty times those of a busy
one."""

TOLD = 2
"""Homes of a stream. They are in two availability zones where there are."""

ASKED = 6
"""Instances that are asked for an origin. The orders of two instances differ by
the instances that only one of them knows."""

POINTS = 8
"""Points of each instance on the ring, which even out the homes' shares."""


@dataclasses.dataclass(frozen=True)
class StreamOrigin:
    """What the servers of one stream have in common.

    Attributes:
        service: Their service.
        software_version: Version of their software.
    """

    service: str
    software_version: str


def key_of(organisation: str, attempt: str) -> int:
    """Returns the key of the stream that an organisation's attempt began."""
    return _hash(f"{organisation}\x00{attempt}")


class OriginRecords:
    """The origins that one instance knows, by key."""

    def __init__(self) -> None:
        self._records: collections.OrderedDict[
            int, tuple[float, StreamOrigin | None]
        ] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def add(self, key: int, origin: StreamOrigin, now: float) -> None:
        """Records an origin.

        A key that streams of several origins have got has none from then on.
        """
        self._expire(now)
        _, before = self._records.pop(key, (now, origin))
        kept = origin if before == origin else None
        self._records[key] = (now, kept)
        if len(self._records) > MAX_RECORDS:
            self._records.popitem(last=False)

    def find(self, key: int, now: float) -> StreamOrigin | None:
        """Returns an origin; None if it is unknown."""
        self._expire(now)
        _, origin = self._records.get(key, (now, None))
        return origin

    def all(self, now: float) -> list[tuple[int, StreamOrigin]]:
        """Returns all origins that are known, by key."""
        self._expire(now)
        return [
            (key, origin)
            for key, (_, origin) in self._records.items()
            if origin is not None
        ]

    def _expire(self, now: float) -> None:
        while self._records:
            at, _ = next(iter(self._records.values()))
            if now - at <= KEPT_S:
                return
            self._records.popitem(last=False)


class HomeRing:
    """The order in which instances are the homes of a key.

    Each instance has its points on a ring of hashes; a key's homes are the
    instances of the points that follow it. Finding them takes a number of steps
    that does not grow with the instances, unlike ranking all of them.
    """

    def __init__(self, members: Iterable[Member]):
        points = [
            (point, member)
            for member in members
            for point in _points_of(member.instance)
        ]
        points.sort(key=operator.itemgetter(0))
        self._hashes = [point for point, _ in points]
        self._members = [member for _, member in points]

    def homes(self, key: int, count: int) -> list[Member]:
        """Returns the first homes of a key.

        The second one is in another availability zone than the first one, if
        there is such an instance.
        """
        found = self._following(key, count)
        if len(found) > 1:
            other = self._first_elsewhere(key, found[0].zone)
            if other is not None:
                rest = [member for member in found[1:] if member != other]
                found = [found[0], other, *rest]
        return found[:count]

    def _walk(self, key: int) -> Iterable[Member]:
        start = bisect.bisect(self._hashes, key)
        for step in range(len(self._members)):
            yield self._members[(start + step) % len(self._members)]

    def _following(self, key: int, count: int) -> list[Member]:
        found: dict[str, Member] = {}
        for member in self._walk(key):
            found.setdefault(member.instance, member)
            if len(found) == count:
                break
        return list(found.values())

    def _first_elsewhere(self, key: int, zone: str) -> Member | None:
        return next((x for x in self._walk(key) if x.zone != zone), None)


@dataclasses.dataclass(frozen=True)
class SeenVersions:
    """What an instance knows of a service's software versions.

    Attributes:
        versions: Versions that its servers have had of late.
        watched_s: Time for which the instance has known all servers without a
            gap, up to when its list was last confirmed.
        age_s: Time since then.
    """

    versions: frozenset[str]
    watched_s: float
    age_s: float = 0.0


def covered_s(views: Iterable[SeenVersions]) -> float:
    """Returns for how long until now some views together show all servers.

    A view adds to another one if it ends no earlier than that one begins.

    Args:
        views: The views.
    """
    covered = 0.0
    for view in sorted(views, key=operator.attrgetter("age_s")):
        if view.age_s > covered + MAX_GAP_S:
            break
        covered = max(covered, view.age_s + view.watched_s)
    return covered


def only_version(views: Sequence[SeenVersions], watched_s: float) -> str | None:
    """Returns the only version that there has been, if the views show that.

    Args:
        views: Views of some instances.
        watched_s: Time until now for which they must show all servers.
    """
    versions = frozenset().union(*(view.versions for view in views))
    if len(versions) != 1 or covered_s(views) < watched_s:
        return None
    return next(iter(versions))


class VersionHistory:
    """Which software versions the servers of services have had of late."""

    def __init__(self) -> None:
        self._since: float | None = None
        self._checked_at = -math.inf
        self._ended_at: dict[tuple[str, str], float] = {}
        self._routes: tuple[Route, ...] = ()
        self._services: dict[str, tuple[ServiceShare, ...]] = {}
        self._changed_at: dict[str, float] = {}

    def record_age(self, age_s: float, now: float) -> None:
        """Records the age of the list of servers; called many times a second.

        A server may have come and gone while the list was not confirmed.

        Args:
            age_s: Time since the list was confirmed as complete.
            now: Monotonic time.
        """
        unchecked_s = now - self._checked_at
        is_first = self._checked_at == -math.inf
        self._checked_at = now
        if age_s > MAX_GAP_S or (unchecked_s > MAX_GAP_S and not is_first):
            self._since = None
        elif self._since is None:
            self._since = now - age_s

    def restart(self) -> None:
        """Records that servers may have been missing in the list until now."""
        self._since = None

    def record_end(self, server: BackendServer, now: float) -> None:
        """Records that a server is not listed any more, or never was here."""
        self._ended_at = {
            ended: at
            for ended, at in self._ended_at.items()
            if now - at <= KEPT_S
        }
        self._ended_at[server.service, server.software_version] = now

    def record_routes(self, routes: tuple[Route, ...], now: float) -> None:
        """Records the routes in force."""
        if routes is self._routes:
            return
        self._routes = routes
        before = self._services
        self._services = {route.name: route.services for route in routes}
        for name, services in self._services.items():
            if before.get(name, services) != services:
                self._changed_at[name] = now

    def led_elsewhere(self, route: Route, now: float) -> bool:
        """Returns whether a route has led to another service of late."""
        changed_at = self._changed_at.get(route.name, -math.inf)
        return now - changed_at <= KEPT_S

    def seen(
        self,
        service: str,
        listed: Iterable[BackendServer],
        age_s: float,
        now: float,
    ) -> SeenVersions:
        """Returns what this instance knows of a service's versions.

        Args:
            service: The service.
            listed: All servers that are listed, also draining ones.
            age_s: Time since the list was confirmed as complete.
            now: Monotonic time.
        """
        versions = {x.software_version for x in listed if x.service == service}
        versions |= {
            version
            for (name, version), at in self._ended_at.items()
            if name == service and now - at <= KEPT_S
        }
        watched_s = 0.0
        if self._since is not None:
            watched_s = min(KEPT_S, max(0.0, now - age_s - self._since))
        return SeenVersions(frozenset(versions), watched_s, age_s)


@functools.lru_cache(maxsize=2048)
def _points_of(instance: str) -> tuple[int, ...]:
    return tuple(_hash(f"{instance}\x00{n}") for n in range(POINTS))


def _hash(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode())
