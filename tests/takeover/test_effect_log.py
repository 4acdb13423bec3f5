"""Records of work by themselves: an owner, its backups, and what passes between them, one message at a time."""

import unittest

from sagetrestle.consensus import raft
from sagetrestle.ownership.values import (
    ReassignPartitions,
    FleetMap,
    FleetSettings,
    FoundFleet,
    AddMember,
    Origin,
    MemberInfo,
    PartitionAssignment,
)
from sagetrestle.peers.links import Links
from sagetrestle.quota import Limit
from sagetrestle.recovery.effects import EffectError, EffectRecord, RecordKind, EffectState
from sagetrestle.takeover import effect_log, messages, node
from sagetrestle.takeover.effect_log import (
    EffectLog,
    AttemptInfo,
    RunResolved,
    SendMessage,
    StartRun,
    RejectAttempt,
    pack_attempt,
)
from sagetrestle.takeover.attempt_decision import AttemptAction, effect_key, decide_attempt

S = 1_000_000
WINDOW = 30 * S
SETTINGS = FleetSettings(partitions=1)
A, B, C = "a@1", "b@1", "c@1"
MEMBERS = tuple(MemberInfo(id, kernel=f"{id}:1") for id in (A, B, C))


def intent(key, at=0, server=A):
    return EffectRecord(
        RecordKind.INTENT, key, at, server, 0, pack_attempt(AttemptInfo(f"run {key}", "paid", "t", key, b"d"))
    )


class BooksCase(unittest.TestCase):
    """Three members and one partition; messages pass at once unless they are held."""

    def setUp(self):
        self.logs = {id: EffectLog(id, SETTINGS, WINDOW) for id in (A, B, C)}
        self.now, self.version, self.held, self.said = 0, 0, set(), []
        self.done = {id: [] for id in self.logs}

    def arrange(self, share, knows=(A, B, C)):
        """Have members know a share; those who do not learn it from others or not at all."""
        self.version += 1
        for id in knows:
            self.take(id, self.logs[id].apply_map(self.now, self.now, FleetMap(self.version, (share,), MEMBERS)))

    def take(self, id, decisions):
        for what in decisions:
            if not isinstance(what, SendMessage):
                self.done[id].append(what)
            elif (id, what.to) not in self.held:
                self.said.append((id, what.to, what.message))
                self.take(what.to, self.hear(self.logs[what.to], id, what.message))

    def hear(self, one, sender, message):
        now, unix = self.now, self.now
        match message:
            case messages.EpochBase():
                return one.handle_base(now, unix, sender, message)
            case messages.AppendRecords():
                return one.handle_records(sender, message)
            case messages.RecordsAck():
                return one.handle_ack(now, sender, message)
            case messages.SnapshotChunk():
                return one.handle_chunk(sender, message)
            case messages.ChunkAck():
                return one.handle_chunk_ack(now, sender, message)
            case messages.StaleEpoch():
                return one.handle_stale(now, unix, message)
            case messages.OutcomeReport():
                return one.handle_outcome(now, unix, sender, message)
            case messages.EpochQuery():
                return one.handle_epoch_query(now, unix, sender, message)
            case messages.OutcomeAck():
                one.handle_outcome_ack(message)
            case messages.EpochSeen():
                one.handle_epoch_seen(sender, message)
        return []

    def record(self, id, key):
        self.take(id, self.logs[id].record_intent(self.now, 0, f"run {key}", intent(key, self.now, id)))

    def passed(self, wait=effect_log.RESEND_AFTER_US):
        self.now += wait
        for id, one in self.logs.items():
            self.take(id, one.tick(self.now, self.now))

    def started(self, id=A):
        return [one.id for one in self.done[id] if isinstance(one, StartRun)]

    def state(self, id, key):
        effect = self.logs[id].find_effect(0, key, self.now)
        return (effect.state, effect.server) if effect is not None else None


