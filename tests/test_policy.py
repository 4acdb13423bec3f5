"""The module alone, by hand-written event sequences."""

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
    SetHealth,
    SetTimer,
    SkipCall,
    StartRun,
    StopRun,
    TimerFired,
)
from sagetrestle.logic import STOPPING

MS = 1_000
LOGIC = pathlib.Path(__file__).parent.parent / "sagetrestle" / "logic.py"
CLASSES = (
    ClassSettings("low", 1_000 * MS, 3_000 * MS, worth=1.0, calls=True, skip_worth=0.5),
    ClassSettings("high", 1_000 * MS, 3_000 * MS, worth=4.0),
    ClassSettings("keyed", 1_000 * MS, 3_000 * MS, worth=4.0, effect=Effect.KEYED, window_us=5_000 * MS),
)


def settings(**over):
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
    return Settings(**(base | over))


def policy(**over):
    made = Policy(settings(**over), 1)
    made.handle(0, [])
    return made


def arrive(name, cls=1, at=0, caller=1, due_us=None, **rest):
    rest.setdefault("hint_us", 20 * MS)
    return RequestArrived(
        name, cls, caller, rest.pop("kb", 10.0), (at + 3_000 * MS) if due_us is None else due_us, **rest
    )


def ids(actions, kind):
    return [action.id for action in actions if isinstance(action, kind)]


def run_wakes(made, start, end, step=20 * MS):
    actions = []
    for now in range(start, end, step):
        got = made.handle(now, [TimerFired(made.timer_token, Gauges(core_use=1.0))])
        actions += got
    return actions


def test_idle_server_runs_at_once_whoever_asks():
    made = policy(cores=2)
    assert ids(made.handle(1, [arrive("a"), arrive("b")]), StartRun) == ["a", "b"]


def test_first_answer_sets_health_and_one_timer():
    actions = Policy(settings(), 1).handle(0, [])
    assert SetHealth(True, True) in actions
    assert sum(isinstance(action, SetTimer) for action in actions) == 1


def test_slice_ends_by_pause_and_least_served_user_is_next():
    made = policy()
    made.handle(1, [arrive("a", caller=1)])
    assert ids(made.handle(2, [arrive("b", caller=2)]), StartRun) == []
    assert "a" in ids(run_wakes(made, 20 * MS, 180 * MS), StopRun)
    assert ids(made.handle(181 * MS, [RunEnded("a", Outcome.CANCELLED)]), StartRun) == ["b"]


def test_no_pause_while_nobody_waits():
    made = policy()
    made.handle(1, [arrive("a")])
    assert ids(run_wakes(made, 20 * MS, 500 * MS), StopRun) == []


def test_pause_holds_the_core_until_confirmed():
    made = policy()
    made.handle(1, [arrive("a", caller=1)])
    made.handle(2, [arrive("b", caller=2)])
    actions = run_wakes(made, 20 * MS, 200 * MS)
    assert "a" in ids(actions, StopRun) and "b" not in ids(actions, StartRun)


def test_within_a_user_paused_resumes_before_held():
    made = policy()
    made.handle(1, [arrive("a", caller=1)])
    made.handle(2, [arrive("b", caller=2)])
    run_wakes(made, 20 * MS, 180 * MS)
    made.handle(181 * MS, [RunEnded("a", Outcome.CANCELLED), arrive("a2", caller=1)])
    assert "a2" in made.held
    assert ids(made.handle(200 * MS, [RunEnded("b", Outcome.OK)]), StartRun) == ["a"]


def test_charge_is_wall_time_times_cores_over_running_without_calls():
    made = policy(cores=2, downstream=DownstreamKind.TIER)
    made.climbed_limit = 3.0
    made.handle(0, [arrive("a", 0, caller=1), arrive("b", caller=2), arrive("c", caller=3)])
    made.handle(30 * MS, [CallRequested("a")])
    assert made.users[1].charged_us == pytest.approx(20 * MS)
    made.handle(500 * MS, [CallEnded("a", Outcome.OK)])
    assert made.users[1].charged_us == pytest.approx(20 * MS)


