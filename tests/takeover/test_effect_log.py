"""Records of work by themselves: an owner, its backups, and what passes between them, one message at a time."""

import unittest

from sagetrestle.consensus import core as raft
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
from sagetrestle.takeover.effect_log import Books, Marks, Resolved, Say, Start, TurnAway, mark
from sagetrestle.takeover.attempt_decision import Word, effect_key, judge

S = 1_000_000
WINDOW = 30 * S
SETTINGS = FleetSettings(partitions=1)
A, B, C = "a@1", "b@1", "c@1"
PLACES = tuple(MemberInfo(id, kernel=f"{id}:1") for id in (A, B, C))


def intent(key, at=0, server=A):
    return EffectRecord(RecordKind.INTENT, key, at, server, 0, mark(Marks(f"run {key}", "paid", "t", key, b"d")))


class BooksCase(unittest.TestCase):
    """Three members and one partition; messages pass at once unless they are held."""

    def setUp(self):
        self.books = {id: Books(id, SETTINGS, WINDOW) for id in (A, B, C)}
        self.now, self.version, self.held, self.said = 0, 0, set(), []
        self.done = {id: [] for id in self.books}

    def arrange(self, share, knows=(A, B, C)):
        """Have members know a share; those who do not learn it from others or not at all."""
        self.version += 1
        for id in knows:
            self.take(id, self.books[id].see(self.now, self.now, FleetMap(self.version, (share,), PLACES)))

    def take(self, id, decisions):
        for what in decisions:
            if not isinstance(what, Say):
                self.done[id].append(what)
            elif (id, what.to) not in self.held:
                self.said.append((id, what.to, what.message))
                self.take(what.to, self.hear(self.books[what.to], id, what.message))

    def hear(self, one, sender, message):
        now, unix = self.now, self.now
        match message:
            case messages.Base():
                return one.based(now, unix, sender, message)
            case messages.Records():
                return one.records(sender, message)
            case messages.Recorded():
                return one.recorded(now, sender, message)
            case messages.Chunk():
                return one.chunk(sender, message)
            case messages.Fed():
                return one.fed(now, sender, message)
            case messages.Stale():
                return one.stale(now, unix, message)
            case messages.Told():
                return one.told(now, unix, sender, message)
            case messages.AskSeen():
                return one.ask_seen(now, unix, sender, message)
            case messages.Thanks():
                one.thanked(message)
            case messages.Seen():
                one.seen(sender, message)
        return []

    def record(self, id, key):
        self.take(id, self.books[id].record(self.now, 0, f"run {key}", intent(key, self.now, id)))

    def passed(self, wait=effect_log.AGAIN_US):
        self.now += wait
        for id, one in self.books.items():
            self.take(id, one.passed(self.now, self.now))

    def started(self, id=A):
        return [one.id for one in self.done[id] if isinstance(one, Start)]

    def state(self, id, key):
        effect = self.books[id].known(0, key, self.now)
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
        self.assertIn(TurnAway("run K", B), self.done[A])
        self.assertFalse(self.books[A].owns(0, self.now))

    def test_one_that_was_not_an_owner_s_backup_gets_no_say_by_acknowledging(self):
        self.held = {(C, A)}
        self.record(A, "K")
        self.take(A, self.books[A].recorded(self.now, "z@1", messages.Recorded(0, 5, 9)))
        self.take(A, self.books[A].recorded(self.now, C, messages.Recorded(0, 4, 9)))
        self.assertEqual([], self.started())

    def test_with_fewer_backups_than_the_least_nothing_starts_until_another_has_all(self):
        self.arrange(PartitionAssignment(6, A, (), (C,), Origin.NEW))
        self.assertFalse(self.books[A].recordable(0))
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
        self.assertEqual((), self.books[A].synced())
        self.held = {(A, C)}
        copy = self.books[A].replicas[0]
        # It says that it has nearly all: from here on nothing starts without it, and it does not have all yet.
        self.take(A, self.books[A].recorded(self.now, C, messages.Recorded(0, 6, copy.at - 1)))
        self.assertEqual((), self.books[A].synced())
        self.record(A, "K4")
        self.assertEqual(4, len(self.started()))
        self.held = set()
        for _ in range(4):
            self.passed()
        self.assertEqual(5, len(self.started()))
        self.assertEqual(((0, 6, C),), self.books[A].synced())
        self.assertEqual((EffectState.IN_DOUBT, A), self.state(C, "K4"))

    def test_many_records_come_in_chunks_that_are_sent_again_where_they_were_lost(self):
        self.arrange(PartitionAssignment(5, A, (B,), (), Origin.NEW))
        for number in range(effect_log.TAIL + 500):
            self.record(A, f"K{number}")
        self.held = {(C, A)}
        self.arrange(PartitionAssignment(6, A, (B,), (C,), Origin.NEW))
        self.held = set()
        for _ in range(30):
            self.passed()
        self.assertEqual(((0, 6, C),), self.books[A].synced())
        self.assertEqual(len(self.books[A].replicas[0].table.effects), len(self.books[C].replicas[0].table.effects))


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
        fences = [one for one in self.done[B] if isinstance(one, effect_log.Fence)]
        self.assertEqual([(A, 6, ("run K",))], [(one.place.id, one.epoch, one.runs) for one in fences])
        self.assertEqual((EffectState.IN_DOUBT, A), self.state(B, "K"))
        self.passed(effect_log.ASK_EVERY_US)
        self.assertEqual(2, len([one for one in self.done[B] if isinstance(one, effect_log.Fence)]))

    def test_a_kernels_word_settles_it_at_all_copies_and_a_word_of_a_later_epoch_is_not_ours(self):
        for key in ("K", "L", "M"):
            self.record(A, key)
        self.lose()
        self.take(B, self.books[B].fate(self.now, 0, 7, "run K", RecordKind.NEVER, b"", self.now))
        self.assertEqual((EffectState.IN_DOUBT, A), self.state(B, "K"))
        for key, kind, state in (
            ("K", RecordKind.OUTCOME, EffectState.DONE),
            ("L", RecordKind.NEVER, EffectState.FREE),
            ("M", RecordKind.FAILED, EffectState.FAILED),
        ):
            self.take(B, self.books[B].fate(self.now, 0, 6, f"run {key}", kind, b"r", self.now))
            self.assertIn(Resolved(key, f"run {key}", state, b"r"), self.done[B])
            for id in (B, C):
                self.assertEqual(None if state is EffectState.FREE else state, (self.state(id, key) or (None,))[0])

    def test_a_result_that_comes_after_the_takeover_began_is_taken_from_the_one_that_ran_it_and_no_other(self):
        self.record(A, "K")
        self.lose()
        end = EffectRecord(RecordKind.OUTCOME, "K", self.now, result=b"r")
        self.take(B, self.books[B].told(self.now, self.now, C, messages.Told(0, end)))
        self.assertEqual((EffectState.IN_DOUBT, A), self.state(B, "K"))
        self.take(A, self.books[A].ended(self.now, 0, end))
        self.assertEqual((EffectState.IN_DOUBT, A), self.state(B, "K"))  # it can not be heard
        self.held = set()
        self.arrange(PartitionAssignment(6, B, (C,), (), Origin.KEPT), knows=(A,))
        self.passed(S)
        self.assertEqual(EffectState.DONE, self.state(B, "K")[0])
        self.assertEqual({}, self.books[A]._telling)

    def test_a_third_owner_knows_what_the_first_ran_and_what_the_second_learnt(self):
        for key in ("K", "L"):
            self.record(A, key)
        self.lose()
        self.take(B, self.books[B].fate(self.now, 0, 6, "run K", RecordKind.OUTCOME, b"r", self.now))
        self.held |= {(B, C), (C, B)}
        self.arrange(PartitionAssignment(7, C, (), (), Origin.KEPT), knows=(C,))
        self.assertEqual(EffectState.DONE, self.state(C, "K")[0])
        self.assertEqual((EffectState.IN_DOUBT, A), self.state(C, "L"))

    def test_the_judge_frees_no_key_that_an_owner_before_may_have_run(self):
        self.take(A, self.books[A].record(0, 0, "run K", intent("K")._replace(key=effect_key("paid", "t", "K"))))
        self.lose()
        member = node.Node(PLACES[1], ("a",), SETTINGS, Links("f", B, ("a", "b"), 1, 0), WINDOW)
        member.books = self.books[B]
        member.holder.accept_grant(member.holder.start_request(self.now))
        what = Marks("again", "paid", "t", "K", b"d")
        self.assertIs(Word.ASKED, judge(member, self.now + 1, what, self.now).word)
        self.assertIs(Word.CONFLICT, judge(member, self.now + 1, what._replace(body=b"e"), self.now).word)
        member.books.places.clear()  # nobody can be asked
        self.assertIs(Word.DOUBT, judge(member, self.now + 1, what, self.now).word)

    def test_where_all_copies_are_gone_every_key_is_in_doubt_for_a_window(self):
        self.record(A, "K")
        fresh = Books("d@1", SETTINGS, WINDOW)
        fresh.see(self.now, self.now, FleetMap(9, (PartitionAssignment(6, "d@1", ("e@1",), (), Origin.LOST),), PLACES))
        for key in ("K", "never seen"):
            self.assertIs(EffectState.IN_DOUBT, fresh.known(0, key, self.now).state)
            self.assertIsNone(fresh.known(0, key, self.now + WINDOW + 1))

    def test_an_owner_that_follows_a_living_one_waits_until_that_one_knows_or_its_lease_must_be_over(self):
        self.held = {(B, A), (A, B)}
        self.arrange(PartitionAssignment(6, B, (C, A), (), Origin.KEPT, A), knows=(B, C))
        self.assertFalse(self.books[B].owns(0, self.now))
        self.assertTrue(self.books[B].owns(0, self.now + int(1.03 * S)))
        self.held = set()
        self.passed()
        self.assertTrue(self.books[B].owns(0, self.now))
        self.assertFalse(self.books[A].owns(0, self.now))


