"""Fleet-wide overload control: concurrency limits, request priorities, admission levels and retry budgets.

Free of I/O and clock.
"""
