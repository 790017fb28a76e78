"""Steps of a starting process before it loads its libraries."""

import subprocess
import sys

_COUNT = """
from ryelatch_platform._begin import skip_system_certificates
skip_system_certificates()
import ssl
print(ssl.create_default_context().cert_store_stats()['x509'])
"""


def test_no_certificates_are_read_at_a_start() -> None:
    """A starting node parses all CA certificates while its clients wait."""
    made = subprocess.run(
        [sys.executable, '-c', _COUNT],
        capture_output=True,
        text=True,
        check=True,
        env={},
    )
    assert made.stdout.strip() == '0'
