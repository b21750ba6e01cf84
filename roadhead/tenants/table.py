"""All tenants known here: a persistent map, so that a reader keeps the snapshot it began with."""

import logging

import immutables
import msgspec

from roadhead.tenants import ids
from roadhead.tenants.records import TENANT, from_record

log = logging.getLogger("roadhead.tenants")


class TenantEntry:
    """A tenant with the stamp of its record, by which transactions are guarded, and its teams by
    their names in the service."""

    __slots__ = ("stamp", "teams", "tenant")

    def __init__(self, tenant, stamp):
        self.tenant = tenant
        self.stamp = stamp
        self.teams = {ids.to_team(tenant.number, team.name): team for team in tenant.teams}


class TenantTable:
    """`on_change(old, new)` is told of each change, with entries or None."""

    def __init__(self, on_change=lambda old, new: None):
        self._on_change = on_change
        self.entries = immutables.Map()  # number -> Entry

    def take(self, key, record, stamp):
        """A record read or heard of; an older one than is known changes nothing."""
        old = self.entries.get(int(key[len(TENANT) :]))
        if old is not None and stamp <= old.stamp:
            return
        try:
            entry = TenantEntry(from_record(record), stamp)
        except (msgspec.ValidationError, KeyError, TypeError) as error:
            log.error("record %s is not a tenant's: %s", key, error)
            return
        tenant = entry.tenant
        self.entries = self.entries.set(tenant.number, entry)
        self._on_change(old, entry)

    def entry(self, number):
        return self.entries.get(number)

    def team(self, name):
        """(Entry, Team) of a team by its name in the service, or (None, None)."""
        number, _own = ids.from_team(name)
        entry = self.entries.get(number) if number is not None else None
        return (entry, entry.teams.get(name)) if entry is not None else (None, None)
