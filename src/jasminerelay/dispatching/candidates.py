"""The servers among which a request is placed, and what is known of each."""

import dataclasses
import time
from collections.abc import Callable, Iterable, Sequence

import xxhash

from jasminerelay.catalog import BackendServer, Call, Engine, PromptPart
from jasminerelay.dispatching.requestneeds import RequestNeeds
from jasminerelay.dispatching.usableservers import UsableServers
from jasminerelay.placing import PlacementCandidate
from jasminerelay.prefix import CacheView, PrefixIndex, part_hash
from jasminerelay.scheduling.brittleservers import InstanceUse
from jasminerelay.scheduling.servercapacity import (
    PLAIN_REQUESTS_PER_SLOT,
    USUAL_SERVER,
    CapacityRecords,
    ServerView,
)
from jasminerelay.scheduling.sharedprefixes import (
    MIN_INSTANCES_TO_ANNOUNCE,
    PrefixAnnouncements,
)
from jasminerelay.schema.messages import CachedParts
from jasminerelay.tokentimes import TokenTimes
from jasminerelay.workload import Workload

TRIAL_INTERVAL = 32
TRIAL_SLOWNESS = 0.5
"""One of this many requests prefers servers that look slow and have not
responded of late, by that slowness. They are thus measured again also where the
others could serve all requests. A share of the requests does not grow with the
number of instances, as a fixed interval would."""

MAX_COPY_SOURCES = 4
"""Servers examined as the source of a prefix's copy. The latest ones are the
least likely to have evicted it."""

OwnPlaces = Callable[[str, Engine], int | None]
"""Returns how many requests this instance may place at a server alone; None if
no other instance places requests there."""


