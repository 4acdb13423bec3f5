"""The decision module without a host, tested by hand-written event sequences."""

import pathlib

import pytest

from sagetrestle import Policy, Settings, interface
from sagetrestle.interface import (
    CallEnded,
    CallRequested,
    ClassSettings,
    DownstreamKind,
    DrainNotice,
    Effect,
    FailRequest,
    Gauges,
    MakeCall,
    Outcome,
    PreemptionMode,
    RefuseRequest,
    RememberRequest,
    RequestArrived,
    RequestWithdrawn,
    ReuseResult,
    RunEnded,
    RunInDoubt,
    SetHealth,
    SetTimer,
    SkipCall,
    StartRun,
    StopRun,
    TimerFired,
)
from sagetrestle.logic import IN_DOUBT, STOPPING

MS = 1_000
LOGIC = pathlib.Path(__file__).parent.parent / "sagetrestle" / "logic.py"
CLASSES = (
    ClassSettings("low", 1_000 * MS, 3_000 * MS, worth=1.0, calls=True, skip_worth=0.5),
    ClassSettings("high", 1_000 * MS, 3_000 * MS, worth=4.0),
    ClassSettings("keyed", 1_000 * MS, 3_000 * MS, worth=4.0, effect=Effect.KEYED, window_us=5_000 * MS),
)


def settings(**overrides):
    base = {
        "cores": 1,
        "memory_kb": 10_000.0,
        "classes": CLASSES,
        "preemption": PreemptionMode.PAUSE,
        "run_factor": 4.0,
        "key_kb": 10.0,
        "crowd_multiple": 6.0,
        "drain_grace_us": 2_500 * MS,
        "max_retry_after_us": 1_000 * MS,
        "retry_after": True,
        "servers": 2,
    }
    return Settings(**(base | overrides))


def new_policy(**overrides):
    server = Policy(settings(**overrides), 1)
    server.handle(0, [])
    return server


def request_arrived(name, class_index=1, now_us=0, caller=1, due_us=None, **rest):
    rest.setdefault("hint_us", 20 * MS)
    return RequestArrived(
        name, class_index, caller, rest.pop("kb", 10.0), (now_us + 3_000 * MS) if due_us is None else due_us, **rest
    )


def request_ids(actions, kind):
    return [action.id for action in actions if isinstance(action, kind)]


def fire_timers(server, start, end, step=20 * MS):
    actions = []
    for now in range(start, end, step):
        step_actions = server.handle(now, [TimerFired(server.timer_token, Gauges(core_use=1.0))])
        actions += step_actions
    return actions


def test_idle_server_starts_requests_at_once():
    server = new_policy(cores=2)
    assert request_ids(server.handle(1, [request_arrived("a"), request_arrived("b")]), StartRun) == ["a", "b"]


def test_first_answer_sets_health_and_one_timer():
    actions = Policy(settings(), 1).handle(0, [])
    assert SetHealth(True, True) in actions
    assert sum(isinstance(action, SetTimer) for action in actions) == 1


def test_slice_ends_by_pause_and_least_served_user_is_next():
    server = new_policy()
    server.handle(1, [request_arrived("a", caller=1)])
    assert request_ids(server.handle(2, [request_arrived("b", caller=2)]), StartRun) == []
    assert "a" in request_ids(fire_timers(server, 20 * MS, 180 * MS), StopRun)
    assert request_ids(server.handle(181 * MS, [RunEnded("a", Outcome.CANCELLED)]), StartRun) == ["b"]


def test_no_pause_while_no_request_waits():
    server = new_policy()
    server.handle(1, [request_arrived("a")])
    assert request_ids(fire_timers(server, 20 * MS, 500 * MS), StopRun) == []


def test_pause_holds_the_core_until_confirmed():
    server = new_policy()
    server.handle(1, [request_arrived("a", caller=1)])
    server.handle(2, [request_arrived("b", caller=2)])
    actions = fire_timers(server, 20 * MS, 200 * MS)
    assert "a" in request_ids(actions, StopRun) and "b" not in request_ids(actions, StartRun)


