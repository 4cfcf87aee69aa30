"""Client of the platform's API for usage reports and server orders.

Only one instance at a time makes these calls, under a lease.
"""

from typing import Any

import msgspec

from jasminerelay.dutycalls import CallResult
from jasminerelay.eventlog import EventLog
from jasminerelay.httpclient import (
    HttpClient,
    HttpRequest,
    IncompleteExchangeError,
    NotSentError,
)
from jasminerelay.scaling import ServerOrder
from jasminerelay.usage import UsageReport

OK = 200
CONFLICT = 409
TOO_MANY_REQUESTS = 429
SERVICE_UNAVAILABLE = 503


class _Usage(msgspec.Struct):
    window: int = msgspec.field(name="windowNum")
    counts: dict[str, int]


class _Scale(msgspec.Struct, omit_defaults=True):
    service: str = msgspec.field(name="backend")
    zone: str
    # Number of servers of this kind, preemptible or not, without the others.
    count: int = msgspec.field(name="desiredCount")
    preemptible: bool = False


class DutyApi:
    """Sends usage reports and server orders with a fencing token."""

    def __init__(
        self,
        client: HttpClient,
        address: str,
        name: str,
        timeout_s: float,
        log: EventLog,
    ):
        """Creates the client.

        Args:
            client: HTTP client.
            address: IP:port of the platform's API.
            name: Name of this instance.
            timeout_s: Time limit for a call.
            log: Event log for failed calls.
        """
        self._client = client
        self._base = f"http://{address}"
        self._name = name
        self._timeout_s = timeout_s
        self._log = log

    async def report(self, report: UsageReport, fence: int) -> CallResult:
        """Reports the usage of a window."""
        body = _Usage(report.window, report.counts)
        return await self._post("/usage", body, fence)

    async def order(self, order: ServerOrder, fence: int) -> CallResult:
        """Sets the number of servers to run."""
        body = _Scale(order.service, order.zone, order.count, order.preemptible)
        return await self._post("/scale", body, fence)

    async def _post(self, path: str, body: Any, fence: int) -> CallResult:
        exchange = HttpRequest(
            "POST",
            f"{self._base}{path}",
            {
                "content-type": "application/json",
                "duty-holder": self._name,
                "fencing-token": str(fence),
            },
            msgspec.json.encode(body),
            self._timeout_s,
        )
        try:
            reply = await self._client.call(exchange)
        except NotSentError as exc:
            self._log.warn("duty_call", path=path, why=str(exc))
            return CallResult.UNAVAILABLE
        except IncompleteExchangeError as exc:
            self._log.warn("duty_call", path=path, why=str(exc))
            return CallResult.NO_ANSWER
        if reply.status != OK:
            self._log.warn(
                "duty_call",
                path=path,
                status=reply.status,
                why=reply.body.decode("utf-8", "replace")[:200],
            )
        return _result_of(reply.status)


def _result_of(status: int) -> CallResult:
    if status == OK:
        return CallResult.DONE
    if status == CONFLICT:
        return CallResult.CONFLICT
    if status in (TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE):
        return CallResult.UNAVAILABLE
    return CallResult.NO_ANSWER
