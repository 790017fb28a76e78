"""Computes the figures of the capacity page from measured slopes."""

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
class NodeLoad:
    """The load of one node at the peak of the target fleet.

    :param requests: requests per second.
    :param tokens: tokens per second.
    :param streams: streams that are open at the same time.
    :param engines: engines that the node is connected to.
    :param peers: nodes that the node is connected to.
    """

    requests: float
    tokens: float
    streams: float
    engines: float
    peers: int


def compute_node_load() -> NodeLoad:
    """Divide the peak load evenly over the nodes."""
    seconds = TOKENS / REQUESTS * GAP_SECONDS
    return NodeLoad(
        REQUESTS / NODES,
        TOKENS / NODES,
        REQUESTS * seconds / NODES,
        LINKED_REPLICAS * ACCELERATORS / REPLICAS,
        8 + 2 * (ZONES - 1),
    )


def load(name: str) -> dict[str, Any]:
    """Read the result of a benchmark."""
    result: dict[str, Any] = json.loads((_RESULTS / f'{name}.json').read_text())
    return result


def compute_figures() -> dict[str, float]:
    """Compute the figures of the page, by their name in the template."""
    slopes = load('slopes')['slopes']
    idle = load('idle')
    node = compute_node_load()
    later_steps = (STAGES - 1) * node.tokens * _MICRO
    cpu_handle = slopes['cpu_us_per_step_handle']
    cpu_bytes = slopes['cpu_us_per_step_bytes']
    cpu_requests = node.requests * slopes['cpu_us_per_request'] * _MICRO
    cpu_tokens = node.tokens * slopes['cpu_us_per_token'] * _MICRO
    memory_streams = node.streams * slopes['memory_b_per_stream']
    memory_engines = node.engines * slopes['memory_b_per_engine']
    memory_accounts = ACCOUNTS * slopes['memory_b_per_account']
    base = idle['memory_mb'] * _MEGA
    changes = CHANGES_PER_DAY / _DAY
    watchers = 2 * ZONES
    return {
        'requests': node.requests,
        'tokens': node.tokens,
        'streams': node.streams,
        'engines': node.engines,
        'peers': node.peers,
        'cpu_requests': cpu_requests,
        'cpu_tokens': cpu_tokens,
        'cpu_handle': later_steps * cpu_handle,
        'cpu_bytes': later_steps * cpu_bytes,
        'cpu_all_handle': cpu_requests + cpu_tokens + later_steps * cpu_handle,
        'cpu_all_bytes': cpu_requests + cpu_tokens + later_steps * cpu_bytes,
        'relayed_mb_s': 2
        * (STAGES - 1)
        * node.tokens
        * ACTIVATION_BYTES
        / _MEGA,
        'memory_streams_mb': memory_streams / _MEGA,
        'memory_links_mb': memory_engines / _MEGA,
        'memory_accounts_mb': memory_accounts / _MEGA,
        'memory_all_mb': (
            base + memory_streams + memory_engines + memory_accounts
        )
        / _MEGA,
        'memory_every_engine_mb': ACCELERATORS
        * slopes['memory_b_per_engine']
        / _MEGA,
        'beat_b_s': node.peers * slopes['bytes_per_peer_s'],
        'demand_kb_s': node.peers * node.streams * 24 / 1000,
        'changes_s': changes,
        'change_kb_s': changes
        * node.peers
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
    """Render the capacity page from its template."""
    template = (Path(__file__).parent / 'capacity.template.md').read_text()
    figures = {
        name: f'{figure:,.3g}' if figure < 1000 else f'{figure:,.0f}'
        for name, figure in compute_figures().items()
    }
    results = load('slopes')
    slopes = '\n'.join(
        f'| {name} | {value:,.4g} |'
        for name, value in results['slopes'].items()
    )
    decisions = '\n'.join(
        f'| {row["decision"]} | {row["size"]} {row["by"]} | {row["us"]:,.4g} |'
        for row in results['decisions']
    )
    return template.format(**figures, slopes=slopes, decisions_table=decisions)
