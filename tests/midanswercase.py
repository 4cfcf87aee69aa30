"""Common base of tests in which something happens during an answer."""

import unittest.mock
from collections.abc import Awaitable, Callable

import anyio

from jasminerelay import streammoves
from tests.platformcase import Answer, PlatformCase

EVENTS = 150


class MidAnswerCase(PlatformCase):
    """Base of tests that request an answer and do something meanwhile."""

    async def ask_while(
        self, instance, path: str, change: Callable[[], Awaitable[None]]
    ) -> Answer:
        """Requests an answer, a stream of `EVENTS`, while something happens."""
        answers: list[Answer] = []

        async def ask() -> None:
            answers.append(
                await self.ask(
                    instance,
                    path,
                    Token_Usage=f"900,{EVENTS}",
                    Length_Hint=f"{EVENTS}",
                    Prefix_Hash="aa:500,bb:400",
                )
            )

        async with anyio.create_task_group() as group:
            group.start_soon(ask)
            await change()
        return answers[0]

    def move_leaving_streams_only(self) -> None:
        """Keeps a stall of this process from making a stream look too slow."""
        self.enterContext(
            unittest.mock.patch.object(
                streammoves, "SLOW_CHECK_INTERVAL_S", 60.0
            )
        )
