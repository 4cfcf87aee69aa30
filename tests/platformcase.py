"""Common base of the tests on the platform's interface."""

import contextlib
import dataclasses
import itertools
import logging
import pathlib
import tempfile
import time
import unittest

import anyio
import httpcore

from jasminerelay import netstream
from jasminerelay.platform import bootfile
from jasminerelay.platform.root import Instance
from standins import connectionanswers
from standins.platformsite import API_KEY, HOST, PlatformSite, SiteOptions
from standins.servernetwork import ServerNetwork

WAIT_S = 10.0
POLL_S = 0.01


@dataclasses.dataclass(frozen=True)
class Answer:
    """A response as a caller sees it.

    Attributes:
        status: HTTP status.
        headers: Header fields, names in lower case.
        body: Body.
        whole: Whether the body ended properly.
        attempt: Id of the attempt; "" if it was not noted.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool = True
    attempt: str = ""


class ResponsiveTime:
    """Counts the time in which this process could run.

    The site, the instances and the test share one event loop. Beside other
    load the loop stalls for up to seconds, which says nothing about how long
    an instance waits.

    Attributes:
        elapsed_s: The time since `run` was called, without stalls.
    """

    def __init__(self) -> None:
        self.elapsed_s = 0.0

    async def run(self) -> None:
        """Counts until cancelled."""
        before = time.monotonic()
        while True:
            await anyio.sleep(POLL_S)
            now = time.monotonic()
            self.elapsed_s += min(now - before, 2 * POLL_S)
            before = now


class PlatformCase(unittest.IsolatedAsyncioTestCase):
    """Base of tests that run a small site and instances in one event loop."""

    options = SiteOptions()
    networks = False
    """Whether instances reach servers through stand-in networks."""

    zones = ("north",)
    """Availability zones of the instances, in turn."""

    def setUp(self) -> None:
        self.network_of: dict[str, ServerNetwork] = {}
        # The stand-ins abort responses on purpose, which Uvicorn would log at
        # length.
        logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL + 1)
        self._prompts = itertools.count(1)
        self._scopes: dict[str, anyio.CancelScope] = {}

    @contextlib.asynccontextmanager
    async def site(self, count: int = 1):
        """Runs a site and yields it with its instances once they are ready."""
        with tempfile.TemporaryDirectory(prefix="jasminerelay-") as folder:
            site = PlatformSite(self.options, pathlib.Path(folder))
            async with site.running(), anyio.create_task_group() as group:
                instances = []
                for index in range(count):
                    instances.append(
                        await self.start(group, site, f"edge-{index + 1}")
                    )
                for instance in instances:
                    await self.until(lambda i=instance: i.ready)
                yield site, instances
                group.cancel_scope.cancel()

    async def start(self, group, site: PlatformSite, name: str) -> Instance:
        """Starts an instance whose event log is discarded."""
        zone = self.zones[len(self._scopes) % len(self.zones)]
        return await self.start_at(group, site.settings(name, zone))

    async def start_at(self, group, path: pathlib.Path) -> Instance:
        """Starts an instance, perhaps once more, by its settings file."""
        network = ServerNetwork(group)
        instance = Instance(
            bootfile.load(path).unwrap(),
            path,
            open_connection=(
                network.open_connection
                if self.networks
                else netstream.open_connection
            ),
        )
        self.network_of[instance.boot.name] = network
        instance.log.info = instance.log.warn = lambda *a, **k: None
        scope = self._scopes[instance.boot.name] = anyio.CancelScope()

        async def run() -> None:
            with scope:
                await instance.run(signals=False)

        group.start_soon(run)
        return instance

    def kill(self, instance: Instance) -> None:
        """Ends an instance at once and resets its callers' connections."""
        self._scopes[instance.boot.name].cancel()
        for port in instance._ports:
            connectionanswers.end_port(port)

    async def until(self, condition) -> None:
        """Waits until a condition holds; fails after WAIT_S."""
        with anyio.fail_after(WAIT_S):
            while not condition():
                await anyio.sleep(POLL_S)

    async def ask_new_prompt(self, instance: Instance, path: str) -> Answer:
        """Sends a request with a prompt of which no server has any part."""
        number = next(self._prompts)
        attempt = f"p{number}"
        answer = await self.ask(
            instance,
            path,
            attempt=attempt,
            Token_Usage="100,3",
            Prefix_Hash=f"{number:x}:60,b:40",
        )
        return dataclasses.replace(answer, attempt=attempt)

    async def ask(
        self,
        instance: Instance,
        path: str,
        method: str = "POST",
        attempt: str = "a1",
        key: str = API_KEY,
        body: bytes = b"",
        host: str = HOST,
        **headers: str,
    ) -> Answer:
        """Sends a request to an instance and reads the whole response."""
        fields = {
            "Host": host,
            "Attempt-Id": attempt,
            "Authorization": f"Bearer {key}",
            "Content-Length": str(len(body)),
        }
        fields.update({k.replace("_", "-"): v for k, v in headers.items()})
        return await fetch(
            f"http://{instance.callers}{path}", method, fields, body
        )


async def fetch(
    url: str, method: str = "GET", fields: dict | None = None, body: bytes = b""
) -> Answer:
    """Sends a request on a new connection and reads the whole response."""
    async with (
        httpcore.AsyncConnectionPool() as pool,
        pool.stream(
            method, url, headers=list((fields or {}).items()), content=body
        ) as response,
    ):
        parts = []
        whole = True
        try:
            async for part in response.aiter_stream():
                parts.append(part)
        except httpcore.RemoteProtocolError:
            whole = False
        headers = {
            name.decode().lower(): value.decode()
            for name, value in response.headers
        }
        return Answer(response.status, headers, b"".join(parts), whole)


def events(last: int, first: int = 1) -> bytes:
    """Returns the encoded events of a stand-in's stream."""
    return b"".join(
        b"id: %d\ndata: t%d\n\n" % (number, number)
        for number in range(first, last + 1)
    )
