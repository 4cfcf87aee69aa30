"""Where a stream that moves to another server goes on."""

import time

from jasminerelay import placing, rendezvous
from jasminerelay.catalog import BackendServer, Call
from jasminerelay.dispatching.candidates import (
    Candidates,
    unblock_if_all_blocked,
)
from jasminerelay.dispatching.kindservers import KindServers
from jasminerelay.dispatching.requestneeds import RequestNeeds
from jasminerelay.dispatching.usableservers import UsableServers
from jasminerelay.serverlimits import Allowance
from jasminerelay.tokentimes import TokenTimes

CURRENT_SERVER_SHARE = 0.85
"""Share of the time left that the rest of an answer may take at its present
engine before the stream is moved to a faster one."""

FAST_SERVER_SHARE = 0.4
"""Share of the time left that the rest of an answer may take at a fast engine
before the stream is moved there. Most streams that look too slow for a moment
finish where they are; moving each of them cost more than it saved."""

FASTER_TOKEN_SHARE = 0.6
"""Largest time per token of the target of a move, relative to that of the
present engine. A move costs a pause and the transfer of the KV cache."""


class MoveTargets:
    """Chooses targets for streams whose server leaves or is too slow."""

    def __init__(
        self,
        usable: UsableServers,
        needs: RequestNeeds,
        kinds: KindServers,
        candidates: Candidates,
        token_times: TokenTimes,
        allowance: Allowance,
    ):
        """Creates the choice.

        Args:
            usable: The servers that may be used.
            needs: What requests need.
            kinds: The servers of each kind.
            candidates: What is known of each server.
            token_times: Times per token at the servers.
            allowance: Rate limits of servers.
        """
        self._usable = usable
        self._needs = needs
        self._kinds = kinds
        self._candidates = candidates
        self._token_times = token_times
        self._allowance = allowance

    def migration_target(
        self, call: Call, avoid: frozenset[str]
    ) -> BackendServer | None:
        """Returns a server for a stream that must leave a draining server.

        All instances learn of a draining server at the same moment and see the
        same loads, so by load they would all choose the same server. The
        request's id chooses instead, among the servers of its kind: on servers
        of a more urgent kind it would preempt the requests there.
        """
        engine = self._usable.engine_of(call.service)
        servers = self._targets(call, avoid)
        if engine is None or not servers:
            return None
        memory = call.prompt.tokens + self._needs.output_estimate(call).output
        group = self._kinds.group(call.service, call.route.name, servers)
        options = unblock_if_all_blocked(self._candidates.find(call, group))
        available = [
            item.server
            for item in options
            if not item.blocked
            and placing.has_capacity(
                engine, self._needs.speeds(call.service), item, memory
            )
        ]
        # A full server is better than none: without one the stream breaks off.
        by_id = {item.id: item for item in available or group}
        return by_id[rendezvous.owner(call.id, by_id)]

    def needs_faster_server(
        self, call: Call, server: BackendServer, events: int
    ) -> bool:
        """Returns whether a stream must move to finish in time.

        An engine with continuous prefill makes one token per prompt chunk, five
        times slower than one that only decodes. The prefill may end soon, so a
        stream stays for as long as a faster engine could still finish it.
        """
        engine = self._usable.engine_of(call.service)
        if engine is None or not engine.supports_moves:
            return False
        left_s = (
            call.answer_deadline - time.monotonic()
        ) * CURRENT_SERVER_SHARE
        if self.remaining_s(call, server, events) < left_s:
            return False
        speeds = self._needs.speeds(call.service)
        token_s = speeds.token_s(engine.slots / 2)
        return (
            self._needs.remaining_tokens(call, events) * token_s
            > left_s * FAST_SERVER_SHARE
        )

    def faster_server(
        self, call: Call, server: BackendServer, avoid: frozenset[str]
    ) -> BackendServer | None:
        """Returns a faster server for a stream that cannot finish where it is.

        Servers of all kinds qualify, because a stream whose prompt is prefilled
        does not lengthen the pauses of others. Request ids spread the streams
        over all faster servers.
        """
        engine = self._usable.engine_of(call.service)
        now = time.monotonic()
        memory = call.prompt.tokens + self._needs.output_estimate(call).output
        speeds = self._needs.speeds(call.service)
        current_token_s = (
            self._token_times.token_s(server.id, now) or speeds.step_s
        )
        others = self._targets(call, avoid)
        by_id = {
            item.server.id: item.server
            for item in self._candidates.find(call, others)
            if not item.blocked
            and placing.has_capacity(engine, speeds, item, memory)
            and (item.token_s or 0.0) < current_token_s * FASTER_TOKEN_SHARE
        }
        if not by_id:
            return None
        return by_id[rendezvous.owner(call.id, by_id)]

    def remaining_s(
        self, call: Call, server: BackendServer, events: int
    ) -> float:
        """Returns the expected remaining time of a stream at its server."""
        engine = self._usable.engine_of(call.service)
        if engine is None:
            return 0.0
        seconds_per_token = self._token_times.token_s(
            server.id, time.monotonic()
        )
        seconds_per_token = (
            seconds_per_token or self._needs.speeds(call.service).step_s
        )
        return self._needs.remaining_tokens(call, events) * seconds_per_token

    def _targets(
        self, call: Call, avoid: frozenset[str]
    ) -> list[BackendServer]:
        now = time.monotonic()
        servers = self._usable.servers_for(call)
        avoid |= self._usable.paused(server.id for server in servers)
        return [
            server
            for server in servers
            if server.id not in avoid
            and self._allowance.may_send(server.id, now)
        ]
