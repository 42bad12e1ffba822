"""Small worlds in which the shipped state machines are checked over all interleavings, with minicheck.

`following` is a store with two keys, a leader, a member that lags, and one follower whose stream may be
cut, repeated, fragmented or overtaken by a compaction at any moment. `leasing` is a lease server and two
controllers that want one number. What moves in them is `herongap.etcd.PrefixFollower` and `Membership`
themselves: each step makes the machine from its state, calls it, and takes the state off again. `settling`
is a store with one document and two writers, `herongap.accord.SharedDocument` themselves. `broken` puts a
machine with a mistake in its place, to see that the mistake is found.
"""

from collections.abc import Iterator
from typing import NamedTuple

from minicheck import Protocol

from herongap.accord import Commit, CommitOutcome, SharedDocument
from herongap.etcd import membership as rules_of_leases
from herongap.etcd.follower import KeyEntry, MessageOutcome, NextAction, PrefixFollower
from herongap.etcd.membership import LeaseRequest, Membership
from herongap.etcd.messages import Event, KeyValue, RangeResponse, ResponseHeader, WatchResponse

CLUSTER = 7
KEYS = ("drain", "streamer")


# The follower's world.


class Stream(NamedTuple):
    """A watch as its server has it: the member, the next revision it sends, what is on its way."""

    member: int
    next: int
    queue: tuple = ()


class Store(NamedTuple):
    """The world beside the follower. An op is a key that is put, or (from 2 on) deleted."""

    ops: tuple[int, ...] = ()
    compacted: int = 0
    behind: int = 0  # where the second member stands

    def at(self, revision: int) -> dict[str, KeyEntry]:
        """The truth at a revision; the empty store's is 1."""
        items: dict[str, KeyEntry] = {}
        for rev, op in enumerate(self.ops[: max(0, revision - 1)], 2):
            key = KEYS[op % 2]
            if op >= 2:
                items.pop(key, None)
            else:
                create = items[key].create_revision if key in items else rev
                items[key] = KeyEntry(b"%d" % rev, create, rev)
        return items

    def revision(self, member: int) -> int:
        return 1 + (len(self.ops) if member == 0 else self.behind)

    def event(self, revision: int) -> Event:
        op = self.ops[revision - 2]
        key = KEYS[op % 2].encode()
        if op >= 2:
            return Event(KeyValue(key, mod_revision=revision), "DELETE")
        item = self.at(revision)[KEYS[op % 2]]
        return Event(KeyValue(key, item.value, item.create_revision, item.mod_revision))


def _freeze(f: PrefixFollower) -> tuple:
    pages = None if f._pages is None else tuple(sorted(f._pages.items()))
    parts = tuple((e.kv.mod_revision) for e in f._fragments)
    return (
        f.revision,
        f.highest_revision,
        f.next_action,
        f.watching,
        tuple(sorted(f.items.items())),
        pages,
        f._read_revision,
        parts,
    )


def _thaw(state: tuple, store: Store, make: type) -> PrefixFollower:
    revision, seen, need, watching, items, pages, at, parts = state
    f = make(CLUSTER, revision, dict(items))
    f.highest_revision, f.next_action, f.watching = seen, need, watching
    f._pages, f._read_revision = None if pages is None else dict(pages), at
    f._fragments = [store.event(rev) for rev in parts]
    return f


def _message(store: Store, sent: tuple) -> WatchResponse:
    kind, revision, *rest = sent
    header = ResponseHeader(CLUSTER, revision=revision)
    match kind:
        case "created":
            return WatchResponse(header, created=True)
        case "cancel":
            return WatchResponse(header, canceled=True, compact_revision=rest[0])
        case "progress":
            return WatchResponse(header)
    return WatchResponse(header, fragment=kind == "fragment", events=[store.event(rev) for rev in rest])


