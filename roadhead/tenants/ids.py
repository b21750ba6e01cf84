"""Tenants' own job ids and team names, and the ids and names that the service uses for them.

Both ways are one to one, need no look-up and no write. The protocol gives an id 30 digits: five
for the tenant's number, which is never given twice, and 25 for the tenant's own id, read as a
number in bijective base 39. 25 digits hold all texts of up to 15 of 39 characters.

All jobs of a tenant lie next to one another in the state service, under `prefix(number)`.
"""

import re

ALPHABET = "abcdefghijklmnopqrstuvwxyz0123456789-_."
BASE = len(ALPHABET)
LONGEST = 15
NUMBER_DIGITS = 5
ID_DIGITS = 25
MOST_TENANTS = 10**NUMBER_DIGITS - 1
OWN_ID = re.compile(r"[a-z0-9._-]{1,15}\Z")
VALUES = {letter: value for value, letter in enumerate(ALPHABET, 1)}
LETTERS = dict(enumerate(ALPHABET, 1))


def prefix(number):
    """What the protocol's ids of all jobs of a tenant begin with."""
    return f"req-{number:0{NUMBER_DIGITS}d}"


def to_job(number, own):
    """The protocol's id of a tenant's job. Raises ValueError for an id that can't be one."""
    if not OWN_ID.match(own):
        raise ValueError("a job id has 1 to 15 characters of a-z, 0-9, '-', '_' and '.'")
    value = 0
    for letter in own:
        value = value * BASE + VALUES[letter]
    return f"{prefix(number)}{value:0{ID_DIGITS}d}"


def from_job(job_id):
    """(tenant's number, its own id) of an id of the protocol's form; None if no tenant has it."""
    digits = job_id.removeprefix("req-")
    if len(digits) != NUMBER_DIGITS + ID_DIGITS or not digits.isdigit():
        return None
    number, value = int(digits[:NUMBER_DIGITS]), int(digits[NUMBER_DIGITS:])
    letters = []
    while value:
        value, letter = divmod(value, BASE)
        if not letter:
            value, letter = value - 1, BASE
        letters.append(LETTERS[letter])
    own = "".join(reversed(letters))
    return (number, own) if OWN_ID.match(own) else None


def to_team(number, team):
    """The name by which the service knows a tenant's team."""
    return f"{number}/{team}"


def from_team(name):
    """(tenant's number, its own name of the team), or (None, name) where there are no tenants."""
    number, slash, team = name.partition("/")
    return (int(number), team) if slash and number.isdigit() else (None, name)
