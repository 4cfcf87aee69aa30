"""Stand-in for the platform's API that the duties call under a lease.

A checker decides the platform's responses and records violations of the rules,
such as two lease holders at once. `PlatformDuties` serves the API over HTTP.
"""

import dataclasses
import time

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse
from starlette.routing import Route

from standins.common import FaultInjector, Faults

OK = 200
CONFLICT = 409


@dataclasses.dataclass(frozen=True)
class AcceptedCall:
    """An accepted call.

    Attributes:
        at: Time of the call, in seconds.
        machine: Instance that made the call.
        fence: Fencing token of the call.
    """

    at: float
    machine: str
    fence: int


class DutyCallChecker:
    """Accepts or refuses the calls of all instances and checks them.

    Attributes:
        violations: Violations found.
        reports: Reported request counts, by window.
        first_report_times: Time of the first report, by window.
        servers: Number of servers ordered, by service, zone and whether they
            are preemptible.
        accepted_calls: Accepted calls, by subject.
        refused_count: Number of calls refused since a higher token was seen.
    """

    def __init__(self, *, checks_fences: bool = True, lease_s: float = 3.0):
        """Creates a checker without recorded calls.

        Args:
            checks_fences: Whether calls with outdated tokens are refused.
            lease_s: Lease duration, within which calls of two instances must
                not alternate.
        """
        self._checks_fences = checks_fences
        self._lease_s = lease_s
        self.violations: list[str] = []
        self.reports: dict[int, dict[str, int]] = {}
        self.first_report_times: dict[int, float] = {}
        self.servers: dict[tuple[str, str, bool], int] = {}
        self.accepted_calls: dict[str, list[AcceptedCall]] = {}
        self.refused_count = 0

    def usage(
        self,
        machine: str,
        fence: int,
        window: int,
        counts: dict[str, int],
        now: float,
        *,
        excused: bool = False,
    ) -> int:
        """Handles a usage report; returns the response status.

        Args:
            machine: Instance that sent it.
            fence: Its fencing token.
            window: Number of the usage window.
            counts: Request counts by organisation.
            now: Time of the call.
            excused: Whether the instance froze before the call, so that an
                outdated token or alternation is no violation.
        """
        if not self._admit("usage", machine, fence, now, excused):
            return CONFLICT
        held = self.reports.setdefault(window, counts)
        self.first_report_times.setdefault(window, now)
        if held != counts:
            self.violations.append(
                f"window {window} reported twice: {held}, {counts}"
            )
        return OK

    def scale(
        self,
        machine: str,
        fence: int,
        server_group: tuple[str, str, bool],
        count: int,
        now: float,
        *,
        excused: bool = False,
    ) -> int:
        """Handles an order of servers; returns the response status.

        Args:
            machine: Instance that sent it.
            fence: Its fencing token.
            server_group: Service, zone and whether the servers are preemptible.
            count: Number of servers.
            now: Time of the call.
            excused: Whether the instance froze before the call, so that an
                outdated token or alternation is no violation.
        """
        subject = f"{server_group[0]}/{server_group[1]}"
        if not self._admit(subject, machine, fence, now, excused):
            return CONFLICT
        self.servers[server_group] = count
        return OK

    def _admit(
        self, subject: str, machine: str, fence: int, now: float, excused: bool
    ) -> bool:
        accepted_calls = self.accepted_calls.setdefault(subject, [])
        for accepted in accepted_calls:
            if accepted.fence == fence and accepted.machine != machine:
                self._record_violation(
                    f"{subject}: token {fence} of {accepted.machine}, {machine}"
                )
        highest = max(
            (accepted.fence for accepted in accepted_calls), default=0
        )
        if fence < highest:
            if self._checks_fences:
                self.refused_count += 1
                return False
            if excused:
                return True
            self._record_violation(
                f"{subject}: token {fence} of {machine} after {highest}"
            )
        accepted_calls.append(AcceptedCall(now, machine, fence))
        if not excused and self._has_alternated(accepted_calls, machine, now):
            self._record_violation(
                f"{subject}: {machine} alternates with another at {now:.2f}"
            )
        return True

    def _has_alternated(
        self, accepted_calls: list[AcceptedCall], machine: str, now: float
    ) -> bool:
        other_seen = False
        for accepted in reversed(accepted_calls):
            if now - accepted.at >= self._lease_s:
                return False
            if accepted.machine != machine:
                other_seen = True
            elif other_seen:
                return True
        return False

    def _record_violation(self, violation: str) -> None:
        self.violations.append(violation)


class PlatformDuties:
    """Serves the calls over HTTP.

    Attributes:
        checker: Decides the responses and checks the calls.
        faults: Active faults.
        busy: Number of upcoming calls that are answered with 429.
        zones_without_preemptible: Zones without preemptible servers.
    """

    def __init__(self, *, checks_fences: bool = True):
        self.checker = DutyCallChecker(checks_fences=checks_fences)
        self.faults = Faults()
        self.busy = 0
        self.zones_without_preemptible: set[str] = set()

    def app(self) -> FaultInjector:
        """Returns the ASGI application."""
        routes = [
            Route("/usage", self.usage, methods=["POST"]),
            Route("/scale", self.scale, methods=["POST"]),
        ]
        return FaultInjector(Starlette(routes=routes), self.faults)

    async def usage(self, request: Request) -> JSONResponse:
        """Handles a usage report."""
        if self._refuse_as_busy():
            return JSONResponse({}, 429)
        body = await request.json()
        machine, fence = _holder_and_fence(request)
        status = self.checker.usage(
            machine, fence, body["windowNum"], body["counts"], time.monotonic()
        )
        return JSONResponse({}, status)

    async def scale(self, request: Request) -> JSONResponse:
        """Handles an order of servers."""
        if self._refuse_as_busy():
            return JSONResponse({}, 429)
        body = await request.json()
        machine, fence = _holder_and_fence(request)
        preemptible = body.get("preemptible", False)
        if preemptible and body["zone"] in self.zones_without_preemptible:
            return JSONResponse({"error": "none of that kind"}, CONFLICT)
        server_group = (body["backend"], body["zone"], preemptible)
        status = self.checker.scale(
            machine, fence, server_group, body["desiredCount"], time.monotonic()
        )
        return JSONResponse({}, status)

    def _refuse_as_busy(self) -> bool:
        if not self.busy:
            return False
        self.busy -= 1
        return True


def _holder_and_fence(request: Request) -> tuple[str, int]:
    fields = request.headers
    return fields["duty-holder"], int(fields["fencing-token"])