class OwnerTest(BooksCase):
    """Before a run starts."""

    def setUp(self):
        super().setUp()
        self.arrange(PartitionAssignment(5, A, (B, C), (), Origin.NEW))

    def test_a_run_starts_when_the_last_backup_has_its_record(self):
        self.held = {(C, A)}
        self.record(A, "K")
        self.assertEqual([], self.started())
        self.held = set()
        self.passed()
        self.assertEqual(["run K"], self.started())
        self.assertEqual((EffectState.IN_DOUBT, A), self.state(B, "K"))

    def test_lost_records_and_lost_acknowledgements_are_made_good_in_order(self):
        for number, held in enumerate(({(A, B)}, {(B, A)}, {(A, C), (C, A)})):
            self.held = held
            self.record(A, f"K{number}")
        self.held = set()
        self.passed()
        self.passed()
        self.assertEqual(["run K0", "run K1", "run K2"], self.started())

    def test_a_backup_that_knows_a_later_epoch_takes_no_record_of_an_earlier_one(self):
        self.arrange(PartitionAssignment(6, B, (C,), (), Origin.KEPT), knows=(B, C))
        self.record(A, "K")
        self.assertEqual([], self.started())
        self.assertIsNone(self.state(B, "K"))
        self.assertIn(RejectAttempt("run K", B), self.done[A])
        self.assertFalse(self.logs[A].owns(0, self.now))

    def test_one_that_was_not_an_owner_s_backup_gets_no_say_by_acknowledging(self):
        self.held = {(C, A)}
        self.record(A, "K")
        self.take(A, self.logs[A].handle_ack(self.now, "z@1", messages.RecordsAck(0, 5, 9)))
        self.take(A, self.logs[A].handle_ack(self.now, C, messages.RecordsAck(0, 4, 9)))
        self.assertEqual([], self.started())

    def test_with_fewer_backups_than_the_least_nothing_starts_until_another_has_all(self):
        self.arrange(PartitionAssignment(6, A, (), (C,), Origin.NEW))
        self.assertFalse(self.logs[A].has_enough_backups(0))
        self.arrange(PartitionAssignment(7, A, (C,), (), Origin.NEW))
        self.record(A, "K")
        self.assertEqual(["run K"], self.started())


class JoiningTest(BooksCase):
    """A member that gets all records while charges go on."""

    def test_it_counts_as_having_all_only_with_what_was_started_before_and_holds_up_what_comes_after(self):
        self.arrange(PartitionAssignment(5, A, (B,), (), Origin.NEW))
        for number in range(3):
            self.record(A, f"K{number}")
        self.held = {(A, C), (C, A)}
        self.arrange(PartitionAssignment(6, A, (B,), (C,), Origin.NEW))
        self.record(A, "K3")
        self.assertEqual(4, len(self.started()))
        self.assertEqual((), self.logs[A].synced_joiners())
        self.held = {(A, C)}
        replica = self.logs[A].replicas[0]
        # It says that it has nearly all: from here on nothing starts without it, and it does not have all yet.
        self.take(A, self.logs[A].handle_ack(self.now, C, messages.RecordsAck(0, 6, replica.position - 1)))
        self.assertEqual((), self.logs[A].synced_joiners())
        self.record(A, "K4")
        self.assertEqual(4, len(self.started()))
        self.held = set()
        for _ in range(4):
            self.passed()
        self.assertEqual(5, len(self.started()))
        self.assertEqual(((0, 6, C),), self.logs[A].synced_joiners())
        self.assertEqual((EffectState.IN_DOUBT, A), self.state(C, "K4"))

    def test_many_records_come_in_chunks_that_are_sent_again_where_they_were_lost(self):
        self.arrange(PartitionAssignment(5, A, (B,), (), Origin.NEW))
        for number in range(effect_log.MAX_TAIL_RECORDS + 500):
            self.record(A, f"K{number}")
        self.held = {(C, A)}
        self.arrange(PartitionAssignment(6, A, (B,), (C,), Origin.NEW))
        self.held = set()
        for _ in range(30):
            self.passed()
        self.assertEqual(((0, 6, C),), self.logs[A].synced_joiners())
        self.assertEqual(len(self.logs[A].replicas[0].table.effects), len(self.logs[C].replicas[0].table.effects))


