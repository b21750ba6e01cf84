"""The time targets of each job class, taken from the objectives in the settings.

The queue orders jobs by them, and the renter decides by them how soon waiting work must start.
"""

from typing import NamedTuple


class ClassTargets(NamedTuple):
    """The time targets of one job class, in the order of the settings.

    `within`: seconds in which a job must finish; `deadline_factors`: multiples of a job's own deadline by
    which it must finish; `start_within`: seconds in which its tasks must start.
    """

    within: list
    deadline_factors: list
    start_within: list


def shortest_targets(objectives):
    """Returns {class: the shortest time in seconds that any of its objectives names}."""
    targets = {}
    for objective in objectives:
        if objective.within_s:
            targets[objective.klass] = min(
                targets.get(objective.klass, objective.within_s), objective.within_s
            )
    return targets


def class_targets(objectives):
    """Returns {class: its ClassTargets}."""
    by_class = {}
    for objective in objectives:
        targets = by_class.setdefault(objective.klass, ClassTargets([], [], []))
        if objective.kind == "finished" and objective.within_s:
            targets.within.append(objective.within_s)
        elif objective.kind == "wait" and objective.within_s:
            targets.start_within.append(objective.within_s)
        elif objective.kind == "deadline":
            targets.deadline_factors.append(objective.times)
    return by_class
