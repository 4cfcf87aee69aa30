"""Starts and resumes the answers to model requests."""

from jasminerelay.answercontext import AnswerContext, RequestPolicy
from jasminerelay.answers import Answer
from jasminerelay.errors import ResumeUnavailableError
from jasminerelay.manifest import Directory
from jasminerelay.modelrequests import ModelRequest
from jasminerelay.resume import ResumePoint
from jasminerelay.resumedanswers import ResumedAnswer


class Completions:
    """Creates the answers to all model requests at one instance."""

    def __init__(self, context: AnswerContext):
        self._context = context

    def start(self, request: ModelRequest, placement: RequestPolicy) -> Answer:
        """Returns the answer to a new request; iterate its `events`."""
        return Answer(self._context, request, placement)

    def resume(
        self,
        request: ModelRequest,
        placement: RequestPolicy,
        point: ResumePoint,
        directory: Directory,
    ) -> ResumedAnswer:
        """Returns the remaining part of a stream that another instance began.

        Raises:
            ResumeUnavailableError: if the stream's backend server is not in the
                manifest or does not support resuming.
        """
        server = directory.servers.get(point.server)
        if server is None or not server.resume:
            raise ResumeUnavailableError(
                "the stream's backend server was removed or cannot resume"
            )
        return ResumedAnswer(self._context, request, placement, point, server)
