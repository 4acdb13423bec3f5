"""The protocol-independent core of the scorer: one reducer that turns inputs into effects."""
