"""Which machines the tasks of a job may use, whatever room they have, and which zones its rules leave open.

`may_use` is the one predicate for granting, placing and renting; `allowed_zone` decides what a controller's
demand says of jobs whose tasks depend on one another's zones (PROTOCOL: `together`, `scatter`).
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


def allowed_zone(job, zones):
    """Returns the only zone in which further tasks of the job may start, or "" if there are several.

    `zones` are those of the deployment. A row of a demand names one zone or none, which says all for
    a job with `together` that has begun, and for one with `scatter` wherever one of two zones is full.
    """
    spec = job.spec
    if spec.zone or not (spec.one_zone or spec.spread) or not job.bound:
        return spec.zone or ""
    allowed = [zone for zone in zones if zone_room(job, zone) > 0]
    return allowed[0] if len(allowed) == 1 else ""
