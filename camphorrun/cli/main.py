"""Entry point of the ``camphorrun`` program."""

import signal
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
        # By default the signal ends the process. It asks for the settings to be read,
        # which happens anyway; later ones are handled by the event loop.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        from .gateway import run_gateway

        return run_gateway(arguments[1:])
    from .commands import run_command

    return run_command(argv)
