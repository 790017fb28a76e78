"""Copies of deployments change what they say, and nothing else."""

import pytest

from scripts import load_script

_TEXT = 'a = [{ kind = "big", mbps = 13000.0 }, { kind = "small", count = 3 }]'
_copies = load_script('copies')


def test_number_is_scaled() -> None:
    """A whole number stays one."""
    assert 'mbps = 3250 }' in _copies.scale(_TEXT, 'mbps', 0.25)
    assert 'count = 6 }' in _copies.scale(_TEXT, 'count', 2)


def test_names_are_exchanged() -> None:
    """Both keep their other figures."""
    changed = _copies.swap(_TEXT, 'big', 'small')
    assert '"small", mbps' in changed
    assert '"big", count' in changed


@pytest.mark.parametrize('name', ['none', 'kind'])
def test_unknown_number_is_refused(name: str) -> None:
    """A copy that changes nothing would pass for one that does."""
    with pytest.raises(ValueError, match=name):
        _copies.scale(_TEXT, name, 2)


def test_unknown_name_is_refused() -> None:
    """The same for an exchange."""
    with pytest.raises(ValueError, match='none'):
        _copies.swap(_TEXT, 'big', 'none')
