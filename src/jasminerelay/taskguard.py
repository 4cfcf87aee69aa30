"""Keeps an instance running when one of its tasks, or one message, fails.

All tasks of an instance share a task group, whose first failure ends the
process and breaks off every other request.
"""

import logging
import traceback
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import anyio

from jasminerelay.errors import InvariantError
from jasminerelay.metrics import Counters

RESTART_PAUSE_S = 0.5
"""Pause before a task that has failed starts again."""


class WarningLog(Protocol):
    """Where failures are logged."""

    def warn(self, event: str, **fields: Any) -> None:
        """Logs an event with its fields."""


class FailureLog:
    """Writes failures to a logger of the standard library."""

    def __init__(self, log: logging.Logger):
        self._log = log

    def warn(self, event: str, **fields: Any) -> None:
        """Logs an event with its fields."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._log.warning("%s %s", event, text)


class TaskGuard:
    """Logs the failures of tasks and of handlers, and goes on.

    Violated invariants still pass: whoever has made them fatal wants the
    process to end.

    Example:
        >>> guard = TaskGuard(counters, log)         # doctest: +SKIP
        >>> await guard.keep_running("drains", run)  # doctest: +SKIP
        >>> guard.handle("datagram", receive, data)  # doctest: +SKIP
    """

    def __init__(self, counters: Counters, log: WarningLog):
        """Creates a guard.

        Args:
            counters: Counts the failures.
            log: Logs them.
        """
        self._counters = counters
        self._log = log

    async def keep_running(
        self, name: str, task: Callable[..., Awaitable[None]], *args: Any
    ) -> None:
        """Runs a task until it returns, and starts it again if it fails.

        Args:
            name: Its name in the log.
            task: Coroutine function that may start more than once.
            *args: Its arguments.
        """
        while True:
            try:
                await task(*args)
            except InvariantError:
                raise
            except Exception:
                self._counters.incr("task.failed")
                self._log.warn(
                    "task_failed", task=name, trace=traceback.format_exc()
                )
                await anyio.sleep(RESTART_PAUSE_S)
            else:
                return

    async def attempt(
        self, what: str, action: Callable[..., Awaitable[None]], *args: Any
    ) -> None:
        """Runs an action once; logs its failure.

        Args:
            what: What it does, for the log.
            action: Coroutine function.
            *args: Its arguments.
        """
        try:
            await action(*args)
        except InvariantError:
            raise
        except Exception:
            self._counters.incr("task.failed")
            self._log.warn(
                "task_failed", task=what, trace=traceback.format_exc()
            )

    def handle(
        self, what: str, handler: Callable[..., object], *args: Any
    ) -> bool:
        """Calls a handler; returns false if it failed, and drops its message.

        Args:
            what: The kind of message, for the log.
            handler: Handles the message.
            *args: Its arguments.
        """
        try:
            handler(*args)
        except InvariantError:
            raise
        except Exception:
            self._counters.incr("message.dropped")
            self._log.warn(
                "message_dropped", kind=what, trace=traceback.format_exc()
            )
            return False
        return True
