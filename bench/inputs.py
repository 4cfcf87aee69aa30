"""Synthetic inputs for benchmarks of single components."""

import hashlib

from jasminerelay.fairqueue import QueuedRequest
from jasminerelay.manifest import Cell
from jasminerelay.schema.manifest import Server

MODELS = 19
CLASSES = 5


def make_cell(servers: int, slots: int = 8) -> Cell:
    """Returns a cell of servers that differ only in name and zone."""
    server_list = tuple(
        Server(f"s{number}", "127.0.0.1:1", f"zone-{number % 5}", slots)
        for number in range(servers)
    )
    return Cell("pool/0", server_list, 2000)


def make_queued_request(
    number: int, organisations: int, now: float
) -> QueuedRequest:
    """Returns a queued request.

    Args:
        number: Number that determines id, class, instance and organisation.
        organisations: Number of organisations to spread the requests over.
        now: Current time in seconds.
    """
    rank = number % CLASSES + 1
    return QueuedRequest(
        f"{number:016d}",
        f"relay-{number % 400}",
        rank,
        f"organisation-{number % organisations}",
        1.0,
        100.0,
        now,
        now + rank,
        now + 1000.0,
        rank == 1,
        0.02,
        0.0,
        prefixes=tuple(range(number % 7, number % 7 + 8)),
    )


def manifest_text(organisations: int, servers: int) -> str:
    """Returns a manifest with this many organisations and backend servers."""
    parts = [
        f'[[classes]]\nname = "class-{n}"\nrank = {n + 1}\n'
        f"target_s = {n + 1}.0\n"
        for n in range(CLASSES)
    ]
    parts += [
        f'[[organisations]]\nname = "organisation-{n:04d}"\nkey_digests ='
        f' ["{hashlib.sha256(str(n).encode()).hexdigest()}"]\n'
        "tokens_per_s = 1000.0\n"
        for n in range(organisations)
    ]
    parts += [
        f'[[request_types]]\nname = "type-{n}"\nclass_name ='
        f' "class-{n % CLASSES}"\nmodels = ["model-{n}"]\n'
        for n in range(MODELS)
    ]
    for pool in range(MODELS):
        parts.append(
            f'[[pools]]\nname = "pool-{pool}"\nmodels = ["model-{pool}"]\n'
        )
        parts += [
            f'[[pools.servers]]\nname = "server-{n:04d}"\naddress ='
            f' "10.1.{n // 250}.{n % 250}:8000"\nzone = "zone-{n % 5}"\n'
            "slots = 64\nresume = true\n"
            for n in range(pool, servers, MODELS)
        ]
    return "\n".join(parts)
