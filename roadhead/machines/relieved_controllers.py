"""Tracks relieved controllers that may not know yet that they lead no machines any more.

A relieved controller still has its lease. Until it reads the term it goes on hearing machines for the first
time and starting tasks there, also on machines rented since that no list names yet. No sockets and no clocks
here.
"""


class RelievedControllers:
    """The relieved controllers that may not know; `label` is this controller's own, which is left out."""

    def __init__(self, label):
        self._label = label
        self._unaware = {}  # label -> number of a term by which it is relieved

    def __bool__(self):
        """Whether there are any controllers that may not know."""
        return bool(self._unaware)

    def labels(self):
        """Labels of the controllers that may not know."""
        return list(self._unaware)

    def begin(self, term):
        """Starts with an incarnation's first term: when the others were relieved is not known."""
        self._unaware = dict.fromkeys(term.relieved - {self._label}, term.number)

    def on_term(self, old, new):
        """Adds controllers relieved by this term; removes those that were restored or began anew."""
        for label in self.labels():
            if label not in new.relieved or old.incarnation(label) != new.incarnation(label):
                del self._unaware[label]
        # Terms skipped in between may have restored a controller and relieved it again.
        before = old.relieved if new.number == old.number + 1 else frozenset()
        self._unaware.update(dict.fromkeys(new.relieved - before - {self._label}, new.number))

    def on_peer_term(self, label, number):
        """Removes a controller whose current incarnation serves a term by which it is relieved."""
        if label in self._unaware and number >= self._unaware[label]:
            del self._unaware[label]
