"""Entry point of an instance on the platform."""

import signal

from jasminerelay import stopsignals


def main() -> int:
    """Runs the instance; returns its exit status."""
    stopsignals.exit_on_early_signal()
    # SIGHUP's default action would end the process. Settings that change
    # during the start are found at the next periodic reload.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Imported only after the signal handlers are installed, since the import
    # is slow and a signal may arrive during it.
    from jasminerelay.platform.root import main as run

    return run()
