"""rillspindle: the decisions of a relay that forwards messages to destinations it does not control."""

from rillspindle.policy import Policy

__all__ = ["Policy"]
