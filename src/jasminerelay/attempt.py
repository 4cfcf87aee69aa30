"""One attempt: a request at one backend server, and the relay of its answer."""

import asyncio
import contextlib
import dataclasses
import math
import time
from collections.abc import Callable, Iterator

import anyio
import httpcore

from jasminerelay import completeness, sse
from jasminerelay.backgroundtasks import BackgroundTasks
from jasminerelay.callerpace import CallerPace, CallerStalledError
from jasminerelay.catalog import BackendServer, Call, RepeatPolicy
from jasminerelay.channels import Channel
from jasminerelay.completeness import Framing
from jasminerelay.crashwatch import PARTS_CLEARED_S
from jasminerelay.exchange import (
    BrokenOff,
    CallerStalled,
    Delivered,
    Failed,
    Interrupted,
    NotRun,
    NotSent,
    Outcome,
    OutgoingRequest,
    Replaced,
    ResponseHead,
    ResponseSink,
    ServerLoadStatement,
    Unknown,
)
from jasminerelay.forwardingcontext import ForwardingContext
from jasminerelay.httpclient import IncompleteExchangeError, NotSentError
from jasminerelay.migration import MIN_REMAINING_S, KvCacheCopy
from jasminerelay.placementqueue import Reservation
from jasminerelay.requestprogress import RequestProgress
from jasminerelay.scheduling.handover import Handover
from jasminerelay.scheduling.heldbytes import (
    BROKE_OFF,
    MAX_AHEAD_BYTES,
    SMALL_BYTES,
)
from jasminerelay.scheduling.servercapacity import StatedLoad
from jasminerelay.serverconnection import ServerResponse
from jasminerelay.serverends import may_have_ended
from jasminerelay.streammoves import StreamMoves
from jasminerelay.streamtimer import StreamTimer

IDEMPOTENT_TIMEOUT_FACTOR = 2.5
MIN_IDEMPOTENT_TIMEOUT_S = 0.5
"""Silence, as a multiple of the target latency and at least this long, after
which a second server is sought for an idempotent request. Answers that take
over twice the target are rarer than servers that accept requests and never
answer.
"""

MIN_STREAM_TIMEOUT_S = 1.0
STREAM_TIMEOUT_PAUSES = 4
"""Silence after which another server is sought for a resumable stream: this
long, or four times the route's longest pause between events, whichever is
longer. Callers disconnect after two seconds or eight pauses."""

OVERLAP_S = 0.25
"""Longest time for which a request that was sent to another server stays at its
silent one, too. Servers reject at once, so the silent one is left only once the
other has accepted it; two servers may work on a request for 0.4 s at most."""

STOPPED_END_S = 0.3
"""Longest wait for the end of the stream of a run that has been stopped."""

CONFIRM_TIMEOUT_S = 0.25
"""Longest wait for the word of other instances on a server whose connection
ended, before the answer's caller learns of the end."""

NO_TIMEOUT_S = 3600.0

OK = 200
SERVER_ERROR = 500


