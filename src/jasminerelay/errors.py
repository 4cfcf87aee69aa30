"""Exceptions of the package, with a common base class.

Each class carries what a caller or an operator needs to handle the error: an
HTTP status, a stable error code, a suggested remedy, whether the request ran
and, where a retry can succeed, the delay before it in seconds.
"""

import dataclasses

RAN_NO = "no"
RAN_YES = "yes"
RAN_UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class ConfigProblem:
    """One validation error in a settings file or manifest.

    Attributes:
        source: File that contains the error.
        key: Dotted path of the invalid key.
        found: Value found at the key.
        expected: Description of the valid values.
        remedy: How to correct the file.
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
    """Base class of the errors that the package raises.

    Attributes:
        status: HTTP status of the response.
        code: Stable, machine-readable error code.
        kind: Error type as in the OpenAI API.
        remedy: Suggested action for the caller or operator.
        ran: Whether the request ran: "no", "yes" or "unknown".
        retry_s: Delay before a retry in seconds; None if a retry cannot
            succeed.
    """

    status = 500
    code = "internal_error"
    kind = "server_error"
    remedy = "Internal error of the relay; report it with the request id."

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


class ForeignDataError(RelayError, ValueError):
    """Bytes that another program wrote are not what they should be.

    Its text names the remedy, too.
    """

    status = 502
    code = "foreign_data"
    remedy = "correct or remove what the other program wrote"

    def __str__(self) -> str:
        return f"{self.message}; {self.remedy}"


class InvalidConfigError(RelayError):
    """A settings file or a manifest is invalid; lists every error in it."""

    status = 422
    code = "check_failed"
    kind = "invalid_request_error"
    remedy = "Correct every listed key and try again."

    def __init__(self, problems: list[ConfigProblem]):
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems


class BadRequestError(RelayError):
    """The request is malformed."""

    status = 400
    code = "bad_request"
    kind = "invalid_request_error"
    remedy = "Correct the request body as the message describes."


class InvalidCredentialsError(RelayError):
    """The caller's key belongs to no organisation."""

    status = 401
    code = "invalid_api_key"
    kind = "authentication_error"
    remedy = "Send 'Authorization: Bearer KEY' with a key of the organisation."


class CrashingRequestError(RelayError):
    """The request is blocked: backend servers crashed while running it."""

    status = 500
    code = "request_ends_servers"
    remedy = (
        "Do not retry it unchanged; report the request id to the operators."
    )


class ForbiddenError(RelayError):
    """The organisation may not use the requested model or service."""

    status = 403
    code = "forbidden"
    kind = "permission_error"
    remedy = "Ask the operators to grant access in the manifest."


class NotFoundError(RelayError):
    """The manifest declares no such model, service, call or path."""

    status = 404
    code = "not_found"
    kind = "invalid_request_error"
    remedy = "See GET /v1/models, or the manifest, for the valid names."


class IdempotencyConflictError(RelayError):
    """A request with the same idempotency key is open or of unknown outcome."""

    status = 409
    code = "idempotency_conflict"
    kind = "invalid_request_error"
    remedy = "Wait for the first request to end, then retry with the same key."


class ResumeUnavailableError(RelayError):
    """The backend server no longer holds the interrupted stream."""

    status = 409
    code = "resume_gone"
    kind = "invalid_request_error"
    remedy = "Send the request again without Last-Event-ID."


class BodyTooLargeError(RelayError):
    """The request body exceeds the size limit."""

    status = 413
    code = "body_too_large"
    kind = "invalid_request_error"
    remedy = "Send a smaller body."


class RequestTimeoutError(RelayError):
    """The caller paused for too long while it sent its request."""

    status = 408
    code = "request_too_slow"
    kind = "invalid_request_error"
    remedy = "Send the request again without pauses."


class IdempotencyKeyReusedError(RelayError):
    """An idempotency key was used again with a different request."""

    status = 422
    code = "idempotency_key_reused"
    kind = "invalid_request_error"
    remedy = "Use a new Idempotency-Key for a new request."


class RateLimitError(RelayError):
    """The organisation's rate limit is reached."""

    status = 429
    code = "rate_limit_exceeded"
    kind = "rate_limit_error"
    remedy = "Wait for the number of seconds in Retry-After, then retry."


class NoCapacityError(RelayError):
    """The request cannot be served in time, or the queue is full."""

    status = 503
    code = "no_room"
    remedy = (
        "Wait for the number of seconds in Retry-After, then retry with"
        " X-Return-Ticket, so that the time already waited counts."
    )

    def __init__(self, message: str, *, ticket: str = "", **fields):
        super().__init__(message, **fields)
        self.ticket = ticket


class MemoryShortError(RelayError):
    """The instance has no memory for a large request."""

    status = 503
    code = "memory_short"
    remedy = "Wait for the number of seconds in Retry-After, then retry."


class StoreError(RelayError):
    """The platform's store did not answer or refused the call."""

    status = 503
    code = "store_unavailable"
    remedy = (
        "Wait for the number of seconds in Retry-After, then retry with the"
        " same Idempotency-Key."
    )


class BackendError(RelayError):
    """A backend server failed while handling the request."""

    status = 502
    code = "backend_failed"
    remedy = "Retry the request if running it twice is safe."


class NotReadyError(RelayError):
    """The instance has no current configuration yet, or is shutting down."""

    status = 503
    code = "not_ready"
    remedy = "Use another instance from GET /v1/entry, or retry shortly."


class ManifestConflictError(RelayError):
    """Another manifest was accepted on top of the same version first."""

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
    """An invariant is violated; the message contains the evidence."""

    code = "invariant_violated"
