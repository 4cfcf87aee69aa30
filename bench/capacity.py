"""Measures how costs grow with size; docs/CAPACITY.md is calculated from them.

Each benchmark measures a component at four sizes or more and fits a straight
line; the table shows slope, intercept and largest error of the fit. Processor
time is that of this process alone, so other load on the machine has little
influence.
"""

import dataclasses
import gc
import random
import time
import tracemalloc
from collections.abc import Callable

import msgspec
import numpy
import tabulate

from bench import figures
from bench.inputs import MODELS, make_cell, make_queued_request, manifest_text
from jasminerelay import burn, manifest
from jasminerelay.adoptedmanifest import AdoptedManifest
from jasminerelay.broker import Broker
from jasminerelay.membership import ALIVE, Membership
from jasminerelay.metrics import Counters, InvariantHandler
from jasminerelay.permitclient import PermitClient
from jasminerelay.prefix import PrefixIndex
from jasminerelay.schema.messages import (
    BrokerFrame,
    Gossip,
    HeldPermit,
    InstanceFrame,
    LoadReport,
    ManifestPointer,
    Member,
    PermitGrant,
    PermitRelease,
    PermitRequest,
)
from jasminerelay.schema.settings import Statsd
from jasminerelay.serverpauses import ServerPauses
from jasminerelay.watchdog import Watchdog

PROBES = 400
STREAMS = 92
SEED = 1


@dataclasses.dataclass(frozen=True)
class Slope:
    """Straight line fitted to the results of one benchmark.

    Attributes:
        name: Name of the measured quantity.
        unit: Unit of the values.
        per: Unit of the size, such as "instance".
        points: Pairs of size and measured value.
        slope: Increase of the value when the size grows by one.
        intercept: Value at size 0.
        error: Largest distance of a point from the line, relative to the
            largest value.
    """

    name: str
    unit: str
    per: str
    points: list[tuple[float, float]]
    slope: float
    intercept: float
    error: float


def fit(
    name: str,
    unit: str,
    per: str,
    sizes: list[int],
    measure: Callable[[int], float],
) -> Slope:
    """Fits a line to the minimum of three measurements at each size.

    Args:
        name: Name of the measured quantity.
        unit: Unit of the values.
        per: Unit of the size.
        sizes: Sizes to measure at.
        measure: Returns the value at a size.
    """
    points = []
    for size in sizes:
        points.append((size, min(measure(size) for _ in range(3))))
    columns = zip(*points, strict=True)
    x, y = (numpy.array(column, dtype=float) for column in columns)
    slope, intercept = numpy.polyfit(x, y, 1)
    residual = numpy.abs(y - (slope * x + intercept)).max()
    error = float(residual / max(abs(y).max(), 1e-12))
    return Slope(name, unit, per, points, float(slope), float(intercept), error)


def measure_all() -> list[Slope]:
    """Runs all benchmarks and returns their fitted lines."""
    return [
        fit(name, unit, per, list(sizes), measure)
        for name, unit, per, sizes, measure in _BENCHMARKS
    ]


def _cpu_us(action: Callable[[], object], times: int) -> float:
    gc.collect()
    gc.disable()
    started = time.process_time()
    for _ in range(times):
        action()
    used = time.process_time() - started
    gc.enable()
    return used / times * 1e6


def _retained_bytes(make: Callable[[], object]) -> float:
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    retained = make()
    gc.collect()
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del retained
    return held


def _make_member(number: int) -> Member:
    address = f"10.0.{number // 250}.{number % 250}"
    return Member(
        f"relay-{number:04d}",
        "00001796235603-abcdef01",
        f"zone-{number % 5}",
        f"{address}:8000",
        f"{address}:8001",
        f"{address}:8002",
        ALIVE,
        1000,
    )


def _membership(count: int) -> Membership:
    membership = Membership(_make_member(0), 2.0, random.Random(SEED))
    membership.add_seeds(
        [_make_member(number) for number in range(1, count)], 0.0
    )
    return membership


