"""Small models in which minicheck checks the shipped state machines over all interleavings.

- `follower_model`: a store with two keys, its leader, a member that lags behind, and one follower whose watch
  may be cut, repeated, fragmented or overtaken by a compaction at any moment (`etcd.PrefixFollower`).
- `lease_model`: a lease server and two controllers that claim one number (`etcd.Membership`).
- `document_model`: a store with one document and two writers (`accord.SharedDocument`).

The transitions run the shipped classes themselves: each one restores the machine from the model's state,
calls it, and saves its state again. `faulty_model` runs a variant with a seeded mistake instead, to show that
the checker finds the mistake.
"""

from collections.abc import Iterator
from typing import NamedTuple

from minicheck import Protocol

from herongap.accord import Commit, CommitOutcome, SharedDocument
from herongap.etcd import membership as lease_rules
from herongap.etcd.follower import KeyEntry, MessageOutcome, NextAction, PrefixFollower
from herongap.etcd.membership import LeaseRequest, Membership
from herongap.etcd.messages import Event, KeyValue, RangeResponse, ResponseHeader, WatchResponse

CLUSTER_ID = 7
KEYS = ("drain", "streamer")
FIRST_DELETE = 2  # operations below this put the key of that index, the others delete key `op % 2`


# The follower of a prefix.


class WatchStream(NamedTuple):
    """The server's side of a watch: its member, the next revision to send, and the messages in flight."""

    member: int
    next_revision: int
    in_flight: tuple = ()


class StoreHistory(NamedTuple):
    """The store: its operations so far, the compacted revision, and how far the second member has applied."""

    operations: tuple[int, ...] = ()
    compacted: int = 0
    applied_by_second: int = 0

    def at(self, revision: int) -> dict[str, KeyEntry]:
        """The content at a revision; the empty store has revision 1."""
        items: dict[str, KeyEntry] = {}
        for op_revision, op in enumerate(self.operations[: max(0, revision - 1)], 2):
            key = KEYS[op % 2]
            if op >= FIRST_DELETE:
                items.pop(key, None)
            else:
                create_revision = items[key].create_revision if key in items else op_revision
                items[key] = KeyEntry(b"%d" % op_revision, create_revision, op_revision)
        return items

    def revision(self, member: int) -> int:
        """The revision of a member: 0 is the leader, 1 the member that lags."""
        return 1 + (len(self.operations) if member == 0 else self.applied_by_second)

    def event(self, revision: int) -> Event:
        """The watch event of the operation at a revision."""
        op = self.operations[revision - 2]
        key = KEYS[op % 2].encode()
        if op >= FIRST_DELETE:
            return Event(KeyValue(key, mod_revision=revision), "DELETE")
        item = self.at(revision)[KEYS[op % 2]]
        return Event(KeyValue(key, item.value, item.create_revision, item.mod_revision))


class FollowerState(NamedTuple):
    """The saved state of a `PrefixFollower`."""

    revision: int
    highest_revision: int
    next_action: NextAction
    watching: bool
    items: tuple
    pages: tuple | None
    read_revision: int
    fragment_revisions: tuple


def _save_follower(follower: PrefixFollower) -> FollowerState:
    return FollowerState(
        revision=follower.revision,
        highest_revision=follower.highest_revision,
        next_action=follower.next_action,
        watching=follower.watching,
        items=tuple(sorted(follower.items.items())),
        pages=None if follower._pages is None else tuple(sorted(follower._pages.items())),
        read_revision=follower._read_revision,
        fragment_revisions=tuple(event.kv.mod_revision for event in follower._fragments),
    )


def _restore_follower(saved: FollowerState, store: StoreHistory, follower_type: type) -> PrefixFollower:
    follower = follower_type(CLUSTER_ID, saved.revision, dict(saved.items))
    follower.highest_revision = saved.highest_revision
    follower.next_action, follower.watching = saved.next_action, saved.watching
    follower._pages = None if saved.pages is None else dict(saved.pages)
    follower._read_revision = saved.read_revision
    follower._fragments = [store.event(revision) for revision in saved.fragment_revisions]
    return follower


