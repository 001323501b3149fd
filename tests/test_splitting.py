"""Tests of the splitting of JSON whose elements can't all be decoded."""

import unittest

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from lavenderstall.decoding import UnreadableError
from lavenderstall.splitting import split_array, split_object
from tests.oddities import DEEP_LISTS, DEEP_OBJECTS, ODD_VALUES

VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**53), 2**53) | st.text(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=8,
)


class SplitTest(unittest.TestCase):
    """Elements are told apart whatever is in them."""

    @given(st.lists(VALUES, max_size=4))
    def test_elements_of_any_array(self, values: list) -> None:
        """Fails if brackets, commas or quotes in a text end an element."""
        found = split_array(msgspec.json.encode(values))
        self.assertEqual([msgspec.json.decode(each) for each in found], values)

    @given(st.dictionaries(st.text(), VALUES, max_size=4))
    def test_fields_of_any_object(self, values: dict) -> None:
        """Fails if a value is taken for that of another field."""
        found = split_object(msgspec.json.encode(values))
        self.assertEqual({key: msgspec.json.decode(each) for key, each in found.items()}, values)

    def test_odd_elements_leave_the_others_whole(self) -> None:
        """Fails if an element that can't be decoded costs one beside it."""
        for name, value in ODD_VALUES.items():
            with self.subTest(name=name):
                self.assertEqual(split_array(b"[1, " + value + b' ,"a"]'), [b"1", value, b'"a"'])
                fields = split_object(b'{ "a": 1, "b" : ' + value + b', "c":[2]}')
                self.assertEqual(fields, {"a": b"1", "b": value, "c": b"[2]"})

    def test_what_is_no_array_or_object(self) -> None:
        """Fails if a truncated body is taken for a shorter list."""
        for text in (b"", b"[", b"[1", b"[[1]", b"[1]]", b"[1]2]", b"[1}", b"{}", b"null", b'["a]'):
            with self.subTest(text=text), self.assertRaises(UnreadableError):
                split_array(text)
        for text in (b"", b"{", b'{"a":1', b'{"a":{}', b"[]", DEEP_LISTS, DEEP_OBJECTS[:-1]):
            with self.subTest(text=text[:9]), self.assertRaises(UnreadableError):
                split_object(text)


if __name__ == "__main__":
    unittest.main()
