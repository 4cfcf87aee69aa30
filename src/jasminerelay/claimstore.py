"""Writes claims and outcomes to the table service in batches.

Writes that arrive while a commit is in flight go into the next one. The store's
rate of commits therefore does not limit the rate of claims.
"""

import dataclasses
import logging
import secrets
import time

import anyio
from anyio.abc import TaskGroup

from jasminerelay import claims
from jasminerelay.claims import Claim
from jasminerelay.errors import RAN_UNKNOWN, RAN_YES, StoreError
from jasminerelay.metrics import Counters
from jasminerelay.store import (
    ABSENT,
    ConditionalWrite,
    ObjectStoreClient,
    Row,
    TableClient,
    WriteResult,
)

_log = logging.getLogger(__name__)

MAX_BATCH = 64
MAX_QUEUED = 10_000
RETRY_PAUSE_S = 0.1
MAX_RETRY_PAUSE_S = 5.0


@dataclasses.dataclass(frozen=True)
class AcquiredClaim:
    """A claim acquired by this instance, which may dispatch the call once.

    Attributes:
        key: Key of the claim row.
        version: Version of the claim row.
        claim: Content of the claim row.
    """

    key: str
    version: int
    claim: Claim


@dataclasses.dataclass(frozen=True)
class RecordedAnswer:
    """The recorded answer of a call that has already run.

    Attributes:
        claim: Claim row with status and content type of the answer.
        body: Complete body of the answer.
    """

    claim: Claim
    body: bytes


@dataclasses.dataclass
class _QueuedWrite:
    write: ConditionalWrite
    done: anyio.Event
    written: WriteResult | None = None
    error: StoreError | None = None