def test_user_count_goes_with_its_last_request():
    made = policy()
    made.handle(1, [arrive("a", caller=5)])
    assert 5 in made.users
    made.handle(50 * MS, [RunEnded("a", Outcome.OK)])
    assert 5 not in made.users


def test_run_limit_grows_while_cores_idle_and_work_waits():
    made = policy(cores=2)
    made.handle(0, [arrive(f"r{n}", caller=n) for n in range(8)])
    for turn in range(1, 60):
        now = turn * 20 * MS
        ended = [RunEnded(next(iter(made.on_cores)), Outcome.OK)] if made.on_cores else []
        more = arrive(f"more{turn}", at=now, caller=100 + turn)
        made.handle(now, [*ended, more, TimerFired(made.timer_token, Gauges(core_use=0.5))])
    assert made.climbed_limit > 2
    assert made.climbed_limit <= made._survivable_runs()


def test_run_limit_is_lower_while_cold_and_never_below_the_cores():
    cold = policy(cores=2, cold=True, cold_share=0.1, warm_within_us=10_000 * MS)
    cold.climbed_limit = 100.0
    assert 2 <= cold._run_limit() < 4
    assert policy(cores=2)._survivable_runs() == 12


def test_every_request_is_answered_by_its_due_time():
    made = policy(downstream=DownstreamKind.TIER)
    actions = made.handle(
        0,
        [
            arrive("run", due_us=400 * MS),
            arrive("wait", caller=2, due_us=400 * MS),
            arrive("call", 0, caller=3, due_us=400 * MS),
        ],
    )
    actions += run_wakes(made, 20 * MS, 420 * MS)
    answered = ids(actions, FailRequest) + ids(actions, RefuseRequest)
    assert sorted(answered) == ["call", "run", "wait"]


def test_paused_request_is_answered_by_its_due_time():
    made = policy()
    made.handle(0, [arrive("a", caller=1, due_us=900 * MS), arrive("b", caller=2)])
    run_wakes(made, 20 * MS, 180 * MS)
    made.handle(180 * MS, [RunEnded("a", Outcome.CANCELLED)])
    assert "a" in ids(run_wakes(made, 200 * MS, 920 * MS), FailRequest)


def test_keyed_repeat_of_a_running_try_joins_it():
    made = policy()
    first = made.handle(0, [arrive("k", 2)])
    assert ids(first, RememberRequest) == ["k"] and ids(first, StartRun) == ["k"]
    second = made.handle(9 * MS, [arrive("k2", 2, repeat_of="k")])
    assert ids(second, ReuseResult) == ["k2"] and ids(second, StartRun) == []


def test_keyed_repeat_of_a_finished_or_failed_try_never_runs():
    for outcome in (Outcome.OK, Outcome.ERROR):
        made = policy()
        made.handle(0, [arrive("k", 2)])
        made.handle(50 * MS, [RunEnded("k", outcome)])
        assert ids(made.handle(60 * MS, [arrive("k2", 2, repeat_of="k")]), ReuseResult) == ["k2"]


def test_keyed_repeat_of_an_unknown_try_never_runs():
    assert ids(policy().handle(0, [arrive("k2", 2, repeat_of="lost")]), ReuseResult) == ["k2"]


def test_keyed_repeat_takes_the_place_of_a_held_try():
    made = policy()
    made.handle(0, [arrive("busy")])
    made.handle(1, [arrive("k", 2, caller=2)])
    actions = made.handle(2, [arrive("k2", 2, caller=2, repeat_of="k")])
    assert ids(actions, RefuseRequest) == ["k"] and ids(actions, RememberRequest) == ["k2"]
    assert ids(made.handle(50 * MS, [RunEnded("busy", Outcome.OK)]), StartRun) == ["k2"]


def test_keyed_work_that_ran_is_failed_not_refused():
    made = policy()
    made.handle(0, [arrive("k", 2)])
    actions = run_wakes(made, 20 * MS, 3_000 * MS)
    assert ids(actions, FailRequest) == ["k"] and ids(actions, RefuseRequest) == []


