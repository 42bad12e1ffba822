"""Membership in virtual time: many controllers, datagrams that get lost, processes that stop; and the truth.

What is counted: seconds until those that run call a dead one gone; how often one that runs, or was only
stopped, is called gone; bytes and datagrams a second.
"""

from collections.abc import Callable
from random import Random

from herongap.fleet.clock import Clock
from herongap.gossip import Gossip, GossipConfig, MemberRecord, MemberStatus

DELAY = (0.0003, 0.002)  # seconds on the way
BUFFER = 256  # datagrams that wait for a process that is stopped; those beyond are lost


class Member:
    """One process under its number."""

    def __init__(self, net: "Net", number: int, life: int):
        self.net, self.number, self.life = net, number, life
        self.running, self.dead, self.waiting = True, False, []
        me = MemberRecord(
            number, life, 0, MemberStatus.ALIVE, "10.0.0.1", 10000 + number, f"zone-{number % 3}"
        )
        self.gossip = net.make(net.clock.now, me, "model", net.terms, net.seed * 1000 + number * 7 + life)
        some = net.draw.sample(range(net.size), min(3, net.size))
        self.gossip.set_seeds([("10.0.0.1", 10000 + n) for n in some])
        self.wake()

    def wake(self) -> None:
        if self.dead or not self.running:
            return
        self.net.carry(self, self.gossip.tick(self.net.clock.now))
        self.net.clock.at(max(self.gossip.due, self.net.clock.now + 0.01), self.wake)

    def receive(self, data: bytes, sender: tuple[str, int]) -> None:
        if self.dead:
            return
        if not self.running:
            self.waiting = [*self.waiting, (data, sender)][:BUFFER]
            return
        self.net.carry(self, self.gossip.receive(self.net.clock.now, data, sender))

    def stop(self, seconds: float) -> None:
        self.running = False
        self.net.clock.after(seconds, self.go_on)

    def go_on(self) -> None:
        """What waited in its socket is read first, or after its own times: by chance, as the system likes."""
        self.running = True
        if self.dead:
            return
        waited, self.waiting = self.waiting, []
        if first := self.net.draw.random() < 0.5:
            self.wake()
        for data, sender in waited:
            self.receive(data, sender)
        if not first:
            self.wake()


class Net:
    """`size` members; `lost` is the share of datagrams that never come; `cut(a, b)` whether a's reach b."""

    def __init__(self, size: int, seed: int, terms: GossipConfig | None = None, lost: float = 0.0,
                 make: Callable = Gossip):  # fmt: skip
        self.size, self.seed, self.lost, self.make = size, seed, lost, make
        self.terms, self.draw, self.clock = terms or GossipConfig(), Random(seed), Clock()
        self.cut: Callable[[int, int], bool] = lambda a, b: False
        self.wrong: list[tuple[float, int, int]] = []
        self.members: dict[int, Member] = {}
        for number in range(size):
            # All at once would be a fleet that no one ever started.
            self.clock.at(self.draw.uniform(0, 1.0), self.start, number, 1)

    def start(self, number: int, life: int) -> Member:
        self.members[number] = member = Member(self, number, life)
        return member

    def kill(self, number: int) -> None:
        self.members[number].dead = True

    def carry(self, member: Member, out: list) -> None:
        for (_, port), data in out:
            to = port - 10000
            if self.draw.random() < self.lost or self.cut(member.number, to):
                continue
            sender = ("10.0.0.1", 10000 + member.number)
            self.clock.after(self.draw.uniform(*DELAY), self._arrive, to, data, sender)

    def _arrive(self, to: int, data: bytes, sender: tuple[str, int]) -> None:
        if to in self.members:
            self.members[to].receive(data, sender)

    def run(self, until: float) -> None:
        self.clock.run(until)

    def standing(self, of: int, at: int) -> MemberStatus | None:
        """What one member thinks of another."""
        word = self.members[at].gossip.members.records.get(of)
        return None if word is None else MemberStatus(word.status)

    def agree(self, of: int, wanted: MemberStatus, but: tuple[int, ...] = ()) -> bool:
        """Whether all that run think so of one."""
        return all(self.standing(of, m.number) == wanted
                   for m in self.members.values() if not m.dead and m.number not in (of, *but))  # fmt: skip

    def until(self, true: Callable[[], bool], most: float) -> float:
        """Run until it is true; seconds that it took, or `most`."""
        began = self.clock.now
        while self.clock.now < began + most and not true():
            self.run(self.clock.now + 0.1)
        return self.clock.now - began

    def total(self, name: str) -> int:
        return sum(m.gossip.counts[name] for m in self.members.values())
