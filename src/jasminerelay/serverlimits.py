"""Limits that backend servers name for all instances together.

Pure. A server in need says in its answers how many requests a second it takes.
One instance, its home by rendezvous hashing, lends grants to send, one request
at a time and at that rate, to whoever has requests that find no place at other
servers, the first rank first. A grant lapses when it is not used at once, so
what a dead, frozen or cut off instance holds is never more than a moment's
worth.
"""

import dataclasses

from jasminerelay.schema.messages import NamedLimit

NO_LIMIT = -1.0
MS = 1e3

GRANT_LIFE_S = 0.5
"""How long a grant to send counts. Those who ask have requests that wait."""

TRIAL_LIFE_S = 2.0
"""The same where the next request that comes is to be sent."""

ASK_LIFE_S = 0.3
"""How long an instance's ask counts; it is repeated while its requests wait."""

WANT_LIFE_S = 0.15
"""How long a request's vain look for a place counts; it looks more often."""

BURST_S = 0.25
"""Grants that may be saved up, in seconds' worth at the named rate: the time
between two rounds of asks and more, so that no grant is lost between them."""

TRIAL_AFTER_S = 3.0
TRIAL_AT_LAST_S = 30.0
"""How often one request is sent to hear whether the limit holds; and the same
where the rate would not allow it for longer."""

SPAN_S = 10.0
"""How long instances that were known count for a home's share. A part that is
cut off lends by its share of all, so that two homes never lend twice."""

TOMB_LIFE_S = 60.0
"""How long the end of a limit is remembered: late words name it still."""


@dataclasses.dataclass(frozen=True)
class _Named:
    """What a server has said.

    Attributes:
        rate: Requests a second; `NO_LIMIT` for no limit any more.
        at: Steady time at which it was said.
    """

    rate: float
    at: float


@dataclasses.dataclass
class _Grant:
    """Requests that may be sent.

    Attributes:
        count: Requests.
        until: Steady time until which it counts.
        trial: Whether one is to be sent soon.
    """

    count: int
    until: float
    trial: bool


@dataclasses.dataclass(frozen=True)
class Want:
    """Requests that find no place but at a server with a limit.

    Attributes:
        rank: The first rank among them.
        at: Steady time of the last look.
    """

    rank: int
    at: float


