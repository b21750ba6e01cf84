"""The commands that a worker has yet to carry out, in messages that it takes."""

from typing import NamedTuple

from roadhead.machines.task import EXITED, LAUNCHING
from roadhead.wire import messages
from roadhead.wire.worker_limits import MAX_ORDERS_PER_MESSAGE


class PendingCommands(NamedTuple):
    """Commands that a worker has yet to carry out, in order, and the tasks that they are about.

    `orders` are wire commands, no more than one message holds; `launches`, `stops` and `forgets` the tasks
    that are launched, stopped or forgotten by them; `left` is the number of commands for the messages after
    this one.
    """

    orders: list
    launches: list
    stops: list
    forgets: list
    left: int


NO_COMMANDS = PendingCommands([], [], [], [], 0)


def next_commands(pending, *, may_launch, may_forget):
    """Returns the PendingCommands to be sent now.

    `pending`: tasks that may have commands to be carried out, {key: Task}; those that have none are removed.
    A launch is repeated with the same attempt until a report shows it, and is never given up before. So a
    launch that arrives late can't start an attempt that is not known here. Which messages may launch or
    forget follows from command_fence.py. Commands that end something come first, so that they never wait for
    launches that the message has no room for.
    """
    ends, launches = [], []  # [(task, its orders)]
    for task in list(pending.values()):
        if task.status == LAUNCHING:
            if may_launch:
                launches.append((task, [messages.launch(*task.key), *_stop_orders(task)]))
        elif _is_ending(task):
            ends.append((task, _stop_orders(task) or (_forget_orders(task) if may_forget else [])))
        else:
            del pending[task.key]
    sent, left = _split_at_limit(ends + launches)
    return PendingCommands(
        [order for _task, orders in sent for order in orders],
        [task for task, _orders in sent if task.status == LAUNCHING],
        [task for task, orders in sent if any(order["verb"] == "stop" for order in orders)],
        [task for task, orders in sent if orders and _is_to_be_forgotten(task)],
        left,
    )


def _is_ending(task):
    """Whether a task that was launched is still to be stopped or forgotten."""
    return task.forget or (task.stop_grace is not None and task.status != EXITED)


def _stop_orders(task):
    """The command that stops a task, unless it does not have to, or is saving in its time of grace."""
    if task.stop_grace is None or task.status == EXITED or (task.status == "saving" and task.stop_grace):
        return []
    return [messages.stop(*task.key, task.stop_grace)]


def _is_to_be_forgotten(task):
    return task.forget and task.status == EXITED


def _forget_orders(task):
    """The command that has an attempt forgotten once it has exited."""
    return [messages.forget(*task.key)] if _is_to_be_forgotten(task) else []


def _split_at_limit(entries):
    """Returns ([(task, orders)] that fit into one message, number of the orders that don't)."""
    count = 0
    for position, (_task, orders) in enumerate(entries):
        if count + len(orders) > MAX_ORDERS_PER_MESSAGE:
            return entries[:position], sum(len(later) for _task, later in entries[position:])
        count += len(orders)
    return entries, 0
