"""Delivery decisions of a message relay: pacing, retries and health of destinations.

The package does no input or output of its own: :class:`Pacer` receives events and returns actions.
"""

from starlingwick.control import Pacer

__all__ = ["Pacer"]
