"""Recovery after a restart: phases, persisted facts, the sender's identity and detection of stale state."""
