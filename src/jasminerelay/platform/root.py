"""The composition root of an instance on the platform."""

import dataclasses
import gc
import logging
import os
import pathlib
import random
import signal
import sys
import time

import anyio

from jasminerelay import entrylist, headbound, ports, stopsignals
from jasminerelay.asking import AskingRoom
from jasminerelay.attempt import Kit
from jasminerelay.catalog import Bounds, Catalog
from jasminerelay.channels import Channels
from jasminerelay.crashwatch import CrashWatch
from jasminerelay.dispatcher import Dispatcher
from jasminerelay.duties import Duties
from jasminerelay.errors import StoreError
from jasminerelay.evacuation import Evacuator
from jasminerelay.eventlog import Bridge, EventLog
from jasminerelay.followers import Followers
from jasminerelay.following import (
    FAR_GATHER_S,
    LEAD_WAIT_S,
    Follower,
    Manner,
    RegistryFeed,
    StoreState,
)
from jasminerelay.freshness import Freshness, now_s
from jasminerelay.headbound import HeadBounds
from jasminerelay.httpclient import Client
from jasminerelay.limitwatch import LimitWatch
from jasminerelay.membership import LEAVING
from jasminerelay.metrics import Counters
from jasminerelay.ownedcells import OwnedCells
from jasminerelay.peerlink import PeerLink, SnapshotApp
from jasminerelay.platform import bootfile, documents
from jasminerelay.platform.bootfile import Boot
from jasminerelay.platform.doors import StatusApp
from jasminerelay.platform.dutyroot import build_duties
from jasminerelay.platform.headers import PlatformDialect
from jasminerelay.platform.ingress import Ingress, IngressContext
from jasminerelay.platform.storeclient import Store
from jasminerelay.platform.tables import (
    CONFIGURATION_KEY,
    OPERATOR_TABLE,
    SERVERS_TABLE,
    CrashTable,
    InstanceTable,
    TableSource,
)
from jasminerelay.registry import Registry
from jasminerelay.schema.messages import Member, Snapshot
from jasminerelay.schema.settings import Statsd
from jasminerelay.sharedbudget import SharedBudget
from jasminerelay.stopping import Stop
from jasminerelay.telemetry import Telemetry
from jasminerelay.waitingroom import WaitingRoom
from jasminerelay.watchdog import Watchdog

BOOT_VARIABLE = "JASMINERELAY_BOOT"
METRICS_VARIABLE = "JASMINERELAY_METRICS_PORT"
EXIT_USAGE = 2

ENTRY_TTL_S = 2.0
"""How long callers keep an entry list: within it a dead instance is found."""

TICK_S = 0.1
TIDY_EVERY = 10
SETTINGS_EVERY_S = 2.0
REGISTER_PAUSE_S = 0.4
"""Between writing the own row and reading the others': instances that start
together then find each other with one read."""

RENEW_INSTANCES_S = 60.0
"""How often the instances' rows are read again, in case the others could
neither be reached nor reach this one at the start."""

END_PAUSE_S = 0.15
"""Longest time that a planned stop waits for the store to drop its row."""

CURRENT_S = 1.8
"""Age up to which the knowledge is good for a final "not found" or "unknown
key". Whatever the store has accepted must be in force two seconds later; what
is left is for words on their way."""

GC_YOUNG_OBJECTS = 100_000


