"""Cost of telling and finding where streams began, by number of instances.

Usage: python -m bench.origins
"""

import time
import tracemalloc

from jasminerelay import peermessages
from jasminerelay.catalog import (
    BackendServer,
    Call,
    RepeatPolicy,
    Route,
    ServiceShare,
)
from jasminerelay.metrics import Counters
from jasminerelay.originlookup import OriginLookup
from jasminerelay.registry import Registry
from jasminerelay.scheduling.streamorigins import (
    ASKED,
    TOLD,
    HomeRing,
    OriginRecords,
    StreamOrigin,
)
from jasminerelay.schema.messages import Member, StreamsBegun
from jasminerelay.schema.settings import Statsd

SIZES = (6, 50, 100, 200, 400)
STREAMS = 5000
REPEATS = 3
US = 1e6
ORIGIN = StreamOrigin("language-pool", "v1.12.0")
SERVER = BackendServer(
    "i-0123456789", ORIGIN.service, "10.1.2.3:8000", "z", 64, False,
    software_version=ORIGIN.software_version,
)  # fmt: skip
ROUTE = Route(
    "chat", "h", "/", RepeatPolicy.RESUMABLE, True, 15.0, 1.0, 1.0, 0,
    (ServiceShare(ORIGIN.service, 1.0),), 2, False, True,
)  # fmt: skip


def main() -> None:
    """Prints the figures, the least of three runs each."""
    message = StreamsBegun(ORIGIN.service, ORIGIN.software_version, [2**63])
    data = peermessages.encode(message)
    print(f"a datagram to a home: {len(data)} B, {TOLD} a stream")
    print(f"an origin kept: {_record_bytes():.0f} B")
    print(f"reading a datagram: {_reading_us(data):.1f} us")
    for count in SIZES:
        members = [
            Member(f"edge-{n}/{n:012x}", "", f"zone-{n % 5}", "", "", f"h:{n}",
                   "alive", 0)
            for n in range(count)
        ]  # fmt: skip
        ring = HomeRing(members)
        print(
            f"{count} instances: ring {_ring_ms(members):.2f} ms, once for each"
            f" change of instances; homes {_homes_us(ring, TOLD):.1f} us, those"
            f" to ask {_homes_us(ring, ASKED):.1f} us; telling"
            f" {_telling_us(members):.1f} us a stream"
        )


def _least_s(run) -> float:
    found = []
    for _ in range(REPEATS):
        began = time.perf_counter()
        run()
        found.append(time.perf_counter() - began)
    return min(found)


def _ring_ms(members: list[Member]) -> float:
    return 1e3 * _least_s(lambda: HomeRing(members))


def _homes_us(ring: HomeRing, count: int) -> float:
    def run() -> None:
        for number in range(STREAMS):
            ring.homes(number * 2**51, count)

    return US * _least_s(run) / STREAMS


def _telling_us(members: list[Member]) -> float:
    """Returns the time to record a stream and to encode its datagrams."""

    def run() -> None:
        counters = Counters(Statsd())
        lookup = OriginLookup("own", "h:0", Registry(None, None), counters)
        lookup.members = lambda: members
        lookup.send = lambda address, message: peermessages.encode(message)
        for number in range(STREAMS):
            lookup.record_first_event(_call(f"{number:016x}"), SERVER)

    return US * _least_s(run) / STREAMS


def _reading_us(data: bytes) -> float:
    def run() -> None:
        records = OriginRecords()
        for number in range(STREAMS):
            message = peermessages.decode(data)
            records.add(message.keys[0] - number, ORIGIN, 0.0)

    return US * _least_s(run) / STREAMS


def _record_bytes() -> float:
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    records = OriginRecords()
    for number in range(STREAMS):
        records.add(2**62 + number, ORIGIN, number / STREAMS)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (after - before) / len(records)


def _call(attempt: str) -> Call:
    return Call(
        attempt, ROUTE, ORIGIN.service, 0, False, "elm", "POST", "h", b"/", (),
        b"", None, "", 0.0, 10.0,
    )  # fmt: skip


if __name__ == "__main__":
    main()
