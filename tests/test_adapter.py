"""Tests that the adapter decodes the platform's formats, and only it does."""

import json
import os
import pathlib
import re
import tempfile
import unittest

import msgspec

from jasminerelay.catalog import BackendServer, RepeatPolicy
from jasminerelay.eventlog import EventLog
from jasminerelay.exchange import OutgoingRequest, ServerLoadStatement
from jasminerelay.httpclient import HttpResponse
from jasminerelay.platform import bootfile, decoding, deployfile, headers
from standins.launcher import ROOT
from tests.test_placing import call

BOOT = """
nodeName = "edge-1"
ip = "10.0.0.1"
zone = "north"
region = "r"
internalPortRange = [7000, 7010]
seedNodes = ["10.0.0.2:9", "10.0.0.1:9"]
newField = 3
[listenAddrs]
front = "10.0.0.1:1"
readiness = "10.0.0.1:2"
registry = "10.0.0.1:3"
[platform]
address = "10.9.0.1:4"
[bounds]
graceS = 6
"""

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "a",
            "hostname": "H.example",
            "prefix": "/a/",
            "routeType": "streaming",
            "timeoutMs": 1500,
            "trafficSplit": [
                {"backend": "one", "weight": 1},
                {"backend": "two", "weight": 0},
            ],
            "streamResume": True,
        },
        {
            "name": "b",
            "hostname": "h.example",
            "prefix": "/a/b/",
            "routeType": "non_idempotent",
            "timeoutMs": 1000,
            "backend": "two",
        },
    ],
    "backends": [{"name": "one", "runtime": {"slotCount": 8}}],
    "limits": {"maxBodyBytes": 10},
    "tenants": [{"name": "elm", "apiKeys": ["k1", "k2"], "priorityClass": 1}],
}


class BootFileTest(unittest.TestCase):
    """Parsing of the settings file."""

    def test_read(self) -> None:
        boot = bootfile.parse(BOOT, "x").unwrap()
        self.assertEqual(boot.peers, "10.0.0.1:7000")
        self.assertEqual(boot.seeds, ("10.0.0.2:7000",))
        self.assertEqual((boot.grace_s, boot.entry_ttl_s), (6.0, 5.0))

    def test_faults_name_the_remedy(self) -> None:
        faults = (
            "not toml [",
            BOOT.replace('ip = "10.0.0.1"', ""),
            BOOT.replace('front = "10.0.0.1:1"', 'front = "somewhere"'),
            BOOT.replace("[7000, 7010]", '"many"'),
        )
        for text in faults:
            problems = bootfile.parse(text, "x").unwrap_err()
            self.assertTrue(problems[0].remedy)

    def test_memory_limit(self) -> None:
        self.assertIsNone(bootfile.parse(BOOT, "x").unwrap().memory_mb)
        boot = bootfile.parse(f"{BOOT}[limits]\nmemoryMb = 160\n", "x").unwrap()
        self.assertEqual(boot.memory_mb, 160)

    def test_faulty_memory_limit(self) -> None:
        # Guards against a limit that is ignored without a word.
        for value in ("0", "-1", '"much"', "true", "inf", "nan"):
            text = f"{BOOT}[limits]\nmemoryMb = {value}\n"
            (problem,) = bootfile.parse(text, "x").unwrap_err()
            self.assertEqual(problem.key, "limits.memoryMb")
            self.assertIn("MB", problem.expected)
            self.assertTrue(problem.remedy)

    def test_missing_file(self) -> None:
        missing = bootfile.load(pathlib.Path("/nowhere/settings.toml"))
        self.assertIn("JASMINERELAY_BOOT", str(missing.unwrap_err()[0]))


class DeployFileTest(unittest.TestCase):
    """Checks of the deploy file."""

    def test_own(self) -> None:
        loaded = deployfile.load(ROOT / "deploy/system.toml")
        self.assertEqual(loaded.unwrap(), ["relay"])

    def test_faults_name_the_remedy(self) -> None:
        text = (ROOT / "deploy/system.toml").read_text()
        for old, new in (
            ('"registry"', '"other"'),
            ("share = 1.0", "share = 1.5"),
            ("share = 1.0", ""),
            ("share = 1.0", "share = 1.0\ncount = 2"),
            ("deploy/instance.py", "deploy/none.py"),
            ("9464/metrics", "metrics"),
            ("JASMINERELAY_METRICS_PORT", "LD_PRELOAD"),
            ("[roles.relay]", "["),
            ("build =", "built ="),
        ):
            with self.subTest(old=old, new=new):
                self.assertIn(old, text)
                with tempfile.TemporaryDirectory() as folder:
                    deploy = pathlib.Path(folder) / "deploy"
                    deploy.mkdir()
                    (deploy / "instance.py").write_text("")
                    path = deploy / "system.toml"
                    path.write_text(text.replace(old, new))
                    problems = deployfile.load(path).unwrap_err()
                self.assertTrue(problems[0].remedy)
                self.assertIn("system.toml", str(problems[0]))

    def test_missing(self) -> None:
        missing = deployfile.load(pathlib.Path("/nowhere/system.toml"))
        self.assertIn("/nowhere", str(missing.unwrap_err()[0]))


