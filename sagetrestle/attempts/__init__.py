"""A request over all its tries: what may be tried again, where, when, and how often.

    values    how an attempt ended, and what that proves: the one table of it
    budget    retry budgets: retries as a share of first tries, so that a storm can not feed itself
    backoff   pauses between tries, with jitter, heeding a server's advice
    breaker   members left out for their failures: consecutive ones, or far more than the others have
    request   the state machine of one request: step(now, event) -> decisions
    keeper    the machines of all requests, with the budgets, the breaker and the router that they share

Free of I/O and clock: times are whole microseconds, chance is a seeded source.
"""
