"""Command-line interface of the ``camphorrun`` program."""

from .main import main

__all__ = ["main"]
