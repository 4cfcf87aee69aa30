"""Wires an instance's part in the duties."""

import time

from jasminerelay.dispatcher import Dispatcher
from jasminerelay.duties import Duties
from jasminerelay.dutydesk import DutyDesk
from jasminerelay.eventlog import EventLog
from jasminerelay.fencing import Lease
from jasminerelay.freshness import now_s
from jasminerelay.httpclient import Client
from jasminerelay.leasing import LeaseKeeper
from jasminerelay.metrics import Counters
from jasminerelay.platform.bootfile import Boot
from jasminerelay.platform.dutyapi import DutyApi
from jasminerelay.platform.storeclient import Store
from jasminerelay.platform.tables import DutyTable
from jasminerelay.registry import Registry
from jasminerelay.schema.messages import Member
from jasminerelay.serverorders import ServerOrders
from jasminerelay.trueclock import TrueClock
from jasminerelay.usage import OwnUsage, UsageLedger
from jasminerelay.usagereports import UsageReports

LEASE_SHARE = 2 / 3
RENEW_SHARE = 1 / 3
CALL_SHARE = 1 / 6
"""Length of the lease, its age at which it is renewed, and longest wait for an
answer, as parts of the time in which no two instances may act in turns: a
holder that dies is followed within that time."""


def wire_duties(
    boot: Boot,
    own: Member,
    store: Store,
    client: Client,
    dispatcher: Dispatcher,
    registry: Registry,
    counters: Counters,
    log: EventLog,
) -> Duties | None:
    """Returns this instance's part; None where there are no duties."""
    rules = boot.duty_calls
    if rules is None or not (rules.usage or rules.servers):
        return None
    call_s = rules.lease_s * CALL_SHARE
    lease = Lease(
        rules.lease_s * LEASE_SHARE,
        call_s,
        renew_s=rules.lease_s * RENEW_SHARE,
        # Two acts may be on their way for unlike times.
        turn_s=rules.lease_s + call_s,
        started=now_s(),
    )
    table = DutyTable(store, log)
    keeper = LeaseKeeper(table, lease, boot.name, own.instance, now_s)
    calls = DutyApi(client, rules.address, boot.name, call_s, log)
    desk = DutyDesk(keeper, calls, rules.calls_s, now_s, counters, log)
    clock = TrueClock(now_s(), time.time())
    usage = OwnUsage(rules.window_s)
    ledger = UsageLedger()
    duties = Duties(
        own,
        keeper,
        desk,
        usage,
        ledger,
        clock,
        dispatcher,
        registry,
        counters,
        log,
    )
    duties.first_start = boot.first_start
    if rules.usage:
        duties.reports = UsageReports(
            desk,
            table,
            ledger,
            rules.window_s,
            rules.late_s,
            duties.true_s,
            counters,
            log,
        )
    if rules.servers:
        duties.orders = ServerOrders(
            desk, registry, duties.work, now_s, counters, log
        )
    return duties
