"""Tests that instances tell each other which prefixes servers have cached."""

import dataclasses
import random
import unittest

import msgspec

from jasminerelay import peermessages
from jasminerelay.catalog import Prompt, PromptPart
from jasminerelay.dispatcher import Dispatcher
from jasminerelay.placing import (
    OutputEstimate,
    PlacementCandidate,
    PlacementDecision,
    place_model,
)
from jasminerelay.prefix import part_hash
from jasminerelay.scheduling.sharedprefixes import (
    MAX_UNSENT_PARTS,
    MIN_INSTANCES_TO_ANNOUNCE,
    SENDS_PER_ENTRY,
    PrefixAnnouncements,
)
from jasminerelay.schema.messages import (
    CachedParts,
    DemandColumns,
    LoadColumns,
    PeerMessage,
    ReplicaStatus,
)
from jasminerelay.workload import NO_LOAD
from tests.test_dispatcher import dispatcher
from tests.test_placing import ENGINE, SPEEDS, call, option

PREFIX_TOKENS = 5000
OWN_TOKENS = 600
SERVERS = 8
SUBJECTS = 40
REQUESTS = 400
REQUESTS_PER_REPORT = 6
MAX_IN_FLIGHT = 60
"""Of 8 servers with 28 usable slots each and 0.45 s of pending prefill, so that
the first server of a prefix is often full."""


def prompt_of(subject: int) -> Prompt:
    """Returns a prompt that shares its prefix with others of its subject."""
    parts = (
        PromptPart(f"subject-{subject}", PREFIX_TOKENS),
        PromptPart(f"own-{random.random()}", OWN_TOKENS),
    )
    return Prompt(parts, PREFIX_TOKENS + OWN_TOKENS, 100, None)


class BurstTest(unittest.TestCase):
    """A burst of long prompts with some prefixes at many instances."""

    def test_overflow_finds_the_prefix(self) -> None:
        # Guards against prefixes that each instance brings to a server of its
        # own once their first server is full.
        unannounced = self.repeated_tokens(MIN_INSTANCES_TO_ANNOUNCE, False)
        announced = self.repeated_tokens(MIN_INSTANCES_TO_ANNOUNCE, True)
        self.assertGreater(unannounced, 0)
        self.assertLess(announced, unannounced / 2)

    def test_nothing_announced_among_few(self) -> None:
        # Guards against a change for deployments of few instances.
        instance = dispatcher(SERVERS, instances=MIN_INSTANCES_TO_ANNOUNCE - 1)
        self.place(instance, 0)
        self.assertEqual(instance.announcements.take_unsent(), [])

    def repeated_tokens(self, count: int, announce: bool) -> int:
        """Returns how many prefix tokens servers prefill more than once."""
        rng = random.Random(1)
        instances = [dispatcher(SERVERS, instances=count) for _ in range(count)]
        held: set[str] = set()
        read: set[tuple[str, str]] = set()
        repeated = 0
        runs = []
        for number in range(REQUESTS):
            subject = rng.randrange(SUBJECTS)
            instance = rng.choice(instances)
            placed, run = self.place(instance, subject)
            if placed is None:
                continue
            runs.append(run)
            name = f"subject-{subject}"
            server = placed.server.id
            # Engines copy the prefix from the server that is named as its
            # source if that one has it.
            source = placed.source.id if placed.source else server
            known = {(name, server), (name, source)} & read
            if name in held and not known:
                repeated += PREFIX_TOKENS
            held.add(name)
            read.add((name, server))
            if len(runs) > MAX_IN_FLIGHT:
                runs.pop(0).end()
            if number % REQUESTS_PER_REPORT == 0:
                self.exchange(instances, number, announce)
        return repeated

    def place(self, instance: Dispatcher, subject: int):
        request = call(prompt=prompt_of(subject))
        placed = instance.place(request, frozenset())
        if not isinstance(placed, PlacementDecision):
            return None, None
        run = instance.reserve(request, placed)
        run.read(0.1)
        return placed, run

    def exchange(
        self, instances: list[Dispatcher], number: int, announce: bool
    ) -> None:
        for sender in instances:
            loads = sender.own_loads(0.0)
            cached = sender.announcements.take_unsent() if announce else []
            for receiver in instances:
                if receiver is not sender:
                    receiver.apply_load_report(
                        str(id(sender)), number, loads, 0.0
                    )
                    receiver.apply_cached_parts(cached)


