"""Hot restart: handing keys, results and listening sockets over from the old process of a scorer to the new one.

``old_process`` and ``new_process`` are the two state machines, ``result_exchange`` tracks the attempts of the other
process, and ``messages`` has the values they exchange. No I/O, no clock: docs/design/handover.md has the reasons.
"""
