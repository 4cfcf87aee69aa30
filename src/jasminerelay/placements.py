"""Brings backend servers to the placements of the manifest.

One instance at a time, the holder of a lease, reads what each server has and
orders what is missing. Orders are absolute, so one that comes twice does no
harm.
"""

import dataclasses
import logging
import time
from collections.abc import Callable
from typing import Any

import anyio
import msgspec

from jasminerelay import rendezvous
from jasminerelay.errors import StoreError
from jasminerelay.fencing import Lease, LeaseRow
from jasminerelay.httpclient import (
    BrokenError,
    Client,
    Exchange,
    NotSentError,
)
from jasminerelay.leasing import LeaseKeeper
from jasminerelay.limits import Bucket, Limit
from jasminerelay.manifest import Directory
from jasminerelay.metrics import Counters
from jasminerelay.schema.manifest import Placement, Server
from jasminerelay.schema.messages import Member
from jasminerelay.schema.settings import Timing
from jasminerelay.store import ABSENT, Row, Table, Write

_log = logging.getLogger(__name__)

ROW_KEY = "lease/placements"
CANDIDATES = 3
"""Instances that watch the lease; the others spare the store their reads."""

TICK_S = 0.5


@dataclasses.dataclass(frozen=True)
class _Held:
    version: int
    row: LeaseRow | None
    age_s: float = 0.0


class _TableRows:
    """The lease's row in the table service."""

    def __init__(self, table: Table):
        self._table = table

    async def read(self) -> _Held:
        """Returns the row as it is."""
        return _held(await self._table.read(ROW_KEY))

    async def write(
        self, expect: int, row: LeaseRow, extra: Any = None
    ) -> tuple[bool, _Held]:
        """Writes the row if it has a version."""
        writes = [Write(ROW_KEY, expect, row)]
        written = (await self._table.commit(writes))[0]
        return written.ok, _held(written.row)


def _held(row: Row | None) -> _Held:
    if row is None:
        return _Held(ABSENT, None)
    return _Held(row.version, msgspec.convert(row.value, LeaseRow))


class _Loaded(msgspec.Struct):
    """What a server says that it has."""

    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""


class _State(msgspec.Struct):
    state: _Loaded


class Placer:
    """Owns this instance's part in the lease and gives the orders."""

    def __init__(
        self,
        own: Member,
        live: Callable[[], list[Member]],
        directory: Callable[[], Directory | None],
        table: Table,
        client: Client,
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
        self._keeper = LeaseKeeper(
            _TableRows(table),
            self._lease,
            own.instance,
            own.incarnation,
            time.monotonic,
        )
        self._keeper.on_taken = self._taken
        self._bucket: Bucket | None = None
        self._bucket_rate = 0.0

    @property
    def holds(self) -> bool:
        """Whether this instance gives the orders now."""
        return self._keeper.holds

    async def run(self) -> None:
        """Keeps the lease if it falls here and reconciles, until cancelled."""
        while True:
            await anyio.sleep(TICK_S)
            directory = self._directory()
            if directory is None or not directory.manifest.placements:
                continue
            try:
                await self._keep_lease()
                if self.holds:
                    await self._reconcile(directory)
            except StoreError:
                self._counters.incr("placement.store_failed")

    async def _keep_lease(self) -> None:
        if self.holds:
            await self._keeper.keep()
        elif self._is_candidate():
            await self._keeper.try_take()

    def _taken(self) -> None:
        # Another may have read weights just now.
        self._bucket = None
        self._counters.incr("placement.lease_taken")
        _log.info("took the placement lease, fence %d", self._lease.fence)

    async def _reconcile(self, directory: Directory) -> None:
        rate = directory.manifest.weight_loads_per_s
        if self._bucket is None or rate != self._bucket_rate:
            self._bucket = Bucket(Limit(rate, 1.0), time.monotonic())
            self._bucket.lend(1.0, time.monotonic())
            self._bucket_rate = rate
        for placement in directory.manifest.placements:
            server = directory.servers[placement.server]
            if await self._differs(server, placement):
                await self._order(server, placement)

    async def _differs(self, server: Server, placement: Placement) -> bool:
        url = f"http://{server.address}/v1/state"
        exchange = Exchange("GET", url, timeout_s=self._cfg.order_timeout_s)
        try:
            reply = await self._client.call(exchange)
            loaded = msgspec.json.decode(reply.body, type=_State).state
        except (NotSentError, BrokenError, msgspec.MsgspecError):
            self._counters.incr("placement.unreadable")
            return False
        return _wanted(placement) != msgspec.to_builtins(loaded)

    async def _order(self, server: Server, placement: Placement) -> None:
        if not self._bucket or self._bucket.lend(1.0, time.monotonic()) < 1.0:
            return
        # The last look at the lease comes right before the order: a freeze
        # earlier in the round may have outlasted it.
        if not self._lease.may_order(time.monotonic()):
            self._counters.incr("placement.too_late")
            return
        body = {"fence": self._lease.fence, "state": _wanted(placement)}
        exchange = Exchange(
            "POST",
            f"http://{server.address}/v1/orders",
            {"content-type": "application/json"},
            msgspec.json.encode(body),
            self._cfg.order_timeout_s,
        )
        try:
            reply = await self._client.call(exchange)
        except (NotSentError, BrokenError):
            self._counters.incr("placement.order_failed")
            return
        if reply.status == 409:
            # A newer holder has spoken to this server.
            self._counters.incr("placement.fenced")
            self._lease.lost()
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
            self._own.instance in rendezvous.rank(ROW_KEY, names)[:CANDIDATES]
        )


def _wanted(placement: Placement) -> dict[str, str]:
    return {
        "model": placement.model,
        "version": placement.version,
        "adapter": placement.adapter,
        "role": placement.role,
    }
