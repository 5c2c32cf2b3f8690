"""Clients over RESP2: `parser` reads commands, `connection` serves one client, `front` accepts them."""

from mountgauge.clients.connection import ClientConnection, Closing
from mountgauge.clients.front import Clients
from mountgauge.clients.parser import RespError, RespParser

__all__ = ["ClientConnection", "Clients", "Closing", "RespError", "RespParser"]
