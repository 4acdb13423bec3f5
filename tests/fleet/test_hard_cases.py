"""The hard cases of work in hand, on real processes: each holds that nothing ran twice and says what came of it."""

import asyncio
import resource
import sqlite3

from sagetrestle.lab.processes import charge
from tests.fleet.test_takeover import FleetCase


class HardCase(FleetCase):
    """Helpers for more than one charge."""

    async def charges(self, rig, names, first=0):
        got = await asyncio.gather(*(rig.charge(charge(name), first + at) for at, name in enumerate(names)))
        return [one.how for one in got]

    def owned_by(self, rig, owner, count, caller=0):
        """Return keys that a member owns."""
        of = rig.callers[caller].router.router.owner
        return [key for key in (f"K{at}" for at in range(2_000)) if of(key) == owner][:count]

    async def slow(self, rig, seconds):
        for one in rig.machines.values():
            one.kernel._work_s = {name: seconds for name in one.kernel._work_s}


class LossTest(HardCase):
    """Members that die with work in hand."""

    async def test_a_run_outlives_its_owner_where_its_kernel_does_and_its_retry_gets_the_result(self):
        rig = await self.fleet()
        owner = self.owner(rig)
        await self.slow(rig, 1.5)
        asked = asyncio.create_task(rig.charge(charge("K")))
        await self.until(lambda: any(one.kernel.starts for one in rig.machines.values()))
        await rig.kill(owner)
        self.assertEqual("served", (await asked).how)
        found = self.check(rig)
        self.assertEqual([owner], [one.where for one in rig.history.ran])
        self.assertEqual(1, found.served)

    async def test_a_run_that_was_lost_with_its_kernel_is_in_doubt_and_never_runs_again(self):
        rig = await self.fleet()
        owner = self.owner(rig)
        await self.slow(rig, 1.5)
        asked = asyncio.create_task(rig.charge(charge("K"), give_up_s=4.0))
        await self.until(lambda: any(one.kernel.starts for one in rig.machines.values()))
        await rig.kill(owner)
        rig.lose(owner)
        self.assertEqual("failed", (await asked).how)
        self.assertEqual(1, len(rig.finished().ran))
        self.assertEqual([], self.check(rig).doubled)

    async def test_three_owners_in_a_row_and_the_first_comes_back_under_its_name(self):
        rig = await self.fleet(5, council=3)
        await self.charges(rig, ["K"])
        owners = []
        for _ in range(2):
            owner = self.owner(rig)
            owners.append(owner)
            await rig.kill(owner)
            await self.until(lambda owner=owner: self.owner(rig) not in ("", owner), 15)
            self.assertEqual("served", (await rig.charge(charge("K"))).how)
        await rig.begin(owners[0])
        self.assertEqual(["served"] * 4, await self.charges(rig, ["K", "L1", "L2", "L3"], 1))
        found = self.check(rig)
        self.assertEqual(4, found.served)

    async def test_an_owner_and_all_its_backups_lost_together_leave_no_key_free(self):
        rig = await self.fleet(5, council=3, fleet={"backups": 1, "lost_after_ms": 1_500})
        shares = rig.callers[0].watch.fleet_map.assignments
        council = set(rig.council)
        key, pair = next(
            (f"K{at}", pair)
            for at in range(500)
            for pair in [self.pair(rig, f"K{at}")]
            if len(council & set(pair)) <= 1
        )
        self.assertTrue(shares)
        self.assertEqual("served", (await rig.charge(charge(key))).how)
        await asyncio.gather(*(rig.kill(name) for name in pair))
        await self.until(lambda: self.owner(rig, key) not in ("", *pair), 15)
        outcome = await rig.charge(charge(key), give_up_s=1.5)
        self.assertIn(outcome.how, ("failed", "refused"))  # its end is lost with them: in doubt, not free
        self.assertEqual(1, len(rig.finished().ran))

    def pair(self, rig, key):
        _, share = rig.callers[0].watch.fleet_map.assignment_of(key)
        return [id.rpartition("@")[0] for id in (share.owner, *share.backups)]


