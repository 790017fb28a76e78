"""The arithmetic of the capacity page, from slopes that were measured."""

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any

_RESULTS = Path(__file__).parent.parent / 'benchmarks' / 'results'

NODES = 1400
REPLICAS = 4000
ACCELERATORS = 32_000
REQUESTS = 25_000
TOKENS = 5_400_000
GAP_SECONDS = 0.029
ACCOUNTS = 1000
MODELS = 33
ZONES = 13
CHANGES_PER_DAY = 16_000
STAGES = 4
LINKED_REPLICAS = 24
ACTIVATION_BYTES = 16_384
_DAY = 86_400
_MICRO = 1e-6
_MEGA = 1e6


@dataclass(frozen=True)
class Share:
    """What one node carries at the size of the users' letter."""

    requests: float
    tokens: float
    streams: float
    engines: float
    peers: int


def share_node() -> Share:
    """Divide the peak evenly over the nodes."""
    seconds = TOKENS / REQUESTS * GAP_SECONDS
    return Share(
        REQUESTS / NODES,
        TOKENS / NODES,
        REQUESTS * seconds / NODES,
        LINKED_REPLICAS * ACCELERATORS / REPLICAS,
        8 + 2 * (ZONES - 1),
    )


def load(name: str) -> dict[str, Any]:
    """Read what a benchmark recorded."""
    found: dict[str, Any] = json.loads((_RESULTS / f'{name}.json').read_text())
    return found


def compute_figures() -> dict[str, float]:
    """Work out the figures of the page."""
    slopes = load('slopes')['slopes']
    idle = load('idle')
    share = share_node()
    further = (STAGES - 1) * share.tokens * _MICRO
    handle = slopes['cpu_us_per_step_handle']
    raw = slopes['cpu_us_per_step_bytes']
    cpu_requests = share.requests * slopes['cpu_us_per_request'] * _MICRO
    cpu_tokens = share.tokens * slopes['cpu_us_per_token'] * _MICRO
    memory_path = share.streams * slopes['memory_b_per_stream']
    memory_links = share.engines * slopes['memory_b_per_engine']
    memory_accounts = ACCOUNTS * slopes['memory_b_per_account']
    base = idle['memory_mb'] * _MEGA
    changes = CHANGES_PER_DAY / _DAY
    watchers = 2 * ZONES
    return {
        'requests': share.requests,
        'tokens': share.tokens,
        'streams': share.streams,
        'engines': share.engines,
        'peers': share.peers,
        'cpu_requests': cpu_requests,
        'cpu_tokens': cpu_tokens,
        'cpu_handle': further * handle,
        'cpu_bytes': further * raw,
        'cpu_all_handle': cpu_requests + cpu_tokens + further * handle,
        'cpu_all_bytes': cpu_requests + cpu_tokens + further * raw,
        'relayed_mb_s': 2
        * (STAGES - 1)
        * share.tokens
        * ACTIVATION_BYTES
        / _MEGA,
        'memory_streams_mb': memory_path / _MEGA,
        'memory_links_mb': memory_links / _MEGA,
        'memory_accounts_mb': memory_accounts / _MEGA,
        'memory_all_mb': (base + memory_path + memory_links + memory_accounts)
        / _MEGA,
        'memory_every_engine_mb': ACCELERATORS
        * slopes['memory_b_per_engine']
        / _MEGA,
        'beat_b_s': share.peers * slopes['bytes_per_peer_s'],
        'demand_kb_s': share.peers * share.streams * 24 / 1000,
        'changes_s': changes,
        'change_kb_s': changes
        * share.peers
        * (slopes['bytes_per_changed_part'] + 100)
        / 1000,
        'index_kb': ACCOUNTS * slopes['bytes_index_per_part'] / 1000,
        'watcher_index_kb_s': changes
        * ACCOUNTS
        * slopes['bytes_index_per_part']
        / 1000,
        'watchers': watchers,
        'store_calls_s': watchers * slopes['store_calls_per_watcher_s']
        + changes * (watchers * 2 + 6),
        'idle_cpu': idle['cpu_percent'],
        'idle_mb': idle['memory_mb'],
        'idle_b_s': idle['bytes_per_s'],
    }


def render_capacity() -> str:
    """Write the page."""
    template = (Path(__file__).parent / 'capacity.template.md').read_text()
    figures = {
        name: f'{figure:,.3g}' if figure < 1000 else f'{figure:,.0f}'
        for name, figure in compute_figures().items()
    }
    rows = load('slopes')
    slopes = '\n'.join(
        f'| {name} | {value:,.4g} |' for name, value in rows['slopes'].items()
    )
    decisions = '\n'.join(
        f'| {row["decision"]} | {row["size"]} {row["by"]} | {row["us"]:,.4g} |'
        for row in rows['decisions']
    )
    return template.format(**figures, slopes=slopes, decisions_table=decisions)
