"""Structured, rate-limited logging that never blocks.

Each line is a JSON object on standard output. Warnings (refused or failed
requests, dependencies lost or regained) have a rate limit of their own, so
that a flood of informational lines never displaces them. Dropped lines are
counted, and the next written line carries the count.
"""

import logging
import os
import sys
import time
from typing import Any

import msgspec

INFO_LINES_PER_S = 60.0
WARNING_LINES_PER_S = 120.0
BURST_S = 4.0
"""Sustained rates, and burst capacity in seconds of the rate. At about 400
bytes a line, the output stays below 72 KB a second."""

_encode = msgspec.json.encode


class _TokenBucket:
    def __init__(self, rate: float):
        self._rate = rate
        self._level = rate * BURST_S
        self._refilled_at = time.monotonic()

    def take(self) -> bool:
        now = time.monotonic()
        refill = (now - self._refilled_at) * self._rate
        self._level = min(self._rate * BURST_S, self._level + refill)
        self._refilled_at = now
        if self._level < 1:
            return False
        self._level -= 1
        return True


class EventLog:
    """Writes an instance's events as JSON lines.

    Example:
        >>> log = EventLog("edge-1")                 # doctest: +SKIP
        >>> log.info("start", version="0.1.0")       # doctest: +SKIP
    """

    def __init__(self, instance: str, fd: int | None = None):
        """Initializes the log.

        Args:
            instance: Instance name written in each line.
            fd: File descriptor to write to; standard output if None.
        """
        self._instance = instance
        self._fd = sys.stdout.fileno() if fd is None else fd
        os.set_blocking(self._fd, False)
        self._info_bucket = _TokenBucket(INFO_LINES_PER_S)
        self._warning_bucket = _TokenBucket(WARNING_LINES_PER_S)
        self._unwritten = b""
        self.left_out = 0
        self.written = 0

    def info(self, event: str, **fields: Any) -> None:
        """Writes an informational event."""
        self._write(self._info_bucket, event, fields)

    def warn(self, event: str, **fields: Any) -> None:
        """Writes a warning: an event that operators need to see."""
        self._write(self._warning_bucket, event, fields)

    def _write(
        self, bucket: _TokenBucket, event: str, fields: dict[str, Any]
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
        self._write_line(_encode_line(line) + b"\n")

    def _write_line(self, line: bytes) -> None:
        # A pipe whose reader has stopped fills up. A blocking write would
        # stall every request of the instance, so the line is dropped and
        # counted instead. The rest of a partly written line goes first.
        data = self._unwritten + line
        try:
            done = os.write(self._fd, data)
        except (BlockingIOError, BrokenPipeError):
            self.left_out += 1
            return
        self.written += 1
        self.left_out = 0
        self._unwritten = data[done:] if done < len(data) else b""


def _encode_line(line: dict[str, Any]) -> bytes:
    try:
        return _encode(line)
    except (TypeError, ValueError, OverflowError):
        # A field may hold what was received, such as text that UTF-8 cannot
        # represent; the event must be logged all the same.
        return _encode({name: ascii(value) for name, value in line.items()})


class EventLogHandler(logging.Handler):
    """Forwards warnings and errors from `logging` to the event log.

    This includes the records of libraries.
    """

    def __init__(self, log: EventLog):
        super().__init__(logging.WARNING)
        self._log = log

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a record to the event log."""
        fields = {"logger": record.name, "message": record.getMessage()}
        if record.exc_info and record.exc_info[0] is not None:
            formatter = logging.Formatter()
            fields["trace"] = formatter.formatException(record.exc_info)
        self._log.warn("log", level=record.levelname, **fields)
