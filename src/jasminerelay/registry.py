"""Replicated view of the configuration and the backend servers.

This module does no I/O: it is given rows, snapshots and the time, and keeps the
newest state of each. Updates come from the platform's store or, while that is
unreachable, from other instances. Servers' rows carry the store's version, so
the newer update wins whichever way it arrived. Configurations are ordered by
the operator's own version, which the store cannot lose.

A missing row means either that the server has left, or that a living server
could not renew its row because the store was unreachable. An instance that has
had the store throughout can tell the two apart: its list is settled, and a
server without a row there has left. An instance that lost the store keeps such
a server until a settled list lacks it, or until the store has been reachable
again for long enough.

A server's start time tells its incarnations apart. Programs other than the
servers write to the table, so one row does not end an incarnation for good: a
row that speaks for an earlier start, or for one that has ended, is a claim. It
is believed once it has stood for longer than a living server leaves such a row
in the store.

The store may come back from an older copy of its data, which begins a new era
of its versions (see `storeversion`). A row that is missing there is treated as
after an outage.
"""

import collections
import dataclasses
import enum
from collections.abc import Callable, Iterable, Mapping

import msgspec
import xxhash

from jasminerelay import storeversion
from jasminerelay.catalog import BackendServer, Catalog
from jasminerelay.schema.messages import ReplicaStatus, ServerRow, StoreSnapshot

RETURN_GRACE_S = 2.2
"""How long a server whose row lapsed during a store outage stays in use after
the store is reachable again. A living server renews its row within two seconds,
and one that has left must not receive requests for long."""

RESTORED_ROW_GRACE_S = 5.0
"""How long the row of a server that had been removed gets no requests after the
store has come back with it. A server that has left is removed again after three
heartbeats, less than two seconds each."""

RETURN_CLAIM_S = 2.0
"""How long a row of an incarnation that seemed to have ended must stand. Its
successor, if there is one, writes its own row in less time."""

EARLIER_CLAIM_S = 5.0
"""How long the first row with an earlier start than the known one must stand.
The known incarnation, if it lives, misses three heartbeats in that time."""

MAX_HISTORY = 1024
"""Limit on remembered incarnations that were replaced, on remembered removals
and on remembered announcements of shutdowns. It covers a restart of each of 600
servers within the minutes in which a delayed update about the former
incarnation may still arrive."""

NO_START = "it lacks the start, which the servers' rows state"
EARLIER_START = "its start is earlier than the known one"
ENDED_START = "another start has followed it"
"""Why a row that can be read names no server, or not at once."""

ServerDecoder = Callable[[str, bytes], BackendServer]


class StoreStatus(enum.IntEnum):
    """Whether an instance reaches the store, as reported to other instances."""

    UNREACHABLE = 0
    REACHABLE = 1
    SETTLED = 2
    """Reachable for long enough that a server without a row has left."""


@dataclasses.dataclass(frozen=True)
class ServerChange:
    """The effect of a server's row on the registry.

    Attributes:
        row: The row.
        before: The server registered under the name before; None for none.
        after: The server registered under the name now; None for none.
        why: Why the row could not be decoded; "" if it could.
        kept: Whether the row was removed and its server stays in use for a
            while.
    """

    row: ServerRow
    before: BackendServer | None
    after: BackendServer | None
    why: str = ""
    kept: bool = False

    @property
    def ended(self) -> BackendServer | None:
        """The incarnation that this change ended, if any."""
        if self.before is None or self.why:
            return None
        if self.after is None or self.after.id != self.before.id:
            return self.before
        return None

    @property
    def overwritten(self) -> BackendServer | None:
        """The server before, if it goes on under its id as another one."""
        if self.before is None or self.after is None:
            return None
        before = (self.before.service, self.before.software_version)
        after = (self.after.service, self.after.software_version)
        return None if before == after else self.before


@dataclasses.dataclass(frozen=True)
class _Entry:
    """Registered server of a name; not usable if its row is unreadable."""

    row: ServerRow
    server: BackendServer
    usable: bool = True


