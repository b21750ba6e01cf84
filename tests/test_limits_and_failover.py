"""Teams at their limit while a quota leader changes, and tasks of cancelled jobs may still run."""

from types import SimpleNamespace

import pytest
from mutation import assert_noticed

from roadhead.jobs.book import Book
from roadhead.membership.term import Term

MEMBERS = {"a": (1, 1, ""), "b": (2, 2, ""), "c": (3, 3, "")}


def hands_on_what_may_run_cancelled(patch):
    """A heir hands on a quota partition although tasks cancelled before it read the records may run."""
    real = Book.idle_slots

    def idle_slots(self):
        with pytest.MonkeyPatch.context() as inner:
            inner.setattr(Book, "_knows_slot", lambda _self, _slot: True)
            return real(self)

    patch.setattr(Book, "idle_slots", idle_slots)


@pytest.mark.parametrize(
    ("mutation", "scenario"),
    [(hands_on_what_may_run_cancelled, "limit-slot-handed-on")],
)
def test_a_guard_taken_out_is_noticed(mutation, scenario):
    assert_noticed(mutation, scenario)


@pytest.mark.parametrize(
    ("old", "new", "closing", "unread"),
    [
        ((4, "b"), (5, "a"), set(), set()),  # given by one that lives on, and had nothing of it
        ((4, "b"), (6, "a"), set(), {0}),  # in between it may have been with one that ended
        ((4, "a"), (6, "a"), set(), set()),  # ours all along: we alone could have given it
        ((4, "a"), (6, "a"), {0}, {0}),  # we may have: it went, and came back when its leader ended
        ((4, "a"), (5, "a"), {0}, set()),  # the very next term shows that it did not go
    ],
)
def test_a_partition_that_may_have_changed_hands_unseen_is_read_anew(old, new, closing, unread):
    book = SimpleNamespace(_member=SimpleNamespace(label="a"), warden_since={}, closing=closing, _left=set())
    book.warden_since = {0: 2} if old[1] == "a" else {}
    old, new = (Term(number, 9, MEMBERS, (leader,)) for number, leader in (old, new))
    Book.on_term(book, old, new)
    assert book._left == unread
    assert (book.warden_since[0] == new.number) == (bool(unread) or old.wardens != new.wardens)
