"""The platform's tables as sources of rows."""

import dataclasses
import math
import time

import msgspec

from jasminerelay.eventlog import EventLog
from jasminerelay.fencing import LeaseRow
from jasminerelay.following import Page
from jasminerelay.platform.storeclient import Condition, NewRow, Store
from jasminerelay.schema.messages import ServerEnds, ServerRow
from jasminerelay.usage import Report

OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
SERVERS_TABLE = "servers"
INSTANCES_TABLE = "jasminerelay_instances"
CRASHES_TABLE = "jasminerelay_crashes"
DUTIES_TABLE = "jasminerelay_duties"
LEASE_KEY = "lease"
REPORT_PREFIX = "usage/"
REPORTS_KEPT = 12
"""Reports whose rows stay: those that may still be sent, and some more."""

MS = 1e3


class TableSource:
    """Follows one table of the store."""

    def __init__(self, store: Store, table: str):
        self._store = store
        self._table = table

    async def read(self) -> Page:
        """Returns all rows."""
        return await self._store.read(self._table)

    async def changes(self, after: int, wait_s: float) -> Page:
        """Waits for rows that changed after a version."""
        return await self._store.changes(self._table, after, wait_s)


class _Instance(msgspec.Struct):
    peers: str


class InstanceTable:
    """Addresses of instances, a row each, by which a new one finds others.

    Rows are written at the start and removed at a planned stop only. That an
    instance lives is told between the instances; rows renewed by a timer and
    read by everyone would cost the store the square of their number.
    """

    def __init__(self, store: Store, name: str, log: EventLog):
        self._store = store
        self._name = name
        self._log = log

    async def register(self, peers: str) -> None:
        """Writes this instance's row; raises StoreError without answer."""
        body = msgspec.json.encode(_Instance(peers))
        await self._store.write(INSTANCES_TABLE, self._name, body)

    async def unregister(self) -> None:
        """Removes this instance's row; raises StoreError without answer."""
        await self._store.remove(INSTANCES_TABLE, self._name)

    async def addresses(self) -> set[str]:
        """Returns the addresses of all; raises StoreError without answer."""
        found = set()
        for row in (await self._store.read(INSTANCES_TABLE)).rows:
            if row.data is None:
                continue
            try:
                instance = msgspec.json.decode(row.data, type=_Instance)
            except msgspec.MsgspecError as exc:
                # One bad row must not keep an instance from all others.
                self._log.trouble(
                    "instance_unreadable", row=row.id, why=str(exc)
                )
                continue
            found.add(instance.peers)
        return found


@dataclasses.dataclass(frozen=True)
class _Held:
    version: int
    row: LeaseRow | None
    age_s: float


class _LeaseBody(msgspec.Struct):
    row: LeaseRow
    # Latest time that the store's clock may have shown as it was sent.
    at_ms: float