def _watch_response(store: StoreHistory, message: tuple) -> WatchResponse:
    kind, revision, *rest = message
    header = ResponseHeader(CLUSTER_ID, revision=revision)
    match kind:
        case "created":
            return WatchResponse(header, created=True)
        case "cancel":
            return WatchResponse(header, canceled=True, compact_revision=rest[0])
        case "progress":
            return WatchResponse(header)
    events = [store.event(event_revision) for event_revision in rest]
    return WatchResponse(header, fragment=kind == "fragment", events=events)


def follower_model(
    max_operations: int = 3, follower_type: type = PrefixFollower, repeats: bool = True
) -> Protocol:
    """The model with at most `max_operations` changes of the store; `follower_type` is checked."""

    def transitions(state: tuple) -> Iterator[tuple[str, tuple]]:
        store, saved, stream, _ = state
        if len(store.operations) < max_operations:
            content = store.at(store.revision(0))
            for op in range(4):
                if op < FIRST_DELETE or KEYS[op % 2] in content:
                    label = f"{'delete' if op >= FIRST_DELETE else 'put'} {KEYS[op % 2]}"
                    new_store = store._replace(operations=(*store.operations, op))
                    yield label, (new_store, saved, stream, False)
        if store.applied_by_second < len(store.operations):
            new_store = store._replace(applied_by_second=store.applied_by_second + 1)
            yield "second member applies an operation", (new_store, saved, stream, False)
        if store.compacted < store.revision(0):
            yield "compact", (store._replace(compacted=store.revision(0)), saved, stream, False)
        if stream is None:
            yield from reads(store, saved) if saved.next_action is NextAction.READ else watches(store, saved)
            return
        yield "cut", after(store, saved, None, lambda follower: follower.stop_watch(follower.watch_number))
        yield from sends(store, saved, stream)
        if stream.in_flight:
            message, *rest = stream.in_flight
            remaining = stream._replace(in_flight=tuple(rest))
            yield (
                f"deliver {message}",
                after(
                    store,
                    saved,
                    remaining,
                    lambda follower: follower.handle_watch(
                        follower.watch_number, _watch_response(store, message)
                    ),
                ),
            )

    def after(store: StoreHistory, saved: FollowerState, stream: WatchStream | None, call) -> tuple:
        """The state after a call to the follower."""
        follower = _restore_follower(saved, store, follower_type)
        outcome = call(follower)
        if outcome in (MessageOutcome.MEMBER_BEHIND, MessageOutcome.CANCELED, MessageOutcome.COMPACTED):
            # The client closes the stream on these outcomes.
            follower.stop_watch(follower.watch_number)
            stream = None
        went_back = follower.revision < saved.revision or any(
            key in follower.items and follower.items[key].mod_revision < item.mod_revision
            for key, item in saved.items
        )
        return store, _save_follower(follower), stream, went_back

    def reads(store: StoreHistory, saved: FollowerState) -> Iterator:
        for member in (0, 1):
            start, pinned = _restore_follower(saved, store, follower_type).next_page_start()
            revision = store.revision(member)
            if pinned and (pinned < store.compacted or pinned > revision):
                new_state = after(store, saved, None, lambda follower: follower.abort_read())
                yield f"read rejected by member {member}", new_state
                continue
            items = sorted((k, v) for k, v in store.at(pinned or revision).items() if k > start)
            page = [KeyValue(k.encode(), v.value, v.create_revision, v.mod_revision) for k, v in items[:1]]
            reply = RangeResponse(ResponseHeader(CLUSTER_ID, revision=revision), page, more=len(items) > 1)
            yield (
                f"read a page from member {member}",
                after(store, saved, None, lambda follower, reply=reply: follower.handle_page(reply)),
            )
        yield "read fails", after(store, saved, None, lambda follower: follower.abort_read())

    def watches(store: StoreHistory, saved: FollowerState) -> Iterator:
        for member in (0, 1):
            follower = _restore_follower(saved, store, follower_type)
            _, start = follower.start_watch()
            revision = store.revision(member)
            in_flight: tuple = (("created", revision),)
            if start <= store.compacted and start <= revision:
                in_flight += (("cancel", revision, store.compacted),)
            stream = WatchStream(member, start, in_flight)
            yield (
                f"watch member {member} from {start}",
                (store, _save_follower(follower), stream, False),
            )

    def sends(store: StoreHistory, saved: FollowerState, stream: WatchStream) -> Iterator:
        revision, first = store.revision(stream.member), stream.next_revision
        in_flight = stream.in_flight
        if len(in_flight) > 1 or any(message[0] == "cancel" for message in in_flight):
            return
        if first <= revision:
            message = ("events", revision, first)
            sent = stream._replace(next_revision=first + 1, in_flight=(*in_flight, message))
            yield "send", (store, saved, sent, False)
            if repeats:
                repeated = stream._replace(in_flight=(*in_flight, message))
                yield "send twice", (store, saved, repeated, False)
        if first < revision:
            fragments = ("fragment", revision, first), ("events", revision, first + 1)
            sent = stream._replace(next_revision=first + 2, in_flight=(*in_flight, *fragments))
            yield "send in fragments", (store, saved, sent, False)
        if first > revision and not in_flight:
            sent = stream._replace(in_flight=(("progress", revision),))
            yield "progress", (store, saved, sent, False)

    def content_is_exact(state: dict) -> bool:
        store, follower = state["store"], state["follower"]
        return not follower.revision or dict(follower.items) == store.at(follower.revision)

    def caught_up(state: dict) -> bool:
        store, follower = state["store"], state["follower"]
        return (
            follower.next_action is NextAction.WATCH
            and follower.watching
            and follower.revision == store.revision(0)
        )

    return Protocol(
        name="following",  # the name in the output of benchmarks/etcd.py
        candidate=False,
        fields=("store", "follower", "stream", "went_back"),
        initial=(StoreHistory(), _save_follower(follower_type(CLUSTER_ID)), None, False),
        transitions=lambda state: list(transitions(state)),
        invariants={
            "the follower's content is exact at its revision": content_is_exact,
            "no older state after a newer one": lambda state: not state["went_back"],
        },
        goal=caught_up,
    )


