"""Capacity page, derived from the measured figures.

The constants are the target size of the deployment, the budgets for control
traffic and the limits of the object store; the page explains them.
"""

from collections.abc import Mapping
from pathlib import Path
from string import Template
from typing import Any

import orjson

from siskinpass.process.membership import UPDATE_REPEATS

FIGURES = Path('docs/capacity.json')
PAGE = Path('docs/CAPACITY.md')
TEMPLATE = Path('bench/capacity_page.tmpl')

INSTANCES = 450
BACKEND_SERVERS = 3700
REQUESTS_PER_S = 21_000
TOKENS_PER_S = 7_700_000
WORKSPACES = 1600
EDITS_PER_DAY = 15_000
DAY_S = 86_400
GROUP_SIZE = 8
TOKENS_PER_REQUEST = TOKENS_PER_S / REQUESTS_PER_S
SESSIONS_PER_INSTANCE = 16
HEARTBEAT_BYTES = 130
HEARTBEATS_PER_S = 2 / 0.15  # of both ends of an idle broker session
CONTROL_CPU_BUDGET_MS = 26.0
CONTROL_BYTES_BUDGET = 5000
BUDGET_MB = 32.0
STORE_WRITES_PER_S = 500
STORE_READS_PER_S = 2000
CLAIMED_FRACTION = 0.01  # of requests with a claim


def render(figures: Mapping[str, Any]) -> str:
    """Return the text of the page for the figures of ``capacity.measure``."""
    values = _template_values(figures)
    return Template(TEMPLATE.read_text()).substitute(values)


def write() -> None:
    """Write the page for the figures in ``docs/capacity.json``."""
    PAGE.write_text(render(orjson.loads(FIGURES.read_bytes())))


def _template_values(figures: Mapping[str, Any]) -> dict[str, str]:
    values: dict[str, Any] = {
        'group_size': GROUP_SIZE,
        'news': UPDATE_REPEATS,
        **_load_values(figures),
        **_control_values(figures),
        **_state_values(figures),
        **_store_values(),
    }
    values['relay_table'] = _relay_table(figures['relay'])
    values['broker_table'] = _broker_table(figures)
    values['member_table'] = _member_table(figures['members'])
    values['tree_table'] = _tree_table(figures['tree'])
    return {
        name: f'{figure:,.4g}' if isinstance(figure, float) else str(figure)
        for name, figure in values.items()
    }


def _load_values(figures: Mapping[str, Any]) -> dict[str, Any]:
    relay = figures['relay']['400']
    requests = REQUESTS_PER_S / INSTANCES
    tokens = TOKENS_PER_S / INSTANCES
    call_ms = relay['cpu_ms_per_call']['median']
    token_us = relay['cpu_us_per_token']['median']
    streams = tokens * 0.027
    return {
        'requests_node': round(requests, 1),
        'tokens_node': round(tokens),
        'tokens_request': round(TOKENS_PER_REQUEST),
        'streams_node': round(streams),
        'call_ms': call_ms,
        'token_us': token_us,
        'relay_core': round(tokens * token_us / 1e6, 2),
        'call_core': round(requests * call_ms / 1e3, 3),
        'stream_kb': relay['kb_per_stream']['median'],
        'stream_mb': round(streams * relay['kb_per_stream']['median'] / 1024),
    }


def _control_values(figures: Mapping[str, Any]) -> dict[str, Any]:
    session = figures['session']
    members = figures['members'][str(INSTANCES)]
    requests = REQUESTS_PER_S / INSTANCES
    ticket_ms = requests * session['ticket_cpu_us']['median'] / 1000
    gossip_ms = members['cpu_ms_per_s']['median']
    idle_ms = SESSIONS_PER_INSTANCE * session['idle_cpu_ms_per_s']['median']
    ticket_bytes = 2 * requests * session['ticket_bytes'] / 2
    session_bytes = (
        SESSIONS_PER_INSTANCE * HEARTBEATS_PER_S * HEARTBEAT_BYTES / 2
    )
    counts = requests * figures['counts']['bytes']
    total_ms = ticket_ms + gossip_ms + idle_ms
    total_bytes = ticket_bytes + session_bytes + members['bytes_per_s'] + counts
    return {
        'ticket_us': session['ticket_cpu_us']['median'],
        'ticket_least': session['ticket_cpu_us']['least'],
        'ticket_most': session['ticket_cpu_us']['most'],
        'ticket_ms': round(ticket_ms, 1),
        'gossip_ms': round(gossip_ms, 2),
        'gossip_bytes': members['bytes_per_s'],
        'gossip_packets': members['packets_per_s'],
        'idle_ms': round(idle_ms, 1),
        'idle_one_ms': session['idle_cpu_ms_per_s']['median'],
        'sessions': SESSIONS_PER_INSTANCE,
        'ticket_size': session['ticket_bytes'],
        'ticket_bytes': round(ticket_bytes),
        'session_bytes': round(session_bytes),
        'count_bytes': round(counts),
        'count_size': figures['counts']['bytes'],
        'control_ms': round(total_ms, 1),
        'control_bytes': round(total_bytes),
        'control_factor': round(total_ms / CONTROL_CPU_BUDGET_MS, 2),
        'bytes_factor': round(total_bytes / CONTROL_BYTES_BUDGET, 2),
        'credit_bytes': round(
            members['bytes_per_s'] + 16 * 2 * 90 + counts / 10,
        ),
        'all_sessions_bytes': round(
            BACKEND_SERVERS
            / GROUP_SIZE
            * HEARTBEATS_PER_S
            * HEARTBEAT_BYTES
            / 2,
        ),
    }


