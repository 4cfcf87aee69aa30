"""Composition root of an instance on the platform."""

import dataclasses
import gc
import logging
import math
import os
import pathlib
import random
import signal
import sys
import time
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

import anyio

from jasminerelay import (
    callerconnection,
    clientlimits,
    entrylist,
    followerroles,
    httpconnection,
    netstream,
    ports,
    stopsignals,
    storebackoff,
    storeversion,
)
from jasminerelay.catalog import BackendServer, Catalog
from jasminerelay.channels import ChannelPool
from jasminerelay.clientlimits import LimitReport
from jasminerelay.crashnotices import CrashNotices
from jasminerelay.crashwatch import CrashWatch
from jasminerelay.dispatcher import Dispatcher
from jasminerelay.drainwatch import DrainWatch
from jasminerelay.errors import RelayError, StoreError
from jasminerelay.eventlog import EventLog, EventLogHandler
from jasminerelay.followerroles import FollowerRole
from jasminerelay.forwardingcontext import ForwardingContext
from jasminerelay.freshness import Freshness, now_s
from jasminerelay.httpclient import HttpClient
from jasminerelay.httpconnection import HeadLimits, HttpConnection
from jasminerelay.limitwatch import LimitWatch
from jasminerelay.listproof import ListProof
from jasminerelay.membership import ALIVE, LEAVING
from jasminerelay.metrics import Counters
from jasminerelay.migration import StreamMigrator
from jasminerelay.netstream import OpenConnection
from jasminerelay.originlookup import OriginLookup
from jasminerelay.ownedcells import OwnedCells
from jasminerelay.pathprobes import PathProbes
from jasminerelay.peerlink import PeerLink, SnapshotApp
from jasminerelay.pendingstarts import PendingStarts
from jasminerelay.placementclient import PlacementClient
from jasminerelay.placementqueue import PlacementQueue
from jasminerelay.platform import bootfile, decoding
from jasminerelay.platform.bootfile import BootSettings
from jasminerelay.platform.earlyports import SETTINGS_VARIABLE, EarlyPorts
from jasminerelay.platform.headers import OWN_FIELDS, PlatformDialect
from jasminerelay.platform.ingress import Ingress, IngressContext
from jasminerelay.platform.statusapp import StatusApp
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
from jasminerelay.relayclient import RelayClient
from jasminerelay.relayport import RELAY_PATH, RelayApp
from jasminerelay.scheduling.callerlimits import LimitHistory
from jasminerelay.scheduling.clientaccount import ClientAccount
from jasminerelay.scheduling.heldbytes import HeldBytes
from jasminerelay.scheduling.serverpaths import ServerPaths
from jasminerelay.schema.messages import (
    Member,
    RequestCrashes,
    StoreSnapshot,
)
from jasminerelay.serverends import ServerEnds
from jasminerelay.serverpauses import ServerPauses
from jasminerelay.sharedbudget import SharedRetryBudget
from jasminerelay.stalls import Stalls
from jasminerelay.stopping import PlannedShutdown
from jasminerelay.storefollowing import (
    INDIRECT_MODE,
    LEADER_LONG_POLL_S,
    FollowMode,
    RegistryFeed,
    StoreMonitor,
    TableFollower,
)
from jasminerelay.taskguard import TaskGuard
from jasminerelay.telemetry import Telemetry
from jasminerelay.watchdog import Watchdog

if TYPE_CHECKING:
    from jasminerelay.duties import Duties

METRICS_VARIABLE = "JASMINERELAY_METRICS_PORT"
EXIT_USAGE = 2

ENTRY_TTL_S = 2.0
"""Time for which callers cache an entry list; a crashed instance is detected
within it."""

STOP_CHECK_INTERVAL_S = 0.1
CHANNEL_CLEANUP_TICKS = 10
SETTINGS_POLL_S = 2.0
REGISTER_PAUSE_S = 0.4
"""Pause between writing this instance's row and reading the others', so that
instances that start together find each other with one read."""

START_WAIT_S = 0.3
INDIRECT_START_WAIT_S = 0.6
"""How long an instance that starts waits for other instances' data before it
reads the tables itself; the latter if others that start with it follow the
store closely. They start within some 0.3 s of each other."""

FIRST_CONTACT_S = 0.1
"""How long those others wait while no instance is known that accepts callers:
after a power loss none has data, and all callers wait for them."""

START_STEP_S = 0.02
"""Interval at which it looks whether the data has come."""

REGISTER_SPREAD_S = 1.0
"""Time over which the instances write their rows again after the store has lost
them."""

INSTANCES_POLL_S = 60.0
"""Interval of reading the instances' rows again, in case no datagram between
this instance and the others arrived at the start."""

