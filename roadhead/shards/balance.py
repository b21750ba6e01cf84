"""Which shares a home gives away so that all carry about as many: a pure decision, a step at a time."""

STEP = 1 / 8  # of the machines that a home has, given away in one step at the most


def plan_moves(shard_map, label, takers, machines, most=STEP):
    """{share: label} that the home `label` gives away now; empty if the map is as even as it can be.

    `takers`: other homes that may be given any; `machines`: {share: machines there} of this home's.
    By number of shares, which all read from the same map: whoever has more than its equal part gives
    down to that, to the one with fewest. So no home gives what another has to give, none gets what it
    would have to give on, and none gives back.
    Machines spread over shares by hash, so any shares are as good as others. No more machines move
    at once than `most` of those here, but one share always may, so that every step gets on.
    """
    counts = shard_map.counts([label, *takers])
    bound = most * sum(machines.values())
    least, over = divmod(sum(counts.values()), len(counts))
    equal = least + (over > 0)
    moves = {}
    moved = 0
    for shard in shard_map.of(label):
        if not takers:
            break
        fewest = min(takers, key=lambda taker: (counts[taker], taker))
        if counts[label] <= equal and (counts[fewest] >= least or counts[label] < max(counts.values())):
            break  # the rest is for others to give
        here = machines.get(shard, 0)
        if moved and moved + here > bound:
            break
        moves[shard] = fewest
        moved += here
        counts[label] -= 1
        counts[fewest] += 1
    return moves