class DutyTable:
    """The lease of the duties, and the reports of usage that were decided.

    A report is written with the lease and under its condition: whoever does
    not hold the lease decides nothing, and whoever holds it next finds what
    was decided, in the same words.

    Attributes:
        reports: Counts of the windows that are known to be decided.
    """

    def __init__(self, store: Store, log: EventLog):
        self._store = store
        self._log = log
        self.reports: dict[int, dict[str, int]] = {}

    async def read(self) -> _Held:
        """Returns the lease as it is, and notes the reports."""
        page = await self._store.read(DUTIES_TABLE)
        self._note_reports(page.rows)
        return self._lease_of(page.rows, page.now_s)

    async def write(
        self, expect: int, row: LeaseRow, extra: Report | None = None
    ) -> tuple[bool, _Held]:
        """Writes the lease, and a report with it if there is one."""
        at_ms = self._store.latest_now_s() * MS
        body = msgspec.json.encode(_LeaseBody(row, at_ms))
        conditions = [Condition(DUTIES_TABLE, LEASE_KEY, expect)]
        rows = [NewRow(DUTIES_TABLE, LEASE_KEY, body)]
        old = []
        if extra is not None:
            key = _report_key(extra.window)
            conditions.append(Condition(DUTIES_TABLE, key, 0))
            counts = msgspec.json.encode(extra.counts)
            rows.append(NewRow(DUTIES_TABLE, key, counts))
            old = self._drop_old(extra.window)
        done = await self._store.commit(conditions, rows, old)
        if not done.done:
            self._note_reports(done.rows)
            return False, self._lease_of(done.rows, done.now_s)
        if extra is not None:
            self.reports[extra.window] = extra.counts
        return True, _Held(done.version, row, 0.0)

    def _drop_old(self, newest: int) -> list[tuple[str, str]]:
        old = [x for x in self.reports if x <= newest - REPORTS_KEPT]
        for window in old:
            del self.reports[window]
        return [(DUTIES_TABLE, _report_key(window)) for window in old]

    def _note_reports(self, rows: tuple[ServerRow, ...]) -> None:
        for row in rows:
            if row.data is None or not row.id.startswith(REPORT_PREFIX):
                continue
            try:
                window = int(row.id.removeprefix(REPORT_PREFIX))
                counts = msgspec.json.decode(row.data, type=dict[str, int])
            except (msgspec.MsgspecError, ValueError) as exc:
                self._log.trouble("report_unreadable", row=row.id, why=str(exc))
                continue
            self.reports[window] = counts

    def _lease_of(self, rows: tuple[ServerRow, ...], now_s: float) -> _Held:
        found = next((x for x in rows if x.id == LEASE_KEY), None)
        if found is None or found.data is None:
            return _Held(0, None, math.inf)
        try:
            body = msgspec.json.decode(found.data, type=_LeaseBody)
        except msgspec.MsgspecError as exc:
            # Its age is unknown: it counts from when it was first seen.
            self._log.trouble("lease_unreadable", why=str(exc))
            return _Held(found.version, None, 0.0)
        if body.row.given_up:
            return _Held(found.version, body.row, math.inf)
        age_s = max(0.0, now_s - body.at_ms / MS)
        return _Held(found.version, body.row, age_s)


def _report_key(window: int) -> str:
    return f"{REPORT_PREFIX}{window}"


class _Blocked(msgspec.Struct):
    servers: list[str]
    # By the time of day, which may be seconds off: an end counts for a day.
    ended_ms: list[int]
    # When a whole run, or an operator, cleared the request; -1 for never.
    cleared_ms: int = -1


class CrashTable:
    """Requests that are not sent any more, a row each.

    Instances tell each other of them; the rows are for those that start when
    no other instance is left to tell. A request is blocked at most once in a
    day, so rows are few.
    """

    def __init__(self, store: Store, log: EventLog):
        self._store = store
        self._log = log

    async def save(self, word: ServerEnds) -> None:
        """Writes a request's row; raises StoreError without answer."""
        await _save(self._store, word)

    async def read(self) -> list[ServerEnds]:
        """Returns what stands there; raises StoreError without answer."""
        found = []
        now_ms = round(time.time() * MS)
        for row in (await self._store.read(CRASHES_TABLE)).rows:
            if row.data is None:
                continue
            try:
                held = msgspec.json.decode(row.data, type=_Blocked)
                word = _ends_word(row.id, held, now_ms)
            except (msgspec.MsgspecError, ValueError) as exc:
                self._log.trouble("crash_unreadable", row=row.id, why=str(exc))
                continue
            found.append(word)
        return found


async def release_request(store: Store, fingerprint: str) -> None:
    """Lets a request be sent again; raises StoreError without answer."""
    await _save(store, ServerEnds(fingerprint, [], [], 0))


async def _save(store: Store, word: ServerEnds) -> None:
    now_ms = round(time.time() * MS)
    row = _Blocked(
        word.servers,
        [now_ms - age_ms for age_ms in word.ages_ms],
        -1 if word.survived_ms < 0 else now_ms - word.survived_ms,
    )
    body = msgspec.json.encode(row)
    await store.write(CRASHES_TABLE, word.fingerprint, body)


def _ends_word(name: str, held: _Blocked, now_ms: int) -> ServerEnds:
    if len(held.servers) != len(held.ended_ms):
        raise ValueError("its lists differ in length")
    cleared = held.cleared_ms
    return ServerEnds(
        name,
        held.servers,
        [max(0, now_ms - at) for at in held.ended_ms],
        -1 if cleared < 0 else max(0, now_ms - cleared),
    )
