"""An accepted manifest reaches all instances and is never reverted."""

import re
import time
import unittest

from standins.launcher import OPERATOR_TOKEN, Daemon, Options, call, wait_for
from tests.support import Background, SystemCase, chat

IN_FORCE_S = 3.0


class ManifestCase(SystemCase):
    """A system with three instances and helpers to apply manifests."""

    options = Options(daemons=3, max_engines=1, max_services=1)

    def setUp(self) -> None:
        """Waits until all instances have the newest version."""
        versions = [self.version(daemon) for daemon in self.system.daemons]
        for daemon in self.system.daemons:
            wait_for(lambda d=daemon: self.version(d) == max(versions))

    def noted(self, note: str) -> str:
        """Returns the manifest with a different note."""
        return re.sub(r'note = ".*"', f'note = "{note}"', self.system.manifest)

    def version(self, daemon: Daemon) -> int:
        return self.system.status(daemon)["manifest"]["version"]

    def put(self, daemon: Daemon, text: str, over: int):
        return call(
            "POST",
            f"http://{daemon.operators}/v1/manifest",
            text,
            token=OPERATOR_TOKEN,
            headers={"if-match": str(over)},
            timeout_s=30.0,
        )


class InForceTest(ManifestCase):
    """Distribution, concurrent writes, lost acknowledgements and outages."""

    def test_in_force_everywhere(self) -> None:
        version = self.system.apply(self.noted("spread"))["version"]
        started = time.monotonic()
        for daemon in self.system.daemons:
            wait_for(lambda d=daemon: self.version(d) == version, IN_FORCE_S)
        print(f"in force after {time.monotonic() - started:.3f} s", end=" ")

    def test_odd_versions_and_manifests(self) -> None:
        # Guards against an error of ours for odd numbers of an operator.
        daemon = self.system.daemons[0]
        over = self.version(daemon)
        odd = "0x" + "f" * 5000
        nested = "[" * 300 + "]" * 300
        for text, version, expected in (
            (self.system.manifest, "1_0", 400),
            (self.system.manifest, "9" * 5000, 409),
            (f"odd = {odd}\n{self.system.manifest}", over, 422),
            (f"odd = {nested}\n{self.system.manifest}", over, 422),
        ):
            with self.subTest(version=str(version)[:9], text=text[:9]):
                status, body = self.put(daemon, text, version)
                self.assertEqual(status, expected)
                self.assertTrue(body["error"]["message"])
        self.assertEqual(self.version(daemon), over)

    def test_racing_operators(self) -> None:
        # Two operators apply different manifests on top of the same version
        # at the same time, through two instances. One is accepted; the other
        # fails with a conflict that contains the version in force. All
        # instances converge on the accepted manifest.
        for number in range(5):
            over = self.version(self.system.daemons[0])
            for daemon in self.system.daemons:
                wait_for(lambda d=daemon, v=over: self.version(d) == v)
            calls = [
                Background(
                    self.put,
                    daemon,
                    self.noted(f"{number} {daemon.name}"),
                    over,
                )
                for daemon in self.system.daemons[:2]
            ]
            answers = sorted(item.result() for item in calls)
            self.assertEqual([status for status, _ in answers], [200, 409])
            self.assertIn(
                f"version {over + 1}", answers[1][1]["error"]["message"]
            )
            digest = answers[0][1]["digest"]
            for daemon in self.system.daemons:
                wait_for(
                    lambda d=daemon, g=digest: (
                        self.system.status(d)["manifest"]["digest"] == g
                    ),
                    IN_FORCE_S,
                )

    def test_acknowledgement_lost(self) -> None:
        # The write takes effect, but its acknowledgement is lost. The
        # response still reports the manifest as accepted, with its version.
        over = self.version(self.system.daemons[1])
        self.system.fault("table", lose_acks=1)
        status, body = self.put(
            self.system.daemons[1], self.noted("lost"), over
        )
        self.system.fault("table", lose_acks=0)
        self.assertEqual((status, body["version"]), (200, over + 1))

    def test_store_down(self) -> None:
        # While the store is down, the response reports that the outcome is
        # unknown, not that the write failed. Instances keep their version.
        over = self.version(self.system.daemons[0])
        self.system.fault("table", down=True)
        status, body = self.put(
            self.system.daemons[0], self.noted("down"), over
        )
        self.assertEqual((status, body["error"]["ran"]), (503, "unknown"))
        self.assertEqual(self.version(self.system.daemons[0]), over)
        self.system.fault("table", down=False)

    def test_frozen_across_two_versions(self) -> None:
        # An instance is frozen while two versions are accepted. After it
        # resumes, it reaches the newest one, and its version never decreases.
        frozen = self.system.daemons[2]
        frozen.pause()
        try:
            self.system.apply(self.noted("one"))
            version = self.system.apply(self.noted("two"))["version"]
        finally:
            frozen.unpause()
        started = time.monotonic()
        seen = []
        while not seen or seen[-1] != version:
            self.assertLess(time.monotonic() - started, IN_FORCE_S)
            seen.append(self.version(frozen))
        self.assertEqual(seen, sorted(seen))

    def test_fresh_instance_during_an_outage(self) -> None:
        # The table service and the object store are down. A new instance
        # fetches the manifest from its peers, becomes ready and serves.
        version = self.version(self.system.daemons[0])
        self.system.fault("table", down=True)
        self.system.fault("objects", down=True)
        try:
            fresh = self.system.start_daemon(len(self.system.daemons))
            wait_for(lambda: call_ready(fresh))
            self.assertEqual(self.version(fresh), version)
            self.assertEqual(chat(fresh, "during an outage")[0], 200)
        finally:
            self.system.fault("table", down=False)
            self.system.fault("objects", down=False)

    def test_faulty_manifest(self) -> None:
        # An invalid manifest is rejected with all its errors, each with key
        # and remedy, and the version in force stays.
        over = self.version(self.system.daemons[0])
        text = self.system.manifest.replace("rank = 1", "rank = 0", 1)
        text = text.replace('class_name = "chat"', 'class_name = "cat"', 1)
        text = text.replace("weight = 3.0", "wait = 3.0", 1)
        status, body = self.put(self.system.daemons[0], text, over)
        self.assertEqual(status, 422)
        for expected in ("rank", "wait", "remove it", "'cat'"):
            self.assertIn(expected, body["error"]["message"])
        self.assertEqual(self.version(self.system.daemons[0]), over)

    def test_rehearsal(self) -> None:
        # Servers that a rehearsal marks as failed receive no requests; they
        # are used again once a manifest without the rehearsal is applied.
        text = self.system.manifest + '\n[rehearsal]\nservers = ["model-1"]\n'
        version = self.system.apply(text)["version"]
        for daemon in self.system.daemons:
            wait_for(lambda d=daemon: self.version(d) >= version, IN_FORCE_S)
        before = len(self.system.journal("model", "attempts"))
        status, body = chat(self.system.daemons[1], "rehearsal")
        self.assertEqual((status, body["error"]["ran"]), (503, "no"))
        after = len(self.system.journal("model", "attempts"))
        self.assertEqual(before, after)
        version = self.system.apply(self.system.manifest)["version"]
        for daemon in self.system.daemons:
            wait_for(lambda d=daemon: self.version(d) >= version, IN_FORCE_S)
        self.assertEqual(chat(self.system.daemons[1], "after it")[0], 200)


def call_ready(daemon: Daemon) -> bool:
    """Returns whether a new instance is ready; it may not listen yet."""
    try:
        return call("GET", daemon.url + "/readyz")[0] == 200
    except Exception:
        return False


if __name__ == "__main__":
    unittest.main()
