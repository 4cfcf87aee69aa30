"""Tables of the platform's store that an instance reads and writes."""

import dataclasses
import time

import msgspec

from jasminerelay import foreignbytes, storeversion
from jasminerelay.addresses import split_address
from jasminerelay.errors import ForeignDataError
from jasminerelay.eventlog import EventLog
from jasminerelay.fencing import LeaseRow
from jasminerelay.platform.storeclient import Condition, NewRow, Store
from jasminerelay.schema.messages import RequestCrashes, ServerRow
from jasminerelay.statednumbers import Count, Number, Whole, parse_whole
from jasminerelay.storefollowing import TablePage
from jasminerelay.usage import UsageReport

OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
SERVERS_TABLE = "servers"
INSTANCES_TABLE = "jasminerelay_instances"
CRASHES_TABLE = "jasminerelay_crashes"
DUTIES_TABLE = "jasminerelay_duties"
LEASE_KEY = "lease"
REPORT_PREFIX = "usage/"
REPORTS_KEPT = 12
"""Number of latest reports whose rows are kept: those that may still be sent,
and a few more."""

MS_PER_S = 1e3


class TableSource:
    """Follows one table of the store."""

    def __init__(self, store: Store, table: str):
        self._store = store
        self._table = table

    async def read(self) -> TablePage:
        """Returns all rows."""
        return await self._store.read(self._table)

    async def changes(self, after: int, wait_s: float) -> TablePage:
        """Waits for rows that changed after a version."""
        return await self._store.changes(self._table, after, wait_s)


class _UnreadableRows:
    """Logs each version of a row that cannot be read once."""

    def __init__(self, log: EventLog, event: str):
        """Creates the log of one table's rows.

        Args:
            log: Receives the lines.
            event: Their event.
        """
        self._log = log
        self._event = event
        self._versions: dict[str, int] = {}

    def report(self, row: ServerRow, error: ValueError) -> None:
        """Logs a row, unless this version of it has been logged."""
        if self._versions.get(row.id) == row.version:
            return
        self._versions[row.id] = row.version
        self._log.warn(
            self._event,
            row=foreignbytes.shown(row.id),
            row_version=storeversion.number_of(row.version),
            why=str(error),
        )

    def keep_only(self, rows: tuple[ServerRow, ...]) -> None:
        """Forgets the rows that a full read of the table lacks."""
        for name in self._versions.keys() - {row.id for row in rows}:
            del self._versions[name]


class _Instance(msgspec.Struct):
    peers: str


_read_instance = foreignbytes.json_reader(_Instance)


class InstanceTable:
    """Addresses of the instances, one per row, for the discovery of peers.

    An instance writes its row when it starts and removes it at a planned stop
    only. Liveness is exchanged between the instances: rows that every instance
    renewed periodically and read would load the store with the square of the
    number of instances.
    """

    def __init__(self, store: Store, name: str, log: EventLog):
        self._store = store
        self._name = name
        self._unreadable = _UnreadableRows(log, "instance_unreadable")

    async def register(self, peers: str) -> None:
        """Writes this instance's row; raises StoreError on failure."""
        body = msgspec.json.encode(_Instance(peers))
        await self._store.write(INSTANCES_TABLE, self._name, body)

    async def unregister(self) -> None:
        """Removes this instance's row; raises StoreError on failure."""
        await self._store.remove(INSTANCES_TABLE, self._name)

    async def addresses(self) -> set[str]:
        """Returns all instances' addresses; raises StoreError on failure."""
        found = set()
        rows = (await self._store.read(INSTANCES_TABLE)).rows
        self._unreadable.keep_only(rows)
        for row in rows:
            if row.data is None:
                continue
            try:
                found.add(_decode_instance(row.data))
            except ForeignDataError as exc:
                # One malformed row must not hide the other instances.
                self._unreadable.report(row, exc)
        return found


def _decode_instance(data: bytes) -> str:
    """Returns the IP:port that a row names, at which something can listen."""
    peers = _read_instance(data).peers
    try:
        _, port = split_address(peers)
    except ValueError as exc:
        raise ForeignDataError(f"peers: {foreignbytes.shown(exc)}") from None
    if not port:
        raise ForeignDataError("peers: port 0 is out of range")
    return peers


@dataclasses.dataclass(frozen=True)
class _StoredLease:
    version: int
    row: LeaseRow | None
    age_s: float


class _LeaseBody(msgspec.Struct):
    row: LeaseRow
    # Upper bound of the store's clock when the row was sent.
    at_ms: Number


_read_lease = foreignbytes.json_reader(_LeaseBody)
_read_counts = foreignbytes.json_reader(dict[str, Count])


