"""Finds another place for an answer before it leaves its silent engine."""

from collections.abc import Callable

import anyio

from jasminerelay.permitclient import PermitClient
from jasminerelay.retry import RetryBudget
from jasminerelay.schema.manifest import Server
from jasminerelay.schema.messages import (
    PermitGrant,
    PermitRelease,
    PermitRequest,
)

Place = tuple[PermitRequest, Server]
"""A permit, by its request, and the backend server that it is for."""


class NextPlace:
    """A permit and a retry for an answer whose engine is silent.

    Both are there before the answer leaves the engine; until then the engine
    may still go on with it.
    """

    def __init__(
        self,
        permit_client: PermitClient,
        retries: RetryBudget,
        spawn: Callable[..., None],
    ):
        self._permit_client = permit_client
        self._retries = retries
        self._spawn = spawn
        self._asking: anyio.CancelScope | None = None
        self._place: Place | None = None

    @property
    def held(self) -> bool:
        """Whether there is a place."""
        return self._place is not None

    def ready(self, new_request: Callable[[], PermitRequest | None]) -> bool:
        """Returns whether there is a place; requests one if not.

        Args:
            new_request: Returns the request for a permit, or None if the answer
                can go on nowhere else.
        """
        if self.held:
            return True
        if self._asking is not None:
            return False
        request = new_request()
        if request is not None and self._retries.available:
            self._asking = anyio.CancelScope()
            self._spawn(self._ask, self._asking, request)
        return False

    def take(self) -> Place | None:
        """Returns the place, which the caller then holds, or None."""
        place, self._place = self._place, None
        return place

    def withdraw(self) -> None:
        """Gives back the place, or the request for it."""
        if self._asking is not None:
            self._asking.cancel()
            self._asking = None
        place = self.take()
        if place is not None:
            self._retries.give_back()
            self._release(place[0])

    async def _ask(
        self, scope: anyio.CancelScope, request: PermitRequest
    ) -> None:
        with scope:
            result = await self._permit_client.acquire(request)
            if isinstance(result, PermitGrant):
                # A retry is taken with the permit only: one that is held in
                # the queue would be missing for requests that have failed.
                if not scope.cancel_called and self._retries.spend():
                    self._place = request, self._permit_client.server(result)
                    self._asking = None
                    return
                self._release(request)
        if self._asking is scope:
            self._asking = None

    def _release(self, request: PermitRequest) -> None:
        self._permit_client.release(
            PermitRelease(request.ask_id, request.cell, 0.0, False, 0.0)
        )
