"""Measures the slopes from which docs/CAPACITY.md is worked out.

Each measurement takes a part at four sizes or more, fits a straight line and
prints slope, intercept and the largest error of the fit. Processor time is
this process's own, so other load on the machine matters little.
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
from bench.fakes import MODELS, make_cell, make_queued_request, manifest_text
from jasminerelay import burn, manifest
from jasminerelay.broker import Broker
from jasminerelay.membership import ALIVE, Membership
from jasminerelay.metrics import Counters, Invariants
from jasminerelay.permits import PermitDesk
from jasminerelay.prefix import PrefixIndex
from jasminerelay.schema.messages import (
    Ask,
    BrokerFrame,
    EntryFrame,
    Gossip,
    Grant,
    Held,
    LoadReport,
    ManifestPointer,
    Member,
    Release,
)
from jasminerelay.schema.settings import Statsd
from jasminerelay.spread import Spread
from jasminerelay.watchdog import Watchdog

PROBES = 400
STREAMS = 92
SEED = 1


@dataclasses.dataclass(frozen=True)
class Slope:
    """A fitted line.

    Attributes:
        name: What was measured.
        unit: Unit of the figures.
        per: What the size counts.
        points: Sizes and figures.
        slope: Figure for each one more.
        intercept: Figure at size 0.
        error: Largest distance of a point from the line, relative to the
            largest figure.
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
    """Measures at each size, the least of three, and fits a line."""
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
    """Returns every slope."""
    return [
        fit(name, unit, per, list(sizes), measure)
        for name, unit, per, sizes, measure in _MEASUREMENTS
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


def _bytes_held(make: Callable[[], object]) -> float:
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = make()
    gc.collect()
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del kept
    return held


def _member(number: int) -> Member:
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


def _view(count: int) -> Membership:
    view = Membership(_member(0), 2.0, random.Random(SEED))
    view.seed([_member(number) for number in range(1, count)], 0.0)
    return view


def _probe(count: int) -> float:
    """A probe, its answer's reading, and another's probe answered."""
    view, other = _view(count), _view(count)
    other.own = _member(1)
    clock = iter(range(10**9))

    def step() -> None:
        now = float(next(clock)) * 1e-3
        for sent in view.probe(now):
            data = msgspec.msgpack.encode(sent.gossip)
            gossip = msgspec.msgpack.decode(data, type=type(sent.gossip))
            for answer in other.receive(gossip, now):
                view.receive(answer.gossip, now)

    return _cpu_us(step, PROBES)


def _bytes(count: int) -> float:
    view = _view(count)
    sizes = []
    for number in range(PROBES):
        # Some members change all the time: 79 restarts and failures a day
        # are far fewer than one in each probe.
        if number % 20 == 0:
            view.receive(
                _gossip_of(_member(number % (count - 1) + 1), number), 0.0
            )
        sizes += [
            len(msgspec.msgpack.encode(sent.gossip)) + 28
            for sent in view.probe(float(number))
        ]
        view._probed = None
    return sum(sizes) / len(sizes)


def _gossip_of(member: Member, beat: int):
    changed = dataclasses.replace(member, incarnation=f"1{beat:013d}-abcdef01")
    return Gossip("ack", changed, [], [], ManifestPointer(1, "0" * 64))


def _members(count: int) -> float:
    return _bytes_held(lambda: _view(count))


def _serve(broker: Broker, clock, organisations: int = 10) -> None:
    number = next(clock)
    now = number * 1e-3
    broker.ask(make_queued_request(number, organisations, now), now)
    for decision in broker.step(now):
        message = decision.message
        if isinstance(message, Grant):
            broker.release(
                Release(message.ask_id, "pool/0", 20.0, False, 0.01), now
            )
    broker.step(now)


def _broker_servers(count: int) -> float:
    broker, clock = Broker(make_cell(count)), iter(range(10**9))
    return _cpu_us(lambda: _serve(broker, clock), 2000)


def _broker_waiting(count: int) -> float:
    broker = Broker(make_cell(8, slots=1))
    for number in range(8):
        broker.hold(
            Held(f"h{number}", "pool/0", f"s{number}", 1, False), "e", 0
        )
    for number in range(count):
        broker.ask(make_queued_request(10**8 + number, 10, 0.0), 0.0)
    holding = iter(range(10**9))

    def serve() -> None:
        number = next(holding)
        broker.release(Release(f"h{number}", "pool/0", 1.0, False, 0.0), 0.0)
        broker.step(0.0)
        broker.ask(make_queued_request(number, 10, 0.0), 0.0)
        for decision in broker.step(0.0):
            del decision
        broker.hold(
            Held(f"h{number + 8}", "pool/0", f"s{number % 8}", 1, False), "e", 0
        )

    return _cpu_us(serve, 500)


def _broker_organisations(count: int) -> float:
    broker, clock = Broker(make_cell(8)), iter(range(10**9))
    return _cpu_us(lambda: _serve(broker, clock, count), 4000)


def _broker_memory(count: int) -> float:
    def make() -> Broker:
        broker = Broker(make_cell(8, slots=1))
        for number in range(count):
            broker.ask(make_queued_request(number, 100, 0.0), 0.0)
        return broker

    return _bytes_held(make)


def _desk_tick(instances: int) -> float:
    """A tick of a desk with the permits that one instance holds."""
    members = [_member(number) for number in range(instances)]
    counters = Counters(Statsd())
    desk = PermitDesk(
        members[0],
        lambda: members,
        lambda: None,
        lambda peer, frame: None,
        counters,
        Invariants(counters, fatal=True),
        1.0,
    )
    for number in range(STREAMS):
        cell = f"pool-{number % MODELS}/0"
        desk.adopt(Held(str(number), cell, "server", 3, False))
    clock = iter(range(10**9))
    return _cpu_us(lambda: desk._tick(float(next(clock))), 200)


def _report(permits: int) -> float:
    broker = Broker(make_cell(8, slots=32))
    for number in range(permits):
        name = f"s{number % 8}"
        broker.hold(Held(str(number), "pool/0", name, 1, False), "e", 0.0)
    report = LoadReport(permits // 8, 0, False, 0.03, 0.5)
    return _cpu_us(lambda: broker.report("s0", report, 5.0), 2000)


def _prefix_memory(count: int) -> float:
    def make() -> PrefixIndex:
        index = PrefixIndex(count)
        for number in range(count):
            index.add(f"s{number % 8}", (hash(str(number)),))
        return index

    return _bytes_held(make)


def _prefix_cpu(count: int) -> float:
    index = PrefixIndex(count)
    blocks = tuple(range(16))
    for number in range(count // 16):
        index.add(f"s{number % 8}", tuple(range(number, number + 16)))
    return _cpu_us(
        lambda: [index.matched(f"s{n}", blocks) for n in range(8)], 2000
    )


def _adopt(organisations: int, servers: int) -> float:
    text = manifest_text(organisations, servers)
    pointer = ManifestPointer(1, manifest.digest_of(text))

    def adopt() -> None:
        adopted = Spread().adopt(pointer, text)
        if not adopted:
            raise ValueError("the manifest was not adopted")

    return _cpu_us(adopt, 1)


def _manifest_memory(organisations: int) -> float:
    text = manifest_text(organisations, 100)
    return _bytes_held(lambda: manifest.parse(text, "m").unwrap())


def _ask(number: int) -> Ask:
    return Ask(
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


def _entry_frame(count: int) -> EntryFrame:
    asks = [_ask(number) for number in range(count)]
    releases = [
        Release(ask.ask_id, ask.cell, 300.0, False, 0.03) for ask in asks
    ]
    name, incarnation = "relay-0001", "00001796235603-abcdef01"
    return EntryFrame(name, incarnation, asks, [], releases, [])


def _grants(count: int) -> BrokerFrame:
    return BrokerFrame(
        [
            Grant(f"{n:032d}", "model-pool/12", "model-pool-server-0123")
            for n in range(count)
        ],
        [],
        [],
        [],
    )


def _frame(count: int) -> float:
    both = (_entry_frame(count), _grants(count))
    return sum(len(msgspec.msgpack.encode(frame)) for frame in both)


def _codec(count: int) -> float:
    entry, grants = _entry_frame(count), _grants(count)

    def both_ways() -> None:
        for frame in (entry, grants):
            data = msgspec.msgpack.encode(frame)
            msgspec.msgpack.decode(data, type=type(frame))

    return _cpu_us(both_ways, 2000)


def _burn(buckets: int) -> float:
    def make() -> burn.Book:
        book = burn.Book()
        for number in range(buckets):
            sample = burn.Sample(
                f"class-{number % 5}", "completed", True, 0.5, 10, {}
            )
            book.add(sample, number // 5 * 60.0)
        return book

    return _bytes_held(make)


def _watchdog(waits: int) -> float:
    watchdog = Watchdog()
    for _ in range(waits):
        watchdog.guard(lambda: None).arm(1000.0)
    return _cpu_us(lambda: watchdog.check(time.monotonic()), 500)


_MEASUREMENTS = (
    ("gossip CPU", "us/probe", "instance", (50, 100, 200, 400), _probe),
    ("gossip bytes", "B/probe", "instance", (50, 100, 200, 400), _bytes),
    ("membership memory", "B", "instance", (50, 100, 200, 400), _members),
    ("broker CPU", "us/request", "server", (2, 4, 6, 8), _broker_servers),
    (
        "broker CPU, full cell",
        "us/request",
        "waiting request",
        (0, 50, 100, 200, 400),
        _broker_waiting,
    ),
    (
        "broker CPU",
        "us/request",
        "organisation",
        (10, 100, 450, 900, 1800),
        _broker_organisations,
    ),
    (
        "broker memory",
        "B",
        "waiting request",
        (100, 200, 400, 800),
        _broker_memory,
    ),
    (
        "desk tick CPU, 92 permits",
        "us/tick",
        "instance",
        (50, 100, 200, 400),
        _desk_tick,
    ),
    ("load report CPU", "us/report", "permit", (8, 64, 128, 256), _report),
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
        lambda n: _adopt(n, 100),
    ),
    (
        "manifest adopt CPU",
        "us",
        "backend server",
        (75, 150, 300, 600),
        lambda n: _adopt(100, n),
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
    ("permit bytes", "B/frame", "ask in a frame", (1, 2, 4, 8), _frame),
    ("permit codec CPU", "us/frame", "ask in a frame", (1, 2, 4, 8), _codec),
    ("burn memory", "B", "minute and class", (20, 60, 150, 300), _burn),
    ("watchdog CPU", "us/tick", "wait", (100, 200, 400, 800), _watchdog),
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
