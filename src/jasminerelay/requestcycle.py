"""One request of a connection and its answer, and the flow of its bytes.

Uvicorn's cycle runs the application and frames the answer; this one decides how
the answer's end is marked, and frees what the request costs once the
application is done with it.
"""

import asyncio
import logging
from typing import Any, Protocol

from jasminerelay.requestbody import BODY, RequestBody
from jasminerelay.requestreader import RequestHead
from jasminerelay.scheduling.clientaccount import head_bytes
from jasminerelay.uvicornserver import (
    FlowControl,
    RequestResponseCycle,
    ServerState,
)

_logger = logging.getLogger("uvicorn.error")


class Connection(Protocol):
    """What a cycle needs of its connection."""

    transport: asyncio.Transport
    flow: "HeldFlow"

    def on_response_complete(self) -> None:
        """Handles the end of an answer."""

    def release_head(self, cycle: "RequestCycle") -> None:
        """Counts the head of a request no more, which is done with."""

    def recount(self) -> None:
        """Counts what has arrived and is not with the application."""

    def reset(self) -> None:
        """Closes the connection at once."""


class RequestCycle(RequestResponseCycle):
    """A request and its answer.

    Attributes:
        ends_connection: Whether the connection ends with the answer.
        head_cost: Memory that the request's head costs.
    """

    def __init__(
        self,
        conn: Connection,
        head: RequestHead,
        scope: dict[str, Any],
        server_state: ServerState,
    ):
        super().__init__(
            scope=scope,
            transport=conn.transport,
            flow=conn.flow,
            logger=_logger,
            access_logger=_logger,
            access_log=False,
            default_headers=server_state.default_headers,
            message_event=asyncio.Event(),
            expect_100_continue=head.expects_continue,
            keep_alive=head.keep_alive,
            on_response=conn.on_response_complete,
        )
        self.ends_connection = False
        self.head_cost = head_bytes(head.size, len(head.fields))
        self._body: RequestBody = scope[BODY]
        self._conn: Connection | None = conn
        self._knows_chunks = head.version == "1.1"
        self._ends_by_closing = False

    async def run_asgi(self, app) -> None:
        """Runs the application."""
        try:
            await super().run_asgi(app)
        finally:
            # The connection refers to its last cycle.
            conn, self._conn = self._conn, None
            self.drop_body()
            self.scope = {}
            conn.release_head(self)
        if self._ends_by_closing and not self.response_complete:
            # An orderly end would make the answer look complete.
            conn.reset()

    def drop_body(self) -> None:
        """Frees what has arrived of the request's body."""
        if self.body:
            self.body = bytearray()
        self._body.close()

    async def receive(self):
        """Returns what has arrived of the body, or that the caller left."""
        message = await super().receive()
        if message.get("body") and self._conn is not None:
            # What was taken is counted as the body from now on.
            self._conn.recount()
        return message

    async def send(self, message) -> None:
        """Sends a part of the answer."""
        if not self.response_started:
            self._frame(message)
        elif not self.response_complete:
            if self._ends_by_closing:
                self.expected_content_length = len(message.get("body", b""))
            if not message.get("more_body") and not self.keep_alive:
                # The connection ends in a way that does not cut the answer.
                self.keep_alive = self.ends_connection = True
        await super().send(message)

    def _frame(self, message) -> None:
        """Prepares what will mark the end of the answer and its connection."""
        if self.waiting_for_100_continue:
            # Whether the caller will send the body now is not known.
            self.keep_alive = False
        if self._knows_chunks:
            return
        names = {name.lower() for name, _ in message.get("headers", ())}
        if b"content-length" not in names:
            self._ends_by_closing = True
            self.chunked_encoding = False


class HeldFlow(FlowControl):
    """Flow control whose reading can be held."""

    def __init__(self, transport: asyncio.Transport):
        super().__init__(transport)
        self._held = False

    def hold(self, held: bool) -> None:
        """Pauses reading until it is no longer held."""
        if held != self._held:
            self._held = held
            (self.pause_reading if held else self.resume_reading)()

    def resume_reading(self) -> None:
        """Reads again, unless reading is held."""
        if not self._held:
            super().resume_reading()
