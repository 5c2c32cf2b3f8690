"""Sharding of destinations, placement of shards on senders, and the relays that send endpoint changes.

The package is pure: it does no I/O and reads no clock. `shards` and `messages` define the data that is
exchanged. `store` keeps shards. `subscription` follows a relay, for a sender or for a lower relay;
`list_watch` follows discovery's list directly. `relay` answers subscribers. `members` and `placement`
decide which sender holds which shard. `timing` computes the time bounds that `docs/sharding.md` states.
"""
