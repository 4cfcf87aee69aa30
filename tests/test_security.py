"""Authentication between instances and on the operators' port."""

import asyncio
import contextlib
import io
import pathlib
import socket
import tempfile
import unittest

import grpc
import msgspec
import trustme

from jasminerelay import cli
from jasminerelay.peers import MANIFEST_METHOD, PeerCredentials, fetch_manifest
from jasminerelay.schema.messages import ManifestPointer
from jasminerelay.schema.settings import Tls
from standins.launcher import (
    OPERATOR_TOKEN,
    PEER_SECRET,
    Options,
    System,
    call,
    is_ready,
    wait_for,
)
from tests.support import KEY, SystemCase, chat

ANY_POINTER = ManifestPointer(1, "")


async def fetch_as_peer(address: str, secret: str, tls: Tls | None = None):
    """Fetches an instance's manifest as a peer with the given secret."""
    peer_credentials = PeerCredentials(secret, tls or Tls())
    return await fetch_manifest(peer_credentials, address, ANY_POINTER)


class PeerSecretTest(SystemCase):
    """The peer secret is required, here without TLS on loopback."""

    options = Options(daemons=2, max_engines=1, max_services=1)

    def test_only_the_peer_secret_is_accepted(self) -> None:
        address = self.system.daemons[0].peers
        self.assertIsNotNone(asyncio.run(fetch_as_peer(address, PEER_SECRET)))
        for wrong in (KEY, OPERATOR_TOKEN, ""):
            self.assertIsNone(asyncio.run(fetch_as_peer(address, wrong)))

    def test_wrong_credentials_give_unauthenticated(self) -> None:
        async def ask() -> grpc.StatusCode:
            address = self.system.daemons[0].peers
            async with grpc.aio.insecure_channel(address) as channel:
                method = channel.unary_unary(
                    MANIFEST_METHOD, request_serializer=msgspec.msgpack.encode
                )
                try:
                    await method(ANY_POINTER)
                except grpc.aio.AioRpcError as exc:
                    return exc.code()
            return grpc.StatusCode.OK

        self.assertEqual(asyncio.run(ask()), grpc.StatusCode.UNAUTHENTICATED)

    def test_unsigned_gossip_is_dropped(self) -> None:
        daemon = self.system.daemons[0]
        host, _, port = daemon.peers.rpartition(":")
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            for data in (b"", b"x", b"\x80.abc", b"a" * 5000):
                udp.sendto(data, (host, int(port)))
        wait_for(
            lambda: (
                self.system.status(daemon)["counters"].get("gossip.rejected", 0)
                >= 4
            )
        )

    def test_operators_port_refuses_other_credentials(self) -> None:
        base = f"http://{self.system.daemons[0].operators}"
        for method, path in (
            ("GET", "/v1/status"),
            ("GET", "/v1/manifest"),
            ("POST", "/v1/manifest"),
            ("GET", "/v1/burn"),
            ("POST", "/v1/drain"),
        ):
            for token in ("", KEY, PEER_SECRET):
                status, _ = call(method, base + path, token=token)
                self.assertEqual(status, 401, (path, token))


class TlsTest(unittest.TestCase):
    """Instances and operators use the certificates of the settings."""

    def test_instances_and_operators_over_tls(self) -> None:
        # All instances and the operators' tool have certificates of one
        # authority. A peer without such a certificate is refused, even with
        # the right secret.
        authority = trustme.CA()
        issued = authority.issue_cert("127.0.0.1")
        with tempfile.TemporaryDirectory() as folder:
            root = pathlib.Path(folder)
            paths = {name: str(root / name) for name in ("cert", "key", "ca")}
            issued.private_key_pem.write_to_path(paths["key"])
            issued.cert_chain_pems[0].write_to_path(paths["cert"])
            authority.cert_pem.write_to_path(paths["ca"])
            options = Options(
                daemons=0,
                max_engines=1,
                max_services=1,
                settings={"tls": paths},
            )
            with System(options) as system:
                self.check(system, paths)

    def check(self, system: System, paths: dict[str, str]) -> None:
        for index in range(2):
            system.start_daemon(index)
        first, second = system.daemons
        wait_for(lambda: self.run_tool(first, paths, "entry") == 0)
        manifest = pathlib.Path(paths["ca"]).parent / "manifest.toml"
        manifest.write_text(system.manifest)
        applied = self.run_tool(
            first, paths, "manifest", "apply", str(manifest)
        )
        self.assertEqual(applied, 0)
        for daemon in system.daemons:
            wait_for(lambda d=daemon: is_ready(d))
            self.assertEqual(chat(daemon, "over tls [len=3]")[0], 200)
        tls = Tls(**paths)
        manifest_reply = asyncio.run(
            fetch_as_peer(second.peers, PEER_SECRET, tls)
        )
        self.assertIsNotNone(manifest_reply)
        self.assertIsNone(asyncio.run(fetch_as_peer(second.peers, PEER_SECRET)))

    def run_tool(self, daemon, paths: dict[str, str], *arguments: str) -> int:
        discarded_output = io.StringIO()
        with (
            contextlib.redirect_stdout(discarded_output),
            contextlib.redirect_stderr(discarded_output),
        ):
            return cli.main(
                [
                    *arguments,
                    f"--relay=https://{daemon.operators}",
                    f"--token={OPERATOR_TOKEN}",
                    f"--ca={paths['ca']}",
                ]
            )


if __name__ == "__main__":
    unittest.main()