class CopySourceTest(unittest.TestCase):
    """The server from which a missing prefix is copied."""

    def test_holder_outside_the_candidates(self) -> None:
        # Guards against a prefix that is prefilled again when its kind has
        # got other servers since.
        holder = option("holder", cached_tokens=PREFIX_TOKENS)
        placed = self.place([option("a"), option("b")], [holder])
        self.assertEqual(placed.source.id, "holder")
        self.assertEqual(placed.unread, OWN_TOKENS)

    def test_holder_of_another_software_version(self) -> None:
        # Guards against a KV cache that another software version has written.
        holder = option("holder", cached_tokens=PREFIX_TOKENS)
        server = dataclasses.replace(holder.server, software_version="v2")
        holder = dataclasses.replace(holder, server=server)
        placed = self.place([option("a"), option("b")], [holder])
        self.assertIsNone(placed.source)

    def test_candidate_with_the_prefix(self) -> None:
        # Guards against copies between servers where one of the candidates
        # has the prefix and capacity.
        holder = option("holder", cached_tokens=PREFIX_TOKENS)
        held = option("a", cached_tokens=PREFIX_TOKENS)
        placed = self.place([held, option("b")], [holder])
        self.assertEqual(placed.server.id, "a")

    def test_dispatcher_finds_the_holder(self) -> None:
        # Guards against a holder that only other kinds' requests could use.
        instance = dispatcher(SERVERS)
        shared = part_hash("subject-7")
        instance.apply_cached_parts([CachedParts("i-003", [shared])])
        request = call(prompt=prompt_of(7))
        servers = instance.servers_for(request)
        others = [
            PlacementCandidate(server, NO_LOAD)
            for server in servers
            if server.id != "i-003"
        ]
        found = instance._candidates.other_prefix_holders(
            request, servers, others
        )
        self.assertEqual([x.server.id for x in found], ["i-003"])
        instance.gone("i-003")
        self.assertFalse(
            instance._candidates.other_prefix_holders(request, servers, others)
        )

    def place(self, candidates, holders) -> PlacementDecision:
        return place_model(
            call(prompt=prompt_of(0)),
            dataclasses.replace(ENGINE, link_bits_per_s=5.5e11),
            SPEEDS,
            candidates,
            OutputEstimate(100, 100),
            0.0,
            holders,
        )


class AnnouncementTest(unittest.TestCase):
    """What is announced, and in how many reports."""

    def test_lost_report(self) -> None:
        # Guards against a prefix that stays unknown after one lost datagram.
        announcements = PrefixAnnouncements()
        announcements.record("s", [1, 2])
        reports = [
            announcements.take_unsent() for _ in range(SENDS_PER_ENTRY + 1)
        ]
        self.assertEqual(reports[1], [CachedParts("s", [1, 2])])
        self.assertEqual(reports[-1], [])

    def test_bounded(self) -> None:
        # Guards against a datagram that grows with a burst at one instance.
        announcements = PrefixAnnouncements()
        for number in range(MAX_UNSENT_PARTS):
            announcements.record("s", [number, number + 1])
        sent = announcements.take_unsent()
        self.assertEqual(
            sum(len(item.parts) for item in sent), MAX_UNSENT_PARTS
        )

    def test_known_prefix_is_not_announced(self) -> None:
        # Guards against messages for each request in place of each new prefix.
        instance = dispatcher(1, instances=MIN_INSTANCES_TO_ANNOUNCE)
        request = call(prompt=prompt_of(0))
        placed = instance.place(request, frozenset())
        instance.reserve(request, placed)
        instance.reserve(request, placed)
        sent = instance.announcements.take_unsent()
        self.assertEqual([x.parts for x in sent], [[part_hash("subject-0")]])

    def test_message_of_the_previous_version(self) -> None:
        # Guards against an instance of the previous version whose messages are
        # dropped since they announce nothing.
        message = PeerMessage(
            None,
            "other",
            1,
            ReplicaStatus(0, 0, 0),
            LoadColumns([], [], [], [], []),
            DemandColumns([], [], [], []),
        )
        fields = msgspec.msgpack.decode(peermessages.encode(message))
        fields.pop("cached", None)
        read = peermessages.decode(msgspec.msgpack.encode(fields))
        self.assertEqual(read.cached, [])


if __name__ == "__main__":
    unittest.main()
