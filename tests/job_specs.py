"""Submissions for tests: a batch job of one small task, unless a test says otherwise."""

from roadhead.wire import messages

DEFAULTS = {
    "klass": "c",
    "team": "crew",
    "kind": "batch",
    "urgency": "standard",
    "tasks": 1,
    "cpus": 1.0,
    "gpus": 0.0,
    "memory": 1.0,
    "image_gb": 1.0,
    "one_zone": False,
    "spread": False,
    "spot": True,
    "estimate_s": 10.0,
    "checkpoint_s": 0.0,
    "save_s": 0.0,
}


def job_spec(job_id, **fields):
    """Returns a JobSpec; `fields` replace the defaults."""
    return messages.JobSpec(job_id, **{**DEFAULTS, **fields})
