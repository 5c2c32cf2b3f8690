"""The lab: rigs and experiments with real senders. No production module imports it."""
