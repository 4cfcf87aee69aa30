"""What a request needs of a server: tokens, memory and time."""

from jasminerelay import placing
from jasminerelay.catalog import Call
from jasminerelay.dispatching.usableservers import UsableServers
from jasminerelay.enginemodel import EngineModels, EngineSpeeds
from jasminerelay.groups import ResourceNeed
from jasminerelay.outputlengths import OutputLengths
from jasminerelay.placing import OutputEstimate


class RequestNeeds:
    """Estimates what requests need by the engines' speeds and past outputs."""

    def __init__(
        self,
        usable: UsableServers,
        engine_models: EngineModels,
        lengths: OutputLengths,
    ):
        """Creates the estimates.

        Args:
            usable: Settings of the engines.
            engine_models: Performance models of the engines.
            lengths: Statistics of output lengths.
        """
        self._usable = usable
        self._engine_models = engine_models
        self._lengths = lengths

    def speeds(self, service: str) -> EngineSpeeds:
        """Returns the speeds of a usual engine of a service."""
        return self._engine_models.of(service).speeds()

    def output_estimate(self, call: Call) -> OutputEstimate:
        """Returns the expected output of a model request."""
        kind = call.route.name
        prompt = call.prompt
        max_output = prompt.max_output
        engine = self._usable.engine_of(call.service)
        if engine is not None and engine.cache_tokens:
            # A server ends an answer that no longer fits into its memory.
            room = engine.cache_tokens - prompt.tokens
            max_output = max(0, min(max_output, room))
        return OutputEstimate(
            self._lengths.expect(kind, prompt.expected_output, max_output),
            self._lengths.typical(kind, max_output),
        )

    def resource_need(self, call: Call) -> ResourceNeed:
        """Returns what a model request needs of an engine."""
        output = self.output_estimate(call).output
        prompt = call.prompt
        return ResourceNeed(prompt.own_tokens, output, prompt.tokens + output)

    def need_time_s(self, service: str, need: ResourceNeed) -> float:
        """Returns how long a need occupies an engine."""
        engine = self._usable.engine_of(service)
        if engine is None:
            return 0.0
        return self.speeds(service).busy_s(
            engine, need.unread, need.output, need.memory
        )

    def remaining_tokens(self, call: Call, events: int) -> float:
        """Returns the expected rest of an answer after some of its events."""
        estimate = self.output_estimate(call)
        done = events * self._usable.engine_of(call.service).event_tokens
        # A stream that exceeds its estimate probably goes on for long, the
        # longer the more it has produced.
        return max(estimate.output - done, estimate.typical / 2, done / 2)

    def exceeds_memory(self, call: Call) -> bool:
        """Returns whether a prompt is larger than the memory of any server."""
        engine = self._usable.engine_of(call.service)
        if call.prompt is None or engine is None or not engine.cache_tokens:
            return False
        return call.prompt.tokens > engine.cache_tokens

    def busy_s(self, call: Call) -> float:
        """Returns how long a request occupies a server."""
        if call.prompt is None:
            return call.route.objective_s / 4
        return self.need_time_s(call.service, self.resource_need(call))

    def actual_busy_s(self, call: Call, output: int) -> float:
        """Returns how long a request with some output occupied a server."""
        if call.prompt is None:
            return self.busy_s(call)
        prompt = call.prompt
        need = ResourceNeed(prompt.own_tokens, output, prompt.tokens + output)
        return self.need_time_s(call.service, need)

    def first_s(self, call: Call) -> float:
        """Returns the expected time from placement to the first event."""
        if call.prompt is None:
            return 0.0
        speeds = self.speeds(call.service)
        return placing.KNOWN_PREFILL_LIMIT_S + speeds.first_s(
            call.prompt.own_tokens
        )
