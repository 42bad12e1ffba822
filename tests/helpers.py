"""A small deployment for the tests, and helpers that build its inputs and take decisions."""

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
    i: int, cell: int, status=StreamerStatus.ACTIVE, started=None, zone="a", rack=None
) -> StreamerEntry:
    return StreamerEntry(i, zone, "std", cell, cell, cell % 2 if rack is None else rack, status, 1.0, started)


def make_controller(
    config: DeploymentConfig | None = None, now: float = 0.0, seed: int = 7, cells: int = 3, racks: int = 2
) -> Controller:
    """A controller with streamers 10, 11, ..., each in a cell of its own."""
    config = config or deployment_config()
    controller = Controller(now, seed, config)
    controller.listed(
        now, "remembered", tuple(streamer_entry(10 + i, i, rack=i % racks) for i in range(cells))
    )
    return controller


def viewing_request(
    i: int, top: int = 2, package: str = "news", title: int = 1, holders: int = 3, time_left: float = 4.0
) -> ViewingRequest:
    return ViewingRequest(i, i, package, None, title, range(holders), top, time_left, None, False, False)


def pull_decisions(controller: Controller, now: float) -> list[tuple]:
    """All decisions that the controller takes now."""
    decisions = []
    while (decision := controller.decide(now)) is not None:
        decisions.append(decision)
    return decisions


def report_idle_links(controller: Controller, since: float, until: float) -> None:
    """Reports an idle link of every streamer each second, so that none can have started unnoticed."""
    for second in range(int(since), int(until)):
        for streamer in list(controller.streamers):
            controller.load_told(float(second), streamer, False, None, 0.0)
        pull_decisions(controller, float(second))


def until(true, seconds: float = 8.0, look: float = 0.005) -> float:
    """Waits until a condition is true and returns the seconds that it took; fails after `seconds`."""
    began = time.monotonic()
    while not true():
        assert time.monotonic() < began + seconds, "the condition never became true"
        gevent.sleep(look)
    return time.monotonic() - began


def closing(kind, *args):
    """For a fixture: yields a function that makes a `kind`; everything that it made is closed at the end."""
    made = []

    def make(**more):
        made.append(kind(*args, **more))
        return made[-1]

    yield make
    for one in made:
        one.close()
