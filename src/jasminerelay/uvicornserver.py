"""Uvicorn's HTTP server without uvicorn's command line.

The package's `__init__` imports the command line with its parser of arguments
and its supervisors of processes, which take a third of the time of importing
uvicorn and are not needed here. This module registers the package without
executing its `__init__`, which is executed when another name of the package is
used, so that other programs can import uvicorn as usual.
"""

import importlib.util
import sys
import types
from typing import Any


def _register_package(name: str) -> types.ModuleType:
    """Returns a package whose `__init__` is executed only on demand."""
    spec = importlib.util.find_spec(name)
    if spec is None or spec.loader is None:
        raise ModuleNotFoundError(f"No module named {name!r}", name=name)
    package = importlib.util.module_from_spec(spec)

    def load_attribute(attribute: str) -> Any:
        # Removed first, so that a name that does not exist raises the usual
        # error.
        del package.__dict__["__getattr__"]
        spec.loader.exec_module(package)
        return getattr(package, attribute)

    package.__dict__["__getattr__"] = load_attribute
    sys.modules[name] = package
    return package


_package = sys.modules.get("uvicorn") or _register_package("uvicorn")

# ruff: noqa: E402 (the package must be registered first)
from uvicorn.config import Config
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol
from uvicorn.server import Server

# Uvicorn's own modules import these names from the package.
_package.__dict__.setdefault("Config", Config)
_package.__dict__.setdefault("Server", Server)

__all__ = ["Config", "HttpToolsProtocol", "Server"]
