"""Stand-in for the network between an instance and the other instances.

What an instance sends to an address that is cut off is lost, and its calls
there hang. A cut in one direction is one that only the sender has.
"""

from collections.abc import Iterable

import anyio

from jasminerelay.httpclient import (
    HttpRequest,
    HttpResponse,
    IncompleteExchangeError,
    NotSentError,
)
from jasminerelay.platform.root import Instance

CALL_TIMEOUT_S = 1.0


class PeerNetwork:
    """The paths of one instance to the others.

    Attributes:
        lost: Number of datagrams that were lost.
    """

    def __init__(self, instance: Instance):
        """Takes over what an instance sends to others.

        Args:
            instance: The instance, which does not run yet.
        """
        self._hosts: frozenset[str] = frozenset()
        self._healed = anyio.Event()
        self.lost = 0
        socket = instance._peers._socket
        self._send = socket.send
        socket.send = self._send_datagram
        self._call = instance.client.call
        instance.client.call = self._call_peer
        relays = instance._channels._relays
        self._open = relays.open
        relays.open = self._open_relayed

    def cut(self, hosts: Iterable[str]) -> None:
        """Cuts the instance off from some others; from none with no host.

        Args:
            hosts: IP addresses of the others.
        """
        self._hosts = frozenset(hosts)
        self._healed.set()
        self._healed = anyio.Event()

    def _is_cut(self, address: str) -> bool:
        return address.rpartition(":")[0] in self._hosts

    def _send_datagram(self, address: str, data: bytes) -> bool:
        if self._is_cut(address):
            self.lost += 1
            return True
        return self._send(address, data)

    async def _call_peer(self, exchange: HttpRequest) -> HttpResponse:
        address = exchange.url.split("/", 3)[2]
        if self._is_cut(address):
            with anyio.move_on_after(CALL_TIMEOUT_S):
                await self._healed.wait()
            raise IncompleteExchangeError("cut off")
        return await self._call(exchange)

    async def _open_relayed(self, server, **options):
        if self._hosts:
            await anyio.sleep(CALL_TIMEOUT_S)
            raise NotSentError("cut off")
        return await self._open(server, **options)
