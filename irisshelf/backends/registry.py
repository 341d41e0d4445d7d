"""Imports all clients, so that ``start`` accepts every type of call.

A client registers itself when its module is imported. Without this module, the
types that ``start`` accepts would depend on which other modules are imported.
"""

from __future__ import annotations

from irisshelf.backends import dispatch
from irisshelf.backends import engine
from irisshelf.backends import relay
from irisshelf.backends import service

CLIENTS = (engine, relay, service)

start = dispatch.start
