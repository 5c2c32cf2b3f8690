"""Fleet-wide budgets: member shares that never sum to more than the total, leased by majority vote and
moved to where the demand is.

Decisions without I/O or clock: `shares`, `fair_shares`, `grants`, `leases`, `member`, `membership`, `gate`,
with the time bounds in `timing`. I/O and configuration: `wire`, `files`, `service`, `settings`, `table`.
"""
