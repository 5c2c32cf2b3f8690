"""Puts a sender together: the platform's (`platform`) or an operator's (`operator`); what both share is
`base`.
"""

import signal

SIGNALS = {signal.SIGTERM, signal.SIGINT, signal.SIGHUP}  # what a running sender is told by
