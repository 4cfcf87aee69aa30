"""Opens an instance's ports before the rest of the program is imported.

Handles the load of callers that hold an instance's address while it starts:
their connections wait in the sockets' backlogs instead of being refused. If a
stop signal arrives during the start, the connections that wait are answered as
not run.

Imports the standard library only, since the ports must be open before any
slower import.
"""

import contextlib
import select
import socket
import time
import tomllib

SETTINGS_VARIABLE = "JASMINERELAY_BOOT"

BACKLOG = 256
"""Connections that wait at each port; the kernel drops further ones, whose
callers' kernels try again a second later."""

RECEIVE_BUFFER_BYTES = 32_768
"""Receive buffer of a connection. By itself the kernel would keep megabytes
until they are read, which count as memory of the instance."""

HEAD_WAIT_S = 0.1
"""Time for which a stop waits for the heads of requests, which carry the
attempt's id. Connections without a whole head are then answered without it."""

STOP_TIMEOUT_S = 0.2
"""Time limit for answering the connections that wait at a stop."""

RETRY_S = 0.05
"""Retry-After at a stop: other instances can serve the request at once."""

# Faults of the file, of its fields and of the addresses.
_OPEN_ERRORS = (
    OSError,
    ValueError,
    LookupError,
    TypeError,
    AttributeError,
    OverflowError,
)
_LISTEN_FIELDS = ("front", "readiness", "registry")
_ATTEMPT_ID = b"attempt-id"
_HEAD_END = b"\r\n\r\n"
_MAX_HEAD_BYTES = 65_536
_RECEIVE_BYTES = 65_536
_BODY = b"this instance is shutting down"


class EarlyPorts:
    """Listening sockets, opened for servers that start later."""

    def __init__(self) -> None:
        self._sockets: dict[str, socket.socket] = {}
        self._taken: set[str] = set()

    def open(self, path: str) -> None:
        """Listens on the addresses that the settings file names.

        Opens nothing if the file cannot be read or any address is unavailable.
        The start then goes on without early ports and reports the fault where
        it reads the settings or listens itself.

        Args:
            path: The settings file.
        """
        try:
            for address in _read_addresses(path):
                if address not in self._sockets:
                    self._sockets[address] = _bind(address)
            # No caller may connect before it is certain that all ports stay.
            for sock in self._sockets.values():
                sock.listen(BACKLOG)
        except _OPEN_ERRORS:
            self.close_unused()
            self._sockets.clear()

    def take(self, address: str) -> socket.socket | None:
        """Returns the socket that listens on an address, once.

        Args:
            address: IP:port.
        """
        if address in self._taken:
            return None
        self._taken.add(address)
        return self._sockets.get(address)

    def close_unused(self) -> None:
        """Closes the sockets that no server has taken."""
        for address, sock in self._sockets.items():
            if address not in self._taken:
                sock.close()

    def refuse_waiting(self) -> None:
        """Answers the connections in the backlogs as not run; closes the ports.

        Must not be called once a server accepts connections from the sockets.
        Takes at most STOP_TIMEOUT_S. Each connection is read until its caller
        closes it, because closing a socket with unread bytes resets the
        connection and may discard the response.
        """
        now = time.monotonic()
        refusals = _Refusals()
        for listener in self._sockets.values():
            refusals.accept_all(listener)
            # From here on callers are refused a connection, which proves that
            # their requests have not run.
            listener.close()
        refusals.run(now + HEAD_WAIT_S, now + STOP_TIMEOUT_S)


class _Refusals:
    """Connections that are being refused."""

    def __init__(self) -> None:
        self._poll = select.poll()
        self._connections: dict[int, socket.socket] = {}
        # Bytes received on connections that have not been answered yet.
        self._heads: dict[int, bytearray] = {}

    def accept_all(self, listener: socket.socket) -> None:
        """Accepts the connections that wait at a port."""
        with contextlib.suppress(OSError):
            while True:
                conn, _ = listener.accept()
                conn.setblocking(False)
                self._connections[conn.fileno()] = conn
                self._heads[conn.fileno()] = bytearray()
                self._poll.register(conn, select.POLLIN)

    def run(self, answer_by: float, close_by: float) -> None:
        """Answers each connection and reads it until its caller closes it.

        Args:
            answer_by: Time at which requests without a whole head are answered.
            close_by: Time at which the remaining connections are closed.
        """
        while self._connections:
            now = time.monotonic()
            if now >= close_by:
                break
            if now >= answer_by:
                for number in list(self._heads):
                    self._answer(number)
            timeout_s = (answer_by if self._heads else close_by) - now
            for number, _ in self._poll.poll(max(timeout_s, 0.0) * 1e3):
                self._receive(number)
        for number in list(self._connections):
            self._close(number)

    def _receive(self, number: int) -> None:
        try:
            data = self._connections[number].recv(_RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._close(number)
            return
        head = self._heads.get(number)
        if head is None:
            return
        head += data
        if _HEAD_END in head or len(head) > _MAX_HEAD_BYTES:
            self._answer(number)

    def _answer(self, number: int) -> None:
        head = self._heads.pop(number)
        conn = self._connections[number]
        try:
            conn.send(_refusal(bytes(head)))
            conn.shutdown(socket.SHUT_WR)
        except OSError:
            self._close(number)

    def _close(self, number: int) -> None:
        self._poll.unregister(number)
        self._heads.pop(number, None)
        self._connections.pop(number).close()


def _refusal(head: bytes) -> bytes:
    """Returns the response to a request that has not run."""
    lines = [
        b"HTTP/1.1 503 Service Unavailable",
        b"content-type: text/plain; charset=utf-8",
        b"content-length: %d" % len(_BODY),
        b"retry-after: %g" % RETRY_S,
        b"connection: close",
    ]
    attempt_id = _attempt_id(head)
    if attempt_id:
        lines.append(_ATTEMPT_ID + b": " + attempt_id)
    return b"\r\n".join(lines) + _HEAD_END + _BODY


def _attempt_id(head: bytes) -> bytes:
    """Returns the attempt's id if the head is whole and has a proper one."""
    fields, end, _ = head.partition(_HEAD_END)
    if not end:
        return b""
    found = []
    for line in fields.split(b"\r\n")[1:]:
        name, _, value = line.partition(b":")
        if name.lower() == _ATTEMPT_ID:
            found.append(value.strip(b" \t"))
    # An id that stands twice, or holds a line end, identifies no attempt.
    if len(found) == 1 and found[0].isascii() and _is_printable(found[0]):
        return found[0]
    return b""


def _is_printable(value: bytes) -> bool:
    return value.decode("ascii").isprintable()


def _read_addresses(path: str) -> list[str]:
    with open(path, "rb") as file:
        listen = tomllib.load(file)["listenAddrs"]
    return [listen[field] for field in _LISTEN_FIELDS]


def _bind(address: str) -> socket.socket:
    """Returns a socket bound as asyncio's servers bind theirs."""
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    # Raises OSError if it is a name, whose resolution could take seconds.
    socket.inet_pton(family, host)
    # asyncio disables Nagle's algorithm only on sockets that name the protocol.
    # With it, a response of two writes waits 40 ms for a delayed ACK.
    sock = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if family == socket.AF_INET6:
            sock.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        sock.bind((host, int(port)))
    except BaseException:
        sock.close()
        raise
    return sock