# Leases and the controllers' numbers.

TTL_SECONDS = 3
MAX_MESSAGE_AGE_SECONDS = TTL_SECONDS + 2  # older messages are all one state


class LeaseServer(NamedTuple):
    """The remaining seconds of each controller's lease, and which controller holds the number."""

    seconds_left: tuple[int, int] = (0, 0)
    holder: int | None = None


class LeaseMessage(NamedTuple):
    """A request in flight (`answer` is None) or its answer; `age`: seconds since the request was sent."""

    request: LeaseRequest
    age: int
    answer: int | None = None


def _save_membership(membership: Membership) -> tuple:
    """The state with times relative to now; all times that passed long ago are one value."""
    return (
        membership.lease,
        membership.claimed,
        max(-1.0, membership.trusted_until),
        max(0.0, membership.next_due),
    )


def _restore_membership(saved: tuple, membership_type: type) -> Membership:
    membership = membership_type(1, 2, TTL_SECONDS)
    membership.lease, membership.claimed, membership.trusted_until, membership.next_due = saved
    return membership


def lease_model(membership_type: type = Membership) -> Protocol:
    """Two controllers, of which either may be paused for any time, and messages that may take any time."""

    def transitions(state: tuple) -> Iterator[tuple[str, tuple]]:
        server, controllers, messages = state
        seconds_left = tuple(max(0, seconds - 1) for seconds in server.seconds_left)
        holder = server.holder if server.holder is not None and seconds_left[server.holder] else None
        older = tuple((c[0], c[1], max(-1.0, c[2] - 1), max(0.0, c[3] - 1)) for c in controllers)
        aged = tuple(m and m._replace(age=min(MAX_MESSAGE_AGE_SECONDS, m.age + 1)) for m in messages)
        yield "a second passes", (LeaseServer(seconds_left, holder), older, aged)
        for i in (0, 1):
            membership = _restore_membership(controllers[i], membership_type)
            message = messages[i]
            if message is None:
                request = membership.next_request(0.0)
                if request:
                    sent = LeaseMessage(request, 0)
                    yield f"{i} sends a request to {request.value}", updated(state, i, membership, sent)
            elif message.answer is None:
                yield f"the server answers {i}", answered(state, i)
                yield f"the request of {i} is lost", updated(state, i, failed(membership), None)
            else:
                yield f"{i} receives the answer", updated(state, i, received(membership, message), None)
                yield f"the answer to {i} is lost", updated(state, i, failed(membership), None)

    def updated(state: tuple, i: int, membership: Membership, message: LeaseMessage | None) -> tuple:
        server, controllers, messages = state
        controllers, messages = list(controllers), list(messages)
        controllers[i], messages[i] = _save_membership(membership), message
        return server, tuple(controllers), tuple(messages)

    def answered(state: tuple, i: int) -> tuple:
        server, controllers, messages = state
        seconds_left, holder, message = list(server.seconds_left), server.holder, messages[i]
        if message.request is LeaseRequest.GRANT:
            seconds_left[i], answer = TTL_SECONDS, 1
            # The number was claimed under the earlier lease, so a new lease does not hold it.
            holder = None if holder == i else holder
        elif message.request is LeaseRequest.KEEP_ALIVE:
            answer = TTL_SECONDS if seconds_left[i] else 0
            seconds_left[i] = answer
        else:
            answer = int(bool(seconds_left[i]) and holder is None)
            holder = i if answer else holder
        messages = list(messages)
        messages[i] = message._replace(answer=answer)
        return LeaseServer(tuple(seconds_left), holder), controllers, tuple(messages)

    def failed(membership: Membership) -> Membership:
        membership.request_failed(0.0)
        return membership

    def received(membership: Membership, message: LeaseMessage) -> Membership:
        sent_at = float(-message.age)
        if message.request is LeaseRequest.GRANT:
            membership.lease_granted(sent_at, 1, TTL_SECONDS)
        elif message.request is LeaseRequest.KEEP_ALIVE:
            membership.keepalive_answered(sent_at, message.answer)
        else:
            membership.claim_answered(0.0, sent_at, bool(message.answer))
        return membership

    def holders(state: dict) -> list[int]:
        """The controllers that believe that they hold the number."""
        return [
            i
            for i, saved in enumerate(state["controllers"])
            if _restore_membership(saved, membership_type).holds_number(0.0)
        ]

    def at_most_one_holder(state: dict) -> bool:
        return len(holders(state)) < 2

    def holders_agree_with_server(state: dict) -> bool:
        return all(state["server"].holder == i for i in holders(state))

    start = _save_membership(membership_type(1, 2, TTL_SECONDS))
    return Protocol(
        name="leasing",  # the name in the output of benchmarks/etcd.py
        candidate=False,
        fields=("server", "controllers", "messages"),
        initial=(LeaseServer(), (start, start), (None, None)),
        transitions=lambda state: list(transitions(state)),
        invariants={
            "at most one controller holds the number": at_most_one_holder,
            "a controller that trusts its number holds it at the server": holders_agree_with_server,
        },
        goal=lambda state: bool(holders(state)),
    )


