"""The platform's names occur only in the package that translates them."""

import re
from pathlib import Path

from ryelatch_platform import _objects as objects

_ROOT = Path(__file__).parent.parent.parent
_HEADERS = re.compile(
    r'X-Ryelatch-(Request-Id|Deadline-Ms|Hop-Count|Expect-Replica|Expect-'
    r'Version|Token-Usage|Prefix-Hash|Replica-Signature|Not-Executed|Tenant|'
    r'Request-Priority|Length-Hint|Weight-Versions|Replica-Id)|Api-Key|'
    r'At-Server|Last-Event-Id|Server-Limit|Server-Leaving',
    re.IGNORECASE,
)


def _list_product() -> list[Path]:
    return [
        path
        for path in (_ROOT / 'packages').rglob('*.py')
        if '.venv' not in path.parts
    ]


def test_no_header_name_outside() -> None:
    named = [_HEADERS.findall(path.read_text()) for path in _list_product()]
    assert not any(named)


def test_no_field_name_outside() -> None:
    """A field name of the platform, in camel case, is used in the product."""
    source = Path(objects.__file__).read_text()
    names = set(re.findall(r"name='(\w*[a-z][A-Z]\w*)'", source))
    assert len(names) > 15
    text = '\n'.join(path.read_text() for path in _list_product())
    used = {name for name in names if re.search(rf"['\"]{name}['\"]", text)}
    assert not used


def test_product_does_not_import_the_adapter() -> None:
    sources = [path.read_text() for path in _list_product()]
    assert not any('ryelatch_platform' in source for source in sources)
