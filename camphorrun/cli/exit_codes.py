"""Exit codes, as documented in the help of the program."""

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_SETTINGS = 3
EXIT_UNAVAILABLE = 4
EXIT_CONFLICT = 5
