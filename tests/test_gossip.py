"""Membership without I/O: words that merge in any order, what is judged and what is not, in virtual time."""

import random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from minicheck import check_safety

from herongap.errors import Misuse
from herongap.fleet.gossiping import Net
from herongap.fleet.rumours import rumours
from herongap.gossip import (
    Datagram,
    Gossip,
    GossipConfig,
    InvalidDatagram,
    MemberRecord,
    MemberStatus,
    MemberTable,
    decode,
    encode,
)
from herongap.gossip import messages as w

ME = MemberRecord(0, 1, 0, MemberStatus.ALIVE, "10.0.0.1", 10000, "a")
OTHER = MemberRecord(1, 5, 0, MemberStatus.ALIVE, "10.0.0.1", 10001, "b")


def said(word, **changes):
    return msgspec.structs.replace(word, **changes)


words = st.builds(
    MemberRecord, st.integers(0, 3), st.integers(1, 3), st.integers(0, 3), st.integers(0, 3),
    st.just("10.0.0.1"), st.integers(1, 65535), st.just("a"),
)  # fmt: skip


@given(st.lists(words, max_size=12), st.randoms())
def test_words_give_the_same_book_in_any_order_and_any_number_of_times(heard, chance):
    books = []
    for times in (1, 2):
        book, order = MemberTable(said(ME, number=9)), heard * times
        chance.shuffle(order)
        for word in order:
            book.merge(0.0, word)
        books.append({n: x.precedence for n, x in book.records.items()})
    assert books[0] == books[1]
    for number, rank in books[0].items():
        if number != 9:
            assert rank == max(x.precedence for x in heard if x.number == number)


def test_only_a_member_itself_raises_its_word_and_only_for_its_own_life():
    book = MemberTable(ME)
    assert book.merge(0.0, said(ME, status=MemberStatus.SUSPECT)) == ME
    assert (book.own.refutations, book.own.status) == (1, MemberStatus.ALIVE)
    for old in (
        said(ME, status=MemberStatus.GONE),
        said(ME, incarnation=0, refutations=9, status=MemberStatus.GONE),
    ):
        book.merge(0.0, old)  # answered already; another life's
    assert book.own.refutations == 1
    book.merge(0.0, said(ME, refutations=4, status=MemberStatus.GONE))
    assert book.own.refutations == 5 and book.records[0] == book.own


def test_a_late_word_about_an_old_life_changes_nothing():
    book = MemberTable(ME)
    book.merge(0.0, said(OTHER, incarnation=6))
    for late in (
        said(OTHER, refutations=9, status=MemberStatus.GONE),
        OTHER,
        said(OTHER, status=MemberStatus.LEFT),
    ):
        assert book.merge(1.0, late) is None
    assert book.records[1].incarnation == 6 and book.records[1].status == MemberStatus.ALIVE
    book.merge(2.0, said(OTHER, incarnation=6, status=MemberStatus.GONE))
    assert book.merge(3.0, said(OTHER, incarnation=6)) is None, "a late rumour revives nobody"
    assert book.merge(3.0, said(OTHER, incarnation=6, refutations=1)) is not None, "its own raised word does"


def test_names_that_ended_long_ago_do_not_pile_up():
    book = MemberTable(ME)
    for life in range(1000):
        book.merge(float(life), said(OTHER, number=1 + life, status=MemberStatus.ALIVE))
        book.merge(float(life), said(OTHER, number=1 + life, status=MemberStatus.GONE))
        book.prune(float(life))
    assert len(book.records) < 700 and len(book._send_counts) == len(book.records)