def _gossip_cpu(count: int) -> float:
    """CPU time of a probe: sent, answered by the other member, answer read."""
    membership, responder = _membership(count), _membership(count)
    responder.own_member = _make_member(1)
    counter = iter(range(10**9))

    def step() -> None:
        now = float(next(counter)) * 1e-3
        for sent in membership.probe(now):
            data = msgspec.msgpack.encode(sent.gossip)
            gossip = msgspec.msgpack.decode(data, type=type(sent.gossip))
            for answer in responder.receive(gossip, now):
                membership.receive(answer.gossip, now)

    return _cpu_us(step, PROBES)


def _gossip_bytes(count: int) -> float:
    membership = _membership(count)
    sizes = []
    for number in range(PROBES):
        # One change of a member in 20 probes; the 79 restarts and failures a
        # day that are expected are far fewer.
        if number % 20 == 0:
            membership.receive(
                _restart_gossip(_make_member(number % (count - 1) + 1), number),
                0.0,
            )
        # 28 bytes: headers of IPv4 and UDP.
        sizes += [
            len(msgspec.msgpack.encode(sent.gossip)) + 28
            for sent in membership.probe(float(number))
        ]
        membership._probed = None
    return sum(sizes) / len(sizes)


def _restart_gossip(member: Member, beat: int):
    changed = msgspec.structs.replace(
        member, incarnation=f"1{beat:013d}-abcdef01"
    )
    return Gossip("ack", changed, [], [], ManifestPointer(1, "0" * 64))


def _membership_memory(count: int) -> float:
    return _retained_bytes(lambda: _membership(count))


def _serve_request(broker: Broker, counter, organisations: int = 10) -> None:
    number = next(counter)
    now = number * 1e-3
    broker.enqueue(make_queued_request(number, organisations, now), now)
    for decision in broker.step(now):
        message = decision.message
        if isinstance(message, PermitGrant):
            broker.release(
                PermitRelease(message.ask_id, "pool/0", 20.0, False, 0.01), now
            )
    broker.step(now)


def _broker_cpu_by_servers(count: int) -> float:
    broker, counter = Broker(make_cell(count)), iter(range(10**9))
    return _cpu_us(lambda: _serve_request(broker, counter), 2000)


def _broker_cpu_by_waiting(count: int) -> float:
    broker = Broker(make_cell(8, slots=1))
    for number in range(8):
        broker.hold(
            HeldPermit(f"h{number}", "pool/0", f"s{number}", 1, False), "e", 0
        )
    for number in range(count):
        broker.enqueue(make_queued_request(10**8 + number, 10, 0.0), 0.0)
    numbers = iter(range(10**9))

    def serve() -> None:
        number = next(numbers)
        broker.release(
            PermitRelease(f"h{number}", "pool/0", 1.0, False, 0.0), 0.0
        )
        broker.step(0.0)
        broker.enqueue(make_queued_request(number, 10, 0.0), 0.0)
        for decision in broker.step(0.0):
            del decision
        broker.hold(
            HeldPermit(f"h{number + 8}", "pool/0", f"s{number % 8}", 1, False),
            "e",
            0,
        )

    return _cpu_us(serve, 500)


def _broker_cpu_by_organisations(count: int) -> float:
    broker, counter = Broker(make_cell(8)), iter(range(10**9))
    return _cpu_us(lambda: _serve_request(broker, counter, count), 4000)


def _broker_memory(count: int) -> float:
    def make() -> Broker:
        broker = Broker(make_cell(8, slots=1))
        for number in range(count):
            broker.enqueue(make_queued_request(number, 100, 0.0), 0.0)
        return broker

    return _retained_bytes(make)


