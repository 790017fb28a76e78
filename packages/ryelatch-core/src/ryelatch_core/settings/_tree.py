"""Inheritance of policies down the settings tree."""

import hashlib
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, fields, replace
from typing import Any

from ryelatch_core.settings._schema import Account, Policy, Settings

DEFAULTS = Policy(
    weight=1,
    priority=5,
    concurrent=1000,
    queue=1000,
    queue_wait=10,
    deadline=300,
    max_tokens=4096,
)


@dataclass(frozen=True)
class EffectivePolicy:
    """A policy after inheritance: the fields of ``Policy``, all of them set.

    Only ``models`` and ``routes`` may be ``None``, where all may be used.
    """

    weight: float
    priority: int
    concurrent: int
    queue: int
    queue_wait: float
    deadline: float
    max_tokens: int
    models: tuple[str, ...] | None
    routes: tuple[str, ...] | None


@dataclass(frozen=True)
class Origin:
    """Where the value of a policy field comes from.

    :param setting: value of the field.
    :param source: path of the settings node that sets it.
    """

    field: str
    setting: Any
    source: str


@dataclass(frozen=True)
class AccountEntry:
    """A client account with its effective policy."""

    path: str
    policy: EffectivePolicy


@dataclass(frozen=True)
class AccountDirectory:
    """Client accounts by the hash of each key, and by path."""

    by_key: Mapping[str, AccountEntry]
    by_path: Mapping[str, AccountEntry]


def hash_key(key: str) -> str:
    """Hash a key of a client or operator, in the form of the settings."""
    return f'sha256:{hashlib.sha256(key.encode()).hexdigest()}'


def inherit(parent: Policy, child: Policy) -> Policy:
    """Take unset fields of the child from the parent."""
    overrides = {
        entry.name: getattr(child, entry.name)
        for entry in fields(Policy)
        if getattr(child, entry.name) is not None
    }
    return replace(parent, **overrides)


def build_directory(settings: Settings) -> AccountDirectory:
    """Compute the effective policy of each client account.

    This runs once per revision instead of once per request.
    """
    entries = [
        (AccountEntry(path, _make_effective(policy)), account.keys)
        for path, policy, account in _walk(
            settings, 'accounts', inherit(DEFAULTS, settings.policy)
        )
    ]
    return AccountDirectory(
        {key: entry for entry, keys in entries for key in keys},
        {entry.path: entry for entry, _ in entries},
    )


def explain_policy(settings: Settings, path: str) -> list[Origin] | None:
    """Find where each policy field of a client account comes from.

    :param path: such as ``accounts/clinics/district-1``.
    :returns: an origin for each field; ``None`` if there is no such account.
    """
    origins = {
        entry.name: Origin(
            entry.name, getattr(DEFAULTS, entry.name), 'built in'
        )
        for entry in fields(Policy)
    }
    policies = [('/', settings.policy)]
    node: Settings | Account = settings
    location = ''
    for name in path.strip('/').split('/')[1:]:
        if name not in node.accounts:
            return None
        node = node.accounts[name]
        location = f'{location}/{name}'
        policies.append((f'accounts{location}', node.policy))
    for source, policy in policies:
        for name in origins:
            stated = getattr(policy, name)
            if stated is not None:
                origins[name] = Origin(name, stated, source)
    return list(origins.values())


def _walk(
    node: Settings | Account,
    path: str,
    policy: Policy,
) -> Iterator[tuple[str, Policy, Account]]:
    for name, account in node.accounts.items():
        location = f'{path}/{name}'
        merged = inherit(policy, account.policy)
        yield location, merged, account
        yield from _walk(account, location, merged)


def _make_effective(policy: Policy) -> EffectivePolicy:
    return EffectivePolicy(
        **{
            entry.name: getattr(policy, entry.name)
            for entry in fields(EffectivePolicy)
        }
    )