def test_datagrams_fit_and_what_cannot_be_read_is_dropped_and_counted():
    many = tuple(said(OTHER, number=n, zone="a-zone-with-a-long-name") for n in range(230))
    full = Datagram(w.VERSION, "f", w.PING, 0, 1, 1, records=many)
    data = encode(full)
    assert len(data) <= 1200 and 10 < len(decode(data, "f").records) < 230
    noise = random.Random(1).randbytes(200)
    other = encode(msgspec.structs.replace(full, fleet="g", records=()))
    newer = encode(msgspec.structs.replace(full, version=2, records=()))
    g = Gossip(0.0, ME, "f", GossipConfig(), 1)
    for bad in (b"", noise, data[:50], data + b"x", b"\x93" * 1000, other, newer, b"z" * 1201):
        with pytest.raises(InvalidDatagram) as fault:
            decode(bad, "f")
        assert fault.value.cause and fault.value.advice
        assert g.receive(0.0, bad, ("10.0.0.9", 1)) == []
    assert g.counts["unreadable"] == 8 and list(g.members.records) == [0]


def test_a_member_begins_alive():
    with pytest.raises(Misuse):
        Gossip(0.0, said(ME, status=MemberStatus.GONE), "f", GossipConfig(), 1)


def net(size, seed=1, warm=12.0, **more):
    made = Net(size, seed, **more)
    made.run(warm)
    return made


@pytest.mark.parametrize("lost", [0.0, 0.05, 0.2])
def test_a_dead_one_is_found_by_all_and_no_live_one_is_called_gone(lost):
    for seed in (1, 2):
        n = net(30, seed, warm=25.0, lost=lost)
        assert all(len(m.gossip.members.records) == 30 for m in n.members.values())
        n.kill(3)
        assert n.until(lambda n=n: n.agree(3, MemberStatus.GONE), 20) < 8
        n.run(n.clock.now + 40)
        alive = [x for x in n.members if x != 3]
        assert all(n.agree(x, MemberStatus.ALIVE) or n.agree(x, MemberStatus.SUSPECT) or lost for x in alive)
        assert all(n.standing(x, at) < MemberStatus.GONE for x in alive for at in alive)
        if lost:
            assert n.total("suspected") > 1 and n.total("refuted") > 0


def test_who_hears_one_way_only_is_neither_dead_nor_flapping():
    n = net(9)
    n.cut = lambda a, b: (a, b) == (1, 2)
    n.run(60)
    assert all(n.agree(x, MemberStatus.ALIVE) for x in range(9))
    assert n.members[2].gossip.unheard(60.0) == [1] and n.members[1].gossip.unheard_by(60.0) == [2]
    raised = [m.gossip.members.own.refutations for m in n.members.values()]
    assert max(raised) <= 2, "a pair's state is no reason to suspect again and again"


def test_who_hears_all_and_is_heard_by_nobody_is_gone_and_judges_nobody():
    n = net(9)
    n.cut = lambda a, b: a == 4
    n.until(lambda: n.agree(4, MemberStatus.GONE), 20)
    n.run(n.clock.now + 20)
    assert n.agree(4, MemberStatus.GONE) and sum(n.agree(x, MemberStatus.ALIVE, (4,)) for x in range(9)) == 8
    n.cut = lambda a, b: False
    assert n.until(lambda: n.agree(4, MemberStatus.ALIVE), 30) < 30, "heard again, it has raised its word"


@pytest.mark.parametrize("notices", [True, False])
def test_who_was_stopped_judges_nobody_before_it_has_asked(notices):
    judged = 0
    for seed in range(12):
        n = net(12, seed, terms=GossipConfig(detects_pauses=notices))
        n.cut = lambda a, b: b == 5  # it begins to suspect the others
        n.run(n.clock.now + 1.2)
        n.members[5].stop(7.0)
        n.cut = lambda a, b: False
        n.run(n.clock.now + 20)
        judged += n.members[5].gossip.counts["gone"]
        assert n.until(lambda n=n: all(n.agree(x, MemberStatus.ALIVE) for x in range(12)), 30) < 30
    assert judged == 0 if notices else judged > 3


