"""What intents say of their charges."""

import unittest

from sagetrestle.recovery.charge_info import ChargeInfo, pack_charge, unpack_charge
from sagetrestle.recovery.effects import EffectRecord, EffectTable, RecordKind

CHARGE = ChargeInfo("paid-check", "acme", 'a "key"\0', "00ff", b"\0\xff")


class ChargeInfoTest(unittest.TestCase):
    """Intents of this release and of earlier ones."""

    def test_a_charge_is_read_as_it_was_written_whatever_its_key(self):
        self.assertEqual(CHARGE, unpack_charge(pack_charge(CHARGE)))

    def test_an_intent_of_an_earlier_release_names_its_class_alone(self):
        for digest in (b"paid-check", b"", b"[]", b"3", b"\xff"):
            self.assertIsNone(unpack_charge(digest))

    def test_an_effect_names_its_class_in_both_forms_and_keeps_its_charge_to_its_end(self):
        table = EffectTable(10)
        table.apply(EffectRecord(RecordKind.INTENT, "K", 0, "s0", 1, pack_charge(CHARGE)))
        ended = table.apply(EffectRecord(RecordKind.OUTCOME, "K", 1, result=b"r"))
        self.assertEqual(("paid-check", CHARGE), (ended.request_class, ended.charge))
        old = table.apply(EffectRecord(RecordKind.INTENT, "L", 0, "s0", 1, b"quick-check"))
        self.assertEqual(("quick-check", None), (old.request_class, old.charge))