class Candidates:
    """Finds the candidates for requests, and knows the prefixes cached there.

    Attributes:
        announcements: Prompt parts to report to the other instances.
        own_places: Returns the places of this instance alone.
    """

    def __init__(
        self,
        usable: UsableServers,
        needs: RequestNeeds,
        workload: Workload,
        token_times: TokenTimes,
        capacities: CapacityRecords,
        caches: CacheView | None,
        instances: Callable[[], int],
    ):
        """Creates the view without any cached prefix.

        Args:
            usable: The servers that are excluded after failures.
            needs: What requests need.
            workload: Load of the servers.
            token_times: Times per token at the servers.
            capacities: Speeds and limits of the servers.
            caches: Contents of the servers' KV caches, for an instance that
                places all their requests; None if several do.
            instances: Returns the number of instances that share the load.
        """
        self._usable = usable
        self._needs = needs
        self._workload = workload
        self._token_times = token_times
        self._capacities = capacities
        self._caches = caches
        self._instances = instances
        self._prefixes = PrefixIndex()
        self.announcements = PrefixAnnouncements()
        self.own_places: OwnPlaces = lambda server, engine: None

    def find(
        self, call: Call, servers: list[BackendServer]
    ) -> list[PlacementCandidate]:
        """Returns some servers with what is known of each."""
        now = time.monotonic()
        comparison = self._token_times.compare(
            (item.id for item in servers), now
        )
        shared = call.prompt.shared_parts if call.prompt is not None else ()
        part_hashes = tuple(part_hash(part.id) for part in shared)
        engine = self._usable.engine_of(call.service)
        capacities = self._capacities.of(call.service)
        views = [
            capacities.view(
                server.id,
                engine.slots
                if engine
                else PLAIN_REQUESTS_PER_SLOT * server.slots,
                now,
            )
            for server in servers
        ]
        if capacities.brittle:
            views = [
                _with_limit(
                    view,
                    capacities.brittle.instance_limit(
                        server.id,
                        engine.slots if engine else server.slots,
                        self._use_of(server.id),
                        now,
                    ),
                )
                for view, server in zip(views, servers, strict=True)
            ]
        if views.count(USUAL_SERVER) < len(views) and _is_trial(call):
            views = [
                dataclasses.replace(view, slowness=TRIAL_SLOWNESS)
                if view.slowness > 1.0 and capacities.trial_due(server.id, now)
                else view
                for view, server in zip(views, servers, strict=True)
            ]
        return [
            PlacementCandidate(
                server,
                self._workload.load(server.id),
                self._cached_tokens(server.id, shared, part_hashes),
                comparison.slowness(server.id),
                comparison.token_s[server.id],
                self._usable.blocked(call.service, server.id, now),
                self._caches is not None,
                view.slowness,
                view.limit,
                view.unknown,
            )
            for server, view in zip(servers, views, strict=True)
        ]

    def with_own_places(
        self, item: PlacementCandidate, engine: Engine
    ) -> PlacementCandidate:
        """Returns a server with the places that are left to this instance."""
        places = self.own_places(item.server.id, engine)
        if places is None:
            return item
        left = places - self._workload.placed_alone(item.server.id)
        return dataclasses.replace(item, own_places=left)

    def other_prefix_holders(
        self,
        call: Call,
        servers: list[BackendServer],
        candidates: list[PlacementCandidate],
    ) -> list[PlacementCandidate]:
        """Returns servers besides the candidates that have the prefix cached.

        They are no choice for the request, but its prefix can be copied from
        them. A kind with few servers finds its prefixes at those of other kinds
        after each change of the split.
        """
        shared = call.prompt.shared_parts
        if not shared:
            return []
        view = self._prefixes if self._caches is None else self._caches
        names = view.holders(part_hash(shared[-1].id))[:MAX_COPY_SOURCES]
        names = set(names) - {item.server.id for item in candidates}
        if not names:
            return []
        others = [server for server in servers if server.id in names]
        return [x for x in self.find(call, others) if not x.blocked]

    def _use_of(self, server: str) -> InstanceUse:
        return InstanceUse(
            self._workload.own_running(server),
            self._workload.load(server).running,
            self._instances(),
        )

    def _cached_tokens(
        self,
        server: str,
        shared: Sequence[PromptPart],
        part_hashes: tuple[int, ...],
    ) -> int:
        if not part_hashes:
            return 0
        view = self._prefixes if self._caches is None else self._caches
        count = view.matched(server, part_hashes)
        return sum(part.tokens for part in shared[:count])

    def record_cached_parts(self, call: Call, server: str) -> None:
        """Records that a server caches the prompt of a request."""
        parts = call.prompt.parts
        part_hashes = [part_hash(part.id) for part in parts]
        engine = self._usable.engine_of(call.service)
        if self._caches is None or engine is None:
            if self._instances() >= MIN_INSTANCES_TO_ANNOUNCE:
                shared = part_hashes[: len(call.prompt.shared_parts)]
                known = self._prefixes.matched(server, shared)
                self.announcements.record(server, shared[known:])
            self._prefixes.add(server, tuple(part_hashes))
            return
        tokens = [part.tokens for part in parts]
        tokens[-1] += self._needs.output_estimate(call).output
        self._caches.add(
            server,
            list(zip(part_hashes, tokens, strict=True)),
            engine.cache_tokens,
        )

    def apply_cached_parts(self, cached: Iterable[CachedParts]) -> None:
        """Records prompt parts that other instances have brought to servers."""
        for item in cached:
            self._prefixes.add(item.server, tuple(item.parts))

    def forget(self, server: str) -> None:
        """Deletes what a server that has ended had cached."""
        self._prefixes.forget(server)
        if self._caches is not None:
            self._caches.forget(server)


def _with_limit(view: ServerView, limit: int) -> ServerView:
    """Returns a view with one more limit; 0 for none."""
    if not limit or 0 < view.limit <= limit:
        return view
    return dataclasses.replace(view, limit=limit)


def _is_trial(call: Call) -> bool:
    """Returns whether a request may try a server that looks slow."""
    return xxhash.xxh32_intdigest(call.id.encode()) % TRIAL_INTERVAL == 0


def unblock_if_all_blocked(
    options: list[PlacementCandidate],
) -> list[PlacementCandidate]:
    """Returns candidates that are not all excluded."""
    # When every server has failed recently, one that may fail again is better
    # than none: refusing everything would turn a short fault into an outage.
    if options and all(item.blocked for item in options):
        return [dataclasses.replace(item, blocked=False) for item in options]
    return options
