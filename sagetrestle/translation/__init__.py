"""Old requests in the new interface's words, and new answers in the old side's; free of I/O and clock.

mapping: what is mapped to what, as data, checked at load. convert: both ways, with what was lost named. problems: the
new side's statuses, and what they prove.
"""
