"""Calls of the command-line tool to the operators' port of instances."""

import json
import ssl
from typing import Any

import httpcore

EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_PARTIAL = 4
TIMEOUT_S = 15.0


class CommandError(Exception):
    """A command that cannot be carried out; holds the exit status."""

    def __init__(self, message: str, status: int = EXIT_FAILED):
        super().__init__(message)
        self.status = status


class Operator:
    """Calls the operators' port of instances."""

    def __init__(self, url: str, token: str, ca: str | None):
        self.url = url.rstrip("/")
        self._token = token
        context = ssl.create_default_context(cafile=ca) if ca else None
        self._pool = httpcore.ConnectionPool(ssl_context=context)

    def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        *,
        url: str | None = None,
    ) -> bytes:
        """Makes a call; returns the body.

        Raises:
            CommandError: if there is no answer or an error.
        """
        sent = {
            "authorization": f"Bearer {self._token}",
            "content-length": str(len(body)),
            **(headers or {}),
        }
        base = url or self.url
        try:
            response = self._pool.request(
                method,
                base + path,
                headers=sent,
                content=body,
                extensions={
                    "timeout": dict.fromkeys(
                        ("connect", "read", "write", "pool"), TIMEOUT_S
                    )
                },
            )
        except (
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.ProtocolError,
            httpcore.UnsupportedProtocol,
        ) as exc:
            raise CommandError(
                f"{base} does not answer ({exc!r}); name another instance"
                " with --relay"
            ) from exc
        if response.status >= 300:
            raise _error_of(response)
        return response.content

    def get(self, path: str, *, url: str | None = None) -> Any:
        """Returns a decoded answer."""
        return json.loads(self.call("GET", path, url=url))

    def members(self) -> list[dict[str, str]]:
        """Returns the instances that the asked one knows."""
        return self.get("/v1/status")["members"]

    def url_of(self, member: dict[str, str]) -> str:
        """Returns the operators' port of an instance."""
        scheme = self.url.partition("://")[0]
        return f"{scheme}://{member['operators']}"


def ask_all(operator: Operator, path: str) -> tuple[list[Any], list[str]]:
    """Asks every known instance; returns the answers and the silent ones."""
    answers, silent = [], []
    for member in operator.members():
        try:
            answers.append(operator.get(path, url=operator.url_of(member)))
        except CommandError:
            silent.append(member["instance"])
    return answers, silent


def _error_of(response: httpcore.Response) -> CommandError:
    status = EXIT_CONFLICT if response.status == 409 else EXIT_FAILED
    try:
        message = json.loads(response.content)["error"]["message"]
    except (ValueError, KeyError, TypeError):
        message = f"status {response.status}"
    return CommandError(message, status)
