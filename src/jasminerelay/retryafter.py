"""Reads the Retry-After header field of a backend server's rejection."""

from jasminerelay.statednumbers import SHOWN_CHARS, parse_amount

UNAVAILABLE = 503
"""Status of the responses in which the field states how long the server wants
no requests from the sender."""

MAX_PAUSE_S = 3600.0
"""Longest pause in seconds that is kept to; a longer one is shortened."""


def parse_pause(status: int, value: str | None) -> tuple[float, str]:
    """Parses the pause that a server requests.

    Args:
        status: Status of its response.
        value: Value of the field; None without the field.

    Returns:
        The pause in seconds, 0 for none; and the value if it is no number of
        seconds, else "".
    """
    if status != UNAVAILABLE or value is None:
        return 0.0, ""
    try:
        return parse_amount(value.encode(), MAX_PAUSE_S), ""
    except ValueError:
        return 0.0, value[:SHOWN_CHARS]
