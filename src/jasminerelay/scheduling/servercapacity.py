"""What is known about the speed and the capacity of each server of a service.

Pure. Load handled: servers that differ in speed, that slow down for moments or
when nearly full, and that have requests of which the instances do not know.
Combines the speed estimates (`serverspeeds`), the limits of concurrent requests
(`concurrencylimit`) and the loads that servers state.
"""

import dataclasses
import math

from jasminerelay.scheduling.brittleservers import BrittleServers
from jasminerelay.scheduling.concurrencylimit import ConcurrencyLimit
from jasminerelay.scheduling.serverspeeds import (
    CACHE_S,
    STATEMENT_HALF_LIFE_S,
    STATEMENT_MAX_AGE_S,
    ServerSpeeds,
    SpeedEstimate,
)

FIRST_EVENT = "first event"
STEP = "step"

PLAIN_REQUESTS_PER_SLOT = 2
"""Requests per slot that a plain server is given at most, as in `placing`; its
limit counts those that wait there, too."""

TRIAL_AGE_S = 1.0
"""Time without a response after which a server that looks slow may be tried."""

REPORTED_CHANGE = 1.2
"""Change of a lasting factor, relative to the latest reported one, from which
it is reported again."""


@dataclasses.dataclass(frozen=True)
class StatedLoad:
    """A server's statement about itself, as kept and passed on.

    Attributes:
        at: Monotonic time of the statement.
        slowdown: How long work takes there, 1.0 is usual; 0 if not stated.
        waiting: Requests that wait there.
        unknown: Requests there beyond those known to the instances.
    """

    at: float
    slowdown: float
    waiting: int
    unknown: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ServerView:
    """What placements take into account of one server.

    Attributes:
        slowness: Its expected times relative to a usual server's.
        limit: Concurrent requests that it is given; 0 if not limited.
        unknown: Requests there beyond those known to the instances.
    """

    slowness: float = 1.0
    limit: int = 0
    unknown: float = 0.0


USUAL_SERVER = ServerView()


