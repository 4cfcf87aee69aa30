"""Commands of the tool that contact no instance."""

import dataclasses
import json
import pathlib
import string
import sys
from typing import Any

import tabulate

from jasminerelay import explain, manifest
from jasminerelay.errors import StoreError
from jasminerelay.fingerprint import SIZE_BYTES
from jasminerelay.operatorclient import EXIT_USAGE, CommandError
from jasminerelay.platform import bootfile, deployfile
from jasminerelay.platform.release import release


def read(path: str) -> str:
    """Returns a file's text; CommandError if it cannot be read."""
    try:
        return pathlib.Path(path).read_text()
    except (OSError, UnicodeDecodeError) as exc:
        raise CommandError(f"cannot read {path}: {exc}", EXIT_USAGE) from exc


def check(arguments: dict[str, Any]) -> int:
    """Prints the errors in a manifest; returns the exit status."""
    path = arguments["FILE"]
    parsed = manifest.parse(read(path), path)
    problems = parsed.unwrap_err() if parsed.is_err() else []
    if arguments["--json"]:
        print(json.dumps([dataclasses.asdict(item) for item in problems]))
    for problem in problems if not arguments["--json"] else []:
        print(problem)
    if not problems and not arguments["--json"]:
        print(f"{path}: no faults")
    return EXIT_USAGE if problems else 0


def check_platform(arguments: dict[str, Any]) -> int:
    """Prints the parsed settings of a platform settings file, or its errors."""
    loaded = bootfile.load(pathlib.Path(arguments["SETTINGS"]))
    if loaded.is_err():
        for problem in loaded.unwrap_err():
            print(problem, file=sys.stderr)
        return EXIT_USAGE
    for name, value in dataclasses.asdict(loaded.unwrap()).items():
        print(f"{name}: {value}")
    return 0


def check_deploy(arguments: dict[str, Any]) -> int:
    """Prints the roles of a deploy file, or its errors."""
    loaded = deployfile.load(pathlib.Path(arguments["FILE"]))
    if loaded.is_err():
        for problem in loaded.unwrap_err():
            print(problem, file=sys.stderr)
        return EXIT_USAGE
    print(f"{arguments['FILE']}: no faults; roles {loaded.unwrap()}")
    return 0


def release_request(arguments: dict[str, Any]) -> int:
    """Unblocks a request; returns the exit status."""
    name = arguments["FINGERPRINT"].lower()
    if len(name) != 2 * SIZE_BYTES or set(name) - set(string.hexdigits):
        raise CommandError(
            f"{name}: not a fingerprint; expected the {2 * SIZE_BYTES} digits"
            " from the request's log line",
            EXIT_USAGE,
        )
    address = arguments["STORE"]
    if not address.rpartition(":")[2].isdigit():
        raise CommandError(
            f"{address}: not a store address; expected IP:PORT", EXIT_USAGE
        )
    try:
        release(name, address)
    except StoreError as exc:
        raise CommandError(f"{exc.message}; try again") from exc
    print(f"{name} is released; all instances apply it within 30 s")
    return 0


def _read_events(arguments: dict[str, Any]) -> tuple[list[explain.Event], int]:
    lines = []
    for path in arguments["LOG"]:
        lines += read(path).splitlines()
    if not arguments["LOG"]:
        lines = sys.stdin.read().splitlines()
    return explain.read(lines)


def show_losses(arguments: dict[str, Any]) -> int:
    """Prints the number of unserved requests in logs, by route and cause."""
    events, left_out = _read_events(arguments)
    total, losses = explain.summarize(events)
    rows = [
        [
            item.route,
            item.cause,
            item.count,
            total[item.route],
            item.near_configuration,
            item.example,
        ]
        for item in losses
    ]
    near = f"within {explain.NEW_CONFIGURATION_S:g} s of a configuration"
    headers = ["route", "cause", "requests", "of", near, "example"]
    print(tabulate.tabulate(rows, headers))
    if left_out:
        print(f"{left_out} log lines were dropped by the instances.")
    return 0


def show_cause(arguments: dict[str, Any]) -> int:
    """Prints how a request ended, as found in logs."""
    events, left_out = _read_events(arguments)
    found = explain.explain(arguments["ID"], events, left_out)
    if found is None:
        raise CommandError(
            f"no log line contains request id {arguments['ID']}; pass the logs"
            " of all instances, including those that have ended"
        )
    for title, part in (
        ("Request", found.request_events),
        ("Context", found.context),
        ("Causes", found.causes),
    ):
        print(f"{title}:")
        for item in part:
            print(f"  {item}")
    if found.left_out:
        print(f"{found.left_out} log lines were dropped by the instances.")
    return 0
