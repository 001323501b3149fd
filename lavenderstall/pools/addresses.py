"""Addresses of services, in the form HOST:PORT."""

import re

ADDRESS_PATTERN = re.compile(r"(?:[A-Za-z0-9._-]+|\[[0-9A-Fa-f:.]+\]):([0-9]{1,5})")
MAX_PORT = 65535
MAX_ADDRESS_LENGTH = 300


def is_address(text: str) -> bool:
    """Tell whether a text is a host and a port to which a connection may be made."""
    if len(text) > MAX_ADDRESS_LENGTH:
        return False
    found = ADDRESS_PATTERN.fullmatch(text)
    return found is not None and 1 <= int(found[1]) <= MAX_PORT
