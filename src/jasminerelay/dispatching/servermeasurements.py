"""Measures the servers by their responses, and keeps what they state."""

import math
import time
from collections.abc import Callable

from jasminerelay.catalog import BackendServer, Call
from jasminerelay.dispatching.requestneeds import RequestNeeds
from jasminerelay.dispatching.usableservers import UsableServers
from jasminerelay.enginemodel import EngineModels
from jasminerelay.placing import PlacementDecision
from jasminerelay.scheduling.servercapacity import (
    FIRST_EVENT,
    CapacityRecords,
    StatedLoad,
)
from jasminerelay.schema.messages import EngineSample
from jasminerelay.tokentimes import TokenTimes
from jasminerelay.workload import Workload

AHEAD_SHARE = 0.25
"""Largest number of tokens queued ahead, as a share of the request's own, at
which its time to first event is used to measure the engine. The number queued
ahead is known late and inexactly."""

UNDISTURBED_PREFILL_S = 0.1
"""Largest prefill backlog of an engine at which the time per token of its
streams is taken as its step time; between two short prompts more tokens are
undelayed than delayed."""


class ServerMeasurements:
    """Records speeds and limits of servers, and samples of engine models."""

    def __init__(
        self,
        usable: UsableServers,
        needs: RequestNeeds,
        workload: Workload,
        token_times: TokenTimes,
        engine_models: EngineModels,
        capacities: CapacityRecords,
        instances: Callable[[], int],
    ):
        """Creates the measurement.

        Args:
            usable: Settings of the engines.
            needs: Speeds of usual engines.
            workload: Load of the servers.
            token_times: Times per token at the servers.
            engine_models: Performance models of the engines.
            capacities: Speeds and limits of the servers.
            instances: Returns the number of instances that share the load.
        """
        self._usable = usable
        self._needs = needs
        self._workload = workload
        self._token_times = token_times
        self._engine_models = engine_models
        self._capacities = capacities
        self._instances = instances

    def record_statement(
        self, service: str, server: str, stated: StatedLoad, now: float
    ) -> None:
        """Records what a server states about itself, here or to an instance."""
        running = self._workload.load(server).running
        capacities = self._capacities.of(service)
        capacities.record_statement(server, stated, now)
        # Plain servers are given requests to wait there.
        if self._usable.engine_of(service) is not None:
            capacities.record_queue(server, running, stated.waiting, now)

    def record_rejection(
        self, service: str, server: str, now: float, count: int = 1
    ) -> None:
        """Records that a server rejected requests for lack of capacity."""
        capacities = self._capacities.of(service)
        running = self._workload.load(server).running
        running += math.ceil(capacities.unknown_requests(server, now))
        slots = self._usable.slots_of(service, server)
        capacities.record_rejection(server, slots, running, now, count)
        capacities.brittle.record_rejection(server, self._instances(), now)

    def record_answer(
        self, call: Call, server: BackendServer, running: int, seconds: float
    ) -> None:
        """Records the response time of a plain server.

        Args:
            call: The request.
            server: The server.
            running: Concurrent requests there when it was sent, itself
                included.
            seconds: Time from sending to the complete answer.
        """
        if self._usable.engine_of(call.service) is not None:
            return
        self._capacities.of(call.service).record_answer(
            server.id,
            call.route.name,
            server.slots,
            running,
            seconds,
            time.monotonic(),
        )

    def record_first_event(
        self, call: Call, placed: PlacementDecision, ahead: int, seconds: float
    ) -> None:
        """Records the time to a request's first event.

        Args:
            call: The request.
            placed: Its placement.
            ahead: Tokens pending prefill at the server before its own.
            seconds: Time since it was sent.
        """
        if not placed.prefill_known:
            return
        now = time.monotonic()
        tokens = ahead + placed.unread
        server = placed.server.id
        capacities = self._capacities.of(call.service)
        model = self._engine_models.of(call.service)
        capacities.record_work_time(
            server,
            FIRST_EVENT,
            self._usable.slots_of(call.service, server),
            self._workload.load(server).running,
            seconds / max(1, tokens),
            now,
        )
        # Part of the tokens ahead is already prefilled, and the number comes
        # from other instances' reports, so they must not dominate the
        # measurement.
        if ahead > placed.unread * AHEAD_SHARE:
            return
        expected_s = model.speeds().first_s(tokens)
        if model.prefill_measured and expected_s > 0:
            capacities.record_first_event(server, seconds / expected_s, now)
        seconds /= capacities.speeds.lasting(server, now)
        sample = EngineSample(call.service, True, tokens, seconds)
        self._engine_models.add_local_sample(sample, now)

    def record_step_time(
        self, service: str, server: str, step_s: float, now: float
    ) -> None:
        """Records an engine's step time if its prefill backlog is small.

        With a long prompt pending, the time per token includes prefill, which
        the model counts separately. At the start of a burst all engines
        prefill, and short requests would appear to need most of the servers.

        Args:
            service: The service.
            server: The engine.
            step_s: Time between two of its tokens.
            now: Monotonic time.
        """
        load = self._workload.load(server)
        prefill_s = self._needs.speeds(service).prefill_s(load.unread)
        if not load.running or prefill_s > UNDISTURBED_PREFILL_S:
            return
        capacities = self._capacities.of(service)
        model = self._engine_models.of(service)
        expected_s = model.speeds().token_s(load.running)
        if model.steps_measured and expected_s > 0:
            capacities.record_step(server, step_s / expected_s, now)
        step_s /= capacities.speeds.lasting(server, now)
        sample = EngineSample(service, False, load.running, step_s)
        self._engine_models.add_local_sample(sample, now)

    def record_steps(
        self, service: str, servers: list[str], now: float
    ) -> None:
        """Records the step times of some servers, from their streams."""
        for name in servers:
            step_s = self._token_times.step_time_s(name)
            if step_s is not None:
                self.record_step_time(service, name, step_s, now)
