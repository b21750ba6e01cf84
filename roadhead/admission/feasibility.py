"""Decides whether a job can ever run, from the settings and the cloud's catalogue alone."""

import msgspec

from roadhead.jobs.job import size_of
from roadhead.machines.fitting import fits
from roadhead.machines.placement_rules import may_use


def infeasibility(spec, teams, types, zones, value_bytes):
    """Returns why no machine can ever run the job, as text for its user, or None if one can.

    `teams`: the teams and their limits; `types`: {name: machine type} of the catalogue; `zones`: those of the
    deployment; `value_bytes`: the size limit of a value in the state service.
    """
    if teams.get(spec.team) is None:
        return "unknown team"
    description = msgspec.structs.replace(spec, upstream=None)
    if size_of(description) > value_bytes:
        return "its description is larger than the state service takes"
    if _above_limits(spec, teams.limits_of(spec.team)):
        return "more than the team's limit"
    if not any(_may_run(spec, kind, kind.zones or zones or [""]) for kind in types.values()):
        return "fits no machine type"
    return None


def _above_limits(spec, limits):
    """Whether what must run at once, one task or a whole service, exceeds a limit; 0 is no limit."""
    count = spec.tasks if spec.kind == "daemon" else 1
    return any(
        limit and need * count > limit
        for level in limits
        for need, limit in zip((spec.cpus, spec.gpus), level, strict=True)
    )


def _may_run(spec, kind, zones):
    """Whether an empty machine of this type in one of the zones can run a task of the job."""
    if spec.types == [] or spec.zone == "":
        return False  # the user allows none, while in a row of a demand both mean any
    return fits((spec.cpus, spec.gpus, spec.memory), (kind.cpus, kind.gpus, kind.memory)) and any(
        may_use(spec, kind.name, zone, spot=False) for zone in zones
    )
