"""Case: discovery answers each query 0.3 s late while three of twelve streamers are replaced."""

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import Streamer, World, execute

SLOW_SECONDS = 0.3
GRACE_SECONDS, SOCKET_SECONDS, TOLD_SECONDS = 0.25, 0.05, 1.5
DRAIN_SECONDS, GAP_SECONDS = 8.0, 1.0


async def replace(world: World, old: Streamer, events: list) -> None:
    """Drain a streamer, end it, and start another one, which holds other titles, at its address."""
    world.resolver.change(old, "Terminating")
    events.append((world.record.now, world.resolver.serial, old))
    await asyncio.sleep(DRAIN_SECONDS)
    old.kill()
    world.resolver.change(old, "Gone")
    await asyncio.sleep(GAP_SECONDS)
    successor = Streamer(world, f"s-{os.urandom(4).hex()}", old.zone, (old.cell + 6) % 12)
    successor.addresses = dict(old.addresses)
    await successor.start()
    successor.started_ms = int(time.time() * 1000)
    world.streamers.append(successor)
    world.resolver.change(successor, "Ready")


async def case(record: Path) -> int:
    world = World(record)
    try:
        await world.start()
        if os.environ.get("TROUBLE", "1") != "0":
            world.resolver.delay = SLOW_SECONDS
        waves = []
        for viewers in world.viewers:
            connections = [await viewers.connect() for _ in range(4)]
            waves.append(asyncio.create_task(viewers.wave(25, 6, connections)))
        await asyncio.sleep(5)
        replaced, events, steps = world.streamers[::4], [], []
        for streamer in replaced:
            steps.append(asyncio.create_task(replace(world, streamer, events)))
            await asyncio.sleep(0.5)
        await asyncio.gather(*waves, *steps)
        await asyncio.sleep(6)
        return check(world, events)
    finally:
        await world.close()


def check(world: World, events: list) -> int:
    """Print what broke the rule; return the exit status."""
    requests = {ref: request for viewers in world.viewers for ref, request in viewers.requests.items()}
    broken, foreign, last = set(), set(), 0.0
    for at, serial, streamer in events:
        for controller in range(world.count):
            # Told by the first answer that holds the event, and at the latest 1.5 s after the event.
            answers = (
                sent for sent, to, number in world.resolver.sent if to == controller and number >= serial
            )
            first = next(answers, None)
            told = at + TOLD_SECONDS if first is None else min(first, at + TOLD_SECONDS)
            world.record(
                "check",
                "told",
                streamer=streamer.name,
                controller=controller,
                event=at,
                answer=first,
                told=told,
            )
            for when, ref, sender in streamer.set_ups:
                if sender == controller and when > told + GRACE_SECONDS + SOCKET_SECONDS:
                    broken.add(ref)
                    last = max(last, when - told)
                    world.record("check", "drain", ref=ref, streamer=streamer.name, after_told=when - told)
    for streamer in world.streamers:
        for when, ref, _ in streamer.set_ups:
            if (streamer.cell - requests[ref].home) % 12 >= requests[ref].copies:
                foreign.add(ref)
                world.record("check", "foreign", ref=ref, streamer=streamer.name, at=when)
    cut = sum(requests[ref].cause not in (None, 16) for ref in broken)
    print(
        f"{len(requests)} set-ups of viewers; {len(broken)} sent to a draining streamer after the grace, "
        f"the last {last:.1f} s after it was told; {cut} of them were answered as playing and cut when it "
        f"ended; {len(foreign)} sent to a streamer that does not hold the title"
    )
    return 1 if broken or foreign else 0


if __name__ == "__main__":
    sys.exit(execute(case, Path(__file__).resolve().with_name("record.txt")))
