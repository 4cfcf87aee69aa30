"""Membership and failure detection: random probes with piggybacked records.

The protocol follows SWIM (Das, Gupta, Motivala 2002), without indirect probes.
In each interval an instance probes one other, whatever their number, so the
cost per instance is constant. An instance that does not answer is suspected,
and counts as failed after a while unless a newer record of its own refutes the
suspicion. Every probe increments the sender's beat, so an instance that resumes
after a pause refutes the suspicion by continuing to probe.
"""

import dataclasses
import math
import random
from collections.abc import Iterable, Set

import msgspec

from jasminerelay.schema.messages import (
    Gossip,
    ManifestPointer,
    Member,
    ServerNotice,
)
from jasminerelay.statednumbers import MAX_WHOLE

ALIVE = "alive"
SUSPECT = "suspect"
LEAVING = "leaving"
FAILED = "failed"

PROBE = "probe"
ACK = "ack"

MAX_RECORDS = 6
"""Records in a datagram; keeps it smaller than one Ethernet frame."""

FANOUT = 3
REFUTE_FANOUT = 12
"""Number of instances to which a suspected instance sends in each interval in
which it receives the suspicion, which reaches all within a second."""

REFUTE_SHARE = 0.5
"""Fraction of the suspicion timeout within which a message from the suspect
itself outweighs a suspicion. An older message does not show that it is alive
now."""

MAX_SUSPECT_PROBES = 16
"""Suspects that are probed in each interval. Many become unresponsive at once
when an availability zone fails."""

RETRANSMIT_FACTOR = 3
FORGET_AFTER_S = 120.0
REVISIT_SHARE = 0.1
"""Fraction of probes that go to a failed instance; heals a network
partition."""

_SEVERITY = {ALIVE: 0, SUSPECT: 1, FAILED: 2, LEAVING: 3}


@dataclasses.dataclass(frozen=True)
class Send:
    """One datagram to send."""

    address: str
    gossip: Gossip


@dataclasses.dataclass
class _Peer:
    """The state of another instance.

    Attributes:
        member: Its newest record.
        since: Monotonic time at which its state changed.
        last_message_at: Monotonic time of the last datagram from the instance
            itself.
        contradictions: Datagrams from the instance itself, one after the other,
            that the record contradicts.
        disproved: Record that the instance itself has contradicted; others may
            still spread it. None for none.
    """

    member: Member
    since: float
    last_message_at: float = float("-inf")
    contradictions: int = 0
    disproved: Member | None = None


MAX_CONTRADICTIONS = 3
"""Datagrams in series from an instance itself that disprove a record of it.
Late ones of a former incarnation are fewer."""


