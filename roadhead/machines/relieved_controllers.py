"""Which relieved controllers may not know yet that they are home to no machine any more.

A relieved controller has not lapsed: until it reads the term it goes on hearing machines for the first time
and starts tasks there, also on machines that were rented since and that no list names yet. No sockets and no
clocks here.
"""


class RelievedControllers:
    """`label`: of the controller that keeps this account."""

    def __init__(self, label):
        self._label = label
        self._unaware = {}  # label -> number of a term that says that it is relieved

    def __bool__(self):
        """Whether there are any that may not know."""
        return bool(self._unaware)

    def labels(self):
        """Those that may not know."""
        return list(self._unaware)

    def begin(self, term):
        """The first term of an incarnation: since when the others are relieved is not known."""
        self._unaware = dict.fromkeys(term.relieved - {self._label}, term.number)

    def on_term(self, old, new):
        """Who is relieved only now may not know; whose incarnation ended, or restored itself, does."""
        for label in self.labels():
            if label not in new.relieved or old.incarnation(label) != new.incarnation(label):
                del self._unaware[label]
        # What happened in terms that were not seen here is not known.
        before = old.relieved if new.number == old.number + 1 else frozenset()
        self._unaware.update(dict.fromkeys(new.relieved - before - {self._label}, new.number))

    def on_peer_term(self, label, number):
        """Another controller, in its incarnation of now, serves the term of that number."""
        if label in self._unaware and number >= self._unaware[label]:
            del self._unaware[label]
