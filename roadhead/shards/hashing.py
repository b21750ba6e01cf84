"""Rendezvous hashing."""

from hashlib import blake2b


def rendezvous_choice(labels, name):
    """Rendezvous hash: the label that weighs most for `name`."""
    data = name.encode()
    return max(
        labels,
        key=lambda label: blake2b(data, digest_size=8, key=label.encode()[:64]).digest(),
        default=None,
    )
