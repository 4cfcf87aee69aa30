"""The platform's tables as sources of rows."""

import msgspec

from jasminerelay.eventlog import EventLog
from jasminerelay.following import Page
from jasminerelay.platform.storeclient import Store

OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
SERVERS_TABLE = "servers"
INSTANCES_TABLE = "jasminerelay_instances"


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
