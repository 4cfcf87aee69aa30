"""Structured log lines: bounded in volume, never in the way of work.

A line is a JSON object on standard output. Lines on trouble (refused, failed,
lost or regained dependencies) have a budget of their own, so that a flood of
ordinary ones never displaces them. What is left out is counted, and the
count stands in the next line that is written.
"""

import logging
import os
import sys
import time
from typing import Any

import msgspec

LINES_PER_S = 60.0
TROUBLE_PER_S = 120.0
BURST_S = 4.0
"""Lines a second, and for how many seconds' worth a burst may run ahead. At
some 400 bytes a line it bounds the output to 72 KB a second."""

_encode = msgspec.json.encode


class _Bucket:
    def __init__(self, rate: float):
        self._rate = rate
        self._level = rate * BURST_S
        self._at = time.monotonic()

    def take(self) -> bool:
        now = time.monotonic()
        gained = (now - self._at) * self._rate
        self._level = min(self._rate * BURST_S, self._level + gained)
        self._at = now
        if self._level < 1:
            return False
        self._level -= 1
        return True


class EventLog:
    """Writes an instance's events.

    Example:
        >>> log = EventLog("edge-1")                 # doctest: +SKIP
        >>> log.info("start", version="0.1.0")       # doctest: +SKIP
    """

    def __init__(self, instance: str, fd: int | None = None):
        """Makes the log.

        Args:
            instance: Name that each line carries.
            fd: Where lines go; standard output if None.
        """
        self._instance = instance
        self._fd = sys.stdout.fileno() if fd is None else fd
        os.set_blocking(self._fd, False)
        self._usual = _Bucket(LINES_PER_S)
        self._trouble = _Bucket(TROUBLE_PER_S)
        self._rest = b""
        self.left_out = 0
        self.written = 0

    def info(self, event: str, **fields: Any) -> None:
        """Writes an ordinary event."""
        self._write(self._usual, event, fields)

    def trouble(self, event: str, **fields: Any) -> None:
        """Writes an event that an operator will look for."""
        self._write(self._trouble, event, fields)

    def _write(
        self, bucket: _Bucket, event: str, fields: dict[str, Any]
    ) -> None:
        if not bucket.take():
            self.left_out += 1
            return
        line = {
            "at": round(time.time(), 3),
            "steady": round(time.monotonic(), 3),
            "instance": self._instance,
            "event": event,
            **fields,
        }
        if self.left_out:
            line["left_out"] = self.left_out
        self._put(_encode(line) + b"\n")

    def _put(self, line: bytes) -> None:
        # A pipe that nobody reads is full after a while. A write that blocks
        # would stop every request of the instance, so the line is dropped
        # and counted; a half-written line is completed first.
        data = self._rest + line
        try:
            done = os.write(self._fd, data)
        except (BlockingIOError, BrokenPipeError):
            self.left_out += 1
            return
        self.written += 1
        self.left_out = 0
        self._rest = data[done:] if done < len(data) else b""


class Bridge(logging.Handler):
    """Passes the lines of `logging`, libraries' among them, to the log."""

    def __init__(self, log: EventLog):
        super().__init__(logging.WARNING)
        self._log = log

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a record."""
        fields = {"logger": record.name, "message": record.getMessage()}
        if record.exc_info and record.exc_info[0] is not None:
            formatter = logging.Formatter()
            fields["trace"] = formatter.formatException(record.exc_info)
        self._log.trouble("log", level=record.levelname, **fields)
