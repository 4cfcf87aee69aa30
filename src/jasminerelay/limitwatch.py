"""Enforces the rate limits of servers over all instances together.

A limit is broadcast to all instances when a server first states it, changes it
or ends it. Requests for grants and the grants are exchanged between an instance
and the server's coordinator.
"""

import math
import random
import time
from collections.abc import Callable, Sequence

import anyio

from jasminerelay import rendezvous
from jasminerelay.epidemic import EpidemicBroadcast
from jasminerelay.eventlog import EventLog
from jasminerelay.exchange import ResponseHead
from jasminerelay.metrics import Counters
from jasminerelay.peermessages import in_parts
from jasminerelay.scheduling.instancecount import InstanceCount
from jasminerelay.schema.messages import (
    LimitGrant,
    LimitGrantRequest,
    LimitMessage,
    Member,
    ServerLimit,
)
from jasminerelay.serverlimits import (
    FLEET_SIZE_WINDOW_S,
    MS_PER_S,
    NO_LIMIT,
    Allowance,
    Demand,
    GrantIssuer,
)

TICK_S = 0.05
"""Interval at which grants are requested and issued. As grants come one by one,
it is also the delay that a limit adds to a request."""

BROADCAST_INTERVAL_S = 0.1
"""Interval at which new limits are broadcast."""

MAX_LIMITS_PER_MESSAGE = 20
"""Limits in one datagram, some 60 bytes each; it must fit into a frame."""

MAX_COORDINATORS_PER_ROUND = 4
"""Coordinators from which an instance requests grants in one round. With more
of them it would get grants for several servers per request, and let most
expire."""


