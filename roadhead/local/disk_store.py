"""What the stand-in state service keeps on disk: every change is there before it is answered."""

import cbor2
import lmdb

MAP_BYTES = 1 << 30
EPOCH, PERMITS = b"epoch", b"permits"


class DiskStore:
    def __init__(self, path):
        self._env = lmdb.open(path, map_size=MAP_BYTES, max_dbs=3)
        self._data = self._env.open_db(b"data")
        self._leases = self._env.open_db(b"leases")
        self._meta = self._env.open_db(b"meta")

    def load(self):
        """(data, epoch, lives of the leases, last permit) as last saved."""
        with self._env.begin() as txn:
            data = {key.decode(): tuple(cbor2.loads(value)) for key, value in txn.cursor(self._data)}
            leases = {int(key): float(value) for key, value in txn.cursor(self._leases)}
            epoch, permits = (int(txn.get(key, b"0", self._meta)) for key in (EPOCH, PERMITS))
        return data, epoch, leases, permits

    def save(self, epoch, puts, drops=()):
        """`puts`: {key: (value, stamp, permit)}. On disk, or an exception."""
        with self._env.begin(write=True) as txn:
            for key, entry in puts.items():
                txn.put(key.encode(), cbor2.dumps(entry), db=self._data)
            for key in drops:
                txn.delete(key.encode(), db=self._data)
            txn.put(EPOCH, b"%d" % epoch, db=self._meta)

    def lease(self, permit, life_s, last):
        """A lease begins, or ends where `life_s` is None."""
        with self._env.begin(write=True) as txn:
            if life_s is None:
                txn.delete(b"%d" % permit, db=self._leases)
            else:
                txn.put(b"%d" % permit, b"%r" % life_s, db=self._leases)
            txn.put(PERMITS, b"%d" % last, db=self._meta)
