"""Reconciles backend servers with the placements of the manifest.

One instance at a time, the holder of a lease, reads the state of each server
and orders what is missing. Orders are idempotent: they contain the complete
desired state.
"""

import dataclasses
import logging
import time
from collections.abc import Callable
from typing import Any

import anyio
import msgspec

from jasminerelay import foreignbytes, rendezvous
from jasminerelay.errors import ForeignDataError, StoreError
from jasminerelay.fencing import Lease, LeaseRow
from jasminerelay.httpclient import (
    HttpClient,
    HttpRequest,
    IncompleteExchangeError,
    NotSentError,
)
from jasminerelay.leasing import LeaseManager
from jasminerelay.limits import Limit, TokenBucket
from jasminerelay.manifest import Directory
from jasminerelay.metrics import Counters
from jasminerelay.schema.manifest import Placement, Server
from jasminerelay.schema.messages import Member
from jasminerelay.schema.settings import Timing
from jasminerelay.store import ABSENT, ConditionalWrite, Row, TableClient

_log = logging.getLogger(__name__)

ROW_KEY = "lease/placements"
CANDIDATE_COUNT = 3
"""Instances that read the lease; the others cause no load on the store."""

TICK_S = 0.5


@dataclasses.dataclass(frozen=True)
class _VersionedLease:
    version: int
    row: LeaseRow | None
    age_s: float = 0.0


class _TableLeaseStore:
    """The row of the lease in the table service."""

    def __init__(self, table: TableClient):
        self._table = table

    async def read(self) -> _VersionedLease:
        """Returns the current row."""
        return _versioned_lease(await self._table.read(ROW_KEY))

    async def write(
        self, expect: int, row: LeaseRow, extra: Any = None
    ) -> tuple[bool, _VersionedLease]:
        """Writes the row if it has the expected version."""
        writes = [ConditionalWrite(ROW_KEY, expect, row)]
        written = (await self._table.commit(writes))[0]
        return written.ok, _versioned_lease(written.row)


def _versioned_lease(row: Row | None) -> _VersionedLease:
    if row is None:
        return _VersionedLease(ABSENT, None)
    return _VersionedLease(row.version, row.value_as(LeaseRow))


class _LoadedState(msgspec.Struct):
    """What a server has loaded, by its own report."""

    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""


class _StateReply(msgspec.Struct):
    state: _LoadedState


_read_state = foreignbytes.json_reader(_StateReply)


class PlacementReconciler:
    """Takes part in the lease and gives orders while it is held."""

    def __init__(
        self,
        own: Member,
        live: Callable[[], list[Member]],
        directory: Callable[[], Directory | None],
        table: TableClient,
        client: HttpClient,
        cfg: Timing,
        counters: Counters,
    ):
        self._own = own
        self._live = live
        self._directory = directory
        self._client = client
        self._cfg = cfg
        self._counters = counters
        self._lease = Lease(cfg.placement_lease_s, cfg.order_timeout_s)
        self._lease_manager = LeaseManager(
            _TableLeaseStore(table),
            self._lease,
            own.instance,
            own.incarnation,
            time.monotonic,
        )
        self._lease_manager.on_taken = self._on_lease_taken
        self._bucket: TokenBucket | None = None
        self._bucket_rate = 0.0

    @property
    def holds(self) -> bool:
        """Whether this instance holds the lease and gives the orders."""
        return self._lease_manager.holds

    async def run(self) -> None:
        """Takes or renews the lease and reconciles under it, forever."""
        while True:
            await anyio.sleep(TICK_S)
            directory = self._directory()
            if directory is None or not directory.manifest.placements:
                continue
            try:
                await self._take_or_renew_lease()
                if self.holds:
                    await self._reconcile(directory)
            except StoreError:
                self._counters.incr("placement.store_failed")

    async def _take_or_renew_lease(self) -> None:
        if self.holds:
            await self._lease_manager.renew_if_due()
        elif self._is_candidate():
            await self._lease_manager.try_take()

    def _on_lease_taken(self) -> None:
        # The previous holder may just have ordered weights to be loaded.
        self._bucket = None
        self._counters.incr("placement.lease_taken")
        _log.info(
            "took the placement lease, fencing token %d", self._lease.fence
        )

    async def _reconcile(self, directory: Directory) -> None:
        rate = directory.manifest.weight_loads_per_s
        if self._bucket is None or rate != self._bucket_rate:
            self._bucket = TokenBucket(Limit(rate, 1.0), time.monotonic())
            self._bucket.lend(1.0, time.monotonic())
            self._bucket_rate = rate
        for placement in directory.manifest.placements:
            server = directory.servers[placement.server]
            if await self._has_other_state(server, placement):
                await self._order(server, placement)

    async def _has_other_state(
        self, server: Server, placement: Placement
    ) -> bool:
        url = f"http://{server.address}/v1/state"
        exchange = HttpRequest("GET", url, timeout_s=self._cfg.order_timeout_s)
        try:
            reply = await self._client.call(exchange)
            loaded = _read_state(reply.body).state
        except (NotSentError, IncompleteExchangeError, ForeignDataError):
            self._counters.incr("placement.unreadable")
            return False
        return _desired_state(placement) != msgspec.to_builtins(loaded)

    async def _order(self, server: Server, placement: Placement) -> None:
        if not self._bucket or self._bucket.lend(1.0, time.monotonic()) < 1.0:
            return
        # Checked right before the order: the process may have been frozen for
        # longer than the lease since the round began.
        if not self._lease.may_order(time.monotonic()):
            self._counters.incr("placement.too_late")
            return
        body = {"fence": self._lease.fence, "state": _desired_state(placement)}
        exchange = HttpRequest(
            "POST",
            f"http://{server.address}/v1/orders",
            {"content-type": "application/json"},
            msgspec.json.encode(body),
            self._cfg.order_timeout_s,
        )
        try:
            reply = await self._client.call(exchange)
        except (NotSentError, IncompleteExchangeError):
            self._counters.incr("placement.order_failed")
            return
        if reply.status == 409:
            # A newer holder has given an order to this server.
            self._counters.incr("placement.fenced")
            self._lease.mark_lost()
            return
        self._counters.incr("placement.orders")
        _log.info(
            "ordered %s to load %s %s",
            server.name,
            placement.model,
            placement.version,
        )

    def _is_candidate(self) -> bool:
        names = [member.instance for member in self._live()]
        return (
            self._own.instance
            in rendezvous.rank(ROW_KEY, names)[:CANDIDATE_COUNT]
        )


def _desired_state(placement: Placement) -> dict[str, str]:
    return {
        "model": placement.model,
        "version": placement.version,
        "adapter": placement.adapter,
        "role": placement.role,
    }
