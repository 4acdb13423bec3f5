"""The wire, by short transcripts."""

import io
import json

import pytest

from sagetrestle.wirehost import WireError, serve

PARAMS = {
    "classes": [{"aim": 1000000, "hard_limit": 3000000, "effect": "safe", "name": "r", "window": 1}],
    "extra": {
        "cores": 2,
        "memory_kb": 9000.0,
        "halt": "suspend",
        "below": "silent",
        "say": "silent",
        "gauges": ["core_use"],
        "news": 1,
    },
    "rules": {},
    "servers": 3,
    "tick": 1000,
    "surprise": [1],
}


def talk(*messages):
    sink = io.BytesIO()
    lines = [one if isinstance(one, str) else json.dumps(one) for one in messages]
    serve(io.BytesIO("\n".join(lines).encode()), sink)
    return [json.loads(line) for line in sink.getvalue().splitlines()]


def turn(serial, *events, moment=1000):
    return [{"verb": "turn", "moment": moment, "serial": serial}, *events, {"verb": "end"}]


def init(who=0):
    return {"verb": "init", "who": who, "rng_seed": 5, "params": PARAMS}


def submit(who=0, name="a" * 36, **rest):
    return {
        "verb": "submit",
        "who": who,
        "msg_id": name,
        "profile": 0,
        "client_deadline": 2000000,
        "footprint": 10.0,
        "src_peer": 1,
        "queued_for": 0,
        "resource": None,
        "earlier": None,
        **rest,
    }


def test_empty_batch_and_end_of_input():
    assert talk(*turn(7)) == [{"verb": "finished", "serial": 7}]


def test_init_then_submit_is_admitted():
    got = talk(*turn(1, init(), submit(novel=3)))
    assert {"verb": "admit", "who": 0, "msg_id": "a" * 36} in got
    assert {"verb": "set_health", "who": 0, "enable": True, "stored": True} in got
    assert got[-1] == {"verb": "finished", "serial": 1}


def test_instances_act_in_isolation():
    alone = talk(*turn(1, init(4), submit(4)))
    both = talk(*turn(1, init(3), init(4), submit(3, "b" * 36), submit(4)))
    assert [one for one in both if one.get("who") == 4] == [one for one in alone if one.get("who") == 4]


def test_crash_discards_the_instance_and_init_makes_it_anew():
    got = talk(
        *turn(1, init(), submit()), *turn(2, {"verb": "crash_now", "who": 0}), *turn(3, init(), submit(name="c" * 36))
    )
    assert sum(one["verb"] == "admit" for one in got) == 2


@pytest.mark.parametrize(
    ("lines", "says"),
    [
        (["{nonsense"], "line 1: not JSON"),
        ([*turn(1, {"verb": "sing", "who": 0})], "no instance 0"),
        ([*turn(1, init(), {"verb": "sing", "who": 0})], "unknown verb 'sing'"),
        ([*turn(1, init(), {"verb": "submit", "who": 0})], "msg_id"),
        ([*turn(1, submit(9))], "no instance 9"),
        ([*turn(1, init(), {"verb": "vanished", "who": 0})], "line 3: .*msg_id"),
        ([*turn(1, {**init(), "params": {**PARAMS, "classes": []}})], "line 2: classes"),
        ([{"verb": "end"}], "outside a batch"),
        (["[1]"], "not an object"),
    ],
)
def test_bad_input_is_named(lines, says):
    with pytest.raises(WireError, match=says.replace("[", r"\[")):
        talk(*lines)
