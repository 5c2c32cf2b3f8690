"""The users that may submit messages, and their tenants: one table for both fronts.

Passwords are stored in the operator's file and compared in constant time. A client never names its tenant: it
is the tenant of the user that logged in.
"""

from __future__ import annotations

import secrets
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

DEFAULT_TENANT = "default"  # the tenant of messages that belong to no other


class User(NamedTuple):
    """A user that may log in, and the tenant for which it submits messages."""

    password: str
    tenant: str = DEFAULT_TENANT


def sasl_user(response: bytes) -> str:
    """Return the user name in a SASL PLAIN response (RFC 4616), "" if the response is malformed."""
    parts = response.split(b"\0")
    return parts[1].decode("utf-8", "replace") if len(parts) == 3 else ""


@dataclass(frozen=True, slots=True)
class Access:
    """The table of users. If it is empty, any client that reaches the operator's address may log in, to any
    virtual host.
    """

    users: Mapping[str, User] = field(default_factory=dict)
    vhost: str = "/"  # the virtual host that AMQP clients may open
    anonymous: bool = True  # whether RESP2 clients may submit without a login, for the default tenant

    def tenant(self, user: bytes, password: bytes) -> str | None:
        """Return the tenant of this login, or None if it is rejected."""
        if not self.users:
            return DEFAULT_TENANT
        known = self.users.get(user.decode("utf-8", "replace"))
        # Compare also for an unknown user: it must take as long as a wrong password.
        matches = secrets.compare_digest((known or User("")).password.encode(), password)
        return known.tenant if known is not None and matches else None

    def login(self, mechanism: str, response: bytes) -> str | None:
        """Return the tenant of a SASL PLAIN response (RFC 4616), or None if it is rejected."""
        if not self.users:
            return DEFAULT_TENANT
        parts = response.split(b"\0")
        if mechanism != "PLAIN" or len(parts) != 3:
            return None
        return self.tenant(parts[1], parts[2])

    def may_open(self, vhost: str) -> bool:
        """Whether a client may open this virtual host."""
        return not self.users or vhost == self.vhost