class Instance:
    """One instance on the platform.

    Attributes:
        boot: Its settings, as last read.
        running: Whether it runs; False again after its planned stop.
    """

    def __init__(self, boot: Boot, path: pathlib.Path):
        """Wires the parts; nothing runs yet.

        Args:
            boot: Checked settings.
            path: Their file, which is read again when it changes.
        """
        self.boot = boot
        self._path = path
        self._rng = random.Random()
        self._stop: Stop | None = None
        self._ready = False
        self.running = False
        self.log = EventLog(boot.name)
        self.counters = Counters(Statsd())
        self.telemetry = Telemetry(self.counters)
        self._watchdog = Watchdog()
        self._wire_knowledge()
        self._wire_requests()
        self._wire_duties()
        self._wire_ports()

    @property
    def callers(self) -> str:
        """IP:port for callers."""
        return self.boot.callers

    @property
    def entries(self) -> str:
        """IP:port where callers ask which address to use."""
        return self.boot.entries

    @property
    def readiness(self) -> str:
        """IP:port where the platform asks for readiness."""
        return self.boot.readiness

    @property
    def ready(self) -> bool:
        """Whether callers may be sent here."""
        return self._ready and self._stop is None

    @property
    def serving(self) -> bool:
        """Whether the callers' port is open."""
        return self._callers_port.started

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 before the first."""
        catalog = self.registry.catalog
        return catalog.version if catalog else 0

    @property
    def peers_live(self) -> int:
        """How many instances take callers, this one included."""
        return len(self._peers.membership.live())

    def meet(self, address: str) -> None:
        """Tells of an address at which an instance may be."""
        self._peers.meet({address})

    async def run(self, *, signals: bool = True) -> None:
        """Runs the instance until its planned stop is done.

        Args:
            signals: Whether SIGTERM and SIGHUP are for this instance.
        """
        self.running = True
        self.log.trouble("start", settings=dataclasses.asdict(self.boot))
        async with anyio.create_task_group() as group:
            for port in self._ports:
                group.start_soon(port.serve)
            if signals:
                group.start_soon(self._signals)
            for part in (
                self._watchdog.run,
                self._peers.run,
                self._room.run,
                self._asking.run,
                self._owned.run,
                self._limits.run,
                self._tick,
                self._join,
                self._watch_settings,
                *([self._duties.run] if self._duties else []),
            ):
                group.start_soon(part)
            group.start_soon(
                self._crashes.run,
                self._crash_table.save,
                self._crash_table.read,
                lambda: self._followers.leads,
            )
            group.start_soon(
                self._configuration.run,
                self._feed.take_configuration,
                self._feed.take_configuration,
            )
            group.start_soon(
                self._servers.run,
                self._feed.take_all_servers,
                self._feed.take_servers,
            )
            await self._until_stopped()
            group.cancel_scope.cancel()
        self.log.trouble("stop", under_way=self._under_way())
        self.running = False

    def _wire_knowledge(self) -> None:
        boot = self.boot
        self.registry = Registry(documents.catalog, documents.server)
        self.client = Client(self._watchdog, keepalive=True)
        store = self._store = Store(self.client, boot.store)
        self._freshness = Freshness((OPERATOR_TABLE, SERVERS_TABLE))
        self._store_state = StoreState(self.registry, self._freshness, self.log)
        self._feed = RegistryFeed(
            self.registry, CONFIGURATION_KEY, self.counters, self.log
        )
        self._instances = InstanceTable(store, boot.ip, self.log)
        self._crash_table = CrashTable(store, self.log)
        self._configuration = self._follower(
            store, OPERATOR_TABLE, leading=Manner(wait_s=LEAD_WAIT_S)
        )
        self._servers = self._follower(store, SERVERS_TABLE, leading=Manner())

    def _follower(
        self, store: Store, table: str, *, leading: Manner
    ) -> Follower:
        near = Manner()
        far = Manner(gather_s=FAR_GATHER_S)

        def manner() -> Manner:
            if self._followers.leads:
                return leading
            return near if self._followers.closely() else far

        return Follower(
            table,
            TableSource(store, table),
            self._store_state,
            self.counters,
            self._rng,
            manner,
        )

    def _wire_requests(self) -> None:
        boot = self.boot
        # Each life of a process is a member of its own: a restarted one must
        # not be taken for the one that fell silent.
        life = f"{boot.name}/{self._rng.getrandbits(48):012x}"
        self._limits = LimitWatch(
            life,
            lambda server: self.registry.server(server) is not None,
            self.counters,
            self.log,
            self._rng,
        )
        self.dispatcher = Dispatcher(
            self.registry,
            boot.zone,
            lambda: self._peers.count,
            allowance=self._limits.allowance,
        )
        self.dispatcher.on_split = self._log_split
        member = Member(
            life, "", boot.zone, boot.callers, "", boot.peers, LEAVING, 0
        )
        self._peers = PeerLink(
            member,
            self.registry,
            self._freshness,
            self.dispatcher,
            self.client,
            self.counters,
            self.log,
            self._rng,
        )
        self._peers.meet(set(boot.seeds))
        self._peers.on_snapshot = self._adopt
        self._peers.on_store_lost = self._store_state.check
        self._store_state.on_news = self._peers.tell_news
        self._room = WaitingRoom(
            self.dispatcher.place,
            self.dispatcher.expect,
            self.dispatcher.busy_s,
            self.dispatcher.reserve,
        )
        self._wire_cells(life)
        self._crashes = CrashWatch(
            life, self.registry, self.counters, self.log, self._rng
        )
        self._crashes.members = self._peers.membership.live
        self._crashes.send = self._peers.tell
        self._peers.on_crashes = self._crashes.hear
        self._limits.placer = self._asking.placer_of
        self._limits.send = self._peers.tell
        self._limits.on_grant = self._look_again
        self._peers.on_limits = self._limits.hear
        self._channels = Channels(self._watchdog)
        self._budget = SharedBudget(
            boot.retry_ratio, boot.retry_allowance, boot.retry_window_s
        )

    def _wire_cells(self, life: str) -> None:
        boot = self.boot
        self._owned = OwnedCells(
            life,
            boot.zone,
            self.registry,
            self.dispatcher.engines,
            self.dispatcher.lengths,
            self.counters,
            self._limits.allowance,
        )
        self._asking = AskingRoom(
            life,
            boot.peers,
            self.registry,
            self.dispatcher,
            self._room,
            self.counters,
        )
        self._owned.on_split = self._log_split
        self._followers = Followers(life, boot.zone)
        self._peers.wire_cells(self._owned, self._asking, self._followers)

    def _wire_duties(self) -> None:
        self._duties: Duties | None = build_duties(
            self.boot,
            self._peers.membership.own,
            self._store,
            self.client,
            self.dispatcher,
            self.registry,
            self.counters,
            self.log,
        )
        if self._duties is not None:
            self._duties.send = self._peers.tell
            self._peers.on_duty = self._duties.hear

    def _wire_ports(self) -> None:
        boot = self.boot
        dialect = PlatformDialect()
        evacuator = Evacuator(self.client, dialect, self.counters, self.log)
        self._feed.on_leaving = evacuator.leaving
        self._feed.on_gone = self._gone
        self._feed.on_changed = self._peers.tell_standing
        kit = Kit(
            self.dispatcher,
            self._asking,
            self._channels,
            dialect,
            evacuator,
            self._budget,
            self._crashes,
            self._limits,
            self.counters,
            self.telemetry,
            self.log,
            self._rng,
            self._duties.began if self._duties else lambda *_: None,
            self._versions,
        )
        front = IngressContext(
            kit,
            lambda: self.registry.catalog if self.registry.complete else None,
            lambda: self.current,
            lambda: self._stop is not None,
            self._takes,
            self.log,
        )
        status = StatusApp(
            lambda: self.ready,
            self._entries,
            lambda: min(ENTRY_TTL_S, self.boot.entry_ttl_s),
            self.telemetry.text,
        )
        options = {
            "server_header": False,
            "date_header": False,
            "http": headbound.bounded(self._head_bounds),
        }
        self._callers_port = ports.port(Ingress(front), boot.callers, **options)
        self._ports = [
            self._callers_port,
            ports.port(status, boot.readiness, **options),
            ports.port(status, boot.entries, **options),
            ports.port(SnapshotApp(self.registry), boot.peers, **options),
        ]
        metrics_port = os.environ.get(METRICS_VARIABLE)
        if metrics_port:
            address = f"{boot.ip}:{metrics_port}"
            self._ports.append(ports.port(status, address, **options))

    def _head_bounds(self) -> HeadBounds:
        catalog = self.registry.catalog
        bounds = catalog.bounds if catalog else Bounds()
        return HeadBounds(bounds.head_bytes, bounds.head_s, bounds.idle_s)

    def _look_again(self) -> None:
        """Looks for places for who waits, once a server takes requests."""
        self._room.look()
        self._owned.look_soon()

    def _gone(self, server: str) -> None:
        self._limits.gone(server)
        self.dispatcher.gone(server)
        self._owned.gone(server)

    def _adopt(self, snapshot: Snapshot, peer: str) -> None:
        try:
            news = self.registry.adopt(snapshot)
        except ValueError as exc:
            self.log.trouble("snapshot_unreadable", peer=peer, why=str(exc))
            return
        self._feed.report(news, peer)
        self._peers.tell_standing()
        self.log.trouble(
            "snapshot",
            peer=peer,
            version=snapshot.configuration_version,
            servers_version=snapshot.servers_version,
        )

    def _log_split(self, service, groups, demand) -> None:
        self.log.info(
            "split",
            service=service,
            groups={kind: list(names) for kind, names in groups.items()},
            work={item.kind: round(item.work, 2) for item in demand},
            size={item.kind: round(item.size) for item in demand},
            speeds=dataclasses.asdict(
                self.dispatcher.engines.of(service).speeds()
            ),
            **self._versions(),
        )

    def _versions(self) -> dict[str, float]:
        catalog: Catalog | None = self.registry.catalog
        return {
            "configuration": catalog.version if catalog else 0,
            "servers_version": self.registry.servers_version,
            "store_age_s": round(
                time.monotonic() - self._store_state.answered, 2
            ),
            "instances": self._peers.count,
            "knowledge_age_s": round(self._freshness.age_s(now_s()), 2),
        }

    @property
    def current(self) -> bool:
        """Whether the configuration is known to be the newest in force.

        The version that another instance has is no proof by itself: both may
        wait for a silent store. Its age is, whoever the store has told.
        """
        if self._freshness.age_s(now_s()) > CURRENT_S:
            return False
        if self.registry.misses_configuration:
            return False
        return not self._peers.standings.knows_newer(time.monotonic())

    def _takes(self, limit_s: float) -> bool:
        if self._stop is None:
            return True
        return self._stop.takes(limit_s, time.monotonic())

    def _entries(self, zone: str) -> list[Member]:
        membership = self._peers.membership
        members = membership.live()
        if not self._ready or self._stop is not None:
            members = [item for item in members if item is not membership.own]
        isolated = self._peers.standings.isolated(time.monotonic())
        if self._store_state.lost and isolated:
            # Neither the store nor any other instance answers: it is more
            # likely this one that is cut off than all others that are dead,
            # and a list of this one alone would bring it every caller.
            members = membership.view
        return entrylist.in_order(members, zone, self._rng)

    def _under_way(self) -> int:
        return len(self._callers_port.server_state.tasks)

    async def _tick(self) -> None:
        rounds = 0
        while True:
            await anyio.sleep(TICK_S)
            now = time.monotonic()
            self._freshness.tick(now_s())
            self._feed.expire(now)
            self.dispatcher.tick(now)
            self._owned.tick(now)
            self._see_instances()
            self._store_state.renew_after(
                self._followers.patience_s(lags=self._freshness.lags)
            )
            self._budget.saw_instances(self._peers.known, now)
            rounds += 1
            if rounds % TIDY_EVERY == 0:
                await self._channels.tidy()
            if (
                self._stop is None
                and not self._ready
                and self.registry.complete
            ):
                self._ready = True
                self.log.trouble("ready", **self._versions())
                self._peers.enter()

    def _see_instances(self) -> None:
        live = self._peers.membership.live()
        self._asking.saw_instances(self._peers.known, live)
        self._followers.saw_instances(
            live,
            shared=self._asking.active,
            without_store=self._peers.without_store(),
        )
        if self._duties is not None:
            self._duties.saw_instances(live)
        self._limits.saw_instances(live, self._peers.known, time.monotonic())
        self.dispatcher.sees_steps = not self._asking.active

    async def _join(self) -> None:
        registered = False
        while True:
            try:
                if not registered:
                    await self._instances.register(self.boot.peers)
                    registered = True
                    await anyio.sleep(REGISTER_PAUSE_S)
                self._peers.meet(await self._instances.addresses())
                self._store_state.worked("instances")
                await anyio.sleep(RENEW_INSTANCES_S)
            except StoreError as exc:
                self._store_state.failed("instances", exc.message)
                await anyio.sleep(self._rng.uniform(0.5, 1.5))

    async def _signals(self) -> None:
        try:
            with anyio.open_signal_receiver(
                signal.SIGTERM, signal.SIGINT, signal.SIGHUP
            ) as signals:
                async for number in signals:
                    if number == signal.SIGHUP:
                        self._reload("signal")
                    elif self._stop is None:
                        self.stop()
        finally:
            stopsignals.ignore_late()

    def stop(self) -> None:
        """Begins the planned stop."""
        self._stop = Stop(time.monotonic(), self.boot.grace_s)
        self.log.trouble("stopping", under_way=self._under_way())
        self._peers.leave()
        if self._duties is not None:
            self._duties.stop()

    async def _until_stopped(self) -> None:
        while True:
            await anyio.sleep(TICK_S)
            if self._stop is None:
                continue
            if self._stop.over(self._under_way(), time.monotonic()):
                break
        with anyio.move_on_after(END_PAUSE_S):
            try:
                await self._instances.unregister()
            except StoreError as exc:
                self.log.trouble("unregister_failed", why=exc.message)

    async def _watch_settings(self) -> None:
        while True:
            await anyio.sleep(SETTINGS_EVERY_S)
            self._reload("file")

    def _reload(self, source: str) -> None:
        loaded = bootfile.load(self._path)
        if loaded.is_err():
            problems = [str(item) for item in loaded.unwrap_err()]
            self.log.trouble("settings_faulty", source=source, why=problems)
            return
        boot = loaded.unwrap()
        if boot == self.boot:
            return
        self.boot = boot
        self._peers.meet(set(boot.seeds))
        self.log.trouble(
            "reload", source=source, settings=dataclasses.asdict(boot)
        )


def main() -> int:
    """Runs the instance that the settings file describes."""
    path = pathlib.Path(os.environ.get(BOOT_VARIABLE, ""))
    loaded = bootfile.load(path)
    if loaded.is_err():
        for problem in loaded.unwrap_err():
            print(problem, file=sys.stderr)
        return EXIT_USAGE
    instance = Instance(loaded.unwrap(), path)
    logging.basicConfig(level=logging.WARNING, handlers=[Bridge(instance.log)])
    # The server's own lines on answers that are left unfinished on purpose;
    # the request's line tells of them.
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
    # Requests leave no cycles worth a search after every few hundred objects.
    gc.set_threshold(GC_YOUNG_OBJECTS)
    anyio.run(instance.run)
    return 0