@dataclasses.dataclass
class _Claim:
    """A row that speaks for another incarnation, and is not believed yet.

    Attributes:
        row: The newest such row.
        server: The incarnation that it speaks for.
        returns: Whether that incarnation seemed to have ended.
        since: Monotonic time since which it has stood; None until the next
            round.
    """

    row: ServerRow
    server: BackendServer
    returns: bool
    since: float | None = None

    def stands(self, now: float, store_reachable_since: float) -> bool:
        """Returns whether a living server would have replaced the row."""
        if self.since is None:
            return False
        wait_s = RETURN_CLAIM_S if self.returns else EARLIER_CLAIM_S
        return now - max(self.since, store_reachable_since) >= wait_s


class Registry:
    """The newest catalog and backend servers known to this instance.

    Attributes:
        on_unlisted: Called with a server that has come and gone without being
            listed here; None if its row was not seen.

    Example:
        >>> registry = Registry(decode_catalog, decode_server)  # doctest: +SKIP
        >>> registry.servers_of("pool")                         # doctest: +SKIP
    """

    def __init__(
        self,
        decode_catalog: Callable[[bytes], Catalog],
        decode_server: ServerDecoder,
    ):
        """Creates an empty registry.

        Args:
            decode_catalog: Decodes a configuration; raises ValueError if it
                cannot.
            decode_server: Decodes a server's row; raises ValueError if it
                cannot.
        """
        self._decode_catalog = decode_catalog
        self._decode_server = decode_server
        self.catalog: Catalog | None = None
        self._configuration = (0, b"")
        self._unreadable_configuration_version = 0
        self._entries: dict[str, _Entry] = {}
        self._servers_version = 0
        self._servers_received = False
        self._lapsed: set[str] = set()
        self._ended_incarnations: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._announced_drains: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._shutdowns: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._claims: dict[str, _Claim] = {}
        self._starts_stated = False
        self._used_without_start: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._unreadable_rows: dict[str, int] = {}
        self._store_contact = StoreStatus.REACHABLE
        self._store_reachable_since: float | None = None
        self._era: int | None = None
        self._first_era = 0
        self._era_entered_at: float | None = float("-inf")
        self._restored: set[str] = set()
        self._had_outage = False
        self._settled_list_version = 0
        self._digest = 0
        self._by_service: dict[str, list[BackendServer]] = {}
        self._ids: dict[str, tuple[str, ...]] = {}
        self._removals: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._removals_complete_since: int | None = None
        self._digest_mismatch = False
        self.on_unlisted: Callable[[BackendServer | None], None] = (
            lambda server: None
        )

    @property
    def complete(self) -> bool:
        """Whether a configuration and a list of servers have been received."""
        return self.catalog is not None and self._servers_received

    @property
    def has_unreadable_configuration(self) -> bool:
        """Whether a newer configuration exists that cannot be decoded here."""
        return self._unreadable_configuration_version > self._configuration[0]

    @property
    def configuration_version(self) -> int:
        """The store's version of the configuration in force."""
        return self._configuration[0]

    @property
    def lacks_rows(self) -> bool:
        """Whether rows are known to be missing up to its version."""
        return self._digest_mismatch

    @property
    def servers_version(self) -> int:
        """The store's version that the list of servers reflects."""
        return self._servers_version

    @property
    def standing(self) -> ReplicaStatus:
        """The versions and the digest of this registry, for other instances."""
        return ReplicaStatus(
            storeversion.number_of(self._configuration[0]),
            storeversion.number_of(self._servers_version),
            self._digest,
            self._store_contact,
            era=storeversion.era_of(self._servers_version),
            catalog=self._catalog_version,
        )

    @property
    def _catalog_version(self) -> int:
        return self.catalog.version if self.catalog is not None else 0

    def servers_of(self, service: str) -> list[BackendServer]:
        """Returns the servers of a service that accept new requests."""
        return self._by_service.get(service, [])

    def server_ids_of(self, service: str) -> tuple[str, ...]:
        """Returns the sorted ids of a service's servers that take requests."""
        return self._ids.get(service, ())

    def server(self, server_id: str) -> BackendServer | None:
        """Returns a server by its id, including draining servers."""
        # Rows are keyed by the server's name. An id is the name, optionally
        # followed by "@" and the start time.
        held = self._entries.get(server_id) or self._entries.get(
            server_id.rpartition("@")[0]
        )
        if held is None or held.server.id != server_id:
            return None
        return held.server

    def servers(self) -> list[BackendServer]:
        """Returns all servers, including draining servers."""
        return [held.server for held in self._entries.values()]

    def known_servers(self) -> list[BackendServer]:
        """Returns all servers, and those whose rows are not believed yet."""
        claimed = [claim.server for claim in self._claims.values()]
        return [*self.servers(), *claimed]

    def has_announced_drain(self, server_id: str) -> bool:
        """Returns whether a server has announced that it shuts down.

        In a response, or in a row that the store may have lost since.
        """
        return server_id in self._announced_drains

    def shuts_down(self, server: BackendServer) -> bool:
        """Returns whether a server has announced its shutdown, also earlier."""
        held = self.server(server.id)
        if held is not None:
            return held.draining
        return self.has_announced_drain(server.id) or (
            server.id in self._shutdowns
        )

    def announce_drain(self, server_id: str) -> ServerChange | None:
        """Marks a server as draining for the rest of its life.

        Its row may say so much later, or never while the store is unreachable,
        and an older row may still arrive. The server may not be registered yet.

        Returns:
            The effect; None if the server is unknown or was draining already.
        """
        self._record_drain(server_id)
        before = self.server(server_id)
        if before is None or before.draining:
            return None
        held = self._entries[before.name]
        after = dataclasses.replace(before, draining=True)
        self._entries[before.name] = dataclasses.replace(held, server=after)
        self._rebuild()
        return ServerChange(held.row, before, after)

    def apply_configuration(self, version: int, data: bytes) -> bool:
        """Applies a configuration; returns whether it replaced the current one.

        An older configuration is ignored: within the life of a process the
        configuration never goes back, also if the store does.

        Raises:
            ValueError: if it cannot be decoded.
        """
        self._enter_era(storeversion.era_of(version))
        held_version, held_data = self._configuration
        newest = max(version, held_version)
        if data == held_data:
            self._configuration = (newest, held_data)
            return False
        unreadable = self._unreadable_configuration_version
        self._unreadable_configuration_version = max(unreadable, version)
        catalog = self._decode_catalog(data)
        self._unreadable_configuration_version = unreadable
        if self.catalog is not None and (
            (catalog.version, version) <= (self.catalog.version, held_version)
        ):
            self._configuration = (newest, held_data)
            return False
        self._configuration = (newest, data)
        self.catalog = catalog
        return True

    def _enter_era(self, era: int) -> None:
        """Records the store's era of a version.

        A server whose row was written since the copy that the store came back
        from has no row until it writes it again, as after an outage. One that
        was draining may have an older row there.
        """
        if self._era is None:
            self._era = self._first_era = era
        if era <= self._era:
            return
        self._era = era
        self._era_entered_at = None
        self._had_outage = True
        for held in self._entries.values():
            if held.server.draining:
                self._record_drain(held.server.id)
        if self._store_contact is StoreStatus.SETTLED:
            self._store_contact = StoreStatus.REACHABLE

    def _version_at(self, era: int, number: int) -> int:
        """Returns the version that another instance states.

        An instance of a version without eras means the first one: it goes on
        with the versions of before if the store comes back from a copy.
        """
        return storeversion.make(self._first_era if era < 0 else era, number)

    def holds_configuration(self, data: bytes) -> bool:
        """Returns whether this is the encoded configuration in force."""
        return data == self._configuration[1]

    def apply_changes(
        self, rows: Iterable[ServerRow], version: int
    ) -> list[ServerChange]:
        """Applies changed rows in the store's order; returns their effects.

        An instance that was cut off from the store receives all changes since
        its last call, although it has already learned of many from other
        instances. Without a check, an old row among them would bring back a
        server that is known to have left, and the removal of that row, just
        after the store's return, would be taken for a lapse: the server would
        stay in use for 2.2 s more.
        """
        rows = list(rows)
        dropped = {row.id: row.version for row in rows if row.data is None}
        since = self._servers_version
        self._report_unlisted(rows, dropped)
        current = [
            row
            for row in rows
            if row.data is None
            or row.id in self._entries
            or row.version >= max(since, dropped.get(row.id, 0))
        ]
        # A server that has written its row again is alive.
        self._restored -= {row.id for row in current}
        return self._apply(current, version)

    def _report_unlisted(
        self, rows: list[ServerRow], dropped: Mapping[str, int]
    ) -> None:
        """Reports the servers that some changes show to have come and gone.

        Args:
            rows: The changes.
            dropped: Versions of the removals among them, by server.
        """
        written = {row.id for row in rows if row.data is not None}
        for row in rows:
            if row.id in self._entries:
                continue
            if row.data is not None:
                if row.version < dropped.get(row.id, 0):
                    self.on_unlisted(self._decoded(row))
            elif (
                row.id not in written
                and row.version > self._removals.get(row.id, 0)
                and self._servers_received
            ):
                self.on_unlisted(None)

    def _decoded(self, row: ServerRow) -> BackendServer | None:
        """Returns the server of a row; None if the row is malformed."""
        try:
            return self._decode_server(row.id, row.data)
        except ValueError:
            return None

    def _apply(
        self, rows: Iterable[ServerRow], version: int
    ) -> list[ServerChange]:
        # An unreadable row makes its own server unusable; the other rows apply.
        applied = [self._apply_guarded(row) for row in rows]
        changes = [change for change in applied if change is not None]
        self._servers_received = True
        self._servers_version = max(self._servers_version, version)
        self._rebuild()
        return changes

    def apply_full_read(
        self, rows: Iterable[ServerRow], version: int
    ) -> list[ServerChange]:
        """Applies a full read of the table; returns the effects.

        Servers whose rows are missing are treated as removed.
        """
        if version < self._servers_version:
            return []
        rows = list(rows)
        present = {row.id for row in rows}
        for name in self._claims.keys() - present:
            del self._claims[name]
        era = storeversion.era_of(version)
        self._enter_era(era)
        complete_since = self._removals_complete_since
        if complete_since is None or storeversion.era_of(complete_since) < era:
            self._removals_complete_since = version
            # The copy may hold rows of servers that have left since.
            self._restored = present & self._removals.keys()
        gone = [
            ServerRow(name, version, None)
            for name in self._entries
            if name not in present and name not in self._lapsed
        ]
        return self._apply([*rows, *gone], version)

    def mark_store_unreachable(self) -> None:
        """Records that the store is unreachable."""
        self._store_contact = StoreStatus.UNREACHABLE
        self._store_reachable_since = None
        self._had_outage = True

    def mark_store_reachable(self, now: float) -> None:
        """Records that the store is reachable, for the first time or again."""
        if self._store_reachable_since is not None:
            return
        self._store_contact = StoreStatus.REACHABLE
        self._store_reachable_since = now

    def expire(self, now: float) -> list[BackendServer]:
        """Removes servers that did not renew their row after an outage."""
        if self._era_entered_at is None:
            self._era_entered_at = now
        self._expire_restored(now)
        since = self._store_reachable_since
        if since is None:
            return []
        if now < max(since, self._era_entered_at) + RETURN_GRACE_S:
            return []
        self._store_contact = StoreStatus.SETTLED
        lapsed = [self._entries.pop(name) for name in self._lapsed]
        for held in lapsed:
            self._record_removal(held.row.id, self._servers_version)
        self._lapsed.clear()
        if lapsed:
            self._rebuild()
        return [held.server for held in lapsed]

    def believe_claims(self, now: float) -> list[ServerChange]:
        """Believes the rows that a living server would have replaced by now."""
        standing = []
        reachable_since = self._store_reachable_since
        for claim in self._claims.values():
            if claim.since is None:
                claim.since = now
            if reachable_since is None:
                continue
            if claim.stands(now, reachable_since):
                standing.append(claim)
        changes = [
            self._register(claim.row, claim.server)
            for claim in self._without_wrong_starts(standing)
        ]
        if changes:
            self._rebuild()
        return [change for change in changes if change is not None]

    def _without_wrong_starts(self, standing: list[_Claim]) -> list[_Claim]:
        """Leaves out rows without a start where most servers state theirs."""
        lacking = {
            claim.row.id
            for claim in standing
            if claim.row.id in self._entries
            and self._lacks_start(
                claim.server, self._entries[claim.row.id].server
            )
        }
        if not lacking:
            return standing
        stated = sum(
            bool(held.server.born) and name not in lacking
            for name, held in self._entries.items()
        )
        if 2 * stated < len(self._entries):
            return standing
        return [claim for claim in standing if claim.row.id not in lacking]

    def _expire_restored(self, now: float) -> None:
        """Uses servers that were gone before an era and still have a row."""
        if now < self._era_entered_at + RESTORED_ROW_GRACE_S:
            return
        if self._restored:
            self._restored.clear()
            self._rebuild()

    def is_behind(self, other: ReplicaStatus) -> bool:
        """Returns whether an instance with this standing has newer state."""
        if self.lacks_configuration_of(other):
            return True
        version = self._version_at(other.era, other.servers_version)
        if self._digest_mismatch and version >= self._servers_version:
            return True
        if version > self._servers_version and (
            other.servers_digest != self._digest
            or storeversion.era_of(version) != self._era
        ):
            return True
        return other.touch == StoreStatus.SETTLED and self._needs_settled_list(
            version
        )

    def lacks_configuration_of(self, other: ReplicaStatus) -> bool:
        """Returns whether another instance has a newer configuration."""
        if other.catalog >= 0:
            return other.catalog > self._catalog_version
        version = self._version_at(-1, other.configuration_version)
        return version > self._configuration[0]

    def shares_era_with(self, other: ReplicaStatus) -> bool:
        """Returns whether another instance's data is of the same era.

        One that has not noticed that the store came back from a copy considers
        its data newer than all that the store accepts for a while.
        """
        version = self._version_at(other.era, other.servers_version)
        return storeversion.era_of(version) == (self._era or 0)

    @property
    def delta_base_version(self) -> int:
        """Version since which a delta is sufficient; 0 to fetch all rows.

        With lapsed rows a delta does not suffice: such a row may have been
        removed elsewhere before that version.
        """
        if self._digest_mismatch or self._lapsed or not self._servers_received:
            return 0
        return self._servers_version

    def export_snapshot(
        self,
        receiver_version: int = 0,
        since: int = 0,
        receiver_catalog: int = -1,
    ) -> StoreSnapshot:
        """Returns this registry's state for another instance.

        Args:
            receiver_version: Version of the receiver's configuration, as the
                store counts. The configuration is left out unless it is newer:
                it is most of a snapshot, and in a rolling restart only rows
                change.
            since: The store's version up to which the receiver has all rows; 0
                for a full snapshot. Of thousands of rows a few change at a
                time.
            receiver_catalog: The operator's version of the receiver's
                configuration, which decides in place of `receiver_version`; -1
                if the receiver does not state it.
        """
        version, data = self._configuration
        number = storeversion.number_of(version)
        if receiver_catalog >= 0:
            is_newer = self._catalog_version > receiver_catalog
        else:
            is_newer = number > receiver_version
        if (
            self._removals_complete_since is None
            or since < self._removals_complete_since
        ):
            since = 0
        gone = [name for name, at in self._removals.items() if at > since]
        return StoreSnapshot(
            number,
            data if is_newer else b"",
            storeversion.number_of(self._servers_version),
            [
                msgspec.structs.replace(
                    held.row,
                    version=storeversion.number_of(held.row.version),
                )
                for name, held in self._entries.items()
                if name not in self._lapsed and held.row.version > since
            ],
            self._store_contact is StoreStatus.SETTLED,
            storeversion.number_of(since),
            gone if since else [],
            self._digest,
            servers_era=storeversion.era_of(self._servers_version),
            configuration_era=storeversion.era_of(version),
        )

    def version_of_request(self, era: int, number: int) -> int:
        """Returns the version up to which a requester of a snapshot has rows.

        Args:
            era: The era that it states; -1 if it states none.
            number: The number that it states; 0 for a full snapshot.
        """
        return self._version_at(era, number) if number else 0

    def _with_eras(self, snapshot: StoreSnapshot) -> StoreSnapshot:
        """Returns a snapshot in which numbers are replaced by versions."""
        era = snapshot.servers_era
        since = snapshot.since
        return msgspec.structs.replace(
            snapshot,
            configuration_version=self._version_at(
                snapshot.configuration_era, snapshot.configuration_version
            ),
            servers_version=self._version_at(era, snapshot.servers_version),
            servers=[
                msgspec.structs.replace(
                    row, version=self._version_at(era, row.version)
                )
                for row in snapshot.servers
            ],
            since=self._version_at(era, since) if since else 0,
        )

    def merge_snapshot(self, snapshot: StoreSnapshot) -> list[ServerChange]:
        """Merges another instance's snapshot where it is newer.

        Raises:
            ValueError: if its configuration cannot be decoded.
        """
        snapshot = self._with_eras(snapshot)
        if snapshot.configuration:
            self.apply_configuration(
                snapshot.configuration_version, snapshot.configuration
            )
        if snapshot.servers_version > self._servers_version:
            self._enter_era(storeversion.era_of(snapshot.servers_version))
        if snapshot.since:
            return self._merge_changes(snapshot)
        changes = self._apply_settled_list(snapshot) if snapshot.settled else []
        version = snapshot.servers_version
        if self._digest_mismatch and version == self._servers_version:
            changes += self.apply_full_read(snapshot.servers, version)
        self._digest_mismatch = False
        if version > self._servers_version:
            changes += self.apply_full_read(snapshot.servers, version)
        return changes

    def _merge_changes(self, snapshot: StoreSnapshot) -> list[ServerChange]:
        """Applies changes since a version up to which all rows are known."""
        version = snapshot.servers_version
        own_version = self._servers_version
        if version <= own_version or snapshot.since > own_version:
            return []
        gone = [
            name
            for name in snapshot.gone
            if name in self._entries
            and self._entries[name].row.version <= version
        ]
        changes = []
        if snapshot.settled:
            changes = [
                self._remove(ServerRow(name, version, None)) for name in gone
            ]
            gone = []
        removed = [ServerRow(name, version, None) for name in gone]
        changes += self._apply([*snapshot.servers, *removed], version)
        # A change that was missed earlier would stay missing, so a digest
        # mismatch causes a full snapshot to be fetched.
        self._digest_mismatch = (
            not self._lapsed and self._digest != snapshot.servers_digest
        )
        return changes

    def _needs_settled_list(self, version: int) -> bool:
        """Returns whether a settled list may resolve lapsed rows."""
        return version > self._settled_list_version and any(
            self._entries[name].row.version <= version for name in self._lapsed
        )

    def _apply_settled_list(
        self, snapshot: StoreSnapshot
    ) -> list[ServerChange]:
        # An instance that is cut off from the store cannot tell a server that
        # left from one whose row lapsed, and would keep the former until it
        # reaches the store again. The sender has had the store throughout, so
        # servers missing from its list have left. The list says nothing about
        # rows that are newer than it.
        version = snapshot.servers_version
        self._settled_list_version = max(self._settled_list_version, version)
        present = {row.id for row in snapshot.servers}
        list_is_newer = version > self._servers_version
        candidates = self._entries if list_is_newer else self._lapsed
        gone = [
            name
            for name in candidates
            if name not in present
            and self._entries[name].row.version <= version
        ]
        changes = [
            self._remove(ServerRow(name, version, None)) for name in gone
        ]
        if changes:
            self._rebuild()
        return changes

    def _apply_guarded(self, row: ServerRow) -> ServerChange | None:
        try:
            return self._apply_row(row)
        except Exception as exc:
            # Raised, it would keep all later changes from being applied.
            held = self._entries.get(row.id)
            return self._apply_unreadable(row, held, repr(exc))

    def _apply_row(self, row: ServerRow) -> ServerChange | None:
        held = self._entries.get(row.id)
        if held is not None and held.row.version > row.version:
            return None
        if row.data is None:
            return self._apply_removal(row)
        before = held.server if held else None
        try:
            server = self._decode_server(row.id, row.data)
        except ValueError as exc:
            return self._apply_unreadable(row, held, str(exc))
        if before is not None and self._lacks_start(server, before):
            return self._apply_without_start(row, server, held)
        doubt = self._doubt(server, before)
        if doubt:
            return self._apply_claim(row, server, held, doubt)
        return self._register(row, server)

    def _register(
        self, row: ServerRow, server: BackendServer
    ) -> ServerChange | None:
        """Registers the server that a row names; returns the effect, if any."""
        held = self._entries.get(row.id)
        before = held.server if held else None
        if self.has_announced_drain(server.id):
            server = dataclasses.replace(server, draining=True)
        if before is not None and before.id != server.id:
            self._record_ended_incarnation(before)
        self._ended_incarnations.pop(server.id, None)
        self._shutdowns.pop(server.id, None)
        self._claims.pop(row.id, None)
        self._entries[row.id] = _Entry(row, server)
        self._removals.pop(row.id, None)
        self._lapsed.discard(row.id)
        if held is not None and held.usable and before == server:
            return None
        return ServerChange(row, before, server)

    def _lacks_start(
        self, server: BackendServer, before: BackendServer
    ) -> bool:
        """Returns whether a row without a start cannot be the server's own."""
        return (
            self._starts_stated
            and bool(before.born)
            and not server.born
            and server.name not in self._used_without_start
        )

    def _apply_without_start(
        self, row: ServerRow, server: BackendServer, held: _Entry
    ) -> ServerChange | None:
        """Handles a row that lacks the start, which most rows state.

        It is believed only if such rows stand for most servers: then it was
        another program that stated starts.
        """
        known = self._claims.get(row.id)
        repeated = known is not None and known.server.id == server.id
        change = self._apply_unreadable(row, held, NO_START)
        since = known.since if repeated else None
        self._claims[row.id] = _Claim(row, server, False, since)
        return change

    def _doubt(
        self, server: BackendServer, before: BackendServer | None
    ) -> str:
        """Returns why a row must stand before it is believed; "" if not.

        Args:
            server: The incarnation that it speaks for.
            before: The known incarnation of that name, if any.
        """
        if before is not None and before.id == server.id:
            return ""
        if server.id in self._ended_incarnations:
            return ENDED_START
        if before is None or (not before.born and self._starts_stated):
            return ""
        if not before.born or server.born < before.born:
            return EARLIER_START
        return ""

    def _apply_claim(
        self,
        row: ServerRow,
        server: BackendServer,
        held: _Entry | None,
        doubt: str,
    ) -> ServerChange | None:
        """Handles a row that speaks for another incarnation than the known one.

        A row that an incarnation wrote before it ended may take effect after
        its successor's: the latter stays in use. A start that was never seen
        names no server until it is believed, like any other row that may have
        been written by another program; the known server's streams go on.
        """
        known = self._claims.get(row.id)
        repeated = known is not None and known.server.id == server.id
        if repeated and row.version <= known.row.version:
            return None
        returns = doubt is ENDED_START
        claim = _Claim(row, server, returns, known.since if repeated else None)
        if repeated and returns:
            # A server that has ended writes once more at most.
            return self._register(row, server)
        self._claims[row.id] = claim
        self.on_unlisted(server)
        if held is not None:
            self._entries[row.id] = _Entry(
                row, held.server, usable=held.usable and returns
            )
        return ServerChange(row, held.server if held else None, None, doubt)

    def _record_shutdown(self, server_id: str) -> None:
        # Without a start in its row, a server may come back under its id.
        self._shutdowns[server_id] = None
        if len(self._shutdowns) > MAX_HISTORY:
            self._shutdowns.popitem(last=False)

    def _record_drain(self, server_id: str) -> None:
        self._announced_drains[server_id] = None
        if len(self._announced_drains) > MAX_HISTORY:
            self._announced_drains.popitem(last=False)

    def _apply_unreadable(
        self, row: ServerRow, held: _Entry | None, why: str
    ) -> ServerChange | None:
        # Another writer may have overwritten the row of a living server. The
        # server gets no new requests until it renews its row, but it is not
        # treated as gone: its streams continue and its cache records are kept.
        self._claims.pop(row.id, None)
        if held is not None:
            self._entries[row.id] = _Entry(row, held.server, usable=False)
        if self._unreadable_rows.get(row.id) == row.version:
            return None
        self._unreadable_rows[row.id] = row.version
        return ServerChange(row, held.server if held else None, None, why)

    def _record_ended_incarnation(self, server: BackendServer) -> None:
        # A row that the former incarnation wrote before it ended may take
        # effect after the row of its successor. So an incarnation counts as
        # ended once another one has replaced it, until its rows stand again.
        self._ended_incarnations[server.id] = None
        if len(self._ended_incarnations) > MAX_HISTORY:
            self._ended_incarnations.popitem(last=False)

    def _apply_removal(self, row: ServerRow) -> ServerChange | None:
        self._unreadable_rows.pop(row.id, None)
        self._claims.pop(row.id, None)
        held = self._entries.get(row.id)
        if held is None:
            return None
        # A server cannot renew its row while the store is unreachable, so the
        # row may lapse although the server is alive and serving. Removing it
        # would empty the pool during an outage. It stays until it has had time
        # to renew its row, or until another instance's settled list shows that
        # it has left.
        in_outage = (
            self._had_outage and self._store_contact is not StoreStatus.SETTLED
        )
        if in_outage and not held.server.draining:
            if row.id in self._lapsed:
                return None
            self._lapsed.add(row.id)
            return ServerChange(row, held.server, held.server, kept=True)
        return self._remove(row)

    def _remove(self, row: ServerRow) -> ServerChange:
        self._lapsed.discard(row.id)
        self._restored.discard(row.id)
        self._record_removal(row.id, row.version)
        server = self._entries.pop(row.id).server
        if server.draining:
            self._record_shutdown(server.id)
        return ServerChange(row, server, None)

    def _record_removal(self, name: str, version: int) -> None:
        self._removals.pop(name, None)
        self._removals[name] = version
        while len(self._removals) > MAX_HISTORY:
            _, oldest = self._removals.popitem(last=False)
            self._removals_complete_since = max(
                self._removals_complete_since or 0, oldest
            )

    def _most_state_starts(self) -> bool:
        """Returns whether the servers' rows state their starts here.

        Not each platform asks for that. Where it does, a row without a start
        was not written by a server.
        """
        stated = sum(bool(x.server.born) for x in self._entries.values())
        return 2 * stated > len(self._entries)

    def _record_used_without_start(self) -> None:
        """Records servers of a platform whose rows need state no start.

        Once another program, or servers of a later release, state starts for
        most, they stay in use.
        """
        if self._starts_stated:
            return
        for name, held in self._entries.items():
            if not held.server.born:
                self._used_without_start[name] = None
        while len(self._used_without_start) > MAX_HISTORY:
            self._used_without_start.popitem(last=False)

    def _rebuild(self) -> None:
        self._by_service = {}
        self._starts_stated = self._most_state_starts()
        self._record_used_without_start()
        digest = xxhash.xxh64()
        for name in sorted(self._entries):
            held = self._entries[name]
            if name not in self._lapsed:
                number = storeversion.number_of(held.row.version)
                digest.update(f"{name}:{number};".encode())
            if (
                held.usable
                and not held.server.draining
                and name not in self._restored
                and (
                    held.server.born
                    or not self._starts_stated
                    or name in self._used_without_start
                )
            ):
                service = held.server.service
                self._by_service.setdefault(service, []).append(held.server)
        self._ids = {
            service: tuple(sorted(server.id for server in servers))
            for service, servers in self._by_service.items()
        }
        self._digest = digest.intdigest()
