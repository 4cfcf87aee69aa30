"""Distributes the manifest: applies new versions, polls, fetches from peers."""

import logging
import random
import secrets
from collections.abc import Awaitable, Callable

import anyio
import msgspec

from jasminerelay import foreignbytes, manifest
from jasminerelay.adoptedmanifest import AdoptedManifest, read_version
from jasminerelay.errors import (
    RAN_UNKNOWN,
    ForeignDataError,
    InvalidConfigError,
    InvariantError,
    ManifestConflictError,
    StoreError,
)
from jasminerelay.metrics import Counters, InvariantHandler
from jasminerelay.schema.messages import ManifestPointer, ManifestReply
from jasminerelay.schema.settings import Timing
from jasminerelay.store import (
    ABSENT,
    ConditionalWrite,
    ObjectStoreClient,
    Row,
    TableClient,
)

_log = logging.getLogger(__name__)

ROW_KEY = "manifest"
MAX_WRITE_TOKENS = 16
APPLY_TIMEOUT_S = 5.0
RETRY_DELAY_S = 0.1

FetchPeer = Callable[[str, ManifestPointer], Awaitable[ManifestReply | None]]


class _RowValue(msgspec.Struct):
    """Value of the manifest row.

    Attributes:
        digest: SHA-256 of the manifest's text.
        tokens: Random tokens of the last successful writes, newest last. A
            writer whose acknowledgement was lost finds its token here, even
            if another manifest has been accepted on top since.
    """

    digest: str
    tokens: list[str]


