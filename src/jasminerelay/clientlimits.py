"""The limits of this process on its clients, and what is said when they bind.

Reads what the machine allows where the settings state nothing.
"""

import resource
import time
from collections.abc import Callable

from jasminerelay.metrics import Counters
from jasminerelay.scheduling.clientaccount import (
    ClientAccount,
    ConnectionBounds,
)
from jasminerelay.scheduling.heldbytes import OWN_BYTES, HeldBounds

REPORT_INTERVAL_S = 5.0
"""Least time between two log lines: a crowd is closed by the thousand."""

REMEDIES = {
    "memory": (
        "requests short of their end gave way: see whose they are; more"
        " instances or memory if they are ordinary ones"
    ),
    "descriptors": (
        "connections that stood longest gave way: see whose they are; more"
        " instances or descriptors if they are ordinary ones"
    ),
}


def descriptor_limit() -> int | None:
    """Returns the process's limit of open descriptors; None for none."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return None if limit == resource.RLIM_INFINITY else limit


def apply_limits(
    account: ClientAccount,
    memory_mb: float | None,
    descriptors: int | None,
    own_bytes: int = OWN_BYTES,
) -> None:
    """Sets the bounds of an account.

    Args:
        account: The account.
        memory_mb: Memory limit in MB; None if not known.
        descriptors: Limit of open descriptors; None for that of the process.
        own_bytes: Memory that the instance needs for itself.
    """
    if descriptors is None:
        descriptors = descriptor_limit()
    account.held.bounds = HeldBounds.of_memory(memory_mb, own_bytes)
    account.bounds = ConnectionBounds.of_machine(
        memory_mb, descriptors, own_bytes
    )


class LimitReport:
    """Counts the clients that gave way, and logs them in bounded volume."""

    def __init__(
        self,
        account: ClientAccount,
        counters: Counters,
        warn: Callable[..., None],
    ):
        """Reports on an account from now on.

        Args:
            account: The account.
            counters: Counts events.
            warn: Writes a log line: its event, and fields.
        """
        self._account = account
        self._counters = counters
        self._warn = warn
        self._unsaid: dict[str, int] = {}
        self._said_at = -REPORT_INTERVAL_S
        account.on_given_way = self._given_way
        account.on_refused = lambda: counters.incr("held.refused")

    def _given_way(self, what: str) -> None:
        self._counters.incr(f"clients.short_of_{what}")
        self._unsaid[what] = self._unsaid.get(what, 0) + 1
        now = time.monotonic()
        if now - self._said_at < REPORT_INTERVAL_S:
            return
        self._said_at = now
        account = self._account
        counts, self._unsaid = self._unsaid, {}
        self._warn(
            "clients_gave_way",
            short_of=counts,
            connections=account.count,
            of_at_most=account.bounds.connections,
            short_of_an_end=len(account.short),
            held=account.held.all_bytes,
            bound=account.held.bounds.held,
            remedy=REMEDIES[what],
        )
