"""Calls to the platform that one instance at a time makes."""

from typing import Any

import msgspec

from jasminerelay.dutycalls import Said
from jasminerelay.eventlog import EventLog
from jasminerelay.httpclient import (
    BrokenError,
    Client,
    Exchange,
    NotSentError,
)
from jasminerelay.scaling import Order
from jasminerelay.usage import Report

OK = 200
CONFLICT = 409
TOO_MANY = 429
DOWN = 503


class _Usage(msgspec.Struct):
    window: int = msgspec.field(name="windowNum")
    counts: dict[str, int]


class _Scale(msgspec.Struct, omit_defaults=True):
    service: str = msgspec.field(name="backend")
    zone: str
    # Of this kind alone, however many of the other there are.
    count: int = msgspec.field(name="desiredCount")
    preemptible: bool = False


class DutyApi:
    """Sends reports and orders under a fencing number."""

    def __init__(
        self,
        client: Client,
        address: str,
        name: str,
        timeout_s: float,
        log: EventLog,
    ):
        """Makes the client.

        Args:
            client: Opens and keeps the connections.
            address: IP:port that takes the calls.
            name: Name of this instance.
            timeout_s: Longest wait for an answer.
            log: Takes what was answered.
        """
        self._client = client
        self._base = f"http://{address}"
        self._name = name
        self._timeout_s = timeout_s
        self._log = log

    async def report(self, report: Report, fence: int) -> Said:
        """Reports a window's usage."""
        body = _Usage(report.window, report.counts)
        return await self._post("/usage", body, fence)

    async def order(self, order: Order, fence: int) -> Said:
        """Orders a number of servers."""
        body = _Scale(order.service, order.zone, order.count, order.preemptible)
        return await self._post("/scale", body, fence)

    async def _post(self, path: str, body: Any, fence: int) -> Said:
        exchange = Exchange(
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
            self._log.trouble("duty_call", path=path, why=str(exc))
            return Said.BUSY
        except BrokenError as exc:
            self._log.trouble("duty_call", path=path, why=str(exc))
            return Said.NOTHING
        if reply.status != OK:
            self._log.trouble(
                "duty_call",
                path=path,
                status=reply.status,
                why=reply.body.decode("utf-8", "replace")[:200],
            )
        return _said(reply.status)


def _said(status: int) -> Said:
    if status == OK:
        return Said.DONE
    if status == CONFLICT:
        return Said.CONFLICT
    if status in (TOO_MANY, DOWN):
        return Said.BUSY
    return Said.NOTHING
