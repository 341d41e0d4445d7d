"""Runs an entry instance on the users' platform."""

from __future__ import annotations

import os
import pathlib
import sys

from irisshelf import lifetime_signals

# Holds the path of the settings, which the platform fills from a template.
_SETTINGS_VARIABLE = "IRISSHELF_CONFIG"


def main() -> int:
    """Runs the program; returns its exit code."""
    lifetime_signals.hold()
    # These imports take most of the start, so that signals are held first.
    from irisshelf.gateway import daemon
    from irisshelf.platform import deployment
    from irisshelf.platform import http_dialect
    from irisshelf.platform import store_feed
    from irisshelf.platform import store_records

    try:
        return daemon.run(
            pathlib.Path(os.environ[_SETTINGS_VARIABLE]),
            make_dialect=http_dialect.HttpDialect,
            make_store=lambda address: store_feed.StoreFeed(address=address),
            make_records=lambda address: store_records.StoreRecords(
                address=address
            ),
            decode_settings=deployment.decode,
        )
    finally:
        lifetime_signals.block()


if __name__ == "__main__":
    sys.exit(main())