class TakeoverTest(BooksCase):
    """A new owner, by state of the work at the loss."""

    def setUp(self):
        super().setUp()
        self.arrange(PartitionAssignment(5, A, (B, C), (), Origin.NEW))

    def lose(self, *, to=B, others=(C,)):
        self.held = {(A, id) for id in (B, C)} | {(id, A) for id in (B, C)}
        self.arrange(PartitionAssignment(6, to, others, (), Origin.KEPT), knows=(B, C))

    def test_a_record_that_reached_one_backup_of_two_binds_nobody_and_is_gone_from_that_one_too(self):
        self.held = {(A, B)}
        self.record(A, "K")
        self.assertEqual((EffectState.IN_DOUBT, A), self.state(C, "K"))
        self.lose()
        self.assertIsNone(self.state(B, "K"))
        for _ in range(3):
            self.passed()
        self.assertIsNone(self.state(C, "K"))
        self.record(B, "K")
        self.assertEqual(["run K"], self.started(B))

    def test_what_may_have_started_is_asked_after_and_never_free_by_itself(self):
        self.record(A, "K")
        self.lose()
        fences = [one for one in self.done[B] if isinstance(one, effect_log.FenceKernel)]
        self.assertEqual([(A, 6, ("run K",))], [(one.member.id, one.epoch, one.runs) for one in fences])
        self.assertEqual((EffectState.IN_DOUBT, A), self.state(B, "K"))
        self.passed(effect_log.KERNEL_QUERY_INTERVAL_US)
        self.assertEqual(2, len([one for one in self.done[B] if isinstance(one, effect_log.FenceKernel)]))

    def test_a_kernels_word_settles_it_at_all_copies_and_a_word_of_a_later_epoch_is_not_ours(self):
        for key in ("K", "L", "M"):
            self.record(A, key)
        self.lose()
        self.take(B, self.logs[B].handle_run_fate(self.now, 0, 7, "run K", RecordKind.NEVER, b"", self.now))
        self.assertEqual((EffectState.IN_DOUBT, A), self.state(B, "K"))
        for key, kind, state in (
            ("K", RecordKind.OUTCOME, EffectState.DONE),
            ("L", RecordKind.NEVER, EffectState.FREE),
            ("M", RecordKind.FAILED, EffectState.FAILED),
        ):
            self.take(B, self.logs[B].handle_run_fate(self.now, 0, 6, f"run {key}", kind, b"r", self.now))
            self.assertIn(RunResolved(key, f"run {key}", state, b"r"), self.done[B])
            for id in (B, C):
                self.assertEqual(None if state is EffectState.FREE else state, (self.state(id, key) or (None,))[0])

    def test_a_result_that_comes_after_the_takeover_began_is_taken_from_the_one_that_ran_it_and_no_other(self):
        self.record(A, "K")
        self.lose()
        end = EffectRecord(RecordKind.OUTCOME, "K", self.now, result=b"r")
        self.take(B, self.logs[B].handle_outcome(self.now, self.now, C, messages.OutcomeReport(0, end)))
        self.assertEqual((EffectState.IN_DOUBT, A), self.state(B, "K"))
        self.take(A, self.logs[A].record_outcome(self.now, 0, end))
        self.assertEqual((EffectState.IN_DOUBT, A), self.state(B, "K"))  # it can not be heard
        self.held = set()
        self.arrange(PartitionAssignment(6, B, (C,), (), Origin.KEPT), knows=(A,))
        self.passed(S)
        self.assertEqual(EffectState.DONE, self.state(B, "K")[0])
        self.assertEqual({}, self.logs[A]._undelivered_outcomes)

    def test_a_third_owner_knows_what_the_first_ran_and_what_the_second_learnt(self):
        for key in ("K", "L"):
            self.record(A, key)
        self.lose()
        self.take(B, self.logs[B].handle_run_fate(self.now, 0, 6, "run K", RecordKind.OUTCOME, b"r", self.now))
        self.held |= {(B, C), (C, B)}
        self.arrange(PartitionAssignment(7, C, (), (), Origin.KEPT), knows=(C,))
        self.assertEqual(EffectState.DONE, self.state(C, "K")[0])
        self.assertEqual((EffectState.IN_DOUBT, A), self.state(C, "L"))

    def test_the_judge_frees_no_key_that_an_owner_before_may_have_run(self):
        self.take(A, self.logs[A].record_intent(0, 0, "run K", intent("K")._replace(key=effect_key("paid", "t", "K"))))
        self.lose()
        member = node.Node(MEMBERS[1], ("a",), SETTINGS, Links("f", B, ("a", "b"), 1, 0), WINDOW)
        member.effect_log = self.logs[B]
        member.lease.accept_grant(member.lease.start_request(self.now))
        what = AttemptInfo("again", "paid", "t", "K", b"d")
        self.assertIs(AttemptAction.WAIT_FOR_FATE, decide_attempt(member, self.now + 1, what, self.now).action)
        self.assertIs(
            AttemptAction.REJECT_CONFLICT,
            decide_attempt(member, self.now + 1, what._replace(body=b"e"), self.now).action,
        )
        member.effect_log.members.clear()  # nobody can be asked
        self.assertIs(AttemptAction.FAIL_IN_DOUBT, decide_attempt(member, self.now + 1, what, self.now).action)

    def test_where_all_copies_are_gone_every_key_is_in_doubt_for_a_window(self):
        self.record(A, "K")
        fresh = EffectLog("d@1", SETTINGS, WINDOW)
        fresh.apply_map(
            self.now, self.now, FleetMap(9, (PartitionAssignment(6, "d@1", ("e@1",), (), Origin.LOST),), MEMBERS)
        )
        for key in ("K", "never seen"):
            self.assertIs(EffectState.IN_DOUBT, fresh.find_effect(0, key, self.now).state)
            self.assertIsNone(fresh.find_effect(0, key, self.now + WINDOW + 1))

    def test_an_owner_that_follows_a_living_one_waits_until_that_one_knows_or_its_lease_must_be_over(self):
        self.held = {(B, A), (A, B)}
        self.arrange(PartitionAssignment(6, B, (C, A), (), Origin.KEPT, A), knows=(B, C))
        self.assertFalse(self.logs[B].owns(0, self.now))
        self.assertTrue(self.logs[B].owns(0, self.now + int(1.03 * S)))
        self.held = set()
        self.passed()
        self.assertTrue(self.logs[B].owns(0, self.now))
        self.assertFalse(self.logs[A].owns(0, self.now))


