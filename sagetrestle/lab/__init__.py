"""The laboratory: an emulator of what stands round a scorer, load, and the audit of what ran.

A tool: nothing of the product imports it.

    place    the settings of the emulated place, and its files
    kernel   an emulated kernel of known capacity, which records what it ran
    ledger   an emulated ledger with slots, and the roster's ear
    scorer   a real scorer as a process
    clients  front ends over Thrift, old clients over SCGI
    load     open-loop arrivals, and latency from the intended time
    signer   tokens for the load, with keys that rotate
    audit    what ran against who was entitled, sharing no code with the verdict
"""
