"""Stand-in for the rate-limited weight store."""

import asyncio

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse
from starlette.routing import Route

from standins.common import FaultInjector, Faults, make_parser, serve


class WeightStore:
    """Serves weight reads up to a maximum rate."""

    def __init__(self, reads_per_s: float):
        self.faults = Faults()
        self._reads_per_s = reads_per_s
        self._next_read_at = 0.0
        self._refused = 0
        self._served = 0

    def app(self) -> FaultInjector:
        """Returns the ASGI application."""
        routes = [
            Route("/v1/weights/{name:path}", self.read, methods=["GET"]),
            Route("/stats", self.stats, methods=["GET"]),
        ]
        return FaultInjector(Starlette(routes=routes), self.faults)

    async def read(self, request: Request) -> JSONResponse:
        """Serves a read; answers 429 if it exceeds the rate limit."""
        now = asyncio.get_running_loop().time()
        if now < self._next_read_at:
            self._refused += 1
            return JSONResponse({"retry_s": self._next_read_at - now}, 429)
        self._next_read_at = now + 1 / self._reads_per_s
        self._served += 1
        return JSONResponse({"weights": request.path_params["name"]})

    async def stats(self, request: Request) -> JSONResponse:
        """Returns how many reads were served and refused."""
        del request
        return JSONResponse({"served": self._served, "refused": self._refused})


def main() -> None:
    """Runs the weight store stand-in."""
    args = make_parser("Weight store stand-in")
    args.add_argument("--reads-per-s", type=float, default=5.0)
    options = args.parse_args()
    serve(WeightStore(options.reads_per_s).app(), options.address)


if __name__ == "__main__":
    main()
