"""Datagrams between the instances of a platform, as bytes.

Pure. Loads and demand travel as a list for each field. With a map for each
row, names of fields were two thirds of a datagram, and datagrams are most of
what instances send across availability zones.
"""

from collections.abc import Iterable

import msgspec

from jasminerelay.schema.messages import (
    DemandColumns,
    KindDemand,
    LoadColumns,
    PeerWord,
    ServerLoad,
)

encode = msgspec.msgpack.encode
_decode = msgspec.msgpack.Decoder(PeerWord).decode


def decode(data: bytes) -> PeerWord:
    """Reads a datagram.

    Raises:
        ValueError: if it cannot be read, or its lists differ in length.
    """
    word = _decode(data)
    loads, demand = word.loads, word.demand
    _check_even(
        loads.servers, loads.unread, loads.running, loads.memory, loads.token_us
    )
    _check_even(demand.kinds, demand.work, demand.size, demand.ranks)
    return word


def load_columns(loads: Iterable[ServerLoad]) -> LoadColumns:
    """Returns loads as they travel."""
    columns = LoadColumns([], [], [], [], [])
    for item in loads:
        columns.servers.append(item.server)
        columns.unread.append(item.unread)
        columns.running.append(item.running)
        columns.memory.append(item.memory)
        columns.token_us.append(item.token_us)
    return columns


def load_rows(columns: LoadColumns) -> list[ServerLoad]:
    """Returns loads that came."""
    return [
        ServerLoad(*row)
        for row in zip(
            columns.servers,
            columns.unread,
            columns.running,
            columns.memory,
            columns.token_us,
            strict=True,
        )
    ]


def demand_columns(demand: Iterable[KindDemand]) -> DemandColumns:
    """Returns demand as it travels."""
    columns = DemandColumns([], [], [], [])
    for item in demand:
        columns.kinds.append(item.kind)
        columns.work.append(item.work)
        columns.size.append(item.size)
        columns.ranks.append(item.rank)
    return columns


def demand_rows(columns: DemandColumns) -> list[KindDemand]:
    """Returns demand that came."""
    return [
        KindDemand(*row)
        for row in zip(
            columns.kinds,
            columns.work,
            columns.size,
            columns.ranks,
            strict=True,
        )
    ]


def _check_even(*lists: list) -> None:
    if len({len(item) for item in lists}) != 1:
        raise ValueError("lists of a datagram differ in length")
