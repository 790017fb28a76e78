"""TLS contexts for streams between nodes."""

import ssl

from ryelatch_core.settings import Tls


def make_server_tls(tls: Tls | None) -> ssl.SSLContext | None:
    """Make the context for incoming streams; nothing without settings."""
    if tls is None:
        return None
    context = ssl.create_default_context(
        ssl.Purpose.CLIENT_AUTH, cafile=tls.authority
    )
    context.load_cert_chain(tls.certificate, tls.key)
    context.verify_mode = ssl.CERT_REQUIRED
    return context


def make_client_tls(tls: Tls | None) -> ssl.SSLContext | None:
    """Make the context for outgoing streams; nothing without settings."""
    if tls is None:
        return None
    context = ssl.create_default_context(cafile=tls.authority)
    context.load_cert_chain(tls.certificate, tls.key)
    # Peers are dialled by address, which their certificates needn't name.
    # A certificate signed by the authority is sufficient.
    context.check_hostname = False
    return context
