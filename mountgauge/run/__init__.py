"""Assembles and runs a sender: the platform's (`platform`) or an operator's (`operator`), on a common
runtime (`base`).
"""

import signal

SIGNALS = {signal.SIGTERM, signal.SIGINT, signal.SIGHUP}  # those that a running sender handles


def block_signals() -> None:
    """Block the handled signals, once the process is about to exit by itself.

    After the loop is closed they have their default action again, and a late one would change the exit
    status. Blocked signals stay pending until the process has exited.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
