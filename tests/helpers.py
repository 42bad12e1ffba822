"""A small deployment for the tests, and a host that pulls decisions."""

import time

import gevent

from herongap.interface import (
    DeploymentConfig,
    Package,
    RepeatSafety,
    RepeatScope,
    StreamerEntry,
    StreamerStatus,
    ViewingRequest,
)
from herongap.rules import Controller

NEWS = Package("news", 1.0, 1.0, RepeatSafety.HARMLESS, RepeatScope.ALL, 5.0, 1.0, 0, 2, 0, False)


def deployment_config(**changes) -> DeploymentConfig:
    base = dict(
        me=0,
        zone="a",
        controllers=2,
        over_share=1.0,
        packages=(NEWS,),
        ladder=(100.0, 300.0, 900.0),
        worths=(0.3, 0.6, 1.0),
        join_adds=1.0,
        link_per_weight=6000.0,
        rack_link=12000.0,
        places={"std": 20},
        full_from=0.0,
        told_late=0.5,
        tune_ins=4,
        probes=False,
        come_back=1.0,
        must_follow=False,
        warm_up=10.0,
        cold_start=0.4,
        fall_multiple=2.5,
        extra_free=None,
        extra_share=0.0,
        extra_window=0.0,
    )
    return DeploymentConfig(**(base | changes))


def streamer_entry(
    i: int, cell: int, standing=StreamerStatus.ACTIVE, started=None, zone="a", rack=None
) -> StreamerEntry:
    return StreamerEntry(
        i, zone, "std", cell, cell, cell % 2 if rack is None else rack, standing, 1.0, started
    )


def controller(
    terms: DeploymentConfig | None = None, now: float = 0.0, seed: int = 7, cells: int = 3, racks: int = 2
) -> Controller:
    terms = terms or deployment_config()
    c = Controller(now, seed, terms)
    c.listed(now, "remembered", tuple(streamer_entry(10 + i, i, rack=i % racks) for i in range(cells)))
    return c


def viewing_request(
    i: int, top: int = 2, package: str = "news", title: int = 1, holders: int = 3, left: float = 4.0
) -> ViewingRequest:
    return ViewingRequest(i, i, package, None, title, range(holders), top, left, None, False, False)


def pull_decisions(c: Controller, now: float) -> list[tuple]:
    out = []
    while (decision := c.decide(now)) is not None:
        out.append(decision)
    return out


def report_idle_links(c: Controller, since: float, until: float) -> None:
    """Word of an idle link from every streamer, each second: none of them can have started unnoticed."""
    for second in range(int(since), int(until)):
        for st in list(c.streamers):
            c.load_told(float(second), st, False, None, 0.0)
        pull_decisions(c, float(second))


def until(true, seconds: float = 8.0, look: float = 0.005) -> float:
    """Wait for what will come, however slow the machine is, and fail if it does not; seconds that it took."""
    began = time.monotonic()
    while not true():
        assert time.monotonic() < began + seconds, "it never came"
        gevent.sleep(look)
    return time.monotonic() - began


def closing(kind, *args):
    """For a fixture: yields a function that makes a `kind`, and closes all that it made at the end."""
    made = []

    def make(**more):
        made.append(kind(*args, **more))
        return made[-1]

    yield make
    for one in made:
        one.close()
