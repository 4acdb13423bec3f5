"""The two state machines alone, the claims, and the messages as bytes."""

import unittest

from sagetrestle.handover import result_exchange, old_process, messages, new_process
from sagetrestle.handover.messages import KeyName, KeyRecord
from sagetrestle.net.protocol.errors import ProtocolError
from sagetrestle.net.protocol.handover import MAX_LINE, MessageDecoder, decode, encode

RECORD = KeyRecord(KeyName("paid-check", "t", "K"), b"\x00\xff", "a" * 16, 5, 9)
ALL = (
    messages.Hello(1, "n1", "127.0.0.1:9"),
    messages.Welcome(),
    messages.Busy("why"),
    messages.Ask(),
    messages.Records((RECORD, RECORD)),
    messages.Yours(("thrift",), 7),
    messages.Serving(),
    messages.Claim(RECORD),
    messages.Granted("a"),
    messages.Denied("a", "b", b"\x01"),
    messages.Results((("a", None, 3), ("b", b"\xff", 4))),
    messages.More(),
    messages.Load(1.5, 2, 3),
)


class MessagesTest(unittest.TestCase):
    """Bytes to values and back."""

    def test_every_message_comes_back_however_it_is_cut(self):
        data = b"".join(map(encode, ALL))
        for step in (1, 7, len(data)):
            decoder, got = MessageDecoder(), []
            for at in range(0, len(data), step):
                got += decoder.feed(data[at : at + step])
            self.assertEqual(list(ALL), got)

    def test_what_can_not_be_read_is_one_error(self):
        for line in (
            b"",
            b"[]",
            b"{}",
            b'["Nothing"]',
            b'["Hello",1]',
            b'["Hello","x","n","l"]',
            b'["Granted",5]',
            b'["Claim",[["a","b"],"","i",1,2]]',
            b'["Results",[["a","not base64!",1]]]',
            b"\xff",
        ):
            with self.subTest(line=line), self.assertRaises(ProtocolError):
                decode(line)

    def test_a_line_without_end_is_bounded(self):
        with self.assertRaises(ProtocolError):
            MessageDecoder().feed(b"x" * (MAX_LINE + 1))

    def test_many_keys_are_spread(self):
        parts = messages.split_records([RECORD] * 1000)
        self.assertEqual(1000, sum(len(part.records) for part in parts))
        self.assertLess(max(len(encode(part)) for part in parts), MAX_LINE)


class SuccessorTest(unittest.TestCase):
    """Every case ends in listening, in time."""

    def play(self, *events, state=None):
        state, now, said = state or new_process.NewProcess(window_us=28_000_000), 0, []
        for event in events:
            if isinstance(event, int):
                now = event
                event = new_process.Tick()
            state, decisions = new_process.step(state, now, event)
            said += decisions
        return state, said

    def test_alone_it_listens_at_once_without_doubt(self):
        state, said = self.play(new_process.Started(0))
        self.assertEqual([new_process.ListenOnOwnSocket("")], said)
        self.assertTrue(new_process.may_run(state, 0))

    def test_a_busy_old_process_is_asked_again_and_given_up_in_time(self):
        busy = new_process.MessageReceived(messages.Busy("x"))
        state, said = self.play(
            new_process.Started(1),
            new_process.Connected(),
            busy,
            new_process.Disconnected(False),
            200_000,
            new_process.Connected(),
            busy,
            new_process.Disconnected(False),
            3_000_000,
        )
        self.assertEqual(3, sum(isinstance(one, new_process.Connect) for one in said))
        self.assertIn(new_process.ListenOnOwnSocket("the older process does not hand over"), said)
        self.assertFalse(new_process.may_run(state, 10**12))

    def test_one_that_welcomes_and_then_hands_nothing_over_is_given_up(self):
        _, said = self.play(
            new_process.Started(1),
            new_process.Connected(),
            new_process.MessageReceived(messages.Welcome()),
            4_000_000,
            new_process.KernelUp(),
            5_900_000,
        )
        self.assertEqual(0, sum(isinstance(one, new_process.ListenOnOwnSocket) for one in said))
        state, said = self.play(
            new_process.Started(1),
            new_process.Connected(),
            new_process.MessageReceived(messages.Welcome()),
            new_process.KernelUp(),
            2_000_000,
        )
        self.assertTrue(state.listening)
        self.assertIsInstance(said[-1], new_process.ListenOnOwnSocket)

    def test_keys_that_come_before_the_kernel_wait_for_it_unless_the_old_process_dies(self):
        begun = (
            new_process.Started(1),
            new_process.Connected(),
            new_process.MessageReceived(messages.Welcome()),
            new_process.MessageReceived(messages.Yours(("thrift",))),
        )
        state, said = self.play(*begun)
        self.assertFalse(state.listening)
        _, later = self.play(new_process.KernelUp(), state=state)
        self.assertEqual([new_process.TakeOver(("thrift",))], later)
        _, later = self.play(new_process.Disconnected(False), state=state)
        self.assertIn(new_process.TakeOver(("thrift",)), later)

    def test_a_doubt_of_the_old_process_comes_with_the_keys(self):
        state, _ = self.play(
            new_process.Started(1),
            new_process.Connected(),
            new_process.MessageReceived(messages.Welcome()),
            new_process.KernelUp(),
            new_process.MessageReceived(messages.Yours((), 50)),
        )
        self.assertEqual((False, True), (new_process.may_run(state, 49), new_process.may_run(state, 50)))

    def test_an_owner_looks_for_the_old_process_until_it_is_refused(self):
        state, said = self.play(
            new_process.Started(1),
            new_process.Connected(),
            new_process.MessageReceived(messages.Welcome()),
            new_process.KernelUp(),
            new_process.MessageReceived(messages.Yours(())),
            new_process.Disconnected(False),
            200_000,
        )
        self.assertIsInstance(said[-1], new_process.Connect)
        state, _ = self.play(new_process.Disconnected(True), state=state)
        self.assertEqual((new_process.Stage.ALONE, True), (state.stage, new_process.may_run(state, 0)))