class SendOnTest(BooksCase):
    """Owners that send runs on to servers: where a key may yet run goes with it."""

    WHERE = "s0 127.0.0.1 80 1"

    def setUp(self):
        super().setUp()
        self.arrange(PartitionAssignment(5, A, (B, C), (), Origin.NEW))

    def run_at(self, id, run="run K", pinned=False):
        what = AttemptInfo(run, "paid", "t", "K", b"d", 0, self.WHERE, pinned)
        self.take(
            id,
            self.logs[id].record_intent(
                self.now, 0, run, EffectRecord(RecordKind.INTENT, "K", self.now, id, 0, pack_attempt(what))
            ),
        )

    def say(self, id, kind, run="run K", epoch=5, fenced=True):
        self.take(id, self.logs[id].handle_run_fate(self.now, 0, epoch, run, kind, b"r", self.now, fenced))

    def asked(self, id):
        return [(one.epoch, one.attempt.server_ref) for one in self.done[id] if isinstance(one, effect_log.QueryServer)]

    def before(self, id):
        kept = self.logs[id].last_attempt(0, "K")
        return (kept.server_ref, kept.pinned) if kept is not None else None

    def test_marks_keep_a_place_and_read_what_has_none(self):
        one = AttemptInfo("i", "paid", "t", "K", b"\0d!", 3)
        for what in (one, one._replace(server_ref=self.WHERE), one._replace(server_ref=self.WHERE, pinned=True)):
            self.assertEqual(what, effect_log.unpack_attempt(pack_attempt(what)))

    def test_a_new_owner_asks_the_server_and_frees_the_key_for_others_only_by_a_fenced_word(self):
        for fenced, kept in ((False, (self.WHERE, True)), (True, ("", False))):
            with self.subTest(fenced=fenced):
                self.setUp()
                self.run_at(A)
                self.arrange(PartitionAssignment(6, B, (C,), (), Origin.KEPT), knows=(B, C))
                self.assertEqual([(6, self.WHERE)], self.asked(B))
                self.say(B, RecordKind.NEVER, epoch=6, fenced=fenced)
                self.assertEqual(kept, self.before(B))
                self.assertEqual(kept, self.before(C))

    def test_a_run_whose_end_its_owner_does_not_know_is_asked_after_and_never_waited_for(self):
        self.run_at(A)
        effect = self.logs[A].find_effect(0, "K", self.now)
        self.assertTrue(self.logs[A].is_running_here(0, effect))
        self.take(A, self.logs[A].mark_in_doubt(self.now, self.now, 0, "K"))
        self.assertFalse(self.logs[A].is_running_here(0, effect))
        self.assertEqual([(5, self.WHERE)], self.asked(A))
        self.say(A, RecordKind.OUTCOME)
        self.assertEqual(EffectState.DONE, self.state(A, "K")[0])

    def test_a_fence_of_its_own_epoch_proves_nothing_of_its_own_run(self):
        self.run_at(A)
        self.take(A, self.logs[A].mark_in_doubt(self.now, self.now, 0, "K"))
        self.say(A, RecordKind.NEVER)
        self.assertEqual((self.WHERE, True), self.before(A))

    def test_a_further_run_that_never_was_leaves_the_key_bound_to_the_server_of_the_one_before(self):
        self.run_at(A)
        self.take(A, self.logs[A].mark_in_doubt(self.now, self.now, 0, "K"))
        self.say(A, RecordKind.NEVER)
        self.run_at(A, "run 2", pinned=True)
        self.take(A, self.logs[A].record_outcome(self.now, 0, EffectRecord(RecordKind.NEVER, "K", self.now)))
        self.assertEqual((self.WHERE, True), self.before(A))
        self.passed()  # ends go to the backups in company
        self.assertEqual((self.WHERE, True), self.before(B))

    def test_an_owner_that_comes_back_takes_its_own_ends_that_nobody_was_told(self):
        self.run_at(A)
        self.arrange(PartitionAssignment(6, B, (A, C), (), Origin.KEPT), knows=(A,))  # B never hears of it
        self.take(
            A, self.logs[A].record_outcome(self.now, 0, EffectRecord(RecordKind.OUTCOME, "K", self.now, result=b"r"))
        )
        self.arrange(PartitionAssignment(7, A, (C,), (), Origin.KEPT), knows=(A, C))
        self.assertEqual(EffectState.DONE, self.state(A, "K")[0])
        self.assertEqual(EffectState.DONE, self.state(C, "K")[0])

    def test_an_owner_that_comes_back_asks_after_its_own_run_that_ended_unknown_meanwhile(self):
        self.run_at(A)
        self.arrange(PartitionAssignment(6, B, (A, C), (), Origin.KEPT), knows=(A,))
        self.take(A, self.logs[A].mark_in_doubt(self.now, self.now, 0, "K"))
        self.arrange(PartitionAssignment(7, A, (C,), (), Origin.KEPT), knows=(A, C))
        self.assertEqual([(7, self.WHERE)], self.asked(A))

    def test_a_key_that_is_recorded_is_not_recorded_again(self):
        self.run_at(A)
        with self.assertRaises(EffectError):
            self.run_at(A, "run 2")


