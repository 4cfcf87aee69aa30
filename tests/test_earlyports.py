"""Tests of the ports that are open before the program is imported."""

import asyncio
import pathlib
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest

from jasminerelay.platform import earlyports
from jasminerelay.platform.earlyports import EarlyPorts
from standins.launcher import ROOT, free_address

REQUEST = b"POST /a HTTP/1.1\r\nhost: h\r\nAttempt-Id: a7\r\n\r\n"
LARGE_BODY_BYTES = 4_000_000
UNUSED_MODULES = (
    "_hashlib",
    "_posixsubprocess",
    "_ssl",
    "click",
    "importlib.resources",
    "json.decoder",
    "jsonschema",
    "logging.handlers",
    "prometheus_client",
    "statsd",
    "uvicorn.main",
)
"""Modules that neither the start nor the first request needs."""

LIST_PROGRAM_IMPORTS = """
import sys
from jasminerelay.platform import start

def list_modules(frame, event, argument):
    here = frame.f_globals.get("__name__"), frame.f_code.co_name
    if event == "call" and here == ("jasminerelay.platform.root", "main"):
        print(*sys.modules)
        sys.exit()

sys.setprofile(list_modules)
start.main()
"""

MAX_STOP_S = 0.3
"""Bound of the page (0.2 s), with a margin for a busy machine."""

LIST_IMPORTS = """
import sys
sys.path.insert(0, sys.argv[1])
import jasminerelay.platform.earlyports
modules = [name.partition(".")[0] for name in sys.modules]
print(*{*modules} - {*sys.stdlib_module_names, "__main__", "jasminerelay"})
"""


class EarlyPortsCase(unittest.TestCase):
    """Opens ports for callers in this process."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory(prefix="jasminerelay-")
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "boot.toml"
        self.addresses = [free_address() for _ in range(3)]
        self.ports = EarlyPorts()
        self.addCleanup(self.ports.close_unused)

    def open(self, front: object = None) -> None:
        """Opens the ports, with another value for the first if given."""
        fields = ("front", "readiness", "registry")
        values = [repr(front or self.addresses[0])]
        values += [repr(item) for item in self.addresses[1:]]
        lines = [
            f"{name} = {value}"
            for name, value in zip(fields, values, strict=True)
        ]
        self.path.write_text("\n".join(["[listenAddrs]", *lines]))
        self.ports.open(str(self.path))

    def connect(self, address: str = "") -> socket.socket:
        """Returns a caller's connection."""
        host, _, port = (address or self.addresses[0]).rpartition(":")
        conn = socket.create_connection((host, int(port)), timeout=5.0)
        self.addCleanup(conn.close)
        return conn

    def assert_nothing_listens(self) -> None:
        for address in self.addresses:
            with self.assertRaises(ConnectionRefusedError):
                self.connect(address)


class EarlyPortsTest(EarlyPortsCase):
    """Callers connect while an instance starts."""

    def test_only_the_standard_library_is_imported(self) -> None:
        # Guards against ports that open late because of a slow import.
        done = subprocess.run(
            [sys.executable, "-S", "-c", LIST_IMPORTS, str(ROOT / "src")],
            capture_output=True,
            text=True,
            check=True,
        )
        self.assertEqual(done.stdout.split(), [])

    def test_unused_packages_are_not_imported(self) -> None:
        # Guards against a slow start: an instance has a fraction of a core.
        done = subprocess.run(
            [sys.executable, "-c", LIST_PROGRAM_IMPORTS],
            capture_output=True,
            text=True,
            check=True,
        )
        imported = set(done.stdout.split())
        self.assertEqual(imported & {*UNUSED_MODULES}, set())

    def test_callers_connect_before_a_server_exists(self) -> None:
        # Guards against "connection refused" while an instance starts.
        self.open()
        for address in self.addresses:
            self.connect(address)
            sock = self.ports.take(address)
            self.addCleanup(sock.close)
            sock.accept()[0].close()
            # A second server on one address must fail as it always did.
            self.assertIsNone(self.ports.take(address))

    def test_writes_to_callers_are_not_delayed(self) -> None:
        # Guards against Nagle's algorithm on callers' connections, which
        # holds the second write of a response back by 40 ms.
        found = []

        class Noting(asyncio.Protocol):
            def connection_made(self, transport) -> None:
                raw = transport.get_extra_info("socket")
                found.append(
                    raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
                )

        async def serve() -> None:
            server = await asyncio.get_running_loop().create_server(
                Noting, sock=self.ports.take(self.addresses[0])
            )
            async with server:
                while not found:
                    await asyncio.sleep(0.01)

        self.open()
        self.connect()
        asyncio.run(asyncio.wait_for(serve(), 5.0))
        self.assertNotEqual(found, [0])

    def test_addresses_that_no_server_takes_are_closed(self) -> None:
        # Guards against callers that wait for a server that never comes: the
        # settings named other addresses when the ports were opened.
        self.open()
        self.ports.close_unused()
        self.assert_nothing_listens()

    def test_settings_unreadable(self) -> None:
        # Guards against a start that fails at faulty settings before it has
        # reported the fault.
        self.ports.open("/nowhere/boot.toml")
        for front in (3, "somewhere:80", "127.0.0.1:none", "127.0.0.1:99999"):
            self.open(front)
        self.path.write_bytes(b"\xff = [")
        self.ports.open(str(self.path))
        self.assert_nothing_listens()

    def test_address_taken(self) -> None:
        # Guards against callers that connect to an instance that is about to
        # end because another program listens on one of its addresses.
        host, _, port = self.addresses[2].rpartition(":")
        with socket.create_server((host, int(port))):
            self.open()
            for address in self.addresses[:2]:
                with self.assertRaises(ConnectionRefusedError):
                    self.connect(address)
                self.assertIsNone(self.ports.take(address))


