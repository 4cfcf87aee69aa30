"""Signals that come before a program listens to them, and after.

Loading a program takes a good part of a second, several on a busy machine. An
instance that is told to stop in that time has accepted nothing, so it ends in
order at once; by the signal's default action a rolling restart would report a
failed unit.
"""

import contextlib
import os
import signal
import sys

_STOP_LINE = b'{"event":"stop","why":"told to stop while it was starting"}\n'
_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def answer_early() -> None:
    """Ends the process in order when it is told to stop while it starts.

    Holds until the program listens to the signals itself.
    """
    for number in _STOP_SIGNALS:
        signal.signal(number, _end)


def ignore_late() -> None:
    """Lets a stop that is almost done go on, whatever signal comes."""
    for number in (*_STOP_SIGNALS, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)


def _end(number: int, frame: object) -> None:
    del number, frame
    # Whoever read the lines may be gone, and then nobody is to be told.
    with contextlib.suppress(OSError):
        os.write(sys.__stdout__.fileno(), _STOP_LINE)
    os._exit(0)