# A shared document.


class DocumentState(NamedTuple):
    """The store's document: its version, its data, and the number of accepted commits of each writer."""

    version: int = 0
    data: bytes | None = None
    accepted: tuple[int, int] = (0, 0)


class CommitInFlight(NamedTuple):
    """A commit on its way to the store or, with a `reply`, the store's reply on its way back."""

    writer: int
    commit: Commit
    reply: tuple | None = None


class WriterState(NamedTuple):
    """The saved state of a writer's `SharedDocument`, and how many commits it knows to be accepted."""

    revision: int = -1
    version: int = 0
    data: bytes | None = None
    pending: Commit | None = None
    uncertain: bool = False
    commit_count: int = 0
    committed: int = 0


def _save_document(document: SharedDocument, data: bytes | None, committed: int) -> WriterState:
    return WriterState(
        document.revision,
        document.version,
        data,
        document.pending,
        document.uncertain,
        document.commit_count,
        committed,
    )


def _restore_document(writer: int, saved: WriterState, document_type: type) -> SharedDocument:
    document = document_type(str(writer), 1)
    document.revision, document.version, document.pending = saved.revision, saved.version, saved.pending
    document.uncertain, document.commit_count = saved.uncertain, saved.commit_count
    document._load(saved.data)
    return document


def document_model(
    commits: int = 2, document_type: type = SharedDocument, max_in_flight: int = 2
) -> Protocol:
    """Two writers of `commits` each; any request or reply may be lost, late or duplicated."""

    def transitions(state: tuple) -> Iterator[tuple[str, tuple]]:
        stored, writers, in_flight = state
        for writer, saved in enumerate(writers):

            def successor(
                document: SharedDocument,
                in_flight: tuple,
                outcome=None,
                data=saved.data,
                writer=writer,
                saved=saved,
            ) -> tuple:
                keep_data = document.version == saved.version and saved.data is not None
                committed = saved.committed + (outcome is CommitOutcome.COMMITTED)
                new = _save_document(document, saved.data if keep_data else data, committed)
                new_writers = tuple(new if i == writer else other for i, other in enumerate(writers))
                return stored, new_writers, in_flight

            own_in_flight = sum(flight.writer == writer for flight in in_flight)
            document = _restore_document(writer, saved, document_type)
            outcome = document.observe(stored.version, stored.version, stored.data)
            yield f"{writer} reads", successor(document, in_flight, outcome, stored.data)
            document = _restore_document(writer, saved, document_type)
            may_send = own_in_flight < max_in_flight
            if document.pending is None and document.commit_count < commits and may_send:
                commit = document.propose(sum(stored.accepted))
                if commit:
                    sent = (*in_flight, CommitInFlight(writer, commit))
                    yield f"{writer} commits", successor(document, sent)
            elif document.pending is not None and not document.uncertain:
                document.handle_unknown_outcome()
                yield f"{writer} receives no reply", successor(document, in_flight)
            elif (commit := document.commit_to_resend()) and may_send:
                sent = (*in_flight, CommitInFlight(writer, commit))
                yield f"{writer} sends the commit again", successor(document, sent)
        for i, flight in enumerate(in_flight):
            others = in_flight[:i] + in_flight[i + 1 :]
            writer = flight.writer
            yield f"a message of {writer} is lost", (stored, writers, others)
            if flight.reply is None:
                won = flight.commit.base_version == stored.version
                accepted = tuple(n + (won and w == writer) for w, n in enumerate(stored.accepted))
                new = DocumentState(stored.version + 1, flight.commit.data, accepted) if won else stored
                reply = flight._replace(reply=(new.version, won, new.version, new.data))
                yield f"the store receives the commit of {writer}", (new, writers, (*others, reply))
                yield (
                    f"the store receives the commit of {writer}; a duplicate stays in flight",
                    (new, writers, (*in_flight, reply)[:4]),
                )
                continue
            saved = writers[writer]
            document = _restore_document(writer, saved, document_type)
            outcome = document.handle_reply(flight.commit, *flight.reply)
            data = flight.reply[3] if document.version == flight.reply[2] else saved.data
            committed = saved.committed + (outcome is CommitOutcome.COMMITTED)
            new_writer = _save_document(document, data, committed)
            new_writers = tuple(new_writer if w == writer else other for w, other in enumerate(writers))
            yield f"{writer} receives the reply", (stored, new_writers, others)

    def outcomes_are_correct(state: dict) -> bool:
        """A writer without a pending commit knows exactly how many of its commits were accepted."""
        return all(
            writer.committed == accepted
            if writer.pending is None
            else writer.committed in (accepted, accepted - 1)
            for writer, accepted in zip(state["writers"], state["stored"].accepted, strict=True)
        )

    return Protocol(
        name="document_model",
        candidate=False,
        fields=("stored", "writers", "in_flight"),
        initial=(DocumentState(), (WriterState(), WriterState()), ()),
        transitions=lambda state: list(transitions(state)),
        invariants={"a commit reported as done was accepted, and no other was": outcomes_are_correct},
        goal=lambda state: state["stored"].accepted == (commits, commits),
    )


