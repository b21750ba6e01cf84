"""Tasks of a job that run only together."""


class Gang:
    """Tasks started under one attempt: they run once all that are not done are there; one that
    is lost takes the others with it."""

    def __init__(self, job):
        self.job = job
        self.here = {}  # item -> its worker

    def join(self, worker, item):
        self.here[item] = worker
        world = worker.world
        tasks = {f"{self.job['id']}/{index}" for index in range(self.job["legs"])} - world.completed
        if tasks <= {item.task for item in self.here}:
            world.together.add(self.job["id"])
            for item, worker in self.here.items():
                item.timer.cancel()
                worker.run(item)

    def leave(self, item):
        worker = self.here.pop(item, None)
        if worker is not None and item.status != "gathering":

            def lost():
                if item.task not in worker.world.completed:
                    for peer, host in list(self.here.items()):
                        host._exit(peer, "incomplete")

            worker.sim.call_later(worker.world.gang_peer_s, lost)
