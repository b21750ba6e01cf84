"""Rendezvous hashing."""

from hashlib import blake2b


def rendezvous_choice(labels, name):
    """The label with the highest hash together with `name`, None without labels."""
    data = name.encode()
    return max(
        labels,
        key=lambda label: blake2b(data, digest_size=8, key=label.encode()[:64]).digest(),
        default=None,
    )
