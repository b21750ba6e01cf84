"""What the settings' objectives say of each class of jobs, as the queue and the renter use it."""

from typing import NamedTuple


class ClassTargets(NamedTuple):
    """Of a class, each in the order of the settings. `within`: seconds in which a job shall be finished;
    `times`: multiples of a job's own due time; `waits`: seconds in which its tasks shall start."""

    within: list
    times: list
    waits: list


def shortest_targets(objectives):
    """{class: the shortest time in seconds that any objective of it names}."""
    aims = {}
    for objective in objectives:
        if objective.within_s:
            aims[objective.klass] = min(aims.get(objective.klass, objective.within_s), objective.within_s)
    return aims


def class_targets(objectives):
    """{class: its ClassTargets}."""
    found = {}
    for objective in objectives:
        aims = found.setdefault(objective.klass, ClassTargets([], [], []))
        if objective.kind == "finished" and objective.within_s:
            aims.within.append(objective.within_s)
        elif objective.kind == "wait" and objective.within_s:
            aims.waits.append(objective.within_s)
        elif objective.kind == "deadline":
            aims.times.append(objective.times)
    return found
