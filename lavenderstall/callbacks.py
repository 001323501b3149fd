"""Default callbacks."""


def do_nothing() -> None:
    """Do nothing."""
