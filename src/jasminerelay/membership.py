"""Which instances are live: random probes and piggybacked records.

After SWIM (Das, Gupta, Motivala 2002), without indirect probes: each
interval an instance probes one other, whatever their number, so the cost per
instance is constant. Silence makes the other suspect; it is taken as failed
after a while unless a newer word of its own refutes it. Every probe raises
the sender's beat, so a thawed instance refutes by probing on.
"""

import dataclasses
import math
import random
from collections.abc import Iterable

from jasminerelay.schema.messages import (
    Gossip,
    ManifestPointer,
    Member,
    Notice,
)

ALIVE = "alive"
SUSPECT = "suspect"
LEAVING = "leaving"
FAILED = "failed"

PROBE = "probe"
ACK = "ack"

MAX_RECORDS = 6
"""Records a datagram; keeps it below one Ethernet frame."""

FANOUT = 3
REFUTE_FANOUT = 12
"""Others that a suspect speaks to at each interval in which it hears of the
suspicion, which reaches all within a second."""

DENY_SHARE = 0.5
"""Part of the time that a suspect has, for which a word of its own is proof
against a suspicion. Older ones say nothing of whether it lives now."""

CHECKS_AT_ONCE = 16
"""Suspects that are asked at each interval. Many fall silent at once when an
availability zone goes."""

RETRANSMIT = 3
FORGET_AFTER_S = 120.0
REVISIT_SHARE = 0.1
"""Share of probes that try a failed instance; heals a parted network."""

_SEVERITY = {ALIVE: 0, SUSPECT: 1, FAILED: 2, LEAVING: 3}


@dataclasses.dataclass(frozen=True)
class Send:
    """One datagram to send."""

    address: str
    gossip: Gossip


@dataclasses.dataclass
class _Known:
    """What is held of another instance.

    Attributes:
        member: Its newest record.
        since: Steady time at which its state changed.
        spoke: Steady time of the last datagram of its own.
    """

    member: Member
    since: float
    spoke: float = float("-inf")


