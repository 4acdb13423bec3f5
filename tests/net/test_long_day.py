"""What a long day leaves behind: ever new ids, keys, front ends and peers, and an idle loop that does not spin."""

from twisted.internet import error

from tests.net.scenario import ScenarioCase, ThriftPeer

ROUNDS = 60


class LongDayTest(ScenarioCase):
    """One scorer with a second address, as its tables grow and empty."""

    managed = True

    def tables(self):
        """Return the size of everything that a request, a key or a connection has a part in."""
        scorer, state = self.world.scorer, self.world.scorer.loop.state
        policy, keys = state.policy, state.keys
        held = {
            "entries": state.entries,
            "tickets": state.tickets,
            "connections": state.connections,
            "calls": state.calls,
            "results": keys.results,
            "keys": keys.keys,
            "names": keys.names,
            "turn_keys": keys.turn_keys,
            "unverified": state.unverified,
            "remote": state.pair.claims.waiters,
            "wanted": state.pair.claims.wanted_results,
            "outbox": state.pair.claims.outbox,
        }
        held |= {
            f"module {name}": getattr(policy, name)
            for name in (
                "live",
                "held",
                "on_cores",
                "calls_waiting",
                "calling",
                "users",
                "records",
                "expiries",
                "released",
                "lingering",
                "ends",
            )
        }
        held |= {f"front {name}": front.connections for name, front in scorer.fronts.items()}
        held["callers"] = scorer.management.connections
        return {name: len(one) for name, one in held.items()} | {"result bytes": keys.held_bytes}

    def test_nothing_stays_of_requests_keys_and_connections_that_are_gone(self):
        for at in range(ROUNDS):
            peer = self.world.actors["thrift"] = ThriftPeer(self.world)
            self.play(f"""
                thrift send a{at} paid-check key=K{at}
                kernel expect SCHED a{at}
                kernel send IOREQ a{at} q
                ledger expect post a{at} q
                ledger send posted a{at} r
                kernel expect IODONE a{at} r
                kernel send done a{at} result{at}
                thrift expect a{at} served result{at}
                thrift send b{at} report-view
                kernel expect SCHED b{at}
                thrift send withdraw b{at}
                kernel expect PREEMPT b{at}
                kernel send aborted b{at}
                thrift send c{at} quick-check age=4000
                thrift expect c{at} failed
                operator send o{at} GET /api/telemetry
                operator expect o{at} 200""")
            peer.wire.end(error.ConnectionLost)
        self.assertEqual(ROUNDS, self.tables()["results"])
        self.play("wait 45000")
        left = {name: size for name, size in self.tables().items() if size}
        self.assertLessEqual(sum(left.values()), 4, left)

    def test_an_idle_scorer_takes_few_turns(self):
        """A clock that moves only with processor time used would stand still behind a loop that spins."""
        turns, read = [], self.world.scorer.loop._clock.read
        self.world.scorer.loop._clock.read = lambda: turns.append(1) or read()
        self.play("wait 10000")
        self.assertLess(len(turns), 400)