class ServerCapacities:
    """Speeds, limits and stated loads of the servers of one service.

    Attributes:
        speeds: Their speeds.
        limits: Learned limits of their concurrent requests.
        brittle: Servers that crash if they reject many requests.
    """

    def __init__(self) -> None:
        self._views: dict[str, tuple[float, ServerView]] = {}
        self.speeds = ServerSpeeds()
        self.limits = ConcurrencyLimit()
        self.brittle = BrittleServers()
        self._stated: dict[str, StatedLoad] = {}
        self._unsent: dict[str, StatedLoad] = {}
        self._rejections: dict[str, int] = {}
        self._reported: dict[str, float] = {}

    def record_first_event(self, server: str, ratio: float, now: float) -> None:
        """Records a time to a first event that shows the server's speed.

        Args:
            server: The server.
            ratio: The time relative to the one expected of a usual server.
            now: Monotonic time.
        """
        self._views.pop(server, None)
        self.speeds.record_response(server, FIRST_EVENT, ratio, now)

    def record_step(self, server: str, ratio: float, now: float) -> None:
        """Records a time per token relative to that of a usual server."""
        self._views.pop(server, None)
        self.speeds.record_response(server, STEP, ratio, now)

    def record_work_time(
        self,
        server: str,
        kind: str,
        slots: int,
        running: int,
        seconds: float,
        now: float,
    ) -> None:
        """Records how long some work took, to find where a server gets slower.

        Args:
            server: The server.
            kind: Kind of the work; only times of one kind are compared.
            slots: Slots of the server.
            running: Concurrent requests there.
            seconds: Time for a fixed amount of work.
            now: Monotonic time.
        """
        # A slowdown by neighbours on the machine has another cause than the
        # number of requests.
        self._views.pop(server, None)
        seconds /= self.speeds.stated(server, now)
        self.limits.record_response(server, kind, slots, running, seconds, now)

    def record_answer(
        self,
        server: str,
        kind: str,
        slots: int,
        running: int,
        seconds: float,
        now: float,
    ) -> None:
        """Records the response time of a plain server.

        Args:
            server: The server.
            kind: Kind of the request.
            slots: Slots of the server.
            running: Concurrent requests there when it was sent, itself
                included.
            seconds: Time from sending to the complete answer.
            now: Monotonic time.
        """
        # Requests beyond the slots wait there for one of those that run.
        work_s = seconds / max(1.0, running / max(1, slots))
        self._views.pop(server, None)
        self.speeds.record_response(server, kind, work_s, now)
        stated = self._stated.get(server)
        if running <= slots and not (stated and stated.waiting):
            self.record_work_time(
                server,
                kind,
                PLAIN_REQUESTS_PER_SLOT * slots,
                PLAIN_REQUESTS_PER_SLOT * running,
                seconds,
                now,
            )

    def record_statement(
        self, server: str, stated: StatedLoad, now: float
    ) -> None:
        """Records what a server states about itself."""
        held = self._stated.get(server)
        if held is not None and held.at > stated.at:
            return
        self._views.pop(server, None)
        self._stated[server] = stated
        if stated.slowdown:
            age_s = now - stated.at
            self.speeds.record_statement(server, stated.slowdown, age_s, now)

    def record_queue(
        self, server: str, running: int, waiting: int, now: float
    ) -> None:
        """Records how many of the requests at a server wait there."""
        self._views.pop(server, None)
        self.limits.record_waiting(server, running, waiting, now)

    def record_rejection(
        self, server: str, slots: int, running: int, now: float, count: int = 1
    ) -> None:
        """Records that a server rejected requests for lack of capacity."""
        self._views.pop(server, None)
        for _ in range(count):
            self.limits.record_rejection(server, slots, running, now)

    def view(self, server: str, slots: int, now: float) -> ServerView:
        """Returns what placements take into account of a server.

        It is computed again at intervals, and when anything is recorded.
        """
        held = self._views.get(server)
        if held is not None and 0 <= now - held[0] < CACHE_S:
            return held[1]
        view = ServerView(
            self.speeds.slowness(server, now),
            self.limit(server, slots, now),
            self.unknown_requests(server, now),
        )
        if view == USUAL_SERVER:
            view = USUAL_SERVER
        self._views[server] = (now, view)
        return view

    def slowness(self, server: str, now: float) -> float:
        """Returns a server's expected times relative to a usual server's."""
        return self.speeds.slowness(server, now)

    def trial_due(self, server: str, now: float) -> bool:
        """Returns whether a server has not shown its speed for a while."""
        return self.speeds.response_age_s(server, now) > TRIAL_AGE_S

    def limit(self, server: str, slots: int, now: float) -> int:
        """Returns the concurrent requests of a server; 0 if not limited."""
        limit = self.limits.limit(server, slots, now)
        return limit if limit < slots else 0

    def speed_sum(self, servers: list[str], now: float) -> float:
        """Returns the capacity of servers as a number of usual ones."""
        return sum(1 / self.speeds.slowness(name, now) for name in servers)

    def uneven_speeds(self, now: float) -> dict[str, float]:
        """Returns the lasting speeds of servers that are not usual ones."""
        found = {
            server: 1 / self.speeds.lasting(server, now)
            for server in self.speeds.servers
        }
        return {name: speed for name, speed in found.items() if speed != 1.0}

    def unknown_requests(self, server: str, now: float) -> float:
        """Returns the requests at a server beyond those that are known.

        What is sent after the statement is known, so that it is counted in
        addition. The number fades with the age of the statement.
        """
        held = self._stated.get(server)
        if held is None or not held.unknown:
            return 0.0
        age_s = max(0.0, now - held.at)
        if age_s >= STATEMENT_MAX_AGE_S:
            return 0.0
        return held.unknown * 0.5 ** (age_s / STATEMENT_HALF_LIFE_S)

    def keep_unsent(self, server: str, stated: StatedLoad) -> None:
        """Keeps a statement to pass on to the server's owner."""
        self._unsent[server] = stated

    def keep_unsent_rejection(self, server: str) -> None:
        """Keeps a rejection to pass on to the server's owner."""
        self._rejections[server] = self._rejections.get(server, 0) + 1

    def take_unsent(
        self, server: str, now: float
    ) -> tuple[StatedLoad | None, int]:
        """Returns and clears what was not passed on about a server."""
        stated = self._unsent.pop(server, None)
        if stated is not None and now - stated.at >= STATEMENT_MAX_AGE_S:
            stated = None
        return stated, self._rejections.pop(server, 0)

    def take_changes(self, now: float) -> dict[str, SpeedEstimate]:
        """Returns the servers whose lasting factor has changed notably."""
        found = {}
        for server in self.speeds.servers:
            lasting = self.speeds.lasting(server, now)
            before = self._reported.get(server, 1.0)
            if lasting == before:
                continue
            change = abs(math.log(lasting / before))
            if lasting == 1.0 or change >= math.log(REPORTED_CHANGE):
                self._reported[server] = lasting
                found[server] = self.speeds.estimate(server, now)
        return found

    def forget(self, server: str) -> None:
        """Deletes all state about a server that has ended."""
        self.speeds.forget(server)
        self.limits.forget(server)
        self.brittle.forget(server)
        for held in (
            self._views,
            self._stated,
            self._unsent,
            self._rejections,
            self._reported,
        ):
            held.pop(server, None)


class CapacityRecords:
    """The capacities of the servers of all services."""

    def __init__(self) -> None:
        self._services: dict[str, ServerCapacities] = {}

    def of(self, service: str) -> ServerCapacities:
        """Returns those of one service."""
        held = self._services.get(service)
        if held is None:
            held = self._services[service] = ServerCapacities()
        return held

    def forget(self, server: str) -> None:
        """Deletes all state about a server that has ended."""
        for held in self._services.values():
            held.forget(server)

    def take_changes(self, now: float) -> list[tuple[str, str, SpeedEstimate]]:
        """Returns services and servers with notably changed lasting factors."""
        return [
            (service, server, estimate)
            for service, held in self._services.items()
            for server, estimate in held.take_changes(now).items()
        ]
