"""Tests of gossip: rows reach all members, ages are not too small, and memory and messages are bounded."""

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


def publish_level(world, name, value=0.5, epoch=1, subject="r"):
    return world.all[name].publish(
        world.clock(name), world.unix(name), "level", subject, LevelRow(epoch, value, ()), at_once=True
    )


def ages(world, subject="r", most=10 * S):
    """Return the age of the level at each member that has it."""
    return {
        name: known.age_us(world.clock(name))
        for name in world.names
        for key, known in world.all[name].rows_of("level", world.clock(name), most)
        if key.subject == subject
    }


class SpreadTest(unittest.TestCase):
    """Spreading of rows by rumours and digests."""

    def test_a_row_reaches_99_percent_within_a_second_and_the_next_one_all(self):
        for count in (4, 20, 1000):
            with self.subTest(count):
                world = PictureWorld(count)
                publish_level(world, "m0")
                for _ in range(10):
                    world.beat()
                self.assertGreaterEqual(len(ages(world)), 0.99 * count - 1)
                publish_level(world, "m0", 0.4)
                for _ in range(10):
                    world.beat()
                self.assertGreaterEqual(len(ages(world)), count - 1)

    def test_a_member_that_the_origin_can_not_reach_gets_rows_from_others(self):
        world = PictureWorld(4)
        for _ in range(20):
            publish_level(world, "m0")
            for peer in [known for known in world.names if known != "m0"]:
                self.assertIsNotNone(peer)
            messages = world.all["m0"].tick(world.now, world.now, ("m1", "m2"))  # m3 is not reachable from m0
            world.now += 100_000
            for message in messages:
                world.deliver("m0", message)
            for name in ("m1", "m2", "m3"):
                for message in world.all[name].tick(world.now, world.now, tuple({"m1", "m2", "m3"} - {name})):
                    world.deliver(name, message)
        self.assertLess(ages(world)["m3"], 1 * S)

    def test_digests_repair_lost_rumours_and_nothing_is_sent_after_that(self):
        world = PictureWorld(20, loss=0.4)
        world.all["m0"].write_register(
            0, 0, "order", "x", OperatorOrder(Subject("class", "x"), 7, True, 0, 0, "Mona", ""), 7, "Mona"
        )
        world.until(self, lambda: all(len(store) for store in world.all.values()), 400)
        world.loss = 0.0
        for _ in range(60):
            world.beat()
        rows = world.rows
        for _ in range(30):
            world.beat()
        self.assertEqual(rows, world.rows)

    def test_both_sides_of_a_partition_have_the_same_rows_soon_after_it(self):
        world, partitioned = PictureWorld(8), frozenset({"m6", "m7"})
        for at in range(100):
            if at % 5 == 0:
                publish_level(world, "m0", 0.4, subject="a")
                publish_level(world, "m7", 0.6, subject="b")
            world.beat(partitioned)
        health = HealthRow(1, 3, 2000.0, 3, 2)
        world.all["m0"].publish(world.now, world.now, "health", "s0", health)
        for _ in range(30):
            world.beat(partitioned)
        self.assertIsNone(world.all["m7"].get("m0", "health", "s0"))
        world.until(self, lambda: world.all["m7"].get("m0", "health", "s0") is not None, 100)
        self.assertEqual(health, world.all["m7"].get("m0", "health", "s0").value)

    def test_concurrent_writes_to_a_register_converge(self):
        world = PictureWorld(6)
        for name, operator in (("m0", "Adel"), ("m5", "Mona")):
            order = OperatorOrder(Subject("class", "x"), 7, operator == "Mona", 0, 0, operator, "")
            world.all[name].write_register(0, 0, "order", "x", order, 7, operator)
        for _ in range(40):
            world.beat()
        self.assertEqual({"Mona"}, {store.get("", "order", "x").value.operator for store in world.all.values()})

    @given(st.integers(0, 10_000), st.floats(0, 0.5))
    def test_all_members_have_the_newest_rows_after_losses(self, seed, loss):
        world = PictureWorld(5, seed, loss)
        for at in range(25):
            if world.rng.random() < 0.5:
                publish_level(world, world.rng.choice(world.names), at / 30)
            world.beat(frozenset({"m0"} if 5 < at < 15 else ()))
        world.loss = 0.0
        for name in world.names:
            publish_level(world, name, 0.99)
        for _ in range(20):
            world.beat()
        for name in world.names:
            found = {
                key.origin: known.value.level for key, known in world.all[name].rows_of("level", world.now, 10 * S)
            }
            self.assertEqual(dict.fromkeys(world.names, 0.99), found)


