"""Entry point of an instance on the platform."""

import signal

from jasminerelay import stopsignals


def main() -> int:
    """Runs the instance; returns its exit status."""
    stopsignals.answer_early()
    # Settings that change while it starts are found when they are next looked
    # at; the default action would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Imported only now: whatever signal comes first is answered from here on.
    from jasminerelay.platform.root import main as run

    return run()
