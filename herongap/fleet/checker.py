"""The six rules, judged from what stand-in streamers and clients saw on their sockets. Nothing else is read.

Each of `check`'s rules is a function from the run to the breaks found, so that each can be proved on its own.
"""

from collections import defaultdict
from collections.abc import Iterator

from herongap.fleet.budget_rules import check_budgets
from herongap.fleet.day import LIST_POLL_SECONDS, zone_of
from herongap.fleet.figures import Outcome
from herongap.fleet.observations import (
    CLOCK_SLACK_SECONDS,
    ObservedRequest,
    ObservedRun,
    ObservedSession,
    ObservedTuneIn,
    Violation,
)

GRACE = 0.25  # seconds after a drain was told within which work may still arrive
TWICE = 3.0  # seconds within which a late session must have been torn down


def check(outcome: Outcome) -> list[Violation]:
    """All breaks of a rehearsal, in the order of their rules and times."""
    return check_run(ObservedRun(outcome))


def check_run(run: ObservedRun) -> list[Violation]:
    """The same, of logs that have been put together already."""
    rules = [answers, set_ups, drains, cold, floors, seats, budget, check_budgets]
    found = [b for rule in rules for b in rule(run)]
    return sorted(found, key=lambda b: (b.rule, b.at))


def answers(run: ObservedRun) -> Iterator[Violation]:
    """Rule 1: what a running controller took gets exactly one answer, before the viewer gives up."""
    by_offer: dict[tuple, list[ObservedRequest]] = defaultdict(list)
    for post in run.posts:
        killed = run.killed.get(post.front, float("inf"))
        if post.status == 0:
            if (
                post.kind == "hung-up"
                or killed <= post.answered + CLOCK_SLACK_SECONDS
                or post.answered >= run.stopping
            ):
                continue  # its viewer left, or its controller was killed: it owes no answer
            if run.left.get(post.front, float("inf")) <= post.answered and post.kind.startswith("broken"):
                continue  # never taken: its controller had closed its door
            if run.stopped(run.fronts.get(post.front, -1), post.asked, post.answered):
                continue  # a process that is stopped cannot answer
            yield run.broken(1, post.answered, f"{post.name}: no answer ({post.kind})", post.identity)
            continue
        if post.status in (400, 404, 500):
            yield run.broken(
                1, post.answered, f"{post.name}: answered {post.status} {post.kind}", post.identity
            )
        if post.status == 201 and not run.sessions[post.identity]:
            yield run.broken(1, post.answered, f"{post.name}: told it plays, no streamer does", post.identity)
        by_offer[post.front, post.identity].append(post)
    for (_, identity), posts in by_offer.items():
        plays = {post.location for post in posts if post.status == 201}
        if len(plays) > 1:
            yield run.broken(1, posts[-1].answered, f"{posts[0].name}: one offer, two sessions", identity)
        for post in posts:
            # One that the process never took, being short itself, is no answer to the viewing.
            others = [o for o in posts if o.asked < post.answered and post.asked < o.answered]
            others = [o for o in others if o.kind not in ("overloaded", "too-fast", "stopping")]
            if len({o.status for o in others}) > 1:
                yield run.broken(1, post.answered, f"{post.name}: one viewing, two answers", identity)
                break


def set_ups(run: ObservedRun) -> Iterator[Violation]:
    """Rule 2: never two tune-ins out, nothing set up twice; what may not be repeated is not."""
    for identity, outs in run.outs.items():
        outs = sorted(outs, key=lambda out: out.begin)
        for before, after in zip(outs, outs[1:], strict=False):
            if after.begin < before.end - CLOCK_SLACK_SECONDS:
                what = f"two tune-ins out, at {before.streamer} and {after.streamer}"
                yield run.broken(2, after.begin, what, identity)
        # A session whose answer was lost on its way cannot be known of; whether it may be set up again is for
        # the package's terms, below.
        held = sorted((s for s in run.sessions[identity] if s.told), key=lambda s: s.begin)
        for before, after in zip(held, held[1:], strict=False):
            late = after.begin + TWICE
            late += run.stopped(_number(before.front), after.begin, late)
            if min(before.end, run.stopping) > late and not _mute(run, before):
                what = f"plays twice, at {before.streamer} and {after.streamer}"
                yield run.broken(2, after.begin, what, identity)
        terms = run.day.packages.get(run.package.get(identity, ""))
        if terms and terms.repeat != "harmless":
            yield from _repeats(run, identity, terms, outs)


