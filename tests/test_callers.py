"""The callers' port, with the OpenAI client and with invalid input."""

import json
import socket
import unittest

import httpcore
import openai

from standins.launcher import call
from tests.support import (
    KEY,
    OTHER_KEY,
    SystemCase,
    answer_to,
    chat,
    chat_body,
    stream,
    text_of,
)


class OpenAIClientTest(SystemCase):
    """The OpenAI client works against an instance without changes."""

    def setUp(self) -> None:
        self.client = openai.OpenAI(
            base_url=self.system.daemons[0].url + "/v1",
            api_key=KEY,
            max_retries=0,
        )

    def test_whole_chat(self) -> None:
        reply = self.client.chat.completions.create(
            model="helper",
            messages=[{"role": "user", "content": "couch [len=9]"}],
        )
        self.assertEqual(
            reply.choices[0].message.content, answer_to("couch [len=9]")
        )
        self.assertEqual(reply.usage.completion_tokens, 9)
        self.assertEqual(reply.choices[0].finish_reason, "stop")

    def test_streamed_chat_with_usage(self) -> None:
        chunks = list(
            self.client.chat.completions.create(
                model="helper",
                messages=[{"role": "user", "content": "fridge [len=9]"}],
                stream=True,
                stream_options={"include_usage": True},
            )
        )
        text = "".join(
            chunk.choices[0].delta.content or ""
            for chunk in chunks
            if chunk.choices
        )
        self.assertEqual(text, answer_to("fridge [len=9]"))
        self.assertEqual(chunks[-1].usage.completion_tokens, 9)

    def test_plain_completion(self) -> None:
        reply = self.client.completions.create(
            model="helper", prompt="mattress [len=4]", max_tokens=3
        )
        self.assertEqual(len(reply.choices[0].text.split()), 3)

    def test_models(self) -> None:
        names = [model.id for model in self.client.models.list()]
        self.assertEqual(names, ["drafter", "helper"])

    def test_unknown_model(self) -> None:
        with self.assertRaises(openai.NotFoundError) as caught:
            self.client.chat.completions.create(
                model="nothing", messages=[{"role": "user", "content": "x"}]
            )
        self.assertIn("GET /v1/models", caught.exception.message)

    def test_unknown_key(self) -> None:
        client = self.client.with_options(api_key="nobody")
        with self.assertRaises(openai.AuthenticationError):
            client.models.list()


class BadInputTest(SystemCase):
    """Each invalid input gets an error that names its remedy."""

    def test_invalid_bodies(self) -> None:
        url = self.system.daemons[0].url + "/v1/chat/completions"
        cases = (
            ("{", "Send a JSON object"),
            ("[]", "Send a JSON object"),
            ("{}", "Name a model"),
            ('{"model": "helper"}', "list of {role, content}"),
            ('{"model": "helper", "messages": [3]}', "{role, content}"),
            (
                '{"model": "helper", "max_tokens": 0,'
                ' "messages": [{"role": "user", "content": "x"}]}',
                "positive whole number",
            ),
        )
        for body, remedy in cases:
            with self.subTest(body=body):
                status, answer = call("POST", url, body, token=KEY)
                self.assertEqual(status, 400)
                self.assertIn(remedy, answer["error"]["message"])
                self.assertEqual(answer["error"]["ran"], "no")

    def test_large_body(self) -> None:
        status, answer = chat(self.system.daemons[0], "x" * 2_000_000)
        self.assertEqual(status, 413)
        self.assertEqual(answer["error"]["code"], "body_too_large")

    def test_forbidden_model_and_request_type(self) -> None:
        # Only moreton-01 and -02 may use the drafter. A caller must not obtain
        # a higher class by naming a request type of another model.
        status, _ = chat(
            self.system.daemons[0], "x", "moreton-key-05", model="drafter"
        )
        self.assertEqual(status, 403)
        status, _ = chat(
            self.system.daemons[0],
            "x",
            headers={"x-request-type": "confirm"},
            model="drafter",
        )
        self.assertEqual(status, 404)

    def test_unknown_service_and_path(self) -> None:
        base = self.system.daemons[0].url
        for path in ("/services/nothing/a", "/services/bookings/a", "/a"):
            status, answer = call("GET", base + path, token=KEY)
            self.assertEqual(status, 404, path)
            self.assertIn("message", answer["error"])

    def test_operators_port_is_closed_to_callers(self) -> None:
        url = f"http://{self.system.daemons[0].operators}/v1/status"
        self.assertEqual(call("GET", url, token=KEY)[0], 401)

    def test_body_larger_than_the_head_limit(self) -> None:
        # Head and body arrive in one write. Guards against counting the body
        # towards the limit on the head, which once cut such requests off.
        body = json.dumps(chat_body("x" * 40_000 + " [len=3]")).encode()
        head = (
            f"POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\n"
            f"authorization: Bearer {KEY}\r\nconnection: close\r\n"
            f"content-length: {len(body)}\r\n\r\n"
        )
        host, _, port = self.system.daemons[0].address.rpartition(":")
        with socket.create_connection((host, int(port))) as raw:
            raw.sendall(head.encode() + body)
            answer = raw.makefile("rb").read()
        self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer[:200])
        self.assertIn(b'"finish_reason":"stop"', answer)

    def test_large_head(self) -> None:
        # The HTTP parser accepts a head of any size. One long field and many
        # short ones must both be refused.
        cases = [{"x-long": "a" * 200_000}]
        for count in (180, 400):
            cases.append({f"x-{n}": "a" * 100 for n in range(count)})
        for headers in cases:
            response = httpcore.request(
                "GET",
                self.system.daemons[0].url + "/v1/models",
                headers=headers,
            )
            self.assertEqual(response.status, 400)


class OrganisationsTest(SystemCase):
    """Resume points are bound to their organisation and their request."""

    def test_resume_point_of_another_organisation(self) -> None:
        daemon = self.system.daemons[0]
        streamed = stream(daemon, "own [len=5]")
        headers = {"last-event-id": streamed.ids[1]}
        foreign = stream(daemon, "own [len=5]", OTHER_KEY, headers)
        self.assertEqual(foreign.status, 403)

    def test_forged_resume_point(self) -> None:
        daemon = self.system.daemons[0]
        streamed = stream(daemon, "own [len=5]")
        signed_prefix, _, offset = streamed.ids[1].rpartition(":")
        for forged in (
            f"{signed_prefix[:-2]}xx:{offset}",
            "nothing",
            f"{signed_prefix}:-1",
            f"{signed_prefix}:9999999999999",
        ):
            headers = {"last-event-id": forged}
            answer = stream(daemon, "own [len=5]", KEY, headers)
            self.assertEqual(answer.status, 403, forged)

    def test_resume_point_of_another_request(self) -> None:
        daemon = self.system.daemons[0]
        streamed = stream(daemon, "own [len=5]")
        headers = {"last-event-id": streamed.ids[1]}
        answer = stream(daemon, "other [len=5]", KEY, headers)
        self.assertEqual(answer.status, 403)

    def test_same_prompt_on_every_instance(self) -> None:
        for daemon in self.system.daemons:
            status, body = chat(daemon, "anywhere [len=6]")
            self.assertEqual(status, 200)
            self.assertEqual(text_of(body), answer_to("anywhere [len=6]"))


if __name__ == "__main__":
    unittest.main()
