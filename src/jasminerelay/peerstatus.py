"""The versions of the data that the other instances last reported.

This module does no I/O. It decides from which instance to fetch missing data,
which instances have lost the store, and whether a newer configuration exists.
"""

from collections.abc import Mapping, Set

from jasminerelay.freshness import Freshness
from jasminerelay.registry import Registry, StoreStatus
from jasminerelay.schema.messages import ReplicaStatus

FETCH_DELAY_S = 0.25
"""How long an instance that is behind waits for the store before it fetches
from another instance. The store's own answer usually arrives within
milliseconds."""

NEWER_REPORT_VALID_S = 1.5
"""How long another instance's report of a newer configuration counts while that
configuration has not arrived here."""

ISOLATED_S = 1.5
"""Time without a message from any other instance after which an instance
considers itself isolated."""


class PeerStatusTable:
    """The other instances' latest reports, compared with the local registry.

    Attributes:
        fetches_at_once: Whether other instances forward changes to this one, so
            that it does not wait for the store before it fetches.
    """

    def __init__(self, registry: Registry, freshness: Freshness):
        """Creates the state of an instance that has received no message.

        Args:
            registry: The local data.
            freshness: Receives the ages that other instances report.
        """
        self._registry = registry
        self._freshness = freshness
        self._reports: dict[str, tuple[float, ReplicaStatus]] = {}
        self._without_store: dict[str, None] = {}
        self._behind_since: float | None = None
        self._newer_peer = ""
        self._newer_report: tuple[float, ReplicaStatus] | None = None
        self.fetches_at_once = False

    @property
    def reports(self) -> Mapping[str, tuple[float, ReplicaStatus]]:
        """Monotonic time and content of each other instance's last report."""
        return self._reports

    def record_report(
        self, sender: str, standing: ReplicaStatus, now: float, at: float
    ) -> None:
        """Records the standing that another instance reported.

        Args:
            sender: The reporting instance.
            standing: The versions, digest and age of its data.
            now: Monotonic time.
            at: Boot time at the same moment, in seconds.
        """
        self._reports[sender] = (now, standing)
        if standing.touch == StoreStatus.UNREACHABLE:
            self._without_store[sender] = None
        elif self._without_store:
            self._without_store.pop(sender, None)
        if self._registry.is_behind(standing):
            self._behind_since = self._behind_since or now
            self._newer_peer = sender
            self._newer_report = (at, standing)
        else:
            self._record_age(standing, 0.0, at)

    def record_fetch(self, at: float) -> None:
        """Records that another instance's newer data has been merged.

        If changes come in series, this instance is behind each report when it
        arrives. Its data is then as recent as that of the sender was.

        Args:
            at: Boot time, in seconds.
        """
        if self._newer_report is None:
            return
        received_at, standing = self._newer_report
        if not self._registry.is_behind(standing):
            self._newer_report = None
            self._record_age(standing, at - received_at, at)

    def _record_age(
        self, standing: ReplicaStatus, elapsed_s: float, at: float
    ) -> None:
        if standing.age_ms >= 0 and self._registry.shares_era_with(standing):
            age_s = standing.age_ms / 1000 + elapsed_s
            self._freshness.record_peer_age(age_s, at)

    def reports_store_loss(self, sender: str, standing: ReplicaStatus) -> bool:
        """Returns whether a sender newly reports that it has lost the store."""
        if standing.touch != StoreStatus.UNREACHABLE:
            return False
        report = self._reports.get(sender)
        return report is None or report[1].touch != StoreStatus.UNREACHABLE

    def without_store(self) -> list[str]:
        """Returns the other instances that have lost the store."""
        return list(self._without_store)

    def newer_configuration_reported(self, now: float) -> bool:
        """Returns whether a newer configuration was reported recently."""
        return any(
            now - received_at < NEWER_REPORT_VALID_S
            and self._registry.lacks_configuration_of(standing)
            for received_at, standing in self._reports.values()
        )

    @property
    def is_behind(self) -> bool:
        """Whether an instance has reported newer data."""
        return self._behind_since is not None

    def fetch_source(self, now: float) -> str | None:
        """Returns the instance to fetch from; None if there is none now.

        There is one once this instance has been behind for long enough.
        """
        at_once = self.fetches_at_once or not self._registry.complete
        delay_s = 0.0 if at_once else FETCH_DELAY_S
        if self._behind_since is None or now - self._behind_since < delay_s:
            return None
        self._behind_since = None
        report = self._reports.get(self._newer_peer)
        if report is None or not self._registry.is_behind(report[1]):
            return None
        return self._newer_peer

    def isolated(self, now: float) -> bool:
        """Returns whether no other instance has sent a message lately."""
        if not self._reports:
            return False
        latest = max(received_at for received_at, _ in self._reports.values())
        return now - latest > ISOLATED_S

    def retain(self, names: Set[str]) -> None:
        """Drops the reports of all instances but the named ones."""
        for name in self._reports.keys() - names:
            del self._reports[name]
            self._without_store.pop(name, None)
