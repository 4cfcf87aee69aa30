"""The platform's tables as sources of rows."""

import time

import msgspec

from jasminerelay.eventlog import EventLog
from jasminerelay.following import Page
from jasminerelay.platform.storeclient import Store
from jasminerelay.schema.messages import ServerEnds

OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
SERVERS_TABLE = "servers"
INSTANCES_TABLE = "jasminerelay_instances"
CRASHES_TABLE = "jasminerelay_crashes"
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