class Membership:
    """One instance's view of all instances.

    Pure: takes the time, returns datagrams to send.
    """

    def __init__(self, own: Member, suspect_after_s: float, rng: random.Random):
        """Makes the view of a fresh instance.

        Args:
            own: Its first record.
            suspect_after_s: Time that a suspect has to refute.
            rng: Picks whom to probe.
        """
        self.own = own
        self._suspect_after_s = suspect_after_s
        self._rng = rng
        self._known: dict[str, _Known] = {}
        self._round: list[str] = []
        self._awaited: str | None = None
        self._asked_again = False
        self._doubted = False
        self._unchecked: list[str] = []
        self._left: dict[str, int] = {own.instance: FANOUT}
        self._notices: dict[str, Notice] = {}
        self._notices_left: dict[str, int] = {}
        self.pointer = ManifestPointer(0, "")

    @property
    def view(self) -> list[Member]:
        """Every known instance, this one first."""
        return [self.own, *(known.member for known in self._known.values())]

    def live(self) -> list[Member]:
        """Returns the instances that may be used for new work."""
        return [member for member in self.view if member.state == ALIVE]

    def notice_of(self, server: str) -> Notice | None:
        """Returns the newest word about a backend server."""
        return self._notices.get(server)

    def leaving_servers(self) -> set[str]:
        """Returns the backend servers that a notice says are leaving."""
        return {
            notice.server for notice in self._notices.values() if notice.leaving
        }

    def seed(self, members: Iterable[Member], now: float) -> None:
        """Takes the platform's list, which lags: only unknown names count."""
        for member in members:
            if member.instance == self.own.instance:
                continue
            if member.instance not in self._known:
                self._known[member.instance] = _Known(member, now)

    def leave(self) -> list[Send]:
        """Announces that this instance takes no new work."""
        self._speak(LEAVING)
        return self.push()

    def enter(self) -> list[Send]:
        """Announces that this instance takes work from now on."""
        self._speak(ALIVE)
        return self.push()

    def greet(self, addresses: Iterable[str]) -> list[Send]:
        """Returns datagrams to addresses whose instances are not known.

        Their answers bring the members that they know; so a list of
        addresses, however stale, is enough to join.
        """
        known = {item.member.peers for item in self._known.values()}
        known.add(self.own.peers)
        gossip = Gossip(PROBE, self.own, [], [], self.pointer)
        return [
            Send(address, gossip)
            for address in addresses
            if address not in known
        ]

    def notice(self, notice: Notice) -> bool:
        """Takes a word about a backend server; returns whether it is news."""
        held = self._notices.get(notice.server)
        if held is not None and held.stamp >= notice.stamp:
            return False
        self._notices[notice.server] = notice
        self._notices_left[notice.server] = self._transmissions()
        return held is None or held.leaving != notice.leaving

    def probe(self, now: float) -> list[Send]:
        """Runs one interval: judges the last probe and sends the next.

        Among many instances somebody's datagram is lost at any moment. So one
        that did not answer is asked a second time before it is suspected;
        whoever hears of a suspicion asks the suspect, too; and a suspect that
        hears of it speaks to more of the others.
        """
        again = self._asks_again()
        self._judge(now)
        self._speak(self.own.state)
        target = self._awaited if again else self._next_target()
        self._asked_again = again
        self._awaited = target
        sends = self.push(REFUTE_FANOUT) if self._doubted else []
        self._doubted = False
        checked = self._unchecked[:CHECKS_AT_ONCE]
        del self._unchecked[:CHECKS_AT_ONCE]
        asked = dict.fromkeys([*checked, target])
        sends += [
            self._send(name, PROBE) for name in asked if name in self._known
        ]
        return sends

    def push(self, fanout: int = FANOUT) -> list[Send]:
        """Sends to a few at once, for news that must not wait."""
        names = [known.member.instance for known in self._known.values()]
        chosen = self._rng.sample(names, min(fanout, len(names)))
        return [self._send(name, PROBE) for name in chosen]

    def receive(self, gossip: Gossip, now: float) -> list[Send]:
        """Takes a datagram; returns the answer to it."""
        if gossip.sender.instance == self.own.instance:
            return []
        if self._awaited == gossip.sender.instance:
            self._awaited = None
        for member in (*gossip.members, gossip.sender):
            self._learn(member, now)
        sender = self._known.get(gossip.sender.instance)
        if sender is not None:
            sender.spoke = now
        for notice in gossip.notices:
            self.notice(notice)
        if gossip.kind != PROBE:
            return []
        if gossip.sender.instance not in self._known:
            return []
        return [self._send(gossip.sender.instance, ACK)]

    def _learn(self, word: Member, now: float) -> None:
        if word.instance == self.own.instance:
            # Whatever others think of this instance, each of its own probes
            # carries a newer word than theirs.
            self._doubted |= word.state in (SUSPECT, FAILED)
            return
        known = self._known.get(word.instance)
        if known is not None and not _newer(word, known.member):
            self._weigh(word, known, now)
            return
        if known is None and word.state == FAILED:
            return
        changed = known is None or (
            known.member.state != word.state
            or known.member.incarnation != word.incarnation
        )
        since = now if changed or known is None else known.since
        spoke = known.spoke if known is not None else float("-inf")
        self._known[word.instance] = _Known(word, since, spoke)
        if changed:
            self._left[word.instance] = self._transmissions()
            if word.state == SUSPECT:
                self._unchecked.append(word.instance)

    def _weigh(self, word: Member, known: _Known, now: float) -> None:
        """Takes a suspicion that is older than what is known here.

        The suspect's beat rises with each datagram, and most hold a newer one
        than whoever suspects it. Were the suspicion passed over for that, a
        dead one would stay alive in their views until each had probed it
        itself.
        """
        if word.state not in (SUSPECT, FAILED) or known.member.state != ALIVE:
            return
        if now - known.spoke < self._suspect_after_s * DENY_SHARE:
            self._left[word.instance] = self._transmissions()
            return
        self._mark(word.instance, SUSPECT, now)
        self._unchecked.append(word.instance)

    def _speak(self, state: str) -> None:
        self.own = dataclasses.replace(
            self.own, state=state, beat=self.own.beat + 1
        )

    def _asks_again(self) -> bool:
        if self._asked_again:
            return False
        awaited = self._known.get(self._awaited or "")
        return awaited is not None and awaited.member.state == ALIVE

    def _judge(self, now: float) -> None:
        awaited = self._known.get(self._awaited or "")
        answers = awaited is None or not self._asked_again
        if not answers and awaited.member.state == ALIVE:
            self._mark(awaited.member.instance, SUSPECT, now)
        for name, known in list(self._known.items()):
            age = now - known.since
            state = known.member.state
            if state == SUSPECT and age > self._suspect_after_s:
                self._mark(name, FAILED, now)
            elif state in (FAILED, LEAVING) and age > FORGET_AFTER_S:
                del self._known[name]
                self._left.pop(name, None)

    def _mark(self, name: str, state: str, now: float) -> None:
        member = dataclasses.replace(self._known[name].member, state=state)
        self._known[name] = _Known(member, now, self._known[name].spoke)
        self._left[name] = self._transmissions()

    def _next_target(self) -> str | None:
        # A shuffled round-robin: everyone is probed once a round, so the
        # time to detect a failure is bounded and not only likely.
        failed = [
            name
            for name, known in self._known.items()
            if known.member.state == FAILED
        ]
        if failed and self._rng.random() < REVISIT_SHARE:
            return self._rng.choice(failed)
        while self._round:
            name = self._round.pop()
            known = self._known.get(name)
            if known is not None and known.member.state != FAILED:
                return name
        self._round = [
            name
            for name, known in self._known.items()
            if known.member.state != FAILED
        ]
        self._rng.shuffle(self._round)
        return self._round.pop() if self._round else None

    def _send(self, name: str, kind: str) -> Send:
        members = []
        target = self._known[name].member
        if target.state in (SUSPECT, FAILED):
            # It must know to deny it.
            members.append(target)
        for key in self._freshest(self._left, MAX_RECORDS):
            if key in self._known and key != name:
                members.append(self._known[key].member)
        notices = [
            self._notices[key]
            for key in self._freshest(self._notices_left, MAX_RECORDS)
        ]
        gossip = Gossip(kind, self.own, members, notices, self.pointer)
        return Send(target.peers, gossip)

    def _freshest(self, left: dict[str, int], count: int) -> list[str]:
        keys = sorted(left, key=lambda key: (-left[key], key))[:count]
        for key in keys:
            left[key] -= 1
            if left[key] <= 0:
                del left[key]
        return keys

    def _transmissions(self) -> int:
        return RETRANSMIT * math.ceil(math.log2(len(self._known) + 2))


def _newer(word: Member, held: Member) -> bool:
    if word.incarnation != held.incarnation:
        return word.incarnation > held.incarnation
    if word.beat != held.beat:
        return word.beat > held.beat
    return _SEVERITY[word.state] > _SEVERITY[held.state]