def test_a_restart_within_a_round_is_another_and_the_old_life_is_over():
    n = net(9)
    n.kill(2)
    n.run(n.clock.now + 0.2)
    n.start(2, 7)
    known = [m.gossip.members for number, m in n.members.items() if number != 2]
    assert n.until(lambda: all(book.records[2].incarnation == 7 for book in known), 15) < 10
    n.run(n.clock.now + 20)
    assert n.agree(2, MemberStatus.ALIVE) and all(book.records[2].incarnation == 7 for book in known)


def test_one_joins_from_any_that_lives_and_two_halves_meet_again():
    n = net(12, warm=0.0)
    n.cut = lambda a, b: (a < 6) != (b < 6)
    n.run(30)
    assert n.standing(8, 1) in (None, MemberStatus.GONE)
    n.cut = lambda a, b: False
    assert n.until(lambda: all(n.agree(x, MemberStatus.ALIVE) for x in range(12)), 90) < 90
    late = n.start(40, 1)
    late.gossip.set_seeds([("10.0.0.1", 10007)])
    assert n.until(lambda: n.agree(40, MemberStatus.ALIVE), 30) < 30


def test_one_that_ends_by_its_own_will_is_never_suspected():
    n = net(9)
    leaver = n.members[4]
    n.carry(leaver, leaver.gossip.leave(n.clock.now))
    n.run(n.clock.now + 0.5)
    n.kill(4)
    n.run(n.clock.now + 15)
    assert n.agree(4, MemberStatus.LEFT) and n.total("gone") == 0


def test_the_count_for_the_module_is_the_larger_and_the_stores_own_while_it_ranks_us():
    g = Gossip(0.0, ME, "f", GossipConfig(), 1)
    g.members.merge(0.0, OTHER)
    g.members.merge(0.0, said(OTHER, number=2, status=MemberStatus.GONE))
    assert (g.controller_count(1, False), g.controller_count(5, False), g.controller_count(1, True)) == (
        2,
        5,
        1,
    )


class LastHolds(MemberTable):
    """Believes whatever came last."""

    def merge(self, now, word):
        if word.number == self.own.number:
            return super().merge(now, word)
        known, self.records[word.number] = self.records.get(word.number), word
        self._send_counts[word.number] = 0
        return known


class Revives(MemberTable):
    """A late rumour brings back one that was judged."""

    def merge(self, now, word):
        known = self.records.get(word.number)
        if known and known.incarnation == word.incarnation and (known.status, word.status) == (2, 0):
            self.records[word.number] = word
            return known
        return super().merge(now, word)


class AnyLife(MemberTable):
    """Answers what is said of an older life."""

    def _refute(self, word):
        if word.status == MemberStatus.ALIVE:
            return None
        self.announce(said(self.own, refutations=word.refutations + 1))
        return self.own


class RaisesOthers(MemberTable):
    """Makes its word of another the larger by raising it, instead of waiting for the member itself."""

    def merge(self, now, word):
        known = self.records.get(word.number)
        if known and word.number != self.own.number and word.status > known.status:
            word = said(word, refutations=word.refutations + 1)
        return super().merge(now, word)


def test_words_of_two_lives_hold_over_all_interleavings():
    for world in ((2, 1), (2, 2), (3, 1)):
        found = check_safety(rumours(*world))
        assert found["exhaustive"] and found["reachable_states"] > 1000
        assert all(p["holds"] is True for p in found["properties"].values()), found


@pytest.mark.parametrize("mistake, longest", [(LastHolds, 4), (Revives, 5), (AnyLife, 6), (RaisesOthers, 4)])
def test_a_planted_mistake_in_words_is_found_by_a_short_way(mistake, longest):
    found = check_safety(rumours(2, 2, mistake), max_states=8000)
    ways = [p["counterexample"] for p in found["properties"].values() if p["holds"] is False]
    assert ways and len(min(ways, key=len)) <= longest, found
