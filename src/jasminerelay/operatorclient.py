"""HTTP client of the command-line tool for the operators' port."""

import ssl
from typing import Any

import httpcore

from jasminerelay import foreignbytes
from jasminerelay.errors import ForeignDataError

EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_PARTIAL = 4
TIMEOUT_S = 15.0


class CommandError(Exception):
    """A command failed; carries the exit status of the tool."""

    def __init__(self, message: str, status: int = EXIT_FAILED):
        super().__init__(message)
        self.status = status


class OperatorClient:
    """Client for the operators' port of any instance."""

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
        """Sends a request; returns the response body.

        Raises:
            CommandError: if there is no response, or an error response.
        """
        request_headers = {
            "authorization": f"Bearer {self._token}",
            "content-length": str(len(body)),
            **(headers or {}),
        }
        base = url or self.url
        try:
            response = self._pool.request(
                method,
                base + path,
                headers=request_headers,
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
        """Sends a GET request; returns the decoded JSON response.

        Raises:
            CommandError: if there is no response, or an error response.
            ForeignDataError: if the response is malformed.
        """
        return foreignbytes.json_value(self.call("GET", path, url=url))

    def members(self) -> list[dict[str, str]]:
        """Returns the members that the addressed instance lists."""
        return self.get("/v1/status")["members"]

    def url_of(self, member: dict[str, str]) -> str:
        """Returns the URL of an instance's operators' port."""
        scheme = self.url.partition("://")[0]
        return f"{scheme}://{member['operators']}"


def query_all(client: OperatorClient, path: str) -> tuple[list[Any], list[str]]:
    """Sends a GET request to all members.

    Returns:
        The responses, and the names of the members that did not respond.
    """
    answers, silent = [], []
    for member in client.members():
        try:
            answers.append(client.get(path, url=client.url_of(member)))
        except (CommandError, ForeignDataError):
            silent.append(member["instance"])
    return answers, silent


def _error_of(response: httpcore.Response) -> CommandError:
    status = EXIT_CONFLICT if response.status == 409 else EXIT_FAILED
    try:
        message = foreignbytes.json_value(response.content)["error"]["message"]
    except (ValueError, KeyError, TypeError):
        message = f"status {response.status}"
    return CommandError(message, status)
