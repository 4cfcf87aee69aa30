"""Runs an instance on the platform behind a stand-in network to its servers.

The network is cut as the file beside the settings file, with the suffix ".cut",
says: the name of a `servernetwork.Cut`; no cut without that file. A file with
the suffix ".peers" lists the IP addresses of the instances to which this one
can send nothing, as JSON. Usage, with the settings' path in JASMINERELAY_BOOT:
python -m standins.networkedinstance
"""

import json
import pathlib
import sys

import anyio

from jasminerelay.platform import earlyports, root
from standins.peernetwork import PeerNetwork
from standins.servernetwork import Cut, ServerNetwork

POLL_S = 0.02


class NetworkedInstance(root.Instance):
    """An instance that opens its connections to servers through a network."""

    def __init__(self, boot, path: pathlib.Path, *args, **options):
        self._cut_file = path.with_suffix(".cut")
        self._peers_file = path.with_suffix(".peers")
        self._network: ServerNetwork | None = None
        super().__init__(
            boot, path, *args, open_connection=self._open_server, **options
        )
        self._peer_network = PeerNetwork(self)
        self._peer_network.cut(self._read_peers())

    async def _open_server(self, create, host: str, port: int):
        return await self._network.open_connection(create, host, port)

    async def run(self, **options) -> None:
        """Runs the instance and its network."""
        async with anyio.create_task_group() as group:
            self._network = ServerNetwork(group)
            group.start_soon(self._follow_file)
            group.start_soon(self._follow_peers_file)
            await super().run(**options)
            group.cancel_scope.cancel()

    async def _follow_file(self) -> None:
        current = ""
        while True:
            wanted = ""
            if self._cut_file.exists():
                wanted = self._cut_file.read_text()
            if wanted != current:
                current = wanted
                self._network.heal()
                if current:
                    self._network.cut(Cut[current])
            await anyio.sleep(POLL_S)

    async def _follow_peers_file(self) -> None:
        current = self._read_peers()
        while True:
            wanted = self._read_peers()
            if wanted != current:
                current = wanted
                self._peer_network.cut(wanted)
            await anyio.sleep(POLL_S)

    def _read_peers(self) -> list[str]:
        if not self._peers_file.exists():
            return []
        return json.loads(self._peers_file.read_text())


def main() -> int:
    """Runs the instance; returns its exit status."""
    root.Instance = NetworkedInstance
    return root.main(earlyports.EarlyPorts(), None)


if __name__ == "__main__":
    sys.exit(main())
