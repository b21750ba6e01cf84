"""What a home that gives machines away tells their new home, so that it need not find it out."""

from roadhead.wire import frames

ROWS_MOST = 2000  # of a frame


def handover(machines, registry):
    """Frames for the new home: first of the jobs with tasks there, then of the machines."""
    jobs = {}
    for machine in machines:
        for task in machine.tasks.values():
            owner, requirements = (
                registry.owners.get(task.job) or task.owner,
                registry.specs.get(task.job) or task.requirements,
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
        *(frames.HandoverJobs(part) for part in _parts(list(jobs.values()))),
        *(frames.HandoverMachines(part) for part in _parts(rows)),
    ]


def _parts(rows):
    return [rows[at : at + ROWS_MOST] for at in range(0, len(rows), ROWS_MOST)]
