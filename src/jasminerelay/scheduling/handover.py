"""Decides whether a silent server or another one goes on with an answer."""

import enum
from collections.abc import Callable


class _State(enum.Enum):
    OPEN = enum.auto()
    KEPT = enum.auto()
    TAKEN = enum.auto()


class Handover:
    """Gives an answer to whichever of two servers comes first.

    The silent server comes with its next byte, the other one with its
    acceptance of the request. What the one that comes second sends is not used.

    Attributes:
        on_kept: Called once if the silent server goes on.
        on_taken: Called once if the other one does.
    """

    def __init__(self) -> None:
        self._state = _State.OPEN
        self.on_kept: Callable[[], None] = lambda: None
        self.on_taken: Callable[[], None] = lambda: None

    @property
    def open(self) -> bool:
        """Whether neither server has come yet."""
        return self._state is _State.OPEN

    @property
    def kept(self) -> bool:
        """Whether the silent server goes on."""
        return self._state is _State.KEPT

    @property
    def taken(self) -> bool:
        """Whether the other server goes on."""
        return self._state is _State.TAKEN

    def keep(self) -> bool:
        """Notes a byte of the silent server; returns whether it goes on."""
        if self.open:
            self._state = _State.KEPT
            self.on_kept()
        return self.kept

    def take(self) -> bool:
        """Notes the other server's acceptance; returns whether it goes on."""
        if self.open:
            self._state = _State.TAKEN
            self.on_taken()
        return self.taken
