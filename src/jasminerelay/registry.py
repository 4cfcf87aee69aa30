"""What an instance believes of configuration and backend servers.

Pure: it takes rows, snapshots and the time, and keeps the newest of each. The
words come from the platform's store or, while that is out of reach, from
other instances; both carry the store's version, so the newer one wins
whichever way it came.

A row that is gone means a server that leaves, or a living one that could not
renew its row since the store was away. Whoever has had the store all the while
can tell: its list is settled, and what is missing there is gone. Whoever has
lost the store keeps such a server until a settled list lacks it, or until it
has had the store back for long enough itself.
"""

import collections
import dataclasses
import enum
from collections.abc import Callable, Iterable

import xxhash

from jasminerelay.catalog import BackendServer, Catalog
from jasminerelay.schema.messages import ServerRow, Snapshot, Standing

RETURN_GRACE_S = 2.2
"""How long a server whose row lapsed in an outage of the store stays in use
after the store's return: a living one is back within two seconds, and one
that is gone must not get work for long."""

MAX_PAST = 1024
"""Incarnations that are remembered after another one took their name; enough
for each of 600 servers to have restarted within the minutes in which a late
word of the former incarnation may still come."""

Decode = Callable[[str, bytes], BackendServer]


class Touch(enum.IntEnum):
    """Touch of an instance with the store, as instances tell each other."""

    LOST = 0
    THERE = 1
    SETTLED = 2
    """There for long enough that a server without a row is gone."""


@dataclasses.dataclass(frozen=True)
class ServerNews:
    """What a row has changed.

    Attributes:
        row: The row.
        before: The server that its name stood for; None for none.
        after: The server that it stands for now; None for none.
        why: Why the row names no server to use, if it cannot be read.
        kept: Whether the row is gone and its server stays in use for a while.
    """

    row: ServerRow
    before: BackendServer | None
    after: BackendServer | None
    why: str = ""
    kept: bool = False

    @property
    def ended(self) -> BackendServer | None:
        """The incarnation that is over, if one is."""
        if self.before is None or self.why:
            return None
        if self.after is None or self.after.id != self.before.id:
            return self.before
        return None


@dataclasses.dataclass(frozen=True)
class _Held:
    """What a name stands for; `usable` is false behind an unreadable row."""

    row: ServerRow
    server: BackendServer
    usable: bool = True


