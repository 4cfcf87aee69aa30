"""Rate limits that backend servers set for all instances together.

Without I/O. An overloaded server states in its responses how many requests per
second it accepts. One instance, the server's coordinator by rendezvous hashing,
issues grants at that rate, each for one request, to the instances with requests
that no other server can take, the most urgent rank first. A grant expires
unless it is used at once, so that an instance that is dead, frozen or
partitioned holds no more grants than a fraction of a second's worth.
"""

import dataclasses

from jasminerelay.schema.messages import ServerLimit

NO_LIMIT = -1.0
MS_PER_S = 1e3

GRANT_TTL_S = 0.5
"""Lifetime of a grant. It can be short, since instances request grants only for
client requests that are queued already."""

TRIAL_GRANT_TTL_S = 2.0
"""Lifetime of a trial grant, which the next request to arrive uses."""

REQUEST_TTL_S = 0.3
"""Lifetime of an instance's request for grants; it is repeated while client
requests are queued."""

DEMAND_TTL_S = 0.15
"""How long a failed attempt to place a request counts as demand; placement is
attempted again within that time."""

BURST_S = 0.25
"""Grants that may accumulate, in seconds at the server's rate: more than the
time between two rounds of grant requests, so that no grant is lost between
them."""

TRIAL_INTERVAL_S = 3.0
"""Interval at which one request is sent to see whether the limit still
holds."""

MAX_TRIAL_INTERVAL_S = 30.0
"""Interval at which a trial is sent even if the rate does not allow for it."""

FLEET_SIZE_WINDOW_S = 10.0
"""How long instances that were known count for a coordinator's share. A
partition grants its share of the whole fleet, so that the coordinators on both
sides together do not exceed the rate."""

TOMBSTONE_TTL_S = 60.0
"""How long the end of a limit is remembered, since late messages still contain
the limit."""


@dataclasses.dataclass(frozen=True)
class _StatedLimit:
    """A limit as last stated by a server.

    Attributes:
        rate: Requests per second; `NO_LIMIT` if the limit has ended.
        at: Monotonic time of the server's response.
    """

    rate: float
    at: float


@dataclasses.dataclass
class _Grant:
    """Requests that may be sent to a server.

    Attributes:
        count: Number of requests left.
        expires_at: Monotonic time at which the grant expires.
        trial: Whether the next request should be sent, to test the limit.
    """

    count: int
    expires_at: float
    trial: bool


@dataclasses.dataclass(frozen=True)
class Demand:
    """Requests that only a limited server could take.

    Attributes:
        rank: The most urgent rank among them.
        at: Monotonic time of the last failed placement.
    """

    rank: int
    at: float


