"""Parses and validates the bodies of model requests."""

import dataclasses
from typing import Any

import msgspec

from jasminerelay import foreignbytes
from jasminerelay.errors import BadRequestError, ForeignDataError

CHAT_PATH = "/v1/chat/completions"
TEXT_PATH = "/v1/completions"
NO_LIMIT = 1 << 30


@dataclasses.dataclass(frozen=True)
class ModelRequest:
    """A validated model request.

    Attributes:
        path: Endpoint path.
        body: Decoded body.
        digest: Digest of the raw body.
        stream: Whether the caller requests a stream.
        wants_usage: Whether the stream should end with usage counts.
        prompt: Text of the prompt, for prefix hashes.
        max_tokens: Maximum tokens of the answer; `NO_LIMIT` if not given.
    """

    path: str
    body: dict[str, Any]
    digest: str
    stream: bool
    wants_usage: bool
    prompt: str
    max_tokens: int


_read_body = foreignbytes.json_reader(Any)


def parse_request(path: str, raw: bytes, digest: str) -> ModelRequest:
    """Parses a request body.

    Raises:
        BadRequestError: if a field is invalid; names it and the remedy.
    """
    try:
        body = _read_body(raw)
    except ForeignDataError as exc:
        raise BadRequestError(
            f"the body is not JSON: {exc.message}", remedy="Send a JSON object."
        ) from None
    if not isinstance(body, dict):
        raise BadRequestError(
            "the body is not an object", remedy="Send a JSON object."
        )
    if not isinstance(body.get("model"), str):
        raise BadRequestError(
            "'model' is missing or not a string",
            remedy="Name a model listed by GET /v1/models.",
        )
    if body.get("n", 1) != 1:
        raise BadRequestError(
            "'n' is not 1", remedy="Send one request for each answer."
        )
    stream = body.get("stream") or False
    if not isinstance(stream, bool):
        raise BadRequestError(
            "'stream' is not a boolean", remedy="Send true or false."
        )
    options = body.get("stream_options") or {}
    if not isinstance(options, dict):
        raise BadRequestError(
            "'stream_options' is not an object", remedy="Send an object."
        )
    prompt = _chat_prompt(body) if path == CHAT_PATH else _text_prompt(body)
    return ModelRequest(
        path,
        body,
        digest,
        stream,
        bool(options.get("include_usage")),
        prompt,
        _max_tokens(body),
    )


def _chat_prompt(body: dict[str, Any]) -> str:
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise BadRequestError(
            "'messages' is missing, empty or not a list",
            remedy="Send a list of {role, content} objects.",
        )
    parts = []
    for index, message in enumerate(messages):
        if not isinstance(message, dict) or "role" not in message:
            raise BadRequestError(
                f"'messages[{index}]' is not an object with a role",
                remedy="Send {role, content} objects.",
            )
        content = message.get("content")
        if not isinstance(content, str):
            content = msgspec.json.encode(content).decode()
        parts.append(f"{message['role']}: {content}")
    return "\n".join(parts)


def _text_prompt(body: dict[str, Any]) -> str:
    prompt = body.get("prompt")
    if not isinstance(prompt, str):
        raise BadRequestError(
            "'prompt' is missing or not a string",
            remedy="Send one prompt as a string.",
        )
    return prompt


def _max_tokens(body: dict[str, Any]) -> int:
    for key in ("max_completion_tokens", "max_tokens"):
        value = body.get(key)
        if value is None:
            continue
        if not isinstance(value, int) or isinstance(value, bool) or value < 1:
            raise BadRequestError(
                f"{key!r} is not an integer of at least 1",
                remedy="Omit it or send a positive whole number.",
            )
        return min(value, NO_LIMIT)
    return NO_LIMIT