def test_within_a_user_paused_resumes_before_held():
    server = new_policy()
    server.handle(1, [request_arrived("a", caller=1)])
    server.handle(2, [request_arrived("b", caller=2)])
    fire_timers(server, 20 * MS, 180 * MS)
    server.handle(181 * MS, [RunEnded("a", Outcome.CANCELLED), request_arrived("a2", caller=1)])
    assert "a2" in server.held
    assert request_ids(server.handle(200 * MS, [RunEnded("b", Outcome.OK)]), StartRun) == ["a"]


def test_charge_is_wall_time_times_cores_over_running_without_calls():
    server = new_policy(cores=2, downstream=DownstreamKind.TIER)
    server.climbed_limit = 3.0
    server.handle(
        0, [request_arrived("a", 0, caller=1), request_arrived("b", caller=2), request_arrived("c", caller=3)]
    )
    server.handle(30 * MS, [CallRequested("a")])
    assert server.users[1].charged_us == pytest.approx(20 * MS)
    server.handle(500 * MS, [CallEnded("a", Outcome.OK)])
    assert server.users[1].charged_us == pytest.approx(20 * MS)


def test_user_is_removed_with_its_last_request():
    server = new_policy()
    server.handle(1, [request_arrived("a", caller=5)])
    assert 5 in server.users
    server.handle(50 * MS, [RunEnded("a", Outcome.OK)])
    assert 5 not in server.users


def test_run_limit_grows_while_cores_idle_and_work_waits():
    server = new_policy(cores=2)
    server.handle(0, [request_arrived(f"r{n}", caller=n) for n in range(8)])
    for turn in range(1, 60):
        now = turn * 20 * MS
        ended = [RunEnded(next(iter(server.on_cores)), Outcome.OK)] if server.on_cores else []
        more = request_arrived(f"more{turn}", now_us=now, caller=100 + turn)
        server.handle(now, [*ended, more, TimerFired(server.timer_token, Gauges(core_use=0.5))])
    assert server.climbed_limit > 2
    assert server.climbed_limit <= server._survivable_runs()


def test_run_limit_is_lower_while_cold_and_never_below_the_cores():
    cold = new_policy(cores=2, cold=True, cold_share=0.1, warm_within_us=10_000 * MS)
    cold.climbed_limit = 100.0
    assert 2 <= cold._run_limit() < 4
    assert new_policy(cores=2)._survivable_runs() == 12


def test_every_request_is_answered_by_its_due_time():
    server = new_policy(downstream=DownstreamKind.TIER)
    actions = server.handle(
        0,
        [
            request_arrived("run", due_us=400 * MS),
            request_arrived("wait", caller=2, due_us=400 * MS),
            request_arrived("call", 0, caller=3, due_us=400 * MS),
        ],
    )
    actions += fire_timers(server, 20 * MS, 420 * MS)
    answered = request_ids(actions, FailRequest) + request_ids(actions, RefuseRequest)
    assert sorted(answered) == ["call", "run", "wait"]


def test_paused_request_is_answered_by_its_due_time():
    server = new_policy()
    server.handle(0, [request_arrived("a", caller=1, due_us=900 * MS), request_arrived("b", caller=2)])
    fire_timers(server, 20 * MS, 180 * MS)
    server.handle(180 * MS, [RunEnded("a", Outcome.CANCELLED)])
    assert "a" in request_ids(fire_timers(server, 200 * MS, 920 * MS), FailRequest)


def test_keyed_repeat_of_a_running_attempt_joins_it():
    server = new_policy()
    first = server.handle(0, [request_arrived("k", 2)])
    assert request_ids(first, RememberRequest) == ["k"] and request_ids(first, StartRun) == ["k"]
    second = server.handle(9 * MS, [request_arrived("k2", 2, repeat_of="k")])
    assert request_ids(second, ReuseResult) == ["k2"] and request_ids(second, StartRun) == []


def test_keyed_repeat_of_a_finished_or_failed_attempt_never_runs():
    for outcome in (Outcome.OK, Outcome.ERROR):
        server = new_policy()
        server.handle(0, [request_arrived("k", 2)])
        server.handle(50 * MS, [RunEnded("k", outcome)])
        assert request_ids(server.handle(60 * MS, [request_arrived("k2", 2, repeat_of="k")]), ReuseResult) == ["k2"]


