"""Parts of the status document that describe versions and brokers."""

from collections.abc import Iterable, Mapping
from typing import Any

from siskinpass.process.broker import Broker
from siskinpass.process.membership import DEAD, Member

MS_PER_S = 1000
# Names of the states in the status document, by the number of the state.
STATES = ('live', 'suspect', 'leaving', 'dead')


def describe_versions(
    members: Iterable[Member],
    number: int,
) -> dict[str, Any]:
    """Return which version of the tree is in force at which instance.

    :param number: version in force at this instance; members with a lower one
        are listed under ``behind`` unless they are dead.
    """
    known_members = tuple(members)
    behind = [
        member.name
        for member in known_members
        if member.tree_version < number and member.state != DEAD
    ]
    return {
        'version': number,
        'in_force_everywhere': not behind,
        'behind': behind,
        'instances': {
            member.name: {
                'state': STATES[member.state],
                'zone': member.zone,
                'version': member.tree_version,
            }
            for member in known_members
        },
    }


def describe_brokers(brokers: Mapping[str, Broker]) -> dict[str, Any]:
    """Return the queue and the backend servers of each broker, by group."""
    return {
        group: _describe_broker(broker) for group, broker in brokers.items()
    }


def _describe_broker(broker: Broker) -> dict[str, Any]:
    return {
        'waiting': broker.waiting,
        'running': broker.running,
        'servers': {
            server.view.name: {
                'slots': server.limit.slots,
                'running': server.running,
                'slow': server.slow,
                'leaving': server.view.leaving,
                'token_ms': round(server.limit.token_s * MS_PER_S, 1),
            }
            for server in broker.table.servers
        },
    }
