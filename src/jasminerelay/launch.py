"""Entry point of the daemon of the own interface."""

import sys

from jasminerelay import stopsignals


def daemon() -> int:
    """Runs the daemon; returns its exit status."""
    stopsignals.answer_early()
    # Imported only now: whatever signal comes first is answered from here on.
    from jasminerelay.daemon import main

    return main()


if __name__ == "__main__":
    sys.exit(daemon())
