"""The state of one controller, shared by its parts: streamers, links, viewings and pending decisions."""

from collections import Counter, defaultdict, deque
from statistics import fmean, median_low
from zlib import crc32

from herongap.interface import (
    DeploymentConfig,
    LoadReport,
    Package,
    StreamerEntry,
    StreamerStatus,
    ViewingRequest,
)

SILENT_SHARE = 0.4  # delivered share below which a streamer counts as failing rather than overloaded
SET_ASIDE_SECONDS = 4.0  # pause of a failing streamer; a random part of half as much is added
REPORT_FADE_SECONDS = 16.0  # time in which a load report loses its weight
FORGET_SECONDS = 120.0  # time until a streamer that left the list is deleted
LOAD_HISTORY_SECONDS = 10
ANSWER_REPORT_AGE_SECONDS = 0.3  # age of the load report that comes with an answer


class SharedLink:
    """A streamer's link or a rack's uplink: this controller's own load on it, and reports of the total.

    `own` and `others` are loads in kB a second, the latter as of the last report. `all_links` is the sum of
    all links, None for that sum itself, and `all_at_report` the own load on it at the time of the report.
    `last_change` is the size of the last change of the own load, kept only for the sum. `assumed_fill` is the
    part of the usual load that is assumed without a report. `cut_at` is the time of the last cut of rungs.
    """

    def __init__(self, capacity: float, all_links: "SharedLink | None" = None):
        self.capacity, self.own, self.others, self.reported_at, self.cut_at = capacity, 0.0, 0.0, -1e9, -1e9
        self.assumed_fill, self.all_links, self.all_at_report, self.last_change, self.history = (
            1.0,
            all_links,
            0.0,
            0.0,
            deque(),
        )

    def add(self, now: float, kb: float) -> None:
        """Changes the own load by `kb`, in kB a second."""
        self.history.append((now, self.own))
        self.own += kb
        while self.history[0][0] < now - LOAD_HISTORY_SECONDS:
            self.history.popleft()

    def own_at(self, then: float) -> float:
        """The own load at an earlier time."""
        return next((own for at, own in self.history if at > then), self.own)

    def on_report(self, now: float, ratio: float, age: float) -> None:
        """Takes a report of total load over capacity, `age` seconds old."""
        # The report describes an earlier moment: own load added or removed since then must not count twice.
        self.others, self.reported_at = ratio * self.capacity - self.own_at(now - age), now
        self.all_at_report = self.all_links.own_at(now - age)

    def others_utilization(self) -> float:
        """The part of the capacity that the other controllers use."""
        # In a burst of requests a report is soon out of date. The change of this controller's own load on all
        # links since the report, as far as it exceeds chance, is a sample of the change of the others' load.
        change = self.all_links.own - self.all_at_report
        certain = change * max(0.0, 1 - (self.all_links.last_change / max(abs(change), 1e-9)) ** 0.5)
        return max(0.0, self.others / self.capacity + certain / self.all_links.capacity)

    def utilization(self, now: float, usual: float, more: float = 0.0) -> float:
        """The used part of the capacity if `more` is added; an old report fades to the `usual` load."""
        faded = min(1.0, (now - self.reported_at) / REPORT_FADE_SECONDS)
        return max(
            0.0,
            (self.own + more) / self.capacity
            + (1 - faded) * self.others_utilization()
            + faded * usual * self.assumed_fill,
        )


class Streamer:
    """A streamer as this controller sees it.

    `share` is the part of the demand that it delivers. `set_aside_until` is when it may get viewings again
    after a failure, `listed_at` the time of the last list that named it. `started` is the latest time at
    which it may have started, and `reported_since` the time since when it has reported its load without a
    long gap. `last_slot` is the slot of the last tune-in, `own_slot` the one in which this controller may
    send while the streamer is cold; `slot_phase` spreads the slots of streamers. `stream_counts` has the
    number of viewings that share a stream, by title, package and rung.
    """

    def __init__(self, entry: StreamerEntry, link: SharedLink, rack: SharedLink):
        self.entry, self.link, self.rack = entry, link, rack
        self.share, self.set_aside_until, self.started, self.reported_since = 1.0, -1e9, -1e9, 1e18
        self.last_slot, self.own_slot, self.slot_phase = -1, -1, crc32(str(entry.streamer).encode())
        self.listed_at, self.viewings, self.stream_counts = -1e9, {}, Counter()