class CutTest(HardCase):
    """Links that fail one way, in groups, and faster than an election."""

    async def test_an_owner_that_is_heard_by_none_loses_what_it_owns_and_one_that_hears_none_as_well(self):
        rig = await self.fleet(4, council=3)
        for number, ways in enumerate(({"hear": True}, {"said": True})):
            owner = self.owner(rig)
            others = [name for name in rig.names if name != owner]
            rig.links.cut([owner], others, **ways)
            await self.until(lambda owner=owner: self.owner(rig) not in ("", owner), 15)
            self.assertEqual("served", (await rig.charge(charge(f"K{number}"))).how)
            rig.links.heal()
            await rig.settled()
        self.assertEqual(2, self.check(rig).served)

    async def test_a_council_in_halves_serves_on_the_side_that_has_it_and_a_flapping_link_deposes_nobody_for_good(self):
        rig = await self.fleet(5, council=5)
        some, others = rig.names[:2], rig.names[2:]
        rig.links.cut(some, others)
        await self.until(lambda: not set(some) & {self.owner(rig, f"K{at}") for at in range(50)}, 15)
        self.assertEqual(["served"] * 6, await self.charges(rig, [f"K{at}" for at in range(6)]))
        rig.links.heal()
        for _ in range(12):
            rig.links.cut(rig.names[:1], rig.names[1:])
            await asyncio.sleep(0.15)
            rig.links.heal()
            await asyncio.sleep(0.15)
        self.assertEqual(["served"] * 6, await self.charges(rig, [f"L{at}" for at in range(6)]))
        self.check(rig)

    async def test_a_record_that_can_not_reach_its_backups_starts_nothing(self):
        rig = await self.fleet(3)
        owner = self.owner(rig)
        for name in rig.names:
            if name != owner:
                rig.links.all[(owner, name)].there.cut = True  # it hears them, and they do not hear it
        asked = asyncio.create_task(rig.callers[0].sender.send(charge("K")))
        await asyncio.sleep(0.7)
        self.assertEqual([], rig.finished().ran)
        rig.links.heal()
        await asked
        self.assertEqual("served", (await rig.charge(charge("K"))).how)
        self.check(rig)


class MomentTest(HardCase):
    """Tries that meet."""

    async def test_two_tries_at_one_moment_through_front_ends_that_know_different_epochs_run_once(self):
        rig = await self.fleet(4)
        for number in range(4):
            owner = self.owner(rig)
            rig.callers[1].watch.stop() if number == 0 else None  # it knows no later epoch from here on
            if number == 1:
                rig.stop(owner)
                await self.until(lambda owner=owner: self.owner(rig) not in ("", owner), 15)
                rig.go_on(owner)
            got = await asyncio.gather(*(caller.sender.send(charge(f"K{number}")) for caller in rig.callers))
            self.assertIn("served", [one.how for one in got])
        self.check(rig)

    async def test_a_retry_with_another_body_fails_at_the_next_owner_too_and_one_past_the_window_runs_anew(self):
        rig = await self.fleet(3)
        owner = self.owner(rig)
        self.assertEqual("served", (await rig.charge(charge("K"))).how)
        await rig.kill(owner)
        await self.until(lambda: self.owner(rig) not in ("", owner), 15)
        other = charge("K")._replace(body=b"charge other")
        self.assertEqual("failed", (await rig.callers[0].sender.send(other)).how)
        self.assertEqual("served", (await rig.charge(charge("K"))).how)
        self.check(rig)


class DiskTest(HardCase):
    """A council member's store."""

    async def test_a_store_on_a_disk_that_is_full_costs_its_member_the_voice_and_the_fleet_nothing(self):
        rig = await self.fleet(4, fleet={"store": "council.db"})
        leader = next(name for name, one in rig.scorers.items() if one.log_has("leads the council"))
        resource.prlimit(rig.scorers[leader].process.pid, resource.RLIMIT_FSIZE, (0, 0))  # it can write nothing more
        await rig.kill("n3")  # has the council log something
        await rig.scorers[leader].logged("the council's store can not be written")
        await self.until(
            lambda: any(one.log_has("leads the council") for name, one in rig.scorers.items() if name != leader), 15
        )
        await self.until(lambda: all(self.owner(rig, f"K{at}", 1) != "n3" for at in range(40)), 15)
        self.assertEqual({"served"}, set(await self.charges(rig, [f"K{at}" for at in range(8)])))
        self.check(rig)

    async def test_a_store_spoilt_gone_or_of_an_older_day_costs_its_vote_for_a_while_and_nothing_else(self):
        rig = await self.fleet(3, fleet={"store": "council.db"})
        member = next(name for name in rig.council if not rig.scorers[name].log_has("leads the council"))
        path = rig.folder / member / "council.db"
        copy = path.read_bytes()

        def gone():
            for end in ("", "-wal", "-shm"):
                (rig.folder / member / f"council.db{end}").unlink(missing_ok=True)

        def spoilt_last():
            with sqlite3.connect(path) as db:
                db.execute("UPDATE log SET data = zeroblob(9) WHERE at = (SELECT MAX(at) FROM log)")

        def spoilt_middle():
            with sqlite3.connect(path) as db:
                db.execute("UPDATE words SET data = zeroblob(16) WHERE name = 'identity'")

        def older():
            gone()
            path.write_bytes(copy)

        for number, (harm, said) in enumerate(
            ((spoilt_last, "it is set aside as"), (spoilt_middle, "set aside as"), (gone, None), (older, None))
        ):
            with self.subTest(harm.__name__):
                await rig.kill(member)
                harm()
                await rig.begin(member)
                if said:
                    await rig.scorers[member].logged(said)
                self.assertEqual("served", (await rig.charge(charge(f"K{number}"), number)).how)
        self.check(rig)
