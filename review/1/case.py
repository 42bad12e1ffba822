"""Case: one bad client sends hundreds of unusable set-ups at once, each again when it is turned away."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import World, execute, lost

FLOOD_SECONDS = 15


async def case(record: Path) -> int:
    world, flood = World(record), None
    try:
        await world.start()
        waves, tests = [], []
        for viewers in world.viewers:
            connections = [await viewers.connect() for _ in range(4)]
            waves.append(asyncio.create_task(viewers.wave(25, 5, connections)))
            tests.append(await viewers.connect())

        async def front():
            while True:
                for viewers, connection in zip(world.viewers, tests, strict=True):
                    if connection.open:
                        viewers.test(connection)
                await asyncio.sleep(1)

        front_task = asyncio.create_task(front())
        await asyncio.sleep(5)
        if os.environ.get("TROUBLE", "1") != "0":
            host, port = world.viewers[0].address
            script = str(Path(__file__).with_name("flood.py"))
            flood = await asyncio.create_subprocess_exec(
                sys.executable,
                script,
                host,
                str(port),
                str(FLOOD_SECONDS),
                stdout=asyncio.subprocess.PIPE,
            )
            world.record("bad-client", "started", pid=flood.pid, controller=0)
        await asyncio.gather(*waves)
        front_task.cancel()
        if flood:
            world.record("bad-client", "ended", report=(await flood.communicate())[0].decode().strip())
        await asyncio.sleep(7)
        broken = 0
        for viewers in world.viewers:
            missing = lost(world, viewers)
            broken += len(missing)
            for request in missing:
                world.record(
                    "check",
                    "lost",
                    controller=viewers.name,
                    ref=request.ref,
                    sent=round(request.sent, 3),
                    patience=request.patience,
                    answers=request.answers,
                )
            print(
                f"{viewers.name}: {len(viewers.requests)} set-ups, {len(missing)} without an answer in time"
            )
        return 1 if broken or not all(world.alive()) else 0
    finally:
        if flood and flood.returncode is None:
            flood.kill()
        await world.close()


if __name__ == "__main__":
    sys.exit(execute(case, Path(__file__).resolve().with_name("record.txt")))
