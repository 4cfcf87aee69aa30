"""The callers' port: OpenAI-compatible API, plain services, entry list."""

import dataclasses
import math
import time
from collections.abc import Callable
from urllib.parse import unquote

import anyio
from starlette.applications import Starlette
from starlette.requests import ClientDisconnect, Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from jasminerelay import answers, entrylist, httpconnection, modelrequests
from jasminerelay.answercontext import RequestPolicy
from jasminerelay.claims import request_digest
from jasminerelay.completions import Completions
from jasminerelay.errors import (
    BadRequestError,
    BodyTooLargeError,
    ForbiddenError,
    InvalidCredentialsError,
    NotFoundError,
    NotReadyError,
    RelayError,
)
from jasminerelay.manifest import Directory
from jasminerelay.modelrequests import CHAT_PATH, TEXT_PATH
from jasminerelay.requestbody import BODY, RequestBody
from jasminerelay.responses import (
    TICKET_HEADER,
    JsonObjectResponse,
    ResponseContext,
    StreamResponse,
    error_response,
)
from jasminerelay.resume import ResumePoint, Signer
from jasminerelay.scheduling.clientaccount import decoded_bytes
from jasminerelay.schema.manifest import Organisation
from jasminerelay.servicecalls import (
    IDEMPOTENCY_HEADER,
    ServiceCalls,
    ServiceRequest,
)
from jasminerelay.statednumbers import parse_whole

REQUEST_TYPE_HEADER = "x-request-type"
RESUME_HEADER = "last-event-id"
OWN_FIELDS = frozenset(
    name.encode()
    for name in (
        "authorization",
        IDEMPOTENCY_HEADER,
        REQUEST_TYPE_HEADER,
        RESUME_HEADER,
        TICKET_HEADER,
    )
)
"""Fields by which a request is identified and served."""

MAX_IDEMPOTENCY_KEY_CHARS = 200
_DROPPED_RESPONSE_HEADERS = {
    "connection",
    "content-length",
    "date",
    "keep-alive",
    "proxy-authenticate",
    "proxy-connection",
    "server",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
}
"""Fields of a service's connection, and those that this port sets itself."""


@dataclasses.dataclass(frozen=True)
class FrontendContext:
    """The dependencies of the callers' port.

    Attributes:
        directory: Returns the manifest in force.
        entries: Returns the entry list.
        ready: Returns whether the instance accepts new callers.
        completions: Serves model requests.
        services: Serves calls of plain services.
        signer: Verifies and parses resume points and return tickets.
        responses: Dependencies of the HTTP responses.
    """

    directory: Callable[[], Directory | None]
    entries: Callable[[], entrylist.EntryList]
    ready: Callable[[], bool]
    completions: Completions
    services: ServiceCalls
    signer: Signer
    responses: ResponseContext


class Application:
    """ASGI application of the callers' port."""

    def __init__(self, front: FrontendContext):
        self._handlers = _Handlers(front)
        self._framework_app = _routes(self._handlers)

    async def __call__(self, scope, receive, send) -> None:
        """Serves one ASGI connection."""
        is_completion = (
            scope["type"] == "http"
            and scope["method"] == "POST"
            and scope["path"] in (CHAT_PATH, TEXT_PATH)
        )
        if not is_completion:
            await self._framework_app(scope, receive, send)
            return
        # Model requests bypass the framework's middleware, each layer of which
        # adds a cost per streamed token.
        request = Request(scope, receive)
        try:
            response = await self._handlers.complete(request)
        except RelayError as exc:
            response = await self._handlers.error(request, exc)
        except ClientDisconnect as exc:
            response = await self._handlers.disconnected(request, exc)
        await response(scope, receive, send)


def _routes(handlers: "_Handlers") -> Starlette:
    return Starlette(
        routes=[
            Route("/v1/models", handlers.models, methods=["GET"]),
            Route("/v1/entry", handlers.entry, methods=["GET"]),
            Route("/healthz", handlers.healthz, methods=["GET"]),
            Route("/readyz", handlers.readyz, methods=["GET"]),
            Route(
                "/services/{service}/{path:path}",
                handlers.service,
                methods=["GET", "POST", "PUT", "PATCH", "DELETE"],
            ),
        ],
        exception_handlers={
            404: handlers.no_route,
            405: handlers.no_route,
            RelayError: handlers.error,
            ClientDisconnect: handlers.disconnected,
        },
    )


