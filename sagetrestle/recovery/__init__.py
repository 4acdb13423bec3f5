"""What a charge's journal says after a death, and what follows for its key.

effects: EffectTable, intents, outcomes, and which keys may be taken now; free of I/O and clock
"""

from sagetrestle.recovery.effects import Effect, EffectTable, EffectRecord, RecordKind, EffectState

__all__ = ["Effect", "EffectTable", "EffectRecord", "RecordKind", "EffectState"]