UNREGISTER_TIMEOUT_S = 0.15
"""Time limit for removing the instance's row at a planned stop."""

LAST_ANSWERS_S = 0.05
"""Time between the closing of the ports and the exit, in which requests that
have arrived are refused."""

MAX_CONFIRMED_AGE_S = 1.8
"""Staleness of the tables' data up to which "not found" and "unknown key" are
returned as final. A change must be in force two seconds after the store
accepted it; the difference is left for messages in transit."""

GC_YOUNG_OBJECTS = 100_000


class Instance:
    """One instance on the platform.

    Attributes:
        boot: Its settings, as last loaded.
        running: Whether it is running; False again after a planned stop.
        held: Counts the bytes that it holds for callers and servers.
        clients: Account of its clients' connections, on all of its ports.
    """

    def __init__(
        self,
        boot: BootSettings,
        path: pathlib.Path,
        early_ports: EarlyPorts | None = None,
        open_connection: OpenConnection = netstream.open_connection,
    ):
        """Creates the components without starting them.

        Args:
            boot: Validated settings.
            path: The settings file, which is polled for changes.
            early_ports: Sockets that listen already.
            open_connection: Opens connections to backend servers.
        """
        self.boot = boot
        self._path = path
        self._early_ports = early_ports or EarlyPorts()
        self._open_connection = open_connection
        # Content of the settings file when it was last loaded without fault.
        self._settings_content: bytes | None = None
        self._rng = random.Random()
        self._planned_stop: PlannedShutdown | None = None
        self._stop_requested = anyio.Event()
        self._exiting = False
        self._ready = False
        self._ticks = 0
        self._live: list[Member] = []
        self._role_inputs: tuple[list[str], list[str], bool] | None = None
        self.running = False
        self.log = EventLog(boot.name)
        self.counters = Counters()
        self._guard = TaskGuard(self.counters, self.log)
        self.telemetry = Telemetry(self.counters)
        self._watchdog = Watchdog()
        self._stalls = Stalls()
        self.held = HeldBytes()
        self.clients = ClientAccount(self.held)
        clientlimits.apply_limits(
            self.clients, boot.memory_mb, boot.descriptors
        )
        LimitReport(self.clients, self.counters, self._warn)
        self._build_state()
        self._build_request_path()
        self._build_duties()
        self._build_ports()

    @property
    def callers(self) -> str:
        """IP:port for callers."""
        return self.boot.callers

    @property
    def entries(self) -> str:
        """IP:port where callers resolve the instances' addresses."""
        return self.boot.entries

    @property
    def readiness(self) -> str:
        """IP:port of the readiness probe."""
        return self.boot.readiness

    @property
    def ready(self) -> bool:
        """Whether this instance accepts callers."""
        return self._ready and self._planned_stop is None

    @property
    def listening(self) -> bool:
        """Whether the callers' port is open."""
        return self._callers_port.started

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 before the first."""
        catalog = self.registry.catalog
        return catalog.version if catalog else 0

    @property
    def live_instance_count(self) -> int:
        """Number of instances that accept callers, this one included."""
        return len(self._peers.membership.live())

    def add_peer_address(self, address: str) -> None:
        """Adds an address at which another instance may be reachable."""
        self._peers.add_addresses({address})

    async def run(self, *, signals: bool = True) -> None:
        """Runs the instance until its planned stop is complete.

        Args:
            signals: Whether to handle SIGTERM, SIGINT and SIGHUP.
        """
        self.running = True
        self._freshness.start(now_s())
        self.log.warn("start", settings=dataclasses.asdict(self.boot))
        async with anyio.create_task_group() as group:
            for port in self._ports:
                group.start_soon(port.serve)
            if signals:
                group.start_soon(self._handle_signals)
            # The link's messages are guarded one by one; if its port cannot be
            # opened, the process ends.
            group.start_soon(self._peers.run)
            for name, task in self._tasks().items():
                group.start_soon(self._guard.keep_running, name, task)
            await self._wait_for_stop()
            group.cancel_scope.cancel()
        self.log.warn("stop", under_way=self._requests_in_flight())
        self.running = False

    def _tasks(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """Returns the tasks that run until the stop, by name."""
        feed = self._registry_feed
        tasks = {
            "watchdog": self._watchdog.run,
            "placement queue": self._placement_queue.run,
            "placement client": self._placement_client.run,
            "owned cells": self._owned_cells.run,
            "rate limits": self._rate_limits.run,
            "drains": self._drains.run,
            "crash notices": self._crash_notices.run,
            "path probes": self._path_probes.run,
            "origins": self._origins.run,
            "peer discovery": self._discover_peers,
            "peer data": self._await_peer_data,
            "settings": self._watch_settings,
            "crashes": lambda: self._crashes.run(
                self._save_crashes,
                self._read_crashes,
                lambda: self._follower_role.is_leader,
            ),
            "configuration": lambda: self._configuration_follower.run(
                feed.apply_operator_rows,
                feed.apply_operator_rows,
                self._configuration_start,
            ),
            "servers": lambda: self._servers_follower.run(
                feed.apply_all_servers,
                feed.apply_server_changes,
                self._servers_start,
            ),
        }
        if self._duties is not None:
            tasks["duties"] = self._duties.run
        return tasks

    def _build_state(self) -> None:
        boot = self.boot
        self.registry = Registry(decoding.catalog, decoding.server)
        self._catalog: Catalog | None = None
        self._configured_at = time.monotonic()
        self._limits = LimitHistory()
        self.client = HttpClient(self._watchdog, keepalive=True)
        store = self._store = Store(self.client, boot.store, self._warn)
        store.on_new_era = self._on_store_restored
        self._register_again = anyio.Event()
        self._peer_data_awaited = anyio.Event()
        self._has_peer_data = False
        self._logged_outage: tuple[float, storebackoff.Outage] | None = None
        self._freshness = Freshness((OPERATOR_TABLE, SERVERS_TABLE))
        self._store_state = StoreMonitor(
            self.registry, self._freshness, self.log, self._rng
        )
        self._store_state.outage = self._classify_outage
        self._registry_feed = RegistryFeed(
            self.registry, CONFIGURATION_KEY, self.counters, self.log
        )
        self._instance_table = InstanceTable(store, boot.ip, self.log)
        self._crash_table = CrashTable(store, self.log)
        self._configuration_follower = self._new_follower(
            store,
            OPERATOR_TABLE,
            leader_polls=lambda: True,
        )
        self._servers_follower = self._new_follower(
            store,
            SERVERS_TABLE,
            leader_polls=lambda: self._follower_role.polls_all_tables(
                time.monotonic()
            ),
        )

    def _new_follower(
        self, store: Store, table: str, *, leader_polls: Callable[[], bool]
    ) -> TableFollower:
        close_mode = FollowMode()
        leader_mode = FollowMode(wait_s=LEADER_LONG_POLL_S)

        def current_mode() -> FollowMode:
            if self._follower_role.is_leader and leader_polls():
                return leader_mode
            return (
                close_mode
                if self._follower_role.follows_closely()
                else INDIRECT_MODE
            )

        return TableFollower(
            table,
            TableSource(store, table),
            self._store_state,
            self.counters,
            self._rng,
            current_mode,
        )

    def _build_request_path(self) -> None:
        boot = self.boot
        # Each process is a separate member, so that a restarted instance is
        # not mistaken for its unresponsive predecessor.
        member_id = f"{boot.name}/{self._rng.getrandbits(48):012x}"
        self._rate_limits = LimitWatch(
            member_id,
            lambda server: self.registry.server(server) is not None,
            self.counters,
            self.log,
            self._rng,
        )
        self._drains = DrainWatch(
            member_id, self.registry, self.counters, self.log, self._rng
        )
        self._pauses = ServerPauses(self.counters, self._warn, self._rng)
        self.dispatcher = Dispatcher(
            self.registry,
            boot.zone,
            lambda: self._peers.count,
            allowance=self._rate_limits.allowance,
            pauses=self._pauses,
        )
        self.dispatcher.on_split_change = self._log_split
        self.dispatcher.on_speed_change = self._log_speed
        member = Member(
            member_id, "", boot.zone, boot.callers, "", boot.peers, LEAVING, 0
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
        self._peers.add_addresses(set(boot.seeds))
        self._peers.on_round = self._tick
        self._peers.on_snapshot = self._merge_snapshot
        self._peers.on_store_lost = self._store_state.check
        self._store_state.on_confirmed_or_lost = (
            self._peers.broadcast_confirmation
        )
        self._placement_queue = PlacementQueue(
            self.dispatcher.place,
            self.dispatcher.expect,
            self.dispatcher.busy_s,
            self.dispatcher.reserve,
            actual_busy=self.dispatcher.actual_busy_s,
            headroom=self.dispatcher.headroom,
            counters=self.counters,
        )
        self._build_cells(member_id)
        self._crashes = CrashWatch(
            member_id,
            self.registry,
            self.counters,
            self.log,
            self._rng,
            # Built later, with the paths to servers.
            lambda server: self._ends.find(server),
        )
        self._crash_notices = CrashNotices(
            member_id, self.registry, self.counters, self.log, self._rng
        )
        self._connect_crash_notices()
        self._crashes.members = self._peers.membership.live
        self._crashes.send = self._peers.send_message
        self._peers.on_crashes = self._crashes.handle_message
        self._rate_limits.find_placer = self._placement_client.owner_of_server
        self._rate_limits.send = self._peers.send_message
        self._rate_limits.on_grant = self._retry_placement
        self._peers.on_limits = self._rate_limits.handle_message
        self._drains.members = self._peers.membership.live
        self._drains.send = self._peers.send_message
        self._drains.on_change = lambda change, source: (
            self._registry_feed.report_changes([change], source)
        )
        self._peers.on_drains = self._drains.handle_message
        self._connect_origins(member_id)
        self._build_paths()
        self._retry_budget = SharedRetryBudget(
            boot.retry_ratio,
            boot.retry_allowance,
            boot.retry_window_s,
            # At the first start of all there is nobody that it follows.
            -math.inf if boot.first_start else time.monotonic(),
        )

    def _build_paths(self) -> None:
        self._paths = ServerPaths()
        self.dispatcher.out_of_reach = self._paths.relays

        def others() -> list[Member]:
            return [
                member
                for member in self._peers.membership.live()
                if member.peers != self.boot.peers
            ]

        relays = RelayClient(
            self.boot.zone,
            others,
            self._watchdog,
            self.counters,
            self._rng,
        )
        self._channels = ChannelPool(
            self._watchdog,
            self.counters,
            self._open_connection,
            self._paths,
            relays,
        )
        self._channels.on_out_of_reach = self._on_out_of_reach
        self._ends = ServerEnds(
            self._channels,
            self._paths,
            self.registry.servers,
            lambda: not others(),
            self.counters,
            self._rng,
        )
        self._path_probes = PathProbes(
            self._paths,
            self._channels,
            self.registry.server,
            self.dispatcher.silent_servers,
        )

    def _on_out_of_reach(self, server: BackendServer) -> None:
        self.log.warn(
            "server_out_of_reach", server=server.id, all=self._paths.cut
        )
        # What failed was this instance's links, not the servers.
        now = time.monotonic()
        others = self.registry.servers() if self._paths.cut else ()
        for item in (server, *others):
            self.dispatcher.health(item.service).succeeded(item.id)
            self.dispatcher.record_response(item.id, now)

    def _connect_origins(self, member_id: str) -> None:
        origins = self._origins = OriginLookup(
            member_id, self.boot.peers, self.registry, self.counters
        )
        origins.members = self._peers.membership.live
        origins.send = self._peers.send_to_address
        origins.age_s = lambda: self._freshness.age_s(now_s())
        origins.confirm = ListProof(
            SERVERS_TABLE,
            TableSource(self._store, SERVERS_TABLE),
            self.registry,
            self._registry_feed,
            self._store_state,
            self.counters,
        ).confirm
        self.registry.on_unlisted = self._on_unlisted
        self._peers.on_origins = origins.handle_message
        self._registry_feed.on_ended = origins.record_end

    def _on_unlisted(self, server: BackendServer | None) -> None:
        if server is None:
            self._origins.on_list_lost()
        else:
            self._origins.record_end(server)

    def _connect_crash_notices(self) -> None:
        notices = self._crash_notices
        notices.members = self._peers.membership.live
        notices.send = self._peers.send_message
        notices.enabled = lambda: not self._placement_client.active
        notices.on_crash = lambda server: self.dispatcher.health(
            server.service
        ).report_failed(server.id, time.monotonic())
        notices.on_refuted = lambda server: self.dispatcher.health(
            server.service
        ).succeeded(server.id)
        self._peers.on_crashed_servers = notices.handle_message
        self._crashes.on_ended = self._on_server_ended

    def _on_server_ended(self, server_id: str) -> None:
        server = self.registry.server(server_id)
        if server is not None:
            self._crash_notices.on_failure(server, ended=True)

    def _build_cells(self, member_id: str) -> None:
        boot = self.boot
        self._owned_cells = OwnedCells(
            member_id,
            boot.zone,
            self.registry,
            self.dispatcher.engine_models,
            self.dispatcher.lengths,
            self.counters,
            self._rate_limits.allowance,
        )
        self._placement_client = PlacementClient(
            member_id,
            boot.peers,
            self.registry,
            self.dispatcher,
            self._placement_queue,
            self.counters,
        )
        self._owned_cells.on_split = self._log_split
        self._owned_cells.on_speed = self._log_speed
        self._follower_role = FollowerRole(member_id, boot.zone)
        self._peers.connect_components(
            self._owned_cells, self._placement_client, self._follower_role
        )

    def _build_duties(self) -> None:
        self._duties: Duties | None = None
        if self.boot.duty_calls is None:
            return
        # Imported here since many deployments configure no duties.
        from jasminerelay.platform.dutyassembly import build_duties

        self._duties = build_duties(
            self.boot,
            self._peers.membership.own_member,
            self._store,
            self.client,
            self.dispatcher,
            self.registry,
            self.counters,
            self.log,
        )
        if self._duties is not None:
            self._duties.send = self._peers.send_message
            self._peers.on_duty = self._duties.handle_message

    def _build_ports(self) -> None:
        boot = self.boot
        dialect = PlatformDialect()
        stream_migrator = StreamMigrator(
            self.client, dialect, self.counters, self.log
        )
        self._registry_feed.on_leaving = stream_migrator.leaving
        self._registry_feed.on_removed = self._on_server_removed
        self._registry_feed.on_changed = self._on_data_changed
        forwarding = ForwardingContext(
            self.dispatcher,
            self._placement_client,
            self._channels,
            dialect,
            stream_migrator,
            self._retry_budget,
            self._crashes,
            self._rate_limits,
            self._drains,
            self._pauses,
            self.counters,
            self.telemetry,
            self.log,
            self._rng,
            self._duties.record_start if self._duties else lambda *_: None,
            self._versions,
            self.held,
            self._crash_notices,
            self._ends,
            self._origins,
            self._duties.pending_starts if self._duties else PendingStarts(),
            self._may_move,
            self._stalls,
        )
        front = IngressContext(
            forwarding,
            lambda: self.registry.catalog if self.registry.complete else None,
            lambda: self.configuration_confirmed,
            self._limits.known_since,
            lambda: self._planned_stop is not None,
            self._accepts,
            self.log,
        )
        status = StatusApp(
            lambda: self.ready,
            self._entries,
            lambda: min(ENTRY_TTL_S, self.boot.entry_ttl_s),
            self.telemetry.text,
        )
        options: dict[str, Any] = {
            "server_header": False,
            "date_header": False,
        }
        take = self._early_ports.take
        self._ingress = Ingress(front)
        callers = self._client_connection(OWN_FIELDS, self._on_malformed)
        self._callers_port = ports.port(
            self._ingress,
            boot.callers,
            sock=take(boot.callers),
            http=callers,
            **options,
        )
        others = self._client_connection()
        peers = httpconnection.limited(self._request_head_bounds)
        self._ports = [
            self._callers_port,
            *(
                ports.port(
                    status, address, sock=take(address), http=others, **options
                )
                for address in (boot.readiness, boot.entries)
            ),
            ports.port(self._peer_app(), boot.peers, http=peers, **options),
        ]
        # The settings may have changed since the ports were opened.
        self._early_ports.close_unused()
        metrics_port = os.environ.get(METRICS_VARIABLE)
        if metrics_port:
            address = f"{boot.ip}:{metrics_port}"
            self._ports.append(
                ports.port(status, address, http=others, **options)
            )

    def _client_connection(self, *arguments) -> type[HttpConnection]:
        """Returns the class of the connections of a port for clients."""
        return callerconnection.with_flow_control(
            httpconnection.limited(
                self._request_head_bounds, *arguments, clients=self.clients
            ),
            self.held,
            self.counters,
            self.log,
        )

    def _peer_app(self):
        """Returns the ASGI application of the port for other instances."""
        snapshots = SnapshotApp(self.registry)
        relays = self._relay_app = RelayApp(
            self.registry.server,
            lambda server: (
                self._planned_stop is None and not self._paths.relays(server)
            ),
            self._open_connection,
            self.counters,
            lambda: self._paths.reaches_servers(time.monotonic()),
            self._ends.path_is_good,
        )

        relays.on_unreachable = self._path_probes.doubt
        relays.on_reached = lambda server: self._paths.record_direct(
            server, time.monotonic()
        )

        async def serve(scope, receive, send) -> None:
            app = relays if scope["path"] == RELAY_PATH else snapshots
            await app(scope, receive, send)

        return serve

    def _request_head_bounds(self, began_at: float) -> HeadLimits:
        bounds = self._limits.known_since(began_at)
        return HeadLimits(
            bounds.head_bytes, bounds.head_timeout_s, bounds.idle_timeout_s
        )

    def _on_malformed(self, error: RelayError) -> None:
        self.counters.incr("caller.malformed")
        self.log.warn("malformed", status=error.status, why=error.message)

    def _warn(self, event: str, **fields: object) -> None:
        self.log.warn(event, **fields)

    def _retry_placement(self) -> None:
        """Places queued requests once a server accepts requests again."""
        self._placement_queue.place_all()
        self._owned_cells.schedule_scan()

    def _on_server_removed(self, server: str) -> None:
        self._rate_limits.gone(server)
        self._pauses.forget(server)
        self._paths.forget(server)
        self.dispatcher.gone(server)
        self._owned_cells.gone(server)

    def _on_data_changed(self) -> None:
        if self.registry.catalog is not self._catalog:
            self._catalog = self.registry.catalog
            self._configured_at = time.monotonic()
            if self._catalog is not None:
                self._limits.replace(self._catalog.bounds, self._configured_at)
        self._peers.notify_dependents()
        if self.registry.complete:
            self._ingress.serve_early_requests()

    def _merge_snapshot(self, snapshot: StoreSnapshot, peer: str) -> None:
        try:
            changes = self.registry.merge_snapshot(snapshot)
        except Exception as exc:
            self.log.warn("snapshot_unreadable", peer=peer, why=repr(exc))
            return
        self._registry_feed.report_changes(changes, peer)
        self._on_data_changed()
        self.log.warn(
            "snapshot",
            peer=peer,
            version=snapshot.configuration_version,
            servers_version=snapshot.servers_version,
        )

    def _log_speed(self, service, server, estimate) -> None:
        self.counters.incr("speed.changed")
        self.log.info(
            "server_speed",
            service=service,
            server=server,
            **estimate.log_fields(),
        )

    def _log_split(self, service, groups, demand) -> None:
        self.log.info(
            "split",
            service=service,
            groups={kind: list(names) for kind, names in groups.items()},
            work={item.kind: round(item.work, 2) for item in demand},
            size={item.kind: round(item.size) for item in demand},
            speeds=dataclasses.asdict(
                self.dispatcher.engine_models.of(service).speeds()
            ),
            **self._versions(),
        )

    def _versions(self) -> dict[str, float]:
        catalog: Catalog | None = self.registry.catalog
        return {
            "configuration": catalog.version if catalog else 0,
            "configuration_age_s": round(
                time.monotonic() - self._configured_at, 2
            ),
            "servers_version": storeversion.number_of(
                self.registry.servers_version
            ),
            "store_age_s": round(
                time.monotonic() - self._store_state.last_answer_at, 2
            ),
            "instances": self._peers.count,
            "knowledge_age_s": round(self._freshness.age_s(now_s()), 2),
        }

    @property
    def configuration_confirmed(self) -> bool:
        """Whether the configuration is confirmed to be the newest in force.

        An equal version at another instance does not confirm it, since both
        may be waiting for an unresponsive store. The time since the store last
        confirmed the version does, whichever instance it answered.
        """
        if self._freshness.age_s(now_s()) > MAX_CONFIRMED_AGE_S:
            return False
        if self.registry.has_unreadable_configuration:
            return False
        return not self._peers.peer_status.newer_configuration_reported(
            time.monotonic()
        )

    def _accepts(self, time_limit_s: float) -> bool:
        if self._planned_stop is None:
            return True
        if self._exiting:
            return False
        return self._planned_stop.accepts(time_limit_s, time.monotonic())

    def _may_move(self) -> bool:
        if self._planned_stop is None:
            return True
        return self._planned_stop.may_move(time.monotonic())

    def _entries(self, zone: str) -> list[Member]:
        membership = self._peers.membership
        members = membership.live()
        if not self._ready or self._planned_stop is not None:
            members = [
                item
                for item in members
                if item.instance != membership.own_member.instance
            ]
        isolated = self._peers.peer_status.isolated(time.monotonic())
        if self._store_state.lost and isolated:
            # Neither the store nor any other instance responds. More likely
            # this instance is partitioned than all others have crashed, and a
            # list of this instance alone would direct every caller to it.
            members = membership.view
        return entrylist.shuffled_by_zone(members, zone, self._rng)

    def _requests_in_flight(self) -> int:
        return (
            len(self._callers_port.server_state.tasks) + self._relay_app.count
        )

    async def _tick(self) -> None:
        """Runs before each round of messages, in the same wake-up."""
        now = time.monotonic()
        stalled_s = self._freshness.tick(now_s())
        if 0.0 < stalled_s < math.inf:
            self.counters.incr("instance.stalled")
            self.log.warn("stalled", stalled_s=round(stalled_s, 2))
            self._stalls.record(stalled_s, now)
        self._registry_feed.expire(now)
        self._origins.tick(now)
        self.dispatcher.tick(now)
        self._owned_cells.tick(now)
        self._path_probes.tick(now)
        self._update_instances()
        self._store_state.abort_waits_if_older(
            self._follower_role.poll_age_s(
                lags=self._follower_role.record_lag(
                    now, versions_differ=self._freshness.versions_differ
                )
            )
        )
        self._retry_budget.record_instances(
            self._peers.expected_count, self._peers.count, now
        )
        self._ticks += 1
        if self._ticks % CHANNEL_CLEANUP_TICKS == 0:
            await self._channels.close_expired()
        if (
            self._planned_stop is None
            and not self._ready
            and self.registry.complete
        ):
            self._ready = True
            self.log.warn("ready", **self._versions())
            self._peers.announce_ready()

    def _update_instances(self) -> None:
        live = self._peers.membership.live()
        live_changed = live is not self._live
        self._live = live
        self._placement_client.update_instances(
            self._peers.known_count, self._peers.membership.unfailed()
        )
        without_store = self._peers.without_store()
        # Only the order of calls to a lost store depends on them.
        starting = self._peers.starting() if self._store_state.lost else []
        shared = self._has_followers()
        role_inputs = (without_store, starting, shared)
        if live_changed or role_inputs != self._role_inputs:
            self._role_inputs = role_inputs
            self._follower_role.update_instances(
                live,
                shared=shared,
                without_store=without_store,
                starting=starting,
            )
        self._peers.peer_status.fetches_at_once = (
            not self._follower_role.follows_closely()
        )
        if live_changed and self._duties is not None:
            self._duties.update_instances(live)
        self._rate_limits.update_instances(
            live, self._peers.expected_count, time.monotonic()
        )
        self.dispatcher.measures_step_times = not self._placement_client.active

    def _has_followers(self) -> bool:
        """Returns whether some instances follow the store for all."""
        known = self._peers.known_count
        return (
            self._placement_client.active
            or known >= followerroles.MIN_INSTANCES_FOR_FOLLOWERS
        )

    def _classify_outage(self) -> storebackoff.Outage:
        now = time.monotonic()
        lost_since = self._store_state.lost_since
        age_s = self._freshness.age_s(now_s())
        outage = storebackoff.classify(
            self._peers.peer_status.reports,
            lost_since,
            now,
            age_s=age_s,
            is_first_caller=self._follower_role.is_first_caller,
        )
        if self._logged_outage != (lost_since, outage):
            self._logged_outage = (lost_since, outage)
            self.log.info(
                "store_retry",
                kind=outage.name.lower(),
                lost_s=round(now - lost_since, 2),
                knowledge_age_s=round(age_s, 2),
                instances=self._peers.count,
            )
        return outage

    def _on_store_restored(self) -> None:
        """Handles that the store has come back from a copy of its data."""
        self._store_state.on_new_era()
        self._origins.on_list_lost()
        self._register_again.set()
        if self._follower_role.is_leader:
            self._crashes.save_again()
        if self._duties is not None:
            self._duties.on_store_restored()

    async def _save_crashes(self, crashes: RequestCrashes) -> None:
        await self._store_state.turns.answered()
        await self._crash_table.save(crashes)

    async def _read_crashes(self) -> list[RequestCrashes]:
        await self._store_state.turns.answered()
        return await self._crash_table.read()

    async def _await_peer_data(self) -> None:
        """Waits for other instances' data, which saves reading the tables.

        If all instances start at once, those that follow the store closely read
        the tables soon, and the others wait for them.
        """
        if not self._peers.has_addresses:
            with anyio.move_on_after(START_WAIT_S):
                await self._find_peers()
        began = time.monotonic()
        while self._peers.has_addresses and not self.registry.complete:
            if time.monotonic() - began > self._start_wait_s():
                break
            await anyio.sleep(START_STEP_S)
        self._has_peer_data = self.registry.complete
        # Decides whether this instance leads before it follows the tables.
        self._update_instances()
        self._peer_data_awaited.set()

    def _start_wait_s(self) -> float:
        known = self._peers.membership.view
        if any(member.state == ALIVE for member in known[1:]):
            return START_WAIT_S
        if followerroles.reads_at_start(known[0], known):
            return FIRST_CONTACT_S
        return INDIRECT_START_WAIT_S

    async def _configuration_start(self) -> int | None:
        """Returns the version from which to follow the configuration."""
        await self._peer_data_awaited.wait()
        version = self.registry.configuration_version
        return version if self._has_peer_data else None

    async def _servers_start(self) -> int | None:
        """Returns the version from which to follow the servers."""
        await self._peer_data_awaited.wait()
        return self.registry.servers_version if self._has_peer_data else None

    async def _find_peers(self) -> bool:
        """Reads the other instances' addresses; returns whether it could."""
        try:
            self._peers.add_addresses(await self._instance_table.addresses())
        except StoreError as exc:
            self._store_state.failed("instances", exc.message)
            return False
        self._store_state.succeeded("instances")
        return True

    async def _register(self) -> bool:
        """Writes this instance's row; returns whether it could."""
        self._register_again = anyio.Event()
        try:
            await self._instance_table.register(self.boot.peers)
        except StoreError as exc:
            self._store_state.failed("instances", exc.message)
            return False
        self._store_state.succeeded("instances")
        return True

    async def _discover_peers(self) -> None:
        registered = False
        knows_peers = False
        while True:
            await self._store_state.turns.take("instances")
            if not registered:
                registered = await self._register()
                if not registered:
                    continue
                await anyio.sleep(REGISTER_PAUSE_S)
                # The instance that sent the data knows the others.
                knows_peers = self._has_peer_data
            if not knows_peers and not await self._find_peers():
                continue
            knows_peers = False
            with anyio.move_on_after(INSTANCES_POLL_S):
                await self._register_again.wait()
                registered = False
                # All instances see the new era within milliseconds.
                await anyio.sleep(self._rng.uniform(0.0, REGISTER_SPREAD_S))

    async def _handle_signals(self) -> None:
        try:
            with anyio.open_signal_receiver(
                signal.SIGTERM, signal.SIGINT, signal.SIGHUP
            ) as signals:
                async for number in signals:
                    if number == signal.SIGHUP:
                        self._reload("signal")
                    elif self._planned_stop is None:
                        self.stop()
        finally:
            stopsignals.ignore_further_signals()

    def stop(self) -> None:
        """Starts the planned stop."""
        self._planned_stop = PlannedShutdown(
            time.monotonic(), self.boot.grace_s
        )
        self._stop_requested.set()
        self.log.warn("stopping", under_way=self._requests_in_flight())
        self._peers.announce_leaving()
        self._origins.hand_over()
        if self._duties is not None:
            self._duties.stop()

    async def _wait_for_stop(self) -> None:
        await self._stop_requested.wait()
        while not self._planned_stop.finished(
            self._requests_in_flight() + len(self._unread_ends()),
            time.monotonic(),
        ):
            await anyio.sleep(STOP_CHECK_INTERVAL_S)
        # A request that is accepted during the exit would lose its answer.
        self._exiting = True
        self._placement_client.stop()
        async with anyio.create_task_group() as group:
            group.start_soon(self._unregister)
            if self._duties is not None:
                group.start_soon(self._duties.send_final_report)
        for connection in self._unread_ends():
            connection.log_unread_end("the instance stopped")
        # Callers that connect while the process ends would wait for nothing.
        async with anyio.create_task_group() as group:
            for port in self._ports:
                group.start_soon(port.end, LAST_ANSWERS_S)

    def _unread_ends(self) -> list:
        """Returns the connections whose callers have yet to read the end."""
        connections = self._callers_port.server_state.connections
        return [item for item in connections if item.has_unread_end]

    async def _unregister(self) -> None:
        with anyio.move_on_after(UNREGISTER_TIMEOUT_S):
            try:
                await self._instance_table.unregister()
            except StoreError as exc:
                self.log.warn("unregister_failed", why=exc.message)

    async def _watch_settings(self) -> None:
        while True:
            await anyio.sleep(SETTINGS_POLL_S)
            self._reload("file")

    def _reload(self, source: str) -> None:
        try:
            content = self._path.read_bytes()
        except OSError:
            content = None
        if content is not None and content == self._settings_content:
            return
        loaded = bootfile.load(self._path)
        if loaded.is_err():
            problems = [str(item) for item in loaded.unwrap_err()]
            self.log.warn("settings_faulty", source=source, why=problems)
            return
        self._settings_content = content
        boot = loaded.unwrap()
        if boot == self.boot:
            return
        self.boot = boot
        clientlimits.apply_limits(
            self.clients, boot.memory_mb, boot.descriptors
        )
        self._peers.add_addresses(set(boot.seeds))
        self.log.warn(
            "reload", source=source, settings=dataclasses.asdict(boot)
        )