class SendOnTest(BooksCase):
    """Owners that send runs on to servers: where a key may yet run goes with it."""

    WHERE = "s0 127.0.0.1 80 1"

    def setUp(self):
        super().setUp()
        self.arrange(PartitionAssignment(5, A, (B, C), (), Origin.NEW))

    def run_at(self, id, run="run K", bound=False):
        what = Marks(run, "paid", "t", "K", b"d", 0, self.WHERE, bound)
        self.take(
            id,
            self.books[id].record(self.now, 0, run, EffectRecord(RecordKind.INTENT, "K", self.now, id, 0, mark(what))),
        )

    def say(self, id, kind, run="run K", epoch=5, fenced=True):
        self.take(id, self.books[id].fate(self.now, 0, epoch, run, kind, b"r", self.now, fenced))

    def asked(self, id):
        return [(one.epoch, one.what.where) for one in self.done[id] if isinstance(one, effect_log.Inquire)]

    def before(self, id):
        kept = self.books[id].last_attempt(0, "K")
        return (kept.where, kept.bound) if kept is not None else None

    def test_marks_keep_a_place_and_read_what_has_none(self):
        one = Marks("i", "paid", "t", "K", b"\0d!", 3)
        for what in (one, one._replace(where=self.WHERE), one._replace(where=self.WHERE, bound=True)):
            self.assertEqual(what, effect_log.marks(mark(what)))

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
        effect = self.books[A].known(0, "K", self.now)
        self.assertTrue(self.books[A].goes_on(0, effect))
        self.take(A, self.books[A].doubtful(self.now, self.now, 0, "K"))
        self.assertFalse(self.books[A].goes_on(0, effect))
        self.assertEqual([(5, self.WHERE)], self.asked(A))
        self.say(A, RecordKind.OUTCOME)
        self.assertEqual(EffectState.DONE, self.state(A, "K")[0])

    def test_a_fence_of_its_own_epoch_proves_nothing_of_its_own_run(self):
        self.run_at(A)
        self.take(A, self.books[A].doubtful(self.now, self.now, 0, "K"))
        self.say(A, RecordKind.NEVER)
        self.assertEqual((self.WHERE, True), self.before(A))

    def test_a_further_run_that_never_was_leaves_the_key_bound_to_the_server_of_the_one_before(self):
        self.run_at(A)
        self.take(A, self.books[A].doubtful(self.now, self.now, 0, "K"))
        self.say(A, RecordKind.NEVER)
        self.run_at(A, "run 2", bound=True)
        self.take(A, self.books[A].ended(self.now, 0, EffectRecord(RecordKind.NEVER, "K", self.now)))
        self.assertEqual((self.WHERE, True), self.before(A))
        self.passed()  # ends go to the backups in company
        self.assertEqual((self.WHERE, True), self.before(B))

    def test_an_owner_that_comes_back_takes_its_own_ends_that_nobody_was_told(self):
        self.run_at(A)
        self.arrange(PartitionAssignment(6, B, (A, C), (), Origin.KEPT), knows=(A,))  # B never hears of it
        self.take(A, self.books[A].ended(self.now, 0, EffectRecord(RecordKind.OUTCOME, "K", self.now, result=b"r")))
        self.arrange(PartitionAssignment(7, A, (C,), (), Origin.KEPT), knows=(A, C))
        self.assertEqual(EffectState.DONE, self.state(A, "K")[0])
        self.assertEqual(EffectState.DONE, self.state(C, "K")[0])

    def test_an_owner_that_comes_back_asks_after_its_own_run_that_ended_unknown_meanwhile(self):
        self.run_at(A)
        self.arrange(PartitionAssignment(6, B, (A, C), (), Origin.KEPT), knows=(A,))
        self.take(A, self.books[A].doubtful(self.now, self.now, 0, "K"))
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
        self.take(A, self.books[A].ended(self.now, 0, EffectRecord(RecordKind.OUTCOME, "L", self.now, result=b"r")))
        later = self.books["a@2"] = Books("a@2", SETTINGS, WINDOW)
        self.done["a@2"] = []
        later.restore({0: (5, A, self.books[A].replicas[0].table.snapshot_records(0))})
        later.see(self.now, self.now, FleetMap(8, (PartitionAssignment(5, A, (B, C), (), Origin.NEW),), PLACES))
        self.assertEqual(((0, 5, A),), later.claims())
        self.take(
            "a@2",
            later.see(self.now, self.now, FleetMap(9, (PartitionAssignment(6, "a@2", (), (), Origin.KEPT),), PLACES)),
        )
        self.assertEqual([("run K",)], [one.runs for one in self.done["a@2"] if isinstance(one, effect_log.Fence)])
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
        if isinstance(message, messages.ToldUnits):
            self.told.append((message.version, message.total, message.left))
            return []
        return super().hear(one, sender, message)

    def ask(self, id, version=0, total=0, wanted=1, cap=40, now=0):
        ask = messages.AskUnits(0, self.LIMIT.name, cap, version, total, wanted)
        self.take(id, self.books[id].units(now, now, C, ask, 40, 500))

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
        fresh = Books("d@1", SETTINGS, WINDOW)
        fresh.see(self.now, self.now, FleetMap(9, (PartitionAssignment(6, "d@1", (), (), Origin.LOST),), PLACES))
        for limit, wanted in ((self.LIMIT, 0), (Limit("t", 1_000, 5), 3)):
            ask = messages.AskUnits(0, limit.name, 40, 0, 0, 3)
            copy = fresh.replicas[0]
            fresh.units(4_000, 4_000, C, ask, 40, 500)
            self.assertEqual(wanted, sum(int(one.result) for one in copy.table.grants.get(limit.name, {}).values()))

    def test_a_copy_that_joins_gets_the_grants_and_that_some_are_lost(self):
        self.ask(A)
        self.books[A].replicas[0].table.grants_lost_us = 77
        for entry in self.books[A].replicas[0].table.snapshot_records(0):
            self.books[B].replicas[0].table.apply(entry)
        table = self.books[B].replicas[0].table
        self.assertEqual(77, table.grants_lost_us)
        self.assertEqual(b"3", table.grants[self.LIMIT.name][C].result)
        table.sweep(self.LIMIT.until_us + 2 * 500 + effect_log.GRANTS_KEPT_US + 1)
        self.assertEqual({}, table.grants)

    def test_a_window_that_is_over_by_all_clocks_is_granted_no_more(self):
        self.ask(A, now=self.LIMIT.until_us + 500)
        self.ask(A, version=1, total=3, now=self.LIMIT.until_us + 501)
        self.assertEqual([(1, 3, 37), (1, 3, 0)], self.told)


