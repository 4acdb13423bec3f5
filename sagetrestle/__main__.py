"""Start one real scorer: ``python -m sagetrestle``; with words after it, the command line."""

import sys

if __name__ == "__main__":
    if len(sys.argv) > 1:  # the platform gives none, and its scorer has no room for the libraries
        try:
            from sagetrestle.cli.main import main
        except ImportError as error:
            sys.exit(f"sagetrestle: the command line needs requirements-full.txt: {error}")
    else:
        from sagetrestle.net.program.main import main
    sys.exit(main())
