"""Runs the decision module under the simulator: translates JSON lines to events, and actions to JSON lines.

One process hosts many instances, which share no state. The translation is one to one and makes no decisions.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any, BinaryIO

import orjson

from sagetrestle import interface
from sagetrestle.logic import Policy

OUTCOMES = {
    100: interface.Outcome.OK,
    301: interface.Outcome.ERROR,
    302: interface.Outcome.FULL,
    303: interface.Outcome.TIMEOUT,
    304: interface.Outcome.CONNECT_FAILED,
    305: interface.Outcome.RESET,
    306: interface.Outcome.CANCELLED,
    307: interface.Outcome.NOT_STARTED,
}
PREEMPTION_MODES = {
    "silent": interface.PreemptionMode.NONE,
    "abort": interface.PreemptionMode.ABORT,
    "suspend": interface.PreemptionMode.PAUSE,
}
DOWNSTREAM_KINDS = {
    "silent": interface.DownstreamKind.NONE,
    "shared": interface.DownstreamKind.SHARED,
    "tier": interface.DownstreamKind.TIER,
}
FREE_VALUE_KINDS = {
    "silent": interface.FreeValueKind.NONE,
    "threshold": interface.FreeValueKind.LEVEL,
    "window": interface.FreeValueKind.CREDIT,
    "share_of": interface.FreeValueKind.WEIGHT,
}


class WireError(Exception):
    """An input line does not follow the simulator's protocol."""


def _class_entry(values: list | None, index: int, default: Any) -> Any:
    """Return a class's entry in a list by class; a short list repeats its last entry, no list gives ``default``."""
    if not values:
        return default
    return values[index] if index < len(values) else values[-1]


def read_settings(params: dict[str, Any]) -> interface.Settings:
    """Translate the parameters of ``init``; unknown ones are ignored, absent ones get the default of ``Settings``."""
    extra = params.get("extra") or {}
    rules = params.get("rules") or {}
    limits = params.get("limits") or {}
    classes = tuple(
        interface.ClassSettings(
            name=str(class_params.get("name") or index),
            aim_us=class_params["aim"],
            deadline_us=class_params["hard_limit"],
            worth=class_params.get("worth", 1.0),
            effect=interface.Effect(class_params.get("effect") or "safe"),
            late_share=class_params.get("late_share") or 0.0,
            window_us=class_params.get("window") or 0,
            aim_stretch=class_params.get("aim_stretch") or 0.0,
            calls=bool(_class_entry(extra.get("class_calls"), index, False)),
            skip_worth=_class_entry(extra.get("class_skip_worth"), index, 0.0) or 0.0,
        )
        for index, class_params in enumerate(params.get("classes") or ())
    )
    tenants = tuple(
        interface.TenantSettings(str(tenant_params.get("name") or index), tenant_params.get("allowance_per_s") or 0.0)
        for index, tenant_params in enumerate(params.get("projects") or ())
    )
    over_share = params.get("over_share_worth")
    optional = {
        "servers": params.get("servers"),
        "callers": extra.get("senders"),
        "run_factor": extra.get("run_factor"),
        "key_kb": extra.get("key_kb"),
        "calls_share": extra.get("calls_out"),
        "calls_span_us": extra.get("share_span"),
        "linger_us": extra.get("lingers"),
        "fresh_us": extra.get("fresh_for"),
        "idle_max_us": extra.get("keepalive_max"),
        "max_retry_after_us": limits.get("max_retry_after"),
        "cold_share": rules.get("cold_share"),
        "warm_within_us": rules.get("warm_within"),
        "drain_grace_us": rules.get("stop_sending_within"),
        "crowd_multiple": rules.get("tip_multiple"),
        "crowd_span_us": rules.get("tip_after"),
        "tick_us": params.get("tick"),
        "over_share_worth": over_share,
    }
    return interface.Settings(
        cores=extra["cores"],
        memory_kb=extra["memory_kb"],
        classes=classes,
        tenants=tenants,
        cold=bool(extra.get("cold")),
        preemption=PREEMPTION_MODES[extra.get("halt") or "silent"],
        downstream=DOWNSTREAM_KINDS[extra.get("below") or "silent"],
        free_value=FREE_VALUE_KINDS[extra.get("say") or "silent"],
        marks_retry=bool((params.get("callers") or {}).get("marks_retry")),
        retry_after=bool(limits.get("retry_after")),
        counted_by_work=params.get("counted_by") == "work",
        **{name: value for name, value in optional.items() if value is not None},
    )


def _request_arrived(message: dict[str, Any]) -> interface.RequestArrived:
    """Translate a ``submit`` message."""
    return interface.RequestArrived(
        message["msg_id"],
        message["profile"],
        message.get("src_peer") or 0,
        message.get("footprint") or 0.0,
        message.get("client_deadline") or 0,
        message.get("team") or 0,
        message.get("resource") or None,
        message.get("cost") or 0,
        message.get("precedence") or 0.0,
        bool(message.get("again_by_client")),
        message.get("queued_for") or 0,
        message.get("earlier") or None,
    )