class Allowance:
    """What an instance knows of servers' limits, and may send there.

    Example:
        >>> allowance = Allowance()
        >>> allowance.named("s", 2.0, 0.0)
        True
        >>> allowance.may_send("s", 0.0), allowance.may_send("other", 0.0)
        (False, True)
        >>> allowance.lend("s", 1, trial=False, now=0.0)
        >>> allowance.may_send("s", 0.1), allowance.may_send("s", 1.0)
        (True, False)
    """

    def __init__(self) -> None:
        self._named: dict[str, _Named] = {}
        self._limited: dict[str, float] = {}
        self._grants: dict[str, list[_Grant]] = {}
        self._wants: dict[str, Want] = {}

    def __bool__(self) -> bool:
        return bool(self._named)

    @property
    def limits(self) -> dict[str, float]:
        """Rates by server, of those that have a limit."""
        return self._limited

    def limited(self, server: str) -> bool:
        """Returns whether a server has a limit."""
        return server in self._limited

    def named(self, server: str, rate: float, at: float) -> bool:
        """Takes what a server says, or has said to another instance.

        Args:
            server: The server.
            rate: Requests a second; `NO_LIMIT` for none.
            at: Steady time at which it was said.

        Returns:
            Whether it changes what is known.
        """
        held = self._named.get(server)
        if held is None and rate == NO_LIMIT:
            return False
        if held is not None and held.at >= at:
            return False
        self._named[server] = _Named(rate, at)
        if rate == NO_LIMIT:
            self._limited.pop(server, None)
            self._grants.pop(server, None)
        else:
            self._limited[server] = rate
        return held is None or held.rate != rate

    def words(self, now: float) -> list[NamedLimit]:
        """Returns what is known, as it travels."""
        return [
            NamedLimit(server, held.rate, max(0, round(MS * (now - held.at))))
            for server, held in self._named.items()
        ]

    def forget(self, server: str) -> None:
        """Drops a server that has ended; a new start has no limit."""
        for held in (self._named, self._limited, self._grants, self._wants):
            held.pop(server, None)

    def expire(self, now: float) -> None:
        """Drops the memory of limits that ended long ago."""
        for server, held in list(self._named.items()):
            if held.rate == NO_LIMIT and now - held.at > TOMB_LIFE_S:
                del self._named[server]

    def lend(self, server: str, count: int, *, trial: bool, now: float) -> None:
        """Takes a grant to send requests to a server."""
        life_s = TRIAL_LIFE_S if trial else GRANT_LIFE_S
        grant = _Grant(count, now + life_s, trial)
        self._grants.setdefault(server, []).append(grant)

    def may_send(self, server: str, now: float) -> bool:
        """Returns whether a request may be sent to a server now."""
        return not self.limited(server) or bool(self._held(server, now))

    def on_trial(self, server: str, now: float) -> bool:
        """Returns whether the next request should be sent to a server."""
        return any(grant.trial for grant in self._held(server, now))

    def spend(self, server: str, now: float) -> None:
        """Notes that a request is sent to a server."""
        grants = self._held(server, now)
        if grants:
            first = min(grants, key=lambda grant: grant.until)
            first.count -= 1

    def want(self, server: str, rank: int, now: float) -> None:
        """Notes that a request would go to a server if it might."""
        held = self._wants.get(server)
        if held is not None and now - held.at < WANT_LIFE_S:
            rank = min(rank, held.rank)
        self._wants[server] = Want(rank, now)

    def wants(self, now: float) -> dict[str, Want]:
        """Returns what is wanted now, by server."""
        self._wants = {
            server: want
            for server, want in self._wants.items()
            if now - want.at < WANT_LIFE_S and self.limited(server)
        }
        return self._wants

    def _held(self, server: str, now: float) -> list[_Grant]:
        grants = [
            grant
            for grant in self._grants.get(server, ())
            if grant.count > 0 and grant.until > now
        ]
        if grants:
            self._grants[server] = grants
        else:
            self._grants.pop(server, None)
        return grants


@dataclasses.dataclass
class _Ask:
    rank: int
    count: int
    until: float


class Lender:
    """A server's home: lends grants at the rate that the server has named.

    A new home has nothing to lend at first, since the one before may have lent
    just now.
    """

    def __init__(self, now: float):
        """Makes a home that has lent nothing.

        Args:
            now: Steady time.
        """
        self._tokens = 0.0
        self._at = now
        self._trial_at = now
        self._asks: dict[str, _Ask] = {}
        self._lent_at: dict[str, float] = {}

    def ask(self, instance: str, rank: int, count: int, now: float) -> None:
        """Takes an instance's ask, which replaces its last one."""
        self._asks[instance] = _Ask(rank, count, now + ASK_LIFE_S)

    def refill(self, rate: float, now: float) -> None:
        """Gains what may be lent.

        Args:
            rate: Requests a second of all instances that ask here.
            now: Steady time.
        """
        gained = max(0.0, now - self._at) * rate
        self._at = now
        self._tokens = min(max(1.0, BURST_S * rate), self._tokens + gained)

    def grants(self, now: float) -> dict[str, int]:
        """Returns how many requests each instance may send now."""
        self._asks = {
            name: ask for name, ask in self._asks.items() if ask.until > now
        }
        found: dict[str, int] = {}
        while self._tokens >= 1 and self._asks:
            name = min(self._asks, key=self._turn)
            ask = self._asks[name]
            ask.count -= 1
            if ask.count <= 0:
                del self._asks[name]
            self._lent_at[name] = now
            found[name] = found.get(name, 0) + 1
            self._tokens -= 1
        return found

    def trial_due(self, now: float) -> bool:
        """Returns whether to have a request sent, whoever asks.

        What was lent may have lapsed, so that no answer comes by which
        the end of the limit would show.
        """
        since_s = now - self._trial_at
        due = since_s >= TRIAL_AFTER_S and self._tokens >= 1
        if not due and since_s < TRIAL_AT_LAST_S:
            return False
        self._tokens = max(0.0, self._tokens - 1)
        self._trial_at = now
        return True

    def _turn(self, name: str) -> tuple[int, float]:
        return self._asks[name].rank, self._lent_at.get(name, float("-inf"))
