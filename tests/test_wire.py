"""The union of messages that the envelope can carry."""

import typing

from testtools import assertions
from testtools import matchers

from chervilshore import batchmessages
from chervilshore import capacitymessages
from chervilshore import catalogmessages
from chervilshore import grantmessages
from chervilshore import messages
from chervilshore import quarantinemessages
from chervilshore import rolloutmessages
from chervilshore import streammessages
from chervilshore import wire

MODULES = (
    messages,
    catalogmessages,
    grantmessages,
    batchmessages,
    capacitymessages,
    quarantinemessages,
    rolloutmessages,
    streammessages,
)


def test_the_union_contains_every_message_class():
    """Peers drop a message whose class is missing in the union."""
    defined = {
        one
        for module in MODULES
        for one in vars(module).values()
        if isinstance(one, type)
        and issubclass(one, messages.Message)
        and one is not messages.Message
    }
    assertions.assert_that(
        defined, matchers.Equals(set(typing.get_args(wire.Body)))
    )
