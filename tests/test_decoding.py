"""Tests of decoding data from outside this process."""

import unittest

import msgspec

from lavenderstall.decoding import UnreadableError, decode_json, decode_msgpack

NESTED = 5000


class Known(msgspec.Struct):
    """A message with one field of each kind of number."""

    whole: int = 0
    real: float = 0.0


class DecodingTest(unittest.TestCase):
    """Decoding of JSON and MessagePack."""

    def test_sound_data_is_decoded(self) -> None:
        self.assertEqual(decode_json(b'{"whole":1,"real":2.5}', Known), Known(1, 2.5))
        self.assertEqual(
            decode_msgpack(msgspec.msgpack.encode(Known(1, 2.5)), Known), Known(1, 2.5)
        )

    def test_data_that_no_reader_expects_raises_one_error(self) -> None:
        deep = b"[" * NESTED + b"]" * NESTED
        cases = (
            (decode_json, b'{"other":' + deep + b"}"),
            (decode_json, b'{"whole":' + deep + b"}"),
            (decode_json, b'{"a":' * NESTED + b"0" + b"}" * NESTED),
            (decode_json, b'{"real":1e999}'),
            (decode_json, b'{"real":' + b"9" * 400 + b"}"),
            (decode_json, b'{"whole":1e30}'),
            (decode_json, b'{"whole":"1"}'),
            (decode_json, b'"\xff\xfe"'),
            (decode_json, b""),
            (decode_msgpack, b"\x81\xa5other" + b"\x91" * NESTED + b"\x90"),
            (decode_msgpack, b"\x81\xa5whole\xa11"),
            (decode_msgpack, b"\x81\xa5wh"),
            (decode_msgpack, b"\xc1"),
        )
        for decode, data in cases:
            with self.subTest(decode=decode.__name__, data=data[:20]):
                self.assertRaises(UnreadableError, decode, data, Known)


if __name__ == "__main__":
    unittest.main()