class DocumentsTest(unittest.TestCase):
    """Decoding of the configuration and of servers' rows."""

    def setUp(self) -> None:
        data = msgspec.json.encode(CONFIGURATION)
        self.catalog = decoding.catalog(data)

    def test_longest_prefix(self) -> None:
        for path, name in (("/a/x", "a"), ("/a/b/x", "b"), ("/a/b", "a")):
            route = self.catalog.route_of("H.EXAMPLE", path)
            self.assertEqual(route.name, name)
        self.assertIsNone(self.catalog.route_of("h.example", "/c/"))
        self.assertIsNone(self.catalog.route_of("other", "/a/"))

    def test_decoded(self) -> None:
        route = self.catalog.route_of("h.example", "/a/")
        self.assertEqual(route.repeat_policy, RepeatPolicy.RESUMABLE)
        self.assertEqual(route.timeout_s, 1.5)
        holder = self.catalog.key_holders["k2"]
        self.assertEqual((holder.name, holder.rank), ("elm", 1))
        self.assertEqual(self.catalog.services["one"].engine.slots, 8)

    def test_idle_timeout_of_callers(self) -> None:
        # The longest of 2 s, four times the latency objective and eight times
        # the longest pause.
        base = {**CONFIGURATION["routes"][0], "routeType": "streaming"}
        for objective, pause, idle_timeout_s in (
            (300, 120, 2.0),
            (800, 200, 3.2),
            (300, 1000, 8.0),
        ):
            changes = {"targetLatencyMs": objective, "gapTargetMs": pause}
            data = {**CONFIGURATION, "routes": [{**base, **changes}]}
            catalog = decoding.catalog(msgspec.json.encode(data))
            self.assertEqual(
                catalog.routes[0].caller_idle_timeout_s, idle_timeout_s
            )

    def test_levels_keep_the_routes_order(self) -> None:
        # Guards against a rank of an organisation that replaces those of the
        # routes: engines then saw summaries and long studies of an
        # organisation as equal, and a full engine preempted the summaries
        # while the studies continued.
        routes = [
            {**CONFIGURATION["routes"][0], "name": name, "prefix": f"/{name}/"}
            | {"priorityClass": rank, "sessionAffinity": True}
            for name, rank in (("summary", 0), ("check", 1), ("study", 2))
        ]
        for ranks in ((0, 1), (None, 1), (None, None)):
            tenants = [
                {"name": f"t{n}", "apiKeys": [f"k{n}"]}
                | ({} if rank is None else {"priorityClass": rank})
                for n, rank in enumerate(ranks)
            ]
            data = {**CONFIGURATION, "routes": routes, "tenants": tenants}
            catalog = decoding.catalog(msgspec.json.encode(data))
            seen = []
            for holder in catalog.key_holders.values():
                for route in catalog.routes:
                    own = holder.rank
                    rank = route.rank if own is None else own
                    level = catalog.priority_level_of(rank, route)
                    seen.append(((rank, route.rank), level))
            seen.sort()
            levels = [level for _, level in seen]
            self.assertEqual(levels, sorted(levels))
            self.assertEqual(len(set(seen)), len(set(levels)))
            self.assertLess(max(levels), 6)

    def test_routes_have_urgencies_of_their_own(self) -> None:
        # Guards against a full engine that preempts one organisation's chats in
        # favour of another's, or checks, while long studies continue there.
        routes = [
            {**CONFIGURATION["routes"][0], "name": name, "prefix": f"/{name}/"}
            | {"priorityClass": rank, "sessionAffinity": True}
            for name, rank in (("chat", 0), ("check", 1), ("study", 2))
        ]
        data = {**CONFIGURATION, "routes": routes}
        catalog = decoding.catalog(msgspec.json.encode(data))
        urgencies = {
            (rank, route.name): catalog.urgency_of(rank, route)
            for rank in (0, 1, 2)
            for route in catalog.routes
        }
        for (_, name), found in urgencies.items():
            expected = ("chat", "check", "study").index(name)
            self.assertEqual(found, expected)

    def test_organisation_ranks_decide_between_equal_routes(self) -> None:
        tenants = [
            {"name": f"t{rank}", "apiKeys": [f"k{rank}"], "priorityClass": rank}
            for rank in (1, 3)
        ]
        route = {**CONFIGURATION["routes"][0], "sessionAffinity": True}
        data = {**CONFIGURATION, "routes": [route], "tenants": tenants}
        catalog = decoding.catalog(msgspec.json.encode(data))
        only = catalog.routes[0]
        self.assertEqual(catalog.urgency_of(1, only), 0)
        self.assertEqual(catalog.urgency_of(3, only), 1)

    def test_unreadable(self) -> None:
        for data in (b"", b"[]", b'{"version": "x"}'):
            with self.assertRaises(decoding.DocumentError):
                decoding.catalog(data)
            with self.assertRaises(decoding.DocumentError):
                decoding.server("s", data)


