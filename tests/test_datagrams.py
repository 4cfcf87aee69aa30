"""Datagrams to addresses that another program or instance stated."""

import unittest

import anyio

from jasminerelay.addresses import split_address
from jasminerelay.datagrams import DatagramSocket
from standins.launcher import free_address

ODD_ADDRESSES = (
    "[fe80::1%\x00]:80",
    "fe80::1%\x00:80",
    f"[fe80::1%{'é' * 100}]:80",
    "10.0.0.1:80\n",
    "10.0.0.1:" + "9" * 5000,
    "10.0.0.1:0",
    "[::1]:80",
    "255.255.255.255:9",
    "a.name:80",
    "x" * 100_000,
    "",
)


class OddAddressTest(unittest.IsolatedAsyncioTestCase):
    """Addresses at which nothing can listen."""

    async def test_socket_stays_open(self) -> None:
        # Guards against an instance that one address in a row or message ends.
        received: list[bytes] = []
        errors: list[Exception] = []
        own = free_address()
        socket = DatagramSocket(received.append, errors.append)
        async with anyio.create_task_group() as group:
            group.start_soon(socket.run, own)
            await anyio.sleep(0.05)
            for address in ODD_ADDRESSES:
                socket.send(address, b"odd")
            await anyio.sleep(0.05)
            self.assertTrue(socket.send(own, b"usual"))
            with anyio.fail_after(5.0):
                while not received:
                    await anyio.sleep(0.01)
            group.cancel_scope.cancel()
        self.assertEqual(received, [b"usual"])
        self.assertEqual(len(errors), len(ODD_ADDRESSES))

    def test_only_ascii(self) -> None:
        # Guards against a scope that no socket accepts.
        for address in ODD_ADDRESSES[:4]:
            with self.subTest(address), self.assertRaises(ValueError):
                split_address(address)


if __name__ == "__main__":
    unittest.main()
