"""A client states a size that is far beyond what any server can hold."""

import asyncio
import collections
import math
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import http11  # noqa: E402
import kit  # noqa: E402

INSTANCES = 3
OTHERS = 18
CHATS = 9
WORK_S = 0.3
LARGE_FOR_S = 12.0
LARGE_PAUSE_S = 0.2
MAX_ENDS = 3
"""Of the rule: "three times in the day"."""

SIZE = 10**21 if kit.TROUBLE else 700_000
"""Tokens of the prompt. Both are larger than a server's memory (600,000)."""


def usual_prompt(attempt):
    """Returns the fields of a request of usual size."""
    return [
        ("Model", "m"),
        ("Token-Usage", "826,20"),
        ("Prefix-Hash", f"5c1e07a2:198,{attempt.encode().hex()}:628"),
    ]


async def send_large(site, addresses):
    """Sends requests that no server can hold, one after another."""
    loop = asyncio.get_running_loop()
    until = loop.time() + LARGE_FOR_S
    number = 0
    while loop.time() < until:
        number += 1
        attempt = f"large{number:04d}"
        channel = http11.Channel(addresses[number % len(addresses)])
        fields = [
            ("Host", kit.HOST),
            ("Attempt-Id", attempt),
            ("Deadline-Ms", "6000"),
            ("Model", "m"),
            ("Token-Usage", f"{SIZE},40"),
            ("Prefix-Hash", f"5c1e07a2:800,{number:08x}:{SIZE - 800}"),
            ("Authorization", f"Bearer {kit.KEY}"),
        ]
        site.record("sent", attempt=attempt, to=channel.address, size=SIZE)
        answer = await channel.request(
            "POST", f"/chat/{attempt}", fields, b"{}", 7.0
        )
        channel.close()
        site.record(
            "answered", attempt=attempt, status=answer.status, why=answer.why
        )
        await asyncio.sleep(LARGE_PAUSE_S)


async def case(record):
    """Returns whether the rule was broken."""
    site = kit.Site(record, INSTANCES)
    ended = []
    guards = []
    try:
        await site.start_store()
        for n in range(3):
            await site.add_server(f"i-{n}", "desk", work_s=WORK_S)
        for n in range(3):
            await site.add_server(f"m-{n}", "llm", kit.ModelServer)
        site.put_configuration(
            [
                kit.plain_route("confirm", "/confirm/", "desk"),
                kit.model_route("chat", "/chat/", "llm"),
            ],
            [kit.plain_service("desk"), kit.model_service("llm")],
        )
        await site.start_instances()
        guards = [
            asyncio.ensure_future(instance.keep_running(ended))
            for instance in site.instances
        ]
        addresses = [instance.front for instance in site.instances]
        others = kit.Clients(site, "/confirm/", OTHERS, pause_s=0.05)
        chats = kit.Clients(site, "/chat/", CHATS, more=usual_prompt)
        for clients in (others, chats):
            clients.start(addresses)
        await asyncio.sleep(kit.CONTACT_S + 1.0)
        await send_large(site, addresses)
        await asyncio.sleep(1.0)
        for clients in (others, chats):
            await clients.stop()
        return judge(record, site, others, chats, ended)
    finally:
        for guard in guards:
            guard.cancel()
        site.close()


def judge(record, site, others, chats, ended):
    """Returns whether processes ended by themselves as often as the rule says.

    On a tenth of the machines, two at least, three times each.
    """
    ends = collections.Counter(name for name, _ in ended)
    often = [name for name, count in ends.items() if count >= MAX_ENDS]
    ran = {attempt for server in site.servers for attempt, _ in server.runs}
    lost = [
        attempt
        for attempt, answer in others.answers.items()
        if attempt in ran and "server-signature" not in answer.headers
    ]
    summary = {
        "machines": INSTANCES,
        "processes_that_ended_by_themselves": len(ended),
        "statuses": sorted({status for _, status in ended}),
        "machines_where_three_times": len(often),
        "other_requests": len(others.answers),
        "of_these_answered_200": sum(
            answer.status == 200 for answer in others.answers.values()
        ),
        "run_without_the_servers_answer": len(lost),
        "usual_streams": len(chats.answers),
        "of_these_begun_and_cut": sum(
            answer.status == 200 and not answer.whole
            for answer in chats.answers.values()
        ),
    }
    record("judged", **summary)
    print(summary)
    return len(often) >= max(2, math.ceil(INSTANCES / 10))


if __name__ == "__main__":
    kit.main(case, FOLDER)
