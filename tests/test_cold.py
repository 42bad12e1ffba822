"""What all controllers together send to streamers that have just started, counted in virtual time.

Over their allowance of N set-ups in the time that the settings name, only 2 root N + 2 are put down to
chance. Lists are told at different times, every controller is restarted once and forgets what it sent, some
see several times the mean traffic, some streamers are named far more often than others, and the traffic
trebles in one step.
"""

import random

import pytest
from helpers import NEWS, controller, deployment_config, pull_decisions, streamer_entry, viewing_request

CELLS, COLD, STEP, START = 36, 22, 0.01, 1000.5


def cold_crowd(controllers, places, join, within, rate=500, surge=3, seed=1):
    """The allowance N in a window, set-ups as (time, streamer), and how many viewings were asked for.

    All but the cold streamers are full; each viewing names ten of all. Traffic is `rate` a second, from
    4.5 s on `surge` times that.
    """
    draw = random.Random(seed)
    room = dict(places={"std": places}, warm_up=12.0, link_per_weight=1e7, rack_link=1e9, fall_within=within)
    packages = (NEWS._replace(join_target=join),)
    terms = [
        deployment_config(me=me, controllers=controllers, packages=packages, **room)
        for me in range(controllers)
    ]
    lines = tuple(streamer_entry(10 + i, i, started=START) for i in range(COLD))

    def started(me, now):
        c = controller(terms[me], now=now, seed=draw.randrange(1 << 32), cells=CELLS, racks=9)
        for i in range(COLD, CELLS):
            c.state.streamers[10 + i].reported_since = -99.0
            c.load_told(now, 10 + i, False, None, 1.1)
        return c

    weights = [draw.paretovariate(1.5) for _ in range(controllers)]
    told = [START + 0.5 * draw.random() for _ in range(controllers)]
    reborn = [START + 1.5 + 5 * draw.random() for _ in range(controllers)]
    made, wakes = [started(me, START) for me in range(controllers)], [START] * controllers
    sent, asked, at = [], 0, START
    while at < START + 7.0:
        pace = rate * STEP / sum(weights) * (surge if at >= START + 4.5 else 1)
        for me in range(controllers):
            if reborn[me] <= at:
                made[me], told[me], wakes[me], reborn[me] = started(me, at), at, at, 1e9
            if told[me] <= at:
                made[me].listed(at, "changes", lines)
                told[me] = 1e9
            c = made[me]
            if wants := draw.random() < pace * weights[me]:
                first = int(CELLS * draw.random() ** 1.5)
                holders = [(first + i) % CELLS for i in range(10)]
                c.asked(at, viewing_request(asked, top=0, title=asked)._replace(holders=holders))
                asked += 1
            if not wants and at < wakes[me]:
                continue
            c.woke(at)
            for d in pull_decisions(c, at):
                if d[0] == "wake":
                    wakes[me] = d[1]
                elif d[0] == "tune_in":
                    sent.append((at, d[2]))
                    c.started(at, d[1], 0, d[2], 0.02)
        at += STEP
    cold = [(at, st) for at, st in sent if st < 10 + COLD]
    return places / 12.0 * 0.4 * 2.5 * within, cold, asked


# Few places and short waits, as where hundreds of controllers share a small pool; many, and long ones.
@pytest.mark.parametrize("places, join, within", [(125, 0.37, 1.0), (417, 1.0, 1.0), (60, 0.5, 3.0)])
@pytest.mark.parametrize("controllers", [1, 3, 16, 20, 30, 200])
def test_all_together_stay_within_what_is_put_down_to_chance(controllers, places, join, within):
    allowed, sent, asked = cold_crowd(controllers, places, join, within)
    times = {}
    for at, st in sent:
        times.setdefault(st, []).append(at)
    most = max(sum(t - within < s <= t for s in at) for at in times.values() for t in at)
    assert most <= allowed + 2 * allowed**0.5 + 2
    if controllers <= 16:
        assert most <= allowed, "shared exactly, nothing is put down to chance"
    used = sum(sorted(map(len, times.values()), reverse=True)[:5]) / 5 / 7.0 * within / allowed
    assert asked > 500 and used > 0.2 / within, "and where it is wanted, much of it is used"
