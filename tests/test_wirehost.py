"""The simulator's protocol, tested by short transcripts."""

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
    input_lines = [message if isinstance(message, str) else json.dumps(message) for message in messages]
    serve(io.BytesIO("\n".join(input_lines).encode()), sink)
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
    replies = talk(*turn(1, init(), submit(novel=3)))
    assert {"verb": "admit", "who": 0, "msg_id": "a" * 36} in replies
    assert {"verb": "set_health", "who": 0, "enable": True, "stored": True} in replies
    assert replies[-1] == {"verb": "finished", "serial": 1}


def test_instances_share_no_state():
    alone = talk(*turn(1, init(4), submit(4)))
    both = talk(*turn(1, init(3), init(4), submit(3, "b" * 36), submit(4)))
    assert [message for message in both if message.get("who") == 4] == [
        message for message in alone if message.get("who") == 4
    ]


def test_crash_discards_the_instance_and_init_creates_a_new_one():
    replies = talk(
        *turn(1, init(), submit()), *turn(2, {"verb": "crash_now", "who": 0}), *turn(3, init(), submit(name="c" * 36))
    )
    assert sum(message["verb"] == "admit" for message in replies) == 2


@pytest.mark.parametrize(
    ("lines", "expected_error"),
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
def test_invalid_input_is_reported_with_its_line_and_cause(lines, expected_error):
    with pytest.raises(WireError, match=expected_error.replace("[", r"\[")):
        talk(*lines)