def test_a_keyed_call_is_repeated_only_when_it_proves_it_never_ran():
    keyed = (ClassSettings("k", 1_000 * MS, 3_000 * MS, effect=Effect.KEYED, window_us=9, calls=True),)
    for outcome, again in (
        (Outcome.FULL, True),
        (Outcome.CONNECT_FAILED, True),
        (Outcome.ERROR, False),
        (Outcome.TIMEOUT, False),
        (Outcome.RESET, False),
    ):
        made = policy(classes=keyed, downstream=DownstreamKind.TIER)
        made.handle(0, [arrive("k", 0)])
        assert ids(made.handle(10 * MS, [CallRequested("k")]), MakeCall) == ["k"]
        later = made.handle(20 * MS, [CallEnded("k", outcome)]) + run_wakes(made, 40 * MS, 200 * MS)
        assert (ids(later, MakeCall) == ["k"]) is again
        assert (ids(later, FailRequest) == ["k"]) is not again


def test_shared_calls_stay_within_the_servers_share():
    made = policy(cores=4, downstream=DownstreamKind.SHARED, calls_share=2.0)
    made.handle(0, [arrive(f"r{n}", 0, caller=n) for n in range(4)])
    actions = made.handle(10 * MS, [CallRequested(f"r{n}") for n in range(4)])
    assert len(ids(actions, MakeCall)) == 1


def test_a_call_that_would_come_too_late_is_skipped():
    made = policy(downstream=DownstreamKind.SHARED, calls_share=5.0)
    made.handle(0, [arrive("r", 0)])
    assert ids(made.handle(960 * MS, [CallRequested("r")]), SkipCall) == ["r"]


def test_a_call_that_can_not_be_in_time_is_not_made_and_late_calls_teach_how_long_they_take():
    """Learnt from good calls alone, they seem quick just when most time out, and crowd out the others."""
    classes = (ClassSettings("read", 1_000 * MS, 3_000 * MS, calls=True),)
    made = policy(cores=4, classes=classes, downstream=DownstreamKind.SHARED, calls_share=50.0)
    made.handle(0, [arrive("a", 0), arrive("b", 0, caller=2), arrive("c", 0, caller=3)])
    made.handle(1 * MS, [CallRequested("a"), CallRequested("b")])
    made.handle(101 * MS, [CallEnded("a", Outcome.OK, 100 * MS)])
    made.handle(501 * MS, [CallEnded("b", Outcome.TIMEOUT, 500 * MS)])
    assert 130 * MS < made.typical_call_us[0] < 150 * MS
    assert ids(made.handle(920 * MS, [CallRequested("c")]), FailRequest) == ["b", "c"]


def test_where_calls_are_slow_what_would_wait_too_long_is_refused():
    """With free cores all of it was started and failed waiting for calls; the other class is not hurt."""
    classes = (
        ClassSettings("calls", 1_000 * MS, 3_000 * MS, calls=True),
        ClassSettings("plain", 1_000 * MS, 3_000 * MS),
        ClassSettings("dear", 1_000 * MS, 3_000 * MS, worth=4.0, calls=True),
    )
    made = policy(cores=8, classes=classes, downstream=DownstreamKind.SHARED, calls_share=2.5, counted_by_work=True)
    made.typical_call_us = [400.0 * MS, 0.0, 400.0 * MS]
    made.handle(0, [arrive(f"r{at}", 0, caller=at) for at in range(3)])
    assert len(ids(made.handle(10 * MS, [CallRequested(f"r{at}") for at in range(3)]), MakeCall)) == 1
    actions = made.handle(20 * MS, [arrive("c", 0, caller=7), arrive("p", 1, caller=8)])
    assert (ids(actions, RefuseRequest), ids(actions, StartRun)) == (["c"], ["p"])


