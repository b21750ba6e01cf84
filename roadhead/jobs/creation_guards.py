"""What else the creation of a job depends on (Recorder, `guards`)."""


class NoGuards:
    """Where creations depend on nothing but the term."""

    @staticmethod
    def of(_job):
        """The (key, stamp) under which alone the job may be created, or None."""
        return None

    @staticmethod
    def later(_job):
        """Whether its creation comes after others'."""
        return False


NO_GUARDS = NoGuards()
