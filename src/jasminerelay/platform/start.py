"""Entry point of an instance on the platform."""

import gc
import importlib
import os
import signal
from collections.abc import Callable

from jasminerelay import lazymodules, stopsignals
from jasminerelay.platform import earlyports

DEFERRED_MODULES = ("certifi", "logging.config")
"""Modules that httpcore and uvicorn import for TLS and for their own logs."""

LATER_MODULES = (
    "anyio._backends._asyncio",
    "anyio._core._signals",
    "uvicorn.lifespan.off",
)
"""Modules that the program imports only when it runs, before its first
response. They are imported while the bundle is open."""


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
    for name in DEFERRED_MODULES:
        lazymodules.defer(name)
    # Imported only after the signal handlers are installed and the ports are
    # open, since the import is slow: signals and callers may arrive during it.
    from jasminerelay.platform.root import main as run

    bundle_use = None
    if close_bundle is not None:
        for name in LATER_MODULES:
            importlib.import_module(name)
        bundle_use = close_bundle()
    return run(ports, bundle_use)
