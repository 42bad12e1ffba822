"""Case: discovery answers each query 0.4 s late while streamers begin to drain."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import World, execute

SLOW_SECONDS = 0.4
GRACE_SECONDS, SOCKET_SECONDS, TOLD_SECONDS = 0.25, 0.05, 1.5


async def case(folder: Path) -> int:
    world = World(folder)
    try:
        await world.start()
        if os.environ.get("TROUBLE", "1") != "0":
            world.resolver.delay = SLOW_SECONDS
        waves = []
        for viewers in world.viewers:
            connections = [await viewers.connect() for _ in range(4)]
            waves.append(asyncio.create_task(viewers.wave(25, 6, connections)))
        await asyncio.sleep(5)
        draining = world.streamers[::4]
        events = []
        for streamer in draining:
            world.resolver.change(streamer, "Terminating")
            events.append((world.record.now, world.resolver.serial, streamer))
            await asyncio.sleep(0.5)
        await asyncio.gather(*waves)
        await asyncio.sleep(6)
        broken = []
        for at, serial, streamer in events:
            for controller in range(world.count):
                # Told by the first answer that holds the event, and at the latest 1.5 s after the event.
                firsts = [
                    sent
                    for sent, to, number in world.resolver.sent
                    if (to, number >= serial) == (controller, True)
                ]
                told = min([at + TOLD_SECONDS, *firsts])
                world.record(
                    "check",
                    "told",
                    streamer=streamer.name,
                    controller=controller,
                    event=round(at, 3),
                    first_answer=firsts and round(firsts[0], 3),
                    told=round(told, 3),
                )
                for when, ref, sender in streamer.set_ups:
                    if sender == controller and when > told + GRACE_SECONDS + SOCKET_SECONDS:
                        broken.append((when, when - told, ref, streamer.name))
        for when, after, ref, name in sorted(broken):
            world.record("check", "broken", at=round(when, 3), after=round(after, 3), ref=ref, streamer=name)
        total = sum(len(viewers.requests) for viewers in world.viewers)
        print(
            f"{total} set-ups of viewers; {len(broken)} sent to a draining streamer after the grace"
            + (f", the last {max(b[1] for b in broken):.1f} s after it was told" if broken else "")
        )
        return 1 if broken else 0
    finally:
        await world.close()


if __name__ == "__main__":
    sys.exit(execute(case, Path(__file__).resolve().parent))
