"""Fault injection and the HTTP server shared by all stand-ins."""

import argparse
import asyncio
import dataclasses
import json

import uvicorn
from starlette.responses import JSONResponse

from standins.rawrequests import RecordingProtocol


@dataclasses.dataclass
class Faults:
    """Active faults; POST /faults sets the fields that its body names.

    Attributes:
        down: Answer every request with 503.
        hang: Leave every request unanswered.
        slow_s: Delay before each answer, in seconds.
        lose_acks: Number of upcoming writes that are executed but not
            answered.
    """

    down: bool = False
    hang: bool = False
    slow_s: float = 0.0
    lose_acks: int = 0


class FaultInjector:
    """Wraps an ASGI application and injects the faults of a service."""

    def __init__(self, app, faults: Faults):
        self._app = app
        self._faults = faults

    async def __call__(self, scope, receive, send) -> None:
        """Serves one request, subject to the active faults."""
        faults = self._faults
        if scope["path"] == "/faults":
            await set_faults(faults, receive, scope, send)
            return
        if faults.hang:
            await asyncio.sleep(3600)
        if faults.slow_s:
            await asyncio.sleep(faults.slow_s)
        if faults.down:
            await JSONResponse({"down": True}, 503)(scope, receive, send)
            return
        if scope["method"] in ("POST", "PUT") and faults.lose_acks > 0:
            faults.lose_acks -= 1
            await self._app(scope, receive, _discard)
            await send_truncated(send)
            return
        await self._app(scope, receive, send)


def refusal_headers(pause: str) -> dict[str, str]:
    """Returns the headers of a refusal before a request runs.

    Args:
        pause: Time in seconds for which no requests are wanted; empty for none.
    """
    return {"x-not-run": "1", **({"retry-after": pause} if pause else {})}


async def set_faults(faults, receive, scope, send) -> None:
    """Sets the fields of `faults` that the request body names."""
    body = b""
    more = True
    while more:
        message = await receive()
        body += message.get("body", b"")
        more = message.get("more_body", False)
    for name, value in json.loads(body or b"{}").items():
        if not hasattr(faults, name):
            await JSONResponse({"unknown": name}, 400)(scope, receive, send)
            return
        setattr(faults, name, value)
    await JSONResponse(dataclasses.asdict(faults))(scope, receive, send)


async def send_truncated(send) -> None:
    """Sends an incomplete answer, so that the server closes the connection."""
    headers = [(b"content-length", b"1000000")]
    await send(
        {"type": "http.response.start", "status": 200, "headers": headers}
    )
    await send({"type": "http.response.body", "body": b"", "more_body": True})


def send_part_of_head(send, count: int) -> None:
    """Sends the first bytes of an answer's head and ends the connection.

    The head, were it whole, would say that the request has not run.

    Args:
        send: The ASGI callable that uvicorn passed for the request.
        count: Number of bytes, less those of a whole head.
    """
    head = b"HTTP/1.1 503 Busy\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n"
    transport = send.__self__.transport
    transport.write(head[: count % len(head)])
    transport.close()


async def _discard(message) -> None:
    del message


def make_parser(description: str) -> argparse.ArgumentParser:
    """Returns a parser with the `--address` argument of all stand-ins."""
    arg_parser = argparse.ArgumentParser(description=description)
    arg_parser.add_argument(
        "--address", required=True, help="IP:port to listen on"
    )
    return arg_parser


def serve(app, address: str) -> None:
    """Serves an application until the process is terminated."""
    host, _, port = address.rpartition(":")
    uvicorn.run(
        app,
        host=host,
        port=int(port),
        log_level="critical",
        access_log=False,
        lifespan="off",
        http=RecordingProtocol,
        timeout_graceful_shutdown=1,
    )
