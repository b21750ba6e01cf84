"""Emulates how workers run a gang: tasks of a job that run only at the same time."""


class Gang:
    """The tasks of a gang job that were started under one attempt.

    They begin to run when all tasks of the job that are not completed have joined. If one is lost, the
    others exit as incomplete.
    """

    def __init__(self, job):
        self.job = job
        self.members = {}  # TaskAttempt -> its worker

    def join(self, worker, item):
        """Adds an attempt that is ready to run on a worker; starts all if it was the last missing one."""
        self.members[item] = worker
        world = worker.world
        tasks = {f"{self.job['id']}/{index}" for index in range(self.job["legs"])} - world.completed
        if tasks <= {item.task for item in self.members}:
            world.together.add(self.job["id"])
            for item, worker in self.members.items():
                item.timer.cancel()
                worker.run(item)

    def leave(self, item):
        """Removes an attempt; if it ran and did not complete, its peers exit a little later."""
        worker = self.members.pop(item, None)
        if worker is not None and item.status != "gathering":

            def end_peers():
                if item.task not in worker.world.completed:
                    for peer, host in list(self.members.items()):
                        host._exit(peer, "incomplete")

            worker.sim.call_later(worker.world.gang_peer_s, end_peers)