class ManifestManager:
    """Keeps the manifest of one instance up to date."""

    def __init__(
        self,
        table: TableClient,
        objects: ObjectStoreClient,
        cfg: Timing,
        counters: Counters,
        invariants: InvariantHandler,
        fetch_peer: FetchPeer,
        on_verified: Callable[[ManifestPointer], None],
        on_adopted: Callable[[], None],
        instances: Callable[[], int],
        rng: random.Random,
    ):
        self._table = table
        self._objects = objects
        self._cfg = cfg
        self._counters = counters
        self._invariants = invariants
        self._fetch_peer = fetch_peer
        self._on_verified = on_verified
        self._on_adopted = on_adopted
        self._instances = instances
        self._rng = rng
        self._pointer_sink, self._pointer_source = (
            anyio.create_memory_object_stream(64)
        )
        self._newest = ManifestReply(0, "")
        self._rejected_version = 0
        self.adopted = AdoptedManifest()

    @property
    def directory(self) -> manifest.Directory | None:
        """The manifest in force, indexed; None if there is none yet."""
        current = self.adopted.current
        return current.directory if current else None

    def newest_reply(self) -> ManifestReply:
        """Returns the newest manifest that this instance can pass to a peer."""
        return self._newest

    def handle_pointer(self, pointer: ManifestPointer, address: str) -> None:
        """Queues a fetch from a peer if it has a newer manifest.

        Args:
            pointer: Manifest that the peer has.
            address: Address of the peer.
        """
        if not self.adopted.is_newer(pointer):
            return
        try:
            self._pointer_sink.send_nowait((pointer, address))
        except anyio.WouldBlock:
            return

    async def run(self) -> None:
        """Polls the table service and fetches from peers until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._poll)
            async for pointer, address in self._pointer_source:
                await self._fetch_from_peer(pointer, address)

    async def apply(self, text: str, over: int | None) -> ManifestPointer:
        """Writes a new manifest version to the store.

        Args:
            text: Text of the manifest.
            over: Version that the new one must directly follow; None for the
                version in force on this instance.

        Returns:
            Pointer to the accepted manifest, whose write is confirmed.

        Raises:
            InvalidConfigError: if the manifest is invalid.
            ManifestConflictError: if another version is in force.
            StoreError: if the write is neither confirmed nor rejected within
                APPLY_TIMEOUT_S.
        """
        parsed = await anyio.to_thread.run_sync(
            manifest.parse, text, "manifest"
        )
        if parsed.is_err():
            raise InvalidConfigError(parsed.unwrap_err())
        digest = manifest.digest_of(text)
        token = secrets.token_hex(16)
        expect = self.adopted.pointer.version if over is None else over
        try:
            with anyio.fail_after(APPLY_TIMEOUT_S):
                await self._store_text(digest, text)
                version = await self._commit_row(digest, token, expect)
        except TimeoutError:
            raise StoreError(
                "the store did not confirm in time whether it accepted the"
                " manifest",
                ran=RAN_UNKNOWN,
                remedy=(
                    "Run 'jasminerelay manifest show' once the store is"
                    " available, and apply again if the manifest is not in"
                    " force."
                ),
                retry_s=APPLY_TIMEOUT_S,
            ) from None
        pointer = ManifestPointer(version, digest)
        await self._adopt(pointer, text)
        return pointer

    async def refresh(self) -> None:
        """Reads the manifest row once and adopts a newer version."""
        row = await self._table.read(ROW_KEY)
        if row is None:
            return
        pointer = ManifestPointer(row.version, _value(row).digest)
        if not self.adopted.is_newer(pointer):
            return
        body = await self._objects.get(_object_key(pointer.digest))
        if body is None:
            return
        try:
            text = foreignbytes.text(body)
        except ForeignDataError as exc:
            self._reject(pointer, str(exc))
            return
        await self._adopt(pointer, text)

    async def _poll(self) -> None:
        while True:
            try:
                await self.refresh()
            except StoreError:
                self._counters.incr("manifest.poll_failed")
            # The interval grows with the number of instances, which bounds
            # the reads per second of the whole fleet.
            interval = max(
                self._cfg.manifest_poll_s,
                self._instances() / self._cfg.fleet_polls_per_s,
            )
            await anyio.sleep(interval * self._rng.uniform(0.5, 1.5))

    async def _fetch_from_peer(
        self, pointer: ManifestPointer, address: str
    ) -> None:
        if not self.adopted.is_newer(pointer):
            return
        reply = await self._fetch_peer(address, pointer)
        if reply is None or reply.version < pointer.version:
            self._counters.incr("manifest.peer_failed")
            return
        offered = ManifestPointer(reply.version, manifest.digest_of(reply.body))
        if offered.version == pointer.version:
            offered = pointer
        await self._adopt(offered, reply.body)

    async def _adopt(self, pointer: ManifestPointer, body: str) -> None:
        try:
            self.adopted.check_digest(pointer)
        except InvariantError as exc:
            self._invariants.report(exc)
            return
        if not self.adopted.is_newer(pointer):
            return
        if manifest.digest_of(body) != pointer.digest:
            self._reject(pointer, "its text has another digest")
            return
        # Published to peers before it is parsed: parsing a large manifest
        # takes a third of a second, and this delay would add up over the
        # instances that it passes through.
        if pointer.version > self._newest.version:
            self._newest = ManifestReply(pointer.version, body)
            self._on_verified(pointer)
        # Parsed in a thread: a large manifest would block the event loop, and
        # with it all token streams, for a quarter of a second.
        accepted = await anyio.to_thread.run_sync(read_version, pointer, body)
        if accepted is None or not self.adopted.adopt_parsed(accepted):
            self._reject(pointer, "it is invalid; apply a corrected one")
            return
        self._counters.incr("manifest.adopted")
        _log.info("manifest version %d is in force", pointer.version)
        self._on_adopted()

    def _reject(self, pointer: ManifestPointer, why: str) -> None:
        """Counts a manifest that cannot be used; logs its version once."""
        self._counters.incr("manifest.rejected")
        if pointer.version == self._rejected_version:
            return
        self._rejected_version = pointer.version
        _log.warning("manifest %d is rejected: %s", pointer.version, why)

    async def _store_text(self, digest: str, text: str) -> None:
        while True:
            try:
                await self._objects.put(_object_key(digest), text.encode())
                return
            except StoreError:
                await anyio.sleep(RETRY_DELAY_S)

    async def _commit_row(self, digest: str, token: str, expect: int) -> int:
        tokens = await self._read_tokens(expect)
        value = _RowValue(digest, [*tokens, token][-MAX_WRITE_TOKENS:])
        write = ConditionalWrite(ROW_KEY, expect, msgspec.to_builtins(value))
        while True:
            try:
                written = (await self._table.commit([write]))[0]
            except StoreError:
                # The write may have taken effect although its acknowledgement
                # was lost. The repeated write then fails, and its token in
                # the row shows that the first one succeeded.
                self._counters.incr("manifest.accept_retry")
                await anyio.sleep(RETRY_DELAY_S)
                continue
            if written.ok:
                return expect + 1
            row = written.row
            if row is not None and token in _value(row).tokens:
                return expect + 1
            raise ManifestConflictError(row.version if row else ABSENT)

    async def _read_tokens(self, expect: int) -> list[str]:
        while True:
            try:
                row = await self._table.read(ROW_KEY)
            except StoreError:
                await anyio.sleep(RETRY_DELAY_S)
                continue
            if row is None:
                return []
            if row.version != expect:
                raise ManifestConflictError(row.version)
            return _value(row).tokens


def _object_key(digest: str) -> str:
    return f"manifests/{digest}"


def _value(row: Row) -> _RowValue:
    return row.value_as(_RowValue)
