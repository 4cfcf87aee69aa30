"""Stand-in for a plain HTTP service, with a journal of the calls it ran."""

import asyncio
import dataclasses
import time

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from standins.common import (
    make_parser,
    refusal_headers,
    send_part_of_head,
    send_truncated,
    serve,
    set_faults,
)
from standins.rawrequests import FIELDS, TARGET

HEAD_STEP_BYTES = 7
"""Difference between two answers in the bytes of their heads that are sent."""


@dataclasses.dataclass
class ServiceFaults:
    """Active faults; POST /faults sets the fields that its body names.

    Attributes:
        slow_s: Additional run time of a call, in seconds.
        refuse: Number of upcoming calls that are refused before they run.
        pause: Value of Retry-After in these refusals; empty for none.
        drop_after: Number of upcoming calls that run but are not answered.
        cut_heads: Number of upcoming calls that run and whose answers stop
            within their heads.
        leaving: Refuse all calls, as a server that is shutting down does.
        announce: Run calls, and announce the shutdown in the answers.
    """

    slow_s: float = 0.0
    refuse: int = 0
    pause: str = ""
    drop_after: int = 0
    cut_heads: int = 0
    leaving: bool = False
    announce: bool = False


class PlainService:
    """Runs calls and records each of them in a journal."""

    def __init__(self, name: str, run_s: float, *, deduplicates: bool):
        self.faults = ServiceFaults()
        self._name = name
        self._run_s = run_s
        self._deduplicates = deduplicates
        self._answers: dict[str, dict] = {}
        self._journal: list[dict] = []
        self._running = 0
        self._app = Starlette(
            routes=[
                Route("/load", self.load, methods=["GET"]),
                Route("/journal", self.journal, methods=["GET"]),
            ]
        )

    async def __call__(self, scope, receive, send) -> None:
        """Serves one request."""
        if scope["type"] != "http":
            return
        if scope["path"] == "/faults":
            await set_faults(self.faults, receive, scope, send)
        elif scope["path"] in ("/load", "/journal"):
            await self._app(scope, receive, send)
        else:
            await self._handle_call(scope, receive, send)

    async def load(self, request: Request) -> JSONResponse:
        """Returns the load report."""
        del request
        return JSONResponse(
            {
                "running": self._running,
                "waiting": 0,
                "leaving": self.faults.leaving,
                "step_s": 0.0,
                "age_s": 0.0,
            }
        )

    async def journal(self, request: Request) -> JSONResponse:
        """Returns every call that ran, in order."""
        del request
        return JSONResponse({"runs": self._journal})

    async def _handle_call(self, scope, receive, send) -> None:
        request = Request(scope, receive)
        refusal = self._refusal()
        if refusal is not None:
            await refusal(scope, receive, send)
            return
        body = (await request.body()).decode(errors="replace")
        key = request.headers.get("idempotency-key", "")
        if not (self._deduplicates and key in self._answers):
            await self._run(request, key, body)
        if self.faults.drop_after > 0:
            self.faults.drop_after -= 1
            await send_truncated(send)
            return
        if self.faults.cut_heads > 0:
            self.faults.cut_heads -= 1
            send_part_of_head(send, len(self._journal) * HEAD_STEP_BYTES)
            return
        answer = {"done": scope["path"], "body": body, "by": self._name}
        if self._deduplicates and key:
            answer = self._answers.setdefault(key, answer)
        headers = {"x-leaving": "1"} if self.faults.announce else None
        await JSONResponse(answer, headers=headers)(scope, receive, send)

    async def _run(self, request: Request, key: str, body: str) -> None:
        self._running += 1
        self._journal.append(
            {
                "id": request.headers.get("x-request-id", ""),
                "organisation": request.headers.get("x-organisation", ""),
                "method": request.method,
                "path": request.url.path,
                "target": request.scope[TARGET].decode(),
                "fields": [
                    (name.decode("latin-1"), value.decode("latin-1"))
                    for name, value in request.scope[FIELDS]
                ],
                "key": key,
                "body": body,
                "at": time.time(),
            }
        )
        try:
            await asyncio.sleep(self._run_s + self.faults.slow_s)
        finally:
            self._running -= 1

    def _refusal(self) -> Response | None:
        if self.faults.leaving:
            headers = {"x-not-run": "1", "x-leaving": "1"}
            return JSONResponse({"leaving": True}, 503, headers)
        if self.faults.refuse > 0:
            self.faults.refuse -= 1
            return JSONResponse(
                {"refused": True}, 503, refusal_headers(self.faults.pause)
            )
        return None


def main() -> None:
    """Runs the service stand-in."""
    args = make_parser("Plain service stand-in")
    args.add_argument("--name", default="service")
    args.add_argument("--run-ms", type=float, default=5.0)
    args.add_argument("--deduplicates", action="store_true")
    options = args.parse_args()
    service = PlainService(
        options.name,
        options.run_ms / 1000,
        deduplicates=options.deduplicates,
    )
    serve(service, options.address)


if __name__ == "__main__":
    main()
