"""Access keys, and signatures between gateways and controllers: BLAKE3 keyed hashes under a master secret.

A key has the form `rh-NUMBER-ID-SECRET`. It contains the tenant's number and the key's id, so that it is
found without a search. Only its digest is stored, under a hash key derived from the master secret.
"""

import hmac
import re
import secrets

from blake3 import blake3

KEY_PATTERN = re.compile(r"rh-([0-9]{1,5})-([0-9]{1,9})-([0-9a-f]{48})\Z")
SIGNATURE_VALIDITY_S = 120.0  # validity of a signed request; the deployment's clocks differ by far less


class Secrets:
    """Derives and checks keys and signatures.

    `master`: at least 32 bytes that operators give to all gateways and controllers.
    """

    def __init__(self, master):
        self._digests = blake3(master, derive_key_context="roadhead 2026-12 access key digests").digest()
        self._requests = blake3(master, derive_key_context="roadhead 2026-12 internal requests").digest()
        self._new_keys = blake3(master, derive_key_context="roadhead 2026-12 keys of requests").digest()
        self._root = blake3(master, derive_key_context="roadhead 2026-12 root key").hexdigest()

    def digest(self, text):
        """Returns the digest under which a key is stored."""
        return blake3(text.encode(), key=self._digests).hexdigest()

    def root_key(self):
        """Returns the key that may administer everything.

        It is derived from the master secret and never stored.
        """
        return f"rh-0-0-{self._root[:48]}"

    def is_root(self, text):
        """Returns whether `text` is the root key, in constant time."""
        return hmac.compare_digest(text.encode(), self.root_key().encode())

    def new_key(self, number, key_id, request=None):
        """Returns (key, its digest).

        The same idempotency key `request` yields the same key, so that a repeated request whose first answer
        was lost gets it again.
        """
        if request:
            secret = blake3(f"{number}\n{key_id}\n{request}".encode(), key=self._new_keys).hexdigest()[:48]
        else:
            secret = secrets.token_hex(24)
        text = f"rh-{number}-{key_id}-{secret}"
        return text, self.digest(text)

    def matches(self, text, key):
        """Returns whether `text` matches the stored Key or None, in the same time for both."""
        stored = key.digest if key is not None else "0" * 64
        return hmac.compare_digest(self.digest(text), stored) and key is not None

    # Between gateways and controllers

    def sign(self, method, target, body, now):
        """Returns the value of the header `roadhead-signature`."""
        timestamp = f"{now:.3f}"
        return f"{timestamp}:{self._mac(method, target, body, timestamp)}"

    def is_signature_valid(self, value, method, target, body, now):
        """Returns whether the request carries a gateway's valid signature.

        Replayed requests are harmless: submissions and cancellations are idempotent.
        """
        timestamp, colon, mac = (value or "").partition(":")
        try:
            is_recent = colon and abs(now - float(timestamp)) <= SIGNATURE_VALIDITY_S
        except ValueError:
            return False
        return bool(is_recent) and hmac.compare_digest(
            mac.encode(), self._mac(method, target, body, timestamp).encode()
        )

    def _mac(self, method, target, body, timestamp):
        header = f"{method}\n{target}\n{timestamp}\n".encode()
        return blake3(header + body, key=self._requests).hexdigest()


def split_key(text):
    """Returns (tenant number, key id) from a key, or None if it is malformed."""
    match = KEY_PATTERN.match(text)
    return (int(match[1]), int(match[2])) if match else None
