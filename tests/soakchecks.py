"""Checks of the randomised run on the platform's interface.

They compare the answers that callers got with the requests that servers ran.
"""

import collections
from collections.abc import Callable, Sequence

from standins.platformserver import versions_in
from standins.platformsite import PlatformSite
from tests import streamlife
from tests.retrycount import RetryBounds
from tests.soakparts import InstanceProcess, SentRequest

OUTCOME_S = 12.0
"""Time that a caller waits: the longest route timeout plus a margin."""

DRAIN_S = 2.0
"""Time after an instance has passed on a server's announcement of its shutdown
within which requests sent to that instance may still reach the server."""

PAUSE_S = 3.0
PAUSE_IN_FLIGHT_S = 0.5
MAX_IN_PAUSE = 2
"""Requests of an instance that may reach a server in the pause that it has
requested, after the first half second."""

TAKE_UP_CONTACT_S = 3.0
MIN_TAKES_UP = 12
TAKE_UP_SHARE = 0.5
"""Share of the streams taken up that must go on, relative to the share of the
new streams that begin. It counts instances in contact for `TAKE_UP_CONTACT_S`,
while two servers of the stream's version serve, from `MIN_TAKES_UP` on."""

_FAULTS = tuple(
    f'"event":"{name}"' for name in ("fault", "task_failed", "message_dropped")
)
"""Log lines of faults of an instance's own."""

_PATHS_BY_SERVICE = {
    "engine": ("/chat/", "/sheet/"),
    "plain": ("/lookup/", "/confirm/"),
}
"""Beginnings of the paths of a service's requests, by that of its servers'
names."""

REFUSALS = (408, 421, 429, 503)
"""Statuses that guarantee that the request has not run and will not run."""


