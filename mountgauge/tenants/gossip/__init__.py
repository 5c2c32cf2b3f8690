"""The gossip protocol between members: a state machine without sockets or a clock.

`Gossip` is one member. Its modules are `membership` (members and their addresses), `deltas` (changes of
counts), `folding` (incarnations that ended are added to the past) and `pages` (transfer of a whole past);
`state` holds what these share.
"""

from mountgauge.tenants.gossip.node import Gossip
from mountgauge.tenants.gossip.state import FULL, STARTING, Identity, OutgoingDatagrams, Plan, UdpAddress

__all__ = ["FULL", "STARTING", "Gossip", "Identity", "OutgoingDatagrams", "Plan", "UdpAddress"]