class DutyTable:
    """The lease of the duties, and the usage reports that are final.

    A report is written in one transaction with the lease, on condition that
    the lease is unchanged. Only the lease holder can therefore finalize a
    report, and the next holder finds the same counts.

    If the store comes back from a copy, the lease there may be an older one
    whose holder is another instance, while the latest holder still acts under
    the one that was lost. It then counts as written just when this instance
    has first seen the store's new era.

    Attributes:
        reports: Counts of the windows whose reports are final, by window.
    """

    def __init__(self, store: Store, log: EventLog):
        self._store = store
        self._unreadable_reports = _UnreadableRows(log, "report_unreadable")
        self._unreadable_lease = _UnreadableRows(log, "lease_unreadable")
        self.reports: dict[int, dict[str, int]] = {}

    async def read(self) -> _StoredLease:
        """Returns the stored lease and updates the reports."""
        page = await self._store.read(DUTIES_TABLE)
        self._record_reports(page.rows)
        return self._stored_lease(page.rows, page.now_s)

    async def write(
        self, expect: int, row: LeaseRow, extra: UsageReport | None = None
    ) -> tuple[bool, _StoredLease]:
        """Writes the lease and, in the same transaction, the report if any."""
        era = self._store.era
        if expect and storeversion.era_of(expect) != era:
            # The number may be another write's in the store's new era.
            return False, await self.read()
        at_ms = self._store.latest_store_now_s() * MS_PER_S
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
            self._record_reports(done.rows)
            return False, self._stored_lease(done.rows, done.now_s)
        if storeversion.era_of(done.version) != era:
            # The condition was met by a row of the new era that may have
            # another holder.
            return False, _StoredLease(done.version, None, 0.0)
        if extra is not None:
            self.reports[extra.window] = extra.counts
        return True, _StoredLease(done.version, row, 0.0)

    def _drop_old(self, newest: int) -> list[tuple[str, str]]:
        old = [x for x in self.reports if x <= newest - REPORTS_KEPT]
        for window in old:
            del self.reports[window]
        return [(DUTIES_TABLE, _report_key(window)) for window in old]

    def _record_reports(self, rows: tuple[ServerRow, ...]) -> None:
        for row in rows:
            if row.data is None or not row.id.startswith(REPORT_PREFIX):
                continue
            try:
                window = _window(row.id)
                counts = _read_counts(row.data)
            except ForeignDataError as exc:
                self._unreadable_reports.report(row, exc)
                continue
            self.reports[window] = counts

    def _stored_lease(
        self, rows: tuple[ServerRow, ...], now_s: float
    ) -> _StoredLease:
        found = next((x for x in rows if x.id == LEASE_KEY), None)
        max_age_s = self._store.era_age_s
        if found is None or found.data is None:
            # The store may have lost the row of a lease that is still held.
            new_era = self._store.has_new_era
            absent = storeversion.make(self._store.era, 0) if new_era else 0
            return _StoredLease(absent, None, max_age_s)
        try:
            body = _read_lease(found.data)
        except ForeignDataError as exc:
            # The age is unknown, so it is counted from the first read.
            self._unreadable_lease.report(found, exc)
            return _StoredLease(found.version, None, 0.0)
        if body.row.given_up:
            return _StoredLease(found.version, body.row, max_age_s)
        age_s = max(0.0, now_s - body.at_ms / MS_PER_S)
        return _StoredLease(found.version, body.row, min(age_s, max_age_s))


def _window(key: str) -> int:
    try:
        return parse_whole(key.removeprefix(REPORT_PREFIX).encode())
    except ValueError as exc:
        raise ForeignDataError(foreignbytes.shown(exc)) from None


def _report_key(window: int) -> str:
    return f"{REPORT_PREFIX}{window}"


class _BlockedRequest(msgspec.Struct):
    servers: list[str]
    # Unix time. Clock skew of seconds is tolerable, since a crash counts for a
    # day.
    ended_ms: list[Whole]
    # When a completed run or an operator cleared the request; -1 if never.
    cleared_ms: Whole = -1
    width: Count = 0


_read_blocked_request = foreignbytes.json_reader(_BlockedRequest)


class CrashTable:
    """Blocked requests, one per row, with the server crashes they caused.

    Instances also broadcast them to each other; the rows are for an instance
    that starts when no other one is running. A request is blocked at most once
    a day, so there are few rows.
    """

    def __init__(self, store: Store, log: EventLog):
        self._store = store
        self._unreadable = _UnreadableRows(log, "crash_unreadable")

    async def save(self, crashes: RequestCrashes) -> None:
        """Writes a request's row; raises StoreError on failure."""
        await _save(self._store, crashes)

    async def read(self) -> list[RequestCrashes]:
        """Returns the crashes of all rows; raises StoreError on failure."""
        found = []
        now_ms = round(time.time() * MS_PER_S)
        rows = (await self._store.read(CRASHES_TABLE)).rows
        self._unreadable.keep_only(rows)
        for row in rows:
            if row.data is None:
                continue
            try:
                held = _read_blocked_request(row.data)
                crashes = _decode_crashes(row.id, held, now_ms)
            except ForeignDataError as exc:
                self._unreadable.report(row, exc)
                continue
            found.append(crashes)
        return found


async def release_request(store: Store, fingerprint: str) -> None:
    """Unblocks a request; raises StoreError on failure."""
    await _save(store, RequestCrashes(fingerprint, [], [], 0))


async def _save(store: Store, crashes: RequestCrashes) -> None:
    now_ms = round(time.time() * MS_PER_S)
    row = _BlockedRequest(
        crashes.servers,
        [now_ms - age_ms for age_ms in crashes.ages_ms],
        -1 if crashes.survived_ms < 0 else now_ms - crashes.survived_ms,
        crashes.width,
    )
    body = msgspec.json.encode(row)
    await store.write(CRASHES_TABLE, crashes.fingerprint, body)


def _decode_crashes(
    name: str, held: _BlockedRequest, now_ms: int
) -> RequestCrashes:
    if len(held.servers) != len(held.ended_ms):
        raise ForeignDataError("servers and ended_ms differ in length")
    for server in (name, *held.servers):
        foreignbytes.check_name("name", server)
    cleared = held.cleared_ms
    return RequestCrashes(
        name,
        held.servers,
        [max(0, now_ms - at) for at in held.ended_ms],
        -1 if cleared < 0 else max(0, now_ms - cleared),
        held.width,
    )
