"""The table of all known tenants: a persistent map, so that readers keep a consistent snapshot."""

import logging

import immutables
import msgspec

from roadhead.tenants import ids
from roadhead.tenants.records import TENANT, from_record

log = logging.getLogger("roadhead.tenants")


class TenantEntry:
    """A tenant with the stamp of its record, which guards transactions.

    `teams` maps the service's names of its teams to them.
    """

    __slots__ = ("stamp", "teams", "tenant")

    def __init__(self, tenant, stamp):
        self.tenant = tenant
        self.stamp = stamp
        self.teams = {ids.to_team(tenant.number, team.name): team for team in tenant.teams}


class TenantTable:
    """Holds the newest known record of each tenant. `on_change(old, new)` is called with entries or None."""

    def __init__(self, on_change=lambda old, new: None):
        self._on_change = on_change
        self.entries = immutables.Map()  # number -> TenantEntry

    def take(self, key, record, stamp):
        """Takes a record that was read or received from a watch, unless it is older than the known one."""
        old = self.entries.get(int(key[len(TENANT) :]))
        if old is not None and stamp <= old.stamp:
            return
        try:
            entry = TenantEntry(from_record(record), stamp)
        except (msgspec.ValidationError, KeyError, TypeError) as error:
            log.error("record %s is not a valid tenant: %s", key, error)
            return
        tenant = entry.tenant
        self.entries = self.entries.set(tenant.number, entry)
        self._on_change(old, entry)

    def entry(self, number):
        """Returns the TenantEntry of the tenant with that number, or None."""
        return self.entries.get(number)

    def team(self, name):
        """Returns (TenantEntry, Team) by the service's name for a team, or (None, None)."""
        number, _own = ids.from_team(name)
        entry = self.entries.get(number) if number is not None else None
        return (entry, entry.teams.get(name)) if entry is not None else (None, None)