class PackageProfile:
    """The terms of a package, with the rate of each rung and the value of each step between rungs.

    `added_share` is the part of its rate that each further viewer of a shared stream adds.
    """

    def __init__(self, p: Package, ladder: tuple[float, ...], worths: tuple[float, ...], join_adds: float):
        self.name, self.join_target, self.floor, self.top = p.name, p.join_target, p.floor, p.top
        self.seats, self.repeat, self.group, self.repeat_window = p.seats, p.repeat, p.group, p.repeat_window
        self.rates = [kb * p.scale for kb in ladder]
        self.added_share = join_adds if p.live else 1.0
        # Value for each kB a second that the step up to a rung adds: the cheapest steps are cut first.
        self.gain = [
            max(p.value * (worth - below), 1e-9) / max(kb - kb_below, 1e-9)
            for worth, below, kb, kb_below in zip(
                worths, (0.0, *worths), self.rates, (0.0, *self.rates), strict=False
            )
        ]


class Viewing:
    """A viewing that waits for a streamer, is being set up, or plays.

    `tries` counts its tune-ins, `tried` has their streamers, and `may_have_run` zone, cell and time of those
    that may have started it. `probed` is the streamer whose load it waits for. It waits for room until
    `hold_until`, and for the slot of a cold streamer until `slot_due_at`. `unsampled` marks a viewing whose
    load changes are no sample of those of other controllers. `is_flood` marks a request beyond its member's
    usual rate. `charged_budgets` are the fleet budgets that it counts towards, `short_budgets` those that
    lacked room for it and were reported.
    """

    def __init__(self, request: ViewingRequest, package: PackageProfile, now: float):
        self.id, self.request, self.package, self.streamer, self.probed = (
            request.viewing,
            request,
            package,
            None,
            None,
        )
        self.deadline, self.join_deadline = (
            now + request.time_left,
            now + min(package.join_target, request.time_left),
        )
        self.top, self.rung, self.tries = min(request.top, package.top), package.floor, 0
        self.sent_at = self.rung_set_at = self.hold_until = self.slot_due_at = now
        self.playing = self.ending = self.is_flood = self.unsampled = False
        self.tried, self.may_have_run, self.charged_budgets, self.short_budgets = set(), [], (), set()