class SoakChecks:
    """Checks of what callers, servers and instances have seen."""

    def __init__(
        self,
        requests: Sequence[SentRequest],
        site: PlatformSite,
        instances: Sequence[InstanceProcess],
        link_faults: dict[str, list[float]],
        counts: collections.Counter[str],
        add_violation: Callable[[str], None],
    ):
        """Creates the checks of a run.

        Args:
            requests: Requests of all callers.
            site: The site with its servers.
            instances: Instances under test.
            link_faults: Times of faults of links, by server.
            counts: Receives numbers of what was seen.
            add_violation: Records a violation.
        """
        self._requests = requests
        self._site = site
        self._instances = instances
        self._link_faults = link_faults
        self._counts = counts
        self._add = add_violation

    def run(self) -> None:
        """Runs all checks after the end of the instances."""
        self._check_answers()
        self._check_lives()
        self._check_versions()
        self._check_takes_up()
        self._check_runs()
        self._check_drains()
        self._check_pauses()
        self._check_retry_budget()
        self._check_duties()

    def check_logs(self) -> None:
        for instance in self._instances:
            for line in instance.log.read_text().splitlines():
                if any(x in line for x in _FAULTS) or line.startswith(
                    "Traceback"
                ):
                    self._add(f"{instance.path.stem}: {line[:2000]}")
        self._check_rising()

    def _check_answers(self) -> None:
        for request in self._requests:
            if request.status != 200:
                continue
            if not request.signature.endswith(f".{request.attempt}"):
                self._add(
                    f"{request.attempt}: wrong signature {request.signature!r}"
                )
            if request.path.endswith("/stream"):
                self._check_stream(request)
            elif request.path.endswith("/long"):
                continue
            elif request.whole and request.content != _plain_answer(
                request.attempt
            ):
                self._add(
                    f"{request.attempt} of {request.address}: wrong answer"
                    f" {request.content!r}"
                )

    def _check_stream(self, request: SentRequest) -> None:
        faults = streamlife.stream_faults(
            request.events,
            request.after,
            request.events_due,
            whole=request.whole,
        )
        if request.whole and request.content != request.events:
            faults.append(
                f"bytes after the last event: {request.content[-80:]!r}"
            )
        if faults:
            self._counts["streams out of order"] += 1
            self._add(
                f"{request.attempt} of {request.address}, a stream that"
                f" {request.first.attempt} began, after {request.after}:"
                f" {'; '.join(faults[:4])}; {self._life_of(request)}"
            )

    def _life_of(self, request: SentRequest) -> str:
        """Returns the runs of a request, as its servers saw them."""
        runs = sorted(
            (
                (ran.began_at, server.name, ran)
                for server in self._site.servers.values()
                for ran in server.journal
                if ran.attempt == request.attempt
            ),
            key=lambda item: item[0],
        )
        return "runs: " + ", ".join(
            f"{name} after {ran.headers.get('last-event-id', '-')}"
            f" sent up to t{ran.last_token}"
            f"{' moved' if ran.moved else ''}{' ended' if ran.ended else ''}"
            f"{' from a copy' if 'kv-from' in ran.headers else ''}"
            f" ({ran.began_at:.2f} to {ran.stopped_at:.2f})"
            for _, name, ran in runs
        )

    def _check_lives(self) -> None:
        """Checks each stream from its servers' end against its caller's."""
        sent = {request.attempt: request for request in self._requests}
        runs = collections.defaultdict(list)
        for server in self._site.servers.values():
            for ran in server.journal:
                if ran.target.endswith("/stream") and ran.attempt in sent:
                    runs[ran.attempt].append(ran)
        for attempt, lives in runs.items():
            request = sent[attempt]
            reached = request.after
            for ran in sorted(lives, key=lambda ran: ran.began_at):
                after = int(ran.headers.get("last-event-id", "0"))
                if not request.after <= after <= reached:
                    self._add(
                        f"{attempt}: a run goes on after {after}, where"
                        f" {request.after} to {reached} were sent;"
                        f" {self._life_of(request)}"
                    )
                reached = max(reached, ran.last_token)
            got = streamlife.last_id(request.events)
            if got > reached:
                self._add(f"{attempt}: got t{got}, its runs sent t{reached}")
        self._counts["streams with several runs"] = sum(
            len(lives) > 1 for lives in runs.values()
        )

    def _check_rising(self) -> None:
        """Checks that no number in an instance's log goes back."""
        for instance in self._instances:
            faults = streamlife.log_faults(
                instance.log.read_text(errors="replace").splitlines()
            )
            for fault in faults[:3]:
                self._add(f"{instance.path.stem}: {fault}")

    def _check_versions(self) -> None:
        """Checks that no stream has events of two software versions."""
        mixed = [
            request
            for request in self._requests
            if len(versions_in(request.stream)) > 1
        ]
        self._counts["streams of two versions"] = len(mixed)
        for request in mixed:
            self._add(
                f"{request.attempt} of {request.address}: a stream that"
                f" {request.first.attempt} began at"
                f" {request.first.address} has events of the versions"
                f" {sorted(versions_in(request.stream))}"
            )

    def _check_takes_up(self) -> None:
        """Checks that streams taken up go on, while their version serves."""
        streams = [x for x in self._requests if x.path.endswith("/stream")]
        new = [x for x in streams if x.earlier is None]
        begun = sum(bool(x.stream) for x in new)
        taken_up = [
            item
            for item in streams
            if item.earlier is not None
            and item.serving >= 2
            and not self._disturbed(
                item.address,
                item.sent_at - TAKE_UP_CONTACT_S,
                item.ended_at if item.whole else item.sent_at + OUTCOME_S,
            )
        ]
        went_on = sum(item.stream != item.earlier.stream for item in taken_up)
        self._counts["taken up"] = len(taken_up)
        self._counts["taken up, went on"] = went_on
        share = TAKE_UP_SHARE * begun / max(1, len(new))
        if len(taken_up) >= MIN_TAKES_UP and went_on < share * len(taken_up):
            self._add(
                f"{went_on} of {len(taken_up)} streams taken up went on; of"
                f" {len(new)} new ones {begun} began"
            )

    def _check_duties(self) -> None:
        checker = self._site.duties.checker
        for violation in checker.violations:
            self._add(f"duties: {violation}")
        self._counts["windows reported"] = len(checker.reports)

    def _disturbed(self, address: str, since: float, until: float) -> bool:
        """Returns whether an instance was disturbed in a span."""
        return any(
            since <= at <= until
            for instance in self._instances
            if instance.listen["front"] == address
            for at in instance.disturbed_at
        ) or any(
            span.since <= until and since <= span.until
            for instance in self._instances
            if instance.listen["front"] == address
            for span in instance.apart
        )

    def _check_drains(self) -> None:
        """Checks that no request follows a server's announcement."""
        sent = {request.attempt: request for request in self._requests}
        for server in self._site.servers.values():
            known_at: dict[str, float] = {}
            for attempt in server.announcements:
                request = sent.get(attempt)
                if request is None or not request.signature.startswith(
                    f"{server.name}."
                ):
                    continue
                at = min(
                    request.ended_at,
                    known_at.get(request.address, float("inf")),
                )
                known_at[request.address] = at
            for at, attempt in server.arrivals:
                request = sent.get(attempt)
                known = known_at.get(request.address) if request else None
                if (
                    known is not None
                    and request.sent_at > known + DRAIN_S
                    and not self._disturbed(request.address, known, at)
                ):
                    self._add(
                        f"{attempt} of {request.address}: reached {server.name}"
                        f" {at - known:.2f} s after it announced its shutdown"
                    )
        self._counts["announcements"] = sum(
            len(server.announcements) for server in self._site.servers.values()
        )

    def _check_pauses(self) -> None:
        """Checks that servers get next to nothing in requested pauses."""
        sent = {request.attempt: request for request in self._requests}
        for server in self._site.servers.values():
            for began, attempt, pause_s in server.pause_requests:
                request = sent.get(attempt)
                if request is None:
                    continue
                address, end = request.address, began + pause_s
                link_faults = self._link_faults.get(server.name, ())
                if self._disturbed(address, began, end) or any(
                    began - PAUSE_S <= at <= end for at in link_faults
                ):
                    continue
                arrived = sum(
                    began + PAUSE_IN_FLIGHT_S < at < end
                    and other in sent
                    and sent[other].address == address
                    for at, other in server.arrivals
                )
                if arrived > MAX_IN_PAUSE:
                    self._add(
                        f"{server.name}: {arrived} requests of {address} in a"
                        f" pause requested at {began:.2f}"
                    )
        self._counts["pauses requested"] = sum(
            len(server.pause_requests) for server in self._site.servers.values()
        )

    def _check_retry_budget(self) -> None:
        """Checks each service's further arrivals over all instances."""
        options = self._site.options
        bounds = RetryBounds(
            options.retry_ratio, options.retry_allowance, options.retry_window_s
        )
        for kind, paths in _PATHS_BY_SERVICE.items():
            excess, words = bounds.excess(
                (
                    arrival
                    for name, server in self._site.servers.items()
                    if name.startswith(kind)
                    for arrival in server.arrivals
                ),
                [x.sent_at for x in self._requests if x.path.startswith(paths)],
            )
            if excess > float("-inf"):
                self._counts[f"{kind}: beyond the retry budget"] = round(excess)
            if excess > 0:
                self._add(f"{kind}: {words}")

    def _check_runs(self) -> None:
        sent = {request.attempt: request for request in self._requests}
        runs: collections.Counter[str] = collections.Counter()
        for server in self._site.servers.values():
            for ran in server.journal:
                request = sent.get(ran.attempt)
                if request is None:
                    self._add(
                        f"{server.name} ran {ran.attempt}, which was not sent"
                    )
                elif ran.body != request.body:
                    self._add(
                        f"{server.name} ran {ran.attempt} with another body,"
                        f" {len(ran.body)} of {len(request.body)} B:"
                        f" {ran.body[:80]!r}"
                    )
                elif ran.target != request.path:
                    self._add(
                        f"{ran.attempt}: ran with wrong target {ran.target}"
                    )
                elif ran.headers.get("tenant") != "elm":
                    self._add(f"{ran.attempt}: ran with a wrong organisation")
                # A moved run is continued on another server, which counts it.
                runs[ran.attempt] += not ran.moved
        for request in self._requests:
            if request.once and runs[request.attempt] > 1:
                self._add(
                    f"{request.attempt}: ran {runs[request.attempt]} times;"
                    f" {self._life_of(request)}"
                )
            refused = request.status in REFUSALS and not request.signature
            if request.once and refused and runs[request.attempt]:
                self._add(
                    f"{request.attempt}: ran, but answered {request.status}"
                )


def _plain_answer(attempt: str) -> bytes:
    return b"answer to " + attempt.encode()
