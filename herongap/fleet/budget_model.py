"""A small model in which minicheck checks the shipped `BudgetShare` over all interleavings.

Two controllers share a budget of one through one store. Controller 1 is always running and reacts at once.
Controller 0 may be paused, so each of its steps may come late or never; its replies may be lost, and it may
be killed and restarted. Time advances in steps of one second independently of it. An item that was started
lasts `LINGER_SECONDS`. The transitions run `herongap.accord.BudgetShare` itself: each one restores it from
the model's state, calls it, and saves its state again.
"""

from collections.abc import Iterator
from typing import NamedTuple

from minicheck import Protocol

from herongap.accord import Allocation, Allotment, BudgetKind, BudgetShare, BudgetTerms, Commit
from herongap.accord.document import encode_document
from herongap.accord.shares import read_allocation

TTL_SECONDS, LINGER_SECONDS = 2, 2
TRUST_MARGIN_SECONDS = 0.5  # a controller trusts its lease for this much less than the store keeps it
LONG_PAST = -9.0  # stands for every time that has passed, so that equal situations are one state
TERMS = BudgetTerms("one", BudgetKind.HELD, 1, linger=LINGER_SECONDS)
INITIAL_DATA = encode_document(Allocation(1, True, 1, {"0": Allotment(1, 1, 1, 1)}).to_body())


class StoreState(NamedTuple):
    """The document and, for each controller, its claim (0: none) and when its lease expires."""

    revision: int
    version: int
    data: bytes
    claims: tuple[tuple[int, int], ...]


class CommitInFlight(NamedTuple):
    """A commit on its way to the store or, with a reply (revision, won, version, data), on its way back."""

    controller: int
    commit: Commit
    reply: tuple | None = None


class ShareState(NamedTuple):
    """The saved state of one controller's `BudgetShare`."""

    document: tuple = (-1, 0, None, None, False, 0)
    lease_until: float = LONG_PAST
    incarnation: int = -1
    incarnations: tuple = ()
    held_count: int = 0
    inherited: tuple = (0, LONG_PAST)
    promised_amount: int | None = None
    absent_since: tuple = ()
    restart_count: int = 0  # how often the controller's process was killed and restarted


def _restore(controller: int, saved: ShareState, now: float, share_type: type) -> BudgetShare:
    share = share_type(TERMS, str(controller), float(TTL_SECONDS))
    document = share.document
    document.revision, document.version, data, document.pending, document.uncertain, document.commit_count = (
        saved.document
    )
    document._load(data)
    share._apply(now, None)
    share.lease_until, share.incarnation = saved.lease_until, saved.incarnation
    document.incarnation = max(0, saved.incarnation)
    share.incarnations, share.held_count = set(saved.incarnations), saved.held_count
    share.inherited, share.promised_amount = saved.inherited, saved.promised_amount
    share.absent_since = dict(saved.absent_since)
    if not share.room(now):
        share.rejections.append(now)  # there is always demand for one more
    share.due = now
    return share


def _save(share: BudgetShare, data: bytes | None, now: float, restart_count: int) -> ShareState:
    document = share.document
    return ShareState(
        document=(
            document.revision,
            document.version,
            data,
            document.pending,
            document.uncertain,
            document.commit_count,
        ),
        lease_until=share.lease_until if share.lease_until > now else LONG_PAST,
        incarnation=share.incarnation,
        incarnations=tuple(sorted(share.incarnations)),
        held_count=share.held_count,
        inherited=share.inherited if share.inherited[1] > now else (0, LONG_PAST),
        promised_amount=share.promised_amount,
        absent_since=tuple(sorted(share.absent_since.items())),
        restart_count=restart_count,
    )


def _live(store: StoreState) -> dict[str, int]:
    """The controllers that hold a claim, with its revision."""
    return {str(controller): claim for controller, (claim, _) in enumerate(store.claims) if claim}


def _synchronize(now: float, store: StoreState, saved: ShareState, share_type: type) -> ShareState:
    """Bring controller 1 up to date with the store's document and with the live controllers."""
    share = _restore(1, saved, now, share_type)
    share.update_lease(store.claims[1][0], now + TTL_SECONDS - TRUST_MARGIN_SECONDS, True)
    share.observe(now, store.revision, store.version, store.data)
    share._expired_controllers(now, share.allocation, _live(store))
    return _save(share, store.data, now, saved.restart_count)


def _initial_state() -> tuple:
    store = StoreState(3, 3, INITIAL_DATA, ((1, TTL_SECONDS), (2, TTL_SECONDS)))
    document = (3, 3, INITIAL_DATA, None, False, 0)
    first = ShareState(document, TTL_SECONDS - TRUST_MARGIN_SECONDS, 1, (1,))
    second = ShareState(document, TTL_SECONDS - TRUST_MARGIN_SECONDS, 2, (2,))
    return 0, store, (first, second), (), (), 0


def _use_within_limit(state: dict) -> bool:
    return len(state["items"]) <= TERMS.limit


def _allotments_within_limit(state: dict) -> bool:
    allocation = read_allocation(state["store"].data)
    total = sum(allotment.amount for allotment in allocation.allotments.values())
    return not allocation.open or total <= allocation.limit