def test_keyed_repeat_of_an_unknown_attempt_never_runs():
    assert request_ids(new_policy().handle(0, [request_arrived("k2", 2, repeat_of="lost")]), ReuseResult) == ["k2"]


def test_keyed_repeat_replaces_a_held_attempt():
    server = new_policy()
    server.handle(0, [request_arrived("busy")])
    server.handle(1, [request_arrived("k", 2, caller=2)])
    actions = server.handle(2, [request_arrived("k2", 2, caller=2, repeat_of="k")])
    assert request_ids(actions, RefuseRequest) == ["k"] and request_ids(actions, RememberRequest) == ["k2"]
    assert request_ids(server.handle(50 * MS, [RunEnded("busy", Outcome.OK)]), StartRun) == ["k2"]


def test_keyed_work_that_ran_is_failed_not_refused():
    server = new_policy()
    server.handle(0, [request_arrived("k", 2)])
    actions = fire_timers(server, 20 * MS, 3_000 * MS)
    assert request_ids(actions, FailRequest) == ["k"] and request_ids(actions, RefuseRequest) == []


def test_a_keyed_call_is_repeated_only_when_it_proves_it_never_ran():
    keyed = (ClassSettings("k", 1_000 * MS, 3_000 * MS, effect=Effect.KEYED, window_us=9, calls=True),)
    for outcome, again in (
        (Outcome.FULL, True),
        (Outcome.CONNECT_FAILED, True),
        (Outcome.ERROR, False),
        (Outcome.TIMEOUT, False),
        (Outcome.RESET, False),
    ):
        server = new_policy(classes=keyed, downstream=DownstreamKind.TIER)
        server.handle(0, [request_arrived("k", 0)])
        assert request_ids(server.handle(10 * MS, [CallRequested("k")]), MakeCall) == ["k"]
        later = server.handle(20 * MS, [CallEnded("k", outcome)]) + fire_timers(server, 40 * MS, 200 * MS)
        assert (request_ids(later, MakeCall) == ["k"]) is again
        assert (request_ids(later, FailRequest) == ["k"]) is not again


def test_shared_calls_stay_within_the_servers_share():
    server = new_policy(cores=4, downstream=DownstreamKind.SHARED, calls_share=2.0)
    server.handle(0, [request_arrived(f"r{n}", 0, caller=n) for n in range(4)])
    actions = server.handle(10 * MS, [CallRequested(f"r{n}") for n in range(4)])
    assert len(request_ids(actions, MakeCall)) == 1


def test_a_call_that_would_come_too_late_is_skipped():
    server = new_policy(downstream=DownstreamKind.SHARED, calls_share=5.0)
    server.handle(0, [request_arrived("r", 0)])
    assert request_ids(server.handle(960 * MS, [CallRequested("r")]), SkipCall) == ["r"]


def test_a_call_that_cannot_end_in_time_is_not_made_and_timed_out_calls_count_for_the_typical_call():
    """If only good calls counted, calls would seem fast when most time out, and late ones would block others."""
    classes = (ClassSettings("read", 1_000 * MS, 3_000 * MS, calls=True),)
    server = new_policy(cores=4, classes=classes, downstream=DownstreamKind.SHARED, calls_share=50.0)
    server.handle(0, [request_arrived("a", 0), request_arrived("b", 0, caller=2), request_arrived("c", 0, caller=3)])
    server.handle(1 * MS, [CallRequested("a"), CallRequested("b")])
    server.handle(101 * MS, [CallEnded("a", Outcome.OK, 100 * MS)])
    server.handle(501 * MS, [CallEnded("b", Outcome.TIMEOUT, 500 * MS)])
    assert 130 * MS < server.typical_call_us[0] < 150 * MS
    assert request_ids(server.handle(920 * MS, [CallRequested("c")]), FailRequest) == ["b", "c"]


