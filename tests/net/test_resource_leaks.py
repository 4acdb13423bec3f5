"""Guards against tables that grow with every request, key or connection, and against an idle loop that spins."""

from twisted.internet import error

from tests.net.scenario import ScenarioCase, ThriftPeer

ROUNDS = 60


class ResourceLeakTest(ScenarioCase):
    """A scorer with a management address whose tables fill and must empty again."""

    managed = True

    def tables(self):
        """Return the sizes of all tables with entries for requests, keys or connections."""
        scorer, state = self.world.scorer, self.world.scorer.loop.state
        policy, keys = state.policy, state.keys
        tables = {
            "entries": state.entries,
            "requests by ref": state.ids_by_ref,
            "connections": state.connections,
            "calls": state.call_deadlines,
            "results": keys.results,
            "keys": keys.keys,
            "names": keys.keys_by_id,
            "turn_keys": keys.keys_this_turn,
            "unverified": state.unverified,
            "remote": state.handover.claims.waiters,
            "wanted": state.handover.claims.wanted_results,
            "outbox": state.handover.claims.outbox,
        }
        tables |= {
            f"module {name}": getattr(policy, name)
            for name in (
                "requests",
                "held",
                "on_cores",
                "awaiting_call",
                "in_call",
                "users",
                "key_records",
                "key_expiries",
                "released_keys",
                "lingering_calls",
                "answer_queue",
            )
        }
        tables |= {f"front {name}": front.connections for name, front in scorer.fronts.items()}
        tables["callers"] = scorer.management.connections
        return {name: len(table) for name, table in tables.items()} | {"result bytes": keys.result_bytes_held}

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
        """A spinning loop shows as a high number of clock readings while nothing happens."""
        turns, read = [], self.world.scorer.loop._clock.read
        self.world.scorer.loop._clock.read = lambda: turns.append(1) or read()
        self.play("wait 10000")
        self.assertLess(len(turns), 400)