class Membership:
    """One instance's view of all instances.

    This class does no I/O: it is given the time and returns datagrams to send.
    """

    def __init__(self, own: Member, suspect_after_s: float, rng: random.Random):
        """Creates the view of an instance that has just started.

        Args:
            own: Its first record.
            suspect_after_s: Time that a suspected instance has to refute.
            rng: Chooses the instances to probe.
        """
        self.own_member = own
        self._suspect_after_s = suspect_after_s
        self._rng = rng
        self._peers: dict[str, _Peer] = {}
        self._not_alive: dict[str, None] = {}
        self._probe_queue: list[str] = []
        self._probed: str | None = None
        self._probed_twice = False
        self._is_suspected = False
        self._suspects_to_probe: list[str] = []
        self._transmissions_left: dict[str, int] = {own.instance: FANOUT}
        self._notices: dict[str, ServerNotice] = {}
        self._notice_transmissions_left: dict[str, int] = {}
        self._live: list[Member] | None = None
        self._reachable_peers: list[Member] | None = None
        self._unfailed: list[Member] | None = None
        self.manifest_pointer = ManifestPointer(0, "")

    @property
    def view(self) -> list[Member]:
        """The records of all known instances, this one first."""
        return [
            self.own_member,
            *(peer.member for peer in self._peers.values()),
        ]

    @property
    def known_count(self) -> int:
        """Number of known instances, including failed ones and this one."""
        return 1 + len(self._peers)

    def live(self) -> list[Member]:
        """Returns the instances that may receive new work.

        The same list until an instance comes, goes or changes, so that users
        recognise by its identity that nothing has changed. Its records may have
        older beats than those of `view`. It must not be modified.
        """
        if self._live is None:
            self._live = [
                member for member in self.view if member.state == ALIVE
            ]
        return self._live

    def unfailed(self) -> list[Member]:
        """Returns the instances that are alive or suspected.

        Work that is divided among instances stays where it is while one of them
        is suspected: most of those that are busy, or behind a full link, refute
        it. Like that of `live`, the list is the same until an instance changes.
        """
        if self._unfailed is None:
            self._unfailed = [
                member
                for member in self.view
                if member.state in (ALIVE, SUSPECT)
            ]
        return self._unfailed

    def reachable_peers(self) -> list[Member]:
        """Returns the other instances that are alive or leaving.

        Like that of `live`, the list is the same until an instance changes.
        """
        if self._reachable_peers is None:
            self._reachable_peers = [
                peer.member
                for peer in self._peers.values()
                if peer.member.state in (ALIVE, LEAVING)
            ]
        return self._reachable_peers

    @property
    def peer_names(self) -> Set[str]:
        """The names of all known instances but this one."""
        return self._peers.keys()

    def notice_of(self, server: str) -> ServerNotice | None:
        """Returns the newest notice about a backend server."""
        return self._notices.get(server)

    def leaving_servers(self) -> set[str]:
        """Returns the backend servers that are marked as leaving."""
        return {
            notice.server for notice in self._notices.values() if notice.leaving
        }

    def add_seeds(self, members: Iterable[Member], now: float) -> None:
        """Adds members from the platform's list, unless already known.

        The list lags behind, so it does not replace newer records.
        """
        for member in members:
            if member.instance == self.own_member.instance:
                continue
            if member.instance not in self._peers:
                self._set_peer(_Peer(member, now))

    def announce_leaving(self) -> list[Send]:
        """Announces that this instance accepts no new work."""
        self._update_own_record(LEAVING)
        return self.push()

    def announce_ready(self) -> list[Send]:
        """Announces that this instance accepts work from now on."""
        self._update_own_record(ALIVE)
        return self.push()

    def join_datagrams(self, addresses: Iterable[str]) -> list[Send]:
        """Returns datagrams to addresses whose instances are not known.

        The answers contain the members that those instances know, so a list of
        addresses, however stale, is enough to join.
        """
        known_addresses = {item.member.peers for item in self._peers.values()}
        known_addresses.add(self.own_member.peers)
        gossip = Gossip(PROBE, self.own_member, [], [], self.manifest_pointer)
        return [
            Send(address, gossip)
            for address in addresses
            if address not in known_addresses
        ]

    def publish_notice(self, server: str, leaving: bool, now_ms: int) -> None:
        """Records what this instance has seen of a server, to be spread.

        Args:
            server: The server.
            leaving: Whether it is leaving.
            now_ms: Unix time. A notice by a clock that is ahead would otherwise
                stand against all later ones until that time.
        """
        held = self._notices.get(server)
        stamp = now_ms if held is None else max(now_ms, held.stamp + 1)
        notice = ServerNotice(server, leaving, min(stamp, MAX_WHOLE))
        self.record_notice(notice)

    def record_notice(self, notice: ServerNotice) -> bool:
        """Records a notice on a server; returns whether its state changed."""
        held = self._notices.get(notice.server)
        if held is not None and held.stamp >= notice.stamp:
            return False
        self._notices[notice.server] = notice
        self._notice_transmissions_left[notice.server] = self._transmissions()
        return held is None or held.leaving != notice.leaving

    def probe(self, now: float) -> list[Send]:
        """Runs one interval: evaluates the last probe and sends the next.

        In a large platform some datagram is lost at any moment. So an instance
        that did not answer is probed a second time before it is suspected; an
        instance that receives a suspicion probes the suspect, too; and a
        suspect that receives the suspicion sends to more of the others.
        """
        again = self._must_probe_again()
        self._update_states(now)
        self._update_own_record(self.own_member.state)
        target = self._probed if again else self._next_target()
        self._probed_twice = again
        self._probed = target
        sends = self.push(REFUTE_FANOUT) if self._is_suspected else []
        self._is_suspected = False
        suspects = self._suspects_to_probe[:MAX_SUSPECT_PROBES]
        del self._suspects_to_probe[:MAX_SUSPECT_PROBES]
        targets = dict.fromkeys([*suspects, target])
        sends += [
            self._send(name, PROBE) for name in targets if name in self._peers
        ]
        return sends

    def push(self, fanout: int = FANOUT) -> list[Send]:
        """Sends to a few instances at once, for changes that must not wait."""
        names = [peer.member.instance for peer in self._peers.values()]
        chosen = self._rng.sample(names, min(fanout, len(names)))
        return [self._send(name, PROBE) for name in chosen]

    def receive(self, gossip: Gossip, now: float) -> list[Send]:
        """Processes a datagram; returns the answer to it."""
        if gossip.sender.instance == self.own_member.instance:
            return []
        if self._probed == gossip.sender.instance:
            self._probed = None
        for member in gossip.members:
            self._merge_record(member, now)
        self._merge_own_word(gossip.sender, now)
        sender = self._peers.get(gossip.sender.instance)
        if sender is not None:
            sender.last_message_at = now
        for notice in gossip.notices:
            self.record_notice(notice)
        if gossip.kind != PROBE:
            return []
        if gossip.sender.instance not in self._peers:
            return []
        return [self._send(gossip.sender.instance, ACK)]

    def _merge_own_word(self, record: Member, now: float) -> None:
        """Merges what an instance says of itself.

        A record that seems to be newer may be a wrong one that some datagram
        held, or be of a former incarnation whose clock was ahead. It would keep
        a living instance out for good.
        """
        peer = self._peers.get(record.instance)
        if peer is None or _supersedes(record, peer.member):
            self._merge_record(record, now)
            return
        is_repeated = record.beat == peer.member.beat
        if not is_repeated or record.incarnation != peer.member.incarnation:
            peer.contradictions += 1
        if peer.contradictions < MAX_CONTRADICTIONS:
            self._merge_record(record, now)
            return
        disproved = peer.member
        self._set_peer(_Peer(record, now, now, 0, disproved))
        self._transmissions_left[record.instance] = self._transmissions()

    def _merge_record(self, record: Member, now: float) -> None:
        if record.instance == self.own_member.instance:
            # Each probe of this instance carries a newer record of it than
            # those that others hold.
            self._is_suspected |= record.state in (SUSPECT, FAILED)
            return
        peer = self._peers.get(record.instance)
        if peer is not None and _is_disproved(record, peer):
            return
        if peer is not None and not _supersedes(record, peer.member):
            self._handle_old_suspicion(record, peer, now)
            return
        if peer is None and record.state == FAILED:
            return
        changed = peer is None or (
            peer.member.state != record.state
            or peer.member.incarnation != record.incarnation
        )
        since = now if changed or peer is None else peer.since
        last_message_at = (
            peer.last_message_at if peer is not None else float("-inf")
        )
        disproved = peer.disproved if peer is not None else None
        self._set_peer(_Peer(record, since, last_message_at, 0, disproved))
        if changed:
            self._transmissions_left[record.instance] = self._transmissions()
            if record.state == SUSPECT:
                self._suspects_to_probe.append(record.instance)

    def _handle_old_suspicion(
        self, record: Member, peer: _Peer, now: float
    ) -> None:
        """Handles a suspicion that is older than the record known here.

        The suspect's beat increases with each datagram, and most instances hold
        a newer one than the instance that suspects it. If such a suspicion were
        ignored, a dead instance would stay alive in their views until each had
        probed it itself.
        """
        if record.state not in (SUSPECT, FAILED) or peer.member.state != ALIVE:
            return
        if now - peer.last_message_at < self._suspect_after_s * REFUTE_SHARE:
            self._transmissions_left[record.instance] = self._transmissions()
            return
        self._set_state(record.instance, SUSPECT, now)
        self._suspects_to_probe.append(record.instance)

    def _update_own_record(self, state: str) -> None:
        if state != self.own_member.state:
            self._discard_lists()
        self.own_member = msgspec.structs.replace(
            self.own_member, state=state, beat=self.own_member.beat + 1
        )

    def _set_peer(self, peer: _Peer) -> None:
        name = peer.member.instance
        held = self._peers.get(name)
        if held is None or not _equal_but_beat(held.member, peer.member):
            self._discard_lists()
        self._peers[name] = peer
        if peer.member.state != ALIVE:
            self._not_alive[name] = None
        else:
            self._not_alive.pop(name, None)

    def _discard_lists(self) -> None:
        self._live = self._reachable_peers = self._unfailed = None

    def _must_probe_again(self) -> bool:
        if self._probed_twice:
            return False
        probed = self._peers.get(self._probed or "")
        return probed is not None and probed.member.state == ALIVE

    def _update_states(self, now: float) -> None:
        probed = self._peers.get(self._probed or "")
        answers = probed is None or not self._probed_twice
        if not answers and probed.member.state == ALIVE:
            self._set_state(probed.member.instance, SUSPECT, now)
        for name in list(self._not_alive):
            peer = self._peers[name]
            age = now - peer.since
            state = peer.member.state
            if state == SUSPECT and age > self._suspect_after_s:
                self._set_state(name, FAILED, now)
            elif state in (FAILED, LEAVING) and age > FORGET_AFTER_S:
                del self._peers[name]
                del self._not_alive[name]
                self._discard_lists()
                self._transmissions_left.pop(name, None)

    def _set_state(self, name: str, state: str, now: float) -> None:
        member = msgspec.structs.replace(self._peers[name].member, state=state)
        peer = self._peers[name]
        self._set_peer(dataclasses.replace(peer, member=member, since=now))
        self._transmissions_left[name] = self._transmissions()

    def _next_target(self) -> str | None:
        # A shuffled round-robin: each instance is probed once a round, so the
        # time to detect a failure is bounded, not merely probable.
        failed = [
            name
            for name in self._not_alive
            if self._peers[name].member.state == FAILED
        ]
        if failed and self._rng.random() < REVISIT_SHARE:
            return self._rng.choice(failed)
        while self._probe_queue:
            name = self._probe_queue.pop()
            peer = self._peers.get(name)
            if peer is not None and peer.member.state != FAILED:
                return name
        self._probe_queue = [
            name
            for name, peer in self._peers.items()
            if peer.member.state != FAILED
        ]
        self._rng.shuffle(self._probe_queue)
        return self._probe_queue.pop() if self._probe_queue else None

    def _send(self, name: str, kind: str) -> Send:
        members = []
        target = self._peers[name].member
        if target.state in (SUSPECT, FAILED):
            # The target must receive the suspicion to refute it.
            members.append(target)
        for key in self._take_least_sent(self._transmissions_left, MAX_RECORDS):
            if key in self._peers and key != name:
                members.append(self._peers[key].member)
        notices = [
            self._notices[key]
            for key in self._take_least_sent(
                self._notice_transmissions_left, MAX_RECORDS
            )
        ]
        gossip = Gossip(
            kind, self.own_member, members, notices, self.manifest_pointer
        )
        return Send(target.peers, gossip)

    def _take_least_sent(self, left: dict[str, int], count: int) -> list[str]:
        # By transmissions left, then by name. Sorting twice calls no Python
        # function for each key; both sorts are stable.
        keys = sorted(left)
        keys.sort(key=left.__getitem__, reverse=True)
        del keys[count:]
        for key in keys:
            left[key] -= 1
            if left[key] <= 0:
                del left[key]
        return keys

    def _transmissions(self) -> int:
        return RETRANSMIT_FACTOR * math.ceil(math.log2(len(self._peers) + 2))


def _supersedes(record: Member, held: Member) -> bool:
    if record.incarnation != held.incarnation:
        return record.incarnation > held.incarnation
    if record.beat != held.beat:
        return record.beat > held.beat
    return _SEVERITY[record.state] > _SEVERITY[held.state]


def _is_disproved(record: Member, peer: _Peer) -> bool:
    wrong = peer.disproved
    if wrong is None or record.incarnation != wrong.incarnation:
        return False
    same_incarnation = wrong.incarnation == peer.member.incarnation
    return not same_incarnation or record.beat == wrong.beat


def _equal_but_beat(record: Member, held: Member) -> bool:
    return (
        record.state == held.state
        and record.incarnation == held.incarnation
        and record.peers == held.peers
        and record.callers == held.callers
        and record.operators == held.operators
        and record.zone == held.zone
    )
