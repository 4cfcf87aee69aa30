"""Finds out which servers an instance reaches, where requests do not show it.

Servers that are out of reach are tried directly from time to time. A server
that owes answers and sends nothing may be out of reach as well: its open
connections hang, and as long as no new one is opened nothing shows that. An
instance without requests learns from those that it should relay.
"""

from collections.abc import Callable, Iterable

import anyio

from jasminerelay.catalog import BackendServer
from jasminerelay.channels import ChannelPool
from jasminerelay.scheduling.serverpaths import ServerPaths

CHECK_INTERVAL_S = 1.0
"""Minimum interval between checks of servers in doubt."""


class PathProbes:
    """Opens connections to servers in doubt."""

    def __init__(
        self,
        paths: ServerPaths,
        channels: ChannelPool,
        find_server: Callable[[str], BackendServer | None],
        silent_servers: Callable[[float], Iterable[str]],
    ):
        """Creates the probes.

        Args:
            paths: What is known of the paths.
            channels: Opens the connections.
            find_server: Returns the server of an id; None if it has ended.
            silent_servers: Returns the servers that owe answers and send
                nothing at a monotonic time.
        """
        self._paths = paths
        self._channels = channels
        self._find_server = find_server
        self._silent_servers = silent_servers
        self._next_check_at = 0.0
        self._group: anyio.abc.TaskGroup | None = None
        self._doubtful: set[str] = set()

    async def run(self) -> None:
        """Runs the probes that `tick` starts, until cancelled."""
        async with anyio.create_task_group() as self._group:
            await anyio.sleep_forever()

    def doubt(self, server: str) -> None:
        """Has a server checked that was not reached for another instance."""
        self._doubtful.add(server)

    def tick(self, now: float) -> None:
        """Starts the probes that are due; called several times a second."""
        if self._group is not None:
            self._try_again(now, self._group)
            self._check_doubtful(now, self._group)

    def _try_again(self, now: float, group: anyio.abc.TaskGroup) -> None:
        name = self._paths.next_probe(now)
        if name is None:
            return
        server = self._find_server(name)
        if server is None:
            self._paths.forget(name)
        else:
            group.start_soon(self._channels.probe_directly, server)

    def _check_doubtful(self, now: float, group: anyio.abc.TaskGroup) -> None:
        if now < self._next_check_at:
            return
        doubtful, self._doubtful = self._doubtful, set()
        for name in (*doubtful, *self._silent_servers(now)):
            server = self._find_server(name)
            if server is not None and not self._paths.relays(name):
                self._next_check_at = now + CHECK_INTERVAL_S
                group.start_soon(self._channels.check_path, server)
                return
