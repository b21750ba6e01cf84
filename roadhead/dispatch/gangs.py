"""Gang scheduling: a job whose tasks are useful only together starts all of them at once, or none.

This is the one exception to random placement. All tasks of a gang start in one placing pass of the job's
owner and under one attempt number, by which machines recognise tasks that belong together. While the idle
list has too little room for the whole gang, the owner reserves what fits and withholds it from the jobs
behind it, for a bounded time. The gang then backs off, so that other jobs get the room and two gangs can't
deadlock by each holding half of what they need.
"""

from roadhead.machines.placement_rules import max_tasks_per_zone

MAX_RESERVE_WINDOWS = 2.5  # the longest reservation, as for large tasks (machines/capacity_grants.py)
MIN_BACKOFF_WINDOWS = 1.0  # the shortest pause before the next reservation


def place_gang(job, listings, random):
    """Returns ({listing: tasks to start there}, whether that is the whole gang).

    Listings are drawn at random and filled one by one. A gang with `one_zone` gets the zone in which most of
    its tasks fit; with `spread`, no zone gets more than half of the tasks (PROTOCOL: `together`, `scatter`).
    """
    wanted = len(job.unstarted)
    drawn = random.sample(listings, len(listings))
    zones = {listing.zone for listing in listings} if job.spec.one_zone else (None,)
    best, best_count = {}, -1
    for zone in sorted(zones, key=lambda zone: zone or ""):
        chosen, left, per_zone = {}, wanted, {}
        for listing in drawn:
            if zone is not None and listing.zone != zone:
                continue
            count = min(left, listing.room_for(job.resources))
            if job.spec.spread:
                count = min(count, max_tasks_per_zone(job.spec) - per_zone.get(listing.zone, 0))
            if count > 0:
                chosen[listing] = count
                per_zone[listing.zone] = per_zone.get(listing.zone, 0) + count
                left -= count
        if wanted - left > best_count:
            best, best_count = chosen, wanted - left
    return best, best_count == wanted


class GangReservations:
    """The granted machines reserved for gangs in the current placing pass.

    `window_s`: the unit of the reservation and backoff times; `request_pass()` schedules a placing pass.
    """

    def __init__(self, loop, window_s, random, request_pass):
        self._loop = loop
        self._window_s = window_s
        self._random = random
        self._request_pass = request_pass
        self.reserved = set()  # ids of the machines whose listings are reserved

    def clear(self):
        """Drops all reservations, at the start of a placing pass."""
        self.reserved.clear()

    def reserve(self, job, chosen):
        """Reserves the chosen listings for the gang, or makes it back off once it reserved for too long."""
        now = self._loop.now()
        if not job.reserving_since:
            job.reserving_since = now
        if now - job.reserving_since > MAX_RESERVE_WINDOWS * self._window_s:
            backoff_s = self._window_s * (MIN_BACKOFF_WINDOWS + self._random.random())
            job.not_before, job.reserving_since, job.reserved_tasks = now + backoff_s, 0.0, 0
            self._loop.call_later(backoff_s, self._request_pass)
            return
        job.reserved_tasks = sum(chosen.values())
        self.reserved.update(listing.id for listing in chosen)

    @staticmethod
    def release(job):
        """Ends the reservation of a gang that has started."""
        job.reserved_tasks, job.reserving_since = 0, 0.0