def main(
    early_ports: EarlyPorts | None = None, bundle_use: dict | None = None
) -> int:
    """Runs the instance that the settings file describes.

    Args:
        early_ports: Sockets that listen already.
        bundle_use: How far the program was imported from the bundle of compiled
            code, for the log.
    """
    path = pathlib.Path(os.environ.get(SETTINGS_VARIABLE, ""))
    loaded = bootfile.load(path)
    if loaded.is_err():
        for problem in loaded.unwrap_err():
            print(problem, file=sys.stderr)
        if early_ports is not None:
            early_ports.refuse_waiting()
        return EXIT_USAGE
    instance = Instance(loaded.unwrap(), path, early_ports)
    logging.basicConfig(
        level=logging.WARNING, handlers=[EventLogHandler(instance.log)]
    )
    if bundle_use is not None:
        instance.log.warn("code_bundle", **bundle_use)
    # Uvicorn logs every response that is left incomplete on purpose; the event
    # log's line of the request covers these.
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
    # Requests leave hardly any reference cycles, so a collection after every
    # few hundred new objects would be wasted.
    gc.set_threshold(GC_YOUNG_OBJECTS)
    # What exists by now stays until the end and need not be searched again.
    gc.freeze()
    gc.enable()
    anyio.run(instance.run)
    return 0
