"""Builds the frames that tell a machine's new shard leader what the old one knows of it."""

from roadhead.wire import frames

MAX_ROWS_PER_FRAME = 2000


def handover(machines, known):
    """Frames for the new leader: first the jobs with tasks on the machines, then the machines."""
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
        *(frames.HandoverJobs(chunk) for chunk in _chunks(list(jobs.values()))),
        *(frames.Handover(chunk) for chunk in _chunks(rows)),
    ]


def _chunks(rows):
    return [rows[at : at + MAX_ROWS_PER_FRAME] for at in range(0, len(rows), MAX_ROWS_PER_FRAME)]