class Allowance:
    """Limits of servers, and the grants that this instance holds for them.

    Example:
        >>> allowance = Allowance()
        >>> allowance.record("s", 2.0, 0.0)
        True
        >>> allowance.may_send("s", 0.0), allowance.may_send("other", 0.0)
        (False, True)
        >>> allowance.add_grant("s", 1, trial=False, now=0.0)
        >>> allowance.may_send("s", 0.1), allowance.may_send("s", 1.0)
        (True, False)
    """

    def __init__(self) -> None:
        self._limits_by_server: dict[str, _StatedLimit] = {}
        self._rates: dict[str, float] = {}
        self._grants: dict[str, list[_Grant]] = {}
        self._demands: dict[str, Demand] = {}

    def __bool__(self) -> bool:
        return bool(self._limits_by_server)

    @property
    def limits(self) -> dict[str, float]:
        """Requests per second by server, of the servers that have a limit."""
        return self._rates

    def is_limited(self, server: str) -> bool:
        """Returns whether a server has a limit."""
        return server in self._rates

    def record(self, server: str, rate: float, at: float) -> bool:
        """Records a limit stated by a server to this or another instance.

        Args:
            server: The server.
            rate: Requests per second; `NO_LIMIT` for none.
            at: Monotonic time of the server's response.

        Returns:
            Whether the limit is new or has changed.
        """
        held = self._limits_by_server.get(server)
        if held is None and rate == NO_LIMIT:
            return False
        if held is not None and held.at >= at:
            return False
        self._limits_by_server[server] = _StatedLimit(rate, at)
        if rate == NO_LIMIT:
            self._rates.pop(server, None)
            self._grants.pop(server, None)
        else:
            self._rates[server] = rate
        return held is None or held.rate != rate

    def to_messages(self, now: float) -> list[ServerLimit]:
        """Returns all limits, including ended ones, as messages."""
        return [
            ServerLimit(
                server, held.rate, max(0, round(MS_PER_S * (now - held.at)))
            )
            for server, held in self._limits_by_server.items()
        ]

    def forget(self, server: str) -> None:
        """Removes a stopped server; after a restart it has no limit."""
        for held in (
            self._limits_by_server,
            self._rates,
            self._grants,
            self._demands,
        ):
            held.pop(server, None)

    def expire(self, now: float) -> None:
        """Drops tombstones of limits that ended long ago."""
        for server, held in list(self._limits_by_server.items()):
            if held.rate == NO_LIMIT and now - held.at > TOMBSTONE_TTL_S:
                del self._limits_by_server[server]

    def add_grant(
        self, server: str, count: int, *, trial: bool, now: float
    ) -> None:
        """Adds a grant to send requests to a server."""
        ttl_s = TRIAL_GRANT_TTL_S if trial else GRANT_TTL_S
        grant = _Grant(count, now + ttl_s, trial)
        self._grants.setdefault(server, []).append(grant)

    def may_send(self, server: str, now: float) -> bool:
        """Returns whether a request may be sent to a server now."""
        return not self.is_limited(server) or bool(
            self._valid_grants(server, now)
        )

    def has_trial_grant(self, server: str, now: float) -> bool:
        """Returns whether this instance holds a trial grant for a server."""
        return any(grant.trial for grant in self._valid_grants(server, now))

    def use_grant(self, server: str, now: float) -> None:
        """Uses up a grant, if any, as a request is sent to a server."""
        grants = self._valid_grants(server, now)
        if grants:
            first = min(grants, key=lambda grant: grant.expires_at)
            first.count -= 1

    def record_demand(self, server: str, rank: int, now: float) -> None:
        """Records a request that only a limited server could take."""
        held = self._demands.get(server)
        if held is not None and now - held.at < DEMAND_TTL_S:
            rank = min(rank, held.rank)
        self._demands[server] = Demand(rank, now)

    def demands(self, now: float) -> dict[str, Demand]:
        """Returns the current demand, by server."""
        self._demands = {
            server: demand
            for server, demand in self._demands.items()
            if now - demand.at < DEMAND_TTL_S and self.is_limited(server)
        }
        return self._demands

    def _valid_grants(self, server: str, now: float) -> list[_Grant]:
        grants = [
            grant
            for grant in self._grants.get(server, ())
            if grant.count > 0 and grant.expires_at > now
        ]
        if grants:
            self._grants[server] = grants
        else:
            self._grants.pop(server, None)
        return grants


@dataclasses.dataclass
class _GrantRequest:
    rank: int
    count: int
    expires_at: float


class GrantIssuer:
    """Issues a server's grants at the rate that the server accepts.

    Starts without tokens: the previous coordinator may just have issued grants.
    """

    def __init__(self, now: float):
        """Creates an issuer without tokens.

        Args:
            now: Monotonic time.
        """
        self._tokens = 0.0
        self._refilled_at = now
        self._last_trial_at = now
        self._requests: dict[str, _GrantRequest] = {}
        self._last_grant_at: dict[str, float] = {}

    def request(self, instance: str, rank: int, count: int, now: float) -> None:
        """Records an instance's request, in place of its previous one."""
        self._requests[instance] = _GrantRequest(
            rank, count, now + REQUEST_TTL_S
        )

    def refill(self, rate: float, now: float) -> None:
        """Adds the tokens gained since the last call.

        Args:
            rate: Requests per second for all instances that this issuer serves.
            now: Monotonic time.
        """
        new_tokens = max(0.0, now - self._refilled_at) * rate
        self._refilled_at = now
        self._tokens = min(max(1.0, BURST_S * rate), self._tokens + new_tokens)

    def grants(self, now: float) -> dict[str, int]:
        """Returns how many requests each instance may send now."""
        self._requests = {
            name: request
            for name, request in self._requests.items()
            if request.expires_at > now
        }
        found: dict[str, int] = {}
        while self._tokens >= 1 and self._requests:
            name = min(self._requests, key=self._priority)
            request = self._requests[name]
            request.count -= 1
            if request.count <= 0:
                del self._requests[name]
            self._last_grant_at[name] = now
            found[name] = found.get(name, 0) + 1
            self._tokens -= 1
        return found

    def trial_due(self, now: float) -> bool:
        """Returns whether to issue a trial grant, even without a request.

        Grants may have expired unused, so that no response would show the end
        of the limit.
        """
        elapsed_s = now - self._last_trial_at
        due = elapsed_s >= TRIAL_INTERVAL_S and self._tokens >= 1
        if not due and elapsed_s < MAX_TRIAL_INTERVAL_S:
            return False
        self._tokens = max(0.0, self._tokens - 1)
        self._last_trial_at = now
        return True

    def _priority(self, name: str) -> tuple[int, float]:
        return self._requests[name].rank, self._last_grant_at.get(
            name, float("-inf")
        )
