"""Instances beside rows that another program wrote by mistake."""

import socket
import time
import unittest

import anyio
import msgspec

from jasminerelay.addresses import split_address
from jasminerelay.platform.tables import (
    CRASHES_TABLE,
    DUTIES_TABLE,
    INSTANCES_TABLE,
)
from standins.platformsite import PLAIN_BACKEND, SiteOptions
from tests.platformcase import PlatformCase

READY_S = 8.0
POLL_S = 0.02
ROUNDS_S = 1.5
NESTED = b'{"x": ' + b"[" * 100_000
LARGE = b'{"version": ' + b"9" * 5000 + b"}"
NO_TEXT = b"\xff\xfe{\x00"
ODD = {"nested": NESTED, "large": LARGE, "no-text": NO_TEXT, "empty": b""}
ODD_PEERS = (
    "",
    "a.name:80",
    "10.0.0.1",
    "10.0.0.1:0",
    "10.0.0.1:99999",
    "10.0.0.1:" + "9" * 5000,
    "[fe80::1%\x00]:80",
    "10.0.0.1:80\n",
    "x" * 100_000,
)


class RecordedLines(list):
    """Log lines of an instance, as pairs of event and fields."""

    def note(self, event: str, **fields) -> None:
        """Records a line."""
        self.append((event, fields))

    def named(self, event: str) -> list[dict]:
        """Returns the fields of the lines of one event."""
        return [fields for found, fields in self if found == event]


def write_odd_rows(site) -> None:
    """Writes odd rows into every table that instances read."""
    for name, data in ODD.items():
        site.store.put_bytes("servers", f"odd-{name}", data)
        site.store.put_bytes(INSTANCES_TABLE, f"odd-{name}", data)
        site.store.put_bytes(CRASHES_TABLE, f"odd-{name}", data)
        site.store.put_bytes(DUTIES_TABLE, f"usage/{name}", data)
    site.store.put_bytes(DUTIES_TABLE, "usage/7", NESTED)
    for number, peers in enumerate(ODD_PEERS):
        body = msgspec.json.encode({"peers": peers})
        site.store.put_bytes(INSTANCES_TABLE, f"odd-peers-{number}", body)


class OddRowsTest(PlatformCase):
    """Odd rows in all tables of real instances."""

    options = SiteOptions(engines=0, plain=2, duties=True)

    def record(self, instance) -> RecordedLines:
        """Records an instance's log lines from now on."""
        lines = RecordedLines()
        instance.log.info = instance.log.warn = lines.note
        return lines

    async def test_new_instance_is_ready(self) -> None:
        # Guards against a new instance that waits for ever for a nested row.
        async with self.site(2) as (site, _):
            write_odd_rows(site)
            async with anyio.create_task_group() as group:
                started = time.monotonic()
                new = await self.start(group, site, "edge-new")
                lines = self.record(new)
                with anyio.move_on_after(READY_S):
                    while not new.ready:
                        await anyio.sleep(POLL_S)
                took_s = time.monotonic() - started
                self.assertTrue(new.ready, f"not ready in {took_s:.1f} s")
                self.assertEqual(lines.named("task_failed"), [])
                group.cancel_scope.cancel()

    async def test_new_instance_beside_an_odd_configuration(self) -> None:
        # Guards against a new instance that never gets the configuration in
        # force, since it finds no other instance behind a nested row.
        async with self.site(2) as (site, instances):
            write_odd_rows(site)
            site.store.put_bytes("op", "config", NESTED)
            async with anyio.create_task_group() as group:
                new = await self.start(group, site, "edge-new")
                with anyio.move_on_after(READY_S):
                    while not new.ready:
                        await anyio.sleep(POLL_S)
                self.assertTrue(new.ready)
                self.assertEqual(
                    new.registry.catalog, instances[0].registry.catalog
                )
                group.cancel_scope.cancel()

    async def test_changes_are_followed(self) -> None:
        # Guards against tables that are followed no more after odd rows, and
        # against a log line of the same odd row with every read.
        async with self.site(2) as (site, instances):
            logs = [self.record(instance) for instance in instances]
            write_odd_rows(site)
            for data in ODD.values():
                site.store.put_bytes("op", "config", data)
            site.store.put_bytes("servers", "plain-1", NESTED)
            for instance in instances:
                await self.until(
                    lambda i=instance: (
                        len(i.registry.servers_of(PLAIN_BACKEND)) == 1
                    )
                )
            site.write_server_row("plain-1", PLAIN_BACKEND)
            await site.add_server("plain-3", PLAIN_BACKEND)
            site.write_configuration()
            for instance in instances:
                await self.until(
                    lambda i=instance: (
                        i.registry.catalog.version == site.version
                        and len(i.registry.servers_of(PLAIN_BACKEND)) == 3
                    )
                )
                for _ in range(3):
                    await instance._instance_table.addresses()
                    await instance._crash_table.read()
            await anyio.sleep(ROUNDS_S)
            for lines in logs:
                self.assertEqual(lines.named("task_failed"), [])
                self.check_one_line_each(lines)
            answer = await self.ask(instances[0], "/lookup/x")
            self.assertEqual(answer.status, 200)

    async def test_odd_datagrams(self) -> None:
        # Guards against a traceback in the log with each odd datagram.
        nested = b"\x81\xa1x" + b"\x91" * 60_000 + b"\xc0"
        async with self.site(2) as (site, instances):
            lines = self.record(instances[0])
            target = split_address(instances[0].boot.peers)
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
                for tag in (b"", *(bytes([number]) for number in range(13))):
                    for data in (nested, NO_TEXT, b"\x92" * 9, b""):
                        sender.sendto(tag + data, target)
                        await anyio.sleep(POLL_S)
            site.write_configuration()
            await self.until(
                lambda: instances[0].registry.catalog.version == site.version
            )
            self.assertEqual(lines.named("message_dropped"), [])
            (line,) = lines.named("peer_unreadable")
            self.assertIn("correct or remove", line["why"])
            answer = await self.ask(instances[0], "/lookup/x")
            self.assertEqual(answer.status, 200)

    def check_one_line_each(self, lines: RecordedLines) -> None:
        """Checks that each odd row was logged once, with a remedy."""
        for event, count in (
            ("instance_unreadable", len(ODD) + len(ODD_PEERS)),
            ("crash_unreadable", len(ODD)),
        ):
            found = lines.named(event)
            self.assertEqual(len(found), count, event)
            self.assertEqual(len({x["row"] for x in found}), count, event)
        for event in ("report_unreadable", "configuration_unreadable"):
            found = lines.named(event)
            self.assertLessEqual(len(found), len(ODD) + 1, event)
        for event, fields in lines:
            if event.endswith("_unreadable"):
                self.assertIn("correct or remove", fields["why"], event)
                self.assertLess(len(str(fields)), 1000, event)


if __name__ == "__main__":
    unittest.main()
