"""Measures the requests per second that one instance on the platform serves.

Usage: requestrate [--rounds=N]

One instance runs in a process of its own against the stand-in site, alone.
Callers send plain requests one after another on kept connections, without
pauses. Prints the requests per second and the CPU time of the instance per
request, of each round and of the best.

Options:
  --rounds=N  Rounds [default: 5].
"""

import asyncio
import logging
import time

import docopt
import tabulate

from bench.requestcost import Run, running_instance, usage
from standins.platformsite import API_KEY, HOST

CALLERS = 8
ROUND_S = 4.0
WARM_UP_S = 1.0

REQUEST = (
    "POST /lookup/x HTTP/1.1\r\n"
    f"Host: {HOST}\r\n"
    "Attempt-Id: r{number}\r\n"
    f"Authorization: Bearer {API_KEY}\r\n"
    "Deadline-Ms: 4000\r\n"
    "Content-Type: text/plain\r\n"
    "Content-Length: 20\r\n\r\n"
    "an item on the verge"
)


async def call(run: Run, caller: int, until: float) -> int:
    """Sends requests until a time; returns their number."""
    host, _, port = run.callers.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    count = 0
    while time.monotonic() < until:
        number = f"{caller}-{count}"
        writer.write(REQUEST.replace("{number}", number).encode())
        head = await reader.readuntil(b"\r\n\r\n")
        if not head.startswith(b"HTTP/1.1 200"):
            raise RuntimeError(head)
        length = head.lower().partition(b"content-length: ")[2]
        await reader.readexactly(int(length.partition(b"\r\n")[0]))
        count += 1
    writer.close()
    return count


async def measure(run: Run, duration_s: float) -> tuple[float, float]:
    """Returns requests per second and CPU time per request in ms."""
    before = usage(run.pid)
    began = time.monotonic()
    counts = await asyncio.gather(
        *(call(run, n, began + duration_s) for n in range(CALLERS))
    )
    elapsed_s = time.monotonic() - began
    cpu_s = usage(run.pid).cpu_s - before.cpu_s
    return sum(counts) / elapsed_s, 1e3 * cpu_s / sum(counts)


async def main() -> None:
    """Prints the figures."""
    args = docopt.docopt(__doc__)
    logging.disable(logging.CRITICAL)
    async with running_instance(1, None) as run:
        await measure(run, WARM_UP_S)
        rows = [
            await measure(run, ROUND_S) for _ in range(int(args["--rounds"]))
        ]
    print(
        tabulate.tabulate(
            rows,
            headers=("requests/s", "CPU, ms a request"),
            floatfmt=(".0f", ".3f"),
        )
    )
    print(
        f"best: {max(row[0] for row in rows):.0f} requests/s,"
        f" {min(row[1] for row in rows):.3f} ms"
    )


if __name__ == "__main__":
    asyncio.run(main())