class ControllerState:
    """Everything that the parts of one controller share.

    `to_check` has the streamers with a new load report since the last check, `decisions` what the host has
    yet to carry out, and `recheck` whether room may have appeared for the viewings that wait. `usual_load` is
    the part of a link that the other controllers usually use.
    """

    def __init__(self, seed: int, config: DeploymentConfig):
        c = config
        self.seed, self.draws, self.rank, self.controllers = seed, 0, c.me, c.controllers
        self.packages = {p.name: PackageProfile(p, c.ladder, c.worths, c.join_adds) for p in c.packages}
        self.zone, self.link_per_weight, self.places, self.warm_up = (
            c.zone,
            c.link_per_weight,
            c.places,
            c.warm_up,
        )
        self.racks = defaultdict(lambda: SharedLink(c.rack_link, self.all_links))
        self.report_age, self.full_from, self.tune_ins = c.told_late, c.full_from, c.tune_ins
        self.streamers, self.viewings, self.waiting, self.seated = {}, {}, {}, Counter()
        self.usual_load, self.to_check, self.recheck, self.decisions, self.all_links = (
            0.0,
            set(),
            False,
            deque(),
            SharedLink(1e18),
        )
        # Decaying counts: requests of the last seconds; how often each holder was named in a request, and
        # under None, all requests.
        self.recent_requests, self.named_holders, self.cold_start = 0.0, Counter(), c.cold_start

    def listed(self, now: float, kind: str, lines: tuple[StreamerEntry, ...]) -> None:
        """Takes a streamer list; unless its kind is "changes", streamers that it does not name have left."""
        for line in lines:
            if line.streamer not in self.streamers and line.status is not StreamerStatus.LEFT:
                link = SharedLink(self.link_per_weight * line.weight, self.all_links)
                self.streamers[line.streamer] = Streamer(line, link, self.racks[line.rack])
            if streamer := self.streamers.get(line.streamer):
                if line.started is not None and line.started > streamer.started:
                    streamer.started, streamer.share = line.started, 1.0
                streamer.listed_at, streamer.entry = now, line
        named = self.streamers.keys() if kind == "changes" else {line.streamer for line in lines}
        for name in self.streamers.keys() - named:
            self.streamers[name].entry = self.streamers[name].entry._replace(status=StreamerStatus.LEFT)
        # Reports of a streamer can arrive after its last viewing ended, but not this much later.
        for name, streamer in list(self.streamers.items()):
            gone = streamer.entry.status is StreamerStatus.LEFT and not streamer.viewings
            if gone and now - max(streamer.link.reported_at, streamer.listed_at) > FORGET_SECONDS:
                del self.streamers[name]
        self.recheck = True

    def share_told(self, now: float, streamer_id: int, share: float) -> None:
        """Takes the share of the demand that a streamer delivers, 0 to 1."""
        streamer = self.streamers[streamer_id]
        streamer.share = min(1.0, share)
        if share < SILENT_SHARE:
            # This is no overload: the streamer is silent or cut off. Counted as load, it made every link
            # look full.
            return self.set_aside(now, streamer, True)
        # Either the link or the rack's uplink is overloaded: probably the fuller one.
        link = max(streamer.link, streamer.rack, key=lambda link: link.utilization(now, self.usual_load))
        link.on_report(now, 1 / max(share, 0.1), self.report_age)
        self.to_check.add(streamer_id)

    def on_load_report(self, now: float, streamer: Streamer, load: LoadReport | None) -> None:
        """Takes the load report in a streamer's answer."""
        load = load or LoadReport()
        if (ratio := load.link) is None and load.link_capped is not None:
            # A capped figure hides by how much the link is overloaded; the delivered share shows it.
            ratio = load.link_capped if load.link_capped < 0.99 else 1 / max(streamer.share, 0.1)
        for link, reported in ((streamer.link, ratio), (streamer.rack, load.rack)):
            if reported is not None:
                link.on_report(now, reported, ANSWER_REPORT_AGE_SECONDS)
        self.to_check.add(streamer.entry.streamer)

    def set_aside(self, now: float, streamer: Streamer, lost: bool) -> None:
        """Gives a failing streamer no viewings for a while; `lost` if its process may have ended."""
        # One failure is enough: healthy streamers hardly ever fail, and failing ones seldom fail only once.
        if now >= streamer.set_aside_until:
            streamer.set_aside_until = now + SET_ASIDE_SECONDS * (1 + self.random_fraction() / 2)
            if lost:
                # It may be cold when it returns, before the list says so.
                streamer.started = max(streamer.started, streamer.set_aside_until)

    def tick(self, now: float) -> None:
        """Updates the capacities of links, how full unreported links are, and the usual load of others."""
        self.recent_requests, streamers = 0.6 * self.recent_requests, self.streamers.values()
        self.named_holders = Counter(
            {name: 0.99 * times for name, times in self.named_holders.items() if times > 0.01}
        )
        for streamer in streamers:
            # If it were assumed to be as full as all others, a streamer that has just started would stay
            # empty when it is needed most.
            streamer.link.assumed_fill = min(
                1.0, max(0.0, (now - (streamer.entry.started or -1e9)) / self.warm_up)
            )
            warm_share = (
                self.cold_start + (1 - self.cold_start) * max(0.0, now - streamer.started) / self.warm_up
            )
            streamer.link.capacity = self.link_per_weight * streamer.entry.weight * min(1.0, warm_share)
            streamer.reported_since = (
                min(streamer.reported_since, now)
                if now - streamer.link.reported_at < REPORT_FADE_SECONDS
                else 1e18
            )
        for name, rack in self.racks.items():
            rack.assumed_fill = fmean(
                [streamer.link.assumed_fill for streamer in streamers if streamer.entry.rack == name] or [1]
            )
        active = [streamer for streamer in streamers if streamer.entry.status is StreamerStatus.ACTIVE]
        # The capacity of all links divided by the number of other controllers: this controller's own load
        # over that estimates the part of each link that the others use together, on average.
        self.all_links.capacity = (sum(streamer.link.capacity for streamer in active) or 1.0) / max(
            self.controllers - 1, 1e-9
        )
        own = sum(streamer.link.own for streamer in active) / self.all_links.capacity
        reported = [
            streamer.link.others_utilization()
            for streamer in active
            if now - streamer.link.reported_at < REPORT_FADE_SECONDS
        ]
        # The median: the report of one failing streamer must not make every other link look full, not even
        # if it is the only report.
        self.usual_load = median_low(reported if len(reported) > 2 else [*reported, own])

    def set_rung(self, now: float, viewing: Viewing, rung: int) -> None:
        """Moves the load of a viewing to another rung."""
        self.change_load(now, viewing, -1)
        viewing.rung = rung
        self.change_load(now, viewing, 1)

    def assign(self, now: float, viewing: Viewing, streamer: Streamer) -> None:
        """Puts a viewing on a streamer."""
        viewing.streamer = streamer
        streamer.viewings[viewing.id] = viewing
        self.seated[viewing.package.name, viewing.request.title] += 1
        self.change_load(now, viewing, 1)

    def release(self, now: float, viewing: Viewing) -> None:
        """Takes a viewing off its streamer."""
        self.change_load(now, viewing, -1)
        del viewing.streamer.viewings[viewing.id]
        self.seated[seat := (viewing.package.name, viewing.request.title)] -= 1
        if not self.seated[seat]:
            del self.seated[seat]
        viewing.streamer = None

    def change_load(self, now: float, viewing: Viewing, sign: int) -> None:
        """Adds (`sign` 1) or removes (-1) the load of a viewing."""
        # Viewers of one live title at one rung share a stream: each further one adds only a part of its rate.
        streamer, key = viewing.streamer, (viewing.request.title, viewing.package.name, viewing.rung)
        streamer.stream_counts[key] += sign
        kb = (
            sign
            * viewing.package.rates[viewing.rung]
            * (viewing.package.added_share if streamer.stream_counts[key] + (sign < 0) > 1 else 1.0)
        )
        if not streamer.stream_counts[key]:
            del streamer.stream_counts[key]
        self.all_links.last_change = abs(kb)
        # `all_links` comes last, as the slice leaves it out for an unsampled viewing.
        for link in (streamer.link, streamer.rack, self.all_links)[: 3 - viewing.unsampled]:
            link.add(now, kb)

    def utilization(self, now: float, streamer: Streamer, more: float = 0.0) -> float:
        """The used part of a streamer's link or of its rack's uplink, whichever is fuller."""
        return max(
            streamer.link.utilization(now, self.usual_load, more),
            streamer.rack.utilization(now, self.usual_load, more),
        )

    def random_fraction(self) -> float:
        """The next number of this controller's random sequence, from 0 up to 1."""
        self.draws += 1
        return crc32(b"%d:%d" % (self.seed, self.draws)) / 2**32
