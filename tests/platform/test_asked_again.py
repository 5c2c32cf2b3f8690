"""A sender whose list may not be used calls discovery soon, however its calls end."""

from __future__ import annotations

from random import Random

from hypothesis import given
from hypothesis import settings as options
from hypothesis import strategies as st

from mountgauge.platform.list_call import Failure, ListCall
from mountgauge.platform.watch import DiscoveryWatch
from mountgauge.platform.watch_bounds import JITTER, MAX_LOST_RETRY_FACTOR, WatchBounds
from tests.platform.test_list_lease import bounds

LOST = (Failure.BROKEN, Failure.CORRUPT)
STEPS = 40
FAIR = 1e-9  # rounding tolerance between equal times, in s


def longest_pause_s(limits: WatchBounds, failure: Failure | None) -> float:
    """The longest time until the next call while none is in flight, after a call that ended with this
    failure.
    """
    retry = min(MAX_LOST_RETRY_FACTOR * limits.min_probe_interval_s, limits.max_hedge_delay_s)
    if failure is Failure.NOT_SENT:
        retry = limits.max_hedge_delay_s
    elif failure in (Failure.REFUSED, Failure.BUSY):
        retry = limits.max_back_off_s
        return retry * (1 + JITTER) + max(limits.spread_s, limits.busy_spread_s)
    return retry * (1 + JITTER)


@options(max_examples=400, derandomize=True, deadline=None)
@given(senders=st.sampled_from([1, 3, 24, 200]), pushed=st.booleans(), seed=st.integers(0, 2**32))
def test_with_no_call_out_the_next_one_comes_soon_while_the_list_is_in_doubt(
    senders: int, pushed: bool, seed: int
) -> None:
    rng, limits = Random(seed), bounds(senders, subscribe=not pushed)
    watch, now, version, last = DiscoveryWatch(limits, Random(seed)), 100.0, 5, None
    connected = set[ListCall]()
    watch.start(now)
    for _ in range(STEPS):
        now = min(watch.wakes_at(), now + rng.choice((0.0, 0.01, 0.3, 3.0)))
        watch.poll(now, version)
        open_calls = watch.open_calls
        if not open_calls:
            assert (
                watch.wakes_at() - now <= longest_pause_s(limits, last) + FAIR
                or watch.lease_end_reason(now) is None
            )
            continue
        call, what = rng.choice(open_calls), rng.random()
        if what < 0.4 and call not in connected:
            connected.add(call)
            watch.connected(call, now)
        elif what < 0.6:
            version += 1
            watch.answered(call, version, now, incomplete=rng.random() < 0.2)
            last = None
        else:
            last = rng.choice(list(Failure))
            watch.failed(call, last, now)
        if not watch.open_calls and watch.lease_end_reason(now) is not None:
            assert watch.wakes_at() - now <= longest_pause_s(limits, last) + FAIR
