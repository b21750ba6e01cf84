"""What a home that gives machines away tells their new home, so that it need not find it out."""

from roadhead.wire import frames

ROWS_MOST = 2000  # of a frame


def handover(machines, known):
    """Frames for the new home: first of the jobs with tasks there, then of the machines."""
    jobs = {}
    for machine in machines:
        for task in machine.tasks.values():
            owner, needs = known.owners.get(task.job) or task.owner, known.specs.get(task.job) or task.needs
            if owner is not None and needs is not None:
                jobs[task.job] = (
                    task.job,
                    *owner,
                    *needs.room,
                    needs.image,
                    needs.image_gb,
                    needs.save_s,
                    needs.saves,
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
        *(frames.Handover(part) for part in _parts(rows)),
    ]


def _parts(rows):
    return [rows[at : at + ROWS_MOST] for at in range(0, len(rows), ROWS_MOST)]
