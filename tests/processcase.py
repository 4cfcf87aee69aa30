"""Common base of the tests with a real instance process and slow callers."""

import asyncio
import contextlib
import os
import pathlib
import re
import subprocess
import sys
import time
import tomllib

import anyio

from standins.launcher import ROOT
from tests.platformcase import PlatformCase
from tests.slowcallercase import request_head

REQUEST_INTERVAL_S = 0.02
START_S = 20.0


class ProcessCase(PlatformCase):
    """Base of tests that run an instance as the platform does.

    Attributes:
        address: Host and port for callers.
        log: File with the instance's event log.
    """

    @contextlib.asynccontextmanager
    async def process(self):
        """Runs a site with an instance; yields the site and the process."""
        # The loop's checks would delay the servers and callers more than the
        # instance does.
        asyncio.get_running_loop().set_debug(False)
        async with self.site(0) as (site, _):
            path = site.settings("edge-1")
            listen = tomllib.loads(path.read_text())["listenAddrs"]
            host, _, port = listen["front"].rpartition(":")
            self.address = (host, int(port))
            self.log = path.with_suffix(".log")
            with self.log.open("wb") as out:
                process = subprocess.Popen(
                    [sys.executable, str(ROOT / "deploy/instance.py")],
                    env={**os.environ, "JASMINERELAY_BOOT": str(path)},
                    stdout=out,
                    stderr=subprocess.STDOUT,
                )
            try:
                await self._until_served()
                yield site, process
            finally:
                process.kill()
                process.wait()

    async def _until_served(self) -> None:
        with anyio.fail_after(START_S):
            while True:
                with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                    if await self.latencies(0.0):
                        return
                await anyio.sleep(0.05)

    async def latencies(
        self, seconds: float, address: tuple[str, int] | None = None
    ) -> list[float]:
        """Sends short requests for a while; returns the times they took.

        Returns none if a response has another status than 200.

        Args:
            seconds: For how long; at least one is sent.
            address: To where; None for the instance.
        """
        reader, writer = await asyncio.open_connection(
            *(address or self.address)
        )
        times = []
        until = time.monotonic() + seconds
        try:
            while not times or time.monotonic() < until:
                began = time.monotonic()
                writer.write(request_head("/confirm/x"))
                head = await reader.readuntil(b"\r\n\r\n")
                length = re.search(rb"content-length: (\d+)", head).group(1)
                await reader.readexactly(int(length))
                if not head.startswith(b"HTTP/1.1 200"):
                    return []
                times.append(time.monotonic() - began)
                await anyio.sleep(REQUEST_INTERVAL_S)
        finally:
            writer.close()
        return times


def resident_mb(process: subprocess.Popen, field: str = "VmHWM") -> float:
    """Returns the resident memory of a process, by default its peak."""
    text = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    return int(re.search(rf"{field}:\s+(\d+)", text).group(1)) / 1000
