"""Event counters and the handling of violated invariants."""

import collections
import logging
import os
from typing import TYPE_CHECKING

from jasminerelay.errors import InvariantError

if TYPE_CHECKING:
    import statsd

    from jasminerelay.schema.settings import Statsd

_log = logging.getLogger(__name__)

EXIT_INVARIANT = 70


class Counters:
    """Counts events; each flush sends the increments to statsd in a batch."""

    def __init__(self, cfg: "Statsd | None" = None):
        """Creates the counters.

        Args:
            cfg: The statsd server; None for none.
        """
        self._client = _statsd_client(cfg) if cfg and cfg.host else None
        self._totals: collections.Counter[str] = collections.Counter()
        self._sent: collections.Counter[str] = collections.Counter()

    def incr(self, name: str, count: int = 1) -> None:
        """Increments a counter."""
        self._totals[name] += count

    def snapshot(self) -> dict[str, int]:
        """Returns the counts since the process started."""
        return dict(sorted(self._totals.items()))

    def flush(self) -> None:
        """Sends the increments since the last flush to statsd."""
        if self._client is None:
            return
        with self._client.pipeline() as pipe:
            for name, total in self._totals.items():
                if total != self._sent[name]:
                    pipe.incr(name, total - self._sent[name])
        self._sent = self._totals.copy()


def _statsd_client(cfg: "Statsd") -> "statsd.StatsClient":
    # Imported here since instances on the platform have no statsd server.
    import statsd

    return statsd.StatsClient(cfg.host, cfg.port, prefix=cfg.prefix)


class InvariantHandler:
    """Handles violated invariants."""

    def __init__(self, counters: Counters, *, fatal: bool):
        self._counters = counters
        self._fatal = fatal

    def report(self, exc: InvariantError) -> None:
        """Counts and logs a violation; ends the process if it is fatal.

        The setting fatal_invariants, used in tests, makes violations fatal.
        """
        self._counters.incr("invariant.violated")
        _log.error("invariant violated: %s", exc)
        if self._fatal:
            logging.shutdown()
            os._exit(EXIT_INVARIANT)