class ElderTest(unittest.TestCase):
    """Requests that the old process accepts."""

    def step(self, state, event, now=0):
        return old_process.step(state, now, event)

    def test_only_the_same_scorer_of_this_version_is_welcomed(self):
        state = old_process.OldProcess("n1", "here")
        for hello in (
            messages.Hello(2, "n1", "here"),
            messages.Hello(1, "n2", "here"),
            messages.Hello(1, "n1", "there"),
        ):
            got, said = self.step(state, old_process.MessageReceived(1, hello))
            self.assertEqual((old_process.Stage.ALONE, old_process.CloseConnection(1)), (got.stage, said[-1]))

    def test_the_second_of_two_new_processes_is_told_to_come_again(self):
        hello = messages.Hello(1, "n1", "here")
        state, _ = self.step(old_process.OldProcess("n1", "here"), old_process.MessageReceived(1, hello))
        state, said = self.step(state, old_process.MessageReceived(2, hello))
        self.assertEqual(messages.Busy("there is a successor"), said[0].message)
        state, said = self.step(state, old_process.MessageReceived(2, messages.Ask()))
        self.assertEqual(([], 1), (said, state.link))

    def test_a_second_notice_changes_nothing(self):
        state, _ = self.step(
            old_process.OldProcess("n1", "here"), old_process.MessageReceived(1, messages.Hello(1, "n1", "here"))
        )
        state, said = self.step(state, old_process.SigtermReceived())
        self.assertEqual([old_process.ScheduleExit, old_process.TransferKeys], [type(one) for one in said])
        self.assertEqual([], self.step(state, old_process.SigtermReceived())[1])


class ClaimsTest(unittest.TestCase):
    """Results on their way are bounded."""

    def test_no_more_is_sent_than_is_acknowledged(self):
        made = result_exchange.ResultExchange()
        made.send(str(at) for at in range(2000))
        found = lambda id: (b"x" * 4096, 1)  # noqa: E731
        sent = 0
        while batch := made.next_batch(found):
            sent += len(batch.results)
            self.assertLess(len(encode(batch)), MAX_LINE)
        self.assertLess(sent * 4096, (result_exchange.MAX_UNACKED_BATCHES + 1) * result_exchange.MAX_BATCH_BYTES)
        self.assertFalse(made.settled())
        made.acknowledged()
        self.assertIsNotNone(made.next_batch(found))

    def test_what_is_not_over_is_passed_by(self):
        made = result_exchange.ResultExchange()
        made.send(["running", "over"])
        batch = made.next_batch(lambda id: None if id == "running" else (b"r", 1))
        self.assertEqual((("over", b"r", 1),), batch.results)
