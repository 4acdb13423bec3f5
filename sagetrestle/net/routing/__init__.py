"""The core, which knows no wire: one reducer from inputs to effects."""
