"""Handling of stop signals during startup and at the end of a shutdown.

Loading a program takes a large part of a second, and several seconds on a busy
machine. An instance that receives a stop signal in that time has accepted no
request, so it exits with status 0, at once or after it has refused the callers
that wait at its ports. With the default action of the signal, a rolling restart
would report a failed unit.
"""

import contextlib
import os
import signal
import sys
from collections.abc import Callable

_STOP_LINE = b'{"event":"stop","why":"stop signal received during startup"}\n'
_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def exit_on_early_signal(
    refuse_callers: Callable[[], None] = lambda: None,
) -> None:
    """Makes the process exit with status 0 on a stop signal during startup.

    The handlers stay until the program installs its own.

    Args:
        refuse_callers: Called before the exit; refuses the connections that
            wait at ports that are already open, in a bounded time.
    """

    def exit_on_signal(number: int, frame: object) -> None:
        del number, frame
        ignore_further_signals()
        try:
            refuse_callers()
            # The reader of standard output may have exited already.
            with contextlib.suppress(OSError):
                os.write(sys.__stdout__.fileno(), _STOP_LINE)
        finally:
            os._exit(0)

    for number in _STOP_SIGNALS:
        signal.signal(number, exit_on_signal)


def ignore_further_signals() -> None:
    """Ignores all further signals, so that an almost complete stop finishes."""
    for number in (*_STOP_SIGNALS, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)
