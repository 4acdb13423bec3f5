"""Handing a scorer over from one process to the next: keys, results and the moment from which each is whose.

``elder`` and ``successor`` are the two state machines, ``claims`` what one process knows of the other's tries,
``messages`` the values they exchange. No I/O, no clock: docs/design/handover.md has the reasons.
"""
