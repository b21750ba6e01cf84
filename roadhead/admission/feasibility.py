"""Whether a job can ever run: decided by what the settings and the cloud's catalogue say alone."""

import msgspec

from roadhead.jobs.job import size_of


def infeasibility(spec, teams, types, value_bytes):
    """Why no machine can ever run the job, for its user, or None if one can.

    `teams`: the teams and their limits; `types`: {name: machine type} of the catalogue; `value_bytes`: the
    size of a value in the state service.
    """
    if teams.get(spec.team) is None:
        return "unknown team"
    head = msgspec.structs.replace(spec, upstream=None)
    if size_of(head) > value_bytes:
        return "its description is larger than the state service takes"
    if _above_limits(spec, teams.most(spec.team)):
        return "more than the team's limit"
    if not any(_fits(spec, kind) for kind in types.values()):
        return "fits no machine type"
    return None


def _above_limits(spec, limits):
    """Whether what must run at once, a task or a whole service, is more than one of the limits; 0 is none."""
    times = spec.tasks if spec.kind == "daemon" else 1
    return any(
        most and need * times > most
        for level in limits
        for need, most in zip((spec.cpus, spec.gpus), level, strict=True)
    )


def _fits(spec, kind):
    return (
        spec.cpus <= kind.cpus
        and spec.gpus <= kind.gpus
        and spec.memory <= kind.memory
        and (spec.types is None or kind.name in spec.types)
        and (spec.zone is None or spec.zone in kind.zones)
    )
