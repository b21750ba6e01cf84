"""Converts tenants' own job ids and team names to and from the ids and names inside the service.

Both mappings are one to one and need neither lookups nor writes. The protocol allows 30 digits in a job id:
five for the tenant's number, which is never reused, and 25 for the tenant's own id, read as a number in
bijective base 39. 25 digits hold all texts of up to 15 characters from an alphabet of 39.

All jobs of a tenant are adjacent in the state service, under `prefix(number)`.
"""

import re

ALPHABET = "abcdefghijklmnopqrstuvwxyz0123456789-_."
BASE = len(ALPHABET)
LONGEST = 15
NUMBER_DIGITS = 5
ID_DIGITS = 25
MOST_TENANTS = 10**NUMBER_DIGITS - 1
OWN_ID = re.compile(r"[a-z0-9._-]{1,15}\Z")
LETTER_VALUES = {letter: value for value, letter in enumerate(ALPHABET, 1)}
VALUE_LETTERS = dict(enumerate(ALPHABET, 1))


def prefix(number):
    """Returns the common prefix of the protocol ids of all jobs of a tenant."""
    return f"req-{number:0{NUMBER_DIGITS}d}"


def to_job(number, own):
    """Returns the protocol id of a tenant's job. Raises ValueError if `own` is not a valid job id."""
    if not OWN_ID.match(own):
        raise ValueError("a job id has 1 to 15 characters of a-z, 0-9, '-', '_' and '.'")
    value = 0
    for letter in own:
        value = value * BASE + LETTER_VALUES[letter]
    return f"{prefix(number)}{value:0{ID_DIGITS}d}"


def from_job(job_id):
    """Returns (tenant number, own id) for a protocol id, or None if it belongs to no tenant."""
    digits = job_id.removeprefix("req-")
    if len(digits) != NUMBER_DIGITS + ID_DIGITS or not digits.isdigit():
        return None
    number, value = int(digits[:NUMBER_DIGITS]), int(digits[NUMBER_DIGITS:])
    letters = []
    while value:
        value, letter = divmod(value, BASE)
        if not letter:
            value, letter = value - 1, BASE
        letters.append(VALUE_LETTERS[letter])
    own = "".join(reversed(letters))
    return (number, own) if OWN_ID.match(own) else None


def to_team(number, team):
    """Returns the service's name for a tenant's team."""
    return f"{number}/{team}"


def from_team(name):
    """Returns (tenant number, own team name), or (None, name) in a deployment without tenants."""
    number, slash, team = name.partition("/")
    return (int(number), team) if slash and number.isdigit() else (None, name)
