"""Entry point of the ``camphorrun`` program."""

import sys

GATEWAY = "gateway"


def main(argv: list[str] | None = None) -> int:
    """Run the program and return its exit code.

    Parameters
    ----------
    argv : list of str, optional
        Arguments without the program name; defaults to those of the process.
    """
    arguments = sys.argv[1:] if argv is None else argv
    # Imported on demand: a gateway must not load the libraries of the other commands,
    # because its host has little memory.
    if arguments[:1] == [GATEWAY]:
        from .gateway import run_gateway

        return run_gateway(arguments[1:])
    from .commands import run_command

    return run_command(argv)
