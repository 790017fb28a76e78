"""Tests for inheritance in the settings tree."""

from ryelatch_core.settings import (
    Account,
    Policy,
    Settings,
    build_directory,
    explain_policy,
    hash_key,
)

_SETTINGS = Settings(
    policy=Policy(weight=2, queue=10),
    accounts={
        'clinics': Account(
            policy=Policy(priority=6),
            accounts={
                'cho-ray': Account(
                    policy=Policy(queue=5), keys=(hash_key('k'),)
                )
            },
        )
    },
)


def test_silent_nodes_inherit() -> None:
    directory = build_directory(_SETTINGS)
    entry = directory.by_key[hash_key('k')]
    assert entry.path == 'accounts/clinics/cho-ray'
    policy = entry.policy
    assert (policy.weight, policy.priority, policy.queue) == (2, 6, 5)
    assert policy.models is None


def test_explain_tells_where_from() -> None:
    origins = explain_policy(_SETTINGS, 'accounts/clinics/cho-ray')
    assert origins is not None
    sources = {origin.field: origin.source for origin in origins}
    assert sources['weight'] == '/'
    assert sources['priority'] == 'accounts/clinics'
    assert sources['queue'] == 'accounts/clinics/cho-ray'
    assert sources['deadline'] == 'built in'
    assert explain_policy(_SETTINGS, 'accounts/none') is None
