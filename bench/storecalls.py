"""Counts the calls that instances make to the platform's store, by kind.

Several instances run in this process before the stand-in site: all start at
once, servers come and go, the store rejects some instances and then all, and
one instance starts beside the others.

    python -m bench.storecalls [--instances 17] [--scale 1.0]
"""

import argparse
import collections
import itertools
import json
import logging
import pathlib
import tempfile
from urllib.parse import parse_qs, urlsplit

import anyio

from jasminerelay.httpclient import HttpResponse
from jasminerelay.platform import bootfile
from jasminerelay.platform.root import Instance
from standins.platformsite import MODEL_BACKEND, PlatformSite, SiteOptions

CHANGE_INTERVAL_S = 0.5
REJECTED_INSTANCES = 5


class CallCounter:
    """Counts an instance's calls, and rejects them on command.

    Attributes:
        rejects: Whether calls are answered with 503.
    """

    def __init__(self, name: str, instance: Instance, calls, phase):
        self.rejects = False
        self._name = name
        self._calls = calls
        self._phase = phase
        self._store = f"http://{instance.boot.store}/"
        self._call = instance.client.call
        instance.client.call = self._count

    async def _count(self, exchange):
        if not exchange.url.startswith(self._store):
            return await self._call(exchange)
        outcome = "rejected" if self.rejects else "answered"
        kind = _kind(exchange)
        self._calls[self._phase(), self._name, kind, outcome] += 1
        if self.rejects:
            await anyio.sleep(0.004)
            return HttpResponse(503, {}, b"")
        return await self._call(exchange)


def _kind(exchange) -> str:
    url = urlsplit(exchange.url)
    operation = url.path.rpartition("/")[2]
    if operation == "rows-tx":
        body = json.loads(exchange.body)
        return f"write {(body['write'] or body['remove'])[0]['table']}"
    query = parse_qs(url.query)
    table = query["table"][0]
    if operation == "rows-get":
        return f"read {table}"
    waits = "waiting" if int(query["waitMs"][0]) else "immediate"
    return f"changes {table}, {waits}"


class Day:
    """A day of faults and its calls.

    Attributes:
        calls: Number of calls by phase, instance, kind and outcome.
    """

    def __init__(self, count: int, scale: float):
        self.calls = collections.Counter()
        self._count = count
        self._scale = scale
        self._phase = ""
        self._counters: list[CallCounter] = []
        self._names = itertools.count(1)

    async def run(self) -> None:
        """Runs the whole day."""
        options = SiteOptions(engines=4, plain=2, duties=True)
        with tempfile.TemporaryDirectory(prefix="jasminerelay-") as folder:
            site = PlatformSite(options, pathlib.Path(folder))
            async with site.running(), anyio.create_task_group() as group:
                await self._play(site, group)
                group.cancel_scope.cancel()

    async def _play(self, site: PlatformSite, group) -> None:
        self._phase = "1 all start"
        instances = [self._create(site) for _ in range(self._count)]
        for instance in instances:
            group.start_soon(lambda i=instance: i.run(signals=False))
        await self._wait(8.0)
        self._phase = "2 servers change"
        await self._change_servers(site, 12.0)
        self._phase = "3 quiet"
        await self._wait(8.0)
        self._phase = "4 some are rejected"
        rejected = self._counters[:REJECTED_INSTANCES]
        await self._reject(rejected, 9.0)
        self._phase = "5 after it"
        await self._wait(4.0)
        self._phase = "6 all are rejected"
        await self._reject(self._counters, 9.0)
        self._phase = "7 after it"
        await self._wait(5.0)
        self._phase = "8 one starts"
        instance = self._create(site)
        group.start_soon(lambda: instance.run(signals=False))
        await self._wait(5.0)

    async def _wait(self, seconds: float) -> None:
        await anyio.sleep(seconds * self._scale)

    async def _reject(self, counters, seconds: float) -> None:
        for counter in counters:
            counter.rejects = True
        await self._wait(seconds)
        for counter in counters:
            counter.rejects = False

    async def _change_servers(self, site: PlatformSite, seconds: float) -> None:
        with anyio.move_on_after(seconds * self._scale):
            for number in itertools.count(1):
                name = f"added-{number}"
                await site.add_server(name, MODEL_BACKEND)
                await anyio.sleep(CHANGE_INTERVAL_S)
                site.write_server_row(name, MODEL_BACKEND, "draining")
                await anyio.sleep(CHANGE_INTERVAL_S)
                site.store.delete("servers", name)

    def _create(self, site: PlatformSite) -> Instance:
        number = next(self._names)
        name = f"edge-{number}"
        path = site.settings(name, f"z{number % 3}")
        instance = Instance(bootfile.load(path).unwrap(), path)
        instance.log.info = instance.log.warn = lambda *a, **k: None
        self._counters.append(
            CallCounter(name, instance, self.calls, lambda: self._phase)
        )
        return instance


def report(calls) -> None:
    """Prints the calls by phase and by kind, the largest first."""
    print(f"calls in all: {sum(calls.values())}")
    by_phase = collections.Counter()
    for (phase, _, kind, outcome), count in calls.items():
        by_phase[phase] += count
        by_phase[phase, kind, outcome] += count
    for phase in sorted({phase for phase, *_ in calls}):
        print(f"{phase}: {by_phase[phase]}")
        rows = [(n, key[1:]) for key, n in by_phase.items() if key[0] == phase]
        for count, (kind, outcome) in sorted(rows, reverse=True):
            print(f"    {count:5d}  {kind}, {outcome}")


def main() -> None:
    """Runs the day that the arguments describe and prints its calls."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--instances", type=int, default=17)
    parser.add_argument("--scale", type=float, default=1.0)
    args = parser.parse_args()
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL + 1)
    day = Day(args.instances, args.scale)
    anyio.run(day.run)
    report(day.calls)


if __name__ == "__main__":
    main()