class Registry:
    """The newest catalog and backend servers that this instance has heard of.

    Example:
        >>> registry = Registry(decode_catalog, decode_server)  # doctest: +SKIP
        >>> registry.take_configuration(3, body)                # doctest: +SKIP
    """

    def __init__(
        self,
        decode_catalog: Callable[[bytes], Catalog],
        decode_server: Decode,
    ):
        """Makes an empty registry.

        Args:
            decode_catalog: Reads a configuration; ValueError if it cannot.
            decode_server: Reads a server's row; ValueError if it cannot.
        """
        self._decode_catalog = decode_catalog
        self._decode_server = decode_server
        self.catalog: Catalog | None = None
        self._configuration = (0, b"")
        self._unread_configuration = 0
        self._held: dict[str, _Held] = {}
        self._servers_version = 0
        self._servers_known = False
        self._lapsed: set[str] = set()
        self._past: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._unreadable: dict[str, int] = {}
        self._touch = Touch.THERE
        self._touch_since: float | None = None
        self._was_lost = False
        self._consulted = 0
        self._digest = 0
        self._by_service: dict[str, list[BackendServer]] = {}
        self._ids: dict[str, tuple[str, ...]] = {}
        self._gone: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._gone_since: int | None = None
        self._doubted = False

    @property
    def complete(self) -> bool:
        """Whether configuration and servers are known."""
        return self.catalog is not None and self._servers_known

    @property
    def misses_configuration(self) -> bool:
        """Whether there is a newer configuration that cannot be read here."""
        return self._unread_configuration > self._configuration[0]

    @property
    def servers_version(self) -> int:
        """The store's version as of which the servers hold."""
        return self._servers_version

    @property
    def standing(self) -> Standing:
        """How new this knowledge is."""
        return Standing(
            self._configuration[0],
            self._servers_version,
            self._digest,
            self._touch,
        )

    def servers_of(self, service: str) -> list[BackendServer]:
        """Returns the servers of a service that take new work."""
        return self._by_service.get(service, [])

    def ids_of(self, service: str) -> tuple[str, ...]:
        """Returns the ids of a service's servers that take work, sorted."""
        return self._ids.get(service, ())

    def server(self, server_id: str) -> BackendServer | None:
        """Returns a server by its id, also a draining one."""
        # Rows are held by the server's name, which its id may go on from.
        held = self._held.get(server_id) or self._held.get(
            server_id.rpartition("@")[0]
        )
        if held is None or held.server.id != server_id:
            return None
        return held.server

    def servers(self) -> list[BackendServer]:
        """Returns all servers, also draining ones."""
        return [held.server for held in self._held.values()]

    def take_configuration(self, version: int, data: bytes) -> bool:
        """Takes a configuration; returns whether it is news.

        An older one is passed over: within the life of a process the
        configuration never goes back.

        Raises:
            ValueError: if it cannot be read.
        """
        if version <= self._configuration[0]:
            return False
        self._unread_configuration = version
        catalog = self._decode_catalog(data)
        self._unread_configuration = 0
        if self.catalog is not None and catalog.version < self.catalog.version:
            return False
        self._configuration = (version, data)
        self.catalog = catalog
        return True

    def take_changes(
        self, rows: Iterable[ServerRow], version: int
    ) -> list[ServerNews]:
        """Takes changed rows in the store's order; returns what is news.

        An instance that was cut off gets all changes since its last call,
        though others have told it of many. An old row among them would bring
        back a server that is known to have left, and the row's removal, just
        after the return, would pass for a lapse: in use for 2.2 s more.
        """
        rows = list(rows)
        dropped = {row.id: row.version for row in rows if row.data is None}
        since = self._servers_version
        current = [
            row
            for row in rows
            if row.data is None
            or row.id in self._held
            or row.version >= max(since, dropped.get(row.id, 0))
        ]
        return self._take(current, version)

    def _take(
        self, rows: Iterable[ServerRow], version: int
    ) -> list[ServerNews]:
        # A row that cannot be read names no server to use; the others hold.
        taken = (self._take_row(row) for row in rows)
        news = [item for item in taken if item is not None]
        self._servers_known = True
        self._servers_version = max(self._servers_version, version)
        self._rebuild()
        return news

    def take_all(
        self, rows: Iterable[ServerRow], version: int
    ) -> list[ServerNews]:
        """Takes all rows as of one moment; returns what is news.

        Rows that are missing are gone.
        """
        if version < self._servers_version:
            return []
        rows = list(rows)
        present = {row.id for row in rows}
        if self._gone_since is None:
            self._gone_since = version
        gone = [
            ServerRow(name, version, None)
            for name in self._held
            if name not in present and name not in self._lapsed
        ]
        return self._take([*rows, *gone], version)

    def store_lost(self) -> None:
        """Notes that the store does not answer."""
        self._touch = Touch.LOST
        self._touch_since = None
        self._was_lost = True

    def store_regained(self, now: float) -> None:
        """Notes that the store answers, for the first time or again."""
        if self._touch_since is not None:
            return
        self._touch = Touch.THERE
        self._touch_since = now

    def expire(self, now: float) -> list[BackendServer]:
        """Drops servers that stayed away too long after an outage."""
        since = self._touch_since
        if since is None or now < since + RETURN_GRACE_S:
            return []
        self._touch = Touch.SETTLED
        over = [self._held.pop(name) for name in self._lapsed]
        for held in over:
            self._note_gone(held.row.id, self._servers_version)
        self._lapsed.clear()
        if over:
            self._rebuild()
        return [held.server for held in over]

    def behind(self, other: Standing) -> bool:
        """Returns whether an instance of this standing knows more."""
        if other.configuration_version > self._configuration[0]:
            return True
        if self._doubted and other.servers_version >= self._servers_version:
            return True
        if (
            other.servers_version > self._servers_version
            and other.servers_digest != self._digest
        ):
            return True
        return other.touch == Touch.SETTLED and self._asks(
            other.servers_version
        )

    @property
    def complete_until(self) -> int:
        """Version after which another's changes are enough; 0 if none is.

        Rows that lapsed here may be gone there for longer.
        """
        if self._doubted or self._lapsed or not self._servers_known:
            return 0
        return self._servers_version

    def export(self, known: int = 0, since: int = 0) -> Snapshot:
        """Returns what this instance knows, for another one.

        Args:
            known: Version of the other's configuration, as the store counts.
                The configuration is left out if it is no newer: it is most of
                what is known, and in a series of restarts only rows change.
            since: The store's version up to which the other knows all rows; 0
                if it does not. Of thousands of rows a few change at a time.
        """
        version, data = self._configuration
        if self._gone_since is None or since < self._gone_since:
            since = 0
        gone = [name for name, at in self._gone.items() if at > since]
        return Snapshot(
            version,
            data if version > known else b"",
            self._servers_version,
            [
                held.row
                for name, held in self._held.items()
                if name not in self._lapsed and held.row.version > since
            ],
            self._touch is Touch.SETTLED,
            since,
            gone if since else [],
            self._digest,
        )

    def adopt(self, snapshot: Snapshot) -> list[ServerNews]:
        """Takes another instance's knowledge where it is newer.

        Raises:
            ValueError: if its configuration cannot be read.
        """
        if snapshot.configuration:
            self.take_configuration(
                snapshot.configuration_version, snapshot.configuration
            )
        if snapshot.since:
            return self._adopt_changes(snapshot)
        news = self._settle(snapshot) if snapshot.settled else []
        version = snapshot.servers_version
        if self._doubted and version == self._servers_version:
            news += self.take_all(snapshot.servers, version)
        self._doubted = False
        if version > self._servers_version:
            news += self.take_all(snapshot.servers, version)
        return news

    def _adopt_changes(self, snapshot: Snapshot) -> list[ServerNews]:
        """Takes what has changed since a version that is known here whole."""
        version = snapshot.servers_version
        known = self._servers_version
        if version <= known or snapshot.since > known:
            return []
        gone = [
            name
            for name in snapshot.gone
            if name in self._held and self._held[name].row.version <= version
        ]
        news = []
        if snapshot.settled:
            news = [self._drop(ServerRow(name, version, None)) for name in gone]
            gone = []
        removed = [ServerRow(name, version, None) for name in gone]
        news += self._take([*snapshot.servers, *removed], version)
        # A change that was missed before would stay missing: then all rows are
        # asked for.
        self._doubted = (
            not self._lapsed and self._digest != snapshot.servers_digest
        )
        return news

    def _asks(self, version: int) -> bool:
        """Returns whether a settled list as of a version may help."""
        return version > self._consulted and any(
            self._held[name].row.version <= version for name in self._lapsed
        )

    def _settle(self, snapshot: Snapshot) -> list[ServerNews]:
        # An instance that is cut off from the store alone cannot tell a
        # server that left from one whose row lapsed, and would keep the former
        # until the store serves it again. The sender has had the store
        # throughout: what its list lacks has left. Rows newer than the list
        # are not its to judge.
        version = snapshot.servers_version
        self._consulted = max(self._consulted, version)
        present = {row.id for row in snapshot.servers}
        newer = version > self._servers_version
        doubtful = self._held if newer else self._lapsed
        gone = [
            name
            for name in doubtful
            if name not in present and self._held[name].row.version <= version
        ]
        news = [self._drop(ServerRow(name, version, None)) for name in gone]
        if news:
            self._rebuild()
        return news

    def _take_row(self, row: ServerRow) -> ServerNews | None:
        held = self._held.get(row.id)
        if held is not None and held.row.version > row.version:
            return None
        if row.data is None:
            return self._take_gone(row)
        before = held.server if held else None
        try:
            server = self._decode_server(row.id, row.data)
        except ValueError as exc:
            return self._take_unreadable(row, held, str(exc))
        if server.id in self._past:
            return None
        if before is not None and before.id != server.id:
            self._note_past(before)
        self._held[row.id] = _Held(row, server)
        self._gone.pop(row.id, None)
        self._lapsed.discard(row.id)
        if held is not None and held.usable and before == server:
            return None
        return ServerNews(row, before, server)

    def _take_unreadable(
        self, row: ServerRow, held: _Held | None, why: str
    ) -> ServerNews | None:
        # The name may be that of a living server whose row someone else has
        # overwritten. It gets no new requests until it renews its row, but it
        # is not taken as gone: its streams go on, and so does its cache.
        if held is not None:
            self._held[row.id] = _Held(row, held.server, usable=False)
        if self._unreadable.get(row.id) == row.version:
            return None
        self._unreadable[row.id] = row.version
        return ServerNews(row, held.server if held else None, None, why)

    def _note_past(self, server: BackendServer) -> None:
        # A row that the former incarnation sent before its end may take
        # effect after the new one's. Rows are ordered by the store's version
        # only, not by the servers' clocks, which may step back between two
        # starts: so an incarnation is past because another one has followed.
        self._past[server.id] = None
        if len(self._past) > MAX_PAST:
            self._past.popitem(last=False)

    def _take_gone(self, row: ServerRow) -> ServerNews | None:
        self._unreadable.pop(row.id, None)
        held = self._held.get(row.id)
        if held is None:
            return None
        # A server cannot renew its row while the store is away, so its row
        # may lapse though it lives and serves. Dropping it would empty the
        # pool in an outage; it stays until it had the time to come back, or
        # until another instance knows better.
        in_outage = self._was_lost and self._touch is not Touch.SETTLED
        if in_outage and not held.server.draining:
            if row.id in self._lapsed:
                return None
            self._lapsed.add(row.id)
            return ServerNews(row, held.server, held.server, kept=True)
        return self._drop(row)

    def _drop(self, row: ServerRow) -> ServerNews:
        self._lapsed.discard(row.id)
        self._note_gone(row.id, row.version)
        return ServerNews(row, self._held.pop(row.id).server, None)

    def _note_gone(self, name: str, version: int) -> None:
        self._gone.pop(name, None)
        self._gone[name] = version
        while len(self._gone) > MAX_PAST:
            _, oldest = self._gone.popitem(last=False)
            self._gone_since = max(self._gone_since or 0, oldest)

    def _rebuild(self) -> None:
        self._by_service = {}
        digest = xxhash.xxh64()
        for name in sorted(self._held):
            held = self._held[name]
            if name not in self._lapsed:
                digest.update(f"{name}:{held.row.version};".encode())
            if held.usable and not held.server.draining:
                service = held.server.service
                self._by_service.setdefault(service, []).append(held.server)
        self._ids = {
            service: tuple(sorted(server.id for server in servers))
            for service, servers in self._by_service.items()
        }
        self._digest = digest.intdigest()
