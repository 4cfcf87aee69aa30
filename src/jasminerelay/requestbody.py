"""The body of a request while it arrives, counted from its first byte.

Both interfaces collect bodies here, so one account knows them all. Pieces are
gathered in blocks, since each small piece of its own costs many times its size;
the blocks are dropped at once when the connection gives way.
"""

import random

from jasminerelay.errors import MemoryShortError
from jasminerelay.scheduling.clientaccount import ClientAccount, Standing
from jasminerelay.scheduling.heldbytes import MEMORY_SHORT, SMALL_BYTES, Hold

BODY = "jasminerelay.body"
"""Key in the scope of a request for its body."""

BLOCK_BYTES = 64 * 1024


class RequestBody:
    """What has arrived of one request's body.

    Attributes:
        size: Its bytes.

    Example:
        >>> account = ClientAccount()
        >>> body = RequestBody(account, Standing(account, None))
        >>> body.add(b"cou")
        >>> body.add(b"ch")
        >>> account.held.total, body.whole()
        (5, b'couch')
        >>> body.close()
        >>> account.held.total
        0
    """

    __slots__ = ("_account", "_blocks", "_hold", "_more", "_standing", "size")

    def __init__(self, account: ClientAccount, standing: Standing):
        self._account = account
        self._standing = standing
        self._blocks: list[bytearray] = []
        self._hold: Hold | None = None
        self._more = 0
        self.size = 0

    @property
    def organisation(self) -> str:
        """For whom it is counted."""
        return self._standing.organisation

    @organisation.setter
    def organisation(self, name: str) -> None:
        counted = self._hold.bytes if self._hold else 0
        self._count(0)
        self._standing.organisation = name
        self._hold = None
        if counted:
            self._count(counted)

    def announce(self, length: int) -> None:
        """Takes note of the stated length before the body arrives.

        No one gives way to bytes that are only stated: a client could state
        much, send nothing and shut out all others.

        Raises:
            MemoryShortError: if it would find no room.
        """
        if length > SMALL_BYTES and not self._account.could_admit(
            self._standing, length - self.size
        ):
            raise self._short(length - self.size)

    def add(self, part: bytes) -> None:
        """Adds bytes that have arrived.

        Raises:
            MemoryShortError: if there is no room for them; the body is dropped.
        """
        if not part:
            return
        blocks = self._blocks
        if blocks and len(blocks[-1]) + len(part) <= BLOCK_BYTES:
            blocks[-1] += part
        else:
            blocks.append(bytearray(part))
        self.size += len(part)
        self._require_room()

    def could_ever_hold(self, count: int) -> bool:
        """Returns whether so many bytes would find room in calm."""
        return self.size + count <= self._account.held.bounds.admitted

    def add_decoded(self, count: int) -> None:
        """Counts what its decoded values cost beside its bytes.

        Raises:
            MemoryShortError: if there is no room for them; the body is dropped.
        """
        self._more += count
        self._require_room()

    def count_answer(self, count: int) -> None:
        """Counts an answer that is held until its client has it.

        It is never refused, since its request has run; others give way to it.
        """
        self._more += count
        self._count(self.size + self._more)
        self._account.make_room(
            self._standing, self._account.held.bounds.admitted
        )

    def whole(self) -> bytes:
        """Returns the body, which stays counted until it is closed."""
        blocks, self._blocks = self._blocks, []
        return bytes(blocks[0]) if len(blocks) == 1 else b"".join(blocks)

    def close(self) -> None:
        """Drops it and counts nothing any more."""
        if self._hold is not None:
            self._blocks = []
            self.size = self._more = 0
            self._count(0)

    def _require_room(self) -> None:
        account, standing = self._account, self._standing
        count = self.size + self._more
        self._count(count)
        bounds = account.held.bounds
        if count <= SMALL_BYTES:
            has_room = account.make_room(standing, bounds.held)
        else:
            has_room = account.make_share(standing) and account.make_room(
                standing, bounds.admitted
            )
        if not has_room:
            error = self._short(0)
            self.close()
            raise error

    def _count(self, count: int) -> None:
        if self._hold is None:
            if not count:
                return
            self._hold = self._account.held.hold(self.organisation)
        self._standing.count_body(count - self._hold.bytes)
        self._hold.set(count)

    def _short(self, more: int) -> MemoryShortError:
        held = self._account.held
        self._account.on_refused()
        return MemoryShortError(
            f"{MEMORY_SHORT}: {held.all_bytes} bytes held,"
            f" {held.of(self.organisation)} of them for this organisation, and"
            f" {more} more, of at most {held.bounds.admitted:.0f}",
            retry_s=round(held.retry_s(random.random()), 2),
        )
