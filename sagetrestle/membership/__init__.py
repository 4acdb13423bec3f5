"""Membership: the instances that serve, their states, and the view that routers choose from.

    values         Instance, Member, MemberState, and the sources of instances
    view           View, an immutable versioned map with cheap differences
    detector       suspicion by silence (phi accrual failure detector)
    sources        merging of records, the static file and the saved view
    changes        a queue of record changes, merged by name, withdrawals first
    state_machine  membership as a whole: step(now, event) -> decisions
    srv            selection by priority and weight (RFC 2782)
    publisher      an instance's own registration: update, lease, withdrawal
    browser        queries to DNS, and instances from their answers

Free of I/O and clock: times are whole microseconds on the caller's monotonic clock, random numbers come from a seeded
generator.
"""