def follower_model(ops: int = 3, make: type = PrefixFollower, repeats: bool = True) -> Protocol:
    """The world with at most `ops` changes of the store; `make` is the follower that is checked."""

    def moves(state: tuple) -> Iterator[tuple[str, tuple]]:
        store, frozen, stream, _ = state
        if len(store.ops) < ops:
            truth = store.at(store.revision(0))
            for op in range(4):
                if op < 2 or KEYS[op % 2] in truth:
                    name = f"{'delete' if op >= 2 else 'put'} {KEYS[op % 2]}"
                    yield name, (store._replace(ops=(*store.ops, op)), frozen, stream, False)
        if store.behind < len(store.ops):
            yield "member catches up", (store._replace(behind=store.behind + 1), frozen, stream, False)
        if store.compacted < store.revision(0):
            yield "compact", (store._replace(compacted=store.revision(0)), frozen, stream, False)
        if stream is None:
            yield from reads(store, frozen) if frozen[2] is NextAction.READ else watches(store, frozen)
            return
        yield "cut", after(store, frozen, None, lambda f: f.stop_watch(f.watch_number))
        yield from sends(store, frozen, stream)
        if stream.queue:
            sent, *rest = stream.queue
            shorter = stream._replace(queue=tuple(rest))
            yield (
                f"deliver {sent}",
                after(
                    store, frozen, shorter, lambda f: f.handle_watch(f.watch_number, _message(store, sent))
                ),
            )

    def after(store: Store, frozen: tuple, stream: Stream | None, call) -> tuple:
        f = _thaw(frozen, store, make)
        told = call(f)
        if told in (MessageOutcome.MEMBER_BEHIND, MessageOutcome.CANCELED, MessageOutcome.COMPACTED):
            # What the client does then: it lets go of this stream.
            f.stop_watch(f.watch_number)
            stream = None
        older = f.revision < frozen[0] or any(
            key in f.items and f.items[key].mod_revision < item.mod_revision for key, item in frozen[4]
        )
        return store, _freeze(f), stream, older

    def reads(store: Store, frozen: tuple) -> Iterator:
        for member in (0, 1):
            start, pinned = _thaw(frozen, store, make).next_page_start()
            here = store.revision(member)
            if pinned and (pinned < store.compacted or pinned > here):
                yield f"read refused by {member}", after(store, frozen, None, lambda f: f.abort_read())
                continue
            items = sorted((k, v) for k, v in store.at(pinned or here).items() if k > start)
            page = [KeyValue(k.encode(), v.value, v.create_revision, v.mod_revision) for k, v in items[:1]]
            reply = RangeResponse(ResponseHeader(CLUSTER, revision=here), page, more=len(items) > 1)
            yield f"read a page of {member}", after(store, frozen, None, lambda f, r=reply: f.handle_page(r))
        yield "read breaks", after(store, frozen, None, lambda f: f.abort_read())

    def watches(store: Store, frozen: tuple) -> Iterator:
        for member in (0, 1):
            f = _thaw(frozen, store, make)
            _, start = f.start_watch()
            here = store.revision(member)
            queue: tuple = (("created", here),)
            if start <= store.compacted and start <= here:
                queue += (("cancel", here, store.compacted),)
            yield f"watch {member} from {start}", (store, _freeze(f), Stream(member, start, queue), False)

    def sends(store: Store, frozen: tuple, stream: Stream) -> Iterator:
        here, first = store.revision(stream.member), stream.next
        if len(stream.queue) > 1 or any(sent[0] == "cancel" for sent in stream.queue):
            return
        if first <= here:
            sent = ("events", here, first)
            yield "send", (store, frozen, stream._replace(next=first + 1, queue=(*stream.queue, sent)), False)
            if repeats:
                yield "send twice", (store, frozen, stream._replace(queue=(*stream.queue, sent)), False)
        if first < here:
            halves = ("fragment", here, first), ("events", here, first + 1)
            longer = (*stream.queue, *halves)
            yield "send in fragments", (store, frozen, stream._replace(next=first + 2, queue=longer), False)
        if first > here and not stream.queue:
            yield "progress", (store, frozen, stream._replace(queue=(("progress", here),)), False)

    def true(state: dict) -> bool:
        store, (revision, _, _, _, items, *_) = state["store"], state["follower"]
        return not revision or dict(items) == store.at(revision)

    def steady(state: dict) -> bool:
        store, (revision, _, need, watching, *_) = state["store"], state["follower"]
        return need is NextAction.WATCH and watching and revision == store.revision(0)

    return Protocol(
        name="following",
        candidate=False,
        fields=("store", "follower", "stream", "older"),
        initial=(Store(), _freeze(make(CLUSTER)), None, False),
        transitions=lambda state: list(moves(state)),
        invariants={
            "the mirror is the truth at its revision": true,
            "no older state after a newer one": lambda state: not state["older"],
        },
        goal=steady,
    )


