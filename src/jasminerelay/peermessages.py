"""Encoding of the datagrams between the instances of a platform.

This module does no I/O. Loads and demand are encoded as one list for each
field. With a map for each row, field names were two thirds of a datagram, and
datagrams are most of the traffic of instances across availability zones.
"""

import functools
import math
from collections.abc import Iterable, Iterator, Sequence
from typing import TypeVar

import msgspec

from jasminerelay import foreignbytes
from jasminerelay.errors import ForeignDataError
from jasminerelay.schema.messages import (
    CellUpdate,
    CrashedServers,
    CrashReport,
    DemandColumns,
    DrainMessage,
    DutyMessage,
    HandoverRequest,
    HandoverTotals,
    LimitMessage,
    LoadColumns,
    OriginAnswer,
    OriginQuery,
    OwnerAnswers,
    PeerMessage,
    RouteDemand,
    ServerLoad,
    StreamsBegun,
    UsageWindow,
)

PLACE_TAG = b"\x01"
OWNER_TAG = b"\x02"
CRASH_TAG = b"\x03"
LIMIT_TAG = b"\x04"
DUTY_TAG = b"\x05"
DRAIN_TAG = b"\x06"
HANDOVER_REQUEST_TAG = b"\x07"
HANDOVER_TOTALS_TAG = b"\x08"
CRASHED_SERVERS_TAG = b"\x09"
STREAMS_BEGUN_TAG = b"\x0a"
ORIGIN_QUERY_TAG = b"\x0b"
ORIGIN_ANSWER_TAG = b"\x0c"
"""First bytes that distinguish the kinds of datagrams. The periodic message to
other instances has none; it starts with the first byte of a map."""

Message = (
    PeerMessage
    | CellUpdate
    | OwnerAnswers
    | CrashReport
    | LimitMessage
    | DutyMessage
    | DrainMessage
    | HandoverRequest
    | HandoverTotals
    | CrashedServers
    | StreamsBegun
    | OriginQuery
    | OriginAnswer
)

ENCODE_ERRORS = (OverflowError, TypeError, ValueError, msgspec.MsgspecError)
"""Errors of a message that cannot be encoded, as of a whole number of more than
64 bits."""

_Item = TypeVar("_Item")

_encode = msgspec.msgpack.encode
_decode_peer = foreignbytes.msgpack_reader(PeerMessage)
_decode_place = foreignbytes.msgpack_reader(CellUpdate)
_decode_owner = foreignbytes.msgpack_reader(OwnerAnswers)
_decode_crash = foreignbytes.msgpack_reader(CrashReport)
_decode_limit = foreignbytes.msgpack_reader(LimitMessage)
_decode_duty = foreignbytes.msgpack_reader(DutyMessage)
_decode_drain = foreignbytes.msgpack_reader(DrainMessage)
_decode_crashed_servers = foreignbytes.msgpack_reader(CrashedServers)
_decode_streams_begun = foreignbytes.msgpack_reader(StreamsBegun)
_decode_origin_query = foreignbytes.msgpack_reader(OriginQuery)
_decode_origin_answer = foreignbytes.msgpack_reader(OriginAnswer)
_decode_handover_request = foreignbytes.msgpack_reader(HandoverRequest)
_decode_handover_totals = foreignbytes.msgpack_reader(HandoverTotals)


@functools.singledispatch
def encode(message: Message) -> bytes:
    """Encodes a message as a datagram."""
    return _encode(message)


@encode.register
def _(message: CellUpdate) -> bytes:
    return PLACE_TAG + _encode(message)


@encode.register
def _(message: OwnerAnswers) -> bytes:
    return OWNER_TAG + _encode(message)


@encode.register
def _(message: CrashReport) -> bytes:
    return CRASH_TAG + _encode(message)


@encode.register
def _(message: LimitMessage) -> bytes:
    return LIMIT_TAG + _encode(message)


@encode.register
def _(message: DutyMessage) -> bytes:
    return DUTY_TAG + _encode(message)


@encode.register
def _(message: DrainMessage) -> bytes:
    return DRAIN_TAG + _encode(message)


@encode.register
def _(message: HandoverRequest) -> bytes:
    return HANDOVER_REQUEST_TAG + _encode(message)


@encode.register
def _(message: HandoverTotals) -> bytes:
    return HANDOVER_TOTALS_TAG + _encode(message)


@encode.register
def _(message: CrashedServers) -> bytes:
    return CRASHED_SERVERS_TAG + _encode(message)


@encode.register
def _(message: StreamsBegun) -> bytes:
    return STREAMS_BEGUN_TAG + _encode(message)


@encode.register
def _(message: OriginQuery) -> bytes:
    return ORIGIN_QUERY_TAG + _encode(message)


@encode.register
def _(message: OriginAnswer) -> bytes:
    return ORIGIN_ANSWER_TAG + _encode(message)


