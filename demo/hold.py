"""Text that tells how to reach a cell that is kept running."""

from collections.abc import Sequence

TOKEN = "operator.example"


def describe_cell(addresses: Sequence[str], platform: str) -> str:
    """Return the shell commands that set up the command line for a cell."""
    return "\n".join(
        [
            "The cell runs until Ctrl-C. In another shell:",
            f"  export LAVENDERSTALL_ENTRY={','.join(addresses)}",
            f"  echo {TOKEN} > operator.token",
            "  export LAVENDERSTALL_TOKEN_FILE=operator.token   # or: --token-file operator.token",
            "  lavenderstall show entries",
            f"The token of a team is its name followed by .example; the platform is {platform}",
        ]
    )
