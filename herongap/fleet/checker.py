"""Checks the six rules, from what stand-in streamers and clients observed on their sockets alone.

Each rule is a function from the observed run to the violations found, so that each can be tested on its own.
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

# Time after the notification of a drain within which tune-ins may still arrive.
DRAIN_GRACE_SECONDS = 0.25
# Time within which the earlier of two sessions of a viewing must have been torn down.
DUPLICATE_TEARDOWN_SECONDS = 3.0
# Time after a fault has silenced a streamer during which the fault still excuses a late teardown there.
SILENCE_EXCUSE_SECONDS = 30


def check(outcome: Outcome) -> list[Violation]:
    """All violations in a played day, in the order of rules and times."""
    return check_run(ObservedRun(outcome))


def check_run(run: ObservedRun) -> list[Violation]:
    """The same as `check`, for logs that have been grouped already."""
    rules = [answers, set_ups, drains, cold, floors, seats, budget, check_budgets]
    violations = [violation for rule in rules for violation in rule(run)]
    return sorted(violations, key=lambda violation: (violation.rule, violation.at))


def answers(run: ObservedRun) -> Iterator[Violation]:
    """Rule 1: a request accepted by a running controller gets exactly one answer before the viewer leaves."""
    by_offer: dict[tuple, list[ObservedRequest]] = defaultdict(list)
    for request in run.requests:
        killed = run.killed_at.get(request.controller_port, float("inf"))
        if request.status == 0:
            if (
                request.kind == "hung-up"
                or killed <= request.answered_at + CLOCK_SLACK_SECONDS
                or request.answered_at >= run.stopping_at
            ):
                continue  # the viewer left or the controller was killed: no answer is due
            if run.left_at.get(
                request.controller_port, float("inf")
            ) <= request.answered_at and request.kind.startswith("broken"):
                continue  # never accepted: the controller had stopped listening
            if run.paused_seconds(
                run.controllers.get(request.controller_port, -1), request.requested_at, request.answered_at
            ):
                continue  # a paused process cannot answer
            yield run.violation(
                1, request.answered_at, f"{request.name}: no answer ({request.kind})", request.identity
            )
            continue
        if request.status in (400, 404, 500):
            yield run.violation(
                1,
                request.answered_at,
                f"{request.name}: answered {request.status} {request.kind}",
                request.identity,
            )
        if request.status == 201 and not run.sessions[request.identity]:
            yield run.violation(
                1,
                request.answered_at,
                f"{request.name}: answered 201, but no streamer has a session",
                request.identity,
            )
        by_offer[request.controller_port, request.identity].append(request)
    for (_, identity), requests in by_offer.items():
        locations = {request.location for request in requests if request.status == 201}
        if len(locations) > 1:
            yield run.violation(
                1, requests[-1].answered_at, f"{requests[0].name}: one offer, two sessions", identity
            )
        for request in requests:
            # A rejection by an overloaded or stopping process is not an answer to the viewing.
            others = [
                o
                for o in requests
                if o.requested_at < request.answered_at and request.requested_at < o.answered_at
            ]
            others = [o for o in others if o.kind not in ("overloaded", "too-fast", "stopping")]
            if len({o.status for o in others}) > 1:
                yield run.violation(
                    1, request.answered_at, f"{request.name}: one viewing, two answers", identity
                )
                break


def set_ups(run: ObservedRun) -> Iterator[Violation]:
    """Rule 2: one tune-in in flight and one session for each viewing; no retry that its package forbids."""
    for identity, tune_ins in run.tune_ins.items():
        tune_ins = sorted(tune_ins, key=lambda tune_in: tune_in.begin)
        for before, after in zip(tune_ins, tune_ins[1:], strict=False):
            if after.begin < before.end - CLOCK_SLACK_SECONDS:
                what = f"two tune-ins in flight, at {before.streamer} and {after.streamer}"
                yield run.violation(2, after.begin, what, identity)
        # A controller cannot know of a session whose answer was lost. Whether the viewing may be set up again
        # depends on the package's terms, see `_repeats`.
        sessions = sorted((s for s in run.sessions[identity] if s.reported), key=lambda s: s.begin)
        for before, after in zip(sessions, sessions[1:], strict=False):
            deadline = after.begin + DUPLICATE_TEARDOWN_SECONDS
            deadline += run.paused_seconds(_controller_number(before.controller), after.begin, deadline)
            if min(before.end, run.stopping_at) > deadline and not _silenced(run, before):
                what = f"plays twice, at {before.streamer} and {after.streamer}"
                yield run.violation(2, after.begin, what, identity)
        terms = run.day.packages.get(run.package_of.get(identity, ""))
        if terms and terms.repeat != "harmless":
            yield from _repeats(run, identity, terms, tune_ins)


def _repeats(run: ObservedRun, identity: str, terms, tune_ins: list[ObservedTuneIn]) -> Iterator[Violation]:
    """Violations of the terms for repeated set-ups of one viewing."""
    # A tune-in rejected as full or unknown certainly set nothing up; any other may have.
    possible_set_ups = [
        tune_in
        for tune_in in tune_ins
        if not (tune_in.outcome == "refused" and tune_in.status in (404, 422, 503))
    ]
    for earlier in possible_set_ups:
        for later in tune_ins:
            if later.begin > earlier.begin and not _recognised(run, terms, earlier, later):
                what = f"sent again to {later.streamer} though {earlier.streamer} may have set it up"
                yield run.violation(2, later.begin, what, identity)
    for request in run.requests:
        detected_everywhere = terms.repeat == "in_group" and terms.group == "all"
        set_ups_before = [tune_in for tune_in in possible_set_ups if tune_in.begin < request.answered_at]
        if (
            request.identity == identity
            and request.kind == "blocked"
            and not detected_everywhere
            and set_ups_before
        ):
            yield run.violation(
                2, request.answered_at, f"{request.name}: told to retry though a session may exist", identity
            )


def _recognised(run: ObservedRun, terms, earlier: ObservedTuneIn, later: ObservedTuneIn) -> bool:
    """Whether the terms say that the later streamer detects the tune-in as a repetition."""
    if terms.repeat == "harmful" or later.begin - earlier.begin > terms.repeat_window:
        return False
    if terms.group == "all":
        return True
    if terms.group == "zone":
        return zone_of(int(earlier.streamer[1:]), run.day) == zone_of(int(later.streamer[1:]), run.day)
    return earlier.streamer == later.streamer


def drains(run: ObservedRun) -> Iterator[Violation]:
    """Rule 3: no tune-in to a streamer after the grace period since it was listed as draining or gone."""
    if run.listed_by == "etcd":
        yield from _drains_notified(run)
        return
    since: dict[str, float] = {}
    changes = iter([*run.unavailable, (float("inf"), set())])
    at, drained = next(changes)
    for identity, tune_in in sorted(
        ((i, o) for i, tune_ins in run.tune_ins.items() for o in tune_ins), key=lambda pair: pair[1].begin
    ):
        while at <= tune_in.begin:
            since = {name: since.get(name, at) for name in drained}
            at, drained = next(changes)
        notified_at = since.get(tune_in.streamer)
        if (
            notified_at is not None
            and tune_in.begin > notified_at + LIST_POLL_SECONDS + DRAIN_GRACE_SECONDS + CLOCK_SLACK_SECONDS
        ):
            seconds = tune_in.begin - notified_at
            what = f"sent to {tune_in.streamer}, listed as draining or gone {seconds:.3f} s before"
            yield run.violation(3, tune_in.begin, what, identity)


def _drains_notified(run: ObservedRun) -> Iterator[Violation]:
    """With a watched list, the grace period begins when the notification is sent to the controller."""
    tune_ins = [(o.begin, 1, i, o) for i, tune_ins in run.tune_ins.items() for o in tune_ins]
    notices = [(at, 0, "", (None, streamer, drained)) for at, streamer, drained in run.drained]
    notices += [
        (at, 0, "", (controller, streamer, drained))
        for at, controller, streamer, drained in run.drain_notifications
    ]
    since: dict[tuple[str, str], float] = {}
    active: dict[str, set] = defaultdict(set)  # by streamer: drains and absences in effect
    for at, kind, identity, item in sorted(tune_ins + notices, key=lambda line: line[:3]):
        if kind == 0:
            controller, streamer, drained = item
            if controller is not None and drained and active[streamer]:
                since.setdefault((controller, streamer), at)
            elif controller is None and drained:
                active[streamer].add(at)
            elif controller is None:
                # The drain or the absence has ended; earlier notifications no longer apply.
                active[streamer].clear()
                since = {key: notified_at for key, notified_at in since.items() if key[1] != streamer}
            continue
        notified_at = since.get((item.controller, item.streamer))
        if (
            notified_at is not None
            and at - run.paused_seconds(_controller_number(item.controller), notified_at, at)
            > notified_at + DRAIN_GRACE_SECONDS + CLOCK_SLACK_SECONDS
        ):
            seconds = at - notified_at
            what = f"sent to {item.streamer} {seconds:.3f} s after a notice that it is draining or gone"
            yield run.violation(3, at, what, identity)


def cold(run: ObservedRun) -> Iterator[Violation]:
    """Rule 4: no streamer that is warming up is overloaded by set-ups."""
    for at, streamer, details in run.overloads:
        yield run.violation(
            4, at, f"{streamer} overloaded by {details['set_ups']} set-ups, {details['most']:.1f} allowed"
        )


def floors(run: ObservedRun) -> Iterator[Violation]:
    """Rule 5, first half: nothing plays below the floor of its package."""
    for identity, rungs in run.rungs.items():
        terms = run.day.packages.get(run.package_of.get(identity, ""))
        for at, streamer, rung in rungs:
            if terms and rung < terms.floor:
                yield run.violation(
                    5, at, f"rung {rung} at {streamer}, below the floor {terms.floor}", identity
                )


def seats(run: ObservedRun) -> Iterator[Violation]:
    """Rule 5, second half: no controller has more viewings of a title and package than the package has seats.

    A viewing takes a seat from its POST at the streamer until that is rejected or cancelled, or its session
    ends, or a DELETE of the session arrives, whether or not the streamer can still answer that.
    """
    steps: dict[tuple, list[tuple[float, int, str]]] = defaultdict(list)
    for identity, tune_ins in run.tune_ins.items():
        package = run.package_of.get(identity, "")
        if package not in run.day.packages or not run.day.packages[package].seats:
            continue
        for tune_in in tune_ins:
            session = next((s for s in run.sessions[identity] if s.tune_in is tune_in), None)
            end = tune_in.end
            # If the answer was lost, the tune-in ended for its controller when the connection broke.
            if session and session.reported:
                end = min(session.end, session.released_at)
            steps[tune_in.controller, tune_in.title, package] += [
                (tune_in.begin, 1, identity),
                (max(end - CLOCK_SLACK_SECONDS, tune_in.begin + 1e-6), -1, identity),
            ]
    for (controller, title, package), changes in steps.items():
        allowed, used = run.day.packages[package].seats, 0
        for at, change, identity in sorted(changes):
            used += change
            if change > 0 and used > allowed:
                what = f"{controller} has {used} viewings of title {title}, {package} has {allowed} seats"
                yield run.violation(5, at, what, identity)


def budget(run: ObservedRun) -> Iterator[Violation]:
    """Rule 6: the repeated tune-ins of a controller stay within `extra_free` plus a share of its viewings."""
    settings = run.day.settings
    repeats: dict[str, list[tuple[float, str]]] = defaultdict(list)
    accepted: dict[str, list[float]] = defaultdict(list)
    for identity, tune_ins in run.tune_ins.items():
        for controller in {tune_in.controller for tune_in in tune_ins}:
            begins = sorted(tune_in.begin for tune_in in tune_ins if tune_in.controller == controller)
            repeats[controller] += [(at, identity) for at in begins[1:]]
    for request in run.requests:
        if request.controller_port in run.controllers:
            accepted[run.controllers[request.controller_port]].append(request.requested_at)
    for controller, sent in repeats.items():
        sent.sort()
        accepted_at = sorted(accepted[_controller_number(controller)])
        for i, (at, identity) in enumerate(sent):
            # Streamers and clients logged these times. At the controller, the other end of their sockets, the
            # same events happened a little earlier or later.
            window_seconds = settings.extra_window / run.clock_rates[_controller_number(controller)]
            repeat_count = sum(1 for t, _ in sent[: i + 1] if t > at - window_seconds + CLOCK_SLACK_SECONDS)
            accepted_count = sum(
                1
                for t in accepted_at
                if at - settings.extra_window - CLOCK_SLACK_SECONDS < t <= at + CLOCK_SLACK_SECONDS
            )
            if repeat_count > settings.extra_free + settings.extra_share * accepted_count:
                what = f"{controller}: {repeat_count} repeated tune-ins in {settings.extra_window:g} s, "
                what += f"{accepted_count} requests accepted"
                yield run.violation(6, at, what, identity)


def _controller_number(controller: str) -> int:
    """The controller number in the name of a process."""
    return int(controller.split("-")[1])


def _silenced(run: ObservedRun, session: ObservedSession) -> bool:
    """Whether a fault that silences the streamer began less than 30 s before the session, or during it."""
    return any(
        at < session.end and at + SILENCE_EXCUSE_SECONDS > session.begin
        for at in run.silenced_at[session.streamer]
    )
