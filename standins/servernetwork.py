"""Stand-in for the network between an instance and the backend servers.

An instance opens its connections to servers through it. A cut separates it from
all servers, in one of the ways in which networks fail; callers, the store and
other instances still reach the instance.
"""

import asyncio
import enum
from collections.abc import Callable

import anyio

from standins.launcher import own_address
from standins.link import Link


class Cut(enum.Enum):
    """What happens to connections during a cut."""

    HANG = "all connections, open and new ones, hang"
    RESET = "open ones are reset, new ones refused"
    NEW_HANG = "open ones live on, new ones hang"
    NEW_REFUSED = "open ones live on, new ones are refused"


class ServerNetwork:
    """The paths of one instance to all servers.

    Attributes:
        opened: Number of connections that were opened.
        failed: Number of connections that a cut kept from being opened.
    """

    def __init__(self, group: anyio.abc.TaskGroup):
        """Creates a network without cuts.

        Args:
            group: Runs the links.
        """
        self._group = group
        self._links: dict[str, Link] = {}
        self._addresses: dict[str, str] = {}
        self._cut: Cut | None = None
        self._healed = anyio.Event()
        self.opened = 0
        self.failed = 0

    def cut(self, kind: Cut) -> None:
        """Cuts the instance off from all servers."""
        self._cut = kind
        for link in self._links.values():
            if kind is Cut.HANG:
                link.faults.silent = True
            elif kind is Cut.RESET:
                link.reset()

    def heal(self) -> None:
        """Ends the cut."""
        if self._cut is None:
            return
        was, self._cut = self._cut, None
        for link in self._links.values():
            if was is Cut.HANG:
                # Bytes were dropped, so open connections can't go on.
                link.faults.silent = False
                link.reset()
        self._healed.set()
        self._healed = anyio.Event()

    async def open_connection(
        self, create: Callable[[], asyncio.Protocol], host: str, port: int
    ) -> tuple[asyncio.Transport, asyncio.Protocol]:
        """Opens a connection, as `netstream.open_connection` does."""
        if self._cut in (Cut.RESET, Cut.NEW_REFUSED):
            self.failed += 1
            raise ConnectionRefusedError("cut off")
        if self._cut is not None:
            self.failed += 1
            await self._healed.wait()
        # A link listens also for a server that does not.
        _, probe = await asyncio.open_connection(host, port)
        probe.close()
        address = await self._link_to(f"{host}:{port}")
        link_host, _, link_port = address.rpartition(":")
        self.opened += 1
        return await asyncio.get_running_loop().create_connection(
            create, link_host, int(link_port)
        )

    async def _link_to(self, target: str) -> str:
        if target not in self._links:
            address = own_address()
            link = Link(address, target)
            self._links[target] = link
            self._addresses[target] = address
            self._group.start_soon(link.serve)
            await link.listening.wait()
        await self._links[target].listening.wait()
        return self._addresses[target]