class AgeTest(unittest.TestCase):
    """Ages of rows."""

    def store_with(self, received, unix=0, now=0, apart=500_000):
        store = GossipStore("m1", 1, KINDS, 1, apart)
        store.receive(now, unix, "m0", RowBatch((received,)))
        return store

    def test_an_age_grows_over_hops_by_each_holders_own_clock(self):
        world = PictureWorld(6)
        for name in world.names:
            world.apart[name] = 400_000  # so time stamps do not raise any age
        publish_level(world, "m0")
        for _ in range(15):
            world.beat()
        self.assertTrue(all(1.0 * S <= age <= 1.6 * S for age in ages(world).values()), ages(world))
        self.assertEqual(6, len(ages(world)))

    def test_the_time_stamp_gives_the_age_of_a_row_held_on_a_link(self):
        world = PictureWorld(2)
        world.holds = True
        publish_level(world, "m0")
        world.beat(frozenset({"m1"}))
        world.now += 8 * S
        world.heal()
        self.assertGreaterEqual(ages(world)["m1"], 7.5 * S)
        self.assertEqual([], list(world.all["m1"].rows_of("level", world.now, 2 * S)))

    def test_clock_differences_make_no_age_negative_and_no_row_younger(self):
        for unix in (-3 * S, 0, 3 * S):
            store = self.store_with(row("m0", "level", "r", 1, LEVEL, age=200_000, unix=0), unix)
            age = next(store.rows_of("level", 0, 10 * S))[1].age_us(0)
            self.assertEqual(max(200_000, unix - 500_000), age)

    def test_a_clock_that_steps_back_makes_no_row_younger(self):
        store = self.store_with(row("m0", "level", "r", 1, LEVEL, unix=0), unix=1 * S, now=5 * S)
        store.receive(6 * S, -100 * S, "m2", RowBatch((row("m0", "level", "r", 1, LEVEL, age=0, unix=0),)))
        self.assertEqual(1_500_000, next(store.rows_of("level", 6 * S, 10 * S))[1].age_us(6 * S))

    def test_a_fast_clock_makes_rows_older_and_never_younger(self):
        world = PictureWorld(5)
        world.rates["m1"] = 1.1
        publish_level(world, "m0")
        for _ in range(20):
            world.beat()
        self.assertGreaterEqual(ages(world)["m1"], 1.9 * S)
        self.assertTrue(all(age >= 1.4 * S for age in ages(world).values()), ages(world))

    def test_rows_above_the_requested_age_are_not_returned_and_expired_ones_are_deleted(self):
        world = PictureWorld(2)
        publish_level(world, "m0")
        for _ in range(5):
            world.beat()
        world.now += 2 * S
        self.assertEqual({}, ages(world, most=2 * S))
        self.assertEqual(2, len(ages(world)))
        world.now += 20 * S
        world.beat()
        self.assertEqual([0, 0], [len(store) for store in world.all.values()])


class LifeTest(unittest.TestCase):
    """Restarts of origins."""

    def test_rows_of_an_earlier_start_are_deleted_unless_their_kind_is_persistent(self):
        store = GossipStore("m1", 1, KINDS, 1)
        health = HealthRow(1, 3, 2000.0, 3, 2)
        store.receive(0, 0, "m0", RowBatch((row("m0", "level", "r", 5, LEVEL), row("m0", "health", "s0", 6, health))))
        store.receive(0, 0, "m0", RowBatch((row("m0", "level", "q", 1, LEVEL, life=2),)))
        self.assertEqual({"q"}, {key.subject for key, _ in store.rows_of("level", 0, S)})
        self.assertEqual(health, store.get("m0", "health", "s0").value)
        store.receive(0, 0, "m2", RowBatch((row("m0", "level", "r", 9, LEVEL),)))  # a late row of the earlier start
        self.assertEqual({"q"}, {key.subject for key, _ in store.rows_of("level", 0, S)})

    def test_an_origin_publishes_above_the_versions_of_its_own_earlier_rows(self):
        world = PictureWorld(3)
        restarted = world.all["m0"] = GossipStore("m0", 2, KINDS, 9)
        for old in (row("m0", "level", "r", 40, LEVEL, life=1), row("m0", "level", "r", 7, LEVEL, life=2)):
            restarted.receive(0, 0, "m1", RowBatch((old,)))
            world.all["m1"].receive(0, 0, "m2", RowBatch((old,)))
        self.assertEqual([], list(restarted.rows_of("level", 0, S)))  # its own earlier rows are not stored
        publish_level(world, "m0", 0.9)
        for _ in range(10):
            world.beat()
        self.assertEqual(0.9, world.all["m1"].get("m0", "level", "r").value.level)

    def test_persistent_rows_are_restored_with_their_age(self):
        store = GossipStore("m0", 1, KINDS, 1)
        store.publish(0, 0, "health", "s0", HealthRow(1, 3, 2000.0, 3, 2))
        store.publish(0, 0, "level", "r", LEVEL)
        kept = store.persistent_rows(2 * S)
        restarted = GossipStore("m0", 2, KINDS, 1)
        restarted.restore(5 * S, 60 * S, kept)
        self.assertEqual(["health"], [row.kind for row in kept])
        self.assertEqual(59_500_000, restarted.get("m0", "health", "s0").age_us(5 * S))
        late = GossipStore("m0", 2, KINDS, 1)
        late.restore(0, 2_000 * S, kept)
        self.assertIsNone(late.get("m0", "health", "s0"))


