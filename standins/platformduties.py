"""Stand-in for the calls to the platform that one instance at a time makes.

`DutyJudge` says what the platform answers and notes what must never be seen;
`PlatformDuties` serves it by the platform's published interface.
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
class Act:
    """A call that was taken.

    Attributes:
        at: When, in seconds.
        machine: Who made it.
        fence: Its fencing number.
    """

    at: float
    machine: str
    fence: int


class DutyJudge:
    """The platform's view of the duties, over all instances.

    Attributes:
        broken: What must never be seen, and was.
        reports: Counts of each window that was reported.
        reported_at: When the first report of each window came.
        servers: Servers ordered by service, zone and kind.
        acts: Calls that were taken, by subject.
        fenced: Calls that were refused for a higher number seen.
    """

    def __init__(self, *, checks_fences: bool = True, lease_s: float = 3.0):
        """Makes a platform that has seen nothing.

        Args:
            checks_fences: Whether calls with lower numbers are refused.
            lease_s: Time in which no two machines may act in turns.
        """
        self._checks = checks_fences
        self._lease_s = lease_s
        self.broken: list[str] = []
        self.reports: dict[int, dict[str, int]] = {}
        self.reported_at: dict[int, float] = {}
        self.servers: dict[tuple[str, str, bool], int] = {}
        self.acts: dict[str, list[Act]] = {}
        self.fenced = 0

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
        """Takes a report; returns the status of the answer."""
        if not self._admit("usage", machine, fence, now, excused):
            return CONFLICT
        held = self.reports.setdefault(window, counts)
        self.reported_at.setdefault(window, now)
        if held != counts:
            self.broken.append(f"two reports of {window}: {held}, {counts}")
        return OK

    def scale(
        self,
        machine: str,
        fence: int,
        place: tuple[str, str, bool],
        count: int,
        now: float,
        *,
        excused: bool = False,
    ) -> int:
        """Takes an order of servers; returns the status of the answer."""
        subject = f"{place[0]}/{place[1]}"
        if not self._admit(subject, machine, fence, now, excused):
            return CONFLICT
        self.servers[place] = count
        return OK

    def _admit(
        self, subject: str, machine: str, fence: int, now: float, excused: bool
    ) -> bool:
        acts = self.acts.setdefault(subject, [])
        for act in acts:
            if act.fence == fence and act.machine != machine:
                self._break(f"{subject}: {fence} by {act.machine}, {machine}")
        highest = max((act.fence for act in acts), default=0)
        if fence < highest:
            if self._checks:
                self.fenced += 1
                return False
            if excused:
                return True
            self._break(f"{subject}: {fence} by {machine} after {highest}")
        acts.append(Act(now, machine, fence))
        if not excused and self._in_turns(acts, machine, now):
            self._break(f"{subject}: {machine} acted in turns at {now:.2f}")
        return True

    def _in_turns(self, acts: list[Act], machine: str, now: float) -> bool:
        other = False
        for act in reversed(acts):
            if now - act.at >= self._lease_s:
                return False
            if act.machine != machine:
                other = True
            elif other:
                return True
        return False

    def _break(self, what: str) -> None:
        self.broken.append(what)


class PlatformDuties:
    """Serves the calls over HTTP.

    Attributes:
        judge: What it has seen.
        faults: Faults in force.
        busy: Coming calls that are turned away.
        none_there: Zones in which there are no preemptible servers.
    """

    def __init__(self, *, checks_fences: bool = True):
        self.judge = DutyJudge(checks_fences=checks_fences)
        self.faults = Faults()
        self.busy = 0
        self.none_there: set[str] = set()

    def app(self) -> FaultInjector:
        """Returns the ASGI application."""
        routes = [
            Route("/usage", self.usage, methods=["POST"]),
            Route("/scale", self.scale, methods=["POST"]),
        ]
        return FaultInjector(Starlette(routes=routes), self.faults)

    async def usage(self, request: Request) -> JSONResponse:
        """Takes a report."""
        if self._turns_away():
            return JSONResponse({}, 429)
        body = await request.json()
        machine, fence = _sender(request)
        status = self.judge.usage(
            machine, fence, body["windowNum"], body["counts"], time.monotonic()
        )
        return JSONResponse({}, status)

    async def scale(self, request: Request) -> JSONResponse:
        """Takes an order of servers."""
        if self._turns_away():
            return JSONResponse({}, 429)
        body = await request.json()
        machine, fence = _sender(request)
        preemptible = body.get("preemptible", False)
        if preemptible and body["zone"] in self.none_there:
            return JSONResponse({"error": "none of that kind"}, CONFLICT)
        place = (body["backend"], body["zone"], preemptible)
        status = self.judge.scale(
            machine, fence, place, body["desiredCount"], time.monotonic()
        )
        return JSONResponse({}, status)

    def _turns_away(self) -> bool:
        if not self.busy:
            return False
        self.busy -= 1
        return True


def _sender(request: Request) -> tuple[str, int]:
    fields = request.headers
    return fields["duty-holder"], int(fields["fencing-token"])
