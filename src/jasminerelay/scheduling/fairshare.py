"""Weighted max-min shares of capacity among organisations.

Load handled: one organisation sends many times its usual load, or several
compete for too little capacity, within one rank.

This is start-time fair queueing with a counter of work per organisation. The
request to serve next is one of the waiting organisation with the lowest usage.
The virtual time follows the lowest usage of the waiting organisations, and an
organisation that was idle starts there: it could otherwise save up its share
and then starve the others. Capacity that an organisation leaves unused is
therefore free for the others, who owe nothing for it later.
"""

MIN_RECORDS_BEFORE_PRUNING = 64


class FairShares:
    """Usage of the organisations that share one kind of capacity.

    Attributes:
        virtual_time: Usage at which an idle organisation starts.

    Example:
        >>> shares = FairShares()
        >>> shares.activate("large")
        >>> shares.charge("large", 5.0)
        >>> shares.activate("small")
        >>> shares.usage("small")
        5.0
        >>> shares.charge("small", 1.0)
        >>> shares.usage("small") > shares.usage("large")
        True
    """

    def __init__(self) -> None:
        self.virtual_time = 0.0
        self._waiting: dict[str, int] = {}
        self._usage: dict[str, float] = {}
        self._prune_at = MIN_RECORDS_BEFORE_PRUNING

    def __len__(self) -> int:
        """Returns the number of organisations with a record."""
        return len(self._usage)

    def activate(self, organisation: str) -> None:
        """Records that a request of an organisation waits."""
        count = self._waiting.get(organisation, 0)
        self._waiting[organisation] = count + 1
        if not count:
            self._usage[organisation] = max(
                self.usage(organisation), self.virtual_time
            )

    def deactivate(self, organisation: str) -> None:
        """Records that a request of an organisation waits no longer."""
        count = self._waiting[organisation] - 1
        if count:
            self._waiting[organisation] = count
        else:
            del self._waiting[organisation]

    def waiting(self, organisation: str) -> int:
        """Returns the number of waiting requests of an organisation."""
        return self._waiting.get(organisation, 0)

    def usage(self, organisation: str) -> float:
        """Returns the work charged to an organisation, divided by its weight.

        It counts from the virtual time at which the organisation was last idle.
        """
        return self._usage.get(organisation, self.virtual_time)

    def charge(
        self, organisation: str, work: float, weight: float = 1.0
    ) -> None:
        """Charges work to an organisation.

        Args:
            organisation: Organisation that used the capacity.
            work: Estimate at the placement, or a later correction, which may
                be negative.
            weight: Share of the organisation relative to others. It is passed
                with each charge, because a correction may come after the
                organisation's record was dropped.
        """
        usage = self.usage(organisation) + work / weight
        self._usage[organisation] = usage
        lowest = min((self._usage[x] for x in self._waiting), default=usage)
        self.virtual_time = max(self.virtual_time, lowest)
        if len(self._usage) > self._prune_at:
            self._prune_idle()

    def _prune_idle(self) -> None:
        # activate() would raise the usage of these organisations to the virtual
        # time anyway.
        self._usage = {
            name: usage
            for name, usage in self._usage.items()
            if name in self._waiting or usage > self.virtual_time
        }
        # Doubling bounds the mean cost of a charge if few can be dropped.
        self._prune_at = max(MIN_RECORDS_BEFORE_PRUNING, 2 * len(self._usage))