# The world of leases.

TTL = 3


class Server(NamedTuple):
    """Leases by the seconds that they have left, and who holds the number."""

    left: tuple[int, int] = (0, 0)
    holder: int | None = None


class Mail(NamedTuple):
    """A request on its way (`answer` None) or its answer; `age` is how long ago it was sent."""

    step: LeaseRequest
    age: int
    answer: int | None = None


def _off(m: Membership) -> tuple:
    """A membership by times from now; what is long past is all one."""
    return m.lease, m.claimed, max(-1.0, m.trusted_until), max(0.0, m.next_due)


def _on(state: tuple, make: type) -> Membership:
    m = make(1, 2, TTL)
    m.lease, m.claimed, m.trusted_until, m.next_due = state
    return m


def lease_model(make: type = Membership) -> Protocol:
    """Two controllers, of which one may be paused for any time, and requests that take any time."""

    def moves(state: tuple) -> Iterator[tuple[str, tuple]]:
        server, ours, mail = state
        left = tuple(max(0, seconds - 1) for seconds in server.left)
        holder = server.holder if server.holder is not None and left[server.holder] else None
        older = tuple((m[0], m[1], max(-1.0, m[2] - 1), max(0.0, m[3] - 1)) for m in ours)
        aged = tuple(m and m._replace(age=min(TTL + 2, m.age + 1)) for m in mail)
        yield "a second passes", (Server(left, holder), older, aged)
        for who in (0, 1):
            m = _on(ours[who], make)
            if mail[who] is None:
                step = m.next_request(0.0)
                if step:
                    yield f"{who} asks to {step.value}", put(state, who, m, Mail(step, 0))
            elif mail[who].answer is None:
                yield f"the server meets {who}", met(state, who)
                yield f"{who}'s request is lost", put(state, who, failed(m), None)
            else:
                yield f"{who} hears", put(state, who, heard(m, mail[who]), None)
                yield f"{who}'s answer is lost", put(state, who, failed(m), None)

    def put(state: tuple, who: int, m: Membership, sent: Mail | None) -> tuple:
        server, ours, mail = state
        ours, mail = list(ours), list(mail)
        ours[who], mail[who] = _off(m), sent
        return server, tuple(ours), tuple(mail)

    def met(state: tuple, who: int) -> tuple:
        server, ours, mail = state
        left, holder, sent = list(server.left), server.holder, mail[who]
        if sent.step is LeaseRequest.GRANT:
            left[who], answer = TTL, 1
            holder = None if holder == who else holder  # another lease: the number was put under the old one
        elif sent.step is LeaseRequest.KEEP_ALIVE:
            answer = TTL if left[who] else 0
            left[who] = answer
        else:
            answer = int(bool(left[who]) and holder is None)
            holder = who if answer else holder
        mail = list(mail)
        mail[who] = sent._replace(answer=answer)
        return Server(tuple(left), holder), ours, tuple(mail)

    def failed(m: Membership) -> Membership:
        m.request_failed(0.0)
        return m

    def heard(m: Membership, sent: Mail) -> Membership:
        at = float(-sent.age)
        if sent.step is LeaseRequest.GRANT:
            m.lease_granted(at, 1, TTL)
        elif sent.step is LeaseRequest.KEEP_ALIVE:
            m.keepalive_answered(at, sent.answer)
        else:
            m.claim_answered(0.0, at, bool(sent.answer))
        return m

    def one(state: dict) -> bool:
        return sum(_on(m, make).holds_number(0.0) for m in state["controllers"]) < 2

    def truly(state: dict) -> bool:
        held = [who for who, m in enumerate(state["controllers"]) if _on(m, make).holds_number(0.0)]
        return all(state["server"].holder == who for who in held)

    start = _off(make(1, 2, TTL))
    return Protocol(
        name="leasing",
        candidate=False,
        fields=("server", "controllers", "mail"),
        initial=(Server(), (start, start), (None, None)),
        transitions=lambda state: list(moves(state)),
        invariants={
            "one number, one holder": one,
            "who trusts its number holds it at the server": truly,
        },
        goal=lambda state: any(_on(m, make).holds_number(0.0) for m in state["controllers"]),
    )