class ClaimStore:
    """Acquires claims and records outcomes for one instance."""

    def __init__(
        self,
        table: TableClient,
        objects: ObjectStoreClient,
        counters: Counters,
        ack_timeout_s: float,
        max_inline: int,
    ):
        self._table = table
        self._objects = objects
        self._counters = counters
        self._ack_timeout_s = ack_timeout_s
        self._max_inline = max_inline
        self._queue: list[_QueuedWrite] = []
        self._wake = anyio.Event()
        self._background: TaskGroup | None = None
        self.unrecorded = 0

    async def run(self) -> None:
        """Commits queued writes until cancelled."""
        async with anyio.create_task_group() as group:
            self._background = group
            while True:
                await self._wake.wait()
                self._wake = anyio.Event()
                while self._queue:
                    batch = self._queue[:MAX_BATCH]
                    del self._queue[:MAX_BATCH]
                    await self._commit(batch)

    async def acquire(
        self, key: str, digest: str, max_call_s: float
    ) -> AcquiredClaim | RecordedAnswer:
        """Acquires the claim of a call, or returns the recorded answer.

        Args:
            key: Key of the claim row.
            digest: Digest of the request.
            max_call_s: Longest duration of the call in seconds.

        Raises:
            IdempotencyConflictError: if another request holds the claim, or
                whether the call ran is unknown.
            IdempotencyKeyReusedError: if the key was used for another request.
            StoreError: if the claim is not acknowledged in time. This request
                does not dispatch the call then; whether an earlier request
                with the same key ran is unknown.
        """
        claim = Claim(digest, secrets.token_hex(16), at=time.time())
        try:
            with anyio.fail_after(self._ack_timeout_s):
                return await self._acquire(key, claim, max_call_s)
        except TimeoutError:
            self._counters.incr("claim.unsettled")
            # The insert may still take effect. The row would then stay open
            # for ever although no call runs, and every repeat would get a
            # conflict. It is closed as not run once the store responds.
            self._run_in_background(self._close_unacknowledged, key, claim)
            raise StoreError(
                "the claim of this call was not acknowledged; this request"
                " was not sent to the service, but whether an earlier one"
                " with the same key ran is unknown",
                ran=RAN_UNKNOWN,
                retry_s=1.0,
            ) from None

    async def record_answer(
        self,
        acquired: AcquiredClaim,
        status: int,
        content_type: str,
        body: bytes,
    ) -> None:
        """Records the answer of a call, with retries in the background."""
        text = ""
        object_key = ""
        if len(body) <= self._max_inline and _is_utf8(body):
            text = body.decode()
        else:
            object_key = f"outcomes/{acquired.key.removeprefix('claim/')}"
        claim = dataclasses.replace(
            acquired.claim,
            state=claims.DONE,
            status=status,
            content_type=content_type,
            body=text,
            object_key=object_key,
            size=len(body) if object_key else 0,
        )
        self._run_in_background(
            self._record, acquired, claim, body if object_key else b""
        )

    async def close_without_answer(
        self, acquired: AcquiredClaim, state: str
    ) -> None:
        """Closes a claim as `claims.NOT_RUN` or `claims.UNKNOWN`."""
        claim = dataclasses.replace(acquired.claim, state=state)
        self._run_in_background(self._record, acquired, claim, b"")

    async def _acquire(
        self, key: str, claim: Claim, max_call_s: float
    ) -> AcquiredClaim | RecordedAnswer:
        expect = ABSENT
        while True:
            try:
                written = await self._write(
                    ConditionalWrite(key, expect, claim)
                )
            except StoreError:
                # The write may have taken effect and only the
                # acknowledgement been lost. Writing again is safe: the
                # existing row then carries this claim's own token.
                self._counters.incr("claim.retry")
                await anyio.sleep(RETRY_PAUSE_S)
                continue
            if written.ok and written.row is not None:
                return AcquiredClaim(key, written.row.version, claim)
            row = written.row
            if row is None:
                expect = ABSENT
                continue
            held = row.value_as(Claim)
            if held.token == claim.token:
                return AcquiredClaim(key, row.version, claim)
            if held.state == claims.NOT_RUN and held.digest == claim.digest:
                expect = row.version
                continue
            claims.check_replayable(held, claim.digest, time.time(), max_call_s)
            return await self._recorded_answer(held)

    async def _recorded_answer(self, held: Claim) -> RecordedAnswer:
        if not held.object_key:
            return RecordedAnswer(held, held.body.encode())
        try:
            body = await self._objects.get(held.object_key)
        except StoreError as exc:
            raise StoreError(
                f"the call ran, but its recorded answer can't be read: {exc}",
                ran=RAN_YES,
                retry_s=exc.retry_s,
            ) from exc
        if body is None:
            raise StoreError(
                "the recorded answer is not in the object store yet",
                ran=RAN_YES,
                retry_s=1.0,
            )
        if not body or held.size not in (0, len(body)):
            # The store may have stopped within an answer that ends with its
            # connection.
            raise StoreError(
                "the call ran, but only a part of its recorded answer arrived",
                ran=RAN_YES,
                retry_s=1.0,
            )
        return RecordedAnswer(held, body)

    async def _record(
        self, acquired: AcquiredClaim, claim: Claim, body: bytes
    ) -> None:
        self.unrecorded += 1
        try:
            if body:
                await self._retry_until_stored(
                    lambda: self._objects.put(claim.object_key, body)
                )
            await self._retry_until_stored(
                lambda: self._write(
                    ConditionalWrite(acquired.key, acquired.version, claim)
                )
            )
        finally:
            self.unrecorded -= 1

    async def _close_unacknowledged(self, key: str, claim: Claim) -> None:
        self.unrecorded += 1
        try:
            row = await self._retry_until_stored(
                lambda: self._insert_not_run(key, claim)
            )
            held = row.value_as(Claim)
            if held.token == claim.token and held.state == claims.OPEN:
                closed = dataclasses.replace(claim, state=claims.NOT_RUN)
                write = ConditionalWrite(key, row.version, closed)
                await self._retry_until_stored(lambda: self._write(write))
        finally:
            self.unrecorded -= 1

    async def _insert_not_run(self, key: str, claim: Claim) -> Row:
        """Inserts the claim as not run; returns that or the existing row."""
        closed = dataclasses.replace(claim, state=claims.NOT_RUN)
        written = await self._write(ConditionalWrite(key, ABSENT, closed))
        if written.row is None:
            raise StoreError(
                "the table service returned no row after an insert"
            )
        return written.row

    async def _retry_until_stored(self, action):
        pause = RETRY_PAUSE_S
        while True:
            try:
                return await action()
            except StoreError:
                self._counters.incr("outcome.retry")
                await anyio.sleep(pause)
                pause = min(MAX_RETRY_PAUSE_S, pause * 2)

    async def _write(self, write: ConditionalWrite) -> WriteResult:
        if len(self._queue) >= MAX_QUEUED:
            raise StoreError("too many writes are queued for the table service")
        queued = _QueuedWrite(write, anyio.Event())
        self._queue.append(queued)
        self._wake.set()
        await queued.done.wait()
        if queued.written is None:
            raise queued.error or StoreError(
                "the write was dropped before its commit"
            )
        return queued.written

    async def _commit(self, batch: list[_QueuedWrite]) -> None:
        self._counters.incr("claim.commits")
        self._counters.incr("claim.writes", len(batch))
        try:
            results = await self._table.commit([item.write for item in batch])
            for item, written in zip(batch, results, strict=True):
                item.written = written
        except StoreError as exc:
            self._counters.incr("claim.commit_failed")
            for item in batch:
                item.error = exc
        finally:
            for item in batch:
                item.done.set()

    def _run_in_background(self, action, *args) -> None:
        if self._background is None:
            raise StoreError("the claim writer is not running")
        self._background.start_soon(action, *args)


def _is_utf8(body: bytes) -> bool:
    try:
        body.decode()
    except UnicodeDecodeError:
        return False
    return True
