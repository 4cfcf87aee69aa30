"""The command-line tool and the daemon's command line."""

import contextlib
import io
import json
import pathlib
import subprocess
import sys
import tempfile
import unittest

from jasminerelay import cli, daemon
from standins.launcher import OPERATOR_TOKEN, ROOT, Options
from tests.support import SystemCase, chat

EXAMPLE = str(ROOT / "examples" / "moreton-bay.toml")


def run(*arguments: str) -> tuple[int, str, str]:
    """Runs a command; returns its exit status and what it printed."""
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        status = cli.main(list(arguments))
    return status, out.getvalue(), err.getvalue()


class CheckTest(unittest.TestCase):
    """Commands that need no running relay, and invalid command lines."""

    def test_valid_manifest(self) -> None:
        status, out, _ = run("manifest", "check", EXAMPLE)
        self.assertEqual((status, out), (0, f"{EXAMPLE}: no faults\n"))

    def test_faulty_manifest(self) -> None:
        with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
            text = pathlib.Path(EXAMPLE).read_text()
            file.write(text.replace("rank = 1", 'rank = "one"', 1))
            file.flush()
            status, out, _ = run("manifest", "check", file.name)
            self.assertEqual(status, 2)
            self.assertIn('found "one"', out)
            status, out, _ = run("manifest", "check", file.name, "--json")
            self.assertEqual(json.loads(out)[0]["key"], "classes[0].rank")

    def test_faulty_commands(self) -> None:
        self.assertEqual(run("nonsense")[0], 2)
        self.assertEqual(run("manifest", "check", "/no/such/file")[0], 2)
        status, _, err = run("status", "--relay=", "--token=")
        self.assertEqual(status, 2)
        self.assertIn("JASMINERELAY_RELAY", err)

    def test_unreachable_relay(self) -> None:
        status, _, err = run(
            "status", "--relay=http://127.0.0.1:1", "--token=x"
        )
        self.assertEqual(status, 1)
        self.assertIn("name another instance", err)

    def test_daemon_checks_its_settings(self) -> None:
        with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
            file.write('instance = "a"\n')
            file.flush()
            err = io.StringIO()
            with contextlib.redirect_stderr(err):
                status = daemon.main(["--check", file.name])
            self.assertEqual(status, 2)
            self.assertIn("no zone, listen, platform, keys", err.getvalue())

    def test_help_as_a_process(self) -> None:
        for module in ("cli", "daemon", "launch"):
            done = subprocess.run(
                [sys.executable, "-m", f"jasminerelay.{module}", "--help"],
                capture_output=True,
                text=True,
                check=True,
            )
            self.assertIn("Usage:", done.stdout)


class CommandsTest(SystemCase):
    """Commands against a running relay."""

    options = Options(daemons=3, max_engines=1, max_services=1)

    def command(self, *arguments: str) -> tuple[int, str, str]:
        relay = f"http://{self.system.daemons[0].operators}"
        return run(*arguments, f"--relay={relay}", f"--token={OPERATOR_TOKEN}")

    def test_status_and_entry(self) -> None:
        status, out, _ = self.command("status")
        self.assertEqual(status, 0)
        for item in self.system.daemons:
            self.assertIn(item.name, out)
        status, out, _ = self.command("entry", "--json")
        self.assertEqual(status, 0)
        self.assertEqual(
            set(json.loads(out)["instances"]),
            {item.url for item in self.system.daemons},
        )

    def test_apply_show_and_conflict(self) -> None:
        status, out, _ = self.command("manifest", "show", "--json")
        version = json.loads(out)["version"]
        with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
            file.write(self.system.manifest + "\n# by the tool\n")
            file.flush()
            over = f"--over={version}"
            status, out, _ = self.command("manifest", "apply", file.name, over)
            self.assertEqual(status, 0)
            self.assertEqual(out, f"accepted as version {version + 1}\n")
            status, _, err = self.command("manifest", "apply", file.name, over)
        self.assertEqual(status, 3)
        self.assertIn(f"version {version + 1} is in force", err)
        status, out, _ = self.command("manifest", "show")
        self.assertIn("# by the tool", out)

    def test_burn_as_text_page_and_json(self) -> None:
        for item in self.system.daemons:
            self.assertEqual(chat(item, "burn [len=5]")[0], 200)
        with tempfile.TemporaryDirectory() as folder:
            page = pathlib.Path(folder) / "burn.html"
            status, out, _ = self.command("burn", f"--html={page}")
            self.assertEqual(status, 0)
            self.assertIn("from 3 instances", out)
            text = page.read_text()
        self.assertEqual(text.count("<svg"), 3)
        self.assertEqual(text.count("<script"), 0)
        status, out, _ = self.command("burn", "--json")
        rows = {row["class"]: row for row in json.loads(out)["classes"]}
        self.assertGreaterEqual(rows["chat"]["requests"], 3)
        self.assertEqual(rows["chat"]["attainment"], 1.0)

    def test_wrong_token(self) -> None:
        relay = f"http://{self.system.daemons[0].operators}"
        status, _, err = run("status", f"--relay={relay}", "--token=wrong")
        self.assertEqual(status, 1)
        self.assertIn("operator_token", err)

    def test_unknown_instance(self) -> None:
        status, _, err = self.command("drain", "nobody")
        self.assertEqual(status, 1)
        self.assertIn("jasminerelay status", err)


class DrainTest(SystemCase):
    """The drain command."""

    options = Options(daemons=2, max_engines=1, max_services=1)

    def test_drain_and_partial_report(self) -> None:
        # A drained instance exits with status 0. After another one is killed,
        # the burn report lists both as unresponsive, and the exit status says
        # that the report is partial.
        first, second = self.system.daemons
        relay = f"--relay=http://{first.operators}"
        token = f"--token={OPERATOR_TOKEN}"
        third = self.system.start_daemon(2)
        while run("status", relay, token)[1].count("alive") < 3:
            pass
        self.end(second)
        self.assertEqual(run("drain", second.name, relay, token)[0], 0)
        self.assertEqual(second.wait(), 0)
        self.end(third)
        third.kill()
        status, out, _ = run("burn", relay, token)
        self.assertEqual(status, 4)
        self.assertIn(f"did not answer: {second.name}, {third.name}", out)


if __name__ == "__main__":
    unittest.main()
