"""Builds the frames that tell a machine's new shard leader what the old one knows of it."""

from roadhead.wire import frames

MAX_ROWS_PER_FRAME = 2000


def handover(machines, registry):
    """Frames for the new leader: first the jobs with tasks on the machines, then the machines."""
    jobs = {}
    for machine in machines:
        for task in machine.tasks.values():
            owner, requirements = (
                registry.owners.get(task.job) or task.owner,
                registry.job_requirements.get(task.job) or task.requirements,
            )
            if owner is not None and requirements is not None:
                jobs[task.job] = (
                    task.job,
                    *owner,
                    *requirements.resources,
                    requirements.image,
                    requirements.image_gb,
                    requirements.save_s,
                    requirements.saves,
                )
    rows = [
        (
            machine.id,
            machine.address,
            machine.type,
            machine.zone,
            machine.spot,
            machine.draining and machine.notice_at is None,
            list(machine.images),
        )
        for machine in machines
        if machine.heard_at is not None
    ]
    return [
        *(frames.HandoverJobs(chunk) for chunk in _chunks(list(jobs.values()))),
        *(frames.HandoverMachines(chunk) for chunk in _chunks(rows)),
    ]


def _chunks(rows):
    return [rows[at : at + MAX_ROWS_PER_FRAME] for at in range(0, len(rows), MAX_ROWS_PER_FRAME)]
