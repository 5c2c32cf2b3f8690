"""How late the rig's own loop was when it recorded an event."""

from __future__ import annotations

import pytest

from mountgauge.lab.soak.verdict import LAG_SPAN_S, lateness_s

AT = 24.640


@pytest.mark.parametrize(
    ("noticed", "late", "counts"),
    [
        (AT - 0.5, 0.3, True),
        (AT - LAG_SPAN_S, 0.3, False),
        (AT + 0.017, 1.866, True),  # calls sent before a drain were recorded at the end of this stall
        (AT + 0.5, 0.3, False),  # it began later
    ],
)
def test_a_stall_counts_that_the_loop_notices_after_the_events_of_its_end(
    noticed: float, late: float, counts: bool
) -> None:
    assert lateness_s(AT, [(noticed, late)]) == (late if counts else 0.0)
