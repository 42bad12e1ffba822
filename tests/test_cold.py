"""What all controllers together send to streamers that have just started, counted in virtual time.

Beyond the allowance of N set-ups in the time that the settings name, only 2 sqrt(N) + 2 are accepted as
chance. The controllers get the list at different times, each of them restarts once and loses what it knew of
its sends, some see several times the mean traffic, some streamers are named far more often than others, and
the traffic trebles in one step.
"""

import random

import pytest
from helpers import NEWS, deployment_config, make_controller, pull_decisions, streamer_entry, viewing_request

CELLS, COLD, STEP_SECONDS, START = 36, 22, 0.01, 1000.5


def simulate_cold_start(controllers, places, join, within, rate=500, surge=3, seed=1):
    """The allowance N in a window, the set-ups as (time, streamer), and the number of requests.

    All but the cold streamers are full; each request names ten of all streamers as holders. There are `rate`
    requests a second, and from 4.5 s on `surge` times as many.
    """
    draw = random.Random(seed)
    settings = dict(
        places={"std": places}, warm_up=12.0, link_per_weight=1e7, rack_link=1e9, fall_within=within
    )
    configs = [
        deployment_config(
            me=rank, controllers=controllers, packages=(NEWS._replace(join_target=join),), **settings
        )
        for rank in range(controllers)
    ]
    lines = tuple(streamer_entry(10 + i, i, started=START) for i in range(COLD))

    def started(rank, now):
        controller = make_controller(
            configs[rank], now=now, seed=draw.randrange(1 << 32), cells=CELLS, racks=9
        )
        for i in range(COLD, CELLS):
            controller.state.streamers[10 + i].reported_since = -99.0
            controller.load_told(now, 10 + i, False, None, 1.1)
        return controller

    weights = [draw.paretovariate(1.5) for _ in range(controllers)]
    listed_at = [START + 0.5 * draw.random() for _ in range(controllers)]
    restart_at = [START + 1.5 + 5 * draw.random() for _ in range(controllers)]
    running, wakes = [started(rank, START) for rank in range(controllers)], [START] * controllers
    sent, requests, at = [], 0, START
    while at < START + 7.0:
        chance = rate * STEP_SECONDS / sum(weights) * (surge if at >= START + 4.5 else 1)
        for rank in range(controllers):
            if restart_at[rank] <= at:
                running[rank], listed_at[rank], wakes[rank], restart_at[rank] = started(rank, at), at, at, 1e9
            if listed_at[rank] <= at:
                running[rank].listed(at, "changes", lines)
                listed_at[rank] = 1e9
            controller = running[rank]
            if has_request := draw.random() < chance * weights[rank]:
                first = int(CELLS * draw.random() ** 1.5)
                holders = [(first + i) % CELLS for i in range(10)]
                controller.asked(
                    at, viewing_request(requests, top=0, title=requests)._replace(holders=holders)
                )
                requests += 1
            if not has_request and at < wakes[rank]:
                continue
            controller.woke(at)
            for d in pull_decisions(controller, at):
                if d[0] == "wake":
                    wakes[rank] = d[1]
                elif d[0] == "tune_in":
                    sent.append((at, d[2]))
                    controller.started(at, d[1], 0, d[2], 0.02)
        at += STEP_SECONDS
    cold = [(at, streamer) for at, streamer in sent if streamer < 10 + COLD]
    return places / 12.0 * 0.4 * 2.5 * within, cold, requests


# Few places and short waits, as if hundreds of controllers share a small pool; many places and long waits.
@pytest.mark.parametrize("places, join, within", [(125, 0.37, 1.0), (417, 1.0, 1.0), (60, 0.5, 3.0)])
@pytest.mark.parametrize("controllers", [1, 3, 16, 20, 30, 200])
def test_all_controllers_together_stay_within_the_allowance(controllers, places, join, within):
    allowed, sent, requests = simulate_cold_start(controllers, places, join, within)
    times = {}
    for at, streamer in sent:
        times.setdefault(streamer, []).append(at)
    most = max(sum(t - within < s <= t for s in at) for at in times.values() for t in at)
    assert most <= allowed + 2 * allowed**0.5 + 2
    if controllers <= 16:
        assert most <= allowed, "slots that are shared exactly leave nothing to chance"
    used = sum(sorted(map(len, times.values()), reverse=True)[:5]) / 5 / 7.0 * within / allowed
    assert requests > 500 and used > 0.2 / within, "much of the allowance is used where it is needed"
