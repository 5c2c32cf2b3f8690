"""Fleet-wide budgets: parts that never sum to more than the whole, leased by majority and moved by demand.

Decisions without I/O or clock: `shares`, `division`, `promises`, `claims`, `member`, `membership`, `gate`,
bounds in `bounds`. Round them: `wire`, `files`, `service`, `settings`, `table`.
"""