def test_with_slow_calls_a_request_that_would_wait_too_long_is_refused():
    """Without shedding, free cores start all requests, which then fail waiting for calls; other classes still run."""
    classes = (
        ClassSettings("calls", 1_000 * MS, 3_000 * MS, calls=True),
        ClassSettings("plain", 1_000 * MS, 3_000 * MS),
        ClassSettings("dear", 1_000 * MS, 3_000 * MS, worth=4.0, calls=True),
    )
    server = new_policy(
        cores=8, classes=classes, downstream=DownstreamKind.SHARED, calls_share=2.5, counted_by_work=True
    )
    server.typical_call_us = [400.0 * MS, 0.0, 400.0 * MS]
    server.handle(0, [request_arrived(f"r{index}", 0, caller=index) for index in range(3)])
    assert len(request_ids(server.handle(10 * MS, [CallRequested(f"r{index}") for index in range(3)]), MakeCall)) == 1
    actions = server.handle(20 * MS, [request_arrived("c", 0, caller=7), request_arrived("p", 1, caller=8)])
    assert (request_ids(actions, RefuseRequest), request_ids(actions, StartRun)) == (["c"], ["p"])


def test_among_requests_waiting_for_calls_the_one_of_least_worth_is_failed_even_if_it_ran():
    """Calls are the scarce resource then: requests of high worth must not be refused behind ones of low worth."""
    classes = (
        ClassSettings("cheap", 1_000 * MS, 3_000 * MS, calls=True),
        ClassSettings("dear", 1_000 * MS, 3_000 * MS, worth=4.0, calls=True),
    )
    server = new_policy(
        cores=8, classes=classes, downstream=DownstreamKind.SHARED, calls_share=2.5, counted_by_work=True
    )
    server.typical_call_us = [150.0 * MS, 150.0 * MS]
    server.handle(0, [request_arrived(f"r{index}", 0, caller=index) for index in range(5)])
    assert len(request_ids(server.handle(10 * MS, [CallRequested(f"r{index}") for index in range(5)]), MakeCall)) == 1
    actions = server.handle(100 * MS, [request_arrived("d", 1, caller=7, now_us=100)])
    assert (request_ids(actions, FailRequest), request_ids(actions, StartRun)) == (["r4"], ["d"])
    assert request_ids(server.handle(101 * MS, [CallEnded("r0", Outcome.OK, 90 * MS)]), MakeCall) == ["r1"]


def test_a_lost_call_times_out_early_only_where_it_is_safe_to_repeat():
    """A lost reply must not hold a read until its aim, when there is no time left to repeat the call."""
    classes = (
        ClassSettings("read", 1_000 * MS, 3_000 * MS, calls=True),
        ClassSettings("k", 1_000 * MS, 3_000 * MS, effect=Effect.KEYED, window_us=9, calls=True),
    )
    server = new_policy(cores=4, classes=classes, downstream=DownstreamKind.SHARED, calls_share=50.0)
    server.typical_call_us = [20.0 * MS, 20.0 * MS]
    server.handle(0, [request_arrived("r", 0), request_arrived("k", 1, caller=2)])
    calls = [
        action for action in server.handle(MS, [CallRequested("r"), CallRequested("k")]) if isinstance(action, MakeCall)
    ]
    assert {action.id: action.timeout_us for action in calls} == {"r": 180 * MS, "k": 979 * MS}


