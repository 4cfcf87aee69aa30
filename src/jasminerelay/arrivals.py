"""What the kernel knows of a connection that waited to be accepted.

Handles the load of callers that connect while an instance starts, or while it
cannot run: their requests may have arrived long before they are read, and some
callers have left meanwhile.
"""

import select
import socket

_LAST_DATA_RECEIVED = slice(52, 56)
"""Position of tcpi_last_data_recv in Linux's struct tcp_info, a number of
milliseconds."""

MS_PER_S = 1e3


def peer_has_closed(sock: socket.socket) -> bool:
    """Returns whether the other side has closed the connection."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


def unread_s(sock: socket.socket) -> float:
    """Returns the seconds since data last arrived; 0 if that is unknown."""
    try:
        info = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _LAST_DATA_RECEIVED.stop
        )
    except OSError:
        return 0.0
    waited_ms = int.from_bytes(info[_LAST_DATA_RECEIVED], "little")
    return waited_ms / MS_PER_S