class RestoredTest(BooksCase):
    """A later start with what the one before kept."""

    def test_it_asks_after_what_the_start_before_ran_and_answers_what_that_knew(self):
        self.arrange(PartitionAssignment(5, A, (B, C), (), Origin.NEW))
        for key in ("K", "L"):
            self.record(A, key)
        self.take(
            A, self.logs[A].record_outcome(self.now, 0, EffectRecord(RecordKind.OUTCOME, "L", self.now, result=b"r"))
        )
        later = self.logs["a@2"] = EffectLog("a@2", SETTINGS, WINDOW)
        self.done["a@2"] = []
        later.restore({0: (5, A, self.logs[A].replicas[0].table.snapshot_records(0))})
        later.apply_map(self.now, self.now, FleetMap(8, (PartitionAssignment(5, A, (B, C), (), Origin.NEW),), MEMBERS))
        self.assertEqual(((0, 5, A),), later.claims())
        self.take(
            "a@2",
            later.apply_map(
                self.now, self.now, FleetMap(9, (PartitionAssignment(6, "a@2", (), (), Origin.KEPT),), MEMBERS)
            ),
        )
        self.assertEqual(
            [("run K",)], [one.runs for one in self.done["a@2"] if isinstance(one, effect_log.FenceKernel)]
        )
        self.assertEqual(
            (EffectState.DONE, EffectState.IN_DOUBT), (self.state("a@2", "L")[0], self.state("a@2", "K")[0])
        )
        self.assertIsNone(later.replicas[0].table.lost_us)


