"""What an answer is made with, and the frames that it is made of."""

import dataclasses
from collections.abc import Callable
from typing import Any

from jasminerelay import burn
from jasminerelay.backends import Engines
from jasminerelay.estimate import Estimator
from jasminerelay.metrics import Counters, Invariants
from jasminerelay.permits import PermitDesk
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
class Placement:
    """What the manifest says about a request.

    Attributes:
        organisation: Who sent it.
        kind: Its request type.
        service_class: Its service class.
        pool: Pool that serves its model.
        waited_s: Seconds since the first try, by a return ticket.
    """

    organisation: Organisation
    kind: RequestType
    service_class: ServiceClass
    pool: Pool
    waited_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Piece:
    """One frame of the answer as the caller gets it.

    Attributes:
        data: JSON object, under the request's own identity.
        point: Resume point after this frame, or empty.
        usage_only: Whether it holds nothing but usage counts.
    """

    data: dict[str, Any]
    point: str
    usage_only: bool = False


@dataclasses.dataclass(frozen=True)
class Kit:
    """The parts of an instance that answers are made with.

    Attributes:
        desk: Gets permits.
        engines: Streams from model engines.
        signer: Signs resume points and return tickets.
        book: What the burn report is made of.
        counters: Counters of the instance.
        invariants: Takes violations.
        timing: Time limits.
        estimator: Lengths of finished answers.
        retries: Budget of all retries.
        on_leaving: Takes the name of a backend server that is leaving.
        spawn: Runs something beside the request.
    """

    desk: PermitDesk
    engines: Engines
    signer: Signer
    book: burn.Book
    counters: Counters
    invariants: Invariants
    timing: Timing
    estimator: Estimator
    retries: RetryBudget
    on_leaving: Callable[[str], None]
    spawn: Callable[..., None]
