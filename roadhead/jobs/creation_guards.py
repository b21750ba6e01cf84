"""Conditions that the creation of a job depends on besides the term (`guards` of `Recorder`)."""


class NoGuards:
    """Guards of a deployment in which creations depend on the term alone."""

    @staticmethod
    def condition_for(_job):
        """Returns the (key, stamp) under which alone the job may be created, or None."""
        return None

    @staticmethod
    def exceeds_guarantee(_job):
        """Returns whether the creation is written after others."""
        return False


NO_GUARDS = NoGuards()
