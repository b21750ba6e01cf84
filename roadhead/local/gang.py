"""Emulates how workers run a gang: tasks of a job that run only at the same time."""


class Gang:
    """The tasks of a gang job that were started under one attempt.

    They begin to run when all tasks of the job that are not completed have joined. If one is lost, the
    others exit as incomplete.
    """

    def __init__(self, job):
        self.job = job
        self.members = {}  # TaskAttempt -> its worker

    def join(self, worker, task_attempt):
        """Adds an attempt that is ready to run on a worker; starts all if it was the last missing one."""
        self.members[task_attempt] = worker
        world = worker.world
        tasks = {f"{self.job['id']}/{index}" for index in range(self.job["legs"])} - world.completed
        if tasks <= {task_attempt.task for task_attempt in self.members}:
            world.together.add(self.job["id"])
            for task_attempt, worker in self.members.items():
                task_attempt.timer.cancel()
                worker.run(task_attempt)

    def leave(self, task_attempt):
        """Removes an attempt; if it ran and did not complete, its peers exit a little later."""
        worker = self.members.pop(task_attempt, None)
        if worker is not None and task_attempt.status != "gathering":

            def end_peers():
                if task_attempt.task not in worker.world.completed:
                    for peer, host in list(self.members.items()):
                        host._exit(peer, "incomplete")

            worker.sim.call_later(worker.world.gang_peer_s, end_peers)
