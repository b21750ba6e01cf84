"""Stores the emulated state service's data on disk; every change is on disk before the response to it."""

import cbor2
import lmdb

MAP_BYTES = 1 << 30
EPOCH, LAST_LEASE_ID = b"epoch", b"permits"  # keys in the `meta` database


class DiskStore:
    """A store of keys and leases in an LMDB environment."""

    def __init__(self, path):
        self._env = lmdb.open(path, map_size=MAP_BYTES, max_dbs=3)
        self._data = self._env.open_db(b"data")
        self._leases = self._env.open_db(b"leases")
        self._meta = self._env.open_db(b"meta")

    def load(self):
        """Returns (data, epoch, lease id -> lifetime in seconds, last lease id) as last saved."""
        with self._env.begin() as txn:
            data = {key.decode(): tuple(cbor2.loads(value)) for key, value in txn.cursor(self._data)}
            leases = {int(key): float(value) for key, value in txn.cursor(self._leases)}
            epoch, last_lease_id = (int(txn.get(key, b"0", self._meta)) for key in (EPOCH, LAST_LEASE_ID))
        return data, epoch, leases, last_lease_id

    def save(self, epoch, puts, drops=()):
        """Saves a transaction; `puts` is {key: (value, revision, lease id)}. Raises lmdb.Error on failure."""
        with self._env.begin(write=True) as txn:
            for key, entry in puts.items():
                txn.put(key.encode(), cbor2.dumps(entry), db=self._data)
            for key in drops:
                txn.delete(key.encode(), db=self._data)
            txn.put(EPOCH, b"%d" % epoch, db=self._meta)

    def lease(self, lease_id, life_s, last_lease_id):
        """Saves a new lease, or the end of one if `life_s` is None."""
        with self._env.begin(write=True) as txn:
            if life_s is None:
                txn.delete(b"%d" % lease_id, db=self._leases)
            else:
                txn.put(b"%d" % lease_id, b"%r" % life_s, db=self._leases)
            txn.put(LAST_LEASE_ID, b"%d" % last_lease_id, db=self._meta)
