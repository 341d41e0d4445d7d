"""Routing in which each engine is owned by a single instance.

Only the owner places requests on an engine. ``service`` combines the parts:
``overload.waiting`` (queueing by priority and team), ``ownership`` and
``ranking`` (which instance owns which engine), ``placement`` (choice of the
engine from ``load``, ``health``, ``context`` and ``cache_view``), ``retry``
(attempts of a request) and ``stream`` (validation of the response).
"""
