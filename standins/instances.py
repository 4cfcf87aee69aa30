"""Stand-in for the platform's list of instances, which lags behind."""

import time

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from standins.common import FaultInjector, Faults, make_parser, serve


class InstanceList:
    """Stores a record per instance and lists it only after `lag_s`."""

    def __init__(self, lag_s: float):
        self.faults = Faults()
        self._lag_s = lag_s
        self._records: dict[str, tuple[float, dict]] = {}

    def app(self) -> FaultInjector:
        """Returns the ASGI application."""
        routes = [
            Route("/v1/instances", self.list, methods=["GET"]),
            Route("/v1/instances", self.put, methods=["PUT"]),
        ]
        return FaultInjector(Starlette(routes=routes), self.faults)

    async def list(self, request: Request) -> JSONResponse:
        """Returns the records that are at least `lag_s` old."""
        del request
        shown_until = time.monotonic() - self._lag_s
        records = [
            record for at, record in self._records.values() if at <= shown_until
        ]
        return JSONResponse({"instances": records})

    async def put(self, request: Request) -> Response:
        """Stores the record of an instance."""
        record = await request.json()
        self._records[record["instance"]] = (time.monotonic(), record)
        return Response(status_code=204)


def main() -> None:
    """Runs the instance list stand-in."""
    args = make_parser("Instance list stand-in")
    args.add_argument("--lag-s", type=float, default=0.0)
    options = args.parse_args()
    serve(InstanceList(options.lag_s).app(), options.address)


if __name__ == "__main__":
    main()
