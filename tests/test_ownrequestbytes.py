"""Bytes on connections to the ports of the project's own interface."""

import asyncio
import json

from standins.launcher import Options
from tests.rawbytes import RawAnswer, exchange, parse_answers
from tests.support import KEY, SystemCase

PATH = "/services/bookings/slots"
QUOTED = b"GET /v1/models HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
UPGRADE = ("Connection: Upgrade, HTTP2-Settings", "Upgrade: h2c")


def head(*fields: str, path: str = PATH, method: str = "GET") -> bytes:
    """Returns the head of a request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: x",
        f"Authorization: Bearer {KEY}",
        *fields,
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class OwnRequestBytesTest(SystemCase):
    """Requests in raw bytes, on the callers' and the operators' port."""

    options = Options(daemons=1, max_engines=1, max_services=1)

    def send(self, *parts: bytes, address: str = "") -> list[RawAnswer]:
        """Sends parts on one connection; returns the answers."""
        address = address or self.system.daemons[0].address
        data, _ = asyncio.run(
            exchange(address, list(parts), pause_s=0.05, quiet_s=1.5)
        )
        answers, rest = parse_answers(data)
        self.assertEqual(rest, b"", data)
        return answers

    def statuses(self, *parts: bytes, address: str = "") -> list[int]:
        """Sends parts; returns the statuses of the answers."""
        return [answer.status for answer in self.send(*parts, address=address)]

    def runs(self) -> list[dict]:
        """Returns the calls that the services ran."""
        return self.system.journal("bookings", "runs")

    def test_body_after_a_wish_to_upgrade(self) -> None:
        # Guards against a body that runs as a request, on every port.
        daemon = self.system.daemons[0]
        for address in (daemon.address, daemon.operators):
            length = f"Content-Length: {len(QUOTED)}"
            sent = head(*UPGRADE, length, path="/v1/entry")
            for parts in ([sent + QUOTED], [sent, QUOTED]):
                with self.subTest(address=address, parts=len(parts)):
                    statuses = self.statuses(*parts, address=address)
                    self.assertEqual(len(statuses), 1)

    def test_target_of_a_call(self) -> None:
        # Guards against a call whose path is unescaped or cut on its way.
        for tail in ("", "?", "?a=%20b", "/x%2Fy", "#f"):
            with self.subTest(tail):
                count = len(self.runs())
                self.assertEqual(self.statuses(head(path=PATH + tail)), [200])
                (run,) = self.runs()[count:]
                self.assertEqual(run["target"], "/slots" + tail)
        count = len(self.runs())
        for path in ("/services/bookings%2Fslots/x", PATH + "/%0d%0aX"):
            self.assertIn(self.statuses(head(path=path))[0], (400, 404))
        self.assertEqual(len(self.runs()), count)

    def test_fields_that_stand_twice(self) -> None:
        # Guards against an instance that believes one of two fields.
        for field in (
            "Authorization: Bearer other",
            "Host: y",
            "Idempotency-Key: a\r\nIdempotency-Key: b",
            "X-Request-Type: a\r\nX-Request-Type: b",
            "Connection: Authorization",
        ):
            with self.subTest(field):
                (answer,) = self.send(head(field))
                self.assertEqual(answer.status, 400)
                self.assertIn(b". ", answer.body)

    def test_trailers_are_not_believed(self) -> None:
        # Guards against a key in a trailer field that is taken for the key.
        count = len(self.runs())
        sent = (
            f"POST {PATH}/confirm HTTP/1.1\r\nHost: x\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
            f"1\r\na\r\n0\r\nAuthorization: Bearer {KEY}\r\n\r\n"
        ).encode()
        for parts in ([sent], [sent[:-30], sent[-30:]]):
            self.assertEqual(self.statuses(*parts), [401])
        self.assertEqual(len(self.runs()), count)

    def test_refusal_before_the_body(self) -> None:
        # Guards against a request that is taken for the body of a refused one:
        # its caller was never told to send that body.
        sent = head("Expect: 100-continue", "Content-Length: 70", method="POST")
        sent = sent.replace(KEY.encode(), b"nobody")
        (answer,) = self.send(sent, head(path="/healthz") + b" " * 70)
        self.assertEqual(answer.status, 401)
        self.assertEqual(answer.fields[b"connection"], b"close")

    def test_answer_is_whole_whatever_follows(self) -> None:
        # Guards against a refusal that is written into an answer under way.
        body = json.dumps(
            {
                "model": "helper",
                "stream": True,
                "messages": [{"role": "user", "content": "couch [len=60]"}],
            }
        ).encode()
        sent = head(
            f"Content-Length: {len(body)}",
            path="/v1/chat/completions",
            method="POST",
        )
        for following in (b"\x00\r\n\r\n", b"GET / HTTP/3.0\r\n\r\n"):
            answers = self.send(sent + body, following)
            self.assertEqual([a.status for a in answers], [200, 400])
            self.assertTrue(answers[0].body.endswith(b"data: [DONE]\n\n"))
