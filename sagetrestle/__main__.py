"""Start one real scorer: ``python -m sagetrestle``."""

import sys

from sagetrestle.net.program.main import main

if __name__ == "__main__":
    sys.exit(main())
