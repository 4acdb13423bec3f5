"""The picture: what all come to know, how old it is, and what is kept within bounds."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from sagetrestle.gossip import GossipStore, RowBatch, RowPolicy
from sagetrestle.gossip.store import MAX_ROWS_PER_MESSAGE, MAX_MESSAGE_BYTES, MAX_ROW_BYTES, MAX_ROWS_PER_ORIGIN
from sagetrestle.takeover.gossip_kinds import KINDS, HealthRow, LevelRow
from sagetrestle.health_decisions import OperatorOrder, Subject
from sagetrestle.lab.picture import PictureWorld, row

S = 1_000_000
LEVEL = LevelRow(1, 0.5, ())


def level(world, name, value=0.5, epoch=1, subject="r"):
    return world.all[name].publish(
        world.clock(name), world.unix(name), "level", subject, LevelRow(epoch, value, ()), at_once=True
    )


def ages(world, subject="r", most=10 * S):
    """Return how old each member takes the level to be, where it knows it."""
    return {
        name: known.age_us(world.clock(name))
        for name in world.names
        for key, known in world.all[name].rows_of("level", world.clock(name), most)
        if key.subject == subject
    }


class SpreadTest(unittest.TestCase):
    """Who comes to know what."""

    def test_a_word_is_known_to_all_but_one_in_a_hundred_within_a_second_and_with_the_next_to_all(self):
        for count in (4, 20, 1000):
            with self.subTest(count):
                world = PictureWorld(count)
                level(world, "m0")
                for _ in range(10):
                    world.beat()
                self.assertGreaterEqual(len(ages(world)), 0.99 * count - 1)
                level(world, "m0", 0.4)
                for _ in range(10):
                    world.beat()
                self.assertGreaterEqual(len(ages(world)), count - 1)

    def test_one_that_its_origin_can_not_reach_hears_of_it_by_others(self):
        world = PictureWorld(4)
        for _ in range(20):
            level(world, "m0")
            for act in [one for one in world.names if one != "m0"]:
                self.assertIsNotNone(act)
            said = world.all["m0"].tick(world.now, world.now, ("m1", "m2"))  # it has no way to m3
            world.now += 100_000
            for one in said:
                world.deliver("m0", one)
            for name in ("m1", "m2", "m3"):
                for one in world.all[name].tick(world.now, world.now, tuple({"m1", "m2", "m3"} - {name})):
                    world.deliver(name, one)
        self.assertLess(ages(world)["m3"], 1 * S)

    def test_what_stands_comes_by_digests_where_chance_left_it_out_and_nothing_more_is_sent_then(self):
        world = PictureWorld(20, loss=0.4)
        world.all["m0"].write_register(
            0, 0, "order", "x", OperatorOrder(Subject("class", "x"), 7, True, 0, 0, "Mona", ""), 7, "Mona"
        )
        world.until(self, lambda: all(len(one) for one in world.all.values()), 400)
        world.loss = 0.0
        for _ in range(60):
            world.beat()
        rows = world.rows
        for _ in range(30):
            world.beat()
        self.assertEqual(rows, world.rows)

    def test_after_a_cut_of_ten_seconds_both_sides_know_the_same_within_seconds(self):
        world, cut = PictureWorld(8), frozenset({"m6", "m7"})
        for at in range(100):
            if at % 5 == 0:
                level(world, "m0", 0.4, subject="a")
                level(world, "m7", 0.6, subject="b")
            world.beat(cut)
        health = HealthRow(1, 3, 2000.0, 3, 2)
        world.all["m0"].publish(world.now, world.now, "health", "s0", health)
        for _ in range(30):
            world.beat(cut)
        self.assertIsNone(world.all["m7"].get("m0", "health", "s0"))
        world.until(self, lambda: world.all["m7"].get("m0", "health", "s0") is not None, 100)
        self.assertEqual(health, world.all["m7"].get("m0", "health", "s0").value)

    def test_a_register_that_two_wrote_at_once_is_the_same_at_all(self):
        world = PictureWorld(6)
        for name, who in (("m0", "Adel"), ("m5", "Mona")):
            order = OperatorOrder(Subject("class", "x"), 7, who == "Mona", 0, 0, who, "")
            world.all[name].write_register(0, 0, "order", "x", order, 7, who)
        for _ in range(40):
            world.beat()
        self.assertEqual({"Mona"}, {one.get("", "order", "x").value.operator for one in world.all.values()})

    @given(st.integers(0, 10_000), st.floats(0, 0.5))
    def test_all_know_the_newest_of_all_words_once_loss_is_over(self, seed, loss):
        world = PictureWorld(5, seed, loss)
        for at in range(25):
            if world.rng.random() < 0.5:
                level(world, world.rng.choice(world.names), at / 30)
            world.beat(frozenset({"m0"} if 5 < at < 15 else ()))
        world.loss = 0.0
        for name in world.names:
            level(world, name, 0.99)
        for _ in range(20):
            world.beat()
        for name in world.names:
            found = {
                key.origin: known.value.level for key, known in world.all[name].rows_of("level", world.now, 10 * S)
            }
            self.assertEqual(dict.fromkeys(world.names, 0.99), found)


class AgeTest(unittest.TestCase):
    """How old a word is taken to be."""

    def heard(self, said, unix=0, now=0, apart=500_000):
        one = GossipStore("m1", 1, KINDS, 1, apart)
        one.receive(now, unix, "m0", RowBatch((said,)))
        return one

    def test_an_age_grows_over_hops_by_each_holders_own_clock(self):
        world = PictureWorld(6)
        for name in world.names:
            world.apart[name] = 400_000  # nobody's time of day says anything more
        level(world, "m0")
        for _ in range(15):
            world.beat()
        self.assertTrue(all(1.0 * S <= age <= 1.6 * S for age in ages(world).values()), ages(world))
        self.assertEqual(6, len(ages(world)))

    def test_a_word_held_on_a_link_is_as_old_as_its_stamp_says(self):
        world = PictureWorld(2)
        world.holds = True
        level(world, "m0")
        world.beat(frozenset({"m1"}))
        world.now += 8 * S
        world.heal()
        self.assertGreaterEqual(ages(world)["m1"], 7.5 * S)
        self.assertEqual([], list(world.all["m1"].rows_of("level", world.now, 2 * S)))

    def test_clocks_that_are_apart_make_no_age_negative_and_no_word_younger(self):
        for unix in (-3 * S, 0, 3 * S):
            one = self.heard(row("m0", "level", "r", 1, LEVEL, age=200_000, unix=0), unix)
            age = next(one.rows_of("level", 0, 10 * S))[1].age_us(0)
            self.assertEqual(max(200_000, unix - 500_000), age)

    def test_a_clock_that_steps_back_here_makes_nothing_younger_than_it_was(self):
        one = self.heard(row("m0", "level", "r", 1, LEVEL, unix=0), unix=1 * S, now=5 * S)
        one.receive(6 * S, -100 * S, "m2", RowBatch((row("m0", "level", "r", 1, LEVEL, age=0, unix=0),)))
        self.assertEqual(1_500_000, next(one.rows_of("level", 6 * S, 10 * S))[1].age_us(6 * S))

    def test_a_member_whose_clock_is_a_tenth_fast_takes_words_for_older_and_never_for_younger(self):
        world = PictureWorld(5)
        world.rates["m1"] = 1.1
        level(world, "m0")
        for _ in range(20):
            world.beat()
        self.assertGreaterEqual(ages(world)["m1"], 1.9 * S)
        self.assertTrue(all(age >= 1.4 * S for age in ages(world).values()), ages(world))

    def test_past_its_bound_a_word_is_not_given_to_who_asks_and_in_the_end_it_is_forgotten(self):
        world = PictureWorld(2)
        level(world, "m0")
        for _ in range(5):
            world.beat()
        world.now += 2 * S
        self.assertEqual({}, ages(world, most=2 * S))
        self.assertEqual(2, len(ages(world)))
        world.now += 20 * S
        world.beat()
        self.assertEqual([0, 0], [len(one) for one in world.all.values()])


class LifeTest(unittest.TestCase):
    """Origins that end and come back."""

    def test_what_a_life_said_of_itself_goes_with_it_and_what_it_said_of_servers_stays(self):
        one = GossipStore("m1", 1, KINDS, 1)
        said = HealthRow(1, 3, 2000.0, 3, 2)
        one.receive(0, 0, "m0", RowBatch((row("m0", "level", "r", 5, LEVEL), row("m0", "health", "s0", 6, said))))
        one.receive(0, 0, "m0", RowBatch((row("m0", "level", "q", 1, LEVEL, life=2),)))
        self.assertEqual({"q"}, {key.subject for key, _ in one.rows_of("level", 0, S)})
        self.assertEqual(said, one.get("m0", "health", "s0").value)
        one.receive(0, 0, "m2", RowBatch((row("m0", "level", "r", 9, LEVEL),)))  # an older life's, late
        self.assertEqual({"q"}, {key.subject for key, _ in one.rows_of("level", 0, S)})

    def test_an_origin_that_is_told_its_own_old_rows_speaks_above_them(self):
        world = PictureWorld(3)
        again = world.all["m0"] = GossipStore("m0", 2, KINDS, 9)
        for old in (row("m0", "level", "r", 40, LEVEL, life=1), row("m0", "level", "r", 7, LEVEL, life=2)):
            again.receive(0, 0, "m1", RowBatch((old,)))
            world.all["m1"].receive(0, 0, "m2", RowBatch((old,)))
        self.assertEqual([], list(again.rows_of("level", 0, S)))  # it never said so
        level(world, "m0", 0.9)
        for _ in range(10):
            world.beat()
        self.assertEqual(0.9, world.all["m1"].get("m0", "level", "r").value.level)

    def test_what_lasts_is_taken_up_by_the_next_start_with_its_age(self):
        one = GossipStore("m0", 1, KINDS, 1)
        one.publish(0, 0, "health", "s0", HealthRow(1, 3, 2000.0, 3, 2))
        one.publish(0, 0, "level", "r", LEVEL)
        kept = one.persistent_rows(2 * S)
        after = GossipStore("m0", 2, KINDS, 1)
        after.restore(5 * S, 60 * S, kept)
        self.assertEqual(["health"], [said.kind for said in kept])
        self.assertEqual(59_500_000, after.get("m0", "health", "s0").age_us(5 * S))
        late = GossipStore("m0", 2, KINDS, 1)
        late.restore(0, 2_000 * S, kept)
        self.assertIsNone(late.get("m0", "health", "s0"))


class BoundsTest(unittest.TestCase):
    """Floods, sizes, and words of another version."""

    def test_rows_of_one_origin_are_bounded_and_others_keep_their_room(self):
        one = GossipStore("m1", 1, {"level": (LevelRow, RowPolicy(0, 10 * S))}, 1)
        flood = tuple(row("m9", "level", f"r{at}", at + 1, LEVEL) for at in range(MAX_ROWS_PER_ORIGIN + 500))
        one.receive(0, 0, "m9", RowBatch(flood))
        self.assertEqual((MAX_ROWS_PER_ORIGIN, 500), (len(one), one.dropped))
        one.receive(0, 0, "m2", RowBatch((row("m2", "level", "r", 1, LEVEL),)))
        self.assertIsNotNone(one.get("m2", "level", "r"))

    def test_messages_are_bounded_in_rows_and_bytes(self):
        one = GossipStore("m1", 1, {"level": (LevelRow, RowPolicy(0, 10 * S))}, 1)
        heavy = LevelRow(1, 0.5, tuple((f"client-{at:04}", 0.5) for at in range(100)))
        one.receive(0, 0, "m0", RowBatch(tuple(row("m0", "level", f"r{at}", at + 1, heavy) for at in range(300))))
        said = one.tick(100_000, 0, ("m0", "m2"))
        self.assertGreater(len(said), 2)
        for say in said:
            self.assertLessEqual(len(say.message.rows), MAX_ROWS_PER_MESSAGE)
            self.assertLessEqual(sum(len(each.data) for each in say.message.rows), MAX_MESSAGE_BYTES)
        one.receive(0, 0, "m3", RowBatch((row("m3", "level", "r", 1, b"x" * (MAX_ROW_BYTES + 1)),)))
        self.assertIsNone(one.get("m3", "level", "r"))

    def test_words_on_one_key_are_not_said_faster_than_their_kind_may(self):
        one = GossipStore("m0", 1, KINDS, 1)
        said = [one.publish(at * 50_000, 0, "level", "r", LevelRow(1, at / 40, ())) for at in range(40)]
        self.assertEqual(4, sum(said))
        by_all = GossipStore("m0", 1, {"level": (LevelRow, RowPolicy(500_000, 10 * S, from_all_members=True))}, 1)
        by_all.members = 400
        said = [by_all.publish(at * 50_000, 0, "level", "r", LevelRow(1, at / 100, ())) for at in range(100)]
        self.assertEqual(3, sum(said))

    def test_what_stands_is_said_again_only_where_it_changed_or_would_be_forgotten(self):
        one = GossipStore("m0", 1, KINDS, 1)
        said = HealthRow(1, 3, 2000.0, 3, 2)
        for at, says in ((0, True), (100, False), (500, True)):
            self.assertEqual(says, one.publish(at * S, 0, "health", "s", said))
        self.assertTrue(one.publish(502 * S, 0, "health", "s", HealthRow(1, 3, 1000.0, 0, 2)))

    def test_a_row_of_a_newer_version_is_carried_on_and_not_read(self):
        world = PictureWorld(3)
        newer = (row("m0", "weather", "x", 1, {"a": 1}), row("m0", "level", "r", 2, {"a": 1}))
        world.all["m1"].receive(0, 0, "m0", RowBatch(newer))
        for _ in range(10):
            world.beat()
        for name in ("m1", "m2"):
            self.assertEqual([], list(world.all[name].rows_of("level", world.now, 10 * S)))
            self.assertEqual(newer[0].data, world.all[name].get("m0", "weather", "x").row.data)

    def test_a_members_load_does_not_grow_with_the_fleet(self):
        rates = {}
        for count in (50, 120):
            world = PictureWorld(count, kinds={"level": (LevelRow, RowPolicy(250_000, 10 * S, from_all_members=True))})
            for at in range(30):
                for name in world.names:
                    world.all[name].publish(world.now, world.now, "level", name, LevelRow(1, at / 100, ()))
                world.beat()
            rates[count] = world.rows / count / 3
        self.assertLess(rates[120], 1.6 * rates[50])  # 2.4 times the members
        self.assertLess(rates[120], 1_400)