class Attempt:
    """Sends a request to one server.

    Attributes:
        copy: Copy of the KV cache from which it continues a moved run.
        handover: Decides whether its server or another one has the answer; its
            own has it until it is silent.
        sent: Whether a byte of the request may have reached the server.
        on_silent: Called when the server has sent nothing for so long that
            another one should be sought.
    """

    def __init__(
        self,
        context: ForwardingContext,
        call: Call,
        sink: ResponseSink,
        progress: RequestProgress,
        silent: "Attempt | None" = None,
    ):
        """Creates an attempt.

        Args:
            context: Dependencies.
            call: The request.
            sink: Receives the answer.
            progress: Progress of the request.
            silent: Attempt at a silent server that this one takes over from.
        """
        self._context = context
        self._call = call
        self._sink = sink
        self._progress = progress
        self._silent = silent
        self.handover = Handover()
        self.handover.keep()
        self._channel: Channel | None = None
        self._left_server = False
        self._moves: StreamMoves | None = None
        self._sent_at = 0.0
        self._running_at_send = 0
        self._pace: CallerPace | None = None
        self._parts_cleared = False
        self.copy: KvCacheCopy | None = None
        self.sent = False
        self.on_silent: Callable[[], None] = lambda: None

    @property
    def is_moving(self) -> bool:
        """Whether its run is being moved, or has been."""
        return self._moves is not None and self._moves.under_way

    def open_handover(self) -> Handover:
        """Lets another attempt take over unless this one's server goes on."""
        self.handover = Handover()
        return self.handover

    def give_way(self) -> bool:
        """Ends this attempt for another one, unless its server has gone on.

        Returns:
            Whether the other one has the answer now.
        """
        if self.handover.open:
            self.handover.take()
            self._progress.given_away = True
            self._leave_server()
        return self.handover.taken

    def _leave_server(self) -> None:
        """Closes the connection while an answer is awaited."""
        if self._channel is not None:
            self._left_server = True
            self._channel.close()

    def _keeps_answer(self, head: ResponseHead) -> bool:
        """Notes that the server sent something; returns whether it counts.

        With a rejection or a failure it does not go on, so another one that
        was asked may.
        """
        if not self._accepts(head):
            return not self.handover.taken
        return self.handover.keep()

    async def run(self, reservation: Reservation) -> Outcome:
        """Sends the request to the reserved server and relays the answer."""
        self.copy, self._progress.copy = self._progress.copy, None
        outcome = await self._run(reservation)
        if self.handover.taken:
            return Replaced("its server was silent")
        if (
            isinstance(outcome, Interrupted)
            and self._progress.copy is None
            and self._moves is not None
            and self._moves.may_have_stopped
        ):
            # The order to stop the run was carried out; its reply is lost.
            self._progress.copy = self._moves.spare
        return outcome

    async def _run(self, reservation: Reservation) -> Outcome:
        server = reservation.placed.server
        try:
            channel = await self._context.channels.acquire(server)
        except NotSentError as exc:
            return NotSent(str(exc), refused=exc.refused)
        if not self._may_send(server):
            await self._context.channels.put_back(channel, None, False)
            return NotSent("the server requested a pause", withheld=True)
        if self._silent is not None and self._silent.handover.kept:
            await self._context.channels.put_back(channel, None, False)
            return NotSent("its server has gone on", withheld=True)
        self._channel = channel
        done = _Completion()
        try:
            outcome = await self._exchange(reservation, channel, done)
            if (
                channel.relay_lost
                and isinstance(outcome, Unknown | Interrupted | BrokenOff)
                and not self._left_server
            ):
                self._context.channels.record_lost_relay(channel)
                return dataclasses.replace(outcome, relay_lost=True)
            return outcome
        finally:
            # It may soon carry another request.
            self._channel = None
            if done.head is None:
                with anyio.CancelScope(shield=True):
                    await channel.aclose()
            else:
                head = done.head
                await self._context.channels.put_back(
                    channel, head.idle_timeout_s, head.closing
                )

    def _may_send(self, server: BackendServer) -> bool:
        # Opening a connection can take so long that the server has rejected
        # another request meanwhile. A moved run can only continue there.
        if self.copy is not None:
            return True
        return not self._context.pauses.active(server.id, time.monotonic())

    async def _exchange(
        self, reservation: Reservation, channel: Channel, done: "_Completion"
    ) -> Outcome:
        server = channel.server
        left_s = self._call.answer_deadline - time.monotonic()
        sending = OutgoingRequest(
            self._call,
            server,
            left_s,
            after=self._progress.last_event_id,
            copy=self.copy,
            source=reservation.placed.source,
        )
        headers = self._context.dialect.request_headers(sending)
        self._progress.maybe_ran = self.sent = True
        reused = not channel.unused
        self._sent_at = time.monotonic()
        workload = self._context.dispatcher.workload
        self._running_at_send = workload.load(server.id).running
        self._context.drains.on_request(server.id)
        self._context.pauses.on_request(server.id)
        try:
            with self._awaiting_start(), self._limited_overlap():
                response = await channel.send(
                    self._call, headers, self._silence_s(), self._note_silence
                )
        except IncompleteExchangeError as exc:
            self._report_lost()
            return Unknown(str(exc), broken=True)
        self._context.dispatcher.record_response(server.id, time.monotonic())
        self._progress.framings.append(response.framing.value)
        if channel.relayed_by:
            self._progress.relays.append(channel.relayed_by)
        self._context.counters.incr(
            f"backend.framed.{response.framing.name.lower()}"
        )
        head = self._context.dialect.head(response.status, response.headers)
        # A faulty server may send a second answer to an earlier request. On a
        # reused connection only the request id distinguishes it from this
        # request's answer, so an answer without an id isn't accepted there.
        answered_id = head.request or ("" if reused else self._call.id)
        if answered_id == self._call.id and not head.misdirected:
            self._context.limits.on_response(server.id, head)
            self._context.drains.on_response(server.id, head)
            self._context.pauses.on_response(server.id, head)
            self._context.crash_notices.on_response(server)
            self._record_statement(server, head)
        if answered_id != self._call.id:
            self._context.channels.record_unexpected_data(server)
            self._context.counters.incr("backend.crossed")
            return Unknown("received the answer to another request")
        if not self._keeps_answer(head):
            return Unknown("another server has taken over")
        if (
            self._silent is not None
            and self._accepts(head)
            and not self._silent.give_way()
        ):
            return NotSent("its server has gone on", withheld=True)
        if self._accepts(head):
            self._progress.given_away = False
        if self._call.route.streaming and head.status == OK:
            return await self._relay_stream(
                reservation, channel, response, head, done
            )
        if not head.not_run:
            self._report_started(time.monotonic() - self._sent_at)
        return await self._read_answer(channel, response, head, done)

    def _note_silence(self) -> None:
        # A caller that does not read may hold its server up.
        if not self._sink.blocked:
            self.on_silent()

    @property
    def _is_undecided(self) -> bool:
        """Whether another server may have the answer instead of its own."""
        return self.handover.open or (
            self._silent is not None and self._silent.handover.open
        )

    @contextlib.contextmanager
    def _limited_overlap(self) -> Iterator[None]:
        """Ends the attempt at the silent server while this one is awaited.

        A repeatable plain request may stay at both until one of them answers.
        """
        if self._silent is None or not self._call.route.streaming:
            yield
            return
        timer = asyncio.get_running_loop().call_later(
            OVERLAP_S, self._silent.give_way
        )
        try:
            yield
        finally:
            timer.cancel()

    def _accepts(self, head: ResponseHead) -> bool:
        """Returns whether a response means that its server has the request."""
        if self._sink.started:
            return head.status == OK
        return not head.not_run and head.status < SERVER_ERROR

    def _awaiting_start(self) -> contextlib.AbstractContextManager[None]:
        """Returns a context in which this request's start may be unknown."""
        if self._call.route.streaming:
            # A stream is counted at its first event, in the current window.
            return contextlib.nullcontext()
        return self._context.pending_starts.track(self._sent_at)

    def _record_statement(
        self, server: BackendServer, head: ResponseHead
    ) -> None:
        """Records what a response states about the server's capacity."""
        dispatcher = self._context.dispatcher
        service = self._call.service
        capacities = dispatcher.capacities.of(service)
        now = time.monotonic()
        if head.load_fault:
            self._context.counters.incr("speed.malformed")
        if head.brittle_fault:
            self._context.counters.incr("brittle.malformed")
        if head.brittle and not capacities.brittle.stated(server.id, now):
            self._context.counters.incr("brittle.stated")
            self._context.log.warn(
                "server_brittle", server=server.id, rejections=head.brittle
            )
        capacities.brittle.record_statement(server.id, head.brittle, now)
        if head.load is not None:
            known = dispatcher.workload.load(server.id).running
            stated = _stated_load(head.load, known, now)
            dispatcher.record_statement(service, server.id, stated, now)
            capacities.keep_unsent(server.id, stated)
        if _rejected_for_load(head):
            self._context.counters.incr("speed.rejected")
            dispatcher.record_rejection(service, server.id, now)
            capacities.keep_unsent_rejection(server.id)

    def _report_started(self, ago_s: float) -> None:
        # A moved run was reported when it started.
        if self.copy is None:
            self._context.on_started(self._call.organisation, ago_s)

    def _report_lost(self) -> None:
        # A request whose answer is lost has most likely run. A stream starts
        # with its first event, so the estimated time to it is deducted.
        ago_s = time.monotonic() - self._sent_at
        if self._call.route.streaming:
            ago_s -= self._context.dispatcher.first_s(self._call)
        if ago_s >= 0:
            self._report_started(ago_s)

    async def _read_answer(
        self,
        channel: Channel,
        response: ServerResponse,
        head: ResponseHead,
        done: "_Completion",
    ) -> Outcome:
        try:
            body, whole = await response.read_up_to(SMALL_BYTES)
            if not whole and head.status >= SERVER_ERROR and not head.not_run:
                body, whole = await self._read_failure(response, body)
        except (httpcore.NetworkError, httpcore.ProtocolError) as exc:
            if head.not_run:
                return _not_run(head)
            return Unknown(f"connection failed: {exc!r}", broken=True)
        if not self._keeps_answer(head):
            return Unknown("another server has taken over")
        if not whole and head.not_run:
            return _not_run(head)
        if not whole and self._is_undecided:
            # A failure that is too long to keep; the other server may do
            # better.
            return Unknown(f"status {head.status}")
        if not whole and not self._sink.started:
            # Without a reference here, which would last as long as the relay.
            first = [body]
            del body
            return await self._relay_answer(
                channel, response, head, first, done
            )
        fault = completeness.body_fault(
            response.framing, head.status, len(body)
        ) or await self._crash_at_end(response, channel.server)
        if fault and not head.not_run:
            self._context.counters.incr("backend.incomplete")
            return Unknown(fault, broken=True)
        await self._complete(channel, response, head, done)
        if head.not_run:
            return _not_run(head)
        if self._sink.started:
            # The stream has started; a plain answer can't continue it.
            return Unknown(f"status {head.status}")
        if head.status >= SERVER_ERROR:
            return Failed(head, body)
        self._record_answer(channel.server, head)
        await self.send_answer(head, body)
        return Delivered(head.status)

    async def _complete(
        self,
        channel: Channel,
        response: ServerResponse,
        head: ResponseHead,
        done: "_Completion",
    ) -> None:
        """Ends an exchange whose response is not needed any further."""
        if not response.complete:
            await channel.aclose()
            return
        await response.aclose()
        if not channel.reusable and not head.closing:
            self._context.channels.record_unexpected_data(channel.server)
        done.head = head

    def _record_answer(self, server: BackendServer, head: ResponseHead) -> None:
        if head.status == OK and not self._call.route.streaming:
            self._context.dispatcher.record_answer(
                self._call,
                server,
                self._running_at_send,
                time.monotonic() - self._sent_at,
            )

    async def _read_failure(
        self, response: ServerResponse, begun: bytes
    ) -> tuple[bytes, bool]:
        """Reads the body of a server's failure as far as there is room.

        Returns:
            What was read, and whether it is all.
        """
        held = self._context.held
        hold = held.hold(self._call.organisation)
        self._progress.holds.append(hold)
        parts = [begun]
        size = len(begun)
        while size <= MAX_AHEAD_BYTES and held.admits(
            self._call.organisation, SMALL_BYTES
        ):
            part = await response.receive()
            if not part:
                return b"".join(parts), True
            parts.append(part)
            size += len(part)
            hold.set(size)
        return b"".join(parts), False

    async def _relay_answer(
        self,
        channel: Channel,
        response: ServerResponse,
        head: ResponseHead,
        first: list[bytes],
        done: "_Completion",
    ) -> Outcome:
        """Sends a long answer in pieces, at the pace of its caller.

        Args:
            channel: Connection to the server.
            response: The response, which is not complete.
            head: Its head.
            first: What was read of its body; emptied once it is sent.
            done: Notes the end of the exchange.
        """
        # Time in which the caller holds the server up does not count: a
        # caller that goes on reading is not cut off at the deadline.
        left_s = self._call.answer_deadline - time.monotonic()
        self._progress.status = head.status
        self._context.counters.incr("held.paced")
        pace = self._new_pace(channel.server)
        try:
            # No other server can continue it, so an early timeout is no use.
            response.pace(NO_TIMEOUT_S)
            fields = head.headers
            if response.length is not None:
                length = str(response.length).encode()
                fields = (*fields, (b"content-length", length))
            await self._sink.start(head.status, fields)
            self._progress.time_limit.deadline = math.inf
            if self._sink.blocked:
                # An earlier response on the connection is not read yet.
                await pace.wait_for_room(response)
            part = first.pop()
            while part:
                await self._sink.send(part)
                pace.sent += len(part)
                # Only the caller's connection holds it while it waits.
                part = b""
                if not response.complete:
                    await pace.wait_for_room(response)
                began = time.monotonic()
                with anyio.fail_after(left_s):
                    part = await response.receive()
                now = time.monotonic()
                left_s -= now - began
                self._context.dispatcher.record_response(channel.server.id, now)
            fault = await self._crash_at_end(response, channel.server)
            if fault:
                self._context.counters.incr("backend.incomplete")
                return BrokenOff(f"{BROKE_OFF}: {fault}")
            if not pace.waited:
                self._record_answer(channel.server, head)
            await self._complete(channel, response, head, done)
            # The connection takes what is unsent; the server is released.
            self._sink.pace(math.inf)
            await self._sink.finish()
        except CallerStalledError as exc:
            self._sink.reset()
            return CallerStalled(str(exc))
        except (httpcore.NetworkError, httpcore.ProtocolError) as exc:
            return BrokenOff(f"{BROKE_OFF}: {exc!r}", pace.held_up)
        except TimeoutError:
            return BrokenOff(f"{BROKE_OFF}: its time was over", pace.held_up)
        finally:
            pace.close()
        return Delivered(head.status)

    def _new_pace(self, server: BackendServer) -> CallerPace:
        context = self._context
        return CallerPace(
            context.held,
            context.dispatcher,
            context.counters,
            context.log,
            self._call,
            self._sink,
            server,
        )

    async def _relay_stream(
        self,
        reservation: Reservation,
        channel: Channel,
        response: ServerResponse,
        head: ResponseHead,
        done: "_Completion",
    ) -> Outcome:
        server = channel.server
        leaving_event = self._context.stream_migrator.attach(server.id)
        moves = self._moves = StreamMoves(
            self._context.stream_migrator,
            self._call,
            server,
            self._progress.moves,
        )
        try:
            with BackgroundTasks() as group:
                group.start_soon(self._move_when_leaving, server, leaving_event)
                group.start_soon(self._move_when_slow, server)
                outcome = await self._relay_events(reservation, response, head)
                if isinstance(outcome, Delivered):
                    await self._finish_stream(response, head, done)
                # A copy that is not needed any more is dropped at its end.
                await moves.wait()
        except CallerStalledError as exc:
            self._sink.reset()
            return CallerStalled(str(exc))
        finally:
            if self._pace is not None:
                self._pace.close()
            self._context.stream_migrator.detach(server.id, leaving_event)
            self._progress.copy = moves.copy
            self._progress.moves += moves.count
        return outcome

    async def _finish_stream(
        self, response: ServerResponse, head: ResponseHead, done: "_Completion"
    ) -> None:
        await response.aclose()
        done.head = head
        if not self._sink.started:
            await self._sink.start(head.status, head.headers)
        await self._sink.finish()

    async def _relay_events(
        self,
        reservation: Reservation,
        response: ServerResponse,
        head: ResponseHead,
    ) -> Outcome:
        splitter = sse.EventSplitter()
        server = reservation.placed.server
        timer = StreamTimer(
            self._context, self._call, reservation, self._sent_at
        )
        progress = self._progress
        try:
            while True:
                chunk = await response.receive()
                if not self._keeps_answer(head):
                    return Interrupted("another server has taken over")
                if not chunk:
                    break
                events = splitter.feed(chunk)
                if events:
                    if not timer.first_at:
                        self._report_started(0.0)
                        self._record_first_event(server)
                    timer.events(len(events))
                    self._record_begun(timer)
                    progress.pause_s = max(progress.pause_s, timer.pause_s)
                    progress.first_at = progress.first_at or timer.first_at
                    await self._send_events(head, events)
                    if self._sink.blocked:
                        await self._wait_for_caller(response, server)
                        timer.skip_interval()
        except (httpcore.NetworkError, httpcore.ProtocolError) as exc:
            held_up = self._held_up_by_caller
            # A server may cut off what its caller has left unread.
            return Interrupted(repr(exc), held_up, broken=not held_up)
        except ValueError as exc:
            return Interrupted(str(exc))
        await self._moves.wait_for_stop()
        fault = completeness.stream_fault(
            response.framing,
            splitter,
            may_have_stopped=self._moves.may_have_stopped,
        ) or await self._crash_at_end(response, server)
        if fault:
            self._context.counters.incr("backend.incomplete")
            return Interrupted(
                fault,
                self._held_up,
                broken=(
                    response.framing is Framing.CONNECTION and not self._held_up
                ),
            )
        self._progress.status = head.status
        self._progress.output = self._progress.events * timer.event_tokens
        self._context.dispatcher.lengths.observe(
            self._call.route.name, self._progress.output
        )
        return Delivered(head.status)

    async def _crash_at_end(
        self, response: ServerResponse, server: BackendServer
    ) -> str:
        """Returns why a response that has ended is not complete; "" if it is.

        The kernel ends the connections of a process that is killed in order,
        like the process itself at the end of a response. A process that is
        killed does not listen any more; one that shuts down may have ended
        after its last response. A sound one cuts off what stays unread.
        """
        if response.framing is not Framing.CONNECTION:
            return ""
        if self._held_up:
            self._context.counters.incr("backend.ended_unread")
            return "the connection ended while its server was held up"
        if self._context.dispatcher.shuts_down(server):
            return ""
        if self._context.dispatcher.was_replaced(server) or may_have_ended(
            await self._context.ends.find(server, CONFIRM_TIMEOUT_S)
        ):
            self._context.counters.incr("backend.ended_with_answer")
            return "the connection ended; its server does not listen any more"
        return ""

    @property
    def _held_up(self) -> bool:
        """Whether the server may have cut off what stayed unread here."""
        if self._held_up_by_caller:
            return True
        return self._context.stalls.held_up_since(self._sent_at)

    @property
    def _held_up_by_caller(self) -> bool:
        return self._pace is not None and self._pace.held_up

    def _record_begun(self, timer: "StreamTimer") -> None:
        since = timer.first_at + PARTS_CLEARED_S
        if not self._parts_cleared and time.monotonic() >= since:
            self._parts_cleared = True
            self._context.crashes.record_begun(self._call)

    def _record_first_event(self, server: BackendServer) -> None:
        progress = self._progress
        if not progress.versions:
            self._context.origins.record_first_event(self._call, server)
        progress.versions.append(server.software_version)
        if progress.software_version is None:
            progress.software_version = server.software_version

    async def _wait_for_caller(
        self, response: ServerResponse, server: BackendServer
    ) -> None:
        """Waits for a caller that reads slower than its stream arrives."""
        if self._pace is None:
            self._pace = self._new_pace(server)
        await self._pace.wait_until_writable(response)

    async def _move_when_leaving(
        self, server: BackendServer, leaving_event: anyio.Event
    ) -> None:
        await leaving_event.wait()
        dispatcher = self._context.dispatcher

        def reserve(refused: frozenset[str]) -> Reservation | None:
            left_s = dispatcher.remaining_s(
                self._call, server, self._progress.events
            )
            if (
                not self._sink.started
                or self.handover.open
                or left_s < MIN_REMAINING_S
                or not self._context.may_move()
            ):
                return None
            return dispatcher.reserve_migration_target(
                self._progress.bound(self._call),
                self._tried_servers() | refused,
            )

        await self._moves.leave(reserve)
        await self._end_stopped()

    async def _move_when_slow(self, server: BackendServer) -> None:
        dispatcher = self._context.dispatcher

        def reserve(refused: frozenset[str]) -> Reservation | None:
            if (
                not self._sink.started
                # No server mends a slow caller.
                or self._pace is not None
                or self.handover.open
                or not self._context.may_move()
                or not dispatcher.needs_faster_server(
                    self._call, server, self._progress.events
                )
            ):
                return None
            # A server that the stream has left was too slow for it, also if
            # its time per token is no longer known.
            return dispatcher.reserve_faster_server(
                self._progress.bound(self._call),
                server,
                self._tried_servers() | refused,
            )

        await self._moves.leave_when_slow(reserve)
        await self._end_stopped()

    async def _end_stopped(self) -> None:
        """Ends the exchange with a server that leaves a stopped stream open."""
        if self._moves.copy is not None:
            await anyio.sleep(STOPPED_END_S)
            self._leave_server()

    def _tried_servers(self) -> frozenset[str]:
        return frozenset(self._progress.tried)

    async def _send_events(
        self, head: ResponseHead, events: list[sse.RawEvent]
    ) -> None:
        if not events:
            return
        if not self._sink.started:
            await self._sink.start(head.status, head.headers)
            self._progress.status = head.status
        self._progress.events += len(events)
        for event in reversed(events):
            if event.id:
                self._progress.last_event_id = event.id.decode("latin-1")
                break
        await self._sink.send(b"".join(event.data for event in events))

    def _silence_s(self) -> float:
        """Returns the silence after which another server is sought."""
        route = self._call.route
        under_way = 1 if self._silent is None else 2
        if not self._progress.may_repeat(route, under_way):
            # Nothing is gained by another server that may not run it.
            return NO_TIMEOUT_S
        if route.repeat_policy is RepeatPolicy.IDEMPOTENT:
            return max(
                MIN_IDEMPOTENT_TIMEOUT_S,
                IDEMPOTENT_TIMEOUT_FACTOR * route.objective_s,
            )
        return max(MIN_STREAM_TIMEOUT_S, STREAM_TIMEOUT_PAUSES * route.pause_s)

    async def send_answer(self, head: ResponseHead, body: bytes) -> None:
        """Sends a complete answer to the caller."""
        self._progress.status = head.status
        length = (b"content-length", str(len(body)).encode())
        await self._sink.start(head.status, (*head.headers, length))
        await self._sink.send(body)
        await self._sink.finish()


def _not_run(head: ResponseHead) -> NotRun:
    return NotRun(f"status {head.status}", head.misdirected, head.pause_s > 0)


def _rejected_for_load(head: ResponseHead) -> bool:
    """Returns whether a server rejected a request without another reason."""
    return (
        head.not_run
        and not head.misdirected
        and not head.leaving
        and not head.pause_s
        and head.limit is None
    )


def _stated_load(
    load: ServerLoadStatement, known: int, now: float
) -> StatedLoad:
    """Returns a statement as kept, with the requests that nobody knew of.

    Only a server at which requests wait counts: otherwise it has free slots,
    and the difference is that of two moments.
    """
    unknown = max(0, load.running + load.waiting - known) if load.waiting else 0
    return StatedLoad(now, load.slowdown or 0.0, load.waiting, unknown)


@dataclasses.dataclass
class _Completion:
    """Holds the answer's head once the exchange is complete.

    Only then may its connection be reused.
    """

    head: ResponseHead | None = None