class _Handlers:
    """Request handlers of the callers' port."""

    def __init__(self, front: FrontendContext):
        self._front = front

    async def healthz(self, request: Request) -> Response:
        """Returns 200 as long as the process runs (liveness probe)."""
        del request
        return JSONResponse({"ok": True})

    async def readyz(self, request: Request) -> Response:
        """Returns 200 while the instance accepts new callers, else 503."""
        del request
        ready = self._front.ready()
        return JSONResponse({"ready": ready}, 200 if ready else 503)

    async def entry(self, request: Request) -> Response:
        """Returns the instances that callers should use, best first."""
        del request
        entries = self._front.entries()
        return JSONResponse(
            {"instances": entries.addresses, "ttl_s": entries.ttl_s},
            headers={"cache-control": f"max-age={math.floor(entries.ttl_s)}"},
        )

    async def models(self, request: Request) -> Response:
        """Lists the models that the caller's organisation may use."""
        directory, organisation = self._authenticate(request)
        data = [
            {
                "id": name,
                "object": "model",
                "created": 0,
                "owned_by": directory.pool_of(name).name,
            }
            for name in directory.models_for(organisation)
        ]
        return JSONResponse({"object": "list", "data": data})

    async def complete(self, request: Request) -> Response:
        """Serves a chat or text completion, whole or streamed."""
        directory, organisation = self._authenticate(request)
        raw_body = await self._read_body(request, organisation)
        _count_values(request, raw_body)
        path = request.url.path
        digest = request_digest("POST", path, "", raw_body)
        parsed = modelrequests.parse_request(path, raw_body, digest)
        kind = directory.request_type(
            organisation,
            parsed.body["model"],
            request.headers.get(REQUEST_TYPE_HEADER, ""),
        )
        waited_s = self._front.signer.read_ticket(
            request.headers.get(TICKET_HEADER, ""),
            organisation.name,
            kind.name,
            time.time(),
        )
        placement = RequestPolicy(
            organisation,
            kind,
            directory.service_class_of(organisation, kind),
            directory.pool_of(parsed.body["model"]),
            waited_s,
        )
        resume = request.headers.get(RESUME_HEADER)
        if resume and parsed.stream:
            point = self._verified_resume_point(
                resume, organisation, parsed.digest
            )
            answer = self._front.completions.resume(
                parsed, placement, point, directory
            )
        else:
            answer = self._front.completions.start(parsed, placement)
        if parsed.stream:
            return StreamResponse(self._front.responses, answer, parsed)
        return JsonObjectResponse(self._front.responses, answer, parsed)

    async def service(self, request: Request) -> Response:
        """Forwards a call to a plain service."""
        directory, organisation = self._authenticate(request)
        path = "/" + request.path_params["path"]
        target = _service_target(request)
        service, call = directory.find_call(
            organisation, request.path_params["service"], request.method, path
        )
        key = request.headers.get(IDEMPOTENCY_HEADER, "")
        if len(key) > MAX_IDEMPOTENCY_KEY_CHARS:
            raise BadRequestError(
                "Idempotency-Key is too long",
                remedy=f"Send at most {MAX_IDEMPOTENCY_KEY_CHARS} characters.",
            )
        body = await self._read_body(request, organisation)
        waited_s = self._front.signer.read_ticket(
            request.headers.get(TICKET_HEADER, ""),
            organisation.name,
            service.name,
            time.time(),
        )
        with self._front.responses.progress:
            reply = await self._front.services.serve(
                ServiceRequest(
                    organisation,
                    service,
                    call,
                    directory.classes[call.class_name],
                    request.method,
                    target,
                    dict(request.headers),
                    body,
                    key,
                    waited_s,
                )
            )
        request.scope[BODY].count_answer(len(reply.body))
        headers = {
            name: value
            for name, value in reply.headers.items()
            if name not in _DROPPED_RESPONSE_HEADERS
        }
        return Response(reply.body, reply.status, headers)

    async def no_route(self, request: Request, exc: Exception) -> Response:
        """Returns the error for an unknown path or method."""
        del exc
        error = NotFoundError(
            f"no route {request.method} {request.url.path}",
            remedy="See the callers' page of the documentation for the paths.",
        )
        return error_response(error)

    async def error(self, request: Request, exc: RelayError) -> Response:
        """Converts a RelayError into a response."""
        del request
        self._front.responses.counters.incr(f"answer.{exc.code}")
        return error_response(exc)

    async def disconnected(self, request: Request, exc: Exception) -> Response:
        """Handles a caller that disconnected while sending its request."""
        del request, exc
        self._front.responses.counters.incr("caller.gone_early")
        return Response(status_code=400)

    def _authenticate(self, request: Request) -> tuple[Directory, Organisation]:
        directory = self._front.directory()
        if directory is None:
            raise NotReadyError("the instance has no manifest yet", retry_s=1.0)
        scheme, _, key = request.headers.get("authorization", "").partition(" ")
        organisation = directory.organisation_for_key(key.strip())
        if scheme.lower() != "bearer" or organisation is None:
            raise InvalidCredentialsError(
                "the API key belongs to no organisation"
            )
        return directory, organisation

    async def _read_body(
        self, request: Request, organisation: Organisation
    ) -> bytes:
        limit = self._front.responses.bounds.max_body_bytes
        declared = request.headers.get("content-length", "0")
        is_number = declared.isascii() and declared.isdigit()
        if is_number and parse_whole(declared.encode()) > limit:
            raise BodyTooLargeError(f"the request body exceeds {limit} bytes")
        body: RequestBody = request.scope[BODY]
        body.organisation = organisation.name
        body.announce(parse_whole(declared.encode()) if is_number else 0)
        try:
            with anyio.fail_after(self._front.responses.bounds.body_timeout_s):
                async for part in request.stream():
                    if body.size + len(part) > limit:
                        raise BodyTooLargeError(
                            f"the request body exceeds {limit} bytes"
                        )
                    body.add(part)
        except TimeoutError:
            raise BadRequestError(
                "the request body was not received within the time limit",
                remedy="Send the body without long pauses.",
            ) from None
        return body.whole()

    def _verified_resume_point(
        self, text: str, organisation: Organisation, digest: str
    ) -> ResumePoint:
        read = self._front.signer.read_point(text)
        if read.is_err():
            raise ForbiddenError(
                f"the resume point is invalid: {read.unwrap_err()}",
                remedy="Send the id of the last event exactly as received.",
            )
        point = read.unwrap()
        if point.organisation != organisation.name:
            raise ForbiddenError(
                "the resume point belongs to another organisation",
                remedy="Use a key of the organisation that sent the request.",
            )
        if point.request_digest != digest[: answers.DIGEST_CHARS]:
            raise ForbiddenError(
                "the resume point belongs to another request",
                remedy="Send the same body as in the first request.",
            )
        return point


def _count_values(request: Request, raw_body: bytes) -> None:
    """Counts what the values of a body will cost, before they are decoded.

    Raises:
        BodyTooLargeError: if they would never find room.
        MemoryShortError: if there is none now.
    """
    body: RequestBody = request.scope[BODY]
    count = decoded_bytes(raw_body)
    if not body.could_ever_hold(count):
        raise BodyTooLargeError(
            f"the body's values would take {count} bytes of memory",
            remedy="Send fewer values, or have memory_mb raised.",
        )
    body.add_decoded(count)


def _service_target(request: Request) -> str:
    """Returns the target of a call within its service, as sent.

    Raises:
        BadRequestError: if the path names the service in an ambiguous way.
    """
    raw = request.scope[httpconnection.TARGET].decode("ascii")
    _, _, service, rest = raw.split("/", 3)
    if unquote(service) != request.path_params["service"]:
        raise BadRequestError(
            "the service's name holds an escaped slash",
            remedy="Send /services/NAME/PATH.",
        )
    return f"/{rest}"
