"""The gossip protocol between members: a state machine without sockets or a clock.

`Gossip` is one member of it. Its work is divided into `membership` (who is there, and where), `deltas` (the
counts of lives that change), `folding` (lives that ended go into the past) and `pages` (a past that is asked
for as a whole); `state` is what these share.
"""

from mountgauge.tenants.gossip.node import Gossip
from mountgauge.tenants.gossip.state import FULL, STARTING, Identity, OutgoingDatagrams, Plan, UdpAddress

__all__ = ["FULL", "STARTING", "Gossip", "Identity", "OutgoingDatagrams", "Plan", "UdpAddress"]