# The ledger's world.


class Shelf(NamedTuple):
    """The store's document: its version, its bytes, and how many commits of each writer were taken."""

    version: int = 0
    data: bytes | None = None
    taken: tuple[int, int] = (0, 0)


class Flight(NamedTuple):
    """A commit on its way to the store, or (`answer`) what the store said to it on its way back."""

    who: int
    commit: Commit
    answer: tuple | None = None


def document_model(commits: int = 2, make: type = SharedDocument, max_in_flight: int = 2) -> Protocol:
    """Two writers of `commits` each; requests and answers are lost, late and doubled at will."""

    def on(who: int, state: tuple) -> SharedDocument:
        ledger = make(str(who), 1)
        ledger.revision, ledger.version, data, ledger.pending, ledger.uncertain, ledger.commit_count, _ = (
            state
        )
        ledger._load(data)
        return ledger

    def off(ledger: SharedDocument, data: bytes | None, done: int) -> tuple:
        return (
            ledger.revision,
            ledger.version,
            data,
            ledger.pending,
            ledger.uncertain,
            ledger.commit_count,
            done,
        )

    def moves(state: tuple) -> Iterator[tuple[str, tuple]]:
        shelf, writers, sky = state
        for who, kept in enumerate(writers):

            def put(ledger: SharedDocument, sky: tuple, told=None, data=kept[2], who=who, kept=kept) -> tuple:
                there = data if ledger.version != kept[1] or kept[2] is None else kept[2]
                now = off(ledger, there, kept[6] + (told is CommitOutcome.COMMITTED))
                return shelf, tuple(now if i == who else w for i, w in enumerate(writers)), sky

            mine = sum(f.who == who for f in sky)
            ledger = on(who, kept)
            told = ledger.observe(shelf.version, shelf.version, shelf.data)
            yield f"{who} reads", put(ledger, sky, told, shelf.data)
            ledger = on(who, kept)
            if ledger.pending is None and ledger.commit_count < commits and mine < max_in_flight:
                commit = ledger.propose(sum(shelf.taken))
                if commit:
                    yield f"{who} commits", put(ledger, (*sky, Flight(who, commit)))
            elif ledger.pending is not None and not ledger.uncertain:
                ledger.handle_unknown_outcome()
                yield f"{who} hears nothing", put(ledger, sky)
            elif (commit := ledger.commit_to_resend()) and mine < max_in_flight:
                yield f"{who} sends it again", put(ledger, (*sky, Flight(who, commit)))
        for i, f in enumerate(sky):
            rest = sky[:i] + sky[i + 1 :]
            yield f"what is on its way of {f.who} is lost", (shelf, writers, rest)
            if f.answer is None:
                won = f.commit.base_version == shelf.version
                taken = tuple(n + (won and w == f.who) for w, n in enumerate(shelf.taken))
                there = Shelf(shelf.version + 1, f.commit.data, taken) if won else shelf
                back = f._replace(answer=(there.version, won, there.version, there.data))
                yield f"the store meets {f.who}", (there, writers, (*rest, back))
                yield f"the store meets {f.who}, and a copy goes on", (there, writers, (*sky, back)[:4])
                continue
            ledger = on(f.who, writers[f.who])
            told = ledger.handle_reply(f.commit, *f.answer)
            kept = writers[f.who]
            data = f.answer[3] if ledger.version == f.answer[2] else kept[2]
            now = off(ledger, data, kept[6] + (told is CommitOutcome.COMMITTED))
            yield f"{f.who} hears", (
                shelf, tuple(now if w == f.who else k for w, k in enumerate(writers)), rest
            )  # fmt: skip

    def true(state: dict) -> bool:
        """Who has nothing out knows exactly how many of its commits were taken."""
        return all(
            w[6] == n if w[3] is None else w[6] in (n, n - 1)
            for w, n in zip(state["writers"], state["shelf"].taken, strict=True)
        )

    start = (-1, 0, None, None, False, 0, 0)
    return Protocol(
        name="settling",
        candidate=False,
        fields=("shelf", "writers", "sky"),
        initial=(Shelf(), (start, start), ()),
        transitions=lambda state: list(moves(state)),
        invariants={"a commit that is told to be done was taken, and no other was": true},
        goal=lambda state: state["shelf"].taken == (commits, commits),
    )


