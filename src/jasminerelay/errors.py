"""Every exception of the package, under one base.

Each class carries what a caller or an operator needs to mend the fault: an
HTTP status, a stable code, a remedy in plain words, whether the request ran
and, where coming back helps, after how many seconds.
"""

import dataclasses

RAN_NO = "no"
RAN_YES = "yes"
RAN_UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class Problem:
    """One fault in a file that an operator wrote.

    Attributes:
        source: File that holds the fault.
        key: Dotted path of the faulty key.
        found: What stands there.
        expected: What may stand there.
        remedy: What to do.
    """

    source: str
    key: str
    found: str
    expected: str
    remedy: str

    def __str__(self) -> str:
        return (
            f"{self.source}: {self.key}: found {self.found}, expected"
            f" {self.expected}; {self.remedy}"
        )


class RelayError(Exception):
    """Base of every error that the package raises.

    Attributes:
        status: HTTP status of the answer.
        code: Stable word for programs.
        kind: Error type in the shape that OpenAI clients know.
        remedy: What the reader can do.
        ran: "no", "yes" or "unknown": whether the request ran.
        retry_s: Seconds after which a new try is worth while; None if never.
    """

    status = 500
    code = "internal_error"
    kind = "server_error"
    remedy = "Report this with the request id; it is a fault of the relay."

    def __init__(
        self,
        message: str,
        *,
        remedy: str | None = None,
        ran: str = RAN_NO,
        retry_s: float | None = None,
    ):
        super().__init__(message)
        self.message = message
        self.remedy = remedy or self.remedy
        self.ran = ran
        self.retry_s = retry_s


class CheckError(RelayError):
    """A settings file or a manifest has faults; lists all of them."""

    status = 422
    code = "check_failed"
    kind = "invalid_request_error"
    remedy = "Mend every listed key and try again."

    def __init__(self, problems: list[Problem]):
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems


class BadRequestError(RelayError):
    """The request cannot be read."""

    status = 400
    code = "bad_request"
    kind = "invalid_request_error"
    remedy = "Mend the request body as the message says."


class UnknownKeyError(RelayError):
    """No organisation has the caller's key."""

    status = 401
    code = "invalid_api_key"
    kind = "authentication_error"
    remedy = "Send 'Authorization: Bearer KEY' with a key of the organisation."


class CrashingRequestError(RelayError):
    """Backend servers end while they run the request; it is not sent again."""

    status = 500
    code = "request_ends_servers"
    remedy = (
        "Do not send it again unchanged; give the operators the request id."
    )


class ForbiddenError(RelayError):
    """The organisation may not use what the request names."""

    status = 403
    code = "forbidden"
    kind = "permission_error"
    remedy = "Ask the operators to allow it in the manifest."


class NotFoundError(RelayError):
    """The manifest names no such model, service, call or path."""

    status = 404
    code = "not_found"
    kind = "invalid_request_error"
    remedy = "See GET /v1/models, or the manifest, for the names in force."


class ConflictError(RelayError):
    """Another request with the same key is open, or its outcome unknown."""

    status = 409
    code = "idempotency_conflict"
    kind = "invalid_request_error"
    remedy = "Wait for the first request, then repeat with the same key."


class ResumeGoneError(RelayError):
    """The backend server holds the broken stream no longer."""

    status = 409
    code = "resume_gone"
    kind = "invalid_request_error"
    remedy = "Send the request again without Last-Event-ID."


class TooLargeError(RelayError):
    """The request body is larger than the bound."""

    status = 413
    code = "body_too_large"
    kind = "invalid_request_error"
    remedy = "Send a smaller body."


class TooSlowError(RelayError):
    """The caller paused for too long inside its request."""

    status = 408
    code = "request_too_slow"
    kind = "invalid_request_error"
    remedy = "Send the request again without pauses."


class KeyReusedError(RelayError):
    """An idempotency key came back with another request."""

    status = 422
    code = "idempotency_key_reused"
    kind = "invalid_request_error"
    remedy = "Use a new Idempotency-Key for a new request."


class LimitError(RelayError):
    """The organisation's own limit is reached."""

    status = 429
    code = "rate_limit_exceeded"
    kind = "rate_limit_error"
    remedy = "Come back after Retry-After seconds."


class NoRoomError(RelayError):
    """The request would not be served in time, or found no room."""

    status = 503
    code = "no_room"
    remedy = (
        "Come back after Retry-After seconds and send X-Return-Ticket, which"
        " keeps your place by age."
    )

    def __init__(self, message: str, *, ticket: str = "", **fields):
        super().__init__(message, **fields)
        self.ticket = ticket


class StoreError(RelayError):
    """The platform's store did not answer, or refused."""

    status = 503
    code = "store_unavailable"
    remedy = "Come back after Retry-After seconds with the same key."


class BackendError(RelayError):
    """A backend server failed the request."""

    status = 502
    code = "backend_failed"
    remedy = "If it may run twice, send the request again."


class NotReadyError(RelayError):
    """The instance holds no manifest yet."""

    status = 503
    code = "not_ready"
    remedy = "Use another instance of GET /v1/entry, or come back shortly."


class ManifestConflictError(RelayError):
    """Another operator's manifest was accepted first."""

    status = 409
    code = "manifest_conflict"
    kind = "invalid_request_error"

    def __init__(self, in_force: int):
        super().__init__(
            f"version {in_force} is in force",
            remedy=(
                f"Compare with version {in_force} ('jasminerelay manifest"
                " show') and apply again on top of it."
            ),
        )
        self.in_force = in_force


class InvariantError(RelayError):
    """A state that must not occur; the message holds the evidence."""

    code = "invariant_violated"
