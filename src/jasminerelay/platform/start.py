"""Entry point of an instance on the platform."""

import gc
import os
import signal

from jasminerelay import lazymodules, stopsignals
from jasminerelay.platform import earlyports

_DEFERRED_MODULES = ("certifi", "logging.config")
"""Modules that httpcore and uvicorn import for TLS and for their own logs."""


def main() -> int:
    """Runs the instance; returns its exit status."""
    ports = earlyports.EarlyPorts()
    stopsignals.exit_on_early_signal(ports.refuse_waiting)
    # SIGHUP's default action would end the process. Settings that change
    # during the start are found at the next periodic reload.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    ports.open(os.environ.get(earlyports.SETTINGS_VARIABLE, ""))
    # The imports create objects that stay; collections would find nothing to
    # free among them. The program enables them again.
    gc.disable()
    for name in _DEFERRED_MODULES:
        lazymodules.defer(name)
    # Imported only after the signal handlers are installed and the ports are
    # open, since the import is slow: signals and callers may arrive during it.
    from jasminerelay.platform.root import main as run

    return run(ports)