# Machines with a mistake, each with what must be found.


class Skips(PrefixFollower):
    """Watches from one revision too late."""

    def start_watch(self):
        turn, start = super().start_watch()
        return turn, start + 1


class Trusts(PrefixFollower):
    """Believes a member that is behind."""

    def handle_page(self, reply):
        self.highest_revision = 0
        return super().handle_page(reply)


class GoesOn(PrefixFollower):
    """Watches on from where the history begins, after a compaction."""

    def handle_watch(self, turn, reply):
        told = super().handle_watch(turn, reply)
        if told is MessageOutcome.COMPACTED:
            self.next_action, self.revision = NextAction.WATCH, max(self.revision, reply.compact_revision)
        return told


class Halves(PrefixFollower):
    """Takes what lies between two fragments for whole."""

    def handle_watch(self, turn, reply):
        told = super().handle_watch(turn, reply)
        if told is MessageOutcome.PARTIAL:
            self.revision = max(self.revision, reply.header.revision)
        return told


class TrustsLate(Membership):
    """Counts a lease from when its answer came."""

    def lease_granted(self, sent, lease, ttl):
        super().lease_granted(0.0, lease, ttl)

    def keepalive_answered(self, sent, ttl):
        super().keepalive_answered(0.0, ttl)


class Stretches(Membership):
    """Takes a won claim for a renewal of its lease."""

    def claim_answered(self, now, sent, won):
        super().claim_answered(now, sent, won)
        self.trusted_until = max(self.trusted_until, sent + self.ttl - rules_of_leases.CLOCK_MARGIN_SECONDS)


class GivesUp(SharedDocument):
    """Takes a commit without an answer for one that was not taken."""

    def handle_unknown_outcome(self):
        self.pending, self.uncertain = None, False


class Reads(SharedDocument):
    """Takes a document that still has the version known for a proof that its commit never will be taken."""

    def observe(self, revision, version, data):
        told = super().observe(revision, version, data)
        if told is None and self.uncertain:
            self.pending, self.uncertain = None, False
        return told


FAULTY_VARIANTS = (Skips, Trusts, GoesOn, Halves, TrustsLate, Stretches, GivesUp, Reads)


def faulty_model(mistake: type, ops: int = 3) -> Protocol:
    """The world of a machine with that mistake."""
    if issubclass(mistake, SharedDocument):
        return document_model(ops, mistake)
    return lease_model(mistake) if issubclass(mistake, Membership) else follower_model(ops, mistake)
