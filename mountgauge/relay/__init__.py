"""Configuration relays: processes between discovery and senders that answer long-polls by shard."""
