"""Resumes an answer at another instance after the first has failed."""

import uuid
from collections.abc import AsyncIterator
from contextlib import aclosing

from jasminerelay.answercontext import AnswerContext, AnswerEvent, RequestPolicy
from jasminerelay.answers import Answer
from jasminerelay.backends import AttemptError, EngineAttempt
from jasminerelay.errors import RAN_YES, BackendError, ResumeUnavailableError
from jasminerelay.modelrequests import ModelRequest
from jasminerelay.resume import ResumePoint
from jasminerelay.schema.manifest import Server
from jasminerelay.schema.messages import HeldPermit, PermitRelease


class ResumedAnswer(Answer):
    """Remaining part of a stream whose first instance has failed."""

    def __init__(
        self,
        context: AnswerContext,
        request: ModelRequest,
        placement: RequestPolicy,
        point: ResumePoint,
        server: Server,
    ):
        super().__init__(context, request, placement)
        self._resume_point = point
        self._stream_server = server
        self._id = point.request_id
        self._delivered_tokens = point.offset

    async def _take_rate_limit_tokens(self) -> None:
        """Takes none: the first instance did when the stream began."""

    async def _attempt_events(self) -> AsyncIterator[AnswerEvent]:
        point = self._resume_point
        cell = self._cell_name()
        held = HeldPermit(
            uuid.uuid4().hex,
            cell,
            point.server,
            self._placement.service_class.rank,
            False,
        )
        attempt = EngineAttempt(
            point.attempt,
            self._stream_server,
            self._request.path,
            b"",
            self._context.timing.first_byte_timeout_s,
            self._context.timing.token_timeout_s,
            lambda: self._stays(self._stream_server),
        )
        self._context.permit_client.take_over(held)
        self.outcome.waiting()
        self.outcome.dispatched()
        try:
            chunks = self._context.engines.resume(
                attempt, point.offset - point.base
            )
            events = self._events_with_resumes(attempt, chunks, point.base)
            async with aclosing(events):
                async for event in events:
                    yield event
        except AttemptError as exc:
            if self._delivered_tokens > point.offset:
                raise BackendError(
                    f"the resumed stream broke: {exc}", ran=RAN_YES
                ) from exc
            raise ResumeUnavailableError(
                f"the stream cannot be resumed: {exc}", ran=RAN_YES
            ) from exc
        finally:
            self._context.permit_client.release(
                PermitRelease(
                    held.ask_id,
                    cell,
                    self._delivered_tokens - point.offset,
                    False,
                    0.0,
                )
            )

    def _request_elsewhere(self, server: Server) -> None:
        """Returns None: only the engine that runs the stream can go on."""
        del server

    def _cell_name(self) -> str:
        directory_cells = self._context.permit_client.cells_of(self._pool())
        for cell in directory_cells:
            if any(
                item.name == self._resume_point.server for item in cell.servers
            ):
                return cell.name
        return directory_cells[0].name
