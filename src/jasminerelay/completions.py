"""Starts and resumes the answers to model requests."""

from jasminerelay.answerkit import Kit, Placement
from jasminerelay.answers import Answer
from jasminerelay.errors import ResumeGoneError
from jasminerelay.manifest import Directory
from jasminerelay.modelrequests import ModelRequest
from jasminerelay.resume import ResumePoint
from jasminerelay.resumedanswers import ResumedAnswer


class Completions:
    """Serves model requests; one for each instance."""

    def __init__(self, kit: Kit):
        self._kit = kit

    def start(self, request: ModelRequest, placement: Placement) -> Answer:
        """Returns the answer to a new request; iterate its pieces."""
        return Answer(self._kit, request, placement)

    def resume(
        self,
        request: ModelRequest,
        placement: Placement,
        point: ResumePoint,
        directory: Directory,
    ) -> ResumedAnswer:
        """Returns the rest of a stream that another instance began.

        Raises:
            ResumeGoneError: if its backend server is not in the manifest.
        """
        server = directory.servers.get(point.server)
        if server is None or not server.resume:
            raise ResumeGoneError("the stream's backend server is gone")
        return ResumedAnswer(self._kit, request, placement, point, server)