def decode(data: bytes) -> Message:
    """Decodes a datagram.

    Raises:
        ForeignDataError: if it is malformed, or its lists differ in length.
    """
    mark = data[:1]
    if mark == PLACE_TAG:
        return _checked_place(_decode_place(data[1:]))
    if mark == OWNER_TAG:
        return _decode_owner(data[1:])
    if mark == CRASH_TAG:
        return _checked_crash(_decode_crash(data[1:]))
    if mark == LIMIT_TAG:
        return _checked_limit(_decode_limit(data[1:]))
    if mark == DUTY_TAG:
        return _checked_duty(_decode_duty(data[1:]))
    if mark == DRAIN_TAG:
        return _decode_drain(data[1:])
    if mark == HANDOVER_REQUEST_TAG:
        return _decode_handover_request(data[1:])
    if mark == HANDOVER_TOTALS_TAG:
        return _checked_handover(_decode_handover_totals(data[1:]))
    if mark == CRASHED_SERVERS_TAG:
        return _checked_crashed(_decode_crashed_servers(data[1:]))
    if mark == STREAMS_BEGUN_TAG:
        return _decode_streams_begun(data[1:])
    if mark == ORIGIN_QUERY_TAG:
        return _decode_origin_query(data[1:])
    if mark == ORIGIN_ANSWER_TAG:
        return _decode_origin_answer(data[1:])
    return _checked_peer(_decode_peer(data))


def without_load(message: PeerMessage) -> PeerMessage:
    """Returns a periodic message without the figures of its sender's load."""
    return msgspec.structs.replace(
        message,
        loads=load_columns([]),
        demand=demand_columns([]),
        samples=[],
        queues=[],
        cached=[],
    )


def in_parts(items: Sequence[_Item], most: int) -> Iterator[list[_Item]]:
    """Splits a list into parts that each fit into one datagram.

        >>> list(in_parts([1, 2, 3], 2))
        [[1, 2], [3]]

    Args:
        items: The list.
        most: Largest number of items in a datagram.
    """
    for start in range(0, len(items), most):
        yield list(items[start : start + most])


def _checked_place(message: CellUpdate) -> CellUpdate:
    for placement in message.asks:
        _check_equal_lengths(placement.parts, placement.part_tokens)
    return message


def _checked_crash(message: CrashReport) -> CrashReport:
    for item in message.requests:
        _check_equal_lengths(item.servers, item.ages_ms)
    return message


def _checked_limit(message: LimitMessage) -> LimitMessage:
    for item in message.limits:
        if not math.isfinite(item.rate):
            raise ForeignDataError(
                "rate limit in a datagram is not a finite number"
            )
    return message


def _checked_crashed(message: CrashedServers) -> CrashedServers:
    _check_equal_lengths(message.servers, message.sources, message.ages_ms)
    return message


def _checked_handover(message: HandoverTotals) -> HandoverTotals:
    _check_equal_lengths(message.instances, message.windows)
    _check_usage(message.windows)
    return message


def _checked_duty(message: DutyMessage) -> DutyMessage:
    _check_usage(message.usage)
    _check_demand(message.demand)
    return message


def _checked_peer(message: PeerMessage) -> PeerMessage:
    loads, demand = message.loads, message.demand
    _check_equal_lengths(
        loads.servers, loads.unread, loads.running, loads.memory, loads.token_us
    )
    _check_demand(demand)
    return message


def _check_usage(usage: Iterable[UsageWindow]) -> None:
    for item in usage:
        _check_equal_lengths(item.organisations, item.counts)


def _check_demand(demand: DemandColumns) -> None:
    _check_equal_lengths(demand.kinds, demand.work, demand.size, demand.ranks)


def load_columns(loads: Iterable[ServerLoad]) -> LoadColumns:
    """Converts loads to lists, one for each field."""
    columns = LoadColumns([], [], [], [], [])
    for item in loads:
        columns.servers.append(item.server)
        columns.unread.append(item.unread)
        columns.running.append(item.running)
        columns.memory.append(item.memory)
        columns.token_us.append(item.token_us)
    return columns


def load_rows(columns: LoadColumns) -> list[ServerLoad]:
    """Converts lists of fields back to loads."""
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


def demand_columns(demand: Iterable[RouteDemand]) -> DemandColumns:
    """Converts demand to lists, one for each field."""
    columns = DemandColumns([], [], [], [])
    for item in demand:
        columns.kinds.append(item.kind)
        columns.work.append(item.work)
        columns.size.append(item.size)
        columns.ranks.append(item.rank)
    return columns


def demand_rows(columns: DemandColumns) -> list[RouteDemand]:
    """Converts lists of fields back to demand."""
    return [
        RouteDemand(*row)
        for row in zip(
            columns.kinds,
            columns.work,
            columns.size,
            columns.ranks,
            strict=True,
        )
    ]


def _check_equal_lengths(*lists: list) -> None:
    if len({len(item) for item in lists}) != 1:
        raise ForeignDataError("lists in a datagram differ in length")
