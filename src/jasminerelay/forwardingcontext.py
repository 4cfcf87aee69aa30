"""What the forwarding of requests depends on."""

import dataclasses
import random
from collections.abc import Callable

from jasminerelay.channels import ChannelPool
from jasminerelay.crashnotices import CrashNotices
from jasminerelay.crashwatch import CrashWatch
from jasminerelay.dispatcher import Dispatcher
from jasminerelay.drainwatch import DrainWatch
from jasminerelay.eventlog import EventLog
from jasminerelay.exchange import Dialect
from jasminerelay.limitwatch import LimitWatch
from jasminerelay.metrics import Counters
from jasminerelay.migration import StreamMigrator
from jasminerelay.originlookup import OriginLookup
from jasminerelay.pendingstarts import PendingStarts
from jasminerelay.placementqueue import RequestPlacer
from jasminerelay.scheduling.heldbytes import HeldBytes
from jasminerelay.serverends import ServerEnds
from jasminerelay.serverpauses import ServerPauses
from jasminerelay.sharedbudget import SharedRetryBudget
from jasminerelay.stalls import Stalls
from jasminerelay.telemetry import Telemetry


@dataclasses.dataclass(frozen=True)
class ForwardingContext:
    """Dependencies of forwarding.

    Attributes:
        dispatcher: Chooses servers.
        queue: Queue in which requests wait for a placement.
        channels: Connections to servers.
        dialect: Translates to and from the servers' HTTP interface.
        stream_migrator: Moves streams from servers that shut down.
        budget: Retry budget.
        crashes: Records of requests that crash servers.
        limits: Rate limits that servers announce.
        drains: Servers that announce that they shut down.
        pauses: Pauses that servers request.
        counters: Counts events.
        telemetry: Records latencies.
        log: Event log.
        rng: Source of random choices.
        on_started: Called when a server has begun a request, with the request's
            organisation and the seconds since then.
        versions: Returns the versions of the data behind decisions, for the
            log.
        held: Counts the bytes that the instance holds.
        crash_notices: Reports of crashed servers.
        ends: Finds out whether servers have ended.
        origins: Where streams began.
        pending_starts: Plain requests whose start is not known yet.
        may_move: Returns whether runs may be moved; not before the exit.
        stalls: Standstills of this process.
    """

    dispatcher: Dispatcher
    queue: RequestPlacer
    channels: ChannelPool
    dialect: Dialect
    stream_migrator: StreamMigrator
    budget: SharedRetryBudget
    crashes: CrashWatch
    limits: LimitWatch
    drains: DrainWatch
    pauses: ServerPauses
    counters: Counters
    telemetry: Telemetry
    log: EventLog
    rng: random.Random
    on_started: Callable[[str, float], None]
    versions: Callable[[], dict[str, float]]
    held: HeldBytes
    crash_notices: CrashNotices
    ends: ServerEnds
    origins: OriginLookup
    pending_starts: PendingStarts = dataclasses.field(
        default_factory=PendingStarts
    )
    may_move: Callable[[], bool] = lambda: True
    stalls: Stalls = dataclasses.field(default_factory=Stalls)