class HeadersTest(unittest.TestCase):
    """Parsing and encoding of header fields."""

    def test_prompt(self) -> None:
        prompt = headers.parse_prompt(
            {b"token-usage": b"1460,80", b"prefix-hash": b"5c:800, 91:410"}
        )
        self.assertEqual([part.tokens for part in prompt.parts], [800, 410])
        self.assertIsNone(headers.parse_prompt({}))
        with self.assertRaises(ValueError):
            headers.parse_prompt({b"token-usage": b"x"})

    def test_hop_by_hop_fields_are_dropped(self) -> None:
        passed = headers.forwarded_fields(
            [
                (b"connection", b"close, X-Mine"),
                (b"x-mine", b"1"),
                (b"te", b"trailers"),
                (b"kv-backup", b"x"),
                (b"accept", b"*/*"),
            ]
        )
        self.assertEqual(passed, ((b"accept", b"*/*"),))

    def test_response_head(self) -> None:
        dialect = headers.PlatformDialect()
        head = dialect.head(
            503,
            [
                (b"Not-Executed", b"1"),
                (b"Keep-Alive", b"timeout=5, max=3"),
                (b"Connection", b"Close"),
                (b"Server-Signature", b"s"),
            ],
        )
        self.assertTrue(head.not_run and head.closing)
        self.assertEqual(head.idle_timeout_s, 5.0)
        self.assertEqual(head.headers, ((b"Server-Signature", b"s"),))

    def test_fields_that_the_answers_connection_names(self) -> None:
        # Guards against fields of a server's connection that reach callers.
        head = headers.PlatformDialect().head(
            200,
            [
                (b"Connection", b"X-Hop"),
                (b"X-Hop", b"1"),
                (b"connection", b" x-other ,close"),
                (b"X-Other", b"1"),
                (b"X-Kept", b"1"),
            ],
        )
        self.assertEqual(head.headers, ((b"X-Kept", b"1"),))
        self.assertTrue(head.closing)
        head = headers.PlatformDialect().head(
            200, [(b"Connection", b"not-close")]
        )
        self.assertFalse(head.closing)

    def test_answer_with_two_ids(self) -> None:
        # Guards against an answer that is believed by the last of its ids.
        for ids in ((b"a", b"b"), (b"b", b"a")):
            fields = [(b"Attempt-Id", value) for value in ids]
            head = headers.PlatformDialect().head(200, fields)
            self.assertNotIn(head.request, ("a", "b"))

    def test_stated_load(self) -> None:
        dialect = headers.PlatformDialect()
        cases = {
            b"3,1,8": ServerLoadStatement(3, 1, 8),
            b" 3, 1 ,8,250": ServerLoadStatement(3, 1, 8, 2.5),
        }
        for value, expected in cases.items():
            head = dialect.head(200, [(b"Instance-Load", value)])
            self.assertEqual(head.load, expected)
            self.assertEqual(head.load_fault, "")
            self.assertEqual(head.headers, ())
        self.assertIsNone(dialect.head(200, []).load)

    def test_malformed_load(self) -> None:
        # Guards against a statement that can't be parsed and fails the request,
        # or is taken for a load.
        dialect = headers.PlatformDialect()
        for value in (
            b"",
            b"1,2",
            b"1,2,3,4,5",
            b"1,2,x",
            b"-1,2,8",
            b"1_0,2,8",
            b"1,2,0",
            b"1,2,8,0",
            b"1,2,8,nan",
            b"1,2,8,1e3",
            b"1,2,8,99999999999999",
            b"\xff,\xb2,8",
        ):
            head = dialect.head(200, [(b"instance-load", value)])
            self.assertIsNone(head.load, value)
            self.assertEqual(head.load_fault, value.decode("latin-1"))

    def test_source_of_the_cached_prefix(self) -> None:
        # Guards against a caller that chooses the server from which the
        # prompt's prefix is copied: it could make servers copy any data.
        dialect = headers.PlatformDialect()
        sent = headers.forwarded_fields(
            [(b"kv-fetch", b"9.9.9.9:9"), (b"a", b"b")]
        )
        self.assertEqual(sent, ((b"a", b"b"),))
        here = BackendServer("a", "pool", "1.1.1.1:1", "z", 1, False)
        there = BackendServer("b", "pool", "2.2.2.2:2", "z", 1, False)
        fields = dict(
            dialect.request_headers(
                OutgoingRequest(call(), here, 1.0, source=there)
            )
        )
        self.assertEqual(fields[b"kv-fetch"], b"2.2.2.2:2")
        fields = dict(
            dialect.request_headers(OutgoingRequest(call(), here, 1.0))
        )
        self.assertNotIn(b"kv-fetch", fields)

    def test_move(self) -> None:
        # A refusal with a handle means that the request has stopped and its
        # KV cache is still at the source, so the request resumes there.
        dialect = headers.PlatformDialect()
        source = BackendServer("a", "pool", "1.1.1.1:1", "z", 1, True)
        target = BackendServer("b", "pool", "2.2.2.2:2", "z", 1, False)
        for stop in (False, True):
            order = dialect.move(call(), source, target, stop=stop)
            self.assertIn(b"2.2.2.2:2", order.body)
            self.assertEqual(json.loads(order.body)["final"], stop)
        for status, body, at in (
            (200, b'{"handle":"h","created":4}', target),
            (503, b'{"handle":"h"}', source),
            (503, b"{}", None),
            (404, b"", None),
            (200, b"?", None),
        ):
            copy = dialect.moved(HttpResponse(status, {}, body), source, target)
            self.assertEqual(copy and copy.at, at)
            if copy:
                self.assertEqual(copy.at_source, at is source)
                dropped = dialect.drop_copy(copy)
                self.assertEqual(dropped.url, "http://1.1.1.1:1/-/kv-handle/h")


