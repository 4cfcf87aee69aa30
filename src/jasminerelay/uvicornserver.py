"""Uvicorn's HTTP server without uvicorn's command line.

The package's `__init__` imports the command line with its parser of arguments
and its supervisors of processes, which take a third of the time of importing
uvicorn and are not needed here.
"""

from jasminerelay import lazymodules

_package = lazymodules.defer("uvicorn")

# ruff: noqa: E402 (the package must be registered first)
from uvicorn.config import Config
from uvicorn.protocols.http.flow_control import HIGH_WATER_LIMIT, FlowControl
from uvicorn.protocols.http.httptools_impl import (
    HttpToolsProtocol,
    RequestResponseCycle,
)
from uvicorn.protocols.utils import get_local_addr, get_remote_addr
from uvicorn.server import Server, ServerState

# Uvicorn's own modules import these names from the package.
_package.__dict__.setdefault("Config", Config)
_package.__dict__.setdefault("Server", Server)

__all__ = [
    "HIGH_WATER_LIMIT",
    "Config",
    "FlowControl",
    "HttpToolsProtocol",
    "RequestResponseCycle",
    "Server",
    "ServerState",
    "get_local_addr",
    "get_remote_addr",
]