class BoundsTest(unittest.TestCase):
    """Limits of rows, messages and rates, and rows of other releases."""

    def test_rows_of_one_origin_are_bounded_and_do_not_displace_others(self):
        store = GossipStore("m1", 1, {"level": (LevelRow, RowPolicy(0, 10 * S))}, 1)
        flood = tuple(row("m9", "level", f"r{at}", at + 1, LEVEL) for at in range(MAX_ROWS_PER_ORIGIN + 500))
        store.receive(0, 0, "m9", RowBatch(flood))
        self.assertEqual((MAX_ROWS_PER_ORIGIN, 500), (len(store), store.dropped))
        store.receive(0, 0, "m2", RowBatch((row("m2", "level", "r", 1, LEVEL),)))
        self.assertIsNotNone(store.get("m2", "level", "r"))

    def test_messages_are_bounded_in_rows_and_bytes(self):
        store = GossipStore("m1", 1, {"level": (LevelRow, RowPolicy(0, 10 * S))}, 1)
        heavy = LevelRow(1, 0.5, tuple((f"client-{at:04}", 0.5) for at in range(100)))
        store.receive(0, 0, "m0", RowBatch(tuple(row("m0", "level", f"r{at}", at + 1, heavy) for at in range(300))))
        messages = store.tick(100_000, 0, ("m0", "m2"))
        self.assertGreater(len(messages), 2)
        for message in messages:
            self.assertLessEqual(len(message.message.rows), MAX_ROWS_PER_MESSAGE)
            self.assertLessEqual(sum(len(row_sent.data) for row_sent in message.message.rows), MAX_MESSAGE_BYTES)
        store.receive(0, 0, "m3", RowBatch((row("m3", "level", "r", 1, b"x" * (MAX_ROW_BYTES + 1)),)))
        self.assertIsNone(store.get("m3", "level", "r"))

    def test_rows_on_one_key_are_not_published_faster_than_their_policy_allows(self):
        store = GossipStore("m0", 1, KINDS, 1)
        published = [store.publish(at * 50_000, 0, "level", "r", LevelRow(1, at / 40, ())) for at in range(40)]
        self.assertEqual(4, sum(published))
        by_all = GossipStore("m0", 1, {"level": (LevelRow, RowPolicy(500_000, 10 * S, from_all_members=True))}, 1)
        by_all.members = 400
        published = [by_all.publish(at * 50_000, 0, "level", "r", LevelRow(1, at / 100, ())) for at in range(100)]
        self.assertEqual(3, sum(published))

    def test_a_reconciled_row_is_published_again_only_after_a_change_or_half_its_ttl(self):
        store = GossipStore("m0", 1, KINDS, 1)
        health = HealthRow(1, 3, 2000.0, 3, 2)
        for at, expected in ((0, True), (100, False), (500, True)):
            self.assertEqual(expected, store.publish(at * S, 0, "health", "s", health))
        self.assertTrue(store.publish(502 * S, 0, "health", "s", HealthRow(1, 3, 1000.0, 0, 2)))

    def test_rows_of_a_newer_release_are_forwarded_and_not_decoded(self):
        world = PictureWorld(3)
        newer = (row("m0", "weather", "x", 1, {"a": 1}), row("m0", "level", "r", 2, {"a": 1}))
        world.all["m1"].receive(0, 0, "m0", RowBatch(newer))
        for _ in range(10):
            world.beat()
        for name in ("m1", "m2"):
            self.assertEqual([], list(world.all[name].rows_of("level", world.now, 10 * S)))
            self.assertEqual(newer[0].data, world.all[name].get("m0", "weather", "x").row.data)

    def test_the_load_of_a_member_does_not_grow_with_the_fleet(self):
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
