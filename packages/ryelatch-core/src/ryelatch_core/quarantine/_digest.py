"""Tells whether two requests ask for the same."""

import hashlib

_DIGEST_BYTES = 8
"""Sixty-four bits: that two of a million requests share one has odds of about
one in thirty million."""


def digest_request(
    host: str,
    method: str,
    target: str,
    account: str,
    body: bytes,
) -> str:
    """Shorten what a request asks for, and who asks.

    Each attempt of a client has an identity of its own, so only the content
    tells that a request comes again.

    :param target: path and query.
    :param account: name of the client account; empty if anonymous.
    :returns: hexadecimal digits, equal for equal requests.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (host, method, target, account):
        encoded = part.encode()
        digest.update(len(encoded).to_bytes(4))
        digest.update(encoded)
    digest.update(body)
    return digest.hexdigest()
