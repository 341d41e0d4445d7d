"""``start`` with every client registered, whoever imports what else.

A client registers itself when its module is imported; without this module a
kind of call would be known or not by the accident of other imports.
"""

from __future__ import annotations

from irisshelf.backends import dispatch
from irisshelf.backends import engine
from irisshelf.backends import relay
from irisshelf.backends import service

CLIENTS = (engine, relay, service)

start = dispatch.start