# Variants with a seeded mistake, which the checker must find.


class WatchesOneRevisionLate(PrefixFollower):
    """Starts its watch one revision too late."""

    def start_watch(self):
        watch_number, start = super().start_watch()
        return watch_number, start + 1


class TrustsLaggingMember(PrefixFollower):
    """Accepts a page from a member that is behind."""

    def handle_page(self, reply):
        self.highest_revision = 0
        return super().handle_page(reply)


class WatchesOnAfterCompaction(PrefixFollower):
    """After a compaction, resumes the watch where the history begins instead of reading again."""

    def handle_watch(self, turn, reply):
        outcome = super().handle_watch(turn, reply)
        if outcome is MessageOutcome.COMPACTED:
            self.next_action, self.revision = NextAction.WATCH, max(self.revision, reply.compact_revision)
        return outcome


class AppliesPartOfFragments(PrefixFollower):
    """Advances its revision after the first of several fragments."""

    def handle_watch(self, turn, reply):
        outcome = super().handle_watch(turn, reply)
        if outcome is MessageOutcome.PARTIAL:
            self.revision = max(self.revision, reply.header.revision)
        return outcome


class CountsLeaseFromAnswer(Membership):
    """Counts a lease from when its answer arrived, not from when its request was sent."""

    def lease_granted(self, sent, lease, ttl):
        super().lease_granted(0.0, lease, ttl)

    def keepalive_answered(self, sent, ttl):
        super().keepalive_answered(0.0, ttl)


