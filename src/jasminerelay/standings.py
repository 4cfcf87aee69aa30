"""What the other instances have last said of their knowledge.

Pure. Says from whom to fetch what is missing here, which instances have lost
the store, and whether a newer configuration is known somewhere.
"""

from collections.abc import Collection

from jasminerelay.freshness import Freshness
from jasminerelay.registry import Registry, Touch
from jasminerelay.schema.messages import Standing

BEHIND_S = 0.25
"""How long an instance that is behind waits for the store before it asks
another instance: the store's own word usually comes within milliseconds."""

FRESH_S = 1.5
"""Age up to which another instance's newer version counts, before it is here.
"""

ISOLATED_S = 1.5
"""Silence of all others after which an instance takes itself for cut off."""


class Standings:
    """The others' last words on their knowledge, beside the own one."""

    def __init__(self, registry: Registry, freshness: Freshness):
        """Makes it for an instance that has heard of nobody.

        Args:
            registry: The own knowledge.
            freshness: Takes the ages that others tell.
        """
        self._registry = registry
        self._freshness = freshness
        self._heard: dict[str, tuple[float, Standing]] = {}
        self._behind_since: float | None = None
        self._behind_of = ""

    def hear(
        self, sender: str, standing: Standing, now: float, at: float
    ) -> None:
        """Takes a word.

        Args:
            sender: Who said it.
            standing: Its knowledge.
            now: Steady time.
            at: The same by the clock of `freshness.now_s`.
        """
        self._heard[sender] = (now, standing)
        if self._registry.behind(standing):
            self._behind_since = self._behind_since or now
            self._behind_of = sender
        elif standing.age_ms >= 0:
            self._freshness.told(standing.age_ms / 1000, at)

    def loses_store(self, sender: str, standing: Standing) -> bool:
        """Returns whether a word is its sender's first of a lost store."""
        if standing.touch != Touch.LOST:
            return False
        heard = self._heard.get(sender)
        return heard is None or heard[1].touch != Touch.LOST

    def without_store(self) -> list[str]:
        """Returns the other instances that have lost the store."""
        return [
            name
            for name, (_, standing) in self._heard.items()
            if standing.touch == Touch.LOST
        ]

    def knows_newer(self, now: float) -> bool:
        """Returns whether another has just told of a newer configuration."""
        own = self._registry.standing.configuration_version
        return any(
            now - heard < FRESH_S and standing.configuration_version > own
            for heard, standing in self._heard.values()
        )

    def ahead(self, now: float) -> str | None:
        """Returns an instance to fetch from, once this one is behind."""
        if self._behind_since is None or now - self._behind_since < BEHIND_S:
            return None
        self._behind_since = None
        heard = self._heard.get(self._behind_of)
        if heard is None or not self._registry.behind(heard[1]):
            return None
        return self._behind_of

    def isolated(self, now: float) -> bool:
        """Returns whether all others have fallen silent."""
        if not self._heard:
            return False
        latest = max(heard for heard, _ in self._heard.values())
        return now - latest > ISOLATED_S

    def keep(self, names: Collection[str]) -> None:
        """Forgets all instances but the named ones."""
        for name in [name for name in self._heard if name not in names]:
            del self._heard[name]
