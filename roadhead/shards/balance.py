"""Decides which shards a leader gives away so that all leaders have about as many. A pure function."""

MAX_MOVED_RATIO = 1 / 8  # of a leader's machines that one step may move at most


def plan_moves(shard_map, label, takers, machines, most=MAX_MOVED_RATIO):
    """{shard: label} that the leader `label` gives away now; empty if the map is as even as it can be.

    `takers`: other leaders that may be given shards; `machines`: {shard: its machines} of this leader's
    shards. Only numbers of shards count, which all leaders read from the same map. A leader with more than
    its equal part gives down to that part, always to the leader with fewest. So no leader gives what another
    one has to give, none gets what it would have to pass on, and none gives back.

    Machines are spread over shards by hash, so any shard is as good as another. A step moves no more than
    `most` of this leader's machines, but always at least one shard, so that the balance is reached.
    """
    counts = shard_map.counts([label, *takers])
    max_machines = most * sum(machines.values())
    least, rest = divmod(sum(counts.values()), len(counts))
    equal_part = least + (rest > 0)
    moves = {}
    machines_moved = 0
    for shard in shard_map.of(label):
        if not takers:
            break
        fewest = min(takers, key=lambda taker: (counts[taker], taker))
        if counts[label] <= equal_part and (counts[fewest] >= least or counts[label] < max(counts.values())):
            break  # what is left to move is for other leaders to give
        machines_here = machines.get(shard, 0)
        if machines_moved and machines_moved + machines_here > max_machines:
            break
        moves[shard] = fewest
        machines_moved += machines_here
        counts[label] -= 1
        counts[fewest] += 1
    return moves