class NodeTest(unittest.TestCase):
    """A member's lease, and a leader's."""

    def setUp(self):
        seat = raft.begin("a#1", ("a",), raft.Terms(), 1, 0)
        self.node = node.Node(PLACES[0], ("a",), SETTINGS, Links("f", A, ("a", "b", "c"), 1, 0), WINDOW, seat)
        self.said = []
        say = self.node._say
        self.node._say = lambda to, message: self.said.append((to, message)) if to in (B, C) else say(to, message)
        self.now, self.writes = 0, True
        self.go(3 * S)

    def go(self, wait):
        end = self.now + wait
        while self.now < end:
            self.now += 20_000
            self.take(self.node.passed(self.now, self.now))

    def take(self, decisions):
        for what in decisions:
            if isinstance(what, node.Persist) and self.writes:
                self.take(self.node.persisted(self.now, self.now, True))

    def renew(self, id=B, number=1):
        self.said.clear()
        self.node._hear(id, messages.Renew(number, next(one for one in PLACES if one.id == id), (0, 0)))
        return [message for to, message in self.said if isinstance(message, messages.Granted)]

    def test_a_lone_council_gives_itself_all_and_a_member_that_asks_joins_and_then_gets_its_lease(self):
        self.assertEqual(A, self.node.agreed.assignments[0].owner)
        self.assertEqual([], self.renew())
        self.go(S)
        self.assertIsNotNone(self.node.agreed.place(B))
        granted = self.renew()
        self.assertEqual(self.node.agreed.revision, granted[0].revision)
        self.assertEqual(self.node.agreed, granted[0].map)

    def test_a_lease_that_ended_is_not_renewed_while_what_gives_its_work_away_is_not_committed(self):
        self.node.agreed = FleetMap(self.node.agreed.version, self.node.agreed.assignments, PLACES)
        self.node.lead.grantor.record_grant(B, self.now)
        self.writes = False
        self.node._propose(ReassignPartitions(gone=("z@1",)))
        self.assertEqual(1, len(self.renew()))
        self.now += int(1.2 * S)  # it is over, and the entry still on its way
        self.node._now = self.now
        self.assertTrue(raft.serving(self.node.seat, self.now))
        self.assertEqual([], self.renew())

    def test_a_grant_counts_only_with_the_map_it_was_given_under(self):
        member = node.Node(PLACES[1], ("a",), SETTINGS, Links("f", B, ("a", "b"), 1, 0), WINDOW)
        member.passed(1_000, 0)
        number = member.holder.number
        member._hear(A, messages.Granted(number, (0, 5)))
        self.assertFalse(member.holder.is_held(2_000))
        member.passed(S, 0)
        known = FleetMap(5, (PartitionAssignment(3, B, (C,), (), Origin.NEW),), PLACES)
        member._hear(A, messages.Granted(member.holder.number, (0, 5), known))
        self.assertTrue(member.holder.is_held(S + 2_000))
        self.assertTrue(member.owns(0, S + 2_000))
        self.assertFalse(member.owns(0, 3 * S))

    def test_a_council_that_was_formed_anew_is_believed_over_the_one_before_and_its_lease_only_with_its_map(self):
        member = node.Node(PLACES[1], ("a",), SETTINGS, Links("f", B, ("a", "b"), 1, 0), WINDOW)
        member.passed(1_000, 0)
        member._see(FleetMap(57, (PartitionAssignment(3, B, (C,), (), Origin.NEW),), PLACES, 3))
        anew = FleetMap(4, (PartitionAssignment(1 << 20, C, (A,), (), Origin.LOST),), PLACES, 1 << 20)
        member._hear(A, messages.Granted(member.holder.number, anew.revision))
        self.assertFalse(member.owns(0, 2_000))
        member._see(anew)
        self.assertEqual(C, member.books.assignment_of("K")[1].owner)
        member._see(FleetMap(58, (PartitionAssignment(4, B, (C,), (), Origin.NEW),), PLACES, 3))
        self.assertEqual(C, member.books.assignment_of("K")[1].owner)

    def backup(self):
        """Return a backup that keeps its records, and what it says."""
        member, said = node.Node(PLACES[1], ("a",), SETTINGS, Links("f", B, ("a", "b"), 1, 0), WINDOW), []
        member.restore({})
        member._say = lambda to, message: said.append(message)
        share = PartitionAssignment(5, A, (B,), (), Origin.NEW)
        member._see(FleetMap(1, (share,), PLACES))
        member._hear(A, messages.Base(0, share, -1, 0))
        member._hear(A, messages.Chunk(0, 5, 0, 0, 1, ()))
        return member, said

    def acked(self, said):
        return [one.at for one in said if isinstance(one, messages.Recorded) and one.at >= 0]

    def test_nothing_is_acknowledged_before_it_is_durable_and_what_comes_meanwhile_waits_for_the_next_batch(self):
        member, said = self.backup()
        self.assertEqual([], self.acked(said))
        member._hear(A, messages.Records(0, 5, 0, (intent("K"),)))
        member.kept(0, 0, True)
        self.assertEqual([0], self.acked(said))
        member._hear(A, messages.Records(0, 5, 1, (intent("L"),)))
        member.kept(0, 0, True)
        self.assertEqual([0, 1], self.acked(said))
        member.kept(0, 0, True)
        self.assertEqual([0, 1, 2], self.acked(said))

    def test_a_member_whose_records_can_not_be_written_acknowledges_nothing_more_and_leaves(self):
        member, said = self.backup()
        member.kept(0, 0, False)
        member._hear(A, messages.Records(0, 5, 0, (intent("K"),)))
        self.assertEqual([], self.acked(said))
        self.assertTrue(member.leaving)

    def test_a_member_whose_store_can_not_be_written_says_so_and_leads_no_more(self):
        self.writes = False
        self.node._propose(AddMember(PLACES[2]))
        told = self.node.persisted(self.now, self.now, False)
        self.assertTrue(any("no voice" in getattr(one, "text", "") for one in told))
        self.assertFalse(raft.serving(self.node.seat, self.now))

    def test_founding_anew_gives_epochs_over_those_of_before(self):
        self.assertGreater(FoundFleet(1, (1_796_000_001) << 20, Origin.LOST).epoch, ((1_796_000_000) << 20) + 900_000)