def budget_model(
    seconds: int = 7, commits: int = 2, kills: int = 1, share_type: type = BudgetShare
) -> Protocol:
    """The model for `seconds`, with at most `commits` of each process and `kills` in all."""

    def transitions(state: tuple) -> Iterator[tuple[str, tuple]]:
        now, store, shares, in_flight, items, killed = state
        if now < seconds:
            # Running processes learn of the items that end; a process started since then does not know them.
            ended = [(controller, restart) for controller, end, restart in items if end <= now + 1]
            new_shares = tuple(
                saved._replace(held_count=saved.held_count - ended.count((controller, saved.restart_count)))
                for controller, saved in enumerate(shares)
            )
            (first_claim, expires), (second_claim, _) = store.claims
            first = (0, 0) if expires <= now + 1 else (first_claim, expires)
            new_store = store._replace(claims=(first, (second_claim, now + 1 + TTL_SECONDS)))
            still_held = tuple(item for item in items if item[1] > now + 1)
            new_shares = new_shares[0], _synchronize(now + 1, new_store, new_shares[1], share_type)
            yield "a second passes", (now + 1, new_store, new_shares, in_flight, still_held, killed)
        for controller, saved in enumerate(shares):

            def successor(
                share: BudgetShare,
                data=saved.document[2],
                controller=controller,
                store=store,
                in_flight=in_flight,
                items=items,
            ) -> tuple:
                new = _save(share, data, now, shares[controller].restart_count)
                new_shares = tuple(new if i == controller else other for i, other in enumerate(shares))
                return now, store, new_shares, in_flight, items, killed

            claim, _ = store.claims[controller]
            claims = list(store.claims)
            trusted_until = now + TTL_SECONDS - TRUST_MARGIN_SECONDS
            share = _restore(controller, saved, now, share_type)
            if controller == 1:
                pass
            elif not claim:
                claims[controller] = (store.revision + 1, now + TTL_SECONDS)
                new_store = store._replace(revision=store.revision + 1, claims=tuple(claims))
                share.update_lease(store.revision + 1, trusted_until, True)
                yield f"{controller} claims its number", successor(share, store=new_store)
            elif claim == saved.incarnation and saved.lease_until < trusted_until:
                claims[controller] = (claim, now + TTL_SECONDS)
                share.update_lease(claim, trusted_until, True)
                new_store = store._replace(claims=tuple(claims))
                yield f"{controller} renews its lease", successor(share, store=new_store)
            share = _restore(controller, saved, now, share_type)
            if controller == 0 and store.revision > saved.document[0]:
                share.observe(now, store.revision, store.version, store.data)
                yield f"{controller} reads the document", successor(share, store.data)
                share = _restore(controller, saved, now, share_type)
            if share.room(now):
                share.record_start(now)
                item = (controller, now + LINGER_SECONDS, saved.restart_count)
                yield f"{controller} starts an item", successor(share, items=(*items, item))
            share = _restore(controller, saved, now, share_type)
            if share.document.commit_count < commits or share.document.pending:
                # A commit based on an older document is always rejected, so the document is read first.
                share.observe(now, store.revision, store.version, store.data)
                commit = share.next_commit(float(now), _live(store))
                if commit and not any(flight.controller == controller for flight in in_flight):
                    sent = (*in_flight, CommitInFlight(controller, commit))
                    yield f"{controller} commits", successor(share, store.data, in_flight=sent)
                elif commit is None and share.absent_since != dict(saved.absent_since):
                    yield f"{controller} checks which controllers are live", successor(share, store.data)
            if killed < kills:
                new_shares = tuple(
                    ShareState(restart_count=saved.restart_count + 1) if i == controller else other
                    for i, other in enumerate(shares)
                )
                yield (
                    f"{controller} is killed and restarted",
                    (now, store, new_shares, in_flight, items, killed + 1),
                )
        for i, flight in enumerate(in_flight):
            others = in_flight[:i] + in_flight[i + 1 :]
            controller = flight.controller
            if flight.reply is None:
                won = flight.commit.base_version == store.version
                new_store = store
                if won:
                    revision = store.revision + 1
                    new_store = store._replace(revision=revision, version=revision, data=flight.commit.data)
                reply = (new_store.revision, won, new_store.version, new_store.data)
                new_shares = shares[0], _synchronize(now, new_store, shares[1], share_type)
                remaining = others if controller else (*others, flight._replace(reply=reply))
                yield (
                    f"the store receives the commit of {controller}",
                    (now, new_store, new_shares, remaining, items, killed),
                )
                continue
            for lost in (True, False):
                share = _restore(controller, shares[controller], now, share_type)
                if lost:
                    share.handle_unknown_outcome(now, flight.commit)
                else:
                    share.handle_reply(now, flight.commit, *flight.reply)
                known_data = shares[controller].document[2]
                data = known_data if share.document.version != flight.reply[2] or lost else flight.reply[3]
                new = _save(share, data, now, shares[controller].restart_count)
                new_shares = tuple(new if w == controller else other for w, other in enumerate(shares))
                what = "a reply is lost to" if lost else "a reply reaches"
                yield f"{what} {controller}", (now, store, new_shares, others, items, killed)

    return Protocol(
        name="budget_model",
        candidate=False,
        fields=("now", "store", "shares", "in_flight", "items", "killed"),
        initial=_initial_state(),
        transitions=lambda state: list(transitions(state)),
        invariants={
            "use is within the limit": _use_within_limit,
            "the allotments are within the limit": _allotments_within_limit,
        },
        goal=lambda state: any(controller == 1 for controller, *_ in state["items"]),
    )
