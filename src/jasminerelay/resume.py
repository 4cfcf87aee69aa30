"""Signed resume points and return tickets.

With a resume point, a caller whose instance crashed gets the rest of its stream
from any other instance. With a return ticket, a refused request keeps its age.
"""

import dataclasses
import hashlib

import itsdangerous
from result import Err, Ok, Result

from jasminerelay import foreignbytes
from jasminerelay.errors import ForeignDataError
from jasminerelay.statednumbers import Count, Number

RESUME_SALT = "resume-point"
TICKET_SALT = "return-ticket"
MAX_TEXT_LENGTH = 2048
MAX_TICKET_AGE_S = 86400.0


@dataclasses.dataclass(frozen=True)
class ResumePoint:
    """Position in a stream from which it can be resumed.

    Attributes:
        organisation: Organisation that may resume it.
        request_digest: Digest of the request's body.
        server: Backend server that runs the attempt.
        attempt: Id of the attempt on that server.
        request_id: Request id in every chunk sent to the caller.
        base: Tokens that the caller had before this attempt.
        offset: Tokens that the caller has.
    """

    organisation: str
    request_digest: str
    server: str
    attempt: str
    request_id: str
    base: int
    offset: int


_PointFields = tuple[str, str, str, str, str, Count]
_TicketFields = tuple[str, str, Number]


class Signer:
    """Creates and verifies signed resume points and tickets."""

    def __init__(self, secret: str):
        self._points = itsdangerous.URLSafeSerializer(
            secret,
            salt=RESUME_SALT,
            signer_kwargs={"digest_method": hashlib.sha256},
        )
        self._tickets = itsdangerous.URLSafeSerializer(
            secret,
            salt=TICKET_SALT,
            signer_kwargs={"digest_method": hashlib.sha256},
        )

    def signed_prefix(self, point: ResumePoint) -> str:
        """Returns the signed prefix that all resume points of an attempt share.

        The offset is appended unsigned: signing for each token would cost more
        than sending it, and callers can only select tokens of their own stream.
        """
        return self._points.dumps(
            [
                point.organisation,
                point.request_digest,
                point.server,
                point.attempt,
                point.request_id,
                point.base,
            ]
        )

    def read_point(self, text: str) -> Result[ResumePoint, str]:
        """Parses and verifies "PREFIX:OFFSET", as sent back by a caller."""
        signed, separator, offset = text.rpartition(":")
        if not separator or len(text) > MAX_TEXT_LENGTH:
            return Err("not a resume point")
        if not (offset.isascii() and offset.isdigit()) or len(offset) > 9:
            return Err("its offset is not a number")
        try:
            fields = self._points.loads(signed)
        except (itsdangerous.BadData, RecursionError):
            return Err("its signature is invalid")
        try:
            # Instances of another version may have signed other fields.
            found = foreignbytes.convert(fields, _PointFields)
        except ForeignDataError:
            return Err("it has other fields")
        point = ResumePoint(*found, int(offset))
        # The decoder ignores invalid characters, so an altered prefix could
        # pass verification; only the exact encoding is accepted.
        if self.signed_prefix(point) != signed:
            return Err("it was altered")
        return Ok(point)

    def ticket(self, organisation: str, kind: str, arrived: float) -> str:
        """Returns a ticket with an arrival time (Unix time in seconds)."""
        return self._tickets.dumps([organisation, kind, round(arrived, 3)])

    def read_ticket(
        self, text: str, organisation: str, kind: str, now: float
    ) -> float:
        """Returns the seconds since the arrival; 0 for an invalid ticket."""
        if not text or len(text) > MAX_TEXT_LENGTH:
            return 0.0
        try:
            ticket_organisation, ticket_kind, arrived = foreignbytes.convert(
                self._tickets.loads(text), _TicketFields
            )
        except (itsdangerous.BadData, RecursionError, ForeignDataError):
            return 0.0
        if (ticket_organisation, ticket_kind) != (organisation, kind):
            return 0.0
        return min(MAX_TICKET_AGE_S, max(0.0, now - arrived))
