"""A router for language-model traffic with service levels and priorities.

It exports the coordination components for use in other programs; see
docs/EMBEDDING.md for runnable examples.
"""

import importlib
from typing import Any

_MODULES = {
    "BurnRecorder": "burn",
    "BorrowedBalance": "limits",
    "Broker": "broker",
    "TokenBucket": "limits",
    "Candidate": "serverselection",
    "Cell": "manifest",
    "Decision": "broker",
    "Directory": "manifest",
    "Dispatcher": "dispatcher",
    "LengthEstimator": "lengthestimate",
    "Limit": "limits",
    "Membership": "membership",
    "Outcome": "outcome",
    "Permit": "broker",
    "PrefixIndex": "prefix",
    "ConfigProblem": "errors",
    "Registry": "registry",
    "RelayError": "errors",
    "ResumePoint": "resume",
    "RetryBudget": "retry",
    "Sample": "burn",
    "SharedRetryBudget": "sharedbudget",
    "Signer": "resume",
    "ServerSplit": "groups",
    "AdoptedManifest": "adoptedmanifest",
    "State": "outcome",
    "Stragglers": "stragglers",
    "Tier": "fairqueue",
    "WindowTotals": "burn",
    "QueuedRequest": "fairqueue",
    "Workload": "workload",
    "block_hashes": "prefix",
    "select_server": "serverselection",
}
"""Module of each public name. Modules are imported on first use: a daemon needs
only a few of them, and lazy imports halve its start time."""

__all__ = list(_MODULES)

__version__ = "0.1.0"


def __getattr__(name: str) -> Any:
    """Imports the module of a public name on first use."""
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    module = importlib.import_module(f"jasminerelay.{_MODULES[name]}")
    return getattr(module, name)


def __dir__() -> list[str]:
    """Returns the public names."""
    return [*globals(), *_MODULES]
