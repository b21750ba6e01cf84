"""Which machines the tasks of a job may use, whatever room they have, and which zones its rules leave open.

`may_use` is the one predicate for granting, holding room back, placing, renting and for whether a job can
ever run; `split_by_zone` decides what a controller's demand says of jobs whose tasks depend on one another's
zones (PROTOCOL: `together`, `scatter`).
"""


def may_use(wanted, type_name, zone, spot):
    """Whether tasks may run on a machine of this type, in this zone, `spot` or on-demand.

    `wanted` is a job's description, a row of a Demand or a ResourceRequest: anything with `spot`, `zone` and
    `types`. An empty zone or list of types means any.
    """
    return (
        (wanted.spot or not spot)
        and (not wanted.zone or wanted.zone == zone)
        and (not wanted.types or type_name in wanted.types)
    )


def max_tasks_per_zone(spec):
    """Returns how many tasks of a job with `scatter` one zone may have: half of them, rounded up."""
    return (spec.tasks + 1) // 2


def zone_room(job, zone):
    """Returns how many further tasks of the job its zone rules let into a zone, as its bound tasks stand.

    Every task that may be on a machine counts. Other limits on the number of tasks are not looked at.
    """
    spec = job.spec
    if spec.one_zone and any(binding.zone != zone for binding in job.bound.values()):
        return 0
    if spec.spread:
        in_zone = sum(binding.zone == zone for binding in job.bound.values())
        return max(0, max_tasks_per_zone(spec) - in_zone)
    return spec.tasks


def split_by_zone(job, count, zones):
    """Returns [(zone, number)]: how `count` further tasks of the job divide by the zones open to them.

    A zone's number is how many of them must run there, since the other zones have no room for them by the
    job's rules; "" stands for any zone, and comes last. `zones` are those of the deployment. For two zones
    this says all that `scatter` asks for; for more it leaves open which of several zones a task goes to.
    """
    spec = job.spec
    if spec.zone:
        return [(spec.zone, count)]
    if spec.one_zone:
        return [(next((binding.zone for binding in job.bound.values()), ""), count)]
    if not spec.spread:
        return [("", count)]
    rooms = {zone: zone_room(job, zone) for zone in zones}
    total = sum(rooms.values())
    parts = [
        (zone, min(room, needed))
        for zone, room in rooms.items()
        if room and (needed := count - total + room) > 0
    ]
    left = count - sum(number for _zone, number in parts)
    return [*parts, ("", left)] if left > 0 else parts
