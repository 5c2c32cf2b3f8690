"""mountgauge: accepts messages from dispatch programs and delivers each to a partner's endpoint."""

__version__ = "0.1.0"
