"""Tests of options."""

import os
import unittest
from unittest import mock

from lavenderstall.options import (
    Option,
    OptionError,
    parse_options,
    read_flag,
    read_integer,
    read_seconds,
    read_url,
)

OPTIONS = (
    Option("port", read_integer(1, 65535), "port to listen on", required=True),
    Option("lease", read_seconds(0.1, 60), "lease in seconds", "3"),
    Option("trace", read_flag, "write traces", "no"),
    Option("table", read_url("http"), "address of the table service"),
)

VALID = (
    (["--port", "80"], {}, {"port": 80, "lease": 3.0, "trace": False, "table": None}),
    (["--port", "80"], {"LAVENDERSTALL_PORT": "81"}, {"port": 80}),
    (["--trace", "--port", "80"], {}, {"port": 80, "trace": True}),
    (["--port", "80", "--trace", "no"], {}, {"port": 80, "trace": False}),
    ([], {"LAVENDERSTALL_PORT": "81", "LAVENDERSTALL_TRACE": "on"}, {"port": 81, "trace": True}),
)

INVALID = (
    ([], {}, ("--port", "LAVENDERSTALL_PORT", "not set")),
    (["--port", "x"], {}, ("--port", "LAVENDERSTALL_PORT", "'x'", "whole number")),
    ([], {"LAVENDERSTALL_PORT": "0"}, ("--port", "LAVENDERSTALL_PORT", "'0'", "between")),
    (["--port", "1", "--lease", "-1"], {}, ("--lease", "LAVENDERSTALL_LEASE", "'-1'")),
    (["--port", "1", "--table", "ftp://a"], {}, ("--table", "LAVENDERSTALL_TABLE", "ftp://a")),
    (["--port", "1", "--table", "http://127.0.0.1 :80"], {}, ("--table", "must look like")),
    (["--port", "1", "--table", "http://127.0.0.1:99999"], {}, ("--table", "65535")),
    (["--port", "1", "--lease", "nan"], {}, ("--lease", "between")),
    (["--port", "1", "--lease", "1e999"], {}, ("--lease", "between")),
    (["--port", "9" * 5000], {}, ("--port", "whole number")),
    (["--port", "1", "--nothing"], {}, ("--nothing",)),
)


class ParseOptionsTest(unittest.TestCase):
    """Guards against wrong precedence of option sources and unchecked values."""

    def test_valid_options(self) -> None:
        for arguments, variables, expected in VALID:
            with self.subTest(arguments=arguments), mock.patch.dict(os.environ, variables):
                values = parse_options("program", OPTIONS, arguments)
                self.assertEqual(values, values | expected)

    def test_invalid_options(self) -> None:
        for arguments, variables, words in INVALID:
            with self.subTest(arguments=arguments), mock.patch.dict(os.environ, variables):
                with self.assertRaises(OptionError) as caught:
                    parse_options("program", OPTIONS, arguments)
                for word in words:
                    self.assertIn(word, str(caught.exception))
