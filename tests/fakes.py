"""Builders of domain objects for tests of modules without I/O."""

from typing import Any

from jasminerelay.fairqueue import QueuedRequest
from jasminerelay.manifest import Cell
from jasminerelay.schema.manifest import Server
from jasminerelay.schema.messages import PermitRelease


def server(name: str, slots: int = 2, zone: str = "a", **fields: Any) -> Server:
    """Returns a backend server."""
    return Server(name, "127.0.0.1:1", zone, slots, **fields)


def cell(
    *servers: Server, max_waiting: int = 100, name: str = "pool/0"
) -> Cell:
    """Returns a cell."""
    return Cell(name, tuple(servers), max_waiting)


def waiting(ask_id: str, **fields: Any) -> QueuedRequest:
    """Returns a queued request; fields not given have default values."""
    values: dict[str, Any] = {
        "entry": "entry",
        "rank": 1,
        "organisation": "org",
        "weight": 1.0,
        "work": 10.0,
        "arrived_at": 0.0,
        "deadline": 1.0,
        "expires_at": 1000.0,
        "protected": False,
        "floor_share": 0.0,
    }
    return QueuedRequest(ask_id, **{**values, **fields})


def release(ask_id: str, **fields: Any) -> PermitRelease:
    """Returns the release of a permit."""
    values = {"tokens": 10.0, "failed": False, "step_s": 0.0}
    return PermitRelease(ask_id, "pool/0", **{**values, **fields})
