"""Scheduling order of the requests queued for permits.

Tiers are ordered by rank. Within a tier, organisations share fairly by the
tokens that they have used, divided by their weight (a virtual token counter),
so that a burst of one does not starve the others. Within an organisation, the
earliest deadline goes first.
"""

import dataclasses
from collections.abc import Iterator

from sortedcontainers import SortedKeyList

from jasminerelay.scheduling.fairshare import FairShares
from jasminerelay.schema.messages import PermitRequest


@dataclasses.dataclass(frozen=True)
class QueuedRequest:
    """A request queued for a permit.

    Attributes:
        ask_id: ID of the permit request, unique over all instances.
        entry: Instance that requested the permit.
        rank: Rank of its service class; 1 is the highest.
        organisation: Organisation that sent the request.
        weight: Fair-share weight of the organisation within its tier.
        work: Estimated tokens of the answer.
        arrived_at: Arrival time in seconds, moved back by the time that the
            request waited in earlier attempts.
        deadline: Time by which the class's latency target is due.
        expires_at: Time at which the request is refused if still queued.
        protected: Whether it is never shed for an unprotected request.
        started: Whether part of its answer is delivered; if so, the request
            is never shed.
        preemptible: Whether its permit may be revoked for a higher rank.
        floor_share: Share of grants guaranteed to its tier, whatever is
            queued in higher tiers.
        leave_free: Share of the slots to keep free for higher ranks.
        prefixes: Hashes of the prompt's leading blocks.
        avoid: Backend servers on which the request has just failed.
        resume_on: Backend server whose prefix cache holds its partial
            answer, or "".
    """

    ask_id: str
    entry: str
    rank: int
    organisation: str
    weight: float
    work: float
    arrived_at: float
    deadline: float
    expires_at: float
    protected: bool
    floor_share: float
    leave_free: float = 0.0
    started: bool = False
    preemptible: bool = False
    prefixes: tuple[int, ...] = ()
    avoid: tuple[str, ...] = ()
    resume_on: str = ""


def queued_request(ask: PermitRequest, entry: str, now: float) -> QueuedRequest:
    """Converts a permit request to a queue entry with absolute times.

    The message carries durations, since the clocks of instances differ.
    """
    arrived = now - ask.wait_s
    return QueuedRequest(
        ask.ask_id,
        entry,
        ask.rank,
        ask.organisation,
        ask.weight,
        ask.work,
        arrived,
        arrived + ask.target_s,
        now + ask.max_wait_s,
        ask.protected,
        ask.floor_share,
        ask.leave_free,
        ask.started,
        ask.preemptible,
        tuple(ask.prefixes),
        tuple(ask.avoid),
        ask.resume_on,
    )


class Tier:
    """The queued requests of one rank, shared fairly among organisations."""

    def __init__(self) -> None:
        self._queues: dict[str, SortedKeyList] = {}
        self._shares = FairShares()
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def __iter__(self) -> Iterator[QueuedRequest]:
        for queue in self._queues.values():
            yield from queue

    def add(self, waiting: QueuedRequest) -> None:
        """Adds a request."""
        name = waiting.organisation
        queue = self._queues.get(name)
        if queue is None:
            queue = SortedKeyList(
                key=lambda item: (item.deadline, item.arrived_at, item.ask_id)
            )
            self._queues[name] = queue
            self._shares.activate(name)
        queue.add(waiting)
        self._size += 1

    def remove(self, waiting: QueuedRequest) -> None:
        """Removes a request."""
        queue = self._queues[waiting.organisation]
        queue.remove(waiting)
        self._size -= 1
        if not queue:
            del self._queues[waiting.organisation]
            self._shares.deactivate(waiting.organisation)

    def peek(self) -> QueuedRequest | None:
        """Returns the request to grant next, without removing it."""
        if not self._queues:
            return None
        name = min(
            self._queues,
            key=lambda name: (
                self._shares.usage(name),
                len(self._queues[name]),
                name,
            ),
        )
        return self._queues[name][0]

    def shed_candidate(self) -> QueuedRequest | None:
        """Returns the request to shed first.

        It is the one with the latest deadline of the organisation with the
        most queued requests relative to its weight, so that the organisation
        that causes a burst sheds first.
        """
        if not self._queues:
            return None
        name = max(
            self._queues,
            key=lambda name: (
                len(self._queues[name]) / self._queues[name][0].weight,
                name,
            ),
        )
        return self._queues[name][-1]

    def charge(self, organisation: str, tokens: float, weight: float) -> None:
        """Charges tokens to an organisation.

        Args:
            organisation: Organisation that used the tokens.
            tokens: Estimate at the grant, or a later correction, which may
                be negative.
            weight: Fair-share weight of the organisation.
        """
        self._shares.charge(organisation, tokens, weight)
