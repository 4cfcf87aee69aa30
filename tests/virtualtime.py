"""An event loop whose clock jumps to the next timer.

Tasks run as they are, in the same order each time, and an hour of waiting takes
no time. For models without sockets: nothing may wait for the outside.
"""

import asyncio
import selectors
import types
import unittest.mock
from collections.abc import Awaitable, Callable
from typing import Any


class _JumpingSelector(selectors.SelectSelector):
    """Lets time pass in place of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise RuntimeError("all tasks wait for what never comes")
        self.now += max(0.0, timeout)
        return super().select(0)


class _VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        return self._jumping.now


def run(
    main: Callable[[], Awaitable[Any]], modules: tuple[types.ModuleType, ...]
) -> None:
    """Runs a coroutine in virtual time.

    Args:
        main: The coroutine function.
        modules: Modules whose clocks are to show that time, too.
    """
    with asyncio.Runner(loop_factory=_VirtualLoop) as runner:
        now = runner.get_loop().time
        clock = types.SimpleNamespace(monotonic=now, time=now)
        patches = [
            unittest.mock.patch.object(module, name, shown)
            for module in modules
            for name, shown in (("time", clock), ("now_s", clock.monotonic))
            if hasattr(module, name)
        ]
        for patch in patches:
            patch.start()
        try:
            runner.run(main())
        finally:
            for patch in patches:
                patch.stop()
