"""Datagrams between the instances of a platform, as bytes.

Pure. Loads and demand travel as a list for each field. With a map for each
row, names of fields were two thirds of a datagram, and datagrams are most of
what instances send across availability zones.
"""

import functools
import math
from collections.abc import Iterable

import msgspec

from jasminerelay.schema.messages import (
    CrashWord,
    DemandColumns,
    DutyWord,
    KindDemand,
    LimitWord,
    LoadColumns,
    OwnerWord,
    PeerWord,
    PlaceWord,
    ServerLoad,
)

PLACE_MARK = b"\x01"
OWNER_MARK = b"\x02"
CRASH_MARK = b"\x03"
LIMIT_MARK = b"\x04"
DUTY_MARK = b"\x05"
"""First bytes that tell the kinds of datagrams apart; one without is a
`PeerWord`, whose first byte is that of a map."""

Word = PeerWord | PlaceWord | OwnerWord | CrashWord | LimitWord | DutyWord

_encode = msgspec.msgpack.encode
_decode_peer = msgspec.msgpack.Decoder(PeerWord).decode
_decode_place = msgspec.msgpack.Decoder(PlaceWord).decode
_decode_owner = msgspec.msgpack.Decoder(OwnerWord).decode
_decode_crash = msgspec.msgpack.Decoder(CrashWord).decode
_decode_limit = msgspec.msgpack.Decoder(LimitWord).decode
_decode_duty = msgspec.msgpack.Decoder(DutyWord).decode


@functools.singledispatch
def encode(word: Word) -> bytes:
    """Writes a datagram."""
    return _encode(word)


@encode.register
def _(word: PlaceWord) -> bytes:
    return PLACE_MARK + _encode(word)


@encode.register
def _(word: OwnerWord) -> bytes:
    return OWNER_MARK + _encode(word)


@encode.register
def _(word: CrashWord) -> bytes:
    return CRASH_MARK + _encode(word)


@encode.register
def _(word: LimitWord) -> bytes:
    return LIMIT_MARK + _encode(word)


@encode.register
def _(word: DutyWord) -> bytes:
    return DUTY_MARK + _encode(word)


def decode(data: bytes) -> Word:
    """Reads a datagram.

    Raises:
        ValueError: if it cannot be read, or its lists differ in length.
    """
    mark = data[:1]
    if mark == PLACE_MARK:
        return _checked_place(_decode_place(data[1:]))
    if mark == OWNER_MARK:
        return _decode_owner(data[1:])
    if mark == CRASH_MARK:
        return _checked_crash(_decode_crash(data[1:]))
    if mark == LIMIT_MARK:
        return _checked_limit(_decode_limit(data[1:]))
    if mark == DUTY_MARK:
        return _checked_duty(_decode_duty(data[1:]))
    return _checked_peer(_decode_peer(data))


def _checked_place(word: PlaceWord) -> PlaceWord:
    for ask in word.asks:
        _check_even(ask.parts, ask.part_tokens)
    return word


def _checked_crash(word: CrashWord) -> CrashWord:
    for item in word.requests:
        _check_even(item.servers, item.ages_ms)
    return word


def _checked_limit(word: LimitWord) -> LimitWord:
    for item in word.limits:
        if not math.isfinite(item.rate):
            raise ValueError("a limit of a datagram is no number")
    return word


def _checked_duty(word: DutyWord) -> DutyWord:
    for item in word.usage:
        _check_even(item.organisations, item.counts)
    _check_demand(word.demand)
    return word


def _checked_peer(word: PeerWord) -> PeerWord:
    loads, demand = word.loads, word.demand
    _check_even(
        loads.servers, loads.unread, loads.running, loads.memory, loads.token_us
    )
    _check_demand(demand)
    return word


def _check_demand(demand: DemandColumns) -> None:
    _check_even(demand.kinds, demand.work, demand.size, demand.ranks)


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
