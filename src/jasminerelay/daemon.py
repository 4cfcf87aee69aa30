"""The daemon: wires all parts of one instance and runs them.

This is the composition root; no other module constructs parts that own
sockets.
"""

import gc
import logging
import os
import pathlib
import random
import signal
import sys
import time
from typing import Any

import anyio
import docopt

from jasminerelay import (
    backends,
    burn,
    callers,
    entrylist,
    headbound,
    membership,
    operators,
    peers,
    ports,
    replies,
    settings,
    stopsignals,
)
from jasminerelay.answerkit import Kit
from jasminerelay.brokers import BrokerHost
from jasminerelay.claimdesk import ClaimDesk
from jasminerelay.completions import Completions
from jasminerelay.errors import StoreError
from jasminerelay.estimate import Estimator
from jasminerelay.httpclient import Client
from jasminerelay.loadwatch import LoadWatch
from jasminerelay.manifest import Directory
from jasminerelay.manifests import ManifestKeeper
from jasminerelay.metrics import Counters, Invariants
from jasminerelay.permits import PermitDesk
from jasminerelay.placements import Placer
from jasminerelay.resume import Signer
from jasminerelay.retry import RetryBudget
from jasminerelay.schema.manifest import Server
from jasminerelay.schema.messages import (
    Gossip,
    LoadReport,
    ManifestPointer,
    ManifestReply,
    Member,
    Notice,
)
from jasminerelay.schema.settings import Settings
from jasminerelay.servicecalls import ServiceCalls
from jasminerelay.store import InstanceList, Objects, Table
from jasminerelay.watchdog import Watchdog

_log = logging.getLogger("jasminerelay.daemon")

USAGE = """Runs one instance of the relay.

Usage:
  jasminerelayd SETTINGS
  jasminerelayd --check SETTINGS
  jasminerelayd -h | --help

Options:
  --check    Check the settings file and exit.
  -h --help  Show this text.

Exit status: 0 after a planned stop, 2 for faulty settings, 1 otherwise.
"""

EXIT_USAGE = 2
LIST_INTERVAL_S = 5.0
FLUSH_INTERVAL_S = 1.0
DRAIN_TICK_S = 0.05
RENEW_NOTICE_MS = 5000
GC_YOUNG_OBJECTS = 100_000


