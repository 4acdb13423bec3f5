"""The mapping's checks at load, and the conversion of values in both directions."""

import unittest

from hypothesis import given
from hypothesis import strategies as strategies

from sagetrestle.attempts.values import AttemptOutcome
from sagetrestle.translation.convert import TranslationError, read_old, to_new, to_old, write_old
from sagetrestle.translation.mapping import ClassMapping, Field, MappingError, read_mapping
from sagetrestle.translation.problems import NEVER_RAN, classify_response

HEAD = b'version = 1\nschema = 2\n[classes.a]\nnew = "checks"\n'


class MappingTest(unittest.TestCase):
    """The mapping file is checked as a whole."""

    def test_errors_name_the_field(self):
        request = b"[[classes.a.request]]\n"
        for data, why in (
            (b"", "`version`"),
            (HEAD.replace(b"checks", b"Ch ecks"), "classes.a.new"),
            (HEAD + request + b'old = "x"\nnew = "y"\nmost = 0', r"most"),
            (HEAD + request + b'old = "X"\nnew = "y"', r"classes.a.request\[0\].old"),
            (HEAD + request + b'old = "x"\nnew = "y..z"', r"request\[0\].new"),
            (HEAD + (request + b'old = "x"\nnew = "y"\n') * 2, "duplicate name 'x' on the old side"),
            (HEAD + request + b'old = "x"\nnew = "y"\n' + request + b'old = "z"\nnew = "y.w"', "cannot contain 'y.w'"),
            (HEAD + request + b'old = "x"\nnew = "y"\ntype = "integer"\nover = "cut"', "only text can be cut"),
            (HEAD + request + b'old = "x"\nnew = "y"\nleast_value = 2\nmost_value = 1', "above most_value"),
            (HEAD + request + b'old = "x"\nnew = "y"\nmost = 1\ndefault = "long"', "longer than most"),
            (HEAD + request + b'old = "x"\nnew = "y"\ntype = "date"', "type"),
            (HEAD + b"more = 1", "`more`"),
        ):
            with self.assertRaisesRegex(MappingError, why):
                read_mapping(data)
        with self.assertRaisesRegex(MappingError, "classes.b: not mapped"):
            read_mapping(HEAD, frozenset({"a", "b"}))


class ConvertTest(unittest.TestCase):
    """Conversion in both directions."""

    MAPPING = ClassMapping(
        "checks",
        [
            Field("name", "who.name", most=5),
            Field("n", "n", "integer", "omit", least_value=1),
            Field("rent", "rent", "decimal", "default", "0"),
            Field("fast", "fast", "flag", "omit"),
            Field("tags", "tags", "list", "omit", join=";"),
            Field("kind", "kind", values={"new": "old"}, missing="omit"),
        ],
        [Field("s", "s", "integer", most_value=9), Field("t", "t.u", over="cut", most=3, missing="default")],
    )

    def test_an_old_body_becomes_an_object_and_lost_values_are_reported(self):
        translated = to_new(self.MAPPING, b"name=Mo\nn=3\nfast=1\ntags=a;b\nkind=old\nextra=1\n")
        self.assertEqual(
            {"who": {"name": "Mo"}, "n": 3, "rent": "0", "fast": True, "tags": ["a", "b"], "kind": "new"},
            translated.value,
        )
        self.assertEqual(("extra: the new side has no such field",), translated.lost)

    def test_invalid_old_bodies_are_refused(self):
        for body, why in (
            (b"n=1\n", "name: missing"),
            (b"name=too long\n", "longer than 5"),
            (b"name=a\nn=0\n", "out of range"),
            (b"name=a\nn=1.5\n", "whole number"),
            (b"name=a\nfast=yes\n", "0 or 1"),
            (b"name=a\nrent=1e5\n", "not a number"),
            (b"name\n", "line 1"),
            (b"name=a\nname=b\n", "name: duplicate line"),
            (b"\xff=1", "UTF-8"),
            (b"".join(b"a%d=1\n" % number for number in range(300)), "256 lines"),
        ):
            with self.assertRaisesRegex(TranslationError, why):
                to_new(self.MAPPING, body)

    def test_a_new_answer_becomes_lines_and_lost_values_are_reported(self):
        translated = to_old(self.MAPPING, {"s": 7, "t": {"u": "abcdef", "v": 1}, "w": []})
        self.assertEqual(b"s=7\nt=abc\n", translated.value)
        self.assertEqual(3, len(translated.lost))
        self.assertEqual(b"s=7\nt=\n", to_old(self.MAPPING, {"s": 7, "t": {"u": None}}).value)

    def test_answers_that_cannot_be_converted_faithfully_are_refused(self):
        for answer, why in (
            (5, "not an object"),
            ({}, "s: missing"),
            ({"s": True}, "whole number"),
            ({"s": 10}, "range"),
            ({"s": 7.0}, "whole number"),
            ({"s": 7, "t": {"u": 5}}, "t.u: not text"),
        ):
            with self.assertRaisesRegex(TranslationError, why):
                to_old(self.MAPPING, answer)

    @given(
        strategies.dictionaries(
            strategies.text("abcxyz", min_size=1, max_size=5),
            strategies.text(strategies.characters(exclude_categories=["Cs"]), max_size=20),
            max_size=6,
        )
    )
    def test_lines_round_trip(self, values):
        self.assertEqual(values, read_old(write_old(values)))

    @given(strategies.binary(max_size=120))
    def test_arbitrary_bodies_raise_translation_error_at_most(self, body):
        try:
            to_new(self.MAPPING, body)
        except TranslationError as error:
            self.assertTrue(str(error))


class ProblemTest(unittest.TestCase):
    """What a response's status proves."""

    def test_only_proving_statuses_count_as_never_ran(self):
        for status, problem, after, wanted in (
            (200, None, None, (AttemptOutcome.ANSWERED, False, 0)),
            (503, None, "2", (AttemptOutcome.REFUSED, False, 2_000_000)),
            (422, {}, None, (AttemptOutcome.REFUSED, True, 0)),
            (500, {}, None, (AttemptOutcome.FAILED, False, 0)),
            (500, {"type": NEVER_RAN}, None, (AttemptOutcome.REFUSED, False, 0)),
            (504, {"type": "x"}, "soon", (AttemptOutcome.FAILED, False, 0)),
            (302, None, None, (AttemptOutcome.FAILED, False, 0)),
        ):
            self.assertEqual(wanted, tuple(classify_response(status, problem, after)))
