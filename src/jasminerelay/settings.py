"""Loading and validation of a daemon's settings."""

import ipaddress
import pathlib

from result import Err, Ok, Result

from jasminerelay import validation
from jasminerelay.addresses import split_address
from jasminerelay.errors import ConfigProblem
from jasminerelay.schema.settings import Settings


def parse(text: str, source: str) -> Result[Settings, list[ConfigProblem]]:
    """Parses and validates settings; on failure returns all their errors."""
    parsed = validation.parse_toml(text, source)
    if isinstance(parsed, Err):
        return parsed
    raw = parsed.ok_value
    problems = validation.check(raw, "settings", source)
    settings = validation.convert(raw, Settings)
    if settings is not None:
        problems += _cross_check(settings, source)
    return Err(problems) if problems else Ok(settings)


def load(path: pathlib.Path) -> Result[Settings, list[ConfigProblem]]:
    """Reads, parses and validates a settings file."""
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as exc:
        problem = ConfigProblem(
            str(path),
            "(file)",
            str(exc),
            "a readable file",
            "correct the path or the permissions",
        )
        return Err([problem])
    return parse(text, str(path))


def _cross_check(settings: Settings, source: str) -> list[ConfigProblem]:
    problems = []
    tls_parts = [settings.tls.cert, settings.tls.key, settings.tls.ca]
    if any(tls_parts) and not all(tls_parts):
        problems.append(
            ConfigProblem(
                source,
                "tls",
                "some of cert, key, ca",
                "all three or none",
                "set the missing paths",
            )
        )
    for name in ("callers", "operators", "peers"):
        address = getattr(settings.listen, name)
        try:
            host, _ = split_address(address)
        except ValueError as exc:
            problems.append(
                ConfigProblem(
                    source,
                    f"listen.{name}",
                    f"{address} ({exc})",
                    "IP:port",
                    "give a numeric IP address and a port up to 65535",
                )
            )
            continue
        exposed = not ipaddress.ip_address(host).is_loopback
        if name != "callers" and exposed and not all(tls_parts):
            problems.append(
                ConfigProblem(
                    source,
                    f"listen.{name}",
                    address,
                    "a loopback address, since [tls] is not configured",
                    "add [tls] with cert, key and ca",
                )
            )
    return problems