def _timer_fired(message: dict[str, Any]) -> interface.TimerFired:
    """Translate an ``alarm`` message with its gauges."""
    telemetry = message.get("telemetry") or {}
    return interface.TimerFired(
        message["cookie"],
        interface.Gauges(
            telemetry.get("core_use"), telemetry.get("on_cores"), telemetry.get("heap_share"), telemetry.get("links")
        ),
    )


EVENTS: dict[str, Callable[[dict[str, Any]], interface.Event]] = {
    "submit": _request_arrived,
    "vanished": lambda message: interface.RequestWithdrawn(message["msg_id"]),
    "finished": lambda message: interface.RunEnded(
        message["msg_id"], OUTCOMES[message["verdict"]], message.get("cost_time") or 0
    ),
    "ready_to_call": lambda message: interface.CallRequested(message["msg_id"]),
    "came_back": lambda message: interface.CallEnded(
        message["msg_id"], OUTCOMES[message["verdict"]], message.get("cost_time") or 0
    ),
    "sigterm": lambda message: interface.DrainNotice(message["client_deadline"]),
    "alarm": _timer_fired,
}

ACTIONS: dict[type, tuple[str, tuple[str, ...]]] = {
    interface.StartRun: ("admit", ("msg_id",)),
    interface.StopRun: ("preempt", ("msg_id",)),
    interface.RefuseRequest: ("not_now", ("msg_id", "retry_in", "no_retry")),
    interface.FailRequest: ("drop_request", ("msg_id",)),
    interface.MakeCall: ("invoke", ("msg_id", "try_for")),
    interface.SkipCall: ("do_without", ("msg_id",)),
    interface.RememberRequest: ("remember", ("msg_id", "lifetime")),
    interface.ForgetRequest: ("erase", ("msg_id",)),
    interface.ReuseResult: ("echo", ("msg_id",)),
    interface.SetHealth: ("set_health", ("enable", "stored")),
    interface.SetFreeValue: ("say", ("amount",)),
    interface.SetIdleLimit: ("idle_limit", ("lifetime",)),
    interface.SetTimer: ("after", ("delay", "cookie")),
    interface.WriteLogLine: ("print", ("text",)),
}


def write_action(instance: int, action: interface.Action) -> bytes:
    """Return an action as a JSON line."""
    verb, field_names = ACTIONS[type(action)]
    message: dict[str, Any] = {"verb": verb, "who": instance}
    message.update(zip(field_names, action, strict=True))
    return orjson.dumps(message)


class InstanceHost:
    """Holds the policy of each instance, and answers batches of events."""

    def __init__(self) -> None:
        self.policies: dict[int, Policy] = {}
        self.queued: dict[int, list[interface.Event]] = {}

    def receive(self, message: dict[str, Any]) -> None:
        """Queue an event for its instance, or start or stop an instance.

        Raises WireError for an unknown verb or instance.
        """
        verb, instance = message["verb"], message["who"]
        if verb == "init":
            self.policies[instance] = Policy(read_settings(message["params"]), message.get("rng_seed") or 0)
            self.queued[instance] = []
        elif instance not in self.policies:
            raise WireError(f"{verb}: no instance {instance}")
        elif verb == "crash_now":
            del self.policies[instance]
            self.queued.pop(instance, None)
        elif verb in EVENTS:
            self.queued.setdefault(instance, []).append(EVENTS[verb](message))
        else:
            raise WireError(f"unknown verb {verb!r}")

    def reply(self, now_us: int, serial: int) -> bytes:
        """Handle the queued events at ``now_us`` and return the lines that answer the batch ``serial``."""
        queued, self.queued = self.queued, {}
        lines = []
        for instance, events in queued.items():
            for action in self.policies[instance].handle(now_us, events):
                lines.append(write_action(instance, action))
        lines.append(b'{"verb":"finished","serial":%d}\n' % serial)
        return b"\n".join(lines)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends, flushing after each reply.

    Raises WireError, with the number of the line, for input that does not follow the protocol.
    """
    host = InstanceHost()
    now_us: int | None = None
    serial = 0
    for line_number, line in enumerate(source, 1):
        if line.isspace():
            continue
        try:
            message = orjson.loads(line)
            if not isinstance(message, dict):
                raise WireError("message is not an object")
            verb = message["verb"]
            if verb == "turn":
                now_us, serial = message["moment"], message["serial"]
            elif now_us is None:
                raise WireError(f"{verb!r} outside a batch")
            elif verb == "end":
                sink.write(host.reply(now_us, serial))
                sink.flush()
                now_us = None
            else:
                host.receive(message)
        except orjson.JSONDecodeError as error:
            raise WireError(f"line {line_number}: not JSON: {error}") from None
        except KeyError as error:
            raise WireError(f"line {line_number}: field or value {error} is missing or unknown") from None
        except (WireError, ValueError, TypeError, AttributeError, IndexError) as error:
            raise WireError(f"line {line_number}: {error}") from None


def main() -> int:
    """Serve on standard input and output, and return the exit status."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"sagetrestle: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
