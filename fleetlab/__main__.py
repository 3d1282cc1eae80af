"""Entry point of ``python -m fleetlab``."""

import sys

from fleetlab.cli import main

if __name__ == "__main__":
    sys.exit(main())
