"""Random configurations in series, each a small change of the one before."""

import copy
import random
from collections.abc import Callable

from standins.platformsite import HOST, MODEL_BACKEND, PLAIN_BACKEND

OTHER_MODEL_BACKEND = "engines-2"
OTHER_PLAIN_BACKEND = "bookings-2"
SERVICES = {
    "chat": (MODEL_BACKEND, OTHER_MODEL_BACKEND),
    "sheet": (MODEL_BACKEND, OTHER_MODEL_BACKEND),
    "lookup": (PLAIN_BACKEND, OTHER_PLAIN_BACKEND),
    "confirm": (PLAIN_BACKEND, OTHER_PLAIN_BACKEND),
}
"""Services of each route; the operator moves it from one to the other."""

MIN_TIMEOUT_MS = 4000
MAX_TIMEOUT_MS = 15000
MIN_IDLE_MS = 600
MAX_IDLE_MS = 15000
MAX_CHANGES = 3
"""Maximum number of changes in one configuration."""

BACK_SHARE = 0.7
"""Share of the configurations that bring back the routes and the key that the
one before has taken away."""


class ConfigurationSeries:
    """Configurations in series.

    Routes are split over two services, moved to another one and back, taken
    away and added again; so is the callers' API key. Time limits and other
    limits change.
    """

    def __init__(self, base: dict, rng: random.Random):
        """Starts with a configuration of both services of each kind.

        Args:
            base: The site's configuration.
            rng: Selects the changes.
        """
        self._rng = rng
        self._value = copy.deepcopy(base)
        services = {item["name"]: item for item in self._value["backends"]}
        for first, other in set(SERVICES.values()):
            item = {**services[first], "name": other}
            self._value["backends"].append(copy.deepcopy(item))
        self._routes = {item["name"]: item for item in self._value["routes"]}
        self._organisations = self._value.pop("tenants")
        self._gone: set[str] = set()
        self._key_gone = False
        self._changes = (
            self._split,
            self._split,
            self._move,
            self._move,
            self._toggle_route,
            self._toggle_key,
            self._change_timeout,
            self._change_timeout,
            self._change_limits,
            self._change_limits,
            self._change_capacity,
            self._add_longer_prefix,
        )

    def value(self) -> dict:
        """Returns the current configuration, without its version."""
        value = copy.deepcopy(self._value)
        del value["version"]
        value["routes"] = [
            copy.deepcopy(item)
            for name, item in self._routes.items()
            if name not in self._gone
        ]
        keys = ["another key"] if self._key_gone else None
        value["tenants"] = [
            {**item, "apiKeys": keys or item["apiKeys"]}
            for item in self._organisations
        ]
        return value

    def change(self) -> None:
        """Makes one or several changes; mostly brings back what is gone."""
        if self._rng.random() < BACK_SHARE:
            self.settle()
        for _ in range(self._rng.randint(1, MAX_CHANGES)):
            change: Callable[[], None] = self._rng.choice(self._changes)
            change()

    def settle(self) -> None:
        """Brings routes and keys back that were taken away."""
        self._gone.clear()
        self._key_gone = False

    def timeouts_s(self) -> dict[str, float]:
        """Returns the time limits by prefix."""
        return {
            item["prefix"]: item["timeoutMs"] / 1000
            for name, item in self._routes.items()
            if name not in self._gone
        }

    def _any_route(self) -> dict:
        return self._rng.choice(list(self._routes.values()))

    def _split(self) -> None:
        route = self._any_route()
        first, other = SERVICES[route["prefix"].split("/")[1]]
        route.pop("backend", None)
        weight = self._rng.uniform(0.1, 0.9)
        route["trafficSplit"] = [
            {"backend": first, "weight": weight},
            {"backend": other, "weight": 1 - weight},
        ]

    def _move(self) -> None:
        route = self._any_route()
        route.pop("trafficSplit", None)
        route["backend"] = self._rng.choice(
            SERVICES[route["prefix"].split("/")[1]]
        )

    def _toggle_route(self) -> None:
        self._gone ^= {self._rng.choice(list(self._routes))}

    def _toggle_key(self) -> None:
        self._key_gone = not self._key_gone

    def _change_timeout(self) -> None:
        self._any_route()["timeoutMs"] = self._rng.randint(
            MIN_TIMEOUT_MS, MAX_TIMEOUT_MS
        )

    def _change_limits(self) -> None:
        self._value["limits"] = {
            "maxHeaderBytes": self._rng.choice((8192, 16384, 65536)),
            "maxBodyBytes": self._rng.choice((1 << 16, 1 << 20)),
            "headerTimeoutMs": self._rng.randint(1000, 5000),
            "idleTimeoutMs": self._rng.choice(
                (MIN_IDLE_MS, 1000, 2000, 5000, MAX_IDLE_MS)
            ),
        }

    def _change_capacity(self) -> None:
        service = self._rng.choice(self._value["backends"])
        service["maxConnections"] = self._rng.choice((8, 16, 32, 64))
        if "runtime" in service:
            service["runtime"]["slotCount"] = self._rng.choice((2, 4, 8, 16))

    def _add_longer_prefix(self) -> None:
        """Adds a route within another one, or takes it away."""
        if "chat-1" in self._routes:
            del self._routes["chat-1"]
            self._gone.discard("chat-1")
            return
        self._routes["chat-1"] = {
            **copy.deepcopy(self._routes["chat"]),
            "name": "chat-1",
            "hostname": HOST,
            "prefix": "/chat/1/",
        }
