"""Stand-in for the platform's object store."""

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from standins.common import FaultInjector, Faults, make_parser, serve


class ObjectStore:
    """Stores objects in memory, by key."""

    def __init__(self) -> None:
        self.faults = Faults()
        self._objects: dict[str, bytes] = {}

    def app(self) -> FaultInjector:
        """Returns the ASGI application."""
        routes = [
            Route("/{key:path}", self.get, methods=["GET"]),
            Route("/{key:path}", self.put, methods=["PUT"]),
        ]
        return FaultInjector(Starlette(routes=routes), self.faults)

    async def get(self, request: Request) -> Response:
        """Returns an object."""
        body = self._objects.get(request.path_params["key"])
        if body is None:
            return JSONResponse({"absent": True}, 404)
        return Response(body)

    async def put(self, request: Request) -> Response:
        """Stores an object."""
        self._objects[request.path_params["key"]] = await request.body()
        return Response(status_code=204)


def main() -> None:
    """Runs the object store stand-in."""
    options = make_parser("Object store stand-in").parse_args()
    serve(ObjectStore().app(), options.address)


if __name__ == "__main__":
    main()
