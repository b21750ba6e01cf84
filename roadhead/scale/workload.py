"""The jobs of a scale run, drawn from the plan's seed alone, so that every process computes the same ones."""

import random
from dataclasses import dataclass

IMAGE = "img"
RUN_TIME_FACTORS = (0.8, 1.2)  # range of a job's run time, relative to its class's
CANCEL_AFTER_FACTORS = (0.2, 0.8)  # range of the time until a cancellation, relative to the job's run time


@dataclass(frozen=True, slots=True)
class Arrival:
    """A job and its arrival time `at_s`, in seconds after the load begins.

    `cancel_after_s`: seconds from its submission to the user's cancellation, None if there is none.
    """

    at_s: float
    job: dict
    run_s: float
    cancel_after_s: float | None


class Workload:
    """All arrivals of a Plan, ordered by time."""

    def __init__(self, plan):
        self._random = random.Random(plan.seed)
        arrivals_drawn = sorted(
            (
                (at_s, kind)
                for kind in plan.classes
                for at_s in self._arrival_times(kind.jobs_per_s, plan.load_s)
            ),
            key=lambda pair: pair[0],
        )
        self.arrivals = [
            self._arrival(number, at_s, kind, plan.teams.count)
            for number, (at_s, kind) in enumerate(arrivals_drawn, start=1)
        ]
        self._by_job = {arrival.job["id"]: arrival for arrival in self.arrivals}

    def _arrival_times(self, rate, until_s):
        at_s = self._random.expovariate(rate)
        while at_s < until_s:
            yield at_s
            at_s += self._random.expovariate(rate)

    def _arrival(self, number, at_s, kind, teams):
        run_s = kind.run_s * self._random.uniform(*RUN_TIME_FACTORS)
        cancel_after_s = None
        if self._random.random() < kind.cancelled:
            cancel_after_s = run_s * self._random.uniform(*CANCEL_AFTER_FACTORS)
        job = {
            "id": f"req-{number:06d}",
            "jobclass": kind.name,
            "crew": f"team-{number % teams}",
            "shape": "batch",
            "urgency": kind.urgency,
            "legs": kind.tasks,
            "vcpus": kind.cpus,
            "gpus": 0.0,
            "ramGb": 1.0,
            "kit": IMAGE,
            "sizeGb": 1.0,
            "rigs": None,
            "paddock": None,
            "together": False,
            "scatter": False,
            "loaners": True,
            "expectS": run_s,
            "musterS": 0.0,
            "stowS": 0.0,
            "dueS": None,
        }
        return Arrival(at_s, job, run_s, cancel_after_s)

    def get(self, job_id):
        """Returns the Arrival of a job, or None."""
        return self._by_job.get(job_id)
