"""Decides whether a job can ever run, from the settings and the cloud's catalogue alone."""

import msgspec

from roadhead.jobs.job import size_of


def infeasibility(spec, teams, types, value_bytes):
    """Returns why no machine can ever run the job, as text for its user, or None if one can.

    `teams`: the teams and their limits; `types`: {name: machine type} of the catalogue; `value_bytes`: the
    size limit of a value in the state service.
    """
    if teams.get(spec.team) is None:
        return "unknown team"
    description = msgspec.structs.replace(spec, upstream=None)
    if size_of(description) > value_bytes:
        return "its description is larger than the state service takes"
    if _above_limits(spec, teams.limits_of(spec.team)):
        return "more than the team's limit"
    if not any(_fits(spec, kind) for kind in types.values()):
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


def _fits(spec, kind):
    """Whether an empty machine of this type can run a task of the job."""
    return (
        spec.cpus <= kind.cpus
        and spec.gpus <= kind.gpus
        and spec.memory <= kind.memory
        and (spec.types is None or kind.name in spec.types)
        and (spec.zone is None or spec.zone in kind.zones)
    )
