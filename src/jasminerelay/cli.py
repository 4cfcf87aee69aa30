"""The operators' command-line tool."""

import dataclasses
import json
import os
import pathlib
import sys
from typing import Any

import docopt
import tabulate

from jasminerelay import burn, burnpage, foreignbytes, localcommands, manifest
from jasminerelay.burn import ReportRow, WindowTotals
from jasminerelay.errors import ForeignDataError
from jasminerelay.operatorclient import (
    EXIT_FAILED,
    EXIT_PARTIAL,
    EXIT_USAGE,
    CommandError,
    OperatorClient,
    query_all,
)

USAGE = """Operates a running relay.

Usage:
  jasminerelay manifest check FILE [options]
  jasminerelay manifest apply FILE [--over=VERSION] [options]
  jasminerelay manifest show [options]
  jasminerelay status [options]
  jasminerelay entry [options]
  jasminerelay drain INSTANCE [options]
  jasminerelay burn [--html=FILE] [options]
  jasminerelay explain ID [LOG...]
  jasminerelay losses [LOG...]
  jasminerelay platform check SETTINGS
  jasminerelay platform check-deploy FILE
  jasminerelay platform release FINGERPRINT STORE
  jasminerelay -h | --help

Options:
  --relay=URL     Operators' port of any instance [env: JASMINERELAY_RELAY].
  --token=TOKEN   Operators' token [env: JASMINERELAY_TOKEN].
  --ca=FILE       Certificate authority of the operators' port.
  --over=VERSION  Version that the new manifest must directly follow.
  --html=FILE     Also write the burn report as an HTML page.
  --json          Print JSON instead of text.
  -h --help       Show this text.

explain reads the logs of any number of instances on the users' platform, from
files or standard input, and shows how a request ended; losses counts the
requests in them that were not served, by route and cause; platform check
validates a settings file of that platform, and check-deploy the file from which
it builds and starts the instances; release unblocks a request that is blocked
because servers crashed while running it (STORE is the store's IP:PORT).

Exit status: 0 success, 1 no answer or refused, 2 invalid command or file,
3 another manifest was accepted first, 4 some instances did not answer.
"""


@dataclasses.dataclass(frozen=True)
class _InstanceBurn:
    instance: str
    windows: dict[str, dict[str, WindowTotals]]


def main(argv: list[str] | None = None) -> int:
    """Runs a command; returns the exit status."""
    try:
        arguments = docopt.docopt(USAGE, argv)
    except docopt.DocoptExit as exc:
        print(exc, file=sys.stderr)
        return EXIT_USAGE
    try:
        return _run_command(arguments)
    except CommandError as exc:
        print(f"jasminerelay: {exc}", file=sys.stderr)
        return exc.status
    except ForeignDataError as exc:
        print(f"jasminerelay: malformed response: {exc}", file=sys.stderr)
        return EXIT_FAILED


def _run_command(arguments: dict[str, Any]) -> int:
    if arguments["check-deploy"]:
        return localcommands.check_deploy(arguments)
    if arguments["release"]:
        return localcommands.release_request(arguments)
    if arguments["platform"]:
        return localcommands.check_platform(arguments)
    if arguments["explain"]:
        return localcommands.show_cause(arguments)
    if arguments["losses"]:
        return localcommands.show_losses(arguments)
    if arguments["check"]:
        return localcommands.check(arguments)
    client = _new_client(arguments)
    if arguments["apply"]:
        return _apply(client, arguments)
    if arguments["show"]:
        return _show(client, arguments)
    if arguments["status"]:
        return _status(client, arguments)
    if arguments["entry"]:
        return _entry(client, arguments)
    if arguments["drain"]:
        return _drain(client, arguments)
    return _burn(client, arguments)


def _new_client(arguments: dict[str, Any]) -> OperatorClient:
    url = arguments["--relay"] or os.environ.get("JASMINERELAY_RELAY", "")
    token = arguments["--token"] or os.environ.get("JASMINERELAY_TOKEN", "")
    if not url or not token:
        raise CommandError(
            "no relay or token: pass --relay and --token, or set"
            " JASMINERELAY_RELAY and JASMINERELAY_TOKEN",
            EXIT_USAGE,
        )
    return OperatorClient(url, token, arguments["--ca"])


