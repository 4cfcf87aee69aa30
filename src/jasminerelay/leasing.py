"""Keeps a lease in a row of the store, for whoever gives orders by it."""

import secrets
from collections.abc import Callable
from typing import Any, Protocol

from jasminerelay.fencing import Lease, LeaseRow


class HeldRow(Protocol):
    """The lease's row, as a store gives it.

    Attributes:
        version: Raised with each write; 0 if there is no row.
        row: Its content; None if there is none, or if it cannot be read.
        age_s: How long ago it was written at the least, by the store's clock;
            infinity if its holder has given it up.
    """

    version: int
    row: LeaseRow | None
    age_s: float


class LeaseRows(Protocol):
    """The store's side of a lease; each call raises StoreError unanswered."""

    async def read(self) -> HeldRow:
        """Returns the row as it is."""

    async def write(
        self, expect: int, row: LeaseRow, extra: Any = None
    ) -> tuple[bool, HeldRow]:
        """Writes the row if it has a version.

        Args:
            expect: The version; 0 if there must be no row.
            row: New content.
            extra: What is written with it or not at all.

        Returns:
            Whether it was written, and the row as it is now.
        """


class LeaseKeeper:
    """Takes, renews and gives up a lease."""

    def __init__(
        self,
        rows: LeaseRows,
        lease: Lease,
        holder: str,
        incarnation: str,
        clock: Callable[[], float],
    ):
        """Makes the keeper of an instance that does not hold the lease.

        Args:
            rows: The store.
            lease: This instance's view.
            holder: This instance.
            incarnation: Its incarnation.
            clock: Returns the time that the lease goes by, in seconds.
        """
        self.lease = lease
        self._rows = rows
        self._holder = holder
        self._incarnation = incarnation
        self._clock = clock
        self._unconfirmed: dict[str, float] = {}
        self.on_taken: Callable[[], None] = lambda: None

    @property
    def holds(self) -> bool:
        """Whether this instance holds the lease now."""
        return self.lease.holds(self._clock())

    async def keep(self) -> None:
        """Renews the lease if that is due; raises StoreError unanswered."""
        now = self._clock()
        if self.lease.holds(now) and self.lease.renew_due(now):
            await self.renew()

    async def try_take(self) -> bool:
        """Takes the lease if nobody can order by it any more.

        Returns:
            Whether this instance holds it; raises StoreError unanswered.
        """
        if self.holds:
            return True
        started = self._clock()
        self._observe(await self._rows.read(), started)
        if self.lease.may_take(self._clock()):
            await self._write()
        return self.holds

    async def renew(self, extra: Any = None) -> bool:
        """Writes the row anew, which raises the fencing number.

        Args:
            extra: What is written with it or not at all.

        Returns:
            Whether it was written; raises StoreError without an answer.
        """
        # One that was frozen meanwhile would take it from its next holder.
        return self.lease.last_is_own and await self._write(extra)

    async def _write(self, extra: Any = None) -> bool:
        held = self.holds
        token = secrets.token_hex(8)
        row = LeaseRow(self._holder, self._incarnation, token)
        started = self._clock()
        self._unconfirmed[token] = started
        written, found = await self._rows.write(self.lease.fence, row, extra)
        if written:
            self._wrote(found.version, started, held)
            return True
        self._observe(found, self._clock())
        return False

    async def give_up(self) -> None:
        """Lets others take the lease at once; raises StoreError unanswered."""
        if not self.holds:
            return
        self.lease.lost()
        token = secrets.token_hex(8)
        row = LeaseRow(self._holder, self._incarnation, token, given_up=True)
        await self._rows.write(self.lease.fence, row)

    def _observe(self, found: HeldRow, now: float) -> None:
        """Takes the row as it is, which may be by an own lost write."""
        held = self.lease.holds(now)
        token = found.row.token if found.row is not None else ""
        started = self._unconfirmed.get(token)
        if started is not None:
            self._wrote(found.version, started, held)
            return
        if found.version != self.lease.fence:
            self.lease.lost()
        self.lease.observe(found.version, now, found.age_s)

    def _wrote(self, version: int, started: float, held: bool) -> None:
        self._unconfirmed.clear()
        self.lease.wrote(version, started)
        if not held and self.holds:
            self.on_taken()
