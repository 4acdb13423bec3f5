"""``python -m sagetrestle`` starts a scorer; with arguments it runs the command line."""

import sys

if __name__ == "__main__":
    if len(sys.argv) > 1:  # the platform passes none, and a scorer's memory limit has no room for these libraries
        try:
            from sagetrestle.cli.main import main
        except ImportError as error:
            sys.exit(f"sagetrestle: the command line needs requirements-full.txt: {error}")
    else:
        from sagetrestle.net.program.main import main
    sys.exit(main())