class RefusalTest(EarlyPortsCase):
    """A stop signal while callers wait at the ports."""

    def refuse(self) -> None:
        """Refuses the waiting connections; fails if that takes too long."""
        started = time.monotonic()
        self.ports.refuse_waiting()
        self.assertLess(time.monotonic() - started, MAX_STOP_S)

    def assert_refused(self, conn: socket.socket) -> bytes:
        """Asserts that a connection gets one refusal and ends properly."""
        data = b""
        while part := conn.recv(65_536):
            data += part
        self.assertTrue(data.startswith(b"HTTP/1.1 503 "), data)
        self.assertIn(b"\r\nretry-after: 0.05\r\n", data)
        self.assertTrue(data.endswith(b"\r\n\r\n" + earlyports._BODY), data)
        return data

    def test_waiting_requests_are_refused_as_not_run(self) -> None:
        # Guards against requests lost with a closed connection, which says
        # nothing about whether they ran, although they have not.
        self.open()
        conns = [self.connect(item) for item in self.addresses for _ in (0, 1)]
        for conn in conns:
            conn.sendall(REQUEST)
        self.refuse()
        for conn in conns:
            head = self.assert_refused(conn)
            self.assertIn(b"\r\nattempt-id: a7\r\n", head)
        self.assert_nothing_listens()

    def test_improper_ids_are_not_repeated(self) -> None:
        # Guards against bytes of a request that become fields of its refusal,
        # and against a refusal that names one of two ids.
        self.open()
        for line in (
            b"Attempt-Id: a7\nSet-Cookie: x",
            b"Attempt-Id: a7\rSet-Cookie: x",
            b"Attempt-Id: a7\r\nAttempt-Id: a8",
        ):
            conn = self.connect()
            conn.sendall(b"POST / HTTP/1.1\r\n" + line + b"\r\n\r\n")
            self.refuse_one(conn)

    def refuse_one(self, conn: socket.socket) -> None:
        """Refuses one connection, without an id."""
        self.refuse()
        data = self.assert_refused(conn)
        self.assertNotIn(b"attempt-id", data)
        self.assertNotIn(b"Set-Cookie", data)
        self.ports = EarlyPorts()
        self.open()

    def test_unread_body_does_not_reset_the_connection(self) -> None:
        # Guards against a response lost by a reset: the kernel sends one when
        # a socket with unread bytes is closed, and the caller still writes.
        self.open()
        conn = self.connect()
        faults = []

        def write() -> None:
            try:
                conn.sendall(REQUEST + b"x" * LARGE_BODY_BYTES)
            except OSError as exc:
                faults.append(exc)

        writer = threading.Thread(target=write)
        writer.start()
        time.sleep(0.05)
        self.refuse()
        writer.join()
        self.assertEqual(faults, [])
        self.assert_refused(conn)

    def test_silent_connections_do_not_prolong_the_stop(self) -> None:
        # Guards against a stop that waits for callers that send nothing, or
        # half a head, and never close their connections.
        self.open()
        conns = [self.connect() for _ in range(3)]
        conns[1].sendall(REQUEST[:20])
        self.refuse()
        for conn in conns:
            self.assert_refused(conn)


if __name__ == "__main__":
    unittest.main()
