"""Protocols by which instances coordinate; pure logic without input or output."""
