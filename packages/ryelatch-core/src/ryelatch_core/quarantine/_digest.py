"""Digests of requests, equal for requests with the same content."""

import hashlib

_DIGEST_BYTES = 8
"""Among a million requests, two share a digest of 64 bits with odds of about
one in thirty million."""


def digest_request(
    host: str,
    method: str,
    target: str,
    account: str,
    body: bytes,
) -> str:
    """Compute the digest of a request's content and client account.

    Clients use a new request id for each retry, so a repeated request can be
    recognized by its content only.

    :param host: host that the request is addressed to.
    :param method: HTTP method.
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
