"""Case: viewers close connections that carry nothing, and streamers end viewings at a quiet controller."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import Viewers, World, execute

CLOSE_SECONDS = 4.0  # viewers close a connection that carries no session after this time
RELEASE_SECONDS, SOCKET_SECONDS = 8.0, 0.05
VIEWINGS = 8


async def close_later(connection, seconds=CLOSE_SECONDS):
    await asyncio.sleep(seconds)
    connection.transport.close()


async def end_by_viewer(viewers: Viewers, request) -> None:
    """A viewer ends its viewing on a connection of its own, which it closes 4 s later."""
    connection = await viewers.connect()
    request.ended_by_viewer = True
    viewers.world.record(viewers.name, "ends", ref=request.ref)
    connection.send(t="down", ref=request.ref, c=16)
    await close_later(connection)


async def front(viewers: Viewers) -> None:
    """The front tests its controller once a second, on a connection that stays open."""
    connection = await viewers.connect()
    while connection.open:
        viewers.test(connection)
        await asyncio.sleep(1)


async def quiet(world: World, viewers: Viewers, trouble: bool, ends: dict) -> None:
    """Eight viewings of one controller, of which viewers end four and streamers the others."""
    first = await viewers.connect()
    requests = []
    for _ in range(VIEWINGS):
        requests.append(viewers.ask(first))
        await asyncio.sleep(0.3)
    if trouble:
        asyncio.create_task(close_later(first))
    await asyncio.sleep(8)
    tasks = []
    for by_viewer, by_streamer in zip(requests[::2], requests[1::2], strict=True):
        tasks.append(asyncio.create_task(end_by_viewer(viewers, by_viewer)))
        await asyncio.sleep(0.5)
        for streamer in world.streamers:
            if by_streamer.ref in streamer.sessions:
                ends[by_streamer.ref] = world.record.now
                streamer.end(by_streamer.ref)
        await asyncio.sleep(2)
    await asyncio.gather(*tasks)
    await asyncio.sleep(RELEASE_SECONDS)
    # A viewer comes again: its set-up is answered, and nothing else is sent to it.
    second = await viewers.connect()
    viewers.ask(second)
    await asyncio.sleep(3)


async def case(record: Path) -> int:
    world = World(record)
    try:
        for streamer in world.streamers:
            streamer.life = (600.0, 600.0)
        await world.start()
        ends: dict[str, float] = {}
        trouble = os.environ.get("TROUBLE", "1") != "0"
        tests = [asyncio.create_task(front(viewers)) for viewers in world.viewers]
        await asyncio.gather(*(quiet(world, viewers, trouble, ends) for viewers in world.viewers))
        for test in tests:
            test.cancel()
        broken = 0
        for viewers in world.viewers:
            for ref, at in ends.items():
                if (request := viewers.requests.get(ref)) is None:
                    continue
                late = request.over is None or request.over > at + RELEASE_SECONDS + SOCKET_SECONDS
                broken += late
                world.record("check", "end", ref=ref, ended=at, released=request.over, broken=late)
        print(f"{len(ends)} viewings ended by streamers; {broken} of them not released to viewers within 8 s")
        if len(ends) != VIEWINGS // 2 * world.count:
            return 2
        return 1 if broken else 0
    finally:
        await world.close()


if __name__ == "__main__":
    sys.exit(execute(case, Path(__file__).resolve().with_name("record.txt")))
