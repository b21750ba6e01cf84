"""Which shares a home gives away so that all carry about as many: a pure decision, a step at a time."""

STEP = 1 / 8  # of the machines that a home has, given away in one step at the most


def step(shares, label, takers, machines, most=STEP):
    """{share: label} that the home `label` gives away now; empty if the map is as even as it can be.

    `takers`: other homes that may be given any; `machines`: {share: machines there} of this home's.
    By number of shares, which all read from the same map, so two homes never undo each other's
    moves: a share goes only where two fewer are, and afterwards there are still no more than here.
    Machines spread over shares by hash, so any shares are as good as others. No more machines move
    at once than `most` of those here, but one share always may, so that every step gets on.
    """
    counts = shares.counts([label, *takers])
    bound = most * sum(machines.values())
    moves = {}
    moved = 0
    for share in shares.of(label):
        if not takers:
            break
        fewest = min(takers, key=lambda taker: (counts[taker], taker))
        if counts[label] - counts[fewest] < 2:
            break
        here = machines.get(share, 0)
        if moved and moved + here > bound:
            break
        moves[share] = fewest
        moved += here
        counts[label] -= 1
        counts[fewest] += 1
    return moves
