"""Decides whether a backend server has ended, and on what evidence.

All who conclude that a server ended ask here. A refused connection says that
nothing listens at an address, or that a network between refuses: it counts only
while this instance reaches another server, or beside the word of an instance
that does. An accepted one proves only that something listens there.
"""

import dataclasses
import enum
import functools
import random
import time
from collections.abc import Awaitable, Callable, Sequence

import anyio

from jasminerelay.catalog import BackendServer
from jasminerelay.channels import ChannelPool
from jasminerelay.httpclient import (
    EndedAtOnceError,
    NotSentError,
    ServerUnreachedError,
)
from jasminerelay.metrics import Counters
from jasminerelay.scheduling.serverpaths import ServerPaths

CONNECT_TIMEOUT_S = 0.25
"""Longest wait for a connection that shows whether a server listens. A server
that neither accepts nor refuses is unreachable or unresponsive, which is no
evidence."""

ASK_TIMEOUT_S = 1.0
"""Longest wait for the word of other instances, where nobody waits for it or it
is all there is."""

PATH_TIMEOUT_S = 0.1
"""Longest wait for connections that show whether the own path is good. A
witness spends it beside its own connection, while another instance waits."""

MAX_PATH_SERVERS = 4
"""Servers that are tried to show that the own path is good; some may have
crashed, too."""

PATH_BAD_S = 0.1
"""Time for which the own path counts as bad after no server was reached."""


@dataclasses.dataclass(frozen=True)
class Ended:
    """The server has ended.

    Attributes:
        evidence: What proves it, for the log.
    """

    evidence: str


@dataclasses.dataclass(frozen=True)
class Alive:
    """Something listens at the server's address."""


@dataclasses.dataclass(frozen=True)
class Unknown:
    """Nothing is proved; no request is blamed, and nobody is told.

    Attributes:
        suspected: Whether a connection was refused, or an instance that
            reaches servers did not reach this one.
    """

    suspected: bool = False


ServerEnd = Ended | Alive | Unknown
FindEnd = Callable[[BackendServer], Awaitable[ServerEnd]]


class Word(enum.Enum):
    """What other instances say of a server."""

    REACHED = "reached"
    REFUSED = "refused"
    UNREACHED = "not reached, for another reason than a refusal"
    SILENT = "no other instance says anything"
    ALONE = "there is no other instance"


def conclude(word: Word, *, refused: bool, path_good: bool) -> ServerEnd:
    """Returns what is proved of a server that accepts no connection.

    Args:
        word: What other instances say.
        refused: Whether it refused this instance's connection.
        path_good: Whether this instance has reached another server since. It
            may yet be cut off from this one alone, so other instances that are
            there must not have reached it either.

    Example:
        >>> conclude(Word.SILENT, refused=True, path_good=True)
        Unknown(suspected=True)
        >>> conclude(Word.ALONE, refused=True, path_good=True)
        Ended(evidence='refused_here')
        >>> conclude(Word.REACHED, refused=True, path_good=True)
        Alive()
    """
    if word is Word.REACHED:
        return Alive()
    if word is Word.REFUSED:
        return Ended("refused_elsewhere")
    if refused and path_good and word is not Word.SILENT:
        return Ended("refused_here")
    return Unknown(suspected=refused or word is Word.UNREACHED)


@functools.singledispatch
def may_have_ended(end: ServerEnd) -> bool:
    """Returns whether an end in order may be that of its server.

    Where that is in doubt, a short answer must not pass for a whole one.
    """
    raise TypeError(end)


@may_have_ended.register
def _(end: Ended) -> bool:
    return True


@may_have_ended.register
def _(end: Alive) -> bool:
    return False


@may_have_ended.register
def _(end: Unknown) -> bool:
    return end.suspected


class ServerEnds:
    """Finds out whether servers have ended."""

    def __init__(
        self,
        channels: ChannelPool,
        paths: ServerPaths,
        servers: Callable[[], Sequence[BackendServer]],
        is_alone: Callable[[], bool],
        counters: Counters,
        rng: random.Random,
    ):
        """Creates it.

        Args:
            channels: Opens connections, and keeps them for requests.
            paths: What is known of the paths to servers.
            servers: Returns the servers in use.
            is_alone: Returns whether there is no other instance.
            counters: Counts results.
            rng: Chooses servers.
        """
        self._channels = channels
        self._paths = paths
        self._servers = servers
        self._is_alone = is_alone
        self._counters = counters
        self._rng = rng
        self._path_bad_until = 0.0

    async def find(
        self, server: BackendServer, ask_timeout_s: float = ASK_TIMEOUT_S
    ) -> ServerEnd:
        """Returns whether a server has ended, as far as that can be proved.

        Args:
            server: The server.
            ask_timeout_s: Longest wait for the word of other instances on a
                server that refused a connection.
        """
        end = await self._find(server, ask_timeout_s)
        self._counters.incr(f"end.{type(end).__name__.lower()}")
        return end

    async def _find(
        self, server: BackendServer, ask_timeout_s: float
    ) -> ServerEnd:
        if self._paths.relays(server.id):
            word = await self._ask_others(server, ASK_TIMEOUT_S)
            return conclude(word, refused=False, path_good=False)
        began_at = time.monotonic()
        try:
            await self._channels.confirm_directly(server, CONNECT_TIMEOUT_S)
            return Alive()
        except NotSentError as exc:
            if not exc.refused:
                return Unknown()
        word = await self._ask_others(server, ask_timeout_s)
        needed = word in (Word.UNREACHED, Word.ALONE)
        good = needed and await self.path_is_good(server, began_at)
        return conclude(word, refused=True, path_good=bool(good))

    async def path_is_good(
        self, server: BackendServer, since: float
    ) -> bool | None:
        """Returns whether this instance reaches a server other than one.

        Args:
            server: The server that was not reached.
            since: Monotonic time before the attempt to reach it.

        Returns:
            None if there is no other server.
        """
        if self._paths.last_direct_at >= since:
            return True
        others = [x for x in self._servers() if x.address != server.address]
        if not others:
            return None
        if time.monotonic() < self._path_bad_until:
            return False
        count = min(MAX_PATH_SERVERS, len(others))
        with anyio.move_on_after(PATH_TIMEOUT_S):
            async with anyio.create_task_group() as group:
                for other in self._rng.sample(others, count):
                    attempt = functools.partial(self._try_path, other, group)
                    group.start_soon(attempt)
        if self._paths.last_direct_at >= since:
            return True
        self._path_bad_until = time.monotonic() + PATH_BAD_S
        return False

    async def _try_path(
        self, server: BackendServer, group: anyio.abc.TaskGroup
    ) -> None:
        try:
            await self._channels.connect_directly(server, PATH_TIMEOUT_S)
        except NotSentError:
            return
        group.cancel_scope.cancel()

    async def _ask_others(
        self, server: BackendServer, timeout_s: float
    ) -> Word:
        if self._is_alone():
            return Word.ALONE
        try:
            with anyio.fail_after(timeout_s):
                await self._channels.confirm_relayed(server)
        except EndedAtOnceError:
            return Word.REFUSED
        except ServerUnreachedError as exc:
            return Word.REFUSED if exc.refused_there else Word.UNREACHED
        except (NotSentError, TimeoutError):
            return Word.SILENT
        return Word.REACHED