class UnitsTest(BooksCase):
    """Allowances in the records: told once all backups have them, and known to whoever grants next."""

    LIMIT = Limit("t", 1_000_000_000, 0)

    def setUp(self):
        super().setUp()
        self.arrange(PartitionAssignment(5, A, (B, C), (), Origin.NEW))
        self.told = []

    def hear(self, one, sender, message):
        if isinstance(message, messages.UnitGrant):
            self.told.append((message.version, message.total, message.left))
            return []
        return super().hear(one, sender, message)

    def ask(self, id, version=0, total=0, wanted=1, cap=40, now=0):
        ask = messages.UnitRequest(0, self.LIMIT.name, cap, version, total, wanted)
        self.take(id, self.logs[id].grant_units(now, now, C, ask, 40, 500))

    def lose(self, owner, others, knows, origin=Origin.KEPT):
        self.held = {(A, id) for id in (B, C)} | {(id, A) for id in (B, C)}
        self.arrange(PartitionAssignment(6, owner, others, (), origin), knows=knows)

    def test_a_grant_is_told_once_all_backups_have_its_record(self):
        self.held = {(C, A)}
        self.ask(A)
        self.assertEqual([], self.told)
        self.held = set()
        self.passed()
        self.assertEqual([(1, 3, 37)], self.told)

    def test_a_granter_that_dies_before_the_record_granted_nothing_and_after_it_all(self):
        self.held = {(A, B)}
        self.ask(A)
        self.lose(B, (C,), (B, C))
        self.ask(B)
        self.assertEqual([(1, 3, 37)], self.told)  # A's was told to nobody, and B has no record of it
        self.lose(C, (B,), ())
        self.arrange(PartitionAssignment(7, C, (B,), (), Origin.KEPT), knows=(B, C))
        self.ask(C, version=0)
        self.assertEqual((1, 3, 37), self.told[-1])  # an old word changes nothing, and is told how it stands
        self.ask(C, version=1, total=3)
        self.assertEqual((2, 6, 34), self.told[-1])

    def test_where_granter_and_backups_are_gone_nothing_is_granted_in_windows_that_had_begun(self):
        fresh = EffectLog("d@1", SETTINGS, WINDOW)
        fresh.apply_map(self.now, self.now, FleetMap(9, (PartitionAssignment(6, "d@1", (), (), Origin.LOST),), MEMBERS))
        for limit, wanted in ((self.LIMIT, 0), (Limit("t", 1_000, 5), 3)):
            ask = messages.UnitRequest(0, limit.name, 40, 0, 0, 3)
            replica = fresh.replicas[0]
            fresh.grant_units(4_000, 4_000, C, ask, 40, 500)
            self.assertEqual(wanted, sum(int(one.result) for one in replica.table.grants.get(limit.name, {}).values()))

    def test_a_copy_that_joins_gets_the_grants_and_that_some_are_lost(self):
        self.ask(A)
        self.logs[A].replicas[0].table.grants_lost_us = 77
        for entry in self.logs[A].replicas[0].table.snapshot_records(0):
            self.logs[B].replicas[0].table.apply(entry)
        table = self.logs[B].replicas[0].table
        self.assertEqual(77, table.grants_lost_us)
        self.assertEqual(b"3", table.grants[self.LIMIT.name][C].result)
        table.sweep(self.LIMIT.until_us + 2 * 500 + effect_log.GRANT_RETENTION_US + 1)
        self.assertEqual({}, table.grants)

    def test_a_window_that_is_over_by_all_clocks_is_granted_no_more(self):
        self.ask(A, now=self.LIMIT.until_us + 500)
        self.ask(A, version=1, total=3, now=self.LIMIT.until_us + 501)
        self.assertEqual([(1, 3, 37), (1, 3, 0)], self.told)


