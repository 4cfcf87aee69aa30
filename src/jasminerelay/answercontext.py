"""Dependencies and data types of answers to model requests."""

import dataclasses
from collections.abc import Callable
from typing import Any

from jasminerelay import burn
from jasminerelay.backends import EngineClient
from jasminerelay.lengthestimate import LengthEstimator
from jasminerelay.metrics import Counters, InvariantHandler
from jasminerelay.permitclient import PermitClient
from jasminerelay.resume import Signer
from jasminerelay.retry import RetryBudget
from jasminerelay.schema.manifest import (
    Organisation,
    Pool,
    RequestType,
    ServiceClass,
)
from jasminerelay.schema.settings import Timing


@dataclasses.dataclass(frozen=True)
class RequestPolicy:
    """Manifest entries that apply to a model request.

    Attributes:
        organisation: Organisation that sent the request.
        kind: Request type.
        service_class: Service class of the request type.
        pool: Pool that serves the model.
        waited_s: Seconds since the first attempt, from the return ticket.
    """

    organisation: Organisation
    kind: RequestType
    service_class: ServiceClass
    pool: Pool
    waited_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerEvent:
    """One server-sent event of an answer.

    Attributes:
        data: JSON object with the relay's ID for the request.
        resume_point: Resume point after this event, or empty.
        usage_only: Whether it holds only usage counts.
    """

    data: dict[str, Any]
    resume_point: str
    usage_only: bool = False


@dataclasses.dataclass(frozen=True)
class AnswerContext:
    """Components of an instance that answers depend on.

    Attributes:
        permit_client: Acquires permits.
        engines: Client of the model engines.
        signer: Signs resume points and return tickets.
        burn_recorder: Records samples for the burn report.
        counters: Counters of the instance.
        invariants: Reports invariant violations.
        timing: Timeouts.
        estimator: Estimates answer lengths from completed answers.
        retries: Retry budget of the instance.
        spawn: Runs a function in the background, independent of the request.
    """

    permit_client: PermitClient
    engines: EngineClient
    signer: Signer
    burn_recorder: burn.BurnRecorder
    counters: Counters
    invariants: InvariantHandler
    timing: Timing
    estimator: LengthEstimator
    retries: RetryBudget
    spawn: Callable[..., None]
