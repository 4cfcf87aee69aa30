"""A router for language-model traffic with service levels and priorities.

The names here are the coordination parts that other programs embed; see
docs/EMBEDDING.md for a runnable example of each.
"""

import importlib
from typing import Any

_HOMES = {
    "Book": "burn",
    "Borrower": "limits",
    "Broker": "broker",
    "Bucket": "limits",
    "Candidate": "routing",
    "Cell": "manifest",
    "Decision": "broker",
    "Directory": "manifest",
    "Dispatcher": "dispatcher",
    "Estimator": "estimate",
    "Limit": "limits",
    "Membership": "membership",
    "Outcome": "outcome",
    "Permit": "broker",
    "PrefixIndex": "prefix",
    "Problem": "errors",
    "Registry": "registry",
    "RelayError": "errors",
    "ResumePoint": "resume",
    "RetryBudget": "retry",
    "Sample": "burn",
    "SharedBudget": "sharedbudget",
    "Signer": "resume",
    "Split": "groups",
    "Spread": "spread",
    "State": "outcome",
    "Stragglers": "stragglers",
    "Tier": "ordering",
    "Totals": "burn",
    "Waiting": "ordering",
    "Workload": "workload",
    "block_hashes": "prefix",
    "choose": "routing",
}
"""Module of each public name. They are loaded when first used, since a daemon
needs few of them and starts in half the time."""

__all__ = list(_HOMES)

__version__ = "0.1.0"


def __getattr__(name: str) -> Any:
    """Loads a public name."""
    if name not in _HOMES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    module = importlib.import_module(f"jasminerelay.{_HOMES[name]}")
    return getattr(module, name)


def __dir__() -> list[str]:
    """Returns the public names."""
    return [*globals(), *_HOMES]
