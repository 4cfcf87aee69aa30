"""Assembles the components of an instance that perform duties."""

import time

from jasminerelay.dispatcher import Dispatcher
from jasminerelay.duties import Duties
from jasminerelay.eventlog import EventLog
from jasminerelay.fencedcalls import FencedCaller
from jasminerelay.fencing import Lease
from jasminerelay.freshness import now_s
from jasminerelay.httpclient import HttpClient
from jasminerelay.leasing import LeaseManager
from jasminerelay.metrics import Counters
from jasminerelay.platform.bootfile import BootSettings
from jasminerelay.platform.dutyapi import DutyApi
from jasminerelay.platform.storeclient import Store
from jasminerelay.platform.tables import DutyTable
from jasminerelay.registry import Registry
from jasminerelay.schema.messages import Member
from jasminerelay.serverorders import Autoscaler
from jasminerelay.trueclock import TrueClock
from jasminerelay.usage import LocalUsage, UsageLedger
from jasminerelay.usagereports import UsageReporter

LEASE_SHARE = 2 / 3
RENEW_SHARE = 1 / 3
CALL_TIMEOUT_SHARE = 1 / 6
"""Duration of the lease, its age at renewal, and the time limit for a call, as
fractions of the time span within which calls of two instances must not
alternate. They let another instance replace a dead holder within that span."""


def build_duties(
    boot: BootSettings,
    own: Member,
    store: Store,
    client: HttpClient,
    dispatcher: Dispatcher,
    registry: Registry,
    counters: Counters,
    log: EventLog,
) -> Duties | None:
    """Returns the duties of this instance; None if none are configured."""
    options = boot.duty_calls
    if options is None or not (options.usage or options.servers):
        return None
    call_s = options.lease_s * CALL_TIMEOUT_SHARE
    lease = Lease(
        options.lease_s * LEASE_SHARE,
        call_s,
        renew_s=options.lease_s * RENEW_SHARE,
        # The delays of two calls on the network may differ by up to call_s.
        turn_s=options.lease_s + call_s,
        started=now_s(),
    )
    table = DutyTable(store, log)
    lease_manager = LeaseManager(table, lease, boot.name, own.instance, now_s)
    calls = DutyApi(client, options.address, boot.name, call_s, log)
    caller = FencedCaller(
        lease_manager, calls, options.calls_s, now_s, counters, log
    )
    clock = TrueClock(now_s(), time.time())
    usage = LocalUsage(options.window_s)
    ledger = UsageLedger()
    duties = Duties(
        own,
        lease_manager,
        caller,
        usage,
        ledger,
        clock,
        dispatcher,
        registry,
        counters,
        log,
    )
    duties.first_start = boot.first_start
    if options.usage:
        duties.reports = UsageReporter(
            caller,
            table,
            ledger,
            options.window_s,
            options.late_s,
            duties.true_s,
            counters,
            log,
        )
        duties.reports.missing = duties.missing_reports
    if options.servers:
        duties.orders = Autoscaler(
            caller, registry, duties.work, now_s, counters, log
        )
    return duties
