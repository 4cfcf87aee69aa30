"""A foreign entry without `born`, then the server drains."""

import asyncio
import json
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import kit  # noqa: E402

LINGER_S = 1.5


async def case(record):
    """Returns whether the rule was broken."""
    site = kit.Site(record)
    try:
        await site.start_store()
        servers = [await site.add_server(f"i-{n}", "desk") for n in range(3)]
        site.put_configuration(
            [kit.plain_route("confirm", "/confirm/", "desk")],
            [kit.plain_service("desk")],
        )
        await site.start_instances()
        clients = kit.Clients(site, "/confirm/", 12)
        clients.start(await site.resolve(site.instances[0]))
        await asyncio.sleep(kit.CONTACT_S + 1.0)
        leaving = servers[1]
        if kit.TROUBLE:
            entry = leaving.entry()
            del entry["born"]
            site.store.put("servers", leaving.name, json.dumps(entry).encode())
            record("foreign_entry", server=leaving.name, data=entry)
        # The server writes its own entry again with its next heartbeat.
        await asyncio.sleep(kit.CONTACT_S + 1.0)
        await leaving.drain(LINGER_S)
        await asyncio.sleep(1.0)
        await clients.stop()
        return judge(record, leaving, clients)
    finally:
        site.close()


def judge(record, leaving, clients):
    """Returns whether a request reached the server later than `drainMs`."""
    limit = leaving.drain_acked_at + kit.DRAIN_S
    late = [attempt for at, attempt in leaving.arrivals if at > limit]
    lost = []
    for attempt in late:
        answer = clients.answers.get(attempt)
        if answer is None or answer.status != 200 or not answer.whole:
            lost.append(attempt)
    good = sum(x.status == 200 and x.whole for x in clients.answers.values())
    summary = {
        "requests": len(clients.answers),
        "answered_200": good,
        "arrived_at_it": len(leaving.arrivals),
        "reached_it_after_drainMs": len(late),
        "of_these_not_answered_200": len(lost),
        "lost": ",".join(lost) or "-",
    }
    record("judged", **summary)
    print(summary)
    return bool(late)


if __name__ == "__main__":
    kit.main(case, FOLDER)
