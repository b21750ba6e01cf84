"""What else the creation of a job depends on (Recorder, `guards`)."""


class NoGuards:
    """Where creations depend on nothing but the term."""

    @staticmethod
    def of(_job):
        return None

    @staticmethod
    def later(_job):
        return False


NO_GUARDS = NoGuards()
