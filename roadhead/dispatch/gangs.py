"""Jobs whose tasks are of use only together: they start side by side, or not at all.

The exception to random placement, as small as it can be: a gang's tasks start in one placing pass
of its owner, all under one attempt, by which machines know who belongs together. Until its idle
list has room for all of them it keeps what it was granted from the jobs behind it, for a bounded
time; then it rests, so that others get the room and two gangs can't lock each other.
"""

from roadhead.machines.machine import fitting_count

GATHER_WINDOWS = 2.5  # for which room is kept at the most, as for large tasks (machines/capacity_grants.py)
REST_WINDOWS = 1.0  # for which it is then left to others, at the least


def place_gang(job, listings, random):
    """({listing: tasks that start there}, whether they are all of the job's): the most that one
    choice of zones takes, on machines drawn at random and filled one by one.

    A gang of one zone takes the zone with most room; of one that is spread, no zone takes more
    than half (PROTOCOL: `together`, `scatter`).
    """
    wanted = len(job.unstarted)
    drawn = random.sample(listings, len(listings))
    zones = {listing.zone for listing in listings} if job.spec.one_zone else (None,)
    best, most = {}, -1
    for zone in sorted(zones, key=lambda zone: zone or ""):
        chosen, left, here = {}, wanted, {}
        for listing in drawn:
            if zone is not None and listing.zone != zone:
                continue
            count = min(left, fitting_count(job.resources, listing.free))
            if job.spec.spread:
                count = min(count, (job.spec.tasks + 1) // 2 - here.get(listing.zone, 0))
            if count > 0:
                chosen[listing] = count
                here[listing.zone] = here.get(listing.zone, 0) + count
                left -= count
        if wanted - left > most:
            best, most = chosen, wanted - left
    return best, most == wanted


class GangReservations:
    """Which listings are kept for gangs in this pass, and since when each gang gathers."""

    def __init__(self, loop, window_s, random, again):
        self._loop = loop
        self._window_s = window_s
        self._random = random
        self._again = again  # () -> None: look at what waits once more
        self.kept = set()  # machines listed whose room waits for the rest

    def begin(self):
        """A placing pass begins."""
        self.kept.clear()

    def keep(self, job, chosen):
        """The room chosen is kept for the gang, unless it has had its time."""
        now = self._loop.now()
        if not job.reserving_since:
            job.reserving_since = now
        if now - job.reserving_since > GATHER_WINDOWS * self._window_s:
            rest_s = self._window_s * (REST_WINDOWS + self._random.random())
            job.not_before, job.reserving_since, job.reserved_tasks = now + rest_s, 0.0, 0
            self._loop.call_later(rest_s, self._again)
            return
        job.reserved_tasks = sum(chosen.values())
        self.kept.update(listing.id for listing in chosen)

    @staticmethod
    def started(job):
        job.reserved_tasks, job.reserving_since = 0, 0.0
