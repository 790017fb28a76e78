"""Tests of copies of deployments with changed figures."""

import pytest

from scripts import load_script

_TEXT = 'a = [{ kind = "big", mbps = 13000.0 }, { kind = "small", count = 3 }]'
_copies = load_script('copies')


def test_number_is_scaled() -> None:
    """An integer stays an integer."""
    assert 'mbps = 3250 }' in _copies.scale(_TEXT, 'mbps', 0.25)
    assert 'count = 6 }' in _copies.scale(_TEXT, 'count', 2)


def test_names_are_exchanged() -> None:
    """Other figures beside the names stay as they are."""
    changed = _copies.swap(_TEXT, 'big', 'small')
    assert '"small", mbps' in changed
    assert '"big", count' in changed


@pytest.mark.parametrize('name', ['none', 'kind'])
def test_unknown_number_is_refused(name: str) -> None:
    """A mistyped name would give a copy without any change."""
    with pytest.raises(ValueError, match=name):
        _copies.scale(_TEXT, name, 2)


def test_unknown_name_is_refused() -> None:
    """A mistyped name would give a copy without an exchange."""
    with pytest.raises(ValueError, match='none'):
        _copies.swap(_TEXT, 'big', 'none')
