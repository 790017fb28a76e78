"""Contexts for streams between nodes that are encrypted."""

import ssl

from ryelatch_core.settings import Tls


def make_server_tls(tls: Tls | None) -> ssl.SSLContext | None:
    """Make what a node needs to accept others; nothing without settings."""
    if tls is None:
        return None
    context = ssl.create_default_context(
        ssl.Purpose.CLIENT_AUTH, cafile=tls.authority
    )
    context.load_cert_chain(tls.certificate, tls.key)
    context.verify_mode = ssl.CERT_REQUIRED
    return context


def make_client_tls(tls: Tls | None) -> ssl.SSLContext | None:
    """Make what a node needs to dial others; nothing without settings."""
    if tls is None:
        return None
    context = ssl.create_default_context(cafile=tls.authority)
    context.load_cert_chain(tls.certificate, tls.key)
    # Peers are named by address; that the authority signed is what counts.
    context.check_hostname = False
    return context