def _permit_tick_cpu(instances: int) -> float:
    """CPU time of a tick with the permits that one instance holds."""
    members = [_make_member(number) for number in range(instances)]
    counters = Counters(Statsd())
    permit_client = PermitClient(
        members[0],
        lambda: members,
        lambda: None,
        lambda peer, frame: None,
        counters,
        InvariantHandler(counters, fatal=True),
        1.0,
        ServerPauses(counters, lambda *_, **__: None, random.Random(1)),
    )
    for number in range(STREAMS):
        cell = f"pool-{number % MODELS}/0"
        permit_client.take_over(
            HeldPermit(str(number), cell, "server", 3, False)
        )
    counter = iter(range(10**9))
    return _cpu_us(lambda: permit_client._tick(float(next(counter))), 200)


def _load_report_cpu(permits: int) -> float:
    broker = Broker(make_cell(8, slots=32))
    for number in range(permits):
        name = f"s{number % 8}"
        broker.hold(HeldPermit(str(number), "pool/0", name, 1, False), "e", 0.0)
    report = LoadReport(permits // 8, 0, False, 0.03, 0.5)
    return _cpu_us(lambda: broker.on_load_report("s0", report, 5.0), 2000)


def _prefix_memory(count: int) -> float:
    def make() -> PrefixIndex:
        index = PrefixIndex(count)
        for number in range(count):
            index.add(f"s{number % 8}", (hash(str(number)),))
        return index

    return _retained_bytes(make)


def _prefix_cpu(count: int) -> float:
    index = PrefixIndex(count)
    blocks = tuple(range(16))
    for number in range(count // 16):
        index.add(f"s{number % 8}", tuple(range(number, number + 16)))
    return _cpu_us(
        lambda: [index.matched(f"s{n}", blocks) for n in range(8)], 2000
    )


def _manifest_adopt_cpu(organisations: int, servers: int) -> float:
    text = manifest_text(organisations, servers)
    pointer = ManifestPointer(1, manifest.digest_of(text))

    def adopt() -> None:
        adopted = AdoptedManifest().adopt(pointer, text)
        if not adopted:
            raise ValueError("the generated manifest was not adopted")

    return _cpu_us(adopt, 1)


def _manifest_memory(organisations: int) -> float:
    text = manifest_text(organisations, 100)
    return _retained_bytes(lambda: manifest.parse(text, "m").unwrap())


def _make_ask(number: int) -> PermitRequest:
    return PermitRequest(
        f"{number:032d}",
        "model-pool/12",
        3,
        "organisation-0123",
        1.0,
        300.0,
        0.01,
        2.0,
        2.0,
        0.02,
        0.1,
        False,
        False,
        True,
        [2**62 + n for n in range(8)],
        [],
        "",
    )


def _entry_frame(count: int) -> InstanceFrame:
    asks = [_make_ask(number) for number in range(count)]
    releases = [
        PermitRelease(ask.ask_id, ask.cell, 300.0, False, 0.03) for ask in asks
    ]
    name, incarnation = "relay-0001", "00001796235603-abcdef01"
    return InstanceFrame(name, incarnation, asks, [], releases, [])


def _grant_frame(count: int) -> BrokerFrame:
    return BrokerFrame(
        [
            PermitGrant(f"{n:032d}", "model-pool/12", "model-pool-server-0123")
            for n in range(count)
        ],
        [],
        [],
        [],
    )


def _permit_frame_bytes(count: int) -> float:
    both = (_entry_frame(count), _grant_frame(count))
    return sum(len(msgspec.msgpack.encode(frame)) for frame in both)


def _permit_codec_cpu(count: int) -> float:
    entry, grants = _entry_frame(count), _grant_frame(count)

    def encode_and_decode() -> None:
        for frame in (entry, grants):
            data = msgspec.msgpack.encode(frame)
            msgspec.msgpack.decode(data, type=type(frame))

    return _cpu_us(encode_and_decode, 2000)


def _burn_memory(buckets: int) -> float:
    def make() -> burn.BurnRecorder:
        recorder = burn.BurnRecorder()
        for number in range(buckets):
            sample = burn.Sample(
                f"class-{number % 5}", "completed", True, 0.5, 10, {}
            )
            recorder.add(sample, number // 5 * 60.0)
        return recorder

    return _retained_bytes(make)


def _watchdog_cpu(waits: int) -> float:
    watchdog = Watchdog()
    for _ in range(waits):
        watchdog.add_guard(lambda: None).arm(1000.0)
    return _cpu_us(lambda: watchdog.check(time.monotonic()), 500)


_BENCHMARKS = (
    ("gossip CPU", "us/probe", "instance", (50, 100, 200, 400), _gossip_cpu),
    ("gossip bytes", "B/probe", "instance", (50, 100, 200, 400), _gossip_bytes),
    (
        "membership memory",
        "B",
        "instance",
        (50, 100, 200, 400),
        _membership_memory,
    ),
    (
        "broker CPU",
        "us/request",
        "server",
        (2, 4, 6, 8),
        _broker_cpu_by_servers,
    ),
    (
        "broker CPU, full cell",
        "us/request",
        "waiting request",
        (0, 50, 100, 200, 400),
        _broker_cpu_by_waiting,
    ),
    (
        "broker CPU",
        "us/request",
        "organisation",
        (10, 100, 450, 900, 1800),
        _broker_cpu_by_organisations,
    ),
    (
        "broker memory",
        "B",
        "waiting request",
        (100, 200, 400, 800),
        _broker_memory,
    ),
    (
        "permit client tick CPU, 92 permits",
        "us/tick",
        "instance",
        (50, 100, 200, 400),
        _permit_tick_cpu,
    ),
    (
        "load report CPU",
        "us/report",
        "permit",
        (8, 64, 128, 256),
        _load_report_cpu,
    ),
    (
        "prefix index memory",
        "B",
        "entry",
        (2500, 5000, 10000, 20000),
        _prefix_memory,
    ),
    (
        "prefix match CPU",
        "us/request",
        "index entry",
        (2500, 5000, 10000, 20000),
        _prefix_cpu,
    ),
    (
        "manifest adopt CPU",
        "us",
        "organisation",
        (100, 450, 900, 1800),
        lambda n: _manifest_adopt_cpu(n, 100),
    ),
    (
        "manifest adopt CPU",
        "us",
        "backend server",
        (75, 150, 300, 600),
        lambda n: _manifest_adopt_cpu(100, n),
    ),
    (
        "manifest bytes",
        "B",
        "organisation",
        (100, 450, 900, 1800),
        lambda n: len(manifest_text(n, 100)),
    ),
    (
        "manifest bytes",
        "B",
        "backend server",
        (75, 150, 300, 600),
        lambda n: len(manifest_text(100, n)),
    ),
    (
        "manifest memory",
        "B",
        "organisation",
        (100, 450, 900, 1800),
        _manifest_memory,
    ),
    (
        "permit bytes",
        "B/frame",
        "ask in a frame",
        (1, 2, 4, 8),
        _permit_frame_bytes,
    ),
    (
        "permit codec CPU",
        "us/frame",
        "ask in a frame",
        (1, 2, 4, 8),
        _permit_codec_cpu,
    ),
    ("burn memory", "B", "minute and class", (20, 60, 150, 300), _burn_memory),
    ("watchdog CPU", "us/tick", "wait", (100, 200, 400, 800), _watchdog_cpu),
)


def main() -> None:
    """Prints the slopes and, with --out, writes them as JSON."""
    parser = figures.argument_parser(__doc__)
    options = parser.parse_args()
    slopes = measure_all()
    rows = [
        {
            "part": item.name,
            "unit": item.unit,
            "for each": item.per,
            "slope": f"{item.slope:.4g}",
            "at 0": f"{item.intercept:.4g}",
            "sizes": f"{item.points[0][0]} to {item.points[-1][0]}",
            "error": f"{item.error:.1%}",
        }
        for item in slopes
    ]
    print(tabulate.tabulate(rows, headers="keys", disable_numparse=True))
    encoded = [dataclasses.asdict(item) for item in slopes]
    figures.write_json(encoded, options.out)


if __name__ == "__main__":
    main()