class Relay:
    """One instance: its configuration and all its parts.

    Example:
        >>> relay = Relay(cfg)          # doctest: +SKIP
        >>> anyio.run(relay.run)        # doctest: +SKIP
    """

    def __init__(self, cfg: Settings, rng: random.Random | None = None):
        """Wires the parts; nothing runs yet.

        Args:
            cfg: Checked settings.
            rng: Source of random choices; seeded by the system if None.
        """
        rng = rng or random.Random()
        self.cfg = cfg
        self._rng = rng
        self.counters = Counters(cfg.statsd)
        self._invariants = Invariants(self.counters, fatal=cfg.fatal_invariants)
        self._watchdog = Watchdog()
        self._client = Client(self._watchdog)
        # Load queries go their own way, so that a pool full of streams does
        # not hold back the reports that routing needs.
        self._probe_client = Client(self._watchdog)
        self._group: anyio.abc.TaskGroup | None = None
        self._draining = False
        self._drain_asked = anyio.Event()
        self._drain_started = 0.0
        self._listed = False
        self.book = burn.Book()
        self._wire_membership()
        self._wire_manifest()
        self._wire_permits()
        self._wire_requests()

    async def run(self) -> None:
        """Runs the instance until its planned stop is done."""
        async with anyio.create_task_group() as group:
            self._group = group
            group.start_soon(self._signals)
            await self._start_ports(group)
            for part in (
                self._watchdog.run,
                self._broker_links.run,
                self._brokers.run,
                self.desk.run,
                self._claims.run,
                self._keeper.run,
                self._broker_watch.run,
                self._placer.run,
                self._follow_list,
                self._flush,
            ):
                group.start_soon(part)
            group.start_soon(
                self._gossip.run,
                self.cfg.listen.peers,
                self.cfg.timing.probe_interval_s,
            )
            _log.info("instance %s started", self.cfg.instance)
            await self._until_drained()
            await self._stop_ports()
            group.cancel_scope.cancel()
        await self._client.aclose()
        await self._probe_client.aclose()
        self.counters.flush()
        _log.info("instance %s stopped", self.cfg.instance)

    def drain(self) -> None:
        """Starts a planned stop; a second call changes nothing."""
        if self._draining:
            return
        self._draining = True
        self._drain_started = time.monotonic()
        self._drain_asked.set()
        _log.info("planned stop began")
        self._gossip.send(self.membership.leave())

    def entries(self) -> entrylist.EntryList:
        """Returns which instances callers should use."""
        return entrylist.entry_list(
            self.membership.live(),
            self.cfg.zone,
            self.cfg.timing.entry_ttl_s,
            self._rng,
        )

    def status(self) -> dict[str, Any]:
        """Returns the state of the instance for operators."""
        pointer = self._keeper.spread.pointer
        return {
            "instance": self.cfg.instance,
            "zone": self.cfg.zone,
            "state": self.membership.own.state,
            "manifest": {
                "version": pointer.version,
                "digest": pointer.digest,
            },
            "in_progress": self.progress.count,
            "waiting": self.desk.waiting,
            "held": self.desk.held,
            "unrecorded": self._claims.unrecorded,
            "members": [
                {
                    "instance": member.instance,
                    "zone": member.zone,
                    "state": member.state,
                    "callers": member.callers,
                    "operators": member.operators,
                }
                for member in self.membership.view
            ],
            "gives_orders": self._placer.holds,
            "leaving_servers": sorted(self.membership.leaving_servers()),
            "cells": {
                name: {"waiting": waiting, "held": held}
                for name, (waiting, held) in self._brokers.cells.items()
            },
            "counters": self.counters.snapshot(),
        }

    def _wire_membership(self) -> None:
        cfg = self.cfg
        incarnation = (
            f"{time.time_ns() // 1_000_000:014d}-{os.urandom(4).hex()}"
        )
        own = Member(
            cfg.instance,
            incarnation,
            cfg.zone,
            cfg.listen.callers,
            cfg.listen.operators,
            cfg.listen.peers,
            membership.ALIVE,
            1,
        )
        self.membership = membership.Membership(
            own, cfg.timing.suspect_after_s, self._rng
        )
        self._peer_credentials = peers.PeerCredentials(
            cfg.keys.peer_secret, cfg.tls
        )
        self._gossip = peers.GossipTransport(
            self.membership,
            cfg.keys.peer_secret,
            self.counters,
            self._on_gossip,
        )

    def _wire_manifest(self) -> None:
        cfg = self.cfg
        timeout_s = cfg.timing.store_timeout_s
        self._table = Table(self._client, cfg.platform, timeout_s)
        self._objects = Objects(self._client, cfg.platform, timeout_s)
        self._list = InstanceList(self._client, cfg.platform, timeout_s)
        self._keeper = ManifestKeeper(
            self._table,
            self._objects,
            cfg.timing,
            self.counters,
            self._invariants,
            self._fetch_peer,
            self._on_verified,
            self._on_adopted,
            lambda: len(self.membership.live()),
            self._rng,
        )

    def _wire_permits(self) -> None:
        cfg = self.cfg
        self._brokers = BrokerHost(
            self._directory, self.counters, self._invariants
        )
        self._broker_watch = LoadWatch(
            self._probe_client,
            self._watched_servers,
            self._on_load,
            self._brokers.cache_events,
            self.counters,
            cfg.timing.load_interval_s,
        )
        self._brokers.watch_with(self._broker_watch)
        self._broker_links = peers.BrokerLinks(
            cfg.instance, self._brokers, self._peer_credentials, self.counters
        )
        self.desk = PermitDesk(
            self.membership.own,
            self.membership.live,
            self._directory,
            self._broker_links.send,
            self.counters,
            self._invariants,
            cfg.timing.permit_timeout_s,
            cfg.coordination,
        )
        self._broker_links.set_handler(self.desk, self._peer_address)

        self._placer = Placer(
            self.membership.own,
            self.membership.live,
            self._directory,
            self._table,
            self._probe_client,
            cfg.timing,
            self.counters,
        )

    def _wire_requests(self) -> None:
        cfg = self.cfg
        signer = Signer(cfg.keys.resume_secret)
        self._claims = ClaimDesk(
            self._table,
            self._objects,
            self.counters,
            cfg.timing.claim_settle_s,
            cfg.bounds.max_outcome_bytes,
        )
        completions = Completions(
            Kit(
                self.desk,
                backends.Engines(self._client),
                signer,
                self.book,
                self.counters,
                self._invariants,
                cfg.timing,
                Estimator(),
                RetryBudget(),
                self._on_server_leaving,
                self._spawn,
            )
        )
        services = ServiceCalls(
            self.desk,
            backends.Services(self._client),
            self._claims,
            self.book,
            self.counters,
            self._invariants,
            self._on_server_leaving,
            self._spawn,
            signer.ticket,
        )
        self.progress = replies.Progress(cfg.bounds.max_requests)
        self._front = callers.FrontendContext(
            self._directory,
            self.entries,
            self._ready,
            completions,
            services,
            signer,
            replies.ReplyKit(
                self.counters, cfg.bounds, self.progress, self._watchdog
            ),
        )
        self._office = operators.Office(
            cfg.keys.operator_token,
            self._keeper,
            self.status,
            self.entries,
            self.drain,
            self.book,
            self.counters,
            cfg.instance,
        )

    def _directory(self) -> Directory | None:
        return self._keeper.directory

    def _ready(self) -> bool:
        return self._directory() is not None and not self._draining

    def _spawn(self, action, *args) -> None:
        if self._group is not None:
            self._group.start_soon(self._guarded, action, *args)

    async def _guarded(self, action, *args) -> None:
        # These tasks serve single requests. One that hits a fault of the
        # program ends as unknown; without the guard the whole instance would
        # stop and cut every other request.
        try:
            await action(*args)
        except Exception:
            self.counters.incr("task.failed")
            _log.exception("a background task failed")

    def _peer_address(self, name: str) -> str | None:
        for member in self.membership.view:
            if member.instance == name:
                return member.peers
        return None

    def _watched_servers(self) -> list[Server]:
        directory = self._directory()
        servers = {server.name: server for server in self._brokers.servers()}
        if directory is not None:
            for name in self.desk.local_cells():
                if name in directory.cells:
                    for server in directory.cells[name].servers:
                        servers[server.name] = server
        return list(servers.values())

    def _on_load(self, server: str, report: LoadReport, now: float) -> None:
        if report.leaving:
            self._on_server_leaving(server)
        elif self._hold_is_over(server):
            self._note_server(server, leaving=False)
        self._brokers.report(server, report, now)
        self.desk.report(server, report, now)

    def _on_server_leaving(self, server: str) -> None:
        notice = self.membership.notice_of(server)
        fresh = notice is not None and notice.leaving
        if not fresh or _now_ms() - notice.stamp > RENEW_NOTICE_MS:
            self._note_server(server, leaving=True)

    def _hold_is_over(self, server: str) -> bool:
        """Returns whether a leaving server may be taken as back.

        A load report alone does not bring it back: reports lag, and some do
        not tell of leaving at all.
        """
        notice = self.membership.notice_of(server)
        if notice is None or not notice.leaving:
            return False
        hold_ms = self.cfg.timing.leaving_hold_s * 1000
        return _now_ms() - notice.stamp > hold_ms

    def _note_server(self, server: str, *, leaving: bool) -> None:
        was_leaving = server in self.membership.leaving_servers()
        self.membership.notice(Notice(server, leaving, _now_ms()))
        self.counters.incr("server.leaving" if leaving else "server.back")
        if (server in self.membership.leaving_servers()) != was_leaving:
            word = "is leaving" if leaving else "is back"
            _log.info("backend server %s %s", server, word)
        self._tell_leaving()
        self._gossip.send(self.membership.push())

    def _on_gossip(self, gossip: Gossip) -> None:
        self._keeper.hear(gossip.manifest, gossip.sender.peers)
        if gossip.notices:
            self._tell_leaving()

    def _tell_leaving(self) -> None:
        leaving = self.membership.leaving_servers()
        self._brokers.set_leaving(leaving)
        self.desk.set_leaving(leaving)

    def _on_verified(self, pointer: ManifestPointer) -> None:
        self.membership.pointer = pointer
        self._gossip.send(self.membership.push())

    def _on_adopted(self) -> None:
        self._brokers.manifest_changed()
        self.desk.manifest_changed()

    async def _fetch_peer(
        self, address: str, pointer: ManifestPointer
    ) -> ManifestReply | None:
        return await peers.fetch_manifest(
            self._peer_credentials, address, pointer
        )

    async def _start_ports(self, group: anyio.abc.TaskGroup) -> None:
        self._peer_server = peers.PeerServer(
            self._brokers, self._peer_credentials, self._keeper.reply
        )
        await self._peer_server.start(self.cfg.listen.peers)
        bounds = self.cfg.bounds
        self._callers_port = ports.port(
            callers.Application(self._front),
            self.cfg.listen.callers,
            http=headbound.bounded(
                lambda: headbound.HeadBounds(bounds.max_header_bytes)
            ),
        )
        tls = self.cfg.tls
        self._operators_port = ports.port(
            operators.application(self._office),
            self.cfg.listen.operators,
            ssl_certfile=tls.cert or None,
            ssl_keyfile=tls.key or None,
        )
        group.start_soon(self._callers_port.serve)
        group.start_soon(self._operators_port.serve)
        while not (self._callers_port.started and self._operators_port.started):
            await anyio.sleep(0.01)

    async def _stop_ports(self) -> None:
        self._callers_port.should_exit = True
        self._operators_port.should_exit = True
        await self._peer_server.stop()
        await anyio.sleep(0.2)

    async def _signals(self) -> None:
        try:
            with anyio.open_signal_receiver(
                signal.SIGTERM, signal.SIGINT
            ) as received:
                async for _ in received:
                    # A second signal does not cut requests either; whoever
                    # wants that sends SIGKILL.
                    self.drain()
        finally:
            stopsignals.ignore_late()

    async def _follow_list(self) -> None:
        while True:
            try:
                members = await self._list.members()
                self.membership.seed(members, time.monotonic())
                self._listed = True
            except StoreError:
                self.counters.incr("list.failed")
            await anyio.sleep(LIST_INTERVAL_S if self._listed else 0.5)

    async def _flush(self) -> None:
        while True:
            await anyio.sleep(FLUSH_INTERVAL_S)
            self.counters.flush()

    async def _until_drained(self) -> None:
        await self._drain_asked.wait()
        while not self._drained():
            await anyio.sleep(DRAIN_TICK_S)

    def _drained(self) -> bool:
        """Returns whether nobody can need this instance any more.

        Callers may come until the last entry list that named it expires.
        """
        if not self._draining:
            return False
        asked = time.monotonic() - self._drain_started
        if asked < self.cfg.timing.entry_ttl_s:
            return False
        return self.progress.count == 0 and self._claims.unrecorded == 0


def _now_ms() -> int:
    """Returns Unix time in milliseconds, by which notices are ordered."""
    return time.time_ns() // 1_000_000


def main(argv: list[str] | None = None) -> int:
    """Runs the daemon; returns its exit status."""
    arguments = docopt.docopt(USAGE, argv)
    loaded = settings.load(pathlib.Path(arguments["SETTINGS"]))
    if loaded.is_err():
        for problem in loaded.unwrap_err():
            print(problem, file=sys.stderr)
        return EXIT_USAGE
    cfg = loaded.unwrap()
    if arguments["--check"]:
        print(f"{arguments['SETTINGS']}: no faults")
        return 0
    logging.basicConfig(
        level=cfg.log_level.upper(),
        format=(
            "time=%(asctime)s level=%(levelname)s instance="
            + cfg.instance
            + ' logger=%(name)s msg="%(message)s"'
        ),
    )
    logging.getLogger("httpcore").setLevel(logging.WARNING)
    # Streams leave little cyclic garbage; collecting less often saves a
    # twentieth of the processor time for each token.
    gc.freeze()
    gc.set_threshold(GC_YOUNG_OBJECTS)
    anyio.run(Relay(cfg).run)
    return 0


if __name__ == "__main__":
    sys.exit(main())
