"""Route language-model traffic with priorities and service levels.

The coordination classes do no I/O: they take events and the time and return
commands, so they can be embedded without the daemon.
"""

from siskinpass.codes import MEANINGS, Code, Ran
from siskinpass.exceptions import SiskinpassError
from siskinpass.process.breach import BreachPolicy, BreachWatch
from siskinpass.process.broker import Broker, BrokerPolicy
from siskinpass.process.lease import LeaseLogic, LeaseRecord
from siskinpass.process.limits import LimitPolicy, SlotLimit
from siskinpass.process.membership import Member, Membership, MembershipPolicy
from siskinpass.request.claim import Claim, ClaimState, decide_claim
from siskinpass.request.retry import RetryBudget
from siskinpass.request.stream import TokenStreamParser
from siskinpass.request.ticket import ServerView, Ticket
from siskinpass.version.document import parse_tree
from siskinpass.version.schema import Tree

__all__ = [
    'MEANINGS',
    'BreachPolicy',
    'BreachWatch',
    'Broker',
    'BrokerPolicy',
    'Claim',
    'ClaimState',
    'Code',
    'LeaseLogic',
    'LeaseRecord',
    'LimitPolicy',
    'Member',
    'Membership',
    'MembershipPolicy',
    'Ran',
    'RetryBudget',
    'ServerView',
    'SiskinpassError',
    'SlotLimit',
    'Ticket',
    'TokenStreamParser',
    'Tree',
    'decide_claim',
    'parse_tree',
]
