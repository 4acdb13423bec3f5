"""The attempts of a request: which failures are retried, where, when and how often.

    values      outcomes of attempts, and the one table of what each proves
    budget      retry budgets: retries are bounded as a share of first attempts, so retries cannot feed a retry storm
    backoff     delays between attempts, with jitter and the server's ``Retry-After``
    breaker     ejection of members after consecutive failures, or for a success rate far below the others'
    request     the state machine of one request: step(now, event) -> decisions
    controller  the machines of all requests, with the budgets, the circuit breaker and the router that they share

Free of I/O and clock: times are whole microseconds, random numbers come from a seeded generator.
"""