def _repeats(run: ObservedRun, identity: str, terms, outs: list[ObservedTuneIn]) -> Iterator[Violation]:
    # Refused as full or unknown: it provably never ran. Anything else may have.
    ran = [out for out in outs if not (out.how == "refused" and out.status in (404, 422, 503))]
    for earlier in ran:
        for later in outs:
            if later.begin > earlier.begin and not _recognised(run, terms, earlier, later):
                what = f"sent again to {later.streamer} though {earlier.streamer} may have set it up"
                yield run.broken(2, later.begin, what, identity)
    for post in run.posts:
        over_all = terms.repeat == "in_group" and terms.group == "all"
        came_after = [out for out in ran if out.begin < post.answered]
        if post.identity == identity and post.kind == "blocked" and not over_all and came_after:
            yield run.broken(2, post.answered, f"{post.name}: told to come again though it may run", identity)


def _recognised(run: ObservedRun, terms, earlier: ObservedTuneIn, later: ObservedTuneIn) -> bool:
    if terms.repeat == "harmful" or later.begin - earlier.begin > terms.repeat_window:
        return False
    if terms.group == "all":
        return True
    if terms.group == "zone":
        return zone_of(int(earlier.streamer[1:]), run.day) == zone_of(int(later.streamer[1:]), run.day)
    return earlier.streamer == later.streamer


def drains(run: ObservedRun) -> Iterator[Violation]:
    """Rule 3: nothing new to a streamer later than the grace after it was listed as draining or gone."""
    if run.listed_by == "etcd":
        yield from _drains_told(run)
        return
    since: dict[str, float] = {}
    changes = iter([*run.gone, (float("inf"), set())])
    at, gone = next(changes)
    for identity, out in sorted(
        ((i, o) for i, outs in run.outs.items() for o in outs), key=lambda pair: pair[1].begin
    ):
        while at <= out.begin:
            since = {name: since.get(name, at) for name in gone}
            at, gone = next(changes)
        told = since.get(out.streamer)
        if told is not None and out.begin > told + LIST_POLL_SECONDS + GRACE + CLOCK_SLACK_SECONDS:
            what = f"sent to {out.streamer}, listed as leaving or gone {out.begin - told:.3f} s before"
            yield run.broken(3, out.begin, what, identity)


def _drains_told(run: ObservedRun) -> Iterator[Violation]:
    """Where the list is watched, the grace begins when the bytes that tell a front of it are sent to it."""
    outs = [(o.begin, 1, i, o) for i, outs in run.outs.items() for o in outs]
    words = [(at, 0, "", (None, streamer, gone)) for at, streamer, gone in run.drained]
    words += [(at, 0, "", (front, streamer, gone)) for at, front, streamer, gone in run.told]
    since: dict[tuple[str, str], float] = {}
    held: dict[str, set] = defaultdict(set)  # what stands against a streamer in truth
    for at, kind, identity, it in sorted(outs + words, key=lambda line: line[:3]):
        if kind == 0:
            front, streamer, gone = it
            if front is not None and gone and held[streamer]:
                since.setdefault((front, streamer), at)
            elif front is None and gone:
                held[streamer].add(at)
            elif front is None:
                # Its drain, or its absence, has ended: what anybody was told before binds nobody any more.
                held[streamer].clear()
                since = {key: told for key, told in since.items() if key[1] != streamer}
            continue
        told = since.get((it.front, it.streamer))
        if (
            told is not None
            and at - run.stopped(_number(it.front), told, at) > told + GRACE + CLOCK_SLACK_SECONDS
        ):
            what = (
                f"sent to {it.streamer} {at - told:.3f} s after its front was told that it leaves or is gone"
            )
            yield run.broken(3, at, what, identity)


