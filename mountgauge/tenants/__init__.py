"""Tenants: the tenant of each message, the use of each tenant across the fleet, and the quotas on it.

`admission`, `counts`, `members`, `quota`, `gossip` and `bounds` decide without I/O or a clock; `wire` defines
the datagrams; `store`, `udp` and `service` use files, sockets and the event loop. See `docs/tenants.md`. A
sender imports nothing of this package if its file names neither a fleet nor a tenant, and the platform never
does.
"""