def _state_values(figures: Mapping[str, Any]) -> dict[str, Any]:
    tree = figures['tree'][str(WORKSPACES)]
    process = figures['process']
    member_kb = figures['members'][str(INSTANCES)]['kb_per_member']
    tree_mb = tree['memory_kb'] / 1024
    changes = EDITS_PER_DAY / DAY_S
    return {
        'idle_mb': process['idle_rss_mb'],
        'idle_cpu': process['idle_cpu_ms_per_s'],
        'threads': process['threads'],
        'member_mb': round(INSTANCES * member_kb / 1024, 2),
        'tree_mb': round(tree_mb, 1),
        'tree_ms': tree['parse_ms']['median'],
        'tree_kb': tree['text_kb'],
        'change_ms': round(changes * tree['parse_ms']['median'], 1),
        'change_bytes': round(changes * tree['text_kb'] * 1024),
        'change_delta_bytes': round(changes * tree['branch_bytes']),
        'branch_bytes': tree['branch_bytes'],
        'manifest_kb': round(tree['manifest_bytes'] / 1024),
        'changes_s': round(changes, 3),
        'control_mb': round(tree_mb + INSTANCES * member_kb / 1024 + 4, 1),
    }


def _store_values() -> dict[str, Any]:
    changes = EDITS_PER_DAY / DAY_S
    claims = REQUESTS_PER_S * CLAIMED_FRACTION
    return {
        'store_edit_writes': round(changes * 3, 2),
        'store_watch_reads': round(2 / 10 + 2 * changes * 3, 2),
        'store_lease_writes': 0.5,
        'store_status_writes': 1,
        'store_follow_reads': round(INSTANCES / 2),
        'store_lease_reads': round(INSTANCES / 2),
        'claims_s': round(claims),
        'claim_writes': round(2 * claims),
        'claim_share': round(
            STORE_WRITES_PER_S / 2 / REQUESTS_PER_S * 100,
            2,
        ),
    }


def _row(*cells: Any) -> str:
    return '| ' + ' | '.join(str(cell) for cell in cells) + ' |'


def _range(spread: Mapping[str, float]) -> str:
    return f'{spread["median"]} ({spread["least"]} to {spread["most"]})'


def _relay_table(relay: Mapping[str, Any]) -> str:
    return '\n'.join(
        _row(
            size,
            _range(row['cpu_us_per_token']),
            _range(row['cpu_ms_per_call']),
            _range(row['kb_per_stream']),
        )
        for size, row in relay.items()
    )


def _broker_table(figures: Mapping[str, Any]) -> str:
    return '\n'.join(
        _row(label, size, _range(spread))
        for label, name in (
            ('waiting tickets', 'broker_waiting'),
            ('backend servers', 'broker_servers'),
            ('tiers', 'broker_tiers'),
        )
        for size, spread in figures[name].items()
    )


def _member_table(members: Mapping[str, Any]) -> str:
    return '\n'.join(
        _row(
            count,
            row['packets_per_s'],
            row['bytes_per_s'],
            _range(row['cpu_ms_per_s']),
        )
        for count, row in members.items()
    )


def _tree_table(tree: Mapping[str, Any]) -> str:
    return '\n'.join(
        _row(
            count,
            row['text_kb'],
            row['memory_kb'],
            _range(row['parse_ms']),
            row['branch_bytes'],
        )
        for count, row in tree.items()
    )