class BoundaryTest(unittest.TestCase):
    """No module outside the adapter uses names of the platform's formats."""

    NAMES = (
        "attempt-id",
        "expect-instance",
        "not-executed",
        "kv-from",
        "kv-move",
        "token-usage",
        "prefix-hash",
        "server-signature",
        "request-urgency",
        "server-limit",
        "deadline-ms",
        "rows-tx",
        "rows-get",
        "rows-feed",
        "schemaversion",
        "trafficsplit",
        "streamresume",
        "gaptargetms",
        "apikeys",
        "listenaddrs",
        "seednodes",
        "drainms",
        "graces",
        "fleetbench",
    )

    def test_names_stay_in_the_adapter(self) -> None:
        package = ROOT / "src/jasminerelay"
        for path in package.rglob("*.py"):
            if "platform" in path.relative_to(package).parts:
                continue
            words = set(re.findall(r"[a-z][a-z-]*", path.read_text().lower()))
            self.assertEqual(words & set(self.NAMES), set(), path.name)

    def test_core_imports_no_adapter(self) -> None:
        package = ROOT / "src/jasminerelay"
        for path in package.glob("*.py"):
            if path.name == "localcommands.py":
                # The command-line tool has commands for both interfaces.
                continue
            self.assertNotIn(
                "jasminerelay.platform", path.read_text(), path.name
            )


class EventLogTest(unittest.TestCase):
    """The structured event log."""

    def test_reader_that_does_not_read(self) -> None:
        # Guards against an instance that blocks because the process that
        # collects its log stops reading. Lines are dropped and counted.
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        log = EventLog("edge-1", writer)
        for number in range(400):
            log.warn("request", id=str(number), why="x" * 4000)
        self.assertGreater(log.left_out, 0)
        self.assertLess(log.written, 100)
        while os.read(reader, 1 << 16).endswith(b"x"):
            pass

    def test_bounded_and_trouble_kept(self) -> None:
        # Guards against a flood of info lines that displaces trouble lines.
        # The next line states how many were dropped.
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        log = EventLog("edge-1", writer)
        for number in range(500):
            log.info("request", id=str(number))
        log.warn("refused", id="x")
        os.close(writer)
        with os.fdopen(os.dup(reader), "rb") as stream:
            lines = stream.read().splitlines()
        last = msgspec.json.decode(lines[-1])
        self.assertLess(len(lines), 300)
        self.assertEqual(last["event"], "refused")
        self.assertEqual(last["left_out"], 500 - (len(lines) - 1))


if __name__ == "__main__":
    unittest.main()
