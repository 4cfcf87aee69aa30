"""A part of prompts that crashes backend servers, at instances with sockets."""

import unittest

import anyio

from standins.platformsite import PlatformSite, SiteOptions
from tests.platformcase import PlatformCase

FATAL_PART = "bad"
INSTANCES = 3
CONTACT_S = 3.0
CRASHES = 5
CRASHES_S = 5.0
"""Time within which a part that nothing stops crashes as many servers."""

MAX_LATE_SENDS = 3
"""Requests with the part that may reach servers from `CONTACT_S` after its
fifth crash."""

MIN_SOUND_SHARE = 0.5
"""Share of the sound requests that must begin from twice `CONTACT_S` after the
fifth crash, relative to the share that began before the first."""

GUILTY_INTERVAL_S = 0.35
SOUND_INTERVAL_S = 0.06
CALM_S = 1.5
MEASURED_S = 4.0


class CrashingPartTest(PlatformCase):
    """Requests with one part, no two alike, among sound ones like them."""

    options = SiteOptions(
        engines=6, plain=1, fatal_part=FATAL_PART, fatal_after=1
    )

    async def run_load(self, prefix: str) -> tuple[int, float, float]:
        """Sends both kinds of requests at all instances.

        Args:
            prefix: Parts of the guilty prompts, without the last.

        Returns:
            The guilty requests that reached servers too late, and the shares of
            the sound ones that began before the first crash and after blocking.
        """
        began: dict[str, list[bool]] = {"before": [], "after": []}
        phase = "before"
        async with self.site(INSTANCES) as (site, instances):
            await self.until(
                lambda: all(x.live_instance_count == 3 for x in instances)
            )

            async def send(number: int, guilty: bool) -> None:
                held = phase
                answer = await self.ask(
                    instances[number % INSTANCES],
                    f"/sheet/{number}/stream",
                    attempt=f"{'g' if guilty else 's'}{number}",
                    body=b"%d" % number,
                    Token_Usage="160,6",
                    Prefix_Hash=(prefix if guilty else "first:60,other:40")
                    + f",own{number}:60",
                    Deadline_Ms="3000",
                )
                if not guilty and held in began:
                    began[held].append(answer.status == 200)

            async def repeat(guilty: bool, interval_s: float) -> None:
                number = 0
                while True:
                    number += 1
                    group.start_soon(send, number, guilty)
                    await anyio.sleep(interval_s)

            async with anyio.create_task_group() as group:
                group.start_soon(repeat, False, SOUND_INTERVAL_S)
                await anyio.sleep(CALM_S)
                phase = "crashing"
                group.start_soon(repeat, True, GUILTY_INTERVAL_S)
                with anyio.move_on_after(CRASHES_S):
                    while len(site.ended) < CRASHES:
                        await anyio.sleep(GUILTY_INTERVAL_S)
                await anyio.sleep(CONTACT_S)
                early = _guilty_runs(site)
                await anyio.sleep(CONTACT_S)
                phase = "after"
                await anyio.sleep(MEASURED_S)
                phase = "done"
                late = _guilty_runs(site) - early
                group.cancel_scope.cancel()
        shares = [sum(x) / max(1, len(x)) for x in began.values()]
        return late, shares[0], shares[1]

    async def check(self, prefix: str) -> None:
        """Runs the load and checks what callers and servers see."""
        late, before, after = await self.run_load(prefix)
        self.assertLessEqual(late, MAX_LATE_SENDS)
        self.assertGreaterEqual(after, MIN_SOUND_SHARE * before)

    async def test_part_in_the_middle(self) -> None:
        # Guards against a part that crashes server after server, since each
        # request that has it is a new one.
        await self.check(f"first:60,{FATAL_PART}:40,other:40")

    async def test_first_part(self) -> None:
        # The same where the part comes first.
        await self.check(f"{FATAL_PART}:60,other:40")


class RestartTest(PlatformCase):
    """A blocked part and a restart of all instances."""

    options = SiteOptions(
        engines=6, plain=1, fatal_part=FATAL_PART, fatal_after=1
    )

    async def send(self, instance, number: int, prefix: str):
        """Sends a new request with some parts."""
        return await self.ask(
            instance,
            f"/sheet/{number}/stream",
            attempt=f"g{number}",
            body=b"%d" % number,
            Token_Usage="160,6",
            Prefix_Hash=f"{prefix}:40,own{number}:60",
        )

    async def test_blocked_part_survives_full_restart(self) -> None:
        # Guards against a part that crashes servers again after a restart, or
        # takes sound requests along.
        async with self.site(1) as (site, instances):
            for number in range(6):
                await self.send(instances[0], number, f"first:60,{FATAL_PART}")
                await self.send(instances[0], 50 + number, "first")
                await anyio.sleep(GUILTY_INTERVAL_S)
            crashed = len(site.ended)
            instances[0].stop()
            await self.until(lambda: not instances[0].running)
            async with anyio.create_task_group() as group:
                restarted = await self.start(group, site, "edge-9")
                await self.until(lambda: restarted.ready)
                await anyio.sleep(GUILTY_INTERVAL_S)
                refused = await self.send(restarted, 99, FATAL_PART)
                sound = await self.send(restarted, 98, "first")
                group.cancel_scope.cancel()
        self.assertLessEqual(crashed, CRASHES)
        self.assertEqual(len(site.ended), crashed)
        self.assertEqual(refused.status, 500)
        self.assertNotIn("retry-after", refused.headers)
        self.assertEqual(sound.status, 200)


def _guilty_runs(site: PlatformSite) -> int:
    return sum(
        ran.attempt.startswith("g")
        for server in site.servers.values()
        for ran in server.journal
    )


if __name__ == "__main__":
    unittest.main()
