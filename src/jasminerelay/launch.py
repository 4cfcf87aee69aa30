"""Entry point of the daemon `jasminerelayd`."""

import sys

from jasminerelay import stopsignals


def daemon() -> int:
    """Runs the daemon; returns its exit status."""
    stopsignals.exit_on_early_signal()
    # Imported here, after the signal handlers are set, since loading the
    # daemon takes time in which a signal may arrive.
    from jasminerelay.daemon import main

    return main()


if __name__ == "__main__":
    sys.exit(daemon())