def cold(run: ObservedRun) -> Iterator[Violation]:
    """Rule 4: no streamer that has just started is pushed over."""
    for at, streamer, d in run.fell:
        yield run.broken(4, at, f"{streamer} fell over at {d['set_ups']} set-ups, {d['most']:.1f} allowed")


def floors(run: ObservedRun) -> Iterator[Violation]:
    """Rule 5, first half: nothing plays under its package's floor."""
    for identity, rungs in run.rungs.items():
        terms = run.day.packages.get(run.package.get(identity, ""))
        for at, streamer, rung in rungs:
            if terms and rung < terms.floor:
                yield run.broken(5, at, f"rung {rung} at {streamer}, under the floor {terms.floor}", identity)


def seats(run: ObservedRun) -> Iterator[Violation]:
    """Rule 5, second half: no controller holds more viewings of a title and package than its seats.

    A seat is taken from the POST at the streamer until that is answered otherwise, hung up on, or its
    session ends; or until a DELETE of it arrives, whether or not the streamer can still answer that.
    """
    steps: dict[tuple, list[tuple[float, int, str]]] = defaultdict(list)
    for identity, outs in run.outs.items():
        package = run.package.get(identity, "")
        if package not in run.day.packages or not run.day.packages[package].seats:
            continue
        for out in outs:
            held = next((s for s in run.sessions[identity] if s.out is out), None)
            end = out.end
            # Where the answer was lost on its way, the tune-in ended for its controller when that broke.
            if held and held.told:
                end = min(held.end, held.let_go)
            steps[out.front, out.title, package] += [
                (out.begin, 1, identity),
                (max(end - CLOCK_SLACK_SECONDS, out.begin + 1e-6), -1, identity),
            ]
    for (front, title, package), changes in steps.items():
        most, now = run.day.packages[package].seats, 0
        for at, change, identity in sorted(changes):
            now += change
            if change > 0 and now > most:
                what = f"{front} holds {now} of title {title}, {package} has {most} seats"
                yield run.broken(5, at, what, identity)


def budget(run: ObservedRun) -> Iterator[Violation]:
    """Rule 6: further tune-ins of a controller stay within a few and a share of the viewings that it took."""
    size = run.day.settings
    extras: dict[str, list[tuple[float, str]]] = defaultdict(list)
    taken: dict[str, list[float]] = defaultdict(list)
    for identity, outs in run.outs.items():
        for front in {out.front for out in outs}:
            begins = sorted(out.begin for out in outs if out.front == front)
            extras[front] += [(at, identity) for at in begins[1:]]
    for post in run.posts:
        if post.front in run.fronts:
            taken[run.fronts[post.front]].append(post.asked)
    for front, sent in extras.items():
        sent.sort()
        asked = sorted(taken[_number(front)])
        for i, (at, identity) in enumerate(sent):
            # A front sees both a little earlier or later than the sockets' other ends.
            seconds = size.extra_window / run.fast[_number(front)]
            window = sum(1 for t, _ in sent[: i + 1] if t > at - seconds + CLOCK_SLACK_SECONDS)
            took = sum(
                1
                for t in asked
                if at - size.extra_window - CLOCK_SLACK_SECONDS < t <= at + CLOCK_SLACK_SECONDS
            )
            if window > size.extra_free + size.extra_share * took:
                what = f"{front}: {window} further tune-ins in {size.extra_window:g} s, having taken {took}"
                yield run.broken(6, at, what, identity)


def _number(front: str) -> int:
    """The number of the controller that a front's name tells."""
    return int(front.split("-")[1])


def _mute(run: ObservedRun, held: ObservedSession) -> bool:
    return any(at < held.end and at + 30 > held.begin for at in run.muted[held.streamer])
