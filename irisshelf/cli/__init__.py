"""The ``irisshelf`` command-line tool."""
