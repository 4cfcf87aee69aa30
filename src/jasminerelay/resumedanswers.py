"""The rest of an answer whose instance died, for a caller that came back."""

import uuid
from collections.abc import AsyncIterator
from contextlib import aclosing

from jasminerelay.answerkit import Kit, Piece, Placement
from jasminerelay.answers import Answer
from jasminerelay.backends import Attempt, AttemptError
from jasminerelay.errors import RAN_YES, BackendError, ResumeGoneError
from jasminerelay.modelrequests import ModelRequest
from jasminerelay.resume import ResumePoint
from jasminerelay.schema.manifest import Server
from jasminerelay.schema.messages import Held, Release


class ResumedAnswer(Answer):
    """The rest of a stream whose instance died."""

    def __init__(
        self,
        kit: Kit,
        request: ModelRequest,
        placement: Placement,
        point: ResumePoint,
        server: Server,
    ):
        super().__init__(kit, request, placement)
        self._point = point
        self._held_by = server
        self._id = point.request_id
        self._delivered = point.offset

    async def _admit(self) -> None:
        """The tokens were taken from the limit when the stream began."""

    async def _attempts(self) -> AsyncIterator[Piece]:
        point = self._point
        cell = self._cell()
        held = Held(
            uuid.uuid4().hex,
            cell,
            point.server,
            self._placement.service_class.rank,
            False,
        )
        attempt = Attempt(
            point.attempt,
            self._held_by,
            self._request.path,
            b"",
            self._kit.timing.first_byte_timeout_s,
            self._kit.timing.token_timeout_s,
        )
        self._kit.desk.adopt(held)
        self.outcome.waiting()
        self.outcome.dispatched()
        try:
            chunks = self._kit.engines.resume(
                attempt, point.offset - point.base
            )
            pieces = self._with_resumes(attempt, chunks, point.base)
            async with aclosing(pieces):
                async for piece in pieces:
                    yield piece
        except AttemptError as exc:
            if self._delivered > point.offset:
                raise BackendError(
                    f"the stream broke again: {exc}", ran=RAN_YES
                ) from exc
            raise ResumeGoneError(
                f"the stream cannot be resumed: {exc}", ran=RAN_YES
            ) from exc
        finally:
            self._kit.desk.release(
                Release(
                    held.ask_id,
                    cell,
                    self._delivered - point.offset,
                    False,
                    0.0,
                )
            )

    def _cell(self) -> str:
        directory_cells = self._kit.desk.cells_of(self._placement.pool)
        for cell in directory_cells:
            if any(item.name == self._point.server for item in cell.servers):
                return cell.name
        return directory_cells[0].name
