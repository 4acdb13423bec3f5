"""Who is there to serve: instances, their lives, and the view that routers choose by.

    values     Instance, Member, Life; what sources say
    view       View, an immutable versioned map with cheap differences
    detector   suspicion as a number that grows with silence (phi accrual)
    sources    how records, a static file and the last view saved are merged
    changes    record changes merged by name, withdrawals first
    core       the state machine of all of these: step(now, event) -> decisions
    srv        the choice by priority and weight (RFC 2782)
    publisher  an instance's own registration: update, lease, withdrawal
    browser    what is asked of DNS when, and what is taken of the answers

Free of I/O and clock: times are whole microseconds on the caller's monotonic clock, chance is a seeded source.
"""
