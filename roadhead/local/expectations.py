"""What a scenario expects: lines `expect NAME ...`, looked at when it has been played."""

from roadhead.local.histories import RequestKind
from roadhead.local.scenario_verbs import job_id


def unmet_expectations(world):
    """What did not come out as the scenario expects, as texts."""
    faults = []
    for name, *words in world.expectations:
        if name not in TABLE:
            raise ValueError(f"scenario: {[name, *words]}")
        faults += TABLE[name](world, *words)
    return faults


def _ids(numbers):
    return [job_id(number) for number in numbers.split(",")]


def _compare(what, value, relation, bound):
    """A fault unless `value` is at least (`>=`) or at most (any other) that much."""
    good = value >= float(bound) if relation == ">=" else value <= float(bound)
    return [] if good else [f"{what} is {value}, not {relation} {bound}"]


def _rules(_world):
    """The rules alone, which are looked at in any case."""
    return []


def _told(world, wanted, numbers):
    assert wanted in ("done", "cancelled")
    ids = list(world.users) if numbers == "all" else _ids(numbers)
    return [
        f"{name} was told {world.users[name].last_state}, not {wanted}"
        for name in ids
        if world.users[name].last_state != wanted
    ]


def _refused(world, status, number):
    name = job_id(number)
    return [] if world.refusals.get(name) == int(status) else [f"{name} was not refused with {status}"]


def _odd_refused(world, relation, bound):
    refused = sum(requests.refused for requests in world.injector.odd_requests)
    return _compare("the count of odd requests that were refused", refused, relation, bound)


def _unavailable(world, question, relation, bound):
    count = world.history.unavailable(RequestKind(question))
    return _compare(f"the count of 503 to {question}", count, relation, bound)


def _struck(world, name, relation, bound):
    struck = getattr(world.fault_windows, name).struck
    return _compare(f"the count of {name}", struck, relation, bound)


def _counter(world, name, relation, bound):
    return _compare(f"counter {name}", world.counter(name), relation, bound)


def _keys(world, prefix, relation, bound):
    count = sum(key.startswith(prefix) for key in world.state.data)
    return _compare(f"the count of keys under {prefix}", count, relation, bound)


def _gone(world, tenant):
    number = world.tenancy.numbers[tenant]
    state = world.state.data[f"c/t/{number:05d}"][0]["state"]
    left = world.tenancy.left_of(number)
    if state != "removed" or left:
        return [f"tenant {tenant} is {state}, {len(left)} keys are left"]
    return []


def _accepted_done(world, tenant):
    unended = [
        f"{user.own} was accepted, and is {user.last_state}"
        for user in world.users.values()
        if user.tenant == tenant and user.accepted and user.last_state != "done"
    ]
    # Whatever is stored was accepted, or would be if it were asked for.
    stored = [
        f"{key} is open"
        for key, (record, *_) in world.state.data.items()
        if key.startswith("j/") and record["s"] == "open"
    ]
    return unended + stored


def tenants_told(world, tenant, wanted):
    return [
        f"{user.own} of {tenant} was told {user.last_state}, not {wanted}"
        for user in world.users.values()
        if getattr(user, "tenant", None) == tenant and user.last_state != wanted
    ]


def _refused_with(world, status, tenant, least):
    count = sum(
        user.refused_with == int(status) for user in world.users.values() if user.job.get("tenant") == tenant
    )
    return [] if count >= int(least) else [f"{count} jobs of {tenant} were refused with {status}"]


def _running(world, count):
    return [] if len(world.running) == int(count) else [f"{len(world.running)} tasks run"]


def _machines(world, most):
    return _compare("the count of machines rented", len(world.cloud.rented), "<=", most)


def _summary(world, text):
    lines = [line for node in world.nodes.values() for line in node.summary()["troubles"]]
    return [] if any(text in line for line in lines) else [f"the summary does not say {text!r}"]


def _done_before(world, numbers, later):
    told_at = world.users[job_id(later)].told_at
    return [f"{name} was done after {later}" for name in _ids(numbers) if world.users[name].told_at > told_at]


def _answered(world, _relation, share):
    return [
        f"{storm.answered} of {storm.polls} polls were answered"
        for storm in world.storms
        if storm.answered < float(share) * storm.polls
    ]


def _state_requests(world, _relation, most):
    return _compare("the count of requests to the state service", world.state.requests, "<=", most)


def _hired(world, _relation, most):
    return _compare("the count of machines ever rented", world.cloud.names, "<=", most)


def _killed(world, _relation, most):
    return _compare("the count of tasks killed by their lease", world.killed, "<=", most)


def _given_back(world, _relation, most):
    return _compare("the count of tasks lost with machines returned", world.given_back, "<=", most)


def _together(world, _which):
    return [
        f"the tasks of {job['id']} never ran together"
        for job in world.jobs.values()
        if job["shape"] == "group" and job["id"] not in world.together
    ]


def _cancelled_gone(world, _relation, most):
    return _compare("the time for which cancelled tasks were there", world.longest_gone, "<=", most)


def _reruns(world, _relation, most):
    return _compare("the count of tasks recorded as done that ran anew", world.rules.reruns, "<=", most)


def _cancelled_starts(world, _relation, most):
    count = world.rules.cancelled_starts
    return _compare("the count of starts after a confirmed cancellation", count, "<=", most)


def _begun(world, before, numbers):
    begun = {task.rpartition("/")[0] for task, at in world.started.items() if at < float(before)}
    return [f"{name} did not begin before {before}" for name in _ids(numbers) if name not in begun]


def _mostly_done(world, numbers):
    ids = _ids(numbers)
    done = sum(world.users[name].last_state == "done" for name in ids)
    return [] if 2 * done >= len(ids) else [f"less than half of {numbers} is done"]


def _no_rooms(world, *_words):
    return [f"{world.no_rooms} starts found no room"] if world.no_rooms else []


TABLE = {
    "rules": _rules,
    "told": _told,
    "refused": _refused,
    "odd_refused": _odd_refused,
    "unavailable": _unavailable,
    "struck": _struck,
    "counter": _counter,
    "keys": _keys,
    "gone": _gone,
    "accepted_done": _accepted_done,
    "tenants_told": tenants_told,
    "refused_with": _refused_with,
    "running": _running,
    "machines": _machines,
    "summary": _summary,
    "done_before": _done_before,
    "answered": _answered,
    "state_requests": _state_requests,
    "killed": _killed,
    "hired": _hired,
    "given_back": _given_back,
    "together": _together,
    "cancelled_gone": _cancelled_gone,
    "reruns": _reruns,
    "cancelled_starts": _cancelled_starts,
    "begun": _begun,
    "mostly_done": _mostly_done,
    "no_rooms": _no_rooms,
}
