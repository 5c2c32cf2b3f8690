"""The lab: rigs and experiments round real senders. Nothing that serves imports it."""