class NodeTest(unittest.TestCase):
    """A member's lease, and a leader's."""

    def setUp(self):
        voter = raft.restore_state("a#1", ("a",), raft.RaftTiming(), 1, 0)
        self.node = node.Node(MEMBERS[0], ("a",), SETTINGS, Links("f", A, ("a", "b", "c"), 1, 0), WINDOW, voter)
        self.said = []
        say = self.node._send
        self.node._send = lambda to, message: self.said.append((to, message)) if to in (B, C) else say(to, message)
        self.now, self.writes = 0, True
        self.go(3 * S)

    def go(self, wait):
        end = self.now + wait
        while self.now < end:
            self.now += 20_000
            self.take(self.node.tick(self.now, self.now))

    def take(self, decisions):
        for what in decisions:
            if isinstance(what, node.Persist) and self.writes:
                self.take(self.node.handle_persisted(self.now, self.now, True))

    def renew(self, id=B, number=1):
        self.said.clear()
        self.node._handle_message(
            id, messages.LeaseRenewal(number, next(one for one in MEMBERS if one.id == id), (0, 0))
        )
        return [message for to, message in self.said if isinstance(message, messages.LeaseGrant)]

    def test_a_lone_council_gives_itself_all_and_a_member_that_asks_joins_and_then_gets_its_lease(self):
        self.assertEqual(A, self.node.committed_map.assignments[0].owner)
        self.assertEqual([], self.renew())
        self.go(S)
        self.assertIsNotNone(self.node.committed_map.member(B))
        granted = self.renew()
        self.assertEqual(self.node.committed_map.revision, granted[0].revision)
        self.assertEqual(self.node.committed_map, granted[0].map)

    def test_a_lease_that_ended_is_not_renewed_while_what_gives_its_work_away_is_not_committed(self):
        self.node.committed_map = FleetMap(
            self.node.committed_map.version, self.node.committed_map.assignments, MEMBERS
        )
        self.node.leader_state.grantor.record_grant(B, self.now)
        self.writes = False
        self.node._propose(ReassignPartitions(gone=("z@1",)))
        self.assertEqual(1, len(self.renew()))
        self.now += int(1.2 * S)  # it is over, and the entry still on its way
        self.node._now = self.now
        self.assertTrue(raft.holds_lease(self.node.voter, self.now))
        self.assertEqual([], self.renew())

    def test_a_grant_counts_only_with_the_map_it_was_given_under(self):
        member = node.Node(MEMBERS[1], ("a",), SETTINGS, Links("f", B, ("a", "b"), 1, 0), WINDOW)
        member.tick(1_000, 0)
        number = member.lease.number
        member._handle_message(A, messages.LeaseGrant(number, (0, 5)))
        self.assertFalse(member.lease.is_held(2_000))
        member.tick(S, 0)
        known = FleetMap(5, (PartitionAssignment(3, B, (C,), (), Origin.NEW),), MEMBERS)
        member._handle_message(A, messages.LeaseGrant(member.lease.number, (0, 5), known))
        self.assertTrue(member.lease.is_held(S + 2_000))
        self.assertTrue(member.owns(0, S + 2_000))
        self.assertFalse(member.owns(0, 3 * S))

    def test_a_council_that_was_formed_anew_is_believed_over_the_one_before_and_its_lease_only_with_its_map(self):
        member = node.Node(MEMBERS[1], ("a",), SETTINGS, Links("f", B, ("a", "b"), 1, 0), WINDOW)
        member.tick(1_000, 0)
        member._apply_map(FleetMap(57, (PartitionAssignment(3, B, (C,), (), Origin.NEW),), MEMBERS, 3))
        anew = FleetMap(4, (PartitionAssignment(1 << 20, C, (A,), (), Origin.LOST),), MEMBERS, 1 << 20)
        member._handle_message(A, messages.LeaseGrant(member.lease.number, anew.revision))
        self.assertFalse(member.owns(0, 2_000))
        member._apply_map(anew)
        self.assertEqual(C, member.effect_log.assignment_of("K")[1].owner)
        member._apply_map(FleetMap(58, (PartitionAssignment(4, B, (C,), (), Origin.NEW),), MEMBERS, 3))
        self.assertEqual(C, member.effect_log.assignment_of("K")[1].owner)

    def backup(self):
        """Return a backup that keeps its records, and what it says."""
        member, said = node.Node(MEMBERS[1], ("a",), SETTINGS, Links("f", B, ("a", "b"), 1, 0), WINDOW), []
        member.restore({})
        member._send = lambda to, message: said.append(message)
        share = PartitionAssignment(5, A, (B,), (), Origin.NEW)
        member._apply_map(FleetMap(1, (share,), MEMBERS))
        member._handle_message(A, messages.EpochBase(0, share, -1, 0))
        member._handle_message(A, messages.SnapshotChunk(0, 5, 0, 0, 1, ()))
        return member, said

    def acked(self, said):
        return [one.position for one in said if isinstance(one, messages.RecordsAck) and one.position >= 0]

    def test_nothing_is_acknowledged_before_it_is_durable_and_what_comes_meanwhile_waits_for_the_next_batch(self):
        member, said = self.backup()
        self.assertEqual([], self.acked(said))
        member._handle_message(A, messages.AppendRecords(0, 5, 0, (intent("K"),)))
        member.handle_changes_persisted(0, 0, True)
        self.assertEqual([0], self.acked(said))
        member._handle_message(A, messages.AppendRecords(0, 5, 1, (intent("L"),)))
        member.handle_changes_persisted(0, 0, True)
        self.assertEqual([0, 1], self.acked(said))
        member.handle_changes_persisted(0, 0, True)
        self.assertEqual([0, 1, 2], self.acked(said))

    def test_a_member_whose_records_can_not_be_written_acknowledges_nothing_more_and_leaves(self):
        member, said = self.backup()
        member.handle_changes_persisted(0, 0, False)
        member._handle_message(A, messages.AppendRecords(0, 5, 0, (intent("K"),)))
        self.assertEqual([], self.acked(said))
        self.assertTrue(member.leaving)

    def test_a_member_whose_store_can_not_be_written_says_so_and_leads_no_more(self):
        self.writes = False
        self.node._propose(AddMember(MEMBERS[2]))
        told = self.node.handle_persisted(self.now, self.now, False)
        self.assertTrue(any("no voice" in getattr(one, "text", "") for one in told))
        self.assertFalse(raft.holds_lease(self.node.voter, self.now))

    def test_founding_anew_gives_epochs_over_those_of_before(self):
        self.assertGreater(FoundFleet(1, (1_796_000_001) << 20, Origin.LOST).epoch, ((1_796_000_000) << 20) + 900_000)
