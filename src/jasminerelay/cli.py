"""The operators' command-line tool."""

import dataclasses
import json
import os
import pathlib
import ssl
import sys
from typing import Any

import docopt
import httpcore
import msgspec
import tabulate

from jasminerelay import burn, burnpage, explain, manifest
from jasminerelay.burn import Row, Totals
from jasminerelay.platform import bootfile, deployfile

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
  jasminerelay -h | --help

Options:
  --relay=URL     Operators' port of any instance [env: JASMINERELAY_RELAY].
  --token=TOKEN   Operators' token [env: JASMINERELAY_TOKEN].
  --ca=FILE       Certificate authority of the operators' port.
  --over=VERSION  Version that the new manifest shall follow.
  --html=FILE     Write the burn report as a page, too.
  --json          Print JSON in place of a table.
  -h --help       Show this text.

explain reads the logs of any number of instances on the users' platform, from
files or standard input, and shows how a request came to its end; losses counts
the requests in them that were not served, by kind and cause; platform
check reads a settings file of that platform, check-deploy the file by which it
builds and starts the instances.

Exit status: 0 done, 1 no answer or refused, 2 faulty command or file,
3 another manifest was accepted first, 4 some instances did not answer.
"""

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


@dataclasses.dataclass(frozen=True)
class _BurnPart:
    instance: str
    windows: dict[str, dict[str, Totals]]


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


def main(argv: list[str] | None = None) -> int:
    """Runs a command; returns the exit status."""
    try:
        arguments = docopt.docopt(USAGE, argv)
    except docopt.DocoptExit as exc:
        print(exc, file=sys.stderr)
        return EXIT_USAGE
    try:
        return _command(arguments)
    except CommandError as exc:
        print(f"jasminerelay: {exc}", file=sys.stderr)
        return exc.status


def _command(arguments: dict[str, Any]) -> int:
    if arguments["check-deploy"]:
        return _check_deploy(arguments)
    if arguments["platform"]:
        return _check_platform(arguments)
    if arguments["explain"]:
        return _explain(arguments)
    if arguments["losses"]:
        return _losses(arguments)
    if arguments["check"]:
        return _check(arguments)
    operator = _operator(arguments)
    if arguments["apply"]:
        return _apply(operator, arguments)
    if arguments["show"]:
        return _show(operator, arguments)
    if arguments["status"]:
        return _status(operator, arguments)
    if arguments["entry"]:
        return _entry(operator, arguments)
    if arguments["drain"]:
        return _drain(operator, arguments)
    return _burn(operator, arguments)


def _operator(arguments: dict[str, Any]) -> Operator:
    url = arguments["--relay"] or os.environ.get("JASMINERELAY_RELAY", "")
    token = arguments["--token"] or os.environ.get("JASMINERELAY_TOKEN", "")
    if not url or not token:
        raise CommandError(
            "give --relay and --token, or set JASMINERELAY_RELAY and"
            " JASMINERELAY_TOKEN",
            EXIT_USAGE,
        )
    return Operator(url, token, arguments["--ca"])


def _read(path: str) -> str:
    try:
        return pathlib.Path(path).read_text()
    except (OSError, UnicodeDecodeError) as exc:
        raise CommandError(f"cannot read {path}: {exc}", EXIT_USAGE) from exc


def _check(arguments: dict[str, Any]) -> int:
    path = arguments["FILE"]
    parsed = manifest.parse(_read(path), path)
    problems = parsed.unwrap_err() if parsed.is_err() else []
    if arguments["--json"]:
        print(json.dumps([dataclasses.asdict(item) for item in problems]))
    for problem in problems if not arguments["--json"] else []:
        print(problem)
    if not problems and not arguments["--json"]:
        print(f"{path}: no faults")
    return EXIT_USAGE if problems else 0


def _check_platform(arguments: dict[str, Any]) -> int:
    loaded = bootfile.load(pathlib.Path(arguments["SETTINGS"]))
    if loaded.is_err():
        for problem in loaded.unwrap_err():
            print(problem, file=sys.stderr)
        return EXIT_USAGE
    for name, value in dataclasses.asdict(loaded.unwrap()).items():
        print(f"{name}: {value}")
    return 0


def _check_deploy(arguments: dict[str, Any]) -> int:
    loaded = deployfile.load(pathlib.Path(arguments["FILE"]))
    if loaded.is_err():
        for problem in loaded.unwrap_err():
            print(problem, file=sys.stderr)
        return EXIT_USAGE
    print(f"{arguments['FILE']}: no faults; roles {loaded.unwrap()}")
    return 0


def _events(arguments: dict[str, Any]) -> tuple[list[explain.Event], int]:
    lines = []
    for path in arguments["LOG"]:
        lines += _read(path).splitlines()
    if not arguments["LOG"]:
        lines = sys.stdin.read().splitlines()
    return explain.read(lines)


def _losses(arguments: dict[str, Any]) -> int:
    events, left_out = _events(arguments)
    asked, losses = explain.summarize(events)
    rows = [
        [item.route, item.cause, item.count, asked[item.route], item.example]
        for item in losses
    ]
    headers = ["route", "cause", "requests", "of", "example"]
    print(tabulate.tabulate(rows, headers))
    if left_out:
        print(f"{left_out} lines were left out by the instances.")
    return 0


def _explain(arguments: dict[str, Any]) -> int:
    events, left_out = _events(arguments)
    found = explain.explain(arguments["ID"], events, left_out)
    if found is None:
        raise CommandError(
            f"no line names {arguments['ID']}; give the logs of all instances,"
            " also of those that have ended"
        )
    for title, part in (
        ("Request", found.own),
        ("Surroundings", found.surroundings),
        ("In words", found.causes),
    ):
        print(f"{title}:")
        for item in part:
            print(f"  {item}")
    if found.left_out:
        print(f"{found.left_out} lines were left out by the instances.")
    return 0


def _apply(operator: Operator, arguments: dict[str, Any]) -> int:
    over = arguments["--over"]
    if over is not None and not over.isdigit():
        raise CommandError("--over takes a version, a number", EXIT_USAGE)
    headers = {} if over is None else {"if-match": over}
    body = operator.call(
        "POST",
        "/v1/manifest",
        _read(arguments["FILE"]).encode(),
        headers,
    )
    answer = json.loads(body)
    if arguments["--json"]:
        print(json.dumps(answer))
    else:
        print(f"accepted as version {answer['version']}")
    return 0


def _show(operator: Operator, arguments: dict[str, Any]) -> int:
    answer = operator.get("/v1/manifest")
    if arguments["--json"]:
        print(json.dumps(answer))
    else:
        print(f"# version {answer['version']}, digest {answer['digest']}")
        print(answer["body"])
    return 0


def _status(operator: Operator, arguments: dict[str, Any]) -> int:
    states, silent = _ask_all(operator, "/v1/status")
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
        _print_silent(silent)
    return EXIT_PARTIAL if silent else 0


def _entry(operator: Operator, arguments: dict[str, Any]) -> int:
    answer = operator.get("/v1/entry")
    if arguments["--json"]:
        print(json.dumps(answer))
    else:
        for address in answer["instances"]:
            print(address)
        print(f"keep for {answer['ttl_s']} s")
    return 0


def _drain(operator: Operator, arguments: dict[str, Any]) -> int:
    name = arguments["INSTANCE"]
    for member in operator.members():
        if member["instance"] == name:
            operator.call("POST", "/v1/drain", url=operator.url_of(member))
            print(f"{name} is draining")
            return 0
    raise CommandError(f"no instance {name!r}; see 'jasminerelay status'")


def _burn(operator: Operator, arguments: dict[str, Any]) -> int:
    answers, silent = _ask_all(operator, "/v1/burn")
    parts = [msgspec.convert(answer, _BurnPart) for answer in answers]
    body = operator.get("/v1/manifest")["body"]
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
        _print_silent(silent)
    if arguments["--html"]:
        page = burnpage.render(rows, len(parts), silent)
        pathlib.Path(arguments["--html"]).write_text(page)
    return EXIT_PARTIAL if silent else 0


def _burn_table(rows: list[Row]) -> str:
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


def _ask_all(operator: Operator, path: str) -> tuple[list[Any], list[str]]:
    """Asks every known instance; returns the answers and the silent ones."""
    answers, silent = [], []
    for member in operator.members():
        try:
            answers.append(operator.get(path, url=operator.url_of(member)))
        except CommandError:
            silent.append(member["instance"])
    return answers, silent


def _print_silent(silent: list[str]) -> None:
    if silent:
        print("did not answer: " + ", ".join(sorted(silent)))


def _error_of(response: httpcore.Response) -> CommandError:
    status = EXIT_CONFLICT if response.status == 409 else EXIT_FAILED
    try:
        message = json.loads(response.content)["error"]["message"]
    except (ValueError, KeyError, TypeError):
        message = f"status {response.status}"
    return CommandError(message, status)


if __name__ == "__main__":
    sys.exit(main())
