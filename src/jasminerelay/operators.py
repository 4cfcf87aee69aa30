"""HTTP API for operators: manifest, status, entry list, burn and drain."""

import dataclasses
import hmac
import time
from collections.abc import Callable
from typing import Any

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from jasminerelay import burn, entrylist
from jasminerelay.errors import (
    BadRequestError,
    InvalidCredentialsError,
    NotReadyError,
    RelayError,
)
from jasminerelay.manifestmanager import ManifestManager
from jasminerelay.metrics import Counters
from jasminerelay.requestbody import BODY, RequestBody
from jasminerelay.responses import error_response
from jasminerelay.statednumbers import parse_whole

VERSION_HEADER = "if-match"
MAX_MANIFEST_BYTES = 16 << 20


@dataclasses.dataclass(frozen=True)
class OperatorContext:
    """Parts of the instance that the operators' port uses.

    Attributes:
        token: Bearer token of the operators.
        manifest_manager: Holds the manifest in force and applies new ones.
        status: Returns the state of the instance.
        entries: Returns the entry list.
        drain: Starts draining the instance.
        burn_recorder: Records of finished requests for the burn report.
        counters: Counters of the instance.
        instance: Name of the instance.
    """

    token: str
    manifest_manager: ManifestManager
    status: Callable[[], dict[str, Any]]
    entries: Callable[[], entrylist.EntryList]
    drain: Callable[[], None]
    burn_recorder: burn.BurnRecorder
    counters: Counters
    instance: str


def application(context: OperatorContext) -> Starlette:
    """Returns the ASGI application of the operators' port."""
    handlers = _Handlers(context)
    return Starlette(
        routes=[
            Route("/v1/manifest", handlers.show, methods=["GET"]),
            Route("/v1/manifest", handlers.apply, methods=["POST"]),
            Route("/v1/status", handlers.status, methods=["GET"]),
            Route("/v1/entry", handlers.entry, methods=["GET"]),
            Route("/v1/burn", handlers.burn, methods=["GET"]),
            Route("/v1/drain", handlers.drain, methods=["POST"]),
        ],
        exception_handlers={RelayError: _error_response},
    )


class _Handlers:
    """Request handlers of the operators' port."""

    def __init__(self, context: OperatorContext):
        self._context = context

    async def show(self, request: Request) -> Response:
        """Returns the manifest in force."""
        self._authenticate(request)
        current = self._context.manifest_manager.adopted.current
        if current is None:
            raise NotReadyError(
                "no manifest yet", remedy="Apply a manifest.", retry_s=1.0
            )
        return JSONResponse(
            {
                "version": current.version,
                "digest": current.digest,
                "body": current.body,
            }
        )

    async def apply(self, request: Request) -> Response:
        """Applies a manifest."""
        self._authenticate(request)
        body: RequestBody = request.scope[BODY]
        async for part in request.stream():
            if body.size + len(part) > MAX_MANIFEST_BYTES:
                raise BadRequestError(
                    "the manifest is too large",
                    remedy=f"Keep it below {MAX_MANIFEST_BYTES} bytes.",
                )
            body.add(part)
        try:
            text = body.whole().decode()
        except UnicodeDecodeError as exc:
            raise BadRequestError(
                f"the manifest is not UTF-8: {exc}", remedy="Send UTF-8."
            ) from None
        over = request.headers.get(VERSION_HEADER)
        if over is not None and not (over.isascii() and over.isdigit()):
            raise BadRequestError(
                "If-Match is not a version", remedy="Send a version number."
            )
        pointer = await self._context.manifest_manager.apply(
            text, parse_whole(over.encode()) if over else None
        )
        return JSONResponse(
            {"version": pointer.version, "digest": pointer.digest}
        )

    async def status(self, request: Request) -> Response:
        """Returns the state of the instance."""
        self._authenticate(request)
        return JSONResponse(self._context.status())

    async def entry(self, request: Request) -> Response:
        """Returns the entry list."""
        self._authenticate(request)
        entries = self._context.entries()
        return JSONResponse(
            {"instances": entries.addresses, "ttl_s": entries.ttl_s}
        )

    async def burn(self, request: Request) -> Response:
        """Returns this instance's totals for the burn report."""
        self._authenticate(request)
        now = time.monotonic()
        windows = {
            "short": self._context.burn_recorder.totals(
                burn.SHORT_WINDOW_S, now
            ),
            "long": self._context.burn_recorder.totals(burn.LONG_WINDOW_S, now),
        }
        body = {"instance": self._context.instance, "windows": windows}
        return Response(
            msgspec.json.encode(body), media_type="application/json"
        )

    async def drain(self, request: Request) -> Response:
        """Starts draining the instance."""
        self._authenticate(request)
        self._context.drain()
        return JSONResponse({"draining": True}, 202)

    def _authenticate(self, request: Request) -> None:
        scheme, _, token = request.headers.get("authorization", "").partition(
            " "
        )
        valid = hmac.compare_digest(
            token.strip().encode(), self._context.token.encode()
        )
        if scheme.lower() != "bearer" or not valid:
            self._context.counters.incr("operator.rejected")
            raise InvalidCredentialsError(
                "invalid operators' token",
                remedy="Send the operator_token of the settings.",
            )


async def _error_response(request: Request, exc: RelayError) -> Response:
    del request
    return error_response(exc)
