"""Baseline for comparison: a simple router without coordination.

Each instance has its own FIFO queue and sends to the backend server with the
least reported load. Ranks, deadlines, organisations and other instances are
ignored.
"""

import collections

from jasminerelay.broker import REFUSED_FULL, REFUSED_LATE, Decision
from jasminerelay.fairqueue import QueuedRequest
from jasminerelay.manifest import Cell
from jasminerelay.schema.messages import (
    LoadReport,
    PermitGrant,
    PermitRefusal,
    PermitRelease,
)

RETRY_S = 1.0


class NaiveBroker:
    """Drop-in replacement for `Broker`: a FIFO queue in one instance."""

    def __init__(self, cell: Cell):
        self._queue: collections.deque[QueuedRequest] = collections.deque()
        self._permits: dict[str, str] = {}
        self._reported: dict[str, int] = {}
        self._granted_since_report: collections.Counter[str] = (
            collections.Counter()
        )
        self._leaving: set[str] = set()
        self._pending_refusals: list[Decision] = []
        self.update_cell(cell)

    @property
    def waiting(self) -> int:
        """Number of queued requests."""
        return len(self._queue)

    def update_cell(self, cell: Cell) -> None:
        """Replaces the cell's definition."""
        self._cell = cell

    def enqueue(self, waiting: QueuedRequest, now: float) -> None:
        """Queues a request, or schedules its refusal if the queue is full."""
        del now
        if len(self._queue) >= self._cell.max_waiting:
            refusal = PermitRefusal(waiting.ask_id, REFUSED_FULL, RETRY_S)
            self._pending_refusals.append(Decision(waiting.entry, refusal))
            return
        self._queue.append(waiting)

    def release(self, release: PermitRelease, now: float) -> None:
        """Releases a permit, or withdraws a queued request."""
        del now
        self._permits.pop(release.ask_id, None)
        self._queue = collections.deque(
            item for item in self._queue if item.ask_id != release.ask_id
        )

    def on_load_report(
        self, server: str, report: LoadReport, now: float
    ) -> None:
        """Records a load report and restarts the count of newer grants."""
        del now
        self._reported[server] = report.running + report.waiting
        self._granted_since_report[server] = 0

    def set_leaving_servers(self, servers: set[str]) -> None:
        """Sets the leaving backend servers, which get no new requests."""
        self._leaving = servers

    def step(self, now: float) -> list[Decision]:
        """Returns all decisions due now: refusals and grants."""
        decisions, self._pending_refusals = self._pending_refusals, []
        while self._queue:
            head = self._queue[0]
            if head.expires_at <= now:
                refusal = PermitRefusal(head.ask_id, REFUSED_LATE, RETRY_S)
                decisions.append(Decision(head.entry, refusal))
                self._queue.popleft()
                continue
            server = self._least_loaded(head)
            if server is None:
                break
            self._queue.popleft()
            self._permits[head.ask_id] = server
            self._granted_since_report[server] += 1
            grant = PermitGrant(head.ask_id, self._cell.name, server)
            decisions.append(Decision(head.entry, grant))
        return decisions

    def _least_loaded(self, waiting: QueuedRequest) -> str | None:
        loads = {
            server.name: self._reported.get(server.name, 0)
            + self._granted_since_report[server.name]
            for server in self._cell.servers
            if server.name not in self._leaving
            and server.name not in waiting.avoid
        }
        slots = {server.name: server.slots for server in self._cell.servers}
        free = [name for name, load in loads.items() if load < slots[name]]
        return min(free, key=lambda name: (loads[name], name), default=None)
