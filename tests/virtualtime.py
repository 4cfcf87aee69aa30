"""An event loop with a virtual clock that advances to the next timer.

Tasks run unchanged and in a deterministic order, and waiting takes no real
time. The code under test must not use sockets or wait for external events.
"""

import asyncio
import selectors
import types
import unittest.mock
from collections.abc import Awaitable, Callable
from typing import Any


class _VirtualTimeSelector(selectors.SelectSelector):
    """Selector that advances the virtual clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise RuntimeError("deadlock: all tasks wait and no timer is set")
        self.now += max(0.0, timeout)
        return super().select(0)


class _VirtualTimeLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        return self._virtual_selector.now


def run(
    main: Callable[[], Awaitable[Any]], modules: tuple[types.ModuleType, ...]
) -> None:
    """Runs a coroutine function in virtual time.

    Args:
        main: Coroutine function to run.
        modules: Modules whose clocks are patched to show the virtual time.
    """
    with asyncio.Runner(loop_factory=_VirtualTimeLoop) as runner:
        now = runner.get_loop().time
        clock = types.SimpleNamespace(monotonic=now, time=now)
        patches = [
            unittest.mock.patch.object(module, name, replacement)
            for module in modules
            for name, replacement in (
                ("time", clock),
                ("now_s", clock.monotonic),
            )
            if hasattr(module, name)
        ]
        for patch in patches:
            patch.start()
        try:
            runner.run(main())
        finally:
            for patch in patches:
                patch.stop()
