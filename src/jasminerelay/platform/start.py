"""Entry point of an instance on the platform."""

import _blake2
import gc
import importlib
import os
import signal
from collections.abc import Callable
from typing import Any

from jasminerelay import lazymodules, stopsignals
from jasminerelay.platform import earlyports


class NotLoaded:
    """Stands for a class of which no object exists before it is loaded."""


def _system() -> str:
    """Returns what `platform.system` returns, on the systems supported."""
    return os.uname().sysname


DEFERRED_MODULES: dict[str, dict[str, Any]] = {
    "calendar": {},
    "certifi": {},
    "configparser": {"RawConfigParser": NotLoaded},
    "json": {},
    "locale": {},
    "logging.config": {},
    # Loads OpenSSL's libraries, as `hashlib` does: 6 MB. Asyncio checks each
    # socket that it connects for SSLSocket; other classes are named in
    # annotations. The constants are defaults of parameters.
    "ssl": {
        "CERT_NONE": 0,
        "PROTOCOL_TLS_CLIENT": 16,
        "PROTOCOL_TLS_SERVER": 17,
        "SSLContext": NotLoaded,
        "SSLSocket": NotLoaded,
        "TLSVersion": NotLoaded,
    },
    "asyncio.sslproto": {},
    # An instance starts no processes. Asyncio's defaults name the constants.
    "subprocess": {"DEVNULL": -3, "PIPE": -1, "STDOUT": -2},
    "platform": {"system": _system},
    "hashlib": {"blake2b": _blake2.blake2b},
}
"""Modules that libraries import for what an instance does not use, such as
TLS, processes and their own logs, with the names that are used nevertheless."""

LATER_MODULES = (
    "anyio._backends._asyncio",
    "anyio._core._signals",
    "uvicorn.lifespan.off",
)
"""Modules that the program imports only when it runs, before its first
response. They are imported while the bundle is open."""


def defer_modules() -> None:
    """Defers modules that an instance does not need."""
    for name, known in DEFERRED_MODULES.items():
        lazymodules.defer(name, **known)


def main(close_bundle: Callable[[], dict] | None = None) -> int:
    """Runs the instance; returns its exit status.

    Args:
        close_bundle: Ends imports from the bundle of compiled code; returns how
            far it was used, for the log (see deploy/codebundle.py).
    """
    ports = earlyports.EarlyPorts()
    stopsignals.exit_on_early_signal(ports.refuse_waiting)
    # SIGHUP's default action would end the process. Settings that change
    # during the start are found at the next periodic reload.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    ports.open(os.environ.get(earlyports.SETTINGS_VARIABLE, ""))
    # The imports create objects that stay; collections would find nothing to
    # free among them. The program enables them again.
    gc.disable()
    defer_modules()
    # Imported only after the signal handlers are installed and the ports are
    # open, since the import is slow: signals and callers may arrive during it.
    from jasminerelay.platform.root import main as run

    bundle_use = None
    if close_bundle is not None:
        for name in LATER_MODULES:
            importlib.import_module(name)
        bundle_use = close_bundle()
    return run(ports, bundle_use)