def test_tables_do_not_keep_finished_requests():
    """Requests withdrawn at once, each with a new key, must not leave entries for the whole key window."""
    server = new_policy(cores=2)
    server.handle(0, [request_arrived("a"), request_arrived("b", caller=2)])
    for index in range(9_000):
        server.handle(MS + index, [request_arrived(f"x{index}", 1 + index % 2, now_us=index // MS)])
        server.handle(MS + index, [RequestWithdrawn(f"x{index}")])
    assert len(server.answer_queue) < 4_500
    server.handle(6_000 * MS, [request_arrived("last", now_us=6_000)])
    assert len(server.key_records) < 10
    assert len(server.key_expiries) < 4_500


def test_drain_answers_all_requests_before_the_stop():
    server = new_policy()
    assert SetHealth(False, True) in server.handle(
        0, [request_arrived("slow"), request_arrived("behind"), DrainNotice(800 * MS)]
    )
    actions = fire_timers(server, 20 * MS, 800 * MS)
    assert sorted(request_ids(actions, FailRequest) + request_ids(actions, RefuseRequest)) == ["behind", "slow"]


def test_drain_refuses_requests_that_arrive_after_the_grace_even_on_an_idle_server():
    server = new_policy()
    server.handle(0, [DrainNotice(6_000 * MS)])
    assert request_ids(server.handle(2_600 * MS, [request_arrived("b", now_us=2_600 * MS)]), RefuseRequest) == ["b"]
    assert request_ids(
        server.handle(2_700 * MS, [request_arrived("c", now_us=2_700 * MS, waited_us=300 * MS)]), StartRun
    ) == ["c"]


def test_memory_is_never_allocated_twice():
    server = new_policy(cores=8, memory_kb=200.0)
    actions = server.handle(0, [request_arrived(f"r{n}", caller=n) for n in range(30)])
    held = len(server.held)
    running = len(request_ids(actions, StartRun))
    assert running * 40 + held * 10 <= 200
    assert request_ids(actions, RefuseRequest)


def test_shedding_keeps_the_requests_of_most_worth():
    server = new_policy()
    actions = server.handle(
        0,
        [request_arrived(f"low{n}", 0, caller=n) for n in range(10)]
        + [request_arrived(f"high{n}", 1, caller=50 + n) for n in range(6)],
    )
    refused = request_ids(actions, RefuseRequest)
    assert refused and all(name.startswith("low") for name in refused)


def test_refusal_of_a_retry_is_final():
    server = new_policy()
    server.handle(0, [request_arrived(f"r{n}", 1, caller=n) for n in range(30)])
    actions = server.handle(1, [request_arrived("again", 0, caller=60, retry=True)])
    assert any(action.final for action in actions if isinstance(action, RefuseRequest))


def test_withdrawn_request_is_removed_and_late_events_change_nothing():
    server = new_policy()
    server.handle(0, [request_arrived("a"), request_arrived("b", caller=2)])
    server.handle(1, [RequestWithdrawn("b")])
    for event in (RequestWithdrawn("b"), RunEnded("b", Outcome.OK), CallRequested("b"), CallEnded("b", Outcome.OK)):
        assert request_ids(server.handle(2, [event]), interface.StartRun) == []
    assert list(server.requests) == ["a"]


def test_memory_is_released_when_all_requests_are_finished():
    server = new_policy()
    server.handle(0, [request_arrived("a"), request_arrived("k", 2, caller=2)])
    server.handle(40 * MS, [RunEnded("a", Outcome.OK)])
    server.handle(90 * MS, [RunEnded("k", Outcome.OK)])
    fire_timers(server, 100 * MS, 6_000 * MS)
    assert server.memory_kb == pytest.approx(0.0)
    assert not server.requests and not server.key_records


def test_no_run_is_stopped_without_preemption():
    server = new_policy(preemption=PreemptionMode.NONE)
    server.handle(0, [request_arrived("a"), request_arrived("b", caller=2)])
    assert request_ids(fire_timers(server, 20 * MS, 3_200 * MS), StopRun) == []


def test_equal_events_give_equal_actions():
    def play():
        server = new_policy(cores=2)
        first_actions = server.handle(0, [request_arrived(f"r{n}", n % 2, caller=n % 5) for n in range(12)])
        return first_actions + fire_timers(server, 20 * MS, 900 * MS)

    assert play() == play()


@pytest.mark.parametrize(
    ("overrides", "field"),
    [
        ({"cores": 0}, "cores"),
        ({"classes": ()}, "classes"),
        ({"memory_kb": 0}, "memory_kb"),
        ({"linger_us": -1}, "linger_us"),
        ({"tick_us": 0}, "tick_us"),
        ({"classes": (ClassSettings("x", -1, 5),)}, "aim_us"),
    ],
)
def test_invalid_settings_are_refused_with_the_name_of_the_field(overrides, field):
    with pytest.raises(ValueError, match=field):
        settings(**overrides)


def test_calls_are_bounded_by_the_runs_not_by_the_run_limit():
    server = new_policy(cores=2, downstream=DownstreamKind.TIER)
    server.climbed_limit = 7.0
    server.handle(0, [request_arrived(f"r{n}", 0, caller=n) for n in range(6)])
    assert len(request_ids(server.handle(10 * MS, [CallRequested(f"r{n}") for n in range(6)]), MakeCall)) == 6


def test_busy_cores_and_flat_throughput_lower_the_run_limit():
    server = new_policy(cores=2, crowd_multiple=8.0)
    server.climbed_limit = 8.0
    server.handle(0, [request_arrived(f"r{n}", caller=n) for n in range(8)])
    for turn in range(1, 200):
        now = turn * 20 * MS
        ended = [RunEnded(next(iter(server.on_cores)), Outcome.OK)] if server.on_cores else []
        server.handle(
            now,
            [
                *ended,
                request_arrived(f"n{turn}", now_us=now, caller=100 + turn),
                TimerFired(server.timer_token, Gauges(core_use=1.0)),
            ],
        )
    assert server.climbed_limit < 8.0


def test_work_past_its_aim_is_paused_for_work_in_time():
    late = (ClassSettings("late", 300 * MS, 3_000 * MS, late_share=0.2), *CLASSES)
    server = new_policy(classes=late)
    server.handle(0, [request_arrived("old", 0, caller=1)])
    fire_timers(server, 20 * MS, 320 * MS)
    server.users[1].charged_us = -1e6
    server.handle(320 * MS, [request_arrived("new", 2, now_us=320 * MS, caller=2)])
    fire_timers(server, 340 * MS, 380 * MS)
    assert server.requests["old"].state == STOPPING
    assert request_ids(server.handle(380 * MS, [RunEnded("old", Outcome.CANCELLED)]), StartRun) == ["new"]


def idle_limits_sent(callers, ends=4_000 * MS):
    server = new_policy(callers=callers, idle_max_us=30_000 * MS)
    actions = []
    for now in range(500 * MS, ends, 500 * MS):
        actions += server.handle(now, [TimerFired(server.timer_token, Gauges(core_use=0.1, connections=60))])
    return [action.max_idle_us for action in actions if isinstance(action, interface.SetIdleLimit)]


def test_idle_connections_of_many_callers_are_closed_early():
    assert idle_limits_sent(callers=900)[-1] < 10_000 * MS


def test_idle_connections_are_kept_where_callers_return_soon():
    assert idle_limits_sent(callers=20) == []


@pytest.mark.parametrize(("each", "final"), [(1, False), (40, True)])
def test_refusal_of_a_first_attempt_is_final_only_at_a_load_far_above_capacity(each, final):
    server = new_policy()
    for turn in range(8):
        now = turn * 500 * MS
        server.handle(now, [request_arrived(f"t{turn}-{n}", now_us=now, caller=n) for n in range(each)])
        server.handle(now + 100 * MS, [RunEnded(name, Outcome.OK) for name in list(server.on_cores)])
    actions = server.handle(4_100 * MS, [request_arrived(f"z{n}", now_us=4_100 * MS, caller=n) for n in range(60)])
    assert {action.final for action in actions if isinstance(action, RefuseRequest)} == {final}


def health_changes(actions):
    return [action.healthy for action in actions if isinstance(action, SetHealth)]


@pytest.mark.parametrize(("each", "flags"), [(1, [False]), (12, [])])
def test_a_slow_server_leaves_the_roster_and_a_full_one_does_not(each, flags):
    server = new_policy()
    actions = []
    for turn in range(1, 8):
        now = turn * 500 * MS
        actions += server.handle(
            now,
            [request_arrived(f"t{turn}-{n}", now_us=now, caller=n, waited_us=900 * MS) for n in range(each)]
            + [TimerFired(0, Gauges(core_use=1.0))],
        )
        server.handle(now + 100 * MS, [RunEnded(name, Outcome.OK) for name in list(server.on_cores)])
    assert health_changes(actions) == flags


def test_a_server_off_the_roster_returns_later_but_never_after_a_drain_notice():
    for events, flags in (([], [True]), ([DrainNotice(60_000 * MS)], [False])):
        server = new_policy()
        server.on_roster, server.return_at_us = False, 4_000 * MS
        assert health_changes(server.handle(3_000 * MS, events) + server.handle(5_000 * MS, [])) == flags


def test_a_hung_call_times_out_early_where_the_call_limit_is_below_one():
    server = new_policy(downstream=DownstreamKind.SHARED, calls_share=0.4)
    server.handle(0, [request_arrived("a", 0), request_arrived("b", 0, caller=2)])
    call = next(action for action in server.handle(10 * MS, [CallRequested("a")]) if isinstance(action, MakeCall))
    assert call.timeout_us < 700 * MS
    server.handle(10 * MS + call.timeout_us, [CallEnded("a", Outcome.TIMEOUT, call.timeout_us)])
    assert server.mean_calls <= 0.4


@pytest.mark.parametrize(("waited", "refused"), [(0, []), (800 * MS, ["late"])])
def test_after_a_long_unread_wait_a_request_that_cannot_make_its_aim_is_refused_despite_free_cores(waited, refused):
    late = (ClassSettings("late", 1_000 * MS, 3_000 * MS, late_share=0.2), *CLASSES)
    server = new_policy(cores=2, classes=late)
    server.unread_wait_us = waited * 1.0
    actions = server.handle(1_000 * MS, [request_arrived("late", 0, hint_us=800 * MS, due_us=4_000 * MS)])
    assert request_ids(actions, RefuseRequest) == refused and request_ids(actions, StartRun) == (
        [] if refused else ["late"]
    )


def test_a_tenant_far_over_its_share_is_shed_first_and_few_requests_change_little():
    tenants = (interface.TenantSettings("one", 50.0), interface.TenantSettings("two", 50.0))
    server = new_policy(tenants=tenants, over_share_worth=0.1)
    server.handle(500 * MS, [request_arrived("first", now_us=500 * MS)])
    server.handle(1_000 * MS, [])
    assert server.tenant_weights[0] > 0.9
    server = new_policy(tenants=tenants, over_share_worth=0.1)
    server.tenant_counts = [200.0, 20.0]
    server.handle(1_500 * MS, [])
    now = 1_600 * MS
    crowd = [request_arrived(f"{n}-{index}", now_us=now, caller=n, tenant=index) for n in range(12) for index in (0, 1)]
    refused = [name[-1] for name in request_ids(server.handle(now, crowd), RefuseRequest)]
    assert refused.count("0") > refused.count("1")


def test_tenants_without_allowance_change_nothing():
    server = new_policy(
        tenants=(interface.TenantSettings("one"), interface.TenantSettings("two")), over_share_worth=0.1
    )
    server.handle(600 * MS, [request_arrived(f"a{n}", now_us=600 * MS, tenant=n % 2) for n in range(4)])
    server.handle(1_200 * MS, [])
    assert server.tenant_weights == [1.0, 1.0]


@pytest.mark.parametrize(
    "overrides",
    [
        {"servers": 1},
        {"callers": 1_000},
        {"tenants": ()},
        {"callers": 0},
        {"idle_max_us": 0},
        {"tenants": (interface.TenantSettings("one", 0.001), interface.TenantSettings("two", 900.0))},
        {"downstream": DownstreamKind.SHARED, "calls_share": 0.2},
        {"downstream": DownstreamKind.SHARED, "calls_share": 0.0},
        {"free_value": interface.FreeValueKind.CREDIT, "callers": 1_000},
        {"free_value": interface.FreeValueKind.WEIGHT},
    ],
)
def test_extreme_settings_are_accepted_and_all_requests_are_answered_in_time(overrides):
    server = new_policy(**overrides)
    actions = []
    for turn in range(6):
        now = turn * 400 * MS
        names = [f"t{turn}-{n}" for n in range(6)]
        actions += server.handle(
            now, [request_arrived(name, n % 3, now_us=now, caller=n) for n, name in enumerate(names)]
        )
        actions += server.handle(now + 50 * MS, [CallRequested(name) for name in list(server.on_cores)])
    actions += fire_timers(server, 2_500 * MS, 6_000 * MS)
    assert len(set(request_ids(actions, FailRequest) + request_ids(actions, RefuseRequest))) == 36


def test_requests_are_answered_despite_missing_gauges_and_a_clock_jump():
    server = new_policy(cores=2)
    server.handle(0, [request_arrived("a"), request_arrived("b", caller=2), request_arrived("c", caller=3)])
    actions = server.handle(20_000 * MS, [TimerFired(1, Gauges())])
    assert sorted(request_ids(actions, FailRequest) + request_ids(actions, RefuseRequest)) == ["a", "b", "c"]


def test_no_timer_is_set_again_while_one_is_pending():
    server = new_policy(cores=2)
    server.handle(0, [request_arrived("a")])
    timers = [action for action in fire_timers(server, 1, 400 * MS) if isinstance(action, SetTimer)]
    assert timers == []


def test_log_lines_match_the_on_call_page():
    page = (LOGIC.parent.parent / "docs" / "on-call.md").read_text()
    server = new_policy()
    actions = server.handle(0, [request_arrived("a"), DrainNotice(60_000 * MS)])
    slow = new_policy()
    slow.requested_load, slow.unread_wait_us = 0.1, 900.0 * MS
    actions += slow.handle(600 * MS, [])
    lines = [action.text for action in actions if isinstance(action, interface.WriteLogLine)]
    assert lines == ["drain: 1 requests in hand", "slow cores: off the roster for a time"]
    assert "drain: N requests in hand" in page and lines[1] in page


def test_another_process_of_the_server_reduces_memory_and_runs():
    """Two processes of one server share both; otherwise each would use the full capacity by itself."""
    server = new_policy(cores=2, memory_kb=1000.0)
    server.handle(0, [interface.ProcessUsage(900.0, 4)])
    assert server._survivable_runs() == new_policy(cores=2)._survivable_runs() - 4
    assert request_ids(server.handle(1 * MS, [request_arrived("a", kb=60.0)]), RefuseRequest) == ["a"]
    assert request_ids(server.handle(2 * MS, [interface.ProcessUsage(), request_arrived("b", kb=60.0)]), StartRun) == [
        "b"
    ]
    assert server.usage() == interface.ProcessUsage(240.0, 1)


# Guards against a server that falls over because runs that may still go on are taken for ended.
def test_runs_in_doubt_free_their_core_but_not_their_memory_and_count_towards_the_runs_survived():
    server = new_policy(crowd_multiple=4.0)
    server.handle(0, [request_arrived(f"r{number}", caller=number) for number in range(5)])
    started = 1
    while started < 5 and len(server.on_cores) == 1:
        (running,) = server.on_cores
        memory_kb = server.memory_kb
        actions = server.handle(started * MS, [RunInDoubt(running)])
        assert server.memory_kb >= memory_kb
        started += len(request_ids(actions, StartRun))
    assert started == len(server.in_doubt) == 3  # 0.85 of the 4 runs that one core survives
    assert server.usage().running == 3


# Guards against a run that is found again and stays out of the queues, or keeps its memory after its end.
def test_a_run_in_doubt_that_is_reported_goes_on_as_any_other():
    for end, left in ((RunEnded("a", Outcome.CANCELLED), True), (RunEnded("a", Outcome.OK), False)):
        server = new_policy()
        server.handle(0, [request_arrived("a")])
        server.handle(MS, [RunInDoubt("a")])
        assert not server.on_cores
        assert request_ids(server.handle(2 * MS, [end]), StartRun) == ["a"] * left
        assert (list(server.requests), server.in_doubt) == (["a"] * left, {})
        assert bool(server.memory_kb) is left
    server = new_policy()
    server.handle(0, [request_arrived("b", class_index=0)])
    server.handle(MS, [RunInDoubt("b")])
    server.handle(2 * MS, [CallRequested("b")])
    assert not server.in_doubt
    assert server.requests["b"].state != IN_DOUBT
