"""Access keys and what passes between gateways and controllers: keyed hashes (BLAKE3) of a secret.

A key reads `rh-NUMBER-ID-SECRET`: whose it is and which is said in it, so that it is found
without a search. Stored is only its digest under a key drawn from the master secret.
"""

import hmac
import re
import secrets

from blake3 import blake3

KEY_FORM = re.compile(r"rh-([0-9]{1,5})-([0-9]{1,9})-([0-9a-f]{48})\Z")
WINDOW_S = 120.0  # for which a signed request is taken; the clocks' bound is far below


class Secrets:
    """`master`: at least 32 bytes that all gateways and controllers have from their operators."""

    def __init__(self, master):
        self._digests = blake3(master, derive_key_context="roadhead 2026-12 access key digests").digest()
        self._requests = blake3(master, derive_key_context="roadhead 2026-12 internal requests").digest()
        self._new_keys = blake3(master, derive_key_context="roadhead 2026-12 keys of requests").digest()
        self._root = blake3(master, derive_key_context="roadhead 2026-12 root key").hexdigest()

    def digest(self, text):
        return blake3(text.encode(), key=self._digests).hexdigest()

    def root_key(self):
        """The key of whoever holds the master secret: good for all administration, never stored."""
        return f"rh-0-0-{self._root[:48]}"

    def is_root(self, text):
        return hmac.compare_digest(text.encode(), self.root_key().encode())

    def new_key(self, number, key_id, request=None):
        """(key, its digest). The same request makes the same key, so that a repeated one, whose
        first answer was lost, is told it too."""
        if request:
            secret = blake3(f"{number}\n{key_id}\n{request}".encode(), key=self._new_keys).hexdigest()[:48]
        else:
            secret = secrets.token_hex(24)
        text = f"rh-{number}-{key_id}-{secret}"
        return text, self.digest(text)

    def good(self, text, key):
        """Whether `text` is the stored key; takes as long where there is none."""
        stored = key.digest if key is not None else "0" * 64
        return hmac.compare_digest(self.digest(text), stored) and key is not None

    # Between gateways and controllers

    def sign(self, method, target, body, now):
        """The value of the header `roadhead-signature`."""
        at = f"{now:.3f}"
        return f"{at}:{self._mac(method, target, body, at)}"

    def signed(self, value, method, target, body, now):
        """Whether a controller may take the request for a gateway's. A repeated one does no harm:
        submissions and cancellations are the same however often they come."""
        at, colon, mac = (value or "").partition(":")
        try:
            fresh = colon and abs(now - float(at)) <= WINDOW_S
        except ValueError:
            return False
        return bool(fresh) and hmac.compare_digest(mac.encode(), self._mac(method, target, body, at).encode())

    def _mac(self, method, target, body, at):
        head = f"{method}\n{target}\n{at}\n".encode()
        return blake3(head + body, key=self._requests).hexdigest()


def split_key(text):
    """(tenant's number, key's id) that a key names, or None if it has no key's form."""
    match = KEY_FORM.match(text)
    return (int(match[1]), int(match[2])) if match else None
