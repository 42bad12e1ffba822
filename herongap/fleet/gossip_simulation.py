"""A simulation of gossip membership in virtual time: many controllers, lost datagrams, paused processes.

The shipped `herongap.gossip.Gossip` runs unchanged; the network and the pauses are modelled here. A test or
benchmark reads from it how long the running members take to detect a dead one, how often a running or only
paused member is declared gone, and how many bytes and datagrams are sent.
"""

from collections.abc import Callable
from random import Random

from herongap.fleet.clock import Clock
from herongap.gossip import Gossip, GossipConfig, MemberRecord, MemberStatus

DELAY_SECONDS = (0.0003, 0.002)  # smallest and largest delay of a datagram
SOCKET_BUFFER_DATAGRAMS = 256  # datagrams that wait for a paused process; further ones are lost
ADDRESS = "10.0.0.1"
BASE_PORT = 10000  # the port of a member is this plus its number
SEED_MEMBERS = 3  # members whose addresses a starting process knows
MIN_WAKE_INTERVAL_SECONDS = 0.01
POLL_INTERVAL_SECONDS = 0.1  # interval at which `run_until` checks its condition
START_SPREAD_SECONDS = 1.0  # members start at random times within this


class SimulatedMember:
    """One process of a member, with its number and incarnation."""

    def __init__(self, simulation: "GossipSimulation", number: int, incarnation: int):
        self.simulation, self.number, self.incarnation = simulation, number, incarnation
        self.running, self.dead, self.undelivered = True, False, []
        own = MemberRecord(
            number,
            incarnation,
            0,
            MemberStatus.ALIVE,
            ADDRESS,
            BASE_PORT + number,
            f"zone-{number % 3}",
        )
        seed = simulation.seed * 1000 + number * 7 + incarnation
        self.gossip = simulation.gossip_type(simulation.clock.now, own, "model", simulation.config, seed)
        seed_numbers = simulation.random.sample(range(simulation.size), min(SEED_MEMBERS, simulation.size))
        self.gossip.set_seeds([(ADDRESS, BASE_PORT + n) for n in seed_numbers])
        self.wake()

    def wake(self) -> None:
        """Run the timers that are due and schedule the next wake-up."""
        if self.dead or not self.running:
            return
        clock = self.simulation.clock
        self.simulation.send(self, self.gossip.tick(clock.now))
        clock.at(max(self.gossip.due, clock.now + MIN_WAKE_INTERVAL_SECONDS), self.wake)

    def receive(self, data: bytes, sender: tuple[str, int]) -> None:
        """Handle a datagram, or keep it in the socket's buffer while the process is paused."""
        if self.dead:
            return
        if not self.running:
            self.undelivered = [*self.undelivered, (data, sender)][:SOCKET_BUFFER_DATAGRAMS]
            return
        self.simulation.send(self, self.gossip.receive(self.simulation.clock.now, data, sender))

    def pause(self, seconds: float) -> None:
        """Stop the process for a time, as SIGSTOP does."""
        self.running = False
        self.simulation.clock.after(seconds, self.resume)

    def resume(self) -> None:
        """Resume; the buffered datagrams are handled before or after the timers, at random."""
        self.running = True
        if self.dead:
            return
        undelivered, self.undelivered = self.undelivered, []
        if timers_first := self.simulation.random.random() < 0.5:
            self.wake()
        for data, sender in undelivered:
            self.receive(data, sender)
        if not timers_first:
            self.wake()


class GossipSimulation:
    """`size` members on a network that loses a share `loss_rate` of the datagrams.

    `is_blocked(sender, receiver)` says whether all datagrams from one member to another are lost.
    """

    def __init__(self, size: int, seed: int, config: GossipConfig | None = None, loss_rate: float = 0.0,
                 gossip_type: Callable = Gossip):  # fmt: skip
        self.size, self.seed, self.loss_rate, self.gossip_type = size, seed, loss_rate, gossip_type
        self.config, self.random, self.clock = config or GossipConfig(), Random(seed), Clock()
        self.is_blocked: Callable[[int, int], bool] = lambda sender, receiver: False
        self.wrong: list[tuple[float, int, int]] = []
        self.members: dict[int, SimulatedMember] = {}
        for number in range(size):
            # Members that all start at the same moment would be an unrealistic fleet.
            self.clock.at(self.random.uniform(0, START_SPREAD_SECONDS), self.start, number, 1)

    def start(self, number: int, incarnation: int) -> SimulatedMember:
        """Start a process under a number, in place of any earlier one."""
        self.members[number] = member = SimulatedMember(self, number, incarnation)
        return member

    def kill(self, number: int) -> None:
        self.members[number].dead = True

    def send(self, member: SimulatedMember, datagrams: list) -> None:
        """Send the datagrams of a member; each may be lost."""
        for (_, port), data in datagrams:
            receiver = port - BASE_PORT
            if self.random.random() < self.loss_rate or self.is_blocked(member.number, receiver):
                continue
            sender = (ADDRESS, BASE_PORT + member.number)
            self.clock.after(self.random.uniform(*DELAY_SECONDS), self._arrive, receiver, data, sender)

    def _arrive(self, receiver: int, data: bytes, sender: tuple[str, int]) -> None:
        if receiver in self.members:
            self.members[receiver].receive(data, sender)

    def run(self, until: float) -> None:
        """Run up to a time of the virtual clock."""
        self.clock.run(until)

    def status_at(self, number: int, observer: int) -> MemberStatus | None:
        """The status of a member in another member's table; None if it is not there."""
        record = self.members[observer].gossip.members.records.get(number)
        return None if record is None else MemberStatus(record.status)

    def all_see(self, number: int, status: MemberStatus, ignored: tuple[int, ...] = ()) -> bool:
        """Whether a member has this status in the tables of all others that are not dead or ignored."""
        return all(self.status_at(number, m.number) == status
                   for m in self.members.values()
                   if not m.dead and m.number not in (number, *ignored))  # fmt: skip

    def run_until(self, condition: Callable[[], bool], max_seconds: float) -> float:
        """Run until the condition holds, for `max_seconds` at most; returns the seconds that passed."""
        started_at = self.clock.now
        while self.clock.now < started_at + max_seconds and not condition():
            self.run(self.clock.now + POLL_INTERVAL_SECONDS)
        return self.clock.now - started_at

    def total_count(self, name: str) -> int:
        """The sum of a gossip counter over all members."""
        return sum(m.gossip.counts[name] for m in self.members.values())
