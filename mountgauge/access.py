"""Who may hand messages in, and for which tenant: one table for both fronts.

Passwords stand in the operator's file; they are compared in constant time. A client never names its tenant:
it is that of the user who logged in.
"""

from __future__ import annotations

import secrets
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

DEFAULT_TENANT = "default"  # the tenant of messages that belong to no other


class User(NamedTuple):
    """Who may log in, and the tenant whose messages that user hands in."""

    password: str
    tenant: str = DEFAULT_TENANT


def sasl_user(response: bytes) -> str:
    """Whom a SASL PLAIN response names (RFC 4616), "" where it names nobody."""
    parts = response.split(b"\0")
    return parts[1].decode("utf-8", "replace") if len(parts) == 3 else ""


@dataclass(frozen=True, slots=True)
class Access:
    """Without users, anyone may log in on an address that the operator chose, to any virtual host."""

    users: Mapping[str, User] = field(default_factory=dict)
    vhost: str = "/"  # the one that AMQP clients may open
    anonymous: bool = True  # whether RESP2 clients may hand in without a login, for the default tenant

    def tenant(self, user: bytes, password: bytes) -> str | None:
        """The tenant of this login, None where it is refused."""
        if not self.users:
            return DEFAULT_TENANT
        known = self.users.get(user.decode("utf-8", "replace"))
        # An unknown user costs what a wrong password does.
        same = secrets.compare_digest((known or User("")).password.encode(), password)
        return known.tenant if known is not None and same else None

    def login(self, mechanism: str, response: bytes) -> str | None:
        """The tenant of a SASL PLAIN response (RFC 4616), None where it is refused."""
        if not self.users:
            return DEFAULT_TENANT
        parts = response.split(b"\0")
        if mechanism != "PLAIN" or len(parts) != 3:
            return None
        return self.tenant(parts[1], parts[2])

    def may_open(self, vhost: str) -> bool:
        return not self.users or vhost == self.vhost