def test_in_a_line_for_calls_the_least_worth_for_a_call_gives_way_even_when_it_has_run():
    """Calls are what is short then: dear requests were refused behind cheap ones that stood in line."""
    classes = (
        ClassSettings("cheap", 1_000 * MS, 3_000 * MS, calls=True),
        ClassSettings("dear", 1_000 * MS, 3_000 * MS, worth=4.0, calls=True),
    )
    made = policy(cores=8, classes=classes, downstream=DownstreamKind.SHARED, calls_share=2.5, counted_by_work=True)
    made.typical_call_us = [150.0 * MS, 150.0 * MS]
    made.handle(0, [arrive(f"r{at}", 0, caller=at) for at in range(5)])
    assert len(ids(made.handle(10 * MS, [CallRequested(f"r{at}") for at in range(5)]), MakeCall)) == 1
    actions = made.handle(100 * MS, [arrive("d", 1, caller=7, at=100)])
    assert (ids(actions, FailRequest), ids(actions, StartRun)) == (["r4"], ["d"])
    assert ids(made.handle(101 * MS, [CallEnded("r0", Outcome.OK, 90 * MS)]), MakeCall) == ["r1"]


def test_a_silent_call_is_made_again_only_where_that_is_safe():
    """A reply that never comes held a read until its aim, when nothing could be done for it any more."""
    classes = (
        ClassSettings("read", 1_000 * MS, 3_000 * MS, calls=True),
        ClassSettings("k", 1_000 * MS, 3_000 * MS, effect=Effect.KEYED, window_us=9, calls=True),
    )
    made = policy(cores=4, classes=classes, downstream=DownstreamKind.SHARED, calls_share=50.0)
    made.typical_call_us = [20.0 * MS, 20.0 * MS]
    made.handle(0, [arrive("r", 0), arrive("k", 1, caller=2)])
    calls = [one for one in made.handle(MS, [CallRequested("r"), CallRequested("k")]) if isinstance(one, MakeCall)]
    assert {one.id: one.timeout_us for one in calls} == {"r": 180 * MS, "k": 979 * MS}


