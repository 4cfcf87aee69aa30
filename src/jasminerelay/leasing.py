"""Takes, renews and releases a lease that is stored in a row."""

import secrets
from collections.abc import Callable
from typing import Any, Protocol

from jasminerelay.fencing import Lease, LeaseRow


class VersionedLease(Protocol):
    """The row of the lease, with its version and age.

    Attributes:
        version: Increases with each write; 0 if there is no row.
        row: Content; None if there is no row, or if it is unreadable.
        age_s: Minimum time since the write, by the store's clock; infinity if
            the holder has released the lease.
    """

    version: int
    row: LeaseRow | None
    age_s: float


class LeaseStore(Protocol):
    """Access to the row; each call raises StoreError if unanswered."""

    async def read(self) -> VersionedLease:
        """Returns the current row."""

    async def write(
        self, expect: int, row: LeaseRow, extra: Any = None
    ) -> tuple[bool, VersionedLease]:
        """Writes the row if it has the expected version.

        Args:
            expect: Expected version; 0 if there must be no row.
            row: New content.
            extra: Data to be written in the same transaction.

        Returns:
            Whether it was written, and the current row.
        """


class LeaseManager:
    """Takes, renews and releases a lease for one instance."""

    def __init__(
        self,
        rows: LeaseStore,
        lease: Lease,
        holder: str,
        incarnation: str,
        clock: Callable[[], float],
    ):
        """Creates the keeper of an instance that does not hold the lease.

        Args:
            rows: Access to the row.
            lease: This instance's view of the lease.
            holder: ID of this instance.
            incarnation: Incarnation of this instance.
            clock: Returns the time that the lease is measured by, in seconds.
        """
        self.lease = lease
        self._store = rows
        self._holder = holder
        self._incarnation = incarnation
        self._clock = clock
        self._unconfirmed: dict[str, float] = {}
        self.on_taken: Callable[[], None] = lambda: None

    @property
    def holds(self) -> bool:
        """Whether this instance holds the lease now."""
        return self.lease.holds(self._clock())

    async def renew_if_due(self) -> None:
        """Renews the lease if that is due; StoreError if unanswered."""
        now = self._clock()
        if self.lease.holds(now) and self.lease.renew_due(now):
            await self.renew()

    async def try_take(self) -> bool:
        """Takes the lease if the previous holder can no longer give orders.

        Returns:
            Whether this instance holds it. Raises StoreError if unanswered.
        """
        if self.holds:
            return True
        started = self._clock()
        self._observe(await self._store.read(), started)
        if self.lease.may_take(self._clock()):
            await self._write()
        return self.holds

    async def renew(self, extra: Any = None) -> bool:
        """Writes the row again, which increases the fencing token.

        Args:
            extra: Data to be written in the same transaction.

        Returns:
            Whether it was written. Raises StoreError if unanswered.
        """
        # An instance that was frozen must not take the lease from the holder
        # that has followed it.
        return self.lease.was_last_holder and await self._write(extra)

    async def _write(self, extra: Any = None) -> bool:
        held = self.holds
        token = secrets.token_hex(8)
        row = LeaseRow(self._holder, self._incarnation, token)
        started = self._clock()
        self._unconfirmed[token] = started
        written, found = await self._store.write(self.lease.fence, row, extra)
        if written:
            self._record_write(found.version, started, held)
            return True
        self._observe(found, self._clock())
        return False

    async def release(self) -> None:
        """Lets others take the lease at once; StoreError if unanswered."""
        if not self.holds:
            return
        self.lease.mark_lost()
        token = secrets.token_hex(8)
        row = LeaseRow(self._holder, self._incarnation, token, given_up=True)
        await self._store.write(self.lease.fence, row)

    def _observe(self, found: VersionedLease, now: float) -> None:
        """Evaluates the current row, possibly written by an own lost write."""
        held = self.lease.holds(now)
        token = found.row.token if found.row is not None else ""
        started = self._unconfirmed.get(token)
        if started is not None:
            self._record_write(found.version, started, held)
            return
        if found.version != self.lease.fence:
            self.lease.mark_lost()
        self.lease.observe(found.version, now, found.age_s)

    def _record_write(self, version: int, started: float, held: bool) -> None:
        self._unconfirmed.clear()
        self.lease.record_write(version, started)
        if not held and self.holds:
            self.on_taken()
