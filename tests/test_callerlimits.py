"""Tests limits on callers' connections around versions that change them."""

import asyncio
import contextlib
import re
import time
import unittest
import unittest.mock

import anyio

from jasminerelay.catalog import RequestLimits
from jasminerelay.scheduling import callerlimits
from jasminerelay.scheduling.callerlimits import LEARN_S, LimitHistory
from tests.platformcase import PlatformCase
from tests.slowcallercase import request_head

LONG_S = 3.0
SHORT_S = 0.4
REUSE_SHARE = 0.8
"""Share of the limit for which callers reuse an idle connection."""


def limits(
    idle_s: float, body_bytes: int = 1 << 20, head_bytes: int = 16384
) -> dict:
    """Returns the limits of a configuration."""
    return {
        "maxHeaderBytes": head_bytes,
        "maxBodyBytes": body_bytes,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": round(idle_s * 1000),
    }


class KeptConnection:
    """A caller's connection that is used more than once.

    Attributes:
        closing: Whether the last response said that the connection ends.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ):
        self._reader = reader
        self._writer = writer
        self.closing = False

    @classmethod
    async def to(cls, instance) -> "KeptConnection":
        """Connects to an instance."""
        host, _, port = instance.callers.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    def send(self, data: bytes) -> None:
        """Sends a part of a request."""
        self._writer.write(data)

    async def status(self) -> int:
        """Reads a response; returns its status, 0 if the connection ended."""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            head = await self._reader.readuntil(b"\r\n\r\n")
            length = re.search(rb"content-length: (\d+)", head).group(1)
            await self._reader.readexactly(int(length))
            self.closing = b"connection: close" in head
            return int(head.split()[1])
        return 0

    async def ask(self) -> int:
        """Sends a short request; returns the status of its response."""
        self.send(request_head("/confirm/x"))
        return await self.status()

    async def until_closed(self) -> float:
        """Waits until the instance closes the connection; returns how long."""
        began = time.monotonic()
        await self._reader.read()
        return time.monotonic() - began

    def close(self) -> None:
        """Closes the connection."""
        self._writer.close()


class ChangedLimitsTest(PlatformCase):
    """A version changes the limits while callers use connections."""

    @contextlib.asynccontextmanager
    async def limited(self, **values):
        """Runs a site with some limits; yields it, its instance, a caller."""
        async with (
            self.site(0) as (site, _),
            anyio.create_task_group() as group,
        ):
            # No others may have been in force before.
            site.write_configuration(limits=limits(**values))
            instance = await self.start(group, site, "edge-1")
            await self.until(lambda: instance.ready)
            caller = await KeptConnection.to(instance)
            yield site, instance, caller
            caller.close()
            group.cancel_scope.cancel()

    async def change(self, site, instance, **values) -> None:
        site.write_configuration(limits=limits(**values))
        await self.until(lambda: instance.version == site.version)

    async def test_lower_limit_and_idle_connection(self) -> None:
        # Guards against closing connections that became idle under a longer
        # limit, which their callers still use.
        async with self.limited(idle_s=LONG_S) as (site, instance, caller):
            self.assertEqual(await caller.ask(), 200)
            idle_since = time.monotonic()
            await self.change(site, instance, idle_s=SHORT_S)
            # A new timer must not use the lower limit either.
            used = await KeptConnection.to(instance)
            self.assertEqual(await used.ask(), 200)
            reuse_at = idle_since + REUSE_SHARE * LONG_S
            await anyio.sleep(reuse_at - time.monotonic())
            self.assertEqual(await caller.ask(), 200)
            self.assertEqual(await used.ask(), 200)
            used.close()

    async def test_lower_limit_and_connection_that_becomes_idle(self) -> None:
        # Guards against a lower limit for callers that do not know it yet.
        async with self.limited(idle_s=LONG_S) as (site, instance, caller):
            await self.change(site, instance, idle_s=SHORT_S)
            await anyio.sleep(1.0)
            self.assertEqual(await caller.ask(), 200)
            await anyio.sleep(REUSE_SHARE * LONG_S)
            self.assertEqual(await caller.ask(), 200)

    async def test_higher_limit_and_idle_connection(self) -> None:
        # Guards against a timer that was set under a lower limit.
        async with self.limited(idle_s=2 * SHORT_S) as (site, instance, _):
            callers = []
            for _ in range(3):
                callers.append(await KeptConnection.to(instance))
                self.assertEqual(await callers[-1].ask(), 200)
            await self.change(site, instance, idle_s=LONG_S)
            await anyio.sleep(REUSE_SHARE * LONG_S)
            for caller in callers:
                self.assertEqual(await caller.ask(), 200)
                caller.close()

    async def test_lower_limits_during_a_body(self) -> None:
        # Guards against refusing a body that was begun under limits that
        # allow it.
        async with self.limited(idle_s=LONG_S) as (site, instance, caller):
            head = request_head("/confirm/x", body_bytes=5000)
            caller.send(head + b"x" * 2000)
            await anyio.sleep(0.1)
            await self.change(site, instance, idle_s=SHORT_S, body_bytes=1000)
            caller.send(b"x" * 1000)
            await anyio.sleep(2.5 * SHORT_S)
            caller.send(b"x" * 2000)
            self.assertEqual(await caller.status(), 200)

    async def test_lower_limits_just_before_a_request(self) -> None:
        # Guards against refusing what callers that do not know the version yet
        # may send.
        async with self.limited(idle_s=LONG_S) as (site, instance, caller):
            await self.change(
                site, instance, idle_s=SHORT_S, body_bytes=1000, head_bytes=500
            )
            head = request_head("/confirm/x", body_bytes=5000, X_Y="z" * 1000)
            caller.send(head)
            await anyio.sleep(2.5 * SHORT_S)
            caller.send(b"x" * 5000)
            self.assertEqual(await caller.status(), 200)

    async def test_limits_in_force(self) -> None:
        # Guards against connections that stay open for good once callers know
        # the lower limit, and those that never had a request.
        learn = unittest.mock.patch.object(callerlimits, "LEARN_S", 0.5)
        with learn:
            async with self.limited(idle_s=LONG_S) as (site, instance, caller):
                self.assertEqual(await caller.ask(), 200)
                await self.change(site, instance, idle_s=SHORT_S)
                took_s = await caller.until_closed()
                self.assertGreater(took_s, REUSE_SHARE * LONG_S)
                self.assertLess(took_s, LONG_S + 1.0)
                for requests in (0, 1):
                    late = await KeptConnection.to(instance)
                    for _ in range(requests):
                        self.assertEqual(await late.ask(), 200)
                    took_s = await late.until_closed()
                    self.assertGreater(took_s, REUSE_SHARE * SHORT_S)
                    self.assertLess(took_s, LONG_S / 2)
                    late.close()


class LimitHistoryTest(unittest.TestCase):
    """Which limits callers may know."""

    def known(self, history: LimitHistory, began_at: float) -> float:
        return history.known_since(began_at).idle_timeout_s

    def test_first_limits(self) -> None:
        # Guards against the defaults, which no caller knows, beside the first
        # configuration's limits.
        history = LimitHistory()
        self.assertEqual(history.known_since(0.0), RequestLimits())
        history.replace(RequestLimits(idle_timeout_s=2.0), now=0.0)
        self.assertEqual(self.known(history, 0.0), 2.0)

    def test_series_of_versions(self) -> None:
        # Guards against a version that hides the one before it.
        history = LimitHistory()
        for now, limit_s in ((0.0, 8.0), (10.0, 1.0), (10.5, 4.0), (11.0, 2.0)):
            history.replace(RequestLimits(idle_timeout_s=limit_s), now)
        for began_at, known_s in (
            (9.0, 8.0),
            (10.0 + LEARN_S - 0.1, 8.0),
            (10.0 + LEARN_S + 0.1, 4.0),
            (11.0 + LEARN_S + 0.1, 2.0),
        ):
            self.assertEqual(self.known(history, began_at), known_s)

    def test_each_limit_by_itself(self) -> None:
        history = LimitHistory()
        history.replace(RequestLimits(body_bytes=10, head_bytes=1), now=0.0)
        history.replace(RequestLimits(body_bytes=1, head_bytes=10), now=9.0)
        known = history.known_since(9.0)
        self.assertEqual((known.body_bytes, known.head_bytes), (10, 10))

    def test_old_limits_are_forgotten(self) -> None:
        # Guards against a history that grows with each version, whether they
        # come seldom, often with the same limits, or with larger ones.
        for interval_s, idle_s in (
            (100.0, lambda number: 100.0 - number),
            (0.1, lambda number: 1.0 + number % 2),
            (0.1, lambda number: 1.0 + number),
        ):
            history = LimitHistory()
            for number in range(100):
                limits = RequestLimits(idle_timeout_s=idle_s(number))
                history.replace(limits, now=interval_s * number)
            self.assertLessEqual(len(history._replaced), 2)

    def test_long_body(self) -> None:
        # Guards against a second version that ends what began before the first.
        history = LimitHistory()
        for now, body_bytes in ((0.0, 9), (10.0, 5), (40.0, 1)):
            limits = RequestLimits(body_bytes=body_bytes, idle_timeout_s=1.0)
            history.replace(limits, now)
        self.assertEqual(history.known_since(9.0).body_bytes, 9)


if __name__ == "__main__":
    unittest.main()