def test_tables_do_not_keep_what_is_over():
    """Floods that are taken back at once, keys ever new, left entries behind for the whole window."""
    made = policy(cores=2)
    made.handle(0, [arrive("a"), arrive("b", caller=2)])
    for at in range(9_000):
        made.handle(MS + at, [arrive(f"x{at}", 1 + at % 2, at=at // MS)])
        made.handle(MS + at, [RequestWithdrawn(f"x{at}")])
    assert len(made.answer_queue) < 4_500
    made.handle(6_000 * MS, [arrive("last", at=6_000)])
    assert len(made.key_records) < 10
    assert len(made.key_expiries) < 4_500


def test_drain_answers_all_and_runs_nothing_late():
    made = policy()
    assert SetHealth(False, True) in made.handle(0, [arrive("slow"), arrive("behind"), DrainNotice(800 * MS)])
    actions = run_wakes(made, 20 * MS, 800 * MS)
    assert sorted(ids(actions, FailRequest) + ids(actions, RefuseRequest)) == ["behind", "slow"]


def test_drain_refuses_what_came_after_the_grace_even_on_an_idle_server():
    made = policy()
    made.handle(0, [DrainNotice(6_000 * MS)])
    assert ids(made.handle(2_600 * MS, [arrive("b", at=2_600 * MS)]), RefuseRequest) == ["b"]
    assert ids(made.handle(2_700 * MS, [arrive("c", at=2_700 * MS, waited_us=300 * MS)]), StartRun) == ["c"]


def test_memory_is_never_promised_twice():
    made = policy(cores=8, memory_kb=200.0)
    actions = made.handle(0, [arrive(f"r{n}", caller=n) for n in range(30)])
    held = len(made.held)
    running = len(ids(actions, StartRun))
    assert running * 40 + held * 10 <= 200
    assert ids(actions, RefuseRequest)


def test_shedding_keeps_the_worth_that_fits():
    made = policy()
    actions = made.handle(
        0,
        [arrive(f"low{n}", 0, caller=n) for n in range(10)] + [arrive(f"high{n}", 1, caller=50 + n) for n in range(6)],
    )
    refused = ids(actions, RefuseRequest)
    assert refused and all(name.startswith("low") for name in refused)


def test_a_refused_retry_is_refused_for_good():
    made = policy()
    made.handle(0, [arrive(f"r{n}", 1, caller=n) for n in range(30)])
    actions = made.handle(1, [arrive("again", 0, caller=60, retry=True)])
    assert any(action.final for action in actions if isinstance(action, RefuseRequest))


def test_gone_request_is_forgotten_and_late_events_change_nothing():
    made = policy()
    made.handle(0, [arrive("a"), arrive("b", caller=2)])
    made.handle(1, [RequestWithdrawn("b")])
    for event in (RequestWithdrawn("b"), RunEnded("b", Outcome.OK), CallRequested("b"), CallEnded("b", Outcome.OK)):
        assert ids(made.handle(2, [event]), interface.StartRun) == []
    assert list(made.requests) == ["a"]


def test_memory_returns_to_nothing_when_all_is_over():
    made = policy()
    made.handle(0, [arrive("a"), arrive("k", 2, caller=2)])
    made.handle(40 * MS, [RunEnded("a", Outcome.OK)])
    made.handle(90 * MS, [RunEnded("k", Outcome.OK)])
    run_wakes(made, 100 * MS, 6_000 * MS)
    assert made.memory_kb == pytest.approx(0.0)
    assert not made.requests and not made.key_records


def test_stopping_is_not_used_where_there_is_none():
    made = policy(preemption=PreemptionMode.NONE)
    made.handle(0, [arrive("a"), arrive("b", caller=2)])
    assert ids(run_wakes(made, 20 * MS, 3_200 * MS), StopRun) == []


def test_equal_events_give_equal_actions():
    def play():
        made = policy(cores=2)
        got = made.handle(0, [arrive(f"r{n}", n % 2, caller=n % 5) for n in range(12)])
        return got + run_wakes(made, 20 * MS, 900 * MS)

    assert play() == play()


@pytest.mark.parametrize(
    ("over", "field"),
    [
        ({"cores": 0}, "cores"),
        ({"classes": ()}, "classes"),
        ({"memory_kb": 0}, "memory_kb"),
        ({"linger_us": -1}, "linger_us"),
        ({"tick_us": 0}, "tick_us"),
        ({"classes": (ClassSettings("x", -1, 5),)}, "aim_us"),
    ],
)
def test_senseless_settings_name_the_field(over, field):
    with pytest.raises(ValueError, match=field):
        settings(**over)


def test_calls_leave_room_for_what_runs_not_for_the_run_limit():
    made = policy(cores=2, downstream=DownstreamKind.TIER)
    made.climbed_limit = 7.0
    made.handle(0, [arrive(f"r{n}", 0, caller=n) for n in range(6)])
    assert len(ids(made.handle(10 * MS, [CallRequested(f"r{n}") for n in range(6)]), MakeCall)) == 6


def test_busy_cores_and_flat_throughput_bring_the_run_limit_down():
    made = policy(cores=2, crowd_multiple=8.0)
    made.climbed_limit = 8.0
    made.handle(0, [arrive(f"r{n}", caller=n) for n in range(8)])
    for turn in range(1, 200):
        now = turn * 20 * MS
        ended = [RunEnded(next(iter(made.on_cores)), Outcome.OK)] if made.on_cores else []
        made.handle(
            now,
            [*ended, arrive(f"n{turn}", at=now, caller=100 + turn), TimerFired(made.timer_token, Gauges(core_use=1.0))],
        )
    assert made.climbed_limit < 8.0


def test_work_past_its_aim_gives_way_to_work_in_time():
    late = (ClassSettings("late", 300 * MS, 3_000 * MS, late_share=0.2), *CLASSES)
    made = policy(classes=late)
    made.handle(0, [arrive("old", 0, caller=1)])
    run_wakes(made, 20 * MS, 320 * MS)
    made.users[1].charged_us = -1e6
    made.handle(320 * MS, [arrive("new", 2, at=320 * MS, caller=2)])
    run_wakes(made, 340 * MS, 380 * MS)
    assert made.requests["old"].state == STOPPING
    assert ids(made.handle(380 * MS, [RunEnded("old", Outcome.CANCELLED)]), StartRun) == ["new"]


def idle_limit(callers, ends=4_000 * MS):
    made = policy(callers=callers, idle_max_us=30_000 * MS)
    actions = []
    for now in range(500 * MS, ends, 500 * MS):
        actions += made.handle(now, [TimerFired(made.timer_token, Gauges(core_use=0.1, connections=60))])
    return [one.max_idle_us for one in actions if isinstance(one, interface.SetIdleLimit)]


def test_idle_connections_of_many_callers_are_closed_in_time_for_the_next():
    assert idle_limit(callers=900)[-1] < 10_000 * MS


def test_idle_connections_are_kept_where_callers_come_again_in_time():
    assert idle_limit(callers=20) == []


@pytest.mark.parametrize(("each", "last"), [(1, False), (40, True)])
def test_a_first_try_is_refused_for_good_only_where_far_more_is_asked_than_the_cores_do(each, last):
    made = policy()
    for turn in range(8):
        now = turn * 500 * MS
        made.handle(now, [arrive(f"t{turn}-{n}", at=now, caller=n) for n in range(each)])
        made.handle(now + 100 * MS, [RunEnded(name, Outcome.OK) for name in list(made.on_cores)])
    actions = made.handle(4_100 * MS, [arrive(f"z{n}", at=4_100 * MS, caller=n) for n in range(60)])
    assert {action.final for action in actions if isinstance(action, RefuseRequest)} == {last}


def healths(actions):
    return [action.healthy for action in actions if isinstance(action, SetHealth)]


@pytest.mark.parametrize(("each", "flags"), [(1, [False]), (12, [])])
def test_a_slow_server_leaves_the_roster_and_a_full_one_does_not(each, flags):
    made = policy()
    actions = []
    for turn in range(1, 8):
        now = turn * 500 * MS
        actions += made.handle(
            now,
            [arrive(f"t{turn}-{n}", at=now, caller=n, waited_us=900 * MS) for n in range(each)]
            + [TimerFired(0, Gauges(core_use=1.0))],
        )
        made.handle(now + 100 * MS, [RunEnded(name, Outcome.OK) for name in list(made.on_cores)])
    assert healths(actions) == flags


def test_a_server_off_the_roster_returns_to_try_again_and_never_after_the_notice():
    for events, flags in (([], [True]), ([DrainNotice(60_000 * MS)], [False])):
        made = policy()
        made.on_roster, made.return_at_us = False, 4_000 * MS
        assert healths(made.handle(3_000 * MS, events) + made.handle(5_000 * MS, [])) == flags


def test_a_hung_call_leaves_room_in_a_part_under_one_call():
    made = policy(downstream=DownstreamKind.SHARED, calls_share=0.4)
    made.handle(0, [arrive("a", 0), arrive("b", 0, caller=2)])
    call = next(one for one in made.handle(10 * MS, [CallRequested("a")]) if isinstance(one, MakeCall))
    assert call.timeout_us < 700 * MS
    made.handle(10 * MS + call.timeout_us, [CallEnded("a", Outcome.TIMEOUT, call.timeout_us)])
    assert made.mean_calls <= 0.4


@pytest.mark.parametrize(("waited", "refused"), [(0, []), (800 * MS, ["late"])])
def test_after_a_long_wait_unread_what_cannot_make_its_aim_is_refused_with_room_to_run(waited, refused):
    late = (ClassSettings("late", 1_000 * MS, 3_000 * MS, late_share=0.2), *CLASSES)
    made = policy(cores=2, classes=late)
    made.unread_wait_us = waited * 1.0
    actions = made.handle(1_000 * MS, [arrive("late", 0, hint_us=800 * MS, due_us=4_000 * MS)])
    assert ids(actions, RefuseRequest) == refused and ids(actions, StartRun) == ([] if refused else ["late"])


def test_a_tenant_far_over_its_share_is_shed_first_and_little_seen_changes_little():
    tenants = (interface.TenantSettings("one", 50.0), interface.TenantSettings("two", 50.0))
    made = policy(tenants=tenants, over_share_worth=0.1)
    made.handle(500 * MS, [arrive("first", at=500 * MS)])
    made.handle(1_000 * MS, [])
    assert made.tenant_weights[0] > 0.9
    made = policy(tenants=tenants, over_share_worth=0.1)
    made.tenant_counts = [200.0, 20.0]
    made.handle(1_500 * MS, [])
    now = 1_600 * MS
    crowd = [arrive(f"{n}-{at}", at=now, caller=n, tenant=at) for n in range(12) for at in (0, 1)]
    refused = [name[-1] for name in ids(made.handle(now, crowd), RefuseRequest)]
    assert refused.count("0") > refused.count("1")


def test_tenants_without_allowance_change_nothing():
    made = policy(tenants=(interface.TenantSettings("one"), interface.TenantSettings("two")), over_share_worth=0.1)
    made.handle(600 * MS, [arrive(f"a{n}", at=600 * MS, tenant=n % 2) for n in range(4)])
    made.handle(1_200 * MS, [])
    assert made.tenant_weights == [1.0, 1.0]


@pytest.mark.parametrize(
    "over",
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
def test_settings_at_the_edges_are_taken_and_all_is_answered_in_time(over):
    made = policy(**over)
    actions = []
    for turn in range(6):
        now = turn * 400 * MS
        names = [f"t{turn}-{n}" for n in range(6)]
        actions += made.handle(now, [arrive(name, n % 3, at=now, caller=n) for n, name in enumerate(names)])
        actions += made.handle(now + 50 * MS, [CallRequested(name) for name in list(made.on_cores)])
    actions += run_wakes(made, 2_500 * MS, 6_000 * MS)
    assert len(set(ids(actions, FailRequest) + ids(actions, RefuseRequest))) == 36


def test_missing_gauges_and_a_clock_that_jumps_change_no_promise():
    made = policy(cores=2)
    made.handle(0, [arrive("a"), arrive("b", caller=2), arrive("c", caller=3)])
    actions = made.handle(20_000 * MS, [TimerFired(1, Gauges())])
    assert sorted(ids(actions, FailRequest) + ids(actions, RefuseRequest)) == ["a", "b", "c"]


def test_timers_are_set_for_what_is_due_and_not_swept():
    made = policy(cores=2)
    made.handle(0, [arrive("a")])
    wakes = [one for one in run_wakes(made, 1, 400 * MS) if isinstance(one, SetTimer)]
    assert wakes == []


def test_log_lines_named_on_the_on_call_page():
    page = (LOGIC.parent.parent / "docs" / "on-call.md").read_text()
    made = policy()
    actions = made.handle(0, [arrive("a"), DrainNotice(60_000 * MS)])
    slow = policy()
    slow.requested_load, slow.unread_wait_us = 0.1, 900.0 * MS
    actions += slow.handle(600 * MS, [])
    lines = [one.text for one in actions if isinstance(one, interface.WriteLogLine)]
    assert lines == ["drain: 1 requests in hand", "slow cores: off the roster for a time"]
    assert "drain: N requests in hand" in page and lines[1] in page


def test_another_process_beside_takes_its_part_of_memory_and_crowd():
    """Two processes of one server share both; without this each would fill all of it by itself."""
    made = policy(cores=2, memory_kb=1000.0)
    made.handle(0, [interface.ProcessUsage(900.0, 4)])
    assert made._survivable_runs() == policy(cores=2)._survivable_runs() - 4
    assert ids(made.handle(1 * MS, [arrive("a", kb=60.0)]), RefuseRequest) == ["a"]
    assert ids(made.handle(2 * MS, [interface.ProcessUsage(), arrive("b", kb=60.0)]), StartRun) == ["b"]
    assert made.usage() == interface.ProcessUsage(240.0, 1)