class LimitWatch:
    """Exchanges limits and grants between this instance and the others.

    Attributes:
        allowance: Limits, and the grants that this instance holds.
        find_placer: Returns the instance that places requests on a server, if
            any.
        send: Sends a message to an instance, without confirmation.
        on_grant: Called when requests may be sent to more servers than before.
    """

    def __init__(
        self,
        own: str,
        is_known: Callable[[str], bool],
        counters: Counters,
        log: EventLog,
        rng: random.Random,
    ):
        """Creates a watch without limits.

        Args:
            own: ID of this instance.
            is_known: Returns whether a server is registered; limits of others
                are ignored.
            counters: Receives counts of events.
            log: Receives events.
            rng: Source of random choices.
        """
        self.allowance = Allowance()
        self._own = own
        self._is_known = is_known
        self._counters = counters
        self._log = log
        self._rng = rng
        self._broadcast = EpidemicBroadcast(rng)
        self._issuers: dict[str, GrantIssuer] = {}
        self._coordinators: dict[str, str | None] = {}
        self._names: tuple[str, ...] = (own,)
        self._live: Sequence[Member] | None = None
        self._members: dict[str, Member] = {}
        self._instances = InstanceCount(FLEET_SIZE_WINDOW_S)
        self._limits_present = anyio.Event()
        self.find_placer: Callable[[str], str | None] = lambda server: None
        self.send: Callable[[Member, LimitMessage], None] = lambda to, _: None
        self.on_grant: Callable[[], None] = lambda: None

    def on_response(self, server: str, head: ResponseHead) -> None:
        """Handles the response head of a server to this instance's request."""
        if head.limit_fault:
            self._counters.incr("limit.unreadable")
            self._log.warn(
                "limit_unreadable", server=server, found=head.limit_fault
            )
        rate = NO_LIMIT if head.limit is None else head.limit
        if rate == NO_LIMIT and head.not_run:
            # The request may have been rejected by a component other than the
            # one that states limits, so this does not show that a limit ended.
            return
        self._record_limit(server, rate, time.monotonic(), "server")

    def handle_message(self, message: LimitMessage) -> None:
        """Handles a message of another instance."""
        now = time.monotonic()
        for item in message.limits:
            at = now - item.age_ms / MS_PER_S
            self._record_limit(item.server, item.rate, at, message.sender)
        for request in message.asks:
            issuer = self._issuers.get(request.server)
            if issuer is not None:
                issuer.request(message.sender, request.rank, request.count, now)
        if message.grants:
            self._accept_grants(message.grants, now)

    def gone(self, server: str) -> None:
        """Removes a stopped server."""
        self.allowance.forget(server)
        self._issuers.pop(server, None)

    def update_instances(
        self, live: Sequence[Member], known: int, now: float
    ) -> None:
        """Updates the list of instances.

        Args:
            live: Instances that accept client connections.
            known: Number of known instances, including failed ones and those
                not met yet.
            now: Monotonic time.
        """
        self._instances.record(known, len(live), now)
        if live is self._live:
            return
        self._live = live
        self._members = {member.instance: member for member in live}
        # Excludes this instance while it shuts down: the others no longer
        # request grants from it, and grants that it issued to itself would add
        # to those of the next coordinator.
        names = tuple(sorted(self._members)) or (self._own,)
        if names != self._names:
            self._names = names
            self._coordinators.clear()

    async def run(self) -> None:
        """Requests, issues and broadcasts at intervals, forever."""
        broadcast_at = 0.0
        while True:
            if not self.allowance:
                self._limits_present = anyio.Event()
                await self._limits_present.wait()
            await anyio.sleep(TICK_S)
            now = time.monotonic()
            self.tick(now)
            if now - broadcast_at >= BROADCAST_INTERVAL_S:
                broadcast_at = now
                self._broadcast_limits(now)

    def tick(self, now: float) -> None:
        """Requests grants for the demand here, and issues those due."""
        self.allowance.expire(now)
        self._request_grants(now)
        self._issue_grants(now)

    def _record_limit(
        self, server: str, rate: float, at: float, source: str
    ) -> None:
        # Other instances may not have noticed yet that a server has stopped. A
        # limit accepted from them and broadcast again would circulate forever.
        if not self._is_known(server):
            return
        if not self.allowance.record(server, rate, at):
            return
        self._broadcast.add(server)
        self._limits_present.set()
        self._counters.incr("limit.named" if rate >= 0 else "limit.ended")
        self._log.warn(
            "limit",
            server=server,
            rate=rate if rate >= 0 else None,
            age_s=round(time.monotonic() - at, 3),
            source=source,
        )
        if rate == NO_LIMIT:
            self._issuers.pop(server, None)
            self.on_grant()

    def _accept_grants(self, grants: Sequence[LimitGrant], now: float) -> None:
        for grant in grants:
            self._counters.incr("limit.granted")
            self.allowance.add_grant(
                grant.server, grant.count, trial=grant.trial, now=now
            )
        self.on_grant()

    def _coordinator_of(self, server: str) -> str | None:
        if server not in self._coordinators:
            coordinator = rendezvous.owner(server, self._names)
            self._coordinators[server] = coordinator
        return self._coordinators[server]

    def _request_grants(self, now: float) -> None:
        demands = list(self.allowance.demands(now).items())
        if len(demands) > MAX_COORDINATORS_PER_ROUND:
            demands = self._rng.sample(demands, MAX_COORDINATORS_PER_ROUND)
        asks: dict[str, list[LimitGrantRequest]] = {}
        for server, demand in demands:
            request = self._grant_request(server, demand)
            coordinator = self._coordinator_of(server)
            if coordinator == self._own:
                self._issuer_for(server, now).request(
                    self._own, request.rank, request.count, now
                )
            elif coordinator in self._members:
                asks.setdefault(coordinator, []).append(request)
        for coordinator, items in asks.items():
            self.send(
                self._members[coordinator],
                LimitMessage(self._own, [], items, []),
            )

    def _grant_request(self, server: str, demand: Demand) -> LimitGrantRequest:
        rate = self.allowance.limits[server]
        count = max(1, math.ceil(rate * TICK_S))
        return LimitGrantRequest(server, demand.rank, count)

    def _issue_grants(self, now: float) -> None:
        share = self._fleet_share()
        found: dict[str, list[LimitGrant]] = {}
        for server, rate in self.allowance.limits.items():
            if self._coordinator_of(server) != self._own:
                self._issuers.pop(server, None)
                continue
            issuer = self._issuer_for(server, now)
            issuer.refill(rate * share, now)
            if issuer.trial_due(now):
                name = self.find_placer(server) or self._rng.choice(self._names)
                found.setdefault(name, []).append(LimitGrant(server, 1, True))
            for name, count in issuer.grants(now).items():
                found.setdefault(name, []).append(
                    LimitGrant(server, count, False)
                )
        for name, grants in found.items():
            if name == self._own:
                self._accept_grants(grants, now)
            elif name in self._members:
                self.send(
                    self._members[name], LimitMessage(self._own, [], [], grants)
                )

    def _issuer_for(self, server: str, now: float) -> GrantIssuer:
        issuer = self._issuers.get(server)
        if issuer is None:
            issuer = self._issuers[server] = GrantIssuer(now)
        return issuer

    def _fleet_share(self) -> float:
        """Returns the fraction of a limit for the instances reachable here."""
        live = len(self._names)
        return min(1.0, live / max(live, self._instances.divisor))

    def _broadcast_limits(self, now: float) -> None:
        others = [x for x in self._members.values() if x.instance != self._own]
        targets, names = self._broadcast.next_round(others)
        limits = self.allowance.to_messages(now)
        self._send_limits(targets, [x for x in limits if x.server in names])
        member = self._broadcast.resync_target(others)
        if member is not None:
            self._send_limits([member], limits)

    def _send_limits(
        self, members: Sequence[Member], limits: Sequence[ServerLimit]
    ) -> None:
        for part in in_parts(limits, MAX_LIMITS_PER_MESSAGE):
            for member in members:
                self.send(member, LimitMessage(self._own, part, [], []))
