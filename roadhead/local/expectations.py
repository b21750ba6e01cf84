"""Evaluates a scenario's expectations, the lines `expect NAME ...`, after the scenario has run."""

from roadhead.local.histories import RequestKind
from roadhead.local.scenario_verbs import job_id


def unmet_expectations(world):
    """Returns a text for every expectation of the scenario that is not met."""
    faults = []
    for name, *words in world.expectations:
        if name not in TABLE:
            raise ValueError(f"unknown expectation {name!r} in {[name, *words]}")
        faults += TABLE[name](world, *words)
    return faults


def _ids(numbers):
    """Returns the ids of the scenario's jobs with these numbers, as in `1,2,5`."""
    return [job_id(number) for number in numbers.split(",")]


def _compare(what, value, relation, bound):
    """Returns a text unless `value` is at least (`>=`) or at most (any other `relation`) the bound."""
    good = value >= float(bound) if relation == ">=" else value <= float(bound)
    return [] if good else [f"{what} is {value}, not {relation} {bound}"]


def _rules(_world):
    """Expects only that no rule is violated, which every scenario checks."""
    return []


def _told(world, expected_state, numbers):
    assert expected_state in ("done", "cancelled")
    ids = list(world.users) if numbers == "all" else _ids(numbers)
    return [
        f"{name} was told {world.users[name].last_state}, expected {expected_state}"
        for name in ids
        if world.users[name].last_state != expected_state
    ]


def _refused(world, status, number):
    name = job_id(number)
    return (
        []
        if world.refusals.get(name) == int(status)
        else [f"{name} was refused with {world.refusals.get(name)}, expected {status}"]
    )


def _odd_refused(world, relation, bound):
    refused = sum(requests.refused for requests in world.injector.odd_requests)
    return _compare("the number of invalid requests that were refused", refused, relation, bound)


def _unavailable(world, question, relation, bound):
    count = world.history.unavailable(RequestKind(question))
    return _compare(f"the number of 503 responses to {question}", count, relation, bound)


def _struck(world, name, relation, bound):
    struck = getattr(world.fault_windows, name).struck
    return _compare(f"the number of injected {name}", struck, relation, bound)


def _counter(world, name, relation, bound):
    return _compare(f"counter {name}", world.counter(name), relation, bound)


def _keys(world, prefix, relation, bound):
    count = sum(key.startswith(prefix) for key in world.state.data)
    return _compare(f"the number of keys under {prefix}", count, relation, bound)


def _gone(world, tenant):
    number = world.tenancy.numbers[tenant]
    state = world.state.data[f"c/t/{number:05d}"][0]["state"]
    remaining_keys = world.tenancy.stored_keys(number)
    if state != "removed" or remaining_keys:
        return [
            f"tenant {tenant} is {state} with {len(remaining_keys)} keys stored, expected removed with none"
        ]
    return []


def _accepted_done(world, tenant):
    unfinished = [
        f"{user.own} was accepted and is {user.last_state}, expected done"
        for user in world.users.values()
        if user.tenant == tenant and user.accepted and user.last_state != "done"
    ]
    # Every stored job was accepted, or would be on the next request for it.
    stored = [
        f"{key} is still open"
        for key, (record, *_) in world.state.data.items()
        if key.startswith("j/") and record["s"] == "open"
    ]
    return unfinished + stored


def tenants_told(world, tenant, expected_state):
    return [
        f"{user.own} of {tenant} is {user.last_state}, expected {expected_state}"
        for user in world.users.values()
        if getattr(user, "tenant", None) == tenant and user.last_state != expected_state
    ]


def _refused_with(world, status, tenant, minimum):
    count = sum(
        user.refused_with == int(status) for user in world.users.values() if user.job.get("tenant") == tenant
    )
    return (
        []
        if count >= int(minimum)
        else [f"{count} jobs of {tenant} were refused with {status}, expected at least {minimum}"]
    )


def _running(world, count):
    return [] if len(world.running) == int(count) else [f"{len(world.running)} tasks run, expected {count}"]


def _machines(world, maximum):
    return _compare("the number of rented machines", len(world.cloud.rented), "<=", maximum)


def _summary(world, text):
    lines = [line for node in world.nodes.values() for line in node.summary()["troubles"]]
    return [] if any(text in line for line in lines) else [f"no trouble in the summary contains {text!r}"]


def _done_before(world, numbers, later):
    state_changed_at = world.users[job_id(later)].state_changed_at
    return [
        f"{name} was done after job {later}"
        for name in _ids(numbers)
        if world.users[name].state_changed_at > state_changed_at
    ]


def _answered(world, _relation, share):
    return [
        f"{storm.answered} of {storm.polls} polls were answered, expected a share of {share}"
        for storm in world.storms
        if storm.answered < float(share) * storm.polls
    ]


def _state_requests(world, _relation, maximum):
    return _compare("the number of requests to the state service", world.state.requests, "<=", maximum)


def _hired(world, _relation, maximum):
    return _compare("the number of machines ever rented", world.cloud.machines_rented, "<=", maximum)


def _killed(world, _relation, maximum):
    return _compare("the number of tasks killed by their lease on a worker", world.killed, "<=", maximum)


def _given_back(world, _relation, maximum):
    return _compare("the number of tasks lost with released machines", world.given_back, "<=", maximum)


def _together(world, _which):
    return [
        f"the tasks of {job['id']} never ran at the same time"
        for job in world.jobs.values()
        if job["shape"] == "group" and job["id"] not in world.together
    ]


def _cancelled_gone(world, _relation, maximum):
    return _compare("the longest time in s that a cancelled task ran on", world.longest_gone, "<=", maximum)


def _reruns(world, _relation, maximum):
    return _compare("the number of tasks recorded as done that ran anew", world.rules.reruns, "<=", maximum)


def _cancelled_starts(world, _relation, maximum):
    count = world.rules.cancelled_starts
    return _compare("the number of starts after a confirmed cancellation", count, "<=", maximum)


def _begun(world, before, numbers):
    started = {task.rpartition("/")[0] for task, at in world.started.items() if at < float(before)}
    return [f"{name} did not start before {before} s" for name in _ids(numbers) if name not in started]


def _mostly_done(world, numbers):
    ids = _ids(numbers)
    done = sum(world.users[name].last_state == "done" for name in ids)
    return [] if 2 * done >= len(ids) else [f"{done} of the jobs {numbers} are done, expected at least half"]


def _no_rooms(world, *_words):
    return (
        [f"{world.no_rooms} task starts found no room on their machine, expected 0"] if world.no_rooms else []
    )


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