def _apply(client: OperatorClient, arguments: dict[str, Any]) -> int:
    over = arguments["--over"]
    if over is not None and not over.isdigit():
        raise CommandError("--over must be a version number", EXIT_USAGE)
    headers = {} if over is None else {"if-match": over}
    body = client.call(
        "POST",
        "/v1/manifest",
        localcommands.read(arguments["FILE"]).encode(),
        headers,
    )
    answer = foreignbytes.json_value(body)
    if arguments["--json"]:
        print(json.dumps(answer))
    else:
        print(f"accepted as version {answer['version']}")
    return 0


def _show(client: OperatorClient, arguments: dict[str, Any]) -> int:
    answer = client.get("/v1/manifest")
    if arguments["--json"]:
        print(json.dumps(answer))
    else:
        print(f"# version {answer['version']}, digest {answer['digest']}")
        print(answer["body"])
    return 0


def _status(client: OperatorClient, arguments: dict[str, Any]) -> int:
    states, silent = query_all(client, "/v1/status")
    if arguments["--json"]:
        print(json.dumps({"instances": states, "silent": silent}))
    else:
        columns = (
            "instance",
            "zone",
            "state",
            "in_progress",
            "waiting",
            "held",
        )
        rows = [
            [*(state[name] for name in columns), state["manifest"]["version"]]
            for state in states
        ]
        print(tabulate.tabulate(rows, [*columns, "manifest"]))
        _print_unresponsive(silent)
    return EXIT_PARTIAL if silent else 0


def _entry(client: OperatorClient, arguments: dict[str, Any]) -> int:
    answer = client.get("/v1/entry")
    if arguments["--json"]:
        print(json.dumps(answer))
    else:
        for address in answer["instances"]:
            print(address)
        print(f"valid for {answer['ttl_s']} s")
    return 0


def _drain(client: OperatorClient, arguments: dict[str, Any]) -> int:
    name = arguments["INSTANCE"]
    for member in client.members():
        if member["instance"] == name:
            client.call("POST", "/v1/drain", url=client.url_of(member))
            print(f"{name} is draining")
            return 0
    raise CommandError(f"no instance {name!r}; run 'jasminerelay status'")


def _burn(client: OperatorClient, arguments: dict[str, Any]) -> int:
    answers, silent = query_all(client, "/v1/burn")
    parts = [foreignbytes.convert(answer, _InstanceBurn) for answer in answers]
    body = client.get("/v1/manifest")["body"]
    directory = manifest.parse(body, "manifest").unwrap()
    rows = burn.report(
        directory.manifest.classes, [part.windows for part in parts]
    )
    if arguments["--json"]:
        rendered = [burnpage.row_fields(row) for row in rows]
        print(json.dumps({"classes": rendered, "silent": silent}))
    else:
        print(_burn_table(rows))
        print(f"from {len(parts)} instances")
        _print_unresponsive(silent)
    if arguments["--html"]:
        page = burnpage.render(rows, len(parts), silent)
        pathlib.Path(arguments["--html"]).write_text(page)
    return EXIT_PARTIAL if silent else 0


def _burn_table(rows: list[ReportRow]) -> str:
    headers = [
        "class",
        "rank",
        "requests",
        "attainment",
        "goal",
        "burn 5m",
        "burn 1h",
        "p50 s",
        "p95 s",
        "target s",
        "goodput tokens",
        "wasted",
    ]
    lines = []
    for row in rows:
        attainment = row.long.attainment
        lines.append(
            [
                row.class_name,
                row.rank,
                row.long.requests,
                "-" if attainment is None else f"{attainment:.3f}",
                row.goal,
                f"{row.short.burn_rate(row.goal):.2f}",
                f"{row.long.burn_rate(row.goal):.2f}",
                f"{row.long.latency_s(50):.3f}",
                f"{row.long.latency_s(95):.3f}",
                row.target_s,
                row.long.useful_tokens,
                f"{row.long.waste_share:.1%}",
            ]
        )
    return tabulate.tabulate(lines, headers, disable_numparse=True)


def _print_unresponsive(silent: list[str]) -> None:
    if silent:
        print("did not answer: " + ", ".join(sorted(silent)))


if __name__ == "__main__":
    sys.exit(main())
