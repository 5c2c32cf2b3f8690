"""Puts a sender together: the platform's (`platform`) or an operator's (`operator`); what both share is
`base`.
"""

import signal

SIGNALS = {signal.SIGTERM, signal.SIGINT, signal.SIGHUP}  # what a running sender is told by


def block_signals() -> None:
    """The process ends of itself from here on: a signal that still comes must not end it otherwise.

    Once the loop is closed they would have their default action again. Blocked ones wait, and go with the
    process.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