class ClaimRenewsLease(Membership):
    """Treats a successful claim as a renewal of its lease."""

    def claim_answered(self, now, sent, won):
        super().claim_answered(now, sent, won)
        self.trusted_until = max(self.trusted_until, sent + self.ttl - lease_rules.CLOCK_MARGIN_SECONDS)


class TreatsUnknownAsRejected(SharedDocument):
    """Treats a commit without a reply as rejected."""

    def handle_unknown_outcome(self):
        self.pending, self.uncertain = None, False


class TreatsUnchangedAsRejected(SharedDocument):
    """Takes a document with an unchanged version as proof that its commit will never be accepted."""

    def observe(self, revision, version, data):
        outcome = super().observe(revision, version, data)
        if outcome is None and self.uncertain:
            self.pending, self.uncertain = None, False
        return outcome


FAULTY_VARIANTS = (
    WatchesOneRevisionLate,
    TrustsLaggingMember,
    WatchesOnAfterCompaction,
    AppliesPartOfFragments,
    CountsLeaseFromAnswer,
    ClaimRenewsLease,
    TreatsUnknownAsRejected,
    TreatsUnchangedAsRejected,
)


def faulty_model(variant: type, max_operations: int = 3) -> Protocol:
    """The model that checks this variant."""
    if issubclass(variant, SharedDocument):
        return document_model(max_operations, variant)
    if issubclass(variant, Membership):
        return lease_model(variant)
    return follower_model(max_operations, variant)
